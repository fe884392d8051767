"""What a node with a disk keeps of the tier's agreement: promises, acceptances, entries, and their documents.

In a folder of the node's own: `votes`, a log of records of which the last one counts, each with its length and CRC-32
(zlib); and a file for each document, named by its digest. Every write is on the disk (fsync) before it is told of.

A torn tail, as a crash leaves one, is cut off. Anything else that can't be read is refused with its place, and the file
is left as it is: a foreign file, another node's, one of a newer form, a record damaged amid the log, a document gone.
The log is written anew in one step (rename) when it has grown to MOST_LOG bytes.
"""

from __future__ import annotations

import contextlib
import os
import pathlib
import struct
import zlib

import msgspec

from pipitledge.tier import document
from pipitledge.tier.agreement import Memory

MAGIC, FORM = b"pipitledge-tier", 1
MOST_LOG, MOST_RECORD = 256 * 1024, 64 * 1024
_RECORD = struct.Struct(">II")  # length, CRC-32
_HEAD = msgspec.msgpack.Decoder(tuple[bytes, int, str])
_MEMORY = msgspec.msgpack.Decoder(Memory)


class BadStore(Exception):
    """What the disk holds can't be used; the text has the place and the reason."""


def _frame(body: bytes) -> bytes:
    return _RECORD.pack(len(body), zlib.crc32(body)) + body


class Store:
    """The folder of one node."""

    def __init__(self, folder: str, name: str) -> None:
        """Open or make it; BadStore or OSError where that can't be."""
        self.folder, self.name = pathlib.Path(folder), name
        self.folder.mkdir(parents=True, exist_ok=True)
        self.path = self.folder / "votes"
        self.cut = 0  # bytes of a torn tail that were cut off at the start
        self.memory: Memory | None = None
        self.documents: dict[bytes, document.Document] = {}
        self._kept: set[bytes] = set()
        if self.path.exists():
            self._read()
        else:
            self._write_whole(None)
        self._file = self.path.open("ab")

    # ---- reading

    def _read(self) -> None:
        data = self.path.read_bytes()
        records, good = self._records(data)
        if not records:
            raise BadStore(f"{self.path}: no file of this program")
        try:
            magic, form, name = _HEAD.decode(records[0])
        except msgspec.DecodeError:
            raise BadStore(f"{self.path}: no file of this program") from None
        if magic != MAGIC:
            raise BadStore(f"{self.path}: no file of this program")
        if form != FORM:
            raise BadStore(f"{self.path}: form {form}, this program reads {FORM}")
        if name != self.name:
            raise BadStore(f"{self.path}: it is node {name}'s, this one is {self.name}")
        if len(records) > 1:
            try:
                self.memory = _MEMORY.decode(records[-1])
            except msgspec.DecodeError as fault:
                raise BadStore(f"{self.path}: the last record can't be read: {fault}") from None
        if good < len(data):
            self.cut = len(data) - good
            with self.path.open("r+b") as file:
                file.truncate(good)
                os.fsync(file.fileno())
        if self.memory is not None:
            self._read_documents(self.memory)

    def _records(self, data: bytes) -> tuple[list[bytes], int]:
        """All records, and where the last good one ends. What follows may only be a torn tail."""
        records: list[bytes] = []
        at = 0
        while at + _RECORD.size <= len(data):
            size, crc = _RECORD.unpack_from(data, at)
            end = at + _RECORD.size + size
            if size > MOST_RECORD:
                raise self._damaged(at)
            if end > len(data):
                break
            body = data[at + _RECORD.size : end]
            if zlib.crc32(body) != crc:
                if end == len(data) and records:  # its length was written, not all of it
                    break
                raise self._damaged(at)
            records.append(body)
            at = end
        return records, at

    def _damaged(self, at: int) -> BadStore:
        return BadStore(f"{self.path}: byte {at}: damaged" if at else f"{self.path}: no file of this program")

    def _read_documents(self, memory: Memory) -> None:
        wanted = {entry.digest for entry in (memory.entries[-2:] if not memory.in_force else memory.entries[-1:])}
        if memory.candidate is not None:
            wanted.add(memory.candidate.digest)
        for path in self.folder.glob("policy-*.json"):
            with contextlib.suppress(ValueError):
                digest = bytes.fromhex(path.stem.removeprefix("policy-"))
                data = path.read_bytes()
                if document.digest_of(data) != digest:
                    if digest in wanted:
                        raise BadStore(f"{path}: damaged: its digest is another")
                    continue
                self.documents[digest] = document.read(data)
                self._kept.add(digest)
        for digest in wanted - set(self.documents):
            raise BadStore(f"{self.folder}: policy-{digest.hex()}.json: missing")

    # ---- writing

    def put(self, made: document.Document, digest: bytes) -> None:
        """Keep a document."""
        if digest not in self._kept:
            self._write_file(self.folder / f"policy-{digest.hex()}.json", made.data())
            self._kept.add(digest)

    def keep(self, digests: set[bytes]) -> None:
        """Let go of all other documents."""
        for digest in self._kept - digests:
            (self.folder / f"policy-{digest.hex()}.json").unlink(missing_ok=True)
            self._kept.discard(digest)

    def write(self, memory: Memory) -> None:
        """Keep this; it is on the disk when this returns."""
        if self._file.tell() > MOST_LOG:
            self._file.close()
            self._write_whole(memory)
            self._file = self.path.open("ab")
            return
        self._file.write(_frame(msgspec.msgpack.encode(memory)))
        self._file.flush()
        os.fsync(self._file.fileno())

    def close(self) -> None:
        """Write no more: another process of this node does."""
        self._file.close()

    def _write_whole(self, memory: Memory | None) -> None:
        data = _frame(msgspec.msgpack.encode((MAGIC, FORM, self.name)))
        if memory is not None:
            data += _frame(msgspec.msgpack.encode(memory))
        self._write_file(self.path, data)

    def _write_file(self, path: pathlib.Path, data: bytes) -> None:
        """Put a file in place in one step: whole or not at all."""
        new = path.with_name(path.name + ".new")
        with new.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        new.replace(path)
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
