"""Bugs injected into view changes and membership; the search has to find each of them."""

from __future__ import annotations

from collections.abc import Callable, Collection
from contextlib import AbstractContextManager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from msgspec.structs import replace

from pipitledge.emulator.cluster import view_model
from pipitledge.replication import amnesia, election, quorum, target_view
from pipitledge.replication.proposal import Proposal
from pipitledge.replication.witness import Witness
from pipitledge.wire.messages import Accepted, Member, Propose, View

Patches = list[AbstractContextManager[Any]]


@dataclass(frozen=True)
class Bug:
    """An injected bug (one guard removed), and the random run that finds it."""

    name: str
    patches: Callable[[], Patches]
    members: int = 3
    spares: int = 0
    seed: int | None = None  # None: not found in some thousand random walks (docs/design/control.md)


def _does_not_persist(self: Witness, on_durable: Callable[[], None]) -> None:
    on_durable()


def _recovers_without_answers(self: amnesia.AmnesiaRecovery) -> None:
    self._witness.recover([], lambda: None)


def _accepts_any_epoch(self: Witness, message: Propose, reply: Callable[[Accepted], None]) -> None:
    self._accept(message.view)
    self.grant_lease(message.view.primary)
    self.persist(lambda: reply(Accepted(granted=True, epoch=message.view.epoch, name=self._env.name)))


def _half_is_majority(members: list[Member], names: Collection[str]) -> bool:
    return 2 * sum(member.name in names for member in members) >= len(members)


def _in_sync_with_any_disk(view: View | None, name: str, _disk_id: int) -> bool:
    return view is not None and name in view.in_sync


def _relied_on_by_decided_view_only(self: view_model.Life) -> set[tuple[str, int]]:
    assert self.leads is not None
    return {(member.name, member.disk_id) for member in self.leads.members if member.name in self.leads.in_sync}


def _without_joint_view(*arguments: Any) -> View:
    return replace(_TARGET(*arguments), previous=[])


_TARGET = target_view.target_view
_LIFE = view_model.Witness


def _without_restart_lease(env: Any, record: Any, _restarted: bool) -> Witness:
    return _LIFE(env, record, False)


BUGS = (
    Bug("promises are not persisted", lambda: [mock.patch.object(Witness, "persist", _does_not_persist)], 3, 1, 7),
    Bug(
        "a member that lost its disk votes at once",
        lambda: [mock.patch.object(amnesia.AmnesiaRecovery, "start", _recovers_without_answers)],
        4,
        0,
        497,
    ),
    Bug(
        "one answer suffices to recover lost promises",
        lambda: [mock.patch.object(amnesia, "intersects_every_quorum", lambda _view, names: bool(names))],
    ),
    Bug("lower epochs are accepted", lambda: [mock.patch.object(Witness, "on_propose", _accepts_any_epoch)]),
    Bug("half is a quorum", lambda: [mock.patch.object(quorum, "_is_majority", _half_is_majority)], 4, 0, 134),
    Bug(
        "a new disk is mistaken for the old one",
        lambda: [mock.patch.object(election, "is_in_sync", _in_sync_with_any_disk)],
    ),
    Bug(
        "members change without a joint view",
        lambda: [mock.patch.object(view_model.target_view, "target_view", _without_joint_view)],
    ),
    Bug(
        "only the proposer's own accepted view is the base",
        lambda: [mock.patch.object(Proposal, "_base", lambda self: self._witness.accepted)],
        4,
        0,
        121,
    ),
    Bug(
        "witnesses ignore granted leases",
        lambda: [mock.patch.object(Witness, "_bound_by_lease", lambda _self: False)],
        4,
        0,
        0,
    ),
    Bug(
        "a restart forgets a granted lease", lambda: [mock.patch.object(view_model, "Witness", _without_restart_lease)]
    ),
    Bug(
        "all members that answer join the in-sync set",
        lambda: [mock.patch.object(election, "_remains_in_sync", lambda *_: True)],
        4,
        0,
        27,
    ),
    Bug(
        "a backup that lacks entries joins the in-sync set",
        lambda: [mock.patch.object(view_model.BackupLook, "caught_up", lambda self: self.up)],
        3,
        1,
        2,
    ),
    Bug(
        "commits do not wait for a proposed in-sync set",
        lambda: [mock.patch.object(view_model.Life, "relied_on", _relied_on_by_decided_view_only)],
    ),
)
