"""The primary's view of one backup: what it holds, whether it answers, and the entries on their way to it."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from pipitledge.replication.environment import Environment
from pipitledge.replication.recent_log import Position
from pipitledge.replication.store import StateStore
from pipitledge.replication.timing import (
    APPEND_TIMEOUT_SECONDS,
    TCP_CHECK_AFTER_SECONDS,
    PROBE_INTERVAL_SECONDS,
    REFUSED_BACKUP_TIMEOUT_SECONDS,
    BACKUP_TIMEOUT_SECONDS,
    UNREACHABLE_SECONDS,
)
from pipitledge.wire.messages import Append, AppendReply, HeartbeatReply, View

REJOIN_BACKOFF_SECONDS = 0.5  # after a backup left the in-sync set, before it joins again; doubled each time
REJOIN_BACKOFF_LIMIT_SECONDS = 2.0
QUICK_FAILURE_SECONDS = 0.3  # a call that fails sooner met a machine that answers, and no process


class StreamOwner(Protocol):
    """What a stream asks of the primary."""

    @property
    def view(self) -> View:
        """The view in force."""

    @property
    def committed(self) -> int:
        """Sequence of the last entry committed."""

    def on_backup_advanced(self) -> None:
        """A backup holds more than before, or holds it on another disk."""

    def on_higher_epoch(self, epoch: int) -> None:
        """A node promised a higher epoch."""


class BackupStream:
    """One backup or learner. At most one call is under way; the next one carries all that has come up since."""

    def __init__(self, env: Environment, owner: StreamOwner, store: StateStore, name: str) -> None:
        """Nothing is known of it yet."""
        self._env = env
        self._owner = owner
        self._store = store
        self.name = name
        self.disk_id = 0  # as it told last; 0: not yet
        self.amnesiac = False
        self.leaving = False  # it is about to stop
        self.durable = 0  # sequence it is known to hold on that disk
        self.confirmed = False  # it holds the same history, up to `durable`
        self.heartbeats_since_view = 0
        self._last_known_position: Position | None = None  # what it holds, so far as is known
        self._last_contact_at = env.clock.now()
        self._sent_at = 0.0
        self._in_flight = False
        self._attempt = 0
        self._refused = False
        self._probed_at = -PROBE_INTERVAL_SECONDS
        self._rejoin_backoff = REJOIN_BACKOFF_SECONDS
        self._rejoin_after = 0.0

    # ---- whether it is there

    def silent_for(self) -> float:
        """Seconds since it last answered anything."""
        return self._env.clock.now() - self._last_contact_at

    def responsive(self) -> bool:
        """Whether it answers heartbeats and appends."""
        silent = self.silent_for()
        if silent > BACKUP_TIMEOUT_SECONDS or (self._refused and silent > REFUSED_BACKUP_TIMEOUT_SECONDS):
            return False
        return not self._in_flight or self._env.clock.now() - self._sent_at <= BACKUP_TIMEOUT_SECONDS

    def unreachable(self) -> bool:
        """Whether it has been silent so long that another may take its place."""
        return self.silent_for() > UNREACHABLE_SECONDS

    def caught_up(self) -> bool:
        """Whether it holds all that is committed, and answers."""
        return self.confirmed and self.durable >= self._owner.committed and self.responsive()

    def nearly_caught_up(self, lag: int) -> bool:
        """Whether it follows with few entries missing, and is not held off."""
        behind = self._store.position.sequence - self.durable
        return self.confirmed and behind <= lag and self.responsive() and not self.in_rejoin_backoff()

    def in_rejoin_backoff(self) -> bool:
        """Whether it left the in-sync set a short time ago."""
        return self._env.clock.now() < self._rejoin_after

    def left(self) -> None:
        """It was taken out of the in-sync set."""
        self._rejoin_after = self._env.clock.now() + self._rejoin_backoff
        self._rejoin_backoff = min(2 * self._rejoin_backoff, REJOIN_BACKOFF_LIMIT_SECONDS)

    def reset_timeouts(self) -> None:
        """This node itself was asleep: nobody's silence counts."""
        self._last_contact_at = self._env.clock.now()
        self._sent_at = self._last_contact_at

    # ---- what it tells

    def on_heartbeat_reply(self, message: HeartbeatReply) -> None:
        """It is alive; if its position was not known, go on from what it says."""
        self._heard(message.disk_id)
        self.amnesiac = message.amnesiac
        self.leaving = message.leaving
        if self._last_known_position is None:
            self._last_known_position = Position(message.term, message.sequence)
        self.send_next()

    def _heard(self, disk_id: int) -> None:
        self._last_contact_at = self._env.clock.now()
        self._refused = False
        if disk_id != self.disk_id:
            self.disk_id = disk_id
            self.durable = 0
            self.confirmed = False
            self._last_known_position = None
            self._owner.on_backup_advanced()

    # ---- entries

    def send_next(self) -> None:
        """Send what it lacks, unless a call is under way."""
        if self._in_flight or self._last_known_position is None:
            return
        if not self._store.log.holds(self._last_known_position):
            self._probe()
            return
        if self._last_known_position == self._store.position and self.confirmed:
            return
        self._send(self._last_known_position, with_entries=True)

    def check(self) -> None:
        """Ask over TCP whether a backup is there, whose answers to heartbeats may have been lost."""
        if self.silent_for() > TCP_CHECK_AFTER_SECONDS and not self._in_flight and self._last_known_position is not None:
            self._send(self._last_known_position, with_entries=self._store.log.holds(self._last_known_position))

    def _probe(self) -> None:
        """Show a backup that needs more than the log holds where this node is, so that it has itself repaired."""
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
        if not isinstance(reply, AppendReply) or reply.name != self.name:  # another machine may have the address by now
            self._refused = self._env.clock.now() - self._sent_at < QUICK_FAILURE_SECONDS
            self._last_known_position = None
            self.confirmed = False  # it may have stored the entries and only its answer was lost: ask
            return
        self._heard(reply.disk_id)
        if reply.accepted:
            self._on_accepted(reply)
        else:
            self._on_rejected(previous, reply)

    def _on_accepted(self, reply: AppendReply) -> None:
        self._last_known_position = Position(reply.term, reply.sequence)
        self.durable = reply.sequence
        self.confirmed = True
        self._owner.on_backup_advanced()
        self.send_next()

    def _on_rejected(self, previous: Position, reply: AppendReply) -> None:
        told = Position(reply.term, reply.sequence)
        if reply.epoch > self._owner.view.epoch:
            self._last_known_position = None
            self._owner.on_higher_epoch(reply.epoch)
        elif reply.diverged or told == previous:
            self._last_known_position = None
        else:
            self._last_known_position = told
            self.send_next()
