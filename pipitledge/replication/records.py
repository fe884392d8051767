"""What a counted node keeps on disk: the epoch record, and state as a snapshot and a log of batches of entries."""

from __future__ import annotations

from typing import Protocol

import msgspec
from msgspec import Struct

from pipitledge.wire.messages import Entry, Member, View


class InitialMembersRecord(Struct):
    """What a seed promised and accepted of the list of first members."""

    takes_part: bool = False  # started with the system, and has forgotten nothing since
    seeds: list[str] = []  # internal addresses, as the settings of the first start named them
    promised: int = 0  # highest ballot promised
    promised_to: str = ""  # its proposer
    accepted: int = 0  # ballot of the list accepted last; 0 if none
    members: list[Member] = []  # that list


class EpochRecord(Struct):
    """Promises of one member; written before any answer that rests on it."""

    promised: int = 0  # highest epoch promised
    promised_to: str = ""  # its proposer
    accepted: View | None = None  # the view of the highest epoch accepted
    disk_id: int = 0  # drawn when the disk was formatted
    amnesiac: bool = False  # the disk that held earlier promises is gone, and they are not recovered yet
    original: bool = False  # started with the system, and no view has taken this node in yet
    initial: InitialMembersRecord = msgspec.field(default_factory=InitialMembersRecord)


class Snapshot(Struct):
    """All replicated state after the entry (term, sequence)."""

    term: int = 0
    sequence: int = 0
    keys: list[str] = []
    values: list[bytes] = []


class RecoveredDisk(Protocol):
    """What a disk held when the process started."""

    @property
    def epochs(self) -> bytes | None:
        """The last epoch record."""

    @property
    def snapshot(self) -> bytes | None:
        """The last snapshot."""

    @property
    def entries(self) -> list[bytes]:
        """The records appended since."""

    @property
    def fresh(self) -> bool:
        """Whether the disk was empty."""


_encoder = msgspec.msgpack.Encoder()
_epochs_decoder = msgspec.msgpack.Decoder(EpochRecord)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)
_entries_decoder = msgspec.msgpack.Decoder(list[Entry])


def encode_epochs(record: EpochRecord) -> bytes:
    """Bytes of an epoch record."""
    return _encoder.encode(record)


def decode_epochs(data: bytes) -> EpochRecord:
    """The epoch record in `data`."""
    return _epochs_decoder.decode(data)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Bytes of a snapshot."""
    return _encoder.encode(snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """The snapshot in `data`."""
    return _snapshot_decoder.decode(data)


def encode_entries(entries: list[Entry]) -> bytes:
    """Bytes of one log record: entries appended together."""
    return _encoder.encode(entries)


def decode_entries(data: bytes) -> list[Entry]:
    """The entries in one log record."""
    return _entries_decoder.decode(data)
