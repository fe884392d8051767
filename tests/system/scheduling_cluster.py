"""A cluster for the scheduler tests, in virtual time: model workers, real agents, and a primary.

A judge with a global view of the cluster checks every start and records each rule that is broken. Replicated state is a
fake: batches are committed after a delay, and a new primary gets those that were committed.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from msgspec import Struct

from pipitledge.agent.agent import Agent, AgentIdentity
from pipitledge.configuration.model import Configuration, Route, Service
from pipitledge.emulator.cluster.deployment import HOST, WorkerPlan
from pipitledge.emulator.cluster.worker import Gangs, LiveRun, ModelCalls, ModelWorker
from pipitledge.runtime.settings import Bounds
from pipitledge.scheduling.context import NodeIdentity, Ports, SchedulerTimings
from pipitledge.scheduling.scheduler import Scheduler
from pipitledge.wire.messages import AgentReport, CallKind, ClientCall, ClientReply, NotPrimary, View
from tests.system.fake_replicator import FakeReplicator
from tests.system.start_judge import Judge
from tests.system.virtual import Machine, Process, World

HEARTBEAT_S = 1.5
PROGRESS_INTERVAL_S = 0.02  # between two updates of the progress of a run
SERVICE = "render"
URGENT = Route("urgent", HOST, "/urgent/", SERVICE, priority=0, max_attempts=3, stretch=1.5, target_latency_ms=500)
PLAIN = Route("plain", HOST, "/plain/", SERVICE, priority=1, max_attempts=3, stretch=3.0, target_latency_ms=1_000)
ROUTES = (URGENT, PLAIN)
BOUNDS = Bounds(hold_max_ms=6_000.0, gang_ms=3_000.0)


@dataclass
class Behaviour:
    """How the tasks of a job actually behave."""

    work_s: float = 1.0
    fails: Callable[[str, int, str], bool] = lambda task, run, node: False


@dataclass
class Outcome:
    """Result of a call to the primary."""

    reply: Struct | None = None
    may_have_run: bool = True


class PrimaryCalls:
    """Calls from one agent process to the current primary."""

    def __init__(self, cluster: Cluster, process: Process) -> None:
        self._cluster = cluster
        self._process = process

    def call(self, request: Struct, timeout_s: float, on_done: Callable[[Outcome], None]) -> None:
        primary = self._cluster.primary
        address = primary.machine.address if primary is not None else "nobody"
        self._process.network.call(address, request, timeout_s, lambda reply: on_done(Outcome(reply)))


class Primary:
    """One primary, from its promotion until it is demoted."""

    def __init__(self, cluster: Cluster, process: Process) -> None:
        self.machine: Machine = process.machine
        self.process = process
        self.replicator = FakeReplicator(cluster, process, cluster.term)
        ports = Ports(
            process.clock, process.network, self.replicator, lambda: cluster.configuration, cluster.wall_ms, cluster.log
        )
        identity = NodeIdentity(self.machine.name, self.machine.address)
        addresses = [worker.node for worker in cluster.workers]
        self.scheduler = Scheduler(ports, SchedulerTimings(cluster.bounds, HEARTBEAT_S), identity, lambda: addresses)
        self.scheduler.register(process.handlers)


class EventRecorder:
    """An event log that records all events."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, object]]] = []

    def info(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))

    def warning(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))


class IgnoredViews:
    """Membership that ignores the views it is offered."""

    def offer_view(self, view: View) -> None:
        pass


