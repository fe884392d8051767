"""The worker's steady clock, as far as its agent can know it."""

from __future__ import annotations

import math

MIN_CLOCK_RATE = 0.98  # a worker's clock may run this slowly against the agent's, and never faster
MS_PER_S = 1000.0


class WorkerClock:
    """A lower bound of the clock of one life of a worker, from the readings that its messages carry."""

    def __init__(self) -> None:
        """Begin without a reading."""
        self._reading_ms: float | None = None
        self._received = 0.0

    def record_reading(self, clock_ms: float, received: float) -> None:
        """Take a reading made at some time up to `received` (agent's clock); the one that says most is kept."""
        known = self.lower_bound_ms(received)
        if known is None or clock_ms >= known:
            self._reading_ms = clock_ms
            self._received = received

    def lower_bound_ms(self, when: float) -> float | None:
        """What the worker's clock shows at least, at `when` on the agent's; None without a reading."""
        if self._reading_ms is None:
            return None
        return self._reading_ms + MIN_CLOCK_RATE * MS_PER_S * (when - self._received)

    def deadline_ms(self, until: float) -> int | None:
        """A time on the worker's clock that has come, at any rate, when the agent's shows `until`."""
        bound = self.lower_bound_ms(until)
        return None if bound is None else math.floor(bound)
