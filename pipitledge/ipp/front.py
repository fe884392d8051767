"""The IPP front: clients' connections, documents that stream, and jobs handed to the dispatch.

Thin: framing is `http1`'s, messages are the codec's, what is answered is the service's. A connection serves one request
after another; a document is read only as fast as its printer takes it.
"""

from __future__ import annotations

import contextlib
import socket
import traceback
from collections.abc import Callable

from pipitledge.decision.interface import JobArrived
from pipitledge.http1.framing import Body, body_of
from pipitledge.http1.heads import BadMessage, Head, find_head, parse_request
from pipitledge.ipp.codec import BadIpp, Message, Reader, encode
from pipitledge.ipp.document import Document
from pipitledge.ipp.jobs import MAY_HAVE_PRINTED, Jobs
from pipitledge.ipp.model import JobState
from pipitledge.ipp.placement import Verdict
from pipitledge.ipp.printer_link import PrintPassage
from pipitledge.ipp.service import Service, Submission
from pipitledge.net.scheduler import Scheduler, Task, Wake
from pipitledge.net.stream import ReceiveBuffer, Stream
from pipitledge.net.timers import Clock
from pipitledge.node.config import Address
from pipitledge.node.counters import Counters, Log
from pipitledge.node.dispatch import Answer, Dispatch, Query, Served, Throttle

MOST_DOCUMENT = 1 << 30
IDLE_MS, MESSAGE_MS, UPLOAD_MS, WRITE_MS = 60_000.0, 5_000.0, 10_000.0, 10_000.0
MOST_LINKS = 64


class IppFront:
    """Listens for IPP clients."""

    def __init__(
        self,
        scheduler: Scheduler,
        clock: Clock,
        dispatch: Dispatch,
        service: Service,
        jobs: Jobs,
        counters: Counters,
        log: Log,
        listen: Address,
        patience_ms: float,
        most_links: int = MOST_LINKS,
    ) -> None:
        """Open the listener; a job has its answer within the patience."""
        self.scheduler, self.clock, self.dispatch, self.service, self.jobs = scheduler, clock, dispatch, service, jobs
        self.counters, self.log, self.patience_ms = counters, log, patience_ms
        self.queries: dict[int, tuple[Query, Callable[[], None]]] = {}  # by job: to be called off by Cancel-Job
        self.links, self.most_links = 0, most_links
        self.waiting: dict[IppLink, Task] = {}  # connections on which nothing has come
        self.stopping = False
        self.on_stopped: Callable[[], None] = lambda: None
        service.on_cancel = self._cancelled
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(listen)
        self.listener.listen(256)
        self.listener.setblocking(False)
        self.address: Address = self.listener.getsockname()
        self.accepting = scheduler.spawn(self._accept)

    def stop(self) -> None:
        """Take nobody in any more, close who waits, and let the others have their answers."""
        if not self.stopping:
            self.stopping = True
            self.accepting.wake()
            for task in self.waiting.values():
                task.wake()

    @property
    def stopped(self) -> bool:
        """Whether a stop has come to its end."""
        return self.stopping and not self.links and self.listener.fileno() < 0

    def closed(self) -> None:
        """Count a connection off."""
        self.links -= 1
        if self.stopped:
            self.on_stopped()

    def _accept(self) -> None:
        while not self.stopping:
            self.scheduler.wait(fd=self.listener.fileno())
            if self.stopping:
                break
            while self.links < self.most_links:
                try:
                    sock, _ = self.listener.accept()
                except OSError:
                    break
                self.links += 1
                link = IppLink(self, Stream(self.scheduler, sock, ReceiveBuffer(most=96 * 1024)))
                self.scheduler.spawn(link.run)
            else:  # those that wait are served as places come free
                self.scheduler.wait(self.clock.now() + 20.0)
        self.scheduler.forget(self.listener.fileno())
        self.listener.close()
        if self.stopped:
            self.on_stopped()

    def _cancelled(self, number: int) -> None:
        if (known := self.queries.pop(number, None)) is not None:
            query, wake = known
            self.dispatch.client_gone(query)
            wake()


