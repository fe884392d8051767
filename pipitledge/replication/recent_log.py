"""The most recent entries, kept in memory for backups that lag only a little."""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from pipitledge.replication.timing import MAX_APPEND_BYTES, RECENT_LOG_BYTES
from pipitledge.wire.messages import Entry

ENTRY_OVERHEAD_BYTES = 64


class Position(Struct, frozen=True, order=True):
    """The last entry that a state contains; two states at the same position are equal."""

    term: int = 0
    sequence: int = 0


def size_of(entry: Entry) -> int:
    """Return the approximate size of an entry in bytes."""
    return ENTRY_OVERHEAD_BYTES + sum(len(write.key) + len(write.value) + 16 for write in entry.writes)


class RecentLog:
    """Entries with consecutive sequences that follow the position `base`."""

    def __init__(self, base: Position, limit_bytes: int = RECENT_LOG_BYTES) -> None:
        """Start empty; `limit_bytes` bounds the total size of the entries."""
        self._limit = limit_bytes
        self.reset(base)

    def reset(self, base: Position) -> None:
        """Drop all entries; the next one follows `base`."""
        self._base = base
        self._entries: deque[Entry] = deque()
        self._bytes = 0

    def add(self, entry: Entry) -> None:
        """Add the next entry, and drop the oldest ones beyond the size limit."""
        self._entries.append(entry)
        self._bytes += size_of(entry)
        while self._bytes > self._limit and len(self._entries) > 1:
            self._drop_first()

    def _drop_first(self) -> None:
        entry = self._entries.popleft()
        self._base = Position(entry.term, entry.sequence)
        self._bytes -= size_of(entry)

    def holds(self, position: Position) -> bool:
        """Whether all entries after `position` are available; False for a position of another history."""
        if position == self._base:
            return True
        index = position.sequence - self._base.sequence - 1
        return 0 <= index < len(self._entries) and self._entries[index].term == position.term

    def after(self, position: Position, limit_bytes: int = MAX_APPEND_BYTES) -> list[Entry]:
        """Return the entries that follow a `position` that `holds` accepts, up to about `limit_bytes`."""
        found: list[Entry] = []
        total = 0
        for index in range(position.sequence - self._base.sequence, len(self._entries)):
            entry = self._entries[index]
            total += size_of(entry)
            if found and total > limit_bytes:
                break
            found.append(entry)
        return found
