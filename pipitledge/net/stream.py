"""A connected socket with its receive buffer and gathered writes; the only place that reads and writes."""

from __future__ import annotations

import contextlib
import errno
import socket
from collections.abc import Callable, Sequence

from pipitledge.net.scheduler import WRITE, Scheduler, Wake

Part = bytes | memoryview
_DROPPED = bytearray(64 * 1024)  # written over and never read
AT_ONCE = 64  # parts handed to one sendmsg; far under the system's limit of 1,024
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def accept_some(
    listener: socket.socket,
    most: int,
    room: Callable[[], bool],
    take: Callable[[socket.socket], None],
    starved: Callable[[int], None],
) -> bool:
    """Accept up to `most` of those that wait while `room` allows; False where room or a descriptor is lacking.

    Any other fault is of one client, gone before it was taken: the next is tried.
    """
    for _ in range(most):
        if not room():
            return False
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return True
        except OSError as fault:
            if fault.errno in NO_DESCRIPTOR:
                starved(fault.errno)
                return False
            continue
        take(sock)
    return True


class ReceiveBuffer:
    """Bytes received and not yet consumed: data[start:end]. Parsers read them in place."""

    def __init__(self, size: int = 2048, most: int = 96 * 1024) -> None:
        """Start small and grow up to the most."""
        self.data = bytearray(size)
        self.start = self.end = 0
        self.most = most

    def __len__(self) -> int:
        """Count the bytes that wait."""
        return self.end - self.start

    def room(self) -> memoryview:
        """Return the free space at the end, empty if the buffer is full; earlier offsets lapse."""
        if self.start == self.end:
            self.start = self.end = 0
        if self.end == len(self.data) and self.start:
            del self.data[: self.start]
            self.end, self.start = self.end - self.start, 0
            self.data.extend(bytes(max(0, 2048 - len(self.data))))
        if self.end == len(self.data):
            self.data.extend(bytes(min(len(self.data), self.most - len(self.data))))
        return memoryview(self.data)[self.end :]

    def put(self, data: bytes) -> None:
        """Append bytes that did not come by recv_into."""
        while data:
            with self.room() as room:
                size = min(len(room), len(data))
                room[:size] = data[:size]
            if not size:
                raise OverflowError("receive buffer full")
            self.end += size
            data = data[size:]

    def consume(self, size: int) -> None:
        """Mark bytes at the front as done."""
        self.start += size


class Stream:
    """A non-blocking socket of one task."""

    def __init__(self, scheduler: Scheduler, sock: socket.socket, buffer: ReceiveBuffer | None = None) -> None:
        """Take over a socket."""
        self.scheduler, self.sock = scheduler, sock
        self.buffer = buffer or ReceiveBuffer()
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def dial(self, address: tuple[str, int], until_ms: float, is_off: Callable[[], bool] = lambda: False) -> bool:
        """Connect; False if time ran out or it is off, which a notice makes it look at. A refusal is an OSError."""
        with contextlib.suppress(BlockingIOError):
            self.sock.connect(address)
            return True
        why = Wake.NOTICE
        while why is Wake.NOTICE:
            if is_off():
                return False
            why = self.scheduler.wait(until_ms, self.sock.fileno(), WRITE)
        if why is Wake.TIMEOUT:
            return False
        if error := self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(error, "connect failed")
        return True

    def read(self) -> int:
        """Read once without waiting: bytes read, 0 at the end, -1 if there is nothing now."""
        with self.buffer.room() as room:
            if not room:
                raise OverflowError("receive buffer full")
            try:
                size = self.sock.recv_into(room)
            except BlockingIOError:
                return -1
        self.buffer.end += size
        return size

    def drop(self) -> int:
        """Read once as `read` does, and keep nothing."""
        try:
            return self.sock.recv_into(_DROPPED)
        except BlockingIOError:
            return -1

    def readable(self, until_ms: float) -> Wake:
        """Wait until there is something to read, a notice, or time is up."""
        return self.scheduler.wait(until_ms, self.sock.fileno())

    def write(self, parts: Sequence[Part], until_ms: float, is_off: Callable[[], bool] = lambda: False) -> bool:
        """Write all parts, gathered; False if time ran out first or it is off, which a notice makes it look at."""
        left = [memoryview(part) for part in parts if len(part)]
        first = 0
        while first < len(left):
            try:
                sent = self.sock.sendmsg(left[first : first + AT_ONCE])
            except BlockingIOError:
                if is_off() or self.scheduler.wait(until_ms, self.sock.fileno(), WRITE) is Wake.TIMEOUT:
                    return False
                continue
            while first < len(left) and sent >= len(left[first]):
                sent -= len(left[first])
                first += 1
            if sent:  # a part went out in part: the rest of it is next
                left[first] = left[first][sent:]
        return True

    def is_quiet(self) -> bool:
        """Whether an idle connection is still open and nothing has come on it."""
        return self._peek() is None and not len(self.buffer)

    def has_ended(self) -> bool:
        """Whether the other side's end has come and nothing ahead of it is left to read."""
        return self._peek() == b""

    def _peek(self) -> bytes | None:
        """The next byte without taking it, empty at the end, a reset's too; None if there is nothing now."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def linger(self, until_ms: float) -> None:
        """Send the end, then drop what still comes: closing on unread bytes would reset the answer away.

        One read a round into a buffer that all share: who still sends 60 MB at full speed takes neither
        memory nor the loop. A notice ends it too.
        """
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
            while self.readable(until_ms) is Wake.READY and self.drop():
                pass

    def close(self) -> None:
        """Close the socket; again does nothing."""
        if self.sock.fileno() >= 0:
            self.scheduler.forget(self.sock.fileno())
            self.sock.close()
