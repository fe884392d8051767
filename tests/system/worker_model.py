"""A cluster for tests of the scheduler, in virtual time: workers after PROTOCOL.md, real agents, and a primary.

Workers do timed work, alone or in gangs, save checkpoints, fail, lapse, crash and drain. Calls to them can stay
unanswered and be carried out late. A judge looks at every start, with what only an onlooker knows, and writes down each
rule that is broken. Replicated state is a fake: batches are committed after a delay, and a new primary finds those that
were committed.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from msgspec import Struct

from pipitledge.agent.agent import Agent, AgentIdentity
from pipitledge.configuration.model import Configuration, Route, Service
from pipitledge.runtime.ports import WorkerAnswer
from pipitledge.runtime.settings import Bounds
from pipitledge.scheduling.context import Figures, Node, Ports
from pipitledge.scheduling.scheduler import Scheduler
from pipitledge.wire.messages import AgentReport, CallKind, ClientCall, ClientReply, NotPrimary, View, Write
from tests.system.virtual import Machine, Process, World, copied

WIRE_S = 0.001
HEARTBEAT_S = 1.5
COMMIT_S = 0.008
HOST = "jobs.example"
SERVICE = "render"
URGENT = Route("urgent", HOST, "/urgent/", SERVICE, priority=0, max_attempts=3, stretch=1.5, target_latency_ms=500)
PLAIN = Route("plain", HOST, "/plain/", SERVICE, priority=1, max_attempts=3, stretch=3.0, target_latency_ms=1_000)
ROUTES = (URGENT, PLAIN)
BOUNDS = Bounds(hold_max_ms=6_000.0, gang_ms=3_000.0)


@dataclass
class Behaviour:
    """What the tasks of a step are really like."""

    work_s: float = 1.0
    fails: Callable[[str, int, str], bool] = lambda task, run, node: False


@dataclass
class LiveRun:
    """One run on a worker."""

    task: str
    run: int
    life: WorkerLife
    begun: float
    saved: str = ""
    percent_from: float = 0.0
    working_since: float | None = None  # None: waits for its gang
    stopping: bool = False
    counted_done: bool = False
    done_by: float = 0.0  # percent of its work when it was last brought up to date
    updated: float = 0.0


@dataclass
class WorkerLife:
    """What one life of a worker knows."""

    instance: str
    clock_offset_ms: float
    fence: int = 0
    deadline_ms: float = 0.0
    running: dict[str, LiveRun] = field(default_factory=dict)
    barred: dict[str, int] = field(default_factory=dict)
    ends: list[tuple[int, str, int, str, str]] = field(default_factory=list)
    next_end: int = 1
    waiting: list[Callable[[], None]] = field(default_factory=list)
    draining: bool = False
    drain_acknowledged: float | None = None
    sequence: int = 0
    ended_at: dict[int, float] = field(default_factory=dict)  # by number of the end
    lapsed_at: float = -1.0  # when its hold last ran out


NOTED_S = 1.0  # a machine in touch starts no copy later than that after an end `done` was noted


class Judge:
    """Sees every start and end, and writes down what breaks a rule."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.broken: list[str] = []
        self.noted_done: dict[str, float] = {}  # tasks whose end `done` was taken note of, and when
        self.noted_failures: dict[str, set[tuple[str, int]]] = {}
        self.ended_done: set[str] = set()
        self.ends: list[tuple[float, str, int, str, str]] = []  # time, task, run, how, node
        self.starts: list[tuple[float, str, int, str, str]] = []  # time, task, run, node, saved
        self.texts: dict[str, set[str]] = {}  # checkpoints by task (of a gang: by step)

    def owner(self, task: str) -> str:
        """Whose checkpoints a task may be started from."""
        return task.rsplit(".", 1)[0] if self.cluster.stage(task)["gang"] else task

    def start(self, worker: ModelWorker, live: LiveRun, spec: str) -> None:
        """A worker began a run."""
        cluster = self.cluster
        now = cluster.world.time
        task = live.task
        self.starts.append((now, task, live.run, worker.node, live.saved))
        job = task.split(".")[0]
        submitted = cluster.bodies.get(job)
        if submitted is None or submitted["spec"] != spec:
            self.note(f"UNASKED {task}: spec")
            return
        if live.saved and live.saved not in self.texts.get(self.owner(task), set()):
            self.note(f"UNASKED {task}: checkpoint {live.saved}")
        timely = cluster.in_touch(worker.node) and not worker.taking_late
        if timely and cluster.cancelled.get(job, now) < now - cluster.bounds.cancel_ms / 1_000.0:
            self.note(f"UNASKED {task}: started {now - cluster.cancelled[job]:.2f} s after its cancelling")
        speculative = cluster.stage(task)["speculative"]
        elsewhere = any(task in other.life.running and other is not worker for other in cluster.live_workers())
        if elsewhere and not speculative:
            self.note(f"TWICE {task}: runs elsewhere")
        late = timely and now > self.noted_done.get(task, now) + NOTED_S
        if task in self.noted_done and (late or not speculative):
            self.note(f"TWICE {task}: was done")
        failures = 0 if cluster.stage(task)["longRunning"] else len(self.noted_failures.get(task, ()))
        if failures >= cluster.route_of[job].max_attempts:
            self.note(f"BUDGET {task}")
        self._check_order(task)
        self._check_place(worker, task)

    def _check_order(self, task: str) -> None:
        job, time, step, _ = task.split(".")
        body = self.cluster.bodies[job]
        for earlier in body["stages"][int(step)].get("dependsOn", []):
            for index in range(body["stages"][earlier]["count"]):
                if f"{job}.{time}.{earlier}.{index}" not in self.ended_done:
                    self.note(f"ORDER {task}: before {earlier}.{index}")
        if body.get("repeatCount"):
            due_ms = body["startAtMs"] + int(time) * body["intervalMs"]
            if self.cluster.wall_ms() < due_ms - self.cluster.bounds.early_ms:
                self.note(f"ORDER {task}: early")

    def _check_place(self, worker: ModelWorker, task: str) -> None:
        stage = self.cluster.stage(task)
        for name, capacity in worker.capacity.items():
            used = sum(self.cluster.stage(other)[name] for other in worker.life.running)
            if used > capacity:
                self.note(f"LIMIT {worker.node}: {name} {used} of {capacity} with {task}")
        if stage["nodeSelector"] and stage["nodeSelector"] not in worker.labels:
            self.note(f"ROUTE {task}: label")
        family = task.rsplit(".", 1)[0]
        alike = sum(other.rsplit(".", 1)[0] == family for other in worker.life.running)
        if stage["antiAffinity"] and alike > stage["antiAffinity"]:
            self.note(f"ROUTE {task}: {alike} on one worker")
        acknowledged = worker.life.drain_acknowledged
        late = (
            acknowledged is not None and self.cluster.world.time > acknowledged + self.cluster.bounds.drain_ms / 1_000.0
        )
        if late and self.cluster.in_touch(worker.node) and not worker.taking_late:
            self.note(f"DRAIN {task}")

    def end(self, worker: ModelWorker, live: LiveRun, how: str) -> None:
        """A run ended on a worker that is up."""
        self.ends.append((self.cluster.world.time, live.task, live.run, how, worker.node))
        if how == "done":
            self.ended_done.add(live.task)
        if live.saved:
            self.texts.setdefault(self.owner(live.task), set()).add(live.saved)

    def noted(self, life: WorkerLife, end: tuple[int, str, int, str, str]) -> None:
        """`lastSeen` reached an end; one before the hold ran out is not taken note of any more."""
        number, task, run, how, _ = end
        ended_at = life.ended_at[number]
        if life.lapsed_at >= ended_at:
            return
        if how == "done":
            started_since = any(name == task and at > ended_at for at, name, *_ in self.starts)
            if started_since and not self.cluster.stage(task)["speculative"]:
                self.note(f"TWICE {task}: started after its end, which was noted later")
            now = self.cluster.world.time
            self.noted_done.setdefault(task, now)
            if self.cluster.stage(task)["gang"]:
                family = task.rsplit(".", 1)[0]
                count = self.cluster.stage(task)["count"]
                for index in range(count):
                    self.noted_done.setdefault(f"{family}.{index}", now)
        elif how == "failed":
            self.noted_failures.setdefault(self.owner(task), set()).add((task, run))
            runs = {run for _, run in self.noted_failures[self.owner(task)]}
            self.noted_failures[task] = {(task, number) for number in runs}

    def note(self, text: str) -> None:
        """A rule is broken."""
        self.broken.append(f"{self.cluster.world.time:.3f} {text}")


