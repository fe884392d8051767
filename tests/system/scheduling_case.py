"""Shared parts of the scheduler tests: job bodies, and a test case with a cluster of model workers."""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable, Iterator
from typing import Any

from msgspec import Struct

from pipitledge.runtime.settings import Bounds
from pipitledge.scheduling.context import SchedulerTimings
from pipitledge.scheduling.records import TASK_PREFIX
from pipitledge.wire.codec import decode_record
from pipitledge.wire.messages import (
    ClientReply,
    TaskPhase,
    TaskRecord,
)
from tests.system.scheduling_cluster import (
    BOUNDS,
    HEARTBEAT_S,
    PLAIN,
    Behaviour,
    Cluster,
    LiveRun,
    Primary,
    job_id,
    started,
)

WORKER_CPU = 8_000  # millicores of one worker
WORKER_GPU = 4  # GPUs of one worker
ENDLESS_S = 600.0  # work of a task that does not end within a test
MAX_CLOCK_READINGS = 2_000  # more readings of the wall clock than this within two seconds are an endless loop
LEASE_EXPIRY_S = SchedulerTimings(BOUNDS, HEARTBEAT_S).lease_expiry_s
GRANT_S = SchedulerTimings(BOUNDS, HEARTBEAT_S).grant_ms / 1_000.0
JOB = job_id(1)
OTHER = job_id(2)
THIRD = job_id(3)
FIRST_TASK = f"{JOB}.0.0.0"


def stage(count: int = 1, cpu: int = 1_000, **rest: Any) -> dict[str, Any]:
    """Return one stage for the body of a job."""
    return {"count": count, "cpu": cpu, "memoryLimitMb": 128, **rest}


def body(*stages: dict[str, Any], **rest: Any) -> dict[str, Any]:
    """Return the body of a job."""
    return {"stages": list(stages), **rest}


def status_of(replies: list[Struct]) -> int:
    """Return the status of the first reply; 0 if there is none."""
    reply = replies[0] if replies else None
    return reply.status if isinstance(reply, ClientReply) else 0


def state_of(replies: list[Struct]) -> str:
    """Return the job state in the first reply; an empty string if there is none."""
    reply = replies[0] if replies else None
    return json.loads(reply.body)["state"] if isinstance(reply, ClientReply) and reply.body else ""


def first_runs_fail(runs: int) -> Callable[[str, int, str], bool]:
    """Return a predicate by which the first `runs` runs of each task fail."""
    return lambda task, run, node: run <= runs


class SchedulingCase(unittest.TestCase):
    """A test case with its own cluster in virtual time."""

    def make(self, workers: int = 4, bounds: Bounds = BOUNDS, seed: int = 7) -> Cluster:
        """Start a cluster; at the end of the test, the judge must not have recorded any broken rule."""
        self.cluster = cluster = started(Cluster(seed, workers, bounds))
        cluster.run(1.0)  # until the state reported by the workers is used
        self.addCleanup(lambda: self.assertEqual([], cluster.judge.violations))
        return cluster

    @property
    def primary(self) -> Primary:
        """The current primary."""
        assert self.cluster.primary is not None
        return self.cluster.primary

    def submit(
        self, job: str, content: dict[str, Any], work_s: float = 1.0, route: Any = PLAIN, **behaviour: Any
    ) -> None:
        """Submit a job, which must be accepted; its estimates are exact unless given."""
        for submitted_stage in content["stages"]:
            submitted_stage.setdefault("estimatedMs", int(work_s * 1_000.0))
        replies = self.cluster.submit(job, content, route, Behaviour(work_s, **behaviour))
        self.cluster.run(0.05)
        self.assertEqual(200, status_of(replies))

    def wait_for_runs(self, job: str, count: int = 1, limit: float = 5.0) -> list[tuple[str, LiveRun]]:
        """Let time pass until `count` tasks of a job run at once."""
        self.wait_until(lambda: len(self.cluster.runs_of(job)) >= count, limit)
        return self.cluster.runs_of(job)

    def wait_until(self, condition: Callable[[], bool], limit: float) -> None:
        """Let time pass until a condition holds; fail after `limit` seconds."""
        self.assertTrue(
            self.cluster.world.run_while(lambda: not condition(), limit), "the condition did not hold within the limit"
        )

    def starts_of(self, job: str) -> list[tuple[float, str, int, str, str]]:
        """Return time, task, run, node and checkpoint of each start of a task of the job."""
        return [start for start in self.cluster.judge.starts if start[1].startswith(job)]

    def ends_of(self, job: str, how: str) -> list[tuple[float, str, int, str, str]]:
        """Return time, task, run, outcome and node of each end of a task of the job with that outcome."""
        return [end for end in self.cluster.judge.ends if end[1].startswith(job) and end[3] == how]

    def assert_completes(self, job: str, limit: float = 20.0) -> None:
        """Assert that the job is reported as completed within `limit` seconds."""
        self.assertTrue(self.cluster.wait_for(job, "completed", limit), self.cluster.job_state(job))

    def records(self) -> Iterator[tuple[str, TaskRecord]]:
        """Yield the committed task records, by task name."""
        for key, value in self.cluster.state.items():
            if key.startswith(TASK_PREFIX):
                yield key.removeprefix(TASK_PREFIX), decode_record(value, TaskRecord)

    def assigned_cpu(self, node: str) -> int:
        """Return the millicores that committed records assign on a worker."""
        return sum(
            self.cluster.stage(name)["cpu"]
            for name, record in self.records()
            if record.phase == TaskPhase.ASSIGNED and record.node == node
        )

    def run_checking_capacity(self, seconds: float) -> None:
        """Let time pass, and assert all the time that no worker has more assigned than its capacity."""
        end = self.cluster.world.time + seconds
        while self.cluster.world.time < end:
            self.cluster.run(0.01)
            for worker in self.cluster.workers:
                self.assertLessEqual(self.assigned_cpu(worker.node), worker.plan.capacity["cpu"], worker.node)

    def finish(self, job: str, how: str) -> LiveRun:
        """End the only run of a job on its worker, with the given outcome."""
        node, live = self.wait_for_runs(job)[0]
        self.cluster.worker(node).finish(live, how)
        return live
