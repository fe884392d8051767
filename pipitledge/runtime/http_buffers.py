"""Connection buffers based on `io.BufferedReader`, which is written in C, instead of cheroot's buffers in Python."""

from __future__ import annotations

import io
import socket
from typing import Any


class RawSocket(socket.SocketIO):
    """A raw socket stream; while `paused` is set, reads return no data instead of blocking."""

    paused = False

    def readinto(self, buffer: Any) -> int | None:
        """Read the available bytes, blocking until there is at least one; return None while paused."""
        return None if self.paused else super().readinto(buffer)


class Reader(io.BufferedReader):
    """A buffered reader of a connection."""

    def __init__(self, sock: socket.socket, size: int) -> None:
        """Read from `sock` through a buffer of `size` bytes."""
        self._source = RawSocket(sock, "r")
        super().__init__(self._source, size)

    def has_data(self) -> bool:
        """Return whether bytes are buffered, without reading from the socket."""
        self._source.paused = True
        try:
            return bool(self.peek(1))
        finally:
            self._source.paused = False


class Writer:
    """An unbuffered writer of a connection."""

    def __init__(self, sock: socket.socket) -> None:
        """Write to `sock`."""
        self._socket = sock

    def write(self, data: bytes) -> int:
        """Send all of `data`."""
        self._socket.sendall(data)
        return len(data)


def make_file(sock: socket.socket, mode: str = "r", size: int = io.DEFAULT_BUFFER_SIZE) -> Reader | Writer:
    """Create a reader or writer; replaces cheroot's `MakeFile`."""
    return Reader(sock, size) if "r" in mode else Writer(sock)
