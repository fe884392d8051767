"""The lease grant of the primary: how long the agent may extend the task leases of its worker."""

from __future__ import annotations

from msgspec import Struct

from pipitledge.agent.worker_clock import MS_PER_S
from pipitledge.agent.worker_instance import WorkerInstance
from pipitledge.runtime.ports import Clock


class Deadline(Struct, frozen=True):
    """One lease deadline on both clocks."""

    until: float  # agent's monotonic clock
    worker_ms: int  # worker's monotonic clock


MAX_LEASE_S = 5.0
"""Longest time ahead for which task leases are extended. It has to cover a restart of the agent. Longer leases would
delay failover: the tasks of a worker that stops answering cannot run elsewhere until its leases have expired."""


class LeaseGrant:
    """Limits lease deadlines to the latest grant of the primary and to the longest lease that a worker accepts."""

    def __init__(self, clock: Clock, hold_max_ms: float) -> None:
        """Start without a grant; a worker accepts no deadline further than `hold_max_ms` ahead."""
        self._clock = clock
        self._max_lease_s = min(MAX_LEASE_S, hold_max_ms / MS_PER_S)
        self._granted_until: float | None = None
        self.grant_s = 0.0  # duration of the last grant; 0: none received yet

    def renew(self, report_sent_at: float, grant_ms: int) -> None:
        """The primary answered a report sent at `report_sent_at`; the grant counts from that time on."""
        self.grant_s = grant_ms / MS_PER_S
        until = report_sent_at + self.grant_s
        if self._granted_until is None or until > self._granted_until:
            self._granted_until = until

    def until(self) -> float | None:
        """The latest lease deadline permitted now (agent's clock); None without a valid grant."""
        now = self._clock.now()
        if self._granted_until is None or self._granted_until <= now:
            return None
        return min(now + self._max_lease_s, self._granted_until)

    def deadline(self, worker: WorkerInstance) -> Deadline | None:
        """The latest deadline that may be sent to that worker instance.

        None without a valid grant or without a reading of the worker's clock.
        """
        until = self.until()
        worker_ms = None if until is None else worker.clock.deadline_ms(until)
        return None if until is None or worker_ms is None else Deadline(until, worker_ms)
