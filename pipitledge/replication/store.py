"""Replicated state of this node: the map in memory, the recent log, and the writes to disk."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from msgspec import Struct

from pipitledge.replication.environment import Environment
from pipitledge.replication.recent_log import Position, RecentLog
from pipitledge.replication.records import (
    RecoveredDisk,
    Snapshot,
    decode_entries,
    decode_snapshot,
    encode_entries,
    encode_snapshot,
)
from pipitledge.replication.state_map import StateMap
from pipitledge.wire.messages import Entry


class _PendingWrite(Struct):
    """A write that is not durable yet."""

    number: int
    submitted_at: float


class StateStore:
    """State as of `position`; every entry that is applied is also submitted to the disk, in the same order."""

    def __init__(self, env: Environment, recovered: RecoveredDisk) -> None:
        """Rebuild the state from the snapshot and the log of the disk."""
        self._env = env
        self.map = StateMap()
        self.position = Position()
        self._submitted = 0
        self._durable = 0
        self._pending: deque[_PendingWrite] = deque()
        self._waiting: deque[tuple[int, Callable[[], None]]] = deque()
        self._load_snapshot(recovered.snapshot)
        self.log = RecentLog(self.position)
        for record in recovered.entries:
            self._apply(decode_entries(record))

    def _load_snapshot(self, data: bytes | None) -> None:
        if data is None:
            return
        snapshot = decode_snapshot(data)
        self.map.load(zip(snapshot.keys, snapshot.values, strict=True))
        self.position = Position(snapshot.term, snapshot.sequence)

    def _apply(self, entries: list[Entry]) -> None:
        for entry in entries:
            self.map.apply(entry.writes)
            self.log.add(entry)
            self.position = Position(entry.term, entry.sequence)

    def append(self, entries: list[Entry]) -> None:
        """Apply entries that follow `position`, and submit them to the disk."""
        self._apply(entries)
        self._env.disk.append(encode_entries(entries), self._submit())
        if self._env.disk.wants_snapshot():
            self._write_snapshot()

    def replace(self, state: StateMap, position: Position) -> None:
        """Replace the whole state, and write it as a snapshot."""
        self.map = state
        self.position = position
        self.log.reset(position)
        self._write_snapshot()

    def _write_snapshot(self) -> None:
        pairs = list(self.map.items())
        snapshot = Snapshot(
            term=self.position.term,
            sequence=self.position.sequence,
            keys=[key for key, _ in pairs],
            values=[value for _, value in pairs],
        )
        self._env.disk.replace(encode_snapshot(snapshot), self._submit())

    def _submit(self) -> Callable[[], None]:
        self._submitted += 1
        self._pending.append(_PendingWrite(self._submitted, self._env.clock.now()))
        return self._on_durable

    def _on_durable(self) -> None:
        self._durable += 1
        self._pending.popleft()
        due = []
        while self._waiting and self._waiting[0][0] <= self._durable:
            due.append(self._waiting.popleft()[1])
        _run_all(due)

    def when_durable(self, action: Callable[[], None]) -> None:
        """Run `action` once everything applied so far is durable (at once if it already is)."""
        if self._durable >= self._submitted:
            action()
        else:
            self._waiting.append((self._submitted, action))

    def stalled_for(self) -> float:
        """Return for how many seconds the oldest write has waited for the disk; 0 if none is waiting."""
        return self._env.clock.now() - self._pending[0].submitted_at if self._pending else 0.0


def _run_all(actions: list[Callable[[], None]]) -> None:
    """Run all actions even if some raise; then raise the first error."""
    failure: Exception | None = None
    for action in actions:
        try:
            action()
        except Exception as error:
            failure = failure or error
    if failure is not None:
        raise failure
