"""Calls by way of a relay, between two processes of which one can't reach the other.

A relay is a node that does not count and reaches both. It passes a call on once, as it came, and hands the answer
back; it decides nothing and keeps nothing. The receiver remembers by which relay a sender came, and calls it back the
same way.
Members never call each other so: what replication takes for a lost message stays one.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from msgspec import Struct
from msgspec.structs import replace

from pipitledge.membership.membership import Membership
from pipitledge.membership.partial_view import AGENT_MACHINE_CLASS
from pipitledge.runtime.handlers import Handlers, Reply
from pipitledge.runtime.ports import Clock, Network, ReplyHandler
from pipitledge.wire import codec
from pipitledge.wire.messages import Forward, Forwarded

ROUTE_VALID_S = 3.0  # after the last call by a relay, calls back go by it, too
RELAY_SLACK_S = 0.05  # by which a relay gives up before its caller does
MS_PER_S = 1000.0


class RelayedCalls:
    """Makes calls by relays, is a relay for others, and takes what relays bring."""

    def __init__(
        self, clock: Clock, network: Network, membership: Membership, handlers: Handlers, randomness: random.Random
    ) -> None:
        """Answer what relays bring by `handlers`."""
        self._clock = clock
        self._network = network
        self._membership = membership
        self._handlers = handlers
        self._random = randomness
        self._routes: dict[str, _RelayRoute] = {}  # by address of the sender

    def register(self) -> None:
        """Take calls that go by way of a relay."""
        self._handlers.on_call(Forward, self._on_forward)

    # ---- as a caller

    def choose_relay(self, except_for: Sequence[str] = ()) -> str:
        """The address of a node that may be a relay; empty if none is known."""
        nodes = [
            node for node in self._membership.nodes() if not node.counted and node.machine_class != AGENT_MACHINE_CLASS
        ]
        addresses = [node.address for node in nodes if node.address not in except_for]
        return self._random.choice(addresses) if addresses else ""

    def call(self, address: str, request: Struct, timeout: float, on_reply: ReplyHandler) -> None:
        """Call as the network does, but back by the relay by which the receiver called last, if it did lately."""
        route = self._routes.get(address)
        if route is not None and self._clock.now() < route.until:
            self.call_via(route.relay, address, request, timeout, on_reply)
        else:
            self._network.call(address, request, timeout, on_reply)

    def datagram(self, address: str, message: Struct) -> None:
        """Send once over UDP, straight."""
        self._network.datagram(address, message)

    def call_via(self, relay: str, address: str, request: Struct, timeout: float, on_reply: ReplyHandler) -> None:
        """Call by way of a relay."""
        relay_timeout_ms = int(max(0.0, timeout - RELAY_SLACK_S) * MS_PER_S)
        forward = Forward(
            target=address,
            origin=self._membership.me.address,
            timeout_ms=relay_timeout_ms,
            message=codec.encode(request),
        )
        self._network.call(relay, forward, timeout, lambda reply: on_reply(self._unwrap_reply(reply)))

    def probe(self, address: str, timeout: float, on_reply: ReplyHandler) -> None:
        """See whether a process can be reached straight; if so, it calls back straight, too."""
        self._network.call(address, Forward(origin=self._membership.me.address), timeout, on_reply)

    def _unwrap_reply(self, reply: Struct | None) -> Struct | None:
        """The answer that a relay brought, if it is one."""
        if not isinstance(reply, Forwarded):
            return None
        self._membership.offer_view(reply.view)
        if not reply.answered:
            return None
        try:
            return codec.decode(reply.message)
        except codec.WireError:
            return None

    # ---- as a relay, and as a receiver

    def _on_forward(self, forward: Forward, reply: Reply) -> None:
        if not forward.message:
            self._routes.pop(forward.origin, None)
            reply(Forwarded(answered=True))
        elif forward.target == self._membership.me.address:
            self._deliver(forward, reply)
        elif forward.relay:
            reply(Forwarded())  # it has on_answer a relay already, and was meant for another process at this address
        else:
            self._forward(forward, reply)

    def _forward(self, forward: Forward, reply: Reply) -> None:
        def on_answer(answer: Struct | None) -> None:
            reply(answer if isinstance(answer, Forwarded) else Forwarded(view=self._membership.view))

        stamped = replace(forward, relay=self._membership.me.address)
        self._network.call(forward.target, stamped, forward.timeout_ms / MS_PER_S, on_answer)

    def _deliver(self, forward: Forward, reply: Reply) -> None:
        if forward.relay:
            self._routes[forward.origin] = _RelayRoute(forward.relay, self._clock.now() + ROUTE_VALID_S)
        try:
            message = codec.decode(forward.message)
        except codec.WireError:
            reply(Forwarded())
            return

        def answered(result: Struct) -> None:
            reply(Forwarded(answered=True, message=codec.encode(result)))

        if not self._handlers.call(message, answered):
            reply(Forwarded())


class _RelayRoute(Struct, frozen=True):
    """By which relay a process called last."""

    relay: str
    until: float  # steady time
