"""The main thread of a process: waits for signals, looks at the settings file now and then."""

from __future__ import annotations

import os
import queue
import select
import signal
import time
from collections.abc import Callable
from types import FrameType

POLL_SECONDS = 2.0  # between looks at the settings file
WAKE_BYTES = 512  # read at once from the pipe that signals write to
MS_PER_SECOND = 1000.0


class SignalLoop:
    """Turns signals into calls, made on the main thread outside the signal handler.

    The main thread waits on a pipe that the interpreter writes to in the very signal handler, whichever thread the
    kernel has handed the signal to: a wait on a lock or queue would not end by a signal that another thread got.
    """

    def __init__(self, on_reload: Callable[[], None], on_poll: Callable[[], None]) -> None:
        """Call `on_reload` at SIGHUP, and `on_poll` every now and then."""
        self._on_reload = on_reload
        self._on_poll = on_poll
        self._signals: queue.SimpleQueue[tuple[int, float]] = queue.SimpleQueue()
        self._wake_read = -1  # the pipe's end to read from

    def install(self) -> None:
        """Take over SIGTERM, SIGINT and SIGHUP."""
        self._wake_read, write_end = os.pipe()
        os.set_blocking(self._wake_read, False)
        os.set_blocking(write_end, False)
        signal.set_wakeup_fd(write_end, warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self._on_signal)

    def run_until_terminated(self) -> float:
        """Serve signals; return, once the process should end, the steady time at which it was told so."""
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
        """Serve the signals that have come; when the process was told to end, if it was."""
        while not self._signals.empty():
            number, received_at = self._signals.get()
            if number != signal.SIGHUP:
                return received_at
            self._on_reload()
        return None

    def _on_signal(self, number: int, _frame: FrameType | None) -> None:
        """Pass the signal on to the main thread's loop."""
        self._signals.put((number, time.monotonic()))
