"""Long messages are deflated on their way between processes; whoever can't take that is not sent it."""

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
from tests.system.configuration_world import SilentLog, route, whole
from tests.system.runtime_case import LOG, LOOPBACK, WAIT_SECONDS, ResultBox

LONG = whole(7, *[route(number) for number in range(500)])
LARGEST = 1 << 20


class PackTest(unittest.TestCase):
    def test_long_bodies_get_shorter_and_come_back(self) -> None:
        compressed = message_body.compress(LONG)
        self.assertLess(len(compressed.data), len(LONG) // 5)
        encoding = compressed.headers[message_body.CONTENT_ENCODING]
        self.assertEqual(message_body.decompress(compressed.data, encoding, LARGEST), LONG)

    def test_short_ones_and_noise_stay_as_they_are(self) -> None:
        for body in (b"", b"x" * (message_body.MIN_COMPRESS_BYTES - 1), random.Random(1).randbytes(10_000)):
            compressed = message_body.compress(body)
            self.assertEqual((compressed.data, compressed.headers), (body, {}))
            self.assertEqual(message_body.decompress(compressed.data, "", LARGEST), body)

    def test_what_is_broken_or_too_large_is_refused(self) -> None:
        data = message_body.compress(LONG).data
        for broken, encoding, max_bytes in (
            (data[:-1], "deflate", LARGEST),
            (b"no such format", "deflate", LARGEST),
            (data, "br", LARGEST),
            (data, "deflate", len(LONG) - 1),
        ):
            with self.assertRaises(message_body.EncodingError):
                message_body.decompress(broken, encoding, max_bytes)


class ExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        handlers = Handlers()
        handlers.on_call(OperatorCall, lambda call, reply: reply(OperatorReply(200, call.body)))
        self.exchange = InternalExchange(SerialExecutor(SilentLog()), handlers, SilentLog())

    def ask(self, body: bytes, **headers: str) -> HttpResponse:
        return self.exchange(HttpRequest("POST", INTERNAL_PATH, headers=headers, body=body))

    def test_only_who_asks_for_it_gets_a_packed_answer(self) -> None:
        call = codec.encode(OperatorCall("PUT", "", LONG))
        plain = self.ask(call)
        self.assertEqual(codec.decode(plain.body), OperatorReply(200, LONG))
        compressed = self.ask(call, **{"accept-encoding": "deflate"})
        self.assertEqual(compressed.headers["Content-Encoding"], "deflate")
        self.assertEqual(codec.decode(zlib.decompress(compressed.body)), OperatorReply(200, LONG))

    def test_a_body_that_can_not_be_unpacked_is_malformed(self) -> None:
        call = codec.encode(OperatorCall("PUT", "", LONG))
        self.assertEqual(self.ask(call, **{"content-encoding": "deflate"}).status, 400)


class SocketTest(unittest.TestCase):
    """Two processes' transports on loopback."""

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

    def test_a_long_call_and_its_answer_come_whole_and_packed(self) -> None:
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
        self.assertGreater(first_request, len(LONG))  # nobody has said yet that it understands anything else
        self.assertLess(max(first_answer, second_request, second_answer), len(LONG) // 5)

    def ask(self, client: Transport, server: Transport) -> Struct | None:
        reply = ResultBox[Struct | None]()
        client.call(server.address, OperatorCall("PATCH", "7", LONG), WAIT_SECONDS, reply.put)
        return reply.take()

    def test_a_process_of_an_earlier_version_gets_nothing_deflated(self) -> None:
        """One that takes the place of a newer one at its address included."""
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
