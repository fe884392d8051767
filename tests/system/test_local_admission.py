"""Admission at ingress nodes: the same usage gives the same decision as at the primary; in doubt nothing is refused."""

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
from pipitledge.scheduling.admission import WORKER_DISCOVERY_S
from pipitledge.scheduling.admission_rule import MAX_RETRY_AFTER_MS, MIN_QUEUE_DEPTH, MIN_RETRY_AFTER_MS, share_of
from pipitledge.scheduling.job import Stage
from pipitledge.scheduling.objectives import LATE_FACTOR
from pipitledge.scheduling.tasks import ResourceRequest, resource_request_of
from pipitledge.scheduling.usage import USAGE_VALID_S
from pipitledge.scheduling.workers import ServiceCapacity
from pipitledge.wire.messages import ClientReply, PullReply, Update
from tests.system.configuration_world import RecordingLog, ScriptedCaller, clock_of
from tests.system.scheduling_cluster import PLAIN, ROUTES, SERVICE, URGENT, Behaviour, Cluster, FakeReplicator, job_id
from tests.system.virtual import World

PRIMARY_ONLY_MODULES = (
    "pipitledge.scheduling.context",
    "pipitledge.scheduling.lifecycle",
    "pipitledge.scheduling.workers",
)
SLOTS_PER_WORKER = 8  # of the model workers
SLOW = Behaviour(work_s=60.0)


def job_of(slots: int, cpu: int = 1_000, **fields: object) -> bytes:
    """A job that weighs that many slots, on workers with one core per slot."""
    return json.dumps({"stages": [{"count": slots, "cpu": cpu} | fields]}).encode()


class TimedCaller(ScriptedCaller):
    """Records when the last call was sent."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self.world = world
        self.sent_at = 0.0

    def call(self, request: Struct, timeout_s: float, on_done: OutcomeHandler) -> None:
        self.sent_at = self.world.time
        super().call(request, timeout_s, on_done)


class Puller:
    """The admission of an ingress node, with the usage that it has pulled."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.caller = TimedCaller(world)
        self.plane = DataPlane(clock_of(world), self.caller, "n5", RecordingLog(), Bounds())
        self.admission = LocalAdmission(self.plane)
        self.plane.start()

    def await_pull(self) -> None:
        """Let time pass until the node pulls; an earlier pull that is still unanswered fails."""
        if self.caller.waiting and self.caller.sent_at < self.world.time:
            self.caller.answer(None)
        self.world.run_while(lambda: not self.caller.waiting, 1.0)

    def pull(self, term: int, version: int, payload: bytes) -> None:
        """Answer the node's newest pull with that usage."""
        self.await_pull()
        self.caller.answer(PullReply(term, [Update(usage_origin(term), version, payload)]))


class NodeCase(unittest.TestCase):
    """One node; its service has 20 slots on 4 workers, so a capacity of 80 slots at the minimum queue depth."""

    def setUp(self) -> None:
        self.node = Puller(World())
        self.admission = self.node.admission

    def pull(self, version: int = 1, **inflight: float) -> None:
        """Let the node pull the usage of the two queues; each may use 40 slots, of which 8 are reserved for it."""
        busy = {
            route.name: QueueLoad(inflight[route.name], route.priority) for route in ROUTES if route.name in inflight
        }
        idle = dict(Counter(route.priority for route in ROUTES if route.name not in inflight))
        limit, reservation = 40.0 / MIN_QUEUE_DEPTH, 8.0 / MIN_QUEUE_DEPTH
        pool = PoolUsage(20.0, limit, reservation, busy, idle, workers=4, cpu=5_000, memory_mb=8_192, gpu=4)
        self.node.pull(1, version, QueueUsageReport({SERVICE: pool}).encode())

    def refused(self, slots: int, number: int = 1, route: Route = PLAIN) -> bool:
        return self.admission.evaluate(route, job_id(number), job_of(slots)).refused


