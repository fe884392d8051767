"""Carries out operators' calls on the host group and the front; a positive answer means that the call is done."""

from __future__ import annotations

from collections.abc import Callable

from pipitledge.node.console import Call, Verb
from pipitledge.node.dispatch import Dispatch
from pipitledge.node.front import Front
from pipitledge.node.host_group import HostGroup

UNKNOWN_WORKER, STOPPING = "no worker has this id", "the node stops"
NO_TIER = "this node's policy is its own file's: the configuration has no tier"


class Operations:
    """Carries out calls here and in the node's other processes; a call succeeds once all of them have done it."""

    def __init__(self, dispatch: Dispatch, group: HostGroup, front: Front, relay: Callable[[Call], str | None]) -> None:
        """Set the targets of the calls.

        `relay` passes a call to the node's other processes; it returns None on success, else the reason.
        """
        self.dispatch, self.group, self.front, self.relay = dispatch, group, front, relay
        self.policy: Callable[[Call], str | None] = lambda call: NO_TIER

    def answer(self, call: Call) -> str | None:
        """Carry out a call here and in the other processes; returns None on success, else the reason of failure."""
        if call.verb is Verb.POLICY:
            return self.policy(call)
        if call.verb is Verb.PING:
            return None if self.front.takes else STOPPING
        failure = self._apply(call, False)
        return failure if failure is not None else self.relay(call)

    def apply_relayed(self, call: Call) -> None:
        """Carry out a call that another process of this node received and found valid."""
        self._apply(call, True)

    def _apply(self, call: Call, is_validated: bool) -> str | None:
        if call.verb is Verb.LAMEDUCK:
            self.front.lame_duck()
            return None
        if call.verb is Verb.REJOIN:
            return None if self.front.rejoin() else STOPPING
        group = self.group
        known = group.attach(call.worker) if call.verb is Verb.ATTACH else group.detach(call.worker, is_validated)
        self.dispatch.round()  # the decision module acts on the change before the caller is answered
        return None if known else UNKNOWN_WORKER
