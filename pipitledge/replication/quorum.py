"""Which sets of nodes are large enough: to decide a view, to recover lost promises, to hold acknowledged writes."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from pipitledge.wire.messages import Member, View


def votes_of(members: list[Member]) -> dict[str, int]:
    """Return the number of votes of each member: one, or two for the first member of a list of even length.

    The total is therefore odd, so that after an even split one half can continue. More than half of the members always
    have a majority of the votes too. The first member changes only together with the list, through a view that
    majorities of both lists decide.
    """
    return {member.name: 1 + _has_casting_vote(members, index) for index, member in enumerate(members)}


def _has_casting_vote(members: list[Member], index: int) -> bool:
    return index == 0 and len(members) % 2 == 0


def _is_majority(members: list[Member], names: Collection[str]) -> bool:
    votes = votes_of(members)
    return 2 * sum(count for name, count in votes.items() if name in names) > sum(votes.values())


def _member_lists(view: View) -> list[list[Member]]:
    """Return the lists that decide; during a membership change these are the new and the previous one."""
    return [view.members, view.previous] if view.previous else [view.members]


def voters(view: View) -> list[Member]:
    """Return all members that vote on a change of this view, during a membership change the previous ones too."""
    names = {member.name for member in view.members}
    return view.members + [member for member in view.previous if member.name not in names]


def has_quorum(view: View, names: Collection[str]) -> bool:
    """Whether `names` have a majority of the votes (of both lists during a membership change)."""
    return all(_is_majority(members, names) for members in _member_lists(view))


def intersects_every_quorum(view: View, names: Collection[str]) -> bool:
    """Whether every quorum contains a node of `names`, because the other nodes alone are no quorum."""
    return any(not _is_majority(members, _others(members, names)) for members in _member_lists(view))


def _others(members: list[Member], names: Collection[str]) -> list[str]:
    return [member.name for member in members if member.name not in names]


def latest_quorum_time(view: View, times: Mapping[str, float], never: float) -> float:
    """Return the latest time `t` such that the members with a time of at least `t` are a quorum.

    Members that are missing in `times` count with the time `never`.
    """
    latest = sorted({times.get(member.name, never) for member in voters(view)}, reverse=True)
    for time in latest:
        if has_quorum(view, {member.name for member in voters(view) if times.get(member.name, never) >= time}):
            return time
    return never


def member_of(view: View | None, name: str) -> Member | None:
    """Return the view's member of that name; None if there is none."""
    if view is None:
        return None
    return next((member for member in view.members if member.name == name), None)


def is_in_sync(view: View | None, name: str, disk_id: int) -> bool:
    """Whether the node, with this disk, is in the view's in-sync set."""
    member = member_of(view, name)
    return view is not None and member is not None and name in view.in_sync and member.disk_id == disk_id


@dataclass(frozen=True)
class Tolerance:
    """Number of machines, zones and regions that may fail at once without the loss of an acknowledged write."""

    machines: int = 0
    zones: int = 0
    regions: int = 0

    def satisfied_by(self, names: Collection[str], members: list[Member]) -> bool:
        """Whether `names` are enough nodes in enough zones and regions; no more are required than `members` have."""
        holders = [member for member in members if member.name in names]
        return (
            len(holders) >= min(self.machines + 1, len(members))
            and _spread(holders, members, self.zones, "zone")
            and _spread(holders, members, self.regions, "region")
        )


def _spread(holders: list[Member], members: list[Member], tolerated: int, domain: str) -> bool:
    available = {getattr(member, domain) for member in members}
    covered = {getattr(member, domain) for member in holders}
    return len(covered) >= min(tolerated + 1, len(available))
