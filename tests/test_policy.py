"""Unit tests of the dispatch policy."""

from __future__ import annotations

import pathlib
from typing import Any

import pytest
from helpers import SAFE, UNSAFE, Driver, keyed, of_type, settings

import pipitledge.decision.free_slots as free_slots_module
import pipitledge.decision.policy as policy_module
from pipitledge.decision.interface import (
    AttemptNote,
    Cancel,
    ClientGone,
    Fail,
    JobArrived,
    JobClass,
    Listing,
    Plan,
    Probe,
    Refuse,
    Repeat,
    Result,
    Scope,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    State,
    Subscribe,
    Tenant,
    TimerFired,
    Withdraw,
    Worker,
    WorkersChanged,
)

ROOT = pathlib.Path(__file__).parent.parent
NOT_RUN = [Result.FULL, Result.CONNECT_FAILED]
MAY_HAVE_RUN = [Result.ERROR, Result.RESET, Result.TIMEOUT, Result.CANCELLED]


def test_the_policy_module_stays_within_its_line_limits() -> None:
    lines = (ROOT / "pipitledge" / "decision" / "policy.py").read_text().splitlines()
    assert len([line for line in lines if line.strip()]) <= 500
    assert max(map(len, lines)) <= 110
    assert "interface.py" in lines[0] + lines[1]


# ---- tokens


def flood(driver: Driver, tenant: int, count: int) -> list[Send]:
    return [send for index in range(count) for send in of_type(driver.job(f"t{tenant}-{index}", tenant=tenant), Send)]


def test_a_flooding_tenant_is_refused_and_the_other_keeps_its_reservation() -> None:
    driver = Driver(workers=10)
    driver.learn_slots(8)
    flood(driver, 0, 500)
    assert of_type(driver.all_actions, Refuse)
    # One job of an idle tenant always passes; five jobs (its share less a deviation) show the reservation.
    assert not [refused for index in range(5) for refused in of_type(driver.job(f"other-{index}", tenant=1), Refuse)]


def test_one_job_of_an_idle_tenant_is_admitted_however_small_its_share() -> None:
    driver = Driver(settings(tenants=(Tenant(0.99), Tenant(0.01)), instances=150), workers=3)
    flood(driver, 0, 200)
    assert not of_type(driver.job("small", tenant=1), Refuse)


@pytest.mark.parametrize("result", list(Result))
def test_tokens_are_returned_once_however_a_job_ends(result: Result) -> None:
    driver = Driver(settings(max_attempts=1))
    [send] = of_type(driver.job("a", job_class=1), Send)
    driver.end(send, result)
    driver.end(send, result, closed=True)  # a repeated event
    driver.handle(ClientGone("a"))
    assert driver.policy.inflight == [0.0, 0.0] == driver.policy.running
    assert not driver.policy.jobs and not driver.policy.pending


def test_a_repeated_arrival_event_takes_tokens_once() -> None:
    driver = Driver()
    driver.job("a")
    driver.job("a")
    assert sum(driver.policy.inflight) == 1


def test_a_client_disconnect_frees_tokens_at_once_and_worker_slots_when_the_attempt_ends() -> None:
    driver = Driver()
    [send] = of_type(driver.job("a"), Send)
    driver.handle(ClientGone("a"))
    assert sum(driver.policy.inflight) == 0 and sum(driver.policy.running) == 1
    assert not of_type(driver.end(send, Result.ERROR), Send)
    assert sum(driver.policy.running) == 0 and not driver.policy.jobs


# ---- pending queue


def test_a_job_waits_until_a_worker_has_a_free_slot() -> None:
    driver = Driver(settings(classes=(JobClass(repeat=SAFE.repeat, objective_ms=60_000),)), workers=1)
    driver.policy.slots[:] = [1.0]
    [first] = of_type(driver.job("a"), Send)
    assert not of_type(driver.job("b", tenant=1), Send)
    assert [send.job for send in of_type(driver.end(first), Send)] == ["b"]


def test_without_workers_a_pending_job_is_refused_before_its_timeout() -> None:
    driver = Driver(workers=0)
    driver.job("a", patience_ms=300.0)
    while driver.now < 1_299 and not of_type(driver.all_actions, Refuse):
        driver.handle(TimerFired(0), after_ms=1)
    assert of_type(driver.all_actions, Refuse) == [Refuse("a")]


