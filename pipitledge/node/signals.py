"""Signals as something the scheduler can wait for."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Iterable

from pipitledge.net.scheduler import Scheduler


class Signals:
    """Turns signals into calls of `take`, in a task of their own.

    A handler alone would run, and the poll would go back to waiting: the interpreter therefore writes each
    signal's number to a pipe. Both ends have to be kept here. When the writing end was a mere local it was
    collected, the other end stood at its end for good, and the node spun on it and was deaf to SIGTERM.
    A pipe and not a socket pair: the latter is a Unix socket, which a node's process may be refused.
    """

    def __init__(self, scheduler: Scheduler, numbers: Iterable[int], handle: Callable[[int], None]) -> None:
        """Catch these signals from now on."""
        self.scheduler, self.handle = scheduler, handle
        self.read_fd, self.write_fd = os.pipe()
        os.set_blocking(self.read_fd, False)
        os.set_blocking(self.write_fd, False)
        signal.set_wakeup_fd(self.write_fd, warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda *_: None)
        scheduler.spawn(self._listen)

    def _listen(self) -> None:
        while True:
            self.scheduler.wait(fd=self.read_fd)
            try:
                numbers = os.read(self.read_fd, 64)
            except BlockingIOError:
                continue
            if not numbers:
                raise RuntimeError("signal pipe closed")  # waiting on would spin
            for number in numbers:
                try:
                    self.handle(number)
                except Exception as fault:  # whatever one signal leads to, the next must be heard
                    self.scheduler.crashed(fault)

    def close(self) -> None:
        """Let go of both ends; the caller has put the interpreter's wakeup descriptor back."""
        os.close(self.read_fd)
        os.close(self.write_fd)
