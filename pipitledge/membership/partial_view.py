"""A bounded view of the processes that exist, kept fresh by exchanging samples (as in the Cyclon protocol).

Each entry holds a descriptor and the time at which its process was last seen. Of two entries of a process the younger
one is kept; when the view is full, the oldest entry is evicted. Voting nodes are evicted last, because every process
has to find them.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from pipitledge.wire.messages import NodeDescriptor

VIEW_SIZE = 64
"""Maximum number of entries: in a system of up to this size, every process knows all others."""

GOSSIP_MARGIN_S = 0.5
"""An entry received by gossip replaces a known one only if it is younger by this much. Ages don't include the time that
a message spends on the network, so an entry would get younger at each hop and dead processes would never be dropped."""

LOST_DISK_SILENCE_S = 3.0
"""A descriptor with a lower start count than the known one (the process lost its disk) replaces it once the former
incarnation has not been seen for this much longer."""

YOUNGEST_DIVISOR = 4
"""Most of the entries drawn for a sample are of the youngest 1/4, so that they spread before they are old."""

COUNTED_DIVISOR = 4
"""1/4 of the entries drawn for a sample are voting nodes, which every process has to know."""

RANDOM_DIVISOR = 4
"""1/4 of the entries drawn for a sample are of any age, so that all processes become known."""

RELAYS_PER_ANSWER = 1
"""Number of non-voting nodes, which can be relays, in an answer with voting nodes first."""

AGENT_MACHINE_CLASS = "side"
"""The machine class that agents have in their descriptors."""

MS_PER_S = 1000


@dataclass(slots=True, eq=False)
class Neighbour:
    """One entry of the partial view."""

    descriptor: NodeDescriptor
    last_seen_at: float  # monotonic time at which the process was last seen, by this process or another one


class PartialView:
    """The processes that one process knows."""

    def __init__(self, own_name: str, randomness: random.Random, capacity: int = VIEW_SIZE) -> None:
        """Create the empty view of the process `own_name`, which itself is never an entry."""
        self._own_name = own_name
        self._random = randomness
        self._capacity = capacity
        self._neighbours: dict[str, Neighbour] = {}

    def __len__(self) -> int:
        """Return the number of entries, including processes that are no longer seen."""
        return len(self._neighbours)

    def find(self, name: str) -> NodeDescriptor | None:
        """Return the descriptor of the process of that name; None if it is unknown."""
        neighbour = self._neighbours.get(name)
        return None if neighbour is None else neighbour.descriptor

    def seen_since(self, when: float) -> list[NodeDescriptor]:
        """Return all processes last seen at or after `when`."""
        return [neighbour.descriptor for neighbour in self._neighbours.values() if neighbour.last_seen_at >= when]

    def not_seen_since(self, when: float) -> list[NodeDescriptor]:
        """Return all processes last seen before `when`."""
        return [neighbour.descriptor for neighbour in self._neighbours.values() if neighbour.last_seen_at < when]

    def oldest_seen_since(self, when: float) -> NodeDescriptor | None:
        """Return, of the processes seen at or after `when`, the one last seen the longest ago."""
        alive = [neighbour for neighbour in self._neighbours.values() if neighbour.last_seen_at >= when]
        return min(alive, key=_last_seen_at).descriptor if alive else None

    def record_contact(self, descriptor: NodeDescriptor, now: float) -> None:
        """Record the descriptor that a process has just sent of itself."""
        self._offer(Neighbour(descriptor, now), margin=0.0)

    def record_gossip(self, descriptors: Iterable[NodeDescriptor], now: float) -> None:
        """Record descriptors of other processes, as received in a sample."""
        for descriptor in descriptors:
            last_seen_at = now - max(0, descriptor.age_ms) / MS_PER_S
            self._offer(Neighbour(descriptor, last_seen_at), margin=GOSSIP_MARGIN_S)

    def sample(self, now: float, count: int, since: float) -> list[NodeDescriptor]:
        """Return the sample of a request: the oldest entries, to get them refreshed, and younger ones to spread."""
        alive = sorted((entry for entry in self._neighbours.values() if entry.last_seen_at >= since), key=_last_seen_at)
        oldest = alive[: count // 2]
        recent = self._draw_recent(alive[count // 2 :], count - len(oldest))
        return [_aged(entry, now) for entry in oldest + recent]

    def answer(
        self, asked: Iterable[NodeDescriptor], now: float, count: int, since: float, counted_first: bool = False
    ) -> list[NodeDescriptor]:
        """Return the answer to a sample: entries that are younger here, and some of the youngest that it lacks.

        With `counted_first`, voting nodes of any age come before all others, except for one node that can be a relay.
        """
        ages = {descriptor.name: descriptor.age_ms for descriptor in asked}
        alive = sorted((entry for entry in self._neighbours.values() if entry.last_seen_at >= since), key=_last_seen_at)
        younger = [entry for entry in alive if _is_younger(entry, ages.get(entry.descriptor.name), now)]
        counted = [entry for entry in alive if entry.descriptor.counted] if counted_first else []
        others = [entry for entry in alive if _is_possible_relay(entry.descriptor)] if counted_first else []
        chosen = self._draw(others, RELAYS_PER_ANSWER)
        chosen += self._draw(counted, count - len(chosen))
        chosen += self._draw([entry for entry in younger if entry not in chosen], count - len(chosen))
        lacking = [entry for entry in alive if entry.descriptor.name not in ages and entry not in chosen]
        chosen += self._draw_recent(lacking, count - len(chosen))
        return [_aged(entry, now) for entry in chosen]

    def forget(self, before: float) -> None:
        """Drop all processes last seen before `before`."""
        for descriptor in self.not_seen_since(before):
            del self._neighbours[descriptor.name]

    def _draw(self, entries: list[Neighbour], count: int) -> list[Neighbour]:
        return self._random.sample(entries, min(count, len(entries)))

    def _draw_recent(self, ordered: list[Neighbour], count: int) -> list[Neighbour]:
        """Draw some voting nodes, some entries of any age and some of the youngest; `ordered` is oldest first."""
        chosen = self._draw([entry for entry in ordered if entry.descriptor.counted], count // COUNTED_DIVISOR)
        chosen += self._draw([entry for entry in ordered if entry not in chosen], count // RANDOM_DIVISOR)
        others = [entry for entry in ordered if entry not in chosen]
        missing = count - len(chosen)
        youngest = max(missing, len(others) // YOUNGEST_DIVISOR)
        return chosen + self._draw(others[max(0, len(others) - youngest) :], missing)

    def _offer(self, offered: Neighbour, margin: float) -> None:
        name = offered.descriptor.name
        if not name or name == self._own_name:
            return
        known = self._neighbours.get(name)
        if known is None:
            self._neighbours[name] = offered
            self._evict_excess()
        elif _supersedes(offered, known, margin):
            self._neighbours[name] = offered

    def _evict_excess(self) -> None:
        if len(self._neighbours) > self._capacity:
            evicted = min(self._neighbours.values(), key=lambda entry: (entry.descriptor.counted, entry.last_seen_at))
            del self._neighbours[evicted.descriptor.name]


def _is_possible_relay(descriptor: NodeDescriptor) -> bool:
    """Return whether it is a non-voting node, which can relay calls between processes that can't reach each other."""
    return not descriptor.counted and descriptor.machine_class != AGENT_MACHINE_CLASS


def _supersedes(offered: Neighbour, known: Neighbour, margin: float) -> bool:
    """Return whether `offered` is newer information about the process than `known`."""
    if offered.descriptor.incarnation != known.descriptor.incarnation:
        newer_starts = offered.descriptor.started_sequence - known.descriptor.started_sequence
        if newer_starts > 0:
            return True
        if newer_starts < 0:
            return offered.last_seen_at > known.last_seen_at + LOST_DISK_SILENCE_S
    return offered.last_seen_at > known.last_seen_at + margin


def _is_younger(entry: Neighbour, asked_age_ms: int | None, now: float) -> bool:
    if asked_age_ms is None:
        return False
    return entry.last_seen_at > now - asked_age_ms / MS_PER_S + GOSSIP_MARGIN_S


def _aged(entry: Neighbour, now: float) -> NodeDescriptor:
    """Return the descriptor with its current age."""
    age_ms = max(0, round((now - entry.last_seen_at) * MS_PER_S))
    return msgspec.structs.replace(entry.descriptor, age_ms=age_ms)


def _last_seen_at(entry: Neighbour) -> float:
    return entry.last_seen_at
