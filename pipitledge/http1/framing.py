"""Bodies: how long one is, and taking it out of the receive buffer as it comes."""

from __future__ import annotations

import re

from pipitledge.http1.heads import BadMessage, Head
from pipitledge.net.stream import ReceiveBuffer

MAX_BODY = 64 * 1024
_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]{0,256})?\r\n")
_MAX_SIZE_LINE = 300
MAX_CHUNK_LINES = 2_048  # two a chunk, and the trailer's: a body in chunks of a byte each costs far too much


class Body:
    """A body by length, in chunks, or up to the end of the connection."""

    def __init__(self, length: int | None, chunked: bool, most: int) -> None:
        """Read `length` bytes, chunks, or all there is where neither is given."""
        self.chunked, self.most = chunked, most
        self.lines_most = max(MAX_CHUNK_LINES, most // 32)  # a watch goes on for good
        self.left = 0 if chunked else length  # None: until the end of the connection
        self.total = 0
        self.done = length == 0 and not chunked
        self._after_chunk = self._in_trailer = False
        self._lines = 0

    def receive(self, buffer: ReceiveBuffer) -> bytes:
        """Consume what has come and return the body's part of it."""
        parts = []
        while not self.done:
            if self.left != 0:
                if not len(buffer):
                    break
                size = len(buffer) if self.left is None else min(self.left, len(buffer))
                parts.append(bytes(buffer.data[buffer.start : buffer.start + size]))
                buffer.consume(size)
                self._count(size)
                if self.left is not None:
                    self.left -= size
                    self.done = not self.left and not self.chunked
                    self._after_chunk = not self.left and self.chunked
            elif not self._chunk_border(buffer):
                break
        return b"".join(parts)

    def _count(self, size: int) -> None:
        self.total += size
        if self.total > self.most:
            raise BadMessage(413, "body too long")

    def _chunk_border(self, buffer: ReceiveBuffer) -> bool:
        """Step over one line between chunks; False if it has not come whole."""
        line_end = buffer.data.find(b"\r\n", buffer.start, buffer.end)
        if line_end < 0:
            if len(buffer) > _MAX_SIZE_LINE:
                raise BadMessage(400, "bad chunk")
            return False
        start, size = buffer.start, line_end + 2 - buffer.start
        self._lines += 1
        if self._lines > self.lines_most:
            raise BadMessage(400, "too many chunks")
        if self._after_chunk:
            if size != 2:
                raise BadMessage(400, "bad end of chunk")
            self._after_chunk = False
        elif self._in_trailer:
            self.done = size == 2  # trailers are dropped
        else:
            match = _SIZE.fullmatch(buffer.data, start, line_end + 2)
            if match is None:
                raise BadMessage(400, "bad chunk size")
            self.left = int(match.group(1), 16)
            self._in_trailer = self.left == 0
            if self.total + self.left > self.most:
                raise BadMessage(413, "body too long")
        buffer.consume(size)
        return True


def body_of(head: Head, most: int, until_end: bool) -> Body:
    """The body that a head announces; without any announcement none, or all up to the connection's end."""
    # Two announcements are what request smuggling is made of, whatever they say; so is one that readers may
    # take differently: a blank one, or one that is repeated.
    lengths = head.all(b"content-length")
    if head.has(b"transfer-encoding"):
        if lengths or head.minor == b"0":
            raise BadMessage(400, "conflicting body lengths")
        if b",".join(head.all(b"transfer-encoding")).lower() != b"chunked":
            raise BadMessage(501, "unknown transfer coding")
        return Body(None, True, most)
    if not lengths:
        return Body(None if until_end else 0, False, most)
    [length, *others] = lengths
    if others or not length.isdigit() or len(length) > 12:
        raise BadMessage(400, "bad content length")
    if int(length) > most:
        raise BadMessage(413, "body too long")
    return Body(int(length), False, most)
