"""Print jobs: one placement step by step and against random steps, and days of printers that fail at every point."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st

from pipitledge.decision.interface import NEVER_RAN, Result
from pipitledge.emulator.faults import Fault
from pipitledge.emulator.print_day import PrintDay
from pipitledge.emulator.printer import Printer, PrintJob
from pipitledge.ipp.endings import ENDINGS
from pipitledge.ipp.model import JobState, Status
from pipitledge.ipp.placement import Ask, Phase, Placement, Seen, Verdict
from pipitledge.node.end_reasons import RESULT_BY_END_REASON

FAULTS = {
    fault: 0.02
    for fault in (
        Fault.REFUSE,
        Fault.HANG,
        Fault.BREAK_BEFORE,
        Fault.BREAK_AFTER,
        Fault.BREAK_AMID,
        Fault.SILENT,
        Fault.SLOW,
    )
}


def sending(sent: bool = True) -> Placement:
    placement = Placement("d.0")
    assert placement.begin() is Ask.CREATE and placement.created(7, 100) is Ask.SEND
    if sent:
        placement.document_began()
    return placement


def seen(
    state: JobState, name: str = "d.0", up_time: int = 101, impressions: int | None = None, incoming: bool = False
) -> Seen:
    return Seen(state, name, up_time, impressions, incoming)


@pytest.mark.parametrize(
    "told, verdict",
    [
        (lambda p: p.not_connected(), Verdict.NOT_REACHED),
        (lambda p: p.broke(), Verdict.UNPRINTED),
        (lambda p: p.refused(Status.BUSY), Verdict.TURNED_AWAY),
        (lambda p: p.out_of_time(), Verdict.UNPRINTED),
        (lambda p: p.refused(Status.NOT_ACCEPTING), Verdict.TURNED_AWAY),
        (lambda p: p.refused(Status.FORMAT_NOT_SUPPORTED), Verdict.REJECTED),
    ],
)
def test_before_the_job_is_made_nothing_can_print(told: object, verdict: Verdict) -> None:
    placement = Placement("d.0")
    placement.begin()
    assert told(placement) is Ask.END and placement.verdict is verdict  # type: ignore[operator]


def test_before_a_byte_of_the_document_nothing_can_print_and_the_job_is_called_off() -> None:
    for told in (Placement.not_connected, Placement.broke, Placement.out_of_time):
        placement = sending(sent=False)
        assert told(placement) is Ask.END and placement.verdict is Verdict.UNPRINTED and placement.leaves_orphan


@pytest.mark.parametrize(
    "look, verdict",
    [
        (seen(JobState.COMPLETED), Verdict.PRINTED),
        (None, Verdict.MAY_HAVE_PRINTED),
        (seen(JobState.ABORTED, impressions=0), Verdict.UNPRINTED),
        (seen(JobState.ABORTED), Verdict.MAY_HAVE_PRINTED),
        (seen(JobState.CANCELED, impressions=2), Verdict.MAY_HAVE_PRINTED),
        (seen(JobState.COMPLETED, up_time=3), Verdict.MAY_HAVE_PRINTED),  # it started again
        (seen(JobState.COMPLETED, name="another"), Verdict.MAY_HAVE_PRINTED),
    ],
)  # and gave the id again
def test_after_a_break_the_printers_word_decides(look: Seen | None, verdict: Verdict) -> None:
    placement = sending()
    assert placement.broke() is Ask.LOOK and placement.phase is Phase.LOOKING
    assert placement.broke() is Ask.LOOK_LATER  # no answer proves nothing
    assert placement.looked(look) is Ask.END and placement.verdict is verdict


def test_a_document_that_did_not_come_whole_is_cancelled_and_then_proved_unprinted() -> None:
    placement = sending()
    placement.broke()
    assert placement.looked(seen(JobState.HELD, incoming=True, impressions=0)) is Ask.CANCEL
    assert placement.broke() is Ask.LOOK_LATER  # the answer to it was lost: its state tells
    assert placement.cancelled(Status.NOT_POSSIBLE) is Ask.LOOK
    assert placement.looked(seen(JobState.CANCELED, impressions=0)) is Ask.END
    assert placement.verdict is Verdict.UNPRINTED and not placement.leaves_orphan


def test_silence_after_acceptance_ends_as_may_have_printed_in_time() -> None:
    placement = sending()
    assert placement.taken() is Ask.LOOK_LATER and placement.looked(seen(JobState.PROCESSING)) is Ask.LOOK_LATER
    assert placement.out_of_time() is Ask.END and placement.verdict is Verdict.MAY_HAVE_PRINTED
    assert placement.looked(seen(JobState.COMPLETED)) is Ask.END  # success, too late
    assert placement.verdict is Verdict.MAY_HAVE_PRINTED


def test_only_proofs_become_outcomes_that_never_ran() -> None:
    results = {verdict: RESULT_BY_END_REASON[ending] for verdict, ending in ENDINGS.items()}
    assert set(results) == set(Verdict)
    assert {verdict for verdict, result in results.items() if result in NEVER_RAN} == {
        Verdict.TURNED_AWAY,
        Verdict.NOT_REACHED,
        Verdict.UNPRINTED,
    }
    assert results[Verdict.PRINTED] is Result.OK


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["work", "work", "lose", "wait", "half", "restart", "evict", "refill"]), st.integers(0, 400)
    ),
    max_size=25,
)


@how(max_examples=400, deadline=None, derandomize=True)
@given(STEPS, st.booleans())
def test_whatever_happens_a_verdict_agrees_with_the_paper(steps: list[tuple[str, int]], streams: bool) -> None:
    """A placement against the printer's model: exchanges work, lose their answer, break amid the document; the printer
    restarts, forgets its history and gives ids again. A claim of the placement must be true of the ledger."""
    ledger, now = Counter[str](), 0.0
    printer = Printer("p", ledger, started_ms=-50_000.0, streams=streams)
    placement, job = Placement("d.0"), None
    ask = placement.begin()
    for step, size in steps:
        now += size
        printer.advance(now)
        if step == "restart":
            printer.restart(now)
        elif step == "evict":
            printer.history = 0
            printer._forget()
        elif step == "refill" and isinstance(other := printer.create(now, "other", "x"), PrintJob):
            printer.receive(now, other, whole=True)
        elif placement.phase is Phase.OVER:
            break
        elif ask is Ask.LOOK_LATER:
            ask = Ask.LOOK
        elif step == "wait":
            ask = placement.not_connected()
        elif ask is Ask.CREATE:
            made = printer.create(now, placement.name, "d")
            assert isinstance(made, PrintJob)
            job = made
            ask = placement.broke() if step == "lose" else placement.created(job.id, printer.up_time)
        elif ask is Ask.SEND and job is not None:
            placement.document_began()
            took = printer.receive(now, job, whole=step != "half")
            if step == "half":
                printer.broke_off(now, job)
            ask = (
                placement.broke()
                if step != "work"
                else placement.taken()
                if took
                else placement.refused(Status.NOT_FOUND)
            )
        elif ask is Ask.CANCEL:
            status = printer.cancel(now, placement.job_id)
            ask = placement.broke() if step == "lose" else placement.cancelled(status)
        elif ask is Ask.LOOK:
            look = printer.look(now, placement.job_id)
            ask = placement.broke() if step == "lose" else placement.looked(look)
    if placement.phase is not Phase.OVER:
        placement.out_of_time()
    if placement.leaves_orphan and job is not None:
        printer.cancel(now, job.id)
    printer.advance(now + 1e6)
    assert placement.verdict is not None
    result = RESULT_BY_END_REASON[ENDINGS[placement.verdict]]
    assert ledger["d"] == 0 if result in NEVER_RAN else ledger["d"] <= 1
    assert placement.verdict is not Verdict.PRINTED or ledger["d"] == 1


def day(count: int = 1_000, **changes: object) -> PrintDay:
    made = PrintDay(8, FAULTS, 1, **changes)  # type: ignore[arg-type]
    made.submissions(count, 15.0)
    made.run()
    return made


@pytest.mark.parametrize("restarts_s", [0.0, 20.0])
def test_no_document_is_printed_twice_and_each_job_has_one_answer(restarts_s: float) -> None:
    made = day(restarts_s=restarts_s)
    assert made.breaches() == [] and len(made.answers) == 1_000
    met = {(phase, fault) for phase, fault in made.met}
    assert {(phase, fault.value) for phase in ("creating", "sending", "watching") for fault in FAULTS} <= met
    moved = sum(Verdict.UNPRINTED in verdicts and verdicts[-1] is Verdict.PRINTED for verdicts in made.placed.values())
    assert moved > 20  # proved unprinted, and then printed elsewhere


def test_without_reconciliation_fewer_are_served_and_without_the_guard_some_print_twice() -> None:
    def served(made: PrintDay) -> int:
        return sum(heard == ["served"] for heard in made.answers.values())

    blind, trusting = day(reconciles=False), day(count=3_000, trusts=True)
    assert blind.breaches() == [] and served(blind) < served(day()) - 20
    assert any("printed 2 times" in line for line in trusting.breaches())


def test_drains_are_kept_and_jobs_queued_as_all_printers_drain_are_answered() -> None:
    made = PrintDay(4, {}, 3)
    made.submissions(100, 400.0)
    for name in made.printers:
        made.at(150.0, lambda name=name: made.drain(name))  # type: ignore[misc]
    made.run()
    assert made.breaches() == [] and made.latest_after_drain_ms <= 300.0
    heard = Counter(answers[0] for answers in made.answers.values())
    assert heard["refused"] > 30 and heard["served"] > 5 and not heard["failed"]
