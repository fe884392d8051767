"""Preemption of runs for urgent tasks, and reservation of workers for gangs and large tasks.

Both are bounded. Only tasks of priority 0 preempt, and only runs of a lower priority, at a limited rate and where the
least work is lost. Of the blocked stages of a service, one at a time may reserve workers, for a limited time: without
that, a gang or a large task would starve, because small tasks take all resources as soon as they are free.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from pipitledge.scheduling.context import Context
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.placement import racks_by_free_cpu
from pipitledge.scheduling.queue_order import URGENT_PRIORITY, DeadlineClass, Rank, WorkQueue
from pipitledge.scheduling.tasks import Run, StopCause, TaskGroup
from pipitledge.scheduling.workers import Reservation, Worker

MAX_URGENT_STEPS_PER_PASS = 4  # stages that may preempt in one pass
VICTIMS_PER_WORKER_PER_S = 0.5  # sustained rate of preempted runs
MIN_VICTIM_BURST = 8.0  # preempted runs at once; more, if the rate per second is higher
PREEMPTION_COOLDOWN_S = 6.0  # a preempted task is not preempted again within this time
NEARLY_DONE_PERCENT = 90.0  # runs beyond this progress are not preempted
MAX_LOSS_RATIO = 3.0  # at most this multiple of the urgent task's own work may be lost for it
CORES_PER_GPU = 8.0  # a GPU counts as this many cores of work
GANG_RESERVATION_DELAY_S = 0.5  # a gang may reserve workers after being blocked this long
TASK_RESERVATION_DELAY_S = 1.5  # a single task may do so after being blocked this long
RESERVATION_ESTIMATE_FACTOR = 1.5  # a reservation lasts a second plus this multiple of the estimated task duration
MAX_RESERVATION_S = 10.0
STOP_SLACK_S = 0.5  # resources of preempted runs stay reserved this much longer than a stop takes at most
RESTART_COST_S = 0.5  # work lost by any stop: the time until a restarted run makes progress


@dataclass(frozen=True, slots=True)
class _Eviction:
    """Runs of one worker to be preempted so that a task fits there."""

    worker: Worker
    victims: tuple[Run, ...]
    loss: float  # core-seconds of work that would be lost


class Preemption:
    """Preempts runs and reserves workers for blocked stages."""

    def __init__(self, context: Context, lifecycle: Lifecycle) -> None:
        """Work on the scheduler's shared state."""
        self._context = context
        self._lifecycle = lifecycle
        self._allowance = MIN_VICTIM_BURST  # runs that may be preempted now: a token bucket
        self._allowance_updated_at = 0.0
        self._reservation_owners: dict[str, TaskGroup] = {}  # by service: the blocked stage that has reserved workers
        self._steps_with_reservations: set[TaskGroup] = set()  # also urgent ones: they reserve what preempted runs free

    def clear(self) -> None:
        """Reset to the initial state."""
        self._allowance = MIN_VICTIM_BURST
        self._allowance_updated_at = 0.0
        self._reservation_owners.clear()
        self._steps_with_reservations.clear()

    def handle_blocked_steps(self, queue: WorkQueue, workers: Sequence[Worker], now: float) -> None:
        """Let the blocked stages of a queue preempt runs or reserve workers, by rank."""
        self._refill_allowance(now)
        urgent = 0
        may_reserve = True
        for task_group in queue.in_order():
            rank = queue.rank(task_group)
            if rank is None or task_group.blocked_since < 0.0 or rank[1] == DeadlineClass.EXPIRED:
                continue
            waited = now - task_group.blocked_since
            if rank[0] == URGENT_PRIORITY and not task_group.gang and urgent < MAX_URGENT_STEPS_PER_PASS:
                urgent += 1
                self._preempt_for(task_group, rank, workers, now)
            if may_reserve and waited >= (GANG_RESERVATION_DELAY_S if task_group.gang else TASK_RESERVATION_DELAY_S):
                may_reserve = False
                self._reserve_for(task_group, rank, workers, now)

    def release_reservations(self, task_group: TaskGroup) -> None:
        """Release the workers reserved for a stage that has no waiting tasks any more."""
        if task_group not in self._steps_with_reservations:
            return
        self._steps_with_reservations.discard(task_group)
        if self._reservation_owners.get(task_group.job.service) is task_group:
            del self._reservation_owners[task_group.job.service]
        for worker in self._context.workers.values():
            if worker.reservation is not None and worker.reservation.task_group is task_group:
                worker.reservation = None
                self._context.dirty_workers.add(worker)

    # ---- preemption

    def _refill_allowance(self, now: float) -> None:
        elapsed_s = min(1.0, now - self._allowance_updated_at)
        self._allowance_updated_at = now
        rate = VICTIMS_PER_WORKER_PER_S * max(4, len(self._context.workers))
        self._allowance = min(max(MIN_VICTIM_BURST, rate), self._allowance + elapsed_s * rate)

    def _preempt_for(self, task_group: TaskGroup, rank: Rank, workers: Sequence[Worker], now: float) -> None:
        """Preempt runs of a lower priority for the tasks of an urgent stage."""
        if now < task_group.next_preemption:
            return
        until = now + self._context.timings.stop_s + STOP_SLACK_S
        for _ in range(len(task_group.waiting)):
            eviction = self._cheapest_eviction(task_group, workers, now)
            if eviction is None or len(eviction.victims) > self._allowance:
                return
            self._allowance -= len(eviction.victims)
            task_group.next_preemption = until
            eviction.worker.reservation = Reservation(task_group, rank, until)
            self._steps_with_reservations.add(task_group)
            for run in eviction.victims:
                run.task.preempted_at = now
                self._lifecycle.request_stop(run, StopCause.PREEMPTED)
            self._context.log.info(
                "preempted", peer=eviction.worker.node, runs=len(eviction.victims), job=task_group.job.id
            )

    def _cheapest_eviction(self, task_group: TaskGroup, workers: Sequence[Worker], now: float) -> _Eviction | None:
        """Return the eviction that makes one task fit at the least loss of work; None if none is acceptable."""
        max_loss = MAX_LOSS_RATIO * core_seconds(task_group, task_group.stage.estimate_s)
        best: _Eviction | None = None
        for worker in workers:
            if worker.reservation is not None and now < worker.reservation.until:
                continue
            if (
                worker.fits(task_group.resource_request)
                or not _meets_constraints(task_group, worker)
                or not worker.fits_when_empty(task_group.resource_request)
            ):
                continue
            eviction = self._plan_eviction(task_group, worker, now)
            if eviction is None or eviction.loss > max_loss:
                continue
            if best is None or eviction.loss < best.loss:
                best = eviction
        return best

    def _plan_eviction(self, task_group: TaskGroup, worker: Worker, now: float) -> _Eviction | None:
        """Return the runs to stop on a worker, least loss first, until the task fits; None if it never does."""
        victims = [run for run in worker.runs.values() if self._is_preemptible(run, worker, now)]
        victims.sort(key=lambda run: unsaved_work(run, now))
        chosen: list[Run] = []
        loss = 0.0
        cpu, memory_mb, gpu = worker.free_cpu, worker.free_memory_mb, worker.free_gpu
        for run in victims:
            freed = run.task.task_group.resource_request
            chosen.append(run)
            loss += unsaved_work(run, now)
            cpu, memory_mb, gpu = cpu + freed.cpu, memory_mb + freed.memory_mb, gpu + freed.gpu
            if (
                cpu >= task_group.resource_request.cpu
                and memory_mb >= task_group.resource_request.memory_mb
                and gpu >= task_group.resource_request.gpu
            ):
                return _Eviction(worker, tuple(chosen), loss)
        return None

    def _is_preemptible(self, run: Run, worker: Worker, now: float) -> bool:
        """Whether a run may be preempted by an urgent task."""
        task_group = run.task.task_group
        return (
            run.instance == worker.instance
            and run.stop_cause is None
            and not run.settled
            and self._context.priority_of(task_group) > URGENT_PRIORITY
            and now - run.task.preempted_at >= PREEMPTION_COOLDOWN_S
            and run.percent < NEARLY_DONE_PERCENT
        )

    # ---- reservations

    def _reserve_for(self, task_group: TaskGroup, rank: Rank, workers: Sequence[Worker], now: float) -> None:
        """Reserve workers for a stage, unless another stage of its service holds a reservation."""
        service = task_group.job.service
        owner = self._reservation_owners.get(service)
        if owner is not None and any(_reserved_by(worker, owner, now) for worker in workers):
            return
        if now < task_group.no_reservation_before:
            return
        chosen = _workers_to_reserve(task_group, workers, now)
        if not chosen:
            return
        duration_s = min(MAX_RESERVATION_S, 1.0 + RESERVATION_ESTIMATE_FACTOR * task_group.stage.estimate_s)
        task_group.no_reservation_before = now + 2.0 * duration_s
        self._reservation_owners[service] = task_group
        self._steps_with_reservations.add(task_group)
        for worker in chosen:
            worker.reservation = Reservation(task_group, rank, now + duration_s)


