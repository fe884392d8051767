"""What every process tells operators' tools: who is alive. Lists are bounded, as they are made under the lock."""

from __future__ import annotations

from collections.abc import Iterable

from pipitledge.membership.membership import Membership
from pipitledge.wire.messages import Member, NodeDescriptor, View

MAX_LIST_ENTRIES = 200  # entries of a section; the rest is counted
NO_VIEW = View()

Section = dict[str, object]


def members_section(own_descriptor: NodeDescriptor, membership: Membership) -> Section:
    """All processes that are alive as far as this one knows, and the voting members that are not."""
    view = membership.view or NO_VIEW
    alive = [own_descriptor, *membership.nodes()]
    names = {node.name for node in alive}
    rows = [_alive_row(node, view) for node in alive]
    rows += [_unreachable_row(member, view) for member in view.members if member.name not in names]
    rows.sort(key=lambda row: str(row["name"]))
    return {"epoch": view.epoch, "primary": view.primary, **limited_list("nodes", rows)}


def _alive_row(node: NodeDescriptor, view: View) -> Section:
    return {
        "name": node.name,
        "address": node.address,
        "zone": node.zone,
        "class": node.machine_class,
        "alive": True,
        "counted": node.counted,
        "part": _view_role(node.name, view),
    }


def _unreachable_row(member: Member, view: View) -> Section:
    return {
        "name": member.name,
        "address": member.address,
        "zone": member.zone,
        "class": "",
        "alive": False,
        "counted": True,
        "part": _view_role(member.name, view),
    }


def _view_role(name: str, view: View) -> str:
    """What the view makes of a node."""
    if name == view.primary:
        return "primary"
    if name in view.in_sync:
        return "in sync"
    return "behind" if any(member.name == name for member in view.members) else ""


def limited_list(name: str, rows: Iterable[Section]) -> Section:
    """The rows, and how many were left out, if any."""
    listed = list(rows)
    section: Section = {name: listed[:MAX_LIST_ENTRIES]}
    if len(listed) > MAX_LIST_ENTRIES:
        section[name + "LeftOut"] = len(listed) - MAX_LIST_ENTRIES
    return section
