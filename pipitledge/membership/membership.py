"""Which processes exist, and the newest view of who leads: spread by shuffling partial views over datagrams.

A process starts with nothing but its seeds. It asks one neighbour at a time for a sample of what that one knows and
sends a sample of its own along; seeds are asked again for ever, so that parts which lost each other meet again.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from msgspec import Struct

from pipitledge.membership.partial_view import LEAF_CLASS, PartialView
from pipitledge.runtime.handlers import Handlers
from pipitledge.runtime.ports import Clock, Network
from pipitledge.wire.messages import NodeDescriptor, Shuffle, View

ViewListener = Callable[[View], None]

ALIVE_S = 10.0
"""A process that was heard of within this time counts as alive."""
FORGET_S = 60.0
"""A process that was not heard of for this long is no longer sought."""
SEEK_INTERVAL_S = 0.1
"""Between requests while nobody is known, soon after the start."""
SEEK_LATER_INTERVAL_S = 0.5
"""Between requests while nobody is known, later on."""
GATHER_INTERVAL_S = 0.2
"""Between requests soon after the start, once somebody is known."""
SHUFFLE_INTERVAL_S = 1.0
"""Between requests, among few processes."""
SHORTEST_SHUFFLE_INTERVAL_S = 0.5
"""Between requests, among many, so that each is heard of often enough."""
LEAF_SHUFFLE_INTERVAL_S = 3.0
"""Between requests of an agent: there are many, and none needs to know the others."""
FEW_PROCESSES = 20
"""Up to this many are few; beyond, the interval shrinks in proportion."""
SEEK_PHASE_S = 2.0
"""How long nobody may be known before requests become fewer."""
GATHER_PHASE_S = 3.0
"""How long after its start a process asks often."""
RECONNECT_INTERVAL_S = 3.0
"""Between requests to a seed or to a process that has fallen silent."""
VIEW_NEWS_S = 5.0
"""How long a view is sent with each request; later only in answers to those that may not have it."""

SAMPLE_SIZE = 8
"""Descriptors in a shuffle, at most."""
LEAF_SAMPLE_SIZE = 5
"""Descriptors in a shuffle to or from an agent, at most."""
SMALLEST_SAMPLE_SIZE = 2
DATAGRAM_BYTES = 1200
"""Length that shuffles are kept to, so that networks carry them whole."""
SHUFFLE_HEAD_BYTES = 160
ENTRY_BYTES = 80
"""Of a descriptor or member, on the wire, besides its name and address; zones and the like are sent once."""


class Membership:
    """This process's part in the exchange."""

    def __init__(
        self,
        clock: Clock,
        network: Network,
        randomness: random.Random,
        me: NodeDescriptor,
        seeds: list[str],
        internal_port: int,
    ) -> None:
        """Membership of the process `me`; `seeds` are "ip:port" of control planes, of which only the ip is used."""
        self.me = me
        self._is_leaf = me.machine_class == LEAF_CLASS
        self._clock = clock
        self._network = network
        self._random = randomness
        self._internal_port = internal_port
        self._neighbours = PartialView(me.name, randomness)
        self._seeds: list[str] = []
        self._next_seed = 0
        self._view: View | None = None
        self._view_at = 0.0
        self._listeners: list[ViewListener] = []
        self._running = False
        self._stopped = False
        self._started_at = 0.0
        self._shuffles = 0
        self.update_seeds(seeds)

    def register(self, handlers: Handlers) -> None:
        """Take shuffles."""
        handlers.on_datagram(Shuffle, self._take)

    def start(self) -> None:
        """Begin to ask."""
        self._running = True
        self._started_at = self._clock.now()
        self._shuffle()
        self._schedule(RECONNECT_INTERVAL_S, self._reconnect)

    def stop(self) -> None:
        """Ask and answer no more, so that the others forget this process."""
        self._running = False
        self._stopped = True

    def update_seeds(self, seeds: list[str]) -> None:
        """Use these seeds from now on."""
        addresses = internal_addresses(seeds, self._internal_port)
        self._seeds = [address for address in addresses if address != self.me.address]

    def seed_addresses(self) -> list[str]:
        """Internal addresses of the seeds, without this process."""
        return list(self._seeds)

    def nodes(self) -> list[NodeDescriptor]:
        """The other processes that are alive."""
        return self._neighbours.heard_since(self._alive_since())

    def counted(self) -> list[NodeDescriptor]:
        """The other counted nodes that are alive."""
        return [node for node in self.nodes() if node.counted]

    def find(self, name: str) -> NodeDescriptor | None:
        """Another process by its name, also if it has fallen silent."""
        return self._neighbours.find(name)

    @property
    def view(self) -> View | None:
        """The newest view heard of."""
        return self._view

    def on_view(self, listener: ViewListener) -> None:
        """Call `listener` with each newer view."""
        self._listeners.append(listener)

    def offer_view(self, view: View | None) -> None:
        """Take in a view; one that is no newer changes nothing."""
        if not _is_newer(view, self._view):
            return
        assert view is not None
        self._view = view
        self._view_at = self._clock.now()
        for listener in list(self._listeners):
            listener(view)

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        self._clock.at(self._clock.now() + delay, lambda: action() if self._running else None)

    def _shuffle(self) -> None:
        """Ask one neighbour, and set the time of the next request."""
        self._neighbours.forget(self._clock.now() - FORGET_S)
        target = self._choose_target()
        if target is not None:
            self._request(target)
        self._shuffles += 1
        self._schedule(self._interval(), self._shuffle)

    def _interval(self) -> float:
        age = self._clock.now() - self._started_at
        known = len(self.nodes())
        if not known:
            return SEEK_INTERVAL_S if age < SEEK_PHASE_S else SEEK_LATER_INTERVAL_S
        if age < GATHER_PHASE_S:
            return GATHER_INTERVAL_S
        if self._is_leaf:
            return LEAF_SHUFFLE_INTERVAL_S
        interval = SHUFFLE_INTERVAL_S * FEW_PROCESSES / known
        return min(SHUFFLE_INTERVAL_S, max(SHORTEST_SHUFFLE_INTERVAL_S, interval))

    def _choose_target(self) -> str | None:
        """By turns any neighbour and the oldest; a seed in its place soon after the start and while there is none.

        Agents ask nodes alone.
        """
        nodes = self.nodes()
        if self._is_leaf:
            nodes = [node for node in nodes if node.machine_class != LEAF_CLASS]
        if nodes and self._shuffles % 2 == 1:
            return self._random.choice(nodes).address
        if self._is_leaf and nodes and self._clock.now() - self._started_at >= GATHER_PHASE_S:
            return self._random.choice(nodes).address
        oldest = self._neighbours.oldest_since(self._alive_since())
        if oldest is None or self._clock.now() - self._started_at < GATHER_PHASE_S:
            return self._take_seed()  # some know each other only, until one of them asks a seed
        return oldest.address

    def _take_seed(self) -> str | None:
        """The seeds in turn."""
        if not self._seeds:
            return None
        self._next_seed += 1
        return self._seeds[self._next_seed % len(self._seeds)]

    def _reconnect(self) -> None:
        """Ask a seed, and one of those that have fallen silent: both may be on the far side of a cut that is mended."""
        silent = self._neighbours.silent_since(self._alive_since())
        targets = [self._take_seed(), self._random.choice(silent).address if silent else None]
        for target in targets:
            if target is not None:
                self._request(target)
        self._schedule(RECONNECT_INTERVAL_S, self._reconnect)

    def _request(self, address: str) -> None:
        now = self._clock.now()
        view = self._view if now - self._view_at < VIEW_NEWS_S else None
        count = _sample_size(self.me, view)
        if self._is_leaf:
            count = SMALLEST_SAMPLE_SIZE  # what an agent knows, nodes have told it
        elif self._is_leaf_at(address):
            count = min(count, LEAF_SAMPLE_SIZE)
        sample = self._neighbours.sample(now, count, self._alive_since())
        self._network.datagram(address, Shuffle(sender=self.me, sample=sample, view=view, reply=True))

    def _take(self, shuffle: Struct) -> None:
        assert isinstance(shuffle, Shuffle)
        if self._stopped or shuffle.sender.name == self.me.name:
            return
        now = self._clock.now()
        if shuffle.reply:
            self._answer(shuffle)
        self._neighbours.spoke(shuffle.sender, now)
        self._neighbours.hearsay(shuffle.sample, now)
        self.offer_view(shuffle.view)

    def _answer(self, request: Shuffle) -> None:
        view = self._view if _is_newer(self._view, request.view) else None
        asked = [*request.sample, request.sender]
        count = _sample_size(self.me, view)
        to_leaf = request.sender.machine_class == LEAF_CLASS
        if self._is_leaf or to_leaf:
            count = min(count, LEAF_SAMPLE_SIZE)
        sample = self._neighbours.answer(asked, self._clock.now(), count, self._alive_since(), counted_first=to_leaf)
        answer = Shuffle(sender=self.me, sample=sample, view=view, reply=False)
        self._network.datagram(request.sender.address, answer)

    def _is_leaf_at(self, address: str) -> bool:
        """Whether an agent is known to have that address."""
        return any(node.address == address and node.machine_class == LEAF_CLASS for node in self.nodes())

    def _alive_since(self) -> float:
        return self._clock.now() - ALIVE_S


def internal_addresses(seeds: list[str], internal_port: int) -> list[str]:
    """Where nodes reach the seeds, which are "ip:port" of control planes; the internal port is alike everywhere."""
    return [f"{seed.rpartition(':')[0]}:{internal_port}" for seed in seeds]


def _is_newer(view: View | None, than: View | None) -> bool:
    return view is not None and view.epoch > (0 if than is None else than.epoch)


def _sample_size(me: NodeDescriptor, view: View | None) -> int:
    """How many descriptors a shuffle with that view has room for, if the others' names are like ours."""
    descriptor = ENTRY_BYTES + len(me.name) + len(me.address)
    members = [] if view is None else view.members
    view_bytes = sum(ENTRY_BYTES + len(member.name) + len(member.address) for member in members)
    room = DATAGRAM_BYTES - SHUFFLE_HEAD_BYTES - descriptor - view_bytes
    return max(SMALLEST_SAMPLE_SIZE, min(SAMPLE_SIZE, room // descriptor))
