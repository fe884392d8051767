"""The agent beside one worker: brings its parts together, and speaks with the primary and the worker.

Calls come from four sides: the worker's heartbeats, the primary's orders (as answers to reports or sent by
themselves), the worker's answers, and timers. Each ends in `_drive`, which sends whatever is due then.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec
from msgspec import Struct

from pipitledge.agent.holder import HoldChange, Holder
from pipitledge.agent.life import BadHeartbeat, HeartbeatEffect, Life, Lives
from pipitledge.agent.orders import OrderDesk, Settled
from pipitledge.agent.permit import Permit
from pipitledge.agent.reporter import PrimaryCalls, Reporter
from pipitledge.agent.worker_clock import MS_PER_S
from pipitledge.agent.worker_line import BAD_REQUEST, OK, WorkerLine
from pipitledge.runtime.handlers import Handlers
from pipitledge.runtime.ports import Clock, WorkerTransport
from pipitledge.wire.messages import AgentOrders, AgentReport, OrdersReply, View

BUSY_REPORT_S = 1.0
IDLE_REPORT_S = 1.5
SHORTEST_REPORT_S = 0.1
GRANT_SHARE = 1 / 4  # of the grant may pass until it is renewed
FENCE_PATIENCE_S = 0.3  # how long the first report of a term waits for a hold under it
ACKNOWLEDGED = b"{}"

Respond = Callable[[int, bytes], None]


class Membership(Protocol):
    """Who takes news of the view."""

    def offer_view(self, view: View) -> None:
        """Take a view that was heard of."""


class AgentBounds(Protocol):
    """The bounds of the settings file that agents keep to."""

    @property
    def hold_max_ms(self) -> float:
        """The longest time for which a worker holds its tasks."""


class Log(Protocol):
    """Structured log; one event a line."""

    def info(self, event: str, **fields: object) -> None:
        """Write an ordinary event."""

    def warning(self, event: str, **fields: object) -> None:
        """Write an event that operators may want to look at."""


class AgentIdentity(Struct, frozen=True):
    """Who this agent is, and which worker it stands beside."""

    name: str
    address: str  # of its internal server
    zone: str
    incarnation: int
    app_address: str = ""  # of the worker
    service: str = ""  # of the worker


class _Told(Struct):
    """What a report carried that need not be told again once it is answered."""

    number: int = 0
    results: list[Settled] = []
    ended_instances: list[str] = []


class Agent:
    """The process beside one worker."""

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
        """`heartbeat_ms` is how often the worker tells of itself."""
        self._clock = clock
        self._membership = membership
        self._identity = identity
        self._heartbeat_s = heartbeat_ms / MS_PER_S
        self._log = log
        self._term = 0
        self._report_number = 0
        self._told = _Told()
        self._silent_life: Life | None = None
        self._lapse_is_told = False
        self._lapse_report = 0  # number of the last report that told of a lapse
        self._lives = Lives(clock)
        self._permit = Permit(clock, bounds.hold_max_ms)
        line = WorkerLine(clock, worker_calls)
        hold_max_s = bounds.hold_max_ms / MS_PER_S
        self._holder = Holder(clock, line, self._lives, self._permit, self._heartbeat_s, hold_max_s, self._hold_changed)
        self._desk = OrderDesk(clock, line, self._lives, self._permit, self._holder, self._orders_changed)
        self._reporter = Reporter(clock, primary, self._build_report, self._report_answered, self._interval)

    # ---- the program's side

    def register(self, handlers: Handlers) -> None:
        """Answer the primary's orders."""
        handlers.on_call(AgentOrders, self._orders_pushed)

    def start(self) -> None:
        """Report at once: the answer tells the term, and how long tasks may be held."""
        self._reporter.soon()

    def stop(self) -> None:
        """Send nothing more; what runs is held until its deadline."""
        self._reporter.stop()
        self._desk.stop()
        self._holder.stop()

    def heartbeat(self, instance: str, body: bytes, respond: Respond) -> None:
        """Take a worker's heartbeat; an announced end is acknowledged once no start can leave any more."""
        effect = self._lives.heartbeat(instance, body)
        if isinstance(effect, BadHeartbeat):
            self._log.warning("heartbeat_refused", instance=instance, reason=effect.reason)
            respond(BAD_REQUEST, msgspec.json.encode({"error": effect.reason}))
            return
        if effect is HeartbeatEffect.NEW_LIFE:
            self._desk.life_over()
        if effect in (HeartbeatEffect.NEW_LIFE, HeartbeatEffect.CONFIRMED, HeartbeatEffect.DRAINING):
            self._log.info("worker_" + effect.value, instance=instance)
            self._reporter.soon()
        self._drive()
        respond(OK, ACKNOWLEDGED)

    def leave(self, instance: str, respond: Respond) -> None:
        """Take a worker's goodbye: its life is over once nothing can be running there."""
        self._lives.presume(instance)
        life = self._lives.current
        if life is not None and life.instance == instance:
            self._log.info("worker_leaves", instance=instance)
            life.draining = True
            life.leaving = True
            self._holder.request_look()
            self._reporter.soon()
            self._drive()
        respond(OK, ACKNOWLEDGED)

    def status(self) -> dict[str, object]:
        """What operators' tools show."""
        life = self._lives.current
        now = self._clock.now()
        until = self._permit.until()
        return {
            "worker": "" if life is None else life.instance,
            "service": self._identity.service,
            "app": self._identity.app_address,
            "state": _state(life),
            "term": self._term,
            "reports": self._report_number,
            "holdsFor": 0.0 if until is None else round(until - now, 3),
            "silentMs": 0 if life is None else life.silent_ms(now),
            "running": len(self._holder.lists.running),
            "unacknowledgedEnds": len(self._holder.finished()),
            "openOrders": self._desk.open_orders(),
        }

    # ---- the primary's side

    def _orders_pushed(self, orders: AgentOrders, reply: Callable[[Struct], None]) -> None:
        accepted = self._take_orders(orders)
        reply(OrdersReply(accepted, self._term))

    def _report_answered(self, report: AgentReport, orders: AgentOrders) -> bool:
        self._note_expiry(report.number)
        if orders.term >= self._term:
            self._permit.grant(min(report.sent_at, orders.sent_at), orders.grant_ms)
            self._desk.reported(self._told.results)
            self._lives.ends_reported(self._told.ended_instances)
        return self._take_orders(orders)

    def _take_orders(self, orders: AgentOrders) -> bool:
        """Obey a primary, unless one of a higher term is known."""
        if orders.term < self._term:
            self._log.info("orders_refused", term=orders.term, known=self._term, primary=orders.primary)
            return False
        if orders.view is not None:
            self._membership.offer_view(orders.view)
        if orders.term > self._term:
            self._begin_term(orders.term, orders.primary)
        if orders.poll_interval_ms > 0:
            self._holder.pace_polls(orders.poll_interval_ms / MS_PER_S)
        if orders.instance:
            self._learn_life(orders.instance)
            self._holder.acknowledge(orders.instance, orders.acknowledged)
        self._note_expiry(self._report_number + 1)
        heard_of_lapse = orders.report_number >= self._lapse_report
        starts = orders.starts if heard_of_lapse else []
        self._desk.take(orders.instance, starts, orders.stops)
        self._drive()
        return True

    def _note_expiry(self, next_report: int) -> None:
        """Without a grant the primary takes all runs for lapsed: only orders that answer a later report count."""
        if self._permit.until() is None:
            self._desk.drop_starts()
            self._lapse_report = max(self._lapse_report, next_report)

    def _begin_term(self, term: int, primary: str) -> None:
        """Obey a new primary: the worker sees its fence first, then it gets a report."""
        self._log.info("term", term=term, primary=primary)
        self._term = term
        self._holder.set_fence(term)
        self._desk.set_fence(term)
        if self._lives.current is not None and not self._lives.current.denied:
            self._reporter.hold_back(FENCE_PATIENCE_S)
        self._reporter.soon()

    def _learn_life(self, instance: str) -> None:
        """The primary knows a life from an earlier incarnation of this agent."""
        life = self._lives.current
        if self._lives.is_over(instance):
            self._lives.tell_again(instance)
        elif life is None:
            self._lives.presume(instance)
        elif life.instance != instance and life.info is not None:
            self._lives.end(instance)

    # ---- the worker's side

    def _hold_changed(self, change: HoldChange) -> None:
        if change is HoldChange.LEFT:
            self._end_life()
        if change is HoldChange.DENIED:
            self._log.info("worker_replaced")
        if change not in (HoldChange.LISTS, HoldChange.FAILED):
            self._reporter.soon()
        if change is HoldChange.FAILED or self._holder.fence_is_shown():
            self._reporter.release()
        self._drive()

    def _end_life(self) -> None:
        life = self._lives.current
        if life is not None:
            self._log.info("worker_left", instance=life.instance)
            self._desk.life_over()
            self._lives.end(life.instance)

    def _orders_changed(self, fenced: bool) -> None:
        if fenced:
            self._reporter.soon()
        self._drive()

    def _drive(self) -> None:
        """Send what is due after a change."""
        self._desk.drive()
        self._holder.drive()
        self._tell_results()
        self._tell_silence()
        self._tell_lapse()

    def _tell_results(self) -> None:
        """Ends of orders that no report has carried go at once."""
        if self._desk.take_news():
            self._reporter.soon()

    def _tell_silence(self) -> None:
        life = self._lives.current
        silent = life if life is not None and life.silent else None
        if silent is not None and silent is not self._silent_life:
            self._log.warning("worker_silent", instance=silent.instance)
        if silent is not self._silent_life:
            self._reporter.soon()
        self._silent_life = silent

    def _tell_lapse(self) -> None:
        if not self._holder.lapsed():
            self._lapse_is_told = False
        elif not self._lapse_is_told:
            self._reporter.soon()

    # ---- reports

    def _interval(self) -> float:
        """Time between reports without news."""
        longest = BUSY_REPORT_S if self._holder.may_run() else min(IDLE_REPORT_S, self._heartbeat_s)
        if self._permit.grant_s > 0.0:
            longest = min(longest, GRANT_SHARE * self._permit.grant_s)
        return max(SHORTEST_REPORT_S, longest)

    def _build_report(self) -> AgentReport:
        now = self._clock.now()
        self._report_number += 1
        results = self._desk.results()
        self._told = _Told(self._report_number, results, self._lives.unreported_ends())
        report = AgentReport(
            node=self._identity.name,
            address=self._identity.address,
            zone=self._identity.zone,
            incarnation=self._identity.incarnation,
            number=self._report_number,
            term=self._term,
            sent_at=now,
            worker=self._lives.info(),
            ended_instances=self._told.ended_instances,
            results=[settled.result for settled in results],
        )
        if report.worker is not None:
            self._add_lists(report, now)
        self._add_lapse(report)
        return report

    def _add_lapse(self, report: AgentReport) -> None:
        """Tell that nothing runs on a silent worker any more; starts that it was not given yet are dropped."""
        life = self._lives.current
        if life is None or not self._holder.lapsed():
            return
        report.lapsed_instance = life.instance
        self._desk.drop_starts()
        self._lapse_report = report.number  # each of them ends at the primary what was ordered before it came
        if not self._lapse_is_told:
            self._lapse_is_told = True
            self._log.warning("worker_lapsed", instance=life.instance)

    def _add_lists(self, report: AgentReport, now: float) -> None:
        life = self._lives.current
        lists = self._holder.lists
        report.silent_ms = 0 if life is None else life.silent_ms(now)
        if lists.number:
            report.hold_number = lists.number
            report.hold_fence = lists.fence
            report.hold_age_ms = int((now - lists.sent_at) * MS_PER_S)
            report.running = list(lists.running)
            report.finished = self._holder.finished()


def _state(life: Life | None) -> str:
    if life is None or life.info is None:
        return "unknown"
    if life.leaving:
        return "leaving"
    return life.info.state
