"""Graceful shutdown of an HTTP server: accepted requests are answered, new connections are refused."""

from __future__ import annotations

import socket
import threading
from unittest import mock

from cheroot.server import HTTPConnection
from cheroot.workers.threadpool import WorkerThread

from pipitledge.runtime.exchanges import HandlerExchange
from pipitledge.runtime.http_connections import Connection, IdleConnectionManager
from pipitledge.runtime.http_server import HttpServer, ServerOptions
from pipitledge.runtime.http_types import HttpRequest, HttpResponse, Respond
from tests.system.runtime_case import LOG, LOOPBACK, WAIT_SECONDS, HttpServerCase, eventually

CALL = b"GET /call HTTP/1.1\r\nHost: h\r\n\r\n"
ANSWERED = b"HTTP/1.1 200 OK"


class ShutdownCase(HttpServerCase):
    """Requests to /held stay unanswered until the test responds to them."""

    def setUp(self) -> None:
        self.held: list[Respond] = []
        super().setUp()

    def answer(self, request: HttpRequest, respond: Respond) -> None:
        if request.path == "/held":
            self.held.append(respond)
        else:
            respond(HttpResponse(200))

    def listening(self) -> HttpServer:
        """Return a server that listens but does not accept connections yet."""
        options = ServerOptions("test", threads=1, max_threads=4)
        server = HttpServer(
            LOOPBACK, 0, HandlerExchange(self.executor, self.answer, WAIT_SECONDS, "test"), options, LOG
        )
        server.bind()
        self.addCleanup(server.stop)
        return server

    def read_to_the_end(self, connection: socket.socket) -> bytes:
        with connection.makefile("rb") as stream:
            return stream.read()


class RetiredServerTest(ShutdownCase):
    def test_a_request_in_progress_is_answered_before_the_server_finishes(self) -> None:
        connection = self.connect()
        connection.sendall(CALL.replace(b"/call", b"/held"))
        eventually(lambda: len(self.held) == 1)
        self.server.retire()
        with self.assertRaises((ConnectionRefusedError, ConnectionResetError)):  # reset while the socket closes
            while True:
                self.connect()
        with self.assertRaises(ConnectionRefusedError):
            self.connect()
        self.assertFalse(self.server.finished())
        self.held[0](HttpResponse(200))
        self.assertTrue(self.read_to_the_end(connection).startswith(ANSWERED))
        eventually(self.server.finished)

    def test_a_request_on_an_open_connection_is_answered_and_the_connection_closed(self) -> None:
        self.server = self.started(ServerOptions("test", threads=2, max_threads=2))
        held, other = self.connect(), self.connect()
        held.sendall(CALL.replace(b"/call", b"/held"))
        eventually(lambda: len(self.held) == 1)
        self.server.retire()
        other.sendall(CALL)
        answer = self.read_to_the_end(other)
        self.assertTrue(answer.startswith(ANSWERED))
        self.assertIn(b"Connection: close", answer)
        self.held[0](HttpResponse(200))

    def test_requests_on_connections_not_accepted_yet_are_answered(self) -> None:
        self.server = self.listening()
        waiting = [self.connect() for _ in range(5)]
        for connection in waiting:
            connection.sendall(CALL)
        self.server.retire()
        self.server.start()
        for connection in waiting:
            self.assertTrue(self.read_to_the_end(connection).startswith(ANSWERED))
        eventually(self.server.finished)

    def test_clients_that_keep_connecting_do_not_delay_the_shutdown(self) -> None:
        """The server accepts at most one backlog of connections, however many clients connect meanwhile."""
        self.server = self.listening()
        with mock.patch.object(IdleConnectionManager, "_accept", return_value=True) as accept:
            self.server.retire()
            self.server.start()
            eventually(self.server.finished)
        self.assertEqual(accept.call_count, self.server._server.request_queue_size)

    def test_idle_connections_are_closed_even_if_closing_one_of_them_fails(self) -> None:
        idle = [self.connect() for _ in range(3)]
        eventually(lambda: self.server._server._connections._num_connections == len(idle))
        failures = [OSError("cannot be closed")]
        close = Connection.close_idle

        def fail_once(connection: Connection) -> None:
            if failures:
                raise failures.pop()
            close(connection)

        with mock.patch.object(Connection, "close_idle", fail_once):
            self.server.retire()
            eventually(self.server.finished)
        closed = idle[1:]
        self.assertEqual([self.read_to_the_end(connection) for connection in closed], [b""] * len(closed))

    def test_a_refusing_server_answers_503_at_once(self) -> None:
        self.server.refuse()
        connection = self.connect()
        connection.sendall(CALL.replace(b"/call", b"/held"))
        answer = self.read_to_the_end(connection)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"Retry-After: 1", answer)
        self.assertEqual(self.held, [])


class InFlightCallsTest(ShutdownCase):
    def test_a_request_is_counted_before_its_connection_leaves_the_selector(self) -> None:
        """Otherwise the server would briefly appear to have no request in progress and nothing to read."""
        selector = self.server._server._connections._selector
        counted: list[int] = []
        unregister = selector.unregister

        def count_and_unregister(descriptor: int) -> object:
            counted.append(self.server.busy())
            return unregister(descriptor)

        with mock.patch.object(selector, "unregister", count_and_unregister):
            self.assertEqual(self.statuses(CALL), [200])
        self.assertEqual(counted, [1])

    def test_the_count_returns_to_zero_however_connections_end(self) -> None:
        self.assertEqual(self.statuses(2 * CALL, 2), [200, 200])
        self.assertEqual(self.statuses(CALL.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")), [200])
        self.assertEqual(self.statuses(b"nonsense\r\n\r\n"), [400])
        broken = self.connect()
        broken.sendall(CALL[:10])
        broken.close()
        eventually(lambda: self.server.busy() == 0)
        self.assertEqual(self.statuses(CALL), [200])

    def test_a_request_is_counted_until_its_connection_is_closed(self) -> None:
        counted: list[int] = []
        close = HTTPConnection.close

        def count_and_close(connection: HTTPConnection) -> None:
            counted.append(self.server.busy())
            close(connection)

        with mock.patch.object(HTTPConnection, "close", count_and_close):
            self.statuses(CALL.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
            eventually(lambda: self.server.busy() == 0)
        self.assertEqual(counted, [1])


class SlowThreadStartTest(ShutdownCase):
    """Starting a thread takes seconds on an overloaded machine; requests must still be read meanwhile."""

    def test_the_event_thread_does_not_wait_for_a_thread_start(self) -> None:
        self.server = self.started(ServerOptions("test", threads=1, max_threads=4))
        self.assertEqual(
            self.statuses(CALL), [200]
        )  # the first thread has started; otherwise the patch would slow its start
        starting, go_on = threading.Event(), threading.Event()
        self.addCleanup(go_on.set)
        start = WorkerThread.start
        start_finished: list[bool] = []

        def start_slowly(worker: WorkerThread) -> None:
            starting.set()
            start_finished.append(go_on.wait(WAIT_SECONDS))
            start(worker)

        with mock.patch.object(WorkerThread, "start", start_slowly):
            for _ in range(2):
                self.connect().sendall(CALL.replace(b"/call", b"/held"))
            self.assertTrue(starting.wait(WAIT_SECONDS))
            eventually(lambda: len(self.held) == 1)
            self.held[0](HttpResponse(200))
            eventually(lambda: len(self.held) == 2)
            self.held[1](HttpResponse(200))
            self.assertEqual(self.statuses(CALL), [200])
            self.assertEqual(start_finished, [], "the slow start must still be in progress")
            go_on.set()
