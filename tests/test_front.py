"""Client connections: a state model checked against random steps, then tests of single rules."""

from __future__ import annotations

import errno
import math
import socket
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from net_helper import NAMES, SETTINGS, Rig, read

from pipitledge.decision import interface as api
from pipitledge.decision.interface import Action, ClientGone, Event, Fail, JobArrived, Refuse
from pipitledge.http1.client_side import Request
from pipitledge.http1.heads import BadMessage
from pipitledge.node import front as front_module
from pipitledge.node.dispatch import Served
from pipitledge.node.front import OVERFLOW_LINKS, Front, read_arrival

DERANDOMISED = hypothesis_settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    database=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
STEPS = ["head", "body", "request", "ready", "serve", "refuse", "fail", "leave", "bad", "unknown", "early", "overdue"]


def request(name: str, body: bytes = b"xy") -> bytes:
    return (
        b"POST /menu-plan HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: %s\r\nTenant: familie\r\n"
        b"Request-Timeout-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s" % (name.encode(), len(body), body)
    )


class Model:
    """Expected state of a connection: idle, half (within a request), held (an open query) or closed."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.state, self.count = rig, "idle", 0
        self.far, self.link = rig.client()
        self.left = b""
        rig.settle()

    def step(self, step: str) -> None:
        rig, name = self.rig, f"q{self.count + 1}"
        held = self.state == "held"
        if step == "head" and self.state == "idle":
            whole = request(name)
            self.left = whole[-1:]
            self.say(whole[:-1], "half", b"")
        elif step == "body" and self.state == "half":
            self.count += 1
            self.say(self.left, "held", b"")
        elif step == "request" and self.state == "idle":
            self.count += 1
            self.say(request(name), "held", b"")
        elif step == "ready" and self.state == "idle":
            self.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", "idle", b"HTTP/1.1 200")
        elif step == "unknown" and self.state == "idle":
            self.say(request(name).replace(b"menu-plan", b"no-such"), "closed", b"HTTP/1.1 404")
        elif step == "bad" and self.state == "idle":
            self.say(b"POST / nonsense\r\n\r\n", "closed", b"HTTP/1.1 400")
        elif step == "leave" and self.state != "closed":
            self.far.close()
            rig.settle()
            if held:
                assert rig.script.of(ClientGone)[-1] == ClientGone(f"q{self.count}")
            self.state = "closed"
        elif step == "early" and held:
            self.say(b"\r\n", "held", b"")  # bytes before the answer must neither break nor answer anything
        elif step in ("serve", "refuse", "fail", "overdue") and held:
            query = rig.dispatch.queries[f"q{self.count}"]
            job = query.arrival.job
            if step == "serve":
                rig.dispatch._answer(query, Served(b"done"))
            elif step == "overdue":
                rig.settle(4_010.0)
            else:
                action: Action = Refuse(job, 1_500.0) if step == "refuse" else Fail(job)
                rig.dispatch._handlers[type(action)](action)
            self.say(
                b"",
                "idle",
                {
                    "serve": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
                    "refuse": b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n"
                    b"Retry-After: 1.500\r\n\r\nthrottled",
                    "fail": b"HTTP/1.1 502",
                    "overdue": b"HTTP/1.1 502",
                }[step],
            )

    def say(self, data: bytes, state: str, reply: bytes) -> None:
        self.far.send(data)
        self.rig.settle()
        came = read(self.far)
        assert came is not None and came.startswith(reply) and bool(came) == bool(reply)
        assert came.count(b"HTTP/1.1") == bool(reply)
        self.state = state
        if state == "closed":
            assert read(self.far) is None

    def check(self) -> None:
        front = self.rig.front
        idle, fresh = (
            self.link in front.idle,
            self.link in front.before_first_request or self.link in front.partial_requests,
        )
        assert not (self.link in front.before_first_request and self.link in front.partial_requests)
        assert (idle, fresh) == (
            self.state == "idle" and self.link.used,
            self.state in ("idle", "half") and not self.link.used,
        )
        assert len(self.rig.script.of(JobArrived)) == self.count
        assert self.rig.dispatch.open == (self.state == "held")


@DERANDOMISED
@given(steps=st.lists(st.sampled_from(STEPS), max_size=30))
def test_a_clients_connection_follows_its_model(steps: list[str]) -> None:
    with pytest.MonkeyPatch.context() as patch:
        rig = Rig(patch)
        model = Model(rig)
        for step in steps:
            model.step(step)
            model.check()
        rig.close()
        assert not rig.crashes and not [entry for entry in rig.logged if entry[0] == "fault"]


@pytest.mark.parametrize(
    "data, status",
    [
        (b"\x16\x03\x01 garbage\r\n\r\n", 400),
        (b"POST /menu-plan HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", 400),
        (b"POST /menu-plan HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"POST /menu-plan HTTP/1.1\r\nRequest-Id: a\r\nRequest-Id: b\r\n\r\n", 400),
        (b"POST /menu-plan HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413),
        (b"POST /menu-plan HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501),
        (b"POST /menu-plan HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"POST /menu-plan HTTP/1.1\r\nX: " + b"x" * 17_000, 431),
        (b"POST /menu-plan HTTP/1.1\r\n" + b"X: y\r\n" * 101 + b"\r\n", 431),
        (b"POST /menu-plan HTTP/1.1\r\nHost: x\r\n\r\n", 400),  # no Request-Id
        (b"GET /menu-plan HTTP/1.1\r\nRequest-Id: a\r\n\r\n", 405),
        (b"\r\n" * 9, 400),
        (b"POST /menu-plan HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 1_100, 400),
        *[
            (b"POST /menu-plan HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\n" + odd + b"\r\n0\r\n\r\n", status)
            for odd, status in [
                (b"Content-Length: 5\r\ntransfer-encoding: Chunked\r\n", 400),
                (b"Transfer-Encoding:\r\nContent-Length: 5\r\n", 400),
                (b"Transfer-Encoding: chunked\r\nContent-Length:\r\n", 400),
                (b"Transfer-Encoding: identity\r\nContent-Length: 5\r\n", 400),
                (b"Transfer-Encoding : chunked\r\nContent-Length: 5\r\n", 400),
                (b"X: y\r\n Transfer-Encoding: chunked\r\n", 400),
                (b"Transfer-Encoding: \x0bchunked\r\n", 400),
                (b"Transfer-Encoding: chunked, chunked\r\n", 501),
                (b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", 501),
                (b'Transfer-Encoding: "chunked"\r\n', 501),
                (b"Transfer-Encoding:\r\n", 501),
                (b"Content-Length:\r\n", 400),
                (b"Content-Length: 5, 5\r\n", 400),
                (b"Content-Length: 5\r\nContent-Length: 5\r\n", 400),
                (b"Content-Length: -5\r\n", 400),
                (b"Content-Length: +5\r\n", 400),
                (b"Content-Length: 5_0\r\n", 400),
                (b"Content-Length: 0x5\r\n", 400),
                (b"Content-Length: 62914560\r\n", 413),
                (b"Content-Length: 99999999999999999999\r\n", 400),
            ]
        ],
        *[
            (b"POST /menu-plan HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + odd, status)
            for odd, status in [
                (b"-1\r\n", 400),
                (b"0x1\r\n", 400),
                (b" 1\r\n", 400),
                (b"1_0\r\n", 400),
                (b"1\nx\r\n", 400),
                (b"\r\n", 400),
                (b"1\r\nxy\r\n", 400),
                (b"fffffffff\r\n", 400),
                (b"ffffffff\r\n", 413),
                (b"1;" + b"x" * 400, 400),
                (b"0\r\n" + b"X: y\r\n" * 2_100, 400),
            ]
        ],
        *[
            (b"POST /menu-plan HTTP/1.1\r\n" + fields + b"\r\n", 400)
            for fields in [
                b"Host: x\r\nRequest-Id: a\r\nTenant: who\r\n",
                b"Host: x\r\nRequest-Id: a\r\nRequest-Info: slots=nan\r\n",
                b"Host: x\r\nRequest-Id: a\r\nRequest-Info: slots=1_0\r\n",
                b"Host: x\r\nRequest-Id: a\r\nRequest-Info: slots=1,slots=2\r\n",
                b"Host: x\r\nRequest-Id: a\r\nRequest-Info: memory=-1\r\n",
                b"Host: x\r\nRequest-Id: a\r\nWork-Hint: 1e3\r\n",
                b"Host: x\r\nRequest-Id: a\tb\r\n",
                b"Host: x\r\nRequest-Id: a\x80\r\n",
                b"Host: x\ty\r\nRequest-Id: a\r\n",
                b"Host: x\r\nRequest-Id: a\r\nIdempotency-Key: k k\r\n",
                b"Request-Id: a\r\n",
            ]
        ],
        *[
            (b"POST /menu-plan HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nRequest-Timeout-Ms:%s\r\n\r\n" % time, 400)
            for time in (
                b"soon",
                b"0",
                b"",
                b"1_000",
                b"1e3",
                b"5.5",
                b"-5",
                b"+5",
                b"nan",
                b"inf",
                b"0x10",
                b"600001",
                b"5 5",
                b"9" * 40,
                "\u0665".encode(),
            )
        ],
        (b"POST /menu-plan\x80 HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\n\r\n", 400),
    ],
)
def test_bad_input_gets_a_fitting_answer(rig: Rig, data: bytes, status: int) -> None:
    far, _ = rig.client()
    far.send(data)
    rig.settle()
    assert (read(far) or b"").startswith(b"HTTP/1.1 %d " % status)
    assert not rig.script.of(JobArrived) and not rig.dispatch.open


def arrival(**fields: bytes) -> JobArrived:
    named = {name.replace("_", "-").encode(): value for name, value in fields.items()}
    request = Request(b"POST", b"/slot-book/7?day=2", {b"request-id": b"a", b"host": b"x"} | named)
    return read_arrival(request, NAMES, SETTINGS)


def test_the_fields_of_a_job_are_read_and_missing_ones_have_defaults() -> None:
    told = arrival(
        tenant=b"familie",
        cookie=b"x=1; k=abc",
        request_timeout_ms=b"480",
        client_retry=b"1",
        request_info=b"slots=2,new=x",
    )
    assert told == JobArrived("a", 1, 1, 480.0, 2.0, 0.0, 0.0, "abc", True)
    assert arrival() == JobArrived("a", 1, 0, SETTINGS.classes[1].deadline_ms)
    assert arrival(work_hint=b"34925.5").hint_ms == pytest.approx(34.9255)  # the header is in microseconds
    with pytest.raises(BadMessage):
        arrival(request_id=b"x" * 257)


def test_an_id_that_is_still_in_use_is_refused_as_a_conflict(rig: Rig) -> None:
    one, two = rig.client()[0], rig.client()[0]
    one.send(request("same"))
    rig.settle()
    two.send(request("same"))
    rig.settle()
    assert (read(two) or b"").startswith(b"HTTP/1.1 409") and rig.dispatch.open == 1


def test_a_chunked_body_after_continue_is_received_completely(rig: Rig) -> None:
    far, _ = rig.client()
    far.send(
        b"POST /menu-plan HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nExpect: 100-continue\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    rig.settle()
    assert read(far) == b"HTTP/1.1 100 Continue\r\n\r\n"
    far.send(b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: x\r\n\r\n")
    rig.settle()
    assert rig.dispatch.queries["a"].passage.body == b"abcde"


def test_a_keyed_job_needs_its_key() -> None:
    settings = api.Settings(classes=(api.JobClass(repeat=api.Repeat.KEYED),))
    fields = {b"request-id": b"a", b"host": b"x"}
    with pytest.raises(BadMessage):
        read_arrival(Request(b"POST", b"/menu-plan", fields), NAMES, settings)
    assert read_arrival(Request(b"POST", b"/menu-plan", fields | {b"idempotency-key": b"k"}), NAMES, settings)


@pytest.mark.parametrize("said", [b"", b"POST /menu", b"\r\n", request("a", bytes(50))[:-40]])
def test_a_first_request_must_be_complete_within_three_seconds_of_connecting(rig: Rig, said: bytes) -> None:
    """The time counts from the accept, and also if the bytes trickle in."""
    far, _ = rig.client()
    rig.settle(2_000.0)
    far.send(said)
    rig.settle()
    rig.settle(400.0)
    far.send(said[:0] or b"\r\n")  # more bytes trickle in
    rig.settle()
    rig.settle(101.0)
    end = read(far)
    assert end is None or end.startswith(b"HTTP/1.1 408") or end.startswith(b"HTTP/1.1 4")
    assert not rig.dispatch.open and read(far) is None


def test_a_used_connection_may_be_idle_but_its_next_request_must_not_be_slow(rig: Rig) -> None:
    """Most clients keep their connections, and lose time if one is closed."""
    far, _ = rig.client()
    ready(rig, far)
    rig.settle(60_000.0)
    far.send(request("a")[:-1])
    rig.settle()
    rig.settle(2_000.0)
    assert read(far) == b""
    rig.settle(501.0)
    assert (read(far) or b"").startswith(b"HTTP/1.1 408") and read(far) is None


def test_the_error_reaches_a_client_that_still_sends_a_huge_body(rig: Rig) -> None:
    """Closing with unread bytes would reset the connection and lose the answer; reading all at once blocks the loop."""
    far, link = rig.client()
    far.send(b"POST /menu-plan HTTP/1.1\r\nHost: x\r\nContent-Length: 62914560\r\n\r\n")
    sent, rounds = 0, 0
    while sent < 8 << 20:
        try:
            sent += far.send(bytes(1 << 18))
        except BlockingIOError:
            before = rounds
            rig.scheduler.turn(0.0)
            rounds += 1
            assert rounds > before
    rig.settle()
    assert rounds > (8 << 20) / (1 << 18) and len(link.stream.buffer.data) <= front_module.RECEIVE_BUFFER_BYTES
    assert (read(far) or b"").startswith(b"HTTP/1.1 413") and read(far) is None
    assert link in rig.front.lingering
    far.close()
    rig.settle()
    assert link not in rig.front.lingering and link not in rig.front.links


def test_an_unexpected_exception_is_answered_with_500_and_leaves_no_query(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = Rig(monkeypatch)
    far, _ = rig.client()

    def broken(*_: object) -> list[bytes]:
        raise RuntimeError("no such luck")

    far.send(request("a"))
    rig.settle()
    monkeypatch.setattr(front_module, "answer_parts", broken)
    rig.dispatch._answer(rig.dispatch.queries["a"], Served(b"x"))
    rig.settle()
    assert (read(far) or b"").startswith(b"HTTP/1.1 500") and rig.counters.counts["fault.front"] == 1
    assert not rig.dispatch.open
    rig.close()


def ready(rig: Rig, *fars: socket.socket) -> None:
    """Send a first request on each connection; from then on it may be idle."""
    for far in fars:
        far.send(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    rig.settle()
    for far in fars:
        assert (read(far) or b"").startswith(b"HTTP/1.1 200")


class Listener:
    """Stands in for the listening socket: accepts sockets that the test queued, or raises the errors it queued."""

    def __init__(self) -> None:
        self.queue: list[socket.socket | int] = []
        self.ours, self.far = socket.socketpair()
        self.fileno, self.close = self.ours.fileno, self.ours.close

    def accept(self) -> tuple[socket.socket, None]:
        if not self.queue:
            raise BlockingIOError
        item = self.queue.pop(0)
        if isinstance(item, int):
            raise OSError(item, "accept")
        return item, None


def connect_to(rig: Rig, listener: Listener) -> socket.socket:
    """Queue a client at the listener, which becomes readable; return the client's end."""
    ours, far = socket.socketpair()
    far.setblocking(False)
    rig.open.append(far)
    listener.queue.append(ours)
    listener.far.send(b"x")
    return far


