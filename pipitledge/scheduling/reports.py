"""Agents' reports: what is told of a worker is set against what should be there, and ends are taken into the state."""

from __future__ import annotations

import math
from collections import deque

from pipitledge.runtime.handlers import Reply
from pipitledge.scheduling.context import Context
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.orders import Orders
from pipitledge.scheduling.tasks import Demand, Ending, Run, Step, StopCause, ending_of, parse_task_name
from pipitledge.scheduling.workers import Worker
from pipitledge.wire.messages import (
    AgentReport,
    FinishedTask,
    NotPrimary,
    OrderResult,
    RunningTask,
    WorkerInfo,
)

ENDS_AT_ONCE = 500  # a worker lists no more ends at a time; a shorter list is whole
LONGEST_DEFERRAL_S = 0.25  # an answer waits so long at most for the commit of the ends in its report
REFUSAL_PATIENCE_S = 0.5  # a refusal that no lists confirm for so long is followed by a stop
BEGUN_WITHIN_S = 0.5  # after its placing a run is there, or its order was lost
START = "start"
STARTED = "started"


class _Deferred:
    """A report whose answer waits for a commit."""

    __slots__ = ("due", "reply", "report", "worker")

    def __init__(self, worker: Worker, report: AgentReport, reply: Reply, due: float) -> None:
        self.worker = worker
        self.report = report
        self.reply: Reply | None = reply
        self.due = due


