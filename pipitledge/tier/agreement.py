"""Which policy is in force on a tier's nodes: one history, nowhere or everywhere. No I/O and no clock.

Fed messages and the time, it returns effects: what to store (before anything after it is sent), what to send, what to
check and what to put in force. docs/design/tier.md has the reasons.

    states of a node      leaves by
    recovering            enough others that remember have noted its life and told what they know, or all others have
                          answered twice and nobody else remembers -> in force, or joint
    in force (index i)    news that entry i+1 is decided, and its document -> joint
    joint (i+1)           enough others joint and the rest without a lease, or one heard that is further -> in force
    any of the two        news that this life of ours is over for others -> recovering

    states of a vote on entry i+1 at a node in force at i
    open                  a ballot's Prepare, and the document checked -> promised
    promised              a higher ballot -> promised; its Accept -> accepted; its Drop -> promised, binding nobody
    accepted              a higher ballot -> promised, telling what was accepted

    states of a change at its proposer
    asking                enough promises, all yes, the rest without a lease -> deciding; one no, or time -> dropped
    deciding              enough acceptances of those -> decided; a higher ballot -> outbid; time -> open
    outbid                the entry decided is another -> lost; nothing decided for a while -> asking again

Always true, whatever is lost, repeated, late or in another order, whoever crashes or sleeps, as long as clocks drift by
less than 1 % and no more forget at once than docs/design/tier.md allows:
 1. One history: entries of the same index are the same on all nodes.
 2. Nowhere: an entry is decided only after every member that could admit has said yes to its document.
 3. Everywhere: while a node that may admit has entry i+1 in force alone, none that may admit has entry i alone.
 4. A change told as dropped or lost is in force nowhere, ever.
 5. A promise, an acceptance and an entry are stored before they are told.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any, ClassVar, NamedTuple

from pipitledge.tier import messages as m
from pipitledge.tier.messages import NO_BALLOT, Ballot, Entry

LEASE_MS, GRANT_MS = 3_000.0, 3_100.0  # for its holder from asking, its granter from hearing: 3 % for two clocks
RENEW_MS, ASK_MS = 1_000.0, 250.0  # a grant is renewed when so old; not asked for again sooner
AGAIN_MS, KEEP_MS = 150.0, 600.0  # what was not answered is said again; who answered hears that the change goes on
HANG_MS, RANK_MS = 2_000.0, 300.0  # a change not heard of for so long is taken over, by one node after another
CHANGE_MS = 10_000.0  # a change is over by then
HISTORY = 1_000  # entries kept


class Stage(Enum):
    """How far a node is."""

    RECOVERING = "recovering"
    JOINT = "joint"
    IN_FORCE = "in force"


class Roster(NamedTuple):
    """Who the members are by a document, and who they were by the one before it."""

    members: tuple[str, ...]
    was: tuple[str, ...]


class Memory(NamedTuple):
    """What a node with a disk keeps; all of it is replaced at once."""

    life: int
    entries: tuple[Entry, ...]
    in_force: bool
    promised: Ballot
    proposed: bytes  # the document that the promise is about
    answers: Ballot
    accepted: Ballot
    candidate: Entry | None


# ---- effects


class Store(NamedTuple):
    """Keep this, before any effect after it is carried out."""

    memory: Memory


class Send(NamedTuple):
    """Send a message to a member; it may be lost."""

    to: str
    message: m.Any


class Want(NamedTuple):
    """Get this document from one of these; `arrived` is to be told."""

    digest: bytes
    sources: tuple[str, ...]


class Check(NamedTuple):
    """Check this document against the node's own place; `checked` is to be told."""

    digest: bytes


class Moved(NamedTuple):
    """What is in force has changed: see `stage`, `entry` and `before`."""


class Outcome(NamedTuple):
    """What became of a change proposed here: in force, dropped, lost or open."""

    digest: bytes
    result: str
    why: str
    winner: bytes = b""  # the document that was decided in its place


class Note(NamedTuple):
    """Something for the log."""

    event: str
    fields: Mapping[str, object]


Effect = Store | Send | Want | Check | Moved | Outcome | Note


def quorum(members: int, unanimous: bool = False) -> tuple[int, int]:
    """How many a decision takes, and a lease, its holder's own word included: any two of them meet."""
    decision = members if unanimous else members // 2 + 1
    return decision, members + 1 - decision


@dataclass(slots=True)
class Vote:
    """One member's word in a change: of which life, and for how long others may have leases by its word."""

    life: int
    until: dict[str, float] = field(default_factory=dict)  # our time
    no: str = ""
    of: str = ""  # whose no it is, if not the voter's own
    accepted: Ballot = NO_BALLOT
    entry: Entry | None = None


@dataclass(slots=True)
class Change:
    """A ballot of ours."""

    ballot: Ballot
    digest: bytes  # what we would like; empty: nothing, we only bring another's change to its end
    since: float
    votes: dict[str, Vote] = field(default_factory=dict)
    accepts: dict[str, int] = field(default_factory=dict)  # lives
    entry: Entry | None = None  # what acceptance is asked for
    outbid_ms: float = math.inf  # when it was outbid
    said_ms: float = -math.inf
    kept_ms: float = -math.inf


