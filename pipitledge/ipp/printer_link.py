"""Printers on sockets: carries out what a placement asks for, one exchange of HTTP and IPP after another.

In the place of the server links: the dispatch starts executions here, and each ends exactly once.
"""

from __future__ import annotations

import socket
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pipitledge.http1.framing import Body, body_of
from pipitledge.http1.heads import BadMessage, find_head, parse_answer
from pipitledge.ipp.codec import AttributeGroup, BadIpp, Group, Message, Reader, Tag, attribute, encode
from pipitledge.ipp.document import Document
from pipitledge.ipp.endings import ENDINGS
from pipitledge.ipp.jobs import Jobs, PrintRecord
from pipitledge.ipp.model import JobState, Op
from pipitledge.ipp.placement import Ask, Phase, Placement, Seen, Verdict
from pipitledge.ipp.printers import PrinterEntry
from pipitledge.net.scheduler import Scheduler, Wake
from pipitledge.net.stream import ReceiveBuffer, Stream
from pipitledge.net.timers import Clock
from pipitledge.node.counters import Counters, Log
from pipitledge.node.dispatch import Dispatch, Execution
from pipitledge.node.end_reasons import EndReason

ANSWER_MS, AGAIN_MS, MOST_ANSWER = 2_000.0, 250.0, 1 << 20
INCOMING = {"job-incoming", "job-data-insufficient"}


@dataclass(slots=True)
class PrintPassage:
    """What a print job's query carries."""

    number: int
    document: Document
    format: str
    user: str
    verdict: Verdict | None = None  # of the last execution


class NotConnected(Exception):
    """The request did not go out whole, and no byte of a document did."""


class Broke(Exception):
    """The connection broke, or nothing came in time, once the request or a byte of a document was out."""


class PrinterLinks:
    """Executions at printers."""

    def __init__(
        self,
        scheduler: Scheduler,
        clock: Clock,
        dispatch: Dispatch,
        jobs: Jobs,
        counters: Counters,
        log: Log,
        printers: dict[str, PrinterEntry],
        dial_timeout_ms: float = 1_000.0,
    ) -> None:
        """Know the printers by name."""
        self.scheduler, self.clock, self.dispatch, self.jobs = scheduler, clock, dispatch, jobs
        self.counters, self.log, self.printers, self.dial_ms = counters, log, printers, dial_timeout_ms

    def start(self, execution: Execution) -> None:
        """Carry out an execution in a task of its own."""
        self.scheduler.spawn(lambda: self._run(execution))

    def probe(self, worker: str) -> None:
        """Printers are polled apart; the module's settings here allow no probes."""
        raise NotImplementedError("probes of printers")

    def _run(self, execution: Execution) -> None:
        passage: PrintPassage = execution.query.passage
        ending = EndReason.OUR_FAULT
        one = PrinterRun(self, self.printers[execution.worker], passage, execution)
        try:
            verdict = one.run()
            passage.verdict = verdict
            ending = ENDINGS[verdict]
            if verdict in (Verdict.UNPRINTED, Verdict.TURNED_AWAY) and not passage.document.can_begin:
                ending = EndReason.WORKER_FAILED  # proved unprinted, but its beginning is gone: it can't go elsewhere
            record = self.jobs.records[passage.number]
            if verdict not in (Verdict.PRINTED, Verdict.MAY_HAVE_PRINTED) and record.state is JobState.PROCESSING:
                self.jobs.move(passage.number, JobState.PENDING, sent=False)
            self.log(
                "print",
                ending=ending.value,
                verdict=verdict.value,
                printer=execution.worker,
                job=passage.number,
                number=execution.number,
            )
        except Exception:
            passage.verdict = Verdict.MAY_HAVE_PRINTED if one.placement.sent else Verdict.UNPRINTED
            self.counters.add("fault.printer-link")
            self.log("fault", where="printer-link", trace=traceback.format_exc())
        finally:
            self.dispatch.ended(execution, ending, None, b"printed")


