"""Guards of the system, each taken out by itself: the whole-system days must find every one of them missing."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from unittest import mock

from pipitledge.agent.agent import Agent
from pipitledge.agent.life import Lives
from pipitledge.agent.orders import OrderDesk
from pipitledge.agent.permit import Permit
from pipitledge.configuration import configuration_service
from pipitledge.emulator.cluster.auditor import Breach
from pipitledge.replication.primary import Primary
from pipitledge.runtime.handlers import Reply
from pipitledge.scheduling.calls import Answer, ClientCalls
from pipitledge.scheduling.context import Figures
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.reports import Reports
from pipitledge.scheduling.workers import Worker
from pipitledge.wire.messages import AgentOrders, OperatorReply


@dataclass(frozen=True)
class Mutant:
    """One guard, and what its absence breaks."""

    name: str
    patches: Callable[[], list[Any]]
    rules: frozenset[str]
    said: str = ""  # in the text of the breach

    def shows_in(self, breach: Breach) -> bool:
        """Whether a breach is what the missing guard leads to."""
        return breach.rule in self.rules and self.said in str(breach)


def _ends_acknowledged_at_once() -> list[Any]:
    """An end is acknowledged to the worker before it is in replicated state."""

    def answer(self: Reports, worker: Worker, report: Any, reply: Any, now: float) -> None:
        worker.acknowledged = worker.ends_seen
        reply(self._orders.answer(worker, report))

    return [mock.patch.object(Reports, "_answer_when_committed", answer)]


def _clients_answered_at_once() -> list[Any]:
    """A client is told "accepted" before the job is in replicated state."""

    def send(self: ClientCalls, answer: Answer, reply: Reply) -> None:
        reply(answer.reply)

    return [mock.patch.object(ClientCalls, "_when_committed", send)]


def _no_lapse_wait() -> list[Any]:
    """What a worker out of reach runs counts as over at once."""
    return [mock.patch.object(Figures, "lapse_s", property(lambda self: 2.0))]


def _holds_without_end() -> list[Any]:
    """An agent without a primary lets its worker hold on."""

    def until(self: Permit) -> float | None:
        return None if self._granted_until is None else self._clock.now() + self._longest_hold

    return [mock.patch.object(Permit, "until", until)]


def _room_not_counted() -> list[Any]:
    """Runs are not counted against their worker's room."""
    return [mock.patch.object(Worker, "take", lambda self, demand: None), mock.patch.object(Worker, "give", _nothing)]


def _drain_ignored() -> list[Any]:
    """A draining worker is given starts like any other."""
    begin = Lives._renew

    def renew(self: Lives, life: Any, told: Any) -> Any:
        effect = begin(self, life, told)
        life.draining = False
        if life.info is not None:
            life.info.state = "ready"
        return effect

    return [mock.patch.object(Lives, "_renew", renew), mock.patch.object(OrderDesk, "_refuse_unsent_starts", _nothing)]


def _no_fence_in_agent() -> list[Any]:
    """An agent obeys every primary, and shows its worker no higher fence."""
    take = Agent._take_orders

    def obey(self: Agent, orders: AgentOrders) -> bool:
        if self._term:
            orders.term = self._term
        return take(self, orders)

    return [mock.patch.object(Agent, "_take_orders", obey)]


def _commit_without_backups() -> list[Any]:
    """An entry counts as committed once it is on the primary's own disk."""
    return [mock.patch.object(Primary, "_held_by_all", lambda self: self._own_durable)]


def _repeats_unknown() -> list[Any]:
    """An order of an operator that comes again is not known."""
    numbers = itertools.count()
    return [mock.patch.object(configuration_service, "_digest", lambda call: f"{next(numbers):032x}")]


def _refusals_unsure() -> list[Any]:
    """Two orders on one version are both taken."""

    def judge(self: Any, term_state: Any, call: Any) -> Any:
        call.if_match = str(term_state.version)
        return original(self, term_state, call)

    original = configuration_service.ConfigurationService._validate
    return [mock.patch.object(configuration_service.ConfigurationService, "_validate", judge)]


def _invalid_taken() -> list[Any]:
    """A refused configuration is acknowledged all the same."""
    refusal = configuration_service._refusal

    def lie(status: int, reason: str) -> OperatorReply:
        return OperatorReply(200, b'{"version":1}') if status == 400 else refusal(status, reason)

    return [mock.patch.object(configuration_service, "_refusal", lie)]


def _order_ignored() -> list[Any]:
    """Steps do not wait for those that they depend on."""

    def queue(self: Lifecycle, step: Any) -> None:
        if not step.ready and not step.done:
            step.ready = True
            self.queue_waiting(step)

    return [mock.patch.object(Lifecycle, "queue_if_ready", queue)]


def _budget_ignored() -> list[Any]:
    """Tasks are tried for ever."""
    return [mock.patch.object(Lifecycle, "max_attempts", lambda self, job: 1_000)]


def _cancelled_runs_on() -> list[Any]:
    """What runs of a cancelled job is not stopped."""
    return [mock.patch.object(Lifecycle, "stop_runs", _nothing)]


def _nothing(self: Any, *arguments: Any) -> None:
    """Do nothing in place of a guard."""


MUTANTS = (
    Mutant("ends acknowledged before commit", _ends_acknowledged_at_once, frozenset({"TWICE", "BUDGET"})),
    Mutant("clients answered before commit", _clients_answered_at_once, frozenset({"LOST"}), "not know it"),
    Mutant("no lapse wait", _no_lapse_wait, frozenset({"TWICE", "LIMIT"})),
    Mutant("holds without end", _holds_without_end, frozenset({"TWICE", "LIMIT"})),
    Mutant("room not counted", _room_not_counted, frozenset({"LIMIT"})),
    Mutant("drain ignored", _drain_ignored, frozenset({"DRAIN"})),
    Mutant("no fence check in the agent", _no_fence_in_agent, frozenset({"TWICE", "LIMIT", "LOST", "UNASKED"})),
    Mutant("commit without backups", _commit_without_backups, frozenset({"LOST", "CONFIG", "TWICE"})),
    Mutant("repeated orders unknown", _repeats_unknown, frozenset({"CONFIG"})),
    Mutant("If-Match not compared", _refusals_unsure, frozenset({"CONFIG"}), "two changes"),
    Mutant("invalid configuration acknowledged", _invalid_taken, frozenset({"CONFIG"}), "invalid"),
    Mutant("dependsOn ignored", _order_ignored, frozenset({"ORDER"})),
    Mutant("maxAttempts ignored", _budget_ignored, frozenset({"BUDGET"})),
    Mutant("cancelled jobs run on", _cancelled_runs_on, frozenset({"UNASKED"})),
)
