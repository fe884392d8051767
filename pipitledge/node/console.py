"""The console address: operators' calls, one per connection, which run before all work for clients."""

from __future__ import annotations

import contextlib
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from pipitledge.net.scheduler import Scheduler, Wake
from pipitledge.net.stream import ReceiveBuffer, Stream, accept_some
from pipitledge.net.timers import Clock
from pipitledge.node.config import Address
from pipitledge.node.counters import Counters, Log

MAX_LINE_BYTES = 256  # with the line feed
MAX_BODY_BYTES = 300 * 1024  # of the document that follows the line of POLICY PROPOSE
LINE_TIMEOUT_MS, WRITE_TIMEOUT_MS = 2_000.0, 1_000.0  # from accept to the complete call; for writing the answer
MAX_CONNECTIONS = 8  # at one time; their descriptors are reserved, so that clients can't use them up
ACCEPT_RETRY_MS = 20.0  # wait before the next accept after the process ran out of descriptors


class Verb(Enum):
    """The first word of a call."""

    PING = b"PING"
    DETACH = b"DETACH"
    ATTACH = b"ATTACH"
    LAMEDUCK = b"LAMEDUCK"
    REJOIN = b"REJOIN"
    POLICY = b"POLICY"


VERBS_WITH_WORKER = frozenset({Verb.DETACH, Verb.ATTACH})
_ID = re.compile(rb"[\x21-\x7e]{1,128}")


@dataclass(frozen=True, slots=True)
class Call:
    """One valid call."""

    verb: Verb
    worker: str = ""
    words: tuple[str, ...] = ()  # those after POLICY
    body: bytes = b""  # the document of POLICY PROPOSE


class Success(str):
    """A positive answer with content, such as JSON."""


class InvalidCall(Exception):
    """The input is not a valid call; the text is the reason that is sent to the caller."""


def read_call(line: bytes) -> Call:
    """Parse one line without its line feed. Verbs are case-sensitive: `ping` is not valid."""
    words = line.split()
    try:
        verb = Verb(words[0])
    except (ValueError, IndexError):
        raise InvalidCall("unknown call") from None
    if verb is Verb.POLICY:
        if not all(_ID.fullmatch(word) for word in words[1:]) or len(words) < 2:
            raise InvalidCall("POLICY takes words")
        return Call(verb, words=tuple(word.decode() for word in words[1:]))
    if len(words) != 1 + (verb in VERBS_WITH_WORKER):
        raise InvalidCall(f"{verb.value.decode()} takes {'one id' if verb in VERBS_WITH_WORKER else 'nothing else'}")
    if len(words) > 1 and not _ID.fullmatch(words[1]):
        raise InvalidCall("not an id")
    return Call(verb, words[1].decode() if len(words) > 1 else "")


class CallParser:
    """Parses the bytes of one connection into one call; raises InvalidCall if they can't become a valid one."""

    def __init__(self) -> None:
        """Start without any bytes."""
        self.line = bytearray()
        self.finished = False
        self._call: Call | None = None  # a call with a body that is not complete yet
        self._size = 0

    def receive(self, data: bytes) -> Call | None:
        """Add received bytes; returns the call once it is complete. Bytes after the call are ignored."""
        if self.finished:
            return None
        self.line += data
        if self._call is not None:
            return self._call_if_complete()
        end = self.line.find(b"\n")
        if end >= MAX_LINE_BYTES or (end < 0 and len(self.line) >= MAX_LINE_BYTES):
            self.finished = True
            raise InvalidCall("line too long")
        if end < 0:
            return None
        try:
            call = read_call(bytes(self.line[:end]))
            if call.words[:1] == ("PROPOSE",):
                self._size = int(call.words[1]) if len(call.words) > 1 and call.words[1].isdecimal() else -1
                if not 0 < self._size <= MAX_BODY_BYTES:
                    raise InvalidCall(f"a document has 1 to {MAX_BODY_BYTES} bytes")
                del self.line[: end + 1]
                self._call = call
                return self._call_if_complete()
        except InvalidCall:
            self.finished = True
            raise
        self.finished = True
        return call

    def _call_if_complete(self) -> Call | None:
        """Return the call if its body is complete. Bytes after the body are ignored."""
        if self._call is None or len(self.line) < self._size:
            return None
        self.finished = True
        return replace(self._call, body=bytes(self.line[: self._size]))

    def end(self) -> None:
        """Handle the end of input; raises InvalidCall if the call is not complete."""
        if not self.finished:
            self.finished = True
            raise InvalidCall("half a call")


def answer_line(answer: str | None) -> bytes:
    """Encode the answer to a call: +OK, or -ERR with the reason."""
    if isinstance(answer, Success):
        return b"+OK " + answer.encode() + b"\n"
    return b"+OK\n" if answer is None else b"-ERR " + answer.encode("ascii", "replace").replace(b"\n", b" ") + b"\n"


