"""Bugs injected into the shipped replicas; a random run under the adversary has to find each of them."""

from __future__ import annotations

from collections.abc import Callable, Collection
from contextlib import AbstractContextManager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from msgspec.structs import replace

from pipitledge.emulator.cluster.replica_faults import GroupSize
from pipitledge.replication import amnesia, election, initial_members, primary, quorum, target_view
from pipitledge.replication.backup import Backup
from pipitledge.replication.primary import Primary
from pipitledge.replication.proposal import Proposal
from pipitledge.replication.stream import BackupStream
from pipitledge.replication.witness import Witness
from pipitledge.wire.messages import Accepted, Append, Member, Propose, View

Patches = list[AbstractContextManager[Any]]

THREE = GroupSize(3, 1, 0)
THREE_AND_SPARE = GroupSize(3, 1, 1)
FOUR = GroupSize(4, 1, 0)
FIVE = GroupSize(5, 2)
FOUR_IN_ZONES = GroupSize(4, 0, zones=1)


@dataclass(frozen=True)
class Bug:
    """An injected bug (one guard removed), and the random run that finds it."""

    name: str
    patches: Callable[[], Patches]
    size: GroupSize = THREE
    seed: int | None = None  # None: no run found the bug
    steps: int = 30
    founding: bool = False


def _method(owner: Any, name: str, replacement: Any) -> Callable[[], Patches]:
    return lambda: [mock.patch.object(owner, name, replacement)]


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


def _without_joint_view(*arguments: Any) -> View:
    return replace(_TARGET(*arguments), previous=[])


_TARGET = target_view.target_view
_WITNESS_INIT = Witness.__init__
_UPDATE_COMMIT_MEMBERS = Primary._update_commit_members
_ON_APPEND = Backup.on_append
_MAJORITY = initial_members.is_majority_of_seeds


def _without_restart_lease(self: Witness, env: Any, record: Any, _restarted: bool) -> None:
    _WITNESS_INIT(self, env, record, False)


def _wait_for_the_decided_view_only(self: Primary) -> None:
    proposed, self._proposed = self._proposed, []
    _UPDATE_COMMIT_MEMBERS(self)
    self._proposed = proposed


def _accepts_any_position(self: Backup, message: Append, reply: Any) -> None:
    if message.entries:
        position = self._store.position
        message.previous_term, message.previous_sequence = position.term, position.sequence
    _ON_APPEND(self, message, reply)


def _reply_before_durable(self: Backup, _promise_too: bool, action: Callable[[], None]) -> None:
    action()


def _finish_after_first_answer(self: Backup, repair: Any, reply: Any) -> None:
    """Treat a repair as complete after its first answer."""
    if self._repair is not repair or not hasattr(reply, "granted") or not reply.granted:
        return
    for content in reply.contents:
        repair.copy.replace_range(content)
    self._finish(repair, reply)


def _move_casting_vote_without_joint_view(situation: Any, members: list[Member]) -> Any:
    changed = _WITH_CASTING_VOTE_MOVED(situation, members)
    return None if changed is None else target_view._MemberLists(changed.members, [])


_WITH_CASTING_VOTE_MOVED = target_view._with_casting_vote_moved


def _recover_from_view_with_old_disk(self: amnesia.AmnesiaRecovery) -> bool:
    view = self._decided()
    if view is None or quorum.member_of(view, self._env.name) is None:
        return False
    self._witness.recover([amnesia.EpochReply(promised=view.epoch, accepted=view)], self._recovered)
    return True


def _durable_without_leaving_backups(self: Primary, member: Member) -> int:
    stream = self._streams.get(member.name)
    return self._own_durable if stream is not None and stream.leaving else _DURABLE_ON(self, member)


_DURABLE_ON = Primary._durable_on


def _accepts_any_term(self: Backup, _epoch: int, _term: int, primary_name: str) -> bool:
    return primary_name != self._env.name


