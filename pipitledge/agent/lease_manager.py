"""Holds: keep the worker's tasks alive by deadlines, and learn from its lists what runs and what ended.

Each hold is a look at the worker, and has a price: none is sent without need. The needs, by rank:

- a *look*, answered at once, after a change of term or life (it shows the worker the new fence), or where lists are
  wanted that are newer than an order's answer;
- a *renewal*, answered at once, where a deadline would run out before the poll under way returns;
- a *poll*, answered at the next end, as long as anything may be running.

One poll is under way at a time, and one of the others beside it. Calls are numbered as they are sent; lists of a lower
number than those taken last are left out, ends are taken from any answer.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable

import msgspec
from msgspec import Struct

from pipitledge.agent.lease_grant import LeaseGrant
from pipitledge.agent.poll_wait import SHORTEST_WAIT_S, PollWaitEstimator
from pipitledge.agent.worker_client import CONFLICT, NO_ANSWER, OK, WRONG_INSTANCE, WorkerClient, WorkerReply
from pipitledge.agent.worker_clock import MIN_CLOCK_RATE, MS_PER_S
from pipitledge.agent.worker_instance import InstanceTracker, WorkerInstance
from pipitledge.agent.worker_messages import HOLD_PATH, MAX_ENDS_PER_ANSWER, FinishedEntry, HoldAnswer, HoldBody
from pipitledge.runtime.ports import Clock, Timer
from pipitledge.wire.messages import FinishedTask, RunningTask

POLL_WAIT_FRACTION = 0.4  # of the time left until the deadline; then it is renewed
MIN_EXTENSION_S = 0.25  # a renewal that moves the deadline by less isn't worth a call
RENEWAL_MARGIN_S = 0.75  # a deadline this near is renewed beside the poll
RENEWAL_MARGIN_FRACTION = 0.15  # of the time held, where that is shorter; two polls fit in before (see `WAIT_SHARE`)
POLL_INTERVAL_S = 0.1  # ends that come close together share a poll; the primary may want another figure
UNACKNOWLEDGED_POLL_INTERVAL_S = 1.0  # ends that are not acknowledged would answer each poll at once
REFUSED_BACKOFF_S = 0.5  # after a call that was refused
REFUSED_BACKOFF_FACTOR = 1.5
TIMEOUT_BACKOFF_S = 0.02  # after one that got no answer
TIMEOUT_BACKOFF_FACTOR = 2.5
MAX_BACKOFF_S = 2.0
SILENT_AFTER_FAILURES = 2  # a single call may be lost on its way
EXPIRY_CHECK_DELAY_S = 0.01  # after a lapse, it is told of
MISSED_HEARTBEATS = 3  # a worker silent in all ways for so many is left alone once its tasks have lapsed

SHORTEST_TIMER_S = 0.001

RunKey = tuple[str, int]  # task and run


class LeaseChange(enum.Enum):
    """What the answer to a hold changed."""

    NOTHING_NEW = "lists"
    NEW_ENDS_OR_LISTS = "news"  # ends, or lists that were waited for
    FAILED = "failed"
    FENCED = "fenced"  # the worker has seen a higher fence
    REPLACED = "denied"  # another life answered
    LEFT = "left"  # the life that said goodbye is over


class RunLists(Struct):
    """What the worker's last lists told; `number` 0: none yet of this life."""

    number: int = 0
    fence: int = 0
    sent_at: float = 0.0
    running: list[RunningTask] = []


class _HoldCall(Struct):
    """A hold under way."""

    worker: WorkerInstance
    number: int
    fence: int
    sent_at: float
    wait_s: float  # for an end; 0: a look or a renewal
    until: float | None  # end of holding that it gives (agent's clock)

    @property
    def is_poll(self) -> bool:
        """Whether it is answered at the next end."""
        return self.wait_s > 0.0


