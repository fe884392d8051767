"""What a class's plans learn while jobs run: how many attempts beyond first tries, how long serving ones take.

Plain state fed with times; one object per class, kept over reloads of the file.
"""

from __future__ import annotations

import bisect
import math
from collections import deque

LEAST = 3.0  # attempts that the budget always has in a window: a quiet class may try again too
KEPT = 400  # attempts that served; the percentile is of these
ENOUGH = 40  # before so many have served, no percentile is known
BUCKETS = 20  # of the budget's window


class Learned:
    """A class's retry budget over a sliding window, and its times to an answer."""

    def __init__(self) -> None:
        """Begin without a budget: every attempt is granted until `limit` sets one."""
        self.share, self.window_ms = math.inf, 10_000.0
        self._counts: deque[tuple[int, list[int]]] = deque()  # by bucket number: first tries, further attempts
        self._firsts = self._further = 0
        self._took: deque[float] = deque(maxlen=KEPT)
        self._sorted: list[float] = []

    def limit(self, share: float, window_ms: float) -> None:
        """Set the budget: further attempts as a share of first tries within the window."""
        if window_ms != self.window_ms or share == math.inf:
            self._counts.clear()
            self._firsts = self._further = 0
        self.share, self.window_ms = share, window_ms

    def _bucket(self, now_ms: float) -> list[int]:
        number = int(now_ms * BUCKETS / self.window_ms)
        counts = self._counts
        while counts and counts[0][0] <= number - BUCKETS:
            first, further = counts.popleft()[1]
            self._firsts -= first
            self._further -= further
        if not counts or counts[-1][0] < number:
            counts.append((number, [0, 0]))
        return counts[-1][1]

    def arrived(self, now_ms: float) -> None:
        """Count a first try."""
        if self.share == math.inf:
            return
        self._bucket(now_ms)[0] += 1
        self._firsts += 1

    def spend(self, now_ms: float) -> bool:
        """Take one further attempt; False, and nothing is taken, if the window's share is used up."""
        if self.share == math.inf:
            return True
        bucket = self._bucket(now_ms)
        if self.share <= 0.0 or self._further + 1 > max(LEAST, self.share * self._firsts):
            return False
        bucket[1] += 1
        self._further += 1
        return True

    def served(self, took_ms: float) -> None:
        """Note how long an attempt took that served."""
        if len(self._took) == KEPT:
            del self._sorted[bisect.bisect_left(self._sorted, self._took[0])]
        self._took.append(took_ms)
        bisect.insort(self._sorted, took_ms)

    def percentile_ms(self, share: float) -> float:
        """The time in which this share of the last attempts served; infinite until enough are known."""
        if len(self._sorted) < ENOUGH:
            return math.inf
        return self._sorted[min(len(self._sorted) - 1, math.ceil(share * len(self._sorted)) - 1)]
