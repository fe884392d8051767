"""All processes of a deployment, built as the programs build them, on machines in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from pipitledge.agent.agent import Agent, AgentIdentity
from pipitledge.configuration.configuration_service import ConfigurationService
from pipitledge.configuration.data_plane import DataPlane
from pipitledge.emulator.cluster.deployment import HEARTBEAT_MS, ZONES, Deployment, WorkerPlan
from pipitledge.emulator.cluster.virtual import Machine, Process, World
from pipitledge.emulator.cluster.worker import Gangs, ModelCalls, ModelWorker, Onlooker
from pipitledge.ingress.control_plane_api import ControlPlaneApi
from pipitledge.ingress.ingress import Ingress
from pipitledge.ingress.local_admission import LocalAdmission
from pipitledge.ingress.readiness import Readiness
from pipitledge.ingress.redirect import BITS_PER_BYTE, BITS_PER_MEGABIT, LargeAnswerRedirects
from pipitledge.membership.bootstrap_gate import BootstrapGate
from pipitledge.membership.membership import Membership, internal_addresses
from pipitledge.membership.primary_caller import PrimaryCaller
from pipitledge.membership.relayed_calls import RelayedCalls
from pipitledge.replication.initial_members import register_diskless_seed
from pipitledge.replication.interface import PrimaryService
from pipitledge.replication.quorum import Tolerance
from pipitledge.replication.replica import Replica
from pipitledge.runtime.logs import EventLog
from pipitledge.scheduling.context import NodeIdentity, Ports, SchedulerTimings
from pipitledge.scheduling.scheduler import Scheduler
from pipitledge.wire.messages import NodeDescriptor

INTERNAL_PORT = 7_000
CONTROL_PORT = 8_080
WIDE_LINK_MBPS = 1_000.0  # of machines whose links are not named
AGENTS_CLASS = "side"
SEEDS = 3  # that settings name
CLOCK_SPREAD = 0.001  # steady clocks of machines differ by this share at most
INCARNATION_BITS = 48


class PrintedLog(EventLog):
    """Shows events with their virtual time, where that is asked for."""

    def __init__(self, world: World, name: str, printing: bool) -> None:
        """Of the process `name`."""
        self._world = world
        self._process = name
        self._printing = printing

    def info(self, event: str, **fields: object) -> None:
        """Take an ordinary event."""
        if self._printing:
            print(f"{self._world.time:8.3f} {self._process:4} {event} {fields}")

    def warning(self, event: str, **fields: object) -> None:
        """Take an event that operators may want to look at."""
        self.info(event, **fields)

    def error(self, event: str, **fields: object) -> None:
        """Take an event that operators have to look at."""
        self.info(event, **fields)


@dataclass(frozen=True)
class ProcessInfo:
    """One process, as its settings describe it."""

    name: str
    address: str
    zone: str
    region: str


@dataclass
class NodePlanes:
    """What one life of a node's process is made of."""

    process: Process
    ingress: Ingress
    control: ControlPlaneApi
    readiness: Readiness
    replica: Replica | None = None


