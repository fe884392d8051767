"""Tests of the HTTP server on loopback sockets: requests, limits, and growth of the thread pool."""

from __future__ import annotations

import threading
import unittest

from pipitledge.runtime.http_server import ServerOptions
from pipitledge.runtime.http_types import HttpRequest, HttpResponse, Respond
from tests.system.runtime_case import WAIT_SECONDS, HttpServerCase

GROWTH_SECONDS = 10.0  # a test fails after this time; passing tests never wait for it


class HttpServerTest(HttpServerCase):
    def test_a_request_reaches_the_handler_completely(self) -> None:
        data = b"POST /a%20b?c=d HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 900\r\nContent-Length: 3\r\n\r\nxyz"
        self.assertEqual(self.statuses(data), [200])
        request = self.requests[0]
        self.assertEqual((request.method, request.path, request.query), ("POST", "/a b", "c=d"))
        self.assertEqual((request.headers["host"], request.headers["x-deadline-ms"]), ("h.example", "900"))
        self.assertEqual(request.body, b"xyz")

    def test_chunks_are_joined_and_the_connection_stays_open(self) -> None:
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        body = b"3\r\nabc\r\n2;extension=1\r\nde\r\n0\r\nTrailer: t\r\n\r\n"
        self.assertEqual(self.statuses(head + body + head + body, 2), [200, 200])
        self.assertEqual([request.body for request in self.requests], [b"abcde", b"abcde"])

    def test_a_body_over_the_limit_gets_413_even_if_it_was_sent_completely(self) -> None:
        body = b"x" * 6_000_000  # more than the socket buffers hold
        data = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6000000\r\n\r\n" + body
        self.assertEqual(self.statuses(data), [413])
        self.assertEqual(self.requests, [])

    def test_chunks_over_the_limit_get_413(self) -> None:
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertEqual(self.statuses(head + b"4000\r\n"), [413])

    def test_malformed_requests_get_400(self) -> None:
        head = b"POST / HTTP/1.1\r\nHost: h\r\n"
        for rest in (
            b"Content-Length: three\r\n\r\nabc",
            b"Content-Length: -3\r\n\r\nabc",
            b"Transfer-Encoding: chunked\r\n\r\nnot hexadecimal\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabcdefgh",
            b"no colon here\r\n\r\n",
        ):
            with self.subTest(rest):
                self.assertEqual(self.statuses(head + rest), [400])
        self.assertEqual(self.requests, [])

    def test_pipelined_requests_are_all_answered(self) -> None:
        data = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        self.assertEqual(self.statuses(data * 3, 3), [200, 200, 200])

    def test_a_request_is_dropped_if_the_caller_disconnects_during_the_body(self) -> None:
        with self.connect() as leaving:
            leaving.sendall(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
        self.assertEqual(self.statuses(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"), [200])
        self.assertEqual([request.method for request in self.requests], ["GET"])

    def test_an_idle_connection_occupies_no_thread(self) -> None:
        self.connect()
        self.assertEqual(self.statuses(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"), [200])

    def test_a_draining_server_answers_and_then_closes(self) -> None:
        connection = self.connect()
        stream = connection.makefile("rb")
        self.addCleanup(stream.close)
        connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertNotIn("Connection", self.response(stream).headers)
        self.server.drain()
        connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertEqual(self.response(stream).headers["Connection"], "close")
        self.assertEqual(stream.read(), b"")

    def test_a_handler_that_raises_gives_500_and_the_next_call_is_served(self) -> None:
        self.requests = None  # type: ignore[assignment]
        self.assertEqual(self.statuses(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"), [500])
        self.requests = []
        self.assertEqual(self.statuses(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"), [200])


class GrowthTest(HttpServerCase):
    def answer(self, request: HttpRequest, respond: Respond) -> None:
        """Hold all responses back until the request for /last arrives."""
        self.waiting = [*getattr(self, "waiting", []), respond]
        if request.path == "/last":
            for waiting in self.waiting:
                waiting(HttpResponse(200))

    def test_threads_are_added_while_requests_wait_for_answers(self) -> None:
        self.server = self.started(ServerOptions("test", threads=1, max_threads=4))
        earlier = [self.connect() for _ in range(3)]
        for connection in earlier:
            connection.sendall(b"GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertEqual(self.statuses(b"GET /last HTTP/1.1\r\nHost: h\r\n\r\n"), [200])

    def test_a_thread_that_has_just_taken_a_request_does_not_count_as_idle(self) -> None:
        """Guards against a request that waits until the previous one is finished because no thread is added."""
        self.server = self.started(ServerOptions("test", threads=1, max_threads=2))
        requests = self.server._server.requests
        taken, go_on = threading.Event(), threading.Event()
        self.addCleanup(go_on.set)
        take = requests.get

        def take_and_wait() -> object:
            request = take()
            if not taken.is_set():
                taken.set()
                go_on.wait(WAIT_SECONDS)
            return request

        requests.get = take_and_wait
        self.statuses(
            b"GET /last HTTP/1.1\r\nHost: h\r\n\r\n"
        )  # the thread takes its next request by the patched method
        first = self.connect()
        first.sendall(b"GET /last HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertTrue(taken.wait(WAIT_SECONDS))
        second = self.connect()
        second.settimeout(GROWTH_SECONDS)
        second.sendall(b"GET /last HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertTrue(second.recv(100).startswith(b"HTTP/1.1 200 OK"))

    def test_new_connections_over_the_limit_are_closed(self) -> None:
        self.server = self.started(ServerOptions("test", connections=1))
        kept = self.connect()
        refused = self.connect()
        self.assertEqual(refused.recv(1), b"")
        kept.sendall(b"GET /last HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertTrue(kept.recv(100).startswith(b"HTTP/1.1 200 OK"))


if __name__ == "__main__":
    unittest.main()
