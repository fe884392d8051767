"""The agent beside one worker: connects its parts, and communicates with the primary and the worker.

There are four kinds of events: heartbeats of the worker, orders of the primary (in answers to reports, or pushed),
answers of the worker, and timers. The handler of each event ends with `_drive`, which sends all calls that are due.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec
from msgspec import Struct

from pipitledge.agent.confirmation import InstanceConfirmation
from pipitledge.agent.departure import has_left
from pipitledge.agent.lease_grant import LeaseGrant
from pipitledge.agent.lease_manager import LeaseChange, LeaseManager
from pipitledge.agent.orders import CompletedOrder, OrderDispatcher
from pipitledge.agent.reporter import PrimaryCalls, Reporter
from pipitledge.agent.worker_client import BAD_REQUEST, OK, WorkerClient
from pipitledge.agent.worker_clock import MS_PER_S
from pipitledge.agent.worker_instance import BadHeartbeat, HeartbeatEffect, InstanceTracker, WorkerInstance
from pipitledge.runtime.handlers import Handlers
from pipitledge.runtime.ports import Clock, WorkerTransport
from pipitledge.wire.messages import AgentOrders, AgentReport, OrdersReply, View

BUSY_REPORT_S = 1.0
IDLE_REPORT_S = 1.5
SHORTEST_REPORT_S = 0.1
GRANT_RENEWAL_FRACTION = 1 / 4  # of the grant's duration; a report renews the grant after this time at the latest
FENCE_WAIT_S = 0.3  # longest delay of the first report of a term, until the worker has the new fencing token
ACKNOWLEDGED = b"{}"

Respond = Callable[[int, bytes], None]


class Membership(Protocol):
    """The part of the process that keeps track of the view."""

    def offer_view(self, view: View) -> None:
        """Accept a view that a message contained."""


class AgentBounds(Protocol):
    """The settings in the section of bounds that agents need."""

    @property
    def hold_max_ms(self) -> float:
        """The longest task lease that a worker accepts."""


class Log(Protocol):
    """Structured log with one event per line."""

    def info(self, event: str, **fields: object) -> None:
        """Write an ordinary event."""

    def warning(self, event: str, **fields: object) -> None:
        """Write an event that may need the attention of an operator."""


class AgentIdentity(Struct, frozen=True):
    """Identifies this agent and the worker beside it."""

    name: str
    address: str  # of the agent's internal server
    zone: str
    incarnation: int
    app_address: str = ""  # of the worker
    service: str = ""  # of the worker


class _ReportedItems(Struct):
    """The items of the latest report that need not be reported again once it is answered."""

    number: int = 0
    results: list[CompletedOrder] = []
    ended_instances: list[str] = []


class Agent:
    """Coordinates task leases, orders and reports of one worker."""

    def __init__(
        self,
        clock: Clock,
        worker_calls: WorkerTransport,
        primary: PrimaryCalls,
        membership: Membership,
        bounds: AgentBounds,
        identity: AgentIdentity,
        heartbeat_ms: float,
        log: Log,
    ) -> None:
        """`heartbeat_ms` is the interval of the worker's heartbeats."""
        self._clock = clock
        self._membership = membership
        self._identity = identity
        self._heartbeat_s = heartbeat_ms / MS_PER_S
        self._log = log
        self._term = 0
        self._report_number = 0
        self._reported_items = _ReportedItems()
        self._silent_instance: WorkerInstance | None = None
        self._abandoned_instance: WorkerInstance | None = None
        self._expiry_reported = False
        self._expiry_report_number = 0  # orders that answer an earlier report start nothing
        self._instances = InstanceTracker(clock)
        self._grant = LeaseGrant(clock, bounds.hold_max_ms)
        client = WorkerClient(clock, worker_calls)
        hold_max_s = bounds.hold_max_ms / MS_PER_S
        self._leases = LeaseManager(
            clock, client, self._instances, self._grant, self._heartbeat_s, hold_max_s, self._lease_changed
        )
        self._dispatcher = OrderDispatcher(
            clock, client, self._instances, self._grant, self._leases, self._orders_changed
        )
        self._confirmation = InstanceConfirmation(clock, client, self._instances, self._drive)
        self._reporter = Reporter(clock, primary, self._build_report, self._report_answered, self._interval)

    # ---- called by the program

    def register(self, handlers: Handlers) -> None:
        """Register the handler of orders that the primary pushes."""
        handlers.on_call(AgentOrders, self._orders_pushed)

    def start(self) -> None:
        """Send a report at once: the answer contains the term and the lease grant."""
        self._reporter.request_report()

    def stop(self) -> None:
        """Send no more messages; running tasks keep their leases until these expire."""
        self._reporter.stop()
        self._confirmation.stop()
        self._dispatcher.stop()
        self._leases.stop()

    def heartbeat(self, instance: str, body: bytes, respond: Respond) -> None:
        """Process a heartbeat of the worker; draining is only acknowledged when no more starts can be sent."""
        effect = self._instances.heartbeat(instance, body)
        if isinstance(effect, BadHeartbeat):
            self._log.warning("heartbeat_refused", instance=instance, reason=effect.reason)
            respond(BAD_REQUEST, msgspec.json.encode({"error": effect.reason}))
            return
        if effect is HeartbeatEffect.NEW_INSTANCE:
            self._dispatcher.instance_ended()
        if effect is HeartbeatEffect.UNCONFIRMED:
            self._log.info("worker_unconfirmed", instance=instance)
        if effect in (HeartbeatEffect.NEW_INSTANCE, HeartbeatEffect.CONFIRMED, HeartbeatEffect.DRAINING):
            self._log.info("worker_" + effect.value, instance=instance)
            self._reporter.request_report()
        self._drive()
        respond(OK, ACKNOWLEDGED)

    def leave(self, instance: str, respond: Respond) -> None:
        """Process the announced exit of a worker: the instance has ended once no run can be running there."""
        self._instances.assume_current(instance)
        worker = self._instances.find(instance)
        if worker is not None:
            self._log.info("worker_leaves", instance=instance)
            worker.draining = True
            worker.leaving = True
            self._leases.request_refresh()
            self._reporter.request_report()
            self._drive()
        respond(OK, ACKNOWLEDGED)

    def status(self) -> dict[str, object]:
        """The status of the agent for the tools of operators."""
        worker = self._instances.current
        now = self._clock.now()
        until = self._grant.until()
        return {
            "worker": "" if worker is None else worker.instance,
            "service": self._identity.service,
            "app": self._identity.app_address,
            "state": _state(worker),
            "term": self._term,
            "reports": self._report_number,
            "holdsFor": 0.0 if until is None else round(until - now, 3),
            "silentMs": 0 if worker is None else worker.silent_ms(now),
            "running": len(self._leases.lists.running),
            "unacknowledgedEnds": len(self._leases.finished()),
            "openOrders": self._dispatcher.open_orders(),
        }

    # ---- messages of the primary

    def _orders_pushed(self, orders: AgentOrders, reply: Callable[[Struct], None]) -> None:
        accepted = self._apply_orders(orders)
        reply(OrdersReply(accepted, self._term))

    def _report_answered(self, report: AgentReport, orders: AgentOrders) -> bool:
        self._handle_grant_expiry(report.number)
        if orders.term >= self._term:
            self._grant.renew(min(report.sent_at, orders.sent_at), orders.grant_ms)
            self._dispatcher.mark_reported(self._reported_items.results)
            self._instances.ends_reported(self._reported_items.ended_instances)
        return self._apply_orders(orders)

    def _apply_orders(self, orders: AgentOrders) -> bool:
        """Execute the orders, unless a higher term is known. Return whether they were accepted."""
        if orders.term < self._term:
            self._log.info("orders_refused", term=orders.term, known=self._term, primary=orders.primary)
            return False
        if orders.view is not None:
            self._membership.offer_view(orders.view)
        if orders.term > self._term:
            self._begin_term(orders.term, orders.primary)
        if orders.poll_interval_ms > 0:
            self._leases.set_poll_interval(orders.poll_interval_ms / MS_PER_S)
        if orders.instance:
            self._learn_instance(orders.instance)
            self._leases.acknowledge(orders.instance, orders.acknowledged)
        self._handle_grant_expiry(self._report_number + 1)
        expiry_known = orders.report_number >= self._expiry_report_number
        starts = orders.starts if expiry_known else []
        self._dispatcher.receive(orders.instance, starts, orders.stops)
        self._drive()
        return True

    def _handle_grant_expiry(self, next_report: int) -> None:
        """Discard pending starts if the grant has expired: the primary may treat all runs as expired by then.

        From then on only orders that answer `next_report` or a later report may start runs.
        """
        if self._grant.until() is None:
            self._dispatcher.drop_starts()
            self._expiry_report_number = max(self._expiry_report_number, next_report)

    def _begin_term(self, term: int, primary: str) -> None:
        """Switch to a new term: first the worker gets the new fencing token, then the primary a report."""
        self._log.info("term", term=term, primary=primary)
        self._term = term
        self._leases.set_fence(term)
        self._confirmation.set_fence(term)
        self._dispatcher.set_fence(term)
        if self._instances.current is not None and not self._instances.current.replaced:
            self._reporter.postpone(FENCE_WAIT_S)
        self._reporter.request_report()

    def _learn_instance(self, instance: str) -> None:
        """Process the instance id in the orders; the primary may know it from an earlier incarnation of this agent."""
        worker = self._instances.current
        if self._instances.has_ended(instance):
            self._instances.report_again(instance)
        elif worker is None:
            self._instances.assume_current(instance)
        elif worker.instance != instance and worker.confirmed:
            self._instances.mark_ended(instance)
        elif worker.instance != instance:
            self._instances.prefer(instance)

    # ---- changes at the worker

    def _lease_changed(self, change: LeaseChange) -> None:
        if change is LeaseChange.REPLACED:
            self._log.info("worker_replaced")
        if change is LeaseChange.FAILED and self._leases.failures == 1:
            self._log.info("hold_failed", **self._evidence())
        if change not in (LeaseChange.NOTHING_NEW, LeaseChange.FAILED):
            self._reporter.request_report()
        if change is LeaseChange.FAILED or self._leases.worker_has_fence():
            self._reporter.release()
        self._drive()

    def _settle_candidate(self) -> None:
        """Switch to an instance that has been confirmed as the current one."""
        worker = self._instances.settle_candidate()
        if worker is not None:
            self._dispatcher.instance_ended()
            self._log.info("worker_" + HeartbeatEffect.NEW_INSTANCE.value, instance=worker.instance)
            self._reporter.request_report()

    def _end_left_instance(self) -> None:
        """Report the end of an instance that announced its exit and has ended."""
        worker = self._instances.current
        if worker is None or not has_left(worker, self._leases, self._dispatcher):
            return
        self._log.info("worker_left", instance=worker.instance)
        self._dispatcher.instance_ended()
        self._instances.mark_ended(worker.instance)
        self._reporter.request_report()

    def _orders_changed(self, fenced: bool) -> None:
        if fenced:
            self._reporter.request_report()
        self._drive()

    def _drive(self) -> None:
        """Send all calls and request all reports that are due after an event."""
        self._settle_candidate()
        self._confirmation.drive()
        self._end_left_instance()
        self._dispatcher.drive()
        self._leases.drive()
        self._report_new_results()
        self._report_silence()
        self._report_expiry()
        self._log_abandonment()

    def _report_new_results(self) -> None:
        """Request a report if orders have completed since the last check."""
        if self._dispatcher.consume_new_results():
            self._reporter.request_report()

    def _report_silence(self) -> None:
        worker = self._instances.current
        silent = worker if worker is not None and worker.silent else None
        if silent is not None and silent is not self._silent_instance:
            self._log.warning("worker_silent", instance=silent.instance)
        if silent is not self._silent_instance:
            self._reporter.request_report()
        self._silent_instance = silent

    def _report_expiry(self) -> None:
        if not self._leases.leases_expired():
            self._expiry_reported = False
        elif not self._expiry_reported:
            self._reporter.request_report()

    def _log_abandonment(self) -> None:
        """Log when the calls to a worker instance end, with what is known of it by then."""
        abandoned = self._instances.current if self._leases.has_abandoned_worker() else None
        if abandoned is not None and abandoned is not self._abandoned_instance:
            self._log.info("worker_abandoned", **self._evidence())
        self._abandoned_instance = abandoned

    def _evidence(self) -> dict[str, object]:
        """Log fields with all by which the current worker instance is judged to be alive or over."""
        worker = self._instances.current
        if worker is None:
            return {}
        return {
            "instance": worker.instance,
            "term": self._term,
            "failures": self._leases.failures,
            "heartbeat_age_s": round(self._clock.now() - worker.last_heartbeat_at, 3),
            "lease_left_s": round(self._leases.lease_left_s(), 3),
            "silent": self._leases.is_silent(),
        }

    # ---- reports

    def _interval(self) -> float:
        """The longest time between two reports if nothing changes."""
        longest = BUSY_REPORT_S if self._leases.may_run() else min(IDLE_REPORT_S, self._heartbeat_s)
        if self._grant.grant_s > 0.0:
            longest = min(longest, GRANT_RENEWAL_FRACTION * self._grant.grant_s)
        return max(SHORTEST_REPORT_S, longest)

    def _build_report(self) -> AgentReport:
        now = self._clock.now()
        self._report_number += 1
        results = self._dispatcher.results()
        self._reported_items = _ReportedItems(self._report_number, results, self._instances.unreported_ends())
        report = AgentReport(
            node=self._identity.name,
            address=self._identity.address,
            zone=self._identity.zone,
            incarnation=self._identity.incarnation,
            number=self._report_number,
            term=self._term,
            sent_at=now,
            worker=self._instances.info(),
            ended_instances=self._reported_items.ended_instances,
            results=[completed.result for completed in results],
        )
        if report.worker is not None:
            self._add_lists(report, now)
        self._add_expiry(report)
        return report

    def _add_expiry(self, report: AgentReport) -> None:
        """Report that all task leases of a silent worker have expired, and discard starts that are not completed."""
        worker = self._instances.current
        if worker is None or not self._leases.leases_expired():
            return
        report.lapsed_instance = worker.instance
        self._dispatcher.drop_starts()
        self._expiry_report_number = report.number  # on each such report the primary treats all earlier orders as ended
        if not self._expiry_reported:
            self._expiry_reported = True
            self._log.warning("worker_lapsed", instance=worker.instance)

    def _add_lists(self, report: AgentReport, now: float) -> None:
        worker = self._instances.current
        lists = self._leases.lists
        report.silent_ms = 0 if worker is None else worker.silent_ms(now)
        if lists.number:
            report.hold_number = lists.number
            report.hold_fence = lists.fence
            report.hold_age_ms = int((now - lists.sent_at) * MS_PER_S)
            report.running = list(lists.running)
            report.finished = self._leases.finished()


def _state(worker: WorkerInstance | None) -> str:
    if worker is None or worker.info is None:
        return "unknown"
    if worker.leaving:
        return "leaving"
    return worker.info.state
