"""Handling of agent reports: compares the runs that a worker reports with the expected ones, and applies run ends."""

from __future__ import annotations

import math
from collections import deque

from pipitledge.runtime.handlers import Reply
from pipitledge.scheduling.context import Context
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.orders import OrderSender
from pipitledge.scheduling.tasks import (
    ResourceRequest,
    Run,
    RunOutcome,
    StopCause,
    TaskGroup,
    parse_task_name,
    run_outcome_of,
)
from pipitledge.scheduling.workers import Worker
from pipitledge.wire.messages import (
    AgentReport,
    FinishedTask,
    NotPrimary,
    OrderResult,
    RunningTask,
    WorkerInfo,
)

MAX_LISTED_ENDS = 500  # a worker lists at most this many ends; a shorter list is complete
MAX_ANSWER_DELAY_S = 0.25  # an answer waits at most this long for the commit of the run ends in its report
REFUSAL_CONFIRMATION_S = 0.5  # a refusal that no newer lists confirm within this time is followed by a stop order
START_GRACE_S = 0.5  # lists made later than this after placement show the run, unless its order was lost
START = "start"
STARTED = "started"


class _DeferredAnswer:
    """The answer to a report, while it waits for a commit; `reply` is None once it was sent."""

    __slots__ = ("due", "reply", "report", "worker")

    def __init__(self, worker: Worker, report: AgentReport, reply: Reply, due: float) -> None:
        self.worker = worker
        self.report = report
        self.reply: Reply | None = reply
        self.due = due


