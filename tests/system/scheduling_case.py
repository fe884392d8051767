"""What tests of the scheduler share: jobs, and a cluster with its workers."""

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

WORKER_CPU = 8_000  # all processors of a worker
WORKER_GPU = 4
ENDLESS_S = 600.0
MAX_CLOCK_READINGS = 2_000  # of the time of day, in a second or two
LEASE_EXPIRY_S = SchedulerTimings(BOUNDS, HEARTBEAT_S).lease_expiry_s
GRANT_S = SchedulerTimings(BOUNDS, HEARTBEAT_S).grant_ms / 1_000.0
JOB = job_id(1)
OTHER = job_id(2)
THIRD = job_id(3)
FIRST_TASK = f"{JOB}.0.0.0"


def stage(count: int = 1, cpu: int = 1_000, **rest: Any) -> dict[str, Any]:
    """A step of a job's body."""
    return {"count": count, "cpu": cpu, "memoryLimitMb": 128, **rest}


def body(*stages: dict[str, Any], **rest: Any) -> dict[str, Any]:
    """A job's body."""
    return {"stages": list(stages), **rest}


def status_of(replies: list[Struct]) -> int:
    """Status of the one answer; 0 while there is none."""
    reply = replies[0] if replies else None
    return reply.status if isinstance(reply, ClientReply) else 0


def state_of(replies: list[Struct]) -> str:
    """The state that the one answer tells; an empty text while there is none."""
    reply = replies[0] if replies else None
    return json.loads(reply.body)["state"] if isinstance(reply, ClientReply) and reply.body else ""


def first_runs_fail(runs: int) -> Callable[[str, int, str], bool]:
    """Tasks whose first runs fail."""
    return lambda task, run, node: run <= runs


class SchedulingCase(unittest.TestCase):
    """A test with a cluster of its own."""

    def make(self, workers: int = 4, bounds: Bounds = BOUNDS, seed: int = 7) -> Cluster:
        """A cluster that is at work; when the test is over, no rule may have been broken."""
        self.cluster = cluster = started(Cluster(seed, workers, bounds))
        cluster.run(1.0)  # until the figures of the workers are believed
        self.addCleanup(lambda: self.assertEqual([], cluster.judge.broken))
        return cluster

    @property
    def primary(self) -> Primary:
        """The present primary."""
        assert self.cluster.primary is not None
        return self.cluster.primary

    def submit(
        self, job: str, content: dict[str, Any], work_s: float = 1.0, route: Any = PLAIN, **behaviour: Any
    ) -> None:
        """Submit a job that is taken; its estimates are right unless given."""
        for step in content["stages"]:
            step.setdefault("estimatedMs", int(work_s * 1_000.0))
        replies = self.cluster.submit(job, content, route, Behaviour(work_s, **behaviour))
        self.cluster.run(0.05)
        self.assertEqual(200, status_of(replies))

    def wait_for_runs(self, job: str, count: int = 1, limit: float = 5.0) -> list[tuple[str, LiveRun]]:
        """Let time pass until so many of a job's tasks run at once."""
        self.wait_until(lambda: len(self.cluster.runs_of(job)) >= count, limit)
        return self.cluster.runs_of(job)

    def wait_until(self, condition: Callable[[], bool], limit: float) -> None:
        """Let time pass until something is so."""
        self.assertTrue(self.cluster.world.run_while(lambda: not condition(), limit), "did not come in time")

    def starts_of(self, job: str) -> list[tuple[float, str, int, str, str]]:
        """Time, task, run, node and checkpoint of each start of a job's tasks."""
        return [start for start in self.cluster.judge.starts if start[1].startswith(job)]

    def ends_of(self, job: str, how: str) -> list[tuple[float, str, int, str, str]]:
        """Time, task, run, how and node of each such end of a job's tasks."""
        return [end for end in self.cluster.judge.ends if end[1].startswith(job) and end[3] == how]

    def assert_completes(self, job: str, limit: float = 20.0) -> None:
        """The job is shown as completed in time."""
        self.assertTrue(self.cluster.wait_for(job, "completed", limit), self.cluster.ask(job))

    def records(self) -> Iterator[tuple[str, TaskRecord]]:
        """The committed records of tasks, by name."""
        for key, value in self.cluster.state.items():
            if key.startswith(TASK_PREFIX):
                yield key.removeprefix(TASK_PREFIX), decode_record(value, TaskRecord)

    def assigned_cpu(self, node: str) -> int:
        """Processors of the runs that may exist on a worker, by committed records."""
        return sum(
            self.cluster.stage(name)["cpu"]
            for name, record in self.records()
            if record.phase == TaskPhase.ASSIGNED and record.node == node
        )

    def run_checking_capacity(self, seconds: float) -> None:
        """Let time pass; at no moment is more assigned to a worker than it has."""
        end = self.cluster.world.time + seconds
        while self.cluster.world.time < end:
            self.cluster.run(0.01)
            for worker in self.cluster.workers:
                self.assertLessEqual(self.assigned_cpu(worker.node), worker.plan.capacity["cpu"], worker.node)

    def finish(self, job: str, how: str) -> LiveRun:
        """End the one run of a job on its worker."""
        node, live = self.wait_for_runs(job)[0]
        self.cluster.worker(node).finish(live, how)
        return live
