"""What operators' calls do: each becomes a step of the host group or of the front, and yes means it is done."""

from __future__ import annotations

from pipitledge.node.console import Call, Verb
from pipitledge.node.dispatch import Dispatch
from pipitledge.node.front import Front
from pipitledge.node.host_group import HostGroup

NOBODY, STOPS = "no worker has this id", "the node stops"


class Operations:
    """Carries out calls, whoever reads them."""

    def __init__(self, dispatch: Dispatch, group: HostGroup, front: Front) -> None:
        """Know the parts that calls are for."""
        self.dispatch, self.group, self.front = dispatch, group, front

    def answer(self, call: Call) -> str | None:
        """Do what is asked; None if it is done, else why it is not."""
        if call.verb is Verb.PING:
            return None if self.front.takes else STOPS
        if call.verb is Verb.LAMEDUCK:
            self.front.lame_duck()
            return None
        if call.verb is Verb.REJOIN:
            return None if self.front.rejoin() else STOPS
        move = self.group.detach if call.verb is Verb.DETACH else self.group.attach
        known = move(call.worker)
        self.dispatch.round()  # the module has it, and has acted on it, before anybody is told
        return None if known else NOBODY