class ReportHandler:
    """Applies agent reports and answers them with orders."""

    def __init__(self, context: Context, lifecycle: Lifecycle, orders: OrderSender) -> None:
        """Work on the shared state."""
        self._context = context
        self._lifecycle = lifecycle
        self._orders = orders
        self._deferred: deque[_DeferredAnswer] = deque()

    def clear(self) -> None:
        """Drop the answers that wait for a commit."""
        self._deferred.clear()

    def handle(self, report: AgentReport, reply: Reply) -> None:
        """Apply one report and answer it, or refer the agent to the primary."""
        context = self._context
        if not context.active or not context.replicator.is_primary():
            reply(NotPrimary(view=context.replicator.view))
            return
        now = context.clock.now()
        worker = context.worker(report.node)
        worker.leases_expire_at = max(worker.leases_expire_at, now + context.timings.lease_expiry_s)
        for instance in report.ended_instances:  # holds however old the report is
            if instance not in worker.dead_instances:
                self._lifecycle.end_instance(worker, instance)
        if worker.accept_report(report):
            self._apply_report(worker, report, now)
        if worker.last_end_received > worker.acknowledged:
            self._answer_when_committed(worker, report, reply, now)
        else:
            reply(self._orders.answer(worker, report))

    def answer_overdue(self) -> None:
        """Answer reports whose commit takes too long: the answer renews the lease grant of the agent."""
        now = self._context.clock.now()
        while self._deferred and (self._deferred[0].reply is None or self._deferred[0].due <= now):
            self._answer(self._deferred.popleft())

    # ---- answering

    def _answer_when_committed(self, worker: Worker, report: AgentReport, reply: Reply, now: float) -> None:
        """Answer once the run ends in the report are committed, so that the answer acknowledges them."""
        instance, last_end_received = worker.instance, worker.last_end_received
        deferred = _DeferredAnswer(worker, report, reply, now + MAX_ANSWER_DELAY_S)
        self._deferred.append(deferred)

        def committed() -> None:
            if worker.instance == instance:
                worker.acknowledged = max(worker.acknowledged, last_end_received)
            self._answer(deferred)

        self._context.batch.when_committed(committed)

    def _answer(self, deferred: _DeferredAnswer) -> None:
        reply, deferred.reply = deferred.reply, None
        if reply is None:
            return
        if self._context.replicator.is_primary():
            reply(self._orders.answer(deferred.worker, deferred.report))
        else:
            reply(NotPrimary(view=self._context.replicator.view))

    # ---- applying reports

    def _apply_report(self, worker: Worker, report: AgentReport, now: float) -> None:
        context = self._context
        usable = worker.usable(now, context.timings.heartbeat_s)
        worker.address = report.address
        worker.reported_at = now
        worker.unreachable = False
        silent = report.silent_ms > 0 or bool(report.lapsed_instance)
        if silent and not worker.silent:
            context.log.info("worker_silent", peer=worker.node, silent_ms=report.silent_ms, runs=len(worker.runs))
        worker.silent = silent
        if report.worker is not None and self._enter_instance(worker, report, report.worker):
            worker.update_from_heartbeat(report.worker, now, report.worker.heartbeat_age_ms / 1_000.0)
            if report.hold_number > 0:
                self._apply_lists(worker, report, now)
        if report.lapsed_instance and self._is_of_current_term(report):
            self._lifecycle.expire_instance(worker, report.lapsed_instance)
        if worker.usable(now, context.timings.heartbeat_s) != usable:
            context.usability_changed(worker)
            context.request_pass()

    def _is_of_current_term(self, report: AgentReport) -> bool:
        """Return whether the agent followed this primary when it made the report; reports can be delivered late."""
        return report.term == self._context.replicator.term

    def _enter_instance(self, worker: Worker, report: AgentReport, info: WorkerInfo) -> bool:
        """Return whether the report describes the current worker instance.

        A new instance replaces the earlier ones once it has answered a lease call under this term.
        """
        if info.instance == worker.instance:
            return True
        if info.instance in worker.dead_instances:
            return False
        answered = report.hold_number > 0 and report.hold_fence == self._context.replicator.term
        old_instances = {run.instance for run in worker.runs.values()} - {info.instance}
        if not answered and (worker.instance or old_instances):
            return False
        if worker.instance:
            old_instances.add(worker.instance)
        for instance in sorted(old_instances):
            self._lifecycle.end_instance(worker, instance)
        worker.begin_instance(info.instance)
        self._context.usability_changed(worker)
        return True

    def _apply_lists(self, worker: Worker, report: AgentReport, now: float) -> None:
        """Compare the lists of running and finished tasks with the runs that the worker should have."""
        if report.hold_number < worker.hold_number:
            return
        worker.hold_number = report.hold_number
        worker.hold_sent_at = max(worker.hold_sent_at, now - max(0, report.hold_age_ms) / 1_000.0)
        worker.hold_current = report.hold_fence == self._context.replicator.term
        self._apply_running(worker, report.running, now)
        self._apply_finished(worker, report.finished)
        if not self._is_of_current_term(report):
            return  # its results answer orders of an earlier primary, and newer orders may have followed them
        complete = len(report.finished) < MAX_LISTED_ENDS
        if complete:
            finished_keys = {(end.task, end.run) for end in report.finished}
            self._release_settled(worker, report, finished_keys)
            for result in report.results:
                self._apply_result(worker, result, report, finished_keys)
        else:
            for result in report.results:
                if not result.at_hold:
                    self._apply_refusal(worker, result)

    def _apply_running(self, worker: Worker, running: list[RunningTask], now: float) -> None:
        """Apply the list of running tasks; runs in it that the worker should not have are stopped."""
        unexpected_runs: dict[tuple[str, int], ResourceRequest | None] = {}
        listed_tasks: set[str] = set()
        absent: list[Run] = []
        for entry in running:
            run = worker.runs.get(entry.task)
            if run is not None and run.number == entry.run:
                listed_tasks.add(entry.task)
                self._lifecycle.withdraw_copy_request(run)
                self._apply_progress(worker, run, entry, now)
            else:
                unexpected_runs[entry.task, entry.run] = self._resource_request_of(entry.task)
        for name, run in worker.runs.items():
            run.listed = name in listed_tasks
            if not run.listed and worker.hold_sent_at > run.placed_at + START_GRACE_S:
                absent.append(run)
        for run in absent:
            self._lifecycle.stop_if_never_started(run)
        if worker.update_unexpected_runs(unexpected_runs):
            for key in unexpected_runs:
                worker.unexpected_stops_sent_at.setdefault(key, -math.inf)
            self._context.dirty_workers.add(worker)
            self._context.request_pass()

    def _resource_request_of(self, name: str) -> ResourceRequest | None:
        """Return the resource request of a task by its name; None if its job is unknown."""
        task_group = self._task_group_of(name)
        return task_group.resource_request if task_group is not None else None

    def _task_group_of(self, name: str) -> TaskGroup | None:
        """Return the task group of a task by its name; None if its job is unknown."""
        parsed = parse_task_name(name)
        job = self._context.jobs.get(parsed.job) if parsed is not None else None
        return (
            job.task_groups.get((parsed.occurrence, parsed.stage)) if job is not None and parsed is not None else None
        )

    def _apply_progress(self, worker: Worker, run: Run, entry: RunningTask, now: float) -> None:
        """Record the progress and the checkpoint of a run."""
        run.ever_listed = True
        self._lifecycle.record_checkpoint(run, entry.saved)
        if run.percent_hold_number == worker.hold_number:
            return  # these lists were applied before
        run.percent_hold_number = worker.hold_number
        run.percent_at = worker.hold_sent_at
        if run.first_percent_at < 0.0:
            run.first_percent = run.percent = entry.percent
            run.first_percent_at = run.progressed_at = now
        elif entry.percent > run.percent:
            run.percent = entry.percent
            run.progressed_at = now
            self._context.last_progress_at.setdefault(worker.service, {})[worker.node] = now
        if run.stop_cause is None and run.rate > 0.0:
            self._lifecycle.evidence.record_speed(run, worker, run.rate)

    def _apply_finished(self, worker: Worker, finished: list[FinishedTask]) -> None:
        """Apply the run ends that are new, in the order of their numbers."""
        instance = worker.instance
        for end in finished:
            if end.number <= worker.last_end_received:
                continue
            worker.last_end_received = end.number
            run = worker.runs.get(end.task)
            if run is not None and run.number == end.run and run.instance == instance:
                self._lifecycle.run_ended(run, run_outcome_of(end.how), end.saved)
            elif run_outcome_of(end.how) is RunOutcome.DONE:
                self._apply_unassigned_success(end)

    def _apply_unassigned_success(self, end: FinishedTask) -> None:
        """Complete a speculative task through a run that is not assigned in the state of this primary."""
        task_group = self._task_group_of(end.task)
        name = parse_task_name(end.task)
        if (
            task_group is None
            or name is None
            or not task_group.stage.speculative
            or name.index >= len(task_group.tasks)
        ):
            return
        task = task_group.tasks[name.index]
        if end.run <= task.last_run and task_group.job.open:
            self._lifecycle.complete_by_other_run(task)

    # ---- results of orders

    def _release_settled(self, worker: Worker, report: AgentReport, finished_keys: set[tuple[str, int]]) -> None:
        """Free the resources of settled runs that are in neither list any more."""
        for run in list(worker.runs.values()):
            has_ended = run.settled and not run.listed and report.hold_number > run.settled_hold_number
            if has_ended and run.instance == worker.instance and (run.task.name, run.number) not in finished_keys:
                self._lifecycle.run_ended(run, RunOutcome.DONE)

    def _apply_result(
        self, worker: Worker, result: OrderResult, report: AgentReport, finished_keys: set[tuple[str, int]]
    ) -> None:
        """Apply the result of an order; the lists in the report are complete and do not show the run."""
        run = worker.runs.get(result.task)
        if run is None or run.number != result.run or run.instance != worker.instance or run.listed:
            return
        if (result.task, result.run) in finished_keys or result.outcome == STARTED:
            return
        conclusive = report.hold_number >= result.at_hold
        if result.order != START:
            if result.outcome == "gone" or (result.outcome in ("stopped", "old") and conclusive):
                self._lifecycle.run_ended(run, RunOutcome.STOPPED)
        elif result.outcome == "old":
            if conclusive:
                self._lifecycle.run_ended(run, RunOutcome.LAPSED)
        elif conclusive:
            self._apply_refusal(worker, result)
        else:
            self._confirm_refusal(run)

    def _confirm_refusal(self, run: Run) -> None:
        """Wait for newer lists to confirm a refusal, and request a stop if none do in time.

        The refused run may have started late and may have been stopped since.
        """
        now = self._context.clock.now()
        if run.refused_at < 0.0:
            run.refused_at = now
        elif now - run.refused_at >= REFUSAL_CONFIRMATION_S:
            self._lifecycle.request_stop(run, StopCause.REFUSED)

    def _apply_refusal(self, worker: Worker, result: OrderResult) -> None:
        """Apply a certain refusal of a start order: the run never existed."""
        run = worker.runs.get(result.task)
        if run is None or run.number != result.run or run.instance != worker.instance:
            return
        if result.order != START or result.outcome in (STARTED, "old") or run.ever_listed:
            return
        now = self._context.clock.now()
        if result.outcome == "unhealthy":
            worker.health.record_unhealthy(now)
        elif result.outcome == "draining":
            worker.draining = True
        self._context.usability_changed(worker)
        self._context.log.info("start_refused", peer=worker.node, task=result.task, reason=result.outcome)
        self._lifecycle.run_ended(run, RunOutcome.REFUSED)
