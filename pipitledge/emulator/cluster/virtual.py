"""A world in virtual time: machines with clocks, disks and links that fail as they are told to.

Nothing here sleeps, and one seed gives one history. Make a `World`, add machines, and start a program on each: a
function that is given a `Process` (the ports of one life of the machine's process) and builds its planes.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from typing import TypeVar

import msgspec
from msgspec import Struct

from pipitledge.emulator.cluster.disks import DiskModel, VirtualDisk
from pipitledge.emulator.cluster.links import Link
from pipitledge.runtime import message_body
from pipitledge.runtime.handlers import Handlers
from pipitledge.wire import codec

Action = Callable[[], None]
Program = Callable[["Process"], None]
AnyMessage = TypeVar("AnyMessage", bound=Struct)

DEFAULT_DELAY = 0.002  # seconds, one way
DEFAULT_JITTER = 0.002  # seconds, added at random
DEFAULT_WALL_MS = 1_700_000_000_000  # time of day at virtual time 0
HEAD_BYTES = 200  # of a call or an answer, beside its message


def copied(message: AnyMessage) -> AnyMessage:
    """A copy that shares nothing with `message`, as one that came over the wire."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=type(message))


class TooManyEvents(Exception):
    """More happened than a world was made for: something probably calls itself again and again."""


class VirtualTimer:
    """A timer in virtual time."""

    def __init__(self, action: Action) -> None:
        """Call `action` once."""
        self.action: Action | None = action

    def cancel(self) -> None:
        """Drop it."""
        self.action = None

    def fire(self) -> None:
        """Call it, unless dropped."""
        action, self.action = self.action, None
        if action is not None:
            action()


