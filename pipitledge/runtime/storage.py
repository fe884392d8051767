"""The durable storage of a voting member: a small promise record (epochs), a snapshot, and a log of entries.

There are six files, two of each kind. `epochs-*` and `state-*` are slots written alternately (see `slot_files`);
`log-N` is the log that follows the snapshot in `state-N` (see `log_file`). A file that holds current data is never
overwritten:

- The promise record is written to the slot that doesn't hold the newest record.
- To write a snapshot, the log of the unused slot is reset first, and then the snapshot is written to that slot. It
  replaces the older snapshot and its log as soon as it is valid; its own log is already on disk by then.
- A new folder is formatted before data is written to it; a valid promise record marks it as formatted.

All calls block until the data would survive a power loss, and raise OSError if the disk reports an error. After an
error the same call must be repeated before any other call; it writes the same bytes to the same offsets.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from pipitledge.runtime import log_file, slot_files
from pipitledge.runtime.files import File, FileSystem, OsFileSystem
from pipitledge.runtime.slot_files import EPOCHS_MAGIC, SNAPSHOT_MAGIC, SlotRecord

KIB = 1024
MIB = 1024 * KIB
DEFAULT_LOG_BYTES = MIB
MIN_LOG_BYTES = 64 * KIB
LOG_DISK_DIVISOR = 16  # so that two logs and two snapshots stay below half of the disk
EPOCHS_NAMES = ("epochs-0", "epochs-1")
STATE_NAMES = ("state-0", "state-1")
LOG_NAMES = ("log-0", "log-1")

_FIRST_SLOT = 0
_FORMATTED = SlotRecord(
    0, b""
)  # counter 0 marks an empty slot: no promises were made, or there is no snapshot before the log


class RecoveredData(Struct, frozen=True):
    """The data found on the disk."""

    epochs: bytes | None = None
    snapshot: bytes | None = None
    entries: list[bytes] = []  # log entries after the snapshot
    fresh: bool = False  # the folder is empty: it is new, or its data was lost
    corrupt: str = ""  # why the data can't be read; the other fields are unset then


class DiskDamage(Struct, frozen=True):
    """Why the data on the disk can't be read."""

    reason: str