def core_seconds(task_group: TaskGroup, seconds: float) -> float:
    """Return the work that one task of a stage does in that many seconds; a GPU counts as several cores."""
    return (task_group.resource_request.cpu / 1_000.0 + CORES_PER_GPU * task_group.resource_request.gpu) * seconds


def unsaved_work(run: Run, now: float) -> float:
    """Return the core-seconds lost if a run, and its gang if it has one, is stopped now."""
    task_group = run.task.task_group
    saves_work = task_group.stage.long_running or task_group.stage.checkpoints  # a stopped run saves a checkpoint first
    lost_s = RESTART_COST_S if saves_work else RESTART_COST_S + now - run.placed_at
    return core_seconds(task_group, lost_s) * (len(task_group.tasks) if task_group.gang else 1)


def _meets_constraints(task_group: TaskGroup, worker: Worker) -> bool:
    """Whether label and anti-affinity let a task of the stage run on a worker, regardless of free resources."""
    stage = task_group.stage
    if stage.node_selector and stage.node_selector not in worker.labels:
        return False
    return not stage.anti_affinity or task_group.runs_per_node.get(worker.node, 0) < stage.anti_affinity


def _reserved_by(worker: Worker, task_group: TaskGroup, now: float) -> bool:
    reservation = worker.reservation
    return reservation is not None and reservation.task_group is task_group and now < reservation.until


