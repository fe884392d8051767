"""Queries and executions between a front and the server links; the only caller of the module.

Knows no HTTP: a front hands in queries and gets answers, whatever protocol it speaks. Events gather during a
round of the scheduler, are handed to the module at once, and its actions are carried out in order.
"""

from __future__ import annotations

import math
import traceback
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from pipitledge.decision import interface as api
from pipitledge.decision.policy import Policy
from pipitledge.net.timers import Clock, Timer, Timers
from pipitledge.node.counters import Counters, Log
from pipitledge.node.end_reasons import RESULT_BY_END_REASON, EndReason

# An answer has to be out before the client gives up: executions are given up this much before its patience
# ends, and what the module should have lost track of is failed this much after that.
ANSWER_MARGIN_MS, ANSWER_MARGIN_SHARE, OVERDUE_GRACE_MS = 10.0, 0.1, 15.0


@dataclass(frozen=True, slots=True)
class Served:
    """A worker's result for this query."""

    result: bytes


@dataclass(frozen=True, slots=True)
class Throttle:
    """A refusal: trying again is harmless, and better after this time (0: no advice)."""

    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Failure:
    """Failed, with no promise about its effect."""

    reason: str


Answer = Served | Throttle | Failure


@dataclass(slots=True, eq=False)
class Query:
    """One request of a client, until it is answered and its last execution has ended."""

    arrival: api.JobArrived
    passage: Any  # what the server link passes on; opaque here
    reply: Callable[[Answer], None]
    deadline_ms: float = 0.0
    max_executions: int = 1 << 30  # executions that the settings allowed when it came
    execution_count: int = 0  # executions so far, MOOT ones included: their numbers follow the module's sends
    executions: dict[int, Execution] = field(default_factory=dict)
    open: bool = True
    overdue_timer: Timer | None = None
    policy_timer: Timer | None = None  # the module's for this query: of no use once the query is finished


@dataclass(slots=True, eq=False)
class Execution:
    """One attempt of a query at a worker. It ends exactly once."""

    query: Query
    number: int
    worker: str
    sent_ms: float
    deadline_ms: float
    ended: bool = False
    abandoned: bool = False  # the module has called it off, whatever has become of it
    withdrawn: bool = False  # the module wants it back if it has not gone out whole
    reported_running: bool = False  # the worker has said that it runs
    wake: Callable[[], None] | None = None  # its server link's

    def is_cancelled(self) -> bool:
        """Whether none of it may be written any more; asked up to its last byte, from which on it may have run."""
        return self.abandoned or self.withdrawn or not self.query.open


class Links(Protocol):
    """The side that carries out executions and probes."""

    def start(self, execution: Execution) -> None:
        """Carry it out; its end_reason is told to the dispatch."""

    def probe(self, worker: str) -> None:
        """Ask a worker how it is; the result is told to the dispatch."""


