"""Timers by due time, and the thread that waits for the next one."""

from __future__ import annotations

import heapq
import threading
from collections.abc import Callable

Action = Callable[[], None]

MAX_CANCELLED = 64  # cancelled timers that may stay in the heap before it is rebuilt


class ScheduledAction:
    """An action with its due time; `cancel` drops the action, the heap forgets it later."""

    __slots__ = ("_action", "_order", "_queue", "when")

    def __init__(self, queue: TimerQueue, when: float, order: int, action: Action) -> None:
        """Make the timer; only `TimerQueue.add` does."""
        self.when = when
        self._order = order
        self._queue = queue
        self._action: Action | None = action

    def __lt__(self, other: ScheduledAction) -> bool:
        """Whether it goes first: by due time, then by the order in which timers were added."""
        return (self.when, self._order) < (other.when, other._order)

    @property
    def pending(self) -> bool:
        """Whether it has neither run nor been cancelled."""
        return self._action is not None

    def cancel(self) -> None:
        """Drop the action; nothing happens if it has run."""
        if self._action is not None:
            self._action = None
            self._queue.count_cancelled()

    def fire(self) -> None:
        """Run the action, unless it was cancelled."""
        action, self._action = self._action, None
        if action is not None:
            action()


class TimerQueue:
    """A heap of timers. Any thread may add; one thread takes what is due."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Use `now` for steady time in seconds."""
        self._now = now
        self._changed = threading.Condition(threading.Lock())
        self._heap: list[ScheduledAction] = []
        self._order = 0
        self._cancelled = 0
        self._closed = False

    def __len__(self) -> int:
        """How many timers are in the heap, cancelled ones that it has not forgotten yet included."""
        return len(self._heap)

    def add(self, when: float, action: Action) -> ScheduledAction:
        """Have `action` due at steady time `when`."""
        with self._changed:
            self._order += 1
            timer = ScheduledAction(self, when, self._order, action)
            heapq.heappush(self._heap, timer)
            if self._heap[0] is timer:
                self._changed.notify()
        return timer

    def count_cancelled(self) -> None:
        """Count a cancelled timer, and rebuild the heap once most of it is cancelled."""
        with self._changed:
            self._cancelled += 1
            if self._cancelled > MAX_CANCELLED and self._cancelled * 2 > len(self._heap):
                self._heap = [timer for timer in self._heap if timer.pending]
                heapq.heapify(self._heap)
                self._cancelled = 0

    def take_due(self) -> ScheduledAction | None:
        """The first timer that is due now, taken out of the heap."""
        with self._changed:
            self._drop_cancelled()
            if self._heap and self._heap[0].when <= self._now():
                return heapq.heappop(self._heap)
        return None

    def wait_due(self) -> ScheduledAction | None:
        """Wait until a timer is due and take it; None once closed."""
        while not self._closed:
            timer = self.take_due()
            if timer is not None:
                return timer
            self._wait_for_first()
        return None

    def close(self) -> None:
        """End `wait_due`."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def _wait_for_first(self) -> None:
        """Wait until the first timer is due, or another one has come before it."""
        with self._changed:
            self._drop_cancelled()
            if self._closed:
                return
            if not self._heap:
                self._changed.wait()
                return
            left = self._heap[0].when - self._now()
            if left > 0:
                self._changed.wait(left)

    def _drop_cancelled(self) -> None:
        """Forget cancelled timers at the head of the heap."""
        while self._heap and not self._heap[0].pending:
            heapq.heappop(self._heap)
            self._cancelled = max(0, self._cancelled - 1)
