"""Recovery by hand, where no quorum can be had any more: which view an operator may force, and what it would lose.

Three states do not end by themselves: so many members have lost their promises that the others meet not every quorum;
so many members are gone for good that no quorum is left; or all counted nodes start without their disks, and not for
the first time. An operator then names the new members. The one of them that holds most becomes the primary, with the
state that it has.

A forced view is no decision. It is safe only if all other members are gone for good, which the operator has to say of
each by name, and if no primary is there, which every node that takes the view looks at by itself.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from msgspec import Struct

from pipitledge.replication.epochs import EPOCHS_PER_ROUND, next_epoch
from pipitledge.replication.quorum import has_quorum, is_in_sync, intersects_every_quorum, voters
from pipitledge.wire.messages import Member, RecoveryState, View

FORCED_EPOCH_MARGIN_ROUNDS = 1 << 20
"""How far a forced epoch lies above all that is known: lost members may have promised higher ones."""


class RecoveryRefusal(Struct, frozen=True):
    """Why nothing is forced."""

    reason: str


class RecoveryPlan(Struct, frozen=True):
    """The view to force, and what goes with it."""

    view: View
    loss: str  # what is lost, or may be, in words


def latest_view(states: Sequence[RecoveryState]) -> View | None:
    """The view of the highest epoch that any of these nodes accepted or knows to be decided."""
    views = [view for state in states for view in (state.accepted, state.decided) if view is not None]
    return max(views, key=lambda view: view.epoch, default=None)


def plan_recovery(
    states: Sequence[RecoveryState], members: Sequence[str], lost: Collection[str]
) -> RecoveryPlan | RecoveryRefusal:
    """The view that makes `members` (names) the group again, given who answered and who is said to be `lost`."""
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
            return f"{state.name} leads"
        if state.hears_primary:
            return f"{state.name} has heard a primary, or started, within the last second"
    return ""


def _unavailable_members(by_name: dict[str, RecoveryState], members: Sequence[str]) -> str:
    if not members:
        return "no new member is named"
    silent = sorted(set(members) - by_name.keys())
    return f"{', '.join(silent)} did not answer, so can't be a member" if silent else ""


def _unaccounted_voters(states: Sequence[RecoveryState], by_name: dict[str, RecoveryState], lost: Collection[str]) -> str:
    """Members that may still be somewhere, and lead or vote there."""
    alive = sorted(set(lost) & by_name.keys())
    if alive:
        return f"{', '.join(alive)} answered, so is not lost"
    latest = latest_view(states)
    names = {member.name for member in voters(latest)} if latest is not None else set()
    missing = sorted(names - by_name.keys() - set(lost))
    return f"{', '.join(missing)} did not answer, and is not said to be lost" if missing else ""


def _quorum_still_possible(states: Sequence[RecoveryState]) -> str:
    latest = latest_view(states)
    if latest is None:
        return ""
    kept = {state.name for state in states if not state.amnesiac}
    voting = {state.name for state in states} if intersects_every_quorum(latest, kept) else kept
    may_lead = any(is_in_sync(latest, state.name, state.disk_id) for state in states)
    if has_quorum(latest, voting) and may_lead:
        return "a quorum can still be had: wait until it has elected a primary"
    return ""


def _state_rank(state: RecoveryState, latest: View | None) -> tuple[bool, int, int]:
    return is_in_sync(latest, state.name, state.disk_id), state.term, state.sequence


def _member(state: RecoveryState) -> Member:
    return Member(state.name, state.address, state.zone, state.region, state.disk_id)


def _describe_loss(primary: RecoveryState, states: Sequence[RecoveryState], latest: View | None, lost: Collection[str]) -> str:
    if latest is None:
        return "all that was ever acknowledged: no node that answered knows of any view"
    held = f"{primary.name} holds entries up to {primary.sequence} of term {primary.term}"
    if is_in_sync(latest, primary.name, primary.disk_id):
        unless = f", unless {', '.join(sorted(lost))} went on in a later view" if lost else ""
        return f"{held}, and all that was acknowledged in the view of epoch {latest.epoch}{unless}"
    more = [state.name for state in states if (state.term, state.sequence) > (primary.term, primary.sequence)]
    ahead = f"; {', '.join(sorted(more))} holds later ones and is not named as a member" if more else ""
    return f"{held}; whatever was acknowledged after these is lost{ahead}"
