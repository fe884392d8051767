"""Several real processes of the program, among stand-ins, with faults between them tied to events.

The rig has the workers, discovery and the clients; each node is a process of its own. What nodes say to each other goes
through relays of the rig's, which know the messages: a fault happens when a certain message is on its way, or when a
node has logged something, never after a time. Clients' and workers' connections can go through relays that close them
at the worst moment.

Policies are told apart from outside: each has a class that the one before has not. A client that is served in the class
of version v has proved that its node admitted under v alone, as while two bind neither class may be asked for.
"""

from __future__ import annotations

import json
import math
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from pipitledge.decision.interface import State
from pipitledge.decision.settings import settings_from
from pipitledge.emulator import site
from pipitledge.emulator.audit import Audit
from pipitledge.emulator.client import Clients, Kind
from pipitledge.emulator.discovery import row
from pipitledge.emulator.faults import Faults
from pipitledge.emulator.ports import free_address
from pipitledge.emulator.servers import DiscoveryServer, LoadClients, WorkerServer, listener, read_answer, reset
from pipitledge.emulator.worker import Rack, Worker
from pipitledge.net.scheduler import Scheduler, Task, Wake
from pipitledge.net.stream import ReceiveBuffer, Stream
from pipitledge.net.timers import Clock, Timers
from pipitledge.node.config import Address
from pipitledge.tier import messages as m

TAGS = ("tag-a", "tag-b")
WAIT_MS = 15_000.0  # for anything to happen; a run in which it does not has failed
ANY = "*"


def stated(version: int, **changes: Any) -> dict[str, Any]:
    """The settings of a version: three classes as ever, and one that tells odd versions from even ones."""
    base = site.stated()
    tag = {**base["lanes"][0], "name": TAGS[(version + 1) % 2]}
    permissions = {**base["permissions"], "peers": True}
    specifics = {**base["specifics"], "class_stretch": [*base["specifics"]["class_stretch"], 1.75]}
    return site.stated(lanes=[*base["lanes"], tag], permissions=permissions, specifics=specifics) | changes


def all_settings() -> Any:
    """Settings that have both tags, for the stand-ins."""
    base = stated(1)
    return settings_from({**base, "lanes": [*base["lanes"], {**base["lanes"][0], "name": TAGS[1]}]})


def reserved(hold: list[socket.socket]) -> Address:
    """A loopback address for connections that is ours until the socket in `hold` is closed.

    Bound and not listening, it keeps the system from giving the port to anybody else; a node's listener may share it.
    """
    held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    held.bind(("127.0.0.1", 0))
    hold.append(held)
    address: Address = held.getsockname()
    return address


def written_once(path: pathlib.Path, content: bytes) -> pathlib.Path:
    """A file that all nodes share, written for the first of them: those that run already may be reading it."""
    if not path.exists():
        path.write_bytes(content)
    return path


def peek(frame: bytes) -> m.Any | None:
    """Read a frame as it passes, sealed or not."""
    try:
        body = frame[4 + 12 : -m.MAC] if frame[3:4] == b"\x01" else frame[4:]
        message: m.Any = m._DECODER.decode(body)
    except (ValueError, msgspec.DecodeError):
        return None
    return message


@dataclass(slots=True)
class Rule:
    """When a message passes, do something, and then let it pass or not."""

    sender: str
    kind: str
    to: str
    action: Callable[[], None]
    drops: bool = False
    skip: int = 0  # so many pass by before
    once: bool = True
    fired: int = 0

    def matches(self, sender: str, kind: str, to: str) -> bool:
        """Whether this rule is about that message."""
        return self.sender in (ANY, sender) and self.kind in (ANY, kind) and self.to in (ANY, to)


