"""A deployment drawn from a seed: its machines, its workers, and the bounds of its settings."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

from pipitledge.runtime.settings import Bounds

HOST = "jobs.example"
HEARTBEAT_MS = 1_500.0
ZONES = ("z1", "z2", "z3")


@dataclass(frozen=True)
class Queue:
    """A route that is there all day, as the operator writes it."""

    name: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: int

    def document(self) -> dict[str, Any]:
        """The route in a configuration."""
        return {
            "name": self.name,
            "host": HOST,
            "pathPrefix": self.prefix,
            "type": "non_idempotent",
            "timeoutMs": 3_000,
            "targetLatencyMs": self.target_latency_ms,
            "priority": self.priority,
            "service": self.service,
            "maxAttempts": self.max_attempts,
            "stretch": self.stretch,
        }


@dataclass(frozen=True)
class WorkerPlan:
    """A worker, and the machine it stands on."""

    node: str
    service: str
    labels: tuple[str, str]  # its kind and its rack
    zone: str
    capacity: dict[str, int]


@dataclass(frozen=True)
class Deployment:
    """What a day is played on."""

    counted: tuple[str, ...]
    edges: tuple[str, ...]  # all that take clients' calls, the counted ones first
    tolerated: int
    workers: tuple[WorkerPlan, ...]
    queues: tuple[Queue, ...]
    guards: dict[str, bool]  # by service: whether its workers refuse what does not fit
    bounds: Bounds

    def queue(self, name: str) -> Queue:
        """The route of that name."""
        return next(queue for queue in self.queues if queue.name == name)

    def of_service(self, service: str) -> list[WorkerPlan]:
        """The workers of a service."""
        return [plan for plan in self.workers if plan.service == service]


def draw(random: Random) -> Deployment:
    """Draw a deployment."""
    counted = random.choice((3, 3, 4, 5))
    tolerated = random.choice((1, 2)) if counted == 5 else 1
    names = [f"e{index}" for index in range(counted + random.randint(1, 4))]
    services = ("render", "train")
    return Deployment(
        counted=tuple(names[:counted]),
        edges=tuple(names),
        tolerated=tolerated,
        workers=tuple(_draw_worker(random, index, services) for index in range(random.randint(3, 8))),
        queues=tuple(_draw_queue(random, index, services) for index in range(4)),
        guards={service: random.random() < 0.4 for service in services},
        bounds=_draw_bounds(random),
    )


def _draw_worker(random: Random, index: int, services: tuple[str, str]) -> WorkerPlan:
    capacity = {"cpu": random.choice((8_000, 16_000)), "memoryLimitMb": 16_384, "gpu": 4}
    labels = ("a" if index < 2 else random.choice("ab"), f"r1-{random.randint(0, 2)}")
    return WorkerPlan(f"s{index}", services[index % 2], labels, random.choice(ZONES), capacity)


def _draw_queue(random: Random, index: int, services: tuple[str, str]) -> Queue:
    return Queue(
        name=f"q{index}",
        prefix=f"/q{index}/",
        service=services[index % 2],
        priority=index // 2,
        max_attempts=random.choice((2, 3)),
        stretch=random.choice((1.5, 2.2, 4.0)),
        target_latency_ms=random.choice((250, 1_000, 3_000)),
    )


def _draw_bounds(random: Random) -> Bounds:
    return Bounds(
        contact_ms=float(random.randint(2_500, 5_000)),
        drain_ms=float(random.randint(1_000, 3_000)),
        config_apply_ms=float(random.randint(1_500, 3_000)),
        hold_max_ms=float(random.randint(3_000, 10_000)),
        stop_ms=float(random.randint(100, 500)),
        gang_ms=float(random.randint(2_000, 4_000)),
        cancel_ms=float(random.randint(2_000, 4_000)),
        visible_ms=float(random.randint(2_000, 4_000)),
    )
