"""Our end of a client's connection: fed bytes, it gives requests; told answers, it gives bytes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from pipitledge.http1.framing import MAX_BODY, Body, body_of
from pipitledge.http1.heads import BadMessage, Head, find_head, parse_request
from pipitledge.net.stream import ReceiveBuffer

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


MAX_BLANK = 8  # empty lines before a request; a client may send nothing else for good


class Stage(Enum):
    """Where a client's connection stands."""

    IDLE = "idle"  # between requests, nothing of the next one has come
    HEAD = "head"
    BODY = "body"
    TAKEN = "taken"  # a whole request has come and is not answered
    CLOSED = "closed"  # nothing more is read or answered


@dataclass(slots=True)
class Request:
    """One whole request. Its parts are copied out once, as its query outlives the receive buffer."""

    method: bytes
    target: bytes
    fields: dict[bytes, bytes]
    body: bytes = b""
    keeps_alive: bool = True

    def get(self, name: bytes) -> bytes:
        """Return a field's value, empty where absent."""
        return self.fields.get(name, b"")


@dataclass(slots=True)
class ClientSide:
    """The states of one connection; `receive` steps through them until a request is whole."""

    stage: Stage = Stage.IDLE
    wants_continue: bool = False  # the client waits for an interim answer before it sends the body
    _request: Request | None = None
    _body: Body | None = None
    _parts: list[bytes] = field(default_factory=list)
    _seen: int = 0
    _blank: int = 0

    @property
    def held(self) -> int:
        """Bytes of the body that have come so far."""
        return self._body.total if self.stage is Stage.BODY and self._body is not None else 0

    def receive(self, buffer: ReceiveBuffer) -> Request | None:
        """Take what has come; a request once it is whole. BadMessage ends the connection after its answer."""
        if self.stage in (Stage.TAKEN, Stage.CLOSED):
            return None  # the client speaks out of turn: it stays in the buffer
        try:
            if self.stage in (Stage.IDLE, Stage.HEAD) and not self._head(buffer):
                return None
            return self._rest(buffer)
        except BadMessage:
            self.reject()
            raise

    def _head(self, buffer: ReceiveBuffer) -> bool:
        while buffer.data.startswith(b"\r\n", buffer.start, buffer.end):
            buffer.consume(2)  # empty lines before a request are to be skipped
            self._blank += 1
            if self._blank > MAX_BLANK:
                raise BadMessage(400, "too many empty lines")
        if not len(buffer):
            self.stage = Stage.IDLE
            return False
        self.stage = Stage.HEAD
        end = find_head(buffer.data, buffer.start, buffer.end, self._seen)
        self._seen = len(buffer)
        if end < 0:
            return False
        head = parse_request(buffer.data, buffer.start, end)
        self._body = body_of(head, MAX_BODY, until_end=False)
        self._request = Request(
            head.first.group(1), head.first.group(2), _single_fields(head), keeps_alive=head.keeps_alive
        )
        buffer.consume(end - buffer.start)
        self.wants_continue = (
            not self._body.done and not len(buffer) and (self._request.get(b"expect").lower() == b"100-continue")
        )
        self._seen, self._blank, self.stage = 0, 0, Stage.BODY
        return True

    def _rest(self, buffer: ReceiveBuffer) -> Request | None:
        assert self._request is not None and self._body is not None
        self._parts.append(self._body.receive(buffer))
        if not self._body.done:
            return None
        self._request.body = b"".join(self._parts)
        self._parts.clear()
        self.stage, self.wants_continue = Stage.TAKEN, False
        return self._request

    def reject(self) -> None:
        """Give up a request that has not come whole: it is answered, and the connection closed after it."""
        self.stage, self._request, self._body = Stage.TAKEN, None, None
        self._parts.clear()  # the connection lingers for a while, and there may be hundreds

    def answer(self, status: int, body: bytes, fields: Sequence[bytes] = (), close: bool = False) -> list[bytes]:
        """Give the parts of the answer to what was taken; afterwards the connection is idle or closed."""
        assert self.stage is Stage.TAKEN
        close = close or self._request is None or not self._request.keeps_alive
        self.stage = Stage.CLOSED if close else Stage.IDLE
        parts = [b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, REASONS[status], len(body))]
        parts += [part for line in fields for part in (line, b"\r\n")]
        return [*parts, b"Connection: close\r\n\r\n" if close else b"\r\n", body]

    def close(self) -> None:
        """Take note that the connection is over."""
        self.stage = Stage.CLOSED


def _single_fields(head: Head) -> dict[bytes, bytes]:
    """Fields by name: repeats must agree, but for lists, which are joined."""
    fields: dict[bytes, bytes] = {}
    for name, start, end in head.fields:
        value = bytes(head.data[start:end])
        known = fields.get(name, value)
        if known == value:
            fields[name] = value
        elif name in (b"request-id", b"idempotency-key", b"host", b"tenant", b"request-timeout-ms"):
            raise BadMessage(400, f"conflicting {name.decode()}")
        else:
            fields[name] = known + (b"; " if name == b"cookie" else b",") + value
    return fields
