"""A worker after PROTOCOL.md and a primary, both in virtual time, for tests of the agent.

The worker keeps a clock of its own, leaves calls unanswered and carries them out late where it is told to, crashes,
drains, and lets its tasks lapse. It writes down all that an agent sends, and which runs it began.
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
class Began:
    """One run that the worker began."""

    at: float
    instance: str
    task: str
    run: int


@dataclass
class Missed:
    """What is to happen to a call that gets no answer."""

    carried_out_after: float | None = None  # seconds; None: never


@dataclass
class Life:
    """What one life of the worker knows."""

    instance: str
    clock_offset_ms: float
    fence: int = 0
    deadline_ms: float = 0.0
    running: dict[str, Run] = field(default_factory=dict)
    barred: dict[str, int] = field(default_factory=dict)  # runs up to this never start
    ends: list[tuple[int, str, int, str, str]] = field(default_factory=list)
    next_end: int = 1
    waiting: list[Callable[[], None]] = field(default_factory=list)
    state: str = "ready"
    state_acknowledged_at: float | None = None
    sequence: int = 0


class ModelWorker:
    """The worker beside an agent."""

    def __init__(self, world: World, rate: float = 0.98, capacity: int = 1000, hold_max_ms: float = 6000.0) -> None:
        self.world = world
        self.rate = rate
        self.capacity = capacity  # runs at once
        self.hold_max_ms = hold_max_ms
        self.stop_s = 0.2
        self.agent: Callable[[], Agent | None] = lambda: None
        self.listening = True
        self.heard = True  # heartbeats reach the agent
        self.dark = False  # calls neither arrive nor are answered
        self.unhealthy = 0  # so many calls answered with 503
        self.misses: Callable[[Sent], Missed | None] = lambda sent: None
        self.forced: Callable[[Sent], str] = lambda sent: ""  # reason of a 409 that is not due
        self.answer_delay: Callable[[Sent], float] = lambda sent: WIRE_DELAY
        self.sent: list[Sent] = []
        self.began: list[Began] = []
        self.lives: list[Life] = []
        self.life = self._new_life()
        self._beat()

    # ---- its own course

    def _new_life(self) -> Life:
        life = Life(f"i-{len(self.lives) + 1}", self.world.random.uniform(0, 1e6))
        self.lives.append(life)
        return life

    def clock_ms(self, life: Life | None = None) -> float:
        return (life or self.life).clock_offset_ms + self.world.time * 1000.0 * self.rate

    def time_of(self, life: Life, clock_ms: float) -> float:
        """Virtual time at which that life's clock shows `clock_ms`."""
        return (clock_ms - life.clock_offset_ms) / (1000.0 * self.rate)

    def _beat(self) -> None:
        self.world.after(HEARTBEAT_S, self._beat)
        if self.listening:
            self.heartbeat()

    def heartbeat(self) -> None:
        """Send one heartbeat."""
        life = self.life
        life.sequence += 1
        body = self.account(life)
        if self.heard:
            self.world.after(WIRE_DELAY, lambda: self.deliver(life, body))

    def account(self, life: Life) -> bytes:
        told = {
            "service": "s",
            "address": "10.0.0.9:8080",
            "state": life.state,
            "slots": 8,
            "capacity": {"cpu": 16000, "memoryLimitMb": 32768, "gpu": 0},
            "labels": ["a", "r1-3"],
            "clockMs": int(self.clock_ms(life)),
            "sequence": life.sequence,
        }
        if life.state == "draining":
            told["remainingMs"] = 2000
        return json.dumps(told).encode()

    def deliver(self, life: Life, body: bytes) -> None:
        """A heartbeat reaches the agent, if there is one."""
        agent = self.agent()
        if agent is None:
            return
        draining = b'"draining"' in body

        def acknowledged(status: int, answer: bytes) -> None:
            if status == 200 and draining and life.state_acknowledged_at is None:
                life.state_acknowledged_at = self.world.time

        agent.heartbeat(life.instance, body, acknowledged)

    def drain(self) -> None:
        """Announce the end of this life."""
        self.life.state = "draining"
        self.heartbeat()

    def leave(self) -> None:
        """Say goodbye, and end shortly after."""
        agent = self.agent()
        if agent is not None:
            agent.leave(self.life.instance, lambda status, body: None)
        self.world.after(0.05, self.end)

    def end(self) -> None:
        """End, or crash: nothing runs any more."""
        self.listening = False
        self.life.running.clear()
        self.life.waiting.clear()

    def crash(self, back_after: float = 0.5) -> None:
        """Crash, and come back under a new id."""
        self.end()
        self.world.after(back_after, self.come_back)

    def come_back(self) -> None:
        self.life = self._new_life()
        self.listening = True
        self.heartbeat()

    def finish(self, task: str, how: str = "done") -> None:
        """A run ends by itself."""
        self._end_run(self.life, task, how)

    def _end_run(self, life: Life, task: str, how: str) -> None:
        run = life.running.pop(task, None)
        if run is None or life is not self.life:
            return
        life.barred[task] = max(life.barred.get(task, 0), run.run)
        life.ends.append((life.next_end, task, run.run, how, run.saved))
        life.next_end += 1
        waiting, life.waiting = life.waiting, []
        for answer in waiting:
            answer()

    def _take_deadline(self, life: Life, deadline_ms: float) -> None:
        cut = min(deadline_ms, self.clock_ms(life) + self.hold_max_ms)
        life.deadline_ms = max(life.deadline_ms, cut)
        self.world.at(self.time_of(life, life.deadline_ms) + 1e-6, lambda: self._lapse(life))

    def _lapse(self, life: Life) -> None:
        if self.clock_ms(life) >= life.deadline_ms:
            for task in list(life.running):
                self._end_run(life, task, "lapsed")

    # ---- calls

    def calls(self, process: Process) -> ModelCalls:
        """The port of one life of the agent's process."""
        return ModelCalls(self, process)

    def of_kind(self, kind: str) -> list[Sent]:
        return [sent for sent in self.sent if sent.kind == kind]

    def take(self, sent: Sent, answer: Callable[[int, dict[str, Any]], None]) -> None:
        """Carry out a call that has arrived."""
        life = self.life
        if not self.listening:
            return
        if sent.instance and sent.instance != life.instance:
            answer(421, {"clockMs": self.clock_ms()})
            return
        if self.unhealthy and sent.kind != "hold":
            self.unhealthy -= 1
            answer(503, {})
            return
        if sent.body.get("fenceToken", 0) < life.fence:
            answer(409, {"clockMs": int(self.clock_ms()), "reason": "fence"})
            return
        forced = self.forced(sent)
        if forced:
            answer(409, {"clockMs": int(self.clock_ms()), "reason": forced})
            return
        life.fence = sent.body["fenceToken"]
        {"run-start": self._start, "run-stop": self._stop, "hold": self._hold}[sent.kind](life, sent, answer)

    def _start(self, life: Life, sent: Sent, answer: Callable[[int, dict[str, Any]], None]) -> None:
        task, run = sent.body["task"], sent.body["runId"]
        if not sent.body["spec"]:
            answer(400, {"clockMs": int(self.clock_ms())})
            return
        refusal = self._refusal(life, task, run, sent.body["deadlineMs"])
        if refusal != "late":
            self._take_deadline(life, sent.body["deadlineMs"])
        if refusal:
            answer(409, {"clockMs": int(self.clock_ms()), "reason": refusal})
            return
        if task not in life.running:
            life.running[task] = Run(task, run)
            self.began.append(Began(self.world.time, life.instance, task, run))
        answer(200, {"clockMs": int(self.clock_ms())})

    def _refusal(self, life: Life, task: str, run: int, deadline_ms: float) -> str:
        there = life.running.get(task)
        if there is not None and there.run == run:
            return ""
        if deadline_ms <= self.clock_ms(life):
            return "late"
        if run <= life.barred.get(task, 0) or there is not None:
            return "old"
        return "room" if len(life.running) >= self.capacity else ""

    def _stop(self, life: Life, sent: Sent, answer: Callable[[int, dict[str, Any]], None]) -> None:
        task, run = sent.body["task"], sent.body["runId"]
        life.barred[task] = max(life.barred.get(task, 0), run)
        there = life.running.get(task)
        if there is not None and there.run == run and not there.stopping:
            there.stopping = True
            self.world.after(self.stop_s, lambda: self._end_run(life, task, "stopped"))
        answer(200, {"clockMs": int(self.clock_ms())})

    def _hold(self, life: Life, sent: Sent, answer: Callable[[int, dict[str, Any]], None]) -> None:
        life.ends = [end for end in life.ends if end[0] > sent.body["lastSeen"]]
        if "deadlineMs" in sent.body:
            self._take_deadline(life, sent.body["deadlineMs"])
        wait_s = sent.body.get("waitMs", 0) / 1000.0
        if not wait_s or life.ends:
            answer(200, self._lists(life))
            return
        answered: list[bool] = []

        def now() -> None:
            if not answered and self.life is life and self.listening:
                answered.append(True)
                answer(200, self._lists(life))

        life.waiting.append(now)
        self.world.after(wait_s, now)

    def _lists(self, life: Life) -> dict[str, Any]:
        running = [[run.task, run.run, run.saved, 10] for run in life.running.values()]
        finished = [list(end) for end in life.ends[:500]]
        return {"clockMs": int(self.clock_ms(life)), "running": running, "finished": finished}


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

        def answered(status: int, told: dict[str, Any]) -> None:
            answer = WorkerResponse(status, json.dumps(told).encode())
            world.after(worker.answer_delay(sent), lambda: end(answer))

        world.after(timeout, lambda: end(WorkerResponse()))
        if not worker.listening:
            world.after(WIRE_DELAY, lambda: end(WorkerResponse(refused=True)))
            return
        missed = worker.misses(sent)
        if worker.dark:
            return
        if missed is None:
            world.after(WIRE_DELAY, lambda: worker.take(sent, answered))
        elif missed.carried_out_after is not None:
            world.after(missed.carried_out_after, lambda: worker.take(sent, lambda status, told: None))


