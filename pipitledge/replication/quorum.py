"""Which nodes suffice: to decide a view, to recover lost promises, to hold what is acknowledged."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from pipitledge.wire.messages import Member, View


def votes_of(members: list[Member]) -> dict[str, int]:
    """How many votes each member has: one, and two for the first of an even number.

    So the total is odd, and of two halves one can go on. A majority of an even number by count is one by votes too.
    Which member is first changes only with the list, by way of a view that both lists decide on.
    """
    return {member.name: 1 + _has_casting_vote(members, index) for index, member in enumerate(members)}


def _has_casting_vote(members: list[Member], index: int) -> bool:
    return index == 0 and len(members) % 2 == 0


def _is_majority(members: list[Member], names: Collection[str]) -> bool:
    votes = votes_of(members)
    return 2 * sum(count for name, count in votes.items() if name in names) > sum(votes.values())


def _member_lists(view: View) -> list[list[Member]]:
    """All lists that decide: while members change, those before too."""
    return [view.members, view.previous] if view.previous else [view.members]


def voters(view: View) -> list[Member]:
    """All members that a change of this view asks; while members change, those before too."""
    names = {member.name for member in view.members}
    return view.members + [member for member in view.previous if member.name not in names]


def has_quorum(view: View, names: Collection[str]) -> bool:
    """Whether `names` hold a majority of the votes (and of those before, while members change)."""
    return all(_is_majority(members, names) for members in _member_lists(view))


def intersects_every_quorum(view: View, names: Collection[str]) -> bool:
    """Whether every quorum has a node among `names`: all others together are none."""
    return any(not _is_majority(members, _others(members, names)) for members in _member_lists(view))


def _others(members: list[Member], names: Collection[str]) -> list[str]:
    return [member.name for member in members if member.name not in names]


def latest_quorum_time(view: View, times: Mapping[str, float], never: float) -> float:
    """The latest time such that members with that time or a later one are a quorum; `never` stands for no time."""
    latest = sorted({times.get(member.name, never) for member in voters(view)}, reverse=True)
    for time in latest:
        if has_quorum(view, {member.name for member in voters(view) if times.get(member.name, never) >= time}):
            return time
    return never


def member_of(view: View | None, name: str) -> Member | None:
    """The member of that name."""
    if view is None:
        return None
    return next((member for member in view.members if member.name == name), None)


def is_in_sync(view: View | None, name: str, disk_id: int) -> bool:
    """Whether that node, with that disk, is in the in-sync set."""
    member = member_of(view, name)
    return view is not None and member is not None and name in view.in_sync and member.disk_id == disk_id


@dataclass(frozen=True)
class Tolerance:
    """What may be lost at once without losing what was acknowledged."""

    machines: int = 0
    zones: int = 0
    regions: int = 0

    def satisfied_by(self, names: Collection[str], members: list[Member]) -> bool:
        """Whether `names` are enough nodes, in enough places; never more is asked than there are."""
        holders = [member for member in members if member.name in names]
        return (
            len(holders) >= min(self.machines + 1, len(members))
            and _spread(holders, members, self.zones, "zone")
            and _spread(holders, members, self.regions, "region")
        )


def _spread(holders: list[Member], members: list[Member], lost: int, place: str) -> bool:
    there = {getattr(member, place) for member in members}
    reached = {getattr(member, place) for member in holders}
    return len(reached) >= min(lost + 1, len(there))
