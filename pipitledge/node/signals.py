"""Delivers signals to a task of the scheduler."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Iterable

from pipitledge.net.scheduler import Scheduler


class Signals:
    """Calls `handle` with the number of each signal, in a task of its own.

    After a plain signal handler the interpreter resumes the interrupted poll, which goes on waiting. Therefore the
    interpreter writes each signal's number to a pipe that the scheduler polls. The object must keep both ends open:
    a write end kept only in a local variable was garbage collected, so that the read end reported end of file for ever,
    and the node looped on it and did not react to SIGTERM. A pipe is used because a socket pair consists of Unix
    sockets, which the process may not be allowed to create.
    """

    def __init__(self, scheduler: Scheduler, numbers: Iterable[int], handle: Callable[[int], None]) -> None:
        """Install handlers for these signals and start the task."""
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
                raise RuntimeError("signal pipe closed")  # further waits would return at once, in an endless loop
            for number in numbers:
                try:
                    self.handle(number)
                except Exception as fault:  # a failure in one handler must not stop the handling of later signals
                    self.scheduler.crashed(fault)

    def close(self) -> None:
        """Close both ends; the caller must have restored the interpreter's wakeup descriptor before."""
        os.close(self.read_fd)
        os.close(self.write_fd)
