"""A document on its way from a client to a printer, with back-pressure: what is held is bounded, whatever its size.

Up to `kept` bytes are held from its start, so that one that is shorter can be sent again to another printer once the
first is proved not to have printed it. A longer one streams: what the printer's side has read is let go, and then it
can't begin again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

KEPT = 64 * 1024


class Document:
    """Bytes that come in at one end and are read at the other, by offset."""

    def __init__(self, kept: int = KEPT) -> None:
        """Begin empty. `on_more` and `on_room` are called when there is something to read, or room again."""
        self.kept = kept
        self.size = 0  # bytes that have come
        self.ended = self.broken = False
        self.on_more: Callable[[], None] = lambda: None
        self.on_room: Callable[[], None] = lambda: None
        self._parts: deque[bytes] = deque()
        self._start = 0  # offset of the first byte that is still held

    @property
    def held(self) -> int:
        """Bytes held just now."""
        return self.size - self._start

    @property
    def is_full(self) -> bool:
        """Whether whoever fills it should wait."""
        return self.held >= self.kept and not self.ended

    @property
    def can_begin(self) -> bool:
        """Whether it can be sent from its first byte."""
        return self._start == 0 and not self.broken

    def put(self, data: bytes) -> None:
        """Bytes came from the client."""
        if data:
            self._parts.append(data)
            self.size += len(data)
            self.on_more()

    def end(self) -> None:
        """The client has sent it all."""
        self.ended = True
        self.on_more()

    def fail(self) -> None:
        """The client left amid the upload: it will never be whole."""
        self.broken = not self.ended
        self.on_more()

    def read(self, at: int) -> bytes | None:
        """What is held from this offset on, as far as one part goes; b"" at the end; None: nothing yet."""
        if self.held >= self.kept and not self.ended:
            self._let_go(at)
        offset = self._start
        for part in self._parts:
            if at < offset + len(part):
                return part[at - offset :]
            offset += len(part)
        return b"" if self.ended else None

    def _let_go(self, at: int) -> None:
        while self._parts and self._start + len(self._parts[0]) <= at:
            self._start += len(self._parts.popleft())
        self.on_room()

    def release(self) -> None:
        """Let go of everything: nobody will read it any more."""
        self._parts.clear()
        self._start = self.size
        self.on_room()
