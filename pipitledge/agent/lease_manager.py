"""Task leases: extends the deadlines of a worker's runs, and learns from its lists which runs are running or ended.

Both are done by hold calls (`/pipitledge/hold`). Every call costs the worker time, so one is sent only when needed.
There are three kinds, in this order of precedence:

- a *refresh*, answered at once: after a change of the term or of the worker instance (it gives the worker the new
  fencing token), when lists newer than the answer to an order are needed, or when heartbeats are missing;
- a *renewal*, answered at once: when a deadline would expire before the pending poll returns;
- a *poll*, answered when the next run ends (long polling): as long as any run may be running.

At most one poll is pending at a time, and at most one refresh or renewal beside it. Calls are numbered in the order in
which they are sent. Lists from a call with a lower number than the latest lists are ignored; ended runs are accepted
from any answer.
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

POLL_WAIT_FRACTION = 0.4  # of the time left in the grant: the answer arrives in time to renew the deadline
MIN_EXTENSION_S = 0.25  # a renewal that extends the deadline by less is not worth a call
RENEWAL_MARGIN_S = 0.75  # a deadline this close is renewed although a poll is pending
RENEWAL_MARGIN_FRACTION = 0.15  # of the lease, if that is less; leaves time for two polls (see `POLL_WAIT_FRACTION`)
POLL_INTERVAL_S = 0.1  # minimum, so that runs that end close together share a poll; the primary may set another
UNACKNOWLEDGED_POLL_INTERVAL_S = 1.0  # a worker with unacknowledged ended runs answers every poll at once
REFUSED_BACKOFF_S = 0.5  # after the first call that was answered with an error
REFUSED_BACKOFF_FACTOR = 1.5
TIMEOUT_BACKOFF_S = 0.02  # after the first call without an answer
TIMEOUT_BACKOFF_FACTOR = 2.5
MAX_BACKOFF_S = 2.0
SILENT_AFTER_FAILURES = 2  # a single call may have been lost
EXPIRY_CHECK_DELAY_S = 0.01  # after the leases expire; then the expiry is reported
MISSED_HEARTBEATS = 3  # a worker that misses so many in a row is not called once its leases have expired

SHORTEST_TIMER_S = 0.001

RunKey = tuple[str, int]  # task id and run number


class LeaseChange(enum.Enum):
    """What the answer to a hold call changed."""

    NOTHING_NEW = "lists"
    NEW_ENDS_OR_LISTS = "news"  # newly ended runs, the first lists of a term, or lists that confirm an order
    FAILED = "failed"
    FENCED = "fenced"  # the worker knows a higher fencing token
    REPLACED = "denied"  # another worker instance answered


class RunLists(Struct):
    """The latest lists received from the worker; `number` is 0 if this instance has not sent any yet."""

    number: int = 0
    fence: int = 0
    sent_at: float = 0.0
    running: list[RunningTask] = []


class _HoldCall(Struct):
    """A pending hold call."""

    worker: WorkerInstance
    number: int
    fence: int
    last_seen: int  # ended runs up to this number are acknowledged
    sent_at: float
    wait_s: float  # how long the worker may wait for a run to end; 0 for a refresh or a renewal
    until: float | None  # the lease deadline that it carries (agent's clock); None: it extends nothing

    @property
    def is_poll(self) -> bool:
        """Whether the worker answers only when the next run ends or the wait is over."""
        return self.wait_s > 0.0


class LeaseManager:
    """Manages the task leases of the current worker instance."""

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
        """`on_change` is called after each answer and each timer; it must call `drive` before it returns.

        A worker accepts no deadline further ahead than `hold_max_s`. That also limits the leases that an earlier
        process of this agent may have granted.
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
        """Discard the state of the previous worker instance."""
        self._worker = worker
        self.lists = RunLists()
        self.acknowledged = 0
        self._ends: dict[int, FinishedTask] = {}
        self._last_end = 0
        self._more_ends = False
        # runs that may be running, with the number of the first hold call that can confirm it
        self._expected: dict[RunKey, int] = {}
        self._worker_fence = 0
        self._refresh_number = 0
        self._confirming_number = 0
        self._poll_call: _HoldCall | None = None
        self._immediate_call: _HoldCall | None = None
        self._poll_wait = PollWaitEstimator()
        self._confirmed_until = 0.0  # latest deadline that the worker confirmed
        self._confirmed_from = 0.0
        self._polled_at = -math.inf
        self._answered_at = -math.inf
        self._failures = 0
        self._retry_at = -math.inf
        self._seen_by_worker = 0  # latest number of an ended run that the worker knows to be acknowledged
        self._has_exited = False

    # ---- input from the agent and the order dispatcher

    def set_fence(self, term: int) -> None:
        """Use the term as fencing token from now on."""
        self._fence = term

    def acknowledge(self, instance: str, number: int) -> None:
        """The primary has replicated the ended runs of that worker instance up to `number`."""
        self._follow_instance()
        if self._worker is None or self._worker.instance != instance or number <= self.acknowledged:
            return
        self.acknowledged = number
        for passed in [end for end in self._ends if end <= number]:
            del self._ends[passed]
        has_more = self._more_ends and number >= self._last_end
        if has_more:
            self._more_ends = False
        if has_more or self._worker.leaving:  # no poll need follow that tells a leaving worker of this
            self.request_refresh()

    def set_poll_interval(self, interval_s: float) -> None:
        """Set the minimum time between the starts of two polls."""
        self._poll_interval_s = interval_s

    def expect_run(self, key: RunKey) -> None:
        """The worker may be running that run from now on."""
        self._expected[key] = self._next_call_number

    def request_refresh(self) -> None:
        """Request lists from a call that is sent from now on, without waiting for the next poll."""
        self._refresh_number = self._next_call_number

    def record_sent_deadline(self, until: float) -> None:
        """A call with that lease deadline was sent; the worker may have accepted it."""
        if self._worker is not None:
            self._worker.latest_deadline = max(self._worker.latest_deadline, until)

    def record_confirmed_deadline(self, until: float, sent_at: float) -> None:
        """The worker confirmed that lease deadline, carried by a call sent at `sent_at`."""
        if until > self._confirmed_until:
            self._confirmed_until = until
            self._confirmed_from = sent_at

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True
        self._set_timer(None)

    # ---- queries

    def next_call_number(self) -> int:
        """Return the number of the next hold call; its lists will be reported at once, as they confirm an order."""
        self._confirming_number = self._next_call_number
        return self._next_call_number

    def may_run(self) -> bool:
        """Whether the worker may be running any run, as last known."""
        return bool(self.lists.running or self._expected)

    def is_running(self, key: RunKey) -> bool:
        """Whether the latest lists name that run as running."""
        return any((entry.task, entry.run) == key for entry in self.lists.running)

    def has_listed(self, key: RunKey) -> bool:
        """Whether the lists name that run as running or ended."""
        return self.is_running(key) or any((end.task, end.run) == key for end in self._ends.values())

    def finished(self) -> list[FinishedTask]:
        """All ended runs that the primary has not acknowledged."""
        return [self._ends[number] for number in sorted(self._ends)]

    @property
    def failures(self) -> int:
        """Number of consecutive hold calls that failed."""
        return self._failures

    def lease_left_s(self) -> float:
        """Seconds until the latest deadline that the worker may know; 0 once it has passed."""
        return max(0.0, self._expiry_at() - self._clock.now())

    def worker_has_fence(self) -> bool:
        """Whether the current worker instance has received the fencing token of the current term."""
        return self._worker_fence >= self._fence

    def has_abandoned_worker(self) -> bool:
        """Whether no further call is made, because the worker sends no heartbeats and its task leases have expired.

        Calls end only in a state that each report tells the primary (`leases_expired`). Otherwise nothing would ever
        change that state, and the primary would wait for the runs of the worker for ever.
        """
        return self._worker is not None and self.leases_expired() and self._clock.now() > self._missed_at(self._worker)

    def _missed_at(self, worker: WorkerInstance) -> float:
        """From when the worker counts as one that sends no heartbeats, unless another one comes."""
        return worker.last_heartbeat_at + MISSED_HEARTBEATS * self._heartbeat_s

    def _check_at(self, worker: WorkerInstance) -> float:
        """When a worker that sends no heartbeats is asked whether it is there; an idle one would not be missed else."""
        return max(self._missed_at(worker), self._answered_at + self._heartbeat_s)

    def earlier_calls_may_arrive(self) -> bool:
        """Whether the worker may still execute calls that an earlier process of this agent sent."""
        return self._clock.now() <= self._earlier_leases_until

    def worker_has_exited(self) -> bool:
        """Whether a worker that announced its exit refuses connections."""
        return self._has_exited

    def unanswered_leases_expired(self) -> bool:
        """Whether the last hold call failed and all task leases have expired."""
        return self._failures > 0 and self._clock.now() > self._expiry_at()

    def is_idle(self) -> bool:
        """Whether the worker runs nothing, as lists of this term show, and no earlier process can change that.

        Starts of an earlier term are refused once the worker has the fencing token of this one. All ended runs that it
        listed have been acknowledged to it.
        """
        has_lists = self.lists.number > 0 and self.lists.fence == self._fence
        nothing_runs = has_lists and not self.may_run() and not self.earlier_calls_may_arrive()
        return nothing_runs and not self._more_ends and self._seen_by_worker >= self._last_end

    def is_silent(self) -> bool:
        """Whether the worker instance has stopped answering; then no call may extend the task leases.

        Its last hold calls failed, all calls are unanswered, another instance answered in its place, or it has exited.
        """
        if self._failures >= SILENT_AFTER_FAILURES or self._has_exited:
            return True
        worker = self._worker
        return worker is not None and (worker.replaced or (worker.silent and not worker.connection_refused))

    def leases_expired(self) -> bool:
        """Whether the worker instance has stopped answering and all its task leases have expired."""
        return self.is_silent() and self._clock.now() > self._expiry_at()

    def _expiry_at(self) -> float:
        """When the latest deadline that the worker may know has passed."""
        latest = self._worker.latest_deadline if self._worker is not None else 0.0
        return max(latest, self._earlier_leases_until)

    # ---- which call is due

    def drive(self) -> None:
        """Send the call that is due now, and set a timer for the next one."""
        self._follow_instance()
        worker = self._worker
        if worker is None or not self._fence or self._stopped:
            self._set_timer(None)
            return
        if self._clock.now() >= self._retry_at and self._may_call(worker):
            self._send_due(worker)
        self._set_timer(self._next_wakeup(worker))

    def _follow_instance(self) -> None:
        if self._instances.current is not self._worker:
            self._reset(self._instances.current)

    def _may_call(self, worker: WorkerInstance) -> bool:
        """Whether any further call is made to that instance."""
        return not worker.replaced and not self._has_exited and not self.has_abandoned_worker()

    def _send_due(self, worker: WorkerInstance) -> None:
        check_is_due = self._clock.now() >= self._check_at(worker)
        if self._immediate_call is None and (check_is_due or self._refresh_is_due() or self._renewal_is_due()):
            self._send(worker, 0.0)
        elif self._poll_is_due():
            self._send(worker, self._poll_wait_s() if not self._failures else 0.0)

    def _refresh_is_due(self) -> bool:
        if not self.worker_has_fence():
            return True
        pending_number = self._poll_call.number if self._poll_call is not None else 0
        return self._refresh_number > max(self.lists.number, pending_number)

    def _renewal_is_due(self) -> bool:
        return self.may_run() and self._extension_s() >= MIN_EXTENSION_S and self._clock.now() >= self._renewal_at()

    def _extension_s(self) -> float:
        """By how many seconds a call sent now would extend the lease deadline."""
        until = self._grant.until()
        return 0.0 if until is None else until - self._confirmed_until

    def _renewal_at(self) -> float:
        """When the confirmed deadline is due for renewal.

        The worker reaches the deadline earlier than the agent computed if its clock is not as slow as assumed.
        """
        span = MIN_CLOCK_RATE * (self._confirmed_until - self._confirmed_from)
        return self._confirmed_from + span - min(RENEWAL_MARGIN_S, RENEWAL_MARGIN_FRACTION * span)

    def _poll_is_due(self) -> bool:
        idle = self._poll_call is None and self._immediate_call is None
        return idle and self.may_run() and self._clock.now() >= self._poll_at()

    def _poll_at(self) -> float:
        """The earliest time at which the next poll may be sent."""
        if self._last_end > self.acknowledged:
            return self._answered_at + UNACKNOWLEDGED_POLL_INTERVAL_S
        return self._polled_at + self._poll_interval_s

    def _poll_wait_s(self) -> float:
        """How long a poll may wait at the worker so that the deadline is still renewed in time."""
        until = self._grant.until()
        if until is None or self._extension_s() < MIN_EXTENSION_S:
            return self._poll_wait.wait_s
        return min(self._poll_wait.wait_s, max(SHORTEST_WAIT_S, POLL_WAIT_FRACTION * (until - self._clock.now())))

    def _next_wakeup(self, worker: WorkerInstance) -> float | None:
        """When the next timer is needed, for a call or to report expired leases; None if there is none."""
        now = self._clock.now()
        call_at = self._next_call_at(worker, now) if self._may_call(worker) else None
        expiry_at = self._expiry_at() + EXPIRY_CHECK_DELAY_S
        if not self.is_silent() or expiry_at <= now:
            return call_at
        return expiry_at if call_at is None else min(call_at, expiry_at)

    def _next_call_at(self, worker: WorkerInstance, now: float) -> float | None:
        """When the next call becomes due without any other event; None if there is none."""
        if now < self._retry_at:
            return self._retry_at
        times = []
        if self._immediate_call is None:
            times.append(self._check_at(worker))
        if self.may_run() and self._immediate_call is None:
            times.append(self._renewal_at())
            if self._poll_call is None:
                times.append(self._poll_at())
        return min((time for time in times if time > now), default=None)

    def _set_timer(self, when: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if when is None:
            self._timer = None
            return
        # the minimum prevents a busy loop when the timer fires slightly before its time
        self._timer = self._clock.at(max(when, self._clock.now() + SHORTEST_TIMER_S), self._due)

    def _due(self) -> None:
        """The timer fired: a call or the report of expired leases may be due."""
        self._on_change(LeaseChange.NOTHING_NEW)

    # ---- calls and answers

    def _send(self, worker: WorkerInstance, wait_s: float) -> None:
        now = self._clock.now()
        deadline = None if self.is_silent() else self._grant.deadline(worker)
        until = None if deadline is None else deadline.until
        call = _HoldCall(worker, self._next_call_number, self._fence, self.acknowledged, now, wait_s, until)
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
            last_seen=call.last_seen,
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
        self._has_exited = self._has_exited or (reply.refused and call.worker.leaving)
        fenced = reply.status == CONFLICT and reply.reason == "fence"
        if call.number < self.lists.number or (fenced and call.fence < self._fence):
            return LeaseChange.NOTHING_NEW  # a later call has been answered since, so this failure says nothing
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
        self._seen_by_worker = max(self._seen_by_worker, call.last_seen)
        if call.number > self.lists.number:
            has_news = has_news or self.lists.number < self._confirming_number <= call.number
            running = [entry.to_message() for entry in answer.running]
            self.lists = RunLists(call.number, call.fence, call.sent_at, running)
        ended = self._record_ends(answer.finished)
        self._record_poll_time(call, ended)
        has_news = ended or has_news
        self._prune_expected(call.number)
        return LeaseChange.NEW_ENDS_OR_LISTS if has_news else LeaseChange.NOTHING_NEW

    def _record_poll_time(self, call: _HoldCall, ended: bool) -> None:
        """Pass the duration of a poll to the estimator of poll waits."""
        took_s = self._clock.now() - call.sent_at
        if call.is_poll and ended:
            self._poll_wait.ended(took_s)
        elif call.is_poll and took_s >= call.wait_s:
            self._poll_wait.empty(call.wait_s)

    def _record_ends(self, entries: list[FinishedEntry]) -> bool:
        """Keep ended runs until they are acknowledged. Return whether one of them is new."""
        known = len(self._ends)
        for entry in entries:
            self._last_end = max(self._last_end, entry.number)
            if entry.number > self.acknowledged:
                self._ends[entry.number] = entry.to_message()
        if len(entries) >= MAX_ENDS_PER_ANSWER:
            self._more_ends = True
        ended = {(entry.task, entry.run) for entry in entries}
        self.lists.running = [entry for entry in self.lists.running if (entry.task, entry.run) not in ended]
        for key in ended:
            self._expected.pop(key, None)
        return len(self._ends) > known

    def _prune_expected(self, number: int) -> None:
        """Remove expected runs that the lists contain, or that lists requested later do not contain."""
        shown = {(entry.task, entry.run) for entry in self.lists.running}
        self._expected = {key: first for key, first in self._expected.items() if first > number and key not in shown}


def _read_lists(reply: WorkerReply) -> HoldAnswer | None:
    try:
        return msgspec.json.decode(reply.body, type=HoldAnswer)
    except msgspec.DecodeError:
        return None
