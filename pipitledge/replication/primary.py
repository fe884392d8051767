"""The primary role: appends and commits entries, renews the lease, and changes the view."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial

from msgspec import Struct
from msgspec.structs import replace

from pipitledge.replication.environment import Environment
from pipitledge.replication.epochs import next_epoch
from pipitledge.replication.interface import PrimaryService
from pipitledge.replication.lease import Lease
from pipitledge.replication.proposal import Proposal, ProposalOutcome
from pipitledge.replication.quorum import is_in_sync, member_of, voters
from pipitledge.replication.store import StateStore
from pipitledge.replication.stream import BackupStream
from pipitledge.replication.target_view import ViewInputs, target_view, wants_learners
from pipitledge.replication.timing import (
    DISK_STALL_SECONDS,
    HEARTBEAT_INTERVAL_SECONDS,
    HEARTBEATS_PER_VIEW,
    HEARTBEATS_WITH_NEW_VIEW,
    LEASE_LOST_TIMEOUT_SECONDS,
    MAX_JOINING_LAG_ENTRIES,
    MAX_REPAIR_BYTES,
    RELEASE_WAIT_SECONDS,
    VIEW_CHANGE_RETRY_SECONDS,
)
from pipitledge.replication.witness import Witness
from pipitledge.runtime.ports import Timer
from pipitledge.wire.messages import (
    Entry,
    Heartbeat,
    HeartbeatReply,
    Member,
    Promise,
    RangeContent,
    RepairReply,
    RepairRequest,
    View,
    Write,
)

RELEASED = -1.0  # `sent_at` of a heartbeat that gives up the lease
RELEASE_REPEATS = 3  # datagrams may be lost
RELEASE_REPEAT_SECONDS = 0.03


class _CommitCallback(Struct):
    """A callback to run once an entry is committed."""

    sequence: int
    action: Callable[[], None]


class PrimaryCallbacks(Struct):
    """Callbacks of the primary to its replica."""

    on_decided: Callable[[View], None]  # a view change of this primary was decided
    on_ended: Callable[[str], None]  # the primary gave up its role, with the reason


class Primary:
    """This node as primary, for one term."""

    def __init__(
        self,
        env: Environment,
        witness: Witness,
        store: StateStore,
        view: View,
        services: list[PrimaryService],
        callbacks: PrimaryCallbacks,
    ) -> None:
        """`view` is decided, and this node is its primary."""
        self._env = env
        self._witness = witness
        self._store = store
        self._view = view
        self._services = services
        self._callbacks = callbacks
        self._lease = Lease(view)
        self._started_at = env.clock.now()
        self._lease_last_held_at = self._started_at
        self._streams: dict[str, BackupStream] = {}
        self._proposed: list[View] = []  # proposed views that may have been decided
        self._in_sync_suffices = False  # whether the in-sync set satisfies the fault tolerance
        self._commit_members: list[Member] = []
        self._joining: set[str] = set()  # backups that commits already wait for, so that they can join
        self._own_durable = 0
        self._committed = 0
        self._first_sequence = 0
        self._waiting: deque[_CommitCallback] = deque()
        self._running_callbacks = False
        self._active = True
        self._started = False
        self._releasing_until: float | None = None
        self._proposing = False
        self._superseded = False
        self._next_change_at = 0.0
        self._highest_seen_epoch = 0
        self._ticked_at = self._started_at
        self._timer: Timer | None = None

    # ---- interface for the services and the replica

    @property
    def view(self) -> View:
        """The view in force."""
        return self._view

    @property
    def committed(self) -> int:
        """Sequence of the last committed entry."""
        return self._committed

    @property
    def started(self) -> bool:
        """Whether the services have been activated."""
        return self._started

    def is_serving(self) -> bool:
        """Whether the services are active and the lease is held, so that writes are accepted."""
        return self._started and self._releasing_until is None and self._lease.held(self._env.clock.now())

    def start(self) -> None:
        """Append the first entry of the term, and start the heartbeats."""
        self._update_commit_members()
        self._first_sequence = self._store.position.sequence + 1
        self._committed = self._store.position.sequence
        self._append([])
        self._tick()

    def write(self, writes: list[Write], on_committed: Callable[[], None] | None) -> None:
        """Append a batch; `on_committed` is called once it is committed."""
        if not self._active or not self._started:
            return
        self._append(writes)
        if on_committed is not None:
            self._waiting.append(_CommitCallback(self._store.position.sequence, on_committed))
        self._advance()

    def after_commit(self, action: Callable[[], None]) -> None:
        """Run `action` once everything written so far is committed."""
        if not self._active or not self._started:
            return
        self._waiting.append(_CommitCallback(self._store.position.sequence, action))
        self._run_committed()

    def end(self) -> None:
        """End this term: deactivate the services and drop all waiting callbacks."""
        if not self._active:
            return
        self._active = False
        self._waiting.clear()
        if self._timer is not None:
            self._timer.cancel()
        if self._started:
            for service in reversed(self._services):
                service.deactivated()

    def release(self) -> None:
        """Stop gracefully: finish the writes in progress, then give up the lease."""
        if self._releasing_until is None:
            self._releasing_until = self._env.clock.now() + RELEASE_WAIT_SECONDS
            self._check_release()
            if self._active:
                self._env.clock.at(self._releasing_until, self._check_release)

    def _check_release(self) -> None:
        if not self._active or self._releasing_until is None:
            return
        finished = self._committed >= self._store.position.sequence
        if finished or self._env.clock.now() >= self._releasing_until:
            self._release_lease("released")

    def _release_lease(self, reason: str) -> None:
        names = [name for name in self._streams if member_of(self._view, name) is not None]
        for repeat in range(RELEASE_REPEATS):
            when = self._env.clock.now() + repeat * RELEASE_REPEAT_SECONDS
            self._env.clock.at(when, lambda: self._send_release(names))
        self._witness.release_lease(self._env.name)
        self._callbacks.on_ended(reason)

    def _send_release(self, names: list[str]) -> None:
        for name in names:
            message = self._heartbeat()
            message.sent_at = RELEASED
            self._env.network.datagram(self._env.address_of(name, self._view), message)

    # ---- entries

    def _append(self, writes: list[Write]) -> None:
        entry = Entry(term=self._view.term, sequence=self._store.position.sequence + 1, writes=writes)
        self._store.append([entry])
        self._store.when_durable(lambda: self._on_own_durable(entry.sequence))
        self._send_to_backups()

    def _on_own_durable(self, sequence: int) -> None:
        self._own_durable = max(self._own_durable, sequence)
        self._advance()

    def _send_to_backups(self) -> None:
        for stream in self._streams.values():
            stream.send_next()

    def on_backup_advanced(self) -> None:
        """Commit what has become durable on all required disks, as a backup has advanced or changed its disk."""
        self._advance()
        if self._active and self._joining:
            self._reconcile()

    def _advance(self) -> None:
        """Commit the entries that are durable on all members that commits wait for."""
        if not self._active:
            return
        self._committed = max(self._committed, self._durable_on_all())
        self._run_committed()
        self._check_release()

    def _run_committed(self) -> None:
        """Run the callbacks of committed entries, but only while the lease excludes another primary."""
        if self._active and self._lease.held(self._env.clock.now()):
            self._start_services()
            self._run_commit_callbacks()

    def _durable_on_all(self) -> int:
        """Return the last sequence durable in the in-sync sets of the view and of all views that may replace it."""
        if not self._in_sync_suffices:
            return 0
        durable = self._own_durable
        for member in self._commit_members:
            durable = min(durable, self._durable_on(member))
        for name in self._joining:
            durable = min(durable, self._streams[name].durable)
        return durable

    def _durable_on(self, member: Member) -> int:
        stream = self._streams.get(member.name)
        if stream is None or not stream.history_confirmed or stream.disk_id != member.disk_id:
            return 0
        return stream.durable

    def _update_commit_members(self) -> None:
        """Update the members that commits wait for; called when the view or the proposed views have changed."""
        self._in_sync_suffices = self._env.tolerance.satisfied_by(self._view.in_sync, self._view.members)
        self._commit_members = [
            member
            for view in [self._view, *self._proposed]
            for member in view.members
            if member.name in view.in_sync and member.name != self._env.name
        ]

    def _start_services(self) -> None:
        if self._started or self._committed < self._first_sequence:
            return
        self._started = True
        self._env.log.info("primary_active", term=self._view.term, keys=len(self._store.map))
        state = self._store.map.as_dict()
        for service in self._services:
            service.activated(self._view.term, state)

    def _run_commit_callbacks(self) -> None:
        if self._running_callbacks:
            return
        self._running_callbacks = True
        try:
            while self._active and self._waiting and self._waiting[0].sequence <= self._committed:
                self._waiting.popleft().action()
        finally:
            self._running_callbacks = False

    # ---- heartbeats and lease

    def _tick(self) -> None:
        if not self._active:
            return
        now = self._env.clock.now()
        self._timer = self._env.clock.at(now + HEARTBEAT_INTERVAL_SECONDS, self._tick)
        if now - self._ticked_at > 2 * HEARTBEAT_INTERVAL_SECONDS:
            self._reset_stream_timeouts()
        self._ticked_at = now
        self._update_streams()
        self._send_heartbeats(now)
        self._check_health(now)
        if self._active:
            self._reconcile()
            self._advance()  # commits may no longer wait for a member that was removed

    def _reset_stream_timeouts(self) -> None:
        for stream in self._streams.values():
            stream.reset_timeouts()

    def _update_streams(self) -> None:
        """Keep one stream for each member and for each other voting node, which may become a member."""
        names = [member.name for member in voters(self._view)]
        names += [member.name for view in self._proposed for member in voters(view)]
        names += [node.name for node in self._env.membership.counted()]
        for name in names:
            if name != self._env.name and name not in self._streams:
                self._streams[name] = BackupStream(self._env, self, self._store, name)
        for name in set(self._streams) - set(names):
            del self._streams[name]
            self._joining.discard(name)

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            epoch=self._view.epoch,
            term=self._view.term,
            primary=self._env.name,
            sent_at=self._env.clock.now(),
            committed=self._committed,
            wall_ms=self._env.clock.wall_ms(),
        )

    def _send_heartbeats(self, now: float) -> None:
        if self._witness.accepts_primary(self._view.epoch, self._view.term, self._env.name):
            self._witness.grant_lease(self._env.name)
            self._lease.answered(self._env.name, now)
            self._run_committed()
        else:
            self.on_higher_epoch(self._witness.promised)
        for stream in self._streams.values():
            message = self._heartbeat()
            if self._heartbeat_carries_view(stream):
                message.view = self._view
            self._env.network.datagram(self._env.address_of(stream.name, self._view), message)
            stream.send_next()
            stream.check_over_tcp()

    def _heartbeat_carries_view(self, stream: BackupStream) -> bool:
        count = stream.heartbeats_since_view
        stream.heartbeats_since_view = count + 1
        return count < HEARTBEATS_WITH_NEW_VIEW or count % HEARTBEATS_PER_VIEW == 0

    def on_heartbeat_reply(self, message: HeartbeatReply) -> None:
        """Count a member's answer for the lease, or record the higher epoch that it reports."""
        stream = self._streams.get(message.name)
        if stream is None or not self._active:
            return
        if message.epoch > self._view.epoch:
            self.on_higher_epoch(message.epoch)
        elif not message.amnesiac and self._sent_in_this_term(message):
            self._lease.answered(message.name, message.sent_at)
            self._run_committed()
        stream.on_heartbeat_reply(message)

    def _sent_in_this_term(self, reply: HeartbeatReply) -> bool:
        """Whether the answered heartbeat belongs to this term, and not to an earlier process with another clock."""
        return reply.epoch >= self._view.term and self._started_at <= reply.sent_at <= self._env.clock.now()

    def on_higher_epoch(self, epoch: int) -> None:
        """Record that a node promised a higher epoch; unless another primary appears, a view above it is proposed."""
        if epoch > self._highest_seen_epoch:
            self._highest_seen_epoch = epoch
            self._delay_view_change()

    def _delay_view_change(self) -> None:
        delay = VIEW_CHANGE_RETRY_SECONDS * (1 + self._env.random.random())
        self._next_change_at = max(self._next_change_at, self._env.clock.now() + delay)

    def _check_health(self, now: float) -> None:
        if self._lease.held(now):
            self._lease_last_held_at = now
        elif now - self._lease_last_held_at > LEASE_LOST_TIMEOUT_SECONDS:
            self._callbacks.on_ended("lease lost")
        if self._active and self._store.stalled_for() > DISK_STALL_SECONDS and self._has_successor():
            self._release_lease("disk stalled")

    def _has_successor(self) -> bool:
        """Whether another node could become primary."""
        return any(
            stream.responsive() and not stream.amnesiac and is_in_sync(self._view, stream.name, stream.disk_id)
            for stream in self._streams.values()
        )

    # ---- view changes

    def _view_inputs(self) -> ViewInputs:
        return ViewInputs(
            me=self._env.me,
            tolerance=self._env.tolerance,
            backups=self._streams,
            voting_nodes={node.name: node for node in self._env.membership.counted() if node.name != self._env.name},
        )

    def _reconcile(self) -> None:
        """Start a view change if the target view differs from the current one, or a higher epoch was seen."""
        now = self._env.clock.now()
        self._update_joining(now)
        if self._proposing or now < self._next_change_at or self._releasing_until is not None:
            return
        renew = self._highest_seen_epoch > self._view.epoch
        if renew or (self._lease.held(now) and target_view(self._view_inputs(), self._view, True) != self._view):
            self._propose()

    def _update_joining(self, now: float) -> None:
        inputs = self._view_inputs()
        learners = wants_learners(inputs, self._view)
        for name, stream in self._streams.items():
            inside = is_in_sync(self._view, name, stream.disk_id)
            wanted = learners or member_of(self._view, name) is not None
            if wanted and not inside and self._lease.held(now) and stream.nearly_caught_up(MAX_JOINING_LAG_ENTRIES):
                self._joining.add(name)
            else:
                self._joining.discard(name)

    def _propose(self) -> None:
        self._proposing = True
        highest = max(self._view.epoch, self._witness.promised, self._highest_seen_epoch)
        epoch = next_epoch(highest, self._env.name)
        derive = partial(self._derive, epoch)
        Proposal(self._env, self._witness, epoch, self._view, derive, self._on_outcome).run()

    def _derive(self, epoch: int, base: View | None, promises: dict[str, Promise]) -> View | None:
        if not self._active:
            return None
        if base is None or base.primary != self._env.name or base.term != self._view.term:
            self._superseded = True
            return None
        target = target_view(self._view_inputs(), base, base.epoch == self._view.epoch)
        view = replace(target, epoch=epoch)
        self._proposed.append(view)
        self._update_commit_members()
        self._update_streams()
        return view

    def _on_outcome(self, outcome: ProposalOutcome) -> None:
        self._proposing = False
        if not self._active:
            return
        if outcome.decided is not None:
            self._apply_view(outcome.decided)
            return
        self._env.log.info("view_not_changed", epoch=self._view.epoch, reason=outcome.reason)
        self._delay_view_change()
        self._highest_seen_epoch = max(
            self._highest_seen_epoch, outcome.highest_epoch if outcome.latest is not None else 0
        )
        if self._superseded:
            self._callbacks.on_ended("another primary may have been elected")

    def _apply_view(self, view: View) -> None:
        """Switch to a view that was decided."""
        for name in set(self._view.in_sync) - set(view.in_sync):
            if name in self._streams:
                self._streams[name].on_removed()
        self._view = view
        self._proposed.clear()
        self._update_commit_members()
        self._lease.change_view(view)
        self._update_streams()
        for stream in self._streams.values():
            stream.heartbeats_since_view = 0
        self._next_change_at = self._env.clock.now()
        self._callbacks.on_decided(view)
        self._send_heartbeats(self._env.clock.now())
        self._update_joining(self._env.clock.now())
        self._advance()

    # ---- repair

    def repair(self, message: RepairRequest) -> RepairReply:
        """Return the ranges that differ from the backup's digests, up to about `MAX_REPAIR_BYTES`."""
        contents: list[RangeContent] = []
        differing = self._store.map.differing(message.digests)
        size = 0
        for index in differing:
            if contents and size >= MAX_REPAIR_BYTES:
                break
            content = self._store.map.content_of(index)
            contents.append(content)
            size += sum(len(write.key) + len(write.value) + 16 for write in content.writes)
        return RepairReply(
            granted=True,
            epoch=self._view.epoch,
            term=self._store.position.term,
            sequence=self._store.position.sequence,
            contents=contents,
            complete=len(contents) == len(differing),
            view=self._view,
        )
