"""A bounded view of the processes that exist, kept fresh by exchanges of samples (as in Cyclon).

Each entry is a descriptor and the time at which its process last spoke, as far as is known here. What is younger
wins; what is oldest makes room. Counted nodes stay in preference to others, as everyone has to find them.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from pipitledge.wire.messages import NodeDescriptor

VIEW_SIZE = 64
"""Entries kept: in a system of up to this many processes, everyone knows everyone."""

GOSSIP_MARGIN_S = 0.5
"""Hearsay has to be younger by this much to count as recent: otherwise the time that messages spend under way would
make it younger at each step, and those long gone would be talked of for ever."""

LOST_DISK_SILENCE_S = 3.0
"""A process whose starts count from lower again (its disk was lost) is believed once its former self has been silent
for this much longer."""

YOUNGEST_DIVISOR = 4
"""Most recent are of the youngest 1/4 of all entries: what is young spreads before it is old."""

COUNTED_DIVISOR = 4
"""Of recent, 1/4 are of counted nodes, which everyone has to know."""

RANDOM_DIVISOR = 4
"""Of recent, 1/4 are of any entry, so that all come to be known."""

RELAYS_PER_ANSWER = 1
"""Of an answer that names counted nodes first, so many are nodes that do not count."""

AGENT_MACHINE_CLASS = "side"
"""Machine class of agents."""

MS_PER_S = 1000


@dataclass(slots=True, eq=False)
class Neighbour:
    """One entry."""

    descriptor: NodeDescriptor
    last_seen_at: float  # steady time at which its process spoke, at the latest


class PartialView:
    """What one process knows of the others."""

    def __init__(self, own_name: str, randomness: random.Random, capacity: int = VIEW_SIZE) -> None:
        """An empty view of the process `own_name`, which itself is never an entry."""
        self._own_name = own_name
        self._random = randomness
        self._capacity = capacity
        self._neighbours: dict[str, Neighbour] = {}

    def __len__(self) -> int:
        """Number of entries, also of processes that have fallen silent."""
        return len(self._neighbours)

    def find(self, name: str) -> NodeDescriptor | None:
        """The process of that name."""
        neighbour = self._neighbours.get(name)
        return None if neighbour is None else neighbour.descriptor

    def seen_since(self, when: float) -> list[NodeDescriptor]:
        """All that spoke at or after that time."""
        return [neighbour.descriptor for neighbour in self._neighbours.values() if neighbour.last_seen_at >= when]

    def not_seen_since(self, when: float) -> list[NodeDescriptor]:
        """All that have not spoken since that time."""
        return [neighbour.descriptor for neighbour in self._neighbours.values() if neighbour.last_seen_at < when]

    def oldest_seen_since(self, when: float) -> NodeDescriptor | None:
        """Of those that spoke at or after that time, the one that did so first."""
        alive = [neighbour for neighbour in self._neighbours.values() if neighbour.last_seen_at >= when]
        return min(alive, key=_last_seen_at).descriptor if alive else None

    def record_contact(self, descriptor: NodeDescriptor, now: float) -> None:
        """Take in what a process says of itself, right now."""
        self._offer(Neighbour(descriptor, now), margin=0.0)

    def record_gossip(self, descriptors: Iterable[NodeDescriptor], now: float) -> None:
        """Take in what another process says of others."""
        for descriptor in descriptors:
            last_seen_at = now - max(0, descriptor.age_ms) / MS_PER_S
            self._offer(Neighbour(descriptor, last_seen_at), margin=GOSSIP_MARGIN_S)

    def sample(self, now: float, count: int, since: float) -> list[NodeDescriptor]:
        """What to send with a request: the oldest entries, for recent of them, and some of the youngest, as recent."""
        alive = sorted((entry for entry in self._neighbours.values() if entry.last_seen_at >= since), key=_last_seen_at)
        oldest = alive[: count // 2]
        recent = self._draw_recent(alive[count // 2 :], count - len(oldest))
        return [_aged(entry, now) for entry in oldest + recent]

    def answer(
        self, asked: Iterable[NodeDescriptor], now: float, count: int, since: float, counted_first: bool = False
    ) -> list[NodeDescriptor]:
        """What to send in answer to a sample: what is younger here, and some of the youngest that it lacks.

        `counted_first`: counted nodes before all others, whatever their age, but for one that may be a relay.
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
        """Drop all that have not spoken since that time."""
        for descriptor in self.not_seen_since(before):
            del self._neighbours[descriptor.name]

    def _draw(self, entries: list[Neighbour], count: int) -> list[Neighbour]:
        return self._random.sample(entries, min(count, len(entries)))

    def _draw_recent(self, ordered: list[Neighbour], count: int) -> list[Neighbour]:
        """Some counted nodes, some of any and some of the youngest, of entries that are ordered from old to young."""
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
    """Whether it is a node that does not count: it may reach those that another process can't."""
    return not descriptor.counted and descriptor.machine_class != AGENT_MACHINE_CLASS


def _supersedes(offered: Neighbour, known: Neighbour, margin: float) -> bool:
    """Whether what is offered tells more of a process than what is known."""
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
    """The descriptor, with its age as of now."""
    age_ms = max(0, round((now - entry.last_seen_at) * MS_PER_S))
    return msgspec.structs.replace(entry.descriptor, age_ms=age_ms)


def _last_seen_at(entry: Neighbour) -> float:
    return entry.last_seen_at
