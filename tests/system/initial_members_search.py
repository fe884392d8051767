"""Every run of two proposers and three seeds within bounds: the shipped votes, with messages late, lost and twice.

A message waits until an action delivers it, in any order, or never. Seeds restart: one with a disk goes on from its
record, one without takes no part any more. A proposer gives up when it likes, and tries again with a higher ballot.
"""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from msgspec import Struct
from msgspec.structs import replace

from pipitledge.replication.initial_members import (
    InitialMembersAcceptor,
    InitialMembersProposal,
    InitialOutcome,
    next_ballot,
)
from pipitledge.replication.records import InitialMembersRecord
from pipitledge.wire.messages import InitialPrepare, InitialPromise, Member

SEEDS = ("s0", "s1", "s2")
DISKLESS = "s2"
PROPOSERS = ("a", "b")


class TwoLists(Exception):
    """Two lists were decided."""


@dataclass(frozen=True)
class Bounds:
    """How much of each kind a run may hold."""

    attempts: int = 1  # of each proposer
    restarts: int = 1  # of seeds
    repeats: int = 0  # messages delivered and still on their way
    forgets: bool = False  # a bug: the seed without a disk votes again after its restart


@dataclass(frozen=True)
class Letter:
    """A message on its way between a proposer and a seed."""

    proposer: str
    attempt: int
    seed: str
    message: Any
    to_seed: bool

    def key(self) -> tuple[object, ...]:
        """What tells it from others."""
        return self.proposer, self.attempt, self.seed, repr(self.message), self.to_seed


@dataclass
class Office:
    """What a proposal sees of the world."""

    world: World
    name: str
    attempt: int

    @property
    def me(self) -> Member:
        """A proposer that is no seed."""
        return Member(self.name, self.name)

    @property
    def clock(self) -> Office:
        """Its clock."""
        return self

    @property
    def network(self) -> Office:
        """Its network."""
        return self

    def now(self) -> float:
        """Time stands still: to give up is an action."""
        return 0.0

    def at(self, _when: float, _action: Callable[[], None]) -> Office:
        """Never."""
        return self

    def cancel(self) -> None:
        """Nothing is due."""

    def call(self, seed: str, request: Struct, _timeout: float, _on_reply: Callable[..., None]) -> None:
        """Put a request on its way."""
        self.world.flying.append(Letter(self.name, self.attempt, seed, request, True))


