"""Admission at ingress nodes: the same figures give the same decision as at the primary, and doubt refuses nothing."""

from __future__ import annotations

import json
import random
import subprocess
import sys
import unittest
from collections import Counter
from typing import Any
from unittest import mock

from msgspec import Struct

from pipitledge.configuration.data_plane import DataPlane
from pipitledge.configuration.datasets import (
    PoolUsage,
    QueueLoad,
    QueueUsageReport,
    decode_usage,
    usage_origin,
)
from pipitledge.configuration.model import Configuration, Route, Service
from pipitledge.ingress import local_admission
from pipitledge.ingress.local_admission import LEFT_TO_PRIMARY, MAX_USAGE_AGE_SECONDS, LocalAdmission
from pipitledge.membership.primary_caller import OutcomeHandler
from pipitledge.runtime.settings import Bounds
from pipitledge.scheduling.admission import SETTLING_S
from pipitledge.scheduling.admission_rule import LEAST_DEPTH, LONGEST_RETRY_MS, SHORTEST_RETRY_MS, share_of
from pipitledge.scheduling.job import Stage
from pipitledge.scheduling.objectives import LATE_FACTOR
from pipitledge.scheduling.tasks import Demand, demand_of
from pipitledge.scheduling.usage import USAGE_VALID_S
from pipitledge.scheduling.workers import ServiceRoom
from pipitledge.wire.messages import ClientReply, PullReply, Update
from tests.system.configuration_world import RecordingLog, ScriptedCaller, clock_of
from tests.system.scheduling_cluster import PLAIN, ROUTES, SERVICE, URGENT, Behaviour, Cluster, FakeReplicator, job_id
from tests.system.virtual import World

PRIMARYS_OWN = ("pipitledge.scheduling.context", "pipitledge.scheduling.lifecycle", "pipitledge.scheduling.workers")
SLOTS_A_WORKER = 8  # of the model
SLOW = Behaviour(work_s=60.0)


def job_of(slots: int, cpu: int = 1_000, **fields: object) -> bytes:
    """A job that weighs so many slots, where a slot comes with a core."""
    return json.dumps({"stages": [{"count": slots, "cpu": cpu} | fields]}).encode()


class TimedCaller(ScriptedCaller):
    """Knows when the last call was sent."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self.world = world
        self.sent_at = 0.0

    def call(self, request: Struct, timeout_s: float, on_done: OutcomeHandler) -> None:
        self.sent_at = self.world.time
        super().call(request, timeout_s, on_done)


class Puller:
    """An ingress node's admission, and the usage it has pulled."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.caller = TimedCaller(world)
        self.plane = DataPlane(clock_of(world), self.caller, "n5", RecordingLog(), Bounds())
        self.admission = LocalAdmission(self.plane)
        self.plane.start()

    def await_pull(self) -> None:
        """Let time pass until the node pulls; a pull that was sent earlier fails."""
        if self.caller.waiting and self.caller.sent_at < self.world.time:
            self.caller.answer(None)
        self.world.run_while(lambda: not self.caller.waiting, 1.0)

    def pull(self, term: int, version: int, payload: bytes) -> None:
        """Answer the node's newest pull with that usage."""
        self.await_pull()
        self.caller.answer(PullReply(term, [Update(usage_origin(term), version, payload)]))


class NodeCase(unittest.TestCase):
    """One node; its pool has 20 slots in 4 workers, so 80 with the least depth."""

    def setUp(self) -> None:
        self.node = Puller(World())
        self.admission = self.node.admission

    def pull(self, version: int = 1, **inflight: float) -> None:
        """Have the node pull the usage of the two queues; each may use 40 slots, 8 of them are reserved."""
        busy = {
            route.name: QueueLoad(inflight[route.name], route.priority) for route in ROUTES if route.name in inflight
        }
        idle = dict(Counter(route.priority for route in ROUTES if route.name not in inflight))
        limit, reservation = 40.0 / LEAST_DEPTH, 8.0 / LEAST_DEPTH
        pool = PoolUsage(20.0, limit, reservation, busy, idle, workers=4, cpu=5_000, memory_mb=8_192, gpu=4)
        self.node.pull(1, version, QueueUsageReport({SERVICE: pool}).encode())

    def refused(self, slots: int, number: int = 1, route: Route = PLAIN) -> bool:
        return self.admission.evaluate(route, job_id(number), job_of(slots)).refused


