"""The format of a log file, which holds the entries that follow one snapshot.

The header contains the generation of the snapshot. Each entry is `mark, length, number, durable, checksum, payload`:
numbers start at 1 and increase by 1, and `durable` is the number of the last entry known to be on disk when this entry
was written. The checksum also covers the generation, so that entries left over from an older log in the same file are
never read as part of this log.

Reading ends at the first invalid entry, because a crash may leave a partially written entry. But if a later entry
records that the invalid entry was durable, it was damaged afterwards, and the log is corrupt.
"""

from __future__ import annotations

import struct
import zlib

from msgspec import Struct

_MAGIC = b"PLL1"
_HEADER = struct.Struct("<4sQ")  # magic, generation
_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = _HEADER.size + _CHECKSUM.size

_ENTRY_MARK = b"\xe5\x9aPe"
_ENTRY = struct.Struct("<4sIQQ")  # mark, length of the payload, number, durable
ENTRY_HEADER_BYTES = _ENTRY.size + _CHECKSUM.size


class LogContent(Struct, frozen=True):
    """The content of a log file."""

    generation: int
    entries: list[bytes]
    end: int  # offset in bytes at which the last valid entry ends
    damaged: bool  # entries that had been durable are missing


class _Entry(Struct, frozen=True):
    number: int
    durable: int
    payload: bytes
    end: int


def encode_header(generation: int) -> bytes:
    """Return the header of the log that follows the snapshot of `generation`."""
    fields = _HEADER.pack(_MAGIC, generation)
    return fields + _CHECKSUM.pack(zlib.crc32(fields))


def encode_entry(generation: int, number: int, durable: int, payload: bytes) -> bytes:
    """Return one encoded entry."""
    fields = _ENTRY.pack(_ENTRY_MARK, len(payload), number, durable)
    return fields + _CHECKSUM.pack(_entry_checksum(generation, fields, payload)) + payload


def decode(content: bytes) -> LogContent | None:
    """Decode the content of a log file; return None if its header is invalid."""
    generation = _generation(content)
    if generation is None:
        return None
    entries: list[bytes] = []
    end = HEADER_BYTES
    entry = _entry_at(content, end, generation)
    while entry is not None and entry.number == len(entries) + 1:
        entries.append(entry.payload)
        end = entry.end
        entry = _entry_at(content, end, generation)
    damaged = _newest_durable(content, end, generation) > len(entries)
    return LogContent(generation, entries, end, damaged)


def _generation(content: bytes) -> int | None:
    """Return the generation in the header; None if the header is invalid."""
    if len(content) < HEADER_BYTES:
        return None
    magic, generation = _HEADER.unpack_from(content)
    (checksum,) = _CHECKSUM.unpack_from(content, _HEADER.size)
    if magic != _MAGIC or checksum != zlib.crc32(content[: _HEADER.size]):
        return None
    return int(generation)


def _entry_at(content: bytes, offset: int, generation: int) -> _Entry | None:
    """Return the entry that starts at `offset`; None if there is no valid one."""
    start = offset + ENTRY_HEADER_BYTES
    if start > len(content):
        return None
    mark, length, number, durable = _ENTRY.unpack_from(content, offset)
    end = start + length
    if mark != _ENTRY_MARK or end > len(content):
        return None
    payload = content[start:end]
    (checksum,) = _CHECKSUM.unpack_from(content, offset + _ENTRY.size)
    if checksum != _entry_checksum(generation, content[offset : offset + _ENTRY.size], payload):
        return None
    return _Entry(number, durable, payload, end)


def _newest_durable(content: bytes, offset: int, generation: int) -> int:
    """Return the highest `durable` number of all valid entries found after `offset`."""
    highest = 0
    offset = content.find(_ENTRY_MARK, offset)
    while offset >= 0:
        entry = _entry_at(content, offset, generation)
        if entry is not None:
            highest = max(highest, entry.durable)
        offset = content.find(_ENTRY_MARK, offset + 1)
    return highest


def _entry_checksum(generation: int, fields: bytes, payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(fields, generation & 0xFFFFFFFF))
