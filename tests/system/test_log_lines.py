"""Writing log lines from many threads, and to a reader that does not read.

Guards against a deadlock: a node stopped answering on all connections, was killed at the end of its termination grace
period, and lost every call it had accepted. Two threads had written a log line at the same time. The first held the
lock of the log library and released the GIL during the write; the second waited for that lock while it held the GIL, so
the first could never continue. The stacks of stuck nodes in soak runs showed it: all threads were blocked, one of them
in the library's call that writes a line.
"""

from __future__ import annotations

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
WAIT_SECONDS = 20.0  # a test fails after this time; passing tests never wait for it
THREADS, LINES = 4, 2_000

LOG_FROM_THREADS = f"""
import threading
from pipitledge.runtime import logs

def write(thread):
    for line in range({LINES}):
        logs.get("part").info(f"event_{{thread}}_{{line}}")

threads = [threading.Thread(target=write, args=(thread,)) for thread in range({THREADS})]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join()
"""


LOG_TO_UNREAD_PIPE = """
import os, sys
from pipitledge.runtime import logs

for line in range(5_000):
    logs.get("part").info(f"event_{line}", text="x" * 100)
sys.stderr.write("went on")
sys.stderr.flush()
os._exit(0)
"""


class BlockedReaderTest(unittest.TestCase):
    """The log goes to a pipe whose reader is open but does not read, like a hanging log collector."""

    def test_an_unread_log_does_not_block_the_process(self) -> None:
        command = [sys.executable, "-c", LOG_TO_UNREAD_PIPE]
        with subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, cwd=ROOT) as process:
            self.addCleanup(process.kill)
            try:
                process.wait(WAIT_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
            assert process.stderr is not None
            self.assertEqual(process.stderr.read(), b"went on")


class ManyThreadsTest(unittest.TestCase):
    def test_threads_that_log_concurrently_do_not_deadlock(self) -> None:
        command = [sys.executable, "-c", LOG_FROM_THREADS]
        try:
            done = subprocess.run(command, stdout=subprocess.PIPE, cwd=ROOT, timeout=WAIT_SECONDS, check=True)
        except subprocess.TimeoutExpired:
            self.fail("the process is deadlocked")
        self.assertEqual(len(done.stdout.splitlines()), THREADS * LINES)


if __name__ == "__main__":
    unittest.main()
