"""A priority queue of timers, ordered by due time, with a blocking wait for the next one."""

from __future__ import annotations

import heapq
import threading
from collections.abc import Callable

Action = Callable[[], None]

MAX_CANCELLED = 64  # cancelled timers kept in the heap before it may be rebuilt


class ScheduledAction:
    """An action with its due time; after `cancel` the timer stays in the heap for a while, without its action."""

    __slots__ = ("_action", "_order", "_queue", "when")

    def __init__(self, queue: TimerQueue, when: float, order: int, action: Action) -> None:
        """Create the timer; called by `TimerQueue.add` only."""
        self.when = when
        self._order = order
        self._queue = queue
        self._action: Action | None = action

    def __lt__(self, other: ScheduledAction) -> bool:
        """Order by due time, then by the order in which timers were added."""
        return (self.when, self._order) < (other.when, other._order)

    @property
    def pending(self) -> bool:
        """Whether the action has neither run nor been cancelled."""
        return self._action is not None

    def cancel(self) -> None:
        """Cancel the action; has no effect if it has run."""
        if self._action is not None:
            self._action = None
            self._queue.count_cancelled()

    def fire(self) -> None:
        """Run the action unless it was cancelled."""
        action, self._action = self._action, None
        if action is not None:
            action()


class TimerQueue:
    """A heap of timers. Any thread may add timers; a single thread takes those that are due."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Create an empty queue; `now` returns monotonic time in seconds."""
        self._now = now
        self._changed = threading.Condition(threading.Lock())
        self._heap: list[ScheduledAction] = []
        self._order = 0
        self._cancelled = 0
        self._closed = False

    def __len__(self) -> int:
        """Return the number of timers in the heap, including cancelled timers not removed yet."""
        return len(self._heap)

    def add(self, when: float, action: Action) -> ScheduledAction:
        """Add a timer that is due at monotonic time `when`."""
        with self._changed:
            self._order += 1
            timer = ScheduledAction(self, when, self._order, action)
            heapq.heappush(self._heap, timer)
            if self._heap[0] is timer:
                self._changed.notify()
        return timer

    def count_cancelled(self) -> None:
        """Count a cancelled timer, and rebuild the heap once more than half of its timers are cancelled."""
        with self._changed:
            self._cancelled += 1
            if self._cancelled > MAX_CANCELLED and self._cancelled * 2 > len(self._heap):
                self._heap = [timer for timer in self._heap if timer.pending]
                heapq.heapify(self._heap)
                self._cancelled = 0

    def take_due(self) -> ScheduledAction | None:
        """Remove and return the first timer if it is due; return None otherwise."""
        with self._changed:
            self._drop_cancelled()
            if self._heap and self._heap[0].when <= self._now():
                return heapq.heappop(self._heap)
        return None

    def wait_due(self) -> ScheduledAction | None:
        """Wait until a timer is due, remove it and return it; return None once the queue is closed."""
        while not self._closed:
            timer = self.take_due()
            if timer is not None:
                return timer
            self._wait_for_first()
        return None

    def close(self) -> None:
        """Make `wait_due` return None."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def _wait_for_first(self) -> None:
        """Wait until the first timer is due, or an earlier timer is added."""
        with self._changed:
            self._drop_cancelled()
            if self._closed:
                return
            if not self._heap:
                self._changed.wait()
                return
            remaining = self._heap[0].when - self._now()
            if remaining > 0:
                self._changed.wait(remaining)

    def _drop_cancelled(self) -> None:
        """Remove cancelled timers from the top of the heap."""
        while self._heap and not self._heap[0].pending:
            heapq.heappop(self._heap)
            self._cancelled = max(0, self._cancelled - 1)
