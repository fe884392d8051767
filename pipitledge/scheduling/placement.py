"""Which worker a task goes to: pure functions of what is known.

Only workers with the label asked for and room for all that the task needs come into question, and not more tasks of a
step go to one worker than it allows. Of those the roomiest is taken, by the scarcest share left, weighed by its pace.
Data near by and a common rack are worth a bounded wait.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from pipitledge.scheduling.queue_order import Rank
from pipitledge.scheduling.tasks import TaskGroup
from pipitledge.scheduling.workers import Worker

WAIT_FOR_NEAR = 0.5  # of what going far costs, a step waits for room near by
LONGEST_WAIT_FOR_NEAR_S = 2.0
LEAST_SPEED, MOST_SPEED = 0.1, 1.25  # bounds of the weight of a worker's pace
COLD_WEIGHT = 0.5  # of a worker that is still slow from its start
FREE_SHARE_BIAS = 0.05  # so that pace counts also where no room is left after placing


@dataclass(frozen=True, slots=True)
class Seeker:
    """Who looks for a worker, and what else bears on the choice."""

    task_group: TaskGroup
    rank: Rank
    now: float
    avoid: Collection[str] = field(default_factory=frozenset)  # nodes
    barred: Collection[str] = field(default_factory=frozenset)  # nodes where the task still runs, beside a copy
    cautious: bool = False  # keep away from workers where something has just failed
    pressing: bool = False  # has waited so long, while most is idle, that any worker with room will do


class Crowd:
    """Some workers, which can be looked up by label."""

    def __init__(self, workers: Sequence[Worker], reserve: Sequence[Worker] = ()) -> None:
        """The labels are looked at when they are first asked for; `reserve` serves selectors that none of them fits."""
        self.workers = workers
        self._reserve = reserve
        self._whole: Crowd | None = None
        self._by_label: dict[str, list[Worker]] | None = None

    def __bool__(self) -> bool:
        """Whether there are any."""
        return bool(self.workers)

    def with_reserve(self) -> Crowd:
        """All of them, those in reserve too."""
        if self._whole is None:
            self._whole = Crowd(self._reserve) if len(self._reserve) > len(self.workers) else self
        return self._whole

    def mostly_idle(self) -> bool:
        """Whether less than half of the processors of all, those in reserve too, are in use."""
        everyone = self.with_reserve().workers
        free_cpu = sum(max(0, worker.free_cpu) for worker in everyone)
        return 2 * free_cpu > sum(worker.capacity.cpu for worker in everyone)

    def labelled(self, label: str) -> Sequence[Worker]:
        """Those with a label; all, if it is empty."""
        if not label:
            return self.workers
        if self._by_label is None:
            self._by_label = {}
            for worker in self.workers:
                for own in worker.labels:
                    self._by_label.setdefault(own, []).append(worker)
        return self._by_label.get(label, ())

    def selected(self, label: str) -> Sequence[Worker]:
        """Those that a task with that selector may run on; from the reserve where there are no others."""
        return self.labelled(label) or [worker for worker in self._reserve if label in worker.labels]


class Ranking:
    """The workers that may take tasks of a step, the roomiest first."""

    def __init__(self, seeker: Seeker, workers: Sequence[Worker]) -> None:
        """Order the workers by their room as it is now."""
        self._seeker = seeker
        self._heap = [
            (-_score(worker, seeker), index, worker)
            for index, worker in enumerate(workers)
            if _may_take(seeker, worker)
        ]
        heapq.heapify(self._heap)

    def best(self) -> Worker | None:
        """The roomiest worker as things stand now: workers named before, here or elsewhere, have less room since."""
        heap = self._heap
        while heap:
            known, index, worker = heap[0]
            if not _may_take(self._seeker, worker):
                heapq.heappop(heap)
                continue
            cost = -_score(worker, self._seeker)
            if cost <= known:
                return worker
            heapq.heapreplace(heap, (cost, index, worker))
        return None


class TaskPlacer:
    """Names workers for the tasks of one step, one after the other."""

    def __init__(self, seeker: Seeker, candidates: Crowd, everyone: Crowd, far_x: float) -> None:
        """`candidates` are to be looked at; `everyone` tells whether waiting for room near by makes sense."""
        self._seeker = seeker
        self._candidates = candidates
        stage = seeker.task_group.stage
        self._near: Ranking | None = None
        self._others: Ranking | None = None
        self._waits = False
        if stage.affinity:
            self._near = Ranking(seeker, candidates.labelled(stage.affinity))
            self._waits = not seeker.pressing and waits_for_near(seeker.task_group, everyone, seeker.now, far_x)

    def best(self) -> Worker | None:
        """A worker for the next task, or None if there is no room that it should take now."""
        near = self._near.best() if self._near is not None else None
        if near is not None or self._waits:
            return near
        if self._others is None:
            self._others = Ranking(self._seeker, self._candidates.selected(self._seeker.task_group.stage.node_selector))
        return self._others.best()


def waits_for_near(task_group: TaskGroup, everyone: Crowd, now: float, far_x: float) -> bool:
    """Whether the step had better still wait for room on the rack that holds its data."""
    if now >= task_group.queued_at + near_patience_s(task_group, far_x):
        return False
    return any(worker.could_fit(task_group.resource_request) for worker in everyone.labelled(task_group.stage.affinity))


def near_patience_s(task_group: TaskGroup, far_x: float) -> float:
    """How long a step waits for room near by before it goes elsewhere."""
    return min(LONGEST_WAIT_FOR_NEAR_S, WAIT_FOR_NEAR * max(0.0, far_x - 1.0) * task_group.stage.estimate_s)


def choose_gang(seeker: Seeker, everyone: Crowd, far_x: float) -> list[Worker] | None:
    """Workers for all tasks of a gang at once, or None if they don't all fit now."""
    task_group = seeker.task_group
    rack = task_group.stage.affinity
    if rack:
        near = _choose_all(seeker, everyone.labelled(rack))
        if near is not None:
            return near
    suited = everyone.selected(task_group.stage.node_selector)
    if task_group.stage.same_rack:
        within = _choose_within_rack(seeker, suited)
        if within is not None:
            return within
    patient = not seeker.pressing and seeker.now < task_group.queued_at + near_patience_s(task_group, far_x)
    if patient and (rack or task_group.stage.same_rack):
        return None
    return _choose_all(seeker, suited)


