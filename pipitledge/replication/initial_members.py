"""Which counted nodes are the first members: decided once, by more than half of the seeds.

Single-decree Paxos. The seeds that the settings of the first start name are its acceptors, and all processes of that
start have the same ones. A list that more than half of them have accepted is decided: any later ballot is promised by
a seed that accepted it, and proposes it again. So there is one list, whoever proposes, and all views that found the
system have the same members; among these, quorums meet as in any other change of view.

A seed answers only if it started with the system and remembers what it has answered since: a counted one keeps it on
its disk, another one in memory, and after a restart or the loss of its disk it takes no part (`bootstrap` is false
then).
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from functools import partial

from msgspec import Struct

from pipitledge.replication.environment import Environment, MembershipSource
from pipitledge.replication.epochs import EPOCHS_PER_ROUND
from pipitledge.replication.records import InitialMembersRecord
from pipitledge.replication.timing import PROPOSAL_TIMEOUT_SECONDS
from pipitledge.runtime.handlers import Handlers
from pipitledge.runtime.ports import Timer
from pipitledge.wire.messages import (
    InitialAccepted,
    InitialPrepare,
    InitialPromise,
    InitialPropose,
    Member,
    NodeDescriptor,
)

Persist = Callable[[Callable[[], None]], None]  # writes the record, then calls back
KnownMembers = Callable[[], list[Member]]


class InitialMembersAcceptor:
    """A seed's vote. Nothing is answered before the record it rests on is durable."""

    def __init__(self, address: str, record: InitialMembersRecord, persist: Persist, known: KnownMembers) -> None:
        """`address` is this process's internal address; `known` lists counted nodes that started with the system."""
        self._address = address
        self._record = record
        self._persist = persist
        self._known = known

    def register(self, handlers: Handlers) -> None:
        """Answer proposers."""
        handlers.on_call(InitialPrepare, self.on_prepare)
        handlers.on_call(InitialPropose, self.on_propose)

    def on_prepare(self, message: InitialPrepare, reply: Callable[[InitialPromise], None]) -> None:
        """Promise to take no lower ballot, and this one from nobody else."""
        if not self._accepts_ballot(message.ballot, message.proposer):
            reply(InitialPromise(False, self._address, self._record.promised))
            return
        self._promise(message.ballot, message.proposer)
        record = self._record
        answer = InitialPromise(True, self._address, record.promised, record.accepted, record.members, self._known())
        self._persist(lambda: reply(answer))

    def on_propose(self, message: InitialPropose, reply: Callable[[InitialAccepted], None]) -> None:
        """Accept a list, unless a higher ballot is promised."""
        if not self._accepts_ballot(message.ballot, message.proposer):
            reply(InitialAccepted(False, self._address, self._record.promised))
            return
        self._promise(message.ballot, message.proposer)
        self._record.accepted = message.ballot
        self._record.members = message.members
        answer = InitialAccepted(True, self._address, message.ballot)
        self._persist(lambda: reply(answer))

    def _accepts_ballot(self, ballot: int, proposer: str) -> bool:
        record = self._record
        if not record.takes_part:
            return False
        return ballot > record.promised or (ballot == record.promised and proposer == record.promised_to)

    def _promise(self, ballot: int, proposer: str) -> None:
        self._record.promised = ballot
        self._record.promised_to = proposer


class InitialOutcome(Struct):
    """How an attempt ended."""

    members: list[Member] = []  # the list decided; empty if this attempt did not see it decided
    highest_ballot: int = 0  # that any seed told of


