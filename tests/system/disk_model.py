"""A model of a disk for tests, which simulates the worst that a power loss may do to a real disk.

Synced data survives. Each later change of a file independently survives, is lost or is torn, or all of them are lost.
A file whose folder was not synced since the file was created survives or is lost. The process that uses the disk can be
killed at any operation (`kill_at`), and operations can be made to fail.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

SECTOR_BYTES = 512


class ProcessKilled(Exception):
    """Simulates that the process is killed in the middle of an operation."""


@dataclass
class FileChange:
    """A write, or a truncation to `offset` if `data` is None."""

    offset: int
    data: bytes | None
    synced: bool = False
    sync_failed: bool = False  # its sync failed, so a later successful sync may not cover it


class PowerLossOutcome:
    """Decides what a power loss does to unsynced changes and names."""

    def keeps_name(self) -> bool:
        raise NotImplementedError

    def surviving_parts(self, change: FileChange) -> list[FileChange]:
        raise NotImplementedError


class LoseAll(PowerLossOutcome):
    """All unsynced changes are lost."""

    def keeps_name(self) -> bool:
        return False

    def surviving_parts(self, change: FileChange) -> list[FileChange]:
        return []


class KeepAll(PowerLossOutcome):
    """All unsynced changes survive."""

    def keeps_name(self) -> bool:
        return True

    def surviving_parts(self, change: FileChange) -> list[FileChange]:
        return [change]


class LoseNamesOnly(KeepAll):
    """Unsynced changes survive, but files whose folder entry was not synced are lost."""

    def keeps_name(self) -> bool:
        return False


class RandomOutcome(PowerLossOutcome):
    """Each unsynced change survives, is lost or is torn, chosen at random by the seed."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def keeps_name(self) -> bool:
        return self._random.random() < 0.5

    def surviving_parts(self, change: FileChange) -> list[FileChange]:
        kind = self._random.choice(("kept", "lost", "prefix", "suffix", "sectors"))
        if kind == "lost":
            return []
        if kind == "kept" or change.data is None:
            return [change]
        if kind == "sectors":
            return self._some_sectors(change, change.data)
        cut = self._random.randint(0, len(change.data))
        if kind == "prefix":
            return [FileChange(change.offset, change.data[:cut])]
        return [FileChange(change.offset + cut, change.data[cut:])]

    def _some_sectors(self, change: FileChange, data: bytes) -> list[FileChange]:
        starts = range(0, len(data), SECTOR_BYTES)
        kept = [start for start in starts if self._random.random() < 0.5]
        return [FileChange(change.offset + start, data[start : start + SECTOR_BYTES]) for start in kept]


@dataclass
class ModelInode:
    """A file on the disk: its durable content and the changes not synced yet."""

    durable: bytes = b""
    changes: list[FileChange] = field(default_factory=list)
    name_durable: bool = False

    def content(self) -> bytes:
        return apply(self.durable, self.changes)

    def sync(self) -> None:
        for change in self.changes:
            change.synced = change.synced or not change.sync_failed
        while self.changes and self.changes[0].synced:
            self.durable = apply(self.durable, [self.changes.pop(0)])

    def fail_sync(self) -> None:
        for change in self.changes:
            change.sync_failed = not change.synced

    def after_power_loss(self, power_loss: PowerLossOutcome) -> bytes:
        rest: list[FileChange] = []
        for change in self.changes:
            rest += [change] if change.synced else power_loss.surviving_parts(change)
        return apply(self.durable, rest)


def apply(content: bytes, changes: list[FileChange]) -> bytes:
    """Return the content after the changes are applied in order."""
    changed = bytearray(content)
    for change in changes:
        end = change.offset if change.data is None else change.offset + len(change.data)
        if change.data is None:
            del changed[end:]
        if len(changed) < end:
            changed += bytes(end - len(changed))
        if change.data is not None:
            changed[change.offset : end] = change.data
    return bytes(changed)


class ModelDisk:
    """A disk with one folder; it survives the processes that use it."""

    def __init__(self) -> None:
        self.inodes: dict[str, ModelInode] = {}
        self.operations = 0  # number of operations that change or sync data
        self.syncs = 0
        self.kill_at = -1  # index of the operation at which the process is killed; -1: never
        self.failing_operations = 0  # number of operations that fail from now on

    def lose_power(self, power_loss: PowerLossOutcome) -> None:
        """Keep only what survives a power loss with this outcome."""
        survivors: dict[str, ModelInode] = {}
        for name, inode in self.inodes.items():
            if inode.name_durable or power_loss.keeps_name():
                survivors[name] = ModelInode(inode.after_power_loss(power_loss), name_durable=True)
        self.inodes = survivors

    def wipe(self) -> None:
        self.inodes = {}

    def make_folder(self, folder: str) -> None:
        """Do nothing: the only folder always exists."""

    def open(self, folder: str, name: str) -> ModelFile:
        if name not in self.inodes:
            self._count_or_fail()
            self.inodes[name] = ModelInode()
            self._kill_if_due()
        return ModelFile(self, self.inodes[name])

    def sync_folder(self, folder: str) -> None:
        self._count_or_fail()
        self._kill_if_due()
        self.syncs += 1
        for inode in self.inodes.values():
            inode.name_durable = True

    def change(self, inode: ModelInode, change: FileChange) -> None:
        try:
            self._count_or_fail()
        except OSError:
            if change.data is not None:
                inode.changes.append(FileChange(change.offset, change.data[: len(change.data) // 2]))
            raise
        inode.changes.append(change)
        self._kill_if_due()

    def sync(self, inode: ModelInode) -> None:
        try:
            self._count_or_fail()
        except OSError:
            inode.fail_sync()
            raise
        self._kill_if_due()
        self.syncs += 1
        inode.sync()

    def _count_or_fail(self) -> None:
        self.operations += 1
        if self.failing_operations > 0:
            self.failing_operations -= 1
            raise OSError(5, "Input/output error")

    def _kill_if_due(self) -> None:
        if self.operations - 1 == self.kill_at:
            raise ProcessKilled


class ModelFile:
    """An open file of a `ModelDisk`."""

    def __init__(self, disk: ModelDisk, inode: ModelInode) -> None:
        self._disk = disk
        self._inode = inode

    def read_all(self) -> bytes:
        return self._inode.content()

    def write_at(self, offset: int, data: bytes) -> None:
        self._disk.change(self._inode, FileChange(offset, bytes(data)))

    def truncate(self, size: int) -> None:
        self._disk.change(self._inode, FileChange(size, None))

    def sync(self) -> None:
        self._disk.sync(self._inode)

    def sync_data(self) -> None:
        self._disk.sync(self._inode)

    def close(self) -> None:
        """Do nothing: an open file holds no resources."""
