"""The order in which waiting stages are placed.

Stages are ordered by priority, then by deadline class: stages that can still meet their objective, then those that can
only complete late, then those whose job has no value left. Within a class they are ordered by latest start, delayed for
jobs with much unfinished work, then by acceptance of the job.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator

from sortedcontainers import SortedDict

from pipitledge.scheduling.tasks import Step

Rank = tuple[int, int, float, int, int, int]  # priority, deadline class, urgency, order of the job, occurrence, stage
DRAIN_WEIGHT = 8.0  # seconds of delay per second of unfinished work: under overload, small jobs first yields more value
URGENT_PRIORITY = 0  # the only priority that may preempt others
GRACE_FRACTION = 0.25  # of its remaining work that a stage may be late and still count as in time: estimates are rough


class DeadlineClass(enum.IntEnum):
    """Whether a stage can still complete in time, late, or too late to have any value."""

    IN_TIME = 0
    LATE = 1
    EXPIRED = 2


def deadline_class(step: Step, now: float) -> DeadlineClass:
    """Return the deadline class of a stage if it started now."""
    if step.stage.long_running:
        return DeadlineClass.IN_TIME
    remaining = step.deadline - step.latest_start
    if now <= step.latest_start + GRACE_FRACTION * remaining:
        return DeadlineClass.IN_TIME
    if now <= step.late_deadline - remaining:
        return DeadlineClass.LATE
    return DeadlineClass.EXPIRED


class WorkQueue:
    """The stages of one service that have waiting tasks, sorted by rank."""

    def __init__(self, priority_of: Callable[[Step], int]) -> None:
        """`priority_of` returns the priority of a stage; 0 is the highest."""
        self._priority_of = priority_of
        self._steps: SortedDict = SortedDict()  # stages by rank
        self._ranks: dict[Step, Rank] = {}

    def __len__(self) -> int:
        """Return the number of waiting stages."""
        return len(self._ranks)

    def __contains__(self, step: Step) -> bool:
        """Whether the stage is in the queue."""
        return step in self._ranks

    def add(self, step: Step, now: float) -> None:
        """Insert a stage, or move it if its rank has changed."""
        rank = self._compute_rank(step, now)
        old_rank = self._ranks.get(step)
        if old_rank == rank:
            return
        if old_rank is not None:
            del self._steps[old_rank]
        self._ranks[step] = rank
        self._steps[rank] = step

    def remove(self, step: Step) -> None:
        """Remove a stage, if it is in the queue."""
        rank = self._ranks.pop(step, None)
        if rank is not None:
            del self._steps[rank]

    def rank(self, step: Step) -> Rank | None:
        """Return the rank of a waiting stage; None if it is not in the queue. The smallest rank goes first."""
        return self._ranks.get(step)

    def is_urgent(self, step: Step) -> bool:
        """Whether the stage waits and its priority allows preemption."""
        rank = self._ranks.get(step)
        return rank is not None and rank[0] == URGENT_PRIORITY

    def reorder(self, now: float) -> None:
        """Recompute all ranks, which change as time passes."""
        for step in list(self._ranks):
            self.add(step, now)

    def in_order(self) -> Iterator[Step]:
        """Yield all stages by rank; the queue may be modified during the iteration."""
        yield from list(self._steps.values())

    def sorted(self, steps: set[Step]) -> list[Step]:
        """Return those of the given stages that are in the queue, by rank."""
        return sorted((step for step in steps if step in self._ranks), key=self._ranks.__getitem__)

    def _compute_rank(self, step: Step, now: float) -> Rank:
        job = step.job
        urgency = step.latest_start + DRAIN_WEIGHT * step.drain_s
        return (self._priority_of(step), deadline_class(step, now), urgency, job.order, step.time, step.index)