def test_a_pending_job_gets_a_timer_before_its_timeout() -> None:
    driver = Driver(workers=0)
    driver.handle(TimerFired(0), after_ms=1)
    actions = driver.job("a", patience_ms=30.0)
    assert min(timer.delay_ms for timer in of_type(actions, SetTimer)) < 30


def test_a_stale_timer_sets_no_further_timers() -> None:
    driver = Driver()
    before = len(of_type(driver.all_actions, SetTimer))
    for _ in range(50):
        driver.handle(TimerFired(0))
    assert len(of_type(driver.all_actions, SetTimer)) - before <= 1


# ---- attempts


@pytest.mark.parametrize("job_class", [SAFE, UNSAFE, keyed(Scope.ALL), keyed(Scope.ZONE), keyed(Scope.CELL)])
@pytest.mark.parametrize("result", NOT_RUN)
def test_a_job_that_never_ran_is_retried_or_refused(job_class: JobClass, result: Result) -> None:
    driver = Driver(settings(classes=(job_class,), max_attempts=2))
    [send] = of_type(driver.job("a"), Send)
    [again] = of_type(driver.end(send, result, after_ms=1), Send)
    assert of_type(driver.end(again, result, after_ms=1), Refuse)


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
def test_an_unsafe_job_that_may_have_run_fails(result: Result) -> None:
    driver = Driver(settings(classes=(UNSAFE,)))
    [send] = of_type(driver.job("a"), Send)
    actions = driver.end(send, result, after_ms=1)
    assert of_type(actions, Fail) and not of_type(actions, Send) and not of_type(actions, Refuse)


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
def test_a_safe_job_that_may_have_run_is_retried(result: Result) -> None:
    driver = Driver(settings(classes=(SAFE,)))
    [send] = of_type(driver.job("a"), Send)
    assert of_type(driver.end(send, result, after_ms=1), Send)


def zoned() -> list[Worker]:
    return [Worker(f"w{zone}{cell}", zone=zone, cell=2 * zone + cell) for zone in (0, 1) for cell in (0, 1)]


@pytest.mark.parametrize("scope", list(Scope))
def test_a_keyed_job_that_may_have_run_is_retried_in_its_group_only(scope: Scope) -> None:
    for seed in range(20):
        driver = Driver(settings(classes=(keyed(scope),), zones=2), workers=0, seed=seed)
        driver.list(zoned())
        [send] = of_type(driver.job("a"), Send)
        for again in of_type(driver.end(send, Result.RESET, after_ms=1), Send):
            first, second = send.worker[1:], again.worker[1:]
            assert scope is Scope.ALL or first[0] == second[0]
            assert scope is not Scope.CELL or first == second


@pytest.mark.parametrize("scope", list(Scope))
def test_a_keyed_job_is_not_retried_after_its_window(scope: Scope) -> None:
    driver = Driver(settings(classes=(keyed(scope, window_ms=200),)))
    [send] = of_type(driver.job("a"), Send)
    actions = driver.end(send, Result.RESET, after_ms=250)
    for _ in range(400):
        actions += driver.handle(TimerFired(0), after_ms=10)
    assert not of_type(actions, Send)
    assert len(of_type(actions, Refuse)) == (scope is Scope.ALL)
    assert len(of_type(actions, Fail)) == (scope is not Scope.ALL)


def test_a_timeout_at_the_deadline_is_answered_at_once() -> None:
    driver = Driver()
    [send] = of_type(driver.job("a", patience_ms=400.0), Send)
    assert of_type(driver.end(send, Result.TIMEOUT, after_ms=400), Refuse)


def test_no_more_attempts_than_allowed() -> None:
    driver = Driver(settings(max_attempts=3))
    sends = of_type(driver.job("a"), Send)
    while sends and len(of_type(driver.all_actions, Send)) < 10:
        sends = of_type(driver.end(sends[0], Result.ERROR, after_ms=1), Send)
    assert len(of_type(driver.all_actions, Send)) == 3


# ---- worker list


@pytest.mark.parametrize("state", [State.DRAINING, State.GONE])
def test_no_job_is_sent_to_a_draining_or_gone_worker(state: State) -> None:
    driver = Driver(workers=1)
    driver.list([Worker("w0", state)], Listing.DELTA)
    assert not of_type(driver.job("a"), Send)


