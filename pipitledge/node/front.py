"""The HTTP front: client connections, each with its own task, and the listener that accepts them.

Separate from the dispatch, so that a front for another protocol can submit its queries to the same dispatch.
"""

from __future__ import annotations

import contextlib
import math
import re
import socket
import traceback
from collections.abc import Callable, Sequence

from pipitledge.decision.interface import UNLIMITED, JobArrived, Repeat, Settings
from pipitledge.http1.client_side import ClientSide, Request, Stage
from pipitledge.http1.heads import BadMessage
from pipitledge.net.scheduler import Scheduler, Wake
from pipitledge.net.stream import Part, ReceiveBuffer, Stream, accept_some
from pipitledge.net.timers import Clock, Timer
from pipitledge.node.config import Address, Names
from pipitledge.node.counters import Counters, Log
from pipitledge.node.dispatch import Answer, Dispatch, Failure, Query, Served, Throttle
from pipitledge.node.end_reasons import EndReason
from pipitledge.node.lifecycle import NodeLifecycle
from pipitledge.node.plan_file import PlanOf, unlimited
from pipitledge.node.server_link import ForwardedRequest

IDLE_TIMEOUT_MS = 120_000.0  # idle limit of a connection that has served a request
# Limit from accepting a connection to the end of its first request, and for later requests from the first byte to the
# last. Clients that send nothing or part of a request have to be disconnected within 3 s.
REQUEST_TIMEOUT_MS = 2_500.0
# At the connection limit, clients silent for this long are closed first: without a byte sent, within a request.
NEW_LINK_GRACE_MS, STALLED_MS = 250.0, 700.0
WRITE_TIMEOUT_MS, LINGER_TIMEOUT_MS = 10_000.0, 2_000.0
ACCEPT_RETRY_MS = 20.0  # delay after accepting failed for lack of a descriptor
OVERFLOW_LINKS = 16  # accepted over the limit, and answered with 503, when no idle connection can be closed
# Connections that are closed to make room for new ones close only in the next round, and the tasks need their turn.
ACCEPTS_PER_ROUND = 12
BUSY_RETRY_S = b"1"  # if the settings have no longest wait that clients observe


def retry_after_headers(settings: Settings) -> list[bytes]:
    """Return the Retry-After header for a client refused by the front: the longest wait that clients observe."""
    if settings.retry_after and settings.max_retry_after_ms > 0:
        return [b"Retry-After: %.3f" % (settings.max_retry_after_ms / 1000.0)]
    return [b"Retry-After: " + BUSY_RETRY_S]


MAX_REQUEST_TIMEOUT_MS = 600_000.0
RECEIVE_BUFFER_BYTES = 20 * 1024  # a little more than the largest head; body bytes are moved out as they arrive

# float() and int() accept more than the protocol does: 1_000, 1e3, nan, blanks, a sign.
_INTEGER, _DECIMAL = re.compile(rb"[0-9]{1,9}"), re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
_FORWARDED_VALUE = re.compile(rb"[\x21-\x7e]{1,256}")