class ModelWorker:
    """The worker beside one agent."""

    def __init__(self, cluster: Cluster, node: str, labels: list[str], capacity: dict[str, int]) -> None:
        self.cluster = cluster
        self.world = cluster.world
        self.node = node
        self.labels = labels
        self.capacity = capacity
        self.agent: Callable[[], Agent | None] = lambda: None
        self.rate = self.world.random.uniform(0.985, 1.0)
        self.up = True
        self.cut_off = False  # it and its agent hear nothing of each other
        self.speed = 1.0
        self.fails_all = False
        self.unhealthy = False
        self.unanswered = 0.0  # share of calls that get no answer
        self.taking_late = False  # what it does now was ordered long ago
        self.lives = 0
        self.life = self._new_life()
        self.world.after(self.world.random.uniform(0.0, 0.3), self._beat)

    def _new_life(self) -> WorkerLife:
        self.lives += 1
        return WorkerLife(f"i-{self.node}-{self.lives}", self.world.random.uniform(0.0, 1e6))

    def clock_ms(self) -> float:
        return self.life.clock_offset_ms + self.world.time * 1_000.0 * self.rate

    # ---- heartbeats

    def _beat(self) -> None:
        self.world.after(HEARTBEAT_S, self._beat)
        if self.up:
            self.heartbeat()

    def heartbeat(self) -> None:
        life = self.life
        life.sequence += 1
        told: dict[str, Any] = {
            "service": SERVICE,
            "address": f"{self.node}:80",
            "slots": 8,
            "state": "draining" if life.draining else "ready",
            "capacity": self.capacity,
            "labels": self.labels,
            "clockMs": int(self.clock_ms()),
            "sequence": life.sequence,
        }
        if life.draining:
            told["remainingMs"] = 1_500
        body = json.dumps(told).encode()
        self.world.after(WIRE_S, lambda: self._deliver(life, body, life.draining))

    def _deliver(self, life: WorkerLife, body: bytes, draining: bool) -> None:
        agent = self.agent()
        if agent is None or self.cut_off:
            return

        def acknowledged(status: int, answer: bytes) -> None:
            if status == 200 and draining and life.drain_acknowledged is None:
                life.drain_acknowledged = self.world.time

        agent.heartbeat(life.instance, body, acknowledged)

    # ---- its course

    def crash(self, back_after: float | None = 0.5) -> None:
        """End at once; come back under a new id, or not."""
        self.up = False
        for live in list(self.life.running.values()):
            self.cluster.leave_gang(live, "crashed")
        self.life.running.clear()
        self.life.waiting.clear()
        if back_after is not None:
            self.world.after(back_after, self.come_back)

    def come_back(self) -> None:
        self.life = self._new_life()
        self.up = True
        self.heartbeat()

    def drain(self, leave_after: float = 3.0) -> None:
        """Announce the end, and leave."""
        life = self.life
        life.draining = True
        self.heartbeat()
        self.world.after(leave_after, lambda: self.crash(1.0) if self.life is life and self.up else None)

    def finish(self, live: LiveRun, how: str) -> None:
        """A run ends."""
        life = live.life
        if life is not self.life or life.running.get(live.task) is not live or not self.up:
            return
        self._update(live)
        del life.running[live.task]
        life.barred[live.task] = max(life.barred.get(live.task, 0), live.run)
        if how == "stopped":
            self._save(live)
        end = (life.next_end, live.task, live.run, how, live.saved)
        life.next_end += 1
        life.ends.append(end)
        life.ended_at[end[0]] = self.world.time
        self.cluster.judge.end(self, live, how)
        waiting, life.waiting = life.waiting, []
        for answer in waiting:
            answer()
        self.cluster.leave_gang(live, how)

    # ---- work

    def _update(self, live: LiveRun) -> None:
        """Bring the progress of a run up to date."""
        now = self.world.time
        if live.working_since is not None:
            behaviour = self.cluster.behaviour(live.task)
            passed = max(0.0, now - max(live.updated, live.working_since))
            live.done_by = min(100.0, live.done_by + 100.0 * passed * self.speed / behaviour.work_s)
        live.updated = now

    def _save(self, live: LiveRun) -> None:
        if self.cluster.stage(live.task)["checkpoints"] and live.done_by > live.percent_from:
            live.saved = f"{int(live.done_by * 100):06x}{live.task}"
            self.cluster.judge.texts.setdefault(self.cluster.judge.owner(live.task), set()).add(live.saved)

    def set_speed(self, speed: float) -> None:
        """Work at another pace from now on."""
        for live in self.life.running.values():
            self._update(live)
        self.speed = speed

    def begin_work(self, live: LiveRun) -> None:
        """All that it needs is there."""
        live.working_since = live.updated = self.world.time + (0.25 if live.saved else 0.0)
        self._work_on(live)

    def _work_on(self, live: LiveRun) -> None:
        """Look at a run's progress again and again until it ends."""
        if live.life is not self.life or live.life.running.get(live.task) is not live or not self.up:
            return
        self._update(live)
        behaviour = self.cluster.behaviour(live.task)
        fails = self.fails_all or behaviour.fails(live.task, live.run, self.node)
        if fails and live.done_by >= 30.0:
            self.finish(live, "failed")
            return
        if live.done_by >= 100.0 and not self.cluster.stage(live.task)["longRunning"]:
            self.finish(live, "done")
            return
        if int(live.done_by) // 25 > int(live.percent_from) // 25 and live.done_by > live.percent_from:
            self._save(live)
        self.world.after(0.02, lambda: self._work_on(live))

    # ---- calls

    def take_late(self, kind: str, body: dict[str, Any], instance: str) -> None:
        """Carry out a call that was left unanswered."""
        self.taking_late = True
        self.take(kind, body, instance, lambda status, content: None)
        self.taking_late = False

    def take(
        self, kind: str, body: dict[str, Any], instance: str, answer: Callable[[int, dict[str, Any]], None]
    ) -> None:
        """Carry out a call that has arrived."""
        if not self.up or self.cut_off:
            return
        life = self.life
        clock = {"clockMs": int(self.clock_ms())}
        if instance and instance != life.instance:
            answer(421, clock)
        elif self.unhealthy and kind == "run-start":
            answer(503, {})
        elif body["fenceToken"] < life.fence:
            answer(409, {**clock, "reason": "fence"})
        else:
            life.fence = body["fenceToken"]
            {"run-start": self._start, "run-stop": self._stop, "hold": self._hold}[kind](life, body, answer)

    def _take_deadline(self, life: WorkerLife, deadline_ms: float) -> None:
        cut = min(deadline_ms, self.clock_ms() + self.cluster.bounds.hold_max_ms)
        life.deadline_ms = max(life.deadline_ms, cut)
        when = (life.deadline_ms - life.clock_offset_ms) / (1_000.0 * self.rate)
        self.world.at(when + 1e-6, lambda: self._lapse(life))

    def _lapse(self, life: WorkerLife) -> None:
        if life is self.life and self.clock_ms() >= life.deadline_ms:
            life.lapsed_at = self.world.time
            for live in list(life.running.values()):
                self.finish(live, "lapsed")

    def _start(self, life: WorkerLife, body: dict[str, Any], answer: Callable[[int, dict[str, Any]], None]) -> None:
        task, run = body["task"], body["runId"]
        clock = {"clockMs": int(self.clock_ms())}
        there = life.running.get(task)
        if there is not None and there.run == run:
            answer(200, clock)
            return
        if body["deadlineMs"] <= self.clock_ms():
            answer(409, {**clock, "reason": "late"})
            return
        self._take_deadline(life, body["deadlineMs"])
        if run <= life.barred.get(task, 0) or there is not None:
            answer(409, {**clock, "reason": "old"})
            return
        live = LiveRun(task, run, life, self.world.time, saved=body.get("checkpointed", ""))
        if live.saved:
            live.done_by = live.percent_from = int(live.saved[:6], 16) / 100.0
        life.running[task] = live
        self.cluster.judge.start(self, live, body["spec"])
        self.cluster.join_gang(self, live)
        answer(200, clock)

    def _stop(self, life: WorkerLife, body: dict[str, Any], answer: Callable[[int, dict[str, Any]], None]) -> None:
        task, run = body["task"], body["runId"]
        life.barred[task] = max(life.barred.get(task, 0), run)
        there = life.running.get(task)
        if there is not None and there.run == run and not there.stopping:
            there.stopping = True
            delay = self.world.random.uniform(0.02, self.cluster.bounds.stop_ms / 1_000.0)
            self.world.after(delay, lambda: self.finish(there, "stopped"))
        answer(200, {"clockMs": int(self.clock_ms())})

    def _hold(self, life: WorkerLife, body: dict[str, Any], answer: Callable[[int, dict[str, Any]], None]) -> None:
        for end in life.ends:
            if end[0] <= body["lastSeen"]:
                self.cluster.judge.noted(life, end)
        life.ends = [end for end in life.ends if end[0] > body["lastSeen"]]
        if "deadlineMs" in body:
            self._take_deadline(life, body["deadlineMs"])
        wait_s = body.get("waitMs", 0) / 1_000.0
        if not wait_s or life.ends:
            answer(200, self._lists(life))
            return
        answered: list[bool] = []

        def now() -> None:
            if not answered and self.life is life and self.up:
                answered.append(True)
                answer(200, self._lists(life))

        life.waiting.append(now)
        self.world.after(wait_s, now)

    def _lists(self, life: WorkerLife) -> dict[str, Any]:
        for live in life.running.values():
            self._update(live)
        running = [[live.task, live.run, live.saved, int(live.done_by)] for live in life.running.values()]
        finished = [list(end) for end in life.ends[:500]]
        return {"clockMs": int(self.clock_ms()), "running": running, "finished": finished}


