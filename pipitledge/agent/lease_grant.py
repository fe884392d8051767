"""How long this agent may let the worker hold its tasks."""

from __future__ import annotations

from msgspec import Struct

from pipitledge.agent.worker_clock import MS_PER_S
from pipitledge.agent.worker_instance import WorkerInstance
from pipitledge.runtime.ports import Clock


class Deadline(Struct, frozen=True):
    """One end of holding on both clocks."""

    until: float  # agent's steady clock
    worker_ms: int  # the worker's clock


MAX_LEASE_S = 5.0
"""Tasks are held so far ahead at most: as long as an agent may need to start anew, as a worker that falls silent keeps
its tasks from others until its holds have lapsed."""


class LeaseGrant:
    """Holds reach no further than the grant of the last report answered, and the most a worker takes."""

    def __init__(self, clock: Clock, hold_max_ms: float) -> None:
        """Begin with no grant; a worker takes no deadline further than `hold_max_ms` ahead."""
        self._clock = clock
        self._max_lease_s = min(MAX_LEASE_S, hold_max_ms / MS_PER_S)
        self._granted_until: float | None = None
        self.grant_s = 0.0  # of the last answer; 0: none yet

    def renew(self, report_sent_at: float, grant_ms: int) -> None:
        """The primary answered a report sent at `report_sent_at`."""
        self.grant_s = grant_ms / MS_PER_S
        until = report_sent_at + self.grant_s
        if self._granted_until is None or until > self._granted_until:
            self._granted_until = until

    def until(self) -> float | None:
        """Until when tasks may be held, as things stand (agent's clock); None if that has passed or never began."""
        now = self._clock.now()
        if self._granted_until is None or self._granted_until <= now:
            return None
        return min(now + self._max_lease_s, self._granted_until)

    def deadline(self, worker: WorkerInstance) -> Deadline | None:
        """The furthest deadline that may be given to that life; None if there is none."""
        until = self.until()
        worker_ms = None if until is None else worker.clock.deadline_ms(until)
        return None if until is None or worker_ms is None else Deadline(until, worker_ms)
