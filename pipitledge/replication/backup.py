"""The backup role: accepts entries from the primary, and repairs its state where it differs from the primary's."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from pipitledge.replication.environment import Environment
from pipitledge.replication.recent_log import Position
from pipitledge.replication.state_map import StateMap
from pipitledge.replication.store import StateStore
from pipitledge.replication.timing import REPAIR_RETRY_SECONDS, REPAIR_TIMEOUT_SECONDS
from pipitledge.replication.witness import Witness
from pipitledge.wire.messages import Append, AppendReply, RepairReply, RepairRequest, View


class _Repair(Struct):
    """A repair in progress: ranges of `copy` are replaced; the node's own state is replaced only at the end."""

    primary: str
    term: int
    copy: StateMap
    running: bool = False


class Backup:
    """Follows any primary that the witness accepts."""

    def __init__(
        self,
        env: Environment,
        witness: Witness,
        store: StateStore,
        view: Callable[[], View | None],
        on_primary_contact: Callable[[], None],
    ) -> None:
        """`view` returns the newest view known; `on_primary_contact` is called for each append of a primary."""
        self._env = env
        self._witness = witness
        self._store = store
        self._view = view
        self._on_primary_contact = on_primary_contact
        self._repair: _Repair | None = None

    @property
    def repairing(self) -> bool:
        """Whether a repair is in progress."""
        return self._repair is not None

    # ---- entries

    def on_append(self, message: Append, reply: Callable[[AppendReply], None]) -> None:
        """Append entries that directly follow this node's state; reply once they are durable."""
        if not self._accepts_primary(message.epoch, message.term, message.primary):
            reply(self._refusal(diverged=False))
            return
        self._on_primary_contact()
        if Position(message.previous_term, message.previous_sequence) != self._store.position:
            reply(self._refusal(diverged=not message.entries))
            if not message.entries:
                self._start_repair(message.primary, message.term)
            return
        self._repair = None
        followed = self._witness.promise_to_primary(message.epoch, message.primary)
        if message.entries:
            self._store.append(message.entries)
        answer = self._reply_message(accepted=True)
        self._when_durable(followed, lambda: reply(answer))

    def _accepts_primary(self, epoch: int, term: int, primary: str) -> bool:
        return (
            primary != self._env.name
            and term >= self._store.position.term
            and self._witness.accepts_primary(epoch, term, primary)
        )

    def _when_durable(self, with_promise: bool, action: Callable[[], None]) -> None:
        if with_promise:
            self._witness.persist(lambda: self._store.when_durable(action))
        else:
            self._store.when_durable(action)

    def _reply_message(self, accepted: bool, diverged: bool = False) -> AppendReply:
        position = self._store.position
        return AppendReply(
            accepted=accepted,
            epoch=self._witness.promised,
            name=self._env.name,
            disk_id=self._env.me.disk_id,
            term=position.term,
            sequence=position.sequence,
            diverged=diverged,
        )

    def _refusal(self, diverged: bool) -> AppendReply:
        return self._reply_message(accepted=False, diverged=diverged)

    # ---- repair

    def _start_repair(self, primary: str, term: int) -> None:
        repair = self._repair
        if repair is None or repair.primary != primary or repair.term != term:
            repair = self._repair = _Repair(primary, term, self._store.map.fork())
        if not repair.running:
            self._request_ranges(repair)

    def _request_ranges(self, repair: _Repair) -> None:
        if self._repair is not repair:
            return
        repair.running = True
        request = RepairRequest(
            name=self._env.name,
            disk_id=self._env.me.disk_id,
            epoch=self._witness.promised,
            digests=repair.copy.digests(),
        )
        address = self._env.address_of(repair.primary, self._view())
        self._env.network.call(address, request, REPAIR_TIMEOUT_SECONDS, lambda reply: self._on_reply(repair, reply))

    def _on_reply(self, repair: _Repair, reply: Struct | None) -> None:
        if self._repair is not repair:
            return
        if not isinstance(reply, RepairReply):
            self._retry_later(repair)
            return
        if (
            not reply.granted
            or reply.term != repair.term
            or not self._accepts_primary(reply.epoch, reply.term, repair.primary)
        ):
            self._repair = None
            return
        for content in reply.contents:
            repair.copy.replace_range(content)
        if reply.complete:
            self._finish(repair, reply)
        else:
            self._request_ranges(repair)

    def _retry_later(self, repair: _Repair) -> None:
        """Request again after `REPAIR_RETRY_SECONDS`, unless the primary's next probe has done so before."""
        repair.running = False
        when = self._env.clock.now() + REPAIR_RETRY_SECONDS
        self._env.clock.at(when, lambda: None if repair.running else self._request_ranges(repair))

    def _finish(self, repair: _Repair, reply: RepairReply) -> None:
        self._repair = None
        if self._witness.promise_to_primary(reply.epoch, repair.primary):
            self._witness.persist(lambda: None)
        self._store.replace(repair.copy, Position(reply.term, reply.sequence))
        self._env.log.info("state_repaired", primary=repair.primary, term=reply.term, sequence=reply.sequence)
