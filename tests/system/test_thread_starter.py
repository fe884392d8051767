"""Threads that are started on a thread of their own."""

from __future__ import annotations

import threading
import unittest

from pipitledge.runtime.thread_starter import ThreadStarter

WAIT_SECONDS = 20.0  # a bound for broken code, never waited for


class FailsOnce(threading.Thread):
    """A thread that the system has no room for at first."""

    failures = 1

    def start(self) -> None:
        if self.failures:
            self.failures -= 1
            raise RuntimeError("can't start new thread")
        super().start()


class ThreadStarterTest(unittest.TestCase):
    def test_a_thread_that_can_not_be_started_is_started_later_and_holds_up_no_other(self) -> None:
        """Read again: the starter ended with the first failure, and no thread was started any more."""
        starter = ThreadStarter()
        ran = [threading.Event(), threading.Event()]
        starter.start(FailsOnce(target=ran[0].set, daemon=True))
        starter.start(threading.Thread(target=ran[1].set, daemon=True))
        self.assertTrue(ran[1].wait(WAIT_SECONDS))
        self.assertTrue(ran[0].wait(WAIT_SECONDS))


if __name__ == "__main__":
    unittest.main()
