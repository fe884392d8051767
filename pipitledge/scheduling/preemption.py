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
from pipitledge.scheduling.placement import racks_by_room
from pipitledge.scheduling.queue_order import URGENT_PRIORITY, Band, Rank, WorkQueue
from pipitledge.scheduling.tasks import Run, StopCause, TaskGroup
from pipitledge.scheduling.workers import Claim, Worker

URGENT_AT_ONCE = 4  # steps for which others are stopped in one pass
VICTIMS_PER_WORKER_S = 0.5  # rate at which runs are stopped, by workers
MOST_VICTIMS_AT_ONCE = 8.0
SPARED_FOR_S = 6.0  # a task that was stopped for another isn't stopped again so soon
NEARLY_DONE = 90.0  # percent: such a run is let be
WORTH_PART = 3.0  # work lost for a task, against the work that the task is
GPU_CORES = 8.0  # a GPU counts as so many cores
CLAIM_AFTER_S = 0.5  # of waiting for room, a gang keeps workers free
CLAIM_SINGLE_AFTER_S = 1.5  # and a single task
CLAIM_ESTIMATES = 1.5  # times its estimate that it may keep them
LONGEST_CLAIM_S = 10.0
STOP_SLACK_S = 0.5
RESTART_S = 0.5  # that a run takes until it is at work again


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
        self._allowance = MOST_VICTIMS_AT_ONCE
        self._allowed_at = 0.0
        self._claimants: dict[str, TaskGroup] = {}  # by service, the step that keeps workers free for long
        self._holders: set[TaskGroup] = set()  # steps with any claim

    def clear(self) -> None:
        """Forget everything."""
        self._allowance = MOST_VICTIMS_AT_ONCE
        self._allowed_at = 0.0
        self._claimants.clear()
        self._holders.clear()

    def make_room(self, queue: WorkQueue, workers: Sequence[Worker], now: float) -> None:
        """See what the steps that found no room may do about it."""
        self._renew_allowance(now)
        urgent = 0
        may_claim = True
        for task_group in queue.in_order():
            rank = queue.rank(task_group)
            if rank is None or task_group.blocked_since < 0.0 or rank[1] == Band.NOTHING:
                continue
            waited = now - task_group.blocked_since
            if rank[0] == URGENT_PRIORITY and not task_group.gang and urgent < URGENT_AT_ONCE:
                urgent += 1
                self._preempt_for(task_group, rank, workers, now)
            if may_claim and waited >= (CLAIM_AFTER_S if task_group.gang else CLAIM_SINGLE_AFTER_S):
                may_claim = False
                self._claim_for(task_group, rank, workers, now)

    def satisfied(self, task_group: TaskGroup) -> None:
        """A step waits no more: what it kept free is open to all."""
        if task_group not in self._holders:
            return
        self._holders.discard(task_group)
        if self._claimants.get(task_group.job.service) is task_group:
            del self._claimants[task_group.job.service]
        for worker in self._context.workers.values():
            if worker.claim is not None and worker.claim.task_group is task_group:
                worker.claim = None
                self._context.dirty_workers.add(worker)

    # ---- stopping others

    def _renew_allowance(self, now: float) -> None:
        passed = min(1.0, now - self._allowed_at)
        self._allowed_at = now
        rate = VICTIMS_PER_WORKER_S * max(4, len(self._context.workers))
        self._allowance = min(max(MOST_VICTIMS_AT_ONCE, rate), self._allowance + passed * rate)

    def _preempt_for(self, task_group: TaskGroup, rank: Rank, workers: Sequence[Worker], now: float) -> None:
        """Stop lower-ranked runs for the tasks of an urgent step."""
        if now < task_group.next_preemption:
            return
        until = now + self._context.timings.stop_s + STOP_SLACK_S
        for _ in range(len(task_group.waiting)):
            eviction = self._cheapest(task_group, workers, now)
            if eviction is None or len(eviction.victims) > self._allowance:
                return
            self._allowance -= len(eviction.victims)
            task_group.next_preemption = until
            eviction.worker.claim = Claim(task_group, rank, until)
            self._holders.add(task_group)
            for run in eviction.victims:
                run.task.preempted_at = now
                self._lifecycle.request_stop(run, StopCause.PREEMPTED)
            self._context.log.info(
                "preempted", peer=eviction.worker.node, runs=len(eviction.victims), job=task_group.job.id
            )

    def _cheapest(self, task_group: TaskGroup, workers: Sequence[Worker], now: float) -> _Eviction | None:
        """The worker where room for one task costs the least work."""
        most = WORTH_PART * core_seconds(task_group, task_group.stage.estimate_s)
        best: _Eviction | None = None
        for worker in workers:
            if worker.claim is not None and now < worker.claim.until:
                continue
            if (
                worker.fits(task_group.resource_request)
                or not _suits(task_group, worker)
                or not worker.could_fit(task_group.resource_request)
            ):
                continue
            eviction = self._evict(task_group, worker, now)
            if eviction is None or eviction.loss > most:
                continue
            if best is None or eviction.loss < best.loss:
                best = eviction
        return best

    def _evict(self, task_group: TaskGroup, worker: Worker, now: float) -> _Eviction | None:
        """The runs to stop on a worker, those that lose least first; None if it can't be done."""
        victims = [run for run in worker.runs.values() if self._may_stop(run, worker, now)]
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

    def _may_stop(self, run: Run, worker: Worker, now: float) -> bool:
        """Whether a run may be stopped for an urgent task."""
        task_group = run.task.task_group
        return (
            run.instance == worker.instance
            and run.stop_cause is None
            and not run.settled
            and self._context.priority_of(task_group) > URGENT_PRIORITY
            and now - run.task.preempted_at >= SPARED_FOR_S
            and run.percent < NEARLY_DONE
        )

    # ---- keeping workers free

    def _claim_for(self, task_group: TaskGroup, rank: Rank, workers: Sequence[Worker], now: float) -> None:
        """Keep workers free for a step, if no other of its service does."""
        service = task_group.job.service
        holder = self._claimants.get(service)
        if holder is not None and any(_claimed_by(worker, holder, now) for worker in workers):
            return
        if now < task_group.no_reservation_before:
            return
        chosen = _most_promising(task_group, workers, now)
        if not chosen:
            return
        lasts = min(LONGEST_CLAIM_S, 1.0 + CLAIM_ESTIMATES * task_group.stage.estimate_s)
        task_group.no_reservation_before = now + 2.0 * lasts
        self._claimants[service] = task_group
        self._holders.add(task_group)
        for worker in chosen:
            worker.claim = Claim(task_group, rank, now + lasts)


