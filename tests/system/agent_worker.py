"""Models of a worker (as PROTOCOL.md specifies it) and of a primary, in virtual time, for tests of the agent.

The worker has its own clock. A test can make it lose calls, execute them late, crash or drain. It ends runs when their
leases expire, and records all calls of an agent and all runs that it started.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from msgspec import Struct

from pipitledge.agent.agent import Agent, AgentIdentity
from pipitledge.runtime.ports import WorkerResponse
from pipitledge.runtime.settings import Bounds
from pipitledge.wire.messages import AgentOrders, AgentReport, OrdersReply, StartOrder, StopOrder, View
from tests.system.virtual import Machine, Process, World, copied

WIRE_DELAY = 0.001
HEARTBEAT_S = 1.5
CONTROL_DELAY = 0.004
NODE = "side-1"


@dataclass
class Run:
    """One run on the worker."""

    task: str
    run: int
    stopping: bool = False
    saved: str = ""


@dataclass
class Sent:
    """One call that an agent sent."""

    at: float
    path: str
    body: dict[str, Any]
    instance: str

    @property
    def kind(self) -> str:
        return self.path.rsplit("/", 1)[1]


@dataclass
class StartedRun:
    """One run that the worker started."""

    at: float
    instance: str
    task: str
    run: int


@dataclass
class LostCall:
    """What happens to a call that gets no answer."""

    executed_after_s: float | None = None  # seconds; None: it is never executed


@dataclass
class InstanceModel:
    """The state of one worker instance."""

    instance: str
    clock_offset_ms: float
    fence: int = 0
    deadline_ms: float = 0.0
    running: dict[str, Run] = field(default_factory=dict)
    highest_barred_run: dict[str, int] = field(default_factory=dict)  # task -> runs up to this number never start
    ends: list[tuple[int, str, int, str, str]] = field(default_factory=list)
    next_end: int = 1
    waiting: list[Callable[[], None]] = field(default_factory=list)
    state: str = "ready"
    draining_acknowledged_at: float | None = None
    sequence: int = 0


class ModelWorker:
    """Model of the worker beside an agent."""

    def __init__(self, world: World, rate: float = 0.98, capacity: int = 1000, hold_max_ms: float = 6000.0) -> None:
        self.world = world
        self.rate = rate
        self.capacity = capacity  # maximum number of concurrent runs
        self.hold_max_ms = hold_max_ms
        self.stop_s = 0.2
        self.agent: Callable[[], Agent | None] = lambda: None
        self.listening = True
        self.heartbeats_delivered = True  # whether heartbeats reach the agent
        self.unreachable = False  # calls do not arrive
        self.unhealthy = 0  # the number of calls that it still answers with 503
        self.lose_call: Callable[[Sent], LostCall | None] = lambda sent: None
        self.forced_refusal: Callable[[Sent], str] = lambda sent: ""  # reason of an injected answer 409
        self.answer_delay: Callable[[Sent], float] = lambda sent: WIRE_DELAY
        self.sent: list[Sent] = []
        self.started_runs: list[StartedRun] = []
        self.instance_models: list[InstanceModel] = []
        self.instance_model = self._new_instance_model()
        self._schedule_heartbeat()

    # ---- instances, heartbeats and runs

    def _new_instance_model(self) -> InstanceModel:
        instance_model = InstanceModel(f"i-{len(self.instance_models) + 1}", self.world.random.uniform(0, 1e6))
        self.instance_models.append(instance_model)
        return instance_model

    def clock_ms(self, instance_model: InstanceModel | None = None) -> float:
        return (instance_model or self.instance_model).clock_offset_ms + self.world.time * 1000.0 * self.rate

    def time_of(self, instance_model: InstanceModel, clock_ms: float) -> float:
        """Virtual time at which the clock of that instance shows `clock_ms`."""
        return (clock_ms - instance_model.clock_offset_ms) / (1000.0 * self.rate)

    def _schedule_heartbeat(self) -> None:
        self.world.after(HEARTBEAT_S, self._schedule_heartbeat)
        if self.listening:
            self.heartbeat()

    def heartbeat(self) -> None:
        """Send one heartbeat."""
        instance_model = self.instance_model
        instance_model.sequence += 1
        body = self.heartbeat_body(instance_model)
        if self.heartbeats_delivered:
            self.world.after(WIRE_DELAY, lambda: self.deliver(instance_model, body))

    def heartbeat_body(self, instance_model: InstanceModel) -> bytes:
        body = {
            "service": "s",
            "address": "10.0.0.9:8080",
            "state": instance_model.state,
            "slots": 8,
            "capacity": {"cpu": 16000, "memoryLimitMb": 32768, "gpu": 0},
            "labels": ["a", "r1-3"],
            "clockMs": int(self.clock_ms(instance_model)),
            "sequence": instance_model.sequence,
        }
        if instance_model.state == "draining":
            body["remainingMs"] = 2000
        return json.dumps(body).encode()

    def deliver(self, instance_model: InstanceModel, body: bytes) -> None:
        """Deliver a heartbeat to the agent, if it is running."""
        agent = self.agent()
        if agent is None:
            return
        draining = b'"draining"' in body

        def acknowledged(status: int, answer: bytes) -> None:
            if status == 200 and draining and instance_model.draining_acknowledged_at is None:
                instance_model.draining_acknowledged_at = self.world.time

        agent.heartbeat(instance_model.instance, body, acknowledged)

    def drain(self) -> None:
        """Announce that this instance is draining."""
        self.instance_model.state = "draining"
        self.heartbeat()

    def leave(self) -> None:
        """Announce the exit, and end shortly afterwards."""
        agent = self.agent()
        if agent is not None:
            agent.leave(self.instance_model.instance, lambda status, body: None)
        self.world.after(0.05, self.end)

    def end(self) -> None:
        """End, or crash: all runs end without a trace."""
        self.listening = False
        self.instance_model.running.clear()
        self.instance_model.waiting.clear()

    def crash(self, restart_after: float = 0.5) -> None:
        """Crash, and restart as a new instance."""
        self.end()
        self.world.after(restart_after, self.restart)

    def restart(self) -> None:
        self.instance_model = self._new_instance_model()
        self.listening = True
        self.heartbeat()

    def finish(self, task: str, how: str = "done") -> None:
        """End a run as if its task had finished by itself."""
        self._end_run(self.instance_model, task, how)

    def _end_run(self, instance_model: InstanceModel, task: str, how: str) -> None:
        run = instance_model.running.pop(task, None)
        if run is None or instance_model is not self.instance_model:
            return
        instance_model.highest_barred_run[task] = max(instance_model.highest_barred_run.get(task, 0), run.run)
        instance_model.ends.append((instance_model.next_end, task, run.run, how, run.saved))
        instance_model.next_end += 1
        waiting, instance_model.waiting = instance_model.waiting, []
        for answer in waiting:
            answer()

    def _accept_deadline(self, instance_model: InstanceModel, deadline_ms: float) -> None:
        cut = min(deadline_ms, self.clock_ms(instance_model) + self.hold_max_ms)
        instance_model.deadline_ms = max(instance_model.deadline_ms, cut)
        self.world.at(
            self.time_of(instance_model, instance_model.deadline_ms) + 1e-6, lambda: self._expire_leases(instance_model)
        )

    def _expire_leases(self, instance_model: InstanceModel) -> None:
        if self.clock_ms(instance_model) >= instance_model.deadline_ms:
            for task in list(instance_model.running):
                self._end_run(instance_model, task, "lapsed")

    # ---- calls

    def calls(self, process: Process) -> ModelCalls:
        """The port for one process of the agent."""
        return ModelCalls(self, process)

    def calls_of_kind(self, kind: str) -> list[Sent]:
        return [sent for sent in self.sent if sent.kind == kind]

    def handle(self, sent: Sent, answer: Callable[[int, dict[str, Any]], None]) -> None:
        """Execute a call that has arrived."""
        instance_model = self.instance_model
        if not self.listening:
            return
        if sent.instance and sent.instance != instance_model.instance:
            answer(421, {"clockMs": self.clock_ms()})
            return
        if self.unhealthy and sent.kind != "hold":
            self.unhealthy -= 1
            answer(503, {})
            return
        if sent.body.get("fenceToken", 0) < instance_model.fence:
            answer(409, {"clockMs": int(self.clock_ms()), "reason": "fence"})
            return
        forced_refusal = self.forced_refusal(sent)
        if forced_refusal:
            answer(409, {"clockMs": int(self.clock_ms()), "reason": forced_refusal})
            return
        instance_model.fence = sent.body["fenceToken"]
        {"run-start": self._start, "run-stop": self._stop, "hold": self._hold}[sent.kind](instance_model, sent, answer)

    def _start(self, instance_model: InstanceModel, sent: Sent, answer: Callable[[int, dict[str, Any]], None]) -> None:
        task, run = sent.body["task"], sent.body["runId"]
        if not sent.body["spec"]:
            answer(400, {"clockMs": int(self.clock_ms())})
            return
        refusal = self._refusal(instance_model, task, run, sent.body["deadlineMs"])
        if refusal != "late":
            self._accept_deadline(instance_model, sent.body["deadlineMs"])
        if refusal:
            answer(409, {"clockMs": int(self.clock_ms()), "reason": refusal})
            return
        if task not in instance_model.running:
            instance_model.running[task] = Run(task, run)
            self.started_runs.append(StartedRun(self.world.time, instance_model.instance, task, run))
        answer(200, {"clockMs": int(self.clock_ms())})

    def _refusal(self, instance_model: InstanceModel, task: str, run: int, deadline_ms: float) -> str:
        running = instance_model.running.get(task)
        if running is not None and running.run == run:
            return ""
        if deadline_ms <= self.clock_ms(instance_model):
            return "late"
        if run <= instance_model.highest_barred_run.get(task, 0) or running is not None:
            return "old"
        return "room" if len(instance_model.running) >= self.capacity else ""

    def _stop(self, instance_model: InstanceModel, sent: Sent, answer: Callable[[int, dict[str, Any]], None]) -> None:
        task, run = sent.body["task"], sent.body["runId"]
        instance_model.highest_barred_run[task] = max(instance_model.highest_barred_run.get(task, 0), run)
        running = instance_model.running.get(task)
        if running is not None and running.run == run and not running.stopping:
            running.stopping = True
            self.world.after(self.stop_s, lambda: self._end_run(instance_model, task, "stopped"))
        answer(200, {"clockMs": int(self.clock_ms())})

    def _hold(self, instance_model: InstanceModel, sent: Sent, answer: Callable[[int, dict[str, Any]], None]) -> None:
        instance_model.ends = [end for end in instance_model.ends if end[0] > sent.body["lastSeen"]]
        if "deadlineMs" in sent.body:
            self._accept_deadline(instance_model, sent.body["deadlineMs"])
        wait_s = sent.body.get("waitMs", 0) / 1000.0
        if not wait_s or instance_model.ends:
            answer(200, self._lists(instance_model))
            return
        answered: list[bool] = []

        def now() -> None:
            if not answered and self.instance_model is instance_model and self.listening:
                answered.append(True)
                answer(200, self._lists(instance_model))

        instance_model.waiting.append(now)
        self.world.after(wait_s, now)

    def _lists(self, instance_model: InstanceModel) -> dict[str, Any]:
        running = [[run.task, run.run, run.saved, 10] for run in instance_model.running.values()]
        finished = [list(end) for end in instance_model.ends[:500]]
        return {"clockMs": int(self.clock_ms(instance_model)), "running": running, "finished": finished}


class ModelCalls:
    """`WorkerTransport` of one agent process."""

    def __init__(self, worker: ModelWorker, process: Process) -> None:
        self._worker = worker
        self._process = process

    def post(
        self, path: str, body: bytes, instance: str, timeout: float, on_answer: Callable[[WorkerResponse], None]
    ) -> None:
        worker, world = self._worker, self._worker.world
        sent = Sent(world.time, path, json.loads(body), instance)
        worker.sent.append(sent)
        answers: list[WorkerResponse] = []

        def end(answer: WorkerResponse) -> None:
            if not answers:
                answers.append(answer)
                self._process.deliver(lambda: on_answer(answer))

        def answered(status: int, body: dict[str, Any]) -> None:
            answer = WorkerResponse(status, json.dumps(body).encode())
            world.after(worker.answer_delay(sent), lambda: end(answer))

        world.after(timeout, lambda: end(WorkerResponse()))
        if not worker.listening:
            world.after(WIRE_DELAY, lambda: end(WorkerResponse(refused=True)))
            return
        loss = worker.lose_call(sent)
        if worker.unreachable:
            return
        if loss is None:
            world.after(WIRE_DELAY, lambda: worker.handle(sent, answered))
        elif loss.executed_after_s is not None:
            world.after(loss.executed_after_s, lambda: worker.handle(sent, lambda status, body: None))


@dataclass
class PrimaryOutcome:
    """Result of a call to the primary."""

    reply: Struct | None = None
    may_have_run: bool = True


class ModelPrimary:
    """Model of a primary: answers reports, repeats its orders, and acknowledges ended runs."""

    def __init__(self, world: World, grant_ms: int = 6000) -> None:
        self.world = world
        self.grant_ms = grant_ms
        self.term = 5
        self.reachable = True
        self.acknowledges = True
        self.reports: list[AgentReport] = []
        self.report_times: list[float] = []
        self.starts: list[StartOrder] = []
        self.stops: list[StopOrder] = []
        self.instance = ""
        self.acknowledged: dict[str, int] = {}
        self.delivered_acknowledgements: dict[str, int] = {}
        self.max_concurrent_reports = 0  # of one process
        self.granted_until = 0.0  # end of the latest grant that reached an agent (agent's clock)
        self.on_report: Callable[[AgentReport], None] = lambda report: None

    @property
    def last(self) -> AgentReport:
        return self.reports[-1]

    def results(self) -> list[tuple[str, int, str, str]]:
        """All reported results without duplicates, in the order of their first report."""
        reported: dict[tuple[str, int, str, str], None] = {}
        for report in self.reports:
            for result in report.results:
                reported[result.task, result.run, result.order, result.outcome] = None
        return list(reported)

    def orders(self, report: AgentReport | None = None) -> AgentOrders:
        """The current orders for the agent: pushed, or as the answer to `report`."""
        return AgentOrders(
            term=self.term,
            primary="p",
            address="p:1",
            sent_at=0.0 if report is None else report.sent_at,
            report_number=self.last_report_number() if report is None else report.number,
            grant_ms=0 if report is None else self.grant_ms,
            instance=self.instance,
            acknowledged=self.acknowledged.get(self.instance, 0),
            starts=list(self.starts),
            stops=list(self.stops),
            view=View(epoch=self.term, term=self.term, primary="p"),
        )

    def last_report_number(self) -> int:
        """Number of the latest report received; pushed orders contain it."""
        return self.reports[-1].number if self.reports else 0

    def handle(self, report: AgentReport) -> AgentOrders:
        self.reports.append(report)
        self.report_times.append(self.world.time)
        if report.worker is not None and self._enters(report, report.worker.instance):
            self.instance = report.worker.instance
            if report.finished and self.acknowledges:
                newest = report.finished[-1].number
                self.acknowledged[self.instance] = max(self.acknowledged.get(self.instance, 0), newest)
        self.on_report(report)
        return self.orders(report)

    def _enters(self, report: AgentReport, instance: str) -> bool:
        """Whether the report describes the known instance, or one that has answered a hold call under this term."""
        answered = report.hold_number > 0 and report.hold_fence == self.term
        return answered or self.instance in ("", instance)

    def record_delivered(self, orders: AgentOrders) -> None:
        known = self.delivered_acknowledgements.get(orders.instance, 0)
        self.delivered_acknowledgements[orders.instance] = max(known, orders.acknowledged)
        if orders.sent_at:
            self.granted_until = max(self.granted_until, orders.sent_at + orders.grant_ms / 1000.0)


class ModelPrimaryCalls:
    """Calls to the primary from one process of the agent."""

    def __init__(self, primary: ModelPrimary, process: Process) -> None:
        self._primary = primary
        self._process = process
        self._under_way = 0

    def call(self, request: Struct, timeout_s: float, on_done: Callable[[PrimaryOutcome], None]) -> None:
        primary, world = self._primary, self._primary.world
        assert isinstance(request, AgentReport)
        report = copied(request)
        self._under_way += 1
        primary.max_concurrent_reports = max(primary.max_concurrent_reports, self._under_way)
        done: list[bool] = []

        def end(reply: AgentOrders | None) -> None:
            if done:
                return
            done.append(True)
            self._under_way -= 1
            if reply is not None:
                primary.record_delivered(reply)
            self._process.deliver(lambda: on_done(PrimaryOutcome(reply)))

        def arrive() -> None:
            if primary.reachable:
                orders = copied(primary.handle(report))
                world.after(CONTROL_DELAY, lambda: end(orders) if primary.reachable else None)

        world.after(timeout_s, lambda: end(None))
        world.after(CONTROL_DELAY, arrive)


class EventRecorder:
    """A log that records its events."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, object]]] = []

    def info(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))

    def warning(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))


