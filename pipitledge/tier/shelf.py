"""Documents of a node, and those that come in pieces. No I/O.

    states of a document      leaves by
    wanted                    its first piece -> partly here; time without one -> wanted from the next source
    partly here               the last piece, digest right -> here; wrong -> wanted from the next source, from its start
    here                      `keep` without it -> gone

Always true: what is here has the digest that it is kept under; what is on its way takes no more than MOST bytes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from pipitledge.tier import document
from pipitledge.tier.messages import Piece

WINDOW, AGAIN_MS = 8, 120.0  # pieces asked for at one time; asked for again after
ONCE = 12_000  # bytes of a piece where the carrier has no narrower limit


@dataclass(slots=True)
class Coming:
    """A document on its way."""

    sources: tuple[str, ...]
    turn: int = 0
    size: int = -1
    parts: dict[int, bytes] = field(default_factory=dict)
    step: int = 0  # bytes of a piece, by the first that came
    asked: dict[int, float] = field(default_factory=dict)  # when last, by offset
    heard_ms: float = -math.inf  # when the source was first asked, or its last piece came

    @property
    def source(self) -> str:
        """Who is asked now."""
        return self.sources[self.turn % len(self.sources)]

    def restart(self) -> None:
        """Begin again with the next source."""
        self.turn += 1
        self.size, self.step, self.parts, self.asked, self.heard_ms = -1, 0, {}, {}, -math.inf


class Shelf:
    """Keeps documents by digest, asks for pieces of others, answers who asks."""

    def __init__(self) -> None:
        """Begin empty."""
        self.data: dict[bytes, bytes] = {}
        self.read: dict[bytes, document.Document] = {}
        self._packed: dict[bytes, bytes] = {}
        self.coming: dict[bytes, Coming] = {}
        self.damaged = 0

    def put(self, made: document.Document) -> bytes:
        """Keep a document; its digest."""
        data = made.data()
        digest = document.digest_of(data)
        self.data[digest], self.read[digest] = data, made
        self._packed[digest] = document.packed(data)
        self.coming.pop(digest, None)
        return digest

    def keep(self, digests: set[bytes]) -> None:
        """Let go of all others, and of what is no longer wanted."""
        for digest in [digest for digest in self.data if digest not in digests]:
            del self.data[digest], self.read[digest], self._packed[digest]
        for digest in [digest for digest in self.coming if digest not in digests]:
            del self.coming[digest]

    def want(self, digest: bytes, sources: tuple[str, ...]) -> None:
        """Get a document from one of these; what is here or coming already is not asked for anew."""
        if digest in self.data or not sources:
            return
        known = self.coming.get(digest)
        if known is None:
            self.coming[digest] = Coming(sources)
        elif set(sources) - set(known.sources):
            known.sources = tuple(dict.fromkeys((*known.sources, *sources)))

    def due(self, now: float) -> list[tuple[str, bytes, int]]:
        """Which pieces to ask for now: of whom, digest, offset."""
        asks: list[tuple[str, bytes, int]] = []
        for digest, coming in self.coming.items():
            if coming.heard_ms > -math.inf and now - coming.heard_ms > 5.0 * AGAIN_MS:
                coming.restart()
            coming.heard_ms = max(coming.heard_ms, now) if coming.heard_ms == -math.inf else coming.heard_ms
            for offset in self._missing(coming)[:WINDOW]:
                if now - coming.asked.get(offset, -math.inf) >= AGAIN_MS:
                    coming.asked[offset] = now
                    asks.append((coming.source, digest, offset))
        return asks

    @staticmethod
    def _missing(coming: Coming) -> list[int]:
        if coming.size < 0:
            return [0]
        return [offset for offset in range(0, coming.size, max(1, coming.step)) if offset not in coming.parts]

    def piece(self, digest: bytes, offset: int, most: int) -> tuple[int, bytes] | None:
        """The whole size and a piece of a document; None if it is not here or there is nothing at this offset."""
        packed = self._packed.get(digest)
        if packed is None or not 0 <= offset < len(packed):
            return None
        return len(packed), packed[offset : offset + most]

    def came(self, piece: Piece, now: float) -> document.Document | None:
        """Take a piece; the document, once it is whole and is the one."""
        coming = self.coming.get(piece.digest)
        if (
            coming is None
            or not 0 < piece.size <= document.MOST
            or not piece.data
            or piece.sender != coming.source
            or (coming.size >= 0 and piece.size != coming.size)
        ):
            return None
        if coming.size < 0:
            if piece.offset:
                return None
            coming.size, coming.step = piece.size, len(piece.data)
        if (
            piece.offset % coming.step
            or piece.offset + len(piece.data) > coming.size
            or len(piece.data) != min(coming.step, coming.size - piece.offset)
        ):
            return None
        coming.parts[piece.offset], coming.heard_ms = piece.data, now
        coming.asked.pop(piece.offset, None)
        if self._missing(coming):
            return None
        try:
            data = document.unpacked(b"".join(part for _, part in sorted(coming.parts.items())), piece.digest)
            made = document.read(data)
        except document.BadDocument:
            self.damaged += 1
            coming.restart()
            return None
        if made.data() != data:  # not canonical: its digest would be another's
            self.damaged += 1
            del self.coming[piece.digest]
            return None
        self.put(made)
        return made
