"""Which part of which worker is a node's own, and what others hold there. No I/O, no decisions.

Every node knows the ring (the workers that serve, in the order of their ids), how many nodes there are and its own
number, but not in which zones the others are. Where the list names one zone, each node has an equal arc of the ring.
Where it names several and crossing has a price, a node's arc lies among the workers of its own zone: nodes are taken
to be spread evenly over the zones, so one has `zones / nodes` of its zone, and all of it where that is 1 or more.
"""

from __future__ import annotations

from collections.abc import Sequence

from pipitledge.decision.interface import Settings, WorkerRecord


def warmth_at(worker: WorkerRecord, settings: Settings, now_ms: float) -> float:
    """The least part of its capacity that a worker has by now."""
    age = (now_ms - (worker.row.started_ms or -1e15)) / max(1.0, settings.cold_ms)  # 0: long past
    return min(1.0, max(0.01, settings.cold_share + (1.0 - settings.cold_share) * age))


def assign_shares(ring: Sequence[WorkerRecord], settings: Settings, now_ms: float) -> list[WorkerRecord]:
    """Set warmth and our part of each worker of the ring, and return those that we have a part of."""
    zones = {worker.zone for worker in ring}
    near = [worker for worker in ring if worker.zone == settings.zone]
    zoned = settings.cross_zone_price > 0.0 and len(zones) > 1 and bool(near)
    mine = list[WorkerRecord]()
    for worker in ring:
        worker.warmth, worker.own_share = warmth_at(worker, settings, now_ms), 0.0
    among = near if zoned else ring
    share = min(1.0, (len(zones) if zoned else 1) / settings.instances)
    whole = sum([worker.warmth for worker in among])
    low, end = settings.number * share % 1.0 * whole if share < 1.0 else 0.0, 0.0
    for worker in among:
        start, end = end, end + worker.warmth
        for begin in (low, low - whole) if zoned else (low,):  # an arc over the end goes on at the beginning
            if end > begin and start < begin + share * whole:
                worker.own_share += (min(end, begin + share * whole) - max(start, begin)) / worker.warmth
        if worker.own_share > 0.0:
            mine.append(worker)
    return mine


def used_by_others(worker: WorkerRecord, slots: float) -> float:
    """Slots of a worker that others hold beyond their own part of it."""
    return max(0.0, worker.others - (1.0 - worker.own_share) * slots if worker.own_share else worker.others)
