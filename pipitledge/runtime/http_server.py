"""HTTP servers on `cheroot`, tuned for many kept connections and few wake-ups.

What differs from cheroot as it comes: a connection takes a thread only once a request has begun to arrive, threads are
added as they are needed, buffers are those of the C library, and a response leaves in one write.
"""

from __future__ import annotations

import logging
import threading
import traceback as traceback_
from collections.abc import Callable
from typing import Any

from cheroot import server
from msgspec import Struct

from pipitledge.runtime.http_connections import Connection, IdleConnectionManager, InFlightCalls
from pipitledge.runtime.http_gateway import Gateway
from pipitledge.runtime.http_threads import RequestThreads
from pipitledge.runtime.http_types import HttpRequest, HttpResponse
from pipitledge.runtime.logs import EventLog

Exchange = Callable[[HttpRequest], HttpResponse]  # runs on a thread of the server and may block

BACKLOG = 512  # connections that wait to be accepted
MAX_HEADER_BYTES = 32 * 1024
IDLE_CHECK_SECONDS = 5.0  # between looks for idle connections


class ServerOptions(Struct, frozen=True):
    """How one server is run."""

    name: str
    threads: int = 2  # at the start
    max_threads: int = 32
    body_limit: int = 256 * 1024  # bytes
    read_seconds: float = 5.0  # longest silence in the midst of a request
    idle_seconds: float = 15.0  # longest silence between requests
    connections: int = 1024  # kept at most


class HttpServer:
    """Listens on one address and answers by `exchange`."""

    def __init__(self, ip: str, port: int, exchange: Exchange, options: ServerOptions, log: EventLog) -> None:
        """Prepare; nothing is bound before `bind`. Port 0 takes any free one."""
        self._server = CherootServer((ip, port), exchange, options, log)
        self._thread = threading.Thread(target=self._server.serve, name=options.name, daemon=True)

    def bind(self) -> None:
        """Begin to listen; raises OSError if the address is taken."""
        self._server.prepare()

    def start(self) -> None:
        """Begin to answer."""
        self._thread.start()

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return int(self._server.bind_addr[1])

    @property
    def body_limit(self) -> int:
        """Longest body taken, in bytes."""
        return self._server.body_limit

    @body_limit.setter
    def body_limit(self, limit: int) -> None:
        self._server.body_limit = limit

    def drain(self) -> None:
        """From now on, close each connection after its next answer."""
        self._server.draining = True

    def retire(self) -> None:
        """Refuse new connections, answer what comes on open ones, and finish once no call is under way any more."""
        self.drain()
        self._server.retire()

    def refuse(self) -> None:
        """From now on, answer every request at once by 503: there is no time left for it."""
        self._server.refusing = True

    def finished(self) -> bool:
        """Whether the last call since `retire` has been answered, and every connection closed."""
        return self._server.finished()

    def busy(self) -> int:
        """Requests that are being read, answered, or waiting for a thread."""
        return self._server.busy()

    def stop(self) -> None:
        """Close everything; requests under way are given a little time."""
        self._server.request_stop()
        if self._thread.is_alive():
            self._thread.join()
        self._server.stop()


class CherootServer(server.HTTPServer):
    """Cheroot's server with the changes that the module tells of."""

    _connections: IdleConnectionManager

    def __init__(self, address: tuple[str, int], exchange: Exchange, options: ServerOptions, log: EventLog) -> None:
        """Prepare; nothing is bound before `prepare`."""
        super().__init__(address, gateway=Gateway)
        self.exchange = exchange
        self.options = options
        self.log = log
        self.body_limit = options.body_limit
        self.draining = False  # each connection ends with its next answer
        self.refusing = False  # each request is answered by 503
        self.requests = RequestThreads(self, options.threads, options.max_threads)
        self.ConnectionClass = Connection
        self.request_queue_size = BACKLOG
        self.timeout = options.read_seconds  # type: ignore[assignment]  # seconds, fractions included
        self.expiration_interval = IDLE_CHECK_SECONDS
        self.keep_alive_conn_limit = options.connections
        self.max_request_header_size = MAX_HEADER_BYTES
        self.shutdown_timeout = 1

    def prepare(self) -> None:
        """Bind, listen and start the first threads."""
        super().prepare()
        cheroot_manager: Any = self._connections
        cheroot_manager._selector.close()
        self._connections = IdleConnectionManager(self)

    def serve(self) -> None:
        """Hand on connections until stopped."""
        while self.ready:
            try:
                self._connections.run(self.expiration_interval)
                return
            except Exception as error:
                self.log.error("http_serve_failed", server=self.options.name, error=repr(error))

    def process_conn(self, conn: Any) -> None:
        """Queue a connection on which a request has begun, and see to it that a thread takes it."""
        self.requests.put(conn)
        self.requests.grow_if_short()

    @property
    def in_flight_calls(self) -> InFlightCalls:
        """Connections on which a request has begun."""
        return self._connections.in_flight

    def busy(self) -> int:
        """Connections with a thread, or waiting for one."""
        return len(self.in_flight_calls)

    def retire(self) -> None:
        """Refuse new connections, and finish once no call is under way any more."""
        self._connections.retire()

    def finished(self) -> bool:
        """Whether that has come about."""
        return self._connections.finished.is_set()

    def request_stop(self) -> None:
        """Let `serve` return at once."""
        if self.ready:
            self._connections.request_stop()

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Log what cheroot reports, connections that broke off excepted."""
        if level >= logging.WARNING:
            trace = traceback_.format_exc(limit=-3) if traceback else None
            self.log.warning("http_error", server=self.options.name, problem=msg, trace=trace)