@dataclass
class PrimaryOutcome:
    """Outcome of a call to the primary."""

    reply: Struct | None = None
    may_have_run: bool = True


class ModelPrimary:
    """A primary: answers reports, repeats its orders, and acknowledges ends."""

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
        self.delivered_acknowledged: dict[str, int] = {}
        self.most_under_way = 0  # reports of one process at once
        self.permitted_until = 0.0  # by answers that reached an agent (agent's clock)
        self.on_report: Callable[[AgentReport], None] = lambda report: None

    @property
    def last(self) -> AgentReport:
        return self.reports[-1]

    def results(self) -> list[tuple[str, int, str, str]]:
        """All results ever reported, each once, in their order."""
        told: dict[tuple[str, int, str, str], None] = {}
        for report in self.reports:
            for result in report.results:
                told[result.task, result.run, result.order, result.outcome] = None
        return list(told)

    def orders(self, report: AgentReport | None = None) -> AgentOrders:
        """What the agent is to do."""
        return AgentOrders(
            term=self.term,
            primary="p",
            address="p:1",
            sent_at=0.0 if report is None else report.sent_at,
            report_number=self.newest_report() if report is None else report.number,
            grant_ms=0 if report is None else self.grant_ms,
            instance=self.instance,
            acknowledged=self.acknowledged.get(self.instance, 0),
            starts=list(self.starts),
            stops=list(self.stops),
            view=View(epoch=self.term, term=self.term, primary="p"),
        )

    def newest_report(self) -> int:
        """Number of the report heard last; orders sent by themselves carry it."""
        return self.reports[-1].number if self.reports else 0

    def take(self, report: AgentReport) -> AgentOrders:
        self.reports.append(report)
        self.report_times.append(self.world.time)
        if report.worker is not None:
            self.instance = report.worker.instance
            if report.finished and self.acknowledges:
                newest = report.finished[-1].number
                self.acknowledged[self.instance] = max(self.acknowledged.get(self.instance, 0), newest)
        self.on_report(report)
        return self.orders(report)

    def note_delivered(self, orders: AgentOrders) -> None:
        known = self.delivered_acknowledged.get(orders.instance, 0)
        self.delivered_acknowledged[orders.instance] = max(known, orders.acknowledged)
        if orders.sent_at:
            self.permitted_until = max(self.permitted_until, orders.sent_at + orders.grant_ms / 1000.0)


