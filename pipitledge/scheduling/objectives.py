"""By when steps must start for their jobs to earn: reckoned from estimates, and anew from what runs turn out to take.

The objective of a job is `stretch` times its longest chain of work, and its queue's target latency. The work is what
its tasks really take, the runs that failed by their own fault included. Clients' estimates are rough, so each end of a
run of a step corrects the length of that step.
"""

from __future__ import annotations

from pipitledge.scheduling.context import Context
from pipitledge.scheduling.job import critical_paths_s, wave_count
from pipitledge.scheduling.tasks import Job, Run, RunOutcome, TaskGroup, resource_request_of
from pipitledge.scheduling.workers import Worker

LATE_FACTOR = 3.0  # up to so many times its objective a job still earns a little
START_S = 0.03  # from its placing until a run begins
MOST_BEYOND_ESTIMATE = (
    3.0  # times its estimate that a run counts for: a longer one tells of its worker, not of its work
)
OWN_ENDINGS = (RunOutcome.DONE, RunOutcome.FAILED)


class Objectives:
    """Sets the deadlines of steps."""

    def __init__(self, context: Context) -> None:
        """Work on the shared state."""
        self._context = context

    def begin(self, job: Job, occurrence: int) -> None:
        """Set the deadlines of one of the job's times, which has come due."""
        requested_at = self._begin_of(job, occurrence)
        for index in range(len(job.submission.stages)):
            job.task_groups[occurrence, index].requested_at = requested_at
        self._reckon(job, occurrence)

    def observe(self, run: Run, ending: RunOutcome) -> None:
        """Learn from the end of a run how long its step takes."""
        task_group = run.task.task_group
        if ending not in OWN_ENDINGS or task_group.stage.long_running or run.start_checkpoint:
            return
        task = run.task
        task.worked_s += self._work_s(run)
        task_group.measured_max_s = max(task_group.measured_max_s, task.worked_s)
        if ending is RunOutcome.DONE:
            task_group.measured_tasks += 1
            task_group.measured_total_s += task.worked_s
        self._reckon(task_group.job, task_group.occurrence)

    # ---- what a job takes

    def _reckon(self, job: Job, occurrence: int) -> None:
        """Set the deadlines by what is known now."""
        route = self._context.route(job.route)
        stretch = route.stretch if route is not None else 1.0
        target_s = route.target_latency_ms / 1_000.0 if route is not None else 0.0
        stages = job.submission.stages
        task_groups = [job.task_groups[occurrence, index] for index in range(len(stages))]
        waves = self._waves(job)
        lengths = [
            _length_s(task_group) * max(1.0, turns) for task_group, turns in zip(task_groups, waves, strict=True)
        ]
        chains = critical_paths_s(stages, lengths)
        objective_s = stretch * max(chains) + target_s
        drain_s = self._drain_s(task_groups)
        for task_group, chain in zip(task_groups, chains, strict=True):
            task_group.deadline = task_group.requested_at + objective_s
            task_group.late_deadline = task_group.requested_at + LATE_FACTOR * objective_s
            task_group.latest_start = task_group.deadline - chain
            task_group.drain_s = drain_s

    def _begin_of(self, job: Job, occurrence: int) -> float:
        """When (steady time) the work of one time was asked for."""
        due_ms = job.submission.due_ms(occurrence)
        if not due_ms:
            return job.accepted_at
        now = self._context.clock.now()
        return now - max(0.0, (self._context.ports.wall_ms() - due_ms) / 1_000.0)

    def _waves(self, job: Job) -> tuple[float, ...]:
        """In how many waves each of its steps runs, by the workers there are."""
        service_capacity = self._context.service_capacity(job.service)
        stages = job.submission.stages
        return tuple(
            wave_count(stage, service_capacity.share_of(resource_request_of(stage)), service_capacity.workers)
            for stage in stages
        )

    def _drain_s(self, task_groups: list[TaskGroup]) -> float:
        """For how long what is undone of one time of a job would keep all workers of its service busy."""
        service_capacity = self._context.service_capacity(task_groups[0].job.service)
        if not service_capacity.workers:
            return 0.0
        return (
            sum(
                task_group.unfinished_tasks
                * service_capacity.share_of(task_group.resource_request)
                * _usual_s(task_group)
                for task_group in task_groups
            )
            / service_capacity.workers
        )

    # ---- what a run took

    def _work_s(self, run: Run) -> float:
        """How long a run would have taken on a sound worker near its data."""
        stage = run.task.task_group.stage
        elapsed_s = max(0.0, self._context.clock.now() - run.placed_at - START_S)
        worker = self._context.workers.get(run.node)
        if worker is not None:
            elapsed_s *= min(1.0, worker.health.speed)
            if _is_far(run.task.task_group, worker):
                elapsed_s /= max(1.0, self._context.timings.bounds.far_x)
        return min(elapsed_s, MOST_BEYOND_ESTIMATE * stage.estimate_s)


def _is_far(task_group: TaskGroup, worker: Worker) -> bool:
    """Whether a worker is away from the data of a step."""
    return bool(task_group.stage.affinity) and task_group.stage.affinity not in worker.labels


def _length_s(task_group: TaskGroup) -> float:
    """How long the longest of a step's tasks takes, as far as is known."""
    return max(task_group.measured_max_s, _usual_s(task_group))


def _usual_s(task_group: TaskGroup) -> float:
    """How long a step's tasks take in the mean: by those that have ended, else by the estimate."""
    return (
        task_group.measured_total_s / task_group.measured_tasks
        if task_group.measured_tasks
        else task_group.stage.estimate_s
    )
