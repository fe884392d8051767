"""The rule by which a job is taken in, over the figures of its service's pool: one for ingress nodes and the primary.

The clients of the design are the queues; a job weighs the slots of its widest step. Capacity is the slots there are,
times how often they can be used up before jobs that wait would earn nothing any more. So ordinary load queues, and only
a flood is refused. Queues of a lower priority do not count against a job, as what waits there lets it go first: each
priority has a pool of its own, of all queues that go before or beside it. The same figures give the same decision
wherever it is made.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from pipitledge.configuration.datasets import PoolUsage, QueueLoad
from pipitledge.configuration.model import Route
from pipitledge.decision.admission import admit
from pipitledge.scheduling.job import Stage, Submission, estimated_lengths_s, remaining_chains_s, waves_of

LEAST_DEPTH = 4.0  # times its slots that a service takes in at least
SHORTEST_RETRY_MS = 200
LONGEST_RETRY_MS = 1_500
LEAST_CHAIN_S = 1e-3
NOTHING_LET_IN: Mapping[str, QueueLoad] = {}


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a job is taken in; if not, when to come back."""

    admitted: bool
    weight: float
    retry_after_ms: int = 0


def decide(
    pool: PoolUsage, route: Route, submission: Submission, let_in: Mapping[str, QueueLoad] = NOTHING_LET_IN
) -> Verdict:
    """Whether a job of that queue is taken in; `let_in`: by queue, what is in flight that `pool` doesn't contain."""
    pool = pool.with_added_load(let_in)
    weight = job_weight(submission, pool)
    own = pool.busy.get(route.name)
    if own is None or own.inflight <= 0.0:
        return Verdict(True, weight)  # an idle queue's job is taken whatever its size
    lengths = estimated_lengths_s(submission.stages, _waves(submission, pool))
    chain_s = max(remaining_chains_s(submission.stages, lengths))
    turns = depth(route, chain_s, pool.late_factor)
    capacity = pool.capacity * turns
    usages = pool.usages(max(route.priority, own.priority), turns)
    decision = admit(weight, route.name, usages, capacity)
    if decision.admitted:
        return Verdict(True, weight)
    excess = max(0.0, own.inflight + weight - capacity) / max(1.0, pool.capacity)
    retry_ms = int(min(LONGEST_RETRY_MS, max(SHORTEST_RETRY_MS, excess * chain_s * 1_000.0)))
    return Verdict(False, weight, retry_ms)


def job_weight(submission: Submission, pool: PoolUsage) -> float:
    """Slots of a job's widest step: its tasks, times the share of a worker each needs, times a worker's slots."""
    slots = pool.capacity / pool.workers if pool.workers else 0.0
    return max(stage.count * share_of(stage, pool) * slots for stage in submission.stages)


def share_of(stage: Stage, pool: PoolUsage) -> float:
    """The largest share of a mean worker of the pool that a task of that step takes."""
    share = 0.0
    if pool.cpu:
        share = stage.cpu / pool.cpu
    if pool.memory_mb:
        share = max(share, stage.memory_limit_mb / pool.memory_mb)
    if pool.gpu:
        share = max(share, stage.gpu / pool.gpu)
    return share


def depth(route: Route, chain_s: float, late_factor: float) -> float:
    """How often the slots can be used up before a job that waits so long earns nothing."""
    objective_s = route.stretch * chain_s + route.target_latency_ms / 1_000.0
    return max(LEAST_DEPTH, late_factor * objective_s / max(chain_s, LEAST_CHAIN_S))


def _waves(submission: Submission, pool: PoolUsage) -> tuple[float, ...]:
    """In how many waves each step runs, by the workers there are."""
    return tuple(waves_of(stage, share_of(stage, pool), pool.workers) for stage in submission.stages)