class FourStepsTest(NodeCase):
    def test_limit(self) -> None:
        self.pull(plain=38.0)
        self.assertFalse(self.refused(2, 1))
        self.assertTrue(self.refused(3, 2))

    def test_reservation_holds_with_the_remainder_used_up(self) -> None:
        self.pull(plain=3.0, urgent=72.0)
        self.assertFalse(self.refused(5, 1))
        self.assertTrue(self.refused(6, 2))

    def test_remainder(self) -> None:
        self.pull(plain=10.0, urgent=60.0)  # 2 and 52 of the 64 that nobody has reserved
        self.assertFalse(self.refused(10, 1))
        self.assertTrue(self.refused(11, 2))

    def test_what_yields_to_a_job_does_not_count_against_it(self) -> None:
        self.pull(plain=400.0, urgent=38.0)
        self.assertFalse(self.refused(2, 1, URGENT))
        self.assertTrue(self.refused(3, 2, URGENT))  # over the limit of its own queue

    def test_what_goes_first_counts_against_a_job(self) -> None:
        self.pull(plain=10.0, urgent=72.0)
        self.assertTrue(self.refused(1, 1, PLAIN))

    def test_an_idle_queues_job_is_taken_whatever_its_size(self) -> None:
        self.pull(urgent=72.0)
        self.assertFalse(self.refused(100))

    def test_a_refusal_tells_when_to_come_back(self) -> None:
        self.pull(plain=100.0)
        local_decision = self.admission.evaluate(PLAIN, job_id(1), job_of(4))
        self.assertTrue(local_decision.refused)
        self.assertTrue(SHORTEST_RETRY_MS <= local_decision.retry_after_ms <= LONGEST_RETRY_MS)


class DoubtTest(NodeCase):
    def test_no_usage_refuses_nothing(self) -> None:
        self.assertEqual(self.admission.evaluate(PLAIN, job_id(1), job_of(100)), LEFT_TO_PRIMARY)

    def test_stale_usage_refuses_nothing(self) -> None:
        self.pull(plain=40.0)
        self.node.world.run_for(MAX_USAGE_AGE_SECONDS - 0.01)
        self.assertTrue(self.refused(1, 1))
        self.node.world.run_for(0.02)
        self.assertFalse(self.refused(1, 2))

    def test_a_queue_or_a_service_that_is_not_told_of(self) -> None:
        self.pull(plain=40.0)
        self.assertFalse(self.refused(1, 1, Route("new", "jobs.example", "/new/", SERVICE)))
        self.assertFalse(self.refused(1, 2, Route("plain", "jobs.example", "/plain/", "another")))

    def test_what_the_primary_calls_bad(self) -> None:
        self.pull(plain=40.0)
        for name, body in ((job_id(1), b"{"), (job_id(2), b'{"stages":[]}'), ("x/" + job_id(3), job_of(1))):
            self.assertEqual(self.admission.evaluate(PLAIN, name, body), LEFT_TO_PRIMARY)

    def test_a_job_that_was_handed_on_once_is_never_refused(self) -> None:
        self.pull(plain=39.0)
        accepted = self.admission.evaluate(PLAIN, job_id(1), job_of(1))
        self.admission.accepted(accepted)
        self.assertTrue(self.refused(1, 2))
        self.assertFalse(self.refused(1, 1))

    def test_a_job_handed_on_without_usage_is_remembered_too(self) -> None:
        self.assertFalse(self.refused(1, 1))
        self.pull(plain=40.0)
        self.assertFalse(self.refused(1, 1))
        self.assertTrue(self.refused(1, 2))

    def test_a_job_refused_here_was_not_handed_on(self) -> None:
        self.pull(plain=40.0)
        self.assertEqual([self.refused(1, 1), self.refused(1, 1)], [True, True])

    def test_so_many_jobs_are_remembered(self) -> None:
        with mock.patch.object(local_admission, "JOBS_REMEMBERED", 2):
            for number in (1, 2, 1, 3):
                self.refused(1, number)
            self.pull(plain=40.0)
            self.assertEqual([self.refused(1, number) for number in (1, 3, 2)], [False, False, True])


