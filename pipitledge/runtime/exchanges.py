"""Bridges between HTTP server threads and the logic: pass a request on under the lock, and wait for the response."""

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
MAX_MESSAGE_BYTES = 64 * 1024 * 1024  # state repairs and snapshots are the longest messages
NO_ANSWER = HttpResponse(504, b'{"reason":"no answer in time"}', {"Connection": "close"})
FAILED = HttpResponse(500, b'{"reason":"internal error"}')
NOT_POST = HttpResponse(405, b'{"reason":"only POST"}', {"Allow": "POST"})
UNKNOWN_PATH = HttpResponse(404, b'{"reason":"no such path"}')


class HandlerExchange:
    """Answers HTTP requests by a handler in the logic."""

    def __init__(self, executor: SerialExecutor, handler: HttpHandler, timeout: float, step: str) -> None:
        """Wait at most `timeout` seconds for each response; `step` names the operation in logs."""
        self._executor = executor
        self._handler = handler
        self._timeout = timeout
        self._step = step

    def __call__(self, request: HttpRequest) -> HttpResponse:
        """Return the response of the handler, or an error response if it raises or does not answer in time."""
        answer = Future[HttpResponse]()
        if not self._executor.run(lambda: self._handler(request, answer.set_result), self._step, request.peer):
            answer.set_result(FAILED)
        return answer.wait(self._timeout) or NO_ANSWER


class InternalExchange:
    """Answers messages from other processes by the handlers registered for their types."""

    def __init__(self, executor: SerialExecutor, handlers: Handlers, log: EventLog) -> None:
        """Dispatch messages to `handlers`."""
        self._executor = executor
        self._handlers = handlers
        self._log = log

    def __call__(self, request: HttpRequest) -> HttpResponse:
        """Return the encoded reply, or an error status if there is none."""
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
        """Dispatch the message and wait for its reply; the response repeats the call id of the request."""
        answer = Future[HttpResponse]()
        call_id = request.headers.get(CALL_ID_HEADER.lower(), "")
        headers = {
            "Content-Type": "application/octet-stream",
            CALL_ID_HEADER: call_id,
            **message_body.ACCEPTS_DEFLATE,  # in a response: this server accepts deflated requests (RFC 9110, 12.5.3)
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
