"""What all cases share: eight workers of one service, a first job that shows that the system works, and the verdict."""

from __future__ import annotations

import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from system import CannotRun, Record, System, configuration, route
from worker import Run, Worker

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE, PREFIX = "bidder-ledger", "/settle/"
WORKERS = 8
LARGE = {"cpu": 64_000, "memoryLimitMb": 131_072, "gpu": 0}
USUAL = {"cpu": 32_000, "memoryLimitMb": 65_536, "gpu": 0}


class Scene:
    """A running system with its workers; the first worker has the most room, so that new tasks go there."""

    def __init__(self, record: Record, max_attempts: int = 3) -> None:
        """Nothing is started before `start`."""
        self.record = record
        self.max_attempts = max_attempts
        self.system = System(record, [SERVICE] * WORKERS)
        self.workers: list[Worker] = []

    def start(self, first_worker: bool = True, tasks: int = 16) -> None:
        """Start everything, the first worker only if wanted, and run a small job of that many tasks."""
        for number, agent in enumerate(self.system.agents, 1):
            self.workers.append(Worker(agent, f"w{number}", self.record, LARGE if number == 1 else USUAL))
        self.system.start()
        for worker in self.workers if first_worker else self.workers[1:]:
            worker.begin()
        queue = route("r-settle", PREFIX, SERVICE, self.max_attempts)
        self.system.configure(configuration(3, [queue], [SERVICE]), 0)
        self.system.wait_ready()
        job = "00000000000000aa"
        stage = {"count": tasks, "cpu": 1000, "memoryLimitMb": 512, "estimatedMs": 500}
        self.system.submit(PREFIX + job, {"spec": '{"workMs":500}', "stages": [stage]})
        self.wait(
            lambda: sum(run.how == "done" for run in self.runs_of(job)) >= tasks, 20.0, "the first job did not run"
        )
        time.sleep(1.0)

    def runs_of(self, job: str) -> list[Run]:
        """All runs of the tasks of a job, on all workers."""
        return [run for worker in self.workers for _, run in list(worker.runs) if run.task.startswith(job)]

    def wait(self, condition: Callable[[], bool], seconds: float, otherwise: str = "") -> bool:
        """Wait for a condition; without it, the case could not run if `otherwise` says why."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if condition():
                return True
            time.sleep(0.01)
        if otherwise:
            raise CannotRun(otherwise)
        return False

    def follow(self, job: str, seconds: float) -> None:
        """Ask for the state of a job each second, until it has ended and nothing of it runs any more."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            time.sleep(1.0)
            self.system.client("GET", PREFIX + job)
            runs = self.runs_of(job)
            if any(run.how == "done" for run in runs) and all(run.how for run in runs):
                return

    def close(self) -> None:
        """End all."""
        for worker in self.workers:
            worker.close()
        self.system.close()


def _stop(_number: int, _frame: object) -> None:
    """End the case early; all that was started is still ended."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.exit(2)


def main(record_path: Path, rule: str, play: Callable[[Scene], list[dict[str, Any]]], max_attempts: int = 3) -> int:
    """Play a case and tell the verdict: 1 the rule was broken, 0 it held, 2 it couldn't be played."""
    signal.signal(signal.SIGTERM, _stop)
    record = Record(record_path)
    record.add("begin", trouble=TROUBLE)
    scene: Scene | None = None
    try:
        scene = Scene(record, max_attempts)
        broken = play(scene)
    except (CannotRun, OSError) as error:
        record.add("cannot_run", reason=str(error))
        print(f"could not run: {error}")
        return 2
    finally:
        if scene is not None:
            scene.close()
    for what in broken:
        record.add("broken", rule=rule, **what)
        print(f"{rule} broken: {what}")
    record.add("end", broken=len(broken))
    print("broken" if broken else "held")
    return 1 if broken else 0
