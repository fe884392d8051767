"""Replication stream from the primary to one backup: its last known position, its liveness, and the appends to it."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from pipitledge.replication.environment import Environment
from pipitledge.replication.recent_log import Position
from pipitledge.replication.store import StateStore
from pipitledge.replication.timing import (
    APPEND_TIMEOUT_SECONDS,
    BACKUP_TIMEOUT_SECONDS,
    PROBE_INTERVAL_SECONDS,
    REFUSED_BACKUP_TIMEOUT_SECONDS,
    TCP_CHECK_AFTER_SECONDS,
    UNREACHABLE_SECONDS,
)
from pipitledge.wire.messages import Append, AppendReply, HeartbeatReply, View

REJOIN_BACKOFF_SECONDS = 0.5  # after a backup left the in-sync set, before it may rejoin; doubled each time
REJOIN_BACKOFF_LIMIT_SECONDS = 2.0
QUICK_FAILURE_SECONDS = 0.3  # a call that fails sooner was refused: the machine is up, but no process listens


class StreamOwner(Protocol):
    """The part of the primary that its streams use."""

    @property
    def view(self) -> View:
        """The view in force."""

    @property
    def committed(self) -> int:
        """Sequence of the last entry committed."""

    def on_backup_advanced(self) -> None:
        """Called when a backup has more durable entries, or has reported another disk."""

    def on_higher_epoch(self, epoch: int) -> None:
        """Called when a node has promised a higher epoch."""


class BackupStream:
    """Stream to one backup or learner.

    At most one append call is in flight; the next call carries all entries that have been added in the meantime.
    """

    def __init__(self, env: Environment, owner: StreamOwner, store: StateStore, name: str) -> None:
        """`name` is the backup; its position and disk are unknown until it answers."""
        self._env = env
        self._owner = owner
        self._store = store
        self.name = name
        self.disk_id = 0  # as last reported; 0: not reported yet
        self.amnesiac = False
        self.leaving = False  # the backup is about to stop
        self.durable = 0  # last sequence known to be durable on that disk
        self.history_confirmed = False  # its history is known to equal the primary's up to `durable`
        self.heartbeats_since_view = 0
        self._last_known_position: Position | None = None  # None: has to be asked for
        self._last_contact_at = env.clock.now()
        self._sent_at = 0.0
        self._in_flight = False
        self._attempt = 0
        self._connection_refused = False
        self._probed_at = -PROBE_INTERVAL_SECONDS
        self._rejoin_backoff = REJOIN_BACKOFF_SECONDS
        self._rejoin_after = 0.0

    # ---- liveness

    def silent_for(self) -> float:
        """Return the seconds since the last answer of the backup."""
        return self._env.clock.now() - self._last_contact_at

    def responsive(self) -> bool:
        """Whether the backup answers heartbeats and appends in time."""
        silent = self.silent_for()
        if silent > BACKUP_TIMEOUT_SECONDS or (self._connection_refused and silent > REFUSED_BACKUP_TIMEOUT_SECONDS):
            return False
        return not self._in_flight or self._env.clock.now() - self._sent_at <= BACKUP_TIMEOUT_SECONDS

    def unreachable(self) -> bool:
        """Whether the backup has been silent for so long that another node may replace it."""
        return self.silent_for() > UNREACHABLE_SECONDS

    def caught_up(self) -> bool:
        """Whether the backup has all committed entries on its disk, and is responsive."""
        return self.history_confirmed and self.durable >= self._owner.committed and self.responsive()

    def nearly_caught_up(self, lag: int) -> bool:
        """Whether the backup is responsive, lags by at most `lag` entries and may rejoin the in-sync set."""
        behind = self._store.position.sequence - self.durable
        return self.history_confirmed and behind <= lag and self.responsive() and not self.in_rejoin_backoff()

    def in_rejoin_backoff(self) -> bool:
        """Whether the backup left the in-sync set recently and may not rejoin yet."""
        return self._env.clock.now() < self._rejoin_after

    def on_removed(self) -> None:
        """Start the rejoin backoff, as the backup was removed from the in-sync set."""
        self._rejoin_after = self._env.clock.now() + self._rejoin_backoff
        self._rejoin_backoff = min(2 * self._rejoin_backoff, REJOIN_BACKOFF_LIMIT_SECONDS)

    def reset_timeouts(self) -> None:
        """Restart the timeouts: this node itself was suspended, so the silence of the backup means nothing."""
        self._last_contact_at = self._env.clock.now()
        self._sent_at = self._last_contact_at

    # ---- heartbeat replies

    def on_heartbeat_reply(self, message: HeartbeatReply) -> None:
        """Record that the backup is alive; if its position was unknown, continue from the reported one."""
        self._record_contact(message.disk_id)
        self.amnesiac = message.amnesiac
        self.leaving = message.leaving
        if self._last_known_position is None:
            self._last_known_position = Position(message.term, message.sequence)
        self.send_next()

    def _record_contact(self, disk_id: int) -> None:
        self._last_contact_at = self._env.clock.now()
        self._connection_refused = False
        if disk_id != self.disk_id:
            self.disk_id = disk_id
            self.durable = 0
            self.history_confirmed = False
            self._last_known_position = None
            self._owner.on_backup_advanced()

    # ---- entries

    def send_next(self) -> None:
        """Send the missing entries, unless a call is in flight."""
        if self._in_flight or self._last_known_position is None:
            return
        if not self._store.log.holds(self._last_known_position):
            self._probe()
            return
        if self._last_known_position == self._store.position and self.history_confirmed:
            return
        self._send(self._last_known_position, with_entries=True)

    def check_over_tcp(self) -> None:
        """Send an append to a silent backup: its answers to heartbeats, which are datagrams, may have been lost."""
        if (
            self.silent_for() > TCP_CHECK_AFTER_SECONDS
            and not self._in_flight
            and self._last_known_position is not None
        ):
            self._send(self._last_known_position, with_entries=self._store.log.holds(self._last_known_position))

    def _probe(self) -> None:
        """Send the primary's position to a backup that is behind the recent log, so that it starts a repair."""
        now = self._env.clock.now()
        if now >= self._probed_at + PROBE_INTERVAL_SECONDS:
            self._probed_at = now
            self._send(self._store.position, with_entries=False)

    def _send(self, previous: Position, with_entries: bool) -> None:
        view = self._owner.view
        request = Append(
            epoch=view.epoch,
            term=view.term,
            primary=self._env.name,
            previous_term=previous.term,
            previous_sequence=previous.sequence,
            entries=self._store.log.after(previous) if with_entries else [],
            committed=self._owner.committed,
        )
        self._in_flight = True
        self._attempt += 1
        self._sent_at = self._env.clock.now()
        address = self._env.address_of(self.name, view)
        self._env.network.call(address, request, APPEND_TIMEOUT_SECONDS, lambda reply: self._on_reply(previous, reply))

    def _on_reply(self, previous: Position, reply: Struct | None) -> None:
        self._in_flight = False
        if not isinstance(reply, AppendReply) or reply.name != self.name:  # the address may belong to another machine
            self._connection_refused = self._env.clock.now() - self._sent_at < QUICK_FAILURE_SECONDS
            self._last_known_position = None
            self.history_confirmed = False  # entries may have been stored and only the reply lost: ask for the position
            return
        self._record_contact(reply.disk_id)
        if reply.accepted:
            self._on_accepted(reply)
        else:
            self._on_rejected(previous, reply)

    def _on_accepted(self, reply: AppendReply) -> None:
        self._last_known_position = Position(reply.term, reply.sequence)
        self.durable = reply.sequence
        self.history_confirmed = True
        self._owner.on_backup_advanced()
        self.send_next()

    def _on_rejected(self, previous: Position, reply: AppendReply) -> None:
        reported = Position(reply.term, reply.sequence)
        if reply.epoch > self._owner.view.epoch:
            self._last_known_position = None
            self._owner.on_higher_epoch(reply.epoch)
        elif reply.diverged or reported == previous:
            self._last_known_position = None
        else:
            self._last_known_position = reported
            self.send_next()
