"""Computes the deadlines of stages from estimates, and corrects them by the actual durations of runs.

The objective of a job is `stretch` times its longest chain of work plus the target latency of its queue. The work is
what the tasks actually take, including runs that failed by themselves. Clients' estimates are rough, so each run that
ends corrects the expected duration of its stage.
"""

from __future__ import annotations

from pipitledge.scheduling.context import Context
from pipitledge.scheduling.job import remaining_chains_s, waves_of
from pipitledge.scheduling.tasks import Ending, Job, Run, Step, demand_of
from pipitledge.scheduling.workers import Worker

LATE_FACTOR = 3.0  # a job has some value left up to this multiple of its objective
START_DELAY_S = 0.03  # between the placement of a run and its start
MAX_ESTIMATE_OVERRUN = 3.0  # a run counts for at most this multiple of its estimate; beyond that its worker is to blame
DURATION_OUTCOMES = (Ending.DONE, Ending.FAILED)  # stopped runs do not show how long the work takes


class Objectives:
    """Sets the deadlines of stages."""

    def __init__(self, context: Context) -> None:
        """Work on the scheduler's shared state."""
        self._context = context

    def set_initial_deadlines(self, job: Job, occurrence: int) -> None:
        """Set the deadlines of an occurrence of a job that has become due."""
        begun_at = self._requested_at(job, occurrence)
        for index in range(len(job.submission.stages)):
            job.steps[occurrence, index].begun_at = begun_at
        self._update_deadlines(job, occurrence)

    def record_duration(self, run: Run, outcome: Ending) -> None:
        """Correct the expected duration of a stage by a run that has ended."""
        step = run.task.step
        if outcome not in DURATION_OUTCOMES or step.stage.long_running or run.resume:
            return
        task = run.task
        task.worked_s += self._normalized_work_s(run)
        step.longest_s = max(step.longest_s, task.worked_s)
        if outcome is Ending.DONE:
            step.ended += 1
            step.ended_s += task.worked_s
        self._update_deadlines(step.job, step.time)

    # ---- durations of jobs

    def _update_deadlines(self, job: Job, occurrence: int) -> None:
        """Set the deadlines of all stages of an occurrence from the present estimates."""
        route = self._context.route(job.route)
        stretch = route.stretch if route is not None else 1.0
        target_s = route.target_latency_ms / 1_000.0 if route is not None else 0.0
        stages = job.submission.stages
        steps = [job.steps[occurrence, index] for index in range(len(stages))]
        waves = self._waves(job)
        lengths = [_longest_task_s(step) * max(1.0, count) for step, count in zip(steps, waves, strict=True)]
        chains = remaining_chains_s(stages, lengths)
        objective_s = stretch * max(chains) + target_s
        drain_s = self._drain_s(steps)
        for step, chain in zip(steps, chains, strict=True):
            step.deadline = step.begun_at + objective_s
            step.late_deadline = step.begun_at + LATE_FACTOR * objective_s
            step.latest_start = step.deadline - chain
            step.drain_s = drain_s

    def _requested_at(self, job: Job, occurrence: int) -> float:
        """Return when an occurrence became due, or its job was accepted, in steady time."""
        due_ms = job.submission.due_ms(occurrence)
        if not due_ms:
            return job.accepted_at
        now = self._context.clock.now()
        return now - max(0.0, (self._context.ports.wall_ms() - due_ms) / 1_000.0)

    def _waves(self, job: Job) -> tuple[float, ...]:
        """Return the number of waves in which each stage of the job runs on the present workers."""
        capacity = self._context.room(job.service)
        stages = job.submission.stages
        return tuple(waves_of(stage, capacity.share_of(demand_of(stage)), capacity.workers) for stage in stages)

    def _drain_s(self, steps: list[Step]) -> float:
        """Return how long the unfinished work of an occurrence would keep all workers of its service busy."""
        capacity = self._context.room(steps[0].job.service)
        if not capacity.workers:
            return 0.0
        return (
            sum(step.undone * capacity.share_of(step.demand) * _mean_task_s(step) for step in steps) / capacity.workers
        )

    # ---- durations of runs

    def _normalized_work_s(self, run: Run) -> float:
        """Return how long a run would have taken on a worker of normal speed near its data."""
        stage = run.task.step.stage
        elapsed_s = max(0.0, self._context.clock.now() - run.placed_at - START_DELAY_S)
        worker = self._context.workers.get(run.node)
        if worker is not None:
            elapsed_s *= min(1.0, worker.health.speed)
            if _is_far(run.task.step, worker):
                elapsed_s /= max(1.0, self._context.figures.bounds.far_x)
        return min(elapsed_s, MAX_ESTIMATE_OVERRUN * stage.estimate_s)


def _is_far(step: Step, worker: Worker) -> bool:
    """Whether a worker is not near the data of a stage."""
    return bool(step.stage.affinity) and step.stage.affinity not in worker.labels


def _longest_task_s(step: Step) -> float:
    """Return the expected duration of the longest task of a stage."""
    return max(step.longest_s, _mean_task_s(step))


def _mean_task_s(step: Step) -> float:
    """Return the mean duration of the stage's completed tasks; the client's estimate while there are none."""
    return step.ended_s / step.ended if step.ended else step.stage.estimate_s
