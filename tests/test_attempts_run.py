"""Plans in force: the module's own steps one by one, and whole days of stand-ins under faults, audited."""

from __future__ import annotations

import dataclasses
import functools
from typing import Any

import pytest
from attempts_helper import SETTINGS, STANDARD, load
from helpers import Driver, of_type

import pipitledge.attempts.check as checker
import pipitledge.decision.policy as module
from pipitledge.attempts.plans import Loader, Plans
from pipitledge.decision.interface import (
    AttemptEnded,
    Cancel,
    Fail,
    Plan,
    Refuse,
    Repeat,
    Result,
    Send,
    SetTimer,
    Settings,
    TimerFired,
    Worker,
)
from pipitledge.emulator.audit import Audit
from pipitledge.emulator.client import Clients, Kind
from pipitledge.emulator.faults import Fault, Faults
from pipitledge.emulator.virtual import Day, attempts_of
from pipitledge.emulator.worker import Machine

# ---- the module, step by step

MENU, BOOK, PAY = range(3)


def plan(**changes: Any) -> Plan:
    return dataclasses.replace(Plan(attempts=3, attempt_ms=400.0), **changes)


def driver(use: Settings = STANDARD) -> Driver:
    made = Driver(use, workers=0)
    made.list([Worker(f"w{index}", cell=index // 2) for index in range(4)])
    return made


def timer(actions: list[Any], delay_ms: float) -> SetTimer:
    """The timer of this length that is not the module's tick."""
    [found] = [action for action in of_type(actions, SetTimer) if action.token > 1 and action.delay_ms == delay_ms]
    return found


def test_a_send_carries_its_time_out_and_a_copy_goes_elsewhere_once() -> None:
    d = driver()
    sent = d.job("a", job_class=MENU, plan=plan(copy_ms=150.0))
    [first] = of_type(sent, Send)
    assert first.timeout_ms == 400.0
    [copy] = of_type(d.handle(TimerFired(timer(sent, 150.0).token), after_ms=150.0), Send)
    assert copy.worker != first.worker
    assert not [a for a in of_type(d.all_actions, SetTimer) if a.delay_ms == 150.0][1:]  # the copy gets no copy
    [lost] = of_type(d.end(first, attempt=0), Cancel)  # the first served: its copy is called off
    assert (lost.job, lost.attempt) == ("a", 1)
    d.handle(AttemptEnded("a", 1, copy.worker, Result.CANCELLED, 10.0, True))
    assert not d.policy.jobs and d.policy.inflight == [0.0]


def test_a_copy_of_a_keyed_job_stays_in_its_rack_and_unsafe_jobs_get_none() -> None:
    d = driver()
    for job_class, wanted in ((PAY, 1), (BOOK, 0)):
        sent = d.job(f"j{job_class}", job_class=job_class, plan=plan(copy_ms=150.0))
        [first] = of_type(sent, Send)
        copies = of_type(d.handle(TimerFired(timer(sent, 150.0).token), after_ms=150.0), Send)
        assert len(copies) == wanted
        assert all(
            copy.worker != first.worker and int(copy.worker[1]) // 2 == int(first.worker[1]) // 2 for copy in copies
        )


@pytest.mark.parametrize("fires_first", [True, False])
def test_a_copy_and_a_retry_in_the_same_instant_make_one_send(fires_first: bool) -> None:
    d = driver()
    sent = d.job("a", job_class=MENU, plan=plan(copy_ms=90.0, attempt_ms=90.0))
    [first] = of_type(sent, Send)
    events: list[Any] = [TimerFired(timer(sent, 90.0).token), AttemptEnded("a", 0, first.worker, Result.TIMEOUT, 90.0)]
    sends = of_type(d.handle(*(events if fires_first else events[::-1]), after_ms=90.0), Send)
    assert len(sends) == 1


def test_a_copys_timer_does_not_cut_a_back_off_short() -> None:
    d = driver()
    sent = d.job("a", job_class=MENU, plan=plan(copy_ms=150.0, backoff_ms=(60.0, 60.0)))
    [first] = of_type(sent, Send)
    ended = d.end(first, Result.RESET, after_ms=140.0)
    assert not of_type(ended, Send)
    assert not of_type(d.handle(TimerFired(timer(sent, 150.0).token), after_ms=10.0), Send)
    assert len(of_type(d.handle(TimerFired(timer(ended, 60.0).token), after_ms=50.0), Send)) == 1


def test_outcomes_that_retry_on_does_not_name_end_the_job() -> None:
    d = driver()
    [first] = of_type(d.job("a", job_class=MENU, plan=plan(retry_on=frozenset({Result.FULL}))), Send)
    assert of_type(d.end(first, Result.ERROR), Refuse)  # safe to repeat: the client may
    [first] = of_type(d.job("b", job_class=PAY, plan=plan(retry_on=frozenset({Result.FULL}))), Send)
    assert of_type(d.end(first, Result.ERROR), Fail)


def test_a_back_off_that_ends_too_late_is_not_waited_for() -> None:
    d = driver()
    [first] = of_type(d.job("a", job_class=MENU, plan=plan(backoff_ms=(9_000.0, 9_000.0))), Send)
    assert of_type(d.end(first, Result.RESET), Refuse)


def test_a_hold_time_out_ends_the_wait_and_the_client_hears() -> None:
    d = driver()
    jobs = [d.job(f"j{n}", job_class=MENU, plan=plan(hold_ms=30.0)) for n in range(60)]
    assert len(d.policy.pending) and any(not of_type(actions, Send) for actions in jobs)
    heard = d.handle(TimerFired(module.TICK_TOKEN), after_ms=40.0)
    assert of_type(heard, Refuse) and not d.policy.pending


def test_the_budget_bounds_attempts_beyond_first_tries() -> None:
    loaded = load("class menu-plan\n attempts 4\n retry-budget 10% over 1s\n")
    assert loaded.plans is not None
    loader = Loader(STANDARD, {"menu-plan": 0, "slot-book": 1, "order-pay": 2})
    learned = loader.learned[0]
    learned.limit(0.1, 1_000.0)
    mine = dataclasses.replace(loaded.plans.plan(0, "/menu-plan"), learned=learned)
    d = driver()
    retried = 0
    for number in range(40):
        learned.arrived(d.now)
        for first in of_type(d.job(f"j{number}", job_class=MENU, plan=mine), Send):
            retried += len(of_type(d.end(first, Result.RESET, after_ms=1.0), Send))
    assert retried == 4  # a tenth of 40


# ---- days of stand-ins

SAFE_FILES = [
    "",
    "class order-pay\n attempts 3\n attempt-timeout 1200ms\n backoff 50ms to 400ms\n second-copy after 300ms\n"
    " retry-budget 10%\nclass slot-book\n attempts 2\n second-copy never\n",
    "class menu-plan\n second-copy after p90\nclass order-pay\n second-copy after p95\n",
    "defaults\n total-timeout 1500ms\n attempts 2\n retry-on connect-failed full\n",
    "defaults\n hold-timeout 50ms\nclass menu-plan\n attempts 6\n attempt-timeout 300ms\n second-copy after 300ms\n",
    "class menu-plan\n retry-on never\n attempts 2\n second-copy after 100ms\nclass order-pay\n retry-on never\n",
    "class order-pay\n attempts 6\n attempt-timeout 700ms\n backoff 1ms to 1ms\nclass slot-book\n attempts 6\n",
    "class order-pay\n attempts 5\nroute /order-pay/express/*\n class order-pay\n override attempts 1\n",
    "defaults\n backoff 10ms to 30ms\n retry-budget 5% over 2s\nclass menu-plan\n second-copy after 50ms\n",
    "class menu-plan\n attempts 4\n attempt-timeout 250ms\n second-copy after 249ms\n total-timeout 2s\n",
    "class slot-book\n attempt-timeout 400ms\n hold-timeout 20ms\nclass order-pay\n attempt-timeout 400ms\n",
]
FAULTS = {
    Fault.REFUSE: 0.02,
    Fault.HANG: 0.02,
    Fault.BREAK_BEFORE: 0.02,
    Fault.BREAK_AFTER: 0.03,
    Fault.BREAK_AMID: 0.03,
    Fault.SILENT: 0.03,
    Fault.ERROR: 0.03,
    Fault.LOST: 0.03,
    Fault.FULL: 0.03,
    Fault.RETURNED: 0.02,
    Fault.SLOW: 0.02,
}
KINDS = [
    Kind(MENU, "/menu-plan/a", 0.44, 150.0),
    Kind(BOOK, "/slot-book/a", 0.31, 90.0, two_slots=0.3),
    Kind(PAY, "/order-pay/express/a", 0.25, 90.0, two_slots=0.3),
]
MACHINES = [
    Machine(f"w{n}", 5 if n % 3 == 0 else 4, 0.6 if n % 3 == 0 else 1.4, cell=n // 3, cold_ms=22_000.0)
    for n in range(9)
]


def day(
    plans: Plans,
    seed: int,
    settings: Settings = STANDARD,
    seconds: float = 18.0,
    per_s: float = 115.0,
    faults: dict[Fault, float] | None = None,
    kinds: list[Kind] | None = None,
) -> Day:
    """A day with every fault, two drains and cold returns, and clients that try again."""
    made = Day(
        settings,
        MACHINES,
        Clients(settings, kinds or KINDS, seed, retries=2),
        plans,
        Faults(seed + 1, FAULTS if faults is None else faults),
        seed,
    )
    made.arrivals(per_s, seconds * 1_000.0)
    made.at(4_000.0, lambda: made.drain("w1", 3_000.0))
    made.at(9_000.0, lambda: made.drain("w5", 2_000.0))
    made.run()
    return made


@pytest.fixture
def trusting(monkeypatch: pytest.MonkeyPatch) -> None:
    """The module without its own guards of the repeat rule: what is left is the plan, and so the checker."""
    monkeypatch.setitem(module.HARMLESS, Repeat.UNSAFE, (True, False))
    monkeypatch.setattr(
        module.Policy,
        "_in_group",
        lambda self, job, first, worker: first is None or first.worker.row.cell == worker.row.cell,
    )


@functools.cache
def safe_day(index: int) -> Day:
    """The day of a safe file; played once, whichever test asks first."""
    loaded = load(SAFE_FILES[index])
    assert loaded.plans is not None, loaded.mistakes
    return day(loaded.plans, seed=20 + index)


@pytest.mark.parametrize("index", range(len(SAFE_FILES)))
def test_a_safe_file_keeps_every_rule_under_faults(index: int) -> None:
    made = safe_day(index)
    audit = made.audit
    assert audit.breaches() == [] and audit.latest_after_drain_ms <= 300.0
    assert all(worker.worst_cold <= 3.0 for worker in made.workers.values())
    assert audit.counts["served"] > 0.5 * audit.counts["taken"]


def test_they_were_over_twenty_thousand_jobs() -> None:
    taken = [safe_day(index).audit.counts["taken"] for index in range(len(SAFE_FILES))]
    assert len(taken) >= 10 and sum(taken) > 20_000


@pytest.mark.parametrize("index", [1, 4, 6])
def test_a_checked_plan_alone_keeps_the_rules(trusting: None, index: int) -> None:
    """The module has guards of its own; the checker must not count on them."""
    loaded = load(SAFE_FILES[index])
    assert loaded.plans is not None
    assert day(loaded.plans, seed=50 + index).audit.breaches() == []


UNSAFE_FILES = {
    "_unsafe": ("class slot-book\n second-copy after 60ms\n retry-on full reset error\n", "std", "unsafe"),
    "_keyed": ("class order-pay\n attempts 3\n attempt-timeout 700ms\n backoff 300ms to 700ms\n", "short", "keyed"),
    "_second_copies": ("class menu-plan\n second-copy after 60ms\n", "plain", "beside another"),
}


@pytest.mark.parametrize("clause", UNSAFE_FILES)
def test_without_a_clause_of_the_checker_the_audit_fails(
    trusting: None, monkeypatch: pytest.MonkeyPatch, clause: str
) -> None:
    text, kind, breach = UNSAFE_FILES[clause]
    assert load(text, kind).plans is None
    monkeypatch.setattr(checker, clause, lambda *_: ())
    if clause == "_second_copies":
        monkeypatch.setattr(module.JobRecord, "may_copy", lambda job, settings, at: job.may_send(9, at))
    loaded = load(text, kind)
    assert loaded.plans is not None
    made = day(loaded.plans, seed=3, settings=SETTINGS[kind])
    assert any(breach in line for line in made.audit.breaches())


def test_a_reload_while_copies_are_out_keeps_the_plan_they_began_with() -> None:
    """Files are swapped every 50 ms; whatever is under way goes on by its own, and every rule holds."""
    plans = [load(text).plans for text in (*SAFE_FILES[4:6], *SAFE_FILES[8:10])]
    made = Day(STANDARD, MACHINES, Clients(STANDARD, KINDS, 5), plans[0], Faults(6, FAULTS), 5)
    made.arrivals(120.0, 8_000.0)

    def swap(count: int) -> None:
        made.plans = plans[count % len(plans)]  # type: ignore[assignment]
        if count < 160:
            made.at(50.0, lambda: swap(count + 1))

    swap(0)
    made.run()
    assert made.audit.breaches() == [] and made.counters.counts["execution.copy"] > 20


def test_a_cancel_that_crosses_the_answer_leaves_one_answer() -> None:
    """Copies go out a little before the first serves: losers are called off as their own answers come."""
    loaded = load("class menu-plan\n second-copy after 90ms\n")
    assert loaded.plans is not None
    kinds = [dataclasses.replace(KINDS[0], work_ms=150.0, spread=0.02)]
    made = day(loaded.plans, 9, seconds=5.0, per_s=60.0, faults={}, kinds=kinds)
    assert made.audit.breaches() == [] and made.counters.counts["execution.copy"] > 50
    both = [job for job in made.audit.jobs if sum(a.ran for a in attempts_of(made.audit, job)) > 1]
    assert both and made.counters.counts["execution.called-off"] > 0


def test_the_audit_sees_each_rule_broken() -> None:
    """Stories made by hand, each breaking one rule: an auditor that sees nothing is none."""

    def story(
        job_class: int,
        sends: list[tuple[float, int, float | None, bool]],
        finals: list[tuple[float, str]],
        settings: Settings = STANDARD,
    ) -> str:
        audit = Audit(settings)
        audit.taken("j", job_class, "k", 0.0, 5_000.0)
        for sent, cell, ended, never in sends:
            attempt = audit.sent("j", "w", cell, 0, sent)
            attempt.ended_ms, attempt.never_ran = ended, never
            if not never:
                audit.ran("j", attempt, "k")
        for at, kind in finals:
            audit.final("j", kind, at)
        return " | ".join(audit.breaches())

    good = [(0.0, 0, 100.0, False)]
    assert story(MENU, good, [(100.0, "served")]) == ""
    assert "0 final answers" in story(MENU, good, [])
    assert "2 final answers" in story(MENU, good, [(100.0, "served"), (120.0, "failed")])
    assert "answered 5100 ms" in story(MENU, good, [(5_100.0, "failed")])
    assert "ran 2 times" in story(BOOK, [*good, (200.0, 0, 300.0, False)], [(300.0, "served")])
    assert "after what may have run" in story(BOOK, [*good, (200.0, 0, 300.0, True)], [(300.0, "failed")])
    assert "refused though it ran" in story(BOOK, good, [(100.0, "refused")])
    assert "outside its group" in story(PAY, [*good, (200.0, 1, 300.0, False)], [(300.0, "served")])
    assert "7600 ms after" in story(PAY, [*good, (7_600.0, 0, 7_700.0, True)], [(300.0, "failed")])
    assert "7 attempts" in story(MENU, good * 7, [(100.0, "served")])
    assert "beside another" in story(MENU, good * 2, [(100.0, "served")], SETTINGS["plain"])
    audit = Audit(STANDARD)
    audit.told_drain("w", 0.0)
    audit.sent("j", "w", 0, 0, 301.0)
    assert audit.breaches() == ["drain: j to w 301 ms after it drained"]
