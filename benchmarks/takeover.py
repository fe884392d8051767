"""How long a new primary takes to restore the jobs of clients, at several numbers of jobs and stages.

    python3 benchmarks/takeover.py

All jobs wait for a later time, as in a cluster that keeps jobs. Prints, for each size: processor time to check what
clients submit, to decode the records, and to take over as a whole. Taking over is one turn of the node's logic: no
heartbeat is sent and no call is answered in it.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any

from pipitledge.configuration.model import Route
from pipitledge.runtime.settings import Bounds
from pipitledge.scheduling.context import NodeIdentity, Ports, SchedulerTimings
from pipitledge.scheduling.job import Submission, parse_submission
from pipitledge.scheduling.records import encode_job, job_key, read_state
from pipitledge.scheduling.scheduler import Scheduler
from pipitledge.scheduling.tasks import Job
from pipitledge.wire.messages import View, Write

JOBS = (1_000, 2_000, 5_000, 20_000)
STAGES = (1, 3, 20)
LATER_MS = 3_600_000
ROUTE = Route("plain", "jobs.example", "/plain/", "render", 1, 3, 3.0, 1_000)


class IdleClock:
    """A clock whose timers never come."""

    def now(self) -> float:
        """Return steady time."""
        return time.monotonic()

    def at(self, when: float, action: Callable[[], None]) -> IdleTimer:
        """Set a timer."""
        return IdleTimer()


class IdleTimer:
    """A timer that never comes."""

    def cancel(self) -> None:
        """Cancel it."""


class SilentLog:
    """A log that writes nothing."""

    def info(self, event: str, **fields: object) -> None:
        """Leave out an event."""

    warning = error = info


class DiscardedState:
    """Replicated state that takes every write and keeps none."""

    term = 1
    view = View(epoch=1, term=1, primary="n0")

    def is_primary(self) -> bool:
        """Return whether this node leads."""
        return True

    def write(self, writes: list[Write], on_committed: Callable[[], None] | None = None) -> None:
        """Discard a batch."""

    def after_commit(self, action: Callable[[], None]) -> None:
        """Never commit."""


def body_of(stages: int) -> bytes:
    """Return a job that runs once, an hour from now, stage after stage."""
    steps: list[dict[str, Any]] = [{"count": 1, "cpu": 1_000, "memoryLimitMb": 256, "estimatedMs": 1_000}]
    steps += [{**steps[0], "dependsOn": [index]} for index in range(stages - 1)]
    due_ms = int(time.time() * 1_000) + LATER_MS
    return json.dumps({"spec": "1.0", "stages": steps, "startAtMs": due_ms, "repeatCount": 1}).encode()


def state_of(bodies: list[bytes]) -> dict[str, bytes]:
    """Return the records of these jobs, as replicated state has them."""
    state = {}
    for number, body in enumerate(bodies):
        submission = parse_submission(body)
        assert isinstance(submission, Submission)
        job = Job(f"{number:016x}", ROUTE.name, ROUTE.service, submission, body, 0, number + 1, 0.0, ROUTE)
        state[job_key(job.id)] = encode_job(job, keep_body=True)
    return state


def spent(work: Callable[[], object]) -> float:
    """Return the processor time that `work` takes, in seconds."""
    began = time.process_time()
    work()
    return time.process_time() - began


def main() -> None:
    """Print one line for each size."""
    print(f"{'jobs':>7} {'stages':>7} {'check s':>9} {'decode s':>9} {'takeover s':>11}")
    for stages in STAGES:
        for count in JOBS:
            bodies = [body_of(stages)] * count
            check_s = spent(lambda bodies=bodies: [parse_submission(body) for body in bodies])
            state = state_of(bodies)
            decode_s = spent(lambda state=state: read_state(state))
            ports = Ports(
                IdleClock(), None, DiscardedState(), lambda: None, lambda: int(time.time() * 1e3), SilentLog()
            )
            scheduler = Scheduler(ports, SchedulerTimings(Bounds(), 1.5), NodeIdentity("n0", "n0:1"))
            takeover_s = spent(lambda scheduler=scheduler, state=state: scheduler.activated(1, state))
            assert len(scheduler.context.jobs) == count
            print(f"{count:7} {stages:7} {check_s:9.3f} {decode_s:9.3f} {takeover_s:11.3f}", flush=True)


if __name__ == "__main__":
    main()
