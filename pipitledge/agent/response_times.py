"""How long a worker's answers take, and how long to wait for one: smoothed as TCP does for its retransmissions.

Source: RFC 6298. The floor covers a process that has spent its share of the processor for a tenth of a second.
"""

from __future__ import annotations

FIRST_TIMEOUT_S = 0.6  # before any answer was seen
SHORTEST_TIMEOUT_S = 0.15
LONGEST_TIMEOUT_S = 1.0
MEAN_WEIGHT = 1 / 8  # of a new sample in the mean (RFC 6298, alpha)
DEVIATION_WEIGHT = 1 / 4  # and in the mean deviation (beta)
DEVIATION_FACTOR = 4.0  # beyond the mean that an answer may take (K)
BACKOFF_FACTOR = 2.0  # by which the time-out grows with each call that got no answer


class ResponseTimeEstimator:
    """Answer times of one life of a worker; all figures in seconds."""

    def __init__(self) -> None:
        """Begin with no sample."""
        self._mean = 0.0
        self._deviation = 0.0
        self._timeout = FIRST_TIMEOUT_S
        self._last_backoff_at = 0.0

    def answered(self, seconds: float) -> None:
        """A call was answered after so long."""
        if self._mean == 0.0:
            self._mean = seconds
            self._deviation = seconds / 2.0
        else:
            self._deviation += DEVIATION_WEIGHT * (abs(self._mean - seconds) - self._deviation)
            self._mean += MEAN_WEIGHT * (seconds - self._mean)
        self._timeout = min(LONGEST_TIMEOUT_S, max(SHORTEST_TIMEOUT_S, self._mean + DEVIATION_FACTOR * self._deviation))

    def unanswered(self, sent_at: float, now: float) -> None:
        """A call got no answer in time: it may have been given up too soon. Calls made side by side count once."""
        if sent_at < self._last_backoff_at:
            return
        self._last_backoff_at = now
        self._timeout = min(LONGEST_TIMEOUT_S, BACKOFF_FACTOR * self._timeout)

    @property
    def timeout(self) -> float:
        """How long the next call may take."""
        return self._timeout