class AdmissionStepsTest(NodeCase):
    def test_limit(self) -> None:
        self.pull(plain=38.0)
        self.assertFalse(self.refused(2, 1))
        self.assertTrue(self.refused(3, 2))

    def test_reservation_is_available_when_the_remainder_is_used_up(self) -> None:
        self.pull(plain=3.0, urgent=72.0)
        self.assertFalse(self.refused(5, 1))
        self.assertTrue(self.refused(6, 2))

    def test_remainder(self) -> None:
        self.pull(plain=10.0, urgent=60.0)  # they use 2 and 52 of the 64 unreserved slots
        self.assertFalse(self.refused(10, 1))
        self.assertTrue(self.refused(11, 2))

    def test_queues_of_lower_priority_do_not_count(self) -> None:
        self.pull(plain=400.0, urgent=38.0)
        self.assertFalse(self.refused(2, 1, URGENT))
        self.assertTrue(self.refused(3, 2, URGENT))  # exceeds the limit of its own queue

    def test_queues_of_higher_priority_count(self) -> None:
        self.pull(plain=10.0, urgent=72.0)
        self.assertTrue(self.refused(1, 1, PLAIN))

    def test_first_job_of_an_idle_queue_is_admitted_regardless_of_size(self) -> None:
        self.pull(urgent=72.0)
        self.assertFalse(self.refused(100))

    def test_refusal_contains_a_retry_delay(self) -> None:
        self.pull(plain=100.0)
        local_decision = self.admission.evaluate(PLAIN, job_id(1), job_of(4))
        self.assertTrue(local_decision.refused)
        self.assertTrue(MIN_RETRY_AFTER_MS <= local_decision.retry_after_ms <= MAX_RETRY_AFTER_MS)


class DoubtTest(NodeCase):
    def test_no_usage_refuses_nothing(self) -> None:
        self.assertEqual(self.admission.evaluate(PLAIN, job_id(1), job_of(100)), LEFT_TO_PRIMARY)

    def test_stale_usage_refuses_nothing(self) -> None:
        self.pull(plain=40.0)
        self.node.world.run_for(MAX_USAGE_AGE_SECONDS - 0.01)
        self.assertTrue(self.refused(1, 1))
        self.node.world.run_for(0.02)
        self.assertFalse(self.refused(1, 2))

    def test_queue_or_service_missing_from_the_usage_is_not_refused(self) -> None:
        self.pull(plain=40.0)
        self.assertFalse(self.refused(1, 1, Route("new", "jobs.example", "/new/", SERVICE)))
        self.assertFalse(self.refused(1, 2, Route("plain", "jobs.example", "/plain/", "another")))

    def test_invalid_jobs_are_left_to_the_primary(self) -> None:
        self.pull(plain=40.0)
        for name, body in ((job_id(1), b"{"), (job_id(2), b'{"stages":[]}'), ("x/" + job_id(3), job_of(1))):
            self.assertEqual(self.admission.evaluate(PLAIN, name, body), LEFT_TO_PRIMARY)

    def test_job_forwarded_once_is_never_refused(self) -> None:
        self.pull(plain=39.0)
        accepted = self.admission.evaluate(PLAIN, job_id(1), job_of(1))
        self.admission.accepted(accepted)
        self.assertTrue(self.refused(1, 2))
        self.assertFalse(self.refused(1, 1))

    def test_job_forwarded_without_usage_is_remembered(self) -> None:
        self.assertFalse(self.refused(1, 1))
        self.pull(plain=40.0)
        self.assertFalse(self.refused(1, 1))
        self.assertTrue(self.refused(1, 2))

    def test_refused_job_does_not_count_as_forwarded(self) -> None:
        self.pull(plain=40.0)
        self.assertEqual([self.refused(1, 1), self.refused(1, 1)], [True, True])

    def test_number_of_remembered_jobs_is_bounded(self) -> None:
        with mock.patch.object(local_admission, "JOBS_REMEMBERED", 2):
            for number in (1, 2, 1, 3):
                self.refused(1, number)
            self.pull(plain=40.0)
            self.assertEqual([self.refused(1, number) for number in (1, 3, 2)], [False, False, True])


