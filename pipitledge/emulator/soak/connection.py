"""A client's connection that is kept and used again, and what became of each call on it."""

from __future__ import annotations

import enum
import socket
import time

from msgspec import Struct

CONNECT_SECONDS = 1.0
PATIENCE_SECONDS = 4.0  # for an answer, from the last byte sent
DEADLINE_MS = 3_000  # told to the node
CHUNK = 65_536
HEAD_END = b"\r\n\r\n"


class Outcome(enum.Enum):
    """How a call ended."""

    ANSWERED = "answered"
    CUT = "cut"  # the connection ended before the answer was whole
    SILENT = "silent"  # no answer within the client's patience


class CallEnd(Struct, frozen=True):
    """A call that was sent whole, and its end."""

    outcome: Outcome
    sent_at: float  # steady time of the last byte
    ended_at: float
    status: int = 0
    body: bytes = b""
    closes: bool = False  # the node ends the connection with this answer

    @property
    def seconds(self) -> float:
        """From the last byte sent to the end."""
        return self.ended_at - self.sent_at


class KeptConnection:
    """One connection; calls follow each other on it."""

    def __init__(self, address: str) -> None:
        """Connect to "ip:port"; raises OSError if nobody takes the connection."""
        ip, _, port = address.rpartition(":")
        self._socket = socket.create_connection((ip, int(port)), CONNECT_SECONDS)
        self._host = address

    def call(self, method: str, path: str, host: str, body: bytes) -> CallEnd | None:
        """Send a call and wait for its end; None if it could not be sent whole, or the connection had ended before."""
        if self._has_ended():
            return None
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            self._socket.settimeout(PATIENCE_SECONDS)
            self._socket.sendall(head.encode() + body)
        except OSError:
            return None
        return self._read_answer(time.monotonic())

    def _has_ended(self) -> bool:
        """Whether the other side has closed the connection."""
        self._socket.setblocking(False)
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        """Leave."""
        self._socket.close()

    def _read_answer(self, sent_at: float) -> CallEnd:
        received = b""
        while True:
            left = sent_at + PATIENCE_SECONDS - time.monotonic()
            if left <= 0:
                return CallEnd(Outcome.SILENT, sent_at, time.monotonic())
            try:
                self._socket.settimeout(left)
                chunk = self._socket.recv(CHUNK)
            except TimeoutError:
                return CallEnd(Outcome.SILENT, sent_at, time.monotonic())
            except OSError:
                chunk = b""
            if not chunk:
                return CallEnd(Outcome.CUT, sent_at, time.monotonic())
            received += chunk
            answer = parse_answer(received)
            if answer is not None:
                status, body, closes = answer
                return CallEnd(Outcome.ANSWERED, sent_at, time.monotonic(), status, body, closes)


def parse_answer(received: bytes) -> tuple[int, bytes, bool] | None:
    """Status, body, and whether the connection ends; None while the answer is not whole."""
    head, separator, rest = received.partition(HEAD_END)
    if not separator:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    length = int(headers.get("content-length", "0"))
    if len(rest) < length:
        return None
    return int(first.split()[1]), rest[:length], headers.get("connection", "").lower() == "close"
