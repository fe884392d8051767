"""The one lock of a process, under which all logic runs, and the clock that calls it back."""

from __future__ import annotations

import threading
import time
import traceback
from collections.abc import Callable

from pipitledge.runtime.logs import EventLog
from pipitledge.runtime.timers import ScheduledAction, TimerQueue

Action = Callable[[], None]


class SerialExecutor:
    """Runs all calls into logic one at a time; implements the port `Clock`.

    An exception that leaves a piece of logic is logged with its step and counted; the process goes on.
    """

    def __init__(self, log: EventLog, now: Callable[[], float] = time.monotonic) -> None:
        """Take steady time from `now`, in seconds."""
        self._log = log
        self._monotonic = now
        self._lock = threading.RLock()
        self._timers = TimerQueue(now)
        self._thread = threading.Thread(target=self._serve_timers, name="timers", daemon=True)
        self.failures = 0  # callbacks that raised

    def start(self) -> None:
        """Begin to run timers."""
        self._thread.start()

    def stop(self) -> None:
        """Run no more timers."""
        self._timers.close()
        if self._thread.is_alive():
            self._thread.join()

    def now(self) -> float:
        """Steady time, seconds."""
        return self._monotonic()

    def wall_ms(self) -> int:
        """Time of day, milliseconds since 1970; may jump."""
        return time.time_ns() // 1_000_000

    def at(self, when: float, action: Action) -> ScheduledAction:
        """Call `action` under the lock once steady time reaches `when`."""
        return self._timers.add(when, action)

    def soon(self, action: Action) -> None:
        """Call `action` under the lock, after the call that is under way."""
        self.at(self.now(), action)

    def run(self, action: Action, step: str, peer: str = "") -> bool:
        """Run `action` under the lock; if it raises, log that with `step` and `peer`, and return False."""
        with self._lock:
            try:
                action()
            except Exception as error:
                self._record_failure(error, step, peer)
                return False
        return True

    def run_due(self) -> None:
        """Run all timers that are due now, on the calling thread."""
        while (timer := self._timers.take_due()) is not None:
            self.run(timer.fire, "timer")

    def deliver(self, callback: Action) -> None:
        """Run a callback of a thread of the disk under the lock."""
        self.run(callback, "disk callback")

    def _serve_timers(self) -> None:
        """Run timers as they fall due."""
        while (timer := self._timers.wait_due()) is not None:
            self.run(timer.fire, "timer")

    def _record_failure(self, error: Exception, step: str, peer: str) -> None:
        """Count and log what left a callback."""
        self.failures += 1
        trace = "".join(traceback.format_exception(error)[-4:])
        self._log.error("callback_failed", step=step, peer=peer or None, error=repr(error), trace=trace)
