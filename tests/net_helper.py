"""Helpers of the network tests: the parts of a node on socket pairs, with a clock that tests set.

Bytes written to a socket pair can be read at once and no test waits for time, so all runs are the same.
"""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable, Sequence
from typing import Any

import pytest
from hypothesis import settings

from pipitledge.decision.interface import Action, Event, JobClass, Listing, Repeat, Settings
from pipitledge.net.scheduler import Scheduler
from pipitledge.net.timers import Timers
from pipitledge.node.config import Names
from pipitledge.node.counters import Counters
from pipitledge.node.dispatch import Answer, Dispatch
from pipitledge.node.front import ClientLink, Front
from pipitledge.node.host_group import HostGroup
from pipitledge.node.lifecycle import NodeLifecycle
from pipitledge.node.server_link import ForwardedRequest, Pool, ServerLink

DERANDOMISED = settings(derandomize=True, deadline=None, max_examples=100, database=None)
NAMES = Names(
    {b"menu-plan": 0, b"slot-book": 1}, {b"hverdag": 0, b"familie": 1}, {"aarhus-1": 0}, {"fast-4": 0, "slow-5": 1}
)
SETTINGS = Settings(
    classes=(JobClass(repeat=Repeat.SAFE, deadline_ms=5_000), JobClass(deadline_ms=5_000)), kinds=2, max_attempts=3
)
DISCOVERY = ("127.0.0.1", 1)


class Script:
    """Stands in for the policy: records the events and returns the actions that the test chooses."""

    def __init__(self) -> None:
        self.settings, self.now = SETTINGS, 0.0
        self.seen: list[Event] = []
        self.actions: list[Action] = []
        self.on_event: Callable[[Event], Sequence[Action]] = lambda event: ()

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        self.now, self.actions = now, []
        self.seen += events
        for event in events:
            self.actions += self.on_event(event)
        return self.actions

    def of(self, kind: type) -> list[Any]:
        return [event for event in self.seen if isinstance(event, kind)]


class Pipe(socket.socket):
    """The node's end of a connection that it dials; the test holds the far end."""

    far: socket.socket
    refuses = False
    hangs = False

    def connect(self, address: Any) -> None:
        if self.refuses:
            raise ConnectionRefusedError
        if self.hangs:
            raise BlockingIOError(errno.EINPROGRESS, "in progress")


