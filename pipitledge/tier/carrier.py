"""Carriers of the tier's messages: datagrams through the node's peers, or TCP at an address of its own.

Each takes frames for a member and hands on frames that came, with the address they came from. Both may lose what they
take: the agreement says again what matters. A carrier knows members by name and address and nothing of what they say.
"""

from __future__ import annotations

import contextlib
import socket
import struct
from collections import deque
from collections.abc import Callable, Mapping
from typing import Protocol

from pipitledge.net.scheduler import Scheduler, Task, Wake
from pipitledge.net.stream import ReceiveBuffer, Stream, accept_some
from pipitledge.net.timers import Clock
from pipitledge.node.config import Address
from pipitledge.node.counters import Counters, Log
from pipitledge.tier.messages import LONGEST

Received = Callable[[bytes, Address], None]
QUEUE = 64  # frames that wait for one member; the oldest go first
DIAL_MS, WRITE_MS, AGAIN_MS, AGAIN_MOST_MS = 1_000.0, 2_000.0, 50.0, 400.0
PLACES = 64  # connections of others that are read at one time
MOST_FRAME = 16 * 1024
_SIZE = struct.Struct(">I")


class Carrier(Protocol):
    """What the tier's side needs of a carrier."""

    most: int  # bytes of a frame
    received: Received

    def meet(self, members: Mapping[str, Address]) -> None:
        """Know these members from now on."""

    def send(self, to: str, frame: bytes) -> None:
        """Send a frame, or lose it."""

    def start(self) -> None:
        """Begin to hear; OSError where the address can't be had."""

    def stop(self) -> None:
        """Say and hear no more."""


class Datagrams:
    """Frames as datagrams on the socket that the node's peers have already."""

    most = LONGEST

    def __init__(self, post: Callable[[bytes, Address], bool], counters: Counters) -> None:
        """`post` sends one datagram; whoever owns the socket calls `received`."""
        self.post, self.counters = post, counters
        self.received: Received = lambda frame, sender: None
        self.members: Mapping[str, Address] = {}

    def meet(self, members: Mapping[str, Address]) -> None:
        """Know these members from now on."""
        self.members = members

    def send(self, to: str, frame: bytes) -> None:
        """Send a frame; one that is too long is counted, as the platform would void it."""
        if len(frame) > self.most:
            self.counters.add("tier.too-long")
        elif to in self.members and self.post(frame, self.members[to]):
            self.counters.add("tier.sent")
            self.counters.add("tier.sent-bytes", len(frame))

    def start(self) -> None:
        """Nothing to do: the socket is another's."""

    def stop(self) -> None:
        """Nothing to do."""


class _Line:
    """The connection to one member: a task that dials, writes what waits, and dials again."""

    def __init__(self, carrier: Connections, name: str, address: Address) -> None:
        self.carrier, self.name, self.address, self.ends = carrier, name, address, False
        self.queue: deque[bytes] = deque(maxlen=QUEUE)
        self.waits_ms = AGAIN_MS
        self.task = carrier.scheduler.spawn(self._run, urgent=True)

    def put(self, frame: bytes) -> None:
        if len(self.queue) == QUEUE:
            self.carrier.counters.add("tier.left-out")
        self.queue.append(frame)
        self.task.wake()

    def end(self) -> None:
        self.ends = True
        self.task.wake()

    def _run(self) -> None:
        scheduler, clock = self.carrier.scheduler, self.carrier.clock
        while not self.ends:
            if not self.queue:
                scheduler.wait()
                continue
            stream = Stream(scheduler, socket.socket(), ReceiveBuffer(256, 256))
            try:
                if stream.dial(self.address, clock.now() + DIAL_MS):
                    self.waits_ms = AGAIN_MS
                    self._write(stream)
            except OSError:
                pass
            finally:
                stream.close()
            if not self.ends:
                self.queue.clear()  # late news is none: what matters is said again
                until = clock.now() + self.waits_ms
                self.waits_ms = min(AGAIN_MOST_MS, 2.0 * self.waits_ms)
                while not self.ends and clock.now() < until:
                    scheduler.wait(until)

    def _write(self, stream: Stream) -> None:
        scheduler, clock, counters = self.carrier.scheduler, self.carrier.clock, self.carrier.counters
        while not self.ends:
            if not self.queue:
                if scheduler.wait(fd=stream.sock.fileno()) is Wake.READY and stream.read() >= 0:
                    return  # the other side says nothing on this connection: it ends
                continue
            frames = [self.queue.popleft() for _ in range(len(self.queue))]
            if not stream.write(
                [part for frame in frames for part in (_SIZE.pack(len(frame)), frame)], clock.now() + WRITE_MS
            ):
                return
            counters.add("tier.sent", len(frames))
            counters.add("tier.sent-bytes", sum(map(len, frames)) + _SIZE.size * len(frames))


