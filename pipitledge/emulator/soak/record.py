"""What a soak run has seen: jobs and their tasks, calls by how they ended, and findings."""

from __future__ import annotations

import math
import threading
import time
from collections import Counter
from typing import Any

from msgspec import Struct

from pipitledge.emulator.cluster.jobs import Job
from pipitledge.emulator.cluster.worker import LiveRun, ModelWorker, RunEnd, Work
from pipitledge.emulator.soak.connection import CallEnd, Outcome
from pipitledge.emulator.soak.processes import ProcessEnd

# Exit codes of processes that a signal ended before they had taken over their signals.
TERMINATED = -15
HUNG_UP = -1


class Finding(Struct, frozen=True):
    """Something that must not happen."""

    kind: str
    at: float  # seconds since the run began
    text: str

    def __str__(self) -> str:
        """One line."""
        return f"{self.kind} at {self.at:.2f} s: {self.text}"


class Record:
    """Takes what threads of a run see; implements the workers' `Onlooker`."""

    def __init__(self, loss_slack_ms: float) -> None:
        """Calls cut within `loss_slack_ms` of their last byte are not counted as lost."""
        self._lock = threading.Lock()
        self._loss_slack_s = loss_slack_ms / 1_000.0
        self.began_at = time.monotonic()
        self.jobs: dict[str, Job] = {}
        self.calls: Counter[str] = Counter()
        self.done: set[str] = set()  # tasks
        self.findings: list[Finding] = []
        self.events: list[str] = []  # planned work, as it was done
        self.outage_until = -math.inf  # steady time until which an outage of the core excuses what needs a primary
        self._live: dict[str, list[tuple[ModelWorker, LiveRun]]] = {}  # runs of each task that have begun

    def note(self, event: str) -> None:
        """Keep a line on planned work."""
        with self._lock:
            self.events.append(f"{self._elapsed():7.3f} {event}")

    def find(self, kind: str, text: str) -> None:
        """Note what must not happen."""
        with self._lock:
            self.findings.append(Finding(kind, self._elapsed(), text))

    def _elapsed(self) -> float:
        return time.monotonic() - self.began_at

    # ---- clients

    def add_job(self, job: Job) -> None:
        """A job is about to be handed in."""
        with self._lock:
            self.jobs[job.id] = job

    def call_ended(
        self, machine: str, call: str, end: CallEnd, terminated_at: float | None, killed_at: float = -math.inf
    ) -> None:
        """A client's call has ended.

        `terminated_at` is when the process there was told to end, if it was, and `killed_at` when one was last killed
        without being asked: that cuts the calls that it has.
        """
        killed = end.outcome is Outcome.CUT and end.sent_at <= killed_at <= end.ended_at
        with self._lock:
            self.calls["cut by a kill" if killed else end.outcome.value] += 1
        if end.outcome is Outcome.ANSWERED or killed:
            return
        told = "" if terminated_at is None else f", SIGTERM {end.ended_at - terminated_at:.2f} s before"
        text = f"{machine}: {call} {end.outcome.value} {end.seconds:.3f} s after it was sent{told}"
        if end.outcome is Outcome.SILENT:
            self.find("SILENT", text)
        elif end.seconds > self._loss_slack_s:
            self.find("LOST", text)

    def answered(self, job: Job, method: str, status: int) -> None:
        """A call about a job was answered."""
        if not 200 <= status < 300:
            return
        if method == "POST":
            job.accepted_at = min(job.accepted_at, time.monotonic())
        elif method == "DELETE":
            job.cancelled_at = min(job.cancelled_at, time.monotonic())

    # ---- processes

    def process_ended(self, end: ProcessEnd) -> None:
        """A process has ended.

        One that got a signal before it took any call may end by the signal itself: the interpreter needs a while until
        it runs the first line of the program, from which on SIGHUP is ignored at least. One that was done in time may
        be there for longer while the kernel ends it: it waits for a write to a disk that has stalled.
        """
        if end.by_outage:
            self.note(f"{end.machine} was killed")
            return
        if end.asked_at is None and end.exit_code == HUNG_UP and not end.began:
            self.note(f"{end.machine} ended by SIGHUP before it began")
            return
        if end.asked_at is None:
            self.find("ENDED", f"{end.machine} ended by itself with {end.exit_code}")
            return
        took = end.ended_at - end.asked_at
        self.note(f"{end.machine} ended {took:.2f} s after SIGTERM with {end.exit_code}")
        if end.killed and not end.finished:
            self.find("KILLED", f"{end.machine} was still there {took:.1f} s after SIGTERM")
        elif end.exit_code and not end.finished and (end.began or end.exit_code not in (TERMINATED, HUNG_UP)):
            self.find("ENDED", f"{end.machine} ended {took:.2f} s after SIGTERM with {end.exit_code}")

    # ---- workers

    def stage(self, task: str) -> dict[str, Any]:
        """The step of a task."""
        return self.jobs[task.split(".")[0]].stages[int(task.split(".")[2])]

    def work(self, task: str, run: int) -> Work:
        """What a run is like."""
        return self.jobs[task.split(".")[0]].work(task, run)

    def saved(self, task: str, text: str) -> None:
        """A checkpoint was made; nothing is checked of it here."""

    def started(self, worker: ModelWorker, live: LiveRun, spec: str) -> None:
        """A worker began a run."""
        if self.jobs[live.task.split(".")[0]].body["spec"] != spec:
            self.find("UNASKED", f"{live.task}: not what a client sent")
        self._check_twice(worker, live)

    def _check_twice(self, worker: ModelWorker, live: LiveRun) -> None:
        """A run began; no other worker that is up may be running the task, unless copies of it are allowed."""
        others = [(other, run) for other, run in self._live.get(live.task, []) if _is_running(other, run)]
        self._live[live.task] = [*others, (worker, live)]
        elsewhere = [other.node for other, _ in others if other is not worker]
        if elsewhere and not self.stage(live.task)["speculative"]:
            self.find("TWICE", f"{live.task}: starts on {worker.node}, runs on {elsewhere}")

    def ended(self, worker: ModelWorker, live: LiveRun, how: str) -> None:
        """A run ended."""
        if how == "done":
            self.done.add(live.task)

    def noted(self, worker: ModelWorker, end: RunEnd) -> None:
        """An end was taken note of; nothing is checked of it here."""


def _is_running(worker: ModelWorker, run: LiveRun) -> bool:
    return worker.up and worker.life is run.life and run.life.running.get(run.task) is run