BUGS = (
    Bug("promises are not persisted", _method(Witness, "persist", _does_not_persist), seed=6, steps=30),
    Bug(
        "a member that lost its disk votes at once",
        _method(amnesia.AmnesiaRecovery, "start", _recovers_without_answers),
        seed=2,
        steps=10,
    ),
    Bug(
        "one answer suffices to recover lost promises",
        _method(amnesia, "intersects_every_quorum", lambda _view, names: bool(names)),
        FIVE,
        seed=5,
        steps=5,
    ),
    Bug("lower epochs are accepted", _method(Witness, "on_propose", _accepts_any_epoch), seed=11, steps=20),
    Bug("half is a quorum", _method(quorum, "_is_majority", _half_is_majority), FOUR, seed=0, steps=3),
    Bug(
        "a new disk is mistaken for the old one",
        _method(election, "is_in_sync", _in_sync_with_any_disk),
        seed=0,
        steps=8,
    ),
    Bug(
        "members change without a joint view",
        _method(primary, "target_view", _without_joint_view),
        THREE_AND_SPARE,
        seed=0,
        steps=3,
    ),
    Bug(
        "only the proposer's own accepted view is the base",
        _method(Proposal, "_base", lambda self: self._witness.accepted),
        seed=0,
        steps=8,
    ),
    Bug("witnesses ignore granted leases", _method(Witness, "_bound_by_lease", lambda _self: False), seed=7, steps=23),
    Bug(
        "a restart forgets a granted lease",
        _method(Witness, "__init__", _without_restart_lease),
        FOUR_IN_ZONES,
        seed=21,
        steps=3,
    ),
    Bug(
        "all members that answer join the in-sync set",
        _method(election, "_remains_in_sync", lambda *_: True),
        seed=1,
        steps=7,
    ),
    Bug(
        "a backup that lacks entries joins the in-sync set",
        _method(BackupStream, "caught_up", lambda self: self.responsive()),
        seed=1,
        steps=7,
    ),
    Bug(
        "commits do not wait for a proposed in-sync set",
        _method(Primary, "_update_commit_members", _wait_for_the_decided_view_only),
        seed=7,
        steps=28,
    ),
    Bug(
        "entries that do not follow the state are accepted",
        _method(Backup, "on_append", _accepts_any_position),
        seed=3,
        steps=11,
    ),
    Bug(
        "entries are confirmed before they are durable",
        _method(Backup, "_when_durable", _reply_before_durable),
        seed=2,
        steps=11,
    ),
    Bug(
        "a primary of an older term is accepted",
        _method(Backup, "_accepts_primary", _accepts_any_term),
        seed=2,
        steps=17,
    ),
    Bug(
        "a repair ends after its first answer",
        _method(Backup, "_on_reply", _finish_after_first_answer),
        GroupSize(3, 1, value_bytes=200_000),
        seed=0,
        steps=5,
    ),
    Bug(
        "an answer of another term renews the lease",
        _method(Primary, "_sent_in_this_term", lambda *_: True),
        seed=11,
        steps=6,
    ),
    Bug(
        "commits do not wait for a leaving backup",
        _method(Primary, "_durable_on", _durable_without_leaving_backups),
        seed=5,
        steps=28,
    ),
    Bug(
        "the casting vote moves without a joint view",
        _method(target_view, "_with_casting_vote_moved", _move_casting_vote_without_joint_view),
        FOUR,
        seed=4,
        steps=3,
    ),
    Bug(
        "a view with the old disk ends the recovery of promises",
        _method(amnesia.AmnesiaRecovery, "_recover_from_view", _recover_from_view_with_old_disk),
        seed=0,
        steps=6,
    ),
    Bug(
        "a minority of the seeds decides on the initial members",
        _method(initial_members, "is_majority_of_seeds", lambda answers, _seeds: bool(answers)),
        GroupSize(7, 1, 0),
        founding=True,
        seed=2,
        steps=6,
    ),
)
