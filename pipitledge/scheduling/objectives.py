"""Computes the deadlines of stages from estimates, and corrects them by the actual durations of runs.

The objective of a job is `stretch` times its longest chain of work plus the target latency of its queue. The work is
what the tasks actually take, including runs that failed by themselves. Clients' estimates are rough, so each run that
ends corrects the expected duration of its stage.
"""

from __future__ import annotations

from pipitledge.scheduling.context import Context
from pipitledge.scheduling.job import critical_paths_s, wave_count
from pipitledge.scheduling.tasks import Job, Run, RunOutcome, TaskGroup, resource_request_of
from pipitledge.scheduling.workers import Worker

LATE_FACTOR = 3.0  # a job has some value left up to this multiple of its objective
START_DELAY_S = 0.03  # between the placement of a run and its start
MAX_ESTIMATE_OVERRUN = 3.0  # a run counts for at most this multiple of its estimate; beyond that its worker is to blame
DURATION_OUTCOMES = (RunOutcome.DONE, RunOutcome.FAILED)  # stopped runs do not show how long the work takes


class Objectives:
    """Sets the deadlines of stages."""

    def __init__(self, context: Context) -> None:
        """Work on the scheduler's shared state."""
        self._context = context

    def set_initial_deadlines(self, job: Job, occurrence: int) -> None:
        """Set the deadlines of an occurrence of a job that has become due."""
        requested_at = self._requested_at(job, occurrence)
        for index in range(len(job.submission.stages)):
            job.task_groups[occurrence, index].requested_at = requested_at
        self._update_deadlines(job, occurrence)

    def record_duration(self, run: Run, outcome: RunOutcome) -> None:
        """Correct the expected duration of a stage by a run that has ended."""
        task_group = run.task.task_group
        if outcome not in DURATION_OUTCOMES or task_group.stage.long_running or run.start_checkpoint:
            return
        task = run.task
        task.worked_s += self._normalized_work_s(run)
        task_group.measured_max_s = max(task_group.measured_max_s, task.worked_s)
        if outcome is RunOutcome.DONE:
            task_group.measured_tasks += 1
            task_group.measured_total_s += task.worked_s
        self._update_deadlines(task_group.job, task_group.occurrence)

    # ---- durations of jobs

    def _update_deadlines(self, job: Job, occurrence: int) -> None:
        """Set the deadlines of all stages of an occurrence from the present estimates."""
        route = self._context.route(job.route)
        stretch = route.stretch if route is not None else 1.0
        target_s = route.target_latency_ms / 1_000.0 if route is not None else 0.0
        stages = job.submission.stages
        task_groups = [job.task_groups[occurrence, index] for index in range(len(stages))]
        waves = self._waves(job)
        lengths = [
            _longest_task_s(task_group) * max(1.0, count) for task_group, count in zip(task_groups, waves, strict=True)
        ]
        chains = critical_paths_s(stages, lengths)
        objective_s = stretch * max(chains) + target_s
        drain_s = self._drain_s(task_groups)
        for task_group, chain in zip(task_groups, chains, strict=True):
            task_group.deadline = task_group.requested_at + objective_s
            task_group.late_deadline = task_group.requested_at + LATE_FACTOR * objective_s
            task_group.latest_start = task_group.deadline - chain
            task_group.drain_s = drain_s

    def _requested_at(self, job: Job, occurrence: int) -> float:
        """Return when an occurrence became due, or its job was accepted, in steady time."""
        due_ms = job.submission.due_ms(occurrence)
        if not due_ms:
            return job.accepted_at
        now = self._context.clock.now()
        return now - max(0.0, (self._context.ports.wall_ms() - due_ms) / 1_000.0)

    def _waves(self, job: Job) -> tuple[float, ...]:
        """Return the number of waves in which each stage of the job runs on the present workers."""
        capacity = self._context.service_capacity(job.service)
        stages = job.submission.stages
        return tuple(
            wave_count(stage, capacity.share_of(resource_request_of(stage)), capacity.workers) for stage in stages
        )

    def _drain_s(self, task_groups: list[TaskGroup]) -> float:
        """Return how long the unfinished work of an occurrence would keep all workers of its service busy."""
        capacity = self._context.service_capacity(task_groups[0].job.service)
        if not capacity.workers:
            return 0.0
        return (
            sum(
                task_group.unfinished_tasks * capacity.share_of(task_group.resource_request) * _mean_task_s(task_group)
                for task_group in task_groups
            )
            / capacity.workers
        )

    # ---- durations of runs

    def _normalized_work_s(self, run: Run) -> float:
        """Return how long a run would have taken on a worker of normal speed near its data."""
        stage = run.task.task_group.stage
        elapsed_s = max(0.0, self._context.clock.now() - run.placed_at - START_DELAY_S)
        worker = self._context.workers.get(run.node)
        if worker is not None:
            elapsed_s *= min(1.0, worker.health.speed)
            if _is_far(run.task.task_group, worker):
                elapsed_s /= max(1.0, self._context.timings.bounds.far_x)
        return min(elapsed_s, MAX_ESTIMATE_OVERRUN * stage.estimate_s)


def _is_far(task_group: TaskGroup, worker: Worker) -> bool:
    """Whether a worker is not near the data of a stage."""
    return bool(task_group.stage.affinity) and task_group.stage.affinity not in worker.labels


def _longest_task_s(task_group: TaskGroup) -> float:
    """Return the expected duration of the longest task of a stage."""
    return max(task_group.measured_max_s, _mean_task_s(task_group))


def _mean_task_s(task_group: TaskGroup) -> float:
    """Return the mean duration of the stage's completed tasks; the client's estimate while there are none."""
    return (
        task_group.measured_total_s / task_group.measured_tasks
        if task_group.measured_tasks
        else task_group.stage.estimate_s
    )