def read_arrival(request: Request, names: Names, settings: Settings) -> JobArrived:
    """Read a job from its request; BadMessage if the request is not valid. Defaults: see the README."""
    name = request.target.split(b"?", 1)[0].split(b"/")[1] if request.target.startswith(b"/") else b""
    job_class = names.classes.get(name)
    if job_class is None:
        raise BadMessage(404, "no such class")
    if request.method != b"POST":
        raise BadMessage(405, "jobs must be sent by POST")
    # Values forwarded to workers: present if required, and of visible characters only.
    for name, needed in (
        (b"request-id", True),
        (b"host", True),
        (b"idempotency-key", settings.classes[job_class].repeat is Repeat.KEYED),
    ):
        if not _FORWARDED_VALUE.fullmatch(request.get(name)) and (needed or request.get(name)):
            raise BadMessage(400, f"{name.decode()} is missing, too long or not plain text")
    job = request.get(b"request-id").decode()
    timeout_ms = settings.classes[job_class].deadline_ms
    if b"request-timeout-ms" in request.fields:
        value = request.get(b"request-timeout-ms")
        if not _INTEGER.fullmatch(value) or not 0 < int(value) <= MAX_REQUEST_TIMEOUT_MS:
            raise BadMessage(400, "bad Request-Timeout-Ms")
        timeout_ms = float(value)
    tenant = 0
    if value := request.get(b"tenant"):
        if value not in names.tenants and names.tenants:
            raise BadMessage(400, "no such tenant")
        tenant = names.tenants.get(value, 0)
    info: dict[bytes, float] = {}
    for pair in request.get(b"request-info").split(b","):
        key, _, value = pair.strip().partition(b"=")
        if key in (b"slots", b"memory", b"hint"):
            if key in info or not _DECIMAL.fullmatch(value):
                raise BadMessage(400, "bad Request-Info")
            info[key] = float(value)
    if value := request.get(b"work-hint"):
        if not _DECIMAL.fullmatch(value):
            raise BadMessage(400, "bad Work-Hint")
        info[b"hint"] = float(value) / 1_000.0  # the header is in microseconds
    slots = info.get(b"slots", 1.0)
    if not 0 <= slots <= 1_024:
        raise BadMessage(400, "slots out of range")
    key = b""
    for cookie in request.get(b"cookie").split(b";"):
        if cookie.strip().startswith(b"k="):
            key = cookie.strip()[2:]
    return JobArrived(
        job,
        job_class,
        tenant,
        timeout_ms,
        slots,
        info.get(b"memory", 0.0),
        info.get(b"hint", 0.0),
        key.decode("latin-1"),
        request.get(b"client-retry") == b"1",
    )


def answer_parts(side: ClientSide, answer: Answer, close: bool) -> list[bytes]:
    """Return an answer of the dispatch as the parts of an HTTP response."""
    if isinstance(answer, Served):
        return side.answer(200, answer.result, close=close)
    if isinstance(answer, Failure):
        return side.answer(502, answer.reason.encode(), close=close)
    advice = [b"Retry-After: %.3f" % (answer.retry_after_ms / 1000.0)] if answer.retry_after_ms > 0 else []
    return side.answer(503, b"throttled", advice, close)


