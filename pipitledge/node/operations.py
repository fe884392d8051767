"""What operators' calls do: each becomes a step of the host group or of the front, and yes means it is done."""

from __future__ import annotations

from collections.abc import Callable

from pipitledge.node.console import Call, Verb
from pipitledge.node.dispatch import Dispatch
from pipitledge.node.front import Front
from pipitledge.node.host_group import HostGroup

UNKNOWN_WORKER, STOPPING = "no worker has this id", "the node stops"
NO_TIER = "this node's policy is its own file's: the configuration has no tier"


class Operations:
    """Carries out calls, whoever reads them. Other processes of this node do the same before yes is said."""

    def __init__(self, dispatch: Dispatch, group: HostGroup, front: Front, relay: Callable[[Call], str | None]) -> None:
        """Know the parts that calls are for."""
        self.dispatch, self.group, self.front, self.relay = dispatch, group, front, relay
        self.policy: Callable[[Call], str | None] = lambda call: NO_TIER

    def answer(self, call: Call) -> str | None:
        """Do what is asked, here and in the other processes; None if it is done, else why it is not."""
        if call.verb is Verb.POLICY:
            return self.policy(call)
        if call.verb is Verb.PING:
            return None if self.front.takes else STOPPING
        no = self._apply(call, False)
        return no if no is not None else self.relay(call)

    def apply_relayed(self, call: Call) -> None:
        """Do what another process of this node was asked and knows to be right."""
        self._apply(call, True)

    def _apply(self, call: Call, sure: bool) -> str | None:
        if call.verb is Verb.LAMEDUCK:
            self.front.lame_duck()
            return None
        if call.verb is Verb.REJOIN:
            return None if self.front.rejoin() else STOPPING
        group = self.group
        known = group.attach(call.worker) if call.verb is Verb.ATTACH else group.detach(call.worker, sure)
        self.dispatch.round()  # the module has it, and has acted on it, before anybody is told
        return None if known else UNKNOWN_WORKER
