"""Exhaustive search over bounded runs of two proposers and three seeds with the shipped voting code.

Messages may be delayed, lost or duplicated: each waits until an action delivers it, in any order, or forever. Seeds
restart: a seed with a disk continues from its record, one without a disk does not vote any more. A proposer may abandon
an attempt at any time, and try again with a higher ballot.
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


class ConflictingDecisions(Exception):
    """Two different lists were decided."""


@dataclass(frozen=True)
class Bounds:
    """Limits of the number of actions of each kind in a run."""

    attempts: int = 1  # of each proposer
    restarts: int = 1  # of seeds
    repeats: int = 0  # of messages: delivered, and still in flight
    forgets: bool = False  # injected bug: the seed without a disk votes again after its restart


@dataclass(frozen=True)
class InFlight:
    """A message in flight between a proposer and a seed."""

    proposer: str
    attempt: int
    seed: str
    message: Any
    to_seed: bool

    def key(self) -> tuple[object, ...]:
        """Return a key that distinguishes this message from others."""
        return self.proposer, self.attempt, self.seed, repr(self.message), self.to_seed


@dataclass
class ProposerEnvironment:
    """The environment of a proposal: implements the clock and the network."""

    world: World
    name: str
    attempt: int

    @property
    def me(self) -> Member:
        """A member that is not a seed."""
        return Member(self.name, self.name)

    @property
    def clock(self) -> ProposerEnvironment:
        """The clock of the proposer."""
        return self

    @property
    def network(self) -> ProposerEnvironment:
        """The network of the proposer."""
        return self

    def now(self) -> float:
        """Return a constant: time does not pass, and abandoning an attempt is an action."""
        return 0.0

    def at(self, _when: float, _action: Callable[[], None]) -> ProposerEnvironment:
        """Ignore the timer: it never fires."""
        return self

    def cancel(self) -> None:
        """Do nothing, as timers never fire."""

    def call(self, seed: str, request: Struct, _timeout: float, _on_reply: Callable[..., None]) -> None:
        """Add the request to the messages in flight."""
        self.world.messages.append(InFlight(self.name, self.attempt, seed, request, True))


@dataclass
class World:
    """State of a run: seeds, proposers and the messages in flight."""

    bounds: Bounds
    records: dict[str, InitialMembersRecord] = field(default_factory=dict)
    proposals: dict[str, InitialMembersProposal] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)
    messages: list[InFlight] = field(default_factory=list)
    decided: tuple[str, ...] = ()
    restarts: int = 0
    repeats: int = 0

    @staticmethod
    def initial(bounds: Bounds) -> World:
        """Return the state in which nothing has been sent."""
        world = World(bounds)
        world.records = {seed: InitialMembersRecord(takes_part=True) for seed in SEEDS}
        return world

    def clone(self) -> World:
        """Return a copy that shares no mutable state."""
        other = copy.copy(self)
        other.records = {seed: replace(record) for seed, record in self.records.items()}
        other.attempts = dict(self.attempts)
        other.messages = list(self.messages)
        other.proposals = {name: _cloned(proposal, other) for name, proposal in self.proposals.items()}
        return other

    def key(self) -> tuple[object, ...]:
        """Return a key of the state; it is the same for any order of equivalent seeds (all that have a disk)."""
        seeds = [self._seed_key(seed) for seed in SEEDS]
        alike = len(SEEDS) if self.bounds.restarts == 0 else len(SEEDS) - 1
        own = (self._proposers_key(), self.decided, self.restarts, self.repeats)
        return tuple(sorted(seeds[:alike])), tuple(seeds[alike:]), own

    def _seed_key(self, seed: str) -> str:
        """Return a key of a seed: its record, its messages in flight, and the answers that proposers have from it."""
        in_flight_messages = sorted(
            repr(replace_seed(in_flight.key())) for in_flight in self.messages if in_flight.seed == seed
        )
        known = [
            (name, repr(proposal._promises.get(seed)).replace(seed, "s"), seed in proposal._accepted)
            for name, proposal in sorted(self.proposals.items())
        ]
        answered = [seed in proposal._answered for _, proposal in sorted(self.proposals.items())]
        return repr((repr(self.records[seed]), in_flight_messages, known, answered))

    def _proposers_key(self) -> tuple[object, ...]:
        return tuple(
            (name, self.attempts[name], proposal._ended, repr(proposal._proposed))
            for name, proposal in sorted(self.proposals.items())
        )

    # ---- actions

    def actions(self) -> Iterator[tuple[str, object]]:
        """Iterate over all actions that are possible next."""
        seen = set()
        for number, in_flight in enumerate(self.messages):
            if in_flight.key() not in seen:
                seen.add(in_flight.key())
                yield "deliver", number
                if self.repeats < self.bounds.repeats:
                    yield "repeat", number
        for name in PROPOSERS:
            if self.attempts.get(name, 0) < self.bounds.attempts:
                yield "propose", name
        if self.restarts < self.bounds.restarts:
            yield from (("restart", seed) for seed in SEEDS)

    def act(self, action: tuple[str, object]) -> None:
        """Carry out the action; raises `ConflictingDecisions` if it decides a second list."""
        kind, target = action
        if kind == "deliver":
            self._deliver(self.messages.pop(int(str(target))))
        elif kind == "repeat":
            self.repeats += 1
            self._deliver(self.messages[int(str(target))])
        elif kind == "propose":
            self._propose(str(target))
        else:
            self._restart(str(target))
        self.messages = [in_flight for in_flight in self.messages if self._can_have_effect(in_flight)]

    def _can_have_effect(self, in_flight: InFlight) -> bool:
        """Whether a message can still have an effect; ballots only increase, and ended attempts never continue."""
        message = in_flight.message
        if in_flight.to_seed:
            record = self.records[in_flight.seed]
            if not record.takes_part or message.ballot < record.promised:
                return False
        proposal = self.proposals[in_flight.proposer]
        if self.attempts[in_flight.proposer] != in_flight.attempt or proposal._ended:
            return in_flight.to_seed and not isinstance(message, InitialPrepare)
        return in_flight.to_seed or not (proposal._proposed and isinstance(message, InitialPromise))

    def _deliver(self, in_flight: InFlight) -> None:
        if in_flight.to_seed:
            self._ask(in_flight)
        elif self.attempts[in_flight.proposer] == in_flight.attempt:
            proposal = self.proposals[in_flight.proposer]
            if isinstance(in_flight.message, InitialPromise):
                proposal._on_promise(in_flight.seed, in_flight.message)
            else:
                proposal._on_accepted(in_flight.seed, in_flight.message)

    def _ask(self, in_flight: InFlight) -> None:
        acceptor = InitialMembersAcceptor(in_flight.seed, self.records[in_flight.seed], lambda done: done(), list)

        def reply(answer: Struct) -> None:
            copied = replace(answer)
            self.messages.append(InFlight(in_flight.proposer, in_flight.attempt, in_flight.seed, copied, False))

        if isinstance(in_flight.message, InitialPrepare):
            acceptor.on_prepare(in_flight.message, reply)
        else:
            acceptor.on_propose(in_flight.message, reply)

    def _propose(self, name: str) -> None:
        before = self.proposals.get(name)
        highest = max(before._highest_ballot, before._ballot) if before is not None else 0
        self.attempts[name] = self.attempts.get(name, 0) + 1
        environment: Any = ProposerEnvironment(self, name, self.attempts[name])
        acceptor: Any = None
        known = [Member(name, name)]
        proposal = InitialMembersProposal(
            environment, acceptor, list(SEEDS), next_ballot(highest, name), known, self._on_done
        )
        self.proposals[name] = proposal
        proposal.run()

    def _on_done(self, outcome: InitialOutcome) -> None:
        names = tuple(member.name for member in outcome.members)
        if not names:
            return
        if self.decided and self.decided != names:
            raise ConflictingDecisions(f"{self.decided} and {names}")
        self.decided = names

    def _restart(self, seed: str) -> None:
        self.restarts += 1
        if seed == DISKLESS:
            self.records[seed] = InitialMembersRecord(takes_part=self.bounds.forgets)


def replace_seed(key: tuple[object, ...]) -> tuple[object, ...]:
    """Return a message's key without the name of its seed."""
    proposer, attempt, seed, message, to_seed = key
    return proposer, attempt, str(message).replace(str(seed), "s"), to_seed


def _cloned(proposal: InitialMembersProposal, world: World) -> InitialMembersProposal:
    other = copy.copy(proposal)
    other._promises = dict(proposal._promises)
    other._accepted = set(proposal._accepted)
    other._answered = set(proposal._answered)
    environment: Any = ProposerEnvironment(world, proposal._env.name, getattr(proposal._env, "attempt"))  # noqa: B009
    other._env = environment
    other._on_done = world._on_done
    return other


def search(bounds: Bounds, max_states: int) -> tuple[int, bool]:
    """Visit states breadth-first; return their number, and whether all states within the bounds were visited."""
    initial = World.initial(bounds)
    seen = {hash(initial.key())}
    queue = deque([initial])
    while queue:
        world = queue.popleft()
        for action in list(world.actions()):
            following = world.clone()
            following.act(action)
            key = hash(following.key())
            if key not in seen:
                seen.add(key)
                if len(seen) >= max_states:
                    return len(seen), False
                queue.append(following)
    return len(seen), True
