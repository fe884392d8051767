"""A small group of members for the search of views: shipped votes and proposals, a scheduler that may do anything.

Messages wait until an action delivers them, in any order, or never. Time stands still until an action lets it pass. A
member is made of the shipped witness, proposals, lease and recovery of promises, over a disk that keeps what is
written; its entries are reduced to a set of numbers. After each action `check` raises `Violation` if something does
not hold.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from random import Random

import msgspec
from msgspec import Struct

from pipitledge.emulator.cluster.virtual import copied
from pipitledge.replication import election, epochs, quorum, target_view
from pipitledge.replication.amnesia import AmnesiaRecovery
from pipitledge.replication.environment import Environment
from pipitledge.replication.lease import Lease
from pipitledge.replication.proposal import Proposal, ProposalOutcome
from pipitledge.replication.quorum import Tolerance
from pipitledge.replication.records import EpochRecord, decode_epochs
from pipitledge.replication.timing import PROPOSAL_TIMEOUT_SECONDS
from pipitledge.replication.witness import Witness
from pipitledge.runtime.ports import ReplyHandler
from pipitledge.wire.messages import EpochQuery, Member, NodeDescriptor, Prepare, Promise, Propose, View

PASS_SECONDS = PROPOSAL_TIMEOUT_SECONDS + 0.05  # one step of time: proposals under way are over, leases are not
SHORT_SECONDS = 0.1  # timers due that soon may run without time passing otherwise
FIRST_EPOCH = 2 * epochs.FIRST_ORDINARY_EPOCH
FIRST_TIME = 100.0

Action = tuple[str, str, int]  # what, at which member, number of a message


class Violation(Exception):
    """Something that must always hold did not."""


class Bounds(Struct, frozen=True):
    """How much of each kind a run may hold."""

    takeovers: int = 2
    changes: int = 1  # of view, by a primary that goes on
    stops: int = 1
    wipes: int = 1
    passes: int = 2
    writes: int = 1
    heartbeats: int = 2
    retirements: int = 1  # of primaries without a lease
    cuts: int = 0
    repeats: int = 0  # requests delivered a second time


@dataclass
class ModelTimer:
    """A call that is due."""

    when: float
    action: Callable[[], None] | None

    def cancel(self) -> None:
        """Drop it."""
        self.action = None


@dataclass
class InFlight:
    """A request or an answer on its way."""

    sender: str
    receiver: str
    message: Struct
    deliver: Callable[[], None]
    is_request: bool

    def key(self) -> tuple[str, str, bytes]:
        """What tells it from others."""
        kind = type(self.message).__name__.encode()
        return self.sender, self.receiver, kind + msgspec.msgpack.encode(self.message)


class SilentLog:
    """Drops events."""

    def info(self, event: str, **fields: object) -> None:
        """Drop it."""

    def warning(self, event: str, **fields: object) -> None:
        """Drop it."""


@dataclass
class Known:
    """Membership as a member sees it: everybody, at addresses that are names."""

    group: Group
    view: View | None = None

    def counted(self) -> list[NodeDescriptor]:
        """All members and spares."""
        return [NodeDescriptor(name=name, address=name, counted=True) for name in self.group.nodes]

    def offer_view(self, view: View) -> None:
        """Take note of a decided view."""
        if self.view is None or view.epoch > self.view.epoch:
            self.view = view


class Life:
    """One life of a member's process; implements its clock, network and disk."""

    def __init__(self, node: Node) -> None:
        """Go on from the member's disk."""
        self.node = node
        self.group = node.group
        self.timers: list[ModelTimer] = []
        self.membership = Known(self.group)
        fresh = node.disk is None
        record = EpochRecord(disk_id=node.disk_id, amnesiac=True) if node.disk is None else decode_epochs(node.disk)
        member = Member(node.name, node.name, disk_id=record.disk_id)
        self.env = Environment(self, self, self, Random(0), member, self.group.tolerance, self.membership, SilentLog())  # type: ignore[arg-type]
        self.witness = Witness(self.env, record, True)
        self.proposal: Proposal | None = None
        self.leads: View | None = None  # a view that this life had decided for itself
        self.proposed: list[View] = []  # whose outcome it doesn't know
        self.highest_epoch = 0  # that any member told of
        self.lease: Lease | None = None
        self.amnesia = AmnesiaRecovery(self.env, self.witness, self.latest, lambda: self.membership.view)
        if fresh:
            self.witness.persist(lambda: None)
        if self.witness.amnesiac:
            self.amnesia.start()

    # ---- ports

    def now(self) -> float:
        """Steady time."""
        return self.group.time

    def wall_ms(self) -> int:
        """Time of day."""
        return 0

    def at(self, when: float, action: Callable[[], None]) -> ModelTimer:
        """Call `action` once time reaches `when`."""
        timer = ModelTimer(when, action)
        self.timers.append(timer)
        return timer

    def call(self, address: str, request: Struct, timeout: float, on_reply: ReplyHandler) -> None:
        """Put a request on its way."""
        self.group.send(self, address, copied(request), on_reply)

    def datagram(self, address: str, message: Struct) -> None:
        """Lose it: heartbeats are actions of their own."""

    def write_epochs(self, record: bytes, on_durable: Callable[[], None]) -> None:
        """Keep the record."""
        self.node.disk = record
        on_durable()

    # ---- what it does

    def latest(self) -> View | None:
        """The view of the highest epoch that it knows or has accepted."""
        views = [view for view in (self.membership.view, self.witness.accepted) if view is not None]
        return max(views, key=lambda view: view.epoch, default=None)

    def answer(self, message: Struct, reply: Callable[[Struct], None]) -> None:
        """Answer a request."""
        if isinstance(message, Prepare):
            self.witness.on_prepare(message, reply)
        elif isinstance(message, Propose):
            self.witness.on_propose(message, reply)
        elif isinstance(message, EpochQuery):
            reply(self.witness.epoch_reply())

    def take_over(self) -> None:
        """Propose itself as the next primary."""
        latest = self.latest()
        assert latest is not None
        highest = max(self.witness.promised, latest.epoch, self.highest_epoch)
        epoch = epochs.next_epoch(highest, self.env.name)
        derive = partial(election.takeover_view, self.env, epoch)
        self._propose(epoch, latest, derive)

    def change_view(self) -> None:
        """Propose the view that its backups call for."""
        leads = self.leads
        assert leads is not None
        epoch = epochs.next_epoch(max(self.witness.promised, leads.epoch, self.highest_epoch), self.env.name)

        def derive(base: View | None, promises: dict[str, Promise]) -> View | None:
            if base is None or base.primary != self.env.name or base.term != leads.term:
                return None
            situation = target_view.ViewInputs(
                self.env.me, self.group.tolerance, self.group.backups_of(self), self.group.spares_of(self)
            )
            target = target_view.target_view(situation, base, base.epoch == leads.epoch)
            view = msgspec.structs.replace(target, epoch=epoch)
            self.proposed.append(view)
            return view

        self._propose(epoch, leads, derive)

    def _propose(
        self, epoch: int, start: View, derive: Callable[[View | None, dict[str, Promise]], View | None]
    ) -> None:
        self.proposal = Proposal(self.env, self.witness, epoch, start, derive, self._ended, grace=0.06)
        self.proposal.run()

    def _ended(self, outcome: ProposalOutcome) -> None:
        self.proposal = None
        self.highest_epoch = max(self.highest_epoch, outcome.highest_epoch)
        view = outcome.decided
        if view is None:
            return
        self.group.decided(view)
        self.proposed.clear()
        if self.lease is None or self.leads is None or self.leads.term != view.term:
            self.lease = Lease(view)
        else:
            self.lease.change_view(view)
        self.leads = view
        self.membership.offer_view(view)
        self.witness.learn(view)

    def hear_of(self, view: View) -> None:
        """A decided view is told; a primary of another term ends its office."""
        self.membership.offer_view(view)
        self.witness.learn(view)
        if self.leads is not None and view.epoch > self.leads.epoch and view.term != self.leads.term:
            self.retire()

    def retire(self) -> None:
        """Lead no longer."""
        self.leads = None
        self.lease = None
        self.proposed.clear()

    def relied_on(self) -> set[tuple[str, int]]:
        """Members, with their disks, that have to hold an entry before it is acknowledged."""
        views = [self.leads, *self.proposed]
        return {
            (member.name, member.disk_id)
            for view in views
            if view is not None
            for member in view.members
            if member.name in view.in_sync
        }