class ModelCalls:
    """`WorkerCalls` of one agent process."""

    def __init__(self, worker: ModelWorker, process: Process) -> None:
        self._worker = worker
        self._process = process

    def post(
        self, path: str, body: bytes, instance: str, timeout: float, on_answer: Callable[[WorkerAnswer], None]
    ) -> None:
        worker, world = self._worker, self._worker.world
        kind, told = path.rsplit("/", 1)[1], json.loads(body)
        answers: list[WorkerAnswer] = []

        def end(answer: WorkerAnswer) -> None:
            if not answers:
                answers.append(answer)
                self._process.deliver(lambda: on_answer(answer))

        def answered(status: int, content: dict[str, Any]) -> None:
            answer = WorkerAnswer(status, json.dumps(content).encode())
            world.after(WIRE_S, lambda: None if worker.cut_off else end(answer))

        world.after(timeout, lambda: end(WorkerAnswer()))
        if not worker.up:
            world.after(WIRE_S, lambda: end(WorkerAnswer(refused=True)))
        elif world.random.random() >= worker.unanswered:
            world.after(WIRE_S, lambda: worker.take(kind, told, instance, answered))
        elif world.random.random() < 0.5:
            late = world.random.uniform(0.0, 3.0)
            world.after(late, lambda: worker.take_late(kind, told, instance))