class ClientLink:
    """One client connection; its task reads a request, submits the query and writes the answer."""

    def __init__(self, front: Front, sock: socket.socket, over_budget: bool, used: bool = False) -> None:
        """Start the task for an accepted socket; `used`: it has already served a request, in another process."""
        self.front, self.over_budget = front, over_budget
        self.stream = Stream(front.scheduler, sock, ReceiveBuffer(most=RECEIVE_BUFFER_BYTES))
        self.side = ClientSide()
        self.query: Query | None = None
        self.answer: Answer | None = None
        self.held_body_bytes = 0  # bytes of the current request body, until its query is answered
        self.close_reason: EndReason | None = None  # set by the front: close unless a request has arrived
        self.sent_ahead = False  # the client overfilled the buffer before its answer: the rest is dropped
        self.last_received_ms = front.clock.now()  # last byte, or the accept
        self.accepted_ms, self.used = front.clock.now(), used  # used: a complete request has been received
        if not used:
            front.before_first_request[self] = None
        self.task = front.scheduler.spawn(self.run)

    def run(self) -> None:
        """Serve requests until either side ends the connection."""
        end_reason = EndReason.OUR_FAULT
        try:
            end_reason = self._serve()
        except OSError:
            end_reason = EndReason.CLIENT_LEFT
        except Exception:
            self.front.fault()
            with contextlib.suppress(OSError, AssertionError):
                if self.side.stage is Stage.TAKEN:
                    self._write(self.side.answer(500, b"internal error", close=True))
        finally:
            if self.query is not None:
                self.front.dispatch.client_gone(self.query)
            self._account_body(0)
            self.front.before_first_request.pop(self, None)
            self.front.partial_requests.pop(self, None)
            if end_reason is EndReason.PASSED_ON and self.front.successor is not None:
                self.front.successor(self.stream.sock, self.used)
            # Only after a bad request: an idle connection that is shed must free its descriptor at once.
            if end_reason is EndReason.BAD_REQUEST:
                self.front.lingering[self] = None
                self.stream.linger(self.front.clock.now() + LINGER_TIMEOUT_MS)
            self.stream.close()
            self.front.closed(self, end_reason)

    def _serve(self) -> EndReason:
        while True:
            try:
                request, end_reason = self._read_request()
                if request is None:
                    return end_reason
                parts = self._handle_request(request)
            except BadMessage as fault:
                self.front.counters.add(f"answer.bad-request.{fault.status}")
                self.front.log("bad-request", status=fault.status, why=fault.reason)
                # Closed even if the framing is intact: a client that sends bad requests must not occupy a connection.
                advice = retry_after_headers(self.front.settings) if fault.status == 503 else []
                self._write(self.side.answer(fault.status, fault.reason.encode(), advice, close=True))
                return EndReason.BAD_REQUEST
            if parts is None:
                return EndReason.CLIENT_LEFT
            if not self._write(parts):
                return EndReason.CLIENT_SLOW
            if self.side.stage is Stage.CLOSED and self.sent_ahead:
                return EndReason.BAD_REQUEST
            if self.side.stage is Stage.CLOSED:
                return EndReason.STOPPING if self._closes_after_answer() else EndReason.CLIENT_ASKED

    def _account_body(self, size: int) -> None:
        """Update the count of body bytes held; a request that takes the total over the memory budget gets 503."""
        self.front.held_body_bytes += size - self.held_body_bytes
        grown, self.held_body_bytes = size > self.held_body_bytes, size
        if grown and self.front.held_body_bytes > self.front.max_held_bytes:
            self.side.reject()
            raise BadMessage(503, "no memory for the body")

    def _closes_after_answer(self) -> bool:
        """Return whether to close after the answer. With a successor process the connection is handed over instead."""
        return (self.front.duty.is_shedding and self.front.successor is None) or self.over_budget or self.sent_ahead

    def _write(self, parts: Sequence[Part]) -> bool:
        return self.stream.write(parts, self.front.clock.now() + WRITE_TIMEOUT_MS)

    def _read_request(self) -> tuple[Request | None, EndReason]:
        """Read the next request, or return None and why the connection ended."""
        stream, front = self.stream, self.front
        until, idle = front.clock.now() + IDLE_TIMEOUT_MS if self.used else self.accepted_ms + REQUEST_TIMEOUT_MS, True
        while True:
            request = self.side.receive(stream.buffer)
            self._account_body(len(request.body) if request is not None else self.side.held)
            if request is not None:
                self.used = True
                front.before_first_request.pop(self, None)
                front.partial_requests.pop(self, None)
                return request, EndReason.CLIENT_ASKED
            if self.side.wants_continue:
                self.side.wants_continue = False
                self._write([b"HTTP/1.1 100 Continue\r\n\r\n"])
            if idle and self.side.stage is not Stage.IDLE:
                idle, until = False, front.clock.now() + REQUEST_TIMEOUT_MS if self.used else until
            if self.close_reason is EndReason.SHED and not self.used and not idle:
                return None, EndReason.SHED
            if self.side.stage is Stage.IDLE:
                if front.successor is not None and not self.over_budget and not len(stream.buffer):
                    return None, EndReason.PASSED_ON  # unread bytes in the socket go with it
                if self.close_reason is not None:
                    if stream.is_quiet():
                        return None, self.close_reason
                    self.close_reason = None  # a request arrived first, and is served
                    front.links.add(self)
                if self.used:
                    front.idle[self] = None
            why = stream.readable(until)
            front.idle.pop(self, None)
            if why is Wake.TIMEOUT:
                if idle:
                    return None, EndReason.IDLE_CLOSED
                self.side.reject()
                raise BadMessage(408, "request too slow")
            if why is Wake.READY:
                try:
                    if stream.read() == 0:
                        return None, EndReason.CLIENT_LEFT
                    self._bytes_received()
                except OverflowError:
                    self.side.reject()
                    raise BadMessage(413, "request too long") from None

    def _bytes_received(self) -> None:
        """Record received bytes; the connection becomes the last in line to be shed for a stalled request."""
        front, self.last_received_ms = self.front, self.front.clock.now()
        if not self.used:
            front.before_first_request.pop(self, None)
            front.partial_requests.pop(self, None)
            front.partial_requests[self] = None

    def _handle_request(self, request: Request) -> list[bytes] | None:
        """Handle a request and return its answer; None if the client disconnected before it."""
        front = self.front
        if request.target == b"/-/ready" and request.method == b"GET":
            ready = front.duty.is_ready and front.admits()
            return self.side.answer(200 if ready else 503, b"", close=not ready)
        # Checked before names are looked up, as the configuration of this node may be outdated.
        if (refused := front.refuses()) is not None:
            return answer_parts(self.side, refused, self._closes_after_answer())
        arrival = read_arrival(request, front.names, front.settings)
        if (plan := front.plan_of(arrival.job_class, request.target)) is not UNLIMITED:
            arrival = arrival._replace(plan=plan)
        if self.over_budget:
            front.counters.add("answer.over-budget")
            return self.side.answer(503, b"no room", retry_after_headers(front.settings), close=True)
        passage = ForwardedRequest(
            request.method,
            request.target,
            request.get(b"host"),
            request.get(b"request-id"),
            request.get(b"idempotency-key"),
            request.body,
        )
        if self.stream.has_ended():  # the client left before its request was read: nothing is forwarded
            front.counters.add("client.left-unread")
            return None
        self.answer = None
        self.query = front.dispatch.take(arrival, passage, self._reply)
        if self.query is None:
            raise BadMessage(409, "Request-Id is in use")
        while self.answer is None:
            why = self.stream.readable(self.query.deadline_ms + WRITE_TIMEOUT_MS)
            if why is Wake.TIMEOUT:  # the dispatch always answers earlier
                raise RuntimeError("query without an answer")
            if why is Wake.READY and self.answer is None:
                try:
                    if (self.stream.drop() if self.sent_ahead else self.stream.read()) == 0:
                        return None
                except OverflowError:  # a full buffer would hide the end of the connection behind it
                    self.sent_ahead = True
                    front.counters.add("client.out-of-turn")
                    front.log("bad-request", why="more than a request before the answer")
        self.query, answer = None, self.answer
        self._account_body(0)
        return answer_parts(self.side, answer, self._closes_after_answer())

    def _reply(self, answer: Answer) -> None:
        self.answer = answer
        self.task.wake()


