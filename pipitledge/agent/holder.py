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

from pipitledge.agent.life import Life, Lives
from pipitledge.agent.permit import Permit
from pipitledge.agent.poll_pace import SHORTEST_WAIT_S, PollPace
from pipitledge.agent.worker_clock import MS_PER_S, SLOWEST_RATE
from pipitledge.agent.worker_line import CONFLICT, NO_ANSWER, OK, OTHER_LIFE, WorkerLine, WorkerReply
from pipitledge.agent.worker_messages import HOLD_PATH, LONGEST_ENDS_LIST, FinishedEntry, HoldAnswer, HoldBody
from pipitledge.runtime.ports import Clock, Timer
from pipitledge.wire.messages import FinishedTask, RunningTask

WAIT_SHARE = 0.4  # of the time left until the deadline; then it is renewed
LEAST_GAIN_S = 0.25  # a renewal that moves the deadline by less isn't worth a call
URGENT_S = 0.75  # a deadline this near is renewed beside the poll
URGENT_SHARE = 0.15  # of the time held, where that is shorter; two polls fit in before (see `WAIT_SHARE`)
POLL_INTERVAL_S = 0.1  # ends that come close together share a poll; the primary may want another figure
ACKNOWLEDGEMENT_PATIENCE_S = 1.0  # ends that are not acknowledged would answer each poll at once
FIRST_PAUSE_S = 0.5  # after a call that was refused
PAUSE_GROWTH = 1.5
FIRST_SILENCE_PAUSE_S = 0.02  # after one that got no answer
SILENCE_PAUSE_GROWTH = 2.5
LONGEST_PAUSE_S = 2.0
SILENT_AFTER_FAILURES = 2  # a single call may be lost on its way
LAPSE_CHECK_S = 0.01  # after a lapse, it is told of
MISSED_HEARTBEATS = 3  # a worker silent in all ways for so many is left alone once its tasks have lapsed

SHORTEST_TIMER_S = 0.001

RunKey = tuple[str, int]  # task and run


class HoldChange(enum.Enum):
    """What the answer to a hold changed."""

    LISTS = "lists"
    NEWS = "news"  # ends, or lists that were waited for
    FAILED = "failed"
    FENCED = "fenced"  # the worker has seen a higher fence
    DENIED = "denied"  # another life answered
    LEFT = "left"  # the life that said goodbye is over


class Lists(Struct):
    """What the worker's last lists told; `number` 0: none yet of this life."""

    number: int = 0
    fence: int = 0
    sent_at: float = 0.0
    running: list[RunningTask] = []


class _HoldCall(Struct):
    """A hold under way."""

    life: Life
    number: int
    fence: int
    sent_at: float
    wait_s: float  # for an end; 0: a look or a renewal
    until: float | None  # end of holding that it gives (agent's clock)

    @property
    def poll(self) -> bool:
        """Whether it is answered at the next end."""
        return self.wait_s > 0.0