class Agreement:
    """One node's part."""

    def __init__(
        self,
        me: str,
        first: Entry,
        roster: Roster,
        now: float,
        random: Random,
        memory: Memory | None = None,
        unanimous: bool = False,
        life: int = 1,
    ) -> None:
        """Begin with the entry that the node's own file makes, or with what its disk has kept.

        `random` draws nonces; `now` is in ms of a clock that never jumps and goes on while the machine sleeps. `life`
        is a first guess at the number of this life, larger than those before: the system's time in seconds. If that
        has gone back, others say so and a higher one is taken.
        """
        self.me, self.first, self.random, self.unanimous = me, first, random, unanimous
        self.rosters: dict[bytes, Roster] = {first.digest: roster}
        self.effects: list[Effect] = []
        self.vouched: set[str] = set()  # an operator's word: stopped for good
        self.entries: list[Entry] = [first]
        self.stage = Stage.RECOVERING
        self.before: Entry | None = None  # in force beside `entry` while joint; None: not known, so nothing is admitted
        self.promised, self.proposed = NO_BALLOT, b""
        self.accepted, self.candidate = NO_BALLOT, None  # type: tuple[Ballot, Entry | None]
        self.answers = NO_BALLOT  # promised, and not dropped: who has not promised the same gets no lease
        self.answered, self.about = NO_BALLOT, b""  # the newest that this node has answered, and its document
        self.dead = NO_BALLOT  # the newest that was dropped
        self.told_ms = now  # the newest time told
        self.lives: dict[str, int] = {}
        self.change: Change | None = None
        self.wanted: bytes = b""  # the document proposed here
        self.wanted_since = math.inf
        self.asked_accept = False  # for `wanted`, in any ballot
        self.heard_of_ms = math.inf  # when the change that hangs here was last heard of; infinite: none hangs
        self.pending: Entry | None = None  # decided, and its document not here yet
        self.waiting: m.Prepare | None = None  # its document not here or not checked yet
        self.verdicts: dict[bytes, str] = {}
        self.joined: dict[str, Vote] = {}
        self.joined_said_ms = -math.inf
        self.grants: dict[str, tuple[float, int, Ballot]] = {}  # until, the holder's index and promise when it asked
        self.unknown_until = now + GRANT_MS  # what was granted before the start is not known
        self.held: dict[str, float] = {}  # by granter: when what it granted was asked for
        self.asks: dict[str, tuple[int, float]] = {}  # by granter: the newest number and when it was asked
        self.heard: dict[str, tuple[float, int, int]] = {}  # when, stand, index; for people
        self.fetched_ms: dict[str, float] = {}
        self.told: Recovering = Recovering(self.random.getrandbits(48), self.random.getrandbits(48))
        self._number = self.random.getrandbits(32)
        self._stored: Memory | None = None
        self.forked: set[str] = set()
        if memory is not None:
            self.entries, self._stored = list(memory.entries), memory
            self.lives[me] = memory.life
            self.stage = Stage.IN_FORCE if memory.in_force else Stage.JOINT
            if not memory.in_force and len(memory.entries) > 1:
                self.before = memory.entries[-2]
            self.promised, self.proposed = memory.promised, memory.proposed
            self.accepted, self.candidate = memory.accepted, memory.candidate
            self.answers = memory.answers
            if self.answers > NO_BALLOT or self.candidate is not None:
                self.heard_of_ms = now
        else:
            self.lives[me] = max(1, life)
            self._check_recovered(now)

    # ---- what is true now

    @property
    def entry(self) -> Entry:
        """The newest decided entry that this node has the document of."""
        return self.entries[-1]

    @property
    def stand(self) -> int:
        """Where this node stands; a larger number is further."""
        return 2 * self.entry.number + (self.stage is Stage.IN_FORCE)

    @property
    def members(self) -> tuple[str, ...]:
        """The members by the newest entry."""
        return self.rosters[self.entry.digest].members

    def lease_until(self) -> float:
        """Until when this node may admit; infinite where its own word is enough, -infinite where nothing is."""
        if self.stage is Stage.RECOVERING or (self.stage is Stage.JOINT and self.before is None):
            return -math.inf
        if self._is_torn():
            return -math.inf
        roster = self.rosters[self.entry.digest]
        sets = [roster.members] if self.stage is Stage.IN_FORCE else [roster.members, roster.was]
        until = math.inf
        for members in sets:
            words = sorted((self._word(member) for member in members), reverse=True)
            needed = quorum(len(members), self.unanimous)[1]
            until = min(until, words[needed - 1] if len(words) >= needed else -math.inf)
        return until if self.me in roster.members or self.stage is Stage.JOINT else -math.inf

    def _is_torn(self) -> bool:
        """Whether this node refuses what it may have accepted before it came back, or has not checked it yet."""
        candidate = self.candidate
        return (
            candidate is not None
            and candidate.digest != self.entry.digest
            and self.verdicts.get(candidate.digest, "not checked") != ""
        )

    def _no(self, digest: bytes) -> str:
        """Why a document is refused here, or nothing. What may have been accepted can't be refused any more."""
        if self.candidate is not None and self.candidate.digest == digest:
            return ""
        return self.verdicts.get(digest, "") if digest else ""

    def _word(self, member: str) -> float:
        return math.inf if member == self.me else self.held.get(member, -math.inf) + LEASE_MS

    def admits(self, now: float) -> bool:
        """Whether a query may be admitted now."""
        return now < self.lease_until()

    def due(self, now: float) -> float:
        """When `tick` wants to be called next; often enough for all that is said again."""
        busy = (
            self.change is not None
            or self.stage is not Stage.IN_FORCE
            or self.heard_of_ms < math.inf
            or self.pending is not None
            or not self.admits(now + ASK_MS)
        )
        return now + (AGAIN_MS / 3.0 if busy else ASK_MS)

    def take(self) -> list[Effect]:
        """What is to be done, in this order."""
        effects, self.effects = self.effects, []
        return effects

    # ---- what is said

    def _send(self, to: str, message: m.Any) -> None:
        if to != self.me:
            self.effects.append(Send(to, message))

    def _top(self) -> dict[str, Any]:
        return {"sender": self.me, "lives": dict(self.lives), "stand": self.stand, "line": self.entry.line[:4]}

    def _others(self, *rosters: Sequence[str]) -> list[str]:
        return [
            member for member in dict.fromkeys(member for roster in rosters for member in roster) if member != self.me
        ]

    def _everybody(self) -> list[str]:
        roster = self.rosters[self.entry.digest]
        return self._others(roster.members, roster.was)

    def _store(self) -> None:
        memory = Memory(
            self.lives[self.me],
            tuple(self.entries[-HISTORY:]),
            self.stage is Stage.IN_FORCE,
            self.promised,
            self.proposed,
            self.answers,
            self.accepted,
            self.candidate,
        )
        if memory != self._stored and self.stage is not Stage.RECOVERING:
            self._stored = memory
            self.effects.append(Store(memory))

    def _note(self, event: str, **fields: object) -> None:
        self.effects.append(Note(event, fields))

    # ---- time

    def tick(self, now: float) -> None:
        """Let time pass: say again what was not answered, renew leases, finish what others left."""
        self.told_ms = now
        if self.stage is Stage.RECOVERING:
            self._say_recover(now)
            self._check_recovered(now)
        else:
            self._renew(now)
        if self.pending is not None and (sources := self._others(self.members)):
            self.effects.append(Want(self.pending.digest, tuple(sources)))
        if self.stage is Stage.JOINT:
            self._say_joined(now)
            self._check_joined(now)
        if (candidate := self.candidate) is not None and self._is_torn() and candidate.digest not in self.verdicts:
            self.effects.append(
                Check(candidate.digest)
                if candidate.digest in self.rosters
                else Want(candidate.digest, tuple(self._everybody()))
            )
        if self.stage is Stage.IN_FORCE:
            self._drive(now)
            self._take_over(now)

    def _renew(self, now: float) -> None:
        roster = self.rosters[self.entry.digest]
        everybody = self._others(roster.members) if self.stage is Stage.IN_FORCE else self._everybody()
        for member in everybody:
            _, asked = self.asks.get(member, (0, -math.inf))
            if now - asked >= ASK_MS and now - self.held.get(member, -math.inf) >= RENEW_MS:
                self._number += 1
                self.asks[member] = self._number, now
                self._send(
                    member,
                    m.Ask(
                        number=self._number,
                        answered=self.answered,
                        proposed=(self.candidate.digest if self.candidate is not None else self.about)[:4],
                        refuses=bool(self._no(self.about)),
                        **self._top(),
                    ),
                )

    # ---- what is heard

    def receive(self, message: m.Any, now: float) -> None:
        """Take one message, whoever sent it and whenever; what can't be meant is ignored."""
        sender, self.told_ms = message.sender, now
        if sender == self.me:
            return
        if isinstance(message, m.Recover):
            self._recover(message, now)
            return
        if isinstance(message, m.Recovered):
            self._recovered(message, now)
            return
        if message.lives.get(sender, 0) < self.lives.get(sender, 0):
            return  # of a life that is over: long on the way, or from before a restart of all
        if sender in self.vouched:
            self.vouched.discard(sender)
            self._note("tier", heard=sender, why="an operator has vouched that it is stopped for good")
        self.heard[sender] = (now, message.stand, message.stand // 2)
        self._merge(message.lives)
        if message.lives.get(self.me, 0) > self.lives[self.me] and self.stage is not Stage.RECOVERING:
            self._forget(message.lives[self.me], now)
        if self.stage is Stage.RECOVERING:
            return
        index = message.stand // 2
        if index == self.entry.number and message.line != self.entry.line[:4]:
            if sender not in self.forked:
                self.forked.add(sender)
                self._note("tier", fork=sender, index=index)
            return
        if index > self.entry.number:
            self._fetch(sender, now)
        elif index == self.entry.number and message.stand % 2 and self.stage is Stage.JOINT:
            self._in_force(now)
        if (handler := self._HANDLERS.get(type(message))) is not None:
            getattr(self, handler)(message, now)

    def _merge(self, lives: Mapping[str, int]) -> None:
        for member, life in lives.items():
            if member != self.me and life > self.lives.get(member, 0):
                self.lives[member] = life

    def _is_valid(self, member: str, life: int) -> bool:
        """Whether a word is of the member's newest life that we know of: an older one's is forgotten by now."""
        return life >= self.lives.get(member, 0)

    def _fetch(self, sender: str, now: float) -> None:
        if now - self.fetched_ms.get(sender, -math.inf) >= AGAIN_MS / 3.0:
            self.fetched_ms[sender] = now
            after = self.pending.number if self.pending is not None else self.entry.number
            self._send(sender, m.Fetch(index=after + 1, **self._top()))

    # ---- leases

    def _asked(self, ask: m.Ask, now: float) -> None:
        roster, index = self.rosters[self.entry.digest], ask.stand // 2
        if ask.sender not in roster.members and (self.stage is Stage.IN_FORCE or ask.sender not in roster.was):
            if index < self.entry.number:
                self._send(ask.sender, m.Told(entry=self.entry, **self._top()))
            return
        if index < self.entry.number:
            self._send(ask.sender, m.Told(entry=self._entry_at(index + 1), **self._top()))
        elif index > self.entry.number or self._may_grant(ask):
            self.grants[ask.sender] = now + GRANT_MS, index, ask.answered
            self._send(ask.sender, m.Grant(number=ask.number, **self._top()))
        elif self.answers > NO_BALLOT:  # in its proposer's place, who may be gone
            self._send(ask.sender, m.Prepare(ballot=self.answers, index=index + 1, digest=self.proposed, **self._top()))

    def _may_grant(self, ask: m.Ask) -> bool:
        """Whether a lease harms no change that this node has a part in.

        Having accepted a document, for good: only to who takes it too. Having promised: only to who has answered
        the same. One that refuses, or has promised more than we have, makes our own promise useless: we raise it, so
        that this ballot can't be decided with our word, and are bound no more.
        """
        if self.candidate is not None and self.candidate.digest != self.entry.digest:
            return ask.proposed == self.candidate.digest[:4] and not ask.refuses
        if ask.answered < self.answers:
            return False
        if ask.answered == self.answers and ask.refuses and self.proposed:
            self._send(
                self.answers.by,
                m.Promise(
                    ballot=self.answers,
                    index=self.entry.number + 1,
                    accepted=NO_BALLOT,
                    entry=None,
                    no=f"{ask.sender} refuses",
                    left={},
                    of=ask.sender,
                    **self._top(),
                ),
            )
            self._raise(self.answers._replace(by=self.answers.by + "~"), told=True)
        elif ask.answered > self.promised:
            self._raise(ask.answered)
        return True

    def _raise(self, ballot: Ballot, told: bool = False) -> None:
        """Take part in no lower ballot, without a part in this one; tell the one whose it was, if it is not told."""
        if self.answers > NO_BALLOT and not told:
            self._send(
                self.answers.by,
                m.Outbid(ballot=self.answers, index=self.entry.number + 1, higher=ballot, **self._top()),
            )
            if self.change is not None and self.change.ballot == self.answers:
                self.change.outbid_ms = self.told_ms
        self.promised, self.proposed, self.answers = ballot, b"", NO_BALLOT
        if self.candidate is None:
            self.heard_of_ms = math.inf
        self._store()

    def _granted(self, grant: m.Grant, now: float) -> None:
        number, asked = self.asks.get(grant.sender, (0, 0.0))
        if number == grant.number:  # an older one's answer came too late to be of use
            self.held[grant.sender] = max(asked, self.held.get(grant.sender, -math.inf))

    def _left(self, now: float, index: int, ballot: Ballot) -> dict[str, int]:
        """For how long members may have leases by our word that know neither of this entry nor of this ballot."""
        left: dict[str, int] = {}
        for member in self._everybody():
            until, known, promised = self.grants.get(member, (-math.inf, 0, NO_BALLOT))
            if known >= index or (ballot > NO_BALLOT and known == index - 1 and promised == ballot):
                until = -math.inf
            until = max(until, self.unknown_until)
            if until > now:
                left[member] = math.ceil(until - now)
        return left

    # ---- votes

    def _prepared(self, message: m.Prepare, now: float) -> None:
        if message.index != self.entry.number + 1 or self.stage is not Stage.IN_FORCE:
            if message.index <= self.entry.number and message.ballot.by != self.me:
                self._send(message.ballot.by, m.Told(entry=self._entry_at(message.index), **self._top()))
            return
        if message.ballot == self.dead or message.ballot.by == self.me:
            return
        if message.ballot < self.promised:
            self._send(
                message.ballot.by,
                m.Outbid(ballot=message.ballot, index=message.index, higher=self.promised, **self._top()),
            )
            return
        if message.digest and message.digest not in self.verdicts:
            if self.waiting is None or message.ballot >= self.waiting.ballot:
                self.waiting = message
            if message.digest in self.rosters:
                self.effects.append(Check(message.digest))
            else:
                self.effects.append(Want(message.digest, tuple(dict.fromkeys((message.sender, message.ballot.by)))))
            return
        self._promise(message, now)

    def _promise(self, message: m.Prepare, now: float) -> None:
        if message.ballot > self.promised or self.answers != message.ballot:
            self.promised = self.answers = message.ballot
            self.proposed = message.digest
            if self.change is not None and message.ballot > self.change.ballot:
                self.change.outbid_ms = min(self.change.outbid_ms, now)
            self._store()
        if message.sender == message.ballot.by or self.answered != message.ballot:
            self.heard_of_ms = now  # what others pass on is no sign of life of its proposer's
        self.answered, self.about = message.ballot, message.digest
        left = self._left(now, message.index, message.ballot)
        if message.ballot.by == self.me:
            assert self.change is not None
            self.change.votes[self.me] = Vote(
                self.lives[self.me],
                {name: now + ms for name, ms in left.items()},
                self._no(message.digest),
                "",
                self.accepted,
                self.candidate,
            )
            return
        self._send(
            message.ballot.by,
            m.Promise(
                ballot=message.ballot,
                index=message.index,
                accepted=self.accepted,
                entry=self.candidate,
                no=self._no(message.digest),
                left=left,
                **self._top(),
            ),
        )

    def _accept(self, message: m.Accept, now: float) -> None:
        if message.entry.number != self.entry.number + 1 or self.stage is not Stage.IN_FORCE:
            if message.entry.number <= self.entry.number:
                self._send(message.sender, m.Told(entry=self._entry_at(message.entry.number), **self._top()))
            return
        if message.ballot < self.promised:
            self._send(
                message.sender,
                m.Outbid(ballot=message.ballot, index=message.entry.number, higher=self.promised, **self._top()),
            )
            return
        if (
            message.entry.digest != self.entry.digest
            and self.verdicts.get(message.entry.digest, "-")
            and self.candidate != message.entry
        ):
            return  # not checked here, or refused
        if message.ballot > self.promised:
            self.promised, self.proposed = message.ballot, message.entry.digest
        self.answers, self.heard_of_ms = self.promised, now
        self.accepted, self.candidate = message.ballot, message.entry
        self._store()
        if message.sender != self.me:
            self._send(message.sender, m.Accepted(ballot=message.ballot, index=message.entry.number, **self._top()))

    def _dropped(self, message: m.Drop, now: float) -> None:
        """No one needs to have answered a ballot in which nothing will ever be accepted."""
        if self.waiting is not None and self.waiting.ballot == message.ballot:
            self.waiting = None
        if message.index != self.entry.number + 1 or message.sender != message.ballot.by:
            return
        self.dead = max(self.dead, message.ballot)
        if message.ballot == self.answers and self.candidate is None:
            self.answers, self.heard_of_ms = NO_BALLOT, math.inf  # with a candidate, an older ballot may be decided

    # ---- changes proposed here

    def propose(self, digest: bytes, roster: Roster, made_from: int, now: float) -> str:
        """Propose a document that this node has and has checked; why it can't be, or nothing."""
        if self.stage is not Stage.IN_FORCE:
            return f"this node is {self.stage.value}"
        if self.me not in self.members:
            return "this node is no member of the tier"
        if made_from != self.entry.version:
            return f"made from version {made_from}, in force is {self.entry.version}"
        if self.wanted or self.change is not None:
            return "a change proposed here is under way"
        if set(roster.was) != set(self.members):
            return "the members that it was made from are others"
        gone, come = set(self.members) - set(roster.members), set(roster.members) - set(self.members)
        if len(gone | come) > 1:
            return "one member at a time comes or goes"
        if not roster.members:
            return "a tier without members"
        self.rosters[digest], self.verdicts[digest] = roster, ""
        self.wanted, self.wanted_since, self.asked_accept = digest, now, False
        self._begin(digest, now)
        self._drive(now)
        return ""

    def abort(self, now: float) -> str:
        """Drop the change proposed here; why it can't be, or nothing."""
        if not self.wanted:
            return "no change proposed here is under way" + (
                f"; one of {self.promised.by} is" if self.heard_of_ms < math.inf else ""
            )
        if self.asked_accept:
            return "it may have been decided already"
        self._drop("aborted by an operator", now)
        return ""

    def vouch(self, member: str) -> str:
        """Take an operator's word that a member is stopped for good; why it can't be, or nothing."""
        if member == self.me or member not in self._everybody():
            return "no other member has this name"
        self.vouched.add(member)
        return ""

    def _begin(self, digest: bytes, now: float) -> None:
        highest = max(self.promised.round, self.change.ballot.round if self.change else 0)
        # Drawn, so that no message from long ago is about this one.
        ballot = Ballot(highest + 1 + self.random.getrandbits(16), self.me)
        self.change = Change(ballot, digest, now)
        self._promise(m.Prepare(ballot=ballot, index=self.entry.number + 1, digest=digest, sender=self.me), now)

    def _drop(self, why: str, now: float) -> None:
        if self.change is not None:
            drop = m.Drop(ballot=self.change.ballot, index=self.entry.number + 1, **self._top())
            for member in self._others(self.members):
                self._send(member, drop)
            self._dropped(drop, now)
        self._over("dropped", why)

    def _over(self, result: str, why: str, winner: bytes = b"") -> None:
        if self.wanted:
            self.effects.append(Outcome(self.wanted, result, why, winner))
        self.change, self.wanted, self.wanted_since, self.asked_accept = None, b"", math.inf, False

    def _drive(self, now: float) -> None:
        """Bring our ballot on: ask, decide, give up."""
        change = self.change
        if change is None:
            if self.wanted and now - self.wanted_since > CHANGE_MS:
                self._over("open" if self.asked_accept else "dropped", "no decision in time")
            return
        if now - (self.wanted_since if self.wanted else change.since) > CHANGE_MS:
            if not self.asked_accept:
                missing = [member for member in self.members if member not in self._valid(change)]
                self._drop("no answer from " + ", ".join(missing) if missing else "no decision in time", now)
            else:
                self._over("open", "asked for acceptance and heard too few; the others finish or drop it")
            return
        if change.outbid_ms < math.inf:
            rank = sorted(self.members).index(self.me) if self.me in self.members else 0
            if now - change.outbid_ms > HANG_MS / 2.0 + RANK_MS * rank:
                self._begin(change.digest, now)
            return
        if change.entry is None:
            self._check_promises(change, now)
        if self.change is change and change.entry is not None and self._check_accepts(change, now):
            return
        if self.change is change:
            self._say(change, now)

    def _valid(self, change: Change) -> dict[str, Vote]:
        return {
            member: vote
            for member, vote in change.votes.items()
            if member in self.members and self._is_valid(member, vote.life)
        }

    def _counts(self, members: Iterable[str], among: Sequence[str]) -> bool:
        """Whether these, with those vouched for, are enough to decide."""
        having = {member for member in (*members, *self.vouched) if member in among}
        return len(having) >= quorum(len(among), self.unanimous)[0]

    def _lapsed(self, among: Sequence[str], votes: Mapping[str, Vote], now: float) -> bool:
        """Whether each of these that has not voted has no lease any more by the word of those that have."""
        return all(
            member in votes
            or member in self.vouched
            or all(now >= vote.until.get(member, -math.inf) for vote in votes.values())
            for member in among
        )

    def _maybe_decided(self, votes: Mapping[str, Vote]) -> Entry | None:
        """The newest entry accepted so far that, with all who have not voted, may have been enough."""
        absent = sum(member not in votes for member in self.members)
        needed = quorum(len(self.members), self.unanimous)[0]
        accepted = sorted(
            ((vote.accepted, vote.entry) for vote in votes.values() if vote.entry is not None), reverse=True
        )
        for _, entry in accepted:
            if sum(other == entry for _, other in accepted) + absent >= needed:
                return entry
        return None

    def _check_promises(self, change: Change, now: float) -> None:
        votes = self._valid(change)
        if not self._counts(votes, self.members):
            return
        refusers = {member: vote.no for member, vote in votes.items() if vote.no}
        found = self._maybe_decided(votes)
        if found is not None and found.digest not in (change.digest, self.entry.digest):
            if found.digest in self.rosters:
                self._begin(found.digest, now)  # again, as all have to answer to this one
            else:
                self.effects.append(
                    Want(found.digest, tuple(member for member, vote in votes.items() if vote.entry == found))
                )
            return
        digest = change.digest
        if found is None and refusers and digest:
            if digest == self.wanted and not self.asked_accept:
                self._drop("; ".join(f"{member}: {no}" for member, no in sorted(refusers.items())), now)
                return
            digest = b""  # somebody may have accepted it; too few to decide it, so that nothing may be decided instead
        if digest and (found is None or found.digest == digest):
            # One that refuses is asked no more than one that is silent: its own word ends no lease of its own.
            takes = {member: vote for member, vote in votes.items() if member not in refusers}
            others = {member: vote for member, vote in votes.items() if vote.of}  # they take it, and accept nothing
            if not self._counts(takes, self.members) or not self._lapsed(self.members, {**takes, **others}, now):
                return
        change.entry = found if found is not None else self.entry.then(digest)
        if change.entry.digest == self.wanted:
            self.asked_accept = True
        self._accept(m.Accept(ballot=change.ballot, entry=change.entry, sender=self.me), now)
        if self.accepted == change.ballot:
            change.accepts[self.me] = self.lives[self.me]
        change.said_ms = -math.inf

    def _check_accepts(self, change: Change, now: float) -> bool:
        # Of those alone whose promise binds: nobody has got a lease from them who has not answered.
        assert change.entry is not None
        votes, asked = self._valid(change), change.entry.digest == change.digest
        accepts = [
            member
            for member, life in change.accepts.items()
            if member in votes and not (asked and votes[member].no) and self._is_valid(member, life)
        ]
        if not self._counts(accepts, self.members):
            return False
        self._learn(change.entry, now)
        return True

    def _say(self, change: Change, now: float) -> None:
        if now - change.said_ms < AGAIN_MS:
            return
        change.said_ms, all_again = now, now - change.kept_ms >= KEEP_MS
        change.kept_ms = now if all_again else change.kept_ms
        votes = self._valid(change)
        for member in self._others(self.members):
            if change.entry is None:
                if all_again or member not in votes:
                    self._send(
                        member,
                        m.Prepare(
                            ballot=change.ballot, index=self.entry.number + 1, digest=change.digest, **self._top()
                        ),
                    )
            elif all_again or not self._is_valid(member, change.accepts.get(member, -1)):
                self._send(member, m.Accept(ballot=change.ballot, entry=change.entry, **self._top()))

    def _promised(self, message: m.Promise, now: float) -> None:
        change = self.change
        if (
            change is None
            or message.ballot != change.ballot
            or change.entry is not None
            or message.index != self.entry.number + 1
        ):
            return
        vote = Vote(
            message.lives.get(message.sender, 0),
            {name: now + ms for name, ms in message.left.items()},
            message.no,
            message.of,
            message.accepted,
            message.entry,
        )
        known = change.votes.get(message.sender)
        if known is not None and known.life == vote.life:  # told again: what it granted only runs out
            vote.until = {name: min(until, known.until.get(name, -math.inf)) for name, until in vote.until.items()}
        change.votes[message.sender] = vote
        if vote.no and change.digest == self.wanted and not self.asked_accept:  # nobody else's
            self._drop(f"{message.sender}: {vote.no}", now)
        self._drive(now)

    def _was_accepted(self, message: m.Accepted, now: float) -> None:
        change = self.change
        if (
            change is not None
            and message.ballot == change.ballot
            and change.entry is not None
            and message.index == change.entry.number
        ):
            change.accepts[message.sender] = message.lives.get(message.sender, 0)
            self._drive(now)

    def _outbid(self, message: m.Outbid, now: float) -> None:
        change = self.change
        if (
            change is not None
            and message.ballot == change.ballot
            and message.index == self.entry.number + 1
            and change.outbid_ms == math.inf
        ):
            change.outbid_ms = now
            if message.higher > self.promised:  # the next try must be higher still
                change.ballot = Ballot(max(change.ballot.round, message.higher.round), self.me)

    def _take_over(self, now: float) -> None:
        """Finish, or drop, a change that nobody goes on with."""
        if self.change is not None or self.me not in self.members or self.heard_of_ms == math.inf:
            return
        if now - self.heard_of_ms > HANG_MS + RANK_MS * sorted(self.members).index(self.me):
            self._note("tier", taking_over=self.promised.by, round=self.promised.round)
            self._begin(b"", now)
            self._drive(now)

    # ---- entries

    def _entry_at(self, index: int) -> Entry:
        first = self.entries[0].number
        return self.entries[index - first] if first <= index <= self.entry.number else self.entry

    def _fetch_asked(self, message: m.Fetch, now: float) -> None:
        if message.index <= self.entry.number:
            self._send(message.sender, m.Told(entry=self._entry_at(message.index), **self._top()))

    def _was_told(self, message: m.Told, now: float) -> None:
        self._learn(message.entry, now, message.sender)
        newest = self.pending.number if self.pending is not None else self.entry.number
        if message.stand // 2 > newest:
            self.fetched_ms.pop(message.sender, None)
            self._fetch(message.sender, now)

    def _learn(self, entry: Entry, now: float, source: str = "") -> None:
        """An entry is decided."""
        known = self.pending if self.pending is not None else self.entry
        if entry.number <= known.number:
            return
        if entry.number == known.number + 1 and entry.line != known.then(entry.digest).line:
            self._note("tier", fork=source or self.me, index=entry.number)
            return
        if self.stage is Stage.JOINT:  # the next is decided only where this one is in force
            self._in_force(now)
        self._settle(entry, known.version)
        self.pending = entry
        if entry.digest in self.rosters:
            self._join(now)
        else:
            self.effects.append(
                Want(entry.digest, tuple(dict.fromkeys([*([source] if source else []), *self._others(self.members)])))
            )

    def _join(self, now: float) -> None:
        """The decided entry's document is here: both bind from now on."""
        assert self.pending is not None
        entry, self.pending = self.pending, None
        follows = entry.number == self.entry.number + 1
        self.before = self.entry if follows else None
        self.entries = [*self.entries, entry][-HISTORY:] if follows else [entry]
        self.stage = Stage.JOINT
        self.promised, self.proposed, self.answers, self.heard_of_ms = NO_BALLOT, b"", NO_BALLOT, math.inf
        self.accepted, self.candidate, self.waiting, self.joined, self.dead = NO_BALLOT, None, None, {}, NO_BALLOT
        self.joined_said_ms, self.answered, self.about = -math.inf, NO_BALLOT, b""
        self._store()
        self.effects.append(Moved())
        self._say_joined(now)
        self._check_joined(now)

    def _settle(self, entry: Entry, former: int) -> None:
        """Say what became of a change proposed here, now that an entry is decided after one of this version."""
        if self.wanted and entry.digest == self.wanted:
            self._over("in force", f"version {entry.version}")
        elif self.wanted:
            if entry.version > former:
                self._over("lost", f"version {entry.version} came first", entry.digest)
            else:
                self._over("lost", "the others have given it up")
        self.change = None

    def _say_joined(self, now: float) -> None:
        if now - self.joined_said_ms < AGAIN_MS:
            return
        self.joined_said_ms = now
        left = self._left(now, self.entry.number, NO_BALLOT)
        self.joined[self.me] = Vote(self.lives[self.me], {name: now + ms for name, ms in left.items()})
        for member in self._everybody():
            self._send(member, m.Joined(index=self.entry.number, left=left, **self._top()))

    def _has_joined(self, message: m.Joined, now: float) -> None:
        if message.index != self.entry.number or self.stage is not Stage.JOINT:
            if message.index == self.entry.number:  # we are further: this says so
                self._send(message.sender, m.Where(**self._top()))
            return
        self.joined[message.sender] = Vote(
            message.lives.get(message.sender, 0), {name: now + ms for name, ms in message.left.items()}
        )
        self._check_joined(now)

    def _check_joined(self, now: float) -> None:
        was = self.rosters[self.entry.digest].was
        votes = {
            member: vote for member, vote in self.joined.items() if member in was and self._is_valid(member, vote.life)
        }
        if self._counts(votes, was) and self._lapsed(was, votes, now):
            self._in_force(now)

    def _in_force(self, now: float) -> None:
        self.stage, self.before, self.joined = Stage.IN_FORCE, None, {}
        self._store()
        self.effects.append(Moved())
        for member in self._everybody():
            self._send(member, m.Where(**self._top()))

    # ---- documents

    def arrived(self, digest: bytes, roster: Roster, now: float) -> None:
        """A document is here."""
        self.rosters[digest] = roster
        if self.stage is Stage.RECOVERING:
            self._check_recovered(now)
        if self.pending is not None and self.pending.digest == digest:
            self._join(now)
        if self.waiting is not None and self.waiting.digest == digest:
            self.effects.append(Check(digest))

    def checked(self, digest: bytes, no: str, now: float) -> None:
        """A document was checked against the node's own place: why it can't be taken, or nothing."""
        self.verdicts[digest] = no
        waiting = self.waiting
        if waiting is not None and waiting.digest == digest:
            self.waiting = None
            self._prepared(waiting, now)

    def keeps(self) -> set[bytes]:
        """Digests of the documents that may still be asked for."""
        kept = {self.first.digest, self.entry.digest, self.wanted, self.proposed}
        kept |= {entry.digest for entry in (self.before, self.candidate, self.pending) if entry is not None}
        if self.waiting is not None:
            kept.add(self.waiting.digest)
        return kept - {b""}

    # ---- coming back with nothing

    def _say_recover(self, now: float) -> None:
        if now - self.told.said_ms < AGAIN_MS:
            return
        self.told.said_ms = now
        ask = m.Recover(
            nonce=self.told.nonce,
            round=self.told.round,
            life=self.lives[self.me],
            genesis=self.first.digest[:8],
            **self._top(),
        )
        for member in self._others(
            self.rosters[self.first.digest].members,
            *(self.rosters[entry.digest].members for entry in self.told.newest() if entry.digest in self.rosters),
        ):
            self._send(member, ask)

    def _recover(self, message: m.Recover, now: float) -> None:
        sender, life = message.sender, message.life
        self.heard[sender] = (now, -1, -1)
        self._merge({name: number for name, number in message.lives.items() if name != sender})
        remembers, stale = self.stage is not Stage.RECOVERING, False
        if remembers:
            known = self.lives.get(sender, 0)
            nonce = self.told.nonces.get((sender, life))
            stale = life < known or (nonce is not None and nonce != message.nonce)
            if not stale:
                self.lives[sender] = life
                self.told.nonces[sender, life] = message.nonce
        self._send(
            sender,
            m.Recovered(
                nonce=message.nonce,
                round=message.round,
                remembers=remembers,
                session=self.told.session,
                genesis=self.first.digest[:8],
                stale=stale,
                promised=self.promised,
                accepted=self.accepted,
                candidate=self.candidate,
                entry=self.entry if remembers else None,
                **self._top(),
            ),
        )

    def _recovered(self, message: m.Recovered, now: float) -> None:
        told = self.told
        if self.stage is not Stage.RECOVERING or (message.nonce, message.round) != (told.nonce, told.round):
            return
        self.heard[message.sender] = (now, message.stand if message.remembers else -1, message.stand // 2)
        self._merge({name: life for name, life in message.lives.items() if name != message.sender or message.remembers})
        highest = message.lives.get(self.me, 0)
        if message.stale or highest > self.lives[self.me]:
            self.lives[self.me] = max(highest, self.lives[self.me]) + 1
            self._again(now)
            return
        if not message.remembers and message.genesis != self.first.digest[:8]:
            if message.sender not in self.forked:
                self.forked.add(message.sender)
                self._note("tier", differs=message.sender, why="its file makes another first policy")
            return
        told.answers[message.sender] = message
        self._check_recovered(now)

    def _forget(self, life: int, now: float) -> None:
        """Others know of a later life of ours than this: an old clock, as all were restarted. Come back once more."""
        self.lives[self.me] = life + 1
        self.stage, self.before, self.change, self.pending, self.waiting = Stage.RECOVERING, None, None, None, None
        self.promised, self.answers, self.accepted, self.candidate = NO_BALLOT, NO_BALLOT, NO_BALLOT, None
        self.heard_of_ms, self.unknown_until, self.held = math.inf, now + GRANT_MS, {}
        self._over("open", "this node had to come back")
        self.effects.append(Moved())
        self._again(now)

    def _again(self, now: float, sessions: dict[str, int] | None = None) -> None:
        """Ask once more: a second round under the same number, or from the beginning under another."""
        told = self.told
        self.told = Recovering(
            told.nonce if sessions is not None else self.random.getrandbits(48),
            told.session,
            round=told.round + 1,
            sessions=sessions,
            nonces=told.nonces,
        )
        self._say_recover(now)

    def _check_recovered(self, now: float) -> None:
        told = self.told
        remember = [answer for answer in told.answers.values() if answer.remembers and answer.entry is not None]
        entry = max((answer.entry for answer in remember if answer.entry is not None), default=self.first)
        if entry.digest not in self.rosters:
            self.effects.append(Want(entry.digest, tuple(answer.sender for answer in remember)))
            return
        members = self.rosters[entry.digest].members
        others = [member for member in members if member != self.me]
        enough = quorum(len(members), self.unanimous)[1]
        noted = [answer for answer in remember if answer.sender in others]
        if self.me not in members:
            if remember and not self.told.is_outsider:
                self.told.is_outsider = True
                self._note("tier", outsider=self.me, version=entry.version)
            return
        if not (others and len(noted) >= enough):
            answered = {member for member in others if member in told.answers or member in self.vouched}
            if len(answered) < len(others):
                return
            first_round, sessions = (
                told.sessions,
                {answer.sender: answer.session for answer in told.answers.values() if not answer.remembers},
            )
            if sessions and first_round is None:
                self._again(now, sessions)  # all have answered; once more, so that there is one moment between the two
                return
            if first_round is not None and any(
                first_round.get(member) != session for member, session in sessions.items()
            ):
                self._again(now, sessions)
                return
        self._remember(entry, remember, now)

    def _remember(self, entry: Entry, remember: Sequence[m.Recovered], now: float) -> None:
        """Go on from what others told, or from the first entry where nobody remembers."""
        same = [answer for answer in remember if answer.entry == entry]
        furthest = max((answer.stand for answer in same), default=2 * entry.number + 1)
        self.entries = [entry]
        self.stage = Stage.IN_FORCE if furthest % 2 or entry.number == 0 else Stage.JOINT
        self.promised = max((answer.promised for answer in same), default=NO_BALLOT)
        self.proposed = b""
        newest = max(same, key=lambda answer: answer.accepted, default=None)
        if newest is not None and newest.candidate is not None:
            self.accepted, self.candidate = newest.accepted, newest.candidate
        if self.promised > NO_BALLOT:
            self.heard_of_ms = now
        self._note(
            "tier",
            recovered=entry.version,
            index=entry.number,
            by=",".join(sorted(answer.sender for answer in remember)) or "-",
            life=self.lives[self.me],
        )
        self._store()
        self.effects.append(Moved())
        self._renew(now)

    _HANDLERS: ClassVar[dict[type, str]] = {
        m.Ask: "_asked",
        m.Grant: "_granted",
        m.Prepare: "_prepared",
        m.Promise: "_promised",
        m.Outbid: "_outbid",
        m.Accept: "_accept",
        m.Accepted: "_was_accepted",
        m.Drop: "_dropped",
        m.Joined: "_has_joined",
        m.Fetch: "_fetch_asked",
        m.Told: "_was_told",
    }


@dataclass(slots=True)
class Recovering:
    """What a node that came back with nothing has heard; and, at one that remembers, which lives it has noted."""

    nonce: int
    session: int
    round: int = 0
    answers: dict[str, m.Recovered] = field(default_factory=dict)
    sessions: dict[str, int] | None = None  # of those that had nothing in the first round; None: this is the first
    said_ms: float = -math.inf
    is_outsider: bool = False
    nonces: dict[tuple[str, int], int] = field(default_factory=dict)

    def newest(self) -> list[Entry]:
        """The newest entry told, if one was."""
        told = [answer.entry for answer in self.answers.values() if answer.entry is not None]
        return [max(told)] if told else []
