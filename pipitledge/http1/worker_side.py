"""Our end of a connection to a worker or to discovery: an answer in JSON lines, as it streams in."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from pipitledge.http1.framing import Body, body_of
from pipitledge.http1.heads import BadMessage, find_head, parse_answer
from pipitledge.net.stream import Part, ReceiveBuffer


class AnswerStage(Enum):
    """How much of an answer has come."""

    HEAD = "head"
    BODY = "body"
    DONE = "done"
    BROKEN = "broken"  # ended before its end


@dataclass(slots=True)
class WorkerSide:
    """The states of one answer. A new one is made for each request on a connection."""

    most: int  # bytes of body
    line_most: int  # bytes of one line
    stage: AnswerStage = AnswerStage.HEAD
    status: int = 0
    keeps_alive: bool = False
    load: bytes = b""
    not_started: bool = False
    _body: Body | None = None
    _line: bytearray = field(default_factory=bytearray)
    _seen: int = 0

    @property
    def is_open(self) -> bool:
        """Whether more of the answer is to come."""
        return self.stage in (AnswerStage.HEAD, AnswerStage.BODY)

    @property
    def is_whole(self) -> bool:
        """Whether the answer has come to its end."""
        return self.stage is AnswerStage.DONE

    def receive(self, buffer: ReceiveBuffer) -> list[bytes]:
        """Take what has come and return the lines that are now whole, empty ones too."""
        self._line += self.take(buffer)
        *lines, rest = bytes(self._line).split(b"\n")
        self._line = bytearray(rest)
        if len(rest) > self.line_most:
            raise BadMessage(502, "line too long")
        return self._last(lines)

    def take(self, buffer: ReceiveBuffer) -> bytes:
        """Take what has come of the body, as it is: for those who do not read by lines."""
        if self.stage is AnswerStage.HEAD and not self._head(buffer):
            return b""
        if self.stage is not AnswerStage.BODY or self._body is None:
            return b""
        data = self._body.receive(buffer)
        if self._body.done:
            self.stage = AnswerStage.DONE
        return data

    def _head(self, buffer: ReceiveBuffer) -> bool:
        while True:
            end = find_head(buffer.data, buffer.start, buffer.end, self._seen)
            self._seen = len(buffer)
            if end < 0:
                return False
            head = parse_answer(buffer.data, buffer.start, end)
            self.status, self._seen = int(head.first.group(2)), 0
            if self.status >= 200:
                break
            buffer.consume(end - buffer.start)  # an interim answer
        self.keeps_alive = head.keeps_alive
        self.load, self.not_started = head.get(b"server-load"), head.get(b"not-started") == b"1"
        bodiless = self.status in (204, 304)
        self._body = Body(0, False, 0) if bodiless else body_of(head, self.most, until_end=True)
        self.keeps_alive = self.keeps_alive and (self._body.chunked or self._body.left is not None)
        buffer.consume(end - buffer.start)
        self.stage = AnswerStage.BODY
        return True

    def _last(self, lines: list[bytes]) -> list[bytes]:
        if self.stage is AnswerStage.DONE and self._line:  # the last line needs no line end
            lines.append(bytes(self._line))
            self._line.clear()
        return lines

    def end(self) -> list[bytes]:
        """Take note that the connection ended, and return a last line if that was the body's proper end."""
        if (
            self.stage is AnswerStage.BODY
            and self._body is not None
            and not self._body.chunked
            and self._body.left is None
        ):
            self.stage = AnswerStage.DONE
        elif self.stage is not AnswerStage.DONE:
            self.stage = AnswerStage.BROKEN
        return self._last([])


def request_parts(
    method: bytes, target: bytes, host: bytes, fields: list[tuple[bytes, bytes]], body: bytes
) -> list[Part]:
    """Give the parts of a request for a gathered write: nothing is joined or copied."""
    parts: list[Part] = [method, b" ", target, b" HTTP/1.1\r\nHost: ", host]
    for name, value in fields:
        parts += [b"\r\n", name, b": ", value]
    if method != b"GET":
        parts.append(b"\r\nContent-Length: %d" % len(body))
    return [*parts, b"\r\n\r\n", body]
