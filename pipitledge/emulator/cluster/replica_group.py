"""A group of whole replicas in virtual time, a client that writes to it, and what must always hold."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from pipitledge.emulator.cluster.virtual import Machine, Process, World
from pipitledge.replication.quorum import Tolerance
from pipitledge.replication.replica import Replica
from pipitledge.wire.messages import NodeDescriptor, View, Write

GOSSIP_SECONDS = 1.0
SEEDS = 3
CLOCK_SPREAD = 0.005  # of machines' clock rates, to either side
FOUNDING_SECONDS = 10.0


class SilentLog:
    """Drops events."""

    def info(self, event: str, **fields: object) -> None:
        """Drop it."""

    def warning(self, event: str, **fields: object) -> None:
        """Drop it."""


class PrintingLog:
    """Shows events, to look into a failed seed."""

    def __init__(self, world: World, name: str) -> None:
        """Show what the machine of that name tells."""
        self._world = world
        self._name = name

    def info(self, event: str, **fields: object) -> None:
        """Show it."""
        print(f"{self._world.time:8.3f} {self._name:4} {event} {fields}")

    warning = info


class GroupMembership:
    """Knows all nodes that ever started in the group, or those of a part of it; views spread slowly."""

    def __init__(self, group: ReplicaGroup, machine: Machine) -> None:
        """What the process on `machine` knows."""
        self._group = group
        self._machine = machine
        self.view: View | None = None

    def counted(self) -> list[NodeDescriptor]:
        """All that started so far, itself among them."""
        for name, replica in self._group.replicas.items():
            self._group.descriptors[name].bootstrap = replica.awaits_bootstrap
        known = self._group.groups.get(self._machine.name)
        return [node for name, node in self._group.descriptors.items() if known is None or name in known]

    def offer_view(self, view: View) -> None:
        """Take note of a decided view."""
        if self.view is None or view.epoch > self.view.epoch:
            self.view = view


@dataclass
class Info:
    """A node as its settings describe it."""

    name: str
    address: str
    zone: str
    region: str


class RecordingService:
    """Notes when it is activated, and with what."""

    def __init__(self) -> None:
        """Not active yet."""
        self.active = False
        self.state: dict[str, bytes] = {}
        self.terms: list[int] = []

    def activated(self, term: int, state: Mapping[str, bytes]) -> None:
        """This node has become primary."""
        assert not self.active
        self.active = True
        self.terms.append(term)
        self.state = dict(state)

    def deactivated(self) -> None:
        """This node is primary no longer."""
        assert self.active
        self.active = False


class ReplicaGroup:
    """Counted machines `n0`, `n1`, ... with a replica each."""

    def __init__(
        self,
        size: int,
        machines: int = 1,
        zones: int = 0,
        seed: int = 0,
        printing: bool = False,
        drift: bool = True,
        world: World | None = None,
    ) -> None:
        """So many members of which so many `machines` (or zones) may be lost; nothing runs yet."""
        self.world = world or World(seed)
        self.tolerance = Tolerance(machines=machines, zones=zones)
        self.printing = printing
        self.drift = drift
        self.descriptors: dict[str, NodeDescriptor] = {}
        self.replicas: dict[str, Replica] = {}
        self.services: dict[str, RecordingService] = {}
        self.memberships: dict[str, GroupMembership] = {}
        self.machines: dict[str, Machine] = {}
        self.groups: dict[str, set[str]] = {}  # whom a machine knows of; left out: everybody
        self.seeds = [f"n{index}" for index in range(min(size, SEEDS))]
        for index in range(size):
            self.add(f"n{index}", zone=f"z{index % 3}")
        self.world.after(GOSSIP_SECONDS, self._gossip)

    def add(self, name: str, zone: str = "z0", address: str = "") -> Machine:
        """Set up another machine."""
        machine = self.world.machine(name, address, zone)
        if self.drift:
            machine.clock_rate = 1.0 + self.world.random.uniform(-CLOCK_SPREAD, CLOCK_SPREAD)
        self.machines[name] = machine
        return machine

    # ---- lives

    def start(self, name: str, bootstrap: bool = False) -> Replica:
        """Start the process on a machine (again)."""
        self.machines[name].start(lambda process: self._build(process, bootstrap))
        return self.replicas[name]

    def start_all(self, bootstrap: bool = False) -> None:
        """Start all machines' processes."""
        for name in self.machines:
            self.start(name, bootstrap)

    def found(self) -> str:
        """Start all for the first time, and wait for the primary."""
        self.start_all(bootstrap=True)
        return self.await_primary(FOUNDING_SECONDS)

    def forget(self, name: str) -> None:
        """A machine is gone for good: nobody is told of it any more."""
        self.descriptors.pop(name, None)
        self.replicas.pop(name, None)

    def _build(self, process: Process, bootstrap: bool) -> None:
        machine = process.machine
        name = machine.name
        self.replicas.pop(name, None)
        self.descriptors[name] = NodeDescriptor(
            name=name,
            address=machine.address,
            zone=machine.zone,
            region=machine.region,
            counted=True,
            bootstrap=bootstrap,
        )
        membership = GroupMembership(self, machine)
        service = RecordingService()
        replica = Replica(
            process.clock,
            process.network,
            process.disk,
            process.recovered,
            process.random,
            Info(name, machine.address, machine.zone, machine.region),
            bootstrap,
            self.tolerance,
            membership,
            [service],
            PrintingLog(self.world, name) if self.printing else SilentLog(),
            seeds=[self.machines[seed].address for seed in self.seeds],
        )
        replica.register(process.handlers)
        self.replicas[name] = replica
        self.services[name] = service
        self.memberships[name] = membership
        replica.start()

    def _gossip(self) -> None:
        self.world.after(GOSSIP_SECONDS, self._gossip)
        running = [name for name, machine in self.machines.items() if machine.running]
        for name in running:
            other = self.world.random.choice(running)
            view = self.memberships[name].view
            if view is not None and (name, other) not in self.world.network.cuts:
                self.memberships[other].offer_view(view)

    # ---- looking

    def living(self) -> Iterator[tuple[str, Replica]]:
        """Machines whose processes run, with their replicas."""
        for name, machine in self.machines.items():
            if machine.running:
                yield name, self.replicas[name]

    def primaries(self) -> list[str]:
        """All that believe to be primary now, frozen ones too."""
        return [
            name
            for name, machine in self.machines.items()
            if machine.process is not None and self.replicas[name].is_primary()
        ]

    def primary(self) -> str | None:
        """The one that leads and runs, if there is one."""
        return next((name for name, replica in self.living() if replica.is_primary()), None)

    def await_primary(self, limit: float, other_than: str = "") -> str:
        """Wait for a primary; AssertionError after `limit` seconds."""
        self.world.run_while(lambda: self.primary() in (None, other_than), limit)
        name = self.primary()
        assert name is not None and name != other_than, f"no primary after {limit} s"
        return name

    def await_in_sync(self, names: set[str], limit: float) -> None:
        """Wait until the view in force has that in-sync set, and a primary."""
        done = self.world.run_while(lambda: self._in_sync() != names, limit)
        assert done, f"in-sync set {self._in_sync()} instead of {names} after {limit} s"

    def _in_sync(self) -> set[str] | None:
        name = self.primary()
        view = self.replicas[name].view if name is not None else None
        return set(view.in_sync) if view is not None else None

    def view(self) -> View:
        """The view of the primary."""
        name = self.primary()
        assert name is not None
        view = self.replicas[name].view
        assert view is not None
        return view

    def state(self, name: str) -> dict[str, bytes]:
        """What a replica holds."""
        return self.replicas[name]._store.map.as_dict()

    def disk_ids(self) -> dict[str, int]:
        """The disks of all replicas."""
        return {name: replica._env.me.disk_id for name, replica in self.replicas.items()}


