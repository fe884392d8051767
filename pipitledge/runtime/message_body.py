"""Bodies of messages between processes; long bodies are deflated to save transfer time on slow links."""

from __future__ import annotations

import zlib
from collections.abc import Mapping

from msgspec import Struct

MIN_COMPRESS_BYTES = 4 * 1024  # shorter bodies transfer quickly on any link
COMPRESSION_LEVEL = 1  # takes about 1 ms for 300 kB
CONTENT_ENCODING = "Content-Encoding"
ACCEPT_ENCODING = "Accept-Encoding"
DEFLATE = "deflate"  # the zlib format, which HTTP calls deflate
ACCEPTS_DEFLATE: Mapping[str, str] = {ACCEPT_ENCODING: DEFLATE}


class EncodingError(ValueError):
    """A message body could not be decompressed."""


class EncodedBody(Struct, frozen=True):
    """A body as it is sent, compressed or not."""

    data: bytes
    headers: Mapping[str, str]  # `Content-Encoding` if the data is compressed, else empty


def compress(body: bytes, allowed: bool = True) -> EncodedBody:
    """Deflate the body if it is long, becomes shorter by that, and the receiver accepts it (`allowed`)."""
    if allowed and len(body) >= MIN_COMPRESS_BYTES:
        deflated = zlib.compress(body, COMPRESSION_LEVEL)
        if len(deflated) < len(body):
            return EncodedBody(deflated, {CONTENT_ENCODING: DEFLATE})
    return EncodedBody(body, {})


def decompress(data: bytes, encoding: str, max_bytes: int) -> bytes:
    """Decompress data sent with the `Content-Encoding` `encoding` (empty: not compressed).

    Raises `EncodingError` if the encoding is not supported, the data is invalid, or the body exceeds `max_bytes`.
    """
    if not encoding:
        return data
    if encoding.lower() != DEFLATE:
        raise EncodingError(f"Content-Encoding {encoding} is not supported")
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise EncodingError(str(error)) from error
    if not decompressor.eof:
        raise EncodingError(f"body truncated, or larger than {max_bytes} bytes")
    return body
