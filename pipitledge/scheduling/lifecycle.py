"""State changes of jobs, task groups, tasks and runs, and the records that each change writes."""

from __future__ import annotations

import heapq
from collections import deque

from pipitledge.scheduling import gangs
from pipitledge.scheduling.context import Context
from pipitledge.scheduling.health_tracker import HealthTracker
from pipitledge.scheduling.objectives import START_DELAY_S, Objectives
from pipitledge.scheduling.records import encode_job, encode_task, job_key, task_key
from pipitledge.scheduling.tasks import Job, Run, RunOutcome, StopCause, Task, TaskGroup, new_task_group
from pipitledge.scheduling.workers import Worker
from pipitledge.wire.messages import JobState, TaskPhase

RETENTION_FACTOR = 3.0  # the state of an ended job is kept for this many times `status_s`
MAX_DELETIONS_PER_TICK = 100
FAILURE_BACKOFF_S = 0.02  # before the next attempt; doubled with each failure
REFUSAL_BACKOFF_S = 0.1  # before the next attempt after a worker refused a start
SHORT_RUN_S = 3.0  # a long-running task whose run ends sooner is restarted with a growing backoff
SHORT_RUN_BACKOFF_S = 0.1  # doubled with each short run in a row
MAX_BACKOFF_S = 2.0  # no waiting task may be idle for 3 s