class Holder:
    """Holds for the present life of the worker."""

    def __init__(
        self,
        clock: Clock,
        line: WorkerLine,
        lives: Lives,
        permit: Permit,
        heartbeat_s: float,
        hold_max_s: float,
        on_change: Callable[[HoldChange], None],
    ) -> None:
        """`on_change` is told of each answer; it calls `drive` in the end.

        A worker takes no deadline further ahead than `hold_max_s`, also from an earlier process of this agent.
        """
        self._earlier_holds_until = clock.now() + hold_max_s / SLOWEST_RATE
        self._clock = clock
        self._line = line
        self._lives = lives
        self._permit = permit
        self._heartbeat_s = heartbeat_s
        self._on_change = on_change
        self._fence = 0
        self._next_number = 1
        self._poll_interval_s = POLL_INTERVAL_S
        self._timer: Timer | None = None
        self._stopped = False
        self._begin(None)

    def _begin(self, life: Life | None) -> None:
        """Forget all that was known of another life."""
        self._life = life
        self.lists = Lists()
        self.acknowledged = 0
        self._ends: dict[int, FinishedTask] = {}
        self._last_end = 0
        self._more_ends = False
        self._expected: dict[RunKey, int] = {}  # may be running; number of the first hold that tells
        self._shown_fence = 0
        self._look_for = 0
        self._confirming = 0
        self._poll: _HoldCall | None = None
        self._quick: _HoldCall | None = None
        self._pace = PollPace()
        self._held_until = 0.0  # that the worker confirmed
        self._held_from = 0.0
        self._latest_until = 0.0  # that the worker may have been given
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
        self._follow_life()
        if self._life is None or self._life.instance != instance or number <= self.acknowledged:
            return
        self.acknowledged = number
        for passed in [end for end in self._ends if end <= number]:
            del self._ends[passed]
        if self._more_ends and number >= self._last_end:
            self._more_ends = False
            self.request_look()

    def pace_polls(self, interval_s: float) -> None:
        """Let polls begin no sooner after each other."""
        self._poll_interval_s = interval_s

    def expect(self, key: RunKey) -> None:
        """That run may be there from now on."""
        self._expected[key] = self._next_number

    def request_look(self) -> None:
        """Lists are wanted from a call that is sent after now, and soon."""
        self._look_for = self._next_number

    def given(self, until: float) -> None:
        """An order with that end of holding was sent: the worker may have taken it."""
        self._latest_until = max(self._latest_until, until)

    def held(self, until: float, sent_at: float) -> None:
        """The worker confirmed that end of holding, of a call sent at `sent_at`."""
        if until > self._held_until:
            self._held_until = until
            self._held_from = sent_at

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True
        self._set_timer(None)

    # ---- what others ask

    def next_number(self) -> int:
        """Number of the next call; its lists are news once they come."""
        self._confirming = self._next_number
        return self._next_number

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

    def fence_is_shown(self) -> bool:
        """Whether the worker's present life has seen the present term."""
        return self._shown_fence >= self._fence

    def gave_up(self) -> bool:
        """Whether the worker is silent in all ways, and all that it may have held has lapsed."""
        if self._life is None or not self._failures:
            return False
        now = self._clock.now()
        missed = now - self._life.heard_at > MISSED_HEARTBEATS * self._heartbeat_s
        return missed and now > self._latest_until

    def earlier_calls_may_arrive(self) -> bool:
        """Whether calls of an earlier process of this agent may yet be carried out."""
        return self._clock.now() <= self._earlier_holds_until

    def is_silent(self) -> bool:
        """Whether the last holds failed: then nothing is given to the worker that would prolong its holds."""
        if self._failures >= SILENT_AFTER_FAILURES:
            return True
        return self._life is not None and self._life.silent and not self._life.refuses

    def lapsed(self) -> bool:
        """Whether the worker leaves calls unanswered, and all that it may have held has lapsed."""
        return self.is_silent() and self._clock.now() > self._lapse_at()

    def _lapse_at(self) -> float:
        """When the last deadline that the worker may know has come."""
        return max(self._latest_until, self._earlier_holds_until)

    # ---- which call is due

    def drive(self) -> None:
        """Send what is due now, and wake up when the next may be."""
        self._follow_life()
        life = self._life
        if life is None or life.denied or not self._fence or self._stopped:
            self._set_timer(None)
            return
        if self._has_left(life):
            self._on_change(HoldChange.LEFT)
            return
        now = self._clock.now()
        if now >= self._retry_at and not self.gave_up():
            self._send_due(life)
        self._set_timer(self._next_time())

    def _follow_life(self) -> None:
        if self._lives.current is not self._life:
            self._begin(self._lives.current)

    def _has_left(self, life: Life) -> bool:
        """A worker that said goodbye is gone once nothing can be running there."""
        if not life.leaving:
            return False
        idle = self.lists.number > 0 and not self.may_run()
        return idle or (self._failures > 0 and self._clock.now() > self._latest_until)

    def _send_due(self, life: Life) -> None:
        if self._quick is None and (self._look_is_due() or self._renewal_is_due()):
            self._send(life, 0.0)
        elif self._poll_is_due():
            self._send(life, self._wait() if not self._failures else 0.0)

    def _look_is_due(self) -> bool:
        if not self.fence_is_shown():
            return True
        under_way = self._poll.number if self._poll is not None else 0
        return self._look_for > max(self.lists.number, under_way)

    def _renewal_is_due(self) -> bool:
        return self.may_run() and self._gain() >= LEAST_GAIN_S and self._clock.now() >= self._urgent_at()

    def _gain(self) -> float:
        """By how much a call now would move the end of holding."""
        until = self._permit.until()
        return 0.0 if until is None else until - self._held_until

    def _urgent_at(self) -> float:
        """When the confirmed deadline gets near; it comes early if the worker's clock keeps pace with ours."""
        span = SLOWEST_RATE * (self._held_until - self._held_from)
        return self._held_from + span - min(URGENT_S, URGENT_SHARE * span)

    def _poll_is_due(self) -> bool:
        idle = self._poll is None and self._quick is None
        return idle and self.may_run() and self._clock.now() >= self._poll_at()

    def _poll_at(self) -> float:
        """The earliest time of the next poll."""
        if self._last_end > self.acknowledged:
            return self._answered_at + ACKNOWLEDGEMENT_PATIENCE_S
        return self._polled_at + self._poll_interval_s

    def _wait(self) -> float:
        """How long a poll may wait, so that the deadline is renewed in time."""
        until = self._permit.until()
        if until is None or self._gain() < LEAST_GAIN_S:
            return self._pace.wait_s
        return min(self._pace.wait_s, max(SHORTEST_WAIT_S, WAIT_SHARE * (until - self._clock.now())))

    def _next_time(self) -> float | None:
        """When something may become due by time alone."""
        now = self._clock.now()
        call_at = self._next_call_at(now)
        lapse_at = self._lapse_at() + LAPSE_CHECK_S
        if not self.is_silent() or lapse_at <= now:
            return call_at
        return lapse_at if call_at is None else min(call_at, lapse_at)

    def _next_call_at(self, now: float) -> float | None:
        """When a call may become due by time alone."""
        if now < self._retry_at:
            return self._retry_at
        if not self.may_run() or self.gave_up():
            return None
        times = [] if self._poll or self._quick else [self._poll_at()]
        if self._quick is None:
            times.append(self._urgent_at())
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
        self._on_change(HoldChange.LISTS)

    # ---- calls and answers

    def _send(self, life: Life, wait_s: float) -> None:
        now = self._clock.now()
        deadline = None if self.is_silent() else self._permit.deadline(life)
        until = None if deadline is None else deadline.until
        call = _HoldCall(life, self._next_number, self._fence, now, wait_s, until)
        self._next_number += 1
        if call.poll:
            self._poll = call
            self._polled_at = now
        else:
            self._quick = call
        if until is not None:
            self.given(until)
        body = HoldBody(
            fence_token=call.fence,
            last_seen=self.acknowledged,
            deadline_ms=None if deadline is None else deadline.worker_ms,
            wait_ms=int(wait_s * MS_PER_S),
        )
        timeout = wait_s + life.answer_times.timeout
        self._line.call(life, HOLD_PATH, body, timeout, lambda reply: self._answered(call, reply), call.poll)

    def _answered(self, call: _HoldCall, reply: WorkerReply) -> None:
        self._follow_life()
        if call.life is not self._life or self._stopped:
            return
        if call.poll:
            self._poll = None
        else:
            self._quick = None
        self._on_change(self._take(call, reply))

    def _take(self, call: _HoldCall, reply: WorkerReply) -> HoldChange:
        answer = _read_lists(reply) if reply.status == OK else None
        if answer is not None:
            return self._take_lists(call, answer)
        if reply.status == OTHER_LIFE:
            return HoldChange.DENIED
        if reply.refused and call.life.leaving:
            return HoldChange.LEFT
        fenced = reply.status == CONFLICT and reply.reason == "fence"
        if call.number < self.lists.number or (fenced and call.fence < self._fence):
            return HoldChange.LISTS  # overtaken by a later call: the worker is no more silent than that one found it
        self._pause(reply.status == NO_ANSWER)
        return HoldChange.FENCED if fenced else HoldChange.FAILED

    def _pause(self, unanswered: bool) -> None:
        first, growth = (FIRST_SILENCE_PAUSE_S, SILENCE_PAUSE_GROWTH) if unanswered else (FIRST_PAUSE_S, PAUSE_GROWTH)
        pause = min(LONGEST_PAUSE_S, first * growth**self._failures)
        self._retry_at = self._clock.now() + pause
        self._failures += 1

    def _take_lists(self, call: _HoldCall, answer: HoldAnswer) -> HoldChange:
        self._failures = 0
        self._retry_at = -math.inf
        self._answered_at = self._clock.now()
        if call.until is not None:
            self.held(call.until, call.sent_at)
        news = call.fence > self._shown_fence
        self._shown_fence = max(self._shown_fence, call.fence)
        if call.number > self.lists.number:
            news = news or self.lists.number < self._confirming <= call.number
            running = [entry.typed() for entry in answer.running]
            self.lists = Lists(call.number, call.fence, call.sent_at, running)
        ended = self._take_ends(answer.finished)
        self._learn_pace(call, ended)
        news = ended or news
        self._settle_expected(call.number)
        return HoldChange.NEWS if news else HoldChange.LISTS

    def _learn_pace(self, call: _HoldCall, ended: bool) -> None:
        """Learn from a poll's answer how long it takes until an end comes."""
        took_s = self._clock.now() - call.sent_at
        if call.poll and ended:
            self._pace.ended(took_s)
        elif call.poll and took_s >= call.wait_s:
            self._pace.empty(call.wait_s)

    def _take_ends(self, entries: list[FinishedEntry]) -> bool:
        """Keep ends until they are acknowledged; whether one of them is new."""
        known = len(self._ends)
        for entry in entries:
            self._last_end = max(self._last_end, entry.number)
            if entry.number > self.acknowledged:
                self._ends[entry.number] = entry.typed()
        if len(entries) >= LONGEST_ENDS_LIST:
            self._more_ends = True
        ended = {(entry.task, entry.run) for entry in entries}
        self.lists.running = [entry for entry in self.lists.running if (entry.task, entry.run) not in ended]
        for key in ended:
            self._expected.pop(key, None)
        return len(self._ends) > known

    def _settle_expected(self, number: int) -> None:
        """Runs that the lists show, or that lists of a call sent later don't show, are no longer a guess."""
        shown = {(entry.task, entry.run) for entry in self.lists.running}
        self._expected = {key: first for key, first in self._expected.items() if first > number and key not in shown}


def _read_lists(reply: WorkerReply) -> HoldAnswer | None:
    try:
        return msgspec.json.decode(reply.body, type=HoldAnswer)
    except msgspec.DecodeError:
        return None
