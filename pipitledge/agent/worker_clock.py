"""The agent's estimate of the worker's monotonic clock."""

from __future__ import annotations

import math

MIN_CLOCK_RATE = 0.98  # slowest assumed rate of a worker's clock relative to the agent's; the fastest is 1
MS_PER_S = 1000.0


class WorkerClock:
    """A lower bound of the clock of one worker instance, from the clock readings in its messages."""

    def __init__(self) -> None:
        """Start without a reading."""
        self._reading_ms: float | None = None
        self._received = 0.0

    def record_reading(self, clock_ms: float, received: float) -> None:
        """Record a reading taken no later than `received` (agent's clock); the one with the highest bound is kept."""
        known = self.lower_bound_ms(received)
        if known is None or clock_ms >= known:
            self._reading_ms = clock_ms
            self._received = received

    def lower_bound_ms(self, when: float) -> float | None:
        """The lowest possible time on the worker's clock when the agent's shows `when`; None without a reading."""
        if self._reading_ms is None:
            return None
        return self._reading_ms + MIN_CLOCK_RATE * MS_PER_S * (when - self._received)

    def deadline_ms(self, until: float) -> int | None:
        """A time that the worker's clock has reached when the agent's shows `until`; None without a reading."""
        bound = self.lower_bound_ms(until)
        return None if bound is None else math.floor(bound)
