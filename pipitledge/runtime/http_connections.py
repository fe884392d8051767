"""A server's connections: watched while idle, off the watch while a request on them is read and answered.

One thread accepts and watches. It never waits for anything but events: what may take time is for the request threads.
"""

from __future__ import annotations

import contextlib
import os
import selectors
import socket
import threading
import time
from typing import TYPE_CHECKING, Any

from cheroot import connections, server

from pipitledge.runtime.http_buffers import make_file

if TYPE_CHECKING:
    from pipitledge.runtime.http_server import CherootServer

ACCEPT_PAUSE_SECONDS = 0.05  # after a failure to accept, such as too many descriptors
RETIRE_POLL_SECONDS = 0.02  # between looks whether the last call has ended
WAKE = "wake"  # what the selector tells of the pipe that wakes the watching thread
WAKE_BYTES = 64


class InFlightCalls:
    """Counts connections on which a request has begun and not been answered yet.

    A connection may count twice for a moment: its next request may have begun before the thread of the last one has
    told that it is done.
    """

    def __init__(self) -> None:
        """Begin with none."""
        self._lock = threading.Lock()
        self._count = 0

    def __len__(self) -> int:
        """How many there are."""
        return self._count

    def begin(self) -> None:
        """A request has begun to arrive."""
        with self._lock:
            self._count += 1

    def end(self) -> None:
        """It was answered, or its connection closed."""
        with self._lock:
            self._count -= 1


class IdleConnectionManager(connections.ConnectionManager):
    """Watches the listening socket and all idle connections."""

    server: CherootServer
    _selector: Any

    def __init__(self, owner: CherootServer) -> None:
        """Watch for `owner`, which listens already."""
        super().__init__(owner)
        self.in_flight = InFlightCalls()
        self.finished = threading.Event()  # retired, and the last call has been answered
        self._retiring = False
        self._listening = True
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_write, False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, data=WAKE)

    @property
    def _num_connections(self) -> int:
        """How many idle connections are watched; cheroot's limit of kept ones goes by it."""
        own = 1 + self._listening  # the pipe, and the listening socket
        return len(self._selector) - own

    # ---- called from other threads

    def put(self, conn: Any) -> None:
        """Watch a connection whose request was answered, or serve it at once if its next request is here."""
        if conn.rfile.has_data():
            self.server.process_conn(conn)
            return
        self._add_idle(conn)
        self.in_flight.end()

    def retire(self) -> None:
        """Accept what waits and no more; answer what comes; finish at the first moment without a call."""
        self._retiring = True
        self._wake()

    def request_stop(self) -> None:
        """Leave `run` after the event under way."""
        self._stop_requested = True
        self._wake()

    def close(self) -> None:
        """Close all idle connections."""
        self._close_idle()
        self._selector.close()
        for descriptor in (self._wake_read, self._wake_write):
            os.close(descriptor)

    def _wake(self) -> None:
        with contextlib.suppress(BlockingIOError):  # then it is woken already
            os.write(self._wake_write, b"w")

    def _add_idle(self, conn: Any) -> None:
        conn.last_used = time.monotonic()
        self._selector.register(conn.socket.fileno(), selectors.EVENT_READ, data=conn)

    # ---- the watching thread

    def _run(self, expiration_interval: float) -> None:
        """Serve events until stopped, or until finished after `retire`."""
        expire_at = time.monotonic() + expiration_interval
        while not self._stop_requested:
            self._serve_ready(RETIRE_POLL_SECONDS if self._retiring else expiration_interval)
            if self._retiring and self._retired():
                return
            if time.monotonic() >= expire_at:
                self._expire(time.monotonic() - self.server.options.idle_seconds)
                expire_at = time.monotonic() + expiration_interval

    def _serve_ready(self, timeout: float) -> int:
        """Serve what is there within `timeout` seconds; how many events there were."""
        ready = list(self._selector.select(timeout=timeout))
        for descriptor, what in ready:
            if what is self.server:
                self._accept()
            elif what is WAKE:
                os.read(self._wake_read, WAKE_BYTES)
            else:
                # Under way before it is off the watch, so that it is counted at every moment.
                self.in_flight.begin()
                self._selector.unregister(descriptor)
                self.server.process_conn(what)
        return len(ready)

    def _retired(self) -> bool:
        """Whether the last call has ended, with nothing more to read on any connection."""
        if self._listening:
            self._stop_listening()
        if len(self.in_flight) or self._serve_ready(0):
            return False
        self._close_idle()
        self.finished.set()
        return True

    def _stop_listening(self) -> None:
        """Take the connections that wait to be accepted, but not those that go on coming; refuse all later ones."""
        self._listening = False
        listener = self.server.socket
        listener.setblocking(False)
        for _ in range(self.server.request_queue_size):
            if not self._accept():
                break
        self._selector.unregister(listener.fileno())
        listener.close()

    def _accept(self) -> bool:
        """Accept one connection and watch it, until a request begins; whether there was one."""
        try:
            accepted = self._from_server_socket(self.server.socket)  # type: ignore[attr-defined]
        except OSError as error:
            self.server.log.warning("accept_failed", server=self.server.options.name, error=repr(error))
            time.sleep(ACCEPT_PAUSE_SECONDS)
            return False
        if accepted is None:
            return False
        if self._num_connections >= self.server.options.connections:
            accepted.close_idle()
        else:
            self._add_idle(accepted)
        return True

    def _close_idle(self) -> None:
        """Close every idle connection; one that can't be closed holds up none of the others."""
        for _, connection in list(self._selector.connections):
            if not isinstance(connection, Connection):
                continue
            try:
                connection.close_idle()
            except Exception as error:
                self.server.log.warning("close_failed", server=self.server.options.name, error=repr(error))

    def _expire(self, threshold: float) -> None:
        """Close connections that were last used before `threshold`, by steady time."""
        for descriptor, connection in list(self._selector.connections):
            if isinstance(connection, Connection) and connection.last_used < threshold:
                self._selector.unregister(descriptor)
                connection.close_idle()


class Connection(server.HTTPConnection):
    """A connection with buffers of the C library."""

    last_used: float

    def __init__(self, owner: CherootServer, sock: socket.socket, makefile: object = None) -> None:
        """Serve `sock` for `owner`."""
        super().__init__(owner, sock, make_file)

    def close(self) -> None:
        """Close it, with the call on it; cheroot's threads do so."""
        try:
            super().close()
        finally:
            self.server.in_flight_calls.end()

    def close_idle(self) -> None:
        """Close it while no call is under way on it."""
        super().close()