class CountTest(NodeCase):
    def test_jobs_admitted_through_this_node_count(self) -> None:
        self.pull(plain=36.0)
        self.admission.accepted(self.admission.evaluate(PLAIN, job_id(1), job_of(4)))
        self.assertTrue(self.refused(1, 2))

    def test_borrowing_of_other_queues_through_this_node_counts(self) -> None:
        self.pull(plain=10.0, urgent=30.0)
        self.admission.accepted(self.admission.evaluate(URGENT, job_id(1), job_of(10)))
        self.assertFalse(self.refused(30, 2))
        self.admission.accepted(self.admission.evaluate(PLAIN, job_id(3), job_of(29)))
        self.assertTrue(self.refused(2, 4))

    def test_locally_admitted_job_counts_only_until_newer_usage_contains_it(self) -> None:
        self.pull(plain=36.0)
        self.admission.accepted(self.admission.evaluate(PLAIN, job_id(1), job_of(4)))
        self.pull(version=2, plain=38.0)
        self.assertFalse(self.refused(2, 2))

    def test_job_does_not_count_if_usage_received_before_its_answer_may_contain_it(self) -> None:
        self.pull(plain=36.0)
        local_decision = self.admission.evaluate(PLAIN, job_id(1), job_of(4))
        self.pull(version=2, plain=38.0)
        self.admission.accepted(local_decision)
        self.assertFalse(self.refused(2, 2))

    def test_job_without_usage_at_its_decision_does_not_count(self) -> None:
        local_decision = self.admission.evaluate(PLAIN, job_id(1), job_of(40))
        self.pull(plain=1.0)
        self.admission.accepted(local_decision)
        self.assertFalse(self.refused(30, 2))


class PrimaryCase(unittest.TestCase):
    """A primary with four workers of eight slots each, and an ingress node that pulls from it."""

    def setUp(self) -> None:
        self.cluster = Cluster(workers=4)
        self.node = Puller(self.cluster.world)
        self.cluster.promote()
        self.cluster.run(WORKER_DISCOVERY_S + 0.5)

    def usage(self) -> tuple[int, bytes]:
        assert self.cluster.primary is not None
        return self.cluster.primary.scheduler.usage()

    def report(self) -> QueueUsageReport:
        return decode_usage(self.usage()[1])

    def admits(self, number: int, body: dict[str, Any], route: Route) -> bool:
        """Submit a job to the primary and return whether it is admitted."""
        replies = self.cluster.submit(job_id(number), body, route, SLOW)
        self.cluster.world.run_while(lambda: not replies, 1.0)
        reply = replies[0]
        assert isinstance(reply, ClientReply), reply
        self.assertIn(reply.status, (200, 429))
        return reply.status == 200