class Dispatch:
    """Feeds the module and does what it says."""

    def __init__(self, clock: Clock, timers: Timers, policy: Policy, counters: Counters, log: Log) -> None:
        """Wire up; links and watch are set before the first round."""
        self.clock, self.timers, self.policy, self.counters, self.log = clock, timers, policy, counters, log
        self.links: Links
        self.watch: Callable[[], None] = lambda: None
        self.events: list[api.Event] = []
        self.queries: dict[str, Query] = {}
        self.open = 0
        self.end_by_ms = math.inf  # of a node that stops: queries taken from then on end by this time
        self.idle: Callable[[], None] = lambda: None  # told when a query was answered and none is left
        self.open_in_predecessor: set[str] = set()  # ids that are still open in the process whose place we took
        self.over: Callable[[list[str]], None] = lambda ids: None  # told of ids that are no longer open here
        self._finished: list[Query] = []
        self._handlers: dict[type, Callable[[Any], None]] = {
            api.Send: self._send,
            api.Cancel: self._cancel,
            api.Withdraw: self._cancel,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.Probe: lambda action: self.links.probe(action.worker),
            api.Subscribe: lambda _: self.watch(),
            api.SetTimer: self._set_timer,
            api.Log: lambda action: self.log("module", text=action.text),
        }

    # ---- from the front

    def take(self, arrival: api.JobArrived, passage: Any, reply: Callable[[Answer], None]) -> Query | None:
        """Take a query; None if one of this id is still here, as the module would ignore the second."""
        if arrival.job in self.queries or arrival.job in self.open_in_predecessor:
            return None
        query = Query(arrival, passage, reply, max_executions=self.policy.settings.max_attempts)
        margin = min(ANSWER_MARGIN_MS, ANSWER_MARGIN_SHARE * arrival.lasts_ms)
        query.deadline_ms = min(self.clock.now() + arrival.lasts_ms - margin, self.end_by_ms)
        if arrival.plan.learned is not None:
            arrival.plan.learned.arrived(self.clock.now())
        query.overdue_timer = self.timers.at(query.deadline_ms + OVERDUE_GRACE_MS, lambda: self._fail_overdue(query))
        self.queries[arrival.job] = query
        self.open += 1
        self.counters.add("query.taken")
        self.counters.add(f"tenant.{arrival.tenant}.taken")
        self.events.append(arrival)
        return query

    def client_gone(self, query: Query) -> None:
        """End the query, not those of its executions that have gone out."""
        if query.open:
            self.counters.add("query.client-left")
            self._close(query)
            self.events.append(api.ClientGone(query.arrival.job))

    def fail_open_queries(self) -> None:
        """Answer all that is open, as the process ends: one may have come before that was told, with patience."""
        for query in [query for query in self.queries.values() if query.open]:
            self.counters.add("query.cut-short")
            self._answer(query, Failure("stopping"))
            self.events.append(api.ClientGone(query.arrival.job))

    def _fail_overdue(self, query: Query) -> None:
        """Fail a query that the module has not ended in time; it guards against any loss on the way there."""
        if query.open:
            self.log("overdue", query=query.arrival.job, sends=query.execution_count, out=len(query.executions))
            self.counters.add("query.overdue")
            self._answer(query, Failure("overdue"))
            self.events.append(api.ClientGone(query.arrival.job))

    # ---- from server links and the host group

    def ended(
        self,
        execution: Execution,
        end_reason: EndReason,
        report: Mapping[str, float] | None = None,
        result: bytes = b"",
    ) -> None:
        """Take the one end_reason of an execution; the first that served answers the query."""
        if execution.ended:
            return
        execution.ended, query = True, execution.query
        query.executions.pop(execution.number, None)
        self.counters.add(f"execution.{end_reason.value}")
        if end_reason is EndReason.SERVED and query.arrival.plan.learned is not None:
            query.arrival.plan.learned.served(self.clock.now() - execution.sent_ms)
        if end_reason is EndReason.SERVED and query.open:
            self._answer(query, Served(result))
        elif not query.open and not query.executions:
            self._finished.append(query)
        self.events.append(
            api.AttemptEnded(
                query.arrival.job,
                execution.number,
                execution.worker,
                RESULT_BY_END_REASON[end_reason],
                self.clock.now() - execution.sent_ms,
                not query.open,
                report,
            )
        )

    def execution_progressed(self, execution: Execution, fraction: float) -> None:
        """An execution started, or came so far."""
        if not execution.ended:
            execution.reported_running = True
            self.events.append(
                api.AttemptNote(execution.query.arrival.job, execution.number, execution.worker, fraction)
            )

    def probe_ended(
        self, worker: str, end_reason: EndReason, elapsed_ms: float, report: Mapping[str, float] | None = None
    ) -> None:
        """Take the result of a probe."""
        self.counters.add(f"probe.{end_reason.value}")
        self.events.append(api.ProbeEnded(worker, RESULT_BY_END_REASON[end_reason], elapsed_ms, report))

    def workers_changed(self, change: api.WorkersChanged) -> None:
        """Take news of the host group."""
        self.counters.add(f"list.{change.listing.value}")
        self.events.append(change)

    # ---- the round

    def round(self) -> None:
        """Hand the gathered events to the module and carry out what it says, until nothing is left."""
        while self.events:
            events, self.events = self.events, []
            try:
                actions = self.policy.handle(self.clock.now(), events)
            except Exception:
                self._policy_failed(events)
                actions = list(self.policy.actions)
            for action in actions:
                try:
                    self._handlers[type(action)](action)
                except Exception:
                    self.counters.add("fault.action")
                    self.log("fault", action=action, trace=traceback.format_exc())
        # Only now: within the round the module may still have named a query that had just ended.
        finished = [query.arrival.job for query in self._finished if not query.executions]
        for name in finished:
            self.queries.pop(name, None)
        self._finished.clear()
        if finished:
            self.over(finished)

    def _policy_failed(self, events: list[api.Event]) -> None:
        """Lose no query with the module's exception: those it may not have seen are failed now."""
        self.counters.add("fault.module")
        self.log("fault", where="module", trace=traceback.format_exc())
        for event in events:
            if isinstance(event, (api.JobArrived, api.AttemptEnded)):
                query = self.queries.get(event.job)
                if query is not None and query.open and not query.executions:
                    self._answer(query, Failure("module fault"))
                    self.events.append(api.ClientGone(event.job))

    # ---- the module's actions

    def _send(self, action: api.Send) -> None:
        query, now = self.queries.get(action.job), self.clock.now()
        if query is None:  # can't be while queries outlive the round; the module is told even so
            self.log("fault", where="send", query=action.job)
            self.events.append(api.AttemptEnded(action.job, 0, action.worker, api.Result.MOOT, 0.0, True))
            return
        deadline = min(query.deadline_ms, now + action.timeout_ms) if action.timeout_ms else query.deadline_ms
        execution = Execution(query, query.execution_count, action.worker, now, deadline)
        query.execution_count += 1
        query.executions[execution.number] = execution
        if (
            not query.open
            or now >= deadline
            or query.execution_count > min(query.max_executions, self.policy.settings.max_attempts)
        ):
            self.ended(execution, EndReason.NEVER_SENT)
        else:
            self.counters.add("execution.started")
            if execution.number:
                self.counters.add("execution.copy" if len(query.executions) > 1 else "execution.again")
            self.links.start(execution)

    def _cancel(self, action: api.Cancel | api.Withdraw) -> None:
        query = self.queries.get(action.job)
        if query is not None and (execution := query.executions.get(action.attempt)) is not None:
            if isinstance(action, api.Cancel):
                execution.abandoned = True
            else:
                execution.withdrawn = True
            if execution.wake is not None:
                execution.wake()

    def _refuse(self, action: api.Refuse) -> None:
        self._answer_if_open(action.job, Throttle(action.retry_after_ms))

    def _fail(self, action: api.Fail) -> None:
        self._answer_if_open(action.job, Failure("failed"))

    def _answer_if_open(self, job: str, answer: Answer) -> None:
        query = self.queries.get(job)
        if query is not None and query.open:
            self._answer(query, answer)

    def _set_timer(self, action: api.SetTimer) -> None:
        timer = self.timers.at(
            self.policy.now + action.delay_ms, lambda: self.events.append(api.TimerFired(action.token))
        )
        if action.job and (query := self.queries.get(action.job)) is not None:
            if query.policy_timer is not None:
                query.policy_timer.cancel()
            query.policy_timer = timer

    # ---- answers

    def _answer(self, query: Query, answer: Answer) -> None:
        """Count who got what, and why a failure came: after an overload that is what operators ask.

        Tenants are the configuration's and reasons are this file's: the names of counters stay few.
        """
        kind = type(answer).__name__.lower()
        self.counters.add(f"answer.{kind}")
        self.counters.add(f"tenant.{query.arrival.tenant}.{kind}")
        if isinstance(answer, Failure):
            self.counters.add(f"answer.failure.{answer.reason.replace(' ', '-')}")
        self._close(query)
        query.reply(answer)

    def _close(self, query: Query) -> None:
        query.open = False
        self.open -= 1
        for timer in (query.overdue_timer, query.policy_timer):
            if timer is not None:
                timer.cancel()
        for execution in query.executions.values():
            if execution.wake is not None:  # one that has not gone out yet ends with its query
                execution.wake()
        if not query.executions:
            self._finished.append(query)
        if not self.open:
            self.idle()