@dataclass
class BackupLook:
    """A backup as its primary sees it."""

    disk_id: int
    amnesiac: bool
    up: bool
    equal: bool  # holds what the primary holds
    leaving: bool = False

    def responsive(self) -> bool:
        """Whether it answers."""
        return self.up

    def unreachable(self) -> bool:
        """Whether it is gone for long."""
        return not self.up

    def caught_up(self) -> bool:
        """Whether it holds everything."""
        return self.up and self.equal

    def in_rejoin_backoff(self) -> bool:
        """Never."""
        return False


class Node:
    """A member: its disk, its entries, and at most one life."""

    def __init__(self, group: Group, name: str, disk_id: int) -> None:
        """Not started."""
        self.group = group
        self.name = name
        self.disk_id = disk_id
        self.disk: bytes | None = None
        self.entries: frozenset[int] = frozenset()
        self.life: Life | None = None

    def has_caught_up(self, view: View) -> bool:
        """Whether the set holds its disk; for one that lost its promises, whether it was told so."""
        if not quorum.is_in_sync(view, self.name, self.disk_id):
            return False
        life = self.life
        if life is None or not life.witness.amnesiac:
            return True
        return quorum.is_in_sync(life.membership.view, self.name, self.disk_id)

    def key(self) -> tuple[object, ...]:
        """What tells states of it apart."""
        life = self.life
        if life is None:
            return self.disk, self.disk_id, self.entries
        proposal = life.proposal
        under_way = None
        if proposal is not None:
            view = proposal._view
            under_way = (
                proposal._epoch,
                tuple(sorted(proposal._promises)),
                tuple(sorted(proposal._accepted)),
                tuple(sorted(proposal._answered)),
                view.epoch if view is not None else 0,
                proposal._grace_over,
            )
        return (
            self.disk,
            self.disk_id,
            self.entries,
            life.highest_epoch,
            life.leads.epoch if life.leads is not None else 0,
            tuple(view.epoch for view in life.proposed),
            life.lease.until if life.lease is not None else 0.0,
            life.witness._lease_until,
            life.witness._lease_holder,
            life.witness._restart_lease_until,
            under_way,
            tuple(sorted(timer.when for timer in life.timers if timer.action is not None)),
            life.membership.view.epoch if life.membership.view is not None else 0,
        )


