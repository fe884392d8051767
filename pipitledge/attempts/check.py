"""Whether a plan could break a rule, under any order of outcomes and the worst timing; with a run that does.

What a plan makes the node do, in whole milliseconds from the request's arrival, T its total time-out:

- Attempt 1 goes out at 0 or later. Nothing goes out at T or after it.
- An attempt ends after e: a time-out exactly at its time-out A, anything else at any time before it. One that shows no
  sign of life for so long as the settings make the module wait is given up by it, as if timed out, from then on.
- Out for d, it gets one copy, if an attempt is left. Copies get none. One that ends at d may still have got it.
- When all that is out has ended, each in an outcome of retry-on, and an attempt is left, the next one goes out
  after the back-off, anywhere in its range, and after it was held for room, for the hold time-out at most.

The module guards the repeat group and the window at run time too (`Policy._in_group`); here nothing counts on it.
Soundness and exactness are shown by model checking in tests/test_attempts_model.py, against rules written anew.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from pipitledge.conf.units import show_ms
from pipitledge.decision.health import SILENCE_FACTOR, SILENCE_MARGIN_MS
from pipitledge.decision.interface import Repeat, Scope, Settings

MAY_HAVE_RUN = ("reset", "error", "timeout")  # in the order in which examples name them
AT_ONCE = frozenset({"connect-failed", "full", "reset", "error"})  # can end an attempt at any time


@dataclass(frozen=True, slots=True)
class Rules:
    """What the operator's settings say of one class, in whole milliseconds."""

    deadline_ms: int
    repeat: Repeat
    scope: Scope
    window_ms: int  # its resolution is off already: what goes out from here on may be taken for new
    max_attempts: int
    second_copies: bool
    cancel: bool
    silent_ms: int | None = None  # the soonest that the module gives a silent attempt up; None: never

    @classmethod
    def of(cls, settings: Settings, index: int) -> Rules:
        """Read them from the settings; fractions are rounded to the careful side."""
        job = settings.classes[index]
        return cls(
            int(job.deadline_ms),
            job.repeat,
            job.scope,
            max(0, int(job.window_ms - settings.resolution_ms)),
            settings.max_attempts,
            settings.second_copies,
            settings.cancel,
            _silent_ms(settings, job.repeat),
        )


def _silent_ms(settings: Settings, repeat: Repeat) -> int | None:
    """The soonest that `Policy._check_overdue` gives an attempt up for its silence."""
    if settings.starts_in_order and repeat is not Repeat.UNSAFE:  # one that later sends have passed
        return int(SILENCE_MARGIN_MS)
    if not settings.cancel or not settings.progress_ms:
        return None
    return int(SILENCE_FACTOR * settings.progress_ms + SILENCE_MARGIN_MS)


