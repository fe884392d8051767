"""A printer as a model: jobs made, documents received, printed one after another; cancel, restart, drain. No socket.

It prints while it receives, as real ones may: a document that broke off can be on paper in part. The ledger counts
every document of which paper came out, by the job that it belongs to.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from pipitledge.ipp.model import FINISHED, JobState, Status
from pipitledge.ipp.placement import Seen


@dataclass(slots=True, eq=False)
class PrintJob:
    """One job at a printer."""

    id: int
    name: str  # job-name, which its sender set
    document: str  # what the ledger counts
    state: JobState = JobState.HELD
    incoming: bool = True  # its document has not come whole
    begun: bool = False  # a byte of it came
    impressions: int = 0
    ends_ms: float = math.inf


@dataclass(slots=True, eq=False)
class Printer:
    """One printer. `advance` lets time pass."""

    name: str
    ledger: Counter[str]
    print_ms: float = 200.0  # for a document
    most_queued: int = 20
    streams: bool = True  # begins to print before the document is whole
    history: int = 100  # finished jobs that it still knows
    started_ms: float = 0.0
    accepting: bool = True
    now: float = 0.0
    jobs: dict[int, PrintJob] = field(default_factory=dict)
    _next: int = 1

    @property
    def up_time(self) -> int:
        """Seconds since its start, at least 1 (RFC 8011, 5.4.29)."""
        return 1 + int((self.now - self.started_ms) / 1_000.0)

    def queued(self) -> int:
        """Jobs that are not finished."""
        return sum(job.state not in FINISHED for job in self.jobs.values())

    def create(self, now: float, name: str, document: str) -> PrintJob | Status:
        """Create-Job."""
        self.advance(now)
        if not self.accepting:
            return Status.NOT_ACCEPTING
        if self.queued() >= self.most_queued:
            return Status.BUSY
        job = PrintJob(self._next, name, document)
        self._next += 1
        self.jobs[job.id] = job
        return job

    def receive(self, now: float, job: PrintJob, whole: bool) -> bool:
        """Bytes of a document came; False if the job takes none any more."""
        self.advance(now)
        if job.state in FINISHED or self.jobs.get(job.id) is not job:
            return False
        job.begun = True
        if whole:
            job.incoming = False
            job.state = JobState.PENDING if job.state is JobState.HELD else job.state
            if job.state is JobState.PROCESSING and job.ends_ms == math.inf:
                job.ends_ms = now + self.print_ms / 2.0
        self._start()
        return True

    def _start(self) -> None:
        if any(job.state is JobState.PROCESSING for job in self.jobs.values()):
            return
        for job in self.jobs.values():
            ready = job.state is JobState.PENDING or (job.state is JobState.HELD and job.begun and self.streams)
            if ready:
                job.state, job.impressions = JobState.PROCESSING, 1  # the first paper moves
                self.ledger[job.document] += 1
                job.ends_ms = math.inf if job.incoming else self.now + self.print_ms
                return

    def advance(self, now: float) -> None:
        """Let time pass."""
        while (due := self.due()) <= now:
            self.now = max(self.now, due)
            for job in self.jobs.values():
                if job.state is JobState.PROCESSING and job.ends_ms <= due:
                    job.state = JobState.COMPLETED
            self._forget()
            self._start()
        self.now = max(self.now, now)

    def due(self) -> float:
        """When it finishes what it prints."""
        return min((job.ends_ms for job in self.jobs.values() if job.state is JobState.PROCESSING), default=math.inf)

    def _forget(self) -> None:
        finished = [job.id for job in self.jobs.values() if job.state in FINISHED]
        for number in finished[: max(0, len(finished) - self.history)]:
            del self.jobs[number]

    def broke_off(self, now: float, job: PrintJob) -> None:
        """The connection ended before the document was whole: what was printing is aborted, the rest stays held."""
        self.advance(now)
        if job.incoming and job.state is JobState.PROCESSING:
            job.state = JobState.ABORTED
            self._start()

    def look(self, now: float, number: int) -> Seen | None:
        """Get-Job-Attributes."""
        self.advance(now)
        job = self.jobs.get(number)
        if job is None:
            return None
        return Seen(job.state, job.name, self.up_time, job.impressions, job.incoming)

    def cancel(self, now: float, number: int) -> Status:
        """Cancel-Job: one that prints stops with paper out; one that is finished can't be cancelled."""
        self.advance(now)
        job = self.jobs.get(number)
        if job is None:
            return Status.NOT_FOUND
        if job.state in FINISHED:
            return Status.NOT_POSSIBLE
        job.state = JobState.CANCELED
        self._start()
        return Status.OK

    def restart(self, now: float) -> None:
        """Power off and on: all jobs are gone, ids begin again."""
        self.advance(now)
        self.jobs.clear()
        self._next, self.started_ms = 1, now