class Connections:
    """Frames over TCP: a connection to each member for what we say, and those of others for what they say."""

    most = MOST_FRAME

    def __init__(self, scheduler: Scheduler, clock: Clock, counters: Counters, log: Log, listen: Address) -> None:
        """Know the address; `start` opens it."""
        self.scheduler, self.clock, self.counters, self.log, self.listen = scheduler, clock, counters, log, listen
        self.received: Received = lambda frame, sender: None
        self.lines: dict[str, _Line] = {}
        self.readers: dict[Stream, Task] = {}
        self.listener: socket.socket | None = None
        self._accepting: Task | None = None

    def meet(self, members: Mapping[str, Address]) -> None:
        """Know these members from now on; connections to others end."""
        for name in [name for name, line in self.lines.items() if members.get(name) != line.address]:
            self.lines.pop(name).end()
        for name, address in members.items():
            if name not in self.lines:
                self.lines[name] = _Line(self, name, address)

    def send(self, to: str, frame: bytes) -> None:
        """Queue a frame; with the queue full the oldest is lost."""
        if to in self.lines:
            self.lines[to].put(frame)

    def start(self) -> None:
        """Listen."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)  # an heir's, while the elder closes its own
            listener.bind(self.listen)
            listener.listen(PLACES)
        except OSError:
            listener.close()
            raise
        listener.setblocking(False)
        self.listener = listener
        self._accepting = self.scheduler.spawn(lambda: self._accept(listener), urgent=True)

    def stop(self) -> None:
        """Close all."""
        for line in self.lines.values():
            line.end()
        self.lines.clear()
        listener, self.listener = self.listener, None
        if listener is not None and self._accepting is not None:
            self.scheduler.forget(listener.fileno())
            listener.close()
            self._accepting.wake()
        for stream, task in list(self.readers.items()):
            stream.close()
            task.wake()

    def _accept(self, listener: socket.socket) -> None:
        short = False
        while self.listener is listener:
            self.scheduler.wait(self.clock.now() + 20.0 if short else float("inf"), -1 if short else listener.fileno())
            if self.listener is listener:
                short = not accept_some(
                    listener,
                    PLACES,
                    lambda: len(self.readers) < PLACES,
                    self._took,
                    lambda _: self.counters.add("tier.no-descriptor"),
                )

    def _took(self, sock: socket.socket) -> None:
        stream = Stream(self.scheduler, sock, ReceiveBuffer(4 * 1024, MOST_FRAME + _SIZE.size))
        self.readers[stream] = self.scheduler.spawn(lambda: self._read(stream), urgent=True)

    def _read(self, stream: Stream) -> None:
        sender: Address = ("", 0)
        try:
            sender = stream.sock.getpeername()
            while self.listener is not None:
                if stream.readable(float("inf")) is Wake.READY and not (size := stream.read()):
                    return
                while len(stream.buffer) >= _SIZE.size and self.listener is not None:
                    buffer = stream.buffer
                    [size] = _SIZE.unpack_from(buffer.data, buffer.start)
                    if size > MOST_FRAME:
                        self.counters.add("tier.ignored.too-long")
                        return
                    if len(buffer) < _SIZE.size + size:
                        break
                    begin = buffer.start + _SIZE.size
                    frame = bytes(buffer.data[begin : begin + size])
                    buffer.consume(_SIZE.size + size)
                    self.received(frame, sender)
        except (OSError, OverflowError):
            return
        finally:
            self.readers.pop(stream, None)
            with contextlib.suppress(OSError):
                stream.close()
