"""Long messages between processes are deflated, but only for receivers that accept it."""

from __future__ import annotations

import random
import unittest
import zlib
from unittest import mock

from msgspec import Struct

from pipitledge.runtime import message_body
from pipitledge.runtime.exchanges import INTERNAL_PATH, InternalExchange
from pipitledge.runtime.executor import SerialExecutor
from pipitledge.runtime.handlers import Handlers
from pipitledge.runtime.http_client import CALL_ID_HEADER
from pipitledge.runtime.http_types import HttpRequest, HttpResponse
from pipitledge.runtime.transport import Transport
from pipitledge.wire import codec
from pipitledge.wire.messages import OperatorCall, OperatorReply
from tests.system.configuration_world import RecordingLog, full_configuration, route
from tests.system.runtime_case import LOG, LOOPBACK, WAIT_SECONDS, ResultBox

LONG = full_configuration(7, *[route(number) for number in range(500)])
MAX_BYTES = 1 << 20


class PackTest(unittest.TestCase):
    def test_long_bodies_are_compressed_and_restored(self) -> None:
        compressed = message_body.compress(LONG)
        self.assertLess(len(compressed.data), len(LONG) // 5)
        encoding = compressed.headers[message_body.CONTENT_ENCODING]
        self.assertEqual(message_body.decompress(compressed.data, encoding, MAX_BYTES), LONG)

    def test_short_and_incompressible_bodies_are_not_compressed(self) -> None:
        for body in (b"", b"x" * (message_body.MIN_COMPRESS_BYTES - 1), random.Random(1).randbytes(10_000)):
            compressed = message_body.compress(body)
            self.assertEqual((compressed.data, compressed.headers), (body, {}))
            self.assertEqual(message_body.decompress(compressed.data, "", MAX_BYTES), body)

    def test_invalid_and_too_large_bodies_are_rejected(self) -> None:
        data = message_body.compress(LONG).data
        for broken, encoding, max_bytes in (
            (data[:-1], "deflate", MAX_BYTES),
            (b"no such format", "deflate", MAX_BYTES),
            (data, "br", MAX_BYTES),
            (data, "deflate", len(LONG) - 1),
        ):
            with self.assertRaises(message_body.EncodingError):
                message_body.decompress(broken, encoding, max_bytes)


class ExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        handlers = Handlers()
        handlers.on_call(OperatorCall, lambda call, reply: reply(OperatorReply(200, call.body)))
        self.exchange = InternalExchange(SerialExecutor(RecordingLog()), handlers, RecordingLog())

    def ask(self, body: bytes, **headers: str) -> HttpResponse:
        return self.exchange(HttpRequest("POST", INTERNAL_PATH, headers=headers, body=body))

    def test_an_answer_is_compressed_only_if_the_caller_accepts_it(self) -> None:
        call = codec.encode(OperatorCall("PUT", "", LONG))
        plain = self.ask(call)
        self.assertEqual(codec.decode(plain.body), OperatorReply(200, LONG))
        compressed = self.ask(call, **{"accept-encoding": "deflate"})
        self.assertEqual(compressed.headers["Content-Encoding"], "deflate")
        self.assertEqual(codec.decode(zlib.decompress(compressed.body)), OperatorReply(200, LONG))

    def test_a_body_that_can_not_be_decompressed_is_malformed(self) -> None:
        call = codec.encode(OperatorCall("PUT", "", LONG))
        self.assertEqual(self.ask(call, **{"content-encoding": "deflate"}).status, 400)


class SocketTest(unittest.TestCase):
    """Transports of two processes, connected over loopback."""

    def setUp(self) -> None:
        self.executor = SerialExecutor(LOG)
        self.executor.start()
        self.addCleanup(self.executor.stop)

    def transport(self) -> Transport:
        handlers = Handlers()
        handlers.on_call(OperatorCall, lambda call, reply: reply(OperatorReply(200, call.body)))
        transport = Transport(self.executor, handlers, LOG)
        transport.bind(LOOPBACK, (0, 0))
        transport.start()
        self.addCleanup(transport.stop)
        return transport

    def test_a_long_call_and_its_answer_arrive_compressed_and_complete(self) -> None:
        server, client = self.transport(), self.transport()
        lengths: list[int] = []
        exchange = InternalExchange.__call__

        def measured(self: InternalExchange, request: HttpRequest) -> HttpResponse:
            response = exchange(self, request)
            lengths.extend((len(request.body), len(response.body)))
            return response

        with mock.patch.object(InternalExchange, "__call__", measured):
            for _ in range(2):
                self.assertEqual(self.ask(client, server), OperatorReply(200, LONG))
        first_request, first_answer, second_request, second_answer = lengths
        self.assertGreater(first_request, len(LONG))  # the client does not know yet that the server accepts deflate
        self.assertLess(max(first_answer, second_request, second_answer), len(LONG) // 5)

    def ask(self, client: Transport, server: Transport) -> Struct | None:
        reply = ResultBox[Struct | None]()
        client.call(server.address, OperatorCall("PATCH", "7", LONG), WAIT_SECONDS, reply.put)
        return reply.take()

    def test_a_process_of_an_earlier_version_receives_nothing_deflated(self) -> None:
        """This includes a process that replaces one of a newer version at the same address."""
        server, client = self.transport(), self.transport()
        self.assertEqual(self.ask(client, server), OperatorReply(200, LONG))
        exchange = InternalExchange.__call__

        def older(self: InternalExchange, request: HttpRequest) -> HttpResponse:
            if "content-encoding" in request.headers:
                return HttpResponse(400)
            response = exchange(self, HttpRequest(request.method, request.path, headers={}, body=request.body))
            call_id = request.headers[CALL_ID_HEADER.lower()]
            return HttpResponse(response.status, response.body, {CALL_ID_HEADER: call_id})

        with mock.patch.object(InternalExchange, "__call__", older):
            self.assertIsNone(self.ask(client, server))
            self.assertEqual(self.ask(client, server), OperatorReply(200, LONG))


if __name__ == "__main__":
    unittest.main()
