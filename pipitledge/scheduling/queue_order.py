"""The order in which steps that wait for room are served.

Priority goes first. Within one, steps that can still meet their objective go before those that can only be late, and
those before steps whose job earns nothing more; then the one that must start soonest; then the order of acceptance.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator

from sortedcontainers import SortedDict

from pipitledge.scheduling.tasks import Step

Rank = tuple[int, int, float, int, int, int]  # priority, band, latest start, order of the job, time, step
DRAIN_WEIGHT = 8.0  # by how much later work goes that takes room from others: under overload the small earn more
URGENT_PRIORITY = 0  # the only one for which others are stopped
GRACE_FRACTION = (
    0.25  # of its remaining work, by which a step may be late and still count as in time: estimates are rough
)


class DeadlineClass(enum.IntEnum):
    """What a step can still earn."""

    IN_TIME = 0
    LATE = 1
    EXPIRED = 2


def deadline_class(step: Step, now: float) -> DeadlineClass:
    """What a step can still earn if it starts now."""
    if step.stage.long_running:
        return DeadlineClass.IN_TIME
    remaining = step.deadline - step.latest_start
    if now <= step.latest_start + GRACE_FRACTION * remaining:
        return DeadlineClass.IN_TIME
    if now <= step.late_deadline - remaining:
        return DeadlineClass.LATE
    return DeadlineClass.EXPIRED


class WorkQueue:
    """The steps of one service that have waiting tasks."""

    def __init__(self, priority_of: Callable[[Step], int]) -> None:
        """`priority_of` gives a step's priority, 0 going first."""
        self._priority_of = priority_of
        self._steps: SortedDict = SortedDict()  # step by rank
        self._ranks: dict[Step, Rank] = {}

    def __len__(self) -> int:
        """How many steps wait."""
        return len(self._ranks)

    def __contains__(self, step: Step) -> bool:
        """Whether the step waits."""
        return step in self._ranks

    def add(self, step: Step, now: float) -> None:
        """Put a step into its place (again)."""
        rank = self._compute_rank(step, now)
        known = self._ranks.get(step)
        if known == rank:
            return
        if known is not None:
            del self._steps[known]
        self._ranks[step] = rank
        self._steps[rank] = step

    def remove(self, step: Step) -> None:
        """Take a step out, if it is there."""
        rank = self._ranks.pop(step, None)
        if rank is not None:
            del self._steps[rank]

    def rank(self, step: Step) -> Rank | None:
        """Where a waiting step stands."""
        return self._ranks.get(step)

    def is_urgent(self, step: Step) -> bool:
        """Whether the step waits, and may have others stopped."""
        rank = self._ranks.get(step)
        return rank is not None and rank[0] == URGENT_PRIORITY

    def reorder(self, now: float) -> None:
        """Move steps whose prospects have changed."""
        for step in list(self._ranks):
            self.add(step, now)

    def in_order(self) -> Iterator[Step]:
        """All steps, the first to be served first; the queue may change meanwhile."""
        yield from list(self._steps.values())

    def sorted(self, steps: set[Step]) -> list[Step]:
        """Those of the steps that wait, in order."""
        return sorted((step for step in steps if step in self._ranks), key=self._ranks.__getitem__)

    def _compute_rank(self, step: Step, now: float) -> Rank:
        job = step.job
        urgency = step.latest_start + DRAIN_WEIGHT * step.drain_s
        return (self._priority_of(step), deadline_class(step, now), urgency, job.order, step.time, step.index)