class Rig:
    """Clock, scheduler, dispatch, pool and host group; `dialled` holds the far ends in order."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch | None, most_links: int = 8, policy: Any = None) -> None:
        self.time = 1_000_000.0
        self.dialled: list[socket.socket] = []
        self.next_refuses = self.next_hangs = self.no_descriptor = False
        self.logged: list[tuple[str, dict[str, object]]] = []
        self.crashes: list[BaseException] = []
        self.open: list[socket.socket] = []
        self.answers: dict[str, list[Answer]] = {}
        self.timers = Timers(self.now)
        self.scheduler = Scheduler(self.timers, self.crashes.append)
        self.script, self.counters = policy or Script(), Counters()
        clock: Any = self
        self.dispatch = Dispatch(clock, self.timers, self.script, self.counters, self.log)  # type: ignore[arg-type]
        self.pool = Pool(
            self.scheduler,
            clock,
            self.dispatch,
            self.counters,
            self.log,  # type: ignore[arg-type]
            100.0,
            15_000.0,
            most_links,
        )
        self.pool.addresses = {"w0": ("127.0.0.1", 10), "w1": ("127.0.0.1", 11)}
        self.group = HostGroup(
            self.scheduler, clock, self.dispatch, self.pool, self.counters, self.log, DISCOVERY, NAMES
        )  # type: ignore[arg-type]
        self.dispatch.links, self.dispatch.watch = self.pool, self.group.watch
        self.scheduler.after_round = self.dispatch.round
        for module in ("server_link", "host_group") if monkeypatch is not None else ():
            assert monkeypatch is not None
            monkeypatch.setattr(f"pipitledge.node.{module}.socket", self)
        self.AF_INET, self.SOCK_STREAM = socket.AF_INET, socket.SOCK_STREAM

    def now(self) -> float:
        return self.time

    def log(self, event: str, **fields: object) -> None:
        self.logged.append((event, fields))

    def socket(self, *_: object) -> Pipe:
        """Replaces socket.socket in the node's modules."""
        if self.no_descriptor:
            raise OSError(errno.EMFILE, "no descriptor")
        ours, far = socket.socketpair()
        pipe = Pipe(ours.family, ours.type, fileno=ours.detach())
        pipe.refuses, pipe.hangs = self.next_refuses, self.next_hangs
        if pipe.hangs:  # a socket pair is writable at once, unlike a pending connect: fill it
            pipe.setblocking(False)
            try:
                while True:
                    pipe.send(bytes(65536))
            except BlockingIOError:
                pass
        far.setblocking(False)
        self.dialled.append(far)
        self.open.append(far)
        return pipe

    def settle(self, after_ms: float = 0.0) -> None:
        """Advance the clock, then run enough rounds for all that is ready."""
        self.time += after_ms
        for _ in range(12):
            self.scheduler.turn(0.0)

    def query(self, name: str, patience_ms: float = 5_000.0, **fields: Any) -> Any:
        from pipitledge.decision.interface import JobArrived

        passage = ForwardedRequest(b"POST", b"/menu-plan?x=1", b"app.svc", name.encode(), b"key", b"{body}")
        replies = self.answers.setdefault(name, [])
        arrival = JobArrived(name, patience_ms=patience_ms, **fields)
        return self.dispatch.take(arrival, passage, replies.append)

    def client(self, over_budget: bool = False, sock: socket.socket | None = None) -> tuple[socket.socket, ClientLink]:
        """Connect a client without a listener, on a new socket pair or on `sock`."""
        if not hasattr(self, "front"):
            self.front: Any = Front.__new__(Front)
            for name, value in {
                "scheduler": self.scheduler,
                "clock": self,
                "dispatch": self.dispatch,
                "counters": self.counters,
                "log": self.log,
                "names": NAMES,
                "settings": SETTINGS,
                "max_links": 3,
                "max_held_bytes": 1 << 20,
                "held_body_bytes": 0,
                "links": set(),
                "idle": {},
                "before_first_request": {},
                "partial_requests": {},
                "lingering": {},
                "duty": NodeLifecycle(),
                "_stage_timer": None,
                "successor": None,
                "on_stage_change": lambda: None,
                "on_stopped": lambda: None,
                "stopped": False,
            }.items():
                setattr(self.front, name, value)
        ours, far = socket.socketpair()
        far.setblocking(False)
        self.open.append(far)
        link = ClientLink(self.front, sock or ours, over_budget)
        self.front.links.add(link)
        return far, link

    def close(self) -> None:
        for far in self.open:
            far.close()
        self.settle(700_000.0)  # time out the node's remaining connections, so that none outlives the test
        self.settle(700_000.0)


class FakePeer:
    """A worker or agent on a loopback TCP address, driven by the test; it does nothing by itself."""

    def __init__(self, rig: TcpRig) -> None:
        self.rig, self.listener = rig, socket.create_server(("127.0.0.1", 0), backlog=512)
        self.listener.settimeout(10.0)
        self.address = self.listener.getsockname()
        self.links: list[socket.socket] = []
        rig.open.append(self.listener)

    def accept(self) -> socket.socket:
        """Accept the next connection of the node; for the node it is established even before."""
        self.rig.until(lambda: readable([self.listener], 0.0))
        sock, _ = self.listener.accept()
        sock.setblocking(False)
        self.links.append(sock)
        self.rig.open.append(sock)
        return sock

    def request(self, sock: socket.socket) -> bytes:
        """Read a complete request from a connection, up to the body that Rig.query sends."""
        got = bytearray()

        def whole() -> bool:
            got.extend(read(sock) or b"")
            return got.endswith(b"{body}")

        self.rig.until(whole)
        return bytes(got)

    def waiting(self) -> list[socket.socket]:
        """Accept all waiting connections, and return all accepted so far."""
        while readable([self.listener], 0.0):
            self.accept()
        return self.links

    def stall_connects(self) -> None:
        """Leave further connects pending, by filling the accept queue."""
        self.listener.listen(0)
        for _ in range(4):
            plug = socket.socket()
            plug.setblocking(False)
            plug.connect_ex(self.address)
            self.rig.open.append(plug)


