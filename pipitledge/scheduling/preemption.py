"""Room for what matters most: lower-ranked runs are stopped for urgent tasks, and large work gets workers kept free.

Both are bounded. Only tasks of priority 0 stop others, only such of lower priority, at a bounded rate, and where the
least work is lost. Of the steps of a service that found no room, one at a time may keep workers free, for a bounded
while: a gang or a large task would starve among small ones.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from pipitledge.scheduling.context import Context
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.placement import racks_by_free_cpu
from pipitledge.scheduling.queue_order import URGENT_PRIORITY, DeadlineClass, Rank, WorkQueue
from pipitledge.scheduling.tasks import Run, Step, StopCause
from pipitledge.scheduling.workers import Reservation, Worker

MAX_URGENT_STEPS_PER_PASS = 4  # steps for which others are stopped in one pass
VICTIMS_PER_WORKER_PER_S = 0.5  # rate at which runs are stopped, by workers
MIN_VICTIM_BURST = 8.0
PREEMPTION_COOLDOWN_S = 6.0  # a task that was stopped for another isn't stopped again so soon
NEARLY_DONE_PERCENT = 90.0  # percent: such a run is let be
MAX_LOSS_RATIO = 3.0  # work lost for a task, against the work that the task is
CORES_PER_GPU = 8.0  # a GPU counts as so many cores
GANG_RESERVATION_DELAY_S = 0.5  # of waiting for room, a gang keeps workers free
TASK_RESERVATION_DELAY_S = 1.5  # and a single task
RESERVATION_ESTIMATE_FACTOR = 1.5  # times its estimate that it may keep them
MAX_RESERVATION_S = 10.0
STOP_SLACK_S = 0.5
RESTART_COST_S = 0.5  # that a run takes until it is at work again


@dataclass(frozen=True, slots=True)
class _Eviction:
    """Runs of one worker whose end makes room."""

    worker: Worker
    victims: tuple[Run, ...]
    loss: float  # core-seconds of work that is not saved


class Preemption:
    """Makes room for steps that wait."""

    def __init__(self, context: Context, lifecycle: Lifecycle) -> None:
        """Work on the shared state."""
        self._context = context
        self._lifecycle = lifecycle
        self._allowance = MIN_VICTIM_BURST
        self._allowance_updated_at = 0.0
        self._reservation_owners: dict[str, Step] = {}  # by service, the step that keeps workers free for long
        self._steps_with_reservations: set[Step] = set()  # steps with any claim

    def clear(self) -> None:
        """Forget everything."""
        self._allowance = MIN_VICTIM_BURST
        self._allowance_updated_at = 0.0
        self._reservation_owners.clear()
        self._steps_with_reservations.clear()

    def handle_blocked_steps(self, queue: WorkQueue, workers: Sequence[Worker], now: float) -> None:
        """See what the steps that found no room may do about it."""
        self._refill_allowance(now)
        urgent = 0
        may_reserve = True
        for step in queue.in_order():
            rank = queue.rank(step)
            if rank is None or step.blocked_since < 0.0 or rank[1] == DeadlineClass.EXPIRED:
                continue
            waited = now - step.blocked_since
            if rank[0] == URGENT_PRIORITY and not step.gang and urgent < MAX_URGENT_STEPS_PER_PASS:
                urgent += 1
                self._preempt_for(step, rank, workers, now)
            if may_reserve and waited >= (GANG_RESERVATION_DELAY_S if step.gang else TASK_RESERVATION_DELAY_S):
                may_reserve = False
                self._reserve_for(step, rank, workers, now)

    def release_reservations(self, step: Step) -> None:
        """A step waits no more: what it kept free is open to all."""
        if step not in self._steps_with_reservations:
            return
        self._steps_with_reservations.discard(step)
        if self._reservation_owners.get(step.job.service) is step:
            del self._reservation_owners[step.job.service]
        for worker in self._context.workers.values():
            if worker.reservation is not None and worker.reservation.step is step:
                worker.reservation = None
                self._context.dirty.add(worker)

    # ---- stopping others

    def _refill_allowance(self, now: float) -> None:
        passed = min(1.0, now - self._allowance_updated_at)
        self._allowance_updated_at = now
        rate = VICTIMS_PER_WORKER_PER_S * max(4, len(self._context.workers))
        self._allowance = min(max(MIN_VICTIM_BURST, rate), self._allowance + passed * rate)

    def _preempt_for(self, step: Step, rank: Rank, workers: Sequence[Worker], now: float) -> None:
        """Stop lower-ranked runs for the tasks of an urgent step."""
        if now < step.next_preemption:
            return
        until = now + self._context.figures.stop_s + STOP_SLACK_S
        for _ in range(len(step.waiting)):
            eviction = self._cheapest_eviction(step, workers, now)
            if eviction is None or len(eviction.victims) > self._allowance:
                return
            self._allowance -= len(eviction.victims)
            step.next_preemption = until
            eviction.worker.reservation = Reservation(step, rank, until)
            self._steps_with_reservations.add(step)
            for run in eviction.victims:
                run.task.preempted_at = now
                self._lifecycle.request_stop(run, StopCause.PREEMPTED)
            self._context.log.info("preempted", peer=eviction.worker.node, runs=len(eviction.victims), job=step.job.id)

    def _cheapest_eviction(self, step: Step, workers: Sequence[Worker], now: float) -> _Eviction | None:
        """The worker where room for one task costs the least work."""
        most = MAX_LOSS_RATIO * core_seconds(step, step.stage.estimate_s)
        best: _Eviction | None = None
        for worker in workers:
            if worker.reservation is not None and now < worker.reservation.until:
                continue
            if (
                worker.fits(step.demand)
                or not _meets_constraints(step, worker)
                or not worker.fits_when_empty(step.demand)
            ):
                continue
            eviction = self._plan_eviction(step, worker, now)
            if eviction is None or eviction.loss > most:
                continue
            if best is None or eviction.loss < best.loss:
                best = eviction
        return best

    def _plan_eviction(self, step: Step, worker: Worker, now: float) -> _Eviction | None:
        """The runs to stop on a worker, those that lose least first; None if it can't be done."""
        victims = [run for run in worker.runs.values() if self._is_preemptible(run, worker, now)]
        victims.sort(key=lambda run: unsaved_work(run, now))
        chosen: list[Run] = []
        loss = 0.0
        cpu, memory_mb, gpu = worker.free_cpu, worker.free_memory_mb, worker.free_gpu
        for run in victims:
            freed = run.task.step.demand
            chosen.append(run)
            loss += unsaved_work(run, now)
            cpu, memory_mb, gpu = cpu + freed.cpu, memory_mb + freed.memory_mb, gpu + freed.gpu
            if cpu >= step.demand.cpu and memory_mb >= step.demand.memory_mb and gpu >= step.demand.gpu:
                return _Eviction(worker, tuple(chosen), loss)
        return None

    def _is_preemptible(self, run: Run, worker: Worker, now: float) -> bool:
        """Whether a run may be stopped for an urgent task."""
        step = run.task.step
        return (
            run.instance == worker.instance
            and run.stop is None
            and not run.settled
            and self._context.priority_of(step) > URGENT_PRIORITY
            and now - run.task.preempted_at >= PREEMPTION_COOLDOWN_S
            and run.percent < NEARLY_DONE_PERCENT
        )

    # ---- keeping workers free

    def _reserve_for(self, step: Step, rank: Rank, workers: Sequence[Worker], now: float) -> None:
        """Keep workers free for a step, if no other of its service does."""
        service = step.job.service
        holder = self._reservation_owners.get(service)
        if holder is not None and any(_reserved_by(worker, holder, now) for worker in workers):
            return
        if now < step.no_claim_before:
            return
        chosen = _workers_to_reserve(step, workers, now)
        if not chosen:
            return
        lasts = min(MAX_RESERVATION_S, 1.0 + RESERVATION_ESTIMATE_FACTOR * step.stage.estimate_s)
        step.no_claim_before = now + 2.0 * lasts
        self._reservation_owners[service] = step
        self._steps_with_reservations.add(step)
        for worker in chosen:
            worker.reservation = Reservation(step, rank, now + lasts)


