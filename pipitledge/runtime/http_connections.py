"""The connections of a server: a selector polls them while they are idle, but not while a request is handled.

One thread, the event thread, accepts connections and polls the selector. It blocks on nothing but the selector:
anything that may take time is left to the request threads.
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

ACCEPT_PAUSE_SECONDS = 0.05  # after accept() failed, for example for lack of file descriptors
RETIRE_POLL_SECONDS = 0.02  # interval of the check whether the last call has ended
WAKE = "wake"  # the selector's data for the pipe that wakes the event thread
WAKE_BYTES = 64


class InFlightCalls:
    """Counts connections with a request that has begun to arrive and has not been answered yet.

    A connection may briefly count twice: its next request may begin before the thread of the previous request has
    called `end`.
    """

    def __init__(self) -> None:
        """Create a counter at 0."""
        self._lock = threading.Lock()
        self._count = 0

    def __len__(self) -> int:
        """Return the number of connections with a request in progress."""
        return self._count

    def begin(self) -> None:
        """Count a request that has begun to arrive."""
        with self._lock:
            self._count += 1

    def end(self) -> None:
        """Stop counting a request that was answered or whose connection was closed."""
        with self._lock:
            self._count -= 1


class IdleConnectionManager(connections.ConnectionManager):
    """Polls the listening socket and all idle connections."""

    server: CherootServer
    _selector: Any

    def __init__(self, owner: CherootServer) -> None:
        """Manage the connections of `owner`, which is listening already."""
        super().__init__(owner)
        self.in_flight = InFlightCalls()
        self.finished = threading.Event()  # set once `retire` was called and the last call has been answered
        self._retiring = False
        self._listening = True
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_write, False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, data=WAKE)

    @property
    def _num_connections(self) -> int:
        """The number of idle connections; cheroot applies its keep-alive limit to it."""
        own = 1 + self._listening  # the pipe, and the listening socket
        return len(self._selector) - own

    # ---- Methods called from other threads.

    def put(self, conn: Any) -> None:
        """Return a connection to the selector after a response, or serve its next request if that is buffered."""
        if conn.rfile.has_data():
            self.server.process_conn(conn)
            return
        self._add_idle(conn)
        self.in_flight.end()

    def retire(self) -> None:
        """Shut down gracefully.

        Accepts the pending connections and no others, answers all requests that arrive, and finishes as soon as no
        request is in progress.
        """
        self._retiring = True
        self._wake()

    def request_stop(self) -> None:
        """Make `run` return after the current event."""
        self._stop_requested = True
        self._wake()

    def close(self) -> None:
        """Close all idle connections, the selector and the wake pipe."""
        self._close_idle()
        self._selector.close()
        for descriptor in (self._wake_read, self._wake_write):
            os.close(descriptor)

    def _wake(self) -> None:
        with contextlib.suppress(BlockingIOError):  # the pipe is full, so the event thread wakes anyway
            os.write(self._wake_write, b"w")

    def _add_idle(self, conn: Any) -> None:
        conn.last_used = time.monotonic()
        self._selector.register(conn.socket.fileno(), selectors.EVENT_READ, data=conn)

    # ---- Methods called from the event thread.

    def _run(self, expiration_interval: float) -> None:
        """Handle events until stopped, or until the graceful shutdown has finished."""
        expire_at = time.monotonic() + expiration_interval
        while not self._stop_requested:
            self._serve_ready(RETIRE_POLL_SECONDS if self._retiring else expiration_interval)
            if self._retiring and self._finish_if_idle():
                return
            if time.monotonic() >= expire_at:
                self._expire(time.monotonic() - self.server.options.idle_seconds)
                expire_at = time.monotonic() + expiration_interval

    def _serve_ready(self, timeout: float) -> int:
        """Wait at most `timeout` seconds for events and handle them; return their number."""
        ready = list(self._selector.select(timeout=timeout))
        for descriptor, what in ready:
            if what is self.server:
                self._accept()
            elif what is WAKE:
                os.read(self._wake_read, WAKE_BYTES)
            else:
                # Counted before it leaves the selector, so that `_finish_if_idle` never misses the request.
                self.in_flight.begin()
                self._selector.unregister(descriptor)
                self.server.process_conn(what)
        return len(ready)

    def _finish_if_idle(self) -> bool:
        """Finish and return True if no request is in progress and no connection has data to read."""
        if self._listening:
            self._stop_listening()
        if len(self.in_flight) or self._serve_ready(0):
            return False
        self._close_idle()
        self.finished.set()
        return True

    def _stop_listening(self) -> None:
        """Accept pending connections, at most one backlog of them, and close the listening socket."""
        self._listening = False
        listener = self.server.socket
        listener.setblocking(False)
        for _ in range(self.server.request_queue_size):
            if not self._accept():
                break
        self._selector.unregister(listener.fileno())
        listener.close()

    def _accept(self) -> bool:
        """Accept one connection and poll it for its first request; return whether there was one."""
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
        """Close every idle connection; a failure to close one is logged, and the others are still closed."""
        for _, connection in list(self._selector.connections):
            if not isinstance(connection, Connection):
                continue
            try:
                connection.close_idle()
            except Exception as error:
                self.server.log.warning("close_failed", server=self.server.options.name, error=repr(error))

    def _expire(self, threshold: float) -> None:
        """Close idle connections last used before the monotonic time `threshold`."""
        for descriptor, connection in list(self._selector.connections):
            if isinstance(connection, Connection) and connection.last_used < threshold:
                self._selector.unregister(descriptor)
                connection.close_idle()


class Connection(server.HTTPConnection):
    """A connection that uses the buffers of `http_buffers`."""

    last_used: float

    def __init__(self, owner: CherootServer, sock: socket.socket, makefile: object = None) -> None:
        """Create the connection of `owner` on `sock`."""
        super().__init__(owner, sock, make_file)

    def close(self) -> None:
        """Close the connection and end its request; called by cheroot's request threads."""
        try:
            super().close()
        finally:
            self.server.in_flight_calls.end()

    def close_idle(self) -> None:
        """Close the connection while no request is in progress on it."""
        super().close()
