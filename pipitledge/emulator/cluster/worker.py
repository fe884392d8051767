"""Model workers after the operators' protocol: timed work, gangs, checkpoints, holds, and trouble of many kinds."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from pipitledge.agent.agent import Agent
from pipitledge.emulator.cluster.deployment import HEARTBEAT_MS, WorkerPlan
from pipitledge.runtime.ports import WorkerResponse
from pipitledge.runtime.settings import Bounds

WIRE_S = 0.001
STEP_S = 0.1  # between two looks at a run's progress
SAVE_PERCENT = 20  # of the work, between two checkpoints

Answer = Callable[[int, dict[str, Any]], None]


@dataclass
class Work:
    """What one task of a job is really like."""

    seconds: float
    fails: bool  # this run of it


@dataclass
class LiveRun:
    """One run on a worker."""

    task: str
    run: int
    life: WorkerLife
    saved: str = ""
    resumed_from: float = 0.0  # percent
    working_since: float | None = None  # None: waits for its gang
    stopping: bool = False
    percent: float = 0.0
    updated: float = 0.0


@dataclass(frozen=True)
class RunEnd:
    """One entry of the list of ends."""

    number: int
    task: str
    run: int
    how: str
    saved: str
    at: float


@dataclass
class WorkerLife:
    """What one life of a worker knows."""

    instance: str
    clock_offset_ms: float
    fence: int = 0
    deadline_ms: float = 0.0
    running: dict[str, LiveRun] = field(default_factory=dict)
    barred: dict[str, int] = field(default_factory=dict)  # runs up to this never start
    ends: list[RunEnd] = field(default_factory=list)
    next_end: int = 1
    waiting: list[Callable[[], None]] = field(default_factory=list)
    draining: bool = False
    drain_acknowledged: float | None = None
    sequence: int = 0
    lapsed_at: float = -1.0


class Onlooker(Protocol):
    """Who knows the jobs, and sees all starts and ends."""

    def started(self, worker: ModelWorker, live: LiveRun, spec: str) -> None:
        """A worker began a run."""

    def ended(self, worker: ModelWorker, live: LiveRun, how: str) -> None:
        """A run ended on a worker that is up."""

    def noted(self, worker: ModelWorker, end: RunEnd) -> None:
        """`lastSeen` reached an end while its hold had not lapsed since."""

    def saved(self, task: str, text: str) -> None:
        """A checkpoint was made."""

    def stage(self, task: str) -> dict[str, Any]:
        """The step of a task, with all that its client left out."""

    def work(self, task: str, run: int) -> Work:
        """What a run is like."""


class WorkerWorld(Protocol):
    """Time and chance, as model workers see them: virtual, or those of a real process."""

    random: Random

    @property
    def time(self) -> float:
        """Steady time, seconds."""

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run `action` at that time."""

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Run `action` after `delay` seconds."""


class Caller(Protocol):
    """The process of an agent, which its worker's answers go back to."""

    def deliver(self, action: Callable[[], None]) -> None:
        """Call the agent back, if its process is still there."""


class Gangs:
    """Runs that work only jointly."""

    def __init__(self, world: WorkerWorld, onlooker: Onlooker, gang_s: float) -> None:
        """Members wait for one another at most `gang_s` seconds."""
        self._world = world
        self._onlooker = onlooker
        self._gang_s = gang_s
        self._members: dict[tuple[str, int], dict[str, tuple[ModelWorker, LiveRun]]] = {}

    def join(self, worker: ModelWorker, live: LiveRun) -> None:
        """A run is there: it works once all that it needs is there."""
        stage = self._onlooker.stage(live.task)
        if not stage["gang"]:
            worker.begin_work(live)
            return
        members = self._members.setdefault((live.task.rsplit(".", 1)[0], live.run), {})
        members[live.task] = (worker, live)
        if len(members) < stage["count"]:
            self._world.after(self._gang_s, lambda: self._give_up(worker, live))
            return
        for other, member in list(members.values()):
            other.begin_work(member)

    def _give_up(self, worker: ModelWorker, live: LiveRun) -> None:
        if live.working_since is None:
            worker.finish(live, "alone")

    def leave(self, live: LiveRun, how: str) -> None:
        """A run has ended, and with it its gang's."""
        if not self._onlooker.stage(live.task)["gang"]:
            return
        key = (live.task.rsplit(".", 1)[0], live.run)
        if how == "alone":
            self._members.get(key, {}).pop(live.task, None)
            return
        for worker, member in self._members.pop(key, {}).values():
            if member is not live:
                worker.finish(member, "done" if how == "done" else "broken")


