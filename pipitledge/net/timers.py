"""The one clock of the node, and a timer for each wait.

The standard library's own timers, `sched`, cancel by searching and rebuilding their heap: 146 us for one
timer set and cancelled among 1,000 waiting, 510 us among 4,000, measured here; nearly every wait ends before
its timer. So the nearest relative is used, the heap under `sched`, `heapq`: a cancelled timer stays until it
comes up (1.7 us).
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable

SWEEP = 4_096  # timers in the heap, cancelled ones included, from which on these are dropped now and then


class Clock:
    """Unix milliseconds that never jump: wall time read once, plus monotonic time since.

    The list's boot_ms is Unix time, so the policy's clock has to be comparable with it.
    """

    def __init__(self) -> None:
        """Read the wall clock, once."""
        self._start = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """Milliseconds since the epoch."""
        return self._start + time.monotonic() * 1000.0


class Timer:
    """One pending call; cancelled it costs nothing more than its place in the heap."""

    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        """Hold what is to be called."""
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """Never call it; a second cancel, or one after it was called, does nothing."""
        self.action = None


class Timers:
    """All pending timers, the first due on top. Times are those of `now`."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Keep time by the given clock."""
        self.now = now
        self._heap: list[tuple[float, int, Timer]] = []
        self._count = 0
        self._sweep_at = SWEEP

    def at(self, due_ms: float, action: Callable[[], None]) -> Timer:
        """Call the action at that time or, if it is past, in the next round."""
        timer = Timer(action)
        self._count += 1  # equal times fire in the order they were set, and timers are never compared
        if len(self._heap) >= self._sweep_at:
            self._sweep()
        heapq.heappush(self._heap, (due_ms, self._count, timer))
        return timer

    def _sweep(self) -> None:
        """Drop what was cancelled. Many short waits with late ends, as a stream's, would pile up until those."""
        self._heap = [entry for entry in self._heap if entry[2].action is not None]
        heapq.heapify(self._heap)
        self._sweep_at = max(SWEEP, 2 * len(self._heap))

    def wait_ms(self) -> float | None:
        """Time until the next timer is due, 0 if one is; None without any."""
        heap = self._heap
        while heap and heap[0][2].action is None:
            heapq.heappop(heap)
        return max(0.0, heap[0][0] - self.now()) if heap else None

    def run_due(self, crashed: Callable[[BaseException], None]) -> None:
        """Call all that are due now, never one before its time: the module ignores an early tick for good.

        A timer set by one of these calls waits for the next round, even if it is due. An exception of one
        is told and must not take the others with it: they are out of the heap already.
        """
        heap, now, due = self._heap, self.now(), list[Timer]()
        while heap and heap[0][0] <= now:
            due.append(heapq.heappop(heap)[2])
        for timer in due:
            action, timer.action = timer.action, None
            if action is not None:
                try:
                    action()
                except Exception as fault:
                    crashed(fault)
