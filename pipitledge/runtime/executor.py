"""The lock of a process under which all of its logic runs, and the timers that call the logic."""

from __future__ import annotations

import threading
import time
import traceback
from collections.abc import Callable

from pipitledge.runtime.logs import EventLog
from pipitledge.runtime.timers import ScheduledAction, TimerQueue

Action = Callable[[], None]


class SerialExecutor:
    """Runs all calls into the logic one at a time, on the threads that make them; implements the port `Clock`.

    An exception raised by a call is logged with the name of the step and counted; the process continues.
    """

    def __init__(self, log: EventLog, now: Callable[[], float] = time.monotonic) -> None:
        """Create the executor; `now` returns monotonic time in seconds."""
        self._log = log
        self._monotonic = now
        self._lock = threading.RLock()
        self._timers = TimerQueue(now)
        self._thread = threading.Thread(target=self._serve_timers, name="timers", daemon=True)
        self.failures = 0  # calls that raised an exception

    def start(self) -> None:
        """Start the timer thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the timer thread and wait for it."""
        self._timers.close()
        if self._thread.is_alive():
            self._thread.join()

    def now(self) -> float:
        """Return monotonic time, in seconds."""
        return self._monotonic()

    def wall_ms(self) -> int:
        """Return the time of day, in milliseconds since 1970; it may jump."""
        return time.time_ns() // 1_000_000

    def at(self, when: float, action: Action) -> ScheduledAction:
        """Schedule `action` to run under the lock once monotonic time reaches `when`."""
        return self._timers.add(when, action)

    def soon(self, action: Action) -> None:
        """Schedule `action` to run under the lock after the current call."""
        self.at(self.now(), action)

    def run(self, action: Action, step: str, peer: str = "") -> bool:
        """Run `action` under the lock; if it raises, log the exception with `step` and `peer`, and return False."""
        with self._lock:
            try:
                action()
            except Exception as error:
                self._record_failure(error, step, peer)
                return False
        return True

    def run_due(self) -> None:
        """Run all timers that are due, on the calling thread."""
        while (timer := self._timers.take_due()) is not None:
            self.run(timer.fire, "timer")

    def deliver(self, callback: Action) -> None:
        """Run a callback from the disk thread under the lock."""
        self.run(callback, "disk callback")

    def _serve_timers(self) -> None:
        """Run timers when they become due; the main loop of the timer thread."""
        while (timer := self._timers.wait_due()) is not None:
            self.run(timer.fire, "timer")

    def _record_failure(self, error: Exception, step: str, peer: str) -> None:
        """Count and log an exception raised by a call."""
        self.failures += 1
        trace = "".join(traceback.format_exception(error)[-4:])
        self._log.error("callback_failed", step=step, peer=peer or None, error=repr(error), trace=trace)