def listening(rig: Rig, count: int) -> tuple[Front, Listener, list[socket.socket]]:
    rig.client()[0].close()
    rig.settle()
    listener, fars = Listener(), []
    rig.front.listener = listener
    rig.open += [listener.far]
    fars += [connect_to(rig, listener) for _ in range(count)]
    return rig.front, listener, fars


def test_at_the_limit_idle_clients_are_closed_and_without_one_new_clients_get_503(rig: Rig) -> None:
    front, _, fars = listening(rig, 3)
    assert front._accept_all()
    ready(rig, *fars)
    ours, far = socket.socketpair()
    rig.open.append(far)
    far.setblocking(False)
    front.listener.queue.append(ours)  # type: ignore[attr-defined]
    assert front._accept_all()
    rig.settle()
    assert read(fars[0]) is None and len(front.links) == 3  # the longest idle connection was closed
    for index, held in enumerate([*fars[1:], far]):
        held.send(request(f"q{index}"))
    rig.settle()
    ours, late = socket.socketpair()
    rig.open.append(late)
    late.setblocking(False)
    front.listener.queue.append(ours)  # type: ignore[attr-defined]
    assert front._accept_all()
    late.send(request("late"))
    rig.settle()
    assert b"503" in (answer := read(late) or b"") and b"Retry-After: 1\r\n" in answer and read(late) is None
    assert rig.dispatch.open == 3


