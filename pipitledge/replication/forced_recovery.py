"""Recovery by an operator when no quorum is possible any more: which view may be forced, and which data it loses.

The system cannot recover by itself in three cases: so many members lost their promises that the others do not intersect
every quorum; so many members are lost for good that no quorum is left; or all voting nodes start without their disks
and this is not the first start. An operator then names the new members. The named member with the most recent state
becomes the primary and keeps the state it has.

A forced view is not decided by a quorum. It is safe only if all other members are lost for good, which the operator has
to confirm for each of them by name, and if there is no primary, which every node checks before it accepts the view.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from msgspec import Struct

from pipitledge.replication.epochs import EPOCHS_PER_ROUND, next_epoch
from pipitledge.replication.quorum import has_quorum, intersects_every_quorum, is_in_sync, voters
from pipitledge.wire.messages import Member, RecoveryState, View

FORCED_EPOCH_MARGIN_ROUNDS = 1 << 20
"""Distance in rounds of a forced epoch from the highest known one, as lost members may have promised higher epochs."""


class RecoveryRefusal(Struct, frozen=True):
    """The reason why no view may be forced."""

    reason: str


class RecoveryPlan(Struct, frozen=True):
    """The view to force, and the data loss it means."""

    view: View
    loss: str  # description for the operator of what is lost or may be lost


def latest_view(states: Sequence[RecoveryState]) -> View | None:
    """Return the view of the highest epoch that any of these nodes has accepted or knows to be decided."""
    views = [view for state in states for view in (state.accepted, state.decided) if view is not None]
    return max(views, key=lambda view: view.epoch, default=None)


def plan_recovery(
    states: Sequence[RecoveryState], members: Sequence[str], lost: Collection[str]
) -> RecoveryPlan | RecoveryRefusal:
    """Return the view to force for the named `members`, given the answers and the nodes declared `lost`."""
    by_name = {state.name: state for state in states}
    reason = (
        _active_primary(states)
        or _unavailable_members(by_name, members)
        or _unaccounted_voters(states, by_name, lost)
        or _quorum_still_possible(states)
    )
    if reason:
        return RecoveryRefusal(reason)
    latest = latest_view(states)
    primary = max((by_name[name] for name in members), key=lambda state: _state_rank(state, latest))
    highest = max([state.promised for state in states] + [latest.epoch if latest is not None else 0])
    epoch = next_epoch(highest + FORCED_EPOCH_MARGIN_ROUNDS * EPOCHS_PER_ROUND, primary.name)
    named = [_member(by_name[name]) for name in sorted(members)]
    view = View(epoch=epoch, term=epoch, primary=primary.name, in_sync=[primary.name], members=named)
    return RecoveryPlan(view, _describe_loss(primary, states, latest, lost))


def _active_primary(states: Sequence[RecoveryState]) -> str:
    for state in states:
        if state.leads:
            return f"{state.name} is primary"
        if state.hears_primary:
            return f"{state.name} had contact with a primary, or started, within the last second"
    return ""


def _unavailable_members(by_name: dict[str, RecoveryState], members: Sequence[str]) -> str:
    if not members:
        return "no new member is named"
    silent = sorted(set(members) - by_name.keys())
    return f"{', '.join(silent)} did not answer, so cannot be a member" if silent else ""


def _unaccounted_voters(
    states: Sequence[RecoveryState], by_name: dict[str, RecoveryState], lost: Collection[str]
) -> str:
    """Report voters that neither answered nor were declared lost: they may still be running, and lead or vote."""
    alive = sorted(set(lost) & by_name.keys())
    if alive:
        return f"{', '.join(alive)} answered, so is not lost"
    latest = latest_view(states)
    names = {member.name for member in voters(latest)} if latest is not None else set()
    missing = sorted(names - by_name.keys() - set(lost))
    return f"{', '.join(missing)} did not answer, and is not declared lost" if missing else ""


def _quorum_still_possible(states: Sequence[RecoveryState]) -> str:
    latest = latest_view(states)
    if latest is None:
        return ""
    kept = {state.name for state in states if not state.amnesiac}
    voting = {state.name for state in states} if intersects_every_quorum(latest, kept) else kept
    may_lead = any(is_in_sync(latest, state.name, state.disk_id) for state in states)
    if has_quorum(latest, voting) and may_lead:
        return "a quorum is still possible: wait until it has elected a primary"
    return ""


def _state_rank(state: RecoveryState, latest: View | None) -> tuple[bool, int, int]:
    return is_in_sync(latest, state.name, state.disk_id), state.term, state.sequence


def _member(state: RecoveryState) -> Member:
    return Member(state.name, state.address, state.zone, state.region, state.disk_id)


def _describe_loss(
    primary: RecoveryState, states: Sequence[RecoveryState], latest: View | None, lost: Collection[str]
) -> str:
    if latest is None:
        return "everything ever acknowledged: no node that answered knows a view"
    held = f"{primary.name} holds entries up to {primary.sequence} of term {primary.term}"
    if is_in_sync(latest, primary.name, primary.disk_id):
        unless = f", unless {', '.join(sorted(lost))} continued in a later view" if lost else ""
        return f"{held}, and everything acknowledged in the view of epoch {latest.epoch}{unless}"
    more = [state.name for state in states if (state.term, state.sequence) > (primary.term, primary.sequence)]
    ahead = f"; {', '.join(sorted(more))} holds later entries and is not named as a member" if more else ""
    return f"{held}; everything acknowledged after these entries is lost{ahead}"
