"""What the module reckons before it decides: gain to the goal, parts by zone, what others hold, pace from progress."""

from __future__ import annotations

import dataclasses
import random
from typing import Any

import pytest
from helpers import SAFE, UNSAFE, Driver, of, settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from pipitledge.decision import estimates as estimates_module
from pipitledge.decision import interface as api
from pipitledge.decision.objective import ObjectiveTracker
from pipitledge.decision.policy import INITIAL_SPILL
from pipitledge.decision.shares import assign_shares, used_by_others

DERANDOMISED = hypothesis_settings(derandomize=True, deadline=None, max_examples=150, database=None)
ZONED: dict[str, Any] = {
    "zones": 3,
    "zone": 1,
    "instances": 3,
    "cross_zone_price": 0.16,
    "live_weights": True,
    "objective": api.ObjectiveWeights(0.65, 0.2),
}


# ---- parts of the ring


def ring(zones: list[int]) -> list[api.WorkerRecord]:
    return [api.WorkerRecord(api.Worker(f"w{n}", zone=zone), 0, zone, True) for n, zone in enumerate(zones)]


@DERANDOMISED
@given(
    zones=st.lists(st.integers(0, 2), min_size=1, max_size=12),
    instances=st.integers(1, 9),
    priced=st.booleans(),
    zone=st.integers(0, 2),
)
def test_parts_of_all_nodes_of_a_zone_cover_it_and_no_part_is_more_than_a_whole(
    zones: list[int], instances: int, priced: bool, zone: int
) -> None:
    total = dict.fromkeys(range(len(zones)), 0.0)
    zoned = priced and len({*zones}) > 1 and zone in zones
    for number in range(instances):
        workers = ring(zones)
        mine = assign_shares(
            workers,
            settings(instances=instances, number=number, zone=zone, zones=3, cross_zone_price=0.1 * priced),
            1e6,
        )
        assert all(0.0 <= worker.own_share <= 1.0 + 1e-9 for worker in workers)
        assert mine == [worker for worker in workers if worker.own_share > 0.0]
        assert not zoned or {worker.zone for worker in mine} == {zone}
        for index, worker in enumerate(workers):
            total[index] += worker.own_share
    for index, part in total.items():
        if not zoned:
            assert part == pytest.approx(1.0)  # every worker is shared out whole, once
        elif zones[index] == zone:  # all numbers in one zone: together `zones` times a whole, or each has it whole
            assert part == pytest.approx(min(instances, len({*zones})))


# ---- zones, in the module