@dataclass(frozen=True, slots=True)
class Numbers:
    """A plan as the checker takes it; None: not set."""

    attempts: int
    retry_on: frozenset[str]
    attempt_ms: int | None
    total_ms: int
    hold_ms: int | None
    backoff_ms: tuple[int, int]
    copy_ms: int | None
    copy_learned: bool = False  # then copy_ms is the least that may be learned, and the most is the time-out
    silent_ms: int | None = None  # of the rules: from when on a silent attempt may be given up

    def within(self, rules: Rules) -> Numbers:
        """What is left of it once what the other clauses refuse is cut to size."""
        return replace(
            self,
            attempts=min(self.attempts, rules.max_attempts),
            total_ms=min(self.total_ms, rules.deadline_ms),
            silent_ms=rules.silent_ms,
        )

    @property
    def longest_ms(self) -> int:
        """The longest that an attempt can be out and then be followed by another."""
        last = self.total_ms - 1
        if self.attempt_ms is None:
            return last
        return min(last, self.attempt_ms if "timeout" in self.retry_on else self.attempt_ms - 1)

    def soonest_ms(self, outcomes: frozenset[str]) -> int | None:
        """The soonest that an attempt can end in one of these and be followed; None: it can't."""
        if outcomes & AT_ONCE:
            return 0
        given_up = [ms for ms in (self.attempt_ms, self.silent_ms) if ms is not None]
        return min(given_up) if given_up and "timeout" in outcomes else None

    def copies(self) -> tuple[int, int] | None:
        """From when to when after an attempt its copy can go out; None: there is none."""
        if self.copy_ms is None or self.attempts < 2:
            return None
        last = min(self.total_ms - 1, self.attempt_ms or self.total_ms)
        least, most = self.copy_ms, last if self.copy_learned else self.copy_ms
        return (least, min(most, last)) if least <= last else None


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that a plan could break: the keywords to blame, most likely first, and a run that breaks it."""

    keywords: tuple[str, ...]
    text: str


def check(numbers: Numbers, rules: Rules) -> list[Breach]:
    """All clauses; an empty list: no run of this plan can break a rule."""
    found = list[Breach]()
    found += _time_outs(numbers, rules)
    found += _counts(numbers, rules)
    plan = numbers.within(rules)
    found += _second_copies(plan, rules)
    if rules.repeat is Repeat.UNSAFE:
        found += _unsafe(plan)
    if rules.repeat is Repeat.KEYED:
        found += _keyed(plan, rules)
    return found


def _time_outs(numbers: Numbers, rules: Rules) -> Iterator[Breach]:
    """Rule 1: the client must have its answer before it gives up."""
    for keyword, value in (
        ("total-timeout", numbers.total_ms),
        ("attempt-timeout", numbers.attempt_ms),
        ("hold-timeout", numbers.hold_ms),
    ):
        if value is not None and value > rules.deadline_ms:
            yield Breach(
                (keyword,),
                f"{keyword} {show_ms(value)} is longer than the client waits: it gives up "
                f"at {show_ms(rules.deadline_ms)}; {show_ms(rules.deadline_ms)} at most",
            )


def _counts(numbers: Numbers, rules: Rules) -> Iterator[Breach]:
    """More sends than the settings allow, where they can all be made in time."""
    plan = replace(numbers, total_ms=min(numbers.total_ms, rules.deadline_ms), silent_ms=rules.silent_ms)
    at = _soonest(plan, rules.max_attempts + 1) if plan.attempts > rules.max_attempts else None
    if at is not None and at < plan.total_ms:
        yield Breach(
            ("attempts",),
            f"attempts {plan.attempts} is over what the settings allow (max_attempts "
            f"{rules.max_attempts}): attempt {rules.max_attempts + 1} can go out at "
            f"{show_ms(at)}",
        )


def _soonest(plan: Numbers, sends: int) -> int | None:
    """The soonest time by which so many sends can be made; None: never."""
    copies, again = plan.copies(), plan.soonest_ms(plan.retry_on)
    best: int | None = None
    for twice in range(sends // 2 + 1 if copies is not None else 1):  # attempts that had their copy
        last_copied = copies is not None and twice > 0
        for ends_on_copy in (False, True) if last_copied else (False,):
            links = sends - 1 - twice  # from one attempt to the next
            if links and again is None:
                continue
            copied = twice - ends_on_copy
            if links < copied or (copied and copies is not None and copies[0] > plan.longest_ms):
                continue
            at = links * ((again or 0) + plan.backoff_ms[0]) + (twice * copies[0] if copies is not None else 0)
            best = at if best is None else min(best, at)
    return best


def _second_copies(plan: Numbers, rules: Rules) -> Iterator[Breach]:
    """Rule 2, last clause: where settings allow no second copies, never two attempts at a time."""
    copies = plan.copies()
    if copies is not None and not rules.second_copies:
        yield Breach(
            ("second-copy",),
            "the settings allow no second copies: attempt 1 at 0ms is still out when "
            f"its copy goes out at {show_ms(copies[0])}; write second-copy never",
        )


def _unsafe(plan: Numbers) -> Iterator[Breach]:
    """Rule 2 for what must not be repeated: after what may have run, nothing."""
    copies = plan.copies()
    if copies is not None:
        yield Breach(
            ("second-copy",),
            "must never run twice: attempt 1 at 0ms is out and may run; its copy can "
            f"go out at {show_ms(copies[0])}; write second-copy never",
        )
    if plan.attempts < 2:
        return
    for outcome in MAY_HAVE_RUN:
        ended = plan.soonest_ms(frozenset({outcome}) & plan.retry_on)
        if ended is not None and ended + plan.backoff_ms[0] < plan.total_ms:
            sent = ended + plan.backoff_ms[0]
            yield Breach(
                ("retry-on",),
                f"must never run twice: attempt 1 at 0ms, {outcome} at {show_ms(ended)}, "
                f"may have run; attempt 2 can go out at {show_ms(sent)}; take {outcome} "
                "out of retry-on",
            )
            return  # one run is proof; the line to mend is the same


@dataclass(frozen=True, slots=True)
class _Step:
    """One send after another: how much later it can be at the least and at the most."""

    least: int
    most: int
    sends: int
    says: str


def _late(plan: Numbers, window_ms: int) -> list[tuple[int, str]] | None:
    """A run in which a send lands at or after the window's end: the sends after the first, with what led there."""
    soonest = plan.soonest_ms(plan.retry_on & frozenset(MAY_HAVE_RUN))
    further = plan.soonest_ms(plan.retry_on)
    least, most = plan.backoff_ms
    held = plan.total_ms if plan.hold_ms is None else plan.hold_ms
    copies, longest, last = plan.copies(), plan.longest_ms, plan.total_ms - 1
    why = next((name for name in MAY_HAVE_RUN[::-1] if name in plan.retry_on), "")
    chains: list[list[_Step]] = [[]]
    if soonest is not None and further is not None:
        # The first link is of an attempt that may have run; the others may be of any that is followed.
        first = _Step(soonest + least, longest + most + held, 1, why)
        other = _Step(further + least, longest + most + held, 1, why)
        chains += [[first] + [other] * count for count in range(plan.attempts - 1)]
        if copies is not None and copies[0] <= longest:
            # With a copy out a link is longer by its delay, and takes two sends.
            begins = copies[0] if plan.retry_on & {"reset", "error"} else soonest
            with_copy = _Step(
                max(begins, copies[0] + further) + least, min(copies[1], longest) + longest + most + held, 2, why
            )
            chains += [
                [with_copy] * twice + ([first] + [other] * (once - 1) if once else [])
                for twice in range(1, plan.attempts // 2 + 1)
                for once in range(plan.attempts - 2 * twice)
                if 1 + 2 * twice + once <= plan.attempts
            ]
    ends: list[list[_Step]] = [[]]
    if copies is not None:
        ends.append([_Step(copies[0], copies[1], 1, "copy")])
    best: list[tuple[int, str]] | None = None
    for chain in chains:
        for end in ends:
            steps = chain + end
            if not steps or 1 + sum(step.sends for step in steps) > plan.attempts:
                continue
            low, high = sum(step.least for step in steps), sum(step.most for step in steps)
            at = min(high, last)
            if at >= max(low, window_ms) and (best is None or len(steps) < len(best)):
                best = _spread(steps, at)
    return best


def _spread(steps: list[_Step], at: int) -> list[tuple[int, str]]:
    """Times of the sends of these steps so that the last is at `at`: early ones as long as can be."""
    times, now = list[tuple[int, str]](), 0
    for index, step in enumerate(steps):
        later = sum(after.least for after in steps[index + 1 :])
        now += min(step.most, at - now - later)
        times.append((now, step.says))
    return times


def _story(plan: Numbers, run: list[tuple[int, str]]) -> str:
    """A run as a timeline: when each attempt went out, how and when it ended."""
    parts, number, before = ["attempt 1 at 0ms"], 1, 0
    for at, says in run:
        number += 1
        can = "can go out at " if at == run[-1][0] else "at "
        if says == "copy":
            parts.append(f"; its copy {can}{show_ms(at)}")
        else:
            ended = min(before + plan.longest_ms, at - plan.backoff_ms[0])
            parts.append(f", {says} at {show_ms(ended)} and may have run; attempt {number} {can}{show_ms(at)}")
        before = at
    return "".join(parts)


def _keyed(plan: Numbers, rules: Rules) -> Iterator[Breach]:
    """Rule 2 for keyed classes: workers drop repeats only for so long after the first that may have run."""
    run = _late(plan, rules.window_ms)
    if run is None:
        return
    cures = {
        "backoff": {"backoff_ms": (0, 0)},
        "hold-timeout": {"hold_ms": 0},
        "second-copy": {"copy_ms": None},
        "attempt-timeout": {"attempt_ms": 1},
        "attempts": {"attempts": 1},
    }
    blamed = [word for word, change in cures.items() if _late(replace(plan, **change), rules.window_ms) is None]  # type: ignore[arg-type]
    hold = ", as it may be held for room without limit" if "hold-timeout" in blamed and plan.hold_ms is None else ""
    yield Breach(
        (*blamed, "total-timeout"),
        f"{_story(plan, run)}{hold}, the window ends at {show_ms(rules.window_ms)}; "
        f"lower {' or '.join((*blamed, 'total-timeout'))}",
    )


def dead_letters(numbers: Numbers, rules: Rules) -> Iterator[tuple[str, str]]:
    """Values that can have no effect, or less than they promise, by keyword."""
    total, attempt = numbers.total_ms, numbers.attempt_ms
    if attempt is not None and attempt > total:
        yield (
            "attempt-timeout",
            f"attempt-timeout {show_ms(attempt)} has no effect: the total-timeout is {show_ms(total)}",
        )
    if numbers.hold_ms is not None and numbers.hold_ms > total:
        yield (
            "hold-timeout",
            f"hold-timeout {show_ms(numbers.hold_ms)} has no effect: the total-timeout is {show_ms(total)}",
        )
    if numbers.attempts > 1 and numbers.backoff_ms[0] >= total:
        yield (
            "backoff",
            f"no second attempt goes out: its back-off is {show_ms(numbers.backoff_ms[0])} at the "
            f"least, the total-timeout {show_ms(total)}",
        )
    if numbers.copy_ms is not None:
        if numbers.attempts < 2:
            yield "second-copy", "no copy goes out: attempts leaves none for it"
        elif numbers.copies() is None:
            yield "second-copy", f"no copy goes out: the attempt has ended by {show_ms(numbers.copy_ms)}"
        elif not rules.cancel:
            yield "second-copy", "the copy that loses can't be cancelled: the settings do not allow it"