@dataclass
class Site:
    """The machines of a deployment, and what runs there."""

    world: World
    deployment: Deployment
    onlooker: Onlooker
    printing: bool = False
    nodes: dict[str, NodePlanes] = field(default_factory=dict)
    agents: dict[str, Agent] = field(default_factory=dict)
    workers: dict[str, ModelWorker] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Set up the machines; nothing runs yet but the workers."""
        self._randomness = random.Random(self.world.random.random())
        self._seeds: list[str] = []
        for index, name in enumerate(self.deployment.edges):
            self._add_machine(name, f"10.0.0.{index + 1}", ZONES[index % len(ZONES)])
        seeds = self._randomness.sample(self.deployment.edges, min(SEEDS, len(self.deployment.edges)))
        self._seeds = [f"{self._ip(name)}:{CONTROL_PORT}" for name in seeds]
        gangs = Gangs(self.world, self.onlooker, self.deployment.bounds.gang_ms / 1_000.0)
        for index, plan in enumerate(self.deployment.workers):
            machine = self._add_machine(plan.node, f"10.0.1.{index + 1}", plan.zone)
            guards = self.deployment.guards[plan.service]
            worker = ModelWorker(self.world, plan, guards, self.deployment.bounds, self.onlooker, gangs)
            worker.agent = self._agent_of(machine)
            self.workers[plan.node] = worker

    def _add_machine(self, name: str, ip: str, zone: str) -> Machine:
        machine = self.world.machine(name, f"{ip}:{INTERNAL_PORT}", zone)
        machine.clock_rate = 1.0 + self.world.random.uniform(-CLOCK_SPREAD, CLOCK_SPREAD)
        machine.diskless = name not in self.deployment.counted
        return machine

    def _agent_of(self, machine: Machine) -> Callable[[], Agent | None]:
        return lambda: self.agents.get(machine.name) if machine.running else None

    def _ip(self, name: str) -> str:
        return self.world.machines[name].address.rpartition(":")[0]

    # ---- lives

    def start_all(self) -> None:
        """Start everything for the first time, within a second."""
        for name in self.world.machines:
            self.world.after(self.world.random.uniform(0.0, 1.0), self._starter(name, bootstrap=True))

    def restart(self, name: str) -> None:
        """Start a machine's process again, if it is not there."""
        if self.world.machines[name].process is None:
            self._starter(name, bootstrap=False)()

    def _starter(self, name: str, bootstrap: bool) -> Callable[[], None]:
        machine = self.world.machines[name]
        if name in self.workers:
            plan = self.workers[name].plan
            return lambda: _nothing(machine.start(lambda process: self._build_agent(process, plan)))
        return lambda: _nothing(machine.start(lambda process: self._build_node(process, bootstrap)))

    def living(self) -> list[str]:
        """Nodes whose processes run."""
        return [name for name in self.deployment.edges if self.world.machines[name].running]

    def primary(self) -> str | None:
        """The counted machine that leads, if one does."""
        for name in self.deployment.counted:
            planes = self.nodes.get(name)
            running = self.world.machines[name].running
            if running and planes is not None and planes.replica is not None and planes.replica.is_primary():
                return name
        return None

    # ---- processes

    def _log(self, name: str) -> PrintedLog:
        return PrintedLog(self.world, name, self.printing)

    def _membership(self, process: Process, counted: bool, bootstrap: bool, machine_class: str) -> Membership:
        machine = process.machine
        me = NodeDescriptor(
            name=machine.name,
            address=machine.address,
            zone=machine.zone,
            region=machine.region,
            machine_class=machine_class,
            counted=counted,
            bootstrap=bootstrap,
            incarnation=process.random.getrandbits(INCARNATION_BITS) | 1,
        )
        randomness = random.Random(process.random.random())
        membership = Membership(process.clock, process.network, randomness, me, self._seeds, INTERNAL_PORT)
        membership.register(process.handlers)
        return membership

    def _build_node(self, process: Process, bootstrap: bool) -> None:
        name, counted = process.machine.name, process.machine.name in self.deployment.counted
        log = self._log(name)
        membership = self._membership(process, counted, bootstrap and counted, "edge")
        relayed_calls = _relayed_calls(process, membership)
        replica = self._build_control(process, membership, relayed_calls, bootstrap) if counted else None
        if replica is None:
            register_diskless_seed(process.handlers, process.machine.address, bootstrap, membership)
        local = process.handlers.call if counted else None
        randomness = random.Random(process.random.random())
        caller = PrimaryCaller(
            process.clock, process.network, membership, randomness, local, name, None if counted else relayed_calls
        )
        data_plane = DataPlane(process.clock, caller, name, log, self.deployment.bounds)
        readiness = Readiness(data_plane)
        admission = LocalAdmission(data_plane)
        ingress = Ingress(caller, data_plane, admission, readiness, name, log)
        control = ControlPlaneApi(process.clock, caller, log, self._large_answer_redirects(membership, process.machine))
        self.nodes[name] = NodePlanes(process, ingress, control, readiness, replica)
        membership.start()
        if replica is not None:
            replica.start()
        data_plane.start()

    def _large_answer_redirects(self, membership: Membership, machine: Machine) -> LargeAnswerRedirects:
        link = self.world.network.links.get(machine.name)
        mbps = link.bytes_per_s * BITS_PER_BYTE / BITS_PER_MEGABIT if link is not None else WIDE_LINK_MBPS
        return LargeAnswerRedirects(membership, machine.name, f"{self._ip(machine.name)}:{CONTROL_PORT}", mbps)

    def node_at(self, location: str) -> str:
        """The node that takes operators' calls at a URL; empty if none does."""
        ip = location.removeprefix("http://").partition(":")[0]
        return next((name for name in self.deployment.edges if self._ip(name) == ip), "")

    def _build_control(
        self, process: Process, membership: Membership, relayed_calls: RelayedCalls, bootstrap: bool
    ) -> Replica:
        machine, log = process.machine, self._log(process.machine.name)
        services: list[PrimaryService] = []
        replica = Replica(
            process.clock,
            process.network,
            process.disk,
            process.recovered,
            random.Random(process.random.random()),
            ProcessInfo(machine.name, machine.address, machine.zone, machine.region),
            bootstrap,
            Tolerance(self.deployment.tolerated),
            membership,
            services,
            log,
            internal_addresses(self._seeds, INTERNAL_PORT),
            BootstrapGate(process.clock, membership, len(self._seeds)).open,
        )
        configuration_service = ConfigurationService(replica, log)
        ports = Ports(process.clock, relayed_calls, replica, configuration_service.current, process.clock.wall_ms, log)
        timings = SchedulerTimings(self.deployment.bounds, HEARTBEAT_MS / 1_000.0)

        def agents() -> list[str]:
            return [node.address for node in membership.nodes() if node.machine_class == AGENTS_CLASS]

        scheduler = Scheduler(ports, timings, NodeIdentity(machine.name, machine.address), agents)
        configuration_service.publish_usage(scheduler.usage)
        services += [configuration_service, scheduler]
        for plane in (replica, configuration_service, scheduler):
            plane.register(process.handlers)
        return replica

    def _build_agent(self, process: Process, plan: WorkerPlan) -> None:
        machine = process.machine
        membership = self._membership(process, False, False, AGENTS_CLASS)
        randomness = random.Random(process.random.random())
        relayed_calls = _relayed_calls(process, membership)
        caller = PrimaryCaller(
            process.clock, process.network, membership, randomness, None, machine.name, relayed_calls
        )
        identity = AgentIdentity(
            machine.name,
            machine.address,
            machine.zone,
            membership.me.incarnation,
            f"{machine.name}:80",
            plan.service,
        )
        agent = Agent(
            process.clock,
            ModelCalls(self.workers[machine.name], process),
            caller,
            membership,
            self.deployment.bounds,
            identity,
            HEARTBEAT_MS,
            self._log(machine.name),
        )
        agent.register(process.handlers)
        self.agents[machine.name] = agent
        membership.start()
        agent.start()


def _relayed_calls(process: Process, membership: Membership) -> RelayedCalls:
    """Calls by way of relays, for one process."""
    randomness = random.Random(process.random.random())
    relayed_calls = RelayedCalls(process.clock, process.network, membership, process.handlers, randomness)
    relayed_calls.register()
    return relayed_calls


def _nothing(_process: Process) -> None:
    """Drop the result of a start."""
