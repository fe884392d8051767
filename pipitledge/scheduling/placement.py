"""Chooses the worker of a task, from the state that the scheduler holds in memory.

A worker is eligible if it has the label of the stage's node selector and enough free resources for the task, and if the
stage's limit of tasks per worker (anti-affinity) allows another one. Of the eligible workers, the one with the highest
score is chosen: the free share of its scarcest resource after placement, weighted by its speed. To get a worker near
its data, or a single rack for a gang, a stage waits for a bounded time.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from pipitledge.scheduling.queue_order import Rank
from pipitledge.scheduling.tasks import TaskGroup
from pipitledge.scheduling.workers import Worker

LOCALITY_WAIT_FACTOR = 0.5  # a stage waits at most this fraction of the time that remote placement would cost it
MAX_LOCALITY_WAIT_S = 2.0
MIN_SPEED, MAX_SPEED = 0.1, 1.25  # bounds of the weight of a worker's relative speed
COLD_WEIGHT = 0.5  # weight of a worker that is still in its slow phase after startup
FREE_SHARE_BIAS = 0.05  # added to the free share, so that speed counts even if the worker would be full


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """The stage to be placed, and the restrictions on the choice of its workers."""

    task_group: TaskGroup
    rank: Rank
    now: float
    avoided_nodes: Collection[str] = field(default_factory=frozenset)
    excluded_nodes: Collection[str] = field(default_factory=frozenset)  # an earlier run of the task is still there
    avoid_suspects: bool = False  # avoid workers with recent failures
    starving: bool = False  # blocked for so long that any worker with free resources may be used


class WorkerGroup:
    """Workers that can be looked up by label."""

    def __init__(self, workers: Sequence[Worker], fallback: Sequence[Worker] = ()) -> None:
        """`fallback`: all usable workers, also slow and avoided ones, for selectors that none of `workers` matches."""
        self.workers = workers
        self._fallback = fallback
        self._combined: WorkerGroup | None = None
        self._by_label: dict[str, list[Worker]] | None = None

    def __bool__(self) -> bool:
        """Whether the group has any workers, not counting the fallback."""
        return bool(self.workers)

    def with_fallback(self) -> WorkerGroup:
        """Return the group of all usable workers, including the fallback."""
        if self._combined is None:
            self._combined = WorkerGroup(self._fallback) if len(self._fallback) > len(self.workers) else self
        return self._combined

    def mostly_idle(self) -> bool:
        """Whether less than half of the CPU capacity, including that of the fallback workers, is in use."""
        usable = self.with_fallback().workers
        free_cpu = sum(max(0, worker.free_cpu) for worker in usable)
        return 2 * free_cpu > sum(worker.capacity.cpu for worker in usable)

    def with_label(self, label: str) -> Sequence[Worker]:
        """Return the workers with a label; all workers, if the label is empty."""
        if not label:
            return self.workers
        if self._by_label is None:
            self._by_label = {}
            for worker in self.workers:
                for worker_label in worker.labels:
                    self._by_label.setdefault(worker_label, []).append(worker)
        return self._by_label.get(label, ())

    def matching_selector(self, label: str) -> Sequence[Worker]:
        """Return the workers that match a node selector; fallback workers only if there are no others."""
        return self.with_label(label) or [worker for worker in self._fallback if label in worker.labels]


class WorkerRanking:
    """The workers that can take tasks of a stage, best score first."""

    def __init__(self, request: PlacementRequest, workers: Sequence[Worker]) -> None:
        """Rank the workers by their present scores."""
        self._request = request
        self._heap = [
            (-_score(worker, request), index, worker)
            for index, worker in enumerate(workers)
            if _can_place(request, worker)
        ]
        heapq.heapify(self._heap)

    def best(self) -> Worker | None:
        """Return the worker with the best score, or None; tasks placed since the last call are taken into account."""
        heap = self._heap
        while heap:
            last_cost, index, worker = heap[0]
            if not _can_place(self._request, worker):
                heapq.heappop(heap)
                continue
            cost = -_score(worker, self._request)
            if cost <= last_cost:
                return worker
            heapq.heapreplace(heap, (cost, index, worker))
        return None


class TaskPlacer:
    """Chooses workers for the tasks of one stage, one after the other."""

    def __init__(self, request: PlacementRequest, candidates: WorkerGroup, usable: WorkerGroup, far_x: float) -> None:
        """Choose from `candidates`; `usable`, all usable workers, shows whether a worker near the data can exist."""
        self._request = request
        self._candidates = candidates
        stage = request.task_group.stage
        self._local: WorkerRanking | None = None
        self._others: WorkerRanking | None = None
        self._waits_for_locality = False
        if stage.affinity:
            self._local = WorkerRanking(request, candidates.with_label(stage.affinity))
            self._waits_for_locality = not request.starving and should_wait_for_locality(
                request.task_group, usable, request.now, far_x
            )

    def best(self) -> Worker | None:
        """Return a worker for the next task; None if none is eligible, or if the stage should wait for a local one."""
        local = self._local.best() if self._local is not None else None
        if local is not None or self._waits_for_locality:
            return local
        if self._others is None:
            self._others = WorkerRanking(
                self._request, self._candidates.matching_selector(self._request.task_group.stage.node_selector)
            )
        return self._others.best()


def should_wait_for_locality(task_group: TaskGroup, usable: WorkerGroup, now: float, far_x: float) -> bool:
    """Whether the stage should go on waiting for a worker on the rack that holds its data."""
    if now >= task_group.queued_at + locality_wait_s(task_group, far_x):
        return False
    return any(
        worker.fits_when_empty(task_group.resource_request) for worker in usable.with_label(task_group.stage.affinity)
    )


def locality_wait_s(task_group: TaskGroup, far_x: float) -> float:
    """Return how long a stage waits for a worker near its data before it runs elsewhere."""
    return min(MAX_LOCALITY_WAIT_S, LOCALITY_WAIT_FACTOR * max(0.0, far_x - 1.0) * task_group.stage.estimate_s)


def choose_gang_workers(request: PlacementRequest, usable: WorkerGroup, far_x: float) -> list[Worker] | None:
    """Return workers for all tasks of a gang, or None if they can't all be placed now."""
    task_group = request.task_group
    rack = task_group.stage.affinity
    if rack:
        local = _choose_all(request, usable.with_label(rack))
        if local is not None:
            return local
    matching = usable.matching_selector(task_group.stage.node_selector)
    if task_group.stage.same_rack:
        on_one_rack = _choose_within_rack(request, matching)
        if on_one_rack is not None:
            return on_one_rack
    may_wait = not request.starving and request.now < task_group.queued_at + locality_wait_s(task_group, far_x)
    if may_wait and (rack or task_group.stage.same_rack):
        return None
    return _choose_all(request, matching)


