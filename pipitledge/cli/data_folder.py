"""Reads what a counted node keeps on its disk, without changing a byte of it.

The node's own code opens the folder, but on a copy of its files in memory: what a start would repair (the torn end of
a log, say) is repaired in the copy alone.
"""

from __future__ import annotations

import enum
from pathlib import Path

import msgspec
from msgspec import Struct

from pipitledge.replication.records import EpochRecord, Snapshot, decode_entries, decode_epochs, decode_snapshot
from pipitledge.runtime import slot_files
from pipitledge.runtime.storage import EPOCHS_NAMES, LOG_NAMES, STATE_NAMES, RecoveredData, Store
from pipitledge.wire.codec import WireError, decode_record
from pipitledge.wire.messages import (
    ChangeRecord,
    ConfigurationRecord,
    Entry,
    JobRecord,
    JobState,
    TaskPhase,
    TaskRecord,
)

RECORD_TYPES: dict[str, type[Struct]] = {
    "config": ConfigurationRecord,
    "change/": ChangeRecord,
    "job/": JobRecord,
    "task/": TaskRecord,
}
ENUMERATIONS: dict[tuple[type[Struct], str], type[enum.IntEnum]] = {
    (JobRecord, "state"): JobState,
    (TaskRecord, "phase"): TaskPhase,
}
_NAMES = (*EPOCHS_NAMES, *STATE_NAMES, *LOG_NAMES)


class FolderProblem(Struct, frozen=True):
    """Why a folder can't be shown."""

    path: str
    reason: str
    damaged: bool = False  # it is a node's folder, and a node would treat it as a lost disk


class FolderContent(Struct, frozen=True):
    """What a node would know after a start on this folder."""

    fresh: bool  # nothing was ever kept here
    generation: int  # of the newest snapshot
    promises: EpochRecord | None
    term: int  # of the last entry
    sequence: int  # of the last entry
    log_records: int  # written since the snapshot
    log_entries: int  # in these records
    state: dict[str, bytes]  # replicated state: record by key


def read_folder(folder: Path) -> FolderContent | FolderProblem:
    """What the folder holds."""
    place = str(folder)
    if not folder.is_dir():
        return FolderProblem(place, "is not a folder" if folder.exists() else "does not exist")
    try:
        copies = _Copies(folder)
        if not copies.found:
            return FolderProblem(place, f"is no data folder: it holds none of {', '.join(_NAMES)}")
        generation = _generation(copies)
        recovered = Store(place, copies).open()
    except OSError as error:
        return FolderProblem(place, f"cannot be read: {error.filename or ''}: {error.strerror or error}")
    if recovered.corrupt:
        return FolderProblem(place, recovered.corrupt, damaged=True)
    try:
        return _content(recovered, generation)
    except (msgspec.MsgspecError, ValueError) as error:
        return FolderProblem(place, f"a record with a sound checksum can't be decoded: {error}", damaged=True)


def readable(key: str, value: bytes) -> dict[str, object]:
    """A record of replicated state, as JSON can hold it."""
    record_type = _record_type(key)
    if record_type is None:
        return {"unknownRecord": value.hex()}
    try:
        record = decode_record(value, record_type)
    except WireError as error:
        return {"unreadable": str(error), "bytes": value.hex()}
    return {field: _readable_field(record_type, field, getattr(record, field)) for field in record.__struct_fields__}


def _content(recovered: RecoveredData, generation: int) -> FolderContent:
    """Carry out the log on the snapshot."""
    snapshot = decode_snapshot(recovered.snapshot) if recovered.snapshot is not None else Snapshot()
    state = dict(zip(snapshot.keys, snapshot.values, strict=True))
    entries: list[Entry] = []
    for record in recovered.entries:
        entries += decode_entries(record)
    for entry in entries:
        _apply(entry, state)
    return FolderContent(
        fresh=recovered.fresh,
        generation=generation,
        promises=decode_epochs(recovered.epochs) if recovered.epochs is not None else None,
        term=entries[-1].term if entries else snapshot.term,
        sequence=entries[-1].sequence if entries else snapshot.sequence,
        log_records=len(recovered.entries),
        log_entries=len(entries),
        state=state,
    )


def _apply(entry: Entry, state: dict[str, bytes]) -> None:
    for write in entry.writes:
        if write.deleted:
            state.pop(write.key, None)
        else:
            state[write.key] = write.value


def _record_type(key: str) -> type[Struct] | None:
    """The type of the record under a key."""
    prefix, slash, _ = key.partition("/")
    return RECORD_TYPES.get(prefix + slash)


def _readable_field(record_type: type[Struct], field: str, value: object) -> object:
    """Enumerations by name; bytes as the JSON or the text that they hold."""
    enumeration = ENUMERATIONS.get((record_type, field))
    if enumeration is not None and isinstance(value, int) and value in list(enumeration):
        return enumeration(value).name.lower()
    if not isinstance(value, bytes):
        return value
    try:
        return msgspec.json.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return value.decode(errors="backslashreplace")


def _generation(copies: _Copies) -> int:
    """Of the newest valid snapshot; 0 if there is none."""
    contents = [copies.content(name) for name in STATE_NAMES]
    records = [slot_files.decode(slot_files.SNAPSHOT_MAGIC, content) for content in contents]
    return max((record.counter for record in records if record is not None), default=0)


class _Copies:
    """A folder's files, copied to memory; a `FileSystem` to the node's code."""

    def __init__(self, folder: Path) -> None:
        self._contents = {name: _content_of(folder / name) for name in _NAMES}

    @property
    def found(self) -> bool:
        """Whether there is any of a node's files."""
        return any(content is not None for content in self._contents.values())

    def content(self, name: str) -> bytes:
        """A file's bytes; none if there is no such file."""
        return self._contents[name] or b""

    def make_folder(self, folder: str) -> None:
        """Do nothing."""

    def open(self, folder: str, name: str) -> _CopiedFile:
        """The copy of a file."""
        return _CopiedFile(self.content(name))

    def sync_folder(self, folder: str) -> None:
        """Do nothing."""


def _content_of(path: Path) -> bytes | None:
    try:
        return path.read_bytes()
    except FileNotFoundError:
        return None


class _CopiedFile:
    """A file in memory."""

    def __init__(self, content: bytes) -> None:
        self._content = bytearray(content)

    def read_all(self) -> bytes:
        """Read all of it."""
        return bytes(self._content)

    def write_at(self, offset: int, data: bytes) -> None:
        """Write to the copy."""
        self._content[offset : offset + len(data)] = data

    def truncate(self, size: int) -> None:
        """Cut the copy off."""
        del self._content[size:]

    def sync(self) -> None:
        """Do nothing."""

    def sync_data(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""
