"""The file operations that storage uses, behind protocols so that tests can substitute a model of a disk."""

from __future__ import annotations

import os
from typing import Protocol

FILE_MODE = 0o644


class File(Protocol):
    """An open file."""

    def read_all(self) -> bytes:
        """Return the whole content."""

    def write_at(self, offset: int, data: bytes) -> None:
        """Write all of `data` at byte `offset`."""

    def truncate(self, size: int) -> None:
        """Set the length of the file to `size` bytes."""

    def sync(self) -> None:
        """Return once content and length would survive a power loss."""

    def sync_data(self) -> None:
        """Like `sync`, but without metadata that isn't needed to read the content, such as the modification time."""

    def close(self) -> None:
        """Close the file and release its descriptor."""


class FileSystem(Protocol):
    """Operations on folders and their files. Every operation may raise OSError."""

    def make_folder(self, folder: str) -> None:
        """Create the folder if it does not exist."""

    def open(self, folder: str, name: str) -> File:
        """Open a file for reading and writing; it is created empty if it does not exist."""

    def sync_folder(self, folder: str) -> None:
        """Return once the directory entries of its files would survive a power loss."""


class OsFile:
    """A file of the operating system."""

    def __init__(self, descriptor: int) -> None:
        """Take ownership of an open descriptor."""
        self._descriptor = descriptor

    def read_all(self) -> bytes:
        """Return the whole content."""
        size = os.fstat(self._descriptor).st_size
        chunks: list[bytes] = []
        offset = 0
        while offset < size:
            chunk = os.pread(self._descriptor, size - offset, offset)
            if not chunk:
                break
            chunks.append(chunk)
            offset += len(chunk)
        return b"".join(chunks)

    def write_at(self, offset: int, data: bytes) -> None:
        """Write all of `data` at byte `offset`."""
        left = memoryview(data)
        while left:
            written = os.pwrite(self._descriptor, left, offset)
            left = left[written:]
            offset += written

    def truncate(self, size: int) -> None:
        """Set the length of the file to `size` bytes."""
        os.ftruncate(self._descriptor, size)

    def sync(self) -> None:
        """Sync content and metadata (fsync)."""
        os.fsync(self._descriptor)

    def sync_data(self) -> None:
        """Sync the content and the metadata needed to read it (fdatasync)."""
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self._descriptor)


class OsFileSystem:
    """The file system of the operating system."""

    def make_folder(self, folder: str) -> None:
        """Create the folder and its parents."""
        os.makedirs(folder, exist_ok=True)

    def open(self, folder: str, name: str) -> OsFile:
        """Open a file, creating it if it does not exist."""
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        return OsFile(os.open(os.path.join(folder, name), flags, FILE_MODE))

    def sync_folder(self, folder: str) -> None:
        """Sync the directory entries of the folder."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
