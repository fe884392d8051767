"""Messages between processes of the system: HTTP and UDP datagrams, both on the same port number."""

from __future__ import annotations

import itertools
import secrets

from msgspec import Struct

from pipitledge.runtime import message_body
from pipitledge.runtime.call_threads import CallLimits
from pipitledge.runtime.datagrams import DatagramSocket
from pipitledge.runtime.exchanges import INTERNAL_PATH, MAX_MESSAGE_BYTES, InternalExchange
from pipitledge.runtime.executor import SerialExecutor
from pipitledge.runtime.handlers import Handlers
from pipitledge.runtime.http_client import OK, CallResult, HttpClient, OutgoingCall
from pipitledge.runtime.http_server import HttpServer, ServerOptions
from pipitledge.runtime.logs import EventLog
from pipitledge.runtime.ports import ReplyHandler
from pipitledge.wire import codec

IDLE_SECONDS = 120.0  # peers keep their connections open between calls
INCARNATION_BYTES = 6


class NoFreePortError(OSError):
    """All ports of the internal port range are in use."""


class Transport:
    """Implements the port `Network`, and answers messages from other processes."""

    def __init__(self, executor: SerialExecutor, handlers: Handlers, log: EventLog, connections: int = 1024) -> None:
        """Dispatch received messages to `handlers`; keep at most `connections` incoming connections open."""
        self._executor = executor
        self._handlers = handlers
        self._log = log
        self.exchange = InternalExchange(executor, handlers, log)
        self._options = ServerOptions(
            name="internal",
            threads=4,
            max_threads=96,
            body_limit=MAX_MESSAGE_BYTES,
            idle_seconds=IDLE_SECONDS,
            connections=connections,
        )
        self._calls = HttpClient(executor, "calls", CallLimits())
        self._deflate_peers: set[str] = (
            set()
        )  # addresses whose last response accepted deflated requests; earlier versions don't
        self._incarnation = secrets.token_hex(
            INCARNATION_BYTES
        )  # prefix of call ids, different for each process that uses this address
        self._call_numbers = itertools.count(1)
        self._server: HttpServer
        self.datagrams: DatagramSocket
        self.address = ""  # "ip:port"; empty before `bind`

    def bind(self, ip: str, ports: tuple[int, int]) -> None:
        """Bind the first port of the range that is free for both TCP and UDP."""
        for port in range(ports[0], ports[1] + 1):
            try:
                self._bind_port(ip, port)
                return
            except OSError as error:
                self._log.warning("port_taken", ip=ip, port=port, error=repr(error))
        raise NoFreePortError(f"{ip}: no free port from {ports[0]} to {ports[1]}")

    def start(self) -> None:
        """Start answering messages."""
        self._server.start()
        self.datagrams.start()

    def stop(self) -> None:
        """Stop answering messages and close all connections."""
        self.datagrams.stop()
        self._server.stop()
        self._calls.close()

    def busy(self) -> int:
        """Return the number of received calls that are being answered."""
        return self._server.busy()

    def call(self, address: str, request: Struct, timeout: float, on_reply: ReplyHandler) -> None:
        """Send `request` over HTTP; `on_reply` receives the reply, or None after a failure or `timeout` seconds."""

        def on_result(result: CallResult) -> None:
            self._record_encoding(address, result)
            on_reply(self._decoded(result, request, address))

        call_id = f"{self._incarnation}-{next(self._call_numbers)}"
        body = message_body.compress(codec.encode(request), allowed=address in self._deflate_peers)
        headers = {**message_body.ACCEPTS_DEFLATE, **body.headers}
        self._calls.post(OutgoingCall(address, INTERNAL_PATH, body.data, timeout, headers, call_id), on_result)

    def datagram(self, address: str, message: Struct) -> None:
        """Send the message once over UDP; it may be lost."""
        self.datagrams.send(address, message)

    def _bind_port(self, ip: str, port: int) -> None:
        """Bind one port for both protocols, or for neither."""
        server = HttpServer(ip, port, self.exchange, self._options, self._log)
        datagrams = DatagramSocket(self._executor, self._handlers.datagram, self._log)
        try:
            server.bind()
            datagrams.bind(ip, server.port)
        except OSError:
            server.stop()
            datagrams.stop()
            raise
        self._server = server
        self.datagrams = datagrams
        self.address = f"{ip}:{server.port}"

    def _record_encoding(self, address: str, result: CallResult) -> None:
        """Record whether requests to `address` may be deflated."""
        if result.accepts_deflate:
            self._deflate_peers.add(address)
        elif result.status:
            self._deflate_peers.discard(address)

    def _decoded(self, result: CallResult, request: Struct, address: str) -> Struct | None:
        """Decode the reply; return None if there is none or it is malformed."""
        if result.status == OK:
            try:
                return codec.decode(result.body)
            except codec.WireError as error:
                self._log.warning("malformed_reply", peer=address, request=type(request).__name__, reason=error)
        elif result.status:
            self._log.warning("call_rejected", peer=address, request=type(request).__name__, status=result.status)
        return None