def _workers_to_reserve(task_group: TaskGroup, workers: Sequence[Worker], now: float) -> list[Worker]:
    """Return the workers that would fit the stage soonest if nothing new started there; empty if there are too few."""
    fitting = [
        worker
        for worker in workers
        if _meets_constraints(task_group, worker) and worker.fits_when_empty(task_group.resource_request)
    ]
    unreserved = [worker for worker in fitting if worker.reservation is None or now >= worker.reservation.until]
    if not task_group.gang:
        return sorted(unreserved, key=_utilization)[:1]
    groups = racks_by_free_cpu(unreserved) if task_group.stage.same_rack else []
    for group in [*groups, unreserved]:
        chosen = _first_sufficient(task_group, sorted(group, key=_utilization))
        if chosen:
            return chosen
    return []


def _first_sufficient(task_group: TaskGroup, workers: Sequence[Worker]) -> list[Worker]:
    """Return the first of the workers that would together fit all tasks if they were empty; empty list if too few."""
    chosen: list[Worker] = []
    fitting = 0
    for worker in workers:
        chosen.append(worker)
        fitting += _tasks_when_empty(task_group, worker)
        if fitting >= len(task_group.tasks):
            return chosen
    return []


def _tasks_when_empty(task_group: TaskGroup, worker: Worker) -> int:
    """Return how many tasks of the stage would fit on the worker if it were empty."""
    capacity, resource_request = worker.capacity, task_group.resource_request
    pairs = (
        (capacity.cpu, resource_request.cpu),
        (capacity.memory_mb, resource_request.memory_mb),
        (capacity.gpu, resource_request.gpu),
    )
    fitting = min(
        (available // requested for available, requested in pairs if requested), default=len(task_group.tasks)
    )
    return min(fitting, task_group.stage.anti_affinity) if task_group.stage.anti_affinity else fitting


def _utilization(worker: Worker) -> float:
    """Return the used share of the worker's CPU or GPUs, whichever is higher."""
    capacity = worker.capacity
    shares = [1.0 - worker.free_cpu / capacity.cpu] if capacity.cpu else [0.0]
    if capacity.gpu:
        shares.append(1.0 - worker.free_gpu / capacity.gpu)
    return max(shares)
