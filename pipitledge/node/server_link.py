"""Server links: connections to workers, each with its own task, and the pool that reuses them."""

from __future__ import annotations

import contextlib
import errno
import json
import math
import socket
import traceback
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pipitledge.decision.settings import REPORT_FIELD_NAMES
from pipitledge.http1.heads import BadMessage
from pipitledge.http1.worker_side import WorkerSide, request_parts
from pipitledge.net.scheduler import Scheduler, Task, Wake
from pipitledge.net.stream import Part, Stream
from pipitledge.net.timers import Clock
from pipitledge.node.config import Address
from pipitledge.node.counters import Counters, Log
from pipitledge.node.dispatch import Dispatch, Execution
from pipitledge.node.end_reasons import EndReason
from pipitledge.node.reuse_history import ReuseHistory

# JSON escapes may make a result of 64 KiB six times as long.
MAX_ANSWER_BYTES, MAX_LINE_BYTES = 4 * 1024 * 1024, 512 * 1024
ANSWER_TAIL_TIMEOUT_MS = 250.0  # limit from the result line to the end of the HTTP answer
PROBE_TIMEOUT_MS = 1_000.0
IDLE_LIMIT_SHARE, IDLE_MARGIN_MS = 0.8, 1_000.0  # below the workers' idle limit, so that this side closes first


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """The parts of a client's request that are forwarded to a worker unchanged."""

    method: bytes
    target: bytes
    host: bytes
    request_id: bytes
    idempotency_key: bytes
    body: bytes

    def parts(self, remaining_ms: float) -> list[Part]:
        """Return the request as parts for a gathered write."""
        fields = [(b"Request-Id", self.request_id)]
        if self.idempotency_key:
            fields.append((b"Idempotency-Key", self.idempotency_key))
        fields.append((b"Request-Timeout-Ms", b"%d" % max(1, math.ceil(remaining_ms))))
        return request_parts(self.method, self.target, self.host, fields, self.body)


def read_report(raw: object) -> dict[str, float] | None:
    """Read a load report from a JSON object, with keys translated to the policy's names; None if there is none."""
    if not isinstance(raw, Mapping):
        return None
    values = {REPORT_FIELD_NAMES.get(str(name), str(name)): value for name, value in raw.items()}
    return {
        name: float(value) for name, value in values.items() if isinstance(value, (int, float)) and math.isfinite(value)
    } or None


def read_report_body(body: bytes) -> dict[str, float] | None:
    """Read a load report from a probe's body: the pairs of a Server-Load header, or a JSON object."""
    try:
        return read_report(json.loads(body))
    except ValueError:
        return read_report_header(body)


def read_report_header(value: bytes) -> dict[str, float] | None:
    """Read a load report from a Server-Load header."""
    pairs: dict[str, float] = {}
    for pair in value.decode("latin-1").split(","):
        name, _, number = pair.partition("=")
        with contextlib.suppress(ValueError):
            pairs[name.strip()] = float(number)
    return read_report(pairs)


def end_reason_of_status(status: int, not_started: bool) -> EndReason:
    """Map an HTTP status other than 200; only with Not-Started is it certain that the job never ran."""
    return EndReason.HANDED_BACK if status in (503, 504) and not_started else EndReason.WORKER_FAILED


END_REASON_BY_STATE = {
    "done": EndReason.SERVED,
    "failed": EndReason.WORKER_FAILED,
    "returned": EndReason.HANDED_BACK,
    "lost": EndReason.JOB_LOST,
}