class InitialMembersProposal:
    """One attempt to have the list decided, or to learn which list is."""

    def __init__(
        self,
        env: Environment,
        acceptor: InitialMembersAcceptor,
        seeds: list[str],
        ballot: int,
        members: list[Member],
        on_done: Callable[[InitialOutcome], None],
    ) -> None:
        """`acceptor` is this node's own, asked if the node is a seed; `members` are those that it knows itself."""
        self._env = env
        self._acceptor = acceptor
        self._seeds = seeds
        self._ballot = ballot
        self._members = members
        self._on_done = on_done
        self._promises: dict[str, InitialPromise] = {}
        self._accepted: set[str] = set()
        self._answered: set[str] = set()  # in this phase
        self._proposed: list[Member] = []
        self._highest_ballot = 0
        self._ended = False
        self._timer: Timer | None = None

    def run(self) -> None:
        """Send the first phase."""
        self._timer = self._env.clock.at(self._env.clock.now() + PROPOSAL_TIMEOUT_SECONDS, partial(self._finish, []))
        request = InitialPrepare(self._ballot, self._env.name)
        for seed in self._seeds:
            self._ask(seed, request, partial(self._on_promise, seed))

    def _ask(self, seed: str, request: Struct, on_reply: Callable[[Struct | None], None]) -> None:
        if seed != self._env.me.address:
            self._env.network.call(seed, request, PROPOSAL_TIMEOUT_SECONDS, on_reply)
        elif isinstance(request, InitialPrepare):
            self._acceptor.on_prepare(request, on_reply)
        elif isinstance(request, InitialPropose):
            self._acceptor.on_propose(request, on_reply)

    def _on_promise(self, seed: str, reply: Struct | None) -> None:
        if self._ended or self._proposed:
            return
        self._answered.add(seed)
        if isinstance(reply, InitialPromise) and reply.address == seed:
            self._highest_ballot = max(self._highest_ballot, reply.ballot)
            if reply.granted and reply.ballot == self._ballot:
                self._promises[seed] = reply
        if is_majority_of_seeds(self._promises, self._seeds):
            self._propose()
        elif len(self._answered) == len(self._seeds):
            self._finish([])

    def _propose(self) -> None:
        self._proposed = self._list_to_propose()
        self._answered.clear()
        request = InitialPropose(self._ballot, self._env.name, self._proposed)
        for seed in self._seeds:
            self._ask(seed, request, partial(self._on_accepted, seed))

    def _list_to_propose(self) -> list[Member]:
        """The list accepted last, as it may be decided; else all nodes that this one or a seed knows."""
        latest = max(self._promises.values(), key=lambda promise: promise.accepted)
        if latest.accepted:
            return latest.members
        told = [member for promise in self._promises.values() for member in promise.known]
        by_name = {member.name: member for member in [*told, *self._members]}
        return sorted(by_name.values(), key=lambda member: member.name)

    def _on_accepted(self, seed: str, reply: Struct | None) -> None:
        if self._ended:
            return
        self._answered.add(seed)
        if isinstance(reply, InitialAccepted) and reply.address == seed:
            self._highest_ballot = max(self._highest_ballot, reply.ballot)
            if reply.granted and reply.ballot == self._ballot:
                self._accepted.add(seed)
        if is_majority_of_seeds(self._accepted, self._seeds):
            self._finish(self._proposed)
        elif len(self._answered) == len(self._seeds):
            self._finish([])

    def _finish(self, members: list[Member]) -> None:
        if self._ended:
            return
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        self._on_done(InitialOutcome(members, self._highest_ballot))


def is_majority_of_seeds(answers: dict[str, InitialPromise] | set[str], seeds: list[str]) -> bool:
    """Whether more than half of the seeds are among those that answered."""
    return 2 * len(set(answers) & set(seeds)) > len(seeds)


def next_ballot(highest: int, proposer: str) -> int:
    """A ballot above `highest`; two proposers seldom choose the same, and a seed promises it to one only."""
    return (highest // EPOCHS_PER_ROUND + 1) * EPOCHS_PER_ROUND + zlib.crc32(proposer.encode()) % EPOCHS_PER_ROUND


def as_member(node: NodeDescriptor) -> Member:
    """The node as a member whose disk is not known yet."""
    return Member(node.name, node.address, node.zone, node.region)


def register_diskless_seed(handlers: Handlers, address: str, bootstrap: bool, membership: MembershipSource) -> None:
    """Let a process that is not counted vote, if it started with the system; what it answers is kept in memory."""

    def known() -> list[Member]:
        return [as_member(node) for node in membership.counted() if node.bootstrap]

    def persist(on_durable: Callable[[], None]) -> None:
        on_durable()

    record = InitialMembersRecord(takes_part=bootstrap)
    InitialMembersAcceptor(address, record, persist, known).register(handlers)