class IppLink:
    """One client's connection."""

    def __init__(self, front: IppFront, stream: Stream) -> None:
        """Take over an accepted connection."""
        self.front, self.stream = front, stream

    def run(self) -> None:
        """Serve requests until one side ends."""
        try:
            with contextlib.suppress(OSError, OverflowError):
                while self._one():
                    pass
        except Exception:
            self.front.counters.add("fault.ipp-front")
            self.front.log("fault", where="ipp-front", trace=traceback.format_exc())
        finally:
            self.stream.close()
            self.front.closed()

    def _plain(self, status: int, text: bytes) -> bool:
        reason = {
            400: b"Bad Request",
            405: b"Method Not Allowed",
            408: b"Request Timeout",
            415: b"Unsupported Media Type",
        }.get(status, b"Error")
        self.stream.write(
            [b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % (status, reason, len(text)), text],
            self.front.clock.now() + WRITE_MS,
        )
        self.stream.linger(self.front.clock.now() + 1_000.0)
        return False

    def _head(self) -> Head | None:
        buffer, seen, until = self.stream.buffer, 0, self.front.clock.now() + IDLE_MS
        while True:
            end = find_head(buffer.data, buffer.start, buffer.end, seen)
            if end >= 0:
                return parse_request(buffer.data, buffer.start, end)
            if not seen and len(buffer):
                until = self.front.clock.now() + MESSAGE_MS
            seen = len(buffer)
            if not seen and self.front.stopping:
                return None
            if not seen:
                self.front.waiting[self] = self.front.scheduler.current()
            why = self.stream.readable(until)
            self.front.waiting.pop(self, None)
            if why is Wake.TIMEOUT or (why is Wake.READY and self.stream.read() == 0):
                return None

    def _one(self) -> bool:
        """One request; False if the connection is to end."""
        try:
            head = self._head()
            if head is None:
                return False
            if head.first.group(1) != b"POST":
                return self._plain(405, b"IPP comes by POST")
            if head.get(b"content-type").split(b";")[0].strip().lower() != b"application/ipp":
                return self._plain(415, b"application/ipp is read here")
            body, keeps = body_of(head, MOST_DOCUMENT, until_end=False), head.keeps_alive
            wants = head.get(b"expect").lower() == b"100-continue"
            self.stream.buffer.consume(head.end - self.stream.buffer.start)
            if wants:
                self.stream.write([b"HTTP/1.1 100 Continue\r\n\r\n"], self.front.clock.now() + WRITE_MS)
            return self._ipp(body, keeps)
        except BadMessage as fault:
            return self._plain(fault.status, fault.reason.encode())

    def _ipp(self, body: Body, keeps: bool) -> bool:
        """Read the message, then answer it, or let its document stream."""
        reader, rest, until = Reader(), b"", self.front.clock.now() + MESSAGE_MS
        try:
            while reader.message is None:
                rest = reader.feed(body.receive(self.stream.buffer))
                if reader.message is None and body.done:
                    return self._plain(400, b"the message ends early")
                if reader.message is None and (self.stream.readable(until) is Wake.TIMEOUT or self.stream.read() == 0):
                    return False
        except BadIpp as fault:
            self.front.counters.add("ipp.bad-message")
            message = self.front.service.reply(Message((2, 0), 0, 0), fault.status, text=fault.reason)
            return self._answer(message, keeps=False)
        told = self.front.service.answer(reader.message)
        if isinstance(told, Submission):
            return self._submit(told, body, rest, keeps)
        return self._answer(told, keeps and body.done)

    def _answer(self, message: Message, keeps: bool) -> bool:
        data, keeps = encode(message), keeps and not self.front.stopping
        self.stream.write(
            [
                b"HTTP/1.1 200 OK\r\nContent-Type: application/ipp\r\nContent-Length: %d\r\n%s\r\n"
                % (len(data), b"" if keeps else b"Connection: close\r\n"),
                data,
            ],
            self.front.clock.now() + WRITE_MS,
        )
        if not keeps:
            self.stream.linger(self.front.clock.now() + 1_000.0)
        return keeps

    def _submit(self, told: Submission, body: Body, rest: bytes, keeps: bool) -> bool:
        """Hand the job in, and feed its document until it is answered."""
        front, number, document = self.front, told.record.id, Document()
        passage = PrintPassage(number, document, told.format, told.record.user)
        heard: list[Answer] = []
        task = front.scheduler.current()

        def reply(answer: Answer) -> None:
            heard.append(answer)
            task.wake()

        query = front.dispatch.take(JobArrived(str(number), patience_ms=front.patience_ms), passage, reply)
        assert query is not None  # ids are ours
        front.queries[number] = (query, task.wake)
        document.on_room = task.wake
        document.put(rest)
        if body.done:
            document.end()
        try:
            there = self._upload(body, document, heard, number)
        finally:
            front.queries.pop(number, None)
        document.on_room = lambda: None
        if not there and not heard:  # amid the upload: it can't be whole; after it the job goes on without its client
            if not document.ended:
                document.fail()
            while not heard and number in front.jobs.records and not front.jobs.records[number].is_over:
                front.scheduler.wait(front.clock.now() + front.patience_ms)
        document.release()
        self._finish(number, passage, heard)
        return there and self._answer(front.service.finished(told), keeps and body.done)

    def _upload(self, body: Body, document: Document, heard: list[Answer], number: int) -> bool:
        """Read the document as there is room until the job is answered; False if the client left."""
        front, until = self.front, self.front.clock.now() + UPLOAD_MS
        while not heard and not front.jobs.records[number].is_over:
            if not document.ended:
                if document.is_full:
                    front.scheduler.wait()
                    until = front.clock.now() + UPLOAD_MS
                    continue
                document.put(body.receive(self.stream.buffer))
                if body.done:
                    document.end()
                    continue
            limit = front.clock.now() + front.patience_ms if document.ended else until
            why = self.stream.readable(limit)
            if why is Wake.TIMEOUT and not document.ended:
                return False
            if why is Wake.READY:
                if document.ended and len(self.stream.buffer) >= 16 * 1024:
                    front.scheduler.wait()  # it sends on out of turn: looked at after the answer
                    continue
                if self.stream.read() == 0:
                    return False
                until = front.clock.now() + UPLOAD_MS
        return True

    def _finish(self, number: int, passage: PrintPassage, heard: list[Answer]) -> None:
        """Write down the one final outcome."""
        jobs, record = self.front.jobs, self.front.jobs.records[number]
        if record.is_over or not heard:
            return
        answer = heard[0]
        if isinstance(answer, Served):
            jobs.move(number, JobState.COMPLETED)
        elif isinstance(answer, Throttle):
            jobs.move(number, JobState.ABORTED, "none", "no printer had room; it was not printed, send it again")
        elif passage.verdict is Verdict.MAY_HAVE_PRINTED or (record.sent and passage.verdict is None):
            jobs.move(
                number,
                JobState.ABORTED,
                MAY_HAVE_PRINTED,
                "a printer had it and gave no proof of what became of it: it may have printed",
            )
        else:
            jobs.move(number, JobState.ABORTED, "aborted-by-system", "it was not printed")
