"""The policy's estimates: gain for the objective, shares by zone, slots used by other nodes, slowness from progress."""

from __future__ import annotations

import dataclasses
import random
from typing import Any

import pytest
from helpers import SAFE, UNSAFE, Driver, of_type, settings
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


# ---- shares of the ring


def ring(zones: list[int]) -> list[api.WorkerRecord]:
    return [api.WorkerRecord(api.Worker(f"w{n}", zone=zone), 0, zone, True) for n, zone in enumerate(zones)]


@DERANDOMISED
@given(
    zones=st.lists(st.integers(0, 2), min_size=1, max_size=12),
    instances=st.integers(1, 9),
    priced=st.booleans(),
    zone=st.integers(0, 2),
)
def test_shares_of_all_nodes_cover_each_worker_and_none_exceeds_one(
    zones: list[int], instances: int, priced: bool, zone: int
) -> None:
    total = dict.fromkeys(range(len(zones)), 0.0)
    zoned = priced and len({*zones}) > 1 and zone in zones
    for number in range(instances):
        workers = ring(zones)
        owned = assign_shares(
            workers,
            settings(instances=instances, number=number, zone=zone, zones=3, cross_zone_price=0.1 * priced),
            1e6,
        )
        assert all(0.0 <= worker.own_share <= 1.0 + 1e-9 for worker in workers)
        assert owned == [worker for worker in workers if worker.own_share > 0.0]
        assert not zoned or {worker.zone for worker in owned} == {zone}
        for index, worker in enumerate(workers):
            total[index] += worker.own_share
    for index, share in total.items():
        if not zoned:
            assert share == pytest.approx(1.0)  # every worker is shared out completely, once
        elif zones[index] == zone:  # with all nodes in one zone, the shares add up to the number of zones at most
            assert share == pytest.approx(min(instances, len({*zones})))


# ---- zones


