"""Calls through a relay, between two processes that can't reach each other directly.

A relay is a non-voting node that reaches both. It forwards a call once, unchanged, and returns the answer; it keeps no
state of the call. The receiver remembers through which relay a sender's call came, and calls back through the same one.
Voting members never call each other through relays, because replication relies on a lost message being lost.
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

ROUTE_VALID_S = 3.0  # how long after a relayed call the calls back to its sender use the same relay
RELAY_SLACK_S = 0.05  # a relay times out this much earlier than its caller
MS_PER_S = 1000.0


class RelayedCalls:
    """Makes calls through relays, forwards calls as a relay, and receives relayed calls."""

    def __init__(
        self, clock: Clock, network: Network, membership: Membership, handlers: Handlers, randomness: random.Random
    ) -> None:
        """Create the relay support of one process; relayed calls that arrive here are answered by `handlers`."""
        self._clock = clock
        self._network = network
        self._membership = membership
        self._handlers = handlers
        self._random = randomness
        self._routes: dict[str, _RelayRoute] = {}  # by address of the process that sent the relayed call

    def register(self) -> None:
        """Register the handler of relayed calls."""
        self._handlers.on_call(Forward, self._on_forward)

    # ---- as a caller

    def choose_relay(self, except_for: Sequence[str] = ()) -> str:
        """Return the address of a random node that can be a relay; empty if none is known."""
        nodes = [
            node for node in self._membership.nodes() if not node.counted and node.machine_class != AGENT_MACHINE_CLASS
        ]
        addresses = [node.address for node in nodes if node.address not in except_for]
        return self._random.choice(addresses) if addresses else ""

    def call(self, address: str, request: Struct, timeout: float, on_reply: ReplyHandler) -> None:
        """Call directly, or through the relay that the receiver used for a recent call to this process."""
        route = self._routes.get(address)
        if route is not None and self._clock.now() < route.expires_at:
            self.call_via(route.relay, address, request, timeout, on_reply)
        else:
            self._network.call(address, request, timeout, on_reply)

    def datagram(self, address: str, message: Struct) -> None:
        """Send one datagram over UDP; datagrams are never relayed."""
        self._network.datagram(address, message)

    def call_via(self, relay: str, address: str, request: Struct, timeout: float, on_reply: ReplyHandler) -> None:
        """Call `address` through `relay`."""
        relay_timeout_ms = int(max(0.0, timeout - RELAY_SLACK_S) * MS_PER_S)
        forward = Forward(
            target=address,
            origin=self._membership.me.address,
            timeout_ms=relay_timeout_ms,
            message=codec.encode(request),
        )
        self._network.call(relay, forward, timeout, lambda reply: on_reply(self._unwrap_reply(reply)))

    def probe(self, address: str, timeout: float, on_reply: ReplyHandler) -> None:
        """Test whether a process can be reached directly; if it is, it stops using a relay for calls back, too."""
        self._network.call(address, Forward(origin=self._membership.me.address), timeout, on_reply)

    def _unwrap_reply(self, reply: Struct | None) -> Struct | None:
        """Return the receiver's answer from the relay's reply; None if the receiver did not answer."""
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
            reply(Forwarded())  # already relayed once: the call was meant for another process that had this address
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
    """The relay through which a process called last."""

    relay: str
    expires_at: float  # monotonic time of this process