class PrinterRun:
    """One execution at one printer; or, after a restart, the search for one whose node was killed."""

    def __init__(
        self,
        links: PrinterLinks,
        entry: PrinterEntry,
        passage: PrintPassage,
        execution: Execution | None,
        deadline_ms: float = 0.0,
    ) -> None:
        """Set a job-name at the printer that is ours and used once."""
        self.links, self.entry, self.passage, self.execution = links, entry, passage, execution
        self.deadline_ms = execution.deadline_ms if execution is not None else deadline_ms
        self.address = entry.where
        self.uri = "ipp://{}:{}{}".format(*self.address, entry.path)
        self.placement = Placement(f"{passage.number}.{execution.number}" if execution is not None else "")
        self.request_id = 0

    @property
    def is_abandoned(self) -> bool:
        """Whether the module has called it off."""
        return self.execution is not None and self.execution.abandoned

    def search(self, record: PrintRecord) -> Verdict:
        """Ask the printer what became of a job of a node that was killed; nothing is sent."""
        self.placement = Placement(record.there_name)
        self.placement.job_id, self.placement.up_time, self.placement.sent = record.there_id, record.up_time, True
        self.placement.phase = Phase.LOOKING
        return self.run(Ask.LOOK)

    def run(self, ask: Ask = Ask.CREATE) -> Verdict:
        """Go from one step to the next until there is a verdict, in time for the client."""
        clock = self.links.clock
        while ask is not Ask.END:
            if self.is_abandoned or clock.now() >= self.deadline_ms:
                ask = self.placement.out_of_time()
                continue
            try:
                ask = self._step(ask)
            except NotConnected:
                ask = self.placement.not_connected()
            except Broke:
                ask = self.placement.broke()
        if self.placement.leaves_orphan and self.placement.job_id:
            try:
                self.exchange(Op.CANCEL_JOB, clock.now() + ANSWER_MS)
            except (NotConnected, Broke):
                self.links.counters.add("print.orphan")
        assert self.placement.verdict is not None
        return self.placement.verdict

    def _step(self, ask: Ask) -> Ask:
        placement, until = self.placement, min(self.links.clock.now() + ANSWER_MS, self.deadline_ms)
        if ask is Ask.CREATE:
            made = self.exchange(Op.CREATE_JOB, until)
            number = made.first(Group.JOB, "job-id")
            if made.code >= 0x0400 or not isinstance(number, int):
                return placement.refused(made.code)
            up_time = _int(made.first(Group.JOB, "job-printer-up-time"))
            self.links.jobs.move(
                self.passage.number,
                JobState.PROCESSING,
                printer=self.entry.name,
                there_id=number,
                there_name=placement.name,
                up_time=up_time,
            )
            return placement.created(number, up_time)
        if ask is Ask.SEND:
            return self._send()
        if ask is Ask.CANCEL:
            return placement.cancelled(self.exchange(Op.CANCEL_JOB, until).code)
        if ask is Ask.LOOK_LATER:
            self.links.scheduler.wait(min(self.links.clock.now() + AGAIN_MS, self.deadline_ms))
            return Ask.LOOK
        told = self.exchange(Op.GET_JOB_ATTRIBUTES, until)
        if told.code >= 0x0500:
            raise Broke
        return placement.looked(_seen(told) if told.code < 0x0400 else None)

    def _send(self) -> Ask:
        """Send-Document. The record says so before the first byte goes out."""
        if not self.passage.document.can_begin:
            return self.placement.out_of_time()

        def begins() -> None:
            self.links.jobs.note(self.passage.number, sent=True)
            self.placement.document_began()
            if self.execution is not None:
                self.links.dispatch.execution_progressed(self.execution, 0.0)

        answer = self.exchange(Op.SEND_DOCUMENT, self.deadline_ms, self.passage.document, begins)
        return self.placement.taken() if answer.code < 0x0400 else self.placement.refused(answer.code)

    def _message(self, op: Op) -> Message:
        self.request_id += 1
        first = [
            attribute("attributes-charset", Tag.CHARSET, "utf-8"),
            attribute("attributes-natural-language", Tag.LANGUAGE, "en"),
            attribute("printer-uri", Tag.URI, self.uri),
        ]
        if op is Op.CREATE_JOB:
            first += [
                attribute("requesting-user-name", Tag.NAME, self.passage.user),
                attribute("job-name", Tag.NAME, self.placement.name),
            ]
        elif op is not Op.GET_PRINTER_ATTRIBUTES:
            first.append(attribute("job-id", Tag.INTEGER, self.placement.job_id))
        if op is Op.SEND_DOCUMENT:
            first += [
                attribute("document-format", Tag.MIME, self.passage.format),
                attribute("last-document", Tag.BOOLEAN, True),
            ]
        if op is Op.GET_JOB_ATTRIBUTES:
            first.append(
                attribute(
                    "requested-attributes",
                    Tag.KEYWORD,
                    "job-state",
                    "job-state-reasons",
                    "job-name",
                    "job-printer-up-time",
                    "job-impressions-completed",
                )
            )
        return Message((1, 1), op, self.request_id, [AttributeGroup(Group.OPERATION, first)])

    def exchange(
        self, op: Op, until: float, document: Document | None = None, begins: Callable[[], None] = lambda: None
    ) -> Message:
        """One request on a connection of its own, and its answer."""
        links, stream = self.links, Stream(self.links.scheduler, socket.socket(), ReceiveBuffer())
        message = encode(self._message(op))
        host = "{}:{}".format(*self.address).encode()
        head = (
            b"POST "
            + self.entry.path.encode()
            + b" HTTP/1.1\r\nHost: "
            + host
            + b"\r\nContent-Type: application/ipp\r\nConnection: close\r\n"
        )
        try:
            try:
                if not stream.dial(self.address, min(until, links.clock.now() + links.dial_ms)):
                    raise NotConnected
                if document is None:
                    size = b"Content-Length: %d\r\n\r\n" % len(message)
                    if not stream.write([head, size, message], until):
                        raise NotConnected
                elif not stream.write(
                    [head, b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(message), message, b"\r\n"], until
                ):
                    raise NotConnected
            except OSError:
                raise NotConnected from None
            try:
                if document is not None:
                    begins()
                    self._stream(stream, document, until)
                    until = min(until, links.clock.now() + ANSWER_MS)
                answer = read_ipp(stream, until)
            except (OSError, BadMessage, BadIpp, OverflowError):
                answer = None
            if answer is None or answer.request_id != self.request_id:
                raise Broke
            return answer
        finally:
            stream.close()

    def _stream(self, stream: Stream, document: Document, until: float) -> None:
        """Pass a document on as it comes; one that will not be whole is broken off, so that the printer sees it."""
        at, task = 0, self.links.scheduler.current()
        document.on_more = task.wake
        try:
            while (part := document.read(at)) != b"":
                if document.broken or self.is_abandoned:
                    raise Broke
                if part is None:
                    if self.links.scheduler.wait(until) is Wake.TIMEOUT:
                        raise Broke
                    continue
                if not stream.write([b"%x\r\n" % len(part), part, b"\r\n"], until):
                    raise Broke
                at += len(part)
            if not stream.write([b"0\r\n\r\n"], until):
                raise Broke
        finally:
            document.on_more = lambda: None


