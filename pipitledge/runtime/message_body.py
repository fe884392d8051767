"""Bodies of messages between processes: long ones are deflated, so that a thin link carries them well within a call."""

from __future__ import annotations

import zlib
from collections.abc import Mapping

from msgspec import Struct

PACK_FROM_BYTES = 4 * 1024  # shorter ones pass any link at once
COMPRESSION_LEVEL = 1  # a millisecond for 300 kB
CONTENT_ENCODING = "Content-Encoding"
ACCEPT_ENCODING = "Accept-Encoding"
DEFLATE = "deflate"  # zlib's format, as HTTP means by that name
ACCEPTS_DEFLATE: Mapping[str, str] = {ACCEPT_ENCODING: DEFLATE}


class PackingError(ValueError):
    """A body that can't be unpacked."""


class PackedBody(Struct, frozen=True):
    """A body as it is sent."""

    data: bytes
    headers: Mapping[str, str]  # that tell how to unpack it


def pack(body: bytes, allowed: bool = True) -> PackedBody:
    """Deflate a body if it is long, gets shorter by that, and whoever it is for understands it."""
    if allowed and len(body) >= PACK_FROM_BYTES:
        deflated = zlib.compress(body, COMPRESSION_LEVEL)
        if len(deflated) < len(body):
            return PackedBody(deflated, {CONTENT_ENCODING: DEFLATE})
    return PackedBody(body, {})


def unpack(data: bytes, encoding: str, largest: int) -> bytes:
    """The body that `Content-Encoding` says is packed so; raises `PackingError` for one that is broken or too large."""
    if not encoding:
        return data
    if encoding.lower() != DEFLATE:
        raise PackingError(f"Content-Encoding: {encoding} is not known")
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(data, largest)
    except zlib.error as error:
        raise PackingError(str(error)) from error
    if not unpacker.eof:
        raise PackingError(f"cut short, or above {largest} bytes")
    return body
