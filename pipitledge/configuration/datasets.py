"""Datasets that data plane nodes pull: each has an origin and a version, a node's version vector says what it holds.

The configuration keeps its origin for good, as its versions only rise. The usage of queues is counted anew by each
primary, so its origin carries the primary's term.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec
from msgspec import Struct

from pipitledge.decision.admission import QueueUsage
from pipitledge.wire.messages import DatasetVersion, Update

CONFIGURATION_ORIGIN = "config"
USAGE_ORIGIN = "usage"

UsageSource = Callable[[], tuple[int, bytes]]  # the version of the usage and its payload


class QueueFigures(Struct, frozen=True, omit_defaults=True):
    """What one queue uses, and may use for each turn of the pool's slots; in slots."""

    inflight: float = 0.0
    limit: float = 0.0
    reservation: float = 0.0
    priority: int = 0  # 0 goes first


class PoolFigures(Struct, frozen=True, omit_defaults=True):
    """The queues that share the workers of one service, and those workers."""

    capacity: float = 0.0  # slots of all workers
    queues: dict[str, QueueFigures] = {}  # by name of the route
    workers: int = 0
    cpu: int = 0  # of a mean worker, as are the next two; thousandths of a core
    memory_mb: int = 0
    gpu: int = 0
    late_factor: float = 0.0  # up to so many times its objective a job still earns

    def usages(self, priority: int) -> dict[str, QueueUsage]:
        """The queues that go before or beside a job of that priority, as admission takes them."""
        return {
            name: QueueUsage(figures.inflight, figures.limit, figures.reservation)
            for name, figures in self.queues.items()
            if figures.priority <= priority
        }


class QueueUsageReport(Struct, frozen=True):
    """The payload of the usage dataset: all queues as the primary counts them."""

    pools: dict[str, PoolFigures] = {}  # by name of the service
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


class Dataset(Struct, frozen=True):
    """One origin's data at one version, and how to get its payload."""

    origin: str
    version: int
    payload: bytes


def newer_than(vector: Sequence[DatasetVersion], datasets: Sequence[Dataset]) -> list[Update]:
    """What a node with that version vector lacks of `datasets`."""
    held = {component.origin: component.version for component in vector}
    return [
        Update(dataset.origin, dataset.version, dataset.payload)
        for dataset in datasets
        if dataset.version > held.get(dataset.origin, -1)
    ]
