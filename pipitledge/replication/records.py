"""Records that a voting node keeps on disk: its epoch record, and the state as a snapshot and a log of batches."""

from __future__ import annotations

from typing import Protocol

import msgspec
from msgspec import Struct

from pipitledge.wire.messages import Entry, Member, View


class InitialMembersRecord(Struct):
    """Promises and accepted list of a seed in the decision on the initial members."""

    takes_part: bool = False  # the seed took part in the first start of the system and has lost no record since
    seeds: list[str] = []  # internal addresses from the settings of the first start
    promised: int = 0  # highest ballot promised
    promised_to: str = ""  # its proposer
    accepted: int = 0  # ballot of the last accepted list; 0 if none
    members: list[Member] = []  # the last accepted list


class EpochRecord(Struct):
    """Promises and accepted view of one member; made durable before any answer that depends on it is sent."""

    promised: int = 0  # highest epoch promised
    promised_to: str = ""  # its proposer
    accepted: View | None = None  # the view of the highest epoch accepted
    disk_id: int = 0  # random number, drawn when the disk is formatted
    amnesiac: bool = False  # earlier promises were lost with a disk and are not recovered yet
    original: bool = False  # the node took part in the first start, and no view has had it as a member yet
    initial: InitialMembersRecord = msgspec.field(default_factory=InitialMembersRecord)


class Snapshot(Struct):
    """The whole replicated state after the entry (term, sequence)."""

    term: int = 0
    sequence: int = 0
    keys: list[str] = []
    values: list[bytes] = []


class RecoveredDisk(Protocol):
    """Contents of the disk when the process started."""

    @property
    def epochs(self) -> bytes | None:
        """The last epoch record; None on an empty disk."""

    @property
    def snapshot(self) -> bytes | None:
        """The last snapshot; None if none was written."""

    @property
    def entries(self) -> list[bytes]:
        """Log records appended since the snapshot."""

    @property
    def fresh(self) -> bool:
        """Whether the disk was empty."""


_encoder = msgspec.msgpack.Encoder()
_epochs_decoder = msgspec.msgpack.Decoder(EpochRecord)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)
_entries_decoder = msgspec.msgpack.Decoder(list[Entry])


def encode_epochs(record: EpochRecord) -> bytes:
    """Encode an epoch record."""
    return _encoder.encode(record)


def decode_epochs(data: bytes) -> EpochRecord:
    """Decode an epoch record."""
    return _epochs_decoder.decode(data)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot."""
    return _encoder.encode(snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot."""
    return _snapshot_decoder.decode(data)


def encode_entries(entries: list[Entry]) -> bytes:
    """Encode one log record, which holds the entries that were appended together."""
    return _encoder.encode(entries)


def decode_entries(data: bytes) -> list[Entry]:
    """Decode the entries of one log record."""
    return _entries_decoder.decode(data)
