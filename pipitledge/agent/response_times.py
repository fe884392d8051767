"""Computes the time-out of calls to a worker from its response times, as TCP does for retransmissions (RFC 6298).

The minimum is longer than 0.1 s, the time for which a process can be throttled after it has used up its CPU quota.
"""

from __future__ import annotations

FIRST_TIMEOUT_S = 0.6  # before the first answer
SHORTEST_TIMEOUT_S = 0.15
LONGEST_TIMEOUT_S = 1.0
MEAN_WEIGHT = 1 / 8  # weight of a new sample in the mean (alpha in RFC 6298)
DEVIATION_WEIGHT = 1 / 4  # weight of a new sample in the mean deviation (beta)
DEVIATION_FACTOR = 4.0  # mean deviations added to the mean for the time-out (K)
BACKOFF_FACTOR = 2.0  # growth of the time-out with each call without an answer


class ResponseTimeEstimator:
    """Response times of one worker instance; all times in seconds."""

    def __init__(self) -> None:
        """Start without samples."""
        self._mean = 0.0
        self._deviation = 0.0
        self._timeout = FIRST_TIMEOUT_S
        self._last_backoff_at = 0.0

    def answered(self, seconds: float) -> None:
        """A call was answered after `seconds`."""
        if self._mean == 0.0:
            self._mean = seconds
            self._deviation = seconds / 2.0
        else:
            self._deviation += DEVIATION_WEIGHT * (abs(self._mean - seconds) - self._deviation)
            self._mean += MEAN_WEIGHT * (seconds - self._mean)
        self._timeout = min(LONGEST_TIMEOUT_S, max(SHORTEST_TIMEOUT_S, self._mean + DEVIATION_FACTOR * self._deviation))

    def unanswered(self, sent_at: float, now: float) -> None:
        """A call timed out, perhaps too early: lengthen the time-out, once for a group of concurrent calls."""
        if sent_at < self._last_backoff_at:
            return
        self._last_backoff_at = now
        self._timeout = min(LONGEST_TIMEOUT_S, BACKOFF_FACTOR * self._timeout)

    @property
    def timeout(self) -> float:
        """The time-out of the next call."""
        return self._timeout