class Reports:
    """Takes agents' reports and answers with orders."""

    def __init__(self, context: Context, lifecycle: Lifecycle, orders: Orders) -> None:
        """Work on the shared state."""
        self._context = context
        self._lifecycle = lifecycle
        self._orders = orders
        self._deferred: deque[_Deferred] = deque()

    def clear(self) -> None:
        """Forget answers that wait."""
        self._deferred.clear()

    def handle(self, report: AgentReport, reply: Reply) -> None:
        """Take one report, and answer it."""
        context = self._context
        if not context.active or not context.replicator.is_primary():
            reply(NotPrimary(view=context.replicator.view))
            return
        now = context.clock.now()
        worker = context.worker(report.node)
        worker.leases_expire_at = max(worker.leases_expire_at, now + context.figures.lapse_s)
        for instance in report.ended_instances:  # true whenever it was sent
            if instance not in worker.dead_instances:
                self._lifecycle.end_instance(worker, instance)
        if worker.accept_report(report):
            self._take(worker, report, now)
        if worker.last_end_received > worker.acknowledged:
            self._answer_when_committed(worker, report, reply, now)
        else:
            reply(self._orders.answer(worker, report))

    def answer_overdue(self) -> None:
        """Answer reports whose commits take too long: the agents' grants must go on."""
        now = self._context.clock.now()
        while self._deferred and (self._deferred[0].reply is None or self._deferred[0].due <= now):
            self._answer(self._deferred.popleft())

    # ---- answering

    def _answer_when_committed(self, worker: Worker, report: AgentReport, reply: Reply, now: float) -> None:
        """Answer once the report's ends are committed, so that the answer acknowledges them."""
        instance, seen = worker.instance, worker.last_end_received
        deferred = _Deferred(worker, report, reply, now + LONGEST_DEFERRAL_S)
        self._deferred.append(deferred)

        def committed() -> None:
            if worker.instance == instance:
                worker.acknowledged = max(worker.acknowledged, seen)
            self._answer(deferred)

        self._context.batch.when_committed(committed)

    def _answer(self, deferred: _Deferred) -> None:
        reply, deferred.reply = deferred.reply, None
        if reply is None:
            return
        if self._context.replicator.is_primary():
            reply(self._orders.answer(deferred.worker, deferred.report))
        else:
            reply(NotPrimary(view=self._context.replicator.view))

    # ---- taking

    def _take(self, worker: Worker, report: AgentReport, now: float) -> None:
        context = self._context
        usable = worker.usable(now, context.figures.heartbeat_s)
        worker.address = report.address
        worker.reported_at = now
        worker.unreachable = False
        worker.silent = report.silent_ms > 0 or bool(report.lapsed_instance)
        if report.worker is not None and self._enter_life(worker, report, report.worker):
            worker.update_from_heartbeat(report.worker, now, report.worker.heartbeat_age_ms / 1_000.0)
            if report.hold_number > 0:
                self._take_lists(worker, report, now)
        if report.lapsed_instance and self._is_of_this_term(report):
            self._lifecycle.lapse_life(worker, report.lapsed_instance)
        if worker.usable(now, context.figures.heartbeat_s) != usable:
            context.usability_changed(worker)
            context.request_pass()

    def _is_of_this_term(self, report: AgentReport) -> bool:
        """Whether the agent obeyed this primary when it made the report; a copy may have been long on its way."""
        return report.term == self._context.replicator.term

    def _enter_life(self, worker: Worker, report: AgentReport, info: WorkerInfo) -> bool:
        """Whether the report tells of the life that the worker is in; a new one counts once it has answered."""
        if info.instance == worker.instance:
            return True
        if info.instance in worker.dead_instances:
            return False
        answered = report.hold_number > 0 and report.hold_fence == self._context.replicator.term
        old_lives = {run.instance for run in worker.runs.values()} - {info.instance}
        if not answered and (worker.instance or old_lives):
            return False
        if worker.instance:
            old_lives.add(worker.instance)
        for instance in sorted(old_lives):
            self._lifecycle.end_instance(worker, instance)
        worker.begin_instance(info.instance)
        self._context.usability_changed(worker)
        return True

    def _take_lists(self, worker: Worker, report: AgentReport, now: float) -> None:
        """Set the worker's lists against its runs."""
        if report.hold_number < worker.hold_number:
            return
        worker.hold_number = report.hold_number
        worker.hold_sent_at = max(worker.hold_sent_at, now - max(0, report.hold_age_ms) / 1_000.0)
        worker.hold_current = report.hold_fence == self._context.replicator.term
        self._take_running(worker, report.running, now)
        self._take_finished(worker, report.finished)
        if not self._is_of_this_term(report):
            return  # its results are of an earlier primary's orders, which may have given others since
        whole = len(report.finished) < ENDS_AT_ONCE
        if whole:
            listed = {(end.task, end.run) for end in report.finished}
            self._release_settled(worker, report, listed)
            for result in report.results:
                self._take_result(worker, result, report, listed)
        else:
            for result in report.results:
                if not result.at_hold:
                    self._take_refusal(worker, result)

    def _take_running(self, worker: Worker, running: list[RunningTask], now: float) -> None:
        unexpected_runs: dict[tuple[str, int], Demand | None] = {}
        shown: set[str] = set()
        absent: list[Run] = []
        for entry in running:
            run = worker.runs.get(entry.task)
            if run is not None and run.number == entry.run:
                shown.add(entry.task)
                self._lifecycle.go_on_with(run)
                self._take_progress(worker, run, entry, now)
            else:
                unexpected_runs[entry.task, entry.run] = self._demand_of(entry.task)
        for name, run in worker.runs.items():
            run.shown = name in shown
            if not run.shown and worker.hold_sent_at > run.placed_at + BEGUN_WITHIN_S:
                absent.append(run)
        for run in absent:
            self._lifecycle.end_if_never_begun(run)
        if worker.update_unexpected_runs(unexpected_runs):
            for key in unexpected_runs:
                worker.unexpected_stops_sent_at.setdefault(key, -math.inf)
            self._context.dirty.add(worker)
            self._context.request_pass()

    def _demand_of(self, name: str) -> Demand | None:
        """What a task needs, if it is of a job that is known."""
        step = self._step_of(name)
        return step.demand if step is not None else None

    def _step_of(self, name: str) -> Step | None:
        """The step of a task, if its job is known."""
        parsed = parse_task_name(name)
        job = self._context.jobs.get(parsed.job) if parsed is not None else None
        return job.steps.get((parsed.time, parsed.step)) if job is not None and parsed is not None else None

    def _take_progress(self, worker: Worker, run: Run, entry: RunningTask, now: float) -> None:
        """Take note of how far a run has come, and of its checkpoint."""
        run.seen = True
        self._lifecycle.note_saved(run, entry.saved)
        if run.percent_hold == worker.hold_number:
            return  # these lists are known
        run.percent_hold = worker.hold_number
        run.percent_at = worker.hold_sent_at
        if run.first_percent_at < 0.0:
            run.first_percent = run.percent = entry.percent
            run.first_percent_at = run.progressed_at = now
        elif entry.percent > run.percent:
            run.percent = entry.percent
            run.progressed_at = now
            self._context.progressed.setdefault(worker.service, {})[worker.node] = now
        if run.stop is None and run.rate > 0.0:
            self._lifecycle.evidence.record_speed(run, worker, run.rate)

    def _take_finished(self, worker: Worker, finished: list[FinishedTask]) -> None:
        """Take in the ends that are new, in their order."""
        instance = worker.instance
        for end in finished:
            if end.number <= worker.last_end_received:
                continue
            worker.last_end_received = end.number
            run = worker.runs.get(end.task)
            if run is not None and run.number == end.run and run.instance == instance:
                self._lifecycle.run_ended(run, ending_of(end.how), end.saved)
            elif ending_of(end.how) is Ending.DONE:
                self._take_stray_success(end)

    def _take_stray_success(self, end: FinishedTask) -> None:
        """A run that this primary does not know of ended well: it counts where copies may run beside each other."""
        step = self._step_of(end.task)
        name = parse_task_name(end.task)
        if step is None or name is None or not step.stage.speculative or name.index >= len(step.tasks):
            return
        task = step.tasks[name.index]
        if end.run <= task.last_run and step.job.open:
            self._lifecycle.done_beside(task)

    # ---- results of orders

    def _release_settled(self, worker: Worker, report: AgentReport, listed: set[tuple[str, int]]) -> None:
        """Free the room of a done gang's members that are gone from the lists."""
        for run in list(worker.runs.values()):
            gone = run.settled and not run.shown and report.hold_number > run.settled_hold
            if gone and run.instance == worker.instance and (run.task.name, run.number) not in listed:
                self._lifecycle.run_ended(run, Ending.DONE)

    def _take_result(
        self, worker: Worker, result: OrderResult, report: AgentReport, listed: set[tuple[str, int]]
    ) -> None:
        """Take in how an order ended, where the lists are whole."""
        run = worker.runs.get(result.task)
        if run is None or run.number != result.run or run.instance != worker.instance or run.shown:
            return
        if (result.task, result.run) in listed or result.outcome == STARTED:
            return
        conclusive = report.hold_number >= result.at_hold
        if result.order != START:
            if result.outcome == "gone" or (result.outcome in ("stopped", "old") and conclusive):
                self._lifecycle.run_ended(run, Ending.STOPPED)
        elif result.outcome == "old":
            if conclusive:
                self._lifecycle.run_ended(run, Ending.LAPSED)
        elif conclusive:
            self._take_refusal(worker, result)
        else:
            self._make_certain(run)

    def _make_certain(self, run: Run) -> None:
        """A refused run may have been started late and stopped since: lists made after that tell, or a stop does."""
        now = self._context.clock.now()
        if run.refused_at < 0.0:
            run.refused_at = now
        elif now - run.refused_at >= REFUSAL_PATIENCE_S:
            self._lifecycle.request_stop(run, StopCause.REFUSED)

    def _take_refusal(self, worker: Worker, result: OrderResult) -> None:
        """A worker refused a start for certain: the run never was."""
        run = worker.runs.get(result.task)
        if run is None or run.number != result.run or run.instance != worker.instance:
            return
        if result.order != START or result.outcome in (STARTED, "old") or run.seen:
            return
        now = self._context.clock.now()
        if result.outcome == "unhealthy":
            worker.health.record_unhealthy(now)
        elif result.outcome == "draining":
            worker.draining = True
        self._context.usability_changed(worker)
        self._context.log.info("start_refused", peer=worker.node, task=result.task, reason=result.outcome)
        self._lifecycle.run_ended(run, Ending.REFUSED)