class Lifecycle:
    """Performs every state change of jobs, task groups, tasks and runs."""

    def __init__(self, context: Context) -> None:
        """Work on the shared state."""
        self._context = context
        self._objectives = Objectives(context)
        self.evidence = HealthTracker(context)
        self._due_heap: list[tuple[int, str]] = []  # heap of (wall-clock due time in ms, job ID)
        self._retained: deque[tuple[float, str]] = deque()  # (when to delete, ID of an ended job)

    def clear(self) -> None:
        """Drop all timers of jobs; called when the node gains or loses the primary role."""
        self._due_heap.clear()
        self._retained.clear()

    # ---- jobs

    def accept(self, job: Job) -> None:
        """Accept a new job: register it, write its record and start the occurrences that are due."""
        context = self._context
        self.add_job(job)
        context.batch.put(job_key(job.id), encode_job(job, keep_body=True))
        self.start_due_occurrences(job)

    def add_job(self, job: Job) -> None:
        """Register a job in the shared state, and in the counts of its route if it is open."""
        context = self._context
        context.jobs[job.id] = job
        if job.open:
            context.inflight[job.route] = context.inflight.get(job.route, 0.0) + job.weight
            if job.weight <= 0.0:
                context.unweighed.append(job)
            if not job.started:
                context.pending.setdefault(job.route, set()).add(job.id)

    def start_due_occurrences(self, job: Job) -> None:
        """Start the occurrences of a job that have come due, and schedule the next one."""
        wall_ms = self._context.ports.wall_ms()
        while (
            job.next_occurrence < job.submission.occurrences and job.submission.due_ms(job.next_occurrence) <= wall_ms
        ):
            self.start_occurrence(job, job.next_occurrence)
        self.schedule_next_occurrence(job)

    def schedule_next_occurrence(self, job: Job) -> None:
        """Add the due time of the next occurrence to the heap, if there is one."""
        if job.next_occurrence < job.submission.occurrences:
            heapq.heappush(self._due_heap, (job.submission.due_ms(job.next_occurrence), job.id))

    def start_due_jobs(self) -> None:
        """Start all occurrences that have come due, of all open jobs."""
        for job_id in self._pop_due():
            job = self._context.jobs.get(job_id)
            if job is not None and job.open:
                self.start_due_occurrences(job)

    def _pop_due(self) -> list[str]:
        """Pop the jobs that are due by one reading of the clock.

        `start_due_occurrences` reads the clock again and reschedules a job that is not due by then, so that a single
        reading that jumps ahead starts nothing early.
        """
        wall_ms = self._context.ports.wall_ms()
        due = []
        while self._due_heap and self._due_heap[0][0] <= wall_ms:
            due.append(heapq.heappop(self._due_heap)[1])
        return due

    def next_due_s(self) -> float | None:
        """Return the seconds until the next occurrence of any job comes due; None if none is scheduled."""
        if not self._due_heap:
            return None
        return (self._due_heap[0][0] - self._context.ports.wall_ms()) / 1_000.0

    def start_occurrence(self, job: Job, occurrence: int) -> None:
        """Create the task groups of one occurrence, and queue those without unmet dependencies."""
        self.create_occurrence(job, occurrence)
        for index in range(len(job.submission.stages)):
            self.queue_if_ready(job.task_groups[occurrence, index])

    def create_occurrence(self, job: Job, occurrence: int) -> None:
        """Create the task groups of one occurrence, and set their deadlines."""
        job.next_occurrence = max(job.next_occurrence, occurrence + 1)
        stages = job.submission.stages
        job.unfinished_task_groups[occurrence] = len(stages)
        for index in range(len(stages)):
            job.task_groups[occurrence, index] = new_task_group(job, occurrence, index)
        self._objectives.set_initial_deadlines(job, occurrence)

    def complete_if_done(self, job: Job) -> None:
        """Complete a job when all of its occurrences are completed."""
        if job.open and job.completed_occurrences == job.submission.occurrences:
            self._end_job(job, JobState.COMPLETED)

    def cancel(self, job: Job) -> None:
        """End a job because its client cancelled it."""
        self._end_job(job, JobState.CANCELLED)

    def _end_job(self, job: Job, state: JobState) -> None:
        """Set the final state of a job; its runs are stopped once that state is committed."""
        context = self._context
        job.state = state
        context.inflight[job.route] = max(0.0, context.inflight.get(job.route, 0.0) - job.weight)
        context.pending.get(job.route, set()).discard(job.id)
        queue = context.queue(job.service)
        for task_group in job.task_groups.values():
            queue.remove(task_group)
            context.dirty_task_groups.discard(task_group)
            task_group.waiting.clear()
        self._drop_unsent_runs(job)
        has_runs = bool(job.live_runs())
        context.batch.put(job_key(job.id), encode_job(job, keep_body=has_runs))
        self.delete_idle_task_records(job)
        if has_runs:
            context.batch.when_committed(lambda: self.stop_runs(job))
        else:
            self._retire(job)
        context.log.info("job_ended", job=job.id, state=state.name.lower())

    def delete_idle_task_records(self, job: Job) -> None:
        """Delete the records of the tasks of a job that have no run left."""
        for task in job.tasks():
            if not task.live_runs():
                self._delete_task_record(task)

    def _drop_unsent_runs(self, job: Job) -> None:
        """Release the runs of a job for which no start order was ever sent: they do not exist on any worker."""
        for task in job.tasks():
            if task.run is not None and not task.run.start_sent:
                self._release(task.run)

    def stop_runs(self, job: Job) -> None:
        """Stop all runs that a job which has ended still has."""
        for run in job.live_runs():
            if not run.settled:
                self.request_stop(run, StopCause.JOB_ENDED)

    def retire_if_over(self, job: Job) -> None:
        """Reduce an ended job to its final state once it has no runs left."""
        if job.open or job.id not in self._context.jobs or job.live_runs():
            return
        self._context.batch.put(job_key(job.id), encode_job(job, keep_body=False))
        self._retire(job)

    def _retire(self, job: Job) -> None:
        self._context.jobs.pop(job.id, None)
        self.remember_ended(job.id, job.state)

    def remember_ended(self, job_id: str, state: JobState) -> None:
        """Keep the final state of a job for clients that ask, until its retention time is over."""
        context = self._context
        context.ended_jobs[job_id] = state
        keep_s = RETENTION_FACTOR * context.timings.bounds.status_s
        self._retained.append((context.clock.now() + keep_s, job_id))

    def delete_expired_jobs(self) -> None:
        """Delete the records of ended jobs whose retention time is over, a bounded number at a time."""
        now = self._context.clock.now()
        for _ in range(MAX_DELETIONS_PER_TICK):
            if not self._retained or self._retained[0][0] > now:
                return
            _, job_id = self._retained.popleft()
            if self._context.ended_jobs.pop(job_id, None) is not None:
                self._context.batch.delete(job_key(job_id))

    # ---- task groups

    def queue_if_ready(self, task_group: TaskGroup) -> None:
        """Queue the tasks of a task group once all stages that it depends on are done."""
        if task_group.ready or task_group.unmet_dependencies > 0 or task_group.done:
            return
        task_group.ready = True
        self.queue_waiting(task_group)

    def queue_waiting(self, task_group: TaskGroup) -> None:
        """Queue the waiting tasks of a task group; a gang is queued only when none of its tasks has a run."""
        if not task_group.ready or not task_group.job.open:
            return
        if task_group.gang and any(True for _ in task_group.runs()):
            return
        if not task_group.waiting:
            task_group.queued_at = self._context.clock.now()
            task_group.blocked_since = -1.0
        for task in task_group.tasks:
            if task.phase is TaskPhase.WAITING and task.run is None:
                task_group.waiting.setdefault(task.index, task)
        if task_group.waiting:
            self._enqueue(task_group)

    def _enqueue(self, task_group: TaskGroup) -> None:
        """Add a task group to the queue, and request a pass now and after each backoff of its tasks."""
        context = self._context
        now = context.clock.now()
        context.queue(task_group.job.service).add(task_group, now)
        context.dirty_task_groups.add(task_group)
        context.request_pass()
        for backoff_end in {task.not_before for task in task_group.waiting.values() if task.not_before > now}:
            context.clock.at(backoff_end, lambda: self._reconsider(task_group))

    def _reconsider(self, task_group: TaskGroup) -> None:
        """Have the next pass consider a task group, if it is still queued."""
        context = self._context
        if context.jobs.get(task_group.job.id) is task_group.job and task_group in context.queue(
            task_group.job.service
        ):
            context.dirty_task_groups.add(task_group)
            context.request_pass()

    def _task_group_done(self, task_group: TaskGroup) -> None:
        """Handle the completion of a task group: queue its dependents, and complete the occurrence and the job."""
        job = task_group.job
        self._context.queue(job.service).remove(task_group)
        for index, stage in enumerate(job.submission.stages):
            if task_group.index in stage.depends_on:
                dependent = job.task_groups[task_group.occurrence, index]
                dependent.unmet_dependencies -= 1
                self.queue_if_ready(dependent)
        job.unfinished_task_groups[task_group.occurrence] -= 1
        if job.unfinished_task_groups[task_group.occurrence] == 0:
            job.completed_occurrences += 1
            self.complete_if_done(job)

    # ---- runs

    def assign(self, task: Task, worker: Worker, number: int) -> None:
        """Assign a task to a worker; the run may exist from the commit of the task record on."""
        context = self._context
        now = context.clock.now()
        task_group = task.task_group
        run = Run(
            task,
            number,
            worker.node,
            worker.instance,
            now,
            start_checkpoint=task.checkpoint,
            checkpoint=task.checkpoint,
        )
        run.checkpoint_at = run.progressed_at = now
        if not run.start_checkpoint:
            run.first_percent_at = now + START_DELAY_S
        task.refused_by = ""
        task.phase = TaskPhase.ASSIGNED
        task.last_run = number
        self.allocate(run, worker)
        task_group.waiting.pop(task.index, None)
        task_group.blocked_since = -1.0
        self._write_task(task)
        context.placed.append(run)
        if not task_group.job.started:
            task_group.job.started = True
            context.pending.get(task_group.job.route, set()).discard(task_group.job.id)

    def allocate(self, run: Run, worker: Worker) -> None:
        """Make a run the current one of its task, and count its resources on the worker."""
        task = run.task
        task.run = run
        worker.add(run, task.task_group.resource_request)
        runs_per_node = task.task_group.runs_per_node
        runs_per_node[worker.node] = runs_per_node.get(worker.node, 0) + 1

    def request_stop(self, run: Run, cause: StopCause) -> None:
        """Request the stop of a run; its task can be placed again once the end of the run is known."""
        if run.stop_cause is not None or run.settled:
            return
        run.stop_cause = cause
        if not run.start_sent:
            self.run_ended(run, RunOutcome.STOPPED)
            return
        worker = self._context.workers[run.node]
        self._context.workers_to_push.add(worker)
        self._context.request_pass()

    def run_ended(self, run: Run, outcome: RunOutcome, checkpoint: str = "") -> None:
        """Handle a run that has certainly ended: free its resources, and retry or complete its task."""
        task = run.task
        is_previous = run in task.previous_runs
        if task.run is not run and not is_previous:
            return
        task_group = task.task_group
        self.record_checkpoint(run, checkpoint, final=True)
        self._release(run)
        if not task_group.job.open:
            if not task.live_runs():
                self._delete_task_record(task)
            self.retire_if_over(task_group.job)
            return
        if run.settled:
            return
        self._objectives.record_duration(run, outcome)
        self.evidence.record_outcome(run, outcome)
        if is_previous:
            self._previous_run_ended(run, outcome)
        elif task_group.gang:
            self._gang_member_ended(run, outcome)
        elif task_group.stage.long_running:
            self._long_running_ended(run)
        elif outcome is RunOutcome.DONE:
            self._task_done(task)
        elif outcome is RunOutcome.FAILED:
            self._task_failed(run)
        else:
            self._run_interrupted(run, outcome)

    def _task_done(self, task: Task) -> None:
        task.phase = TaskPhase.DONE
        self._write_task(task)
        task.task_group.unfinished_tasks -= 1
        for previous in list(task.previous_runs):
            self.request_stop(previous, StopCause.SUPERSEDED)
        if task.task_group.done:
            self._task_group_done(task.task_group)

    def _task_failed(self, run: Run) -> None:
        task = run.task
        if self._count_failure(run):
            return
        backoff_s = min(MAX_BACKOFF_S, FAILURE_BACKOFF_S * 2.0 ** min(task.failures, 8))
        task.not_before = self._context.clock.now() + backoff_s
        self._requeue_task(task)

    def _count_failure(self, run: Run) -> bool:
        """Count a failed run; return whether the failure ends its job."""
        task = run.task
        task.failures += 1
        task.avoided_nodes.add(run.node)
        if task.failures < self.max_attempts(task.task_group.job):
            return False
        task.phase = TaskPhase.FAILED
        self._write_task(task)
        self._end_job(task.task_group.job, JobState.FAILED)
        return True

    def _long_running_ended(self, run: Run) -> None:
        """Restart a long-running task, whatever the outcome of its run, preferably on another worker."""
        task = run.task
        now = self._context.clock.now()
        task.avoided_nodes = {run.node}
        task.short_runs = task.short_runs + 1 if now - run.placed_at < SHORT_RUN_S else 0
        if task.short_runs > 1:
            task.not_before = now + min(MAX_BACKOFF_S, SHORT_RUN_BACKOFF_S * 2.0 ** min(task.short_runs, 8))
        self._requeue_task(task)

    def _run_interrupted(self, run: Run, outcome: RunOutcome) -> None:
        """Queue a task again that did not fail by itself; this counts as no attempt."""
        if outcome is RunOutcome.REFUSED:
            run.task.refused_by = run.node
            run.task.not_before = self._context.clock.now() + REFUSAL_BACKOFF_S
        self._requeue_task(run.task)

    # ---- speculative copies

    def request_speculative_copy(self, run: Run) -> None:
        """Queue a task for a second run on another worker; the first run that ends well counts."""
        task = run.task
        task.run = None
        task.previous_runs.append(run)
        self._requeue_task(task)

    def withdraw_copy_request(self, run: Run) -> None:
        """Keep the earlier run of a task, which is reported again, if no speculative copy was assigned yet."""
        task = run.task
        waiting = task.phase is TaskPhase.WAITING and task.run is None and run.number == task.last_run
        if run not in task.previous_runs or run.stop_cause is not None or not waiting or not task.task_group.job.open:
            return
        task.previous_runs.remove(run)
        task.run = run
        task.phase = TaskPhase.ASSIGNED
        self._dequeue(task)
        self._write_task(task)

    def stop_if_never_started(self, run: Run) -> None:
        """Stop an earlier run that was never listed, although the lists are newer than its order.

        A speculative copy is wanted; the stop order makes certain that the earlier run does not start late.
        """
        if run in run.task.previous_runs and not run.ever_listed:
            self.request_stop(run, StopCause.SUPERSEDED)

    def complete_by_other_run(self, task: Task) -> None:
        """Complete a task through a run other than its latest one, which is stopped."""
        if task.phase is TaskPhase.DONE:
            return
        self._dequeue(task)
        last, task.run = task.run, None
        if last is not None:
            task.previous_runs.append(last)
            self.request_stop(last, StopCause.SUPERSEDED)
        self._task_done(task)

    def _previous_run_ended(self, run: Run, outcome: RunOutcome) -> None:
        """Handle the end of an earlier run of a task for which a speculative copy was requested."""
        task = run.task
        if outcome is RunOutcome.DONE:
            self.complete_by_other_run(task)
        elif outcome is RunOutcome.FAILED and task.phase is not TaskPhase.DONE and not self._count_failure(run):
            self._write_task(task)

    def _dequeue(self, task: Task) -> None:
        """Take a task that needs no further run out of the queue."""
        task_group = task.task_group
        task_group.waiting.pop(task.index, None)
        if not task_group.waiting:
            self._context.queue(task_group.job.service).remove(task_group)

    def _requeue_task(self, task: Task) -> None:
        task.phase = TaskPhase.WAITING
        self._write_task(task)
        self.queue_waiting(task.task_group)

    def _gang_member_ended(self, run: Run, outcome: RunOutcome) -> None:
        """Handle the end of a gang member: the gang is done, has failed, or stops and starts again as a whole."""
        task_group = run.task.task_group
        if outcome is RunOutcome.DONE and not task_group.stage.long_running:
            self._gang_done(task_group)
            return
        task = run.task
        if outcome is RunOutcome.FAILED:
            task.failures += 1
            task.avoided_nodes.add(run.node)
        elif outcome is RunOutcome.REFUSED:
            task.refused_by = run.node
        task.phase = TaskPhase.WAITING
        self._write_task(task)
        attempts_exhausted = not task_group.stage.long_running and task.failures >= self.max_attempts(task_group.job)
        if attempts_exhausted:
            self._end_job(task_group.job, JobState.FAILED)
            return
        for other in list(task_group.runs()):
            self.request_stop(other, StopCause.GANG_BROKEN)
        if not any(True for _ in task_group.runs()):
            gangs.synchronize_members(task_group)
            backoff_s = REFUSAL_BACKOFF_S if outcome is RunOutcome.REFUSED else FAILURE_BACKOFF_S
            for member in task_group.tasks:
                member.not_before = self._context.clock.now() + backoff_s
            self.queue_waiting(task_group)

    def _gang_done(self, task_group: TaskGroup) -> None:
        """Mark all members of a gang done when one of them is; the runs of the others end by themselves."""
        now = self._context.clock.now()
        for task in task_group.tasks:
            task.phase = TaskPhase.DONE
            self._write_task(task)
            if task.run is not None:
                task.run.settled = True
                task.run.settled_at = now
                task.run.settled_hold_number = self._context.workers[task.run.node].hold_number
        task_group.unfinished_tasks = 0
        self._task_group_done(task_group)

    def _release(self, run: Run) -> None:
        """Free the resources of a run that has ended."""
        task = run.task
        if task.run is run:
            task.run = None
        elif run in task.previous_runs:
            task.previous_runs.remove(run)
        worker = self._context.workers.get(run.node)
        if worker is not None and worker.remove(run, task.task_group.resource_request):
            task.task_group.runs_per_node[run.node] -= 1
            self._context.dirty_workers.add(worker)
            self._context.request_pass()

    def end_instance(self, worker: Worker, instance: str) -> None:
        """Handle the end of a worker instance, and with it of all its runs."""
        self._context.usability_changed(worker)
        worker.end_instance(instance)
        for run in list(worker.runs.values()):
            if run.instance == instance:
                self.run_ended(run, RunOutcome.INSTANCE_TERMINATED)

    def expire_worker(self, worker: Worker) -> None:
        """End all runs of a worker: their task leases have certainly expired."""
        runs = list(worker.runs.values())
        for run in runs:
            self.run_ended(run, RunOutcome.LAPSED)
        if runs:
            self._context.log.warning("worker_lapsed", peer=worker.node, runs=len(runs))

    def expire_instance(self, worker: Worker, instance: str) -> None:
        """End all runs of a worker instance that has been silent until its task leases expired."""
        runs = [run for run in worker.runs.values() if run.instance == instance]
        for run in runs:
            self.run_ended(run, RunOutcome.LAPSED)
        if runs:
            self._context.log.warning("worker_lapsed", peer=worker.node, instance=instance, runs=len(runs))

    # ---- checkpoints and attempts

    def record_checkpoint(self, run: Run, checkpoint: str, final: bool = False) -> None:
        """Record the newest checkpoint of a task.

        The members of a gang share one checkpoint: one reported at the end of a run, or else the one of the member with
        the most progress.
        """
        task_group = run.task.task_group
        if not checkpoint or checkpoint == run.checkpoint or not task_group.stage.checkpoints:
            return
        run.checkpoint = checkpoint
        run.checkpoint_at = self._context.clock.now()
        if not task_group.gang:
            run.task.checkpoint = checkpoint
        elif final or run.percent >= task_group.checkpoint_percent:
            task_group.checkpoint_percent = run.percent
            for member in task_group.tasks:
                member.checkpoint = checkpoint

    def max_attempts(self, job: Job) -> int:
        """Return after how many failed runs a task of the job fails for good."""
        route = self._context.route(job.route)
        return max(1, route.max_attempts) if route is not None else 1

    # ---- records

    def _write_task(self, task: Task) -> None:
        task.has_record = True
        self._context.batch.put(task_key(task.name), encode_task(task))

    def _delete_task_record(self, task: Task) -> None:
        if task.has_record:
            task.has_record = False
            self._context.batch.delete(task_key(task.name))
