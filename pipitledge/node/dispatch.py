"""Tracks queries and their executions between a front and the server links; the only caller of the policy.

Independent of the protocol: any front can submit queries and receive answers. Events are collected during a round of
the scheduler and passed to the policy in one call, and the actions that it returns are carried out in order.
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

# An answer has to be sent before the client's timeout. So the deadline of a query is the client's timeout less a margin
# of this length or this share of the timeout, whichever is less. A query that the policy has not ended OVERDUE_GRACE_MS
# after its deadline is failed.
ANSWER_MARGIN_MS, ANSWER_MARGIN_SHARE, OVERDUE_GRACE_MS = 10.0, 0.1, 15.0


@dataclass(frozen=True, slots=True)
class Served:
    """The query succeeded with this result of a worker."""

    result: bytes


@dataclass(frozen=True, slots=True)
class Throttle:
    """The query was refused: a retry is safe, best after `retry_after_ms` (0: no advice)."""

    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Failure:
    """The query failed; the job may or may not have run."""

    reason: str


Answer = Served | Throttle | Failure


@dataclass(slots=True, eq=False)
class Query:
    """One request of a client; tracked until it is answered and its last execution has ended."""

    arrival: api.JobArrived
    passage: Any  # what the server link forwards to the worker; opaque here
    reply: Callable[[Answer], None]
    deadline_ms: float = 0.0
    max_executions: int = 1 << 30  # limit from the settings when the query arrived
    execution_count: int = 0  # includes NOT_SENT ones: the number of an execution is the index of the policy's Send
    executions: dict[int, Execution] = field(default_factory=dict)
    open: bool = True
    overdue_timer: Timer | None = None
    policy_timer: Timer | None = None  # set by the policy for this query; cancelled when the query is closed


@dataclass(slots=True, eq=False)
class Execution:
    """One attempt to run a query on a worker. It ends exactly once."""

    query: Query
    number: int
    worker: str
    sent_ms: float
    deadline_ms: float
    ended: bool = False
    abandoned: bool = False  # cancelled by the policy, even if it was sent
    withdrawn: bool = False  # cancelled by the policy unless it was sent completely
    reported_running: bool = False  # the worker has reported that it runs
    wake: Callable[[], None] | None = None  # wakes the task of its server link

    def is_cancelled(self) -> bool:
        """Return whether no more of the request may be written.

        Asked until the last byte is written; from then on the job may have run.
        """
        return self.abandoned or self.withdrawn or not self.query.open


class Links(Protocol):
    """Carries out executions and probes."""

    def start(self, execution: Execution) -> None:
        """Start an execution; its end is reported by Dispatch.ended."""

    def probe(self, worker: str) -> None:
        """Request a load report from a worker; the result is reported by Dispatch.probe_ended."""


class Dispatch:
    """Passes events to the policy and carries out its actions."""

    def __init__(self, clock: Clock, timers: Timers, policy: Policy, counters: Counters, log: Log) -> None:
        """Store the collaborators; `links` and `watch` must be set before the first round."""
        self.clock, self.timers, self.policy, self.counters, self.log = clock, timers, policy, counters, log
        self.links: Links
        self.watch: Callable[[], None] = lambda: None
        self.events: list[api.Event] = []
        self.queries: dict[str, Query] = {}
        self.open = 0
        self.end_by_ms = math.inf  # latest deadline of queries that arrive while the node stops
        self.idle: Callable[[], None] = lambda: None  # called when the last open query was answered
        self.open_in_predecessor: set[str] = set()  # ids of queries still open in the process that this one replaces
        self.over: Callable[[list[str]], None] = lambda ids: None  # called with the ids of finished queries
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
        """Register a query; None if its id is still in use, as the policy would ignore the second query."""
        if arrival.job in self.queries or arrival.job in self.open_in_predecessor:
            return None
        query = Query(arrival, passage, reply, max_executions=self.policy.settings.max_attempts)
        margin = min(ANSWER_MARGIN_MS, ANSWER_MARGIN_SHARE * arrival.time_limit_ms)
        query.deadline_ms = min(self.clock.now() + arrival.time_limit_ms - margin, self.end_by_ms)
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
        """Close the query of a client that disconnected; executions that were sent go on."""
        if query.open:
            self.counters.add("query.client-left")
            self._close(query)
            self.events.append(api.ClientGone(query.arrival.job))

    def fail_open_queries(self) -> None:
        """Fail all open queries as the process ends.

        Queries that arrived before the stop was announced may have a later deadline.
        """
        for query in [query for query in self.queries.values() if query.open]:
            self.counters.add("query.cut-short")
            self._answer(query, Failure("stopping"))
            self.events.append(api.ClientGone(query.arrival.job))

    def _fail_overdue(self, query: Query) -> None:
        """Fail a query that the policy has not ended in time; a guard against any lost event or action."""
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
        """Record the end of an execution; later calls are ignored. The first SERVED one answers the query."""
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
        """Report that a worker has started an execution, or has completed `fraction` of it."""
        if not execution.ended:
            execution.reported_running = True
            self.events.append(
                api.AttemptNote(execution.query.arrival.job, execution.number, execution.worker, fraction)
            )

    def probe_ended(
        self, worker: str, end_reason: EndReason, elapsed_ms: float, report: Mapping[str, float] | None = None
    ) -> None:
        """Report the result of a probe to the policy."""
        self.counters.add(f"probe.{end_reason.value}")
        self.events.append(api.ProbeEnded(worker, RESULT_BY_END_REASON[end_reason], elapsed_ms, report))

    def workers_changed(self, change: api.WorkersChanged) -> None:
        """Report a change of the worker list to the policy."""
        self.counters.add(f"list.{change.listing.value}")
        self.events.append(change)

    # ---- the round

    def round(self) -> None:
        """Pass the collected events to the policy and carry out its actions, until there are no more events."""
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
        # Removed only now: actions of the same round may refer to a query that has just ended.
        finished = [query.arrival.job for query in self._finished if not query.executions]
        for name in finished:
            self.queries.pop(name, None)
        self._finished.clear()
        if finished:
            self.over(finished)

    def _policy_failed(self, events: list[api.Event]) -> None:
        """Handle an exception of the policy: fail the queries that it may not have processed."""
        self.counters.add("fault.module")
        self.log("fault", where="module", trace=traceback.format_exc())
        for event in events:
            if isinstance(event, (api.JobArrived, api.AttemptEnded)):
                query = self.queries.get(event.job)
                if query is not None and query.open and not query.executions:
                    self._answer(query, Failure("module fault"))
                    self.events.append(api.ClientGone(event.job))

    # ---- actions of the policy

    def _send(self, action: api.Send) -> None:
        query, now = self.queries.get(action.job), self.clock.now()
        if query is None:  # not expected, as queries are kept until the end of the round; reported all the same
            self.log("fault", where="send", query=action.job)
            self.events.append(api.AttemptEnded(action.job, 0, action.worker, api.Result.NOT_SENT, 0.0, True))
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
        """Answer a query, and count answers by kind and tenant and failures by reason, for analysis of an overload.

        Tenants come from the configuration and reasons from this file, so the number of counters is bounded.
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
            if execution.wake is not None:  # an execution that was not sent yet ends with its query
                execution.wake()
        if not query.executions:
            self._finished.append(query)
        if not self.open:
            self.idle()