class LeaseManager:
    """Holds for the present life of the worker."""

    def __init__(
        self,
        clock: Clock,
        client: WorkerClient,
        instances: InstanceTracker,
        grant: LeaseGrant,
        heartbeat_s: float,
        hold_max_s: float,
        on_change: Callable[[LeaseChange], None],
    ) -> None:
        """`on_change` is told of each answer; it calls `drive` in the end.

        A worker takes no deadline further ahead than `hold_max_s`, also from an earlier process of this agent.
        """
        self._earlier_leases_until = clock.now() + hold_max_s / MIN_CLOCK_RATE
        self._clock = clock
        self._client = client
        self._instances = instances
        self._grant = grant
        self._heartbeat_s = heartbeat_s
        self._on_change = on_change
        self._fence = 0
        self._next_call_number = 1
        self._poll_interval_s = POLL_INTERVAL_S
        self._timer: Timer | None = None
        self._stopped = False
        self._reset(None)

    def _reset(self, worker: WorkerInstance | None) -> None:
        """Forget all that was known of another life."""
        self._worker = worker
        self.lists = RunLists()
        self.acknowledged = 0
        self._ends: dict[int, FinishedTask] = {}
        self._last_end = 0
        self._more_ends = False
        self._expected: dict[RunKey, int] = {}  # may be running; number of the first hold that tells
        self._worker_fence = 0
        self._refresh_number = 0
        self._confirming_number = 0
        self._poll_call: _HoldCall | None = None
        self._immediate_call: _HoldCall | None = None
        self._poll_wait = PollWaitEstimator()
        self._confirmed_until = 0.0  # that the worker confirmed
        self._confirmed_from = 0.0
        self._latest_sent_until = 0.0  # that the worker may have been given
        self._polled_at = -math.inf
        self._answered_at = -math.inf
        self._failures = 0
        self._retry_at = -math.inf

    # ---- what others tell

    def set_fence(self, term: int) -> None:
        """Hold under a new term."""
        self._fence = term

    def acknowledge(self, instance: str, number: int) -> None:
        """Ends of that life up to `number` are in replicated state."""
        self._follow_instance()
        if self._worker is None or self._worker.instance != instance or number <= self.acknowledged:
            return
        self.acknowledged = number
        for passed in [end for end in self._ends if end <= number]:
            del self._ends[passed]
        if self._more_ends and number >= self._last_end:
            self._more_ends = False
            self.request_refresh()

    def set_poll_interval(self, interval_s: float) -> None:
        """Let polls begin no sooner after each other."""
        self._poll_interval_s = interval_s

    def expect_run(self, key: RunKey) -> None:
        """That run may be there from now on."""
        self._expected[key] = self._next_call_number

    def request_refresh(self) -> None:
        """Lists are wanted from a call that is sent after now, and soon."""
        self._refresh_number = self._next_call_number

    def record_sent_deadline(self, until: float) -> None:
        """An order with that end of holding was sent: the worker may have taken it."""
        self._latest_sent_until = max(self._latest_sent_until, until)

    def record_confirmed_deadline(self, until: float, sent_at: float) -> None:
        """The worker confirmed that end of holding, of a call sent at `sent_at`."""
        if until > self._confirmed_until:
            self._confirmed_until = until
            self._confirmed_from = sent_at

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True
        self._set_timer(None)

    # ---- what others ask

    def next_call_number(self) -> int:
        """Number of the next call; its lists are news once they come."""
        self._confirming_number = self._next_call_number
        return self._next_call_number

    def may_run(self) -> bool:
        """Whether anything may be running, as far as is known."""
        return bool(self.lists.running or self._expected)

    def runs(self, key: RunKey) -> bool:
        """Whether the last lists show that run as running."""
        return any((entry.task, entry.run) == key for entry in self.lists.running)

    def has_seen(self, key: RunKey) -> bool:
        """Whether the lists show that run as running or ended."""
        return self.runs(key) or any((end.task, end.run) == key for end in self._ends.values())

    def finished(self) -> list[FinishedTask]:
        """All ends that are not acknowledged."""
        return [self._ends[number] for number in sorted(self._ends)]

    def worker_has_fence(self) -> bool:
        """Whether the worker's present life has seen the present term."""
        return self._worker_fence >= self._fence

    def has_abandoned_worker(self) -> bool:
        """Whether the worker is silent in all ways, and all that it may have held has lapsed."""
        if self._worker is None or not self._failures:
            return False
        now = self._clock.now()
        missed = now - self._worker.last_heartbeat_at > MISSED_HEARTBEATS * self._heartbeat_s
        return missed and now > self._latest_sent_until

    def earlier_calls_may_arrive(self) -> bool:
        """Whether calls of an earlier process of this agent may yet be carried out."""
        return self._clock.now() <= self._earlier_leases_until

    def is_silent(self) -> bool:
        """Whether the last holds failed: then nothing is given to the worker that would prolong its holds."""
        if self._failures >= SILENT_AFTER_FAILURES:
            return True
        return self._worker is not None and self._worker.silent and not self._worker.connection_refused

    def leases_expired(self) -> bool:
        """Whether the worker leaves calls unanswered, and all that it may have held has lapsed."""
        return self.is_silent() and self._clock.now() > self._expiry_at()

    def _expiry_at(self) -> float:
        """When the last deadline that the worker may know has come."""
        return max(self._latest_sent_until, self._earlier_leases_until)

    # ---- which call is due

    def drive(self) -> None:
        """Send what is due now, and wake up when the next may be."""
        self._follow_instance()
        worker = self._worker
        if worker is None or worker.replaced or not self._fence or self._stopped:
            self._set_timer(None)
            return
        if self._has_left(worker):
            self._on_change(LeaseChange.LEFT)
            return
        now = self._clock.now()
        if now >= self._retry_at and not self.has_abandoned_worker():
            self._send_due(worker)
        self._set_timer(self._next_wakeup())

    def _follow_instance(self) -> None:
        if self._instances.current is not self._worker:
            self._reset(self._instances.current)

    def _has_left(self, worker: WorkerInstance) -> bool:
        """A worker that said goodbye is gone once nothing can be running there."""
        if not worker.leaving:
            return False
        idle = self.lists.number > 0 and not self.may_run()
        return idle or (self._failures > 0 and self._clock.now() > self._latest_sent_until)

    def _send_due(self, worker: WorkerInstance) -> None:
        if self._immediate_call is None and (self._refresh_is_due() or self._renewal_is_due()):
            self._send(worker, 0.0)
        elif self._poll_is_due():
            self._send(worker, self._poll_wait_s() if not self._failures else 0.0)

    def _refresh_is_due(self) -> bool:
        if not self.worker_has_fence():
            return True
        under_way = self._poll_call.number if self._poll_call is not None else 0
        return self._refresh_number > max(self.lists.number, under_way)

    def _renewal_is_due(self) -> bool:
        return self.may_run() and self._extension_s() >= MIN_EXTENSION_S and self._clock.now() >= self._renewal_at()

    def _extension_s(self) -> float:
        """By how much a call now would move the end of holding."""
        until = self._grant.until()
        return 0.0 if until is None else until - self._confirmed_until

    def _renewal_at(self) -> float:
        """When the confirmed deadline gets near; it comes early if the worker's clock keeps pace with ours."""
        span = MIN_CLOCK_RATE * (self._confirmed_until - self._confirmed_from)
        return self._confirmed_from + span - min(RENEWAL_MARGIN_S, RENEWAL_MARGIN_FRACTION * span)

    def _poll_is_due(self) -> bool:
        idle = self._poll_call is None and self._immediate_call is None
        return idle and self.may_run() and self._clock.now() >= self._poll_at()

    def _poll_at(self) -> float:
        """The earliest time of the next poll."""
        if self._last_end > self.acknowledged:
            return self._answered_at + UNACKNOWLEDGED_POLL_INTERVAL_S
        return self._polled_at + self._poll_interval_s

    def _poll_wait_s(self) -> float:
        """How long a poll may wait, so that the deadline is renewed in time."""
        until = self._grant.until()
        if until is None or self._extension_s() < MIN_EXTENSION_S:
            return self._poll_wait.wait_s
        return min(self._poll_wait.wait_s, max(SHORTEST_WAIT_S, POLL_WAIT_FRACTION * (until - self._clock.now())))

    def _next_wakeup(self) -> float | None:
        """When something may become due by time alone."""
        now = self._clock.now()
        call_at = self._next_call_at(now)
        expiry_at = self._expiry_at() + EXPIRY_CHECK_DELAY_S
        if not self.is_silent() or expiry_at <= now:
            return call_at
        return expiry_at if call_at is None else min(call_at, expiry_at)

    def _next_call_at(self, now: float) -> float | None:
        """When a call may become due by time alone."""
        if now < self._retry_at:
            return self._retry_at
        if not self.may_run() or self.has_abandoned_worker():
            return None
        times = [] if self._poll_call or self._immediate_call else [self._poll_at()]
        if self._immediate_call is None:
            times.append(self._renewal_at())
        return min((time for time in times if time > now), default=None)

    def _set_timer(self, when: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if when is None:
            self._timer = None
            return
        # a clock that is read a trifle early must not make this spin
        self._timer = self._clock.at(max(when, self._clock.now() + SHORTEST_TIMER_S), self._due)

    def _due(self) -> None:
        """Something may have become due by time alone: a call, or to tell of a lapse."""
        self._on_change(LeaseChange.NOTHING_NEW)

    # ---- calls and answers

    def _send(self, worker: WorkerInstance, wait_s: float) -> None:
        now = self._clock.now()
        deadline = None if self.is_silent() else self._grant.deadline(worker)
        until = None if deadline is None else deadline.until
        call = _HoldCall(worker, self._next_call_number, self._fence, now, wait_s, until)
        self._next_call_number += 1
        if call.is_poll:
            self._poll_call = call
            self._polled_at = now
        else:
            self._immediate_call = call
        if until is not None:
            self.record_sent_deadline(until)
        body = HoldBody(
            fence_token=call.fence,
            last_seen=self.acknowledged,
            deadline_ms=None if deadline is None else deadline.worker_ms,
            wait_ms=int(wait_s * MS_PER_S),
        )
        timeout = wait_s + worker.response_times.timeout
        self._client.call(worker, HOLD_PATH, body, timeout, lambda reply: self._answered(call, reply), call.is_poll)

    def _answered(self, call: _HoldCall, reply: WorkerReply) -> None:
        self._follow_instance()
        if call.worker is not self._worker or self._stopped:
            return
        if call.is_poll:
            self._poll_call = None
        else:
            self._immediate_call = None
        self._on_change(self._handle_reply(call, reply))

    def _handle_reply(self, call: _HoldCall, reply: WorkerReply) -> LeaseChange:
        answer = _read_lists(reply) if reply.status == OK else None
        if answer is not None:
            return self._handle_lists(call, answer)
        if reply.status == WRONG_INSTANCE:
            return LeaseChange.REPLACED
        if reply.refused and call.worker.leaving:
            return LeaseChange.LEFT
        fenced = reply.status == CONFLICT and reply.reason == "fence"
        if call.number < self.lists.number or (fenced and call.fence < self._fence):
            return (
                LeaseChange.NOTHING_NEW
            )  # overtaken by a later call: the worker is no more silent than that one found it
        self._back_off(reply.status == NO_ANSWER)
        return LeaseChange.FENCED if fenced else LeaseChange.FAILED

    def _back_off(self, unanswered: bool) -> None:
        first, growth = (
            (TIMEOUT_BACKOFF_S, TIMEOUT_BACKOFF_FACTOR) if unanswered else (REFUSED_BACKOFF_S, REFUSED_BACKOFF_FACTOR)
        )
        pause = min(MAX_BACKOFF_S, first * growth**self._failures)
        self._retry_at = self._clock.now() + pause
        self._failures += 1

    def _handle_lists(self, call: _HoldCall, answer: HoldAnswer) -> LeaseChange:
        self._failures = 0
        self._retry_at = -math.inf
        self._answered_at = self._clock.now()
        if call.until is not None:
            self.record_confirmed_deadline(call.until, call.sent_at)
        has_news = call.fence > self._worker_fence
        self._worker_fence = max(self._worker_fence, call.fence)
        if call.number > self.lists.number:
            has_news = has_news or self.lists.number < self._confirming_number <= call.number
            running = [entry.typed() for entry in answer.running]
            self.lists = RunLists(call.number, call.fence, call.sent_at, running)
        ended = self._record_ends(answer.finished)
        self._record_poll_time(call, ended)
        has_news = ended or has_news
        self._prune_expected(call.number)
        return LeaseChange.NEW_ENDS_OR_LISTS if has_news else LeaseChange.NOTHING_NEW

    def _record_poll_time(self, call: _HoldCall, ended: bool) -> None:
        """Learn from a poll's answer how long it takes until an end comes."""
        took_s = self._clock.now() - call.sent_at
        if call.is_poll and ended:
            self._poll_wait.ended(took_s)
        elif call.is_poll and took_s >= call.wait_s:
            self._poll_wait.empty(call.wait_s)

    def _record_ends(self, entries: list[FinishedEntry]) -> bool:
        """Keep ends until they are acknowledged; whether one of them is new."""
        known = len(self._ends)
        for entry in entries:
            self._last_end = max(self._last_end, entry.number)
            if entry.number > self.acknowledged:
                self._ends[entry.number] = entry.typed()
        if len(entries) >= MAX_ENDS_PER_ANSWER:
            self._more_ends = True
        ended = {(entry.task, entry.run) for entry in entries}
        self.lists.running = [entry for entry in self.lists.running if (entry.task, entry.run) not in ended]
        for key in ended:
            self._expected.pop(key, None)
        return len(self._ends) > known

    def _prune_expected(self, number: int) -> None:
        """Runs that the lists show, or that lists of a call sent later don't show, are no longer a guess."""
        shown = {(entry.task, entry.run) for entry in self.lists.running}
        self._expected = {key: first for key, first in self._expected.items() if first > number and key not in shown}


def _read_lists(reply: WorkerReply) -> HoldAnswer | None:
    try:
        return msgspec.json.decode(reply.body, type=HoldAnswer)
    except msgspec.DecodeError:
        return None
