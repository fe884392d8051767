"""Records kept in a pair of files (slots) that are written alternately, so that one valid record always remains.

Each file holds one record: `magic, counter, length, checksum, payload`. Bytes after the payload are remains of an
older, longer record. The checksum covers all other fields, so a partially written record is detected.
"""

from __future__ import annotations

import struct
import zlib

from msgspec import Struct

EPOCHS_MAGIC = b"PLE1"
SNAPSHOT_MAGIC = b"PLS1"

_FIELDS = struct.Struct("<4sQQ")  # magic, counter, length of the payload
_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = _FIELDS.size + _CHECKSUM.size


class SlotRecord(Struct, frozen=True):
    """The record in a slot; the record with the higher counter is newer."""

    counter: int
    payload: bytes


def encode_header(magic: bytes, record: SlotRecord) -> bytes:
    """Return the encoded header, which precedes the payload."""
    fields = _FIELDS.pack(magic, record.counter, len(record.payload))
    return fields + _CHECKSUM.pack(_checksum(fields, record.payload))


def decode(magic: bytes, content: bytes) -> SlotRecord | None:
    """Decode the record in the content of a slot file; return None if it is invalid."""
    if len(content) < HEADER_BYTES:
        return None
    found_magic, counter, length = _FIELDS.unpack_from(content)
    (checksum,) = _CHECKSUM.unpack_from(content, _FIELDS.size)
    if found_magic != magic or length > len(content) - HEADER_BYTES:
        return None
    payload = content[HEADER_BYTES : HEADER_BYTES + length]
    if _checksum(content[: _FIELDS.size], payload) != checksum:
        return None
    return SlotRecord(counter, payload)


def newest(records: tuple[SlotRecord | None, SlotRecord | None]) -> int | None:
    """Return the index of the slot with the newer valid record; None if both are invalid."""
    first, second = records
    if first is None and second is None:
        return None
    if first is None:
        return 1
    return 1 if second is not None and second.counter > first.counter else 0


def _checksum(fields: bytes, payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(fields))