class Network:
    """What all relays between nodes share: rules, cuts, loss, repeats and delays."""

    def __init__(self, scheduler: Scheduler, clock: Clock, seed: int) -> None:
        """Begin with a network that does no harm."""
        self.scheduler, self.clock, self.random = scheduler, clock, random.Random(seed)
        self.rules: list[Rule] = []
        self.cuts: set[tuple[str, str]] = set()
        self.loss = self.repeat = 0.0
        self.delay_ms = (0.0, 0.0)
        self.counts: Counter[str] = Counter()
        self.held: list[Callable[[], None]] = []
        self.hold: Callable[[str, str, str], bool] = lambda sender, kind, to: False

    def passes(self, sender: str, to: str, frame: bytes, forward: Callable[[bytes], None]) -> None:
        """A frame is on its way: apply the rules and faults, and forward it as often and as late as they say."""
        message = peek(frame)
        kind = type(message).__name__.lower() if message is not None else "beat"
        self.counts[f"{kind}"] += 1
        drops = False
        for rule in list(self.rules):
            if rule.matches(sender, kind, to):
                if rule.skip:
                    rule.skip -= 1
                    continue
                if rule.once:
                    self.rules.remove(rule)
                rule.fired += 1
                rule.action()
                drops = drops or rule.drops
        if drops or (sender, to) in self.cuts:
            self.counts["dropped"] += 1
            return
        if self.hold(sender, kind, to):
            self.held.append(lambda: forward(frame))
            return
        if self.loss and self.random.random() < self.loss:
            self.counts["lost"] += 1
            return
        for _ in range(1 + (self.repeat > 0.0 and self.random.random() < self.repeat)):
            if self.delay_ms[1] <= 0.0:
                forward(frame)
            else:
                self.scheduler.timers.at(self.clock.now() + self.random.uniform(*self.delay_ms), lambda: forward(frame))

    def release(self) -> None:
        """Let what was held go on, in the other order."""
        held, self.held, self.hold = self.held, [], lambda sender, kind, to: False
        for forward in reversed(held):
            forward()


class FrameRelay:
    """Stands at a member's address and passes frames on to the member itself."""

    def __init__(self, network: Network, name: str, target: Address) -> None:
        """Listen at a free address."""
        self.network, self.name, self.target = network, name, target
        self.listener = listener(("127.0.0.1", 0))
        self.address: Address = self.listener.getsockname()
        network.scheduler.spawn(self._accept)

    def _accept(self) -> None:
        scheduler = self.network.scheduler
        while True:
            scheduler.wait(fd=self.listener.fileno())
            try:
                sock, _ = self.listener.accept()
            except OSError:
                continue
            stream = Stream(scheduler, sock, ReceiveBuffer(4096, 64 * 1024))
            scheduler.spawn(lambda stream=stream: self._serve(stream))  # type: ignore[misc]

    def _serve(self, stream: Stream) -> None:
        network, scheduler, clock = self.network, self.network.scheduler, self.network.clock
        out = Stream(scheduler, socket.socket(), ReceiveBuffer(256, 256))
        waiting: list[bytes] = []
        state = {"open": False}

        def forward(frame: bytes) -> None:
            waiting.append(len(frame).to_bytes(4, "big") + frame)
            if state["open"]:
                parts, waiting[:] = list(waiting), []
                try:
                    out.sock.sendall(b"".join(parts))
                except OSError:
                    state["open"] = False

        try:
            if not out.dial(self.target, clock.now() + 2_000.0):
                return
            state["open"] = True
            while True:
                why = stream.readable(clock.now() + 100.0)
                if why is Wake.READY and stream.read() == 0:
                    return
                while len(stream.buffer) >= 4:
                    data, start = stream.buffer.data, stream.buffer.start
                    size = int.from_bytes(data[start : start + 4], "big")
                    if len(stream.buffer) < 4 + size:
                        break
                    frame = bytes(data[start + 4 : start + 4 + size])
                    stream.buffer.consume(4 + size)
                    message = peek(frame)
                    network.passes(message.sender if message is not None else "?", self.name, frame, forward)
                if not state["open"]:
                    return
        except OSError:
            return
        finally:
            stream.close()
            out.close()


class DatagramRelay:
    """Stands at a node's address for datagrams: what comes is from the node whose own address sent it."""

    def __init__(self, network: Network, name: str, target: Address, all_of: dict[str, DatagramRelay]) -> None:
        """Bind a free address; `all_of` has every node's relay by name, this one's too."""
        self.network, self.name, self.target, self.all_of = network, name, target, all_of
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address: Address = self.sock.getsockname()
        all_of[name] = self
        network.scheduler.spawn(self._run)

    def _run(self) -> None:
        while True:
            self.network.scheduler.wait(fd=self.sock.fileno())
            try:
                data, sender = self.sock.recvfrom(2048)
            except OSError:
                continue
            source = next((relay for relay in self.all_of.values() if relay.target == sender), None)
            if source is not None:
                self.network.passes(source.name, self.name, data, lambda frame, source=source: self._on(source, frame))  # type: ignore[misc]

    def _on(self, source: DatagramRelay, frame: bytes) -> None:
        try:
            source.sock.sendto(frame, self.target)
        except OSError:
            self.network.counts["unsent"] += 1