def zoned(**changes: Any) -> Driver:
    driver = Driver(settings(**(ZONED | changes)), workers=0)
    driver.list([api.Worker(f"w{n}", zone=n // 2, weight=8.0) for n in range(6)])
    driver.policy.slots[:] = [2.0]
    driver.handle(api.TimerFired(0))
    driver.tick()
    return driver


def weigh(driver: Driver, used: dict[str, float]) -> None:
    """Send ten list updates with the weights for these slots in use."""
    for _ in range(10):
        driver.list(
            [
                worker.row._replace(weight=8.0 / (1.0 + used.get(name, 0.0) / 2.0))
                for name, worker in driver.policy.workers.items()
            ],
            api.Listing.DELTA,
        )
        driver.tick(500)


def test_jobs_stay_in_their_zone_while_it_has_free_slots_and_cross_when_it_is_full() -> None:
    driver = zoned()
    zones = [driver.policy.workers[send.worker].zone for send in driver.sends(6)]
    assert zones[:4] == [1] * 4 and set(zones[4:]) <= {0, 2} and zones[4:]


def test_a_job_does_not_cross_zones_if_the_crossing_costs_more_than_its_value() -> None:
    cheap, dear = dataclasses.replace(SAFE, worth=0.01), dataclasses.replace(UNSAFE, worth=10.0)
    driver = zoned(classes=(cheap, dear), objective=api.ObjectiveWeights(1.0, 0.0))
    assert len(driver.sends(4)) == 4
    assert not of_type(driver.job("cheap"), api.Send)
    assert [driver.policy.workers[send.worker].zone for send in of_type(driver.job("dear", job_class=1), api.Send)] != [
        1
    ]


def test_slots_used_by_other_nodes_according_to_weights_are_not_free() -> None:
    driver = zoned()
    weigh(driver, {"w2": 2.0, "w3": 2.0, "w0": 2.0, "w1": 2.0, "w4": 2.0})
    assert [send.worker for send in driver.sends(1)] == ["w5"]
    weigh(driver, {})  # the slots are free again
    assert {send.worker for send in driver.sends(3)} <= {"w2", "w3"}


def test_weights_that_are_not_live_show_no_load() -> None:
    driver = zoned(live_weights=False)
    weigh(driver, {"w2": 9.0, "w3": 9.0})
    assert not any(worker.others for worker in driver.policy.workers.values())


def test_an_idle_cold_worker_saves_budget_for_hardly_more_than_one_job() -> None:
    [worker], rate = ring([0]), 0.5
    worker.accrue_cold_tokens(rate, 2_000.0, 300.0, random.Random(1), 0.0)
    assert worker.accrue_cold_tokens(rate, 2_000.0, 300.0, random.Random(1), 60_000.0) <= 300.0 + 0.11 * rate * 2_000.0


# ---- observations


@DERANDOMISED
@given(used=st.floats(0.0, 20.0), slots=st.integers(1, 16), nominal=st.floats(0.5, 50.0))
def test_load_of_other_nodes_is_estimated_from_live_weights_for_any_worker_size(
    used: float, slots: int, nominal: float
) -> None:
    known = estimates_module.Estimates()
    known.slots[:], worker = [float(slots)], ring([0])[0]
    worker.delayed_slots_in_use = 2.0  # the node's own slots do not count as the others'
    known.apply_weight(None, nominal, 0.0)
    for step in range(60):
        known.apply_weight(worker, nominal / (1.0 + (used + 2.0) / slots), float(step))
    assert worker.others == pytest.approx(used, abs=1e-3 + used * 1e-6)
    assert used_by_others(worker, slots) == pytest.approx(
        worker.others
    )  # without an own share, all slots are the others'
    worker.own_share = 1.0
    assert used_by_others(worker, slots) == pytest.approx(worker.others)
    worker.own_share = 0.5
    assert used_by_others(worker, slots) == pytest.approx(max(0.0, worker.others - slots / 2.0))


def test_slots_are_learned_from_probes_without_reports_in_answers_and_without_starts() -> None:
    driver = Driver(settings(probes=True, reports_with_answers=False), workers=3)
    for probe in of_type(driver.tick(), api.Probe):
        driver.handle(api.ProbeEnded(probe.worker, api.Result.OK, 1.0, {"x0": 7.9}))
    assert driver.policy.slots == [8.0]
    assert len(driver.sends(24)) > 12  # 12: the initial estimate of four slots per worker


def test_a_single_node_learns_that_workers_have_fewer_slots_than_the_initial_estimate() -> None:
    driver = Driver(settings(probes=True, reports_with_answers=False), workers=2)
    for _ in range(60):
        driver.handle(api.ProbeEnded("w0", api.Result.OK, 1.0, {"x0": 1.0}), after_ms=100)
    assert driver.policy.slots[0] == pytest.approx(1.0, abs=0.1)


def test_progress_reports_show_a_slow_worker_long_before_its_job_ends() -> None:
    driver = Driver(settings(classes=(SAFE, UNSAFE), progress_ms=1_000.0), workers=1)
    [send] = of_type(driver.job("a", hint_ms=1_000.0), api.Send)
    for note in range(1, 16):  # 1/80 of a one-second job per 100 ms: eight times slower than expected
        driver.handle(api.AttemptNote("a", 0, send.worker, note / 80.0), after_ms=100)
    assert driver.policy.workers["w0"].slowness > 1.0
    assert not of_type(driver.job("b", hint_ms=1_000.0), api.Send)  # it can't be in time there
    driver.policy.workers["w0"].slots_in_use = 0.0
    for _ in range(100):  # without observations, a worker returns to the slowness of its kind and is tried again
        driver.tick(200)
    assert driver.policy.workers["w0"].slowness < 0.5


def test_slots_are_inferred_from_slowdown_only_at_workers_of_the_own_share() -> None:
    """Workers outside the own share once counted as full with any job: 17 slots were estimated instead of 4."""
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
    assert served(100.0, 1) > 2.0  # full, and not slower: more slots
    worker.slots_in_use = 3.0
    grown = served(100.0, 6)
    assert 3.0 < grown < 5.0 and served(100.0, 50) < 5.2  # grows only while the worker is full
    assert served(300.0, 50) < grown  # slower: fewer slots
    known.shrink_slots(worker, "x0")
    before = known.slots[0]
    known.shrink_slots(worker, "")
    assert known.slots[0] == pytest.approx(max(1.0, before - estimates_module.SLOT_SHRINKAGE))


# ---- objective


def tracker(objective: api.ObjectiveWeights, classes: tuple[api.JobClass, ...], **changes: Any) -> ObjectiveTracker:
    made = ObjectiveTracker()
    made.apply_settings(settings(classes=classes, objective=objective, **changes))
    made.decay(0.0)
    return made


def test_without_an_objective_gain_is_proportional_to_value() -> None:
    small, large = dataclasses.replace(SAFE, worth=1.0), dataclasses.replace(SAFE, worth=8.0)
    made = tracker(api.ObjectiveWeights(), (small, large))
    assert made.gain(1, large, 100.0, False) == pytest.approx(8.0 * made.gain(0, small, 100.0, False))
    assert made.gain(1, large, 100.0, True) == 0.0  # a late job earns its late_share, which is 0


def test_the_worst_served_class_gains_most_until_it_is_served_like_the_others() -> None:
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


def test_a_clients_retry_adds_no_requested_value() -> None:
    made = tracker(api.ObjectiveWeights(0.65, 0.2), (SAFE, UNSAFE))
    requested, tries = list(made.requested), made.first_tries
    made.record_arrival(api.JobArrived("a", 0, is_retry=True), SAFE, 100.0)
    assert made.requested == requested and made.first_tries == tries


@DERANDOMISED
@given(
    steps=st.lists(
        st.tuples(st.integers(0, 1), st.booleans(), st.floats(1.0, 9_000.0), st.floats(0.0, 5_000.0)), max_size=60
    )
)
def test_gains_are_shares_of_the_objective_after_any_history(steps: list[tuple[int, bool, float, float]]) -> None:
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


def test_a_job_that_no_worker_can_run_in_time_is_refused_without_an_attempt() -> None:
    driver = Driver(workers=2)
    for worker in driver.policy.workers.values():
        worker.slowness = 2.0
    driver.policy.kind_slowness[:] = [2.0]
    driver.job("a", hint_ms=1_000.0)
    while not of_type(driver.all_actions, api.Refuse) and driver.now < 9_000.0:
        driver.tick(100)
    assert not of_type(driver.all_actions, api.Send) and driver.now < 1_000.0 + 5_000.0


@pytest.mark.parametrize("reports", [True, False])
def test_among_many_nodes_spill_is_learned_from_starts_where_workers_report_them(reports: bool) -> None:
    """Each of 40 nodes with probes once assumed free slots at workers it had never probed: 88 % of jobs were late."""
    driver = Driver(settings(instances=40, probes=True, reports_with_answers=False, reports_starts=reports), workers=40)
    sent = driver.sends(40)
    assert len(sent) >= 8
    driver.tick(600.0)
    for send in sent:  # the starts were late, as other nodes used the slots
        driver.handle(api.AttemptNote(send.job, 0, send.worker))
    driver.tick()
    spilled = sum(attempt.spilled for _, _, attempt in driver.policy.jobs.outstanding())
    assert spilled and (driver.policy.spill == INITIAL_SPILL - spilled) == reports
