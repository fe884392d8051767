"""The second address: operators' calls, one line a connection, answered ahead of all work for clients."""

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

MAX_LINE_BYTES = 256  # bytes, with its end
MAX_BODY_BYTES = 300 * 1024  # bytes after the line of a call that brings a document
LINE_TIMEOUT_MS, WRITE_TIMEOUT_MS = 2_000.0, 1_000.0  # from accepting to the whole line; for the answer
MAX_CONNECTIONS = 8  # calls at one time; their descriptors are set aside at the start, so that no client can take them
ACCEPT_RETRY_MS = 20.0  # without a descriptor to spare


class Verb(Enum):
    """What can be called."""

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
    """One call that can be read."""

    verb: Verb
    worker: str = ""
    words: tuple[str, ...] = ()  # after POLICY
    body: bytes = b""  # of POLICY PROPOSE


class Success(str):
    """An answer that is yes, and has more to say."""


class InvalidCall(Exception):
    """A line that is no call; the text says why, to the caller too."""


def read_call(line: bytes) -> Call:
    """Read one line without its end. Names are as told: a call in small letters is none."""
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
    """The states of one connection: fed bytes, it gives one call; BadCall where there will never be one."""

    def __init__(self) -> None:
        """Wait for the first byte."""
        self.line = bytearray()
        self.finished = False
        self._call: Call | None = None  # one whose body is still coming
        self._size = 0

    def receive(self, data: bytes) -> Call | None:
        """Take what has come. What follows the first line is not looked at."""
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
        """The call, once its body is whole. What follows that is not looked at."""
        if self._call is None or len(self.line) < self._size:
            return None
        self.finished = True
        return replace(self._call, body=bytes(self.line[: self._size]))

    def end(self) -> None:
        """Take note that the caller sends no more: half a call is none."""
        if not self.finished:
            self.finished = True
            raise InvalidCall("half a call")


def answer_line(no: str | None) -> bytes:
    """Give the answer to a call: yes, or no with its reason."""
    if isinstance(no, Success):
        return b"+OK " + no.encode() + b"\n"
    return b"+OK\n" if no is None else b"-ERR " + no.encode("ascii", "replace").replace(b"\n", b" ") + b"\n"


# None or Yes: it is done; else why not. It may wait, in the caller's task.
CallHandler = Callable[[Call], str | None]


def not_ready(call: Call) -> str | None:
    """Answer for a node that does not serve yet."""
    return "not ready yet"


class Console:
    """Listens at the second address; each caller has a task that runs before those of clients."""

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
        self.connections: dict[ConsoleConnection, None] = {}  # longest here first
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(listen)
        self.listener.listen(64)
        self.listener.setblocking(False)
        scheduler.spawn(self._accept, urgent=True)

    def _accept(self) -> None:
        short = False
        while True:
            self.scheduler.wait(
                self.clock.now() + ACCEPT_RETRY_MS if short else float("inf"), -1 if short else self.listener.fileno()
            )
            try:
                short = not self._accept_all()
            except Exception as fault:  # whatever one caller does, the next is heard
                self.scheduler.crashed(fault)

    def _accept_all(self) -> bool:
        """Accept one caller for each place; False where no descriptor or no place is to be had just now."""
        return accept_some(
            self.listener,
            MAX_CONNECTIONS,
            lambda: len(self.connections) < MAX_CONNECTIONS or self._evict_waiting(),
            self._accepted,
            lambda _: self.counters.add("console.no-descriptor"),
        )

    def _accepted(self, sock: socket.socket) -> None:
        self.connections[ConsoleConnection(self, sock)] = None

    def _evict_waiting(self) -> bool:
        """Close the caller who has been longest without a whole line; one that waits for its answer stays."""
        for caller in self.connections:
            if not caller.called:
                del self.connections[caller]
                caller.evict()
                return True
        return False


class ConsoleConnection:
    """One call: read a line, have it answered, close."""

    def __init__(self, console: Console, sock: socket.socket) -> None:
        """Take over an accepted socket."""
        self.console, self.called, self.is_evicted = console, False, False
        self.stream = Stream(console.scheduler, sock, ReceiveBuffer(MAX_LINE_BYTES, MAX_LINE_BYTES))
        self.until = console.clock.now() + LINE_TIMEOUT_MS
        self.task = console.scheduler.spawn(self.run, urgent=True)

    def evict(self) -> None:
        """Close soon: the place is another caller's."""
        self.is_evicted = True
        self.task.wake()

    def run(self) -> None:
        """Answer the call, whatever it is; every way out closes the connection."""
        console, what, no = self.console, "bad", "internal error"
        try:
            call = self._call()
            if call is None:
                what = "dropped"
                return
            self.called, what = True, call.verb.value.decode().lower()
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
            self._write(answer_line(no))
            raise
        finally:
            console.counters.add(f"console.{what}")
            console.connections.pop(self, None)
            self.stream.close()

    def _call(self) -> Call | None:
        """Read the call; None where the caller left without a byte of one, or has to give way."""
        side, stream = CallParser(), self.stream
        while True:
            if self.is_evicted:
                return None
            why = stream.readable(self.until)
            if why is Wake.TIMEOUT:
                raise InvalidCall("too slow")
            if why is Wake.READY and (size := stream.read()) >= 0:
                if not size:
                    if not side.line:
                        return None
                    side.end()
                with memoryview(stream.buffer.data)[stream.buffer.start : stream.buffer.end] as came:
                    call = side.receive(bytes(came))
                stream.buffer.consume(len(stream.buffer))
                if call is not None:
                    return call

    def _write(self, answer: bytes) -> None:
        with contextlib.suppress(OSError):
            self.stream.write([answer], self.console.clock.now() + WRITE_TIMEOUT_MS)