class ServerLink:
    """One connection to a worker; its task runs one execution after another."""

    def __init__(self, pool: Pool, worker: str, address: Address, execution: Execution) -> None:
        """Start the task, which connects and then runs `execution`."""
        self.pool, self.worker, self.address = pool, worker, address
        self.execution: Execution | None = execution
        self.stream: Stream | None = None
        self.retired, self.last_received_ms = False, -math.inf
        self.task: Task = pool.scheduler.spawn(self.run)
        execution.wake = self.task.wake

    def run(self) -> None:
        """Connect and run executions until the link ends; the current execution always gets an end reason."""
        end_reason = EndReason.OUR_FAULT
        try:
            end_reason = self._dial()
            while end_reason is EndReason.SERVED and self.execution is not None:
                end_reason = self._serve(self.execution)
                if end_reason is EndReason.SERVED:
                    end_reason = self._idle()
        except Exception:
            end_reason = EndReason.OUR_FAULT
            self.pool.fault("server-link", self.worker)
        finally:
            self.pool.closed(self)
            if self.stream is not None:
                self.stream.close()
            if self.execution is not None:
                if end_reason in (EndReason.OUT_OF_TIME, EndReason.CALLED_OFF):
                    self.pool.close_silent_links(self.worker, self.execution.sent_ms)
                self._end(end_reason)

    def _end(self, end_reason: EndReason, report: dict[str, float] | None = None, result: bytes = b"") -> None:
        execution, self.execution = self.execution, None
        if execution is not None:
            execution.wake = None
            if end_reason not in (EndReason.SERVED, EndReason.HANDED_BACK):
                self.pool.log(
                    "execution",
                    ending=end_reason.value,
                    worker=self.worker,
                    query=execution.query.arrival.job,
                    number=execution.number,
                    noted=execution.reported_running,
                    after_ms=round(self.pool.clock.now() - execution.sent_ms),
                )
            self.pool.dispatch.ended(execution, end_reason, report, result)

    def _dial(self) -> EndReason:
        """Connect within the timeout from the settings. SERVED means that the connection is up."""
        assert self.execution is not None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:
            return EndReason.NO_SOCKET
        self.stream = Stream(self.pool.scheduler, sock)
        self.pool.counters.add("link.dialled")
        execution, dial_until = self.execution, self.pool.clock.now() + self.pool.dial_timeout_ms
        try:
            if self.stream.dial(self.address, min(dial_until, execution.deadline_ms), execution.is_cancelled):
                return EndReason.SERVED
        except OSError as fault:
            if fault.errno in (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL):
                return EndReason.NO_SOCKET
            return EndReason.DIAL_REFUSED
        # If the execution's own deadline came first, that is no sign of a fault of the worker.
        return (
            EndReason.TAKEN_BACK
            if execution.is_cancelled() or execution.deadline_ms < dial_until
            else EndReason.DIAL_TIMEOUT
        )

    def _serve(self, execution: Execution) -> EndReason:
        """Send one execution and read its answer. SERVED means that the connection can be reused."""
        stream, clock = self.stream, self.pool.clock
        assert stream is not None
        # Last check before the first byte. During the connect, or since the link was taken from the pool, the query may
        # have ended, the worker may have started to drain, or it may have closed the connection or sent stray bytes.
        if execution.is_cancelled() or clock.now() >= execution.deadline_ms:
            self._end(EndReason.TAKEN_BACK)
            return EndReason.SERVED
        if not stream.is_quiet():
            if self.last_received_ms == -math.inf:  # a new connection as well: dialling again could go on for ever
                return EndReason.BROKEN_BEFORE_SENT
            self.execution = None
            self.pool.closed(self)
            self.pool.counters.add("link.stale")
            self.pool.start(execution)
            return EndReason.STALE
        # Until the last byte is written the worker can't have started the job; from then on it may have. So a request
        # written to a connection that the worker has already closed counts as a reset, and isn't sent again here.
        try:
            remaining_ms = execution.deadline_ms - clock.now()
            if not stream.write(
                execution.query.passage.parts(remaining_ms), execution.deadline_ms, execution.is_cancelled
            ):
                return EndReason.TAKEN_BACK if execution.is_cancelled() else EndReason.BROKEN_BEFORE_SENT
        except OSError:
            return EndReason.BROKEN_BEFORE_SENT
        idle = clock.now() - self.last_received_ms  # infinite for a new link
        side, tail_until = WorkerSide(MAX_ANSWER_BYTES, MAX_LINE_BYTES), math.inf
        while side.is_open:
            if execution.abandoned and self.execution is not None:
                return EndReason.CALLED_OFF
            if tail_until == math.inf and (self.execution is None or side.status not in (0, 200)):
                # The result is known: the rest of the answer has a fixed time, however many bytes come.
                tail_until = clock.now() + ANSWER_TAIL_TIMEOUT_MS
            if clock.now() >= tail_until:
                self.pool.counters.add("link.endless-answer")
                self.pool.log("endless-answer", worker=self.worker, status=side.status, after_ms=ANSWER_TAIL_TIMEOUT_MS)
                return EndReason.BROKEN_ANSWER
            if self.execution is not None and clock.now() >= execution.deadline_ms:  # even while lines keep coming
                return EndReason.OUT_OF_TIME
            if (
                stream.readable(min(execution.deadline_ms, tail_until) if self.execution else tail_until)
                is not Wake.READY
            ):
                continue
            try:
                size = stream.read()
                self._record_reuse(idle, broke=size == 0)
                idle, self.last_received_ms = math.inf, clock.now()
                lines = side.receive(stream.buffer) if size > 0 else side.end() if size == 0 else []
            except OSError:
                self._record_reuse(idle, broke=True)
                return EndReason.BROKEN_AFTER_SENT
            except (BadMessage, OverflowError) as fault:
                self.pool.counters.add("link.bad-answer")
                self.pool.log("bad-answer", worker=self.worker, why=fault)
                return EndReason.BROKEN_ANSWER
            if side.status == 200 and not self._handle_lines(execution, lines):
                return EndReason.BROKEN_ANSWER
            if side.status != 200 and side.is_whole:
                self._end(end_reason_of_status(side.status, side.not_started), read_report_header(side.load))
        if self.execution is not None:
            return EndReason.BROKEN_ANSWER if side.is_whole else EndReason.BROKEN_AFTER_SENT
        return EndReason.SERVED if side.is_whole and side.keeps_alive else EndReason.IDLE_CLOSED

    def _record_reuse(self, idle_ms: float, broke: bool) -> None:
        if idle_ms < math.inf:
            self.pool.counters.add("link.reused-broken" if broke else "link.reused")
            self.pool.reuse_history.record_use(self.pool.clock.now(), idle_ms, broke)

    def _handle_lines(self, execution: Execution, lines: list[bytes]) -> bool:
        """Handle the lines of an answer with status 200; False if one is malformed or belongs to another request."""
        query = execution.query
        for line in lines:
            if not line.strip() or self.execution is None:
                continue
            try:
                report: Any = json.loads(line)
                state = report["state"]
                if report.get("id", query.arrival.job) != query.arrival.job:
                    raise ValueError("another request's id")  # such as a second answer to the previous request
                if state in END_REASON_BY_STATE:
                    result = report.get("result", "") if state == "done" else ""
                    text = result if isinstance(result, str) else json.dumps(result)
                    self._end(END_REASON_BY_STATE[state], read_report(report.get("load")), text.encode())
                elif state == "running":
                    self.pool.dispatch.execution_progressed(execution, max(1e-9, float(report.get("share", 0.0))))
                elif state == "started":
                    self.pool.dispatch.execution_progressed(execution, 0.0)
            except (ValueError, KeyError, TypeError, AttributeError) as fault:
                self.pool.counters.add("link.bad-line")
                self.pool.log("bad-line", worker=self.worker, why=fault, line=line[:80])
                return False
        return True

    def _idle(self) -> EndReason:
        """Wait in the pool. SERVED means that the link was given another execution."""
        stream = self.stream
        assert stream is not None
        if self.retired or len(stream.buffer):
            return EndReason.STALE
        if self.last_received_ms == -math.inf:  # the execution it was dialled for was cancelled before it was sent
            self.last_received_ms = self.pool.clock.now()
        self.pool.release(self)
        stream.readable(self.pool.clock.now() + self.pool.idle_ms)
        return EndReason.SERVED if self.execution is not None else EndReason.IDLE_CLOSED


