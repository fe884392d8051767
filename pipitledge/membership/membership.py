"""Which processes exist, and the newest view of who leads: spread by shuffling partial views over datagrams.

A process starts with nothing but its seeds. It asks one neighbour at a time for a sample of what that one knows and
sends a sample of its own along; seeds are asked again for ever, so that parts which lost each other meet again.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from msgspec import Struct

from pipitledge.membership.partial_view import AGENT_MACHINE_CLASS, PartialView
from pipitledge.runtime.handlers import Handlers
from pipitledge.runtime.ports import Clock, Network
from pipitledge.wire.messages import NodeDescriptor, Shuffle, View

ViewListener = Callable[[View], None]

ALIVE_TIMEOUT_S = 10.0
"""A process that was heard of within this time counts as alive."""
FORGET_AFTER_S = 60.0
"""A process that was not heard of for this long is no longer sought."""
DISCOVERY_INTERVAL_S = 0.1
"""Between requests while nobody is known, soon after the start."""
SLOW_DISCOVERY_INTERVAL_S = 0.5
"""Between requests while nobody is known, later on."""
WARMUP_INTERVAL_S = 0.2
"""Between requests soon after the start, once somebody is known."""
SHUFFLE_INTERVAL_S = 1.0
"""Between requests, among few processes."""
MIN_SHUFFLE_INTERVAL_S = 0.5
"""Between requests, among many, so that each is heard of often enough."""
AGENT_SHUFFLE_INTERVAL_S = 3.0
"""Between requests of an agent: there are many, and none needs to know the others."""
SMALL_SYSTEM_SIZE = 20
"""Up to this many are few; beyond, the interval shrinks in proportion."""
FAST_DISCOVERY_S = 2.0
"""How long nobody may be known before requests become fewer."""
WARMUP_S = 3.0
"""How long after its start a process asks often."""
RECONNECT_INTERVAL_S = 3.0
"""Between requests to a seed or to a process that has fallen silent."""
FRESH_VIEW_S = 5.0
"""How long a view is sent with each request; later only in answers to those that may not have it."""

MAX_SAMPLE_SIZE = 8
"""Descriptors in a shuffle, at most."""
AGENT_SAMPLE_SIZE = 5
"""Descriptors in a shuffle to or from an agent, at most."""
MIN_SAMPLE_SIZE = 2
MAX_DATAGRAM_BYTES = 1200
"""Length that shuffles are kept to, so that networks carry them whole."""
SHUFFLE_HEADER_BYTES = 160
DESCRIPTOR_BYTES = 80
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
        self._is_agent = me.machine_class == AGENT_MACHINE_CLASS
        self._clock = clock
        self._network = network
        self._random = randomness
        self._internal_port = internal_port
        self._partial_view = PartialView(me.name, randomness)
        self._seeds: list[str] = []
        self._seed_index = 0
        self._view: View | None = None
        self._view_learned_at = 0.0
        self._listeners: list[ViewListener] = []
        self._running = False
        self._stopped = False
        self._started_at = 0.0
        self._shuffles = 0
        self.update_seeds(seeds)

    def register(self, handlers: Handlers) -> None:
        """Take shuffles."""
        handlers.on_datagram(Shuffle, self._on_shuffle)

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
        return self._partial_view.seen_since(self._alive_since())

    def counted(self) -> list[NodeDescriptor]:
        """The other counted nodes that are alive."""
        return [node for node in self.nodes() if node.counted]

    def find(self, name: str) -> NodeDescriptor | None:
        """Another process by its name, also if it has fallen silent."""
        return self._partial_view.find(name)

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
        self._view_learned_at = self._clock.now()
        for listener in list(self._listeners):
            listener(view)

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        self._clock.at(self._clock.now() + delay, lambda: action() if self._running else None)

    def _shuffle(self) -> None:
        """Ask one neighbour, and set the time of the next request."""
        self._partial_view.forget(self._clock.now() - FORGET_AFTER_S)
        target = self._choose_target()
        if target is not None:
            self._request(target)
        self._shuffles += 1
        self._schedule(self._interval(), self._shuffle)

    def _interval(self) -> float:
        age = self._clock.now() - self._started_at
        known = len(self.nodes())
        if not known:
            return DISCOVERY_INTERVAL_S if age < FAST_DISCOVERY_S else SLOW_DISCOVERY_INTERVAL_S
        if age < WARMUP_S:
            return WARMUP_INTERVAL_S
        if self._is_agent:
            return AGENT_SHUFFLE_INTERVAL_S
        interval = SHUFFLE_INTERVAL_S * SMALL_SYSTEM_SIZE / known
        return min(SHUFFLE_INTERVAL_S, max(MIN_SHUFFLE_INTERVAL_S, interval))

    def _choose_target(self) -> str | None:
        """By turns any neighbour and the oldest; a seed in its place soon after the start and while there is none.

        Agents ask nodes alone.
        """
        nodes = self.nodes()
        if self._is_agent:
            nodes = [node for node in nodes if node.machine_class != AGENT_MACHINE_CLASS]
        if nodes and self._shuffles % 2 == 1:
            return self._random.choice(nodes).address
        if self._is_agent and nodes and self._clock.now() - self._started_at >= WARMUP_S:
            return self._random.choice(nodes).address
        oldest = self._partial_view.oldest_seen_since(self._alive_since())
        if oldest is None or self._clock.now() - self._started_at < WARMUP_S:
            return self._next_seed_address()  # some know each other only, until one of them asks a seed
        return oldest.address

    def _next_seed_address(self) -> str | None:
        """The seeds in turn."""
        if not self._seeds:
            return None
        self._seed_index += 1
        return self._seeds[self._seed_index % len(self._seeds)]

    def _reconnect(self) -> None:
        """Ask a seed, and one of those that have fallen silent: both may be on the far side of a cut that is mended."""
        silent = self._partial_view.not_seen_since(self._alive_since())
        targets = [self._next_seed_address(), self._random.choice(silent).address if silent else None]
        for target in targets:
            if target is not None:
                self._request(target)
        self._schedule(RECONNECT_INTERVAL_S, self._reconnect)

    def _request(self, address: str) -> None:
        now = self._clock.now()
        view = self._view if now - self._view_learned_at < FRESH_VIEW_S else None
        count = _sample_size(self.me, view)
        if self._is_agent:
            count = MIN_SAMPLE_SIZE  # what an agent knows, nodes have told it
        elif self._is_agent_at(address):
            count = min(count, AGENT_SAMPLE_SIZE)
        sample = self._partial_view.sample(now, count, self._alive_since())
        self._network.datagram(address, Shuffle(sender=self.me, sample=sample, view=view, reply=True))

    def _on_shuffle(self, shuffle: Struct) -> None:
        assert isinstance(shuffle, Shuffle)
        if self._stopped or shuffle.sender.name == self.me.name:
            return
        now = self._clock.now()
        if shuffle.reply:
            self._send_answer(shuffle)
        self._partial_view.record_contact(shuffle.sender, now)
        self._partial_view.record_gossip(shuffle.sample, now)
        self.offer_view(shuffle.view)

    def _send_answer(self, request: Shuffle) -> None:
        view = self._view if _is_newer(self._view, request.view) else None
        asked = [*request.sample, request.sender]
        count = _sample_size(self.me, view)
        to_agent = request.sender.machine_class == AGENT_MACHINE_CLASS
        if self._is_agent or to_agent:
            count = min(count, AGENT_SAMPLE_SIZE)
        sample = self._partial_view.answer(asked, self._clock.now(), count, self._alive_since(), counted_first=to_agent)
        answer = Shuffle(sender=self.me, sample=sample, view=view, reply=False)
        self._network.datagram(request.sender.address, answer)

    def _is_agent_at(self, address: str) -> bool:
        """Whether an agent is known to have that address."""
        return any(node.address == address and node.machine_class == AGENT_MACHINE_CLASS for node in self.nodes())

    def _alive_since(self) -> float:
        return self._clock.now() - ALIVE_TIMEOUT_S


def internal_addresses(seeds: list[str], internal_port: int) -> list[str]:
    """Where nodes reach the seeds, which are "ip:port" of control planes; the internal port is alike everywhere."""
    return [f"{seed.rpartition(':')[0]}:{internal_port}" for seed in seeds]


def _is_newer(view: View | None, than: View | None) -> bool:
    return view is not None and view.epoch > (0 if than is None else than.epoch)


def _sample_size(me: NodeDescriptor, view: View | None) -> int:
    """How many descriptors a shuffle with that view has available_bytes for, if the others' names are like ours."""
    descriptor = DESCRIPTOR_BYTES + len(me.name) + len(me.address)
    members = [] if view is None else view.members
    view_bytes = sum(DESCRIPTOR_BYTES + len(member.name) + len(member.address) for member in members)
    available_bytes = MAX_DATAGRAM_BYTES - SHUFFLE_HEADER_BYTES - descriptor - view_bytes
    return max(MIN_SAMPLE_SIZE, min(MAX_SAMPLE_SIZE, available_bytes // descriptor))
