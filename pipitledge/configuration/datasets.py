"""Datasets that data plane nodes pull: each has an origin and a version, a node's version vector says what it holds.

The configuration keeps its origin for good, as its versions only rise. The usage of queues is counted anew by each
primary, so its origin carries the primary's term.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from pipitledge.decision.admission import QueueUsage
from pipitledge.wire.messages import DatasetVersion

CONFIGURATION_ORIGIN = "config"
USAGE_ORIGIN = "usage"

UsageSource = Callable[[], tuple[int, bytes]]  # the version of the usage and its payload


IDLE_QUEUES = ""  # stands among usages for all queues in which nothing is in flight; no route has that name


class QueueLoad(Struct, frozen=True, omit_defaults=True):
    """What one queue that is not idle uses."""

    inflight: float = 0.0  # slots
    priority: int = 0  # 0 goes first


class PoolUsage(Struct, frozen=True, omit_defaults=True):
    """The queues that share the workers of one service, and those workers.

    Idle queues are only counted, so that the load grow with what is in use and not with the configuration: all nodes
    pull them again and again.
    """

    capacity: float = 0.0  # slots of all workers
    queue_limit: float = 0.0  # slots that one queue may use, for each turn of the pool's
    queue_reservation: float = 0.0  # slots that are kept for one queue, for each turn of the pool's
    busy: dict[str, QueueLoad] = {}  # by name of the route
    idle: dict[int, int] = {}  # how many queues, by priority
    workers: int = 0
    cpu: int = 0  # of a mean worker, as are the next two; thousandths of a core
    memory_mb: int = 0
    gpu: int = 0
    late_factor: float = 0.0  # up to so many times its objective a job still earns

    def usages(self, priority: int, depth: float = 1.0) -> dict[str, QueueUsage]:
        """The queues that go before or beside a job of that priority, as admission takes them in so many turns."""
        limit, reservation = self.queue_limit * depth, self.queue_reservation * depth
        usages = {
            name: QueueUsage(load.inflight, limit, reservation)
            for name, load in self.busy.items()
            if load.priority <= priority
        }
        idle = sum(count for level, count in self.idle.items() if level <= priority)
        usages[IDLE_QUEUES] = QueueUsage(0.0, limit, idle * reservation)
        return usages

    def with_added_load(self, added_loads: Mapping[str, QueueLoad]) -> PoolUsage:
        """The load with added_loads in flight in some queues."""
        if not added_loads:
            return self
        busy, idle = dict(self.busy), dict(self.idle)
        for name, load in added_loads.items():
            current = busy.get(name)
            if current is None:
                idle[load.priority] = max(0, idle.get(load.priority, 0) - 1)
            before = current.inflight if current is not None else 0.0
            busy[name] = QueueLoad(before + load.inflight, load.priority)
        return replace(self, busy=busy, idle=idle)


class QueueUsageReport(Struct, frozen=True):
    """The payload of the usage dataset: all queues as the primary counts them."""

    pools: dict[str, PoolUsage] = {}  # by name of the service
    accepted: int = 0  # rises with each job, so that every job taken in makes another report

    def encode(self) -> bytes:
        """The report as a payload."""
        return msgspec.json.encode(self)


def decode_usage(payload: bytes) -> QueueUsageReport:
    """The report in a payload; raises `msgspec.DecodeError` for anything else."""
    return msgspec.json.decode(payload, type=QueueUsageReport)


def usage_origin(term: int) -> str:
    """The origin of the usage that the primary of `term` counts."""
    return f"{USAGE_ORIGIN}@{term}"


def usage_term(origin: str) -> int | None:
    """The term in an origin of usage; None for other origins."""
    name, _, term = origin.partition("@")
    return int(term) if name == USAGE_ORIGIN and term.isascii() and term.isdigit() else None


def held_versions(vector: Sequence[DatasetVersion]) -> dict[str, int]:
    """The versions that a node with that version vector holds, by origin."""
    return {component.origin: component.version for component in vector}