class Pool:
    """All server links; the idle ones are kept by worker, the most recently used last."""

    def __init__(
        self,
        scheduler: Scheduler,
        clock: Clock,
        dispatch: Dispatch,
        counters: Counters,
        log: Log,
        dial_timeout_ms: float,
        idle_ms: float,
        max_links: int,
    ) -> None:
        """Keep at most `max_links` links, and none idle for as long as the workers' idle limit `idle_ms`."""
        self.scheduler, self.clock, self.dispatch, self.counters, self.log = (scheduler, clock, dispatch, counters, log)
        self.max_links = max_links
        self.set_timeouts(dial_timeout_ms, idle_ms)
        self.addresses: dict[str, Address] = {}
        self.links: set[ServerLink] = set()
        self.reuse_history = ReuseHistory()
        self.idle: dict[str, list[ServerLink]] = {}

    def start(self, execution: Execution) -> None:
        """Give an execution to the most recently used idle link that is reusable, or to a new link."""
        worker = execution.worker
        address = self.addresses.get(worker)
        if address is None:
            self.dispatch.ended(execution, EndReason.NO_ADDRESS)
            return
        idle = self.idle.get(worker, [])
        while idle:
            link = idle.pop()
            # The link's task checks whether the worker has closed the connection before it writes a byte.
            if (
                link.stream is not None
                and link.address == address
                and self.reuse_history.is_reusable(self.clock.now(), self.clock.now() - link.last_received_ms)
            ):
                link.execution, execution.wake = execution, link.task.wake
                link.task.wake()
                return
            self.counters.add("link.stale")
            link.task.wake()
        if len(self.links) >= self.max_links and not self._close_one_idle():
            self.dispatch.ended(execution, EndReason.NO_SOCKET)
            return
        self.links.add(ServerLink(self, worker, address, execution))

    def set_timeouts(self, dial_timeout_ms: float, idle_ms: float) -> None:
        """Set the timeouts of connects and idle waits that begin from now on."""
        self.dial_timeout_ms = dial_timeout_ms
        self.idle_ms = max(idle_ms * 0.1, min(idle_ms * IDLE_LIMIT_SHARE, idle_ms - IDLE_MARGIN_MS))

    def set_max_links(self, max_links: int) -> None:
        """Change the limit on the number of links; idle links beyond it are closed."""
        self.max_links = max_links
        for _ in range(len(self.links) - max_links):
            if not self._close_one_idle():
                break

    def _close_one_idle(self) -> bool:
        """Close one idle link to free its descriptor; False if none is idle."""
        for idle in self.idle.values():
            if idle:
                idle.pop(0).task.wake()
                return True
        return False

    def release(self, link: ServerLink) -> None:
        """Return a reusable link to the pool."""
        self.idle.setdefault(link.worker, []).append(link)

    def close_silent_links(self, worker: str, since_ms: float) -> None:
        """Close the worker's idle links that have received nothing since an unanswered request was sent (`since_ms`).

        A machine that is cut off from the network leaves its connections open but silent. Each such link would take an
        execution that may then have run, whereas a new connection that fails to come up proves that it has not.
        """
        for link in self.idle.get(worker, [])[:]:
            if link.last_received_ms < since_ms:
                self.idle[worker].remove(link)
                link.task.wake()

    def retire(self, worker: str) -> None:
        """Close the links to a worker: the idle ones now, the others after their current answer."""
        for link in self.links:
            link.retired |= link.worker == worker
        for link in self.idle.pop(worker, []):
            link.task.wake()

    def closed(self, link: ServerLink) -> None:
        """Remove a link that has ended from the pool."""
        self.links.discard(link)
        with contextlib.suppress(ValueError, KeyError):
            self.idle[link.worker].remove(link)

    def fault(self, where: str, worker: str) -> None:
        """Count and log an unexpected exception in this process."""
        self.counters.add(f"fault.{where}")
        self.log("fault", where=where, worker=worker, trace=traceback.format_exc())

    def set_addresses(self, addresses: dict[str, Address]) -> None:
        """Replace the workers' addresses; idle links to workers without an address are closed."""
        self.addresses = addresses
        for worker in [worker for worker in self.idle if worker not in addresses]:
            for link in self.idle.pop(worker):
                link.task.wake()

    def probe(self, worker: str) -> None:
        """Request a load report from a worker on a separate connection."""
        self.scheduler.spawn(lambda: self._probe(worker))

    def _probe(self, worker: str) -> None:
        began, report, end_reason, stream = self.clock.now(), None, EndReason.OUR_FAULT, None
        try:
            address = self.addresses.get(worker)
            if address is None:
                end_reason = EndReason.NO_ADDRESS
                return
            stream = Stream(self.scheduler, socket.socket(socket.AF_INET, socket.SOCK_STREAM))
            end_reason = EndReason.DIAL_TIMEOUT
            if not stream.dial(address, began + self.dial_timeout_ms):
                return
            host = f"{address[0]}:{address[1]}".encode()
            end_reason, until = EndReason.OUT_OF_TIME, began + PROBE_TIMEOUT_MS
            request = request_parts(b"GET", b"/-/load", host, [(b"Connection", b"close")], b"")
            if not stream.write(request, until):
                return
            side, body = WorkerSide(MAX_LINE_BYTES, MAX_LINE_BYTES), list[bytes]()
            while side.is_open:
                if stream.readable(until) is Wake.TIMEOUT:
                    return
                size = stream.read()
                body += side.receive(stream.buffer) if size > 0 else side.end() if size == 0 else []
            end_reason = (
                EndReason.BROKEN_AFTER_SENT
                if not side.is_whole
                else (EndReason.SERVED if side.status == 200 else end_reason_of_status(side.status, side.not_started))
            )
            report = read_report_body(b"".join(body)) or read_report_header(side.load)
        except OSError:
            end_reason = EndReason.DIAL_REFUSED if end_reason is EndReason.DIAL_TIMEOUT else EndReason.BROKEN_AFTER_SENT
        except (BadMessage, OverflowError):
            end_reason = EndReason.BROKEN_ANSWER
        except Exception:
            self.fault("probe", worker)
        finally:
            if stream is not None:
                stream.close()
            self.dispatch.probe_ended(worker, end_reason, self.clock.now() - began, report)
