"""The replicated key-value map, divided into hash ranges with incrementally updated digests."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterable, Iterator

from pipitledge.wire.messages import RangeContent, RangeDigest, Write

RANGE_COUNT = 256


def range_of(key: str) -> int:
    """Return the index of the range that a key belongs to."""
    return zlib.crc32(key.encode()) % RANGE_COUNT


def _digest(key: str, value: bytes) -> int:
    hashed = hashlib.blake2b(key.encode() + b"\0" + value, digest_size=8)
    return int.from_bytes(hashed.digest(), "little")


class StateMap:
    """Keys and values. The digest of a range is the XOR of its pairs' hashes, so the order of writes is irrelevant."""

    def __init__(self) -> None:
        """An empty map."""
        self._ranges: list[dict[str, bytes]] = [{} for _ in range(RANGE_COUNT)]
        self._digests = [0] * RANGE_COUNT

    def fork(self) -> StateMap:
        """Return a copy that may be changed only by `replace_range`; it shares the ranges that are not replaced."""
        copy = StateMap()
        copy._ranges = list(self._ranges)
        copy._digests = list(self._digests)
        return copy

    def get(self, key: str) -> bytes | None:
        """Return the value of `key`; None if the key does not exist."""
        return self._ranges[range_of(key)].get(key)

    def items(self) -> Iterator[tuple[str, bytes]]:
        """Iterate over all keys and values."""
        for content in self._ranges:
            yield from content.items()

    def as_dict(self) -> dict[str, bytes]:
        """Return all keys and values as a new dict."""
        return dict(self.items())

    def __len__(self) -> int:
        """Number of keys."""
        return sum(len(content) for content in self._ranges)

    def load(self, pairs: Iterable[tuple[str, bytes]]) -> None:
        """Add keys that do not exist yet."""
        for key, value in pairs:
            index = range_of(key)
            self._ranges[index][key] = value
            self._digests[index] ^= _digest(key, value)

    def apply(self, writes: list[Write]) -> None:
        """Apply a batch of writes."""
        for write in writes:
            self._apply_one(write)

    def _apply_one(self, write: Write) -> None:
        index = range_of(write.key)
        content = self._ranges[index]
        old = content.pop(write.key, None)
        if old is not None:
            self._digests[index] ^= _digest(write.key, old)
        if not write.deleted:
            content[write.key] = write.value
            self._digests[index] ^= _digest(write.key, write.value)

    def digests(self) -> list[RangeDigest]:
        """Return the digests of all ranges that are not empty."""
        return [
            RangeDigest(range=index, digest=self._digests[index], keys=len(content))
            for index, content in enumerate(self._ranges)
            if content
        ]

    def differing(self, digests: list[RangeDigest]) -> list[int]:
        """Return the indexes of the ranges whose digest or number of keys differs from `digests`."""
        theirs = {digest.range: (digest.digest, digest.keys) for digest in digests}
        return [
            index
            for index, content in enumerate(self._ranges)
            if theirs.get(index, (0, 0)) != (self._digests[index], len(content))
        ]

    def content_of(self, index: int) -> RangeContent:
        """Return all keys and values of one range."""
        pairs = self._ranges[index].items()
        return RangeContent(range=index, writes=[Write(key=key, value=value) for key, value in pairs])

    def replace_range(self, content: RangeContent) -> None:
        """Replace all keys of one range."""
        fresh: dict[str, bytes] = {}
        digest = 0
        for write in content.writes:
            fresh[write.key] = write.value
            digest ^= _digest(write.key, write.value)
        self._ranges[content.range] = fresh
        self._digests[content.range] = digest