class RecordedViews:
    """A membership that records the views that it is offered."""

    def __init__(self) -> None:
        self.offered: list[View] = []

    def offer_view(self, view: View) -> None:
        self.offered.append(view)


class Site:
    """A machine with a worker and its agent, and a remote primary."""

    def __init__(
        self, seed: int = 0, rate: float = 0.98, capacity: int = 1000, hold_max_ms: float = 6000.0, grant_ms: int = 6000
    ) -> None:
        self.world = World(seed)
        self.machine: Machine = self.world.machine(NODE)
        self.worker = ModelWorker(self.world, rate, capacity, hold_max_ms)
        self.worker.agent = self.running_agent
        self.primary = ModelPrimary(self.world, grant_ms)
        self.bounds = Bounds(hold_max_ms=hold_max_ms)
        self.log = EventRecorder()
        self.views = RecordedViews()
        self.agent: Agent | None = None
        self._incarnation = 0

    def start(self) -> None:
        """Start or restart the agent."""
        self.machine.start(self._program)

    def kill(self) -> None:
        """Kill the process of the agent."""
        self.machine.kill()

    def _program(self, process: Process) -> None:
        self._incarnation += 1
        identity = AgentIdentity(NODE, "side-1:7660", "z1", self._incarnation, "10.0.0.9:8080", "s")
        self.agent = Agent(
            process.clock,
            self.worker.calls(process),
            ModelPrimaryCalls(self.primary, process),
            self.views,
            self.bounds,
            identity,
            HEARTBEAT_S * 1000.0,
            self.log,
        )
        self.agent.register(process.handlers)
        self.agent.start()

    def running_agent(self) -> Agent | None:
        return self.agent if self.machine.running else None

    def push(self, orders: AgentOrders | None = None) -> OrdersReply:
        """Push orders to the agent, and return its answer, which comes at once."""
        replies: list[Struct] = []
        message = copied(orders or self.primary.orders())
        self.primary.record_delivered(message)
        assert self.machine.process is not None
        self.machine.process.handlers.call(message, replies.append)
        (reply,) = replies
        assert isinstance(reply, OrdersReply)
        return reply

    def run(self, seconds: float) -> None:
        self.world.run_for(seconds)

    def settle(self) -> None:
        """Start the agent and run until it knows worker and primary, and leases of an earlier agent have expired."""
        self.start()
        self.world.run_for(8.0)

    def order_start(self, task: str, run: int = 1, saved: str = "", spec: str = "text") -> None:
        """Make the primary order a start, now and with each answer."""
        self.primary.starts.append(StartOrder(task, run, spec, saved))
        self.push()

    def order_stop(self, task: str, run: int = 1) -> None:
        """Make the primary order a stop, now and with each answer."""
        self.primary.starts = [order for order in self.primary.starts if (order.task, order.run) != (task, run)]
        self.primary.stops.append(StopOrder(task, run))
        self.push()
