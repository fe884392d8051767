"""A replica: one voting node's part in replication, and the class that the programs use."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from random import Random

from msgspec import Struct

from pipitledge.replication.amnesia import AmnesiaRecovery
from pipitledge.replication.backup import Backup
from pipitledge.replication.bootstrap import Bootstrap, bootstrap_view
from pipitledge.replication.election import Election, takeover_view
from pipitledge.replication.environment import Environment, EventLog, MembershipSource, NodeInfo
from pipitledge.replication.epochs import next_bootstrap_epoch, next_epoch
from pipitledge.replication.initial_members import (
    InitialMembersAcceptor,
    InitialMembersProposal,
    InitialOutcome,
    next_ballot,
)
from pipitledge.replication.interface import PrimaryService
from pipitledge.replication.primary import RELEASED, Primary, PrimaryCallbacks
from pipitledge.replication.proposal import DeriveView, Proposal, ProposalOutcome
from pipitledge.replication.quorum import Tolerance, is_in_sync, member_of
from pipitledge.replication.records import EpochRecord, InitialMembersRecord, RecoveredDisk, decode_epochs
from pipitledge.replication.store import StateStore
from pipitledge.replication.timing import (
    BOOTSTRAP_PROMISE_GRACE_SECONDS,
    PROMISE_GRACE_SECONDS,
    STEP_DOWN_COOLDOWN_SECONDS,
)
from pipitledge.replication.view_discovery import ViewDiscovery
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
    """Votes on views, follows the primary, and becomes primary when it is elected. Implements `Replicator`."""

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
        """`recovered` is the content of `disk`; the system is not bootstrapped while `may_bootstrap` returns False.

        `seeds` are the internal addresses of all seeds, including this node if it is one; a majority of the seeds of
        the first start decides on the initial members. Without any seeds this node alone decides.
        """
        record, restarted = _load_or_create_record(recovered, bootstrap, random, seeds or [me.address])
        member = Member(me.name, me.address, me.zone, me.region, record.disk_id)
        self._env = Environment(clock, network, disk, random, member, tolerance, membership, log)
        self._services = services
        self._witness = Witness(self._env, record, restarted)
        self._initial_seeds = record.initial.seeds
        self._initial_members: list[Member] = []  # empty until they are decided
        self._highest_ballot = record.initial.promised  # highest ballot that any seed reported
        self._acceptor = InitialMembersAcceptor(
            me.address, record.initial, self._witness.persist, lambda: self._bootstrap.known_members()
        )
        self._store = StateStore(self._env, recovered)
        self._view: View | None = None
        self._primary: Primary | None = None
        self._proposing = False
        self._highest_epoch = 0  # highest epoch that any node reported
        self._backup = Backup(self._env, self._witness, self._store, self._newest_known_view, self._on_primary_contact)
        self._view_discovery = ViewDiscovery(self._env, self._latest_view)
        self._election = Election(
            self._env, self._witness, self._latest_view, self._view_discovery, self._propose_takeover
        )
        self._amnesia = AmnesiaRecovery(self._env, self._witness, self._latest_view, lambda: self.view)
        self._bootstrap = Bootstrap(self._env, self._is_bootstrapped, may_bootstrap, self._propose_bootstrap)

    def start(self) -> None:
        """Start timers and recovery; call `register` first."""
        self._witness.persist(lambda: None)
        if self._witness.amnesiac:
            self._amnesia.start()
        elif self._witness.original and self._witness.accepted is None:
            self._bootstrap.start()
        self._election.start()

    def register(self, handlers: Handlers) -> None:
        """Register the handlers of all replication messages."""
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
        """Prepare a planned stop: give up the primary role, so that a backup takes over at once."""
        self._election.retired = True
        self._witness.leaving = True
        if self._primary is not None:
            self._primary.release()

    def is_in_sync_member(self) -> bool:
        """Whether this node is in the in-sync set of the latest known view, so that its data may still be needed."""
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
        """Whether this node took part in the first start and is no member yet; published as `bootstrap`."""
        return self._witness.original

    def is_primary(self) -> bool:
        """Whether this node is primary, has activated its services and holds its lease."""
        return self._primary is not None and self._primary.is_serving()

    def write(self, writes: list[Write], on_committed: Callable[[], None] | None = None) -> None:
        """Append a batch; ignored unless this node is primary."""
        if self._primary is not None:
            self._primary.write(writes, on_committed)

    def after_commit(self, action: Callable[[], None]) -> None:
        """Run `action` once everything written so far is committed; never if the role is lost before."""
        if self._primary is not None:
            self._primary.after_commit(action)

    def status(self) -> dict[str, object]:
        """Return the status section for operators."""
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

    def _newest_known_view(self) -> View | None:
        return self._view

    def _latest_view(self) -> View | None:
        """Return the known or accepted view of the highest epoch; before the first one, a view reported by others."""
        self._learn_from_membership()
        views = [view for view in (self._view, self._witness.accepted) if view is not None]
        return max(views, key=lambda view: view.epoch, default=self._view_discovery.discovered)

    def _learn_from_membership(self) -> None:
        view = self._env.membership.view
        if view is not None and (self._view is None or view.epoch > self._view.epoch):
            self._learn(view)

    def _learn(self, view: View) -> None:
        """Switch to a view that is known to be decided, unless a later one is known."""
        if self._view is not None and view.epoch <= self._view.epoch:
            return
        self._view = view
        self._highest_epoch = max(self._highest_epoch, view.epoch)
        self._witness.learn(view)
        self._election.reset_timer()
        self._env.membership.offer_view(view)
        self._env.log.info(
            "view", epoch=view.epoch, term=view.term, primary=view.primary, in_sync=",".join(view.in_sync)
        )
        if self._primary is not None and view.term != self._primary.view.term:
            self._end_primary("another primary was elected")

    def _is_bootstrapped(self) -> bool:
        return self._latest_view() is not None

    # ---- proposals

    def _propose_takeover(self) -> None:
        latest = self._latest_view()
        if self._primary is not None or latest is None:
            return
        epoch = next_epoch(max(self._witness.promised, latest.epoch, self._highest_epoch), self._env.name)
        self._propose(epoch, latest, partial(takeover_view, self._env, epoch), self._election.on_failed)

    def _propose_bootstrap(self, known: list[Member]) -> None:
        """Get the initial members decided, then propose a first view with exactly these members."""
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
        """Propose the first view if this node is one of the decided initial members; else leave it to them."""
        start = View(members=self._initial_members)
        if member_of(start, self._env.name) is None:
            self._bootstrap.on_failed()
            return
        epoch = next_bootstrap_epoch(max(self._witness.promised, self._highest_epoch), self._env.name)
        derive = partial(bootstrap_view, self._env, epoch, start)
        self._propose(epoch, start, derive, self._bootstrap.on_failed, BOOTSTRAP_PROMISE_GRACE_SECONDS)

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
            self._view_discovery.record_view(outcome.latest)
            self._env.log.info("not_elected", reason=outcome.reason, highest=outcome.highest_epoch)
            on_failed()
            return
        self._learn(outcome.decided)
        if self._view is outcome.decided:
            self._become_primary(outcome.decided)

    def _become_primary(self, view: View) -> None:
        callbacks = PrimaryCallbacks(on_decided=self._learn, on_ended=self._end_primary)
        self._primary = Primary(self._env, self._witness, self._store, view, self._services, callbacks)
        self._primary.start()
        if self._election.retired:
            self._primary.release()

    def _end_primary(self, reason: str) -> None:
        primary, self._primary = self._primary, None
        if primary is None:
            return
        self._env.log.warning("primary_ended", term=primary.view.term, reason=reason)
        self._election.reset_timer()
        if reason == "disk stalled":
            self._election.back_off(STEP_DOWN_COOLDOWN_SECONDS)
        primary.end()

    # ---- messages

    def _on_primary_contact(self) -> None:
        """Reset the election timer, as another primary is active, and give up the primary role."""
        self._election.reset_timer()
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
            self._on_primary_contact()
            self._witness.grant_lease(message.primary)
        self._answer_heartbeat(message, granted)

    def _on_release(self, message: Heartbeat) -> None:
        if self._witness.accepts_primary(message.epoch, message.term, message.primary):
            self._witness.release_lease(message.primary)
            self._election.on_lease_released()

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
            self._election.reset_timer()
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
            reply(RecoveryAnswer(False, self._env.name, "it is the primary"))
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
    """Return the epoch record to continue from, and whether an earlier process may have made promises."""
    if recovered.epochs is not None:
        return decode_epochs(recovered.epochs), True
    disk_id = random.getrandbits(DISK_ID_BITS) + 1
    initial = InitialMembersRecord(takes_part=bootstrap, seeds=list(seeds))
    return EpochRecord(disk_id=disk_id, original=bootstrap, amnesiac=not bootstrap, initial=initial), not bootstrap
