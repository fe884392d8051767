"""Every run of a small tier: breadth first over all orders of messages, with loss, repeats, crashes and time passing.

What was once sent stays in the network for good: any message may come at any time, again, or never. Nodes begin with a
lease each that is not renewed; two changes may be proposed at any moment, one node may crash at any moment and come
back with or without its disk, and time may pass by more than a lease. After each step what has to be true is looked at.
States are those of the machines themselves, less what is for people or only paces repeats.
"""

from __future__ import annotations

import copy
import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from pipitledge.emulator.tier_world import Violation
from pipitledge.tier import agreement as ag
from pipitledge.tier import messages as m
from pipitledge.tier.agreement import Agreement, Memory, Roster, Stage

PASSES_MS = 3_500.0  # more than a lease and a grant
FIRST = m.genesis(b"first".ljust(16, b"."))
_LEFT_OUT = frozenset(
    {
        "random",
        "heard",
        "fetched_ms",
        "effects",
        "told_ms",
        "joined_said_ms",
        "_number",
        "told",
        "asks",
        "forked",
        "_stored",
        "heard_of_ms",
        "rosters",
        "wanted_since",
        "me",
        "first",
        "unanimous",
    }
)


def _digest(name: str) -> bytes:
    return f"of {name}".encode().ljust(16, b".")


class Quiet(Agreement):
    """An agreement that renews no lease."""

    def _renew(self, now: float) -> None:
        """Nothing."""


class Fixed(Random):
    """Draws nothing: ballots are told apart by their makers' names, and runs need no chance."""

    def getrandbits(self, k: int, /) -> int:
        """One."""
        return 1


DRAWN = Fixed()


@dataclass(slots=True)
class State:
    """One state of the small tier."""

    nodes: dict[str, Agreement]
    disks: dict[str, Memory]
    sent: frozenset[tuple[str, bytes]] = frozenset()  # to, message
    proposed: frozenset[bytes] = frozenset()
    crashes: int = 0
    passes: int = 0
    outcomes: tuple[tuple[bytes, str], ...] = ()
    now: float = 10_000.0
    keys: dict[str, int] = field(default_factory=dict)

    def key(self) -> int:
        """What tells states apart, as a hash of 64 bits: two of a million states share one once in 37,000 searches."""
        whole = (
            *(self.keys[name] for name in sorted(self.nodes)),
            sum(hash(one) for one in self.sent),
            sum(hash(one) for one in self.proposed),
            self.crashes,
            self.passes,
            self.outcomes,
        )
        return hash(whole)

    def node_changed(self, name: str) -> None:
        """Reckon a node's part of the key anew."""
        self.keys[name] = hash(
            tuple(_plain(value) for slot, value in vars(self.nodes[name]).items() if slot not in _LEFT_OUT)
        )


def _copied(node: Agreement) -> Agreement:
    """A copy that shares nothing that changes; faster by far than the library's deep one."""
    new = copy.copy(node)
    for name, value in vars(node).items():
        if isinstance(value, dict | set | list):
            setattr(new, name, value.copy())
    if (change := node.change) is not None:
        new.change = replace(
            change,
            votes={name: replace(vote, until=dict(vote.until)) for name, vote in change.votes.items()},
            accepts=dict(change.accepts),
        )
    new.told = replace(node.told, answers=dict(node.told.answers), nonces=dict(node.told.nonces))
    return new


def _plain(value: Any) -> Any:
    if isinstance(value, dict):
        return tuple(sorted((name, _plain(part)) for name, part in value.items()))
    if isinstance(value, set):
        return tuple(sorted(value))
    if isinstance(value, list):
        return tuple(value)
    if isinstance(value, ag.Change):
        return (
            value.ballot,
            value.digest,
            value.entry,
            _plain(value.votes),
            _plain(value.accepts),
            value.outbid_ms < math.inf,
        )
    if isinstance(value, ag.Vote):
        return (value.life, _plain(value.until), value.no, value.of, value.accepted, value.entry)
    if isinstance(value, m.Message):
        return m.encode(value)
    return value


