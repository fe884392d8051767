"""From threads of an HTTP server into the logic and back: take the lock, hand over, wait for the answer."""

from __future__ import annotations

from msgspec import Struct

from pipitledge.runtime import message_body
from pipitledge.runtime.executor import SerialExecutor
from pipitledge.runtime.future import Future
from pipitledge.runtime.handlers import Handlers
from pipitledge.runtime.http_client import CALL_ID_HEADER
from pipitledge.runtime.http_types import HttpHandler, HttpRequest, HttpResponse
from pipitledge.runtime.logs import EventLog
from pipitledge.wire import codec

INTERNAL_PATH = "/pipitledge/internal"
INTERNAL_ANSWER_SECONDS = 4.0
MAX_MESSAGE_BYTES = 64 * 1024 * 1024  # bytes; repairs and snapshots of state are the long ones
NO_ANSWER = HttpResponse(504, b'{"reason":"no answer in time"}', {"Connection": "close"})
FAILED = HttpResponse(500, b'{"reason":"internal error"}')
NOT_POST = HttpResponse(405, b'{"reason":"only POST"}', {"Allow": "POST"})
UNKNOWN_PATH = HttpResponse(404, b'{"reason":"no such path"}')


class HandlerExchange:
    """Answers requests by a handler in the logic."""

    def __init__(self, executor: SerialExecutor, handler: HttpHandler, timeout: float, step: str) -> None:
        """Wait `timeout` seconds for each answer; `step` names the work in logs."""
        self._executor = executor
        self._handler = handler
        self._timeout = timeout
        self._step = step

    def __call__(self, request: HttpRequest) -> HttpResponse:
        """The handler's response, or one that tells why there is none."""
        answer = Future[HttpResponse]()
        if not self._executor.run(lambda: self._handler(request, answer.set_result), self._step, request.peer):
            answer.set_result(FAILED)
        return answer.wait(self._timeout) or NO_ANSWER


class InternalExchange:
    """Answers messages of other processes by the planes' handlers."""

    def __init__(self, executor: SerialExecutor, handlers: Handlers, log: EventLog) -> None:
        """Hand messages to `handlers` by their type."""
        self._executor = executor
        self._handlers = handlers
        self._log = log

    def __call__(self, request: HttpRequest) -> HttpResponse:
        """The encoded reply, or a status that tells why there is none."""
        if request.path != INTERNAL_PATH:
            return UNKNOWN_PATH
        if request.method != "POST":
            return NOT_POST
        try:
            encoding = request.headers.get(message_body.CONTENT_ENCODING.lower(), "")
            message = codec.decode(message_body.decompress(request.body, encoding, MAX_MESSAGE_BYTES))
        except (codec.WireError, message_body.EncodingError) as error:
            self._log.warning("malformed_message", peer=request.peer, reason=error)
            return HttpResponse(400, b'{"reason":"malformed message"}')
        return self._answer(message, request)

    def _answer(self, message: Struct, request: HttpRequest) -> HttpResponse:
        """Hand the message over and wait; the answer names the call that it is for."""
        answer = Future[HttpResponse]()
        call_id = request.headers.get(CALL_ID_HEADER.lower(), "")
        headers = {
            "Content-Type": "application/octet-stream",
            CALL_ID_HEADER: call_id,
            **message_body.ACCEPTS_DEFLATE,  # in an answer: deflated requests are understood (RFC 9110, 12.5.3)
        }
        may_compress = request.headers.get(message_body.ACCEPT_ENCODING.lower(), "") == message_body.DEFLATE

        def reply(result: Struct) -> None:
            body = codec.encode(result)
            compressed = message_body.compress(body, may_compress)
            answer.set_result(HttpResponse(200, compressed.data, {**headers, **compressed.headers}))

        def hand_over() -> None:
            if not self._handlers.call(message, reply):
                answer.set_result(HttpResponse(404, b'{"reason":"no handler for this message"}'))

        if not self._executor.run(hand_over, type(message).__name__, request.peer):
            answer.set_result(FAILED)
        return answer.wait(INTERNAL_ANSWER_SECONDS) or NO_ANSWER