class TcpRig(Rig):
    """The same parts of a node on real loopback TCP sockets.

    The clock stands still unless the test sets it, and only `until` runs rounds. So the test determines the order of
    events: nothing happens between two of its lines.
    """

    def __init__(self, policy: Any = None) -> None:
        super().__init__(None, policy=policy)
        self.pool.addresses = {}

    def worker(self, name: str) -> FakePeer:
        peer = FakePeer(self)
        self.pool.addresses = self.pool.addresses | {name: peer.address}
        return peer

    def row(self, name: str, peer: FakePeer, state: str = "in_service") -> dict[str, object]:
        """Return a worker's entry in the worker list."""
        return {
            "uid": name,
            "endpoint": "{}:{}".format(*peer.address),
            "az": "aarhus-1",
            "model": "fast-4",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    def apply_list(self, *rows: dict[str, object], whole: bool = False) -> None:
        """Apply a list update as a watch does; the round that reports it to the policy has not run yet."""
        self.group._apply_list({"rev": 1, "targets": [*rows]}, Listing.FULL if whole else Listing.DELTA)

    def until(self, seen: Callable[[], object]) -> None:
        """Run rounds until `seen` returns true; it waits only for the sockets of the system."""
        for _ in range(2_000):
            if seen():
                return
            self.scheduler.turn(5.0)
        raise AssertionError("condition not met within 2,000 rounds")

    def idle_link(self, peer: FakePeer, name: str = "a", **fields: Any) -> socket.socket:
        """Serve a query on a new link, and return the worker's end of that link, which is then idle."""
        query = self.query(name, **fields)
        worker = peer.accept()
        peer.request(worker)
        worker.send(HEAD + line("done", name) + END)
        self.until(lambda: any(self.pool.idle.values()))
        assert not query.open
        return worker

    def link(self) -> ServerLink:
        """Return the only server link that has an execution."""
        [link] = [link for link in self.pool.links if link.execution is not None]
        return link

    def caller(self) -> socket.socket:
        """Connect a client over TCP."""
        with socket.create_server(("127.0.0.1", 0)) as door:
            far = socket.create_connection(door.getsockname(), 10.0)
            ours, _ = door.accept()
        self.client(sock=ours)[
            0
        ].close()  # creates the front if needed; the far end of the unused socket pair is closed
        far.setblocking(False)
        self.open.append(far)
        return far


def readable(socks: Sequence[socket.socket], wait_ms: float) -> list[socket.socket]:
    """Return the readable sockets. Uses poll: select fails for descriptors over 1,023, which a test run may reach."""
    poll, known = select.poll(), {sock.fileno(): sock for sock in socks}
    for number in known:
        poll.register(number, select.POLLIN)
    return [known[number] for number, _ in poll.poll(wait_ms)]


def read(sock: socket.socket) -> bytes | None:
    """Return the received bytes; None if the other side closed and nothing is left."""
    try:
        return sock.recv(1 << 20) or None
    except BlockingIOError:
        return b""
    except OSError:
        return None


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text)


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"


def line(state: str, of: str = "a", **more: object) -> bytes:
    """Return a worker's status line for the request with this id."""
    import json

    return chunk(json.dumps({"id": of, "from": "w0", "state": state, **more}).encode() + b"\n")