@dataclass(slots=True)
class Search:
    """The search, and what it has counted."""

    names: tuple[str, ...] = ("n0", "n1", "n2")
    proposers: tuple[str, ...] = ("n0", "n1")
    disks: bool = True
    crashes: int = 1
    passes: int = 1
    make: Callable[..., Agreement] = Quiet
    states: int = 0
    deepest: int = 0
    seen: set[int] = field(default_factory=set)

    def run(self, most: int = 100_000) -> int:
        """Look at states until there are no new ones, or so many; how many were looked at. Violation at a bad one."""
        queue = deque([(self._first(), 0)])
        while queue and self.states < most:
            state, depth = queue.popleft()
            for label, new in self._steps(state):
                key = new.key()
                if key in self.seen:
                    continue
                self.seen.add(key)
                self.states += 1
                self.deepest = max(self.deepest, depth + 1)
                self._look(new, label)
                queue.append((new, depth + 1))
        return self.states

    def is_whole(self, most: int) -> bool:
        """Whether all states were looked at."""
        return self.states < most

    # ---- steps

    def _roster(self) -> Roster:
        return Roster(self.names, self.names)

    def _new(self, name: str, now: float, memory: Memory | None) -> Agreement:
        node = self.make(name, FIRST, self._roster(), now, DRAWN, memory)
        for digest in self._digests():
            node.rosters[digest] = self._roster()
        return node

    def _digests(self) -> list[bytes]:
        return [_digest(name) for name in self.proposers]

    def _first(self) -> State:
        memory = Memory(1, (FIRST,), True, m.NO_BALLOT, b"", m.NO_BALLOT, m.NO_BALLOT, None)
        state = State({}, dict.fromkeys(self.names, memory))
        for name in self.names:
            node = self._new(name, state.now - 10_000.0, memory)
            node.lives = dict.fromkeys(self.names, 1)
            others = [other for other in self.names if other != name]
            node.held = dict.fromkeys(others, state.now)
            node.grants = {other: (state.now + ag.GRANT_MS, 0, m.NO_BALLOT) for other in others}
            state.nodes[name] = node
            state.node_changed(name)
        return state

    def _steps(self, state: State) -> Iterator[tuple[str, State]]:
        for to, data in state.sent:
            if to in state.nodes:
                new = self._copy(state, to)
                new.nodes[to].receive(m._DECODER.decode(data), new.now)
                yield f"{to} hears", self._after(new, to)
        for name, digest in zip(self.proposers, self._digests(), strict=True):
            if digest not in state.proposed:
                new = self._copy(state, name)
                new.proposed |= {digest}
                new.nodes[name].propose(digest, self._roster(), new.nodes[name].entry.version, new.now)
                yield f"{name} proposes", self._after(new, name)
        for name in self.names:
            if state.passes:  # before, nothing is due
                new = self._copy(state, name)
                new.nodes[name].tick(new.now)
                yield f"{name} ticks", self._after(new, name)
            if state.crashes < self.crashes:
                new = self._copy(state, name)
                new.crashes += 1
                new.nodes[name] = self._new(name, new.now, new.disks[name] if self.disks else None)
                if self.disks:
                    new.nodes[name].lives = dict.fromkeys(self.names, 1)
                yield f"{name} comes back", self._after(new, name)
        if state.passes < self.passes:
            new = self._copy(state, "")
            new.passes, new.now = state.passes + 1, state.now + PASSES_MS
            yield "time passes", new

    def _copy(self, state: State, name: str) -> State:
        nodes = dict(state.nodes)
        if name:
            nodes[name] = _copied(nodes[name])
        return State(
            nodes,
            dict(state.disks),
            state.sent,
            state.proposed,
            state.crashes,
            state.passes,
            state.outcomes,
            state.now,
            dict(state.keys),
        )

    def _after(self, state: State, name: str) -> State:
        node = state.nodes[name]
        while effects := node.take():
            for effect in effects:
                if isinstance(effect, ag.Send) and not isinstance(effect.message, m.Ask | m.Grant | m.Where | m.Fetch):
                    state.sent |= {(effect.to, m.encode(effect.message))}
                elif isinstance(effect, ag.Store):
                    state.disks[name] = effect.memory
                elif isinstance(effect, ag.Check):
                    node.checked(effect.digest, "", state.now)
                elif isinstance(effect, ag.Outcome):
                    state.outcomes = (*state.outcomes, (effect.digest, effect.result))
        state.node_changed(name)
        return state

    # ---- what has to be true

    def _look(self, state: State, label: str) -> None:
        line: dict[int, m.Entry] = {}
        alone, joint = set[int](), set[int]()
        for name, node in state.nodes.items():
            if node.stage is Stage.RECOVERING:
                continue
            for entry in node.entries:
                if line.setdefault(entry.number, entry) != entry:
                    raise Violation(f"one history: {name} after {label}: {entry} and {line[entry.number]}")
            if node.admits(state.now):
                (alone if node.stage is Stage.IN_FORCE else joint).add(node.entry.number)
        if len(alone) > 1 or any(alone and not alone <= {number, number - 1} for number in joint):
            raise Violation(f"everywhere: {sorted(alone)} alone and {sorted(joint)} joint after {label}")
        decided = {entry.digest for entry in line.values()}
        for digest, result in state.outcomes:
            if result in ("dropped", "lost") and digest in decided:
                raise Violation(f"{digest!r} was told as {result} and is decided, after {label}")