@dataclass
class Outcome:
    """Outcome of a call to the primary."""

    reply: Struct | None = None
    may_have_run: bool = True


class PrimaryCalls:
    """Calls of one agent's process to whichever node is primary."""

    def __init__(self, cluster: Cluster, process: Process) -> None:
        self._cluster = cluster
        self._process = process

    def call(self, request: Struct, patience_s: float, on_done: Callable[[Outcome], None]) -> None:
        primary = self._cluster.primary
        address = primary.machine.address if primary is not None else "nobody"
        self._process.network.call(address, request, patience_s, lambda reply: on_done(Outcome(reply)))


class FakeReplicator:
    """Replicated state as one life of a primary uses it: commits in order, after a delay."""

    def __init__(self, cluster: Cluster, process: Process, term: int) -> None:
        self._cluster = cluster
        self._process = process
        self._term = term
        self.leads = True
        self.commit_s = COMMIT_S
        self.stalled = False
        self._queue: list[tuple[list[Write], list[Callable[[], None]]]] = []

    @property
    def term(self) -> int:
        return self._term

    @property
    def view(self) -> View | None:
        return View(epoch=self._term, term=self._term, primary=self._process.machine.name)

    def is_primary(self) -> bool:
        return self.leads and self._process.alive and self._cluster.term == self._term

    def write(self, writes: list[Write], on_committed: Callable[[], None] | None = None) -> None:
        assert self.is_primary(), "only a primary writes"
        assert writes, "an empty batch is of no use"
        self._queue.append((copied_writes(writes), [on_committed] if on_committed else []))
        self._process.world.after(self.commit_s, self.commit_next)

    def after_commit(self, action: Callable[[], None]) -> None:
        if self._queue:
            self._queue[-1][1].append(action)
        else:
            action()

    def commit_next(self) -> None:
        """The oldest batch is committed."""
        if self.stalled or not self._queue or self._cluster.term != self._term:
            return
        writes, actions = self._queue.pop(0)
        self.apply(writes)
        for action in actions:
            self._process.deliver(action)

    def resume(self) -> None:
        """End a stall."""
        self.stalled = False
        while self._queue:
            self.commit_next()

    def settle(self) -> None:
        """The role is lost: some first part of what was written is committed all the same."""
        for writes, _ in self._queue[: self._cluster.world.random.randint(0, len(self._queue))]:
            self.apply(writes)
        self._queue.clear()

    def apply(self, writes: list[Write]) -> None:
        for write in writes:
            if write.deleted:
                self._cluster.state.pop(write.key, None)
            else:
                self._cluster.state[write.key] = write.value


