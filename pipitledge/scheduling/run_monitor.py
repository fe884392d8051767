"""Periodic checks: expired task leases, stalled or slow runs, and workers that are about to leave."""

from __future__ import annotations

from pipitledge.scheduling.context import Context
from pipitledge.scheduling.health import SLOW_SPEED
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.tasks import Run, StopCause
from pipitledge.scheduling.workers import Worker

STALL_TIMEOUT_S = 1.0  # without progress, while tasks on other workers progress; longer for long tasks
STALL_ESTIMATE_FRACTION = 0.15  # of the estimate of the task, added to the timeout
RECENT_PROGRESS_S = 4.0  # lists can be seconds old as long as no run ends
MIN_RATE_OBSERVATION_S = 1.0  # progress must be observed this long before the rate of a run is used
MOVE_FACTOR = 2.0  # a run is moved if finishing here takes this many times as long as elsewhere
MOVE_SLACK_S = 0.5  # and this much longer; the same slack applies to runs on leaving workers
MAX_MOVES = 2  # per task
LEAVE_SLACK_S = 0.6  # plus the stop time: how long before its worker leaves a run that can be saved is stopped
CERTAIN_OVERRUN_FACTOR = 1.5  # a run whose estimated time is this many times the time left cannot end in time
RUN_CHECK_INTERVAL_S = 0.5  # between two checks of all runs


class RunMonitor:
    """Checks all workers at each tick, and their runs at a longer interval."""

    def __init__(self, context: Context, lifecycle: Lifecycle) -> None:
        """Work on the shared state."""
        self._context = context
        self._lifecycle = lifecycle
        self._next_run_check = 0.0

    def clear(self) -> None:
        """Check all runs at the next tick."""
        self._next_run_check = 0.0

    def tick(self) -> None:
        """Expire task leases, prepare for leaving workers, and check the runs when their interval is over."""
        now = self._context.clock.now()
        check_runs = now >= self._next_run_check
        if check_runs:
            self._next_run_check = now + RUN_CHECK_INTERVAL_S
        for worker in list(self._context.workers.values()):
            if not worker.runs:
                continue
            if now > worker.leases_expire_at:
                self._lifecycle.expire_worker(worker)
                continue
            if worker.draining:
                self._stop_before_leaving(worker, now)
            if check_runs:
                self._check_runs(worker, now)

    # ---- stalled and slow runs

    def _check_runs(self, worker: Worker, now: float) -> None:
        for run in list(worker.runs.values()):
            if not run.listed or run.stop_cause is not None or run.settled or run.task.task_group.stage.long_running:
                continue
            if self._stalled(worker, run, now):
                self._context.log.warning("run_stalled", peer=worker.node, task=run.task.name)
                worker.health.avoid(now)
                worker.health.stalled = True
                self._context.usability_changed(worker)
                self._lifecycle.request_stop(run, StopCause.STALLED)
            elif self._should_move(worker, run, now):
                run.task.moves += 1
                self._context.log.info("run_moved", peer=worker.node, task=run.task.name)
                self._lifecycle.request_stop(run, StopCause.SLOW)

    def _stalled(self, worker: Worker, run: Run, now: float) -> bool:
        """Return whether a run makes no progress while runs on other workers do."""
        bounds = self._context.timings.bounds
        stall_timeout_s = (
            STALL_TIMEOUT_S
            + STALL_ESTIMATE_FRACTION * run.task.task_group.stage.estimate_s
            + bounds.restore_ms / 1_000.0
        )
        if run.task.task_group.gang:
            stall_timeout_s += bounds.gang_ms / 1_000.0
        if run.percent_at - run.progressed_at <= stall_timeout_s or run.percent >= 100.0:
            return False
        last_progress_at = self._context.last_progress_at.get(worker.service, {})
        return any(node != worker.node and now - at < RECENT_PROGRESS_S for node, at in last_progress_at.items())

    def _should_move(self, worker: Worker, run: Run, now: float) -> bool:
        """Return whether a run is so slow that restarting it on another worker saves time."""
        stage = run.task.task_group.stage
        rate = run.rate
        if run.observed_s < MIN_RATE_OBSERVATION_S or rate <= 0.0 or run.task.moves >= MAX_MOVES:
            return False
        if rate * stage.estimate_s >= SLOW_SPEED or not worker.health.slow(now):
            return False
        if run.task.task_group.gang and not stage.checkpoints:
            return False
        left = 1.0 - run.percent / 100.0
        restore_s = self._context.timings.bounds.restore_ms / 1_000.0
        elsewhere_s = left * stage.estimate_s + restore_s if stage.checkpoints else stage.estimate_s
        elsewhere_s += self._context.timings.stop_s
        return run.remaining_s(now) > MOVE_FACTOR * elsewhere_s + MOVE_SLACK_S and self._fits_elsewhere(
            worker, run, now
        )

    def _fits_elsewhere(self, worker: Worker, run: Run, now: float) -> bool:
        """Return whether another worker has the free resources to run the task at once."""
        task_group = run.task.task_group
        selector = task_group.stage.node_selector
        return any(
            other is not worker
            and other.fits(task_group.resource_request)
            and (not selector or selector in other.labels)
            and not other.health.slow(now)
            for other in self._context.usable_workers(worker.service, now).workers
        )

    # ---- leaving workers

    def _stop_before_leaving(self, worker: Worker, now: float) -> None:
        """Stop the runs that cannot end before the worker leaves.

        A run that can be saved is stopped at the last moment. One that loses its work is stopped early if another
        worker can restart it at once.
        """
        left_s = worker.leaves_at - now
        last_moment = left_s <= self._context.timings.stop_s + LEAVE_SLACK_S
        for run in list(worker.runs.values()):
            if run.stop_cause is not None or run.settled or not run.task.task_group.job.open:
                continue
            stage = run.task.task_group.stage
            remaining_s = run.remaining_s(now)
            if stage.long_running or stage.checkpoints:
                if last_moment and (stage.long_running or remaining_s > left_s):
                    self._lifecycle.request_stop(run, StopCause.WORKER_LEAVING)
            elif remaining_s > CERTAIN_OVERRUN_FACTOR * left_s + MOVE_SLACK_S and self._fits_elsewhere(
                worker, run, now
            ):
                self._lifecycle.request_stop(run, StopCause.WORKER_LEAVING)