def racks_by_free_cpu(workers: Sequence[Worker]) -> list[list[Worker]]:
    """Return the workers grouped by rack, the rack with the most free CPU first."""
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    return sorted(racks.values(), key=lambda members: -sum(worker.free_cpu for worker in members))


def _choose_within_rack(request: PlacementRequest, workers: Sequence[Worker]) -> list[Worker] | None:
    """Return workers of a single rack for all tasks, or None."""
    for members in racks_by_free_cpu(workers):
        chosen = _choose_all(request, members)
        if chosen is not None:
            return chosen
    return None


def _choose_all(request: PlacementRequest, workers: Sequence[Worker]) -> list[Worker] | None:
    """Return workers for all tasks of the stage, or None; resources allocated while trying are released again."""
    task_group = request.task_group
    ranking = WorkerRanking(request, workers)
    chosen: list[Worker] = []
    try:
        while len(chosen) < len(task_group.tasks):
            worker = ranking.best()
            if worker is None:
                return None
            worker.allocate(task_group.resource_request)
            task_group.runs_per_node[worker.node] = task_group.runs_per_node.get(worker.node, 0) + 1
            chosen.append(worker)
        return list(chosen)
    finally:
        for worker in chosen:
            worker.release(task_group.resource_request)
            task_group.runs_per_node[worker.node] -= 1


def _can_place(request: PlacementRequest, worker: Worker) -> bool:
    """Whether a worker has enough free resources for a task of the stage and is eligible."""
    return worker.fits(request.task_group.resource_request) and _is_eligible(request, worker)


def _is_eligible(request: PlacementRequest, worker: Worker) -> bool:
    """Whether tasks of the stage may run on the worker, regardless of free resources."""
    task_group = request.task_group
    stage = task_group.stage
    if stage.node_selector and stage.node_selector not in worker.labels:
        return False
    if stage.anti_affinity and task_group.runs_per_node.get(worker.node, 0) >= stage.anti_affinity:
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
    """Whether the worker is reserved for another stage that comes earlier in the queue."""
    reservation = worker.reservation
    if reservation is None or reservation.task_group is request.task_group or request.now >= reservation.until:
        return False
    return reservation.rank < request.rank


def _score(worker: Worker, request: PlacementRequest) -> float:
    """Return how well a worker suits the request; higher is better."""
    speed = min(MAX_SPEED, max(MIN_SPEED, worker.health.speed))
    if request.now < worker.cold_until:
        speed *= COLD_WEIGHT
    return (worker.free_share_after(request.task_group.resource_request) + FREE_SHARE_BIAS) * speed
