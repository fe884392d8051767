"""Tests of starting threads from a dedicated thread."""

from __future__ import annotations

import threading
import unittest

from pipitledge.runtime.thread_starter import ThreadStarter

WAIT_SECONDS = 20.0  # a test fails after this time; passing tests never wait for it


class FailsOnce(threading.Thread):
    """A thread whose first start fails, as at the system's limit of threads."""

    failures = 1

    def start(self) -> None:
        if self.failures:
            self.failures -= 1
            raise RuntimeError("can't start new thread")
        super().start()


class ThreadStarterTest(unittest.TestCase):
    def test_a_failed_thread_start_is_retried_and_does_not_block_others(self) -> None:
        """Guards against the starter ending at the first failure, so that no further thread is started."""
        starter = ThreadStarter()
        ran = [threading.Event(), threading.Event()]
        starter.start(FailsOnce(target=ran[0].set, daemon=True))
        starter.start(threading.Thread(target=ran[1].set, daemon=True))
        self.assertTrue(ran[1].wait(WAIT_SECONDS))
        self.assertTrue(ran[0].wait(WAIT_SECONDS))


if __name__ == "__main__":
    unittest.main()