# Carries out a call; returns None or Success if it is done, else the reason of failure. Runs in the task of the
# connection, and may wait there.
CallHandler = Callable[[Call], str | None]


def not_ready(call: Call) -> str | None:
    """Answer calls while the node is starting and can't carry them out."""
    return "not ready yet"


class Console:
    """Listens at the console address; each connection has a task that runs before those of clients."""

    def __init__(
        self,
        scheduler: Scheduler,
        clock: Clock,
        counters: Counters,
        log: Log,
        listen: Address,
        call_handler: CallHandler = not_ready,
    ) -> None:
        """Open the listening socket."""
        self.scheduler, self.clock, self.counters, self.log = scheduler, clock, counters, log
        self.call_handler = call_handler
        self.connections: dict[ConsoleConnection, None] = {}  # oldest first
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(listen)
        self.listener.listen(64)
        self.listener.setblocking(False)
        scheduler.spawn(self._accept, urgent=True)

    def _accept(self) -> None:
        must_wait = False
        while True:
            self.scheduler.wait(
                self.clock.now() + ACCEPT_RETRY_MS if must_wait else float("inf"),
                -1 if must_wait else self.listener.fileno(),
            )
            try:
                must_wait = not self._accept_all()
            except Exception as fault:  # a failure with one connection must not stop the accepting of others
                self.scheduler.crashed(fault)

    def _accept_all(self) -> bool:
        """Accept connections up to the limit; False if no descriptor is free or no connection can be evicted."""
        return accept_some(
            self.listener,
            MAX_CONNECTIONS,
            lambda: len(self.connections) < MAX_CONNECTIONS or self._evict_incomplete(),
            self._accepted,
            lambda _: self.counters.add("console.no-descriptor"),
        )

    def _accepted(self, sock: socket.socket) -> None:
        self.connections[ConsoleConnection(self, sock)] = None

    def _evict_incomplete(self) -> bool:
        """Close the oldest connection that has not sent a complete call; False if all wait for their answers."""
        for connection in self.connections:
            if not connection.has_call:
                del self.connections[connection]
                connection.evict()
                return True
        return False


class ConsoleConnection:
    """One connection: reads a call, has it carried out, answers it, and closes."""

    def __init__(self, console: Console, sock: socket.socket) -> None:
        """Start the task that serves an accepted socket."""
        self.console, self.has_call, self.is_evicted = console, False, False
        self.stream = Stream(console.scheduler, sock, ReceiveBuffer(MAX_LINE_BYTES, MAX_LINE_BYTES))
        self.until = console.clock.now() + LINE_TIMEOUT_MS
        self.task = console.scheduler.spawn(self.run, urgent=True)

    def evict(self) -> None:
        """Wake the task to close the connection, as its place is needed for a new one."""
        self.is_evicted = True
        self.task.wake()

    def run(self) -> None:
        """Read and answer the call; the connection is closed in any case."""
        console, what, failure = self.console, "bad", "internal error"
        try:
            call = self._call()
            if call is None:
                what = "dropped"
                return
            self.has_call, what = True, call.verb.value.decode().lower()
            answer = console.call_handler(call)
            console.log(
                "console",
                call=what,
                id=call.worker or "-".join(call.words) or "-",
                answer="yes" if answer is None or isinstance(answer, Success) else answer,
            )
            self._write(answer_line(answer))
        except InvalidCall as fault:
            console.log("console", call="bad", why=fault)
            self._write(answer_line(str(fault)))
        except OSError:
            what = "dropped"
        except Exception:
            self._write(answer_line(failure))
            raise
        finally:
            console.counters.add(f"console.{what}")
            console.connections.pop(self, None)
            self.stream.close()

    def _call(self) -> Call | None:
        """Read the call; None if the caller closed without sending anything, or the connection was evicted."""
        parser, stream = CallParser(), self.stream
        while True:
            if self.is_evicted:
                return None
            why = stream.readable(self.until)
            if why is Wake.TIMEOUT:
                raise InvalidCall("too slow")
            if why is Wake.READY and (size := stream.read()) >= 0:
                if not size:
                    if not parser.line:
                        return None
                    parser.end()
                with memoryview(stream.buffer.data)[stream.buffer.start : stream.buffer.end] as received:
                    call = parser.receive(bytes(received))
                stream.buffer.consume(len(stream.buffer))
                if call is not None:
                    return call

    def _write(self, answer: bytes) -> None:
        with contextlib.suppress(OSError):
            self.stream.write([answer], self.console.clock.now() + WRITE_TIMEOUT_MS)
