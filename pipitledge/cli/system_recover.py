"""Recovery by hand over the network: ask the counted nodes what they know, and have a planned view taken."""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from pipitledge.cli.system_status import Fault, Post, StatusProblem, exchange, post_message
from pipitledge.replication.forced_recovery import RecoveryPlan, RecoveryRefusal, latest_view, plan_recovery
from pipitledge.wire.messages import RecoveryAnswer, RecoveryOrder, RecoveryQuery, RecoveryState


def survey(addresses: Sequence[str], post: Post = post_message) -> list[RecoveryState] | StatusProblem:
    """What the nodes at these addresses ("ip:port" of internal ports) know; the first problem, if one does not tell."""
    states: list[RecoveryState] = []
    for address in addresses:
        reply = exchange(address, RecoveryQuery(), post)
        if isinstance(reply, StatusProblem):
            return reply
        if not isinstance(reply, RecoveryState):
            return StatusProblem(Fault.NOT_OURS, address, "it is no counted node")
        states.append(reply)
    return states


def plan_for(
    states: Sequence[RecoveryState], members: Sequence[str], lost: Sequence[str]
) -> RecoveryPlan | RecoveryRefusal:
    """The plan for these members; for all that answered, where none is named yet."""
    return plan_recovery(states, members or [state.name for state in states], lost)


def force(plan: RecoveryPlan, states: Sequence[RecoveryState], post: Post = post_message) -> str | None:
    """Have the view taken, by its primary first; why a node refused, if one did.

    The command can be given again after a refusal: a view that only some have taken is no quorum, or is one and leads.
    """
    addresses = {state.name: state.address for state in states}
    names = [member.name for member in plan.view.members]
    names.sort(key=lambda name: name != plan.view.primary)
    for name in names:
        reply = exchange(addresses[name], RecoveryOrder(plan.view), post)
        reason = _refusal(reply)
        if reason:
            return f"{name}: {reason}"
    return None


def row(state: RecoveryState) -> dict[str, object]:
    """One node, for people."""
    latest = latest_view([state])
    return {
        "name": state.name,
        "address": state.address,
        "leads": state.leads,
        "amnesiac": state.amnesiac,
        "promised": state.promised,
        "view": latest.epoch if latest is not None else 0,
        "members": ",".join(member.name for member in latest.members) if latest is not None else "",
        "inSync": ",".join(latest.in_sync) if latest is not None else "",
        "entryTerm": state.term,
        "entrySequence": state.sequence,
    }


def _refusal(reply: Struct | StatusProblem) -> str:
    if isinstance(reply, StatusProblem):
        return str(reply)
    if not isinstance(reply, RecoveryAnswer):
        return "its answer is none to an order"
    return "" if reply.granted else reply.reason
