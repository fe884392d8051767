"""States the operators' rules over what workers, clients and operators saw, and writes down what breaks one."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from pipitledge.emulator.cluster.deployment import Deployment
from pipitledge.emulator.cluster.jobs import Job
from pipitledge.emulator.cluster.troubles import Troubles
from pipitledge.emulator.cluster.virtual import DEFAULT_WALL_MS, World
from pipitledge.emulator.cluster.worker import LiveRun, ModelWorker, RunEnd, Work

NOTED_S = 1.0  # a machine in touch starts nothing later than that after an end `done` was noted
JUMP_MS = 5_000.0  # a task may start that much earlier on days when clocks jump
STOP_SLACK_S = 0.05


@dataclass(frozen=True)
class Breach:
    """A broken rule."""

    rule: str
    at: float
    text: str

    def __str__(self) -> str:
        """The breach as one line."""
        return f"{self.rule} at {self.at:.3f} s: {self.text}"


class Auditor:
    """Watches runs and jobs. Implements the workers' `Onlooker`."""

    def __init__(self, world: World, deployment: Deployment, troubles: Troubles) -> None:
        """Watch a day on that deployment."""
        self.world = world
        self.deployment = deployment
        self.bounds = deployment.bounds
        self.troubles = troubles
        self.workers: dict[str, ModelWorker] = {}
        self.jobs: dict[str, Job] = {}
        self.breaches: list[Breach] = []
        self.clocks_jump = False
        self.starts = 0
        self._last_start: dict[str, float] = {}
        self._done: set[str] = set()  # tasks that have ended `done`, noted or not
        self._done_noted: dict[str, float] = {}
        self._failed_noted: dict[str, set[int]] = defaultdict(set)  # runs by owner
        self._last_failure_noted: dict[str, float] = {}
        self._failed: dict[str, set[int]] = defaultdict(set)
        self._texts: dict[str, set[str]] = defaultdict(set)
        self._idle_since: dict[str, float] = {}

    def breach(self, rule: str, text: str) -> None:
        """A rule is broken."""
        self.breaches.append(Breach(rule, self.world.time, text))

    # ---- what workers need to know

    def job_of(self, task: str) -> Job:
        """The job of a task."""
        return self.jobs[task.split(".")[0]]

    def stage(self, task: str) -> dict[str, Any]:
        """The step of a task."""
        return self.job_of(task).stages[int(task.split(".")[2])]

    def work(self, task: str, run: int) -> Work:
        """What a run is like."""
        return self.job_of(task).work(task, run)

    def saved(self, task: str, text: str) -> None:
        """A checkpoint was made."""
        self._texts[self._owner(task)].add(text)

    def _owner(self, task: str) -> str:
        """Whose checkpoints and failures count for a task: its own, or its gang's."""
        return task.rsplit(".", 1)[0] if self.stage(task)["gang"] else task

    def _members(self, task: str) -> list[str]:
        """The tasks for which an end of this one counts."""
        stage = self.stage(task)
        family = task.rsplit(".", 1)[0]
        return [f"{family}.{index}" for index in range(stage["count"])] if stage["gang"] else [task]

    # ---- starts

    def started(self, worker: ModelWorker, live: LiveRun, spec: str) -> None:
        """A worker began a run."""
        task, now = live.task, self.world.time
        self.starts += 1
        job = self.jobs.get(task.split(".")[0])
        if job is None or job.body["spec"] != spec:
            self.breach("UNASKED", f"{task}: not what a client sent")
            return
        if live.saved and live.saved not in self._texts[self._owner(task)]:
            self.breach("UNASKED", f"{task}: checkpoint {live.saved} of another task")
        possible = job.accepted_at < math.inf or job.doubtful or job.tries_open > 0
        if job.rejected and not possible:
            self.breach("REFUSED", f"{task}: every try was rejected")
        in_touch = self.troubles.in_touch(worker.node) and not worker.taking_late
        self._check_twice(worker, task, in_touch)
        self._check_cancelled(job, task, in_touch)
        self._check_budget(job, task, in_touch)
        self._check_order(job, task)
        self._check_place(worker, job, task)
        self._check_drain(worker, task, in_touch)
        self._last_start[task] = now

    def _check_twice(self, worker: ModelWorker, task: str, in_touch: bool) -> None:
        elsewhere = [
            other.node
            for other in self.workers.values()
            if other.up and other is not worker and task in other.life.running
        ]
        speculative = self.stage(task)["speculative"]
        if elsewhere and not speculative:
            self.breach("TWICE", f"{task}: starts on {worker.node}, runs on {elsewhere}")
        noted_at = self._done_noted.get(task, math.inf)
        may_still = speculative and not (in_touch and self.world.time > noted_at + NOTED_S)
        if noted_at < math.inf and not may_still:
            self.breach("TWICE", f"{task}: starts on {worker.node}, was noted as done at {noted_at:.3f}")
        elif in_touch and self.job_of(task).shown_completed_at < self.world.time - NOTED_S:
            self.breach("TWICE", f"{task}: starts after its job was shown as completed")

    def _check_cancelled(self, job: Job, task: str, in_touch: bool) -> None:
        late_s = self.world.time - job.cancelled_at - self.bounds.cancel_ms / 1_000.0
        if in_touch and late_s > 0.0:
            self.breach("UNASKED", f"{task}: starts {late_s:.2f} s too late after its cancelling")

    def _check_budget(self, job: Job, task: str, in_touch: bool) -> None:
        if job.lasts:
            return
        failed = self._failed_noted[self._owner(task)]
        noted_at = self._last_failure_noted.get(task, -math.inf)
        may_still = self.stage(task)["speculative"] and not (in_touch and self.world.time > noted_at + NOTED_S)
        if len(failed) >= job.queue.max_attempts and not may_still:
            self.breach("BUDGET", f"{task}: runs {sorted(failed)} failed already")

    def _check_order(self, job: Job, task: str) -> None:
        _, time, step, _ = task.split(".")
        for earlier in job.stages[int(step)]["dependsOn"]:
            for index in range(job.stages[earlier]["count"]):
                if f"{job.id}.{time}.{earlier}.{index}" not in self._done:
                    self.breach("ORDER", f"{task}: {earlier}.{index} is not done")
        allowance_ms = self.bounds.early_ms + (JUMP_MS if self.clocks_jump else 0.0)
        early_ms = job.due_ms(int(time)) - (DEFAULT_WALL_MS + self.world.time * 1_000.0)
        if early_ms > allowance_ms:
            self.breach("ORDER", f"{task}: {early_ms:.0f} ms before its time")

    def _check_place(self, worker: ModelWorker, job: Job, task: str) -> None:
        stage = self.stage(task)
        running = worker.life.running
        for name, capacity in worker.plan.capacity.items():
            used = sum(self.stage(other)[name] for other in running)
            if used > capacity and not worker.guards:
                self.breach("LIMIT", f"{worker.node}: {name} {used} of {capacity} with {task}")
        if worker.plan.service != job.queue.service:
            self.breach("ROUTE", f"{task}: on {worker.node} of {worker.plan.service}")
        if stage["nodeSelector"] and stage["nodeSelector"] not in worker.plan.labels:
            self.breach("ROUTE", f"{task}: {worker.node} lacks {stage['nodeSelector']}")
        family = task.rsplit(".", 1)[0]
        alike = sum(other.rsplit(".", 1)[0] == family for other in running)
        if stage["antiAffinity"] and alike > stage["antiAffinity"]:
            self.breach("ROUTE", f"{task}: {alike} of its step on {worker.node}")

    def _check_drain(self, worker: ModelWorker, task: str, in_touch: bool) -> None:
        acknowledged = worker.life.drain_acknowledged
        if acknowledged is None or not in_touch:
            return
        if self.world.time > acknowledged + self.bounds.drain_ms / 1_000.0:
            self.breach("DRAIN", f"{task}: on {worker.node}, draining since {acknowledged:.3f}")

    # ---- ends

    def ended(self, worker: ModelWorker, live: LiveRun, how: str) -> None:
        """A run ended on a worker that is up."""
        job = self.job_of(live.task)
        if how == "done":
            self._done.update(self._members(live.task))
        elif how == "failed":
            self._failed[self._owner(live.task)].add(live.run)
        elif how == "alone" and job.cancel_sent_at == math.inf:
            calm_s = 2 * self.bounds.gang_ms / 1_000.0 + 1.0
            if self.troubles.in_touch(worker.node, calm_s) and self.troubles.all_quiet(calm_s):
                self.breach("GANG", f"{live.task} run {live.run}: waited in vain")

    def noted(self, worker: ModelWorker, end: RunEnd) -> None:
        """`lastSeen` reached an end."""
        if end.how == "failed":
            self._failed_noted[self._owner(end.task)].add(end.run)
            self._last_failure_noted[end.task] = self.world.time
        if end.how != "done" or self.job_of(end.task).lasts:
            return
        for task in self._members(end.task):
            if self._last_start.get(task, -math.inf) > end.at and not self.stage(task)["speculative"]:
                self.breach("TWICE", f"{task}: started after its end {end.number} on {worker.node}, noted later")
            self._done_noted.setdefault(task, self.world.time)

    # ---- what clients are shown

    def shown(self, job: Job, node: str, status: int, state: str, sent_at: float) -> None:
        """A node answered a client's question for a job."""
        if status == 410:
            late_s = sent_at - job.accepted_at - self.bounds.visible_ms / 1_000.0
            if late_s > 0.0 and job.cancel_sent_at == math.inf and self.troubles.in_touch(node):
                self.breach("LOST", f"{job.id}: {node} does not know it, accepted at {job.accepted_at:.3f}")
            return
        if state == "completed":
            job.shown_completed_at = min(job.shown_completed_at, self.world.time)
            undone = [task for task in job.tasks() if task not in self._done]
            if undone:
                self.breach("MIXED", f"{job.id} is shown as completed without {undone[:3]}")
        elif state == "failed" and not self.may_fail(job):
            self.breach("LOST", f"{job.id} is shown as failed without cause")
        elif state == "cancelled" and job.cancel_sent_at == math.inf:
            self.breach("LOST", f"{job.id} is shown as cancelled without cause")
        if job.final_state and state != job.final_state and sent_at > job.final_at:
            self.breach("LOST", f"{job.id} was {job.final_state}, is shown as {state}")
        if state in ("completed", "failed", "cancelled") and not job.final_state:
            job.final_state, job.final_at = state, self.world.time

    def may_fail(self, job: Job) -> bool:
        """Whether a task, or a gang, has failed as often as it may."""
        owners = {self._owner(task) for task in job.tasks()}
        return any(len(self._failed[owner]) >= job.queue.max_attempts for owner in owners)

    # ---- what must be so in calm times

    def look(self) -> None:
        """Look at all that runs."""
        self._check_stopped()

    def _check_stopped(self) -> None:
        """Nothing of a cancelled job runs on."""
        span_s = (self.bounds.cancel_ms + self.bounds.stop_ms) / 1_000.0 + STOP_SLACK_S
        if not self.troubles.core_quiet(span_s + self.bounds.contact_ms / 1_000.0):
            return
        for worker in self.workers.values():
            if not worker.up or worker.dark or not self.troubles.all_quiet(span_s + self.bounds.contact_ms / 1_000.0):
                continue
            for task in worker.life.running:
                if self.job_of(task).cancelled_at < self.world.time - span_s:
                    self.breach(
                        "UNASKED", f"{task}: runs on after its cancelling at {self.job_of(task).cancelled_at:.3f}"
                    )

    def check_idle(self, open_jobs: list[Job]) -> None:
        """At the end: no job waits for long that could run. Called again and again."""
        for job in open_jobs:
            if self._could_run(job):
                since = self._idle_since.setdefault(job.id, self.world.time)
                if self.world.time - since > 3.0:
                    self.breach("LOST", f"{job.id} stands still since {since:.3f} though there is room")
                    self._idle_since[job.id] = math.inf
            else:
                self._idle_since.pop(job.id, None)

    def _could_run(self, job: Job) -> bool:
        sound = [
            worker
            for worker in self.workers.values()
            if worker.up and not worker.dark and not worker.life.draining and worker.plan.service == job.queue.service
        ]
        runs = any(task.startswith(job.id) for worker in self.workers.values() for task in worker.life.running)
        if runs or not sound:
            return False
        used = sum(self.stage(task)["cpu"] for worker in sound for task in worker.life.running)
        if used >= 0.5 * sum(worker.plan.capacity["cpu"] for worker in sound):
            return False
        return any(self._has_room(task, sound) for task in job.tasks() if self._is_due(job, task))

    def _is_due(self, job: Job, task: str) -> bool:
        _, time, step, _ = task.split(".")
        if task in self._done or job.due_ms(int(time)) > DEFAULT_WALL_MS + self.world.time * 1_000.0:
            return False
        earlier = [
            f"{job.id}.{time}.{other}.{index}"
            for other in job.stages[int(step)]["dependsOn"]
            for index in range(job.stages[other]["count"])
        ]
        return all(other in self._done for other in earlier)

    def _has_room(self, task: str, sound: list[ModelWorker]) -> bool:
        """Whether there is room for it, and for its gang, twice over."""
        stage = self.stage(task)
        wanted = 2 * (stage["count"] if stage["gang"] else 1)
        found = 0
        for worker in sound:
            if stage["nodeSelector"] and stage["nodeSelector"] not in worker.plan.labels:
                continue
            free = {
                name: capacity - sum(self.stage(other)[name] for other in worker.life.running)
                for name, capacity in worker.plan.capacity.items()
            }
            found += min(int(free[name] // stage[name]) for name in free if stage[name])
        return found >= wanted