def test_a_worker_missing_from_a_full_list_is_gone() -> None:
    driver = Driver(workers=2)
    driver.list([Worker("w1")])
    for index in range(5):
        assert all(send.worker == "w1" for send in of_type(driver.job(f"j{index}"), Send))


def test_a_job_of_before_a_worker_restart_frees_no_slots_of_the_restarted_worker() -> None:
    driver = Driver(workers=1)
    [send] = of_type(driver.job("a", job_class=1), Send)  # not sent again
    driver.list([Worker("w0", started_ms=driver.now)], Listing.DELTA)
    driver.end(send, Result.RESET)
    assert driver.policy.workers["w0"].slots_in_use == 0


def test_nodes_request_the_list_at_different_times_and_retry_after_a_failure() -> None:
    delays = set()
    for number in range(20):
        driver = Driver(settings(must_subscribe=True, instances=20, number=number), workers=0, seed=number)
        first = next(timer for timer in of_type(driver.handle(), SetTimer) if timer.token == 1)
        delays.add(round(first.delay_ms))
        assert of_type(driver.handle(TimerFired(1)), Subscribe)
        waits = []
        for _ in range(3):
            failed = driver.handle(WorkersChanged(Listing.FAILED))
            waits += [timer.delay_ms for timer in of_type(failed, SetTimer) if timer.token == 1]
        assert len(waits) == 3 and sum(waits[1:]) > waits[0]
    assert len(delays) > 10


@pytest.mark.parametrize("instances, most_ms", [(2, 2_250.0), (20, 12_000.0)])
def test_after_many_failed_requests_a_small_tier_still_retries_soon(instances: int, most_ms: float) -> None:
    """A drain counts as announced after 6 s; a node that learns of it later breaks a rule."""
    driver = Driver(settings(must_subscribe=True, instances=instances, number=0), workers=0)
    replies = [driver.handle(WorkersChanged(Listing.FAILED)) for _ in range(200)]
    waits = [timer.delay_ms for actions in replies for timer in of_type(actions, SetTimer) if timer.token == 1]
    assert len(waits) > 200 and max(waits) <= most_ms < 1.1 * max(waits)


# ---- ring and cold workers


def drivers(count: int, workers: list[Worker], **changes: object) -> list[Driver]:
    made = [Driver(settings(instances=count, number=index, **changes), workers=0, seed=index) for index in range(count)]
    for driver in made:
        driver.list(workers)
    return made


@pytest.mark.parametrize("count", [1, 3, 40, 150])
def test_own_shares_of_a_worker_add_up_to_one(count: int) -> None:
    rows = [Worker(f"w{index}", started_ms=900.0 * (index % 3 == 0)) for index in range(11)]
    made = drivers(count, rows)
    for row in rows:
        shares = [driver.policy.workers[row.id].own_share for driver in made]
        assert sum(shares) == pytest.approx(1.0)


@pytest.mark.parametrize("count", [1, 4, 150])
def test_all_nodes_together_stay_within_a_cold_workers_budget_and_do_not_starve_it(count: int) -> None:
    rules = {"cold_share": 0.2, "cold_ms": 20_000.0, "overload_factor": 2.0, "fall_ms": 1_000.0}
    classes = (JobClass(objective_ms=100, stretch=10.0, deadline_ms=60_000, repeat=SAFE.repeat),)
    made = drivers(count, [Worker("cold", started_ms=1_000.0)], classes=classes, **rules)
    slots, sent = 4.0, []
    for step in range(2_000):
        for index, driver in enumerate(made):
            driver.policy.slots[0], driver.policy.run_ms[0] = slots, 100.0
            driver.now = 1_000.0 + 10 * step
            name = f"{index}-{step}"
            busy = [action for action in driver.all_actions if isinstance(action, Send)]
            driver.all_actions.clear()
            for send in busy:
                driver.end(send, after_ms=0)
            driver.job(name)
            sent += [(driver.now, 100.0)] * len(of_type(driver.all_actions, Send))
    assert sent
    for start in range(1_000, 20_000, 250):
        age = start - 1_000.0
        warm = 0.2 + 0.8 * (age + 1_000) / 20_000
        work = sum(size for at, size in sent if start <= at < start + 1_000)
        assert work <= rules["overload_factor"] * warm * slots * 1_000.0 + 2 * 100


