"""A machine's own link: how many bytes pass it in a second, each way, and in which order."""

from __future__ import annotations


class Lane:
    """One direction of a link: what is sent waits until all that was sent before it has passed."""

    def __init__(self, bytes_per_s: float) -> None:
        """Nothing is on its way."""
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0
        self.carried = 0  # bytes

    def passed_at(self, now: float, size: int) -> float:
        """Take `size` bytes at `now`, in seconds of virtual time; when the last of them has passed."""
        self.carried += size
        self._free_at = max(self._free_at, now) + size / self._bytes_per_s
        return self._free_at


class Link:
    """Both directions. What a caller has given up on still passes: that errs towards a full link."""

    def __init__(self, bytes_per_s: float) -> None:
        """A link that carries so many bytes a second each way."""
        self.bytes_per_s = bytes_per_s
        self.inward = Lane(bytes_per_s)
        self.outward = Lane(bytes_per_s)
