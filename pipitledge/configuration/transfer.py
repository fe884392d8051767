"""How the configuration travels to data plane nodes: changes where a node has what they build on, and all in pieces.

A pull has to be answered within a fixed time whatever the link, so no answer may grow with the configuration. What is
to be handed over is compressed, and cut into pieces that a thin link carries well within a pull; a node that holds a
part asks for the rest of it, and never begins anew as long as the primary still has that very transfer.
"""

from __future__ import annotations

import hashlib
import zlib
from collections import OrderedDict, deque
from collections.abc import Sequence

from msgspec import Struct

from pipitledge.wire.messages import PartialTransfer, Update

PIECE_BYTES = 24 * 1024  # of one answer; a link of 1 Mbit/s carries it in 0.2 s, where a pull waits for 0.8 s
CHANGES_KEPT = 64  # the last ones, for nodes that lack only these
FULL_VERSIONS_KEPT = 3  # versions of which a node may still fetch the rest
MAX_DATASET_BYTES = 64 * 1024 * 1024  # bytes, unpacked; more is no configuration
COMPRESSION_LEVEL = 6
DIGEST_BYTES = 8


class TransferError(ValueError):
    """What came does not unpack to what was announced."""


class Transfer(Struct, frozen=True):
    """One version of a dataset on its way, packed: full, or as a change on top of an earlier version."""

    origin: str
    base: int  # the version that it changes; 0: it is full
    version: int
    digest: int  # of `data`
    data: bytes

    def piece(self, offset: int, size: int) -> Update:
        """The part from `offset` on, of at most `size` bytes."""
        return Update(
            origin=self.origin,
            version=self.version,
            payload=self.data[offset : offset + size],
            base=self.base,
            digest=self.digest,
            offset=offset,
            total=len(self.data),
        )

    def resume_offset(self, partial: PartialTransfer | None) -> int:
        """From where on a node that holds `partial` still needs it."""
        return partial.offset if partial is not None and self.matches(partial) else 0

    def matches(self, partial: PartialTransfer) -> bool:
        """Whether `partial` is a part of this very transfer."""
        held = (partial.origin, partial.base, partial.version, partial.digest)
        same = held == (self.origin, self.base, self.version, self.digest)
        return same and 0 <= partial.offset < len(self.data)


def pack(origin: str, base: int, version: int, payload: bytes) -> Transfer:
    """Compress a payload for its way."""
    data = zlib.compress(payload, COMPRESSION_LEVEL)
    return Transfer(origin, base, version, _digest(data), data)


class TransferSource:
    """The primary's side: the newest version of one dataset, and the changes that led there."""

    def __init__(self, origin: str) -> None:
        """Nothing is there to hand out."""
        self._origin = origin
        self._version = 0
        self._full_transfers: OrderedDict[int, Transfer] = OrderedDict()  # by version, packed when first asked for
        self._payload = b""
        self._changes: deque[Transfer] = deque(maxlen=CHANGES_KEPT)

    def publish(self, version: int, payload: bytes, change: bytes | None = None) -> None:
        """`version` is in force, `payload` full; `change` leads there from the version before, if one does."""
        if change is None or not self._version:
            self._changes.clear()
        else:
            self._changes.append(pack(self._origin, self._version, version, change))
        self._version = version
        self._payload = payload

    def updates(self, held: int, partial: PartialTransfer | None) -> list[Update]:
        """The next pieces for a node that holds version `held` and maybe a part of a newer one."""
        updates = list[Update]()
        remaining_bytes = PIECE_BYTES
        for transfer in self._transfers_for(held, partial):
            offset = transfer.resume_offset(partial)
            updates.append(transfer.piece(offset, remaining_bytes))
            remaining_bytes -= len(updates[-1].payload)
            if remaining_bytes <= 0:
                break
        return updates

    def _transfers_for(self, held: int, partial: PartialTransfer | None) -> Sequence[Transfer]:
        """What brings a node from version `held` to the newest one, in order."""
        if held >= self._version:
            return []
        resumed = self._resumable(held, partial)
        if resumed is not None:
            return [resumed]
        full = self._full_transfer()
        changes = self._changes_after(held)
        if changes and sum(len(change.data) for change in changes) <= len(full.data):
            return changes
        return [full]

    def _resumable(self, held: int, partial: PartialTransfer | None) -> Transfer | None:
        """The full version that the node holds a part of, if it is still here: newer ones must not keep it from it."""
        if partial is None or partial.base or partial.version <= held:
            return None
        full = self._full_transfers.get(partial.version)
        return full if full is not None and full.matches(partial) else None

    def _changes_after(self, held: int) -> list[Transfer]:
        """All changes since version `held`; none if they don't reach back to it."""
        bases = [change.base for change in self._changes]
        return list(self._changes)[bases.index(held) :] if held in bases else []

    def _full_transfer(self) -> Transfer:
        full = self._full_transfers.get(self._version)
        if full is None:
            full = self._full_transfers[self._version] = pack(self._origin, 0, self._version, self._payload)
            if len(self._full_transfers) > FULL_VERSIONS_KEPT:
                self._full_transfers.popitem(last=False)
        return full


class CompletedTransfer(Struct, frozen=True):
    """A transfer that has come full, unpacked."""

    base: int
    version: int
    payload: bytes


class TransferAssembly:
    """A data plane node's side: the pieces of one transfer so far."""

    def __init__(self) -> None:
        """Nothing has come yet."""
        self._first: Update | None = None
        self._data = bytearray()

    @property
    def partial(self) -> PartialTransfer | None:
        """What is held of a transfer that is not complete."""
        first = self._first
        if first is None:
            return None
        return PartialTransfer(first.origin, first.base, first.version, first.digest, len(self._data))

    def add(self, update: Update) -> CompletedTransfer | None:
        """Add a piece; the transfer if it is complete now. Raises `TransferError` if it can't be unpacked."""
        if update.offset == 0:
            self._first = update
            self._data.clear()
        first = self._first
        if first is None or not _same_transfer(first, update) or update.offset != len(self._data):
            return None  # a piece that came twice, or of a transfer that was given up
        self._data += update.payload
        if len(self._data) < update.total:
            return None
        data = bytes(self._data)
        self.reset()
        return CompletedTransfer(update.base, update.version, _unpack(data, update))

    def reset(self) -> None:
        """Forget what is held."""
        self._first = None
        self._data.clear()


def _same_transfer(one: Update, other: Update) -> bool:
    return (one.origin, one.base, one.version, one.digest) == (other.origin, other.base, other.version, other.digest)


def _unpack(data: bytes, update: Update) -> bytes:
    if len(data) != update.total or _digest(data) != update.digest:
        raise TransferError(f"version {update.version}: the pieces are not those that were announced")
    unpacker = zlib.decompressobj()
    try:
        payload = unpacker.decompress(data, MAX_DATASET_BYTES)
    except zlib.error as error:
        raise TransferError(f"version {update.version}: {error}") from error
    if not unpacker.eof:
        raise TransferError(f"version {update.version}: cut short, or above {MAX_DATASET_BYTES} bytes")
    return payload


def _digest(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest(), "big")
