"""Rebuilds jobs, steps and runs from replicated state when this node becomes primary."""

from __future__ import annotations

from collections.abc import Mapping

from pipitledge.scheduling import gangs
from pipitledge.scheduling.admission import Admission
from pipitledge.scheduling.context import Context
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.records import StoredJob, StoredTask, read_state, task_key, terms_of
from pipitledge.scheduling.tasks import Job, Run, Step, StopCause, Task
from pipitledge.wire.messages import JobRecord, TaskPhase


class Restore:
    """Takes over from replicated state."""

    def __init__(self, context: Context, lifecycle: Lifecycle, admission: Admission) -> None:
        """Work on the shared state."""
        self._context = context
        self._lifecycle = lifecycle
        self._admission = admission

    def take(self, state: Mapping[str, bytes]) -> None:
        """Make everything in the state known, and go on with it."""
        stored = read_state(state)
        for key in stored.unreadable:
            self._context.log.warning("record_unreadable", step="restore", key=key)
        for key in stored.orphans:
            self._context.batch.delete(key)
        for job in sorted(stored.jobs.values(), key=lambda job: job.record.order):
            self._context.next_order = max(self._context.next_order, job.record.order + 1)
            self._take_job(job)

    def _take_job(self, stored: StoredJob) -> None:
        """Make one job known."""
        lifecycle = self._lifecycle
        if stored.submission is None:
            self._drop_tasks(stored.tasks)
            lifecycle.remember_ended(stored.record.id, stored.state)
            return
        job = self._new_job(stored)
        self._context.remember_route(job.terms)
        lifecycle.enter(job)
        for time in range(1 + max([self._last_due_time(job), *(task.name.time for task in stored.tasks)])):
            lifecycle.create_time(job, time)
        for task in stored.tasks:
            self._take_task(job, task)
        if job.open:
            self._go_on(job)
        else:
            self._finish(job)

    def _new_job(self, stored: StoredJob) -> Job:
        record: JobRecord = stored.record
        assert stored.submission is not None, "a job without its body is over"
        clock = self._context.clock
        age_s = max(0.0, (self._context.ports.wall_ms() - record.accepted_wall_ms) / 1_000.0)
        return Job(
            id=record.id,
            route=record.route,
            service=record.service,
            submission=stored.submission,
            body=record.body,
            accepted_wall_ms=record.accepted_wall_ms,
            order=record.order,
            accepted_at=clock.now() - age_s,
            terms=terms_of(record),
            state=stored.state,
            started=bool(stored.tasks),
            weight=self._admission.weigh(record.service, stored.submission),
        )

    def _last_due_time(self, job: Job) -> int:
        """The last of the job's times that has come due by this node's time of day; -1: none."""
        submission = job.submission
        if not submission.repeat_count:
            return 0
        past_ms = self._context.ports.wall_ms() - submission.start_at_ms
        if past_ms < 0:
            return -1
        last = past_ms // submission.interval_ms if submission.interval_ms else submission.times
        return min(submission.times - 1, last)

    def _take_task(self, job: Job, stored: StoredTask) -> None:
        """Bring one task to where its record says it stands."""
        name, record = stored.name, stored.record
        step = job.steps.get((name.time, name.step))
        if step is None or name.index >= len(step.tasks):
            self._context.batch.delete(task_key(str(name)))
            return
        task = step.tasks[name.index]
        task.recorded = True
        task.phase = TaskPhase(record.phase)
        task.last_run = record.run
        task.failures = record.failures
        task.saved = record.saved
        if task.phase is TaskPhase.DONE:
            step.undone -= 1
        elif task.phase is TaskPhase.ASSIGNED:
            self._take_run(task, record.node, record.instance)

    def _take_run(self, task: Task, node: str, instance: str) -> None:
        """A run may exist, and its order may have left."""
        now = self._context.clock.now()
        run = Run(task, task.last_run, node, instance, now, committed=True, ordered=True, resume=task.saved)
        run.saved = task.saved
        run.saved_at = run.progressed_at = now
        self._lifecycle.hold_room(run, self._context.worker(node))

    def _go_on(self, job: Job) -> None:
        """Queue what is due and does not run."""
        for step in list(job.steps.values()):
            stages = job.submission.stages
            earlier = set(stages[step.index].depends_on)
            step.awaited = sum(not job.steps[step.time, index].done for index in earlier)
        for time in job.undone_steps:
            steps = [job.steps[time, index] for index in range(len(job.submission.stages))]
            job.undone_steps[time] = sum(not step.done for step in steps)
            job.times_done += job.undone_steps[time] == 0
        for step in list(job.steps.values()):
            if not step.done and step.awaited == 0:
                self._go_on_step(step)
        self._lifecycle.complete_if_done(job)
        if job.open:
            self._lifecycle.open_due_times(job)

    def _go_on_step(self, step: Step) -> None:
        if step.gang:
            self._mend_gang(step)
        self._lifecycle.queue_if_ready(step)

    def _mend_gang(self, step: Step) -> None:
        """Stop the rest of a gang's run that one member has left."""
        runs = list(step.runs())
        if not runs:
            gangs.synchronize_members(step)
        elif len(runs) < len(step.tasks):
            for run in runs:
                self._lifecycle.request_stop(run, StopCause.GANG_BROKEN)

    def _finish(self, job: Job) -> None:
        """Stop what may still run of a job that is over."""
        self._lifecycle.forget_idle_tasks(job)
        self._lifecycle.stop_runs(job)
        self._lifecycle.retire_if_over(job)

    def _drop_tasks(self, tasks: list[StoredTask]) -> None:
        for task in tasks:
            self._context.batch.delete(task_key(str(task.name)))