@dataclass
class World:
    """Seeds, proposers, and what is on its way."""

    bounds: Bounds
    records: dict[str, InitialMembersRecord] = field(default_factory=dict)
    proposals: dict[str, InitialMembersProposal] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)
    flying: list[Letter] = field(default_factory=list)
    decided: tuple[str, ...] = ()
    restarts: int = 0
    repeats: int = 0

    @staticmethod
    def first(bounds: Bounds) -> World:
        """Nothing has been sent."""
        world = World(bounds)
        world.records = {seed: InitialMembersRecord(takes_part=True) for seed in SEEDS}
        return world

    def clone(self) -> World:
        """A copy that shares nothing that changes."""
        other = copy.copy(self)
        other.records = {seed: replace(record) for seed, record in self.records.items()}
        other.attempts = dict(self.attempts)
        other.flying = list(self.flying)
        other.proposals = {name: _cloned(proposal, other) for name, proposal in self.proposals.items()}
        return other

    def key(self) -> tuple[object, ...]:
        """What tells states apart; seeds that are alike (all that have a disk) may change places."""
        seeds = [self._seed_key(seed) for seed in SEEDS]
        alike = len(SEEDS) if self.bounds.restarts == 0 else len(SEEDS) - 1
        own = (self._proposers_key(), self.decided, self.restarts, self.repeats)
        return tuple(sorted(seeds[:alike])), tuple(seeds[alike:]), own

    def _seed_key(self, seed: str) -> str:
        """A seed with all that is on its way from and to it, and what proposers have of it."""
        letters = sorted(repr(replace_seed(letter.key())) for letter in self.flying if letter.seed == seed)
        known = [
            (name, repr(proposal._promises.get(seed)).replace(seed, "s"), seed in proposal._accepted)
            for name, proposal in sorted(self.proposals.items())
        ]
        answered = [seed in proposal._answered for _, proposal in sorted(self.proposals.items())]
        return repr((repr(self.records[seed]), letters, known, answered))

    def _proposers_key(self) -> tuple[object, ...]:
        return tuple(
            (name, self.attempts[name], proposal._ended, repr(proposal._proposed))
            for name, proposal in sorted(self.proposals.items())
        )

    # ---- actions

    def actions(self) -> Iterator[tuple[str, object]]:
        """All that may happen next."""
        seen = set()
        for number, letter in enumerate(self.flying):
            if letter.key() not in seen:
                seen.add(letter.key())
                yield "deliver", number
                if self.repeats < self.bounds.repeats:
                    yield "repeat", number
        for name in PROPOSERS:
            if self.attempts.get(name, 0) < self.bounds.attempts:
                yield "propose", name
        if self.restarts < self.bounds.restarts:
            yield from (("restart", seed) for seed in SEEDS)

    def act(self, action: tuple[str, object]) -> None:
        """Carry it out; TwoLists if a second list is decided by it."""
        what, which = action
        if what == "deliver":
            self._deliver(self.flying.pop(int(str(which))))
        elif what == "repeat":
            self.repeats += 1
            self._deliver(self.flying[int(str(which))])
        elif what == "propose":
            self._propose(str(which))
        else:
            self._restart(str(which))
        self.flying = [letter for letter in self.flying if self._matters(letter)]

    def _matters(self, letter: Letter) -> bool:
        """Whether a message can still change anything: ballots only rise, and attempts end for good."""
        message = letter.message
        if letter.to_seed:
            record = self.records[letter.seed]
            if not record.takes_part or message.ballot < record.promised:
                return False
        proposal = self.proposals[letter.proposer]
        if self.attempts[letter.proposer] != letter.attempt or proposal._ended:
            return letter.to_seed and not isinstance(message, InitialPrepare)
        return letter.to_seed or not (proposal._proposed and isinstance(message, InitialPromise))

    def _deliver(self, letter: Letter) -> None:
        if letter.to_seed:
            self._ask(letter)
        elif self.attempts[letter.proposer] == letter.attempt:
            proposal = self.proposals[letter.proposer]
            if isinstance(letter.message, InitialPromise):
                proposal._on_promise(letter.seed, letter.message)
            else:
                proposal._on_accepted(letter.seed, letter.message)

    def _ask(self, letter: Letter) -> None:
        acceptor = InitialMembersAcceptor(letter.seed, self.records[letter.seed], lambda done: done(), list)

        def reply(answer: Struct) -> None:
            copied = replace(answer)
            self.flying.append(Letter(letter.proposer, letter.attempt, letter.seed, copied, False))

        if isinstance(letter.message, InitialPrepare):
            acceptor.on_prepare(letter.message, reply)
        else:
            acceptor.on_propose(letter.message, reply)

    def _propose(self, name: str) -> None:
        before = self.proposals.get(name)
        highest = max(before._highest_ballot, before._ballot) if before is not None else 0
        self.attempts[name] = self.attempts.get(name, 0) + 1
        office: Any = Office(self, name, self.attempts[name])
        acceptor: Any = None
        known = [Member(name, name)]
        proposal = InitialMembersProposal(
            office, acceptor, list(SEEDS), next_ballot(highest, name), known, self._on_done
        )
        self.proposals[name] = proposal
        proposal.run()

    def _on_done(self, outcome: InitialOutcome) -> None:
        names = tuple(member.name for member in outcome.members)
        if not names:
            return
        if self.decided and self.decided != names:
            raise TwoLists(f"{self.decided} and {names}")
        self.decided = names

    def _restart(self, seed: str) -> None:
        self.restarts += 1
        if seed == DISKLESS:
            self.records[seed] = InitialMembersRecord(takes_part=self.bounds.forgets)


def replace_seed(key: tuple[object, ...]) -> tuple[object, ...]:
    """A letter's key without the name of its seed."""
    proposer, attempt, seed, message, to_seed = key
    return proposer, attempt, str(message).replace(str(seed), "s"), to_seed


def _cloned(proposal: InitialMembersProposal, world: World) -> InitialMembersProposal:
    other = copy.copy(proposal)
    other._promises = dict(proposal._promises)
    other._accepted = set(proposal._accepted)
    other._answered = set(proposal._answered)
    office: Any = Office(world, proposal._env.name, getattr(proposal._env, "attempt"))  # noqa: B009
    other._env = office
    other._on_done = world._on_done
    return other


def search(bounds: Bounds, most: int) -> tuple[int, bool]:
    """Look at all states within the bounds, breadth first; how many, and whether these are all there are."""
    first = World.first(bounds)
    seen = {hash(first.key())}
    queue = deque([first])
    while queue:
        world = queue.popleft()
        for action in list(world.actions()):
            following = world.clone()
            following.act(action)
            key = hash(following.key())
            if key not in seen:
                seen.add(key)
                if len(seen) >= most:
                    return len(seen), False
                queue.append(following)
    return len(seen), True
