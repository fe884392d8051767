"""By when steps must start for their jobs to earn: reckoned from estimates, and anew from what runs turn out to take.

The objective of a job is `stretch` times its longest chain of work, and its queue's target latency. The work is what
its tasks really take, the runs that failed by their own fault included. Clients' estimates are rough, so each end of a
run of a step corrects the length of that step.
"""

from __future__ import annotations

from pipitledge.scheduling.context import Context
from pipitledge.scheduling.job import remaining_chains_s, waves_of
from pipitledge.scheduling.tasks import Ending, Job, Run, Step, demand_of
from pipitledge.scheduling.workers import Worker

LATE_FACTOR = 3.0  # up to so many times its objective a job still earns a little
START_DELAY_S = 0.03  # from its placing until a run begins
MAX_ESTIMATE_OVERRUN = (
    3.0  # times its estimate that a run counts for: a longer one tells of its worker, not of its work
)
DURATION_OUTCOMES = (Ending.DONE, Ending.FAILED)


class Objectives:
    """Sets the deadlines of steps."""

    def __init__(self, context: Context) -> None:
        """Work on the shared state."""
        self._context = context

    def set_initial_deadlines(self, job: Job, time: int) -> None:
        """Set the deadlines of one of the job's times, which has come due."""
        begun_at = self._requested_at(job, time)
        for index in range(len(job.submission.stages)):
            job.steps[time, index].begun_at = begun_at
        self._update_deadlines(job, time)

    def record_duration(self, run: Run, ending: Ending) -> None:
        """Learn from the end of a run how long its step takes."""
        step = run.task.step
        if ending not in DURATION_OUTCOMES or step.stage.long_running or run.resume:
            return
        task = run.task
        task.worked_s += self._normalized_work_s(run)
        step.longest_s = max(step.longest_s, task.worked_s)
        if ending is Ending.DONE:
            step.ended += 1
            step.ended_s += task.worked_s
        self._update_deadlines(step.job, step.time)

    # ---- what a job takes

    def _update_deadlines(self, job: Job, time: int) -> None:
        """Set the deadlines by what is known now."""
        route = self._context.route(job.route)
        stretch = route.stretch if route is not None else 1.0
        target_s = route.target_latency_ms / 1_000.0 if route is not None else 0.0
        stages = job.submission.stages
        steps = [job.steps[time, index] for index in range(len(stages))]
        waves = self._waves(job)
        lengths = [_longest_task_s(step) * max(1.0, turns) for step, turns in zip(steps, waves, strict=True)]
        chains = remaining_chains_s(stages, lengths)
        objective_s = stretch * max(chains) + target_s
        drain_s = self._drain_s(steps)
        for step, chain in zip(steps, chains, strict=True):
            step.deadline = step.begun_at + objective_s
            step.late_deadline = step.begun_at + LATE_FACTOR * objective_s
            step.latest_start = step.deadline - chain
            step.drain_s = drain_s

    def _requested_at(self, job: Job, time: int) -> float:
        """When (steady time) the work of one time was asked for."""
        due_ms = job.submission.due_ms(time)
        if not due_ms:
            return job.accepted_at
        now = self._context.clock.now()
        return now - max(0.0, (self._context.ports.wall_ms() - due_ms) / 1_000.0)

    def _waves(self, job: Job) -> tuple[float, ...]:
        """In how many waves each of its steps runs, by the workers there are."""
        room = self._context.room(job.service)
        stages = job.submission.stages
        return tuple(waves_of(stage, room.share_of(demand_of(stage)), room.workers) for stage in stages)

    def _drain_s(self, steps: list[Step]) -> float:
        """For how long what is undone of one time of a job would keep all workers of its service busy."""
        room = self._context.room(steps[0].job.service)
        if not room.workers:
            return 0.0
        return sum(step.undone * room.share_of(step.demand) * _mean_task_s(step) for step in steps) / room.workers

    # ---- what a run took

    def _normalized_work_s(self, run: Run) -> float:
        """How long a run would have taken on a sound worker near its data."""
        stage = run.task.step.stage
        elapsed_s = max(0.0, self._context.clock.now() - run.placed_at - START_DELAY_S)
        worker = self._context.workers.get(run.node)
        if worker is not None:
            elapsed_s *= min(1.0, worker.health.speed)
            if _is_far(run.task.step, worker):
                elapsed_s /= max(1.0, self._context.figures.bounds.far_x)
        return min(elapsed_s, MAX_ESTIMATE_OVERRUN * stage.estimate_s)


def _is_far(step: Step, worker: Worker) -> bool:
    """Whether a worker is away from the data of a step."""
    return bool(step.stage.affinity) and step.stage.affinity not in worker.labels


def _longest_task_s(step: Step) -> float:
    """How long the longest of a step's tasks takes, as far as is known."""
    return max(step.longest_s, _mean_task_s(step))


def _mean_task_s(step: Step) -> float:
    """How long a step's tasks take in the mean: by those that have ended, else by the estimate."""
    return step.ended_s / step.ended if step.ended else step.stage.estimate_s
