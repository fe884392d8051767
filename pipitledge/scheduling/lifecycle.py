"""What becomes of jobs, steps, tasks and runs: every change of their states, and the records it writes."""

from __future__ import annotations

import heapq
from collections import deque

from pipitledge.scheduling import gangs
from pipitledge.scheduling.context import Context
from pipitledge.scheduling.health_tracker import HealthTracker
from pipitledge.scheduling.objectives import START_DELAY_S, Objectives
from pipitledge.scheduling.records import job_key, job_value, task_key, task_value
from pipitledge.scheduling.tasks import Ending, Job, Run, Step, StopCause, Task, new_step
from pipitledge.scheduling.workers import Worker
from pipitledge.wire.messages import JobState, TaskPhase

KEEP_FACTOR = 3.0  # ended jobs are told of for so many times `status_s`
DELETIONS_AT_ONCE = 100
FAILURE_PAUSE_S = 0.02  # before the next try, doubled with each failure
REFUSAL_PAUSE_S = 0.1
SHORT_RUN_S = 3.0  # a lasting task that ends sooner is restarted with a growing pause
SHORT_RUN_PAUSE_S = 0.1
LONGEST_PAUSE_S = 2.0  # nothing may stand still for 3 s


class Lifecycle:
    """Moves jobs and their tasks from state to state."""

    def __init__(self, context: Context) -> None:
        """Work on the shared state."""
        self._context = context
        self._objectives = Objectives(context)
        self.evidence = HealthTracker(context)
        self._timed: list[tuple[int, str]] = []  # heap of (due time of day, job)
        self._retiring: deque[tuple[float, str]] = deque()  # (when, ended job)

    def clear(self) -> None:
        """Forget everything."""
        self._timed.clear()
        self._retiring.clear()

    # ---- jobs

    def accept(self, job: Job) -> None:
        """Take in a new job."""
        context = self._context
        self.enter(job)
        context.batch.put(job_key(job.id), job_value(job, keep_body=True))
        self.open_due_times(job)

    def enter(self, job: Job) -> None:
        """Make a job known."""
        context = self._context
        context.jobs[job.id] = job
        if job.open:
            context.inflight[job.route] = context.inflight.get(job.route, 0.0) + job.weight
            if job.weight <= 0.0:
                context.unweighed.append(job)
            if not job.started:
                context.pending.setdefault(job.route, set()).add(job.id)

    def open_due_times(self, job: Job) -> None:
        """Begin the job's times that have come due, and await the next."""
        wall_ms = self._context.ports.wall_ms()
        while job.next_time < job.submission.times and job.submission.due_ms(job.next_time) <= wall_ms:
            self.start_time(job, job.next_time)
        self.await_next_time(job)

    def await_next_time(self, job: Job) -> None:
        """Remember when the job's next time comes due."""
        if job.next_time < job.submission.times:
            heapq.heappush(self._timed, (job.submission.due_ms(job.next_time), job.id))

    def begin_due_times(self) -> None:
        """Begin all times that have come due."""
        for job_id in self._pop_due():
            job = self._context.jobs.get(job_id)
            if job is not None and job.open:
                self.open_due_times(job)

    def _pop_due(self) -> list[str]:
        """Jobs that one reading of the clock has due; one that a later reading has not is awaited again."""
        wall_ms = self._context.ports.wall_ms()
        due = []
        while self._timed and self._timed[0][0] <= wall_ms:
            due.append(heapq.heappop(self._timed)[1])
        return due

    def next_due_s(self) -> float | None:
        """Seconds until the next time of a job comes due."""
        if not self._timed:
            return None
        return (self._timed[0][0] - self._context.ports.wall_ms()) / 1_000.0

    def start_time(self, job: Job, time: int) -> None:
        """Create the steps of one time, and queue those that depend on nothing."""
        self.create_time(job, time)
        for index in range(len(job.submission.stages)):
            self.queue_if_ready(job.steps[time, index])

    def create_time(self, job: Job, time: int) -> None:
        """Create the steps of one time."""
        job.next_time = max(job.next_time, time + 1)
        stages = job.submission.stages
        job.undone_steps[time] = len(stages)
        for index in range(len(stages)):
            job.steps[time, index] = new_step(job, time, index)
        self._objectives.set_initial_deadlines(job, time)

    def complete_if_done(self, job: Job) -> None:
        """A job is completed once all of its times are."""
        if job.open and job.times_done == job.submission.times:
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
        for step in job.steps.values():
            queue.remove(step)
            context.fresh.discard(step)
            step.waiting.clear()
        self._drop_unordered_runs(job)
        left = bool(job.live_runs())
        context.batch.put(job_key(job.id), job_value(job, keep_body=left))
        self.forget_idle_tasks(job)
        if left:
            context.batch.when_committed(lambda: self.stop_runs(job))
        else:
            self._retire(job)
        context.log.info("job_ended", job=job.id, state=state.name.lower())

    def forget_idle_tasks(self, job: Job) -> None:
        """Delete the records of a job's tasks that hold no room."""
        for task in job.tasks():
            if not task.live_runs():
                self._forget_task(task)

    def _drop_unordered_runs(self, job: Job) -> None:
        """Runs whose orders never left never were."""
        for task in job.tasks():
            if task.run is not None and not task.run.ordered:
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
        self._context.batch.put(job_key(job.id), job_value(job, keep_body=False))
        self._retire(job)

    def _retire(self, job: Job) -> None:
        self._context.jobs.pop(job.id, None)
        self.remember_ended(job.id, job.state)

    def remember_ended(self, job_id: str, state: JobState) -> None:
        """Tell of an ended job for a while."""
        context = self._context
        context.ended[job_id] = state
        keep_s = KEEP_FACTOR * context.figures.bounds.status_s
        self._retiring.append((context.clock.now() + keep_s, job_id))

    def delete_old_jobs(self) -> None:
        """Delete ended jobs that have been told of for long enough."""
        now = self._context.clock.now()
        for _ in range(DELETIONS_AT_ONCE):
            if not self._retiring or self._retiring[0][0] > now:
                return
            _, job_id = self._retiring.popleft()
            if self._context.ended.pop(job_id, None) is not None:
                self._context.batch.delete(job_key(job_id))

    # ---- steps

    def queue_if_ready(self, step: Step) -> None:
        """Queue the tasks of a step that depends on nothing undone."""
        if step.ready or step.awaited > 0 or step.done:
            return
        step.ready = True
        self.queue_waiting(step)

    def queue_waiting(self, step: Step) -> None:
        """Queue all tasks of a step that neither run nor are done; a gang only when none of it runs."""
        if not step.ready or not step.job.open:
            return
        if step.gang and any(True for _ in step.runs()):
            return
        if not step.waiting:
            step.queued_at = self._context.clock.now()
            step.blocked_since = -1.0
        for task in step.tasks:
            if task.phase is TaskPhase.WAITING and task.run is None:
                step.waiting.setdefault(task.index, task)
        if step.waiting:
            self._enqueue(step)

    def _enqueue(self, step: Step) -> None:
        """Put a step into the queue, and have it looked at, again once its pauses are over."""
        context = self._context
        now = context.clock.now()
        context.queue(step.job.service).add(step, now)
        context.fresh.add(step)
        context.request_pass()
        for pause_end in {task.not_before for task in step.waiting.values() if task.not_before > now}:
            context.clock.at(pause_end, lambda: self._look_again(step))

    def _look_again(self, step: Step) -> None:
        """Look at a step again if it still waits."""
        context = self._context
        if context.jobs.get(step.job.id) is step.job and step in context.queue(step.job.service):
            context.fresh.add(step)
            context.request_pass()

    def _step_done(self, step: Step) -> None:
        """All tasks of a step are done: go on with what waited for it."""
        job = step.job
        self._context.queue(job.service).remove(step)
        for index, stage in enumerate(job.submission.stages):
            if step.index in stage.depends_on:
                later = job.steps[step.time, index]
                later.awaited -= 1
                self.queue_if_ready(later)
        job.undone_steps[step.time] -= 1
        if job.undone_steps[step.time] == 0:
            job.times_done += 1
            self.complete_if_done(job)

    # ---- runs

    def assign(self, task: Task, worker: Worker, number: int) -> None:
        """Give a task to a worker: from the commit of its record on, the run may exist."""
        context = self._context
        now = context.clock.now()
        step = task.step
        run = Run(task, number, worker.node, worker.instance, now, resume=task.saved, saved=task.saved)
        run.saved_at = run.progressed_at = now
        if not run.resume:
            run.first_percent_at = now + START_DELAY_S
        task.refused_by = ""
        task.phase = TaskPhase.ASSIGNED
        task.last_run = number
        self.hold_room(run, worker)
        step.waiting.pop(task.index, None)
        step.blocked_since = -1.0
        self._write_task(task)
        context.placed.append(run)
        if not step.job.started:
            step.job.started = True
            context.pending.get(step.job.route, set()).discard(step.job.id)

    def hold_room(self, run: Run, worker: Worker) -> None:
        """Count a run on its worker."""
        task = run.task
        task.run = run
        worker.add(run, task.step.demand)
        on_node = task.step.on_node
        on_node[worker.node] = on_node.get(worker.node, 0) + 1

    def request_stop(self, run: Run, cause: StopCause) -> None:
        """Have a run stopped; its task is free again when the end is known."""
        if run.stop is not None or run.settled:
            return
        run.stop = cause
        if not run.ordered:
            self.run_ended(run, Ending.STOPPED)
            return
        worker = self._context.workers[run.node]
        self._context.unsent.add(worker)
        self._context.request_pass()

    def run_ended(self, run: Run, ending: Ending, saved: str = "") -> None:
        """A run is over for certain."""
        task = run.task
        is_former = run in task.former
        if task.run is not run and not is_former:
            return
        step = task.step
        self.note_saved(run, saved, final=True)
        self._release(run)
        if not step.job.open:
            if not task.live_runs():
                self._forget_task(task)
            self.retire_if_over(step.job)
            return
        if run.settled:
            return
        self._objectives.record_duration(run, ending)
        self.evidence.record_outcome(run, ending)
        if is_former:
            self._former_ended(run, ending)
        elif step.gang:
            self._member_ended(run, ending)
        elif step.stage.long_running:
            self._lasting_ended(run)
        elif ending is Ending.DONE:
            self._task_done(task)
        elif ending is Ending.FAILED:
            self._task_failed(run)
        else:
            self._wait_again(run, ending)

    def _task_done(self, task: Task) -> None:
        task.phase = TaskPhase.DONE
        self._write_task(task)
        task.step.undone -= 1
        for former in list(task.former):
            self.request_stop(former, StopCause.COPIED)
        if task.step.done:
            self._step_done(task.step)

    def _task_failed(self, run: Run) -> None:
        task = run.task
        if self._count_failure(run):
            return
        pause_s = min(LONGEST_PAUSE_S, FAILURE_PAUSE_S * 2.0 ** min(task.failures, 8))
        task.not_before = self._context.clock.now() + pause_s
        self._free_task(task)

    def _count_failure(self, run: Run) -> bool:
        """Count a failed run; whether that ends its job."""
        task = run.task
        task.failures += 1
        task.avoided.add(run.node)
        if task.failures < self.max_attempts(task.step.job):
            return False
        task.phase = TaskPhase.FAILED
        self._write_task(task)
        self._end_job(task.step.job, JobState.FAILED)
        return True

    def _lasting_ended(self, run: Run) -> None:
        """A lasting task is started again however it ended, on another worker if it failed."""
        task = run.task
        now = self._context.clock.now()
        task.avoided = {run.node}
        task.short_runs = task.short_runs + 1 if now - run.placed_at < SHORT_RUN_S else 0
        if task.short_runs > 1:
            task.not_before = now + min(LONGEST_PAUSE_S, SHORT_RUN_PAUSE_S * 2.0 ** min(task.short_runs, 8))
        self._free_task(task)

    def _wait_again(self, run: Run, ending: Ending) -> None:
        if ending is Ending.REFUSED:
            run.task.refused_by = run.node
            run.task.not_before = self._context.clock.now() + REFUSAL_PAUSE_S
        self._free_task(run.task)

    # ---- copies beside a run

    def run_beside(self, run: Run) -> None:
        """Let a task run anew elsewhere; the present run goes on, and whichever ends well first counts."""
        task = run.task
        task.run = None
        task.former.append(run)
        self._free_task(task)

    def go_on_with(self, run: Run) -> None:
        """A run is heard of again: if no copy of it was started yet, none is needed."""
        task = run.task
        waits = task.phase is TaskPhase.WAITING and task.run is None and run.number == task.last_run
        if run not in task.former or run.stop is not None or not waits or not task.step.job.open:
            return
        task.former.remove(run)
        task.run = run
        task.phase = TaskPhase.ASSIGNED
        self._wait_no_more(task)
        self._write_task(task)

    def end_if_never_begun(self, run: Run) -> None:
        """A run is absent from lists that are newer than its order, and a copy is wanted: make its end certain."""
        if run in run.task.former and not run.seen:
            self.request_stop(run, StopCause.COPIED)

    def done_beside(self, task: Task) -> None:
        """A task is done by another run than the one that was started last."""
        if task.phase is TaskPhase.DONE:
            return
        self._wait_no_more(task)
        last, task.run = task.run, None
        if last is not None:
            task.former.append(last)
            self.request_stop(last, StopCause.COPIED)
        self._task_done(task)

    def _former_ended(self, run: Run, ending: Ending) -> None:
        """A run ended beside which a copy was wanted."""
        task = run.task
        if ending is Ending.DONE:
            self.done_beside(task)
        elif ending is Ending.FAILED and task.phase is not TaskPhase.DONE and not self._count_failure(run):
            self._write_task(task)

    def _wait_no_more(self, task: Task) -> None:
        """A task needs no start any more."""
        step = task.step
        step.waiting.pop(task.index, None)
        if not step.waiting:
            self._context.queue(step.job.service).remove(step)

    def _free_task(self, task: Task) -> None:
        task.phase = TaskPhase.WAITING
        self._write_task(task)
        self.queue_waiting(task.step)

    def _member_ended(self, run: Run, ending: Ending) -> None:
        """A member of a gang ended, and with it the gang's run."""
        step = run.task.step
        if ending is Ending.DONE and not step.stage.long_running:
            self._gang_done(step)
            return
        task = run.task
        if ending is Ending.FAILED:
            task.failures += 1
            task.avoided.add(run.node)
        elif ending is Ending.REFUSED:
            task.refused_by = run.node
        task.phase = TaskPhase.WAITING
        self._write_task(task)
        out_of_tries = not step.stage.long_running and task.failures >= self.max_attempts(step.job)
        if out_of_tries:
            self._end_job(step.job, JobState.FAILED)
            return
        for other in list(step.runs()):
            self.request_stop(other, StopCause.GANG_BROKEN)
        if not any(True for _ in step.runs()):
            gangs.synchronize_members(step)
            pause_s = REFUSAL_PAUSE_S if ending is Ending.REFUSED else FAILURE_PAUSE_S
            for member in step.tasks:
                member.not_before = self._context.clock.now() + pause_s
            self.queue_waiting(step)

    def _gang_done(self, step: Step) -> None:
        """One end `done` counts for all members; the others end by themselves."""
        now = self._context.clock.now()
        for task in step.tasks:
            task.phase = TaskPhase.DONE
            self._write_task(task)
            if task.run is not None:
                task.run.settled = True
                task.run.settled_at = now
                task.run.settled_hold = self._context.workers[task.run.node].hold_number
        step.undone = 0
        self._step_done(step)

    def _release(self, run: Run) -> None:
        """Free the room of a run that is over."""
        task = run.task
        if task.run is run:
            task.run = None
        elif run in task.former:
            task.former.remove(run)
        worker = self._context.workers.get(run.node)
        if worker is not None and worker.remove(run, task.step.demand):
            task.step.on_node[run.node] -= 1
            self._context.dirty.add(worker)
            self._context.request_pass()

    def end_instance(self, worker: Worker, instance: str) -> None:
        """A life of a worker is over, and with it all that it ran."""
        self._context.usability_changed(worker)
        worker.end_instance(instance)
        for run in list(worker.runs.values()):
            if run.instance == instance:
                self.run_ended(run, Ending.LIFE_OVER)

    def lapse(self, worker: Worker) -> None:
        """Everything that a worker ran has lapsed for certain."""
        runs = list(worker.runs.values())
        for run in runs:
            self.run_ended(run, Ending.LAPSED)
        if runs:
            self._context.log.warning("worker_lapsed", peer=worker.node, runs=len(runs))

    def lapse_life(self, worker: Worker, instance: str) -> None:
        """A silent life of a worker holds nothing any more."""
        runs = [run for run in worker.runs.values() if run.instance == instance]
        for run in runs:
            self.run_ended(run, Ending.LAPSED)
        if runs:
            self._context.log.warning("worker_lapsed", peer=worker.node, instance=instance, runs=len(runs))

    # ---- what runs tell

    def note_saved(self, run: Run, saved: str, final: bool = False) -> None:
        """Keep the newest checkpoint of a task, or of its gang."""
        step = run.task.step
        if not saved or saved == run.saved or not step.stage.checkpoints:
            return
        run.saved = saved
        run.saved_at = self._context.clock.now()
        if not step.gang:
            run.task.saved = saved
        elif final or run.percent >= step.saved_percent:
            step.saved_percent = run.percent
            for member in step.tasks:
                member.saved = saved

    def max_attempts(self, job: Job) -> int:
        """How many failed ends make its tasks fail for good."""
        route = self._context.route(job.route)
        return max(1, route.max_attempts) if route is not None else 1

    # ---- records

    def _write_task(self, task: Task) -> None:
        task.recorded = True
        self._context.batch.put(task_key(task.name), task_value(task))

    def _forget_task(self, task: Task) -> None:
        if task.recorded:
            task.recorded = False
            self._context.batch.delete(task_key(task.name))