def core_seconds(step: Step, seconds: float) -> float:
    """Work that one task of a step does in so many seconds, a GPU counting as several cores."""
    return (step.demand.cpu / 1_000.0 + CORES_PER_GPU * step.demand.gpu) * seconds


def unsaved_work(run: Run, now: float) -> float:
    """Core-seconds that are lost if a run is stopped now, with its gang if it has one."""
    step = run.task.step
    kept = step.stage.long_running or step.stage.checkpoints  # a stop renews the checkpoint
    lost_s = RESTART_COST_S if kept else RESTART_COST_S + now - run.placed_at
    return core_seconds(step, lost_s) * (len(step.tasks) if step.gang else 1)


def _meets_constraints(step: Step, worker: Worker) -> bool:
    """Whether a step's tasks may run on a worker, room apart."""
    stage = step.stage
    if stage.node_selector and stage.node_selector not in worker.labels:
        return False
    return not stage.anti_affinity or step.on_node.get(worker.node, 0) < stage.anti_affinity


def _reserved_by(worker: Worker, step: Step, now: float) -> bool:
    reservation = worker.reservation
    return reservation is not None and reservation.step is step and now < reservation.until


def _workers_to_reserve(step: Step, workers: Sequence[Worker], now: float) -> list[Worker]:
    """The workers that will soonest have room for the whole step if nothing new starts there."""
    suited = [worker for worker in workers if _meets_constraints(step, worker) and worker.fits_when_empty(step.demand)]
    unclaimed = [worker for worker in suited if worker.reservation is None or now >= worker.reservation.until]
    if not step.gang:
        return sorted(unclaimed, key=_utilization)[:1]
    groups = racks_by_free_cpu(unclaimed) if step.stage.same_rack else []
    for group in [*groups, unclaimed]:
        chosen = _first_sufficient(step, sorted(group, key=_utilization))
        if chosen:
            return chosen
    return []


def _first_sufficient(step: Step, workers: Sequence[Worker]) -> list[Worker]:
    """The first of the workers that would together hold all tasks if they were empty."""
    chosen: list[Worker] = []
    room = 0
    for worker in workers:
        chosen.append(worker)
        room += _tasks_when_empty(step, worker)
        if room >= len(step.tasks):
            return chosen
    return []


def _tasks_when_empty(step: Step, worker: Worker) -> int:
    """How many tasks of the step an empty worker would hold."""
    capacity, demand = worker.capacity, step.demand
    pairs = ((capacity.cpu, demand.cpu), (capacity.memory_mb, demand.memory_mb), (capacity.gpu, demand.gpu))
    room = min((have // need for have, need in pairs if need), default=len(step.tasks))
    return min(room, step.stage.anti_affinity) if step.stage.anti_affinity else room


def _utilization(worker: Worker) -> float:
    """The share of a worker that is in use."""
    capacity = worker.capacity
    shares = [1.0 - worker.free_cpu / capacity.cpu] if capacity.cpu else [0.0]
    if capacity.gpu:
        shares.append(1.0 - worker.free_gpu / capacity.gpu)
    return max(shares)
