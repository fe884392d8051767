"""How long a poll of the worker should wait for an end, learned from how long polls had to wait.

A poll that got lost on its way hides all ends until its time is over. So a poll waits little longer than it usually
takes until an end comes: long where tasks last, short where they end all the time.
"""

from __future__ import annotations

LONGEST_WAIT_S = 2.0  # a worker waits no longer for an end
SHORTEST_WAIT_S = 0.2
SAMPLE_WEIGHT = 0.25  # of a new sample in the usual time
WAIT_FACTOR = 2.0  # times the usual time that a poll waits
EMPTY_FACTOR = 2.0  # times its wait that a poll without an end counts for


class PollWaitEstimator:
    """The usual time until a poll is answered by an end, at one life of a worker; all figures in seconds."""

    def __init__(self) -> None:
        """Begin with the longest waits."""
        self._typical_s = LONGEST_WAIT_S / WAIT_FACTOR

    def ended(self, seconds: float) -> None:
        """A poll was answered by an end after so long."""
        self._add_sample(seconds)

    def empty(self, wait_s: float) -> None:
        """A poll waited so long, and no end came."""
        self._add_sample(EMPTY_FACTOR * wait_s)

    @property
    def wait_s(self) -> float:
        """How long the next poll should wait."""
        return min(LONGEST_WAIT_S, max(SHORTEST_WAIT_S, WAIT_FACTOR * self._typical_s))

    def _add_sample(self, sample: float) -> None:
        self._typical_s += SAMPLE_WEIGHT * (min(sample, LONGEST_WAIT_S) - self._typical_s)