@pytest.mark.parametrize("said, gone", [(b"", None), (b"POST /menu", None), (b"POST / nonsense\r\n\r\n", b"400")])
def test_silent_stalled_and_bad_clients_are_closed_before_those_that_were_served(
    rig: Rig, said: bytes, gone: bytes | None
) -> None:
    front, listener, fars = listening(rig, 3)
    assert front._accept_all()
    ready(rig, *fars[:2])
    fars[2].send(said)
    rig.settle()
    rig.settle(front_module.STALLED_MS)
    ours, far = socket.socketpair()
    rig.open.append(far)
    listener.queue.append(ours)
    assert front._accept_all()
    rig.settle()
    assert gone is None or gone in (read(fars[2]) or b"")
    assert read(fars[2]) is None and read(fars[0]) == b"" and len(front.links) == 3


def test_a_client_that_has_just_connected_is_not_closed_for_a_new_one(rig: Rig) -> None:
    """Its first request would fail with the connection, while the client of a used connection reconnects."""
    front, listener, fars = listening(rig, 3)
    assert front._accept_all()
    ready(rig, fars[0])
    ours, far = socket.socketpair()
    rig.open.append(far)
    listener.queue.append(ours)
    assert front._accept_all()
    rig.settle()
    assert read(fars[0]) is None and read(fars[1]) == b"" and read(fars[2]) == b""


