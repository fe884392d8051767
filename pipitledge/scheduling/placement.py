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
from pipitledge.scheduling.tasks import Step
from pipitledge.scheduling.workers import Worker

LOCALITY_WAIT_FACTOR = 0.5  # of what going far costs, a step waits for room near by
MAX_LOCALITY_WAIT_S = 2.0
MIN_SPEED, MAX_SPEED = 0.1, 1.25  # bounds of the weight of a worker's pace
COLD_WEIGHT = 0.5  # of a worker that is still slow from its start
FREE_SHARE_BIAS = 0.05  # so that pace counts also where no room is left after placing


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Who looks for a worker, and what else bears on the choice."""

    step: Step
    rank: Rank
    now: float
    avoided_nodes: Collection[str] = field(default_factory=frozenset)  # nodes
    excluded_nodes: Collection[str] = field(default_factory=frozenset)  # nodes where the task still runs, beside a copy
    avoid_suspects: bool = False  # keep away from workers where something has just failed
    starving: bool = False  # has waited so long, while most is idle, that any worker with room will do


class WorkerGroup:
    """Some workers, which can be looked up by label."""

    def __init__(self, workers: Sequence[Worker], fallback: Sequence[Worker] = ()) -> None:
        """The labels are looked at when they are first asked for; `reserve` serves selectors that none of them fits."""
        self.workers = workers
        self._fallback = fallback
        self._combined: WorkerGroup | None = None
        self._by_label: dict[str, list[Worker]] | None = None

    def __bool__(self) -> bool:
        """Whether there are any."""
        return bool(self.workers)

    def with_fallback(self) -> WorkerGroup:
        """All of them, those in reserve too."""
        if self._combined is None:
            self._combined = WorkerGroup(self._fallback) if len(self._fallback) > len(self.workers) else self
        return self._combined

    def mostly_idle(self) -> bool:
        """Whether less than half of the processors of all, those in reserve too, are in use."""
        usable = self.with_fallback().workers
        free_cpu = sum(max(0, worker.free_cpu) for worker in usable)
        return 2 * free_cpu > sum(worker.capacity.cpu for worker in usable)

    def with_label(self, label: str) -> Sequence[Worker]:
        """Those with a label; all, if it is empty."""
        if not label:
            return self.workers
        if self._by_label is None:
            self._by_label = {}
            for worker in self.workers:
                for own in worker.labels:
                    self._by_label.setdefault(own, []).append(worker)
        return self._by_label.get(label, ())

    def matching_selector(self, label: str) -> Sequence[Worker]:
        """Those that a task with that selector may run on; from the reserve where there are no others."""
        return self.with_label(label) or [worker for worker in self._fallback if label in worker.labels]


class WorkerRanking:
    """The workers that may take tasks of a step, the roomiest first."""

    def __init__(self, request: PlacementRequest, workers: Sequence[Worker]) -> None:
        """Order the workers by their room as it is now."""
        self._seeker = request
        self._heap = [
            (-_score(worker, request), index, worker)
            for index, worker in enumerate(workers)
            if _can_place(request, worker)
        ]
        heapq.heapify(self._heap)

    def best(self) -> Worker | None:
        """The roomiest worker as things stand now: workers named before, here or elsewhere, have less room since."""
        heap = self._heap
        while heap:
            known, index, worker = heap[0]
            if not _can_place(self._seeker, worker):
                heapq.heappop(heap)
                continue
            cost = -_score(worker, self._seeker)
            if cost <= known:
                return worker
            heapq.heapreplace(heap, (cost, index, worker))
        return None


class TaskPlacer:
    """Names workers for the tasks of one step, one after the other."""

    def __init__(self, request: PlacementRequest, candidates: WorkerGroup, usable: WorkerGroup, far_x: float) -> None:
        """`candidates` are to be looked at; `everyone` tells whether waiting for room near by makes sense."""
        self._seeker = request
        self._candidates = candidates
        stage = request.step.stage
        self._local: WorkerRanking | None = None
        self._others: WorkerRanking | None = None
        self._waits_for_locality = False
        if stage.affinity:
            self._local = WorkerRanking(request, candidates.with_label(stage.affinity))
            self._waits_for_locality = not request.starving and should_wait_for_locality(
                request.step, usable, request.now, far_x
            )

    def best(self) -> Worker | None:
        """A worker for the next task, or None if there is no room that it should take now."""
        near = self._local.best() if self._local is not None else None
        if near is not None or self._waits_for_locality:
            return near
        if self._others is None:
            self._others = WorkerRanking(
                self._seeker, self._candidates.matching_selector(self._seeker.step.stage.node_selector)
            )
        return self._others.best()


def should_wait_for_locality(step: Step, usable: WorkerGroup, now: float, far_x: float) -> bool:
    """Whether the step had better still wait for room on the rack that holds its data."""
    if now >= step.queued_at + locality_wait_s(step, far_x):
        return False
    return any(worker.fits_when_empty(step.demand) for worker in usable.with_label(step.stage.affinity))


def locality_wait_s(step: Step, far_x: float) -> float:
    """How long a step waits for room near by before it goes elsewhere."""
    return min(MAX_LOCALITY_WAIT_S, LOCALITY_WAIT_FACTOR * max(0.0, far_x - 1.0) * step.stage.estimate_s)


def choose_gang_workers(request: PlacementRequest, usable: WorkerGroup, far_x: float) -> list[Worker] | None:
    """Workers for all tasks of a gang at once, or None if they don't all fit now."""
    step = request.step
    rack = step.stage.affinity
    if rack:
        near = _choose_all(request, usable.with_label(rack))
        if near is not None:
            return near
    suited = usable.matching_selector(step.stage.node_selector)
    if step.stage.same_rack:
        within = _choose_within_rack(request, suited)
        if within is not None:
            return within
    patient = not request.starving and request.now < step.queued_at + locality_wait_s(step, far_x)
    if patient and (rack or step.stage.same_rack):
        return None
    return _choose_all(request, suited)