# ---- health


def test_a_failing_worker_is_ejected_and_returns_after_successful_trials() -> None:
    driver = Driver(workers=6)
    driver.learn_slots(4)
    sick = "w3"
    for turn in range(6):
        sends = [send for index in range(18) for send in of_type(driver.job(f"a{turn}-{index}"), Send)]
        for send in sends:
            driver.end(send, Result.ERROR if send.worker == sick else Result.OK, after_ms=10, closed=True)
    assert driver.policy.workers[sick].trial
    driver.all_actions.clear()
    for turn in range(100):
        driver.handle(TimerFired(0))
        sends = [send for index in range(30) for send in of_type(driver.job(f"b{turn}-{index}"), Send)]
        while sends:
            sends += of_type(driver.end(sends.pop(0), after_ms=10), Send)
    assert not driver.policy.workers[sick].trial
    assert any(send.worker == sick for send in of_type(driver.all_actions, Send))


@pytest.mark.parametrize(
    "results, ejected",
    [
        ([Result.ERROR] * 2, False),
        ([Result.ERROR] * 3, True),
        ([Result.CONNECT_FAILED], False),
        ([Result.CONNECT_FAILED] * 2, True),
        ([Result.RESET] * 4, False),
        ([Result.RESET] * 5, True),
        ([*[Result.RESET, Result.OK, Result.OK] * 4], False),
        ([Result.ERROR, *[Result.OK] * 3, Result.ERROR], False),
    ],
)
def test_one_or_two_errors_do_not_eject_a_worker(results: list[Result], ejected: bool) -> None:
    """A single error once put the fastest worker on trial for over a second, which overloaded the others.

    A reset shows the failure of one connection only: where connections break now and then, each reset once ejected a
    healthy worker.
    """
    driver = Driver(workers=1)
    driver.learn_slots(4)
    for turn, result in enumerate(results):
        [send] = of_type(driver.job(f"a{turn}", job_class=1), Send)
        driver.end(send, result, after_ms=5)
    assert driver.policy.workers["w0"].trial == ejected


@pytest.mark.parametrize("job_class, worker", [(0, "w0"), (1, "w1")])
def test_healthy_workers_are_preferred_for_jobs_that_must_not_be_repeated(job_class: int, worker: str) -> None:
    """Where most workers fail now and then, ejecting them cost more jobs than their errors."""
    driver = Driver(workers=2)
    driver.policy.slots[:] = [4.0]
    failing, healthy = (driver.policy.workers[name] for name in ("w0", "w1"))
    failing.failures, healthy.slowness = 0.3, 0.5  # the failing worker is a little faster
    [send] = of_type(driver.job("a", job_class=job_class), Send)
    assert send.worker == worker and not failing.trial


def test_when_all_workers_fail_alike_at_most_half_are_ejected() -> None:
    driver = Driver(workers=6)
    for index in range(300):
        for send in of_type(driver.job(f"a{index}"), Send):
            driver.end(send, Result.ERROR, after_ms=10, closed=True)
    assert len(driver.policy.ejected) <= 3


@pytest.mark.parametrize(
    "with_answers, price, least, most",
    [(True, 0.0, 0, 0), (False, 0.0, 50, 64), (False, 0.0025, 50, 64), (False, 0.015, 8, 14)],
)
def test_probes_are_sent_only_without_reports_in_answers_and_as_many_as_their_price_allows(
    with_answers: bool, price: float, least: int, most: int
) -> None:
    driver = Driver(settings(probes=True, reports_with_answers=with_answers, probe_price=price))
    for index in range(100):
        for send in of_type(driver.job(f"a{index}"), Send):
            driver.end(send, after_ms=10)
        driver.tick()
    probed = [probe.worker for probe in of_type(driver.all_actions, Probe)]
    assert least <= len(probed) <= most
    # The worker with the oldest probe is probed next.
    assert all(len({*probed[at : at + 4]}) == 4 for at in range(0, len(probed) - 4, 4))


def test_placement_examines_a_sample_and_not_the_whole_fleet() -> None:
    driver = Driver(workers=400)
    calls = []
    original = driver.policy._free_slots
    driver.policy._free_slots = lambda *a: (calls.append(1), original(*a))[1]  # type: ignore[method-assign]
    driver.job("a")
    assert len(calls) <= 2 * policy_module.SAMPLE_SIZE + 2


