"""Records that fill a file each, and are written to two files in turn so that a valid one always remains.

A record is `magic, counter, length, checksum, payload`; what lies behind the payload is left from longer records.
The checksum covers all the rest, so a record that was torn is told from one that was written whole.
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
    """What a slot holds; the record with the higher counter is the newer."""

    counter: int
    payload: bytes


def encode_header(magic: bytes, record: SlotRecord) -> bytes:
    """The bytes that go before the payload."""
    fields = _FIELDS.pack(magic, record.counter, len(record.payload))
    return fields + _CHECKSUM.pack(_checksum(fields, record.payload))


def decode(magic: bytes, content: bytes) -> SlotRecord | None:
    """The record in a file of that content; None if there is no valid one."""
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
    """Which of the two slots holds the newer valid record; None if neither does."""
    first, second = records
    if first is None and second is None:
        return None
    if first is None:
        return 1
    return 1 if second is not None and second.counter > first.counter else 0


def _checksum(fields: bytes, payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(fields))
