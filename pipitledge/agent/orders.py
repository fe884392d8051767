"""Sends orders to the worker and repeats each of them until its outcome is certain.

A start call without an answer may still be executed seconds later. If the worker refuses a repetition of it, that
refusal is therefore not final: the run is stopped first, which makes a late start impossible, then the refusal is
reported.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from msgspec import Struct

from pipitledge.agent.lease_grant import Deadline, LeaseGrant
from pipitledge.agent.lease_manager import LeaseManager, RunKey
from pipitledge.agent.worker_client import (
    BAD_REQUEST,
    CONFLICT,
    NO_ANSWER,
    OK,
    WRONG_INSTANCE,
    WorkerClient,
    WorkerReply,
)
from pipitledge.agent.worker_instance import InstanceTracker, WorkerInstance
from pipitledge.agent.worker_messages import START_PATH, STOP_PATH, StartBody, StopBody
from pipitledge.runtime.ports import Clock, Timer
from pipitledge.wire.messages import OrderResult, StartOrder, StopOrder

MAX_PARALLEL_CALLS = 4
SHORTEST_TIMER_S = 0.001
LONGEST_TIMEOUT_S = 2.0
TIMEOUT_GROWTH_FACTOR = 1.5  # of the time-out of an order's calls, for each call without an answer
TIMEOUT_RETRY_DELAY_S = 0.01  # before a call without an answer is repeated
REFUSAL_RETRY_DELAY_S = 0.2  # times the number of refusals of the order so far
MAX_BACKOFF_S = 2.0
FENCED_RETRY_DELAY_S = 0.5  # until the primary of the higher term is found
MAX_UNREACHED_ATTEMPTS = 3  # of a start while the worker's address refuses connections
MAX_UNHEALTHY_ATTEMPTS = 3
MIN_LEASE_S = 0.5  # no run is started with a lease that would expire sooner
MAX_COMPLETED_ORDERS = 5000  # kept to answer repeated orders


class OrderOutcome:
    """The outcome of an order as it is sent to the primary; see `OrderResult`."""

    STARTED = "started"
    STOPPED = "stopped"
    STALE = "old"
    NO_CAPACITY = "room"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    DRAINING = "draining"
    GONE = "gone"


class OrderKind:
    """The kind of order to which a result belongs; see `OrderResult`."""

    START = "start"
    STOP = "stop"


class CompletedOrder(Struct):
    """A completed order: reported until a report with it is answered, and again if the primary repeats the order."""

    result: OrderResult
    to_report: bool = True


@dataclass(eq=False)
class _RunOrders:
    """The open orders for one run of a task."""

    key: RunKey
    sequence: int
    due_at: float
    start: StartOrder | None = None
    stop_ordered: bool = False
    refusal: str = ""  # outcome of a refused start that may still be executed: the run is stopped first
    start_unanswered: bool = False  # a start call may have had no answer, from this or an earlier process of this agent
    start_pending: bool = False
    stop_pending: bool = False
    unanswered_calls: int = 0  # consecutive calls without an answer
    refusals: int = 0  # answers by which the worker did not execute the order

    @property
    def wants_stop(self) -> bool:
        """Whether the next call is a stop."""
        return self.stop_ordered or bool(self.refusal)

    @property
    def is_pending(self) -> bool:
        """Whether a call of the kind that is due next is pending."""
        return self.stop_pending if self.wants_stop else self.start_pending

    def timeout(self, usual: float) -> float:
        """The time-out of the next call; `usual` is the time-out of a first call."""
        return min(LONGEST_TIMEOUT_S, usual * TIMEOUT_GROWTH_FACTOR**self.unanswered_calls)


class OrderDispatcher:
    """Sends the orders of the current term to the current worker instance."""

    def __init__(
        self,
        clock: Clock,
        client: WorkerClient,
        instances: InstanceTracker,
        grant: LeaseGrant,
        leases: LeaseManager,
        on_change: Callable[[bool], None],
    ) -> None:
        """`on_change` is called after each answer and each timer.

        Its argument is whether the worker refused the call because it knows a higher fencing token.
        """
        self._clock = clock
        self._client = client
        self._instances = instances
        self._grant = grant
        self._leases = leases
        self._on_change = on_change
        self._fence = 0
        self._open: dict[RunKey, _RunOrders] = {}
        self._completed: dict[tuple[RunKey, str], CompletedOrder] = {}
        self._has_new_results = False
        self._pending_calls: set[int] = set()
        self._sequence = itertools.count()
        self._timer: Timer | None = None
        self._stopped = False

    def set_fence(self, term: int) -> None:
        """Begin a new term: the orders of the old one are discarded, as the new primary sends its own."""
        self._fence = term
        self._completed.clear()
        self._drop_open()

    def instance_ended(self) -> None:
        """The worker instance to which the open orders belong has ended."""
        self._complete_all_as_gone()
        self._drop_open()

    def receive(self, instance: str, starts: list[StartOrder], stops: list[StopOrder]) -> None:
        """Add orders for the worker instance with that id; an order that is already open changes nothing."""
        worker = self._instances.current
        if not instance or (worker is None and not self._instances.has_ended(instance)):
            return  # the instance is not known yet; the primary repeats its orders
        gone = worker is None or worker.instance != instance or worker.replaced
        for stop in stops:
            self._receive_stop(stop, gone)
        for start in starts:
            self._receive_start(start, gone)

    def results(self) -> list[CompletedOrder]:
        """Completed orders that no answered report has contained."""
        return [completed for completed in self._completed.values() if completed.to_report]

    def consume_new_results(self) -> bool:
        """Whether an order has completed since the last call; orders reported again do not count."""
        had_new_results, self._has_new_results = self._has_new_results, False
        return had_new_results

    def mark_reported(self, completed_orders: list[CompletedOrder]) -> None:
        """A report that contained these was answered."""
        for completed in completed_orders:
            completed.to_report = False

    def open_orders(self) -> int:
        """The number of runs with open orders."""
        return len(self._open)

    def stop(self) -> None:
        """Discard all orders and send no more calls."""
        self._stopped = True
        self._drop_open()

    # ---- received orders

    def _receive_stop(self, order: StopOrder, gone: bool) -> None:
        key = (order.task, order.run)
        if self._report_again(key, OrderKind.STOP):
            return
        if gone:
            self._complete(key, OrderKind.STOP, OrderOutcome.GONE)
            return
        run_orders = self._open.get(key)
        if run_orders is None:
            run_orders = self._open[key] = _RunOrders(key, next(self._sequence), self._clock.now())
        if not run_orders.stop_ordered:
            run_orders.stop_ordered = True
            run_orders.due_at = self._clock.now()

    def _receive_start(self, order: StartOrder, gone: bool) -> None:
        key = (order.task, order.run)
        if key in self._open or self._report_again(key, OrderKind.START):
            return
        if gone:
            self._complete(key, OrderKind.START, OrderOutcome.GONE)
        elif self._leases.has_listed(key):
            self._complete(key, OrderKind.START, OrderOutcome.STARTED, self._leases.next_call_number())
        elif (key, OrderKind.STOP) in self._completed:
            self._complete(key, OrderKind.START, OrderOutcome.STALE, self._leases.next_call_number())
        else:
            run_orders = _RunOrders(key, next(self._sequence), self._clock.now(), start=order)
            run_orders.start_unanswered = self._leases.earlier_calls_may_arrive()
            self._open[key] = run_orders

    def _report_again(self, key: RunKey, kind: str) -> bool:
        """Return whether that order has completed; if so, the next regular report contains its result again."""
        completed = self._completed.get((key, kind))
        if completed is None:
            return False
        if not completed.to_report:
            self._completed[key, kind] = CompletedOrder(completed.result)
        return True

    # ---- completed orders

    def _complete(self, key: RunKey, kind: str, outcome: str, at_hold: int = 0) -> None:
        task, run = key
        self._completed[key, kind] = CompletedOrder(OrderResult(task, run, kind, outcome, at_hold))
        self._has_new_results = True
        if len(self._completed) > MAX_COMPLETED_ORDERS:
            del self._completed[next(iter(self._completed))]

    def _complete_start(self, run_orders: _RunOrders, outcome: str) -> None:
        """Complete a start with a final outcome, to be confirmed by the lists of the next hold call."""
        self._complete(run_orders.key, OrderKind.START, outcome, self._leases.next_call_number())
        del self._open[run_orders.key]

    def _refuse(self, run_orders: _RunOrders, outcome: str) -> None:
        """Complete a refused start; if an earlier call may still be executed, the run is stopped first."""
        if run_orders.start_unanswered:
            run_orders.refusal = outcome
            run_orders.refusals = 0
            run_orders.due_at = self._clock.now()
        else:
            # the run has never started, which no lists need to confirm
            self._complete(run_orders.key, OrderKind.START, outcome)
            del self._open[run_orders.key]

    def _complete_all_as_gone(self) -> None:
        for run_orders in self._open.values():
            if run_orders.start is not None:
                self._complete(run_orders.key, OrderKind.START, OrderOutcome.GONE)
            if run_orders.stop_ordered:
                self._complete(run_orders.key, OrderKind.STOP, OrderOutcome.GONE)
        self._open.clear()

    def drop_starts(self) -> None:
        """Discard open starts: the task leases have expired, and calls on their way arrive after their deadline."""
        for key in [key for key, run_orders in self._open.items() if not run_orders.wants_stop]:
            del self._open[key]

    def _drop_open(self) -> None:
        """Discard open orders and their pending calls."""
        self._open.clear()
        self._pending_calls.clear()
        self._set_timer(None)

    # ---- calls to the worker

    def drive(self) -> None:
        """Send the calls that are due now, stops first, and set a timer for the next one."""
        worker = self._instances.current
        if worker is None or self._stopped:
            return
        if worker.replaced:
            self._complete_all_as_gone()
            return
        if worker.draining:
            self._refuse_unsent_starts()
        for run_orders in self._due(worker):
            if len(self._pending_calls) >= MAX_PARALLEL_CALLS:
                break
            self._send(worker, run_orders)
        now = self._clock.now()
        self._set_timer(min((waiting.due_at for waiting in self._open.values() if waiting.due_at > now), default=None))

    def _refuse_unsent_starts(self) -> None:
        """Refuse starts on a draining worker, except for runs that are already there."""
        if not self._leases.worker_has_fence():
            return  # its runs are not known, and it may still execute starts of an earlier term
        for run_orders in list(self._open.values()):
            if run_orders.wants_stop or run_orders.start_pending:
                continue
            if self._leases.has_listed(run_orders.key):
                self._complete_start(run_orders, OrderOutcome.STARTED)
            else:
                self._refuse(run_orders, OrderOutcome.DRAINING)

    def _due(self, worker: WorkerInstance) -> list[_RunOrders]:
        now = self._clock.now()
        if self._leases.has_abandoned_worker():
            return []
        may_start = self._may_start(worker)
        due = [
            waiting
            for waiting in self._open.values()
            if waiting.due_at <= now and not waiting.is_pending and (waiting.wants_stop or may_start)
        ]
        return sorted(due, key=lambda waiting: (not waiting.wants_stop, waiting.due_at, waiting.sequence))

    def _may_start(self, worker: WorkerInstance) -> bool:
        """Whether starts may be sent.

        The worker has sent a heartbeat and its lists, is not draining, answers calls, and the grant permits a lease.
        """
        known = worker.info is not None and self._leases.worker_has_fence()
        serves = not worker.draining and not self._leases.is_silent()
        return known and serves and self._start_deadline(worker) is not None

    def _start_deadline(self, worker: WorkerInstance) -> Deadline | None:
        """The lease deadline for a start; None if it would be too early or none is permitted."""
        deadline = self._grant.deadline(worker)
        if deadline is None or deadline.until - self._clock.now() < MIN_LEASE_S:
            return None
        return deadline

    def _send(self, worker: WorkerInstance, run_orders: _RunOrders) -> None:
        if run_orders.wants_stop:
            self._send_stop(worker, run_orders)
            return
        if self._leases.has_listed(run_orders.key):
            self._complete_start(run_orders, OrderOutcome.STARTED)
            return
        deadline = self._start_deadline(worker)
        if run_orders.start is not None and deadline is not None:
            self._send_start(worker, run_orders, run_orders.start, deadline)

    def _send_start(
        self, worker: WorkerInstance, run_orders: _RunOrders, order: StartOrder, deadline: Deadline
    ) -> None:
        sent_at = self._clock.now()
        self._leases.record_sent_deadline(deadline.until)
        run_orders.start_pending = True
        body = StartBody(order.task, order.run, order.spec, deadline.worker_ms, self._fence, order.saved)

        def answered(reply: WorkerReply) -> None:
            run_orders.start_pending = False
            if reply.status == OK:
                self._leases.record_confirmed_deadline(deadline.until, sent_at)
            self._handle_start_reply(run_orders, reply)

        self._call(worker, START_PATH, body, run_orders, answered)

    def _send_stop(self, worker: WorkerInstance, run_orders: _RunOrders) -> None:
        run_orders.stop_pending = True
        task, run = run_orders.key

        def answered(reply: WorkerReply) -> None:
            run_orders.stop_pending = False
            self._handle_stop_reply(run_orders, reply)

        self._call(worker, STOP_PATH, StopBody(task, run, self._fence), run_orders, answered)

    def _call(
        self,
        worker: WorkerInstance,
        path: str,
        body: StartBody | StopBody,
        run_orders: _RunOrders,
        answered: Callable[[WorkerReply], None],
    ) -> None:
        call_id = next(self._sequence)
        self._pending_calls.add(call_id)

        def on_reply(reply: WorkerReply) -> None:
            self._pending_calls.discard(call_id)
            if self._stopped:
                return
            if self._open.get(run_orders.key) is run_orders:
                answered(reply)
            self._on_change(_is_fenced(reply))

        self._client.call(worker, path, body, run_orders.timeout(worker.response_times.timeout), on_reply)

    # ---- answers

    def _handle_start_reply(self, run_orders: _RunOrders, reply: WorkerReply) -> None:
        if reply.status == NO_ANSWER and not reply.refused:
            run_orders.start_unanswered = True
        if reply.status == OK or (reply.status == NO_ANSWER and run_orders.start_unanswered):
            self._leases.expect_run(run_orders.key)  # if the worker stops answering, the run counts as expired
        if run_orders.wants_stop:
            return  # the outcome of the stop counts
        if reply.status == OK:
            self._complete_start(run_orders, OrderOutcome.STARTED)
        elif reply.status == NO_ANSWER:
            self._retry_unanswered(run_orders, reply)
            if reply.refused and run_orders.unanswered_calls >= MAX_UNREACHED_ATTEMPTS:
                self._refuse(run_orders, OrderOutcome.UNHEALTHY)
        elif reply.status == CONFLICT:
            self._handle_conflict(run_orders, reply)
        elif reply.status == WRONG_INSTANCE:
            self._complete_start(run_orders, OrderOutcome.GONE)
        elif reply.status == BAD_REQUEST:
            self._refuse(run_orders, OrderOutcome.INVALID)
        else:
            self._retry_refused(run_orders)
            if run_orders.refusals >= MAX_UNHEALTHY_ATTEMPTS:
                self._refuse(run_orders, OrderOutcome.UNHEALTHY)

    def _handle_conflict(self, run_orders: _RunOrders, reply: WorkerReply) -> None:
        if reply.reason == "old":
            self._complete_start(run_orders, OrderOutcome.STALE)
            self._leases.request_refresh()  # the run may be refused because it has already run
        elif reply.reason == "room":
            self._refuse(run_orders, OrderOutcome.NO_CAPACITY)
        elif reply.reason == "late":
            self._retry_refused(run_orders)
            run_orders.refusals = 0  # the answer contained the worker's clock, so the next deadline will be valid
        else:
            run_orders.due_at = self._clock.now() + FENCED_RETRY_DELAY_S

    def _handle_stop_reply(self, run_orders: _RunOrders, reply: WorkerReply) -> None:
        if reply.status == OK:
            self._complete_stopped(run_orders)
        elif reply.status == WRONG_INSTANCE:
            self._complete_as_gone(run_orders)
        elif reply.status == NO_ANSWER:
            self._leases.expect_run(run_orders.key)  # if the worker stops answering, the run counts as expired
            self._retry_unanswered(run_orders, reply)
        elif _is_fenced(reply):
            run_orders.due_at = self._clock.now() + FENCED_RETRY_DELAY_S
        else:
            self._retry_refused(run_orders)

    def _complete_stopped(self, run_orders: _RunOrders) -> None:
        """The worker has confirmed the stop: it ends the run if it is running, and never starts it later."""
        key = run_orders.key
        at_hold = self._leases.next_call_number()
        if run_orders.refusal:
            self._complete(key, OrderKind.START, run_orders.refusal, at_hold)
        if run_orders.stop_ordered:
            self._complete(key, OrderKind.STOP, OrderOutcome.STOPPED, at_hold)
        del self._open[key]
        if not self._leases.is_running(key):
            self._leases.request_refresh()  # it may not be running, and then no ended run answers the poll

    def _complete_as_gone(self, run_orders: _RunOrders) -> None:
        if run_orders.refusal:
            self._complete(run_orders.key, OrderKind.START, OrderOutcome.GONE)
        if run_orders.stop_ordered:
            self._complete(run_orders.key, OrderKind.STOP, OrderOutcome.GONE)
        del self._open[run_orders.key]

    def _retry_unanswered(self, run_orders: _RunOrders, reply: WorkerReply) -> None:
        run_orders.unanswered_calls += 1
        pause = REFUSAL_RETRY_DELAY_S * run_orders.unanswered_calls if reply.refused else TIMEOUT_RETRY_DELAY_S
        run_orders.due_at = self._clock.now() + min(MAX_BACKOFF_S, pause)

    def _retry_refused(self, run_orders: _RunOrders) -> None:
        run_orders.unanswered_calls = 0
        run_orders.refusals += 1
        pause = REFUSAL_RETRY_DELAY_S * run_orders.refusals
        run_orders.due_at = self._clock.now() + min(MAX_BACKOFF_S, pause)

    def _set_timer(self, when: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if when is None:
            self._timer = None
            return
        # the minimum prevents a busy loop when the timer fires slightly before its time
        self._timer = self._clock.at(max(when, self._clock.now() + SHORTEST_TIMER_S), self._due_again)

    def _due_again(self) -> None:
        self._on_change(False)


def _is_fenced(reply: WorkerReply) -> bool:
    return reply.status == CONFLICT and reply.reason == "fence"
