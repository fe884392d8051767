"""A scheduler of greenlets over select.poll.

A task is a greenlet that parks in one wait at a time: on a descriptor, on a notice by another task, or on its
own timer, whichever comes first. The loop is rounds: run what is ready, let the node decide, poll.
"""

from __future__ import annotations

import math
import select
from collections import deque
from collections.abc import Callable
from enum import Enum

import greenlet

from pipitledge.net.timers import Timers

READ, WRITE = select.POLLIN, select.POLLOUT


class Wake(Enum):
    """Why a wait is over."""

    READY = "ready"
    NOTICE = "notice"
    TIMEOUT = "timeout"


class Task:
    """One greenlet. A notice to a task that runs is dropped: tasks look at their state, then park."""

    __slots__ = ("_greenlet", "_scheduler", "parked", "urgent")

    def __init__(self, scheduler: Scheduler, run: Callable[[], None], urgent: bool) -> None:
        """Make the greenlet; the scheduler starts it in its next round."""
        self._scheduler, self.urgent = scheduler, urgent
        self._greenlet = greenlet.greenlet(run, scheduler.hub)
        self.parked = True

    def wake(self, why: Wake = Wake.NOTICE) -> None:
        """Make a parked task ready."""
        if self.parked:
            self.parked = False
            ready = self._scheduler.ready
            (ready.appendleft if self.urgent else ready.append)((self._greenlet, why))


class Scheduler:
    """Runs tasks until it is stopped. `crashed` hears of exceptions that no task caught."""

    def __init__(self, timers: Timers, crashed: Callable[[BaseException], None]) -> None:
        """Make an empty scheduler, whose loop runs in the calling greenlet."""
        self.timers, self.crashed = timers, crashed
        self.hub = greenlet.getcurrent()
        self.ready: deque[tuple[greenlet.greenlet, Wake]] = deque()
        self.after_round: Callable[[], None] = lambda: None
        self._poll = select.poll()
        self._masks: dict[int, int] = {}  # descriptors registered, each kept until it fires unwanted
        self._watchers: dict[int, Task] = {}
        self._current: Task | None = None
        self._tasks: dict[greenlet.greenlet, Task] = {}
        self._running = False

    def spawn(self, run: Callable[[], None], urgent: bool = False) -> Task:
        """Start a task. An urgent one runs ahead of all others that are ready; there may be few of them."""

        def guarded() -> None:
            try:
                run()
            except Exception as fault:  # one task's fault must not end the node
                self.crashed(fault)
            finally:
                del self._tasks[greenlet.getcurrent()]

        task = Task(self, guarded, urgent)
        self._tasks[task._greenlet] = task
        task.wake()
        return task

    def current(self) -> Task:
        """The calling task."""
        return self._tasks[greenlet.getcurrent()]

    def wait(self, until_ms: float = math.inf, fd: int = -1, mask: int = READ) -> Wake:
        """Park the calling task until the descriptor is ready, somebody notifies it, or time is up."""
        task = self._tasks[greenlet.getcurrent()]
        if fd >= 0:
            self._watch(fd, mask, task)
        timer = self.timers.at(until_ms, lambda: task.wake(Wake.TIMEOUT)) if until_ms < math.inf else None
        task.parked = True
        why: Wake = self.hub.switch()
        if timer is not None:
            timer.cancel()
        if fd >= 0 and self._watchers.get(fd) is task:  # closed meanwhile, its number may be another task's by now
            del self._watchers[fd]
        return why

    def _watch(self, fd: int, mask: int, task: Task) -> None:
        known = self._masks.get(fd)
        if known is None:
            self._poll.register(fd, mask)
        elif known != mask:
            self._poll.modify(fd, mask)
        self._masks[fd] = mask
        self._watchers[fd] = task

    def forget(self, fd: int) -> None:
        """Drop a descriptor; to be called before it is closed, as its number may come again."""
        if self._masks.pop(fd, None) is not None:
            self._poll.unregister(fd)
        self._watchers.pop(fd, None)

    def run(self) -> None:
        """Run rounds until stop is called, and one more: what the last one has woken, an answer say, still goes out."""
        self._running = True
        while self._running:
            self.turn()
        self.turn()

    def turn(self, wait_most_ms: float | None = None) -> None:
        """Run one round: what is ready, what the node decides on it, then a poll up to the next timer."""
        while self.ready:
            resumed, why = self.ready.popleft()
            resumed.switch(why) if resumed else resumed.switch()
        try:
            self.after_round()
        except Exception as fault:  # the loop is the one thing that must never end by a fault
            self.crashed(fault)
        wait = 0.0 if self.ready else self.timers.wait_ms()
        if wait_most_ms is not None:
            wait = wait_most_ms if wait is None else min(wait, wait_most_ms)
        elif not self._running:
            wait = 0.0
        self._poll_once(wait)

    def stop(self) -> None:
        """Leave run once the present round is over, and what it has woken has run."""
        self._running = False

    def _poll_once(self, wait_ms: float | None) -> None:
        # Rounded up: a poll that returns early would spin until the timer is due.
        for fd, _ in self._poll.poll(None if wait_ms is None else math.ceil(wait_ms)):
            if (task := self._watchers.get(fd)) is not None:
                task.wake(Wake.READY)
            elif self._masks.pop(fd, None) is not None:
                self._poll.unregister(fd)  # nobody waits for it now; the next wait registers it again
        self.timers.run_due(self.crashed)
