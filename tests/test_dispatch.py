"""The dispatch: exactly one result for each Send and one answer for each query, whatever fails."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from net_helper import Rig

from pipitledge.decision.interface import (
    AttemptEnded,
    ClientGone,
    Event,
    Fail,
    JobArrived,
    JobClass,
    JobRecord,
    JobTimers,
    Refuse,
    Result,
    Send,
    SetTimer,
    TimerFired,
)
from pipitledge.node.dispatch import Execution, Failure, Served
from pipitledge.node.end_reasons import EndReason


class RecordingLinks:
    """Server links that only record the executions they are given."""

    def __init__(self) -> None:
        self.started: list[Execution] = []

    def start(self, execution: Execution) -> None:
        self.started.append(execution)

    def probe(self, worker: str) -> None:
        raise AssertionError("no probe was asked for")


@pytest.fixture
def rig(monkeypatch: pytest.MonkeyPatch) -> Iterator[Rig]:
    made = Rig(monkeypatch)
    made.dispatch.links = made.recording = RecordingLinks()  # type: ignore[attr-defined]
    yield made
    made.close()


def sends(*workers: str) -> object:
    return lambda event: [Send(event.job, worker) for worker in workers if isinstance(event, JobArrived)]


def test_execution_numbers_count_all_sends_including_moot_ones(rig: Rig) -> None:
    rig.script.on_event = sends("w0", "w1", "w0", "w1")  # type: ignore[assignment]
    rig.query("a")
    rig.settle()
    assert [execution.number for execution in rig.recording.started] == [0, 1, 2]  # type: ignore[attr-defined]
    [moot] = rig.script.of(AttemptEnded)  # one more than max_attempts
    assert (moot.attempt, moot.result, moot.closed) == (3, Result.NOT_SENT, False)


def test_the_first_served_execution_answers_and_the_others_still_report_their_result(rig: Rig) -> None:
    rig.script.on_event = sends("w0", "w1")  # type: ignore[assignment]
    rig.query("a")
    rig.settle()
    first, second = rig.recording.started  # type: ignore[attr-defined]
    rig.dispatch.ended(second, EndReason.SERVED, {"x0": 1.0}, b"two")
    rig.dispatch.ended(second, EndReason.BROKEN_AFTER_SENT)  # a second end is ignored
    rig.settle()
    rig.dispatch.ended(first, EndReason.SERVED, None, b"one")
    rig.settle()
    assert rig.answers["a"] == [Served(b"two")] and not rig.dispatch.queries
    assert [(e.attempt, e.closed) for e in rig.script.of(AttemptEnded)] == [(1, True), (0, True)]


def test_a_client_that_disconnects_ends_the_query_but_not_its_execution(rig: Rig) -> None:
    rig.script.on_event = sends("w0")  # type: ignore[assignment]
    query = rig.query("a")
    rig.settle()
    rig.dispatch.client_gone(query)
    rig.dispatch.client_gone(query)
    rig.settle()
    assert len(rig.script.of(ClientGone)) == 1 and "a" in rig.dispatch.queries
    rig.dispatch.ended(rig.recording.started[0], EndReason.SERVED, None, b"late")  # type: ignore[attr-defined]
    rig.settle()
    assert rig.answers["a"] == [] and not rig.dispatch.queries and rig.script.of(AttemptEnded)[0].closed


def test_a_send_for_a_query_that_ended_in_the_same_round_is_moot(rig: Rig) -> None:
    rig.script.on_event = lambda event: (
        [Fail(event.job), Send(event.job, "w0")] if isinstance(event, JobArrived) else []
    )
    rig.query("a")
    rig.settle()
    assert [e.result for e in rig.script.of(AttemptEnded)] == [Result.NOT_SENT] and not rig.dispatch.queries


def test_a_query_that_the_policy_never_ends_is_failed_in_time(rig: Rig) -> None:
    rig.query("a", patience_ms=400.0)
    rig.settle(389.0)
    assert rig.answers["a"] == []
    rig.settle(17.0)  # within 16 ms after the client's timeout, besides 50 ms for the sockets
    assert rig.answers["a"] == [Failure("overdue")] and rig.counters.counts["query.overdue"] == 1


def test_an_exception_of_the_policy_loses_no_query(rig: Rig) -> None:
    def broken(event: Event) -> list[object]:
        if isinstance(event, JobArrived):
            raise RuntimeError("no such luck")
        return []

    rig.script.on_event = broken  # type: ignore[assignment]
    rig.query("a")
    rig.query("b")
    rig.settle()
    assert rig.answers == {"a": [Failure("module fault")], "b": [Failure("module fault")]}
    assert rig.counters.counts["fault.module"] == 1 and not rig.dispatch.queries


def test_a_policy_timer_never_fires_early(rig: Rig) -> None:
    rig.script.on_event = lambda event: [SetTimer(40.3, 7)] if isinstance(event, JobArrived) else []
    rig.query("a")
    rig.settle()
    rig.settle(40.29)
    assert not rig.script.of(TimerFired)
    rig.settle(0.02)
    assert rig.script.of(TimerFired) == [TimerFired(7)]
    assert rig.scheduler.timers.wait_ms() is not None


def test_a_timer_of_a_query_that_has_ended_never_fires(rig: Rig) -> None:
    """Such timers would wake the node for nothing. A query has one timer: a new one replaces the last."""
    rig.script.on_event = lambda event: (
        [SetTimer(50.0, 7, event.job), SetTimer(60.0, 8, event.job)]
        if isinstance(event, JobArrived)
        else [Fail("a")]
        if isinstance(event, TimerFired) and event.token == 9
        else []
    )
    rig.query("a")
    rig.query("b")
    rig.settle()
    rig.dispatch.events.append(TimerFired(9))
    rig.settle()
    rig.settle(70.0)
    assert [event.token for event in rig.script.of(TimerFired)] == [9, 8]  # only b's last one


def test_timers_inside_the_policy_do_not_pile_up() -> None:
    timers = JobTimers()
    for number in range(1_000):
        job = JobRecord(JobArrived(f"j{number}"), JobClass(), 0, 1.0, 1.0, 0.0, 1.0)
        assert timers.schedule(job, 1.0).job == job.event.job
        job.open = False
    assert len(timers) <= 256


def test_counters_show_by_tenant_what_was_taken_refused_and_served_and_why_queries_failed(rig: Rig) -> None:
    rig.script.on_event = lambda event: (  # type: ignore[assignment]
        [Refuse(event.job) if event.tenant else Send(event.job, "w0")] if isinstance(event, JobArrived) else []
    )
    for number in range(30):
        rig.query(f"q{number}", tenant=number % 2, patience_ms=400.0)
    rig.settle()
    rig.dispatch.ended(rig.recording.started[0], EndReason.SERVED, None, b"ok")  # type: ignore[attr-defined]
    rig.settle(500.0)
    counts = rig.counters.counts
    assert (counts["tenant.0.taken"], counts["tenant.1.taken"], counts["tenant.1.throttle"]) == (15, 15, 15)
    assert (counts["tenant.0.served"], counts["tenant.0.failure"], counts["answer.failure.overdue"]) == (1, 14, 14)
    assert not any(name.startswith("tenant.1.") and name.endswith(("served", "failure")) for name in counts)


def test_log_lines_of_one_event_are_limited_per_second_and_the_rest_is_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Under overload the log must not add load: lines of one event are limited per second, the rest counted."""
    from pipitledge.node import counters as module

    monkeypatch.setattr(module.time, "time", lambda: 1_000.5)
    written, counts = list[str](), module.Counters()
    log = module.Log(counts, lambda now, event, fields: written.append(event))
    for _ in range(10_000):
        log("execution", ending="out-of-time")
    log("list", kind="full")
    assert written.count("execution") == module.Log.PER_SECOND and written[-1] == "list"
    assert counts.counts["log.left-out.execution"] == 10_000 - module.Log.PER_SECOND
