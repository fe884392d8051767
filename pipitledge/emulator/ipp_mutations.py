"""Messages that lie, break off or are noise, made from good ones; and a front on socket pairs that they go into."""

from __future__ import annotations

import random
import socket
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from pipitledge.decision.interface import JobClass, Settings
from pipitledge.decision.policy import Policy
from pipitledge.emulator.ipp_servers import message
from pipitledge.ipp.codec import BadIpp, Message, Reader, Tag, attribute, encode
from pipitledge.ipp.front import IppFront, IppLink
from pipitledge.ipp.jobs import Jobs, Memory
from pipitledge.ipp.model import Op
from pipitledge.ipp.service import Service
from pipitledge.net.scheduler import Scheduler
from pipitledge.net.stream import ReceiveBuffer, Stream
from pipitledge.net.timers import Clock, Timers
from pipitledge.node.counters import Counters
from pipitledge.node.dispatch import Dispatch

URI = "ipp://127.0.0.1:8631/ipp/print"
OPS = (
    Op.PRINT_JOB,
    Op.VALIDATE_JOB,
    Op.CREATE_JOB,
    Op.SEND_DOCUMENT,
    Op.CANCEL_JOB,
    Op.GET_JOB_ATTRIBUTES,
    Op.GET_JOBS,
    Op.GET_PRINTER_ATTRIBUTES,
)
MOST_TURNS = 200  # rounds of the scheduler for one message; a handful is usual


def messages(seed: int, count: int) -> Iterator[bytes]:
    """Bodies of requests: one in ten as it should be, the others changed in one to six places, or mere noise."""
    draw = random.Random(seed)
    for number in range(count):
        good = encode(
            message(
                draw.choice(OPS),
                URI,
                attribute("job-id", Tag.INTEGER, draw.randrange(5)),
                attribute("requested-attributes", Tag.KEYWORD, "all", "job-id"),
                attribute("job-name", Tag.NAME, "box " * draw.randrange(20)),
                number=number + 1,
            )
        )
        body = bytearray(good + b"%PDF" * draw.randrange(3))
        kind = draw.randrange(10)
        for _ in range(draw.randint(1, 6) if kind else 0):
            at = draw.randrange(len(body))
            if kind < 4:  # a byte, most often a tag or a length
                body[at] = draw.choice((0, 1, 3, 0x21, 0x34, 0x37, 0x4A, 0x7F, 0xFF, draw.randrange(256)))
            elif kind < 6:  # pieces out, doubled, or in another place
                end = min(len(body), at + draw.randrange(40))
                piece = body[at:end]
                del body[at:end]
                where = draw.randrange(len(body) + 1)
                body[where:where] = piece * draw.randrange(3)
            elif kind < 8:  # ends early
                del body[max(1, at) :]
            elif kind == 8:  # a length that lies
                body[at : at + 2] = draw.choice((b"\xff\xff", b"\x7f\xff", b"\0\0", b"\0\1"))
            else:
                body = bytearray(draw.randbytes(draw.randrange(1, 400)))
            body = body or bytearray(b"\0")
        yield bytes(body)


def request(draw: random.Random, body: bytes) -> bytes:
    """A body as HTTP: by length, in chunks, or with a length that is not its own."""
    head = b"POST /ipp/print HTTP/1.1\r\nHost: x\r\nContent-Type: application/ipp\r\n"
    kind = draw.randrange(10)
    if kind == 0:
        size = draw.randint(1, len(body))
        return (
            head
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"".join(
                b"%x\r\n%s\r\n" % (len(body[at : at + size]), body[at : at + size]) for at in range(0, len(body), size)
            )
            + b"0\r\n\r\n"
        )
    length = len(body) if kind < 9 else draw.randrange(2 * len(body))
    return head + b"Content-Length: %d\r\n\r\n" % length + body


def read_whole(body: bytes) -> Message | int | None:
    """What the codec makes of a body: the message, the status of what is wrong with it, None if it ends early."""
    return read_pieces([body])


def read_pieces(pieces: list[bytes]) -> Message | int | None:
    """The same of a body that comes in pieces."""
    reader = Reader()
    try:
        for piece in pieces:
            reader.feed(piece)
    except BadIpp as fault:
        return fault.status
    return reader.message


@dataclass
class Target:
    """A front without printers, reached by socket pairs; it counts what each message led to."""

    counters: Counters = field(default_factory=Counters)
    crashes: list[BaseException] = field(default_factory=list)
    logged: list[str] = field(default_factory=list)
    led_to: Counter[str] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Wire up the parts that a message reaches."""
        clock = Clock()
        self.scheduler = Scheduler(Timers(clock.now), self.crashes.append)

        def log(event: str, **fields: Any) -> None:
            self.logged.append(f"{event} {fields}")

        self.jobs = Jobs(Memory(), lambda: int(clock.now() / 1_000.0))
        settings = Settings(classes=(JobClass(),))
        dispatch = Dispatch(clock, self.scheduler.timers, Policy(settings, 1), self.counters, log)  # type: ignore[arg-type]
        self.scheduler.after_round = dispatch.round
        service = Service(URI, self.jobs, lambda: int(clock.now() / 1_000.0), lambda: False)
        self.front = IppFront(
            self.scheduler,
            clock,
            dispatch,
            service,
            self.jobs,
            self.counters,
            log,  # type: ignore[arg-type]
            ("127.0.0.1", 0),
            5_000.0,
        )

    def send(self, data: bytes, body: bytes) -> None:
        """Put one request in on a connection of its own, and judge what comes back."""
        ours, far = socket.socketpair()
        far.setblocking(False)
        self.front.links += 1
        link = IppLink(self.front, Stream(self.scheduler, ours, ReceiveBuffer(most=96 * 1024)))
        self.scheduler.spawn(link.run)
        far.send(data)
        far.shutdown(socket.SHUT_WR)
        came, ended = b"", False
        for _ in range(MOST_TURNS):
            self.scheduler.turn(0.0)
            try:
                part = far.recv(1 << 20)
            except BlockingIOError:
                continue
            came, ended = came + part, not part
            if ended:
                break
        far.close()
        self._judge(came, ended, body)

    def _judge(self, came: bytes, ended: bool, body: bytes) -> None:
        head, _, answer = came.partition(b"\r\n\r\n")
        if not ended:
            self.wrong.append(f"no end after {MOST_TURNS} rounds: {body[:40]!r}")
        elif not came:
            self.led_to["closed unanswered"] += 1
        elif not head.startswith(b"HTTP/1.1 200 "):
            self.led_to["HTTP " + head[9:12].decode()] += 1
        elif not isinstance(told := read_whole(answer), Message):
            self.wrong.append(f"an answer that can't be read: {answer[:40]!r}")
        else:
            asked = read_whole(body)
            if isinstance(asked, Message) and told.request_id not in (asked.request_id, 0):
                self.wrong.append(f"request {asked.request_id} answered as {told.request_id}")
            self.led_to[f"IPP {told.code:#06x}"] += 1
