"""Gossip of the processes that exist and of the newest view (who is primary), by shuffles over UDP datagrams.

A process starts with nothing but the addresses of its seeds. It repeatedly asks one neighbour for a sample of that
neighbour's partial view and sends a sample of its own along. It never stops asking the seeds, so that parts of the
system that were cut off from each other for long find each other again.
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
"""A process counts as alive if it was last seen, here or by a gossiping process, within this time."""
FORGET_AFTER_S = 60.0
"""A process that was not seen for this long is dropped, and no longer asked in order to reconnect."""
DISCOVERY_INTERVAL_S = 0.1
"""Time between requests while no process is known, soon after the start."""
SLOW_DISCOVERY_INTERVAL_S = 0.5
"""Time between requests while no process is known, after `FAST_DISCOVERY_S`."""
WARMUP_INTERVAL_S = 0.2
"""Time between requests soon after the start, once a process is known."""
SHUFFLE_INTERVAL_S = 1.0
"""Time between requests in a small system."""
MIN_SHUFFLE_INTERVAL_S = 0.5
"""Time between requests in a large system; shorter, so that each process is still mentioned often enough."""
AGENT_SHUFFLE_INTERVAL_S = 3.0
"""Time between requests of an agent: there are many agents, and none needs to know the others."""
SMALL_SYSTEM_SIZE = 20
"""Number of known processes above which the shuffle interval shrinks in proportion."""
FAST_DISCOVERY_S = 2.0
"""How long after its start a process that knows no other one asks at the fast rate."""
WARMUP_S = 3.0
"""How long after its start a process asks more often, and asks seeds more often."""
RECONNECT_INTERVAL_S = 3.0
"""Time between requests to a seed and to a process that is no longer seen."""
FRESH_VIEW_S = 5.0
"""How long a new view is sent with each request; later only in answers to requests with an older view."""

MAX_SAMPLE_SIZE = 8
"""Maximum number of descriptors in a shuffle."""
AGENT_SAMPLE_SIZE = 5
"""Maximum number of descriptors in a shuffle to or from an agent."""
MIN_SAMPLE_SIZE = 2
"""Minimum number of descriptors in a shuffle, also with a large view; all that an agent's request carries."""
MAX_DATAGRAM_BYTES = 1200
"""Maximum length of a shuffle, so that networks don't fragment it."""
SHUFFLE_HEADER_BYTES = 160
"""Estimated length of a shuffle without descriptors and view."""
DESCRIPTOR_BYTES = 80
"""Encoded length of a descriptor or member without its name and address; zones and the like are sent only once."""


class Membership:
    """This process's part in the gossip."""

    def __init__(
        self,
        clock: Clock,
        network: Network,
        randomness: random.Random,
        me: NodeDescriptor,
        seeds: list[str],
        internal_port: int,
    ) -> None:
        """Create the membership of the process `me`; of `seeds` (control plane "ip:port") only the ip is used."""
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
        """Register the handler of shuffles."""
        handlers.on_datagram(Shuffle, self._on_shuffle)

    def start(self) -> None:
        """Start to send requests."""
        self._running = True
        self._started_at = self._clock.now()
        self._shuffle()
        self._schedule(RECONNECT_INTERVAL_S, self._reconnect)

    def stop(self) -> None:
        """Send no more requests or answers, so that the other processes forget this one."""
        self._running = False
        self._stopped = True

    def update_seeds(self, seeds: list[str]) -> None:
        """Replace the seeds, after a change of the settings."""
        addresses = internal_addresses(seeds, self._internal_port)
        self._seeds = [address for address in addresses if address != self.me.address]

    def seed_addresses(self) -> list[str]:
        """Return the internal addresses of the seeds, without this process."""
        return list(self._seeds)

    def nodes(self) -> list[NodeDescriptor]:
        """Return the other processes, nodes and agents, that are alive."""
        return self._partial_view.seen_since(self._alive_since())

    def counted(self) -> list[NodeDescriptor]:
        """Return the other voting nodes that are alive."""
        return [node for node in self.nodes() if node.counted]

    def find(self, name: str) -> NodeDescriptor | None:
        """Return another process by its name, also if it is no longer alive; None if it is unknown."""
        return self._partial_view.find(name)

    @property
    def view(self) -> View | None:
        """The newest view known here; None before the first."""
        return self._view

    def on_view(self, listener: ViewListener) -> None:
        """Call `listener` with each newer view."""
        self._listeners.append(listener)

    def offer_view(self, view: View | None) -> None:
        """Adopt a view and notify the listeners if it is newer than the current one."""
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
        """Send a request to one process, and schedule the next request."""
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
        """Return the address to ask: in turns a random live process and the one that was seen the longest ago.

        Soon after the start, and while none is known, a seed is asked in place of the latter. Agents ask only nodes
        and seeds.
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
            return self._next_seed_address()  # a group that knows only itself needs a seed to find the others
        return oldest.address

    def _next_seed_address(self) -> str | None:
        """Return the next seed, round-robin; None if there are none."""
        if not self._seeds:
            return None
        self._seed_index += 1
        return self._seeds[self._seed_index % len(self._seeds)]

    def _reconnect(self) -> None:
        """Ask a seed and a process that is no longer alive: both may be reachable again after a network partition."""
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
            count = MIN_SAMPLE_SIZE  # an agent knows only what it learned from nodes
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
        """Return whether a known agent has that address."""
        return any(node.address == address and node.machine_class == AGENT_MACHINE_CLASS for node in self.nodes())

    def _alive_since(self) -> float:
        return self._clock.now() - ALIVE_TIMEOUT_S


def internal_addresses(seeds: list[str], internal_port: int) -> list[str]:
    """Return internal addresses of seeds given as control plane "ip:port"; all nodes use the same internal port."""
    return [f"{seed.rpartition(':')[0]}:{internal_port}" for seed in seeds]


def _is_newer(view: View | None, than: View | None) -> bool:
    return view is not None and view.epoch > (0 if than is None else than.epoch)


def _sample_size(me: NodeDescriptor, view: View | None) -> int:
    """Return how many descriptors fit into a shuffle with `view`, if other names are as long as that of `me`."""
    descriptor = DESCRIPTOR_BYTES + len(me.name) + len(me.address)
    members = [] if view is None else view.members
    view_bytes = sum(DESCRIPTOR_BYTES + len(member.name) + len(member.address) for member in members)
    available_bytes = MAX_DATAGRAM_BYTES - SHUFFLE_HEADER_BYTES - descriptor - view_bytes
    return max(MIN_SAMPLE_SIZE, min(MAX_SAMPLE_SIZE, available_bytes // descriptor))
