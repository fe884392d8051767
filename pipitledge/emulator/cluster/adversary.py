"""A network whose messages an adversary holds, doubles, delays and reorders."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from msgspec import Struct

from pipitledge.emulator.cluster.virtual import Action, Fabric, Machine, World

Pair = tuple[str, str]  # names of sender and receiver


@dataclass
class Strike:
    """What the adversary does at a message of some type."""

    message_type: str  # its class's name
    links: set[Pair]
    left: int  # messages that are still to be lost
    then: Callable[[Pair], None]  # called at each

    def fits(self, pair: Pair, message: Struct) -> bool:
        """Whether that message on that link is one of them."""
        return pair in self.links and type(message).__name__ == self.message_type


class AdversarialFabric(Fabric):
    """Links on which messages wait until they are released, in any order, and come twice."""

    def __init__(self, world: World) -> None:
        """Nothing is held yet."""
        super().__init__(world)
        self.repeat_share = 0.0  # of messages that come twice
        self.late_share = 0.0  # of messages that come late
        self.late_seconds = 1.5  # by this much at most
        self.loss_share = 0.0  # of messages that never come, connections' too
        self.strike: Strike | None = None
        self._held_links: dict[Pair, list[Action]] = {}

    def hold(self, pair: Pair) -> None:
        """Keep all that is sent on that link from now on."""
        self._held_links.setdefault(pair, [])

    def holding(self) -> list[Pair]:
        """Links that are held."""
        return sorted(self._held_links)

    def release(self, pair: Pair, shuffled: bool = False) -> None:
        """Let what was kept arrive, at once, and keep nothing more."""
        waiting = self._held_links.pop(pair, [])
        if shuffled:
            self.world.random.shuffle(waiting)
        for action in waiting:
            self.world.after(self.latency(pair), action)

    def carry(self, sender: Machine, receiver: Machine, action: Action, message: Struct | None = None) -> None:
        """Run `action` when bytes of a connection arrive."""
        pair = (sender.name, receiver.name)
        self._send(pair, action, message, lambda run: super(AdversarialFabric, self).carry(sender, receiver, run))

    def throw(self, sender: Machine, receiver: Machine, action: Action, message: Struct | None = None) -> None:
        """Run `action` when a datagram arrives."""
        pair = (sender.name, receiver.name)
        self._send(pair, action, message, lambda run: super(AdversarialFabric, self).throw(sender, receiver, run))

    def _send(self, pair: Pair, action: Action, message: Struct | None, send: Callable[[Action], None]) -> None:
        draw = self.world.random.random
        if self._is_struck(pair, message) or draw() < self.loss_share:
            return
        for _ in range(2 if draw() < self.repeat_share else 1):
            if pair in self._held_links:
                self._held_links[pair].append(action)
            elif draw() < self.late_share:
                self.world.after(self.late_seconds * draw(), lambda: send(action))
            else:
                send(action)

    def _is_struck(self, pair: Pair, message: Struct | None) -> bool:
        """Whether this message is one that the adversary waits for; then it is lost, and more may happen."""
        strike = self.strike
        if strike is None or message is None or not strike.fits(pair, message):
            return False
        strike.left -= 1
        if strike.left <= 0:
            self.strike = None
        strike.then(pair)
        return True
