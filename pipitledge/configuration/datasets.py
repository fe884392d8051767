"""Datasets that data plane nodes pull. Each has an origin and a version; a node's version vector lists what it holds.

The configuration always has the same origin, as its versions only rise. Each primary starts counting the queue usage
from version 0, so the origin of the usage contains the primary's term.
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

UsageSource = Callable[[], tuple[int, bytes]]  # returns the version of the usage and its payload


IDLE_QUEUES = ""  # key for all queues in which nothing is in flight; no route has an empty name


class QueueLoad(Struct, frozen=True, omit_defaults=True):
    """The usage of one queue that is not idle."""

    inflight: float = 0.0  # slots
    priority: int = 0  # 0 is the highest


class PoolUsage(Struct, frozen=True, omit_defaults=True):
    """The queues that share the workers of one service, and the capacity of those workers.

    Idle queues are only counted, so that the size of the report grows with the queues in use and not with the
    configuration: all nodes pull it periodically.
    """

    capacity: float = 0.0  # total slots of all workers
    queue_limit: float = 0.0  # maximum slots of one queue, to be multiplied by the queue depth
    queue_reservation: float = 0.0  # slots reserved for one queue, to be multiplied by the queue depth
    busy: dict[str, QueueLoad] = {}  # by route name
    idle: dict[int, int] = {}  # number of idle queues by priority
    workers: int = 0
    cpu: int = 0  # of an average worker, in thousandths of a core; memory_mb and gpu are averages, too
    memory_mb: int = 0
    gpu: int = 0
    late_factor: float = 0.0  # a job that ends later than this multiple of its objective has no value

    def usages(self, priority: int, depth: float = 1.0) -> dict[str, QueueUsage]:
        """Return the usage of all queues of the same or a higher priority, with limits scaled by the queue depth.

        `depth` is how many times the slots can be used up before jobs that wait have no value any more.
        """
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
        """Return the pool's usage with `added_loads` (by queue) added to it."""
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
    """The payload of the usage dataset: the usage of all queues as counted by the primary."""

    pools: dict[str, PoolUsage] = {}  # by service name
    accepted: int = 0  # number of jobs accepted; it makes the report differ after each accepted job

    def encode(self) -> bytes:
        """Return the report as a payload."""
        return msgspec.json.encode(self)


def decode_usage(payload: bytes) -> QueueUsageReport:
    """Return the report in a payload; raise `msgspec.DecodeError` if there is none."""
    return msgspec.json.decode(payload, type=QueueUsageReport)


def usage_origin(term: int) -> str:
    """Return the origin of the usage counted by the primary of `term`."""
    return f"{USAGE_ORIGIN}@{term}"


def usage_term(origin: str) -> int | None:
    """Return the term in an origin of usage; None for other origins."""
    name, _, term = origin.partition("@")
    return int(term) if name == USAGE_ORIGIN and term.isascii() and term.isdigit() else None


def held_versions(vector: Sequence[DatasetVersion]) -> dict[str, int]:
    """Return the versions in a node's version vector by origin."""
    return {component.origin: component.version for component in vector}
