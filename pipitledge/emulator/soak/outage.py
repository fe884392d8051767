"""An outage of the core: counted nodes and agents are killed at once, and workers are lost or crash meanwhile."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping
from functools import partial
from random import Random

from msgspec import Struct

from pipitledge.emulator.cluster.deployment import WorkerPlan
from pipitledge.emulator.soak.plan import SoakPlan
from pipitledge.emulator.soak.processes import MachineProcess
from pipitledge.emulator.soak.record import Record
from pipitledge.emulator.soak.workers import SocketWorkers

BEGIN_SHARES = (0.2, 0.6)  # of the time of planned work
CORE_SECONDS = (7.0, 10.0)  # without a quorum
SPARED_PRIMARY_SHARE = 0.5  # of the outages that leave the primary alone; the others may also take it
AGENT_SECONDS = (0.3, 2.0)  # until a killed agent is started again
AGENT_SHARE = 0.4  # of the agents that are killed; one at the least
WORKER_SECONDS = (1.5, 5.0)  # after the kill, until a worker is lost
CRASH_SHARE = 0.2  # of the other workers that crash and come back
BACK_SECONDS = (0.1, 3.0)  # until a crashed worker is back
LOOK_SECONDS = 0.1


class OutagePlan(Struct, frozen=True):
    """What happens in one outage; times in seconds from its begin."""

    at_s: float  # after the begin of the planned work
    nodes: tuple[str, ...]  # counted, in the order in which they are chosen to be killed
    killed_nodes: int  # so many are killed at once; without them there is no quorum
    spares_primary: bool  # the node that leads is chosen last
    nodes_back_s: float
    agents: dict[str, float]  # killed with the nodes, and when each is started again
    lost_worker: str  # for good; empty: none can be spared
    lost_s: float
    crashes: dict[str, tuple[float, float]]  # other workers, when each crashes, and how long it takes to come back


def draw_outage(plan: SoakPlan) -> OutagePlan:
    """Draw the outage of a run."""
    random = Random(f"outage {plan.seed}")
    counted = [machine.name for machine in plan.machines if machine.counted]
    spares_primary = random.random() < SPARED_PRIMARY_SHARE
    majority = len(counted) // 2 + 1
    spared = [worker.node for worker in plan.deployment.workers if _can_be_spared(plan, worker)]
    lost = random.choice(spared) if spared else ""
    agents = [worker.node for worker in plan.deployment.workers if worker.node == lost or random.random() < AGENT_SHARE]
    others = [worker.node for worker in plan.deployment.workers if worker.node != lost]
    nodes_back_s = random.uniform(*CORE_SECONDS)
    return OutagePlan(
        at_s=plan.load.trouble_s * random.uniform(*BEGIN_SHARES),
        nodes=tuple(random.sample(counted, len(counted))),
        killed_nodes=majority if spares_primary else random.randint(majority, len(counted)),
        spares_primary=spares_primary,
        nodes_back_s=nodes_back_s,
        agents={name: random.uniform(*AGENT_SECONDS) for name in agents or others[:1]},
        lost_worker=lost,
        lost_s=random.uniform(*WORKER_SECONDS),
        crashes={
            name: (random.uniform(0.0, nodes_back_s), random.uniform(*BACK_SECONDS))
            for name in others
            if random.random() < CRASH_SHARE
        },
    )


def _can_be_spared(plan: SoakPlan, worker: WorkerPlan) -> bool:
    """Whether another worker of the service has its kind, which jobs may ask for."""
    peers = plan.deployment.of_service(worker.service)
    return any(peer is not worker and peer.labels[0] == worker.labels[0] for peer in peers)


class Outage:
    """Carries an outage out beside the planned work."""

    def __init__(
        self,
        plan: SoakPlan,
        processes: Mapping[str, MachineProcess],
        workers: SocketWorkers,
        record: Record,
    ) -> None:
        """Kill `processes`, and end `workers`."""
        self._plan = draw_outage(plan)
        self._processes = processes
        self._workers = workers
        self._record = record
        self._recovery_s = plan.deployment.bounds.recovery_s
        self._thread = threading.Thread(target=self._run, name="outage", daemon=True)

    def start(self) -> None:
        """Begin after the time that the plan says."""
        self._thread.start()

    def wait(self) -> None:
        """Wait until all that was killed has been started again."""
        self._thread.join()

    def _run(self) -> None:
        time.sleep(self._plan.at_s)
        begun_at = time.monotonic()
        self._record.outage_until = begun_at + self._plan.nodes_back_s + self._recovery_s
        self._kill()
        for at_s, action in sorted(self._worker_events(), key=lambda event: event[0]):
            time.sleep(max(0.0, begun_at + at_s - time.monotonic()))
            action()
        while not all(process.is_up for process in self._processes.values()):
            time.sleep(LOOK_SECONDS)
        self._record.note("all processes are back")
        self._record.outage_until = time.monotonic() + self._recovery_s

    def _kill(self) -> None:
        for name in self._nodes_to_kill():
            self._kill_one(name, self._plan.nodes_back_s)
        for name, back_s in self._plan.agents.items():
            self._kill_one(name, back_s)

    def _nodes_to_kill(self) -> list[str]:
        plan = self._plan
        nodes = list(plan.nodes)
        if plan.spares_primary:
            nodes.sort(key=lambda name: self._processes[name].leads())
        return nodes[: plan.killed_nodes]

    def _kill_one(self, name: str, back_s: float) -> None:
        if self._processes[name].kill(back_s):
            self._record.note(f"SIGKILL to {name}, back after {back_s:.1f} s")

    def _worker_events(self) -> list[tuple[float, Callable[[], None]]]:
        """What workers do, and when."""
        events: list[tuple[float, Callable[[], None]]] = [
            (at_s, partial(self._crash, name, back_s)) for name, (at_s, back_s) in self._plan.crashes.items()
        ]
        if self._plan.lost_worker:
            events.append((self._plan.lost_s, partial(self._crash, self._plan.lost_worker, None)))
        return events

    def _crash(self, name: str, back_s: float | None) -> None:
        self._workers.crash(name, back_s)
        self._record.note(f"worker {name} {'is lost for good' if back_s is None else f'crashes for {back_s:.1f} s'}")
