"""Copies of tasks whose workers fall silent, where their step is `speculative`: whichever run ends well first counts.

All other tasks wait until their runs have ended for certain.
"""

from __future__ import annotations

from pipitledge.scheduling.context import Context
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.tasks import Run
from pipitledge.scheduling.workers import Worker

UNHEARD_S = 1.3  # an agent beside a busy worker reports every second
MOST_BESIDE = 1  # runs of one task that are left to themselves at a time


class Copies:
    """Has tasks run anew whose workers nothing is heard of."""

    def __init__(self, context: Context, lifecycle: Lifecycle) -> None:
        """Work on the shared state."""
        self._context = context
        self._lifecycle = lifecycle

    def tick(self) -> None:
        """Look at all workers that run something."""
        now = self._context.clock.now()
        for worker in list(self._context.workers.values()):
            if worker.runs and self._out_of_touch(worker, now):
                self._run_elsewhere(worker)

    def _out_of_touch(self, worker: Worker, now: float) -> bool:
        """Whether what becomes of the worker's runs can't be told just now."""
        heard_at = max(worker.reported_at, self._context.activated_at)
        return worker.silent or worker.unreachable or now - heard_at > UNHEARD_S

    def _run_elsewhere(self, worker: Worker) -> None:
        copied = 0
        for run in list(worker.runs.values()):
            if _may_copy(run):
                copied += 1
                self._lifecycle.request_speculative_copy(run)
        if copied:
            self._context.log.info("copies_wanted", peer=worker.node, runs=copied)


def _may_copy(run: Run) -> bool:
    """Whether a task may run twice at once, and only this run of it is under way."""
    task = run.task
    task_group = task.task_group
    allowed = (
        task_group.stage.speculative
        and not task_group.gang
        and not task_group.stage.long_running
        and task_group.job.open
    )
    present = task.run is run and run.start_sent and run.stop_cause is None and not run.settled
    return allowed and present and len(task.previous_runs) < MOST_BESIDE
