"""What a counted node keeps on its disk: a small record of promises, a snapshot, and a log of entries.

Six files, two of each kind. `epochs-*` and `state-*` are slots written in turn (`slots`); `log-N` is the log that
follows the snapshot in `state-N` (`log_file`). Only the files that nothing valid rests on are ever overwritten:

- Promises go to the slot that doesn't hold the newest ones.
- A new snapshot first resets the log beside the other slot, then takes that slot. It replaces the older snapshot and
  its log the moment it is valid, and by then its own log is ready on disk.
- A new folder is formatted before anything is kept in it; a valid record of promises marks it as formatted.

All calls block until the data would survive a loss of power, and raise OSError if the disk refuses. After that the
same call is to be made again, before any other: it writes the same bytes to the same place.
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
LOG_DISK_DIVISOR = 16  # two logs and two snapshots are to stay below half of the disk
EPOCHS_NAMES = ("epochs-0", "epochs-1")
STATE_NAMES = ("state-0", "state-1")
LOG_NAMES = ("log-0", "log-1")

_FIRST_SLOT = 0
_FORMATTED = SlotRecord(0, b"")  # promises: none; state: none yet, its log follows an empty one


class RecoveredData(Struct, frozen=True):
    """What was found on the disk."""

    epochs: bytes | None = None
    snapshot: bytes | None = None
    entries: list[bytes] = []  # those that follow the snapshot
    fresh: bool = False  # nothing was ever kept here, or the disk was lost since
    corrupt: str = ""  # why what was kept can't be read; nothing else is filled in then


class DiskDamage(Struct, frozen=True):
    """Why what was kept can't be read."""

    reason: str


class Store:
    """The files of one folder; not for use by two threads at once."""

    def __init__(self, folder: str, file_system: FileSystem | None = None) -> None:
        """Keep everything in `folder`; nothing is touched before `open`."""
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
        """Length of the log."""
        return self._log_end

    def open(self) -> RecoveredData:
        """Open the files and read what they hold. What is found corrupt is left as it is until `format`."""
        self.close()
        self._open_files()
        # What a killed process wrote may not be on disk yet. It has to be, before anything is built on it.
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
        """Forget everything: make the folder one in which nothing was ever kept."""
        for file in self._all_files():  # the promises first: without them the rest is never taken for a store
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
        """Replace the record of promises."""
        slot = 1 - self._epochs_slot
        counter = self._epochs_counter + 1
        _write_slot(self._epochs_files[slot], EPOCHS_MAGIC, SlotRecord(counter, record))
        self._epochs_slot = slot
        self._epochs_counter = counter

    def append(self, records: Sequence[bytes]) -> None:
        """Add entries to the log, by one write and one sync."""
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
        """Replace all state, and empty the log."""
        slot = 1 - self._state_slot
        generation = self._generation + 1
        self._reset_log(slot, generation)
        _write_slot(self._state_files[slot], SNAPSHOT_MAGIC, SlotRecord(generation, snapshot))
        self._state_slot = slot
        self._generation = generation
        self._use_empty_log()

    def close(self) -> None:
        """Close the files."""
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
        """Format the folder, unless it holds what only a formatted one can."""
        if self._was_used():
            return RecoveredData(corrupt="no valid record of promises")
        self.format()
        return RecoveredData(fresh=True)

    def _was_used(self) -> bool:
        """Whether the folder was formatted at some time, and something was kept in it."""
        state = self._read_slots(self._state_files, SNAPSHOT_MAGIC)
        if state is not None and state[1].counter > _FORMATTED.counter:
            return True
        logs = [log_file.decode(file.read_all()) for file in self._log_files]
        return any(log is not None and bool(log.entries or log.damaged) for log in logs)

    def _read_slots(self, files: list[File], magic: bytes) -> tuple[int, SlotRecord] | None:
        """The newest valid record, with its slot."""
        records = (slot_files.decode(magic, files[0].read_all()), slot_files.decode(magic, files[1].read_all()))
        slot = slot_files.newest(records)
        record = None if slot is None else records[slot]
        return None if slot is None or record is None else (slot, record)

    def _find_log(self, slot: int, snapshot: SlotRecord) -> log_file.LogContent | DiskDamage:
        """The log of the newest snapshot, once nothing shows that a newer snapshot was lost."""
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
        """Go on behind the last valid entry; what was left behind it must never be read again."""
        file = self._log_files[self._state_slot]
        file.truncate(log.end)
        file.sync()
        self._log_end = log.end
        self._entry_count = len(log.entries)

    def _reset_log(self, slot: int, generation: int) -> None:
        """Empty the log beside a slot that isn't in use."""
        file = self._log_files[slot]
        file.write_at(0, log_file.encode_header(generation))
        file.truncate(log_file.HEADER_BYTES)
        file.sync()

    def _use_empty_log(self) -> None:
        self._log_end = log_file.HEADER_BYTES
        self._entry_count = 0


def log_limit(disk_mb: int) -> int:
    """How long the log may grow, in bytes, on a disk of that size (0: unknown) before a snapshot is due."""
    if disk_mb <= 0:
        return DEFAULT_LOG_BYTES
    return max(MIN_LOG_BYTES, min(DEFAULT_LOG_BYTES, disk_mb * MIB // LOG_DISK_DIVISOR))


def _recovered(promises: SlotRecord, snapshot: SlotRecord, entries: list[bytes]) -> RecoveredData:
    """What was kept; a folder that was formatted and no more is still fresh."""
    epochs = promises.payload if promises.counter > _FORMATTED.counter else None
    state = snapshot.payload if snapshot.counter > _FORMATTED.counter else None
    fresh = epochs is None and state is None and not entries
    return RecoveredData(epochs, state, entries, fresh)


def _write_slot(file: File, magic: bytes, record: SlotRecord) -> None:
    """Write a record over an older one and sync it."""
    file.write_at(0, slot_files.encode_header(magic, record))
    file.write_at(slot_files.HEADER_BYTES, record.payload)
    file.truncate(slot_files.HEADER_BYTES + len(record.payload))
    file.sync()
