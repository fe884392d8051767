"""Heads of requests and answers, parsed in place: a head is offsets into the receive buffer."""

from __future__ import annotations

import re

MAX_HEAD = 16 * 1024
MAX_FIELDS = 100

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_REQUEST = re.compile(rb"(" + _TOKEN + rb") ([\x21-\x7e]+) HTTP/1\.([01])\r\n")
_STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")
_FIELD = re.compile(rb"(" + _TOKEN + rb"):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*\r\n")


class BadMessage(Exception):
    """What came does not follow HTTP/1.1 or our limits; status is the fitting answer to a client."""

    def __init__(self, status: int, reason: str) -> None:
        """Name the status and, for the log and the body, the reason."""
        super().__init__(reason)
        self.status, self.reason = status, reason


class Head:
    """A parsed head. Its offsets hold until the buffer's bytes are consumed or moved."""

    __slots__ = ("data", "end", "fields", "first", "minor")

    def __init__(self, data: bytearray, first: re.Match[bytes], minor: bytes, end: int) -> None:
        """Note where the first line's parts are and where the head ends."""
        self.data, self.first, self.minor, self.end = data, first, minor, end
        self.fields: list[tuple[bytes, int, int]] = []

    def all(self, name: bytes) -> list[bytes]:
        """Values of a field, by its lower-case name."""
        return [bytes(self.data[start:end]) for known, start, end in self.fields if known == name]

    def has(self, name: bytes) -> bool:
        """Whether a field is there, blank ones too."""
        return any(known == name for known, _, _ in self.fields)

    def get(self, name: bytes) -> bytes:
        """One value, empty where the field is absent; a field that may come once must not differ."""
        values = self.all(name)
        if len(values) > 1 and any(value != values[0] for value in values):
            raise BadMessage(400, f"conflicting {name.decode()}")
        return values[0] if values else b""

    def tokens(self, name: bytes) -> set[bytes]:
        """Comma-separated values of a field, in lower case."""
        values = b",".join(self.all(name)).lower().split(b",")
        return {value.strip() for value in values if value.strip()}

    @property
    def keeps_alive(self) -> bool:
        """Whether the sender lets the connection stay open."""
        tokens = self.tokens(b"connection")
        return b"close" not in tokens and (self.minor == b"1" or b"keep-alive" in tokens)


def find_head(data: bytearray, start: int, end: int, seen: int) -> int:
    """The offset just past a head, or -1; `seen` bytes were looked at before."""
    found = data.find(b"\r\n\r\n", max(start, start + seen - 3), end)
    if (found + 4 if found >= 0 else end) - start > MAX_HEAD:
        raise BadMessage(431, "head too long")
    return found + 4 if found >= 0 else -1


def parse_request(data: bytearray, start: int, end: int) -> Head:
    """Parse a request's head; first's groups are method, target and minor version."""
    first = _REQUEST.match(data, start, end)
    if first is None:
        raise BadMessage(400, "bad request line")
    return _fields(Head(data, first, first.group(3), end))


def parse_answer(data: bytearray, start: int, end: int) -> Head:
    """Parse an answer's head; first's groups are minor version and status."""
    first = _STATUS.match(data, start, end)
    if first is None:
        raise BadMessage(502, "bad status line")
    return _fields(Head(data, first, first.group(1), end))


def _fields(head: Head) -> Head:
    at, stop = head.first.end(), head.end - 2
    while at < stop:
        field = _FIELD.match(head.data, at, head.end)
        if field is None:
            raise BadMessage(400, "bad header field")
        head.fields.append((field.group(1).lower(), field.start(2), field.end(2)))
        at = field.end()
        if len(head.fields) > MAX_FIELDS:
            raise BadMessage(431, "too many header fields")
    return head
