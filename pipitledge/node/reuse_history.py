"""Whether a server link that has stood idle for so long can still be used: learned from those that were."""

from __future__ import annotations

USE_DECAY = 0.95  # of what was seen before, decay with each new use: the last 20 count
HALF_LIFE_MS = 10_000.0  # what is no longer used is seen no more: it is tried again after a while
PRIOR_GOOD_USES = 8.0  # uses that went well, as if seen before the first: one break is chance
MAX_BROKEN_SHARE = 0.15  # a new connection costs its worker far less than a job that may not be repeated
ALWAYS_REUSABLE_MS = 16.0  # nobody closes a connection that was used just now


class ReuseHistory:
    """Uses of idle links, and how many of them broke with no byte of an answer, by the time they were idle.

    A worker's machine may close a connection long before the limit that the settings tell, and say nothing:
    the next request written to it is a reset, which for most classes must not be repeated.
    """

    def __init__(self) -> None:
        """Begin without having seen any; times are counted in powers of two of a millisecond."""
        self._uses, self._broken, self._last_use_ms = [0.0] * 32, [0.0] * 32, [0.0] * 32

    def record_use(self, now_ms: float, idle_ms: float, broke: bool) -> None:
        """Take what became of a link that was used again."""
        bucket = int(idle_ms).bit_length()
        decay = USE_DECAY * self._time_decay(now_ms, bucket)
        self._uses[bucket] = decay * self._uses[bucket] + 1.0
        self._broken[bucket] = decay * self._broken[bucket] + broke
        self._last_use_ms[bucket] = now_ms

    def is_reusable(self, now_ms: float, idle_ms: float) -> bool:
        """Whether links idle for so long, and for less, mostly were still good of late."""
        buckets = range(int(ALWAYS_REUSABLE_MS).bit_length(), int(idle_ms).bit_length() + 1)
        return all(self._broken_share(now_ms, bucket) < MAX_BROKEN_SHARE for bucket in buckets)

    def _broken_share(self, now_ms: float, bucket: int) -> float:
        decay = self._time_decay(now_ms, bucket)
        return decay * self._broken[bucket] / (decay * self._uses[bucket] + PRIOR_GOOD_USES)

    def _time_decay(self, now_ms: float, bucket: int) -> float:
        return float(0.5 ** ((now_ms - self._last_use_ms[bucket]) / HALF_LIFE_MS)) if self._uses[bucket] else 1.0
