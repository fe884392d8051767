"""What a soak run is played on: machines with addresses of their own, their settings files, and the load."""

from __future__ import annotations

import json
import os
from pathlib import Path
from random import Random

from msgspec import Struct

from pipitledge.emulator.cluster.deployment import HEARTBEAT_MS, ZONES, Deployment, Queue, WorkerPlan
from pipitledge.runtime.settings import Bounds

# Every machine has an address of its own, and ports lie below those that the kernel hands out for connections: no other
# process can take one, however many runs and tests there are.
FRONTEND_PORT, READINESS_PORT, CONTROL_PORT, WORKER_PORT = 8144, 8140, 8146, 8150
INTERNAL_PORTS = (7660, 7675)
NODE_MODULE, AGENT_MODULE = "pipitledge.programs.node", "pipitledge.programs.agent"
SEEDS = 3
PLAIN_EDGES = 2  # nodes without a disk
SERVICES = ("render", "pack")
GRACE_S = 6.0
MACHINES_PER_NET = 250


class Load(Struct, frozen=True):
    """How hard a run is pressed."""

    trouble_s: float = 30.0  # for how long planned work goes on
    series_s: float = 1.5  # mean pause between two pieces of planned work
    kept: int = 48  # connections that clients keep open and use
    calls_per_s: float = 100.0
    workers: int = 6
    outage: bool = True  # whether the core is without a quorum for a while
    late_share: float = 0.03  # of the workers' heartbeats, and of the calls to them, that come or are executed late


class MachinePlan(Struct, frozen=True):
    """One machine with its single process."""

    name: str
    module: str
    ip: str
    zone: str
    counted: bool = False
    service: str = ""

    @property
    def is_node(self) -> bool:
        """Whether it takes clients' calls."""
        return self.module == NODE_MODULE

    @property
    def frontend(self) -> str:
        """Where clients call it."""
        return f"{self.ip}:{FRONTEND_PORT}"

    @property
    def readiness(self) -> str:
        """Where the platform asks whether to send it clients."""
        return f"{self.ip}:{READINESS_PORT}"

    @property
    def control_plane(self) -> str:
        """Where operators, or its worker, call it."""
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def worker(self) -> str:
        """Where the worker beside it listens."""
        return f"{self.ip}:{WORKER_PORT}"


class SoakPlan(Struct, frozen=True):
    """Machines, and what they are used for."""

    seed: int
    load: Load
    deployment: Deployment
    machines: tuple[MachinePlan, ...]

    @property
    def nodes(self) -> list[MachinePlan]:
        """Machines that take clients' calls."""
        return [machine for machine in self.machines if machine.is_node]

    @property
    def agents(self) -> list[MachinePlan]:
        """Machines with a worker."""
        return [machine for machine in self.machines if not machine.is_node]


def draw_plan(seed: int, load: Load) -> SoakPlan:
    """Draw the run of that seed."""
    random = Random(f"soak {seed}")
    counted = ("n0", "n1", "n2")
    edges = (*counted, *(f"e{index}" for index in range(PLAIN_EDGES)))
    workers = tuple(
        WorkerPlan(
            f"s{index}",
            SERVICES[index % len(SERVICES)],
            (random.choice("ab") if index >= len(SERVICES) else "a", f"r1-{index % 3}"),
            ZONES[index % len(ZONES)],
            {"cpu": 16_000, "memoryLimitMb": 16_384, "gpu": 4},
        )
        for index in range(load.workers)
    )
    queues = tuple(
        Queue(f"q{index}", f"/q{index}/", SERVICES[index % len(SERVICES)], index // 2, 3, 2.2, 1_000)
        for index in range(2 * len(SERVICES))
    )
    deployment = Deployment(
        counted, edges, 1, workers, queues, {service: False for service in SERVICES}, Bounds(grace_s=GRACE_S)
    )
    return SoakPlan(seed, load, deployment, tuple(_machines(deployment)))


def _machines(deployment: Deployment) -> list[MachinePlan]:
    """Give every machine an address that no other run on this computer has."""
    run = os.getpid() & 0xFFFF
    net = f"127.{1 + run % 250}.{run // 250 % 256}"
    machines = [
        MachinePlan(name, NODE_MODULE, f"{net}.{1 + index}", ZONES[index % len(ZONES)], name in deployment.counted)
        for index, name in enumerate(deployment.edges)
    ]
    first = 1 + len(machines)
    if first + len(deployment.workers) > MACHINES_PER_NET:
        raise ValueError(f"a run has at most {MACHINES_PER_NET} machines")
    for index, worker in enumerate(deployment.workers):
        ip = f"{net}.{first + index}"
        machines.append(MachinePlan(worker.node, AGENT_MODULE, ip, worker.zone, service=worker.service))
    return machines


def settings_text(plan: SoakPlan, machine: MachinePlan, folder: Path, seeds: list[str], bootstrap: bool) -> str:
    """The settings file of a machine's process, as TOML (JSON's texts, lists and numbers are TOML's, too)."""
    bind = {"controlPlane": machine.control_plane}
    if machine.is_node:
        bind |= {"frontend": machine.frontend, "readiness": machine.readiness}
    top: dict[str, object] = {
        "nodeName": machine.name,
        "role": "node" if machine.is_node else "agent",
        "machineClass": "edge" if machine.is_node else "side",
        "serves": ["edge", "control_plane"] if machine.is_node else ["side"],
        "ip": machine.ip,
        "zone": machine.zone,
        "region": "r1",
        "internalPortRange": list(INTERNAL_PORTS),
        "seeds": seeds,
        "bootstrap": bootstrap,
        "countsForQuorum": machine.counted,
        "dataDir": str(folder / "data") if machine.counted else "",
        "heartbeatMs": HEARTBEAT_MS,
        "commands": "rpc",
        "app": "" if machine.is_node else machine.worker,
        "service": machine.service,
    }
    tables: dict[str, dict[str, object]] = {
        "bindAddrs": dict(bind),
        "limits": {"memoryMb": 300, "maxFds": 4_100, "diskMb": 128},
        "faultTolerance": {"machines": plan.deployment.tolerated},
        "bounds": {"graceS": plan.deployment.bounds.grace_s, "holdMaxMs": plan.deployment.bounds.hold_max_ms},
    }
    lines = [f"{key} = {json.dumps(value)}" for key, value in top.items()]
    for name, table in tables.items():
        lines += [f"[{name}]", *(f"{key} = {json.dumps(value)}" for key, value in table.items())]
    return "\n".join(lines) + "\n"
