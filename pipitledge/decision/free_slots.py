"""How many slots a worker has free for jobs of ours, and what a cold one may be sent. No I/O, no decisions."""

from __future__ import annotations

import math
from random import Random

from pipitledge.decision.interface import Settings, WorkerRecord
from pipitledge.decision.shares import used_by_others

REPORT_FRESH_MS, EXTRA_SLOTS = 300.0, 2.0  # what was last heard of room elsewhere counts for so long; slots beyond ours
OVERCOMMIT, OVERCOMMIT_ELSEWHERE = (
    0.2,
    0.05,
)  # parts of its slots sent beyond them to a worker where others' jobs are only seen
COLD_SAFETY_SHARE, COLD_JOB_SHARE = 0.5, 0.12  # parts of the cold budget: of sizes we only guess


def in_own_share(worker: WorkerRecord, slots: float, settings: Settings) -> float:
    """Slots free in our part of a worker that has so many in all, by our own count."""
    free = round(max(1.0, worker.own_share * slots)) - worker.slots_in_use
    return free - used_by_others(worker, slots) + OVERCOMMIT * slots if settings.observes_other_load else free


def elsewhere(worker: WorkerRecord, slots: float, settings: Settings, now_ms: float) -> float:
    """Slots free beyond our part, by the last sight or report less our sends; infinite where it may be tried."""
    if settings.observes_other_load and worker.seen_ms > 0.0:
        return slots * (1.0 + OVERCOMMIT_ELSEWHERE) - worker.slots_in_use - used_by_others(worker, slots)
    fresh = now_ms - worker.reported_ms < REPORT_FRESH_MS
    if not worker.slots_in_use and not fresh:
        return math.inf
    free = worker.free if fresh else 0.5 * slots + 0.5 - worker.slots_in_use
    # A report is a second old when it comes: all that it shows free would go there over and over.
    return min(free, slots + EXTRA_SLOTS - worker.slots_in_use) if settings.instances > 1 else free


def cold_tokens(
    worker: WorkerRecord, slots: float, cost: float, settings: Settings, random: Random, now_ms: float
) -> float:
    """Slot-ms we may send a cold worker now: our part of what all together may, accrued in fractions."""
    whole = settings.overload_factor * slots * worker.warmth
    if cost > COLD_JOB_SHARE * whole * settings.fall_ms:
        return 0.0  # a few of such jobs, from as many nodes at once, are a burst by themselves
    return worker.accrue_cold_tokens(
        COLD_SAFETY_SHARE * whole * worker.own_share, settings.fall_ms, cost, random, now_ms
    )
