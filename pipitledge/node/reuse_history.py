"""Decides from past outcomes whether a server link that has been idle for some time can still be used."""

from __future__ import annotations

USE_DECAY = 0.95  # weight that earlier uses keep with each new use: about the last 20 uses count
HALF_LIFE_MS = 10_000.0  # history fades with time, so that an idle time that is avoided is tried again later
PRIOR_GOOD_USES = 8.0  # successful uses assumed before the first one, so that a single break decides nothing
MAX_BROKEN_SHARE = 0.15  # low: a new connection costs a worker far less than a job that may not be repeated
ALWAYS_REUSABLE_MS = 16.0  # a link that was idle for less is always reused


class ReuseHistory:
    """Counts reuses of idle links, and those that broke before any byte of an answer, by how long they were idle.

    A worker's machine may close a connection long before the idle limit in the settings without a sign of it. The next
    request written to that connection is reset, and most job classes must not be repeated after a reset.
    """

    def __init__(self) -> None:
        """Start with an empty history; bucket n holds idle times from 2^(n-1) up to 2^n ms."""
        self._uses, self._broken, self._last_use_ms = [0.0] * 32, [0.0] * 32, [0.0] * 32

    def record_use(self, now_ms: float, idle_ms: float, broke: bool) -> None:
        """Record whether a reused link answered or broke."""
        bucket = int(idle_ms).bit_length()
        decay = USE_DECAY * self._time_decay(now_ms, bucket)
        self._uses[bucket] = decay * self._uses[bucket] + 1.0
        self._broken[bucket] = decay * self._broken[bucket] + broke
        self._last_use_ms[bucket] = now_ms

    def is_reusable(self, now_ms: float, idle_ms: float) -> bool:
        """Return whether recent reuses after this idle time, and after each shorter one, mostly succeeded."""
        buckets = range(int(ALWAYS_REUSABLE_MS).bit_length(), int(idle_ms).bit_length() + 1)
        return all(self._broken_share(now_ms, bucket) < MAX_BROKEN_SHARE for bucket in buckets)

    def _broken_share(self, now_ms: float, bucket: int) -> float:
        decay = self._time_decay(now_ms, bucket)
        return decay * self._broken[bucket] / (decay * self._uses[bucket] + PRIOR_GOOD_USES)

    def _time_decay(self, now_ms: float, bucket: int) -> float:
        return float(0.5 ** ((now_ms - self._last_use_ms[bucket]) / HALF_LIFE_MS)) if self._uses[bucket] else 1.0