def _int(value: Any) -> int:
    return value if isinstance(value, int) else -1


def _seen(told: Message) -> Seen | None:
    """What Get-Job-Attributes says; a state we do not know is as good as none told."""
    reasons = told.group(Group.JOB).get("job-state-reasons")
    impressions = told.first(Group.JOB, "job-impressions-completed")
    try:
        state = JobState(told.first(Group.JOB, "job-state"))
    except ValueError:
        raise Broke from None
    name = told.first(Group.JOB, "job-name")
    return Seen(
        state,
        str(getattr(name, "text", name)),
        _int(told.first(Group.JOB, "job-printer-up-time")),
        impressions if isinstance(impressions, int) else None,
        reasons is not None and any(value.data in INCOMING for value in reasons.values),
    )


def read_ipp(stream: Stream, until_ms: float) -> Message | None:
    """Read an answer of HTTP 200 with an IPP message; None if it does not come whole or is another."""
    reader, body, seen = Reader(), None, 0
    buffer = stream.buffer
    while True:
        while body is None:
            end = find_head(buffer.data, buffer.start, buffer.end, seen)
            seen = len(buffer)
            if end < 0:
                break
            head = parse_answer(buffer.data, buffer.start, end)
            status = int(head.first.group(2))
            body = body_of(head, MOST_ANSWER, until_end=True) if status >= 200 else None
            seen = 0
            buffer.consume(end - buffer.start)
            if status >= 200 and status != 200:
                return None
        if isinstance(body, Body):
            reader.feed(body.receive(buffer))
            if reader.message is not None:
                return reader.message
            if body.done:
                return None
        if stream.readable(until_ms) is Wake.TIMEOUT or stream.read() == 0:
            return None