def test_the_number_of_accepts_in_a_round_is_limited(rig: Rig) -> None:
    """Connections closed in their favour close only in the next round: descriptors must last until then."""
    front, listener, _ = listening(rig, 2 * front_module.ACCEPTS_PER_ROUND + 1)
    front.max_links = 1_000
    for left in (front_module.ACCEPTS_PER_ROUND + 1, 1, 0):
        assert front._accept_all() and len(listener.queue) == left


def test_bodies_over_the_budget_are_refused_and_the_others_stay(rig: Rig) -> None:
    one, two = rig.client()[0], rig.client()[0]
    rig.front.max_held_bytes = 100_000
    # The policy advises no longer wait than this, either.
    rig.front.settings = replace(SETTINGS, retry_after=True, max_retry_after_ms=2_500.0)
    for far, name in ((one, "one"), (two, "two")):
        far.send(request(name, bytes(60_000)))
        for _ in range(4):
            rig.settle()
    assert b"503" in (answer := read(two) or b"") and b"Retry-After: 2.500\r\n" in answer and read(two) is None
    assert rig.dispatch.open == 1 and rig.front.held_body_bytes == 60_000
    assert not any(link.side._parts for link in rig.front.lingering)  # its received part is discarded at once
    rig.dispatch._answer(rig.dispatch.queries["one"], Served(b"x"))
    rig.settle()
    assert b"200" in (read(one) or b"") and rig.front.held_body_bytes == 0


