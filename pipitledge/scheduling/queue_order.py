"""The order in which waiting stages are placed.

Stages are ordered by priority, then by deadline class: stages that can still meet their objective, then those that can
only complete late, then those whose job has no value left. Within a class they are ordered by latest start, delayed for
jobs with much unfinished work, then by acceptance of the job.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator

from sortedcontainers import SortedDict

from pipitledge.scheduling.tasks import TaskGroup

Rank = tuple[int, int, float, int, int, int]  # priority, deadline class, urgency, order of the job, occurrence, stage
DRAIN_WEIGHT = 8.0  # seconds of delay per second of unfinished work: under overload, small jobs first yields more value
URGENT_PRIORITY = 0  # the only priority that may preempt others
GRACE_FRACTION = 0.25  # of its remaining work that a stage may be late and still count as in time: estimates are rough


class DeadlineClass(enum.IntEnum):
    """Whether a stage can still complete in time, late, or too late to have any value."""

    IN_TIME = 0
    LATE = 1
    EXPIRED = 2


def deadline_class(task_group: TaskGroup, now: float) -> DeadlineClass:
    """Return the deadline class of a stage if it started now."""
    if task_group.stage.long_running:
        return DeadlineClass.IN_TIME
    remaining = task_group.deadline - task_group.latest_start
    if now <= task_group.latest_start + GRACE_FRACTION * remaining:
        return DeadlineClass.IN_TIME
    if now <= task_group.late_deadline - remaining:
        return DeadlineClass.LATE
    return DeadlineClass.EXPIRED


class WorkQueue:
    """The stages of one service that have waiting tasks, sorted by rank."""

    def __init__(self, priority_of: Callable[[TaskGroup], int]) -> None:
        """`priority_of` returns the priority of a stage; 0 is the highest."""
        self._priority_of = priority_of
        self._steps: SortedDict = SortedDict()  # stages by rank
        self._ranks: dict[TaskGroup, Rank] = {}

    def __len__(self) -> int:
        """Return the number of waiting stages."""
        return len(self._ranks)

    def __contains__(self, task_group: TaskGroup) -> bool:
        """Whether the stage is in the queue."""
        return task_group in self._ranks

    def add(self, task_group: TaskGroup, now: float) -> None:
        """Insert a stage, or move it if its rank has changed."""
        rank = self._compute_rank(task_group, now)
        old_rank = self._ranks.get(task_group)
        if old_rank == rank:
            return
        if old_rank is not None:
            del self._steps[old_rank]
        self._ranks[task_group] = rank
        self._steps[rank] = task_group

    def remove(self, task_group: TaskGroup) -> None:
        """Remove a stage, if it is in the queue."""
        rank = self._ranks.pop(task_group, None)
        if rank is not None:
            del self._steps[rank]

    def rank(self, task_group: TaskGroup) -> Rank | None:
        """Return the rank of a waiting stage; None if it is not in the queue. The smallest rank goes first."""
        return self._ranks.get(task_group)

    def is_urgent(self, task_group: TaskGroup) -> bool:
        """Whether the stage waits and its priority allows preemption."""
        rank = self._ranks.get(task_group)
        return rank is not None and rank[0] == URGENT_PRIORITY

    def reorder(self, now: float) -> None:
        """Recompute all ranks, which change as time passes."""
        for task_group in list(self._ranks):
            self.add(task_group, now)

    def in_order(self) -> Iterator[TaskGroup]:
        """Yield all stages by rank; the queue may be modified during the iteration."""
        yield from list(self._steps.values())

    def sorted(self, task_groups: set[TaskGroup]) -> list[TaskGroup]:
        """Return those of the given stages that are in the queue, by rank."""
        return sorted(
            (task_group for task_group in task_groups if task_group in self._ranks), key=self._ranks.__getitem__
        )

    def _compute_rank(self, task_group: TaskGroup, now: float) -> Rank:
        job = task_group.job
        urgency = task_group.latest_start + DRAIN_WEIGHT * task_group.drain_s
        return (
            self._priority_of(task_group),
            deadline_class(task_group, now),
            urgency,
            job.order,
            task_group.occurrence,
            task_group.index,
        )
