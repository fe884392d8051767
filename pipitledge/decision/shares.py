"""Partition of the workers among the scheduler nodes: each node's share of each worker. No I/O, no decisions.

Every node knows the ring (the serving workers in the order of their ids), the number of nodes and its own number, but
not the zones of the other nodes. If the worker list names one zone, each node owns an equal arc of the ring. If it
names several and crossing zones has a price, a node's arc lies among the workers of its own zone. Nodes are assumed to
be spread evenly over the zones, so each owns `zones / nodes` of its zone, or all of it where that is 1 or more.
"""

from __future__ import annotations

from collections.abc import Sequence

from pipitledge.decision.interface import Settings, WorkerRecord


def warmth_at(worker: WorkerRecord, settings: Settings, now_ms: float) -> float:
    """Return the share of its full capacity that a worker has at the least by now, from 0.01 to 1."""
    # A start time of 0 means that the worker started long ago.
    age = (now_ms - (worker.row.started_ms or -1e15)) / max(1.0, settings.cold_ms)
    return min(1.0, max(0.01, settings.cold_share + (1.0 - settings.cold_share) * age))


def assign_shares(ring: Sequence[WorkerRecord], settings: Settings, now_ms: float) -> list[WorkerRecord]:
    """Set warmth and own share of each worker of the ring; return the workers with an own share above 0."""
    zones = {worker.zone for worker in ring}
    in_zone = [worker for worker in ring if worker.zone == settings.zone]
    zoned = settings.cross_zone_price > 0.0 and len(zones) > 1 and bool(in_zone)
    owned = list[WorkerRecord]()
    for worker in ring:
        worker.warmth, worker.own_share = warmth_at(worker, settings, now_ms), 0.0
    candidates = in_zone if zoned else ring
    share = min(1.0, (len(zones) if zoned else 1) / settings.instances)
    total = sum([worker.warmth for worker in candidates])
    low, end = settings.number * share % 1.0 * total if share < 1.0 else 0.0, 0.0
    for worker in candidates:
        start, end = end, end + worker.warmth
        for first in (low, low - total) if zoned else (low,):  # an arc wraps around the end
            if end > first and start < first + share * total:
                worker.own_share += (min(end, first + share * total) - max(start, first)) / worker.warmth
        if worker.own_share > 0.0:
            owned.append(worker)
    return owned


def used_by_others(worker: WorkerRecord, slots: float) -> float:
    """Return the slots of a worker that other nodes use beyond their own share of it."""
    return max(0.0, worker.others - (1.0 - worker.own_share) * slots if worker.own_share else worker.others)
