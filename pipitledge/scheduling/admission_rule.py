"""The admission rule, shared by ingress nodes and the primary: decides on a job from the usage of its service's queues.

Limits and reservations apply per queue. A job weighs as many slots as its widest stage occupies. The capacity is the
number of slots times the queue depth: how many times the slots can be filled before waiting jobs would finish too late
to have any value. Ordinary load is therefore queued, and only a flood is refused. Queues of a lower priority do not
count against a job, because their work waits while the job runs: a job is checked against all queues of the same or a
higher priority. The decision depends on the arguments alone, so the same usage gives the same decision on every node.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from pipitledge.configuration.datasets import PoolUsage, QueueLoad
from pipitledge.configuration.model import Route
from pipitledge.decision.admission import admit
from pipitledge.scheduling.job import Stage, Submission, critical_paths_s, estimated_durations_s, wave_count

MIN_QUEUE_DEPTH = 4.0  # a service admits at least this many times its slots
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 1_500
MIN_CHAIN_S = 1e-3  # avoids a division by zero
NO_EXTRA_INFLIGHT: Mapping[str, QueueLoad] = {}


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a job is admitted, and its weight in slots; if not, after what time the client should retry."""

    admitted: bool
    weight: float
    retry_after_ms: int = 0


def decide(
    pool: PoolUsage,
    route: Route,
    submission: Submission,
    extra_inflight: Mapping[str, QueueLoad] = NO_EXTRA_INFLIGHT,
) -> AdmissionDecision:
    """Decide on a job submitted to the route's queue.

    `extra_inflight`: by queue, admitted work that `pool` does not contain yet.
    """
    pool = pool.with_added_load(extra_inflight)
    weight = job_weight(submission, pool)
    own = pool.busy.get(route.name)
    if own is None or own.inflight <= 0.0:
        return AdmissionDecision(True, weight)  # the first job of an idle queue is admitted regardless of its size
    lengths = estimated_durations_s(submission.stages, _waves(submission, pool))
    chain_s = max(critical_paths_s(submission.stages, lengths))
    depth = queue_depth(route, chain_s, pool.late_factor)
    capacity = pool.capacity * depth
    usages = pool.usages(max(route.priority, own.priority), depth)
    decision = admit(weight, route.name, usages, capacity)
    if decision.admitted:
        return AdmissionDecision(True, weight)
    excess = max(0.0, own.inflight + weight - capacity) / max(1.0, pool.capacity)
    retry_ms = int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, excess * chain_s * 1_000.0)))
    return AdmissionDecision(False, weight, retry_ms)


def job_weight(submission: Submission, pool: PoolUsage) -> float:
    """Return the slots of a job's widest stage: tasks times share of a worker per task times slots per worker."""
    slots = pool.capacity / pool.workers if pool.workers else 0.0
    return max(stage.count * share_of(stage, pool) * slots for stage in submission.stages)


def share_of(stage: Stage, pool: PoolUsage) -> float:
    """Return the share of the pool's mean worker that a task of the stage takes, of its scarcest resource."""
    share = 0.0
    if pool.cpu:
        share = stage.cpu / pool.cpu
    if pool.memory_mb:
        share = max(share, stage.memory_limit_mb / pool.memory_mb)
    if pool.gpu:
        share = max(share, stage.gpu / pool.gpu)
    return share


def queue_depth(route: Route, chain_s: float, late_factor: float) -> float:
    """Return how many times the slots can be filled before a job that waits that long has lost all its value."""
    objective_s = route.stretch * chain_s + route.target_latency_ms / 1_000.0
    return max(MIN_QUEUE_DEPTH, late_factor * objective_s / max(chain_s, MIN_CHAIN_S))


def _waves(submission: Submission, pool: PoolUsage) -> tuple[float, ...]:
    """Return the number of waves in which each stage runs on the pool's workers."""
    return tuple(wave_count(stage, share_of(stage, pool), pool.workers) for stage in submission.stages)