class CountTest(NodeCase):
    def test_what_this_node_let_in_counts(self) -> None:
        self.pull(plain=36.0)
        self.admission.accepted(self.admission.evaluate(PLAIN, job_id(1), job_of(4)))
        self.assertTrue(self.refused(1, 2))

    def test_what_others_borrow_through_this_node_counts(self) -> None:
        self.pull(plain=10.0, urgent=30.0)
        self.admission.accepted(self.admission.evaluate(URGENT, job_id(1), job_of(10)))
        self.assertFalse(self.refused(30, 2))
        self.admission.accepted(self.admission.evaluate(PLAIN, job_id(3), job_of(29)))
        self.assertTrue(self.refused(2, 4))

    def test_until_newer_usage_contains_it(self) -> None:
        self.pull(plain=36.0)
        self.admission.accepted(self.admission.evaluate(PLAIN, job_id(1), job_of(4)))
        self.pull(version=2, plain=38.0)
        self.assertFalse(self.refused(2, 2))

    def test_not_if_usage_that_came_before_its_answer_may_contain_it(self) -> None:
        self.pull(plain=36.0)
        local_decision = self.admission.evaluate(PLAIN, job_id(1), job_of(4))
        self.pull(version=2, plain=38.0)
        self.admission.accepted(local_decision)
        self.assertFalse(self.refused(2, 2))

    def test_a_job_that_no_usage_weighed_does_not_count(self) -> None:
        local_decision = self.admission.evaluate(PLAIN, job_id(1), job_of(40))
        self.pull(plain=1.0)
        self.admission.accepted(local_decision)
        self.assertFalse(self.refused(30, 2))


class PrimaryCase(unittest.TestCase):
    """A primary with four workers of eight slots, and a node that pulls from it."""

    def setUp(self) -> None:
        self.cluster = Cluster(workers=4)
        self.node = Puller(self.cluster.world)
        self.cluster.promote()
        self.cluster.run(SETTLING_S + 0.5)

    def usage(self) -> tuple[int, bytes]:
        assert self.cluster.primary is not None
        return self.cluster.primary.scheduler.usage()

    def report(self) -> QueueUsageReport:
        return decode_usage(self.usage()[1])

    def admits(self, number: int, body: dict[str, Any], route: Route) -> bool:
        """Whether the primary takes a job in."""
        replies = self.cluster.submit(job_id(number), body, route, SLOW)
        self.cluster.world.run_while(lambda: not replies, 1.0)
        reply = replies[0]
        assert isinstance(reply, ClientReply), reply
        self.assertIn(reply.status, (200, 429))
        return reply.status == 200


class PublishedTest(PrimaryCase):
    def test_figures(self) -> None:
        self.admits(1, {"stages": [{"count": 4, "cpu": 2_000}]}, PLAIN)
        self.cluster.run(USAGE_VALID_S)
        pool = self.report().pools[SERVICE]
        self.assertEqual((pool.capacity, pool.workers, pool.cpu), (4.0 * SLOTS_A_WORKER, 4, 8_000))
        self.assertEqual((pool.queue_limit, pool.queue_reservation), (32.0, 8.0))
        self.assertEqual(pool.busy, {"plain": QueueLoad(8.0, priority=PLAIN.priority)})
        self.assertEqual({level: count for level, count in pool.idle.items() if count}, {URGENT.priority: 1})

    def test_weight_returns_when_a_job_ends(self) -> None:
        self.admits(1, {"stages": [{"count": 4, "cpu": 2_000}]}, PLAIN)
        self.cluster.cancel(job_id(1))
        self.cluster.run(USAGE_VALID_S)
        self.assertEqual(self.report().pools[SERVICE].busy, {})

    def test_nothing_is_published_until_the_workers_are_known(self) -> None:
        self.cluster.promote()
        self.cluster.run(SETTLING_S - 0.1)
        self.assertEqual(self.report().pools, {})
        self.cluster.run(USAGE_VALID_S)
        self.assertIn(SERVICE, self.report().pools)

    def test_it_stays_while_nothing_changes(self) -> None:
        before = self.usage()
        self.cluster.run(2.0)
        self.assertEqual(self.usage(), before)

    def test_it_is_made_anew_now_and_then(self) -> None:
        version, payload = self.usage()
        with mock.patch.object(self.cluster.primary.replicator, "commit_s", 0.0):  # type: ignore[union-attr]
            self.admits(1, {"stages": [{"cpu": 2_000}]}, PLAIN)
        self.assertEqual(self.usage(), (version, payload))
        self.cluster.run(USAGE_VALID_S)
        self.assertGreater(self.usage()[0], version)

    def test_a_job_for_a_job_is_a_change(self) -> None:
        self.admits(1, {"stages": [{"cpu": 2_000}]}, PLAIN)
        self.cluster.run(USAGE_VALID_S)
        version, payload = self.usage()
        self.cluster.cancel(job_id(1))
        self.admits(2, {"stages": [{"cpu": 2_000}]}, PLAIN)
        self.cluster.run(USAGE_VALID_S)
        self.assertEqual(self.report().pools, decode_usage(payload).pools)
        self.assertGreater(self.usage()[0], version)

    def test_a_jobs_depth_depends_on_how_late_it_still_earns(self) -> None:
        self.assertEqual(self.report().pools[SERVICE].late_factor, LATE_FACTOR)

    def test_of_a_new_term_at_once(self) -> None:
        primary = self.cluster.primary
        assert primary is not None
        version, _ = self.usage()
        self.assertIn(SERVICE, self.report().pools)
        primary.scheduler.deactivated()
        with mock.patch.object(FakeReplicator, "term", self.cluster.term + 1):
            primary.scheduler.activated(self.cluster.term + 1, {})
            self.assertEqual(self.report().pools, {})
            self.assertGreater(self.usage()[0], version)

    def test_a_scheduler_that_is_not_active_publishes_nothing(self) -> None:
        assert self.cluster.primary is not None
        self.cluster.primary.scheduler.deactivated()
        self.cluster.run(USAGE_VALID_S)
        self.assertEqual(self.report(), QueueUsageReport())

    def test_routes_that_are_gone_are_left_out(self) -> None:
        self.cluster.configuration = Configuration(2, (PLAIN,), (Service(SERVICE),))
        self.cluster.run(USAGE_VALID_S)
        pool = self.report().pools[SERVICE]
        self.assertEqual((pool.busy, pool.idle, pool.queue_reservation), ({}, {PLAIN.priority: 1}, 16.0))


