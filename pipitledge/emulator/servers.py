"""Thin drivers of the models on real sockets, loopback only: workers, discovery, clients.

They run on the node's own scheduler, in a process of their own, and read and write HTTP with the node's own state
machines. Faults of a whole machine (refused, not accepting) are switched for it; those of an attempt are drawn.
"""

from __future__ import annotations

import contextlib
import json
import math
import socket
import struct
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from pipitledge.decision.interface import Repeat, Settings, State
from pipitledge.emulator.audit import Audit
from pipitledge.emulator.client import Clients, Wanted
from pipitledge.emulator.discovery import STATES, Discovery, line
from pipitledge.emulator.faults import Fault, Faults
from pipitledge.emulator.worker import Job, Said, Worker
from pipitledge.http1.client_side import ClientSide, Request, Stage
from pipitledge.http1.framing import Body, body_of
from pipitledge.http1.heads import BadMessage, find_head, parse_answer
from pipitledge.net.scheduler import Scheduler, Task, Wake
from pipitledge.net.stream import ReceiveBuffer, Stream
from pipitledge.net.timers import Clock
from pipitledge.node.config import Address

LAST = {"done", "failed", "lost", "returned"}
KEEP_MS, SLOW = 15_000.0, 12.0


def listener(address: Address) -> socket.socket:
    """Listen on a loopback address; any other is refused, as stand-ins are for this machine alone."""
    if not address[0].startswith("127."):
        raise ValueError(f"{address[0]}: stand-ins listen on loopback addresses only")
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.bind(address)
    made.listen(512)
    made.setblocking(False)
    return made


def chunk(line: bytes) -> bytes:
    """One line as one chunk."""
    return b"%x\r\n%s\n\r\n" % (len(line) + 1, line)


class Server:
    """Accepts connections, each with a task of its own."""

    def __init__(self, scheduler: Scheduler, clock: Clock, listen: Address) -> None:
        """Listen from now on; port 0 takes a free one."""
        self.scheduler, self.clock = scheduler, clock
        self.listener = listener(listen)
        self.address: Address = self.listener.getsockname()
        self.accepting = True
        self.acceptor = scheduler.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            if not self.accepting:
                self.scheduler.wait(self.clock.now() + 20.0)
                continue
            self.scheduler.wait(fd=self.listener.fileno())
            while self.accepting:
                try:
                    sock, _ = self.listener.accept()
                except OSError:
                    break
                stream = Stream(self.scheduler, sock, ReceiveBuffer(most=96 * 1024))
                self.scheduler.spawn(lambda stream=stream: self._serve(stream))  # type: ignore[misc]

    def _serve(self, stream: Stream) -> None:
        with contextlib.suppress(OSError, BadMessage, OverflowError):
            self.serve(stream)
        stream.close()

    def serve(self, stream: Stream) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError

    def read(self, stream: Stream, side: ClientSide) -> Request | None:
        """Read the next request; None at the end of the connection."""
        until = self.clock.now() + KEEP_MS
        while (request := side.receive(stream.buffer)) is None:
            if stream.readable(until) is Wake.TIMEOUT or stream.read() == 0:
                return None
        return request