def test_a_stalled_client_is_closed_before_one_that_keeps_writing(rig: Rig) -> None:
    """Under load 142 of 244 slow requests were cut off, although other clients had long been silent."""
    front, listener, fars = listening(rig, 3)
    assert front._accept_all()
    writer, stalled, silent = fars
    said = request("slow")
    writer.send(said[:8])  # connected first, and has the oldest unfinished request
    rig.settle(10.0)
    stalled.send(b"POST /menu")
    rig.settle(10.0)
    for at, gone in ((8, silent), (16, stalled)):
        rig.settle(front_module.STALLED_MS - 20.0)
        writer.send(said[at : at + 8])
        rig.settle(20.0)
        far = connect_to(rig, listener)
        assert front._accept_all()
        ready(rig, far)
        assert read(gone) is None and read(writer) == b"" and len(front.links) == 3
    writer.send(said[24:])
    rig.settle()
    assert rig.dispatch.queries["slow"].open


def test_without_descriptors_a_silent_client_is_closed_and_accepting_goes_on(rig: Rig) -> None:
    front, listener, fars = listening(rig, 1)
    assert front._accept_all()
    rig.settle(front_module.NEW_LINK_GRACE_MS)
    listener.queue.append(errno.EMFILE)
    assert not front._accept_all()
    rig.settle()
    assert read(fars[0]) is None and rig.counters.counts["front.no-descriptor"] == 1
    listener.queue.append(errno.ECONNABORTED)
    assert front._accept_all() and OVERFLOW_LINKS > 0


