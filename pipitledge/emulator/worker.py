"""A worker as a model: cores, speed, slots, a fifo queue, cold start, drain, progress, late load reports, racks.

Fed with times and jobs, it says what its answers hold and when it wants to be asked again; it knows no socket.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from pipitledge.emulator.audit import Attempt, Audit

PROGRESS_MS = 2_000.0


@dataclass(frozen=True, slots=True)
class Machine:
    """What a worker is made of. Speed is work done in a ms by one slot, 1 on the yardstick machine."""

    name: str
    slots: int = 4
    speed: float = 1.0
    zone: int = 0
    kind: int = 0
    cell: int = 0
    cold_ms: float = 20_000.0  # after a start, warm once these have passed
    cold_share: float = 0.13  # capacity right after a start
    report_ms: float = 1_000.0  # load reports are refreshed this often
    most_queued: int = 200  # over this it turns jobs away


@dataclass(slots=True, eq=False)
class Job:
    """One attempt of a request at a worker."""

    id: str
    key: str
    slots: float
    work_ms: float
    attempt: Attempt
    keyed: bool = False
    silent: bool = False  # nothing of it is said
    ends: str = "done"  # or failed, lost, returned
    cancelled: bool = False
    left_ms: float = 0.0  # of work
    progress_ms: float = math.inf


class Said(NamedTuple):
    """One line of an answer."""

    job: Job
    state: str  # started, running, done, failed, lost or returned
    share: float = 0.0


class Rack:
    """A few workers that share which keys they have seen, and for how long."""

    def __init__(self, window_ms: float) -> None:
        """Drop repeats for so long after the first run of a key."""
        self.window_ms = window_ms
        self._seen: dict[str, float] = {}

    def is_repeat(self, key: str, now: float) -> bool:
        """Whether a key ran here within the window; if not, it does from now on."""
        known = self._seen.get(key, -math.inf)
        if now - known < self.window_ms:
            return True
        self._seen[key] = now
        return False


@dataclass(slots=True, eq=False)
class Worker:
    """One worker. `advance` brings it up to a time and returns what was said meanwhile."""

    machine: Machine
    rack: Rack
    audit: Audit
    started_ms: float = -math.inf  # of this start; long ago: warm
    draining: bool = False
    cancels_waiting: bool = True  # after a cancel waiting work is dropped, running work never
    now: float = 0.0
    queue: deque[Job] = field(default_factory=deque)
    running: list[Job] = field(default_factory=list)
    offered: deque[tuple[float, float]] = field(default_factory=deque)  # while cold: when, and work in slot-ms
    worst_cold: float = 0.0  # most work offered in any 2 s, over what it could do in them
    _said: list[Said] = field(default_factory=list)
    _report: dict[str, float] = field(default_factory=dict)
    _reported_ms: float = -math.inf

    def warmth(self, now: float) -> float:
        """The part of its full capacity that it has."""
        machine = self.machine
        if now >= self.started_ms + machine.cold_ms:
            return 1.0
        return machine.cold_share + (1.0 - machine.cold_share) * (now - self.started_ms) / machine.cold_ms

    def _pace(self) -> float:
        return self.machine.speed * self.warmth(self.now)

    def offer(self, now: float, job: Job) -> bool:
        """Take a job whose last byte came; False if it is turned away."""
        self.advance_to(now)
        self._count_cold(now, job)
        if len(self.queue) >= self.machine.most_queued:
            return False
        job.left_ms = job.work_ms
        self.queue.append(job)
        self._start()
        return True

    def _count_cold(self, now: float, job: Job) -> None:
        if self.warmth(now) >= 1.0:
            return
        self.offered.append((now, job.work_ms * job.slots))
        while self.offered[0][0] < now - 2_000.0:
            self.offered.popleft()
        can = 2_000.0 * self.machine.slots * self.machine.speed * self.warmth(now)
        self.worst_cold = max(self.worst_cold, sum(work for _, work in self.offered) / can)

    def cancel(self, now: float, job: Job) -> None:
        """The node stopped listening: what waits is dropped, what runs goes on unheard."""
        self.advance_to(now)
        job.cancelled = True
        if self.cancels_waiting and job in self.queue:
            self.queue.remove(job)

    def _start(self) -> None:
        """Start what fits, in order: the first waits until it does."""
        while self.queue and self.queue[0].slots + sum(job.slots for job in self.running) <= max(
            self.machine.slots, self.queue[0].slots if not self.running else 0
        ):
            job = self.queue.popleft()
            if job.ends == "returned":
                self._said.append(Said(job, "returned"))
                continue
            if job.keyed and self.rack.is_repeat(job.key, self.now):
                self.audit.dropped()
                self._said.append(Said(job, "done"))
                continue
            self.running.append(job)
            job.progress_ms = self.now + PROGRESS_MS
            self.audit.ran(job.id, job.attempt, job.key)
            self._said.append(Said(job, "started"))

    def _ends_at(self, job: Job) -> float:
        half = job.left_ms / 2.0 if job.ends == "lost" else job.left_ms
        return self.now + half / self._pace()

    def due(self) -> float:
        """When something happens here next; infinite if nothing will."""
        return min((min(self._ends_at(job), job.progress_ms) for job in self.running), default=math.inf)

    def advance_to(self, now: float) -> None:
        """Let time pass; the pace of a cold worker is taken as it was at the last step."""
        while self.running and (due := self.due()) <= now:
            self._work(due)
            for job in [job for job in self.running if self._ends_at(job) <= due + 1e-6]:
                self.running.remove(job)
                self._said.append(Said(job, job.ends))
            for job in self.running:
                if job.progress_ms <= due:
                    job.progress_ms += PROGRESS_MS
                    self._said.append(Said(job, "running", 1.0 - job.left_ms / job.work_ms))
            self._start()
        self._work(now)

    def _work(self, until: float) -> None:
        done = max(0.0, until - self.now) * self._pace()
        for job in self.running:
            job.left_ms = max(0.0, job.left_ms - done)
        self.now = max(self.now, until)

    def take_said(self) -> list[Said]:
        """What was said since it was asked last, but by jobs that say nothing."""
        said, self._said = self._said, []
        return [line for line in said if not line.job.silent and not line.job.cancelled]

    def report(self, now: float) -> dict[str, float]:
        """The load report: as old as its last refresh."""
        if now - self._reported_ms >= self.machine.report_ms:
            free = self.machine.slots - sum(job.slots for job in self.running)
            self._reported_ms = now
            self._report = {"lat_ms": 100.0 / self.machine.speed, "q": float(len(self.queue)), "x0": max(0.0, free)}
        return self._report

    def restart(self, now: float) -> list[Job]:
        """Die and start again, cold: all jobs are gone."""
        self.advance_to(now)
        gone = [*self.queue, *self.running]
        self.queue.clear()
        self.running.clear()
        self._said.clear()
        self.started_ms, self.draining, self._reported_ms = now, False, -math.inf
        return gone
