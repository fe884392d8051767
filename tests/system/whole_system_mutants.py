"""Mutants of the system, each without one guard: the simulated days of the whole system must detect every one."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from unittest import mock

from pipitledge.agent.agent import Agent
from pipitledge.agent.lease_grant import LeaseGrant
from pipitledge.agent.orders import OrderDispatcher
from pipitledge.agent.worker_instance import InstanceTracker
from pipitledge.configuration import configuration_service
from pipitledge.emulator.cluster.auditor import Breach
from pipitledge.replication.primary import Primary
from pipitledge.runtime.handlers import Reply
from pipitledge.scheduling.calls import Answer, ClientCallHandler
from pipitledge.scheduling.context import SchedulerTimings
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.reports import ReportHandler
from pipitledge.scheduling.workers import Worker
from pipitledge.wire.messages import AgentOrders, OperatorReply


@dataclass(frozen=True)
class Mutant:
    """The removal of one guard, and the rules whose violation detects it."""

    name: str
    patches: Callable[[], list[Any]]
    rules: frozenset[str]
    expected_text: str = ""  # part of the text of the violation

    def is_detected_by(self, breach: Breach) -> bool:
        """Whether a rule violation is a consequence of the missing guard."""
        return breach.rule in self.rules and self.expected_text in str(breach)


def _ends_acknowledged_at_once() -> list[Any]:
    """The end of a run is acknowledged to the worker before it is in replicated state."""

    def answer(self: ReportHandler, worker: Worker, report: Any, reply: Any, now: float) -> None:
        worker.acknowledged = worker.last_end_received
        reply(self._orders.answer(worker, report))

    return [mock.patch.object(ReportHandler, "_answer_when_committed", answer)]


def _clients_answered_at_once() -> list[Any]:
    """A job is acknowledged to its client before it is in replicated state."""

    def send(self: ClientCallHandler, answer: Answer, reply: Reply) -> None:
        reply(answer.reply)

    return [mock.patch.object(ClientCallHandler, "_when_committed", send)]


def _no_lapse_wait() -> list[Any]:
    """Runs of an unreachable worker count as ended before its task leases have expired."""
    return [mock.patch.object(SchedulerTimings, "lease_expiry_s", property(lambda self: 2.0))]


def _leases_extended_forever() -> list[Any]:
    """An agent without a primary extends the task leases of its worker without limit."""

    def until(self: LeaseGrant) -> float | None:
        return None if self._granted_until is None else self._clock.now() + self._max_lease_s

    return [mock.patch.object(LeaseGrant, "until", until)]


def _resources_not_counted() -> list[Any]:
    """Runs do not reduce the free resources of their worker."""
    return [
        mock.patch.object(Worker, "allocate", lambda self, demand: None),
        mock.patch.object(Worker, "release", _nothing),
    ]


def _drain_ignored() -> list[Any]:
    """A draining worker gets start orders like any other."""
    original = InstanceTracker._renew

    def renew(self: InstanceTracker, life: Any, info: Any) -> Any:
        effect = original(self, life, info)
        life.draining = False
        if life.info is not None:
            life.info.state = "ready"
        return effect

    return [
        mock.patch.object(InstanceTracker, "_renew", renew),
        mock.patch.object(OrderDispatcher, "_refuse_unsent_starts", _nothing),
    ]


def _no_fence_in_agent() -> list[Any]:
    """An agent obeys orders of any term, and does not pass a newer fencing token to its worker."""
    original = Agent._apply_orders

    def obey(self: Agent, orders: AgentOrders) -> bool:
        if self._term:
            orders.term = self._term
        return original(self, orders)

    return [mock.patch.object(Agent, "_apply_orders", obey)]


def _commit_without_backups() -> list[Any]:
    """An entry counts as committed once it is on the primary's own disk."""
    return [mock.patch.object(Primary, "_durable_on_all", lambda self: self._own_durable)]


def _duplicates_not_recognized() -> list[Any]:
    """A repeated operator request is not recognized as a duplicate."""
    numbers = itertools.count()
    return [mock.patch.object(configuration_service, "_digest", lambda call: f"{next(numbers):032x}")]


def _if_match_ignored() -> list[Any]:
    """Two operator requests based on the same version are both accepted."""

    def judge(self: Any, term_state: Any, call: Any) -> Any:
        call.if_match = str(term_state.version)
        return original(self, term_state, call)

    original = configuration_service.ConfigurationService._validate
    return [mock.patch.object(configuration_service.ConfigurationService, "_validate", judge)]


def _invalid_accepted() -> list[Any]:
    """A rejected configuration is acknowledged as accepted."""
    refusal = configuration_service._refusal

    def acknowledge(status: int, reason: str) -> OperatorReply:
        return OperatorReply(200, b'{"version":1}') if status == 400 else refusal(status, reason)

    return [mock.patch.object(configuration_service, "_refusal", acknowledge)]


def _dependencies_ignored() -> list[Any]:
    """Stages do not wait for the stages that they depend on."""

    def queue(self: Lifecycle, step: Any) -> None:
        if not step.ready and not step.done:
            step.ready = True
            self.queue_waiting(step)

    return [mock.patch.object(Lifecycle, "queue_if_ready", queue)]


def _attempts_unlimited() -> list[Any]:
    """Failed tasks are retried without limit."""
    return [mock.patch.object(Lifecycle, "max_attempts", lambda self, job: 1_000)]


def _cancelled_not_stopped() -> list[Any]:
    """Runs of a cancelled job are not stopped."""
    return [mock.patch.object(Lifecycle, "stop_runs", _nothing)]


def _nothing(self: Any, *arguments: Any) -> None:
    """Replace a guard by doing nothing."""


MUTANTS = (
    Mutant("ends acknowledged before commit", _ends_acknowledged_at_once, frozenset({"TWICE", "BUDGET"})),
    Mutant("clients answered before commit", _clients_answered_at_once, frozenset({"LOST"}), "not know it"),
    Mutant("no wait for lease expiry", _no_lapse_wait, frozenset({"TWICE", "LIMIT"})),
    Mutant("task leases extended forever", _leases_extended_forever, frozenset({"TWICE", "LIMIT"})),
    Mutant("resources not counted", _resources_not_counted, frozenset({"LIMIT"})),
    Mutant("drain ignored", _drain_ignored, frozenset({"DRAIN"})),
    Mutant("no fence check in the agent", _no_fence_in_agent, frozenset({"TWICE", "LIMIT", "LOST", "UNASKED"})),
    Mutant("commit without backups", _commit_without_backups, frozenset({"LOST", "CONFIG", "TWICE"})),
    Mutant("repeated requests not recognized", _duplicates_not_recognized, frozenset({"CONFIG"})),
    Mutant("If-Match not compared", _if_match_ignored, frozenset({"CONFIG"}), "two changes"),
    Mutant("invalid configuration acknowledged", _invalid_accepted, frozenset({"CONFIG"}), "invalid"),
    Mutant("dependsOn ignored", _dependencies_ignored, frozenset({"ORDER"})),
    Mutant("maxAttempts ignored", _attempts_unlimited, frozenset({"BUDGET"})),
    Mutant("runs of cancelled jobs not stopped", _cancelled_not_stopped, frozenset({"UNASKED"})),
)