class ModelWorker:
    """The worker beside one agent."""

    look_every_s = STEP_S

    def __init__(
        self, world: WorkerWorld, plan: WorkerPlan, guards: bool, bounds: Bounds, onlooker: Onlooker, gangs: Gangs
    ) -> None:
        """Begin its first life; `guards`: it refuses what does not fit."""
        self.world = world
        self.plan = plan
        self.node = plan.node
        self.guards = guards
        self.bounds = bounds
        self.onlooker = onlooker
        self.gangs = gangs
        self.agent: Callable[[], Agent | None] = lambda: None
        self.rate = world.random.uniform(0.981, 1.0)
        self.up = True
        self.dark = False  # it and its agent hear nothing of each other
        self.speed = 1.0
        self.fails_all = False
        self.unhealthy = False
        self.unanswered = 0.0  # share of calls that get no answer
        self.taking_late = False  # what it does now was ordered long ago
        self.lives = 0
        self.life = self._new_life()
        world.after(world.random.uniform(0.0, 0.3), self._beat)

    def _new_life(self) -> WorkerLife:
        self.lives += 1
        return WorkerLife(f"i-{self.node}-{self.lives}", self.world.random.uniform(0.0, 1e6))

    def clock_ms(self) -> float:
        """Its own steady clock."""
        return self.life.clock_offset_ms + self.world.time * 1_000.0 * self.rate

    # ---- heartbeats

    def _beat(self) -> None:
        self.world.after(HEARTBEAT_MS / 1_000.0, self._beat)
        if self.up:
            self.heartbeat()

    def heartbeat(self) -> None:
        """Tell of itself."""
        life = self.life
        life.sequence += 1
        told: dict[str, Any] = {
            "service": self.plan.service,
            "address": f"{self.node}:80",
            "zone": self.plan.zone,
            "slots": 8,
            "state": "draining" if life.draining else "ready",
            "capacity": self.plan.capacity,
            "labels": list(self.plan.labels),
            "clockMs": int(self.clock_ms()),
            "sequence": life.sequence,
        }
        if life.draining:
            told["remainingMs"] = 1_500
        body = json.dumps(told).encode()
        self.world.after(WIRE_S, lambda: self._deliver(life, body, life.draining))

    def _deliver(self, life: WorkerLife, body: bytes, draining: bool) -> None:
        agent = self.agent()
        if agent is None or self.dark:
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
            self.gangs.leave(live, "crashed")
        self.life.running.clear()
        self.life.waiting.clear()
        if back_after is not None:
            self.world.after(back_after, self.come_back)

    def come_back(self) -> None:
        """Start anew."""
        if not self.up:
            self.life = self._new_life()
            self.up = True
            self.heartbeat()

    def drain(self, leave_after: float) -> None:
        """Announce the end, and leave; come back a second later."""
        life = self.life
        life.draining = True
        self.heartbeat()
        self.world.after(leave_after, lambda: self._leave(life))

    def _leave(self, life: WorkerLife) -> None:
        if life is not self.life or not self.up:
            return
        agent = self.agent()
        if agent is not None and not self.dark:
            agent.leave(life.instance, lambda status, body: None)
        self.crash(1.0)

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
        life.ends.append(RunEnd(life.next_end, live.task, live.run, how, live.saved, self.world.time))
        life.next_end += 1
        self.onlooker.ended(self, live, how)
        waiting, life.waiting = life.waiting, []
        for answer in waiting:
            answer()
        self.gangs.leave(live, how)

    # ---- work

    def _update(self, live: LiveRun) -> None:
        """Bring the progress of a run up to date."""
        now = self.world.time
        if live.working_since is not None:
            seconds = self.onlooker.work(live.task, live.run).seconds
            passed = max(0.0, now - max(live.updated, live.working_since))
            live.percent = min(100.0, live.percent + 100.0 * passed * self.speed / seconds)
        live.updated = now

    def _save(self, live: LiveRun) -> None:
        if self.onlooker.stage(live.task)["checkpoints"] and live.percent > live.resumed_from:
            live.saved = f"{int(live.percent * 100):06x}{live.task}"
            self.onlooker.saved(live.task, live.saved)

    def set_speed(self, speed: float) -> None:
        """Work at another pace from now on."""
        for live in self.life.running.values():
            self._update(live)
        self.speed = speed

    def begin_work(self, live: LiveRun) -> None:
        """All that it needs is there."""
        restore_s = self.bounds.restore_ms / 1_000.0
        live.working_since = live.updated = self.world.time + (restore_s if live.saved else 0.0)
        self._work_on(live)

    def _work_on(self, live: LiveRun) -> None:
        """Look at a run's progress again and again until it ends."""
        if live.life is not self.life or live.life.running.get(live.task) is not live or not self.up:
            return
        before = live.percent
        self._update(live)
        work = self.onlooker.work(live.task, live.run)
        lasts = self.onlooker.stage(live.task)["longRunning"]
        if (self.fails_all or work.fails) and live.percent >= 30.0:
            self.finish(live, "failed")
            return
        if live.percent >= 100.0 and not lasts:
            self.finish(live, "done")
            return
        if int(live.percent) // SAVE_PERCENT > int(before) // SAVE_PERCENT:
            self._save(live)
        left = (100.0 - live.percent) / 100.0 * work.seconds / max(self.speed, 0.01)
        self.world.after(
            min(self.look_every_s, left + 1e-6) if not lasts else 2 * self.look_every_s, lambda: self._work_on(live)
        )

    # ---- calls

    def take_late(self, kind: str, body: dict[str, Any], instance: str) -> None:
        """Carry out a call that was left unanswered."""
        self.taking_late = True
        self.take(kind, body, instance, lambda status, content: None)
        self.taking_late = False

    def take(self, kind: str, body: dict[str, Any], instance: str, answer: Answer) -> None:
        """Carry out a call that has arrived."""
        if not self.up or self.dark:
            return
        life = self.life
        clock = {"clockMs": int(self.clock_ms())}
        if instance and instance != life.instance:
            answer(421, clock)
        elif self.unhealthy and kind == "run-start":
            answer(503, {})
        elif body.get("fenceToken", 0) < life.fence:
            answer(409, {**clock, "reason": "fence"})
        else:
            life.fence = body.get("fenceToken", 0)
            {"run-start": self._start, "run-stop": self._stop, "hold": self._hold}[kind](life, body, answer)

    def _take_deadline(self, life: WorkerLife, deadline_ms: float) -> None:
        cut = min(deadline_ms, self.clock_ms() + self.bounds.hold_max_ms)
        life.deadline_ms = max(life.deadline_ms, cut)
        when = (life.deadline_ms - life.clock_offset_ms) / (1_000.0 * self.rate)
        self.world.at(when + 1e-6, lambda: self._lapse(life))

    def _lapse(self, life: WorkerLife) -> None:
        if life is self.life and self.up and self.clock_ms() >= life.deadline_ms:
            life.lapsed_at = self.world.time
            for live in list(life.running.values()):
                self.finish(live, "lapsed")

    def _fits(self, life: WorkerLife, task: str) -> bool:
        for name, capacity in self.plan.capacity.items():
            used = sum(self.onlooker.stage(other)[name] for other in [*life.running, task])
            if used > capacity:
                return False
        return True

    def _start(self, life: WorkerLife, body: dict[str, Any], answer: Answer) -> None:
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
        if self.guards and not self._fits(life, task):
            answer(409, {**clock, "reason": "room"})
            return
        live = LiveRun(task, run, life, saved=body.get("checkpointed", ""))
        if live.saved:
            live.percent = live.resumed_from = int(live.saved[:6], 16) / 100.0
        life.running[task] = live
        self.onlooker.started(self, live, body["spec"])
        self.gangs.join(self, live)
        answer(200, clock)

    def _stop(self, life: WorkerLife, body: dict[str, Any], answer: Answer) -> None:
        task, run = body["task"], body["runId"]
        life.barred[task] = max(life.barred.get(task, 0), run)
        there = life.running.get(task)
        if there is not None and there.run == run and not there.stopping:
            there.stopping = True
            delay = self.world.random.uniform(0.02, self.bounds.stop_ms / 1_000.0)
            self.world.after(delay, lambda: self.finish(there, "stopped"))
        answer(200, {"clockMs": int(self.clock_ms())})

    def _hold(self, life: WorkerLife, body: dict[str, Any], answer: Answer) -> None:
        last_seen = body.get("lastSeen", 0)
        for end in life.ends:
            if end.number <= last_seen and life.lapsed_at < end.at:
                self.onlooker.noted(self, end)
        life.ends = [end for end in life.ends if end.number > last_seen]
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
        running = [[live.task, live.run, live.saved, int(live.percent)] for live in life.running.values()]
        finished = [[end.number, end.task, end.run, end.how, end.saved] for end in life.ends[:500]]
        return {"clockMs": int(self.clock_ms()), "running": running, "finished": finished}


