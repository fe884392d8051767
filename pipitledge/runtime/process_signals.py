"""The main loop of a process: waits for signals, and periodically polls the settings file."""

from __future__ import annotations

import os
import queue
import select
import signal
import time
from collections.abc import Callable
from types import FrameType

POLL_SECONDS = 2.0  # interval of `on_poll`, which checks the settings file
WAKE_BYTES = 512  # most bytes read at once from the wakeup pipe
MS_PER_SECOND = 1000.0


class SignalLoop:
    """Turns signals into calls made on the main thread, outside the signal handler.

    The main thread waits on a wakeup pipe, to which the interpreter writes in its C signal handler, whichever thread
    the kernel delivers the signal to. Waiting on a lock or queue would not be interrupted by a signal that is delivered
    to another thread.
    """

    def __init__(self, on_reload: Callable[[], None], on_poll: Callable[[], None]) -> None:
        """Call `on_reload` on SIGHUP, and `on_poll` after each `POLL_SECONDS` without a signal."""
        self._on_reload = on_reload
        self._on_poll = on_poll
        self._signals: queue.SimpleQueue[tuple[int, float]] = queue.SimpleQueue()
        self._wake_read = -1  # read end of the wakeup pipe; -1 before `install`

    def install(self) -> None:
        """Install the handlers of SIGTERM, SIGINT and SIGHUP."""
        self._wake_read, write_end = os.pipe()
        os.set_blocking(self._wake_read, False)
        os.set_blocking(write_end, False)
        signal.set_wakeup_fd(write_end, warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self._on_signal)

    def run_until_terminated(self) -> float:
        """Handle signals until SIGTERM or SIGINT; return the monotonic time at which that signal arrived."""
        poller = select.poll()
        poller.register(self._wake_read, select.POLLIN)
        while True:
            if not poller.poll(POLL_SECONDS * MS_PER_SECOND):
                self._on_poll()
                continue
            os.read(self._wake_read, WAKE_BYTES)
            terminated_at = self._handle_received()
            if terminated_at is not None:
                return terminated_at

    def _handle_received(self) -> float | None:
        """Handle the received signals; return the arrival time of SIGTERM or SIGINT if there was one."""
        while not self._signals.empty():
            number, received_at = self._signals.get()
            if number != signal.SIGHUP:
                return received_at
            self._on_reload()
        return None

    def _on_signal(self, number: int, _frame: FrameType | None) -> None:
        """Queue the signal for the loop of the main thread."""
        self._signals.put((number, time.monotonic()))
