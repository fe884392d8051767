"""The view that a primary should have, given the state of its backups: pure functions without side effects."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from msgspec import Struct
from msgspec.structs import replace

from pipitledge.replication.quorum import Tolerance, member_of, votes_of
from pipitledge.wire.messages import Member, NodeDescriptor, View


class BackupState(Protocol):
    """State of one backup as its primary knows it."""

    @property
    def disk_id(self) -> int:
        """Id of its disk; 0 if it has not been reported yet."""

    @property
    def amnesiac(self) -> bool:
        """Whether it has lost its promises with its disk."""

    @property
    def leaving(self) -> bool:
        """Whether it has announced that it is about to stop."""

    def responsive(self) -> bool:
        """Whether it answers in time."""

    def unreachable(self) -> bool:
        """Whether it has been silent for so long that another node may replace it."""

    def caught_up(self) -> bool:
        """Whether it has all committed entries on that disk, and is responsive."""

    def in_rejoin_backoff(self) -> bool:
        """Whether it left the in-sync set recently and may not rejoin yet."""


class ViewInputs(Struct):
    """Everything besides the current view that determines the target view."""

    me: Member
    tolerance: Tolerance
    backups: Mapping[str, BackupState]
    voting_nodes: Mapping[str, NodeDescriptor]


class _MemberLists(Struct):
    members: list[Member]
    previous: list[Member]


def target_view(inputs: ViewInputs, base: View, base_decided: bool) -> View:
    """Return the view that should follow `base`, with the epoch and term of `base`.

    Members change only if `base` is known to be decided, and through a joint view that majorities of both the new and
    the previous list decide.
    """
    members = [_refresh_member(inputs, member) for member in base.members]
    unchanged = _MemberLists(members, base.previous)
    if not base_decided:
        return _with_in_sync(inputs, base, unchanged)
    if base.previous:
        return _with_in_sync(inputs, base, _MemberLists(members, []))
    changed = _changed_members(inputs, members) or _with_casting_vote_moved(inputs, members)
    if changed is not None and inputs.tolerance.satisfied_by(
        _healthy_members(inputs, base, changed.members), changed.members
    ):
        return _with_in_sync(inputs, base, changed)
    return _with_in_sync(inputs, base, unchanged)


def wants_learners(inputs: ViewInputs, base: View) -> bool:
    """Whether a node that is not a member could become one now."""
    return bool(_replaceable_members(inputs, base.members)) or any(
        _may_add(inputs, base.members, node) for node in inputs.voting_nodes.values()
    )


def _refresh_member(inputs: ViewInputs, member: Member) -> Member:
    """Return the member with its current address, and with its current disk once that disk has caught up."""
    if member.name == inputs.me.name:
        return inputs.me
    node = inputs.voting_nodes.get(member.name)
    backup = inputs.backups.get(member.name)
    address = node.address if node is not None else member.address
    disk_id = backup.disk_id if backup is not None and backup.caught_up() else member.disk_id
    return replace(member, address=address, disk_id=disk_id)


def _healthy_members(inputs: ViewInputs, base: View, members: list[Member]) -> list[str]:
    """Return the names of the members that are responsive and have all committed entries."""
    return [member.name for member in members if _is_healthy(inputs, base, member)]


def _is_healthy(inputs: ViewInputs, base: View, member: Member) -> bool:
    if member.name == inputs.me.name:
        return True
    backup = inputs.backups.get(member.name)
    if backup is None or backup.leaving or not backup.responsive():
        return False
    before = member_of(base, member.name)
    stays = before is not None and member.name in base.in_sync and backup.disk_id in (0, before.disk_id)
    return stays or (backup.caught_up() and not backup.in_rejoin_backoff())


def _with_in_sync(inputs: ViewInputs, base: View, membership: _MemberLists) -> View:
    """Return the view with all healthy members in sync; if these are too few, no member is removed."""
    names = set(_healthy_members(inputs, base, membership.members))
    if not inputs.tolerance.satisfied_by(names, membership.members):
        names |= set(base.in_sync)
    in_sync = [member.name for member in membership.members if member.name in names]
    return replace(base, members=membership.members, previous=membership.previous, in_sync=in_sync)


def _replaceable_members(inputs: ViewInputs, members: list[Member]) -> list[Member]:
    """Return the members that are unreachable or about to stop."""
    found = []
    for member in members:
        backup = inputs.backups.get(member.name)
        if member.name != inputs.me.name and backup is not None and (backup.leaving or backup.unreachable()):
            found.append(member)
    return found


def _may_add(inputs: ViewInputs, members: list[Member], node: NodeDescriptor) -> bool:
    """Whether a node may be added: it took part in the first start, or there are too few members."""
    if any(member.name == node.name for member in members):
        return False
    return node.bootstrap or len(members) < 2 * inputs.tolerance.machines + 1


def _changed_members(inputs: ViewInputs, members: list[Member]) -> _MemberLists | None:
    """Return lists in which a learner replaces a lost or stopping member, or is added; None if nothing changes."""
    learners = [node for node in inputs.voting_nodes.values() if _is_ready_learner(inputs, members, node)]
    for member in _replaceable_members(inputs, members):
        for node in sorted(learners, key=lambda node: (node.zone != member.zone, node.name)):
            others = [other for other in members if other.name != member.name]
            return _MemberLists([*others, _as_member(inputs, node)], members)
    for node in learners:
        if _may_add(inputs, members, node):
            return _MemberLists([*members, _as_member(inputs, node)], members)
    return None


def _with_casting_vote_moved(inputs: ViewInputs, members: list[Member]) -> _MemberLists | None:
    """Return the same members with the primary first, if the one with the casting vote is unreachable; else None."""
    first = members[0].name
    backup = inputs.backups.get(first)
    if votes_of(members)[first] == 1 or first == inputs.me.name or backup is None or not backup.unreachable():
        return None
    others = [member for member in members if member.name != inputs.me.name]
    return _MemberLists([inputs.me, *others], members)


def _is_ready_learner(inputs: ViewInputs, members: list[Member], node: NodeDescriptor) -> bool:
    backup = inputs.backups.get(node.name)
    if backup is None or any(member.name == node.name for member in members):
        return False
    return not backup.amnesiac and backup.caught_up() and not backup.in_rejoin_backoff()


def _as_member(inputs: ViewInputs, node: NodeDescriptor) -> Member:
    disk_id = inputs.backups[node.name].disk_id
    return Member(name=node.name, address=node.address, zone=node.zone, region=node.region, disk_id=disk_id)