def listen_at(address: Address) -> socket.socket:
    """Open the clients' listening socket.

    In an upgrade the new process of the node receives this socket from the old one. SO_REUSEPORT lets the new process
    serve even if the old one does not answer; connections waiting at the old listener are lost when that closes.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind(address)
    listener.listen(1024)
    listener.setblocking(False)
    return listener


class Front:
    """Accepts clients, keeps the number of connections within its limit, and shuts down in stages."""

    plan_of: PlanOf = staticmethod(unlimited)
    admits: Callable[[], bool] = staticmethod(lambda: True)  # whether the tier's policy admits queries
    refuses: Callable[[], Throttle | None] = staticmethod(lambda: None)  # the answer while no query is admitted

    def __init__(
        self,
        scheduler: Scheduler,
        clock: Clock,
        dispatch: Dispatch,
        counters: Counters,
        log: Log,
        names: Names,
        settings: Settings,
        listener: socket.socket,
        max_links: int,
        max_held_bytes: int,
    ) -> None:
        """Start accepting; at most `max_links` clients are served, and OVERFLOW_LINKS more are refused with 503."""
        self.scheduler, self.clock, self.dispatch = scheduler, clock, dispatch
        self.counters, self.log, self.names, self.settings = counters, log, names, settings
        self.max_links, self.max_held_bytes, self.held_body_bytes = max_links, max_held_bytes, 0
        self.links: set[ClientLink] = set()
        self.idle: dict[ClientLink, None] = {}  # used connections between requests; longest idle first
        self.before_first_request: dict[ClientLink, None] = {}  # no byte received yet; oldest first
        self.partial_requests: dict[ClientLink, None] = {}  # part of a first request received; longest silent first
        self.lingering: dict[ClientLink, None] = {}  # a bad request was answered; waiting for the client to close
        self.duty = NodeLifecycle()
        self._stage_timer: Timer | None = None  # fires when the next duty stage is due
        self.on_stage_change: Callable[[], None] = lambda: None  # called when the duty stage changes
        self.stopped: bool = False
        self.on_stopped: Callable[[], None] = scheduler.stop
        # Hands a connection without a request in progress over to the node's new process; None if there is none.
        self.successor: Callable[[socket.socket, bool], None] | None = None
        self.listener = listener
        self.accepting = scheduler.spawn(self._accept)

    def _accept(self) -> None:
        until = math.inf
        while not self.duty.is_closing:
            if self.duty.is_handed_over:
                self.scheduler.wait()
                continue
            fd = self.listener.fileno() if until == math.inf else -1
            self.scheduler.wait(until, fd)
            try:
                has_capacity = self._accept_all()
            except Exception:  # one client's fault must not stop accepting
                self.fault()
                has_capacity = False
            until = math.inf if has_capacity else self.clock.now() + ACCEPT_RETRY_MS
        if not self.duty.is_handed_over:
            self._accept_all(1 << 10)  # connections in the accept queue have to be answered
        self.scheduler.forget(self.listener.fileno())
        self.listener.close()
        for link in [*self.idle, *self.before_first_request, *self.partial_requests, *self.lingering]:
            self._close_idle(link, EndReason.STOPPING)
        self._check_stopped()

    def _accept_all(self, most: int = ACCEPTS_PER_ROUND) -> bool:
        """Accept some of the waiting connections; False if no more can be accepted now."""
        return accept_some(self.listener, most, self._has_capacity, self._accepted, self._descriptors_exhausted)

    def _has_capacity(self) -> bool:
        """Return whether one more connection may be accepted, after closing another one if necessary."""
        return len(self.links) < self.max_links + OVERFLOW_LINKS or self._shed()

    def _accepted(self, sock: socket.socket) -> None:
        self.counters.add("client.accepted")
        self._add_link(sock, False)

    def _descriptors_exhausted(self, number: int) -> None:
        self.counters.add("front.no-descriptor")
        self.log("no-descriptor", clients=len(self.links), error=number)
        self._shed()

    def _add_link(self, sock: socket.socket, used: bool) -> None:
        over = len(self.links) >= self.max_links and not self._shed()  # sheds only now that a client has connected
        link = ClientLink(self, sock, over, used)
        if self.duty.is_shedding:
            link.close_reason = EndReason.STOPPING
        self.links.add(link)

    def _shed(self) -> bool:
        """Close one connection; False if none can be. Order: lingering, silent since accept, stalled, longest idle.

        Hundreds of clients that connect and send nothing must not displace those that are served. A client that has
        only just connected, or is still writing, is spared: its request would fail with the connection.
        """
        now = self.clock.now()
        link = next(iter(self.lingering), None)
        for group, silent_ms in ((self.before_first_request, NEW_LINK_GRACE_MS), (self.partial_requests, STALLED_MS)):
            first = next(iter(group), None)
            if link is None and first is not None and now >= first.last_received_ms + silent_ms:
                link = first
        link = link or next(iter(self.idle), None)
        if link is not None:
            self._close_idle(link, EndReason.SHED)
            self.links.discard(link)  # its task closes it within this round
        return link is not None

    def _close_idle(self, link: ClientLink, why: EndReason) -> None:
        for group in (self.idle, self.before_first_request, self.partial_requests, self.lingering):
            group.pop(link, None)
        link.close_reason = why
        link.task.wake()

    def closed(self, link: ClientLink, end_reason: EndReason) -> None:
        """Remove a closed connection and count why it ended."""
        self.links.discard(link)
        for group in (self.idle, self.before_first_request, self.partial_requests, self.lingering):
            group.pop(link, None)
        self.counters.add(f"client.{end_reason.value}")
        self._check_stopped()

    def fault(self) -> None:
        """Count and log an unexpected exception in this process."""
        self.counters.add("fault.front")
        self.log("fault", where="front", trace=traceback.format_exc())

    def stop(self) -> None:
        """Handle SIGTERM: report not ready, serve while there is time, then answer all open queries and close.

        Clients use their connections for as long as these stay open, and a tier may have only one node. Then a
        connection that is closed early can't be replaced by one to another node before the restart.
        """
        # Only classes of the current configuration: whoever sends SIGKILL does not wait for a removed class.
        longest = max(self.settings.classes[number].deadline_ms for number in self.names.classes.values())
        if self.duty.stop(self.clock.now(), longest):
            self._apply_stage()
            self.scheduler.timers.at(self.duty.end_by_ms, self.dispatch.fail_open_queries)
            self.scheduler.timers.at(self.duty.exit_by_ms, self._end)

    @property
    def takes(self) -> bool:
        """Whether clients that connect are accepted, by this process or by its successor."""
        return not self.duty.is_closing

    def adopt(self, sock: socket.socket, used: bool) -> None:
        """Take over a connection without a request in progress from another process of this node."""
        if self.takes and self._has_capacity():
            self.counters.add("client.adopted")
            self._add_link(sock, used)
        else:
            sock.close()

    def hand_over(self, successor: Callable[[socket.socket, bool], None]) -> None:
        """Stop accepting; connections go to the successor as soon as they have no request in progress."""
        self.successor = successor
        self.duty.hand_over(self.clock.now())
        self._apply_stage()
        while len(self.links) > self.max_links and self._shed():
            pass
        for link in [*self.idle, *self.before_first_request]:  # those within a request are served here first
            link.task.wake()
        self.accepting.wake()

    def take_back(self) -> None:
        """Accept clients again, after the successor process has ended."""
        self.successor = None
        self.duty.take_back()
        self._apply_stage()
        self.accepting.wake()

    def lame_duck(self, since_ms: float | None = None) -> None:
        """Drain: report not ready and close idle connections in time, but keep running."""
        if self.duty.lame_duck(self.clock.now() if since_ms is None else since_ms):
            self._apply_stage()

    def rejoin(self) -> bool:
        """End the drain; False if the node is stopping."""
        rejoins = self.duty.rejoin()
        if rejoins:
            self._apply_stage()
        return rejoins

    def _apply_stage(self) -> None:
        """Apply the current duty stage to connections, deadlines and timers."""
        duty = self.duty
        self.log("duty", stage=duty.stage.value, open=self.dispatch.open, clients=len(self.links))
        self.dispatch.end_by_ms = duty.end_by_ms
        if self._stage_timer is not None:
            self._stage_timer.cancel()
        self._stage_timer = (
            self.scheduler.timers.at(duty.next_stage_ms, self._stage_due) if duty.next_stage_ms < math.inf else None
        )
        if duty.is_shedding:
            for link in [*self.idle, *self.before_first_request, *self.partial_requests, *self.lingering]:
                self._close_idle(link, EndReason.STOPPING)
        if duty.is_closing:
            self.accepting.wake()
        self.on_stage_change()

    def _stage_due(self) -> None:
        if self.duty.tick(self.clock.now()):
            self._apply_stage()

    def _check_stopped(self) -> None:
        if self.duty.is_closing and self.listener.fileno() < 0 and not self.links:
            self._end()

    def _end(self) -> None:
        """Call `on_stopped` once: all is answered, or the remaining clients don't read their answers."""
        if not self.stopped:
            self.stopped = True
            self.on_stopped()
