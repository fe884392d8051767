"""Jobs drawn from a seed, and what clients know of each."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random
from typing import Any

from pipitledge.emulator.cluster.deployment import Deployment, Queue
from pipitledge.emulator.cluster.worker import Work

ABSENT: dict[str, Any] = {
    "cpu": 0,
    "memoryLimitMb": 0,
    "gpu": 0,
    "antiAffinity": 0,
    "nodeSelector": "",
    "affinity": "",
    "gang": False,
    "checkpoints": False,
    "longRunning": False,
    "speculative": False,
    "dependsOn": [],
}


@dataclass
class Job:
    """One job, as its client and the onlooker know it."""

    id: str
    queue: Queue
    body: dict[str, Any]
    seed: str
    poison: bool
    fail_share: float
    accepted_at: float = math.inf  # first acknowledgement
    doubtful: bool = False  # some try may have been taken
    rejected: bool = False  # some try was refused for certain
    tries_open: int = 0  # tries that have no answer yet
    cancel_sent_at: float = math.inf
    cancelled_at: float = math.inf  # first acknowledgement
    shown_completed_at: float = math.inf
    final_state: str = ""
    final_at: float = math.inf  # when it was first shown
    stages: list[dict[str, Any]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Fill in what the client left out."""
        self.stages = [{**ABSENT, **stage} for stage in self.body["stages"]]

    @property
    def path(self) -> str:
        """Where it is asked for."""
        return self.queue.prefix + self.id

    @property
    def lasts(self) -> bool:
        """Whether it runs until it is cancelled."""
        return any(stage["longRunning"] for stage in self.stages)

    @property
    def times(self) -> int:
        """How many times its steps run."""
        return max(1, int(self.body.get("repeatCount", 0)))

    def tasks(self) -> list[str]:
        """All names of its tasks."""
        return [
            f"{self.id}.{time}.{step}.{index}"
            for time in range(self.times)
            for step, stage in enumerate(self.stages)
            for index in range(stage["count"])
        ]

    def due_ms(self, time: int) -> float:
        """Time of day at which a time of it falls due."""
        if not self.body.get("repeatCount"):
            return -math.inf
        return float(self.body["startAtMs"] + time * self.body["intervalMs"])

    def work(self, task: str, run: int) -> Work:
        """What a run is like."""
        draw = Random(f"{self.seed}{task}")
        seconds = draw.uniform(0.2, 2.5)
        share = 1.0 if self.poison else self.fail_share
        member = task.rsplit(".", 1)[0] if self.stages[int(task.split(".")[2])]["gang"] else task
        fails = self.poison or (run == 1 and Random(f"{self.seed}{member}{run}").random() < share)
        return Work(seconds, fails)


def draw_job(random: Random, deployment: Deployment, job_id: str, wall_ms: int) -> Job:
    """Draw a job."""
    queue = random.choice(deployment.queues)
    body: dict[str, Any] = {"spec": f"spec of {job_id}"}
    if random.random() < 0.08:
        body["stages"] = [{"count": random.randint(1, 3), "cpu": 500, "longRunning": True, "estimatedMs": 1_000}]
        if random.random() < 0.5:
            body["stages"][0]["checkpoints"] = True
    else:
        body["stages"] = [_draw_stage(random, deployment, queue, index) for index in range(random.randint(1, 3))]
        if random.random() < 0.15:
            start = wall_ms + random.randint(0, 5_000)
            body.update(startAtMs=start, intervalMs=random.randint(200, 3_000), repeatCount=random.randint(1, 3))
    poison = random.random() < 0.05 and not any("longRunning" in stage for stage in body["stages"])
    return Job(job_id, queue, body, str(random.random()), poison, random.choice((0.0, 0.0, 0.25)))


def _draw_stage(random: Random, deployment: Deployment, queue: Queue, index: int) -> dict[str, Any]:
    stage: dict[str, Any] = {
        "count": random.choice((1, 2, 3, 4, 6)),
        "cpu": random.choice((500, 1_000, 2_000, 3_000)),
        "memoryLimitMb": random.choice((128, 1_024, 2_048)),
        "estimatedMs": random.choice((500, 1_000, 2_000)),
    }
    if index and random.random() < 0.7:
        stage["dependsOn"] = sorted(random.sample(range(index), random.randint(1, index)))
    if random.random() < 0.4:
        stage["checkpoints"] = True
    if random.random() < 0.3:
        stage.update(gang=True, count=random.choice((2, 3)), gpu=random.choice((0, 1)))
        stage["cpu"] = min(2_000, stage["cpu"])
    elif random.random() < 0.2:
        stage["antiAffinity"] = random.choice((1, 2))
    if not stage.get("gang") and random.random() < 0.3:
        stage["speculative"] = True
    if random.random() < 0.2:
        stage["nodeSelector"] = deployment.of_service(queue.service)[0].labels[0]
    if random.random() < 0.3:
        stage["affinity"] = random.choice(("r1-0", "r1-1", "r1-7"))
    return stage