class Store:
    """The storage files of one folder; not thread-safe."""

    def __init__(self, folder: str, file_system: FileSystem | None = None) -> None:
        """Use `folder` for all files; the disk is not accessed before `open`."""
        self._folder = folder
        self._file_system: FileSystem = file_system or OsFileSystem()
        self._epochs_files: list[File] = []
        self._state_files: list[File] = []
        self._log_files: list[File] = []
        self._epochs_slot = _FIRST_SLOT
        self._epochs_counter = 0
        self._state_slot = _FIRST_SLOT
        self._generation = 0
        self._log_end = 0
        self._entry_count = 0

    @property
    def log_bytes(self) -> int:
        """Length of the log, in bytes."""
        return self._log_end

    def open(self) -> RecoveredData:
        """Open the files and read their content. Corrupt files are left unchanged until `format`."""
        self.close()
        self._open_files()
        # Writes of a killed process may not be on disk yet. They must be durable before they are relied on.
        self._sync_all()
        epochs = self._read_slots(self._epochs_files, EPOCHS_MAGIC)
        if epochs is None:
            return self._open_unformatted()
        state = self._read_slots(self._state_files, SNAPSHOT_MAGIC)
        if state is None:
            return RecoveredData(corrupt="no valid snapshot")
        log = self._find_log(*state)
        if isinstance(log, DiskDamage):
            return RecoveredData(corrupt=log.reason)
        self._epochs_slot, promises = epochs
        self._epochs_counter = promises.counter
        self._state_slot, snapshot = state
        self._generation = snapshot.counter
        self._cut_torn_tail(log)
        return _recovered(promises, snapshot, log.entries)

    def format(self) -> None:
        """Erase all data; the folder is then equivalent to a new one."""
        for (
            file
        ) in self._all_files():  # the promise records first: without them the other files are never read as valid data
            if file.read_all():
                file.truncate(0)
                file.sync()
        self._generation = 0
        self._state_slot = _FIRST_SLOT
        self._reset_log(_FIRST_SLOT, self._generation)
        _write_slot(self._state_files[_FIRST_SLOT], SNAPSHOT_MAGIC, _FORMATTED)
        self._use_empty_log()
        self._epochs_slot = _FIRST_SLOT
        self._epochs_counter = _FORMATTED.counter
        _write_slot(self._epochs_files[_FIRST_SLOT], EPOCHS_MAGIC, _FORMATTED)

    def write_epochs(self, record: bytes) -> None:
        """Replace the promise record."""
        slot = 1 - self._epochs_slot
        counter = self._epochs_counter + 1
        _write_slot(self._epochs_files[slot], EPOCHS_MAGIC, SlotRecord(counter, record))
        self._epochs_slot = slot
        self._epochs_counter = counter

    def append(self, records: Sequence[bytes]) -> None:
        """Append entries to the log with one write and one sync."""
        durable = self._entry_count
        encoded = [
            log_file.encode_entry(self._generation, number, durable, record)
            for number, record in enumerate(records, start=durable + 1)
        ]
        data = b"".join(encoded)
        file = self._log_files[self._state_slot]
        file.write_at(self._log_end, data)
        file.sync_data()
        self._log_end += len(data)
        self._entry_count += len(records)

    def replace(self, snapshot: bytes) -> None:
        """Replace all state by `snapshot` and empty the log."""
        slot = 1 - self._state_slot
        generation = self._generation + 1
        self._reset_log(slot, generation)
        _write_slot(self._state_files[slot], SNAPSHOT_MAGIC, SlotRecord(generation, snapshot))
        self._state_slot = slot
        self._generation = generation
        self._use_empty_log()

    def close(self) -> None:
        """Close all files."""
        for file in self._all_files():
            file.close()
        self._epochs_files = []
        self._state_files = []
        self._log_files = []

    def _all_files(self) -> list[File]:
        return [*self._epochs_files, *self._state_files, *self._log_files]

    def _open_files(self) -> None:
        self._file_system.make_folder(self._folder)
        for names, files in (
            (EPOCHS_NAMES, self._epochs_files),
            (STATE_NAMES, self._state_files),
            (LOG_NAMES, self._log_files),
        ):
            for name in names:
                files.append(self._file_system.open(self._folder, name))

    def _sync_all(self) -> None:
        for file in self._all_files():
            file.sync()
        self._file_system.sync_folder(self._folder)

    def _open_unformatted(self) -> RecoveredData:
        """Format the folder, unless it contains data, which shows that its promise records were lost."""
        if self._has_data():
            return RecoveredData(corrupt="no valid record of promises")
        self.format()
        return RecoveredData(fresh=True)

    def _has_data(self) -> bool:
        """Return whether the folder contains a snapshot or log entries."""
        state = self._read_slots(self._state_files, SNAPSHOT_MAGIC)
        if state is not None and state[1].counter > _FORMATTED.counter:
            return True
        logs = [log_file.decode(file.read_all()) for file in self._log_files]
        return any(log is not None and bool(log.entries or log.damaged) for log in logs)

    def _read_slots(self, files: list[File], magic: bytes) -> tuple[int, SlotRecord] | None:
        """Return the newest valid record with the index of its slot."""
        records = (slot_files.decode(magic, files[0].read_all()), slot_files.decode(magic, files[1].read_all()))
        slot = slot_files.newest(records)
        record = None if slot is None else records[slot]
        return None if slot is None or record is None else (slot, record)

    def _find_log(self, slot: int, snapshot: SlotRecord) -> log_file.LogContent | DiskDamage:
        """Return the log after the newest valid snapshot, or the damage if entries or a newer snapshot are lost."""
        log = log_file.decode(self._log_files[slot].read_all())
        if log is None or log.generation != snapshot.counter:
            return DiskDamage(f"{LOG_NAMES[slot]}: no valid header")
        if log.damaged:
            return DiskDamage(f"{LOG_NAMES[slot]}: entry {len(log.entries) + 1} is damaged")
        other = log_file.decode(self._log_files[1 - slot].read_all())
        if other is not None and other.generation > snapshot.counter and (other.entries or other.damaged):
            return DiskDamage(f"{STATE_NAMES[1 - slot]}: the snapshot before the entries is damaged")
        return log

    def _cut_torn_tail(self, log: log_file.LogContent) -> None:
        """Truncate the log after its last valid entry, so that a partially written entry is never read later."""
        file = self._log_files[self._state_slot]
        file.truncate(log.end)
        file.sync()
        self._log_end = log.end
        self._entry_count = len(log.entries)

    def _reset_log(self, slot: int, generation: int) -> None:
        """Empty the log of a slot that isn't in use."""
        file = self._log_files[slot]
        file.write_at(0, log_file.encode_header(generation))
        file.truncate(log_file.HEADER_BYTES)
        file.sync()

    def _use_empty_log(self) -> None:
        self._log_end = log_file.HEADER_BYTES
        self._entry_count = 0


def log_limit(disk_mb: int) -> int:
    """Return the log length in bytes at which a snapshot is due, for a disk of that size (0: unknown)."""
    if disk_mb <= 0:
        return DEFAULT_LOG_BYTES
    return max(MIN_LOG_BYTES, min(DEFAULT_LOG_BYTES, disk_mb * MIB // LOG_DISK_DIVISOR))


def _recovered(promises: SlotRecord, snapshot: SlotRecord, entries: list[bytes]) -> RecoveredData:
    """Build the result of `open`; a folder that is formatted but has no data counts as fresh."""
    epochs = promises.payload if promises.counter > _FORMATTED.counter else None
    state = snapshot.payload if snapshot.counter > _FORMATTED.counter else None
    fresh = epochs is None and state is None and not entries
    return RecoveredData(epochs, state, entries, fresh)


def _write_slot(file: File, magic: bytes, record: SlotRecord) -> None:
    """Overwrite the record in a slot file and sync it."""
    file.write_at(0, slot_files.encode_header(magic, record))
    file.write_at(slot_files.HEADER_BYTES, record.payload)
    file.truncate(slot_files.HEADER_BYTES + len(record.payload))
    file.sync()
