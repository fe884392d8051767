"""Transfer of the configuration to data plane nodes: as changes where a node has their base version, and in pieces.

A pull must be answered within a fixed time on any link, so an answer must not grow with the configuration. The data is
compressed and cut into pieces that a slow link carries well within the timeout of a pull. A node that has received some
pieces asks for the rest; it doesn't have to restart as long as the primary still keeps the same transfer.
"""

from __future__ import annotations

import hashlib
import zlib
from collections import OrderedDict, deque
from collections.abc import Sequence

from msgspec import Struct

from pipitledge.wire.messages import PartialTransfer, Update

PIECE_BYTES = 24 * 1024  # per answer; a link of 1 Mbit/s carries it in 0.2 s, and a pull times out after 0.8 s
CHANGES_KEPT = 64  # most recent changes, for nodes that lack only these
FULL_VERSIONS_KEPT = 3  # full versions whose transfer a node can still complete
MAX_DATASET_BYTES = 64 * 1024 * 1024  # uncompressed; a larger dataset is refused
COMPRESSION_LEVEL = 6
DIGEST_BYTES = 8


class TransferError(ValueError):
    """Received data is not what was announced or can't be decompressed."""


class Transfer(Struct, frozen=True):
    """One compressed version of a dataset: in full, or as a change to an earlier version."""

    origin: str
    base: int  # the version that the change applies to; 0: a full version
    version: int
    digest: int  # of `data`
    data: bytes

    def piece(self, offset: int, size: int) -> Update:
        """Return the piece of at most `size` bytes that starts at `offset`."""
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
        """Return the offset at which a node that holds `partial` continues; 0 if that is of another transfer."""
        return partial.offset if partial is not None and self.matches(partial) else 0

    def matches(self, partial: PartialTransfer) -> bool:
        """Return whether `partial` is an incomplete copy of this transfer."""
        held = (partial.origin, partial.base, partial.version, partial.digest)
        same = held == (self.origin, self.base, self.version, self.digest)
        return same and 0 <= partial.offset < len(self.data)


def pack(origin: str, base: int, version: int, payload: bytes) -> Transfer:
    """Return the transfer of a payload, compressed."""
    data = zlib.compress(payload, COMPRESSION_LEVEL)
    return Transfer(origin, base, version, _digest(data), data)


class TransferSource:
    """The sending side, on the primary: the newest version of one dataset, and the changes that led to it."""

    def __init__(self, origin: str) -> None:
        """Create a source without any version yet."""
        self._origin = origin
        self._version = 0
        self._full_transfers: OrderedDict[int, Transfer] = OrderedDict()  # by version, compressed on first use
        self._payload = b""
        self._changes: deque[Transfer] = deque(maxlen=CHANGES_KEPT)

    def publish(self, version: int, payload: bytes, change: bytes | None = None) -> None:
        """Offer a new version: `payload` is the full dataset, `change` the difference to the version before, if any."""
        if change is None or not self._version:
            self._changes.clear()
        else:
            self._changes.append(pack(self._origin, self._version, version, change))
        self._version = version
        self._payload = payload

    def updates(self, held: int, partial: PartialTransfer | None) -> list[Update]:
        """Return the next pieces for a node that holds version `held` and perhaps a part of a newer one."""
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
        """Return the transfers, in order, that bring a node from version `held` to the newest or a resumed one."""
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
        """Return the full version that the node has a part of, if it is still kept.

        It goes before newer versions: otherwise frequent changes could keep a node from ever completing a transfer.
        """
        if partial is None or partial.base or partial.version <= held:
            return None
        full = self._full_transfers.get(partial.version)
        return full if full is not None and full.matches(partial) else None

    def _changes_after(self, held: int) -> list[Transfer]:
        """Return all changes since version `held`; none if they don't reach back that far."""
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
    """A completely received transfer, decompressed."""

    base: int
    version: int
    payload: bytes


class TransferAssembly:
    """The receiving side, on a data plane node: the pieces of one transfer received so far."""

    def __init__(self) -> None:
        """Create an assembly without any pieces yet."""
        self._first: Update | None = None
        self._data = bytearray()

    @property
    def partial(self) -> PartialTransfer | None:
        """The transfer in progress and the bytes received of it; None if there is none."""
        first = self._first
        if first is None:
            return None
        return PartialTransfer(first.origin, first.base, first.version, first.digest, len(self._data))

    def add(self, update: Update) -> CompletedTransfer | None:
        """Add a piece; return the transfer if it is complete now. Raise `TransferError` if its data is corrupt."""
        if update.offset == 0:
            self._first = update
            self._data.clear()
        first = self._first
        if first is None or not _same_transfer(first, update) or update.offset != len(self._data):
            return None  # a duplicate piece, or a piece of an abandoned transfer
        self._data += update.payload
        if len(self._data) < update.total:
            return None
        data = bytes(self._data)
        self.reset()
        return CompletedTransfer(update.base, update.version, _unpack(data, update))

    def reset(self) -> None:
        """Discard the pieces received so far."""
        self._first = None
        self._data.clear()


def _same_transfer(one: Update, other: Update) -> bool:
    return (one.origin, one.base, one.version, one.digest) == (other.origin, other.base, other.version, other.digest)


def _unpack(data: bytes, update: Update) -> bytes:
    if len(data) != update.total or _digest(data) != update.digest:
        raise TransferError(f"version {update.version}: the pieces do not match the announced length and digest")
    unpacker = zlib.decompressobj()
    try:
        payload = unpacker.decompress(data, MAX_DATASET_BYTES)
    except zlib.error as error:
        raise TransferError(f"version {update.version}: {error}") from error
    if not unpacker.eof:
        raise TransferError(f"version {update.version}: truncated, or longer than {MAX_DATASET_BYTES} bytes")
    return payload


def _digest(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest(), "big")
