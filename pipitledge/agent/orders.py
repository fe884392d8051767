"""Orders to the worker, each carried to a definite end: repeated until the worker says what became of it.

A start that got no answer may be carried out seconds later. So a refusal that follows is not the end of it: the run is
first stopped, which makes a late start impossible, and then the refusal is reported.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from msgspec import Struct

from pipitledge.agent.holder import Holder, RunKey
from pipitledge.agent.life import Life, Lives
from pipitledge.agent.permit import Deadline, Permit
from pipitledge.agent.worker_line import (
    BAD_REQUEST,
    CONFLICT,
    NO_ANSWER,
    OK,
    OTHER_LIFE,
    WorkerLine,
    WorkerReply,
)
from pipitledge.agent.worker_messages import START_PATH, STOP_PATH, StartBody, StopBody
from pipitledge.runtime.ports import Clock, Timer
from pipitledge.wire.messages import OrderResult, StartOrder, StopOrder

PARALLEL_CALLS = 4
SHORTEST_TIMER_S = 0.001
LONGEST_TIMEOUT_S = 2.0
TIMEOUT_GROWTH = 1.5  # of an order's calls, with each that got no answer
SILENCE_PAUSE_S = 0.01  # before a call is repeated that got no answer
REFUSAL_PAUSE_S = 0.2  # times the number of refusals so far
LONGEST_PAUSE_S = 2.0
FENCED_PAUSE_S = 0.5  # while the primary of the higher term is looked for
UNREACHED_TRIES = 3  # of a start for which nothing listens at the worker's address
UNHEALTHY_TRIES = 3
LEAST_HOLD_S = 0.5  # nothing is started that would lapse sooner
MOST_SETTLED = 5000  # ends of orders remembered for the case that they are repeated


class Outcome:
    """How an order ended; see `OrderResult`."""

    STARTED = "started"
    STOPPED = "stopped"
    OLD = "old"
    ROOM = "room"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    DRAINING = "draining"
    GONE = "gone"


class OrderKind:
    """Which order a result is of; see `OrderResult`."""

    START = "start"
    STOP = "stop"


class Settled(Struct):
    """An order that has ended; told of until a report with it was answered, and again if the order is repeated."""

    result: OrderResult
    to_report: bool = True


@dataclass(eq=False)
class _RunOrders:
    """Orders for one run of a task that have not ended."""

    key: RunKey
    sequence: int
    due_at: float
    start: StartOrder | None = None
    stop_ordered: bool = False
    refusal: str = ""  # of a start that may yet be carried out: it is stopped first
    unanswered: bool = False  # a start call got no answer, here or in an earlier process of this agent
    start_under_way: bool = False
    stop_under_way: bool = False
    silences: int = 0  # calls in a row without answer
    refusals: int = 0  # answers that nothing was done

    @property
    def wants_stop(self) -> bool:
        """Whether a stop is what comes next."""
        return self.stop_ordered or bool(self.refusal)

    @property
    def under_way(self) -> bool:
        """Whether the call that comes next has been sent already."""
        return self.stop_under_way if self.wants_stop else self.start_under_way

    def timeout(self, usual: float) -> float:
        """How long the next call may take, where a first one may take the `usual` time."""
        return min(LONGEST_TIMEOUT_S, usual * TIMEOUT_GROWTH**self.silences)


class OrderDesk:
    """Orders for the present life of the worker, under the present term."""

    def __init__(
        self,
        clock: Clock,
        line: WorkerLine,
        lives: Lives,
        permit: Permit,
        holder: Holder,
        on_change: Callable[[bool], None],
    ) -> None:
        """`on_change` is told after each answer, with whether the worker has seen a higher fence."""
        self._clock = clock
        self._line = line
        self._lives = lives
        self._permit = permit
        self._holder = holder
        self._on_change = on_change
        self._fence = 0
        self._open: dict[RunKey, _RunOrders] = {}
        self._settled: dict[tuple[RunKey, str], Settled] = {}
        self._news = False
        self._under_way: set[int] = set()
        self._sequence = itertools.count()
        self._timer: Timer | None = None
        self._stopped = False

    def set_fence(self, term: int) -> None:
        """Begin a new term: the orders of the old one are void, its primary's successor sends its own."""
        self._fence = term
        self._settled.clear()
        self._drop_open()

    def life_over(self) -> None:
        """The life that the open orders are for is over."""
        self._settle_all_gone()
        self._drop_open()

    def take(self, instance: str, starts: list[StartOrder], stops: list[StopOrder]) -> None:
        """Take orders for the life `instance`; those that are known already change nothing."""
        life = self._lives.current
        if not instance or (life is None and not self._lives.is_over(instance)):
            return  # the worker is not known yet; the primary repeats its orders
        gone = life is None or life.instance != instance or life.denied
        for stop in stops:
            self._take_stop(stop, gone)
        for start in starts:
            self._take_start(start, gone)

    def results(self) -> list[Settled]:
        """Ends of orders that no answered report has told of."""
        return [settled for settled in self._settled.values() if settled.to_report]

    def take_news(self) -> bool:
        """Whether an order has ended since this was asked last; one told of again is no news."""
        news, self._news = self._news, False
        return news

    def reported(self, told: list[Settled]) -> None:
        """A report that told of these was answered."""
        for settled in told:
            settled.to_report = False

    def open_orders(self) -> int:
        """How many runs have orders that have not ended."""
        return len(self._open)

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True
        self._drop_open()

    # ---- orders in

    def _take_stop(self, order: StopOrder, gone: bool) -> None:
        key = (order.task, order.run)
        if self._tell_again(key, OrderKind.STOP):
            return
        if gone:
            self._settle(key, OrderKind.STOP, Outcome.GONE)
            return
        run_orders = self._open.get(key)
        if run_orders is None:
            run_orders = self._open[key] = _RunOrders(key, next(self._sequence), self._clock.now())
        if not run_orders.stop_ordered:
            run_orders.stop_ordered = True
            run_orders.due_at = self._clock.now()

    def _take_start(self, order: StartOrder, gone: bool) -> None:
        key = (order.task, order.run)
        if key in self._open or self._tell_again(key, OrderKind.START):
            return
        if gone:
            self._settle(key, OrderKind.START, Outcome.GONE)
        elif self._holder.has_seen(key):
            self._settle(key, OrderKind.START, Outcome.STARTED, self._holder.next_number())
        elif (key, OrderKind.STOP) in self._settled:
            self._settle(key, OrderKind.START, Outcome.OLD, self._holder.next_number())
        else:
            run_orders = _RunOrders(key, next(self._sequence), self._clock.now(), start=order)
            run_orders.unanswered = self._holder.earlier_calls_may_arrive()
            self._open[key] = run_orders

    def _tell_again(self, key: RunKey, kind: str) -> bool:
        """Whether that order has ended; then the next report, whenever it goes, tells of it again."""
        settled = self._settled.get((key, kind))
        if settled is None:
            return False
        if not settled.to_report:
            self._settled[key, kind] = Settled(settled.result)
        return True

    # ---- ends of orders

    def _settle(self, key: RunKey, kind: str, outcome: str, at_hold: int = 0) -> None:
        task, run = key
        self._settled[key, kind] = Settled(OrderResult(task, run, kind, outcome, at_hold))
        self._news = True
        if len(self._settled) > MOST_SETTLED:
            del self._settled[next(iter(self._settled))]

    def _settle_start(self, run_orders: _RunOrders, outcome: str) -> None:
        """The start has ended for certain."""
        self._settle(run_orders.key, OrderKind.START, outcome, self._holder.next_number())
        del self._open[run_orders.key]

    def _refuse(self, run_orders: _RunOrders, outcome: str) -> None:
        """The start was refused; if an earlier call may yet be carried out, that is prevented first."""
        if run_orders.unanswered:
            run_orders.refusal = outcome
            run_orders.refusals = 0
            run_orders.due_at = self._clock.now()
        else:
            self._settle(run_orders.key, OrderKind.START, outcome)  # it never was: no lists need to confirm that
            del self._open[run_orders.key]

    def _settle_all_gone(self) -> None:
        for run_orders in self._open.values():
            if run_orders.start is not None:
                self._settle(run_orders.key, OrderKind.START, Outcome.GONE)
            if run_orders.stop_ordered:
                self._settle(run_orders.key, OrderKind.STOP, Outcome.GONE)
        self._open.clear()

    def drop_starts(self) -> None:
        """Forget starts that have not ended: the worker's holds have lapsed, and calls in the air are too late."""
        for key in [key for key, run_orders in self._open.items() if not run_orders.wants_stop]:
            del self._open[key]

    def _drop_open(self) -> None:
        """Forget open orders, and the calls under way for them."""
        self._open.clear()
        self._under_way.clear()
        self._set_timer(None)

    # ---- calls out

    def drive(self) -> None:
        """Send what is due now, stops first, and wake up when the next is."""
        life = self._lives.current
        if life is None or self._stopped:
            return
        if life.denied:
            self._settle_all_gone()
            return
        if life.draining:
            self._refuse_unsent_starts()
        for run_orders in self._due(life):
            if len(self._under_way) >= PARALLEL_CALLS:
                break
            self._send(life, run_orders)
        now = self._clock.now()
        self._set_timer(min((waiting.due_at for waiting in self._open.values() if waiting.due_at > now), default=None))

    def _refuse_unsent_starts(self) -> None:
        """Refuse starts on a draining worker, but for runs that turn out to be there."""
        if not self._holder.fence_is_shown():
            return  # what runs there isn't known, and starts of an earlier term may yet be carried out
        for run_orders in list(self._open.values()):
            if run_orders.wants_stop or run_orders.start_under_way:
                continue
            if self._holder.has_seen(run_orders.key):
                self._settle_start(run_orders, Outcome.STARTED)
            else:
                self._refuse(run_orders, Outcome.DRAINING)

    def _due(self, life: Life) -> list[_RunOrders]:
        now = self._clock.now()
        if self._holder.gave_up():
            return []
        may_start = self._may_start(life)
        due = [
            waiting
            for waiting in self._open.values()
            if waiting.due_at <= now and not waiting.under_way and (waiting.wants_stop or may_start)
        ]
        return sorted(due, key=lambda waiting: (not waiting.wants_stop, waiting.due_at, waiting.sequence))

    def _may_start(self, life: Life) -> bool:
        """Whether the worker has told of itself and of what runs there, stays, answers, and may be held."""
        known = life.info is not None and self._holder.fence_is_shown()
        serves = not life.draining and not self._holder.is_silent()
        return known and serves and self._start_deadline(life) is not None

    def _start_deadline(self, life: Life) -> Deadline | None:
        """The deadline that a start carries; None while it would be too near."""
        deadline = self._permit.deadline(life)
        if deadline is None or deadline.until - self._clock.now() < LEAST_HOLD_S:
            return None
        return deadline

    def _send(self, life: Life, run_orders: _RunOrders) -> None:
        if run_orders.wants_stop:
            self._send_stop(life, run_orders)
            return
        if self._holder.has_seen(run_orders.key):
            self._settle_start(run_orders, Outcome.STARTED)
            return
        deadline = self._start_deadline(life)
        if run_orders.start is not None and deadline is not None:
            self._send_start(life, run_orders, run_orders.start, deadline)

    def _send_start(self, life: Life, run_orders: _RunOrders, order: StartOrder, deadline: Deadline) -> None:
        sent_at = self._clock.now()
        self._holder.given(deadline.until)
        run_orders.start_under_way = True
        body = StartBody(order.task, order.run, order.spec, deadline.worker_ms, self._fence, order.saved)

        def answered(reply: WorkerReply) -> None:
            run_orders.start_under_way = False
            if reply.status == OK:
                self._holder.held(deadline.until, sent_at)
            self._take_start_reply(run_orders, reply)

        self._call(life, START_PATH, body, run_orders, answered)

    def _send_stop(self, life: Life, run_orders: _RunOrders) -> None:
        run_orders.stop_under_way = True
        task, run = run_orders.key

        def answered(reply: WorkerReply) -> None:
            run_orders.stop_under_way = False
            self._take_stop_reply(run_orders, reply)

        self._call(life, STOP_PATH, StopBody(task, run, self._fence), run_orders, answered)

    def _call(
        self,
        life: Life,
        path: str,
        body: StartBody | StopBody,
        run_orders: _RunOrders,
        answered: Callable[[WorkerReply], None],
    ) -> None:
        ticket = next(self._sequence)
        self._under_way.add(ticket)

        def on_reply(reply: WorkerReply) -> None:
            self._under_way.discard(ticket)
            if self._stopped:
                return
            if self._open.get(run_orders.key) is run_orders:
                answered(reply)
            self._on_change(_is_fenced(reply))

        self._line.call(life, path, body, run_orders.timeout(life.answer_times.timeout), on_reply)

    # ---- answers

    def _take_start_reply(self, run_orders: _RunOrders, reply: WorkerReply) -> None:
        if reply.status == NO_ANSWER and not reply.refused:
            run_orders.unanswered = True
        if reply.status == OK or (reply.status == NO_ANSWER and run_orders.unanswered):
            self._holder.expect(run_orders.key)  # if the worker stays silent, it lapses
        if run_orders.wants_stop:
            return  # the stop decides
        if reply.status == OK:
            self._settle_start(run_orders, Outcome.STARTED)
        elif reply.status == NO_ANSWER:
            self._repeat_after_silence(run_orders, reply)
            if reply.refused and run_orders.silences >= UNREACHED_TRIES:
                self._refuse(run_orders, Outcome.UNHEALTHY)
        elif reply.status == CONFLICT:
            self._take_conflict(run_orders, reply)
        elif reply.status == OTHER_LIFE:
            self._settle_start(run_orders, Outcome.GONE)
        elif reply.status == BAD_REQUEST:
            self._refuse(run_orders, Outcome.INVALID)
        else:
            self._repeat_after_refusal(run_orders)
            if run_orders.refusals >= UNHEALTHY_TRIES:
                self._refuse(run_orders, Outcome.UNHEALTHY)

    def _take_conflict(self, run_orders: _RunOrders, reply: WorkerReply) -> None:
        if reply.reason == "old":
            self._settle_start(run_orders, Outcome.OLD)
            self._holder.request_look()  # it may be old because it has run
        elif reply.reason == "room":
            self._refuse(run_orders, Outcome.ROOM)
        elif reply.reason == "late":
            self._repeat_after_refusal(run_orders)
            run_orders.refusals = 0  # the answer told the worker's clock: the next deadline is in time
        else:
            run_orders.due_at = self._clock.now() + FENCED_PAUSE_S

    def _take_stop_reply(self, run_orders: _RunOrders, reply: WorkerReply) -> None:
        if reply.status == OK:
            self._settle_stopped(run_orders)
        elif reply.status == OTHER_LIFE:
            self._settle_gone(run_orders)
        elif reply.status == NO_ANSWER:
            self._holder.expect(run_orders.key)  # if the worker stays silent, it lapses
            self._repeat_after_silence(run_orders, reply)
        elif _is_fenced(reply):
            run_orders.due_at = self._clock.now() + FENCED_PAUSE_S
        else:
            self._repeat_after_refusal(run_orders)

    def _settle_stopped(self, run_orders: _RunOrders) -> None:
        """The worker will end the run if it is there, and never start it any more."""
        key = run_orders.key
        at_hold = self._holder.next_number()
        if run_orders.refusal:
            self._settle(key, OrderKind.START, run_orders.refusal, at_hold)
        if run_orders.stop_ordered:
            self._settle(key, OrderKind.STOP, Outcome.STOPPED, at_hold)
        del self._open[key]
        if not self._holder.runs(key):
            self._holder.request_look()  # no end may come that would answer the poll

    def _settle_gone(self, run_orders: _RunOrders) -> None:
        if run_orders.refusal:
            self._settle(run_orders.key, OrderKind.START, Outcome.GONE)
        if run_orders.stop_ordered:
            self._settle(run_orders.key, OrderKind.STOP, Outcome.GONE)
        del self._open[run_orders.key]

    def _repeat_after_silence(self, run_orders: _RunOrders, reply: WorkerReply) -> None:
        run_orders.silences += 1
        pause = REFUSAL_PAUSE_S * run_orders.silences if reply.refused else SILENCE_PAUSE_S
        run_orders.due_at = self._clock.now() + min(LONGEST_PAUSE_S, pause)

    def _repeat_after_refusal(self, run_orders: _RunOrders) -> None:
        run_orders.silences = 0
        run_orders.refusals += 1
        pause = REFUSAL_PAUSE_S * run_orders.refusals
        run_orders.due_at = self._clock.now() + min(LONGEST_PAUSE_S, pause)

    def _set_timer(self, when: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if when is None:
            self._timer = None
            return
        # a clock that is read a trifle early must not make this spin
        self._timer = self._clock.at(max(when, self._clock.now() + SHORTEST_TIMER_S), self._due_again)

    def _due_again(self) -> None:
        self._on_change(False)


def _is_fenced(reply: WorkerReply) -> bool:
    return reply.status == CONFLICT and reply.reason == "fence"
