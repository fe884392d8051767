"""Estimates how long a poll of the worker should wait for a run to end, from the durations of earlier polls.

If a poll is lost, no ended run becomes known until the poll times out. So a poll waits only somewhat longer than it
typically takes until a run ends: long if the runs are long, short if runs end frequently.
"""

from __future__ import annotations

LONGEST_WAIT_S = 2.0  # the longest that a worker delays its answer
SHORTEST_WAIT_S = 0.2
SAMPLE_WEIGHT = 0.25  # of a new sample in the moving average
WAIT_FACTOR = 2.0  # a poll waits this many times the typical duration
EMPTY_FACTOR = 2.0  # a poll during which no run ended counts as this many times its wait


class PollWaitEstimator:
    """Moving average of the time until a run ends, for one worker instance; all times in seconds."""

    def __init__(self) -> None:
        """Start with the longest wait."""
        self._typical_s = LONGEST_WAIT_S / WAIT_FACTOR

    def ended(self, seconds: float) -> None:
        """A poll was answered after `seconds` because a run ended."""
        self._add_sample(seconds)

    def empty(self, wait_s: float) -> None:
        """A poll waited for `wait_s` and no run ended."""
        self._add_sample(EMPTY_FACTOR * wait_s)

    @property
    def wait_s(self) -> float:
        """How long the next poll should wait."""
        return min(LONGEST_WAIT_S, max(SHORTEST_WAIT_S, WAIT_FACTOR * self._typical_s))

    def _add_sample(self, sample: float) -> None:
        self._typical_s += SAMPLE_WEIGHT * (min(sample, LONGEST_WAIT_S) - self._typical_s)