class ModelPrimaryCalls:
    """Calls to the primary from one agent process."""

    def __init__(self, primary: ModelPrimary, process: Process) -> None:
        self._primary = primary
        self._process = process
        self._under_way = 0

    def call(self, request: Struct, patience_s: float, on_done: Callable[[PrimaryOutcome], None]) -> None:
        primary, world = self._primary, self._primary.world
        assert isinstance(request, AgentReport)
        report = copied(request)
        self._under_way += 1
        primary.most_under_way = max(primary.most_under_way, self._under_way)
        done: list[bool] = []

        def end(reply: AgentOrders | None) -> None:
            if done:
                return
            done.append(True)
            self._under_way -= 1
            if reply is not None:
                primary.note_delivered(reply)
            self._process.deliver(lambda: on_done(PrimaryOutcome(reply)))

        def arrive() -> None:
            if primary.reachable:
                orders = copied(primary.take(report))
                world.after(CONTROL_DELAY, lambda: end(orders) if primary.reachable else None)

        world.after(patience_s, lambda: end(None))
        world.after(CONTROL_DELAY, arrive)


class Events:
    """A log that keeps what is written."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, object]]] = []

    def info(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))

    def warning(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))


class Views:
    """Membership that keeps the views it is offered."""

    def __init__(self) -> None:
        self.offered: list[View] = []

    def offer_view(self, view: View) -> None:
        self.offered.append(view)


class Site:
    """One machine with a worker, its agent, and a primary elsewhere."""

    def __init__(
        self, seed: int = 0, rate: float = 0.98, capacity: int = 1000, hold_max_ms: float = 6000.0, grant_ms: int = 6000
    ) -> None:
        self.world = World(seed)
        self.machine: Machine = self.world.machine(NODE)
        self.worker = ModelWorker(self.world, rate, capacity, hold_max_ms)
        self.worker.agent = self.running_agent
        self.primary = ModelPrimary(self.world, grant_ms)
        self.bounds = Bounds(hold_max_ms=hold_max_ms)
        self.log = Events()
        self.views = Views()
        self.agent: Agent | None = None
        self._incarnation = 0

    def start(self) -> None:
        """Start the agent (again)."""
        self.machine.start(self._program)

    def kill(self) -> None:
        """End the agent's process."""
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
        """Send orders to the agent by themselves; its answer comes at once."""
        replies: list[Struct] = []
        message = copied(orders or self.primary.orders())
        self.primary.note_delivered(message)
        assert self.machine.process is not None
        self.machine.process.handlers.call(message, replies.append)
        (reply,) = replies
        assert isinstance(reply, OrdersReply)
        return reply

    def run(self, seconds: float) -> None:
        self.world.run_for(seconds)

    def settle(self) -> None:
        """Start the agent, and let it learn of its worker and its primary; earlier holds have lapsed then."""
        self.start()
        self.world.run_for(8.0)

    def order_start(self, task: str, run: int = 1, saved: str = "", spec: str = "text") -> None:
        """The primary orders a start, now and with each answer."""
        self.primary.starts.append(StartOrder(task, run, spec, saved))
        self.push()

    def order_stop(self, task: str, run: int = 1) -> None:
        """The primary orders a stop, now and with each answer."""
        self.primary.starts = [order for order in self.primary.starts if (order.task, order.run) != (task, run)]
        self.primary.stops.append(StopOrder(task, run))
        self.push()
