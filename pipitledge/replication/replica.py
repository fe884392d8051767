"""One counted node's part in replication: the class that a program uses."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from random import Random

from msgspec import Struct

from pipitledge.replication.amnesia import AmnesiaRecovery
from pipitledge.replication.backup import Backup
from pipitledge.replication.election import Election, takeover_view
from pipitledge.replication.environment import Environment, EventLog, MembershipSource, NodeInfo
from pipitledge.replication.epochs import next_epoch, next_bootstrap_epoch
from pipitledge.replication.bootstrap import Bootstrap, bootstrap_view
from pipitledge.replication.initial_members import (
    InitialMembersAcceptor,
    InitialMembersProposal,
    InitialOutcome,
    next_ballot,
)
from pipitledge.replication.view_discovery import ViewDiscovery
from pipitledge.replication.interface import PrimaryService
from pipitledge.replication.primary import RELEASED, Primary, PrimaryCallbacks
from pipitledge.replication.proposal import DeriveView, ProposalOutcome, Proposal
from pipitledge.replication.quorum import Tolerance, is_in_sync, member_of
from pipitledge.replication.records import EpochRecord, InitialMembersRecord, RecoveredDisk, decode_epochs
from pipitledge.replication.store import StateStore
from pipitledge.replication.timing import STEP_DOWN_COOLDOWN_SECONDS, BOOTSTRAP_PROMISE_GRACE_SECONDS, PROMISE_GRACE_SECONDS
from pipitledge.replication.witness import Witness
from pipitledge.runtime.handlers import Handlers
from pipitledge.runtime.ports import Clock, Disk, Network
from pipitledge.wire.messages import (
    Accepted,
    Append,
    AppendReply,
    EpochQuery,
    EpochReply,
    Heartbeat,
    HeartbeatReply,
    Member,
    Prepare,
    Promise,
    Propose,
    RecoveryAnswer,
    RecoveryOrder,
    RecoveryQuery,
    RecoveryState,
    RepairReply,
    RepairRequest,
    View,
    Write,
)

DISK_ID_BITS = 62


class Replica:
    """Votes on views, follows the primary, and leads when it is elected. Implements `Replicator`."""

    def __init__(
        self,
        clock: Clock,
        network: Network,
        disk: Disk,
        recovered: RecoveredDisk,
        random: Random,
        me: NodeInfo,
        bootstrap: bool,
        tolerance: Tolerance,
        membership: MembershipSource,
        services: list[PrimaryService],
        log: EventLog,
        seeds: Sequence[str] = (),
        may_bootstrap: Callable[[], bool] = lambda: True,
    ) -> None:
        """`recovered` is what `disk` held; `may_found` holds the founding of the system up while it is False.

        `seeds` are the internal addresses of all seeds, this node's own among them if it is one; more than half of
        those of the first start decide who the first members are. Where none is named, this node alone does.
        """
        record, restarted = _load_or_create_record(recovered, bootstrap, random, seeds or [me.address])
        member = Member(me.name, me.address, me.zone, me.region, record.disk_id)
        self._env = Environment(clock, network, disk, random, member, tolerance, membership, log)
        self._services = services
        self._witness = Witness(self._env, record, restarted)
        self._initial_seeds = record.initial.seeds
        self._initial_members: list[Member] = []  # once decided
        self._highest_ballot = record.initial.promised  # that any seed told of
        self._acceptor = InitialMembersAcceptor(
            me.address, record.initial, self._witness.persist, lambda: self._bootstrap.known()
        )
        self._store = StateStore(self._env, recovered)
        self._view: View | None = None
        self._primary: Primary | None = None
        self._proposing = False
        self._highest_epoch = 0  # that any node told of
        self._backup = Backup(self._env, self._witness, self._store, self._known_view, self._on_primary_heard)
        self._view_discovery = ViewDiscovery(self._env, self._latest)
        self._election = Election(self._env, self._witness, self._latest, self._view_discovery, self._propose_takeover)
        self._amnesia = AmnesiaRecovery(self._env, self._witness, self._latest, lambda: self.view)
        self._bootstrap = Bootstrap(self._env, self._is_bootstrapped, may_bootstrap, self._propose_bootstrap)

    def start(self) -> None:
        """Begin; all handlers have to be registered."""
        self._witness.persist(lambda: None)
        if self._witness.amnesiac:
            self._amnesia.start()
        elif self._witness.original and self._witness.accepted is None:
            self._bootstrap.start()
        self._election.start()

    def register(self, handlers: Handlers) -> None:
        """Answer the messages of replication."""
        handlers.on_datagram(Heartbeat, self._on_heartbeat)
        handlers.on_datagram(HeartbeatReply, self._on_heartbeat_reply)
        handlers.on_call(Prepare, self._on_prepare)
        handlers.on_call(Propose, self._on_propose)
        handlers.on_call(EpochQuery, self._on_epoch_query)
        handlers.on_call(RecoveryQuery, self._on_recovery_query)
        handlers.on_call(RecoveryOrder, self._on_recovery_order)
        self._acceptor.register(handlers)
        handlers.on_call(Append, self._on_append)
        handlers.on_call(RepairRequest, self._on_repair_request)

    def step_down(self) -> None:
        """A planned stop: lead no longer, let a backup take over at once."""
        self._election.retired = True
        self._witness.leaving = True
        if self._primary is not None:
            self._primary.release()

    def is_in_sync_member(self) -> bool:
        """Whether this node is still of the in-sync set, so far as it knows: what it holds may not be elsewhere yet."""
        return is_in_sync(self.view, self._env.name, self._env.me.disk_id)

    # ---- Replicator

    @property
    def term(self) -> int:
        """Term of the view in force."""
        view = self._primary.view if self._primary is not None else self.view
        return view.term if view is not None else 0

    @property
    def view(self) -> View | None:
        """The newest view known to be decided."""
        self._learn_from_membership()
        return self._view

    @property
    def awaits_bootstrap(self) -> bool:
        """Whether this node started with the system and is no member yet; its descriptor says so as `bootstrap`."""
        return self._witness.original

    def is_primary(self) -> bool:
        """Whether this node leads, has started its duties and holds its lease."""
        return self._primary is not None and self._primary.is_serving()

    def write(self, writes: list[Write], on_committed: Callable[[], None] | None = None) -> None:
        """Append a batch; ignored unless this node leads."""
        if self._primary is not None:
            self._primary.write(writes, on_committed)

    def after_commit(self, action: Callable[[], None]) -> None:
        """Run `action` once all that was written so far is committed; never if the role is lost before."""
        if self._primary is not None:
            self._primary.after_commit(action)

    def status(self) -> dict[str, object]:
        """What operators may want to see."""
        view = self.view
        position = self._store.position
        return {
            "name": self._env.name,
            "epoch": view.epoch if view is not None else 0,
            "term": view.term if view is not None else 0,
            "primary": view.primary if view is not None else "",
            "inSync": list(view.in_sync) if view is not None else [],
            "members": [member.name for member in view.members] if view is not None else [],
            "promised": self._witness.promised,
            "amnesiac": self._witness.amnesiac,
            "recoveryRounds": self._amnesia.rounds,
            "alsoAmnesiac": self._amnesia.also_amnesiac(),
            "leads": self.is_primary(),
            "entryTerm": position.term,
            "entrySequence": position.sequence,
            "committed": self._primary.committed if self._primary is not None else 0,
            "keys": len(self._store.map),
            "repairing": self._backup.repairing,
            "diskStalledSeconds": round(self._store.stalled_for(), 3),
        }

    # ---- views

    def _known_view(self) -> View | None:
        return self._view

    def _latest(self) -> View | None:
        """The view of the highest epoch that this node knows or has accepted; at the founding, that it heard of."""
        self._learn_from_membership()
        views = [view for view in (self._view, self._witness.accepted) if view is not None]
        return max(views, key=lambda view: view.epoch, default=self._view_discovery.heard)

    def _learn_from_membership(self) -> None:
        view = self._env.membership.view
        if view is not None and (self._view is None or view.epoch > self._view.epoch):
            self._learn(view)

    def _learn(self, view: View) -> None:
        """A view is known to be decided."""
        if self._view is not None and view.epoch <= self._view.epoch:
            return
        self._view = view
        self._highest_epoch = max(self._highest_epoch, view.epoch)
        self._witness.learn(view)
        self._election.heard()
        self._env.membership.offer_view(view)
        self._env.log.info(
            "view", epoch=view.epoch, term=view.term, primary=view.primary, in_sync=",".join(view.in_sync)
        )
        if self._primary is not None and view.term != self._primary.view.term:
            self._end_primary("another primary was elected")

    def _is_bootstrapped(self) -> bool:
        return self._latest() is not None

    # ---- proposals

    def _propose_takeover(self) -> None:
        latest = self._latest()
        if self._primary is not None or latest is None:
            return
        epoch = next_epoch(max(self._witness.promised, latest.epoch, self._highest_epoch), self._env.name)
        self._propose(epoch, latest, partial(takeover_view, self._env, epoch), self._election.failed)

    def _propose_bootstrap(self, known: list[Member]) -> None:
        """Have the first members decided, then a view of just these."""
        if self._proposing:
            return
        if self._initial_members:
            self._propose_first_view()
            return
        self._proposing = True
        ballot = next_ballot(self._highest_ballot, self._env.name)
        InitialMembersProposal(
            self._env, self._acceptor, self._initial_seeds, ballot, known, self._on_initial_members
        ).run()

    def _on_initial_members(self, outcome: InitialOutcome) -> None:
        self._proposing = False
        self._highest_ballot = max(self._highest_ballot, outcome.highest_ballot)
        self._initial_members = outcome.members
        names = [member.name for member in outcome.members]
        self._env.log.info("initial_members", decided=",".join(names), highest=self._highest_ballot)
        self._propose_first_view()

    def _propose_first_view(self) -> None:
        """Propose the first view if the members are decided and this node is one; else leave it to those that are."""
        start = View(members=self._initial_members)
        if member_of(start, self._env.name) is None:
            self._bootstrap.failed()
            return
        epoch = next_bootstrap_epoch(max(self._witness.promised, self._highest_epoch), self._env.name)
        derive = partial(bootstrap_view, self._env, epoch, start)
        self._propose(epoch, start, derive, self._bootstrap.failed, BOOTSTRAP_PROMISE_GRACE_SECONDS)

    def _propose(
        self,
        epoch: int,
        start: View,
        derive: DeriveView,
        on_failed: Callable[[], None],
        grace: float = PROMISE_GRACE_SECONDS,
    ) -> None:
        if self._proposing:
            return
        self._proposing = True
        on_done = partial(self._on_outcome, on_failed)
        Proposal(self._env, self._witness, epoch, start, derive, on_done, grace).run()

    def _on_outcome(self, on_failed: Callable[[], None], outcome: ProposalOutcome) -> None:
        self._proposing = False
        self._highest_epoch = max(self._highest_epoch, outcome.highest_epoch)
        if outcome.decided is None:
            self._view_discovery.note(outcome.latest)
            self._env.log.info("not_elected", reason=outcome.reason, highest=outcome.highest_epoch)
            on_failed()
            return
        self._learn(outcome.decided)
        if self._view is outcome.decided:
            self._become_primary(outcome.decided)

    def _become_primary(self, view: View) -> None:
        owner = PrimaryCallbacks(on_decided=self._learn, on_ended=self._end_primary)
        self._primary = Primary(self._env, self._witness, self._store, view, self._services, owner)
        self._primary.start()
        if self._election.retired:
            self._primary.release()

    def _end_primary(self, reason: str) -> None:
        primary, self._primary = self._primary, None
        if primary is None:
            return
        self._env.log.warning("primary_ended", term=primary.view.term, reason=reason)
        self._election.heard()
        if reason == "disk stalled":
            self._election.hold_off(STEP_DOWN_COOLDOWN_SECONDS)
        primary.end()

    # ---- messages

    def _on_primary_heard(self) -> None:
        """Another primary is obeyed."""
        self._election.heard()
        if self._primary is not None:
            self._end_primary("another primary leads")

    def _on_heartbeat(self, message: Heartbeat) -> None:
        if message.sent_at == RELEASED:
            self._on_release(message)
            return
        if message.view is not None:
            self._learn(message.view)
        granted = (
            message.primary != self._env.name
            and message.term >= self._store.position.term
            and self._witness.accepts_primary(message.epoch, message.term, message.primary)
        )
        if granted:
            self._on_primary_heard()
            self._witness.grant_lease(message.primary)
        self._answer_heartbeat(message, granted)

    def _on_release(self, message: Heartbeat) -> None:
        if self._witness.accepts_primary(message.epoch, message.term, message.primary):
            self._witness.release_lease(message.primary)
            self._election.released()

    def _answer_heartbeat(self, message: Heartbeat, granted: bool) -> None:
        position = self._store.position
        higher = max(self._witness.promised, position.term, message.epoch + 1)
        reply = HeartbeatReply(
            epoch=message.epoch if granted else higher,
            name=self._env.name,
            disk_id=self._env.me.disk_id,
            sent_at=message.sent_at,
            term=position.term,
            sequence=position.sequence,
            wall_ms=self._env.clock.wall_ms(),
            amnesiac=self._witness.amnesiac,
            leaving=self._witness.leaving,
        )
        address = self._env.address_of(message.primary, message.view or self._view)
        if address:
            self._env.network.datagram(address, reply)

    def _on_heartbeat_reply(self, message: HeartbeatReply) -> None:
        if self._primary is not None:
            self._primary.on_heartbeat_reply(message)

    def _on_prepare(self, message: Prepare, reply: Callable[[Struct], None]) -> None:
        self._highest_epoch = max(self._highest_epoch, message.epoch)
        self._witness.on_prepare(message, partial(self._after_promise, reply))

    def _after_promise(self, reply: Callable[[Struct], None], promise: Promise) -> None:
        if promise.granted and promise.accepted is None:
            self._bootstrap.wait_for_other()
        reply(promise)

    def _on_propose(self, message: Propose, reply: Callable[[Struct], None]) -> None:
        self._witness.on_propose(message, partial(self._after_acceptance, reply))

    def _after_acceptance(self, reply: Callable[[Struct], None], accepted: Accepted) -> None:
        if accepted.granted:
            self._election.heard()
        reply(accepted)

    def _on_epoch_query(self, message: EpochQuery, reply: Callable[[EpochReply], None]) -> None:
        reply(self._witness.epoch_reply())

    def _on_recovery_query(self, message: RecoveryQuery, reply: Callable[[RecoveryState], None]) -> None:
        me, position = self._env.me, self._store.position
        state = RecoveryState(
            name=me.name,
            address=me.address,
            zone=me.zone,
            region=me.region,
            disk_id=me.disk_id,
            promised=self._witness.promised,
            accepted=self._witness.accepted,
            decided=self.view,
            amnesiac=self._witness.amnesiac,
            leads=self.is_primary(),
            hears_primary=self._witness.hears_primary(),
            term=position.term,
            sequence=position.sequence,
        )
        reply(state)

    def _on_recovery_order(self, message: RecoveryOrder, reply: Callable[[RecoveryAnswer], None]) -> None:
        view = message.view
        if self._primary is not None:
            reply(RecoveryAnswer(False, self._env.name, "it leads"))
            return
        self._env.log.warning("recovery_by_hand", epoch=view.epoch, primary=view.primary)

        def answer(reason: str) -> None:
            reply(RecoveryAnswer(not reason, self._env.name, reason))

        self._witness.force(view, answer)

    def _on_append(self, message: Append, reply: Callable[[AppendReply], None]) -> None:
        self._backup.on_append(message, reply)

    def _on_repair_request(self, message: RepairRequest, reply: Callable[[RepairReply], None]) -> None:
        if self._primary is not None:
            reply(self._primary.repair(message))
        else:
            reply(RepairReply(granted=False, epoch=self._witness.promised, view=self._view))


def _load_or_create_record(
    recovered: RecoveredDisk, bootstrap: bool, random: Random, seeds: Sequence[str]
) -> tuple[EpochRecord, bool]:
    """The epoch record to go on from, and whether an earlier life may have made promises."""
    if recovered.epochs is not None:
        return decode_epochs(recovered.epochs), True
    disk_id = random.getrandbits(DISK_ID_BITS) + 1
    initial = InitialMembersRecord(takes_part=bootstrap, seeds=list(seeds))
    return EpochRecord(disk_id=disk_id, original=bootstrap, amnesiac=not bootstrap, initial=initial), not bootstrap
