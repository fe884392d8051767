"""Thin drivers on sockets for IPP: a printer round its model, and a client that submits."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Iterable

from pipitledge.emulator.faults import Fault, Faults
from pipitledge.emulator.printer import Printer, PrintJob
from pipitledge.emulator.servers import Server, reset
from pipitledge.http1.framing import Body, body_of
from pipitledge.http1.heads import find_head, parse_request
from pipitledge.ipp.codec import AttributeGroup, Group, Message, Reader, Tag, attribute, encode
from pipitledge.ipp.model import Op, Status
from pipitledge.ipp.printer_link import read_ipp
from pipitledge.net.scheduler import Scheduler, Wake
from pipitledge.net.stream import ReceiveBuffer, Stream
from pipitledge.net.timers import Clock
from pipitledge.node.config import Address

KEEP_MS = 30_000.0


def message(op: int, uri: str, *more: object, number: int = 1) -> Message:
    """A request as clients write it."""
    first = [
        attribute("attributes-charset", Tag.CHARSET, "utf-8"),
        attribute("attributes-natural-language", Tag.LANGUAGE, "en"),
        attribute("printer-uri", Tag.URI, uri),
    ]
    return Message((2, 0), op, number, [AttributeGroup(Group.OPERATION, [*first, *more])])  # type: ignore[list-item]


class PrinterServer(Server):
    """One printer. The ledger counts a document by the part of its job-name before the dot."""

    def __init__(
        self, scheduler: Scheduler, clock: Clock, model: Printer, faults: Faults, listen: Address = ("127.0.0.1", 0)
    ) -> None:
        """Serve a model; a fault is drawn for each exchange."""
        self.model, self.faults = model, faults
        self.quiet_until = 0.0
        self.bytes = 0  # of documents
        self.met = Counter[str]()
        super().__init__(scheduler, clock, listen)

    def serve(self, stream: Stream) -> None:
        """Take one request after another."""
        buffer = stream.buffer
        while True:
            seen = 0
            while (end := find_head(buffer.data, buffer.start, buffer.end, seen)) < 0:
                seen = len(buffer)
                if stream.readable(self.clock.now() + KEEP_MS) is Wake.TIMEOUT or stream.read() == 0:
                    return
            head = parse_request(buffer.data, buffer.start, end)
            body = body_of(head, 1 << 30, until_end=False)
            buffer.consume(end - buffer.start)
            if not self._exchange(stream, body):
                return

    def _more(self, stream: Stream) -> bool:
        return stream.readable(self.clock.now() + KEEP_MS) is not Wake.TIMEOUT and stream.read() != 0

    def _exchange(self, stream: Stream, body: Body) -> bool:
        reader, rest = Reader(), b""
        while reader.message is None:
            rest = reader.feed(body.receive(stream.buffer))
            if reader.message is None and not self._more(stream):
                return False
        request, now = reader.message, self.clock.now()
        name = request.first(Group.OPERATION, "job-name") or str(request.first(Group.OPERATION, "job-id"))
        fault = self.faults.draw(f"{name}", request.request_id, self.model.name)
        self.met[f"{Op(request.code).name} {fault.value}"] += 1
        if now < self.quiet_until or fault is Fault.SILENT:
            self.quiet_until = max(self.quiet_until, now + 400.0)
            if fault is not Fault.SILENT:
                while self._more(stream):
                    stream.buffer.consume(len(stream.buffer))
                return False
        if fault is Fault.BREAK_BEFORE:
            return reset(stream)
        if request.code == Op.SEND_DOCUMENT:
            status = self._document(stream, body, rest, request, fault)
            if status is None:
                return reset(stream)
            answer = self._reply(request, status)
        else:
            answer = self._answer(request)
        if fault is Fault.BREAK_AFTER:
            return reset(stream)
        if fault is Fault.SILENT:
            while self._more(stream):
                stream.buffer.consume(len(stream.buffer))
            return False
        data = encode(answer)
        return stream.write(
            [b"HTTP/1.1 200 OK\r\nContent-Type: application/ipp\r\nContent-Length: %d\r\n\r\n" % len(data), data],
            self.clock.now() + 5_000.0,
        )

    def _document(self, stream: Stream, body: Body, rest: bytes, request: Message, fault: Fault) -> int | None:
        """Receive a document; None: the connection is to be broken amid it."""
        job = self.model.jobs.get(request.first(Group.OPERATION, "job-id"))
        if job is None:
            return Status.NOT_FOUND
        came = len(rest)
        self.bytes += came
        while not body.done:
            if came and not self.model.receive(self.clock.now(), job, whole=False):
                return Status.NOT_POSSIBLE
            if fault is Fault.BREAK_AMID and came:
                self.model.broke_off(self.clock.now(), job)
                return None
            if not self._more(stream):
                self.model.broke_off(self.clock.now(), job)
                return None
            part = body.receive(stream.buffer)
            came += len(part)
            self.bytes += len(part)
        return Status.OK if self.model.receive(self.clock.now(), job, whole=True) else Status.NOT_POSSIBLE

    def _reply(self, request: Message, status: int, *groups: AttributeGroup) -> Message:
        first = AttributeGroup(
            Group.OPERATION,
            [
                attribute("attributes-charset", Tag.CHARSET, "utf-8"),
                attribute("attributes-natural-language", Tag.LANGUAGE, "en"),
            ],
        )
        return Message(request.version, status, request.request_id, [first, *groups])

    def _answer(self, request: Message) -> Message:
        model, now = self.model, self.clock.now()
        number = request.first(Group.OPERATION, "job-id")
        if request.code == Op.CREATE_JOB:
            name = str(request.first(Group.OPERATION, "job-name"))
            made = model.create(now, name, name.split(".")[0])
            if not isinstance(made, PrintJob):
                return self._reply(request, made)
            return self._reply(
                request,
                Status.OK,
                AttributeGroup(
                    Group.JOB,
                    [
                        attribute("job-id", Tag.INTEGER, made.id),
                        attribute("job-state", Tag.ENUM, made.state),
                        attribute("job-printer-up-time", Tag.INTEGER, model.up_time),
                    ],
                ),
            )
        if request.code == Op.CANCEL_JOB:
            return self._reply(request, model.cancel(now, number))
        if request.code == Op.GET_PRINTER_ATTRIBUTES:
            model.advance(now)
            return self._reply(
                request,
                Status.OK,
                AttributeGroup(
                    Group.PRINTER,
                    [
                        attribute("printer-state", Tag.ENUM, 4 if model.queued() else 3),
                        attribute("printer-is-accepting-jobs", Tag.BOOLEAN, model.accepting),
                        attribute("queued-job-count", Tag.INTEGER, model.queued()),
                        attribute("printer-up-time", Tag.INTEGER, model.up_time),
                    ],
                ),
            )
        seen = model.look(now, number) if request.code == Op.GET_JOB_ATTRIBUTES else None
        if seen is None:
            return self._reply(request, Status.NOT_FOUND)
        return self._reply(
            request,
            Status.OK,
            AttributeGroup(
                Group.JOB,
                [
                    attribute("job-state", Tag.ENUM, seen.state),
                    attribute("job-name", Tag.NAME, seen.name),
                    attribute("job-state-reasons", Tag.KEYWORD, "job-incoming" if seen.incoming else "none"),
                    attribute("job-printer-up-time", Tag.INTEGER, seen.up_time),
                    attribute("job-impressions-completed", Tag.INTEGER, seen.impressions or 0),
                ],
            ),
        )


def submit(
    scheduler: Scheduler,
    clock: Clock,
    address: Address,
    request: Message,
    document: Iterable[bytes] = (),
    leaves_after: int = -1,
    until_ms: float = 60_000.0,
) -> Message | None:
    """Send a request and a document in chunks; the answer, or None. `leaves_after`: go away after so many chunks."""
    stream, until = Stream(scheduler, socket.socket(), ReceiveBuffer()), clock.now() + until_ms
    try:
        if not stream.dial(address, until):
            return None
        head = (
            b"POST /ipp/print HTTP/1.1\r\nHost: x\r\nContent-Type: application/ipp\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        data = encode(request)
        stream.write([head, b"%x\r\n" % len(data), data, b"\r\n"], until)
        for count, part in enumerate(document):
            if count == leaves_after:
                return None
            stream.write([b"%x\r\n" % len(part), part, b"\r\n"], until)
        stream.write([b"0\r\n\r\n"], until)
        return read_ipp(stream, until)
    except OSError:
        return None
    finally:
        stream.close()