@dataclass
class Group:
    """Members, what is on its way between them, and what was decided and acknowledged."""

    size: int = 3
    machines: int = 1
    spares: int = 0
    bounds: Bounds = field(default_factory=Bounds)

    def __post_init__(self) -> None:
        """All members up, the first of them leading with a lease."""
        self.tolerance = Tolerance(machines=self.machines)
        self.time = FIRST_TIME
        self.flying: list[InFlight] = []
        self.nodes: dict[str, Node] = {}
        self.views: dict[int, View] = {}  # decided, by epoch
        self.primaries: dict[int, str] = {}  # by term
        self.acknowledged: set[int] = set()
        self.used: dict[str, int] = {}
        self.next_entry = 1
        self.cut: frozenset[str] = frozenset()  # members of one side; the others are the other
        names = [f"n{index}" for index in range(self.size)]
        members = [Member(name, name, disk_id=index) for index, name in enumerate(names, 1)]
        first = View(FIRST_EPOCH, FIRST_EPOCH, names[0], list(names), members)
        record = EpochRecord(promised=FIRST_EPOCH, promised_to=names[0], accepted=first)
        for index, name in enumerate([*names, *(f"s{index}" for index in range(self.spares))], 1):
            node = self.nodes[name] = Node(self, name, index)
            own = record if name in names else EpochRecord()
            node.disk = msgspec.msgpack.encode(msgspec.structs.replace(own, disk_id=index))
            self._start(node)
            assert node.life is not None
            node.life.witness._restart_lease_until = 0.0
            node.life.membership.view = first
        self.decided(first)
        leader = self.nodes[names[0]].life
        assert leader is not None
        leader.leads = first
        leader.lease = Lease(first)

    # ---- the world of the members

    def send(self, sender: Life, address: str, request: Struct, on_reply: ReplyHandler) -> None:
        """Put a request on its way."""
        receiver = self.nodes.get(address)
        if receiver is None:
            return

        def deliver() -> None:
            life = receiver.life
            if life is not None:
                life.answer(request, lambda reply: self._send_back(sender, address, copied(reply), on_reply))

        self.flying.append(InFlight(sender.node.name, address, request, deliver, True))

    def _send_back(self, caller: Life, sender: str, reply: Struct, on_reply: ReplyHandler) -> None:
        def deliver() -> None:
            if caller.node.life is caller:
                on_reply(reply)

        self.flying.append(InFlight(sender, caller.node.name, reply, deliver, False))

    def _start(self, node: Node) -> None:
        node.life = Life(node)

    def decided(self, view: View) -> None:
        """A proposal had its view decided."""
        other = self.views.setdefault(view.epoch, view)
        if other != view:
            raise Violation(f"two views of epoch {view.epoch}")
        primary = self.primaries.setdefault(view.term, view.primary)
        if primary != view.primary:
            raise Violation(f"two primaries of term {view.term}: {primary} and {view.primary}")

    def latest_decided(self) -> View:
        """The decided view of the highest epoch."""
        return self.views[max(self.views)]

    def together(self, one: str, other: str) -> bool:
        """Whether two members reach each other."""
        return (one in self.cut) == (other in self.cut)

    def obey(self, leader: Life) -> Iterator[Node]:
        """Members and spares that are up, reached, and obey that primary."""
        leads = leader.leads
        assert leads is not None
        for node in self.nodes.values():
            life = node.life
            reached = life is not None and self.together(node.name, leader.node.name)
            if life is not None and reached and life.witness.accepts_primary(leads.epoch, leads.term, leads.primary):
                yield node

    def backups_of(self, leader: Life) -> dict[str, target_view.BackupState]:
        """All others as that primary sees them; those that obey were repaired just now."""
        obeying = {node.name for node in self.obey(leader)}
        backups: dict[str, target_view.BackupState] = {}
        for name, node in self.nodes.items():
            if name != leader.node.name:
                life = node.life
                up = life is not None and self.together(name, leader.node.name)
                equal = name in obeying and node.entries == leader.node.entries
                amnesiac = life is not None and life.witness.amnesiac
                backups[name] = BackupLook(node.disk_id, amnesiac, up, equal)
        return backups

    def spares_of(self, leader: Life) -> dict[str, NodeDescriptor]:
        """All others, as membership describes them."""
        return {node.name: node for node in leader.membership.counted() if node.name != leader.node.name}

    # ---- actions

    def actions(self) -> list[Action]:
        """All that may happen next."""
        found: list[Action] = [("deliver", "", number) for number in self._distinct()]
        if self._left("repeats"):
            found += [("repeat", "", number) for number in self._distinct() if self.flying[number].is_request]
        for name, node in self.nodes.items():
            found += [(what, name, 0) for what in self._actions_of(node)]
        if any(timer.when <= self.time + SHORT_SECONDS for timer in self._timers()):
            found.append(("timer", "", 0))
        if self._left("passes"):
            found.append(("pass", "", 0))
        if not self.cut and self._left("cuts"):
            found += [("cut", "", index) for index in range(2)]
        return found

    def _distinct(self) -> list[int]:
        """Numbers of messages, one of each kind of equal ones."""
        seen = set[tuple[str, str, bytes]]()
        numbers = []
        for number, message in enumerate(self.flying):
            if message.key() not in seen:
                seen.add(message.key())
                numbers.append(number)
        return numbers

    def _left(self, kind: str) -> bool:
        allowed: int = getattr(self.bounds, kind)
        return self.used.get(kind, 0) < allowed

    def _actions_of(self, node: Node) -> Iterator[str]:
        life = node.life
        if life is None:
            yield "start"
            return
        if self._left("stops"):
            yield "stop"
        if self._left("wipes") and self._may_wipe(node):
            yield "wipe"
        idle = life.proposal is None
        if life.leads is None:
            eligible = not life.witness.amnesiac and quorum.is_in_sync(life.latest(), node.name, node.disk_id)
            if idle and eligible and self._left("takeovers"):
                yield "takeover"
            return
        if self._left("heartbeats"):
            yield "heartbeat"
        if self._left("writes"):
            yield "write"
            yield "write_alone"
        held = life.lease is not None and life.lease.held(self.time)
        if idle and not held and self._left("retirements"):
            yield "retire"
        if idle and held and self._left("changes"):
            yield "change"

    def _may_wipe(self, node: Node) -> bool:
        """Whether no more disks are lost at once than is tolerated.

        One counts until the set holds the new one and its member has been told so, which heartbeats do within a second.
        """
        view = self.latest_decided()
        others = [self.nodes[member.name] for member in view.members if member.name != node.name]
        lost = [other for other in others if not other.has_caught_up(view)]
        return len(lost) < self.machines and quorum.member_of(view, node.name) is not None

    def _timers(self) -> list[ModelTimer]:
        lives = [node.life for node in self.nodes.values() if node.life is not None]
        return sorted(
            (timer for life in lives for timer in life.timers if timer.action is not None),
            key=lambda timer: timer.when,
        )

    def act(self, action: Action) -> None:
        """Carry out one action, and check what must hold."""
        what, name, number = action
        if what == "deliver":
            self.flying.pop(number).deliver()
        elif what == "repeat":
            self._use("repeats")
            self.flying[number].deliver()
        elif what == "timer":
            self._run_timers(self._timers()[0].when)
        elif what == "pass":
            self._use("passes")
            self._run_timers(self.time + PASS_SECONDS)
        elif what == "cut":
            self._use("cuts")
            half = sorted(self.nodes)[: len(self.nodes) // 2]
            self.cut = frozenset(half if number == 0 else [*half[:-1], sorted(self.nodes)[-1]])
        else:
            self._act_at(what, self.nodes[name])
        self.check()

    def _act_at(self, what: str, node: Node) -> None:
        steps: dict[str, Callable[[Node], None]] = {
            "start": self._start_again,
            "stop": self._stop,
            "wipe": self._wipe,
            "takeover": self._takeover,
            "change": self._change,
            "heartbeat": self._heartbeat,
            "retire": self._retire,
            "write": self._write,
            "write_alone": self._write_alone,
        }
        steps[what](node)

    def _use(self, kind: str) -> None:
        self.used[kind] = self.used.get(kind, 0) + 1

    def _run_timers(self, until: float) -> None:
        while (timers := self._timers()) and timers[0].when <= until:
            timer = timers[0]
            self.time = max(self.time, timer.when)
            action, timer.action = timer.action, None
            assert action is not None
            action()
        self.time = max(self.time, until)

    def _stop(self, node: Node) -> None:
        self._use("stops")
        node.life = None

    def _wipe(self, node: Node) -> None:
        self._use("wipes")
        node.life = None
        node.disk = None
        node.disk_id += 100
        node.entries = frozenset()

    def _start_again(self, node: Node) -> None:
        self._start(node)
        assert node.life is not None
        node.life.membership.view = self.latest_decided() if node.life.witness.amnesiac else None

    def _takeover(self, node: Node) -> None:
        self._use("takeovers")
        assert node.life is not None
        node.life.take_over()

    def _change(self, node: Node) -> None:
        self._use("changes")
        assert node.life is not None
        for follower in self.obey(node.life):
            follower.entries = node.entries  # repaired
        node.life.change_view()

    def _retire(self, node: Node) -> None:
        self._use("retirements")
        assert node.life is not None
        node.life.retire()

    def _heartbeat(self, node: Node) -> None:
        self._use("heartbeats")
        life = node.life
        assert life is not None and life.leads is not None and life.lease is not None
        for follower in self.obey(life):
            witness = follower.life.witness if follower.life is not None else None
            if witness is None or follower.life is None:
                continue
            follower.life.hear_of(life.leads)
            if not witness.amnesiac:
                witness.grant_lease(node.name)
                life.lease.answered(follower.name, self.time)

    def _write(self, node: Node) -> None:
        self._append(node, list(self.obey(node.life)) if node.life is not None else [])

    def _write_alone(self, node: Node) -> None:
        self._append(node, [])

    def _append(self, node: Node, followers: list[Node]) -> None:
        """A write that reaches these; acknowledged once all that are relied on hold it."""
        self._use("writes")
        life = node.life
        assert life is not None
        entry, self.next_entry = self.next_entry, self.next_entry + 1
        before = node.entries
        node.entries |= {entry}
        holders = {(node.name, node.disk_id)}
        for follower in followers:
            if follower is not node and follower.entries == before:
                follower.entries |= {entry}
                holders.add((follower.name, follower.disk_id))
        enough = life.leads is not None and self.tolerance.satisfied_by(life.leads.in_sync, life.leads.members)
        if enough and life.relied_on() <= holders:
            self.acknowledged |= node.entries

    # ---- what must hold

    def check(self) -> None:
        """Raise where something does not hold."""
        leaders = [
            node
            for node in self.nodes.values()
            if node.life is not None and node.life.lease is not None and node.life.lease.held(self.time)
        ]
        if len(leaders) > 1:
            raise Violation(f"two hold a lease: {[node.name for node in leaders]}")
        for node in leaders:
            if not self.acknowledged <= node.entries:
                raise Violation(f"{node.name} leads without {sorted(self.acknowledged - node.entries)}")
        view = self.latest_decided()
        for member in view.members:
            node = self.nodes[member.name]
            if quorum.is_in_sync(view, node.name, node.disk_id) and not self.acknowledged <= node.entries:
                raise Violation(f"{node.name} is in the set without {sorted(self.acknowledged - node.entries)}")

    def key(self) -> int:
        """What tells states apart."""
        nodes = tuple(node.key() for _, node in sorted(self.nodes.items()))
        flying = tuple(sorted(message.key() for message in self.flying))
        used = tuple(sorted(self.used.items()))
        return hash((nodes, flying, used, self.time, self.cut, frozenset(self.acknowledged), tuple(sorted(self.views))))
