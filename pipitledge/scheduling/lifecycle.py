"""What becomes of jobs, steps, tasks and runs: every change of their states, and the records it writes."""

from __future__ import annotations

import heapq
from collections import deque

from pipitledge.scheduling import gangs
from pipitledge.scheduling.context import Context
from pipitledge.scheduling.evidence import Evidence
from pipitledge.scheduling.objectives import START_S, Objectives
from pipitledge.scheduling.records import encode_job, encode_task, job_key, task_key
from pipitledge.scheduling.tasks import Job, Run, RunOutcome, StopCause, Task, TaskGroup, new_task_group
from pipitledge.scheduling.workers import Worker
from pipitledge.wire.messages import JobState, TaskPhase

RETENTION_FACTOR = 3.0  # ended jobs are told of for so many times `status_s`
MAX_DELETIONS_PER_TICK = 100
FAILURE_BACKOFF_S = 0.02  # before the next try, doubled with each failure
REFUSAL_BACKOFF_S = 0.1
SHORT_RUN_S = 3.0  # a lasting task that ends sooner is restarted with a growing pause
SHORT_RUN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0  # nothing may stand still for 3 s


class Lifecycle:
    """Moves jobs and their tasks from state to state."""

    def __init__(self, context: Context) -> None:
        """Work on the shared state."""
        self._context = context
        self._objectives = Objectives(context)
        self.evidence = Evidence(context)
        self._due_heap: list[tuple[int, str]] = []  # heap of (due time of day, job)
        self._retained: deque[tuple[float, str]] = deque()  # (when, ended job)

    def clear(self) -> None:
        """Forget everything."""
        self._due_heap.clear()
        self._retained.clear()

    # ---- jobs

    def accept(self, job: Job) -> None:
        """Take in a new job."""
        context = self._context
        self.add_job(job)
        context.batch.put(job_key(job.id), encode_job(job, keep_body=True))
        self.start_due_occurrences(job)

    def add_job(self, job: Job) -> None:
        """Make a job known."""
        context = self._context
        context.jobs[job.id] = job
        if job.open:
            context.inflight[job.route] = context.inflight.get(job.route, 0.0) + job.weight
            if job.weight <= 0.0:
                context.unweighed.append(job)
            if not job.started:
                context.pending.setdefault(job.route, set()).add(job.id)

    def start_due_occurrences(self, job: Job) -> None:
        """Begin the job's times that have come due, and await the next."""
        wall_ms = self._context.ports.wall_ms()
        while (
            job.next_occurrence < job.submission.occurrences and job.submission.due_ms(job.next_occurrence) <= wall_ms
        ):
            self.start_occurrence(job, job.next_occurrence)
        self.schedule_next_occurrence(job)

    def schedule_next_occurrence(self, job: Job) -> None:
        """Remember when the job's next time comes due."""
        if job.next_occurrence < job.submission.occurrences:
            heapq.heappush(self._due_heap, (job.submission.due_ms(job.next_occurrence), job.id))

    def start_due_jobs(self) -> None:
        """Begin all times that have come due."""
        for job_id in self._pop_due():
            job = self._context.jobs.get(job_id)
            if job is not None and job.open:
                self.start_due_occurrences(job)

    def _pop_due(self) -> list[str]:
        """Jobs that one reading of the clock has due; one that a later reading has not is awaited again."""
        wall_ms = self._context.ports.wall_ms()
        due = []
        while self._due_heap and self._due_heap[0][0] <= wall_ms:
            due.append(heapq.heappop(self._due_heap)[1])
        return due

    def next_due_s(self) -> float | None:
        """Seconds until the next time of a job comes due."""
        if not self._due_heap:
            return None
        return (self._due_heap[0][0] - self._context.ports.wall_ms()) / 1_000.0

    def start_occurrence(self, job: Job, occurrence: int) -> None:
        """Create the steps of one time, and queue those that depend on nothing."""
        self.create_occurrence(job, occurrence)
        for index in range(len(job.submission.stages)):
            self.queue_if_ready(job.task_groups[occurrence, index])

    def create_occurrence(self, job: Job, occurrence: int) -> None:
        """Create the steps of one time."""
        job.next_occurrence = max(job.next_occurrence, occurrence + 1)
        stages = job.submission.stages
        job.unfinished_task_groups[occurrence] = len(stages)
        for index in range(len(stages)):
            job.task_groups[occurrence, index] = new_task_group(job, occurrence, index)
        self._objectives.begin(job, occurrence)

    def complete_if_done(self, job: Job) -> None:
        """A job is completed once all of its times are."""
        if job.open and job.completed_occurrences == job.submission.occurrences:
            self._end_job(job, JobState.COMPLETED)

    def cancel(self, job: Job) -> None:
        """End a job at its client's wish."""
        self._end_job(job, JobState.CANCELLED)

    def _end_job(self, job: Job, state: JobState) -> None:
        """A job is over; its runs are stopped once that is committed."""
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
        left = bool(job.live_runs())
        context.batch.put(job_key(job.id), encode_job(job, keep_body=left))
        self.delete_idle_task_records(job)
        if left:
            context.batch.when_committed(lambda: self.stop_runs(job))
        else:
            self._retire(job)
        context.log.info("job_ended", job=job.id, state=state.name.lower())

    def delete_idle_task_records(self, job: Job) -> None:
        """Delete the records of a job's tasks that hold no room."""
        for task in job.tasks():
            if not task.live_runs():
                self._delete_task_record(task)

    def _drop_unsent_runs(self, job: Job) -> None:
        """Runs whose orders never left never were."""
        for task in job.tasks():
            if task.run is not None and not task.run.start_sent:
                self._release(task.run)

    def stop_runs(self, job: Job) -> None:
        """Stop all that still runs of a job that is over."""
        for run in job.live_runs():
            if not run.settled:
                self.request_stop(run, StopCause.JOB_ENDED)

    def retire_if_over(self, job: Job) -> None:
        """Once nothing of an ended job runs any more, keep only how it ended."""
        if job.open or job.id not in self._context.jobs or job.live_runs():
            return
        self._context.batch.put(job_key(job.id), encode_job(job, keep_body=False))
        self._retire(job)

    def _retire(self, job: Job) -> None:
        self._context.jobs.pop(job.id, None)
        self.remember_ended(job.id, job.state)

    def remember_ended(self, job_id: str, state: JobState) -> None:
        """Tell of an ended job for a while."""
        context = self._context
        context.ended_jobs[job_id] = state
        keep_s = RETENTION_FACTOR * context.timings.bounds.status_s
        self._retained.append((context.clock.now() + keep_s, job_id))

    def delete_expired_jobs(self) -> None:
        """Delete ended jobs that have been told of for long enough."""
        now = self._context.clock.now()
        for _ in range(MAX_DELETIONS_PER_TICK):
            if not self._retained or self._retained[0][0] > now:
                return
            _, job_id = self._retained.popleft()
            if self._context.ended_jobs.pop(job_id, None) is not None:
                self._context.batch.delete(job_key(job_id))

    # ---- steps

    def queue_if_ready(self, task_group: TaskGroup) -> None:
        """Queue the tasks of a step that depends on nothing undone."""
        if task_group.ready or task_group.unmet_dependencies > 0 or task_group.done:
            return
        task_group.ready = True
        self.queue_waiting(task_group)

    def queue_waiting(self, task_group: TaskGroup) -> None:
        """Queue all tasks of a step that neither run nor are done; a gang only when none of it runs."""
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
        """Put a step into the queue, and have it looked at, again once its pauses are over."""
        context = self._context
        now = context.clock.now()
        context.queue(task_group.job.service).add(task_group, now)
        context.dirty_task_groups.add(task_group)
        context.request_pass()
        for backoff_end in {task.not_before for task in task_group.waiting.values() if task.not_before > now}:
            context.clock.at(backoff_end, lambda: self._reconsider(task_group))

    def _reconsider(self, task_group: TaskGroup) -> None:
        """Look at a step again if it still waits."""
        context = self._context
        if context.jobs.get(task_group.job.id) is task_group.job and task_group in context.queue(
            task_group.job.service
        ):
            context.dirty_task_groups.add(task_group)
            context.request_pass()

    def _task_group_done(self, task_group: TaskGroup) -> None:
        """All tasks of a step are done: go on with what waited for it."""
        job = task_group.job
        self._context.queue(job.service).remove(task_group)
        for index, stage in enumerate(job.submission.stages):
            if task_group.index in stage.depends_on:
                later = job.task_groups[task_group.occurrence, index]
                later.unmet_dependencies -= 1
                self.queue_if_ready(later)
        job.unfinished_task_groups[task_group.occurrence] -= 1
        if job.unfinished_task_groups[task_group.occurrence] == 0:
            job.completed_occurrences += 1
            self.complete_if_done(job)

    # ---- runs

    def assign(self, task: Task, worker: Worker, number: int) -> None:
        """Give a task to a worker: from the commit of its record on, the run may exist."""
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
            run.first_percent_at = now + START_S
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
        """Count a run on its worker."""
        task = run.task
        task.run = run
        worker.add(run, task.task_group.resource_request)
        runs_per_node = task.task_group.runs_per_node
        runs_per_node[worker.node] = runs_per_node.get(worker.node, 0) + 1

    def request_stop(self, run: Run, cause: StopCause) -> None:
        """Have a run stopped; its task is free again when the end is known."""
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
        """A run is over for certain."""
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
        self._objectives.observe(run, outcome)
        self.evidence.judge(run, outcome)
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
        """Count a failed run; whether that ends its job."""
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
        """A lasting task is started again however it ended, on another worker if it failed."""
        task = run.task
        now = self._context.clock.now()
        task.avoided_nodes = {run.node}
        task.short_runs = task.short_runs + 1 if now - run.placed_at < SHORT_RUN_S else 0
        if task.short_runs > 1:
            task.not_before = now + min(MAX_BACKOFF_S, SHORT_RUN_BACKOFF_S * 2.0 ** min(task.short_runs, 8))
        self._requeue_task(task)

    def _run_interrupted(self, run: Run, outcome: RunOutcome) -> None:
        if outcome is RunOutcome.REFUSED:
            run.task.refused_by = run.node
            run.task.not_before = self._context.clock.now() + REFUSAL_BACKOFF_S
        self._requeue_task(run.task)

    # ---- copies beside a run

    def request_speculative_copy(self, run: Run) -> None:
        """Let a task run anew elsewhere; the present run goes on, and whichever ends well first counts."""
        task = run.task
        task.run = None
        task.previous_runs.append(run)
        self._requeue_task(task)

    def withdraw_copy_request(self, run: Run) -> None:
        """A run is heard of again: if no copy of it was started yet, none is needed."""
        task = run.task
        waits = task.phase is TaskPhase.WAITING and task.run is None and run.number == task.last_run
        if run not in task.previous_runs or run.stop_cause is not None or not waits or not task.task_group.job.open:
            return
        task.previous_runs.remove(run)
        task.run = run
        task.phase = TaskPhase.ASSIGNED
        self._dequeue(task)
        self._write_task(task)

    def stop_if_never_started(self, run: Run) -> None:
        """A run is absent from lists that are newer than its order, and a copy is wanted: make its end certain."""
        if run in run.task.previous_runs and not run.ever_listed:
            self.request_stop(run, StopCause.SUPERSEDED)

    def complete_by_other_run(self, task: Task) -> None:
        """A task is done by another run than the one that was started last."""
        if task.phase is TaskPhase.DONE:
            return
        self._dequeue(task)
        last, task.run = task.run, None
        if last is not None:
            task.previous_runs.append(last)
            self.request_stop(last, StopCause.SUPERSEDED)
        self._task_done(task)

    def _previous_run_ended(self, run: Run, outcome: RunOutcome) -> None:
        """A run ended beside which a copy was wanted."""
        task = run.task
        if outcome is RunOutcome.DONE:
            self.complete_by_other_run(task)
        elif outcome is RunOutcome.FAILED and task.phase is not TaskPhase.DONE and not self._count_failure(run):
            self._write_task(task)

    def _dequeue(self, task: Task) -> None:
        """A task needs no start any more."""
        task_group = task.task_group
        task_group.waiting.pop(task.index, None)
        if not task_group.waiting:
            self._context.queue(task_group.job.service).remove(task_group)

    def _requeue_task(self, task: Task) -> None:
        task.phase = TaskPhase.WAITING
        self._write_task(task)
        self.queue_waiting(task.task_group)

    def _gang_member_ended(self, run: Run, outcome: RunOutcome) -> None:
        """A member of a gang ended, and with it the gang's run."""
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
        out_of_tries = not task_group.stage.long_running and task.failures >= self.max_attempts(task_group.job)
        if out_of_tries:
            self._end_job(task_group.job, JobState.FAILED)
            return
        for other in list(task_group.runs()):
            self.request_stop(other, StopCause.GANG_BROKEN)
        if not any(True for _ in task_group.runs()):
            gangs.level(task_group)
            backoff_s = REFUSAL_BACKOFF_S if outcome is RunOutcome.REFUSED else FAILURE_BACKOFF_S
            for member in task_group.tasks:
                member.not_before = self._context.clock.now() + backoff_s
            self.queue_waiting(task_group)

    def _gang_done(self, task_group: TaskGroup) -> None:
        """One end `done` counts for all members; the others end by themselves."""
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
        """Free the room of a run that is over."""
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
        """A life of a worker is over, and with it all that it ran."""
        self._context.usability_changed(worker)
        worker.end_life(instance)
        for run in list(worker.runs.values()):
            if run.instance == instance:
                self.run_ended(run, RunOutcome.INSTANCE_TERMINATED)

    def expire_worker(self, worker: Worker) -> None:
        """Everything that a worker ran has lapsed for certain."""
        runs = list(worker.runs.values())
        for run in runs:
            self.run_ended(run, RunOutcome.LAPSED)
        if runs:
            self._context.log.warning("worker_lapsed", peer=worker.node, runs=len(runs))

    def expire_instance(self, worker: Worker, instance: str) -> None:
        """A silent life of a worker holds nothing any more."""
        runs = [run for run in worker.runs.values() if run.instance == instance]
        for run in runs:
            self.run_ended(run, RunOutcome.LAPSED)
        if runs:
            self._context.log.warning("worker_lapsed", peer=worker.node, instance=instance, runs=len(runs))

    # ---- what runs tell

    def record_checkpoint(self, run: Run, checkpoint: str, final: bool = False) -> None:
        """Keep the newest checkpoint of a task, or of its gang."""
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
        """How many failed ends make its tasks fail for good."""
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
