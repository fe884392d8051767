"""Clients: they hand in jobs, ask for their states, cancel some, and ask for counts."""

from __future__ import annotations

import json
from functools import partial
from random import Random

from pipitledge.emulator.cluster.auditor import Auditor
from pipitledge.emulator.cluster.callers import REFUSED, SILENCE, Outside, Reply
from pipitledge.emulator.cluster.deployment import HOST
from pipitledge.emulator.cluster.jobs import Job, draw_job
from pipitledge.emulator.cluster.virtual import DEFAULT_WALL_MS
from pipitledge.emulator.cluster.worker import STEP_S

UNCLEAR = (SILENCE, 502, 504)
REJECTED = (429, 503, 404, 400)
MOST_REJECTIONS = 12
DEADLINE_MS = 3_000.0


class Clients:
    """All clients of a day."""

    def __init__(self, random: Random, outside: Outside, auditor: Auditor, interval_s: float) -> None:
        """Hand in a job every `interval_s` seconds or so."""
        self._random = random
        self._outside = outside
        self._auditor = auditor
        self._world = auditor.world
        self._edges = auditor.deployment.edges
        self._interval_s = interval_s
        self._rejections: dict[str, int] = {}
        self.stopped = False
        self.answers = 0

    @property
    def jobs(self) -> dict[str, Job]:
        """All jobs sent, by ID."""
        return self._auditor.jobs

    def start(self) -> None:
        """Begin."""
        self._next_job()
        self._ask_some()

    def _node(self) -> str:
        return self._random.choice(self._edges)

    # ---- submitting

    def _next_job(self) -> None:
        if self.stopped:
            return
        job_id = f"{len(self.jobs) + 1:016x}"
        wall_ms = DEFAULT_WALL_MS + int(self._world.time * 1_000)
        job = draw_job(self._random, self._auditor.deployment, job_id, wall_ms)
        self.jobs[job_id] = job
        self.submit(job)
        if self._random.random() < 0.12:
            self._world.after(self._random.uniform(0.1, 4.0), partial(self.cancel, job))
        if self._random.random() < 0.1:
            self._world.after(self._random.uniform(0.1, 2.0), partial(self.submit, job))  # a try that came twice
        self._world.after(self._random.expovariate(1.0 / self._interval_s), self._next_job)

    def submit(self, job: Job) -> None:
        """Send a job to some node, until there is a clear answer."""
        body = json.dumps(job.body).encode()
        job.tries_open += 1
        self._outside.client(self._node(), "POST", HOST, job.path, body, DEADLINE_MS, partial(self._submitted, job))

    def _submitted(self, job: Job, reply: Reply) -> None:
        job.tries_open -= 1
        if 200 <= reply.status < 300:
            job.accepted_at = min(job.accepted_at, reply.at)
            return
        if reply.status in UNCLEAR:
            job.doubtful = True
        elif reply.status in REJECTED:
            job.rejected = True
            self._check_rejection(job, reply)
            self._rejections[job.id] = self._rejections.get(job.id, 0) + 1
            if self._rejections[job.id] > MOST_REJECTIONS:
                return
        elif reply.status != REFUSED:
            self._auditor.breach("LOST", f"{job.id}: POST at {reply.call.node} was answered {reply.status}")
            return
        self._world.after(self._random.uniform(0.2, 0.8), partial(self.submit, job))

    def _check_rejection(self, job: Job, reply: Reply) -> None:
        in_touch = self._auditor.troubles.in_touch(reply.call.node, self._auditor.bounds.config_apply_ms / 1_000.0)
        if reply.status in (404, 400) and in_touch:
            self._auditor.breach("CONFIG", f"{job.id}: POST at {reply.call.node} was answered {reply.status}")

    # ---- cancelling

    def cancel(self, job: Job) -> None:
        """Cancel a job, until there is a clear answer."""
        job.cancel_sent_at = min(job.cancel_sent_at, self._world.time)
        self._outside.client(self._node(), "DELETE", HOST, job.path, b"", DEADLINE_MS, partial(self._cancelled, job))

    def _cancelled(self, job: Job, reply: Reply) -> None:
        if 200 <= reply.status < 300:
            job.cancelled_at = min(job.cancelled_at, reply.at)
        elif reply.status == 410:
            late = job.accepted_at < reply.call.sent_at - self._auditor.bounds.visible_ms / 1_000.0
            if late and self._auditor.troubles.in_touch(reply.call.node):
                self._auditor.breach("LOST", f"{job.id}: DELETE at {reply.call.node} was answered 410")
        else:
            self._world.after(self._random.uniform(0.2, 0.6), partial(self.cancel, job))

    # ---- asking

    def _ask_some(self) -> None:
        open_jobs = [job for job in self.jobs.values() if job.accepted_at <= self._world.time and not job.final_state]
        for job in self._random.sample(open_jobs, min(2, len(open_jobs))):
            self.ask(job)
        if self.jobs and self._random.random() < 0.2:
            self.ask(self._random.choice(list(self.jobs.values())))
        self._world.after(self._random.uniform(2 * STEP_S, 6 * STEP_S), self._ask_some)

    def ask(self, job: Job) -> None:
        """Ask some node for a job's state, once."""
        self._outside.client(self._node(), "GET", HOST, job.path, b"", DEADLINE_MS, partial(self._asked, job))

    def _asked(self, job: Job, reply: Reply) -> None:
        if reply.status not in (200, 410):
            return
        self.answers += 1
        state = str(json.loads(reply.body)["state"]) if reply.status == 200 else ""
        self._auditor.shown(job, reply.call.node, reply.status, state, reply.call.sent_at)
