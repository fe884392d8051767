"""HTTP servers on `cheroot`, tuned for many keep-alive connections and few thread wake-ups.

Differences from plain cheroot: a connection occupies a thread only once a request has begun to arrive, threads are
added on demand, connection buffers are implemented in C, and a response is sent with one write.
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

Exchange = Callable[[HttpRequest], HttpResponse]  # called on a request thread; may block

BACKLOG = 512  # length of the queue of connections not accepted yet
MAX_HEADER_BYTES = 32 * 1024
IDLE_CHECK_SECONDS = 5.0  # interval of the check for connections that were idle too long


class ServerOptions(Struct, frozen=True):
    """The options of one server."""

    name: str
    threads: int = 2  # started at first
    max_threads: int = 32
    body_limit: int = 256 * 1024  # bytes
    read_seconds: float = 5.0  # longest wait for the next bytes of a request
    idle_seconds: float = 15.0  # a connection without a request for this long is closed
    connections: int = 1024  # most idle connections kept open


class HttpServer:
    """Listens on one address and answers requests by `exchange`."""

    def __init__(self, ip: str, port: int, exchange: Exchange, options: ServerOptions, log: EventLog) -> None:
        """Create the server without binding it. Port 0 selects any free port."""
        self._server = CherootServer((ip, port), exchange, options, log)
        self._thread = threading.Thread(target=self._server.serve, name=options.name, daemon=True)

    def bind(self) -> None:
        """Bind and listen; raises OSError if the address is in use."""
        self._server.prepare()

    def start(self) -> None:
        """Start to accept connections and answer requests."""
        self._thread.start()

    @property
    def port(self) -> int:
        """The port the server listens on, once bound."""
        return int(self._server.bind_addr[1])

    @property
    def body_limit(self) -> int:
        """The largest accepted request body, in bytes."""
        return self._server.body_limit

    @body_limit.setter
    def body_limit(self, limit: int) -> None:
        self._server.body_limit = limit

    def drain(self) -> None:
        """Close each connection after its next response, from now on."""
        self._server.draining = True

    def retire(self) -> None:
        """Refuse new connections, answer requests on open ones, and finish once no request is in progress."""
        self.drain()
        self._server.retire()

    def refuse(self) -> None:
        """Answer every request at once with status 503, from now on, because too little time is left to handle it."""
        self._server.refusing = True

    def finished(self) -> bool:
        """Return whether, after `retire`, the last request has been answered and every connection is closed."""
        return self._server.finished()

    def busy(self) -> int:
        """Return the number of requests being read, being answered, or waiting for a thread."""
        return self._server.busy()

    def stop(self) -> None:
        """Stop the server and close all connections; requests in progress get one second to finish."""
        self._server.request_stop()
        if self._thread.is_alive():
            self._thread.join()
        self._server.stop()


class CherootServer(server.HTTPServer):
    """Cheroot's server with the changes listed in the module's docstring."""

    _connections: IdleConnectionManager

    def __init__(self, address: tuple[str, int], exchange: Exchange, options: ServerOptions, log: EventLog) -> None:
        """Create the server without binding it; `prepare` binds."""
        super().__init__(address, gateway=Gateway)
        self.exchange = exchange
        self.options = options
        self.log = log
        self.body_limit = options.body_limit
        self.draining = False  # close each connection after its next response
        self.refusing = False  # answer each request with status 503
        self.requests = RequestThreads(self, options.threads, options.max_threads)
        self.ConnectionClass = Connection
        self.request_queue_size = BACKLOG
        self.timeout = options.read_seconds  # type: ignore[assignment]  # cheroot declares an int; fractions of seconds work
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
        """Run the event thread until stopped."""
        while self.ready:
            try:
                self._connections.run(self.expiration_interval)
                return
            except Exception as error:
                self.log.error("http_serve_failed", server=self.options.name, error=repr(error))

    def process_conn(self, conn: Any) -> None:
        """Queue a connection on which a request has begun, and add a thread if there are too few."""
        self.requests.put(conn)
        self.requests.grow_if_short()

    @property
    def in_flight_calls(self) -> InFlightCalls:
        """The counter of connections with a request in progress."""
        return self._connections.in_flight

    def busy(self) -> int:
        """Return the number of connections that have a request thread or wait for one."""
        return len(self.in_flight_calls)

    def retire(self) -> None:
        """Refuse new connections, and finish once no request is in progress."""
        self._connections.retire()

    def finished(self) -> bool:
        """Return whether the shutdown begun by `retire` has finished."""
        return self._connections.finished.is_set()

    def request_stop(self) -> None:
        """Make `serve` return."""
        if self.ready:
            self._connections.request_stop()

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Log the warnings and errors that cheroot reports; broken connections are below that level."""
        if level >= logging.WARNING:
            trace = traceback_.format_exc(limit=-3) if traceback else None
            self.log.warning("http_error", server=self.options.name, problem=msg, trace=trace)
