"""The order in which steps that wait for room are served.

Priority goes first. Within one, steps that can still meet their objective go before those that can only be late, and
those before steps whose job earns nothing more; then the one that must start soonest; then the order of acceptance.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator

from sortedcontainers import SortedDict

from pipitledge.scheduling.tasks import TaskGroup

Rank = tuple[int, int, float, int, int, int]  # priority, band, latest start, order of the job, time, step
DRAIN_WEIGHT = 8.0  # by how much later work goes that takes room from others: under overload the small earn more
URGENT_PRIORITY = 0  # the only one for which others are stopped
GRACE_PART = 0.25  # of its remaining work, by which a step may be late and still count as in time: estimates are rough


class Band(enum.IntEnum):
    """What a step can still earn."""

    IN_TIME = 0
    LATE = 1
    NOTHING = 2


def band_of(task_group: TaskGroup, now: float) -> Band:
    """What a step can still earn if it starts now."""
    if task_group.stage.long_running:
        return Band.IN_TIME
    remaining = task_group.deadline - task_group.latest_start
    if now <= task_group.latest_start + GRACE_PART * remaining:
        return Band.IN_TIME
    if now <= task_group.late_deadline - remaining:
        return Band.LATE
    return Band.NOTHING


class WorkQueue:
    """The steps of one service that have waiting tasks."""

    def __init__(self, priority_of: Callable[[TaskGroup], int]) -> None:
        """`priority_of` gives a step's priority, 0 going first."""
        self._priority_of = priority_of
        self._steps: SortedDict = SortedDict()  # step by rank
        self._ranks: dict[TaskGroup, Rank] = {}

    def __len__(self) -> int:
        """How many steps wait."""
        return len(self._ranks)

    def __contains__(self, task_group: TaskGroup) -> bool:
        """Whether the step waits."""
        return task_group in self._ranks

    def add(self, task_group: TaskGroup, now: float) -> None:
        """Put a step into its place (again)."""
        rank = self._rank(task_group, now)
        known = self._ranks.get(task_group)
        if known == rank:
            return
        if known is not None:
            del self._steps[known]
        self._ranks[task_group] = rank
        self._steps[rank] = task_group

    def remove(self, task_group: TaskGroup) -> None:
        """Take a step out, if it is there."""
        rank = self._ranks.pop(task_group, None)
        if rank is not None:
            del self._steps[rank]

    def rank(self, task_group: TaskGroup) -> Rank | None:
        """Where a waiting step stands."""
        return self._ranks.get(task_group)

    def is_urgent(self, task_group: TaskGroup) -> bool:
        """Whether the step waits, and may have others stopped."""
        rank = self._ranks.get(task_group)
        return rank is not None and rank[0] == URGENT_PRIORITY

    def reorder(self, now: float) -> None:
        """Move steps whose prospects have changed."""
        for task_group in list(self._ranks):
            self.add(task_group, now)

    def in_order(self) -> Iterator[TaskGroup]:
        """All steps, the first to be served first; the queue may change meanwhile."""
        yield from list(self._steps.values())

    def sorted(self, task_groups: set[TaskGroup]) -> list[TaskGroup]:
        """Those of the steps that wait, in order."""
        return sorted(
            (task_group for task_group in task_groups if task_group in self._ranks), key=self._ranks.__getitem__
        )

    def _rank(self, task_group: TaskGroup, now: float) -> Rank:
        job = task_group.job
        urgency = task_group.latest_start + DRAIN_WEIGHT * task_group.drain_s
        return (
            self._priority_of(task_group),
            band_of(task_group, now),
            urgency,
            job.order,
            task_group.occurrence,
            task_group.index,
        )
