"""The decision on the initial members: which voting nodes they are is decided once, by a majority of the seeds.

This is single-decree Paxos. The acceptors are the seeds named in the settings of the first start, which are the same
for all processes. A list that a majority of the seeds has accepted is decided: any later ballot gets a promise from a
seed that accepted the list, and proposes it again. So only one list can be decided, whichever node proposes, and all
first views have the same members; among these members quorums intersect as in any other view change.

A seed votes only if it took part in the first start and remembers everything it has answered since. A voting node keeps
these answers on its disk, other seeds keep them in memory; after a restart without them, or the loss of its disk, a
seed does not vote any more (`bootstrap` is false then).
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

Persist = Callable[[Callable[[], None]], None]  # makes the record durable, then calls back
KnownMembers = Callable[[], list[Member]]


class InitialMembersAcceptor:
    """A seed as a Paxos acceptor; it answers only once its record is durable."""

    def __init__(self, address: str, record: InitialMembersRecord, persist: Persist, known: KnownMembers) -> None:
        """`address` is this process's internal address; `known` returns the known voting nodes of the first start."""
        self._address = address
        self._record = record
        self._persist = persist
        self._known = known

    def register(self, handlers: Handlers) -> None:
        """Register the handlers of the proposers' calls."""
        handlers.on_call(InitialPrepare, self.on_prepare)
        handlers.on_call(InitialPropose, self.on_propose)

    def on_prepare(self, message: InitialPrepare, reply: Callable[[InitialPromise], None]) -> None:
        """First phase: promise to accept no lower ballot, and this ballot from no other proposer."""
        if not self._accepts_ballot(message.ballot, message.proposer):
            reply(InitialPromise(False, self._address, self._record.promised))
            return
        self._promise(message.ballot, message.proposer)
        record = self._record
        answer = InitialPromise(True, self._address, record.promised, record.accepted, record.members, self._known())
        self._persist(lambda: reply(answer))

    def on_propose(self, message: InitialPropose, reply: Callable[[InitialAccepted], None]) -> None:
        """Second phase: accept a list unless a higher ballot has been promised."""
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
    """Result of one attempt."""

    members: list[Member] = []  # the decided list; empty if this attempt did not get a decision
    highest_ballot: int = 0  # highest ballot that any seed reported


class InitialMembersProposal:
    """One attempt to get a list decided, or to learn the list that is already decided."""

    def __init__(
        self,
        env: Environment,
        acceptor: InitialMembersAcceptor,
        seeds: list[str],
        ballot: int,
        members: list[Member],
        on_done: Callable[[InitialOutcome], None],
    ) -> None:
        """`acceptor` is this node's own one, called if the node is a seed; `members` are the nodes it knows itself."""
        self._env = env
        self._acceptor = acceptor
        self._seeds = seeds
        self._ballot = ballot
        self._members = members
        self._on_done = on_done
        self._promises: dict[str, InitialPromise] = {}
        self._accepted: set[str] = set()
        self._answered: set[str] = set()  # seeds that have answered in the current phase
        self._proposed: list[Member] = []
        self._highest_ballot = 0
        self._ended = False
        self._timer: Timer | None = None

    def run(self) -> None:
        """Start the first phase."""
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
        """Return the list of the highest accepted ballot, as it may be decided; else all known nodes."""
        latest = max(self._promises.values(), key=lambda promise: promise.accepted)
        if latest.accepted:
            return latest.members
        reported = [member for promise in self._promises.values() for member in promise.known]
        by_name = {member.name: member for member in [*reported, *self._members]}
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
    """Whether a majority of the seeds is among those that answered."""
    return 2 * len(set(answers) & set(seeds)) > len(seeds)


def next_ballot(highest: int, proposer: str) -> int:
    """Return a ballot above `highest`. Proposers rarely choose the same one, and a seed promises it to only one."""
    return (highest // EPOCHS_PER_ROUND + 1) * EPOCHS_PER_ROUND + zlib.crc32(proposer.encode()) % EPOCHS_PER_ROUND


def as_member(node: NodeDescriptor) -> Member:
    """Return the node as a member whose disk is not known yet."""
    return Member(node.name, node.address, node.zone, node.region)


def register_diskless_seed(handlers: Handlers, address: str, bootstrap: bool, membership: MembershipSource) -> None:
    """Let a seed that is not a voting node decide on the initial members; its record is kept in memory only.

    It takes part only in the first start of the system (`bootstrap`).
    """

    def known() -> list[Member]:
        return [as_member(node) for node in membership.counted() if node.bootstrap]

    def persist(on_durable: Callable[[], None]) -> None:
        on_durable()

    record = InitialMembersRecord(takes_part=bootstrap)
    InitialMembersAcceptor(address, record, persist, known).register(handlers)
