"""What passes with time: holds that lapse, runs that stand still or crawl, workers that are about to leave."""

from __future__ import annotations

from pipitledge.scheduling.context import Context
from pipitledge.scheduling.health import SLOW_SPEED
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.tasks import Run, StopCause
from pipitledge.scheduling.workers import Worker

STALL_S = 1.0  # without progress while others progress, and more for long tasks
STALL_PART = 0.15  # of a task's estimate
PROGRESS_MEMORY_S = 4.0  # lists are seconds old where no end comes
RATE_AFTER_S = 1.0  # of progress, before a run's rate is believed
MOVE_FACTOR = 2.0  # a run is moved if it takes so many times as long where it is
MOVE_SLACK_S = 0.5
MOST_MOVES = 2  # of one task
LEAVE_SLACK_S = 0.6  # before a worker leaves, what can be saved is stopped
SURE_FACTOR = 1.5  # a run that needs so many times what is left can't end in time
RUNS_EVERY_S = 0.5


class Watch:
    """Looks after runs and workers from time to time."""

    def __init__(self, context: Context, lifecycle: Lifecycle) -> None:
        """Work on the shared state."""
        self._context = context
        self._lifecycle = lifecycle
        self._next_look = 0.0

    def clear(self) -> None:
        """Look at everything at the next tick."""
        self._next_look = 0.0

    def tick(self) -> None:
        """Look at all workers, and now and then at all runs."""
        now = self._context.clock.now()
        look = now >= self._next_look
        if look:
            self._next_look = now + RUNS_EVERY_S
        for worker in list(self._context.workers.values()):
            if not worker.runs:
                continue
            if now > worker.leases_expire_at:
                self._lifecycle.lapse(worker)
                continue
            if worker.draining:
                self._prepare_leaving(worker, now)
            if look:
                self._look_at_runs(worker, now)

    # ---- runs that don't get on

    def _look_at_runs(self, worker: Worker, now: float) -> None:
        for run in list(worker.runs.values()):
            if not run.shown or run.stop is not None or run.settled or run.task.step.stage.long_running:
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
        """Whether a run stands still while work on other workers goes on."""
        bounds = self._context.figures.bounds
        patience_s = STALL_S + STALL_PART * run.task.step.stage.estimate_s + bounds.restore_ms / 1_000.0
        if run.task.step.gang:
            patience_s += bounds.gang_ms / 1_000.0
        if run.percent_at - run.progressed_at <= patience_s or run.percent >= 100.0:
            return False
        progressed = self._context.progressed.get(worker.service, {})
        return any(node != worker.node and now - at < PROGRESS_MEMORY_S for node, at in progressed.items())

    def _should_move(self, worker: Worker, run: Run, now: float) -> bool:
        """Whether a run gets on so slowly that it had better start anew elsewhere."""
        stage = run.task.step.stage
        rate = run.rate
        if run.observed_s < RATE_AFTER_S or rate <= 0.0 or run.task.moves >= MOST_MOVES:
            return False
        if rate * stage.estimate_s >= SLOW_SPEED or not worker.health.slow(now):
            return False
        if run.task.step.gang and not stage.checkpoints:
            return False
        left = 1.0 - run.percent / 100.0
        restore_s = self._context.figures.bounds.restore_ms / 1_000.0
        elsewhere_s = left * stage.estimate_s + restore_s if stage.checkpoints else stage.estimate_s
        elsewhere_s += self._context.figures.stop_s
        return run.remaining_s(now) > MOVE_FACTOR * elsewhere_s + MOVE_SLACK_S and self._room_elsewhere(
            worker, run, now
        )

    def _room_elsewhere(self, worker: Worker, run: Run, now: float) -> bool:
        """Whether another worker could take the task at once."""
        step = run.task.step
        selector = step.stage.node_selector
        return any(
            other is not worker
            and other.fits(step.demand)
            and (not selector or selector in other.labels)
            and not other.health.slow(now)
            for other in self._context.usable_workers(worker.service, now).workers
        )

    # ---- workers that leave

    def _prepare_leaving(self, worker: Worker, now: float) -> None:
        """Save what can't end before the worker leaves, and start anew early what is lost anyway."""
        left_s = worker.leaves_at - now
        last_moment = left_s <= self._context.figures.stop_s + LEAVE_SLACK_S
        for run in list(worker.runs.values()):
            if run.stop is not None or run.settled or not run.task.step.job.open:
                continue
            stage = run.task.step.stage
            remaining_s = run.remaining_s(now)
            if stage.long_running or stage.checkpoints:
                if last_moment and (stage.long_running or remaining_s > left_s):
                    self._lifecycle.request_stop(run, StopCause.LEAVING)
            elif remaining_s > SURE_FACTOR * left_s + MOVE_SLACK_S and self._room_elsewhere(worker, run, now):
                self._lifecycle.request_stop(run, StopCause.LEAVING)