class Client:
    """Writes numbers to keys, and knows what was acknowledged."""

    def __init__(self, group: ReplicaGroup, keys: int = 20, size: int = 0) -> None:
        """Write to so many keys in turn, values of `size` bytes and a few more."""
        self.size = size
        self.cluster = group
        self.keys = keys
        self.count = 0
        self.acknowledged: dict[str, int] = {}  # key -> highest number
        self.acks: list[tuple[float, int]] = []  # (time, term)
        self._stopped = False

    def write(self, name: str, size: int = 0, on_ack: Callable[[], None] | None = None) -> int:
        """Write the next number through that node."""
        self.count += 1
        number = self.count
        key = f"key/{number % self.keys}"
        replica = self.cluster.replicas[name]
        term = replica.term

        def acked() -> None:
            self.acknowledged[key] = max(self.acknowledged.get(key, 0), number)
            self.acks.append((self.cluster.world.time, term))
            if on_ack is not None:
                on_ack()

        replica.write([Write(key=key, value=b"%d " % number + b"x" * size)], acked)
        return number

    def write_and_wait(self, name: str, limit: float = 5.0) -> bool:
        """Whether a write was acknowledged in time."""
        acked: list[bool] = []
        self.write(name, on_ack=lambda: acked.append(True))
        return self.cluster.world.run_while(lambda: not acked, limit)

    def run(self, interval: float) -> None:
        """Write all the time, through whoever claims to be primary."""
        if self._stopped:
            return
        for name in self.cluster.primaries():
            machine = self.cluster.machines[name]
            if machine.running:
                self.write(name, self.size)
        self.cluster.world.after(interval, lambda: self.run(interval))

    def stop(self) -> None:
        """Write no more."""
        self._stopped = True

    def missing(self, state: Mapping[str, bytes]) -> list[str]:
        """Keys whose acknowledged number, or a later one, is not in `state`."""
        return [key for key, number in self.acknowledged.items() if _number(state.get(key)) < number]


def _number(value: bytes | None) -> int:
    return int(value.split()[0]) if value is not None else 0


class Invariants:
    """Looks at the group every few milliseconds."""

    def __init__(self, group: ReplicaGroup, client: Client, interval: float = 0.05) -> None:
        """Begin to look, every `interval` seconds."""
        self.cluster = group
        self.client = client
        self.interval = interval
        self.problems: list[str] = []
        self._watch()

    def _watch(self) -> None:
        world = self.cluster.world
        world.after(self.interval, self._watch)
        primaries = self.cluster.primaries()
        if len(primaries) > 1:
            self.problems.append(f"{world.time:.3f}: two primaries {primaries}")
        for name in primaries:
            missing = self.client.missing(self.cluster.state(name))
            if missing:
                self.problems.append(f"{world.time:.3f}: primary {name} lacks {missing}")

    def check(self) -> None:
        """Fail with what was seen."""
        terms = [term for _, term in self.client.acks]
        if terms != sorted(terms):
            self.problems.append("acknowledged by an older term after a newer one")
        assert not self.problems, self.problems[:5]