def racks_by_room(workers: Sequence[Worker]) -> list[list[Worker]]:
    """The workers by rack, the rack with most free processors first."""
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    return sorted(racks.values(), key=lambda members: -sum(worker.free_cpu for worker in members))


def _choose_within_rack(seeker: Seeker, workers: Sequence[Worker]) -> list[Worker] | None:
    """Workers of a single rack for all tasks."""
    for members in racks_by_room(workers):
        chosen = _choose_all(seeker, members)
        if chosen is not None:
            return chosen
    return None


def _choose_all(seeker: Seeker, workers: Sequence[Worker]) -> list[Worker] | None:
    """Workers for all tasks of the step; what is tried is taken back."""
    task_group = seeker.task_group
    ranking = Ranking(seeker, workers)
    chosen: list[Worker] = []
    try:
        while len(chosen) < len(task_group.tasks):
            worker = ranking.best()
            if worker is None:
                return None
            worker.take(task_group.resource_request)
            task_group.runs_per_node[worker.node] = task_group.runs_per_node.get(worker.node, 0) + 1
            chosen.append(worker)
        return list(chosen)
    finally:
        for worker in chosen:
            worker.give(task_group.resource_request)
            task_group.runs_per_node[worker.node] -= 1


def _may_take(seeker: Seeker, worker: Worker) -> bool:
    """Whether a worker has room for a task of the step, and the task may run there."""
    return worker.fits(seeker.task_group.resource_request) and _allowed(seeker, worker)


def _allowed(seeker: Seeker, worker: Worker) -> bool:
    """Whether the step may run there, room apart."""
    task_group = seeker.task_group
    stage = task_group.stage
    if stage.node_selector and stage.node_selector not in worker.labels:
        return False
    if stage.anti_affinity and task_group.runs_per_node.get(worker.node, 0) >= stage.anti_affinity:
        return False
    if worker.node in seeker.barred:
        return False
    if seeker.pressing:
        return True
    if worker.node in seeker.avoid or (seeker.cautious and worker.health.suspect):
        return False
    if worker.health.trial_pending(seeker.now):
        return False
    return worker.claim is None or not _claimed(seeker, worker)


def _claimed(seeker: Seeker, worker: Worker) -> bool:
    """Whether the worker is kept free for a step that goes before this one."""
    claim = worker.claim
    if claim is None or claim.task_group is seeker.task_group or seeker.now >= claim.until:
        return False
    return claim.rank < seeker.rank


def _score(worker: Worker, seeker: Seeker) -> float:
    """The higher, the better."""
    speed = min(MOST_SPEED, max(LEAST_SPEED, worker.health.speed))
    if seeker.now < worker.cold_until:
        speed *= COLD_WEIGHT
    return (worker.free_share_after(seeker.task_group.resource_request) + FREE_SHARE_BIAS) * speed