class World:
    """Virtual time, and the machines and links in it."""

    def __init__(self, seed: int = 0) -> None:
        """One seed gives one history."""
        self.random = random.Random(seed)
        self.time = 0.0
        self.machines: dict[str, Machine] = {}  # by name
        self.network = Fabric(self)
        self.event_limit = 0  # 0: none
        self.events_run = 0
        self._events: list[tuple[float, int, Action]] = []
        self._count = 0

    def machine(self, name: str, address: str = "", zone: str = "z1", region: str = "r1") -> Machine:
        """Add a machine; its address is its name unless given."""
        machine = Machine(self, name, address or name, zone, region)
        self.machines[name] = machine
        self.network.by_address[machine.address] = machine
        return machine

    def at(self, when: float, action: Action) -> None:
        """Run `action` at that virtual time."""
        self._count += 1
        heapq.heappush(self._events, (max(when, self.time), self._count, action))

    def after(self, delay: float, action: Action) -> None:
        """Run `action` after `delay` seconds."""
        self.at(self.time + delay, action)

    def run_for(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.run_until(self.time + seconds)

    def run_until(self, when: float) -> None:
        """Let virtual time pass up to `when`."""
        while self._events and self._events[0][0] <= when:
            self._step()
        self.time = max(self.time, when)

    def run_while(self, condition: Callable[[], bool], limit: float) -> bool:
        """Let time pass while `condition` holds, at most `limit` seconds; whether it ended in time."""
        end = self.time + limit
        while condition():
            if not self._events or self._events[0][0] > end:
                self.time = end
                return not condition()
            self._step()
        return True

    def _step(self) -> None:
        """Run the next event."""
        self.events_run += 1
        if 0 < self.event_limit < self.events_run:
            raise TooManyEvents(f"{self.events_run} events by {self.time:.3f} s")
        self.time, _, action = heapq.heappop(self._events)
        action()


class Fabric:
    """The links between machines: delay, loss and cuts, each direction by itself."""

    def __init__(self, world: World) -> None:
        """No link is cut."""
        self.world = world
        self.by_address: dict[str, Machine] = {}
        self.delay = DEFAULT_DELAY
        self.jitter = DEFAULT_JITTER
        self.datagram_loss = 0.0
        self.extra_delay: dict[tuple[str, str], float] = {}  # by names (from, to), seconds
        self.cuts: set[tuple[str, str]] = set()  # by names (from, to)
        self.links: dict[str, Link] = {}  # by name of the machine; those that are not here carry any load at once
        self._held: dict[tuple[str, str], list[Action]] = {}

    def cut(self, sender: str, receiver: str, both: bool = True) -> None:
        """Nothing passes from `sender` to `receiver` (and back)."""
        self.cuts.add((sender, receiver))
        if both:
            self.cuts.add((receiver, sender))

    def join(self, sender: str, receiver: str, both: bool = True) -> None:
        """Mend a cut; some of what TCP held up arrives now."""
        self._mend((sender, receiver))
        if both:
            self._mend((receiver, sender))

    def isolate(self, name: str) -> None:
        """Cut a machine off from all others."""
        for other in self.world.machines:
            if other != name:
                self.cut(name, other)

    def join_all(self) -> None:
        """Mend all cuts."""
        for pair in sorted(self.cuts):
            self._mend(pair)

    def _mend(self, pair: tuple[str, str]) -> None:
        self.cuts.discard(pair)
        for action in self._held.pop(pair, []):
            if self.world.random.random() < 0.7:
                self.world.after(self.latency(pair), action)

    def latency(self, pair: tuple[str, str]) -> float:
        """How long the next message takes."""
        return self.delay + self.jitter * self.world.random.random() + self.extra_delay.get(pair, 0.0)

    def carry(self, sender: Machine, receiver: Machine, action: Action, message: Struct | None = None) -> None:
        """Run `action` when bytes of a connection arrive, those of `message` if they are one; a cut holds them up."""
        pair = (sender.name, receiver.name)
        size = self._size_of(message) if self.links else 0
        left_at = self.left_at(sender.name, size)
        self.world.at(left_at + self.latency(pair), lambda: self._arrive(pair, size, action))

    def _arrive(self, pair: tuple[str, str], size: int, action: Action) -> None:
        if pair in self.cuts:
            self._held.setdefault(pair, []).append(action)
        else:
            self.take_in(pair[1], size, action)

    def _size_of(self, message: Struct | None) -> int:
        """Bytes that a call or an answer takes on its way, as processes send it."""
        return HEAD_BYTES + (len(message_body.compress(codec.encode(message)).data) if message is not None else 0)

    def left_at(self, name: str, size: int) -> float:
        """When the last of `size` bytes has left a machine by its link."""
        link = self.links.get(name)
        return self.world.time if link is None else link.outward.passed_at(self.world.time, size)

    def take_in(self, name: str, size: int, action: Action) -> None:
        """Run `action` once `size` bytes that have reached a machine's link have passed it."""
        link = self.links.get(name)
        if link is None:
            action()
        else:
            self.world.at(link.inward.passed_at(self.world.time, size), action)

    def throw(self, sender: Machine, receiver: Machine, action: Action, message: Struct | None = None) -> None:
        """Run `action` when a datagram arrives, which holds `message`; cuts and bad luck lose it."""
        pair = (sender.name, receiver.name)
        if pair not in self.cuts and self.world.random.random() >= self.datagram_loss:
            self.world.after(self.latency(pair), action)


class Machine:
    """A machine: power, a disk, a clock of its own, and one process at a time."""

    def __init__(self, world: World, name: str, address: str, zone: str, region: str) -> None:
        """Powered, with an empty disk, and no process."""
        self.world = world
        self.name = name
        self.address = address
        self.zone = zone
        self.region = region
        self.powered = True
        self.disk = DiskModel(world)
        self.diskless = False
        self.wall_offset_ms = 0
        self.clock_offset = world.random.uniform(0.0, 1000.0)
        self.clock_rate = 1.0
        self.process: Process | None = None
        self._program: Program | None = None

    def start(self, program: Program | None = None) -> Process:
        """Start the process (again); the program last given is used where none is."""
        self._program = program or self._program
        assert self._program is not None, "no program to start"
        if self.process is not None:
            self.kill()
        self.powered = True
        self.process = Process(self)
        self._program(self.process)
        return self.process

    def kill(self) -> None:
        """End the process at once; files stay as they are."""
        self._end_process()
        self.disk.process_died()
        if self.diskless:
            self.disk.wipe()

    def power_off(self) -> None:
        """Take the power away: what was not synced may be lost."""
        self._end_process()
        self.powered = False
        self.disk.power_lost()
        if self.diskless:
            self.disk.wipe()

    def wipe(self) -> None:
        """Lose the disk (and the process with it)."""
        self._end_process()
        self.powered = False
        self.disk.wipe()

    def freeze(self) -> None:
        """Stop the process; what is due or arrives is kept for it."""
        if self.process is not None:
            self.process.frozen = True

    def thaw(self) -> None:
        """Let a frozen process go on."""
        if self.process is not None:
            self.process.thaw()

    @property
    def running(self) -> bool:
        """Whether a process is there and not frozen."""
        return self.process is not None and not self.process.frozen

    def _end_process(self) -> None:
        if self.process is not None:
            self.process.alive = False
            self.process = None


class Process:
    """One life of a machine's process: the ports that its planes are built on."""

    def __init__(self, machine: Machine) -> None:
        """Begin a life on `machine`."""
        self.machine = machine
        self.world = machine.world
        self.alive = True
        self.frozen = False
        self.handlers = Handlers()
        self.random = random.Random(self.world.random.random())
        self.clock = VirtualClock(self)
        self.network = VirtualNetwork(self)
        self.recovered = machine.disk.recover()
        self.disk = VirtualDisk(self)
        self._deferred: list[tuple[bool, Action]] = []

    def deliver(self, action: Action, ordered: bool = False) -> None:
        """Run `action` in the process: not if it has ended, later if it is frozen."""
        if not self.alive:
            return
        if self.frozen:
            self._deferred.append((ordered, action))
        else:
            action()

    def thaw(self) -> None:
        """Go on: what waited runs in any order, only callbacks of the disk in theirs."""
        self.frozen = False
        waiting, self._deferred = self._deferred, []
        in_order = [action for ordered, action in waiting if ordered]
        slots = [ordered for ordered, _ in waiting]
        others = [action for ordered, action in waiting if not ordered]
        self.world.random.shuffle(slots)
        self.world.random.shuffle(others)
        for ordered in slots:
            self.world.after(0.0, self._later((in_order if ordered else others).pop(0), ordered))

    def _later(self, action: Action, ordered: bool) -> Action:
        return lambda: self.deliver(action, ordered)


class VirtualClock:
    """`Clock` of one process."""

    def __init__(self, process: Process) -> None:
        """The clock that `process` reads."""
        self._process = process
        self._machine = process.machine

    def now(self) -> float:
        """Steady time, seconds."""
        return self._machine.clock_offset + self._process.world.time * self._machine.clock_rate

    def wall_ms(self) -> int:
        """Time of day, milliseconds since 1970."""
        return DEFAULT_WALL_MS + int(self._process.world.time * 1000) + self._machine.wall_offset_ms

    def at(self, when: float, action: Action) -> VirtualTimer:
        """Call `action` once steady time reaches `when`."""
        timer = VirtualTimer(action)
        due = (when - self._machine.clock_offset) / self._machine.clock_rate
        while self._machine.clock_offset + due * self._machine.clock_rate < when:
            due = math.nextafter(due, math.inf)  # rounding must not put it before its time
        self._process.world.at(due, lambda: self._process.deliver(timer.fire))
        return timer


class VirtualNetwork:
    """`Network` of one process."""

    def __init__(self, process: Process) -> None:
        """The links as `process` uses them."""
        self._process = process
        self._fabric = process.world.network

    def call(self, address: str, request: Struct, timeout: float, on_reply: Callable[[Struct | None], None]) -> None:
        """Send `request`; None stands for a failure."""
        pending = VirtualTimer(lambda: None)
        call = _Call(self._process, on_reply, pending)
        self._process.world.after(timeout, lambda: call.answer(None))
        receiver = self._fabric.by_address.get(address)
        if receiver is not None:
            message = copied(request)
            self._fabric.carry(self._process.machine, receiver, lambda: _arrive(call, receiver, message), message)

    def datagram(self, address: str, message: Struct) -> None:
        """Send once; an address that is none is an error, as it is on sockets."""
        if not address:
            raise ValueError("a datagram to nobody")
        receiver = self._fabric.by_address.get(address)
        if receiver is None:
            return
        copy = copied(message)
        self._fabric.throw(self._process.machine, receiver, lambda: _take_datagram(receiver, copy), copy)


class _Call:
    """One call under way; answered once."""

    def __init__(self, caller: Process, on_reply: Callable[[Struct | None], None], open_mark: VirtualTimer) -> None:
        self.caller = caller
        self._on_reply = on_reply
        self._open = open_mark

    def answer(self, reply: Struct | None) -> None:
        if self._open.action is not None:
            self._open.cancel()
            self.caller.deliver(lambda: self._on_reply(reply))


def _arrive(call: _Call, receiver: Machine, message: Struct) -> None:
    """A request reached its machine."""
    fabric = receiver.world.network
    if not receiver.powered:
        return
    process = receiver.process
    if process is None:
        fabric.carry(receiver, call.caller.machine, lambda: call.answer(None))
        return

    def reply(answer: Struct) -> None:
        copy = copied(answer)
        if process.alive:
            fabric.carry(receiver, call.caller.machine, lambda: call.answer(copy), copy)

    def handle() -> None:
        if not process.handlers.call(message, reply):
            fabric.carry(receiver, call.caller.machine, lambda: call.answer(None))

    process.deliver(handle)


def _take_datagram(receiver: Machine, message: Struct) -> None:
    process = receiver.process
    if receiver.powered and process is not None:
        process.deliver(lambda: process.handlers.datagram(message))
