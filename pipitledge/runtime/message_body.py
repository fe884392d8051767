"""Bodies of messages between processes: long ones are deflated, so that a thin link carries them well within a call."""

from __future__ import annotations

import zlib
from collections.abc import Mapping

from msgspec import Struct

MIN_COMPRESS_BYTES = 4 * 1024  # shorter ones pass any link at once
COMPRESSION_LEVEL = 1  # a millisecond for 300 kB
CONTENT_ENCODING = "Content-Encoding"
ACCEPT_ENCODING = "Accept-Encoding"
DEFLATE = "deflate"  # zlib's format, as HTTP means by that name
ACCEPTS_DEFLATE: Mapping[str, str] = {ACCEPT_ENCODING: DEFLATE}


class EncodingError(ValueError):
    """A body that can't be unpacked."""


class EncodedBody(Struct, frozen=True):
    """A body as it is sent."""

    data: bytes
    headers: Mapping[str, str]  # that tell how to unpack it


def compress(body: bytes, allowed: bool = True) -> EncodedBody:
    """Deflate a body if it is long, gets shorter by that, and whoever it is for understands it."""
    if allowed and len(body) >= MIN_COMPRESS_BYTES:
        deflated = zlib.compress(body, COMPRESSION_LEVEL)
        if len(deflated) < len(body):
            return EncodedBody(deflated, {CONTENT_ENCODING: DEFLATE})
    return EncodedBody(body, {})


def decompress(data: bytes, encoding: str, max_bytes: int) -> bytes:
    """The body that `Content-Encoding` says is packed so; raises `PackingError` for one that is broken or too large."""
    if not encoding:
        return data
    if encoding.lower() != DEFLATE:
        raise EncodingError(f"Content-Encoding: {encoding} is not known")
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise EncodingError(str(error)) from error
    if not decompressor.eof:
        raise EncodingError(f"cut short, or above {max_bytes} bytes")
    return body
