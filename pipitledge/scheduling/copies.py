"""Starts speculative copies of tasks when their worker becomes unreachable.

Only stages marked `speculative` allow this: the first of the concurrent runs that succeeds counts. All other tasks wait
until it is certain that their run has ended.
"""

from __future__ import annotations

from pipitledge.scheduling.context import Context
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.tasks import Run
from pipitledge.scheduling.workers import Worker

REPORT_OVERDUE_S = 1.3  # the agent of a busy worker reports every second
MAX_SUPERSEDED_RUNS = 1  # earlier runs of one task that may still exist when it is started again


class SpeculativeCopies:
    """Starts copies of the tasks that run on unreachable workers."""

    def __init__(self, context: Context, lifecycle: Lifecycle) -> None:
        """Work on the scheduler's shared state."""
        self._context = context
        self._lifecycle = lifecycle

    def tick(self) -> None:
        """Check all workers that have runs; called periodically."""
        now = self._context.clock.now()
        for worker in list(self._context.workers.values()):
            if worker.runs and self._is_unreachable(worker, now):
                self._start_copies(worker)

    def _is_unreachable(self, worker: Worker, now: float) -> bool:
        """Whether the worker or its agent cannot be reached, and the state of its runs is unknown."""
        reported_at = max(worker.reported_at, self._context.activated_at)
        return worker.silent or worker.unreachable or now - reported_at > REPORT_OVERDUE_S

    def _start_copies(self, worker: Worker) -> None:
        copied = 0
        for run in list(worker.runs.values()):
            if _may_copy(run):
                copied += 1
                self._lifecycle.request_speculative_copy(run)
        if copied:
            self._context.log.info("copies_wanted", peer=worker.node, runs=copied)


def _may_copy(run: Run) -> bool:
    """Whether the run's task may run twice at the same time, and no other copy of it exists."""
    task = run.task
    task_group = task.task_group
    allowed = (
        task_group.stage.speculative
        and not task_group.gang
        and not task_group.stage.long_running
        and task_group.job.open
    )
    present = task.run is run and run.start_sent and run.stop_cause is None and not run.settled
    return allowed and present and len(task.previous_runs) < MAX_SUPERSEDED_RUNS
