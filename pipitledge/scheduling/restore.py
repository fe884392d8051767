"""Rebuilds jobs, task groups and runs from replicated state when this node becomes primary."""

from __future__ import annotations

from collections.abc import Mapping

from pipitledge.scheduling import gangs
from pipitledge.scheduling.admission import Admission
from pipitledge.scheduling.context import Context
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.records import StoredJob, StoredTask, admitted_route_of, read_state, task_key
from pipitledge.scheduling.tasks import Job, Run, StopCause, Task, TaskGroup
from pipitledge.wire.messages import JobRecord, TaskPhase


class StateRestorer:
    """Rebuilds the state of the scheduler from the records in replicated state."""

    def __init__(self, context: Context, lifecycle: Lifecycle, admission: Admission) -> None:
        """Work on the shared state."""
        self._context = context
        self._lifecycle = lifecycle
        self._admission = admission

    def restore(self, state: Mapping[str, bytes]) -> None:
        """Restore all jobs from replicated state and continue them; delete task records that have no job."""
        stored = read_state(state)
        for key in stored.unreadable:
            self._context.log.warning("record_unreadable", step="restore", key=key)
        for key in stored.orphans:
            self._context.batch.delete(key)
        for job in sorted(stored.jobs.values(), key=lambda job: job.record.order):
            self._context.next_order = max(self._context.next_order, job.record.order + 1)
            self._restore_job(job)

    def _restore_job(self, stored: StoredJob) -> None:
        """Restore one job with its tasks; of a job that was reduced to its final state only that is kept."""
        lifecycle = self._lifecycle
        if stored.submission is None:
            self._delete_task_records(stored.tasks)
            lifecycle.remember_ended(stored.record.id, stored.state)
            return
        job = self._new_job(stored)
        self._context.remember_route(job.admitted_route)
        lifecycle.add_job(job)
        for occurrence in range(
            1 + max([self._last_due_occurrence(job), *(task.name.occurrence for task in stored.tasks)])
        ):
            lifecycle.create_occurrence(job, occurrence)
        for task in stored.tasks:
            self._restore_task(job, task)
        if job.open:
            self._continue_job(job)
        else:
            self._finish_ended_job(job)

    def _new_job(self, stored: StoredJob) -> Job:
        record: JobRecord = stored.record
        assert stored.submission is not None, "a job record without a body is of an ended job"
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
            admitted_route=admitted_route_of(record),
            state=stored.state,
            started=bool(stored.tasks),
            weight=self._admission.weigh(record.service, stored.submission),
        )

    def _last_due_occurrence(self, job: Job) -> int:
        """Return the last occurrence that has come due by the wall clock of this node; -1 if none has."""
        submission = job.submission
        if not submission.repeat_count:
            return 0
        past_ms = self._context.ports.wall_ms() - submission.start_at_ms
        if past_ms < 0:
            return -1
        last = past_ms // submission.interval_ms if submission.interval_ms else submission.occurrences
        return min(submission.occurrences - 1, last)

    def _restore_task(self, job: Job, stored: StoredTask) -> None:
        """Restore one task from its record."""
        name, record = stored.name, stored.record
        task_group = job.task_groups.get((name.occurrence, name.stage))
        if task_group is None or name.index >= len(task_group.tasks):
            self._context.batch.delete(task_key(str(name)))
            return
        task = task_group.tasks[name.index]
        task.has_record = True
        task.phase = TaskPhase(record.phase)
        task.last_run = record.run
        task.failures = record.failures
        task.checkpoint = record.saved
        if task.phase is TaskPhase.DONE:
            task_group.unfinished_tasks -= 1
        elif task.phase is TaskPhase.ASSIGNED:
            self._restore_run(task, record.node, record.instance)

    def _restore_run(self, task: Task, node: str, instance: str) -> None:
        """Restore an assigned run; the earlier primary may have sent its start order."""
        now = self._context.clock.now()
        run = Run(
            task, task.last_run, node, instance, now, committed=True, start_sent=True, start_checkpoint=task.checkpoint
        )
        run.checkpoint = task.checkpoint
        run.checkpoint_at = run.progressed_at = now
        self._lifecycle.allocate(run, self._context.worker(node))

    def _continue_job(self, job: Job) -> None:
        """Recount the unfinished work of an open job, and queue what is due and not running."""
        for task_group in list(job.task_groups.values()):
            stages = job.submission.stages
            earlier = set(stages[task_group.index].depends_on)
            task_group.unmet_dependencies = sum(
                not job.task_groups[task_group.occurrence, index].done for index in earlier
            )
        for occurrence in job.unfinished_task_groups:
            task_groups = [job.task_groups[occurrence, index] for index in range(len(job.submission.stages))]
            job.unfinished_task_groups[occurrence] = sum(not task_group.done for task_group in task_groups)
            job.completed_occurrences += job.unfinished_task_groups[occurrence] == 0
        for task_group in list(job.task_groups.values()):
            if not task_group.done and task_group.unmet_dependencies == 0:
                self._continue_task_group(task_group)
        self._lifecycle.complete_if_done(job)
        if job.open:
            self._lifecycle.start_due_occurrences(job)

    def _continue_task_group(self, task_group: TaskGroup) -> None:
        if task_group.gang:
            self._repair_gang(task_group)
        self._lifecycle.queue_if_ready(task_group)

    def _repair_gang(self, task_group: TaskGroup) -> None:
        """Stop the remaining runs of a gang if some of its members have none."""
        runs = list(task_group.runs())
        if not runs:
            gangs.synchronize_members(task_group)
        elif len(runs) < len(task_group.tasks):
            for run in runs:
                self._lifecycle.request_stop(run, StopCause.GANG_BROKEN)

    def _finish_ended_job(self, job: Job) -> None:
        """Stop the runs that an ended job may still have."""
        self._lifecycle.delete_idle_task_records(job)
        self._lifecycle.stop_runs(job)
        self._lifecycle.retire_if_over(job)

    def _delete_task_records(self, tasks: list[StoredTask]) -> None:
        for task in tasks:
            self._context.batch.delete(task_key(str(task.name)))