class ModelCalls:
    """`WorkerTransport` of one agent process."""

    def __init__(self, worker: ModelWorker, process: Caller) -> None:
        """Carry the calls of `process` to `worker`."""
        self._worker = worker
        self._process = process

    def post(
        self, path: str, body: bytes, instance: str, timeout: float, on_answer: Callable[[WorkerResponse], None]
    ) -> None:
        """POST JSON to the worker, meant for its life `instance` (empty: any)."""
        worker, world = self._worker, self._worker.world
        kind, told = path.rsplit("/", 1)[1], json.loads(body)
        answers: list[WorkerResponse] = []

        def end(answer: WorkerResponse) -> None:
            if not answers:
                answers.append(answer)
                self._process.deliver(lambda: on_answer(answer))

        def answered(status: int, content: dict[str, Any]) -> None:
            answer = WorkerResponse(status, json.dumps(content).encode())
            world.after(WIRE_S * world.random.uniform(0.5, 2.0), lambda: None if worker.dark else end(answer))

        world.after(timeout, lambda: end(WorkerResponse()))
        if worker.dark:
            return
        if not worker.up:
            world.after(WIRE_S, lambda: end(WorkerResponse(refused=True)))
        elif world.random.random() >= worker.unanswered:
            world.after(WIRE_S, lambda: worker.take(kind, told, instance, answered))
        elif world.random.random() < 0.6:
            late = world.random.uniform(2.0, 12.0)
            world.after(late, lambda: worker.take_late(kind, told, instance))
