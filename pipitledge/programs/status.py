"""Status section of every process for operators' tools: which processes are alive.

The length of lists is limited, as they are built while the process-wide lock is held.
"""

from __future__ import annotations

from collections.abc import Iterable

from pipitledge.membership.membership import Membership
from pipitledge.wire.messages import Member, NodeDescriptor, View

MAX_LIST_ENTRIES = 200  # for each list of a section; the number of entries left out is reported
NO_VIEW = View()

Section = dict[str, object]


def members_section(own_descriptor: NodeDescriptor, membership: Membership) -> Section:
    """Return the processes in this one's membership view as alive, and voting members missing from it as not alive."""
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
    """Return the role that the view gives to a node; empty if the node is not a member."""
    if name == view.primary:
        return "primary"
    if name in view.in_sync:
        return "in sync"
    return "behind" if any(member.name == name for member in view.members) else ""


def limited_list(name: str, rows: Iterable[Section]) -> Section:
    """Return the first rows under `name`, and the number of rows left out, if any."""
    listed = list(rows)
    section: Section = {name: listed[:MAX_LIST_ENTRIES]}
    if len(listed) > MAX_LIST_ENTRIES:
        section[name + "LeftOut"] = len(listed) - MAX_LIST_ENTRIES
    return section