class ByteRelay:
    """Passes a connection's bytes on, and can reset both sides amid a request or amid its answer."""

    def __init__(self, scheduler: Scheduler, clock: Clock, target: Address) -> None:
        """Listen at a free address."""
        self.scheduler, self.clock, self.target = scheduler, clock, target
        self.listener = listener(("127.0.0.1", 0))
        self.address: Address = self.listener.getsockname()
        self.breaks: dict[str, int] = {}  # "request" or "answer": how many of the next connections' it breaks
        self.after = 40  # bytes of it that still pass
        self.counts: Counter[str] = Counter()
        self.broken: Callable[[str], None] = lambda what: None
        scheduler.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            self.scheduler.wait(fd=self.listener.fileno())
            try:
                sock, _ = self.listener.accept()
            except OSError:
                continue
            near = Stream(self.scheduler, sock, ReceiveBuffer(most=96 * 1024))
            far = Stream(self.scheduler, socket.socket(), ReceiveBuffer(most=96 * 1024))
            self.scheduler.spawn(lambda near=near, far=far: self._dial(near, far))  # type: ignore[misc]

    def _dial(self, near: Stream, far: Stream) -> None:
        try:
            if not far.dial(self.target, self.clock.now() + 1_000.0):
                near.close()
                return
        except OSError:
            reset(near)
            return
        self.scheduler.spawn(lambda: self._pass(far, near, "answer"))
        self._pass(near, far, "request")

    def _pass(self, source: Stream, sink: Stream, what: str) -> None:
        try:
            while True:
                if source.sock.fileno() < 0:
                    return
                if source.readable(self.clock.now() + 60_000.0) is not Wake.READY or source.sock.fileno() < 0:
                    return
                if source.read() == 0:
                    break
                with memoryview(source.buffer.data)[source.buffer.start : source.buffer.end] as came:
                    data = bytes(came)
                source.buffer.consume(len(source.buffer))
                if self.breaks.get(what, 0) > 0:
                    self.breaks[what] -= 1
                    self.counts[what] += 1
                    sink.write([data[: self.after]], self.clock.now() + 1_000.0)
                    self.broken(what)
                    break
                sink.write([data], self.clock.now() + 60_000.0)
        except OSError:
            pass
        for stream in (source, sink):
            if stream.sock.fileno() >= 0:
                task = self.scheduler._watchers.get(stream.sock.fileno())
                reset(stream)
                if task is not None:
                    task.wake()


@dataclass(slots=True)
class Seen:
    """One answer to a client that asked for a tag: what it proves."""

    node: str
    tag: str
    asked_ms: float
    answered_ms: float
    status: int