class Cluster:
    """Workers with their agents, and at most one primary at a time."""

    def __init__(self, seed: int = 0, workers: int = 4, bounds: Bounds = BOUNDS, racks: int = 2) -> None:
        self.world = World(seed)
        self.bounds = bounds
        self.log = EventRecorder()
        self.configuration: Configuration | None = Configuration(1, ROUTES, (Service(SERVICE),))
        self.state: dict[str, bytes] = {}
        self.term = 0
        self.primary: Primary | None = None
        self.judge = Judge(self)
        self.bodies: dict[str, dict[str, Any]] = {}
        self.route_of: dict[str, Route] = {}
        self.cancelled: dict[str, float] = {}
        self.behaviours: dict[str, Behaviour] = {}
        self.wall_offset_ms = 0
        self._gangs = Gangs(self.world, self.judge, bounds.gang_ms / 1_000.0)
        self.agents: dict[str, Agent] = {}
        self.disconnected_until: dict[str, float] = {}  # by node, when its link was last restored, or will be
        self.workers: list[ModelWorker] = []
        self._incarnations = 0
        for index in range(workers):
            self.add_worker(f"w{index}", ["a" if index % 2 else "b", f"r1-{index % racks}"])

    def add_worker(self, node: str, labels: list[str], cpu: int = 8_000, gpu: int = 4) -> ModelWorker:
        """Add a worker with its agent."""
        kind, rack = labels
        plan = WorkerPlan(node, SERVICE, (kind, rack), "z1", {"cpu": cpu, "memoryLimitMb": 16_384, "gpu": gpu})
        worker = ModelWorker(self.world, plan, False, self.bounds, self.judge, self._gangs)
        worker.look_every_s = PROGRESS_INTERVAL_S
        machine = self.world.machine(node)
        worker.agent = lambda: self.agents.get(node) if machine.running else None
        self.workers.append(worker)
        machine.start(lambda process: self._start_agent(worker, process))
        return worker

    def _start_agent(self, worker: ModelWorker, process: Process) -> None:
        self._incarnations += 1
        identity = AgentIdentity(worker.node, worker.node, "z1", self._incarnations, f"{worker.node}:80", SERVICE)
        agent = Agent(
            process.clock,
            ModelCalls(worker, process),
            PrimaryCalls(self, process),
            IgnoredViews(),
            self.bounds,
            identity,
            HEARTBEAT_S * 1_000.0,
            self.log,
        )
        self.agents[worker.node] = agent
        agent.register(process.handlers)
        agent.start()

    def disconnect_agent(self, node: str, seconds: float) -> None:
        """Disconnect an agent from the network for a while."""
        self.world.network.isolate(node)
        self.disconnected_until[node] = max(self.disconnected_until.get(node, 0.0), self.world.time + seconds)
        self.world.after(seconds, self._reconnect)

    def _reconnect(self) -> None:
        """Restore the links between nodes that are no longer disconnected."""
        network = self.world.network
        for pair in sorted(network.cuts):
            if all(self.world.time >= self.disconnected_until.get(node, 0.0) for node in pair):
                network.join(*pair)

    def reachable(self, node: str) -> bool:
        """Return whether the link of an agent has been up for at least the contact time."""
        reconnected_at = self.disconnected_until.get(node)
        return reconnected_at is None or self.world.time > reconnected_at + self.bounds.contact_ms / 1_000.0

    def live_workers(self) -> list[ModelWorker]:
        return [worker for worker in self.workers if worker.up]

    def worker(self, node: str) -> ModelWorker:
        return next(worker for worker in self.workers if worker.node == node)

    def wall_ms(self) -> int:
        return 1_700_000_000_000 + int(self.world.time * 1_000.0) + self.wall_offset_ms

    def run(self, seconds: float) -> None:
        self.world.run_for(seconds)

    # ---- the primary

    def promote(self) -> Primary:
        """Start a new primary; the old one, if any, is killed."""
        if self.primary is not None:
            self.demote()
        self.term += 1
        machine = self.world.machine(f"p{self.term}")
        machine.start(self._start_primary)
        assert self.primary is not None
        self.primary.scheduler.activated(self.term, dict(self.state))
        return self.primary

    def demote(self) -> None:
        """Kill the primary; a random first part of its uncommitted batches is committed all the same."""
        old, self.primary = self.primary, None
        if old is not None:
            old.replicator.settle()
            old.replicator.leads = False
            old.scheduler.deactivated()
            old.machine.kill()

    def _start_primary(self, process: Process) -> None:
        self.primary = Primary(self, process)

    # ---- clients

    def call(self, kind: CallKind, path: str, body: bytes = b"") -> list[Struct]:
        """Make a client call to the primary; its answer is appended to the returned list."""
        replies: list[Struct] = []
        if self.primary is not None:
            call = ClientCall(kind=int(kind), host=HOST, path=path, body=body)
            self.primary.process.handlers.call(call, replies.append)
        return replies

    def submit(
        self, job: str, body: dict[str, Any], route: Route = PLAIN, behaviour: Behaviour | None = None
    ) -> list[Struct]:
        """Submit a job once."""
        body.setdefault("spec", f"spec of {job}")
        self.bodies[job] = body
        self.route_of[job] = route
        self.behaviours[job] = behaviour or Behaviour()
        return self.call(CallKind.SUBMIT, route.path_prefix + job, json.dumps(body).encode())

    def submit_until_accepted(self, job: str, body: dict[str, Any], route: Route, behaviour: Behaviour) -> None:
        """Submit a job repeatedly, as clients do, until it is accepted."""
        replies = self.submit(job, body, route, behaviour)

        def check() -> None:
            if not any(isinstance(reply, ClientReply) and reply.status == 200 for reply in replies):
                self.submit_until_accepted(job, body, route, behaviour)

        self.world.after(0.3, check)

    def cancel(self, job: str) -> None:
        """Cancel a job, repeatedly until that is acknowledged, and record the time of the acknowledgement."""
        replies = self.call(CallKind.CANCEL, self.route_of[job].path_prefix + job)

        def check() -> None:
            if any(isinstance(reply, ClientReply) and reply.status == 200 for reply in replies):
                self.cancelled.setdefault(job, self.world.time)
            else:
                self.cancel(job)

        self.world.after(0.3, check)

    def job_state(self, job: str) -> str:
        """Return the state of a job as a client gets it, or the status if it is not 200; empty without an answer."""
        replies = self.call(CallKind.STATE, self.route_of[job].path_prefix + job)
        self.world.run_while(lambda: not replies, 1.0)
        reply = replies[0] if replies else None
        if not isinstance(reply, ClientReply):
            return ""
        return json.loads(reply.body)["state"] if reply.status == 200 else str(reply.status)

    def wait_for(self, job: str, state: str, limit: float) -> bool:
        """Let time pass until a job is in that state, at most `limit` seconds; return whether it is."""
        end = self.world.time + limit
        while self.world.time < end:
            if self.job_state(job) == state:
                return True
            self.run(0.1)
        return False

    # ---- global view, for the judge

    def stage(self, task: str) -> dict[str, Any]:
        """Return the submitted stage of a task, with defaults for the fields that are left out."""
        job, _, stage, _ = task.split(".")
        submitted = self.bodies[job]["stages"][int(stage)]
        defaults = {"cpu": 0, "memoryLimitMb": 0, "gpu": 0, "antiAffinity": 0, "nodeSelector": "", "affinity": ""}
        flags = {"gang": False, "checkpoints": False, "longRunning": False, "speculative": False}
        return {**defaults, **flags, **submitted}

    def behaviour(self, task: str) -> Behaviour:
        return self.behaviours[task.split(".")[0]]

    def runs_of(self, job: str) -> list[tuple[str, LiveRun]]:
        """Return all runs of a job on workers that are up, with their nodes."""
        return [
            (worker.node, live)
            for worker in self.live_workers()
            for live in worker.life.running.values()
            if live.task.startswith(job + ".")
        ]

    def node_of_run(self, task: str, run: int) -> str:
        """Return the node that one run of a task is on; empty if it is on none."""
        places = self.runs_of(task.split(".")[0])
        return next((node for node, live in places if (live.task, live.run) == (task, run)), "")

    def node_of(self, task: str) -> str:
        """Return the node that a task runs on; empty if it does not run."""
        return next((worker.node for worker in self.live_workers() if task in worker.life.running), "")


def started(cluster: Cluster, seed: int = 0) -> Cluster:
    """Promote a primary, and wait until the agents have found it."""
    cluster.promote()
    cluster.run(2.5)
    return cluster


def job_id(number: int) -> str:
    """Return a job ID as clients choose them."""
    return f"{number:016x}"


def is_reply(message: Struct) -> bool:
    """Return whether a message answers a client."""
    return isinstance(message, ClientReply | NotPrimary | AgentReport)
