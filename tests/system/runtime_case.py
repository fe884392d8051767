"""Shared by the tests of the runtime: waiting for events of other threads, and an HTTP server on loopback."""

from __future__ import annotations

import http.client
import os
import socket
import threading
import time
import unittest
from collections.abc import Callable
from typing import BinaryIO, Generic, TypeVar

from pipitledge.runtime import logs
from pipitledge.runtime.exchanges import HandlerExchange
from pipitledge.runtime.executor import SerialExecutor
from pipitledge.runtime.http_server import HttpServer, ServerOptions
from pipitledge.runtime.http_types import HttpRequest, HttpResponse, Respond

LOOPBACK = "127.0.0.1"
WAIT_SECONDS = 30.0  # a test fails after this time; passing tests never wait for it
LOG = logs.get("test_runtime")
T = TypeVar("T")


class ResultBox(Generic[T]):
    """Passes one value from another thread to the test."""

    def __init__(self) -> None:
        self._arrived = threading.Event()
        self._values: list[T] = []

    def put(self, value: T) -> None:
        self._values.append(value)
        self._arrived.set()

    def take(self) -> T:
        if not self._arrived.wait(WAIT_SECONDS):
            raise AssertionError("no value arrived in time")
        return self._values[0]

    def empty(self) -> bool:
        return not self._values


def eventually(condition: Callable[[], bool]) -> None:
    """Yield to other threads until `condition` is true; fail after `WAIT_SECONDS`."""
    give_up_at = time.monotonic() + WAIT_SECONDS
    while not condition():
        if time.monotonic() > give_up_at:
            raise AssertionError("the condition did not become true in time")
        os.sched_yield()


class HttpServerCase(unittest.TestCase):
    """Runs an HTTP server with one request thread; tests may start a larger one."""

    def setUp(self) -> None:
        self.executor = SerialExecutor(LOG)
        self.requests: list[HttpRequest] = []
        options = ServerOptions("test", threads=1, max_threads=1, body_limit=1000, read_seconds=2 * WAIT_SECONDS)
        self.server = self.started(options)

    def started(self, options: ServerOptions) -> HttpServer:
        exchange = HandlerExchange(self.executor, self.answer, WAIT_SECONDS, "test")
        server = HttpServer(LOOPBACK, 0, exchange, options, LOG)
        server.bind()
        server.start()
        self.addCleanup(server.stop)
        return server

    def answer(self, request: HttpRequest, respond: Respond) -> None:
        self.requests.append(request)
        respond(HttpResponse(200, request.body[::-1], {"X-Path": request.path}))

    def connect(self) -> socket.socket:
        connection = socket.create_connection((LOOPBACK, self.server.port), timeout=WAIT_SECONDS)
        self.addCleanup(connection.close)
        return connection

    def statuses(self, data: bytes, count: int = 1) -> list[int]:
        """Send `data` over one connection, and return the statuses of `count` responses."""
        connection = self.connect()
        connection.sendall(data)
        with connection.makefile("rb") as stream:
            return [self.response(stream).status for _ in range(count)]

    def response(self, stream: BinaryIO) -> HttpResponse:
        """Read the next response from the stream."""
        status = int(stream.readline().split()[1])
        headers = dict(http.client.parse_headers(stream).items())
        return HttpResponse(status, stream.read(int(headers["Content-Length"])), headers)