def core_seconds(task_group: TaskGroup, seconds: float) -> float:
    """Work that one task of a step does in so many seconds, a GPU counting as several cores."""
    return (task_group.resource_request.cpu / 1_000.0 + GPU_CORES * task_group.resource_request.gpu) * seconds


def unsaved_work(run: Run, now: float) -> float:
    """Core-seconds that are lost if a run is stopped now, with its gang if it has one."""
    task_group = run.task.task_group
    kept = task_group.stage.long_running or task_group.stage.checkpoints  # a stop renews the checkpoint
    lost_s = RESTART_S if kept else RESTART_S + now - run.placed_at
    return core_seconds(task_group, lost_s) * (len(task_group.tasks) if task_group.gang else 1)


def _suits(task_group: TaskGroup, worker: Worker) -> bool:
    """Whether a step's tasks may run on a worker, room apart."""
    stage = task_group.stage
    if stage.node_selector and stage.node_selector not in worker.labels:
        return False
    return not stage.anti_affinity or task_group.runs_per_node.get(worker.node, 0) < stage.anti_affinity


def _claimed_by(worker: Worker, task_group: TaskGroup, now: float) -> bool:
    claim = worker.claim
    return claim is not None and claim.task_group is task_group and now < claim.until


def _most_promising(task_group: TaskGroup, workers: Sequence[Worker], now: float) -> list[Worker]:
    """The workers that will soonest have room for the whole step if nothing new starts there."""
    suited = [
        worker for worker in workers if _suits(task_group, worker) and worker.could_fit(task_group.resource_request)
    ]
    unclaimed = [worker for worker in suited if worker.claim is None or now >= worker.claim.until]
    if not task_group.gang:
        return sorted(unclaimed, key=_fullness)[:1]
    groups = racks_by_room(unclaimed) if task_group.stage.same_rack else []
    for group in [*groups, unclaimed]:
        chosen = _enough_for(task_group, sorted(group, key=_fullness))
        if chosen:
            return chosen
    return []


def _enough_for(task_group: TaskGroup, workers: Sequence[Worker]) -> list[Worker]:
    """The first of the workers that would together hold all tasks if they were empty."""
    chosen: list[Worker] = []
    room = 0
    for worker in workers:
        chosen.append(worker)
        room += _tasks_when_empty(task_group, worker)
        if room >= len(task_group.tasks):
            return chosen
    return []


def _tasks_when_empty(task_group: TaskGroup, worker: Worker) -> int:
    """How many tasks of the step an empty worker would hold."""
    capacity, resource_request = worker.capacity, task_group.resource_request
    pairs = (
        (capacity.cpu, resource_request.cpu),
        (capacity.memory_mb, resource_request.memory_mb),
        (capacity.gpu, resource_request.gpu),
    )
    room = min((have // need for have, need in pairs if need), default=len(task_group.tasks))
    return min(room, task_group.stage.anti_affinity) if task_group.stage.anti_affinity else room


def _fullness(worker: Worker) -> float:
    """The share of a worker that is in use."""
    capacity = worker.capacity
    shares = [1.0 - worker.free_cpu / capacity.cpu] if capacity.cpu else [0.0]
    if capacity.gpu:
        shares.append(1.0 - worker.free_gpu / capacity.gpu)
    return max(shares)
