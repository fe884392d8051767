"""What the view should be, given how the backups are: pure decisions of a primary that continues."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from msgspec import Struct
from msgspec.structs import replace

from pipitledge.replication.quorum import Tolerance, member_of, votes_of
from pipitledge.wire.messages import Member, NodeDescriptor, View


class BackupState(Protocol):
    """What is asked about one backup."""

    @property
    def disk_id(self) -> int:
        """Its disk, 0 if it has not told."""

    @property
    def amnesiac(self) -> bool:
        """Whether it has lost its promises."""

    @property
    def leaving(self) -> bool:
        """Whether it is about to stop."""

    def responsive(self) -> bool:
        """Whether it answers."""

    def unreachable(self) -> bool:
        """Whether it has been silent so long that another may take its place."""

    def caught_up(self) -> bool:
        """Whether it holds all that is committed, on that disk."""

    def in_rejoin_backoff(self) -> bool:
        """Whether it is not to join yet."""


class ViewInputs(Struct):
    """All that decides what the view should be."""

    me: Member
    tolerance: Tolerance
    backups: Mapping[str, BackupState]
    counted: Mapping[str, NodeDescriptor]


class _MemberLists(Struct):
    members: list[Member]
    previous: list[Member]


def target_view(inputs: ViewInputs, base: View, base_decided: bool) -> View:
    """The view that should follow `base`; epoch and term are those of `base`.

    Members change only where `base` is known to be decided, and then by way of a view that both lists decide on.
    """
    members = [_refresh_member(inputs, member) for member in base.members]
    unchanged = _MemberLists(members, base.previous)
    if not base_decided:
        return _with_in_sync(inputs, base, unchanged)
    if base.previous:
        return _with_in_sync(inputs, base, _MemberLists(members, []))
    changed = _changed_members(inputs, members) or _with_casting_vote_moved(inputs, members)
    if changed is not None and inputs.tolerance.satisfied_by(_healthy_members(inputs, base, changed.members), changed.members):
        return _with_in_sync(inputs, base, changed)
    return _with_in_sync(inputs, base, unchanged)


def wants_learners(inputs: ViewInputs, base: View) -> bool:
    """Whether a node that is not a member could become one."""
    return bool(_replaceable_members(inputs, base.members)) or any(
        _may_add(inputs, base.members, node) for node in inputs.counted.values()
    )


def _refresh_member(inputs: ViewInputs, member: Member) -> Member:
    """The member with the address, and the disk once it holds everything, that are its own now."""
    if member.name == inputs.me.name:
        return inputs.me
    node = inputs.counted.get(member.name)
    backup = inputs.backups.get(member.name)
    address = node.address if node is not None else member.address
    disk_id = backup.disk_id if backup is not None and backup.caught_up() else member.disk_id
    return replace(member, address=address, disk_id=disk_id)


def _healthy_members(inputs: ViewInputs, base: View, members: list[Member]) -> list[str]:
    """Members that hold everything and answer."""
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
    """The in-sync set is all good members; where these are too few, nobody is taken out."""
    names = set(_healthy_members(inputs, base, membership.members))
    if not inputs.tolerance.satisfied_by(names, membership.members):
        names |= set(base.in_sync)
    in_sync = [member.name for member in membership.members if member.name in names]
    return replace(base, members=membership.members, previous=membership.previous, in_sync=in_sync)


def _replaceable_members(inputs: ViewInputs, members: list[Member]) -> list[Member]:
    """Members that have been silent for long, or say that they stop."""
    found = []
    for member in members:
        backup = inputs.backups.get(member.name)
        if member.name != inputs.me.name and backup is not None and (backup.leaving or backup.unreachable()):
            found.append(member)
    return found


def _may_add(inputs: ViewInputs, members: list[Member], node: NodeDescriptor) -> bool:
    """Whether a node may be added: it was there at the first start, or there are too few members."""
    if any(member.name == node.name for member in members):
        return False
    return node.bootstrap or len(members) < 2 * inputs.tolerance.machines + 1


def _changed_members(inputs: ViewInputs, members: list[Member]) -> _MemberLists | None:
    """Another list of members: a learner takes the place of one that is gone or stops, or is added."""
    learners = [node for node in inputs.counted.values() if _is_ready_learner(inputs, members, node)]
    for member in _replaceable_members(inputs, members):
        for node in sorted(learners, key=lambda node: (node.zone != member.zone, node.name)):
            others = [other for other in members if other.name != member.name]
            return _MemberLists([*others, _as_member(inputs, node)], members)
    for node in learners:
        if _may_add(inputs, members, node):
            return _MemberLists([*members, _as_member(inputs, node)], members)
    return None


def _with_casting_vote_moved(inputs: ViewInputs, members: list[Member]) -> _MemberLists | None:
    """The same members with the primary first, where the one with two votes is gone and nobody takes its place."""
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
