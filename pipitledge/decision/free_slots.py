"""Free slots of a worker for this node's jobs, and the budget of work for a cold worker. No I/O, no decisions."""

from __future__ import annotations

import math
from random import Random

from pipitledge.decision.interface import Settings, WorkerRecord
from pipitledge.decision.shares import used_by_others

# Outside the own share: how long a report of free slots is used, and how many slots beyond the estimated ones a worker
# may be sent.
REPORT_FRESH_MS, EXTRA_SLOTS = 300.0, 2.0
# Shares of a worker's slots by which it is overcommitted where the load of other nodes is only observed: within the own
# share, and outside of it.
OVERCOMMIT, OVERCOMMIT_ELSEWHERE = 0.2, 0.05
# Job sizes are estimates: share of the cold budget that is used at all, and largest share that one job may take.
COLD_SAFETY_SHARE, COLD_JOB_SHARE = 0.5, 0.12


def in_own_share(worker: WorkerRecord, slots: float, settings: Settings) -> float:
    """Return the free slots in the own share of a worker with `slots` in all, from this node's own bookkeeping."""
    free = round(max(1.0, worker.own_share * slots)) - worker.slots_in_use
    return free - used_by_others(worker, slots) + OVERCOMMIT * slots if settings.observes_other_load else free


def elsewhere(worker: WorkerRecord, slots: float, settings: Settings, now_ms: float) -> float:
    """Return the free slots outside the own share: last observation or report, less slots sent since.

    Infinite where nothing recent is known and no job of this node is there: the worker may be tried.
    """
    if settings.observes_other_load and worker.seen_ms > 0.0:
        return slots * (1.0 + OVERCOMMIT_ELSEWHERE) - worker.slots_in_use - used_by_others(worker, slots)
    fresh = now_ms - worker.reported_ms < REPORT_FRESH_MS
    if not worker.slots_in_use and not fresh:
        return math.inf
    free = worker.free if fresh else 0.5 * slots + 0.5 - worker.slots_in_use
    # A report is about a second old on arrival. Without the limit, several nodes would fill the same free slots again.
    return min(free, slots + EXTRA_SLOTS - worker.slots_in_use) if settings.instances > 1 else free


def cold_tokens(
    worker: WorkerRecord, slots: float, cost: float, settings: Settings, random: Random, now_ms: float
) -> float:
    """Return the slot-ms that may be sent to a cold worker now: the own share of its budget, accrued over time."""
    rate = settings.overload_factor * slots * worker.warmth
    if cost > COLD_JOB_SHARE * rate * settings.fall_ms:
        return 0.0  # a few jobs of this size, sent by several nodes at once, would overload the worker
    return worker.accrue_cold_tokens(
        COLD_SAFETY_SHARE * rate * worker.own_share, settings.fall_ms, cost, random, now_ms
    )