class PublishedTest(PrimaryCase):
    def test_published_values(self) -> None:
        self.admits(1, {"stages": [{"count": 4, "cpu": 2_000}]}, PLAIN)
        self.cluster.run(USAGE_VALID_S)
        pool = self.report().pools[SERVICE]
        self.assertEqual((pool.capacity, pool.workers, pool.cpu), (4.0 * SLOTS_PER_WORKER, 4, 8_000))
        self.assertEqual((pool.queue_limit, pool.queue_reservation), (32.0, 8.0))
        self.assertEqual(pool.busy, {"plain": QueueLoad(8.0, priority=PLAIN.priority)})
        self.assertEqual({level: count for level, count in pool.idle.items() if count}, {URGENT.priority: 1})

    def test_weight_is_released_when_a_job_ends(self) -> None:
        self.admits(1, {"stages": [{"count": 4, "cpu": 2_000}]}, PLAIN)
        self.cluster.cancel(job_id(1))
        self.cluster.run(USAGE_VALID_S)
        self.assertEqual(self.report().pools[SERVICE].busy, {})

    def test_nothing_is_published_until_the_workers_are_known(self) -> None:
        self.cluster.promote()
        self.cluster.run(WORKER_DISCOVERY_S - 0.1)
        self.assertEqual(self.report().pools, {})
        self.cluster.run(USAGE_VALID_S)
        self.assertIn(SERVICE, self.report().pools)

    def test_report_stays_the_same_while_nothing_changes(self) -> None:
        before = self.usage()
        self.cluster.run(2.0)
        self.assertEqual(self.usage(), before)

    def test_report_is_rebuilt_periodically(self) -> None:
        version, payload = self.usage()
        with mock.patch.object(self.cluster.primary.replicator, "commit_s", 0.0):  # type: ignore[union-attr]
            self.admits(1, {"stages": [{"cpu": 2_000}]}, PLAIN)
        self.assertEqual(self.usage(), (version, payload))
        self.cluster.run(USAGE_VALID_S)
        self.assertGreater(self.usage()[0], version)

    def test_replacing_a_job_by_an_equal_one_raises_the_version(self) -> None:
        self.admits(1, {"stages": [{"cpu": 2_000}]}, PLAIN)
        self.cluster.run(USAGE_VALID_S)
        version, payload = self.usage()
        self.cluster.cancel(job_id(1))
        self.admits(2, {"stages": [{"cpu": 2_000}]}, PLAIN)
        self.cluster.run(USAGE_VALID_S)
        self.assertEqual(self.report().pools, decode_usage(payload).pools)
        self.assertGreater(self.usage()[0], version)

    def test_late_factor_is_published(self) -> None:
        self.assertEqual(self.report().pools[SERVICE].late_factor, LATE_FACTOR)

    def test_new_term_publishes_at_once(self) -> None:
        primary = self.cluster.primary
        assert primary is not None
        version, _ = self.usage()
        self.assertIn(SERVICE, self.report().pools)
        primary.scheduler.deactivated()
        with mock.patch.object(FakeReplicator, "term", self.cluster.term + 1):
            primary.scheduler.activated(self.cluster.term + 1, {})
            self.assertEqual(self.report().pools, {})
            self.assertGreater(self.usage()[0], version)

    def test_inactive_scheduler_publishes_nothing(self) -> None:
        assert self.cluster.primary is not None
        self.cluster.primary.scheduler.deactivated()
        self.cluster.run(USAGE_VALID_S)
        self.assertEqual(self.report(), QueueUsageReport())

    def test_removed_routes_are_left_out(self) -> None:
        self.cluster.configuration = Configuration(2, (PLAIN,), (Service(SERVICE),))
        self.cluster.run(USAGE_VALID_S)
        pool = self.report().pools[SERVICE]
        self.assertEqual((pool.busy, pool.idle, pool.queue_reservation), ({}, {PLAIN.priority: 1}, 16.0))


class SameDecisionTest(PrimaryCase):
    def compare(self, number: int, body: dict[str, Any], route: Route) -> bool:
        """Let the node and the primary decide by the present usage, and return whether both admit the job."""
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

    def test_ordinary_load_and_bursts_are_not_refused(self) -> None:
        # Both queues together submit three times the number of slots at once.
        for number in range(1, 25):
            body = {"stages": [{"count": 4, "cpu": 1_000, "estimatedMs": 1_000}]}
            self.assertTrue(self.compare(number, body, ROUTES[number % 2]))


class SharedRuleTest(unittest.TestCase):
    def test_shares_equal_those_used_by_the_primary(self) -> None:
        rng = random.Random(3)
        for _ in range(200):
            cpu, memory, gpu = rng.choice([0, 8_000]), rng.choice([0, 16_384]), rng.choice([0, 4])
            stage = Stage(cpu=rng.randint(0, 9_000), memory_limit_mb=rng.randint(0, 20_000), gpu=rng.randint(0, 5))
            capacity = ServiceCapacity(4, 32, ResourceRequest(cpu, memory, gpu))
            pool = PoolUsage(32.0, workers=4, cpu=cpu, memory_mb=memory, gpu=gpu)
            self.assertEqual(share_of(stage, pool), capacity.share_of(resource_request_of(stage)))

    def test_ingress_does_not_import_modules_of_the_primary(self) -> None:
        program = "import sys, pipitledge.ingress.ingress; print(*sys.modules)"
        ended = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
        loaded = set(ended.stdout.split())
        self.assertIn("pipitledge.scheduling.admission_rule", loaded)
        self.assertEqual(loaded.intersection(PRIMARY_ONLY_MODULES), set())


if __name__ == "__main__":
    unittest.main()