def test_an_exception_while_accepting_does_not_stop_accepting(rig: Rig) -> None:
    front, listener, _ = listening(rig, 1)
    accept, faults = listener.accept, [ZeroDivisionError()]

    def broken() -> tuple[socket.socket, None]:
        if faults:
            raise faults.pop()
        return accept()

    listener.accept = broken  # type: ignore[method-assign]
    rig.scheduler.spawn(front._accept)
    listener.far.send(b"x")  # the listener looks readable
    rig.settle()
    assert rig.counters.counts["fault.front"] == 1 and not front.links
    rig.settle(front_module.ACCEPT_RETRY_MS)
    assert len(front.links) == 1
    rig.logged.clear()


def test_a_stopping_node_serves_while_there_is_time_and_ends_when_all_is_answered(rig: Rig) -> None:
    """Guards against closing connections 0.5 s after SIGTERM, which left a tier of one node unserved for seconds."""
    front, listener, fars = listening(rig, 3)
    assert front._accept_all()
    ready(rig, *fars)
    front.accepting = rig.scheduler.spawn(front._accept)
    fars[0].send(request("held"))
    rig.settle()
    front.stop()
    rig.settle(2_500.0)
    late = connect_to(rig, listener)  # still accepted
    late.send(request("late"))
    fars[1].send(request("kept"))
    rig.settle()
    rig.dispatch._answer(rig.dispatch.queries["kept"], Served(b"x"))
    rig.settle()
    assert b"close" not in (read(fars[1]) or b"close")  # the connection stays open
    fars[1].send(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    rig.settle()
    assert b"503" in (read(fars[1]) or b"") and read(fars[1]) is None
    rig.settle(300.0)
    assert read(fars[2]) is None and not front.stopped  # idle ones are closed; the others wait for an answer
    rig.dispatch._answer(rig.dispatch.queries["held"], Served(b"x"))
    rig.settle(SETTINGS.classes[0].deadline_ms)
    for far, status in ((fars[0], b"200"), (late, b"502")):  # the late one has no time left before SIGKILL
        assert status in (answer := read(far) or b"") and b"Connection: close\r\n" in answer
        assert read(far) is None
        far.close()
        rig.settle()
    assert front.stopped


def test_a_lingering_connection_does_not_delay_the_stop(rig: Rig) -> None:
    front, _, fars = listening(rig, 1)
    assert front._accept_all()
    fars[0].send(b"POST / nonsense\r\n\r\n")
    rig.settle()
    front.accepting = rig.scheduler.spawn(front._accept)
    front.stop()
    rig.settle(2_800.0)
    assert front.stopped


def test_a_request_after_sigterm_is_answered_before_sigkill_can_come(rig: Rig) -> None:
    front, _, fars = listening(rig, 1)
    assert front._accept_all()
    ready(rig, *fars)
    front.accepting = rig.scheduler.spawn(front._accept)
    front.stop()
    rig.settle(2_700.0)
    fars[0].send(request("late"))
    rig.settle()
    assert rig.dispatch.open == 1
    rig.settle(900.0)
    assert b"502" in (read(fars[0]) or b"") and not rig.dispatch.open


def test_a_lame_duck_serves_for_a_while_then_closes_idle_clients_and_keeps_running(rig: Rig) -> None:
    """No client may be idle here 4 s after LAMEDUCK; until then a node without others goes on serving."""
    front, listener, fars = listening(rig, 3)
    assert front._accept_all()
    ready(rig, *fars)
    front.accepting = rig.scheduler.spawn(front._accept)
    fars[0].send(request("held"))
    rig.settle()
    front.lame_duck()
    rig.settle(1_000.0)
    front.lame_duck()  # a second call restarts nothing
    fars[1].send(request("kept"))
    rig.settle()
    rig.dispatch._answer(rig.dispatch.queries["kept"], Served(b"x"))
    rig.settle()
    assert b"close" not in (read(fars[1]) or b"close")
    rig.settle(600.0)
    assert read(fars[1]) is None and read(fars[2]) is None and read(fars[0]) == b""
    late = connect_to(rig, listener)  # connects all the same: it is served, and closed
    late.send(request("late"))
    rig.settle()
    for name, far in (("held", fars[0]), ("late", late)):
        rig.dispatch._answer(rig.dispatch.queries[name], Served(b"x"))
        rig.settle()
        assert b"Connection: close\r\n" in (read(far) or b"") and read(far) is None
        far.close()
    rig.settle(60_000.0)
    assert not front.stopped and not front.links and front.rejoin() and front.duty.is_ready
    assert rig.dispatch.end_by_ms == math.inf


def test_a_rejoin_before_the_connections_close_keeps_them(rig: Rig) -> None:
    front, _, fars = listening(rig, 1)
    assert front._accept_all()
    ready(rig, *fars)
    front.lame_duck()
    rig.settle(1_500.0)
    assert front.rejoin() and front.rejoin()
    rig.settle(10_000.0)
    fars[0].send(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    rig.settle()
    assert (read(fars[0]) or b"").startswith(b"HTTP/1.1 200") and not front.stopped


def test_a_front_of_another_protocol_needs_only_the_dispatch(rig: Rig) -> None:
    """A front submits a query and receives one answer; no HTTP is involved."""

    def refuse(event: Event) -> list[Action]:
        return [Refuse(event.job, 5.0)] if isinstance(event, JobArrived) else []

    rig.script.on_event = refuse
    rig.query("a")
    rig.settle()
    assert [type(answer).__name__ for answer in rig.answers["a"]] == ["Throttle"]


@pytest.mark.parametrize(
    "deadlines, named, killed_ms",
    [
        ((5_000.0, 300.0), (b"slot-book",), 1_000.0),
        ((300.0, 5_000.0), (b"slot-book",), 3_700.0),
        ((300.0, 800.0), (b"menu-plan", b"slot-book"), 1_500.0),
    ],
)
def test_the_time_of_sigkill_is_computed_from_the_classes_configured_at_sigterm(
    rig: Rig, deadlines: tuple[float, float], named: tuple[bytes, ...], killed_ms: float
) -> None:
    """Guards against counting a class that a SIGHUP removed: with its deadline the node served until it was killed."""
    front, _, _ = listening(rig, 0)
    front.settings = replace(SETTINGS, classes=tuple(api.JobClass(deadline_ms=ms) for ms in deadlines))
    front.names = replace(NAMES, classes={name: NAMES.classes[name] for name in named})
    front.accepting = rig.scheduler.spawn(front._accept)
    front.stop()
    assert front.duty.end_by_ms < front.duty.exit_by_ms < rig.time + killed_ms == front.duty.end_by_ms + 200.0


def test_a_client_that_does_not_read_its_answer_does_not_delay_the_stop(rig: Rig) -> None:
    front, _, fars = listening(rig, 1)
    assert front._accept_all()
    fars[0].send(request("a"))
    rig.settle()
    front.accepting = rig.scheduler.spawn(front._accept)
    front.stop()
    rig.dispatch._answer(rig.dispatch.queries["a"], Served(bytes(8 << 20)))
    rig.settle()
    rig.settle(front.duty.exit_by_ms - rig.time - 1.0)
    assert not front.stopped and front.links
    rig.settle(2.0)
    assert front.stopped
