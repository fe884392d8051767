"""Signals are handled at once, whichever thread the kernel delivers them to.

Guards against a delayed shutdown: after SIGTERM a node accepted calls for up to two more seconds, and then had too
little time left for the calls in progress. The main thread was waiting for its next poll of the settings file, and that
wait is not interrupted by a signal that is delivered to another thread or just before the wait begins. The test
delivers the signal to another thread.
"""

from __future__ import annotations

import signal
import threading
import unittest
from unittest import mock

from pipitledge.runtime import process_signals
from pipitledge.runtime.process_signals import SignalLoop


class SignalLoopTest(unittest.TestCase):
    def setUp(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.addCleanup(signal.set_wakeup_fd, -1)
        self.polls: list[str] = []

    def test_a_signal_delivered_to_another_thread_is_handled_at_once(self) -> None:
        loop = SignalLoop(lambda: None, lambda: self.polls.append("settings"))
        loop.install()
        ready = threading.Event()

        def signal_itself() -> None:
            ready.wait()
            signal.pthread_kill(threading.get_ident(), signal.SIGTERM)

        other = threading.Thread(target=signal_itself)
        other.start()
        with mock.patch.object(process_signals, "POLL_SECONDS", 1.0):
            ready.set()
            loop.run_until_terminated()
        other.join()
        self.assertEqual(self.polls, [], "the signal was handled only after the next poll of the settings file")


if __name__ == "__main__":
    unittest.main()