def zoned(**changes: Any) -> Driver:
    driver = Driver(settings(**(ZONED | changes)), workers=0)
    driver.list([api.Worker(f"w{n}", zone=n // 2, weight=8.0) for n in range(6)])
    driver.policy.slots[:] = [2.0]
    driver.tell(api.TimerFired(0))
    driver.tick()
    return driver


def weigh(driver: Driver, held: dict[str, float]) -> None:
    """Ten lists, as weights are told over and over."""
    for _ in range(10):
        driver.list(
            [
                worker.row._replace(weight=8.0 / (1.0 + held.get(name, 0.0) / 2.0))
                for name, worker in driver.policy.workers.items()
            ],
            api.Listing.DELTA,
        )
        driver.tick(500)


def test_jobs_stay_in_their_zone_while_it_has_room_and_cross_when_it_has_none() -> None:
    driver = zoned()
    zones = [driver.policy.workers[send.worker].zone for send in driver.sends(6)]
    assert zones[:4] == [1] * 4 and set(zones[4:]) <= {0, 2} and zones[4:]


def test_a_crossing_that_costs_more_than_the_job_is_worth_is_not_made() -> None:
    cheap, dear = dataclasses.replace(SAFE, worth=0.01), dataclasses.replace(UNSAFE, worth=10.0)
    driver = zoned(classes=(cheap, dear), objective=api.ObjectiveWeights(1.0, 0.0))
    assert len(driver.sends(4)) == 4
    assert not of(driver.job("cheap"), api.Send)
    assert [driver.policy.workers[send.worker].zone for send in of(driver.job("dear", job_class=1), api.Send)] != [1]


def test_what_others_hold_by_the_weights_is_no_room_near_or_far() -> None:
    driver = zoned()
    weigh(driver, {"w2": 2.0, "w3": 2.0, "w0": 2.0, "w1": 2.0, "w4": 2.0})
    assert [send.worker for send in driver.sends(1)] == ["w5"]
    weigh(driver, {})  # and it comes back as they go
    assert {send.worker for send in driver.sends(3)} <= {"w2", "w3"}


def test_weights_that_are_no_live_ones_show_nothing_held() -> None:
    driver = zoned(live_weights=False)
    weigh(driver, {"w2": 9.0, "w3": 9.0})
    assert not any(worker.others for worker in driver.policy.workers.values())


def test_an_idle_cold_workers_budget_is_saved_for_one_job_and_hardly_more() -> None:
    [worker], rate = ring([0]), 0.5
    worker.accrue_cold_tokens(rate, 2_000.0, 300.0, random.Random(1), 0.0)
    assert worker.accrue_cold_tokens(rate, 2_000.0, 300.0, random.Random(1), 60_000.0) <= 300.0 + 0.11 * rate * 2_000.0


# ---- what is seen


@DERANDOMISED
@given(held=st.floats(0.0, 20.0), slots=st.integers(1, 16), nominal=st.floats(0.5, 50.0))
def test_others_are_found_from_live_weights_whatever_the_size(held: float, slots: int, nominal: float) -> None:
    known = estimates_module.Estimates()
    known.slots[:], worker = [float(slots)], ring([0])[0]
    worker.delayed_slots_in_use = 2.0  # ours are not others'
    known.apply_weight(None, nominal, 0.0)
    for sight in range(60):
        known.apply_weight(worker, nominal / (1.0 + (held + 2.0) / slots), float(sight))
    assert worker.others == pytest.approx(held, abs=1e-3 + held * 1e-6)
    assert used_by_others(worker, slots) == pytest.approx(worker.others)  # no part of ours: all of it is theirs
    worker.own_share = 1.0
    assert used_by_others(worker, slots) == pytest.approx(worker.others)
    worker.own_share = 0.5
    assert used_by_others(worker, slots) == pytest.approx(max(0.0, worker.others - slots / 2.0))


def test_probes_teach_slots_where_answers_carry_no_report_and_starts_are_not_told() -> None:
    driver = Driver(settings(probes=True, reports_with_answers=False), workers=3)
    for probe in of(driver.tick(), api.Probe):
        driver.tell(api.ProbeEnded(probe.worker, api.Result.OK, 1.0, {"x0": 7.9}))
    assert driver.policy.slots == [8.0]
    assert len(driver.sends(24)) > 12  # of four slots each


def test_a_lone_node_finds_that_workers_have_fewer_slots_than_it_began_with() -> None:
    driver = Driver(settings(probes=True, reports_with_answers=False), workers=2)
    for _ in range(60):
        driver.tell(api.ProbeEnded("w0", api.Result.OK, 1.0, {"x0": 1.0}), after_ms=100)
    assert driver.policy.slots[0] == pytest.approx(1.0, abs=0.1)


def test_progress_tells_a_slow_worker_long_before_its_job_ends() -> None:
    driver = Driver(settings(classes=(SAFE, UNSAFE), progress_ms=1_000.0), workers=1)
    [send] = of(driver.job("a", hint_ms=1_000.0), api.Send)
    for note in range(1, 16):  # an eightieth of a second's job in a tenth of a second: eight times slower
        driver.tell(api.AttemptProgress("a", 0, send.worker, note / 80.0), after_ms=100)
    assert driver.policy.workers["w0"].slowness > 1.0
    assert not of(driver.job("b", hint_ms=1_000.0), api.Send)  # it can't be in time there
    driver.policy.workers["w0"].slots_in_use = 0.0
    for _ in range(100):  # a worker that tells nothing is taken for its kind again, and so tried
        driver.tick(200)
    assert driver.policy.workers["w0"].slowness < 0.5


def test_where_nothing_is_told_slots_are_felt_and_far_workers_prove_nothing() -> None:
    """Workers of no part of ours counted as full with any job: 17 slots were believed where there are 4."""
    known, use = estimates_module.Estimates(), settings(free_slots_field="", reports_starts=False)
    known.slots[:], known.kind_slowness[:], known.run_ms[:], known.per_hint[:] = [2.0], [0.0], [100.0], [1.0]
    worker = ring([0])[0]

    def served(took_ms: float, times: int) -> float:
        for _ in range(times):
            job = api.JobRecord(api.JobArrived("a"), SAFE, 0, 100.0, 0.0, 0.0, 0.0)
            known.record_served(job, api.AttemptRecord(worker, 1_000.0 - took_ms, False, 0.0), 1_000.0, use)
        return known.slots[0]

    worker.own_share = 0.0
    assert served(100.0, 50) == 2.0
    worker.own_share, worker.slots_in_use = 1.0, 0.0
    assert served(100.0, 1) > 2.0  # full, and no slower
    worker.slots_in_use = 3.0
    grown = served(100.0, 6)
    assert 3.0 < grown < 5.0 and served(100.0, 50) < 5.2  # no further than it was full
    assert served(300.0, 50) < grown  # slower: it has fewer
    known.shrink_slots(worker, "x0")
    before = known.slots[0]
    known.shrink_slots(worker, "")
    assert known.slots[0] == pytest.approx(max(1.0, before - estimates_module.SLOT_SHRINKAGE))


# ---- worth


def tracker(objective: api.ObjectiveWeights, classes: tuple[api.JobClass, ...], **changes: Any) -> ObjectiveTracker:
    made = ObjectiveTracker()
    made.apply_settings(settings(classes=classes, objective=objective, **changes))
    made.decay(0.0)
    return made


def test_without_a_goal_the_order_is_by_worth_as_ever() -> None:
    small, large = dataclasses.replace(SAFE, worth=1.0), dataclasses.replace(SAFE, worth=8.0)
    made = tracker(api.ObjectiveWeights(), (small, large))
    assert made.gain(1, large, 100.0, False) == pytest.approx(8.0 * made.gain(0, small, 100.0, False))
    assert made.gain(1, large, 100.0, True) == 0.0  # late, it earns its late share: none


def test_the_class_served_worst_gains_most_and_no_more_once_it_is_served_like_the_others() -> None:
    small, large = dataclasses.replace(SAFE, worth=1.0), dataclasses.replace(SAFE, worth=1.5)
    made = tracker(api.ObjectiveWeights(0.65, 0.2), (small, large), value_by_work=True)
    assert made.gain(0, small, 100.0, False) < made.gain(1, large, 100.0, False)
    for n in range(200):
        for index, cls in ((0, small), (1, large)):
            made.record_arrival(api.JobArrived(f"{n}-{index}", index), cls, 100.0)
        made.record_in_time(1, large, 100.0)
    made.decay(1_000.0)
    assert made.gain(0, small, 100.0, False) > made.gain(1, large, 100.0, False)
    for _ in range(200):
        made.record_in_time(0, small, 100.0)
    made.decay(2_000.0)
    assert made.gain(0, small, 100.0, False) < made.gain(1, large, 100.0, False)


def test_a_clients_retry_asks_for_nothing_new() -> None:
    made = tracker(api.ObjectiveWeights(0.65, 0.2), (SAFE, UNSAFE))
    asked, tries = list(made.requested), made.first_tries
    made.record_arrival(api.JobArrived("a", 0, is_retry=True), SAFE, 100.0)
    assert made.requested == asked and made.first_tries == tries


@DERANDOMISED
@given(
    steps=st.lists(
        st.tuples(st.integers(0, 1), st.booleans(), st.floats(1.0, 9_000.0), st.floats(0.0, 5_000.0)), max_size=60
    )
)
def test_gains_are_shares_of_the_goal_whatever_came_before(steps: list[tuple[int, bool, float, float]]) -> None:
    made, now = tracker(api.ObjectiveWeights(0.65, 0.2), (SAFE, UNSAFE), value_by_work=True), 0.0
    for index, served, size, after in steps:
        now += after
        made.decay(now)
        cls = (SAFE, UNSAFE)[index]
        made.record_arrival(api.JobArrived("a", index), cls, size)
        assert 0.0 <= made.gain(index, cls, size, False) <= 0.65 + 0.2 + 1e-9
        if served:
            made.record_in_time(index, cls, size)
        assert sum(made.worst_chances) == pytest.approx(1.0) and made.first_tries > 0.0


def test_a_job_that_no_worker_can_run_in_time_is_refused_and_not_sent() -> None:
    driver = Driver(workers=2)
    for worker in driver.policy.workers.values():
        worker.slowness = 2.0
    driver.policy.kind_slowness[:] = [2.0]
    driver.job("a", hint_ms=1_000.0)
    while not of(driver.did, api.Refuse) and driver.now < 9_000.0:
        driver.tick(100)
    assert not of(driver.did, api.Send) and driver.now < 1_000.0 + 5_000.0


@pytest.mark.parametrize("tells", [True, False])
def test_among_many_nodes_room_elsewhere_is_learned_from_starts_where_these_are_told(tells: bool) -> None:
    """With probes too, each of 40 nodes took the slots of workers it had never seen for free: 88 % came late."""
    driver = Driver(settings(instances=40, probes=True, reports_with_answers=False, reports_starts=tells), workers=40)
    sent = driver.sends(40)
    assert len(sent) >= 8
    driver.tick(600.0)
    for send in sent:  # they had to wait for the slots that others hold
        driver.tell(api.AttemptProgress(send.job, 0, send.worker))
    driver.tick()
    beyond = sum(attempt.spilled for _, _, attempt in driver.policy.jobs.outstanding())
    assert beyond and (driver.policy.spill == INITIAL_SPILL - beyond) == tells