class NodeProcess:
    """One node: its addresses, its process, and what it logs."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        """Take addresses; `start` starts it."""
        self.fleet, self.name = fleet, name
        self.listen, self.console, self.tier = (reserved(fleet.hold) for _ in range(3))
        self.peer = free_address()
        self.folder = fleet.folder / name
        (self.folder / "tmp").mkdir(parents=True, exist_ok=True)
        self.process: subprocess.Popen[bytes] | None = None
        self.lines: list[str] = []
        self.paused = False
        self.starts = self.kills = 0
        self.leased = False
        self.waiters: list[Task] = []
        self.client = self.listen

    def config(self, version: int = 1) -> dict[str, Any]:
        """The configuration, with the settings of a version."""
        fleet = self.fleet
        raw: dict[str, Any] = json.loads(
            site.config(self.name, self.listen, fleet.discovery.address, list(fleet.discovery.model.rows.values()), 1)
        )
        names = list(fleet.nodes)
        number = names.index(self.name) if self.name in names else len(names)
        raw["settings"] = stated(version, n_instances=max(fleet.count, number + 1), my_number=number)
        raw["tier"] = {"name": self.name, "members": fleet.members(), "changes_need": fleet.needs}
        if fleet.datagrams:
            raw["peer_listen"] = "{}:{}".format(*self.peer)
            raw["peers"] = ["{}:{}".format(*fleet.relays[name].address) for name in fleet.relays]
        else:
            raw["tier"]["listen"] = "{}:{}".format(*self.tier)
        if fleet.disks:
            raw["tier"]["state"] = str(self.folder / "state")
        if fleet.key:
            raw["tier"]["key_file"] = str(written_once(fleet.folder / "key", fleet.key))
        raw["console"] = "{}:{}".format(*self.console)
        if not fleet.tier:
            del raw["tier"]
        return raw

    def start(self, version: int = 1, **changes: Any) -> None:
        """Start its process, or one that takes its place."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config(version) | changes))
        env = {
            **os.environ,
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(self.folder / "tmp"),
            "PYTHONPATH": str(self.fleet.program),
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", "pipitledge"],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            env=env,
            cwd=self.fleet.program,
        )
        self.paused = self.leased = False
        self.starts += 1
        assert self.process.stdout is not None
        os.set_blocking(self.process.stdout.fileno(), False)
        process = self.process
        self.fleet.scheduler.spawn(lambda: self._read(process))

    def _read(self, process: subprocess.Popen[bytes]) -> None:
        assert process.stdout is not None
        fd, rest = process.stdout.fileno(), b""
        while True:
            self.fleet.scheduler.wait(fd=fd)
            try:
                data = os.read(fd, 65_536)
            except BlockingIOError:
                continue
            if not data:
                self.fleet.scheduler.forget(fd)
                process.stdout.close()
                return
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                self.heard(line.decode(errors="replace"))

    def heard(self, line: str) -> None:
        """A line of the log."""
        self.lines.append(line)
        if " tier lease=" in line:
            self.leased = " lease=held" in line
        if " fault " in line:
            self.fleet.faults.append(f"{self.name}: {line}")
        self.fleet.logged(self.name, line)

    def kill(self) -> None:
        """End it as a power cut does."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.kills += 1
        self.paused = False

    def pause(self) -> None:
        """SIGSTOP."""
        if self.runs:
            assert self.process is not None
            self.process.send_signal(signal.SIGSTOP)
            self.paused = True

    def wake(self) -> None:
        """SIGCONT."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
        self.paused = False

    def life(self) -> int:
        """A number that changes when its process is killed."""
        return self.kills

    @property
    def runs(self) -> bool:
        """Whether its process is there and awake."""
        return self.process is not None and self.process.poll() is None and not self.paused


