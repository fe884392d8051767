"""Whether a server link that has stood idle for so long can still be used: learned from those that were."""

from __future__ import annotations

FORGET = 0.95  # of what was seen before, kept with each new use: the last 20 count
HALF_LIFE_MS = 10_000.0  # what is no longer used is seen no more: it is tried again after a while
UNSEEN_GOOD = 8.0  # uses that went well, as if seen before the first: one break is chance
MOST_BROKEN = 0.15  # a new connection costs its worker far less than a job that may not be repeated
ALWAYS_MS = 16.0  # nobody closes a connection that was used just now


class Reuse:
    """Uses of idle links, and how many of them broke with no byte of an answer, by the time they were idle.

    A worker's machine may close a connection long before the limit that the settings tell, and say nothing:
    the next request written to it is a reset, which for most classes must not be repeated.
    """

    def __init__(self) -> None:
        """Begin without having seen any; times are counted in powers of two of a millisecond."""
        self._uses, self._broken, self._seen_ms = [0.0] * 32, [0.0] * 32, [0.0] * 32

    def note(self, now_ms: float, idle_ms: float, broke: bool) -> None:
        """Take what became of a link that was used again."""
        step = int(idle_ms).bit_length()
        kept = FORGET * self._kept(now_ms, step)
        self._uses[step] = kept * self._uses[step] + 1.0
        self._broken[step] = kept * self._broken[step] + broke
        self._seen_ms[step] = now_ms

    def trusts(self, now_ms: float, idle_ms: float) -> bool:
        """Whether links idle for so long, and for less, mostly were still good of late."""
        steps = range(int(ALWAYS_MS).bit_length(), int(idle_ms).bit_length() + 1)
        return all(self._share(now_ms, step) < MOST_BROKEN for step in steps)

    def _share(self, now_ms: float, step: int) -> float:
        kept = self._kept(now_ms, step)
        return kept * self._broken[step] / (kept * self._uses[step] + UNSEEN_GOOD)

    def _kept(self, now_ms: float, step: int) -> float:
        return float(0.5 ** ((now_ms - self._seen_ms[step]) / HALF_LIFE_MS)) if self._uses[step] else 1.0
