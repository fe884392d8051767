"""Updates the health and the speed of workers from the outcomes and the progress of their runs."""

from __future__ import annotations

from pipitledge.scheduling.context import Context
from pipitledge.scheduling.objectives import START_DELAY_S
from pipitledge.scheduling.tasks import Run, RunOutcome
from pipitledge.scheduling.workers import Worker

JOB_FAULT_NODES = 3  # a job that fails on this many nodes is at fault itself
HEALTH_OUTCOMES = (RunOutcome.DONE, RunOutcome.FAILED)  # others say nothing about the health of the worker


class HealthTracker:
    """Records in the workers' health what their runs show."""

    def __init__(self, context: Context) -> None:
        """Work on the scheduler's shared state."""
        self._context = context

    def record_outcome(self, run: Run, outcome: RunOutcome) -> None:
        """Update the health of the run's worker from the outcome of the run."""
        if run.task.task_group.stage.long_running or outcome not in HEALTH_OUTCOMES:
            return
        worker = self._context.workers[run.node]
        if worker.instance != run.instance:
            return
        if outcome is RunOutcome.DONE:
            worker.health.record_success(run.placed_at)
            self._record_speed_of_done(run, worker)
        else:
            self._attribute_failure(run, worker)

    def _record_speed_of_done(self, run: Run, worker: Worker) -> None:
        """Record the speed of a worker from the duration of a successful run."""
        now = self._context.clock.now()
        self._context.last_progress_at.setdefault(worker.service, {})[worker.node] = now
        elapsed_s = now - run.placed_at - START_DELAY_S
        if not run.start_checkpoint and elapsed_s > 0.0:
            self.record_speed(run, worker, 1.0 / elapsed_s)

    def record_speed(self, run: Run, worker: Worker, rate: float) -> None:
        """Record a speed sample: `rate` is the fraction of its work that a run does per second."""
        context = self._context
        now = context.clock.now()
        stage = run.task.task_group.stage
        if stage.long_running or stage.gang or now < worker.cold_until:
            return
        speed = rate * stage.estimate_s
        if stage.affinity and stage.affinity not in worker.labels:
            speed *= context.timings.bounds.far_x
        was_slow = worker.health.slow(now)
        worker.health.record_speed(speed, now)
        if worker.health.slow(now) != was_slow:
            context.usability_changed(worker)

    def _attribute_failure(self, run: Run, worker: Worker) -> None:
        """Count a failed run against its worker, unless the job fails on other workers as well."""
        task = run.task
        job = task.task_group.job
        job.failed_nodes.add(run.node)
        failed_elsewhere = bool(task.avoided_nodes - {run.node})
        if failed_elsewhere or len(job.failed_nodes) >= JOB_FAULT_NODES:
            for node in job.failed_nodes:
                suspect = self._context.workers.get(node)
                if suspect is not None:
                    suspect.health.discard_failures(job.id)
            return
        if worker.health.record_failure(job.id, self._context.clock.now()):
            self._context.log.warning("worker_avoided", peer=worker.node, reason="tasks fail there")