class Fleet:
    """The whole of it. To be closed: `with Fleet(...) as fleet`."""

    def __init__(
        self,
        folder: pathlib.Path,
        count: int,
        seed: int = 1,
        workers: int = 4,
        datagrams: bool = False,
        disks: bool = False,
        key: bytes = b"",
        needs: str = "majority",
        start: bool = True,
        tier: bool = True,
        program: pathlib.Path = pathlib.Path(__file__).parents[2],
    ) -> None:
        """Start stand-ins and nodes; with `start` all nodes are ready when this returns.

        Without `tier` each node has its own policy; `program` is the checkout whose program is run.
        """
        self.tier, self.program = tier, program
        self.folder, self.count, self.seed = folder, count, seed
        self.datagrams, self.disks, self.key, self.needs = datagrams, disks, key, needs
        self.clock = Clock()
        self.faults: list[str] = []
        self.hold: list[socket.socket] = []
        self.scheduler = Scheduler(Timers(self.clock.now), self._crashed)
        self.crashes: list[BaseException] = []
        self.network = Network(self.scheduler, self.clock, seed)
        self.settings = all_settings()
        self.audit = Audit(self.settings)
        self.discovery = DiscoveryServer(self.scheduler, self.clock, ("127.0.0.1", 0))
        self.discovery.told = self._told
        self.workers: list[WorkerServer] = []
        self.watchers: list[tuple[str, str, Callable[[str, str], None]]] = []
        self.seen: list[Seen] = []
        self.killed_jobs: set[str] = set()
        self.version = 1
        self.proposed_ms: dict[int, float] = {}  # when the settings of a version were first proposed
        classes, seen, racks = (*site.CLASSES, *TAGS), Counter[str](), dict[int, Rack]()
        for machine in site.machines(workers):
            model = Worker(machine, racks.setdefault(machine.cell, Rack(7_500.0)), self.audit)
            server = WorkerServer(
                self.scheduler, self.clock, ("127.0.0.1", 0), model, self.settings, classes, Faults(seed, {}), seen
            )
            self.workers.append(server)
            self.discovery.put(row(model, server.address), at_once=True)
        self.nodes: dict[str, NodeProcess] = {}
        self.relays: dict[str, Any] = {}
        self.loads: list[LoadClients] = []
        datagram_relays: dict[str, DatagramRelay] = {}
        for number in range(count):
            self._add(f"n{number}", datagram_relays)
        self._datagram_relays = datagram_relays
        if start:
            for node in self.nodes.values():
                node.start()
            ready = self._leased if tier else self._is_ready
            self.until(lambda: all(ready(name) for name in self.nodes), "all nodes admit")

    def _add(self, name: str, datagram_relays: dict[str, DatagramRelay]) -> None:
        node = self.nodes[name] = NodeProcess(self, name)
        self.relays[name] = (
            DatagramRelay(self.network, name, node.peer, datagram_relays)
            if self.datagrams
            else FrameRelay(self.network, name, node.tier)
        )

    def add(self, name: str) -> NodeProcess:
        """One more node, which is no member yet."""
        self._add(name, self._datagram_relays)
        return self.nodes[name]

    def members(self) -> dict[str, str]:
        """Members and where their relays stand."""
        return {name: "{}:{}".format(*relay.address) for name, relay in self.relays.items()}

    def __enter__(self) -> Fleet:
        """Use it for a while."""
        return self

    def __exit__(self, *_: object) -> None:
        """End every process, and let go of every address."""
        for node in self.nodes.values():
            node.kill()
        listeners = [server.listener for server in (*self.workers, self.discovery)]
        listeners += [relay.listener for relay in self.relays.values() if isinstance(relay, FrameRelay)]
        for sock in listeners:
            self.scheduler.forget(sock.fileno())
            sock.close()
        for held in self.hold:
            held.close()
        for relay in self._datagram_relays.values():
            self.scheduler.forget(relay.sock.fileno())
            relay.sock.close()

    def _crashed(self, fault: BaseException) -> None:
        self.crashes.append(fault)
        self.faults.append(f"the rig: {type(fault).__name__}: {fault}")

    def _told(self, name: str, state: State) -> None:
        if state is State.SERVING:
            self.audit.told_back(name)
        else:
            self.audit.told_drain(name, self.clock.now())

    # ---- waiting for events

    def until(self, true: Callable[[], bool], what: str, most_ms: float = WAIT_MS) -> float:
        """Run until something is so; how long that took. It is a failure where it does not come."""
        began = self.clock.now()
        while not true():
            if self.crashes:
                raise self.crashes[0]
            if self.clock.now() - began > most_ms:
                raise TimeoutError(f"{what}: not within {most_ms:.0f} ms; {self.story()}")
            self.scheduler.turn(20.0)
        return self.clock.now() - began

    def logged(self, name: str, line: str) -> None:
        """A node has logged a line: whoever waits for it goes on."""
        for watcher in list(self.watchers):
            wanted, words, action = watcher
            if wanted in (ANY, name) and words in line:
                self.watchers.remove(watcher)
                action(name, line)

    def when_logged(self, name: str, words: str, action: Callable[[], None]) -> None:
        """Do something once a node logs a line with these words."""
        self.watchers.append((name, words, lambda *_: action()))

    def when_sent(
        self, sender: str, kind: str, action: Callable[[], None], to: str = ANY, drops: bool = False, skip: int = 0
    ) -> Rule:
        """Do something when a message is on its way."""
        rule = Rule(sender, kind, to, action, drops, skip)
        self.network.rules.append(rule)
        return rule

    def _leased(self, name: str) -> bool:
        return self.nodes[name].leased

    def _is_ready(self, name: str) -> bool:
        return any(" ready name=" in line for line in self.nodes[name].lines)

    def admits(self, name: str) -> bool:
        """Whether a node has a lease, as it has logged."""
        return self.nodes[name].runs and self.nodes[name].leased

    def kill(self, name: str) -> None:
        """End a node as a power cut does; what it had taken dies with it."""
        node = self.nodes[name]
        self.killed_jobs |= {job for job, story in self.audit.jobs.items() if not story.finals}
        node.kill()

    def upgrade(self, name: str) -> None:
        """Start a second process that takes the place of a node's first one; that one is told to end once it has."""
        node = self.nodes[name]
        if not node.runs:
            return
        elder, node.console = node.process, reserved(self.hold)
        node.start()

        def end(_: str, line: str) -> None:
            if elder is not None and elder.poll() is None:
                elder.terminate()

        self.watchers.append((name, "claimed=True", end))

    def story(self) -> str:
        """The last lines of each node, for people."""
        return " || ".join(f"{name}: {node.lines[-1] if node.lines else '-'}" for name, node in self.nodes.items())

    # ---- operators

    def call(self, name: str, line: str, body: bytes = b"") -> str:
        """An operator's call at a node's second address; its answer without the line's end."""
        answer: list[str] = []

        def ask() -> None:
            stream = Stream(self.scheduler, socket.socket(), ReceiveBuffer(most=1 << 20))
            try:
                if not stream.dial(self.nodes[name].console, self.clock.now() + 2_000.0):
                    answer.append("-ERR no connection")
                    return
                stream.write([line.encode() + b"\n" + body], self.clock.now() + 2_000.0)
                while stream.readable(self.clock.now() + 4_000.0) is Wake.READY and stream.read():
                    pass
                answer.append(bytes(stream.buffer.data[stream.buffer.start : stream.buffer.end]).decode().strip())
            except OSError as fault:
                answer.append(f"-ERR {fault}")
            finally:
                stream.close()

        self.scheduler.spawn(ask)
        self.until(lambda: bool(answer) or not self.nodes[name].runs, f"{name} answers {line[:20]}", 6_000.0)
        return answer[0] if answer else "-ERR down"

    def status(self, name: str) -> dict[str, Any]:
        """POLICY STATUS of a node; nothing of one that does not answer."""
        answer = self.call(name, "POLICY STATUS")
        found: dict[str, Any] = json.loads(answer[4:]) if answer.startswith("+OK ") else {}
        return found

    def propose(self, name: str, made_from: str = "-", label: str = "", **changes: Any) -> str:
        """Propose the next version's settings at a node: the change's id, or the answer that says why not."""
        body: dict[str, Any] = {"name": label or f"version {self.version + 1}"}
        if "members" not in changes:
            body["settings"] = {
                key: value
                for key, value in stated(self.version + 1).items()
                if key not in ("my_number", "n_instances", "zone")
            }
        text = json.dumps(body | changes).encode()
        if "settings" in body:
            self.proposed_ms.setdefault(self.version + 1, self.clock.now())
        answer = self.call(name, f"POLICY PROPOSE {len(text)} {made_from}", text)
        return str(json.loads(answer[4:])["id"]) if answer.startswith("+OK") else answer

    def outcome(self, name: str, change: str) -> tuple[str, str]:
        """What became of a change; waits until that is known."""
        found: list[tuple[str, str]] = []

        def known() -> bool:
            answer = self.call(name, f"POLICY OUTCOME {change}")
            if answer.startswith("+OK"):
                raw = json.loads(answer[4:])
                if raw["result"] != "under way":
                    found.append((raw["result"], raw["why"]))
            return bool(found)

        self.until(known, f"the outcome of {change[:8]}")
        return found[0]

    def in_force_everywhere(self, version: int, names: list[str] | None = None, most_ms: float = WAIT_MS) -> float:
        """Wait until a version is in force at nodes, as they log it."""
        names = names if names is not None else [name for name, node in self.nodes.items() if node.runs]
        return self.until(
            lambda: all(self.stands(name) == (version, "in force") and self._leased(name) for name in names),
            f"version {version} in force at {names}",
            most_ms,
        )

    def stands(self, name: str) -> tuple[int, str]:
        """Version and stage that a node has logged last since its start."""
        for line in reversed(self.nodes[name].lines):
            if " tier stage=" in line and " version=" in line:
                stage = line.split(" stage=")[1].split(" version=")[0]
                return int(line.split(" version=")[1].split()[0]), stage
        return 0, ""

    # ---- clients

    def probe(self, name: str, tag: str, patience_ms: int = 2_000) -> Seen | None:
        """Ask a node once for a class that only one of two versions has; None without an answer."""
        node, asked = self.nodes[name], self.clock.now()
        stream = Stream(self.scheduler, socket.socket(), ReceiveBuffer(most=64 * 1024))
        try:
            if not stream.dial(node.client, asked + 1_000.0):
                return None
            asked, number = self.clock.now(), len(self.seen)
            body = b'{"work_ms": 1.0}'
            stream.write(
                [
                    b"POST /%s HTTP/1.1\r\nHost: x\r\nRequest-Id: t%s-%d-%d\r\nRequest-Timeout-Ms: %d\r\n"
                    b"Connection: close\r\nContent-Length: %d\r\n\r\n"
                    % (tag.encode(), name.encode(), number, int(asked * 1000) % 10**9, patience_ms, len(body)),
                    body,
                ],
                asked + 1_000.0,
            )
            answer = read_answer(stream, asked + patience_ms + 3_000.0)
        except OSError:
            return None
        finally:
            stream.close()
        if answer is None:
            return None
        seen = Seen(name, tag, asked, self.clock.now(), answer.status)
        self.seen.append(seen)
        return seen

    def watch(self, names: list[str] | None = None) -> None:
        """Probe nodes over and over, both tags in turn, for as long as the rig runs."""

        def run(name: str, turn: int) -> None:
            while True:
                tag = TAGS[turn % 2]
                turn += 1
                if self.probe(name, tag) is None:
                    self.scheduler.wait(self.clock.now() + 5.0)

        for name in names or list(self.nodes):
            for turn in range(2):
                self.scheduler.spawn(lambda name=name, turn=turn: run(name, turn))  # type: ignore[misc]

    def load(self, per_s: float, until_ms: float = float("inf"), names: list[str] | None = None) -> list[LoadClients]:
        """Clients of the usual classes at each node; `stop_load` ends them."""
        self.ends_load = min(until_ms, float("inf"))
        for number, name in enumerate(names or list(self.nodes)):
            kinds: list[Kind] = site.kinds()
            model = Clients(settings_from(site.stated()), kinds, self.seed * 100 + number)
            model._count = number * 1_000_000
            node = self.nodes[name]
            load = LoadClients(self.scheduler, self.clock, model, node.client, self.audit, node.life)
            self.loads.append(load)

            def arrivals(load: LoadClients = load) -> None:
                while self.clock.now() < self.ends_load:
                    wanted = load.model.arrive(self.clock.now())
                    load.asked[wanted.kind.job_class] += 1
                    self.scheduler.spawn(lambda wanted=wanted: load.ask(wanted))  # type: ignore[misc]
                    self.scheduler.wait(self.clock.now() + load.model.gap_ms(per_s))

            self.scheduler.spawn(arrivals)
        return self.loads

    def stop_load(self) -> None:
        """Let no more clients come, and wait until all have heard."""
        self.ends_load = -1.0
        self.until(lambda: not any(load.open for load in self.loads), "all clients have heard", 15_000.0)

    # ---- the auditor

    def violations(self) -> list[str]:
        """What clients' answers prove against the rules: a version served after a later one was."""
        found = list(self.faults)
        proofs = sorted((seen for seen in self.seen if seen.status == 200), key=lambda seen: seen.answered_ms)
        # Versions alternate in their tags: a proof is of the newest version with its tag that was proposed by then.
        first: dict[int, Seen] = {}
        version = 1
        for seen in proofs:
            # The other tag than the one in force: of the next version, if it was asked for after that was proposed. An
            # answer to an earlier question may be of the version before the one in force, and late on its way.
            if TAGS.index(seen.tag) == version % 2 and self.proposed_ms.get(version + 1, math.inf) <= seen.asked_ms:
                version += 1
                first[version] = seen
        for seen in proofs:
            for number, earliest in first.items():
                older = TAGS.index(seen.tag) != (number + 1) % 2
                later = first.get(number + 1)
                if (
                    older
                    and seen.asked_ms > earliest.answered_ms
                    and (later is None or seen.answered_ms < later.asked_ms)
                ):
                    found.append(
                        f"{seen.node} admitted {seen.tag} {seen.asked_ms - earliest.answered_ms:.1f} ms after "
                        f"{earliest.node} had served version {number}"
                    )
        return found


def wall() -> float:
    """Wall time, for reports."""
    return time.time()


@dataclass(slots=True)
class Report:
    """What a run showed."""

    seed: int
    outcomes: list[tuple[str, str]] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    seconds: float = 0.0
    armed: int = 0  # faults that waited for a message
    fired: int = 0  # and those whose message came