def racks_by_free_cpu(workers: Sequence[Worker]) -> list[list[Worker]]:
    """The workers by rack, the rack with most free processors first."""
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    return sorted(racks.values(), key=lambda members: -sum(worker.free_cpu for worker in members))


def _choose_within_rack(request: PlacementRequest, workers: Sequence[Worker]) -> list[Worker] | None:
    """Workers of a single rack for all tasks."""
    for members in racks_by_free_cpu(workers):
        chosen = _choose_all(request, members)
        if chosen is not None:
            return chosen
    return None


def _choose_all(request: PlacementRequest, workers: Sequence[Worker]) -> list[Worker] | None:
    """Workers for all tasks of the step; what is tried is taken back."""
    step = request.step
    ranking = WorkerRanking(request, workers)
    chosen: list[Worker] = []
    try:
        while len(chosen) < len(step.tasks):
            worker = ranking.best()
            if worker is None:
                return None
            worker.allocate(step.demand)
            step.on_node[worker.node] = step.on_node.get(worker.node, 0) + 1
            chosen.append(worker)
        return list(chosen)
    finally:
        for worker in chosen:
            worker.release(step.demand)
            step.on_node[worker.node] -= 1


def _can_place(request: PlacementRequest, worker: Worker) -> bool:
    """Whether a worker has room for a task of the step, and the task may run there."""
    return worker.fits(request.step.demand) and _is_eligible(request, worker)


def _is_eligible(request: PlacementRequest, worker: Worker) -> bool:
    """Whether the step may run there, room apart."""
    step = request.step
    stage = step.stage
    if stage.node_selector and stage.node_selector not in worker.labels:
        return False
    if stage.anti_affinity and step.on_node.get(worker.node, 0) >= stage.anti_affinity:
        return False
    if worker.node in request.excluded_nodes:
        return False
    if request.starving:
        return True
    if worker.node in request.avoided_nodes or (request.avoid_suspects and worker.health.suspect):
        return False
    if worker.health.trial_pending(request.now):
        return False
    return worker.reservation is None or not _reserved_for_other(request, worker)


def _reserved_for_other(request: PlacementRequest, worker: Worker) -> bool:
    """Whether the worker is kept free for a step that goes before this one."""
    reservation = worker.reservation
    if reservation is None or reservation.step is request.step or request.now >= reservation.until:
        return False
    return reservation.rank < request.rank


def _score(worker: Worker, request: PlacementRequest) -> float:
    """The higher, the better."""
    speed = min(MAX_SPEED, max(MIN_SPEED, worker.health.speed))
    if request.now < worker.cold_until:
        speed *= COLD_WEIGHT
    return (worker.free_share_after(request.step.demand) + FREE_SHARE_BIAS) * speed