class WorkerServer(Server):
    """One worker. Its answers come line by line as the model says them."""

    def __init__(
        self,
        scheduler: Scheduler,
        clock: Clock,
        listen: Address,
        model: Worker,
        settings: Settings,
        classes: tuple[str, ...],
        faults: Faults,
        seen: Counter[str],
    ) -> None:
        """Serve a model; `seen` counts the attempts of each id over all workers of a shop."""
        self.model, self.settings, self.classes, self.faults, self.seen = model, settings, classes, faults, seen
        self.lines: dict[Job, deque[Said]] = {}
        self.tasks: dict[Job, Task] = {}
        super().__init__(scheduler, clock, listen)
        self.ticker = scheduler.spawn(self._tick)

    def _tick(self) -> None:
        while True:
            self.scheduler.wait(self.model.due())
            self.model.advance_to(self.clock.now())
            self._spread()

    def _spread(self) -> None:
        for said in self.model.take_said():
            if said.job in self.lines:
                self.lines[said.job].append(said)
                self.tasks[said.job].wake()

    def hang(self, for_ms: float) -> None:
        """Accept nothing for a while, with the queue of new connections full: they never come up."""
        self.accepting = False
        self.listener.listen(0)
        plugs = [socket.socket() for _ in range(4)]
        for plug in plugs:
            plug.setblocking(False)
            with contextlib.suppress(OSError):
                plug.connect(self.address)

        def over() -> None:
            for plug in plugs:
                plug.close()
            self.listener.listen(512)
            self.accepting = True

        self.scheduler.timers.at(self.clock.now() + for_ms, over)

    def refuse(self, for_ms: float) -> None:
        """Refuse new connections for a while."""
        self.scheduler.forget(self.listener.fileno())
        self.listener.close()
        self.accepting = False
        self.acceptor.wake()  # it waits for a listener that is gone

        def over() -> None:
            self.listener = listener(self.address)
            self.accepting = True

        self.scheduler.timers.at(self.clock.now() + for_ms, over)

    def serve(self, stream: Stream) -> None:
        """Take jobs one after another."""
        side = ClientSide()
        while (request := self.read(stream, side)) is not None:
            if request.method == b"GET" and request.target in (b"/-/healthy", b"/-/load"):
                body = json.dumps(self.model.report(self.clock.now())).encode()
                stream.write(side.answer(200, body), self.clock.now() + 1_000.0)
            elif not self._job(stream, side, request):
                return

    def _job(self, stream: Stream, side: ClientSide, request: Request) -> bool:
        """Run one request; False if the connection is over."""
        now, until = self.clock.now(), self.clock.now() + 60_000.0
        name, key = request.get(b"request-id").decode(), request.get(b"idempotency-key").decode()
        path = request.target.split(b"?")[0].split(b"/")[1].decode() if request.target.startswith(b"/") else ""
        if not name or path not in self.classes:
            return stream.write(side.answer(404, b"no such job"), until)
        try:
            wanted = json.loads(request.body or b"{}")
            work, slots = float(wanted.get("work_ms", 100.0)), float(wanted.get("slots", 1.0))
        except (ValueError, AttributeError, TypeError):
            return stream.write(side.answer(400, b"the body is not what a stand-in reads"), until)
        fault = self.faults.draw(name, self.seen[name], self.model.machine.name)
        self.seen[name] += 1
        machine, audit = self.model.machine, self.model.audit
        attempt = audit.sent(name, machine.name, machine.cell, machine.zone, now)
        if fault in (Fault.REFUSE, Fault.HANG, Fault.BREAK_BEFORE):
            return reset(stream)  # it came whole all the same: the node must take it for one that may have run
        if fault is Fault.FULL:
            attempt.ended_ms, attempt.never_ran = now, True
            return stream.write(side.answer(503, b"", [b"Not-Started: 1"]), until)
        keyed = self.settings.classes[self.classes.index(path)].repeat is Repeat.KEYED
        job = Job(
            name,
            key,
            slots,
            work * (SLOW if fault is Fault.SLOW else 1.0),
            attempt,
            keyed,
            ends={Fault.ERROR: "failed", Fault.LOST: "lost", Fault.RETURNED: "returned"}.get(fault, "done"),
        )
        self.lines[job] = deque()
        self.tasks[job] = self.scheduler.current()
        try:
            if not self.model.offer(now, job):
                attempt.ended_ms, attempt.never_ran = now, True
                return stream.write(side.answer(503, b"", [b"Not-Started: 1"]), until)
            self.ticker.wake()
            self._spread()
            if fault is Fault.BREAK_AFTER:
                return reset(stream)
            return self._answer(stream, side, job, fault)
        finally:
            attempt.ended_ms = attempt.ended_ms or self.clock.now()
            if not job.cancelled and job in (*self.model.queue, *self.model.running):
                self.model.cancel(self.clock.now(), job)
            del self.lines[job], self.tasks[job]

    def _answer(self, stream: Stream, side: ClientSide, job: Job, fault: Fault) -> bool:
        """Write the lines as they come; a node that closes meanwhile has given up."""
        until, lines = self.clock.now() + 60_000.0, self.lines[job]
        if fault is not Fault.SILENT:
            stream.write([b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"], until)
        while True:
            while lines:
                said = lines.popleft()
                if fault is Fault.SILENT:
                    continue
                if fault is Fault.BREAK_AMID and said.state in LAST:
                    return reset(stream)
                text: dict[str, Any] = {"id": job.id, "from": self.model.machine.name, "state": said.state}
                if said.state == "running":
                    text["share"] = round(said.share, 3)
                if said.state in LAST:
                    text["load"] = self.model.report(self.clock.now())
                if said.state == "done":
                    text["result"] = f"{job.id} by {self.model.machine.name}"
                if said.state == "returned":
                    job.attempt.never_ran = True
                if said.state in LAST:
                    job.attempt.ended_ms = self.clock.now()
                stream.write([chunk(json.dumps(text).encode())], until)
                if said.state in LAST:
                    stream.write([b"0\r\n\r\n"], until)
                    side.stage = Stage.IDLE
                    return True
            if stream.readable(until) is Wake.READY and stream.read() == 0:
                return False


def reset(stream: Stream) -> bool:
    """Break a connection as a dying process does."""
    stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.close()
    return False


class DiscoveryServer(Server):
    """The list of workers: whole, or as a watch whose news come late."""

    def __init__(self, scheduler: Scheduler, clock: Clock, listen: Address, lag_ms: float = 200.0) -> None:
        """Begin with an empty list."""
        self.model, self.lag_ms = Discovery(), lag_ms
        self.streams: set[Stream] = set()
        self.watches: set[Task] = set()
        self.told: Callable[[str, State], None] = lambda name, state: None  # when a change was written to a watch
        super().__init__(scheduler, clock, listen)

    def put(self, entry: dict[str, Any], at_once: bool = False) -> None:
        """Change an entry; watches hear of it after the lag."""

        def change() -> None:
            self.model.put(entry)
            for task in list(self.watches):
                task.wake()

        if at_once:
            change()
        else:
            self.scheduler.timers.at(self.clock.now() + self.lag_ms, change)

    def down(self, for_ms: float) -> None:
        """Go down for a while: watches end, calls get 503."""
        self.model.is_down = True
        for task in list(self.watches):
            task.wake()

        def up() -> None:
            self.model.is_down = False

        self.scheduler.timers.at(self.clock.now() + for_ms, up)

    def serve(self, stream: Stream) -> None:
        """Answer with the list, or follow it."""
        side = ClientSide()
        while (request := self.read(stream, side)) is not None:
            until = self.clock.now() + 5_000.0
            path, _, query = request.target.partition(b"?")
            if self.model.is_down or path != b"/api/targets":
                stream.write(side.answer(503 if self.model.is_down else 404, b"", close=True), until)
                return
            if b"follow=1" in query:
                self._follow(stream, query)
                return
            stream.write(side.answer(200, line(self.model.whole())), until)

    def _follow(self, stream: Stream, query: bytes) -> None:
        since = next(
            (int(part[6:]) for part in query.split(b"&") if part.startswith(b"since=") and part[6:].isdigit()), -1
        )
        stream.write([b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"], self.clock.now() + 5_000.0)
        task = self.scheduler.current()
        self.watches.add(task)
        try:
            while not self.model.is_down:
                said = self.model.news(since)
                since = self.model.revision
                if not stream.write([chunk(b"" if said is None else line(said))], self.clock.now() + 5_000.0):
                    return
                for entry in said["targets"] if said is not None else ():
                    self.told(entry["uid"], STATES[entry["state"]])
                while since == self.model.revision and not self.model.is_down:
                    why = stream.readable(self.clock.now() + 2_000.0)
                    if why is Wake.READY and stream.read() == 0:
                        return
                    if why is Wake.TIMEOUT:
                        break
        finally:
            self.watches.discard(task)


class Answered:
    """An answer as a client reads it."""

    def __init__(self, status: int, retry_after_ms: float, keeps_alive: bool) -> None:
        """Know the status, when to come back, and whether the connection stays."""
        self.status, self.retry_after_ms, self.keeps_alive = status, retry_after_ms, keeps_alive


def read_answer(stream: Stream, until_ms: float) -> Answered | None:
    """Read one whole answer; None if time ran out or the connection ended first."""
    seen, body, answered = 0, None, None
    while True:
        if body is None:
            end = find_head(stream.buffer.data, stream.buffer.start, stream.buffer.end, seen)
            seen = len(stream.buffer)
            if end >= 0:
                head = parse_answer(stream.buffer.data, stream.buffer.start, end)
                after = head.get(b"retry-after")
                answered = Answered(
                    int(head.first.group(2)), float(after) * 1_000.0 if after else 0.0, head.keeps_alive
                )
                body = body_of(head, 1 << 20, until_end=True)
                stream.buffer.consume(end - stream.buffer.start)
        if body is not None:
            assert isinstance(body, Body)
            body.receive(stream.buffer)
            if body.done:
                return answered
        if stream.readable(until_ms) is Wake.TIMEOUT or stream.read() == 0:
            return None


class LoadClients:
    """Clients on sockets: open arrivals, kept connections, patience, retries."""

    def __init__(
        self,
        scheduler: Scheduler,
        clock: Clock,
        model: Clients,
        node: Address,
        audit: Audit,
        life: Callable[[], int] = lambda: 0,
    ) -> None:
        """Talk to one node; `life` numbers its processes, so that none is handed in over a former one's connection."""
        self.scheduler, self.clock, self.model, self.node, self.audit = scheduler, clock, model, node, audit
        self.life = life
        self.idle: list[tuple[int, Stream]] = []  # with the number of the process that it is connected to
        self.open = 0
        self.took: dict[int, list[float]] = {kind.job_class: [] for kind in model.kinds}
        self.in_time, self.asked, self.heard = Counter[int](), Counter[int](), Counter[tuple[int, str]]()
        self.names = {kind.job_class: kind.path.split("/")[1] for kind in model.kinds}

    def arrivals(self, per_s: float, until_ms: float) -> None:
        """Come at random until then; the task ends with the last arrival."""
        while (now := self.clock.now()) < until_ms:
            wanted = self.model.arrive(now)
            self.asked[wanted.kind.job_class] += 1
            self.scheduler.spawn(lambda wanted=wanted: self.ask(wanted))  # type: ignore[misc]
            self.scheduler.wait(now + self.model.gap_ms(per_s))

    def ask(self, wanted: Wanted) -> None:
        """Make one request, and its retries."""
        self.open += 1
        try:
            again: tuple[float, Wanted] | None = (0.0, wanted)
            while again is not None:
                wait, wanted = again
                if wait:
                    self.scheduler.wait(self.clock.now() + wait)
                heard, after = self._one(wanted)
                self.heard[wanted.kind.job_class, heard] += 1
                again = self.model.again(wanted, heard, after, self.clock.now())
        finally:
            self.open -= 1

    def _one(self, wanted: Wanted) -> tuple[str, float]:
        """One try: what was heard, and when to return."""
        now = self.clock.now()
        patience = wanted.born_ms + wanted.kind.patience_ms - now
        until = now + patience
        body = json.dumps({"work_ms": round(wanted.work_ms, 3), "slots": wanted.slots}).encode()
        head = (
            f"POST {wanted.kind.path} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {wanted.id}\r\n"
            f"Idempotency-Key: {wanted.key}\r\nRequest-Timeout-Ms: {max(1, math.floor(patience))}\r\n"
            f"Request-Info: slots={wanted.slots:g}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode()
        life, stream = self.idle.pop() if self.idle else (self.life(), None)
        try:
            if stream is None or not stream.is_quiet() or life != self.life():
                if stream is not None:
                    stream.close()
                life, stream = self.life(), Stream(self.scheduler, socket.socket(), ReceiveBuffer(most=96 * 1024))
                if not stream.dial(self.node, now + 1_000.0):
                    return "unreached", 0.0
                if life != self.life():  # it died between the connection and now: nothing is handed in
                    stream.close()
                    return "unreached", 0.0
            self.audit.taken(wanted.id, wanted.kind.job_class, wanted.key, now, patience)
            stream.write([head, body], until)
            answer = read_answer(stream, until + 100.0)
        except (OSError, BadMessage, OverflowError):
            answer = None
        finally:
            if stream is not None and stream.sock.fileno() < 0:
                stream = None
        if wanted.id not in self.audit.jobs:
            return "unreached", 0.0
        if answer is None:
            if stream is not None:
                stream.close()
            return "lost", 0.0  # the audit misses its final answer
        now, status = self.clock.now(), answer.status
        heard = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        self.audit.final(wanted.id, heard, now)
        if heard == "served":
            cls, took = self.audit.settings.classes[wanted.kind.job_class], now - wanted.born_ms
            self.took[wanted.kind.job_class].append(took)
            self.in_time[wanted.kind.job_class] += took <= cls.objective_ms + cls.stretch * wanted.work_ms
        assert stream is not None
        if answer.keeps_alive:
            self.idle.append((life, stream))
        else:
            stream.close()
        return heard, answer.retry_after_ms