class SameDecisionTest(PrimaryCase):
    def compare(self, number: int, body: dict[str, Any], route: Route) -> bool:
        """Both decide on the figures of this moment; whether they take the job in."""
        self.cluster.run(USAGE_VALID_S)
        assert self.cluster.primary is not None
        self.node.await_pull()
        self.node.pull(self.cluster.term, *self.usage())
        local_decision = self.node.admission.evaluate(route, job_id(number), json.dumps(body).encode())
        self.assertIsNotNone(local_decision.usage_revision)
        admitted = self.admits(number, body, route)
        self.assertEqual(local_decision.refused, not admitted, f"job {number}: {local_decision}")
        return admitted

    def test_flood(self) -> None:
        rng = random.Random(5)
        decisions = list[bool]()
        for number in range(1, 121):
            stages = [
                {
                    "count": rng.randint(1, 12),
                    "cpu": rng.choice([0, 300, 1_000, 3_000]),
                    "memoryLimitMb": rng.choice([0, 700, 5_000]),
                    "gpu": rng.choice([0, 0, 1]),
                    "estimatedMs": rng.choice([0, 150, 2_000, 20_000]),
                    "dependsOn": list(range(step)) if rng.random() < 0.5 else [],
                }
                for step in range(rng.randint(1, 3))
            ]
            decisions.append(self.compare(number, {"stages": stages}, rng.choice(ROUTES)))
        self.assertGreater(decisions.count(True), 20)
        self.assertGreater(decisions.count(False), 20)

    def test_ordinary_load_and_bursts_are_refused_nowhere(self) -> None:
        # Three times the slots there are, at once, in both queues together.
        for number in range(1, 25):
            body = {"stages": [{"count": 4, "cpu": 1_000, "estimatedMs": 1_000}]}
            self.assertTrue(self.compare(number, body, ROUTES[number % 2]))


class SharedRuleTest(unittest.TestCase):
    def test_shares_are_those_by_which_the_primary_plans(self) -> None:
        rng = random.Random(3)
        for _ in range(200):
            cpu, memory, gpu = rng.choice([0, 8_000]), rng.choice([0, 16_384]), rng.choice([0, 4])
            stage = Stage(cpu=rng.randint(0, 9_000), memory_limit_mb=rng.randint(0, 20_000), gpu=rng.randint(0, 5))
            room = ServiceRoom(4, 32, Demand(cpu, memory, gpu))
            pool = PoolUsage(32.0, workers=4, cpu=cpu, memory_mb=memory, gpu=gpu)
            self.assertEqual(share_of(stage, pool), room.share_of(demand_of(stage)))

    def test_ingress_loads_nothing_that_is_the_primarys_alone(self) -> None:
        program = "import sys, pipitledge.ingress.ingress; print(*sys.modules)"
        ended = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
        loaded = set(ended.stdout.split())
        self.assertIn("pipitledge.scheduling.admission_rule", loaded)
        self.assertEqual(loaded.intersection(PRIMARYS_OWN), set())


if __name__ == "__main__":
    unittest.main()