def test_the_same_events_give_the_same_actions() -> None:
    def play() -> list[object]:
        driver = Driver(workers=30)
        for index in range(200):
            sends = of_type(driver.job(f"a{index}", tenant=index % 2, job_class=index % 2), Send)
            for send in sends[:1] if index % 3 else []:
                driver.end(send, Result.OK if index % 5 else Result.ERROR)
        return list(driver.all_actions)

    assert play() == play()


@pytest.mark.parametrize(
    "field, value",
    [
        ("classes", ()),
        ("instances", 0),
        ("number", 5),
        ("cold_ms", -1.0),
        ("max_attempts", 0),
    ],
)
def test_invalid_settings_are_rejected_with_the_field_name(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        settings(**{field: value})


def test_invalid_class_settings_are_rejected_with_the_field_name() -> None:
    with pytest.raises(ValueError, match=r"classes\[0\]\.worth"):
        Settings(classes=(JobClass(worth=-1.0),))


# ---- displacement: without free tokens, the pending job of least value is refused


def overloaded(cheap: JobClass, dear: JobClass) -> Driver:
    """A busy worker, and all tokens taken by pending jobs of the cheap class."""
    driver = Driver(settings(classes=(cheap, dear), tenants=(Tenant(),)), workers=1)
    while not of_type(driver.all_actions, Refuse):
        driver.job(f"cheap-{len(driver.all_actions)}-{len(driver.policy.jobs)}", job_class=0)
    driver.all_actions.clear()
    return driver


def test_a_job_of_higher_value_displaces_a_cheap_one_that_was_never_sent() -> None:
    driver = overloaded(SAFE, JobClass(deadline_ms=5_000, objective_ms=500, worth=9.0, stretch=2.0))
    before = sum(driver.policy.inflight)
    driver.job("dear", job_class=1)
    [refused] = of_type(driver.all_actions, Refuse)
    assert refused.job.startswith("cheap") and "dear" in driver.policy.jobs
    assert sum(driver.policy.inflight) == before


def test_a_job_of_equal_value_does_not_displace_another() -> None:
    driver = overloaded(SAFE, SAFE)
    driver.job("same", job_class=1)
    assert [refused.job for refused in of_type(driver.all_actions, Refuse)] == ["same"]


def test_a_job_that_was_sent_is_never_displaced() -> None:
    driver = overloaded(UNSAFE, JobClass(deadline_ms=5_000, objective_ms=500, worth=9.0, stretch=2.0))
    sent = {job.event.job for job in driver.policy.jobs.values() if job.attempts}
    for index in range(50):
        driver.job(f"dear-{index}", job_class=1)
    assert sent and not sent & {refused.job for refused in of_type(driver.all_actions, Refuse)}


def test_a_late_job_is_displaced_by_one_that_can_be_in_time() -> None:
    late = JobClass(deadline_ms=50_000, objective_ms=500, late_share=0.3, repeat=SAFE.repeat)
    driver = overloaded(late, late)
    driver.now += 5_000
    driver.job("fresh", patience_ms=50_000)
    assert "fresh" in driver.policy.jobs


def test_a_job_larger_than_any_own_share_is_sent_to_an_idle_worker() -> None:
    driver = Driver(settings(instances=40, number=3), workers=30)
    assert of_type(driver.job("wide", slots=4.0), Send)


def test_when_nothing_else_is_free_a_late_job_goes_to_a_cold_worker_of_the_own_share() -> None:
    classes = (JobClass(deadline_ms=60_000, objective_ms=500, late_share=0.5, repeat=SAFE.repeat),)
    use = settings(classes=classes, cold_share=0.1, cold_ms=20_000.0, overload_factor=4.0)
    driver = Driver(use, workers=0)
    driver.list([Worker("cold", started_ms=driver.now)])
    driver.policy.slots[0] = 8.0
    driver.now += 2_000
    assert of_type(driver.job("a", patience_ms=60_000.0), Send)


def test_the_spill_falls_after_a_full_worker_and_grows_after_success() -> None:
    driver = Driver(settings(instances=9, number=0), workers=9)
    for result, sign in ((Result.FULL, -1), (Result.OK, 1)):
        sends = [send for index in range(6) for send in of_type(driver.job(f"{result}{index}"), Send)]
        before = driver.policy.spill
        jobs = driver.policy.jobs
        send = next(send for send in sends if jobs[send.job].attempts[0].spilled)
        driver.end(send, result, free=3.0, closed=True)
        assert (driver.policy.spill - before) * sign > 0


def four_out(known: float, **changes: Any) -> tuple[Driver, list[Send]]:
    """Send four jobs to one worker, and then set its estimated slots to `known`."""
    driver = Driver(settings(reports_starts=True, **changes), workers=1)
    driver.policy.slots[:], sends = [8.0], []
    for index in range(4):
        driver.now += 1.0
        sends += of_type(driver.job(f"a{index}"), Send)
    driver.policy.slots[:] = [known]
    return driver, sends


def test_slots_are_learned_from_running_jobs_without_a_report_of_free_slots() -> None:
    """A worker under load reports one or two free slots; with an estimate of only these it was half idle."""
    driver, sends = four_out(1.0)
    for send in sends:
        driver.handle(AttemptNote(send.job, 0, send.worker))
    driver.policy.next_tick_ms = 0.0
    driver.handle(TimerFired(0), after_ms=5)  # too early: a start may arrive before the end of the previous job
    assert driver.policy.slots == [1.0]
    driver.policy.next_tick_ms = 0.0
    driver.handle(TimerFired(0), after_ms=20)
    assert driver.policy.slots == [4.0]
    for send in sends:
        driver.end(send, free=1.0)
    assert driver.policy.slots == [4.0]


@pytest.mark.parametrize(
    "started, instances, lower", [((0, 1, 2), 1, True), ((0, 1, 3), 1, False), ((0, 1, 2), 2, False)]
)
def test_a_waiting_job_lowers_the_estimated_slots_of_its_worker(
    started: tuple[int, ...], instances: int, lower: bool
) -> None:
    """Not if it was overtaken, as its connection is silent; nor with several nodes, as their jobs use slots too."""
    driver, sends = four_out(8.0, instances=instances)
    for number in started:
        driver.handle(AttemptNote(sends[number].job, 0, sends[number].worker), after_ms=1)
    driver.policy.next_tick_ms = 0.0
    driver.handle(TimerFired(0), after_ms=50)
    assert driver.policy.slots == [pytest.approx(8.0 - 0.1 * 5.0 if lower else 8.0)]


@pytest.mark.parametrize("after_ms, free", [(1.0, 2.0), (200.0, 0.0)])
def test_outside_the_own_share_a_prompt_start_shows_free_slots_and_a_late_one_none(
    after_ms: float, free: float
) -> None:
    """Reports are a second old on arrival: a node refused jobs while workers outside its share were idle."""
    driver = Driver(settings(instances=9, number=0, reports_starts=True), workers=9)
    sends = [send for index in range(9) for send in of_type(driver.job(f"a{index}"), Send)]
    send = next(send for send in sends if driver.policy.jobs[send.job].attempts[0].spilled)
    driver.handle(AttemptNote(send.job, 0, send.worker), after_ms=after_ms)
    worker = driver.policy.workers[send.worker]
    assert (worker.free, worker.reported_ms) == (free, driver.now)


def test_free_slots_in_an_old_report_are_limited_outside_the_own_share() -> None:
    driver = Driver(settings(instances=9, number=0, reports_starts=True), workers=9)
    worker = next(worker for worker in driver.policy.ring if not worker.own_share)
    worker.free, worker.slots_in_use, worker.reported_ms = 10.0, 5.0, driver.now
    driver.policy.now = driver.now
    assert driver.policy._free_slots(worker, own=False) == 4.0 + free_slots_module.EXTRA_SLOTS - 5.0


def silent(dead: float, **changes: float) -> tuple[Driver, Send]:
    """A job that started 10 ms after it was sent, with no sign of life since, on a worker with one slot."""
    driver = Driver(settings(reports_starts=True, progress_ms=2_000.0, cancel=True), workers=1)
    driver.policy.run_ms[:], driver.policy.dead, driver.policy.spill = [100.0, 100.0], dead, 0.0
    driver.policy.slots[:] = [1.0]
    [send] = of_type(driver.job("silent"), Send)
    driver.handle(AttemptNote("silent", 0, "w0"), after_ms=10)
    return driver, send


@pytest.mark.parametrize("dead, sent", [(1.0, True), (0.0, False)])
def test_an_overdue_attempt_frees_slots_by_the_probability_that_it_is_dead(dead: float, sent: bool) -> None:
    """Silent connections kept their slots until the client's timeout; a long job must keep them."""
    driver, send = silent(dead)
    driver.handle(TimerFired(0), after_ms=300)
    assert not of_type(driver.job("early"), Send) and driver.policy.inflight[0] == 2.0
    driver.handle(ClientGone("early"))
    driver.handle(TimerFired(0), after_ms=400)
    assert driver.policy.inflight[0] == (0.0 if dead else 1.0)
    assert bool(of_type(driver.job("late"), Send)) == sent
    driver.end(send, attempt=0)
    assert driver.policy.dead == pytest.approx(0.9 * dead)  # this attempt was alive
    driver.handle(ClientGone("late"))
    assert driver.policy.inflight[0] == 0.0


def test_an_attempt_without_a_sign_of_life_is_cancelled_once() -> None:
    driver, send = silent(0.0)
    driver.handle(AttemptNote("silent", 0, "w0", 0.5), after_ms=2_000)  # long, but alive
    for _ in range(22):
        assert not of_type(driver.handle(TimerFired(0), after_ms=100), Cancel)
    driver.policy.next_tick_ms = 0.0
    assert of_type(driver.handle(TimerFired(0), after_ms=300), Cancel) == [Cancel("silent", 0)]
    assert not of_type(driver.handle(TimerFired(0), after_ms=300), Cancel)
    driver.end(send, Result.CANCELLED)
    assert driver.policy.dead == pytest.approx(0.1) and not driver.policy.workers["w0"].slots_in_use


def test_an_unreachable_worker_is_ejected_before_its_attempts_have_ended() -> None:
    driver, _ = silent(1.0)
    driver.policy.slots[:] = [4.0]
    for index in range(3):
        driver.job(f"a{index}")
    driver.handle(TimerFired(0), after_ms=700)
    assert driver.policy.workers["w0"].trial


def test_a_dead_worker_is_ejected_even_when_much_of_the_fleet_is_dead() -> None:
    driver = Driver(workers=4)
    driver.policy.slots[:] = [2.0]
    for turn in range(20):
        sends = [send for index in range(8) for send in of_type(driver.job(f"{turn}-{index}"), Send)]
        for send in sends:
            driver.policy.fleet_failures = 0.4  # as the rest of a large fleet would keep it
            result = Result.CONNECT_FAILED if send.worker == "w2" else Result.OK
            driver.end(send, result, after_ms=5, closed=True)
    assert [name for name, worker in driver.policy.workers.items() if worker.trial] == ["w2"]


def test_a_job_without_a_slot_request_is_ranked_like_any_other() -> None:
    driver = overloaded(SAFE, SAFE)
    for index in range(30):
        driver.job(f"none-{index}", slots=0.0, job_class=1)
    assert len(driver.policy.jobs) + len(of_type(driver.all_actions, Refuse)) >= 30


@pytest.mark.parametrize("allowed, most, advice", [(True, 2_000.0, 2_000.0), (True, 0.0, 0.0), (False, 2_000.0, 0.0)])
def test_a_refusal_carries_a_retry_delay_where_the_settings_allow_it(allowed: bool, most: float, advice: float) -> None:
    use = settings(classes=(SAFE,), retry_after=allowed, max_retry_after_ms=most)
    driver = Driver(use, workers=1)
    while not of_type(driver.all_actions, Refuse):  # refused without free tokens
        driver.job(f"a{len(driver.policy.jobs)}")
    driver.handle(TimerFired(0), after_ms=4_990)  # and the pending jobs expire
    refused = of_type(driver.all_actions, Refuse)
    assert len(refused) > 1 and {refusal.retry_after_ms for refusal in refused} == {advice}


def test_later_events_do_not_postpone_a_tick() -> None:
    """Expired jobs once stayed pending while events arrived faster than the tick's least delay."""
    driver = Driver(settings(resolution_ms=4.0), workers=1)
    flood(driver, 0, 12)
    latest_start, due = min(job.latest_start_ms for job in driver.policy.pending.jobs()), list[float]()
    driver.now = latest_start - 1.0
    due += [driver.now + action.delay_ms for action in of_type(driver.handle(TimerFired(0)), SetTimer)]
    for count in range(40):  # one event per millisecond; timers fire when they are due
        actions = driver.job(f"x{count}", patience_ms=1.0)
        driver.now += 1.0
        if any(time <= driver.now for time in due):
            actions += driver.handle(TimerFired(0))
        due = [time for time in due if time > driver.now]
        due += [driver.now + action.delay_ms for action in of_type(actions, SetTimer)]
    assert not [job for job in driver.policy.pending.jobs() if job.latest_start_ms < driver.now - 8.0]


@pytest.mark.parametrize("job_class, cancels", [(0, True), (1, False)])
def test_an_overtaken_job_is_dead_where_jobs_start_in_order(job_class: int, cancels: bool) -> None:
    """Most connections go silent before the start: their jobs kept a slot for 2.4 s and were late."""

    def driver_of(starts_in_order: bool) -> tuple[Driver, Send]:
        driver = Driver(
            settings(reports_starts=True, cancel=True, progress_ms=2_000.0, starts_in_order=starts_in_order), workers=1
        )
        [silent] = of_type(driver.job("silent", job_class=job_class), Send)
        for number in range(3):
            [send] = of_type(driver.handle(JobArrived(f"j{number}", patience_ms=5_000.0), after_ms=60.0), Send)
            driver.handle(AttemptNote(send.job, 0, send.worker), after_ms=2.0)
            driver.end(send, after_ms=60.0)
        return driver, silent

    for starts_in_order in (True, False):
        driver, silent = driver_of(starts_in_order)
        worker = driver.policy.workers[silent.worker]
        assert worker.slots_in_use == 1
        actions = driver.handle(TimerFired(0), after_ms=200.0)
        assert (Cancel("silent", 0) in actions) == (cancels and starts_in_order)
        assert worker.slots_in_use == (0 if starts_in_order else 1)
    driver, silent = driver_of(True)
    driver.handle(AttemptNote("silent", 0, silent.worker))  # late, but alive
    assert not of_type(driver.handle(TimerFired(0), after_ms=300.0), Cancel)


# ---- settings and worker lists that change while a job is open


@pytest.mark.parametrize(
    "before, after",
    [
        (SAFE, UNSAFE),
        (UNSAFE, SAFE),
        (SAFE, keyed(Scope.ALL)),
        (keyed(Scope.ALL), SAFE),
        (keyed(Scope.ALL), UNSAFE),
        (UNSAFE, keyed(Scope.ALL)),
        (keyed(Scope.CELL), keyed(Scope.ALL)),
    ],
)
@pytest.mark.parametrize("state", ["pending", "outstanding"])
def test_a_job_keeps_the_repeat_rule_of_its_arrival_when_its_class_changes(
    before: JobClass, after: JobClass, state: str
) -> None:
    driver = Driver(settings(classes=(before,)), workers=0 if state == "pending" else 4)
    driver.job("a")
    driver.handle(SettingsChanged(settings(classes=(after,))))
    if state == "pending":
        driver.list([Worker(f"w{index}") for index in range(4)])
    [send] = of_type(driver.all_actions, Send)
    assert driver.policy.jobs["a"].cls is before
    actions = driver.end(send, Result.RESET)
    assert bool(of_type(actions, Send)) == (before.repeat is not Repeat.UNSAFE)
    assert bool(of_type(actions, Fail)) == (before.repeat is Repeat.UNSAFE)
    driver.job("b")
    assert driver.policy.jobs["b"].cls is after


@pytest.mark.parametrize("retry_on", [frozenset(Result), frozenset({Result.RESET})])
def test_a_drain_withdraws_unsent_attempts_and_places_their_jobs_again(retry_on: frozenset[Result]) -> None:
    """Under any retry_on of the plan: a withdrawn attempt does not count as a failed one."""
    driver = Driver(workers=2)
    [send] = of_type(driver.job("a", job_class=1, plan=Plan(retry_on=retry_on)), Send)
    actions = driver.list([Worker(send.worker, State.DRAINING)], Listing.DELTA)
    assert of_type(actions, Withdraw) == [Withdraw("a", 0)]
    [again] = of_type(driver.end(send, Result.NOT_SENT), Send)
    assert again.worker != send.worker
