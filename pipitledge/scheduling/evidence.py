"""What the ends and the progress of runs tell of their workers: how well they do, and how fast they are."""

from __future__ import annotations

from pipitledge.scheduling.context import Context
from pipitledge.scheduling.objectives import START_S
from pipitledge.scheduling.tasks import Run, RunOutcome
from pipitledge.scheduling.workers import Worker

SUSPECT_NODES = 3  # a job that fails on so many nodes is to blame itself
HEALTHY_ENDINGS = (RunOutcome.DONE, RunOutcome.FAILED)


class Evidence:
    """Learns how well workers do."""

    def __init__(self, context: Context) -> None:
        """Work on the shared state."""
        self._context = context

    def judge(self, run: Run, ending: RunOutcome) -> None:
        """Learn from an end how well its worker does."""
        if run.task.task_group.stage.long_running or ending not in HEALTHY_ENDINGS:
            return
        worker = self._context.workers[run.node]
        if worker.instance != run.instance:
            return
        if ending is RunOutcome.DONE:
            worker.health.note_success(run.placed_at)
            self._note_pace_of_done(run, worker)
        else:
            self._blame(run, worker)

    def _note_pace_of_done(self, run: Run, worker: Worker) -> None:
        """A run that ended well tells how fast its worker is."""
        now = self._context.clock.now()
        self._context.last_progress_at.setdefault(worker.service, {})[worker.node] = now
        elapsed_s = now - run.placed_at - START_S
        if not run.start_checkpoint and elapsed_s > 0.0:
            self.note_pace(run, worker, 1.0 / elapsed_s)

    def note_pace(self, run: Run, worker: Worker, rate: float) -> None:
        """A run does so much of its work per second: compare that with its estimate."""
        context = self._context
        now = context.clock.now()
        stage = run.task.task_group.stage
        if stage.long_running or stage.gang or now < worker.cold_until:
            return
        pace = rate * stage.estimate_s
        if stage.affinity and stage.affinity not in worker.labels:
            pace *= context.timings.bounds.far_x
        was_slow = worker.health.slow(now)
        worker.health.note_pace(pace, now)
        if worker.health.slow(now) != was_slow:
            context.usability_changed(worker)

    def _blame(self, run: Run, worker: Worker) -> None:
        """Blame a failed end on its worker, unless its job fails everywhere."""
        task = run.task
        job = task.task_group.job
        job.failed_nodes.add(run.node)
        failed_elsewhere = bool(task.avoided_nodes - {run.node})
        if failed_elsewhere or len(job.failed_nodes) >= SUSPECT_NODES:
            for node in job.failed_nodes:
                suspect = self._context.workers.get(node)
                if suspect is not None:
                    suspect.health.pardon(job.id)
            return
        if worker.health.note_failure(job.id, self._context.clock.now()):
            self._context.log.warning("worker_avoided", peer=worker.node, reason="tasks fail there")
