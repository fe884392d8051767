"""Bugs put into views and members, each of which the search has to find."""

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
    """A guard taken out, and the walk that shows it."""

    name: str
    patches: Callable[[], Patches]
    members: int = 3
    spares: int = 0
    seed: int | None = None  # None: some thousand walks did not show it (docs/design/control.md)


def _forgets(self: Witness, on_durable: Callable[[], None]) -> None:
    on_durable()


def _votes_at_once(self: amnesia.AmnesiaRecovery) -> None:
    self._witness.recover([], lambda: None)


def _accepts_anything(self: Witness, message: Propose, reply: Callable[[Accepted], None]) -> None:
    self._accept(message.view)
    self.grant_lease(message.view.primary)
    self.persist(lambda: reply(Accepted(granted=True, epoch=message.view.epoch, name=self._env.name)))


def _half(members: list[Member], names: Collection[str]) -> bool:
    return 2 * sum(member.name in names for member in members) >= len(members)


def _in_set(view: View | None, name: str, _disk_id: int) -> bool:
    return view is not None and name in view.in_sync


def _of_the_view_alone(self: view_model.Life) -> set[tuple[str, int]]:
    assert self.leads is not None
    return {(member.name, member.disk_id) for member in self.leads.members if member.name in self.leads.in_sync}


def _without_joint_view(*arguments: Any) -> View:
    return replace(_TARGET(*arguments), previous=[])


_TARGET = target_view.target_view
_LIFE = view_model.Witness


def _not_quiet(env: Any, record: Any, _restarted: bool) -> Witness:
    return _LIFE(env, record, False)


BUGS = (
    Bug("promises are not kept", lambda: [mock.patch.object(Witness, "persist", _forgets)], 3, 1, 7),
    Bug(
        "a lost disk votes at once",
        lambda: [mock.patch.object(amnesia.AmnesiaRecovery, "start", _votes_at_once)],
        4,
        0,
        497,
    ),
    Bug(
        "one answer gives lost promises back",
        lambda: [mock.patch.object(amnesia, "intersects_every_quorum", lambda _view, names: bool(names))],
    ),
    Bug("lower epochs are accepted", lambda: [mock.patch.object(Witness, "on_propose", _accepts_anything)]),
    Bug("half is a quorum", lambda: [mock.patch.object(quorum, "_is_majority", _half)], 4, 0, 134),
    Bug("a new disk is taken for the old", lambda: [mock.patch.object(election, "is_in_sync", _in_set)]),
    Bug(
        "members change in one step",
        lambda: [mock.patch.object(view_model.target_view, "target_view", _without_joint_view)],
    ),
    Bug(
        "the proposer's own view is the base",
        lambda: [mock.patch.object(Proposal, "_base", lambda self: self._witness.accepted)],
        4,
        0,
        121,
    ),
    Bug(
        "the lease binds nobody", lambda: [mock.patch.object(Witness, "_bound_by_lease", lambda _self: False)], 4, 0, 0
    ),
    Bug("a restart forgets the lease", lambda: [mock.patch.object(view_model, "Witness", _not_quiet)]),
    Bug(
        "all that answer join the set",
        lambda: [mock.patch.object(election, "_remains_in_sync", lambda *_: True)],
        4,
        0,
        27,
    ),
    Bug(
        "one that lacks entries joins the set",
        lambda: [mock.patch.object(view_model.BackupLook, "caught_up", lambda self: self.up)],
        3,
        1,
        2,
    ),
    Bug(
        "commits do not wait for a set that may follow",
        lambda: [mock.patch.object(view_model.Life, "relied_on", _of_the_view_alone)],
    ),
)