def copied_writes(writes: list[Write]) -> list[Write]:
    """Writes as they are at this moment."""
    return [copied(write) for write in writes]


class Primary:
    """One life of a primary."""

    def __init__(self, cluster: Cluster, process: Process) -> None:
        self.machine: Machine = process.machine
        self.process = process
        self.replicator = FakeReplicator(cluster, process, cluster.term)
        ports = Ports(
            process.clock, process.network, self.replicator, lambda: cluster.configuration, cluster.wall_ms, cluster.log
        )
        me = Node(self.machine.name, self.machine.address)
        addresses = [worker.node for worker in cluster.workers]
        self.scheduler = Scheduler(ports, Figures(cluster.bounds, HEARTBEAT_S), me, lambda: addresses)
        self.scheduler.register(process.handlers)


class Events:
    """A log that keeps what is written."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, object]]] = []

    def info(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))

    def warning(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))


class Views:
    """Membership that needs no views."""

    def offer_view(self, view: View) -> None:
        pass


class Cluster:
    """Workers, their agents, and one primary at a time."""

    def __init__(self, seed: int = 0, workers: int = 4, bounds: Bounds = BOUNDS, racks: int = 2) -> None:
        self.world = World(seed)
        self.bounds = bounds
        self.log = Events()
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
        self.gangs: dict[tuple[str, int], dict[str, tuple[ModelWorker, LiveRun]]] = {}
        self.agents: dict[str, Agent] = {}
        self.cut_until: dict[str, float] = {}  # by node, when its link to others was last mended
        self.workers: list[ModelWorker] = []
        self._incarnations = 0
        for index in range(workers):
            self.add_worker(f"w{index}", ["a" if index % 2 else "b", f"r1-{index % racks}"])

    def add_worker(self, node: str, labels: list[str], cpu: int = 8_000, gpu: int = 4) -> ModelWorker:
        """Add a worker, and the agent beside it."""
        worker = ModelWorker(self, node, labels, {"cpu": cpu, "memoryLimitMb": 16_384, "gpu": gpu})
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
            Views(),
            self.bounds,
            identity,
            HEARTBEAT_S * 1_000.0,
            self.log,
        )
        self.agents[worker.node] = agent
        agent.register(process.handlers)
        agent.start()

    def cut_agent(self, node: str, seconds: float) -> None:
        """Cut an agent off from the primary for a while."""
        self.world.network.isolate(node)
        self.cut_until[node] = max(self.cut_until.get(node, 0.0), self.world.time + seconds)
        self.world.after(seconds, self._mend)

    def _mend(self) -> None:
        """Mend the links whose time has come."""
        network = self.world.network
        for pair in sorted(network.cuts):
            if all(self.world.time >= self.cut_until.get(node, 0.0) for node in pair):
                network.join(*pair)

    def in_touch(self, node: str) -> bool:
        """Whether nothing has been wrong with an agent's links of late."""
        mended = self.cut_until.get(node)
        return mended is None or self.world.time > mended + self.bounds.contact_ms / 1_000.0

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
        """A new primary takes over; the old one, if any, is gone."""
        if self.primary is not None:
            self.demote()
        self.term += 1
        machine = self.world.machine(f"p{self.term}")
        machine.start(self._start_primary)
        assert self.primary is not None
        self.primary.scheduler.activated(self.term, dict(self.state))
        return self.primary

    def demote(self) -> None:
        """The primary is no more."""
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
        """A client's call to the primary; the answer comes into the list."""
        replies: list[Struct] = []
        if self.primary is not None:
            call = ClientCall(kind=int(kind), host=HOST, path=path, body=body)
            self.primary.process.handlers.call(call, replies.append)
        return replies

    def submit(
        self, job: str, body: dict[str, Any], route: Route = PLAIN, behaviour: Behaviour | None = None
    ) -> list[Struct]:
        """Submit a job."""
        body.setdefault("spec", f"spec of {job}")
        self.bodies[job] = body
        self.route_of[job] = route
        self.behaviours[job] = behaviour or Behaviour()
        return self.call(CallKind.SUBMIT, route.path_prefix + job, json.dumps(body).encode())

    def submit_until_taken(self, job: str, body: dict[str, Any], route: Route, behaviour: Behaviour) -> None:
        """Submit a job again and again, as clients do, until it is accepted."""
        replies = self.submit(job, body, route, behaviour)

        def look() -> None:
            if not any(isinstance(reply, ClientReply) and reply.status == 200 for reply in replies):
                self.submit_until_taken(job, body, route, behaviour)

        self.world.after(0.3, look)

    def cancel(self, job: str) -> None:
        """Cancel a job; the time of the acknowledgement is kept."""
        replies = self.call(CallKind.CANCEL, self.route_of[job].path_prefix + job)

        def look() -> None:
            if any(isinstance(reply, ClientReply) and reply.status == 200 for reply in replies):
                self.cancelled.setdefault(job, self.world.time)
            else:
                self.cancel(job)

        self.world.after(0.3, look)

    def ask(self, job: str) -> str:
        """What a client is told of a job's state, once it is answered; an empty text: nothing."""
        replies = self.call(CallKind.STATE, self.route_of[job].path_prefix + job)
        self.world.run_while(lambda: not replies, 1.0)
        reply = replies[0] if replies else None
        if not isinstance(reply, ClientReply):
            return ""
        return json.loads(reply.body)["state"] if reply.status == 200 else str(reply.status)

    def wait_for(self, job: str, state: str, limit: float) -> bool:
        """Let time pass until a job shows that state, at most `limit` seconds."""
        end = self.world.time + limit
        while self.world.time < end:
            if self.ask(job) == state:
                return True
            self.run(0.1)
        return False

    # ---- what only an onlooker knows

    def stage(self, task: str) -> dict[str, Any]:
        """The step of a task, with all that it leaves out."""
        job, _, step, _ = task.split(".")
        given = self.bodies[job]["stages"][int(step)]
        absent = {"cpu": 0, "memoryLimitMb": 0, "gpu": 0, "antiAffinity": 0, "nodeSelector": "", "affinity": ""}
        flags = {"gang": False, "checkpoints": False, "longRunning": False, "speculative": False}
        return {**absent, **flags, **given}

    def behaviour(self, task: str) -> Behaviour:
        return self.behaviours[task.split(".")[0]]

    def runs_of(self, job: str) -> list[tuple[str, LiveRun]]:
        """All runs of a job on workers that are up, with their nodes."""
        return [
            (worker.node, live)
            for worker in self.live_workers()
            for live in worker.life.running.values()
            if live.task.startswith(job + ".")
        ]

    def node_of(self, task: str) -> str:
        """Where a task runs now."""
        return next((worker.node for worker in self.live_workers() if task in worker.life.running), "")

    # ---- gangs

    def join_gang(self, worker: ModelWorker, live: LiveRun) -> None:
        """A run is there: it works once all that it needs is there."""
        stage = self.stage(live.task)
        if not stage["gang"]:
            worker.begin_work(live)
            return
        members = self.gangs.setdefault((live.task.rsplit(".", 1)[0], live.run), {})
        members[live.task] = (worker, live)
        if len(members) == stage["count"]:
            for other, member in list(members.values()):
                other.begin_work(member)
        else:
            self.world.after(self.bounds.gang_ms / 1_000.0, lambda: self._give_up(worker, live))

    def _give_up(self, worker: ModelWorker, live: LiveRun) -> None:
        if live.working_since is None:
            worker.finish(live, "alone")

    def leave_gang(self, live: LiveRun, how: str) -> None:
        """A run has ended, and with it its gang's."""
        if not self.stage(live.task)["gang"]:
            return
        members = self.gangs.pop((live.task.rsplit(".", 1)[0], live.run), {})
        for worker, member in members.values():
            if member is not live:
                worker.finish(member, "done" if how == "done" else "broken")


def started(cluster: Cluster, seed: int = 0) -> Cluster:
    """A cluster whose agents have found their primary."""
    cluster.promote()
    cluster.run(2.5)
    return cluster


def job_id(number: int) -> str:
    """An ID as clients choose them."""
    return f"{number:016x}"


def is_reply(message: Struct) -> bool:
    """Whether a message answers a client."""
    return isinstance(message, ClientReply | NotPrimary | AgentReport)
