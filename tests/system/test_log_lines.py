"""Writing log lines from many threads.

What users saw: a node answered nothing any more, on open connections as on new ones, and was killed when its time to
end was over; every call that it had taken was lost. What happened: two threads wrote a line at the same moment. The
first held the log library's lock and let the interpreter go on while the line left; the second waited for that lock
without letting the interpreter go on, so that the first could never return. Evidence: stacks of stuck nodes of soak
runs: all threads stand still, one of them in the library's call that writes a line.
"""

from __future__ import annotations

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
WAIT_SECONDS = 20.0  # a bound for broken code, never waited for
THREADS, LINES = 4, 2_000

WRITE_FROM_THREADS = f"""
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


WRITE_WITHOUT_A_READER = """
import os, sys
from pipitledge.runtime import logs

for line in range(5_000):
    logs.get("part").info(f"event_{line}", text="x" * 100)
sys.stderr.write("went on")
sys.stderr.flush()
os._exit(0)
"""


class NobodyReadsTest(unittest.TestCase):
    """A log that goes into a pipe whose reader is there and does not read, as when a log collector hangs."""

    def test_a_log_that_nobody_reads_does_not_stop_the_process(self) -> None:
        command = [sys.executable, "-c", WRITE_WITHOUT_A_READER]
        with subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, cwd=ROOT) as process:
            self.addCleanup(process.kill)
            try:
                process.wait(WAIT_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
            assert process.stderr is not None
            self.assertEqual(process.stderr.read(), b"went on")


class ManyThreadsTest(unittest.TestCase):
    def test_threads_that_write_at_once_do_not_stop_the_process(self) -> None:
        command = [sys.executable, "-c", WRITE_FROM_THREADS]
        try:
            done = subprocess.run(command, stdout=subprocess.PIPE, cwd=ROOT, timeout=WAIT_SECONDS, check=True)
        except subprocess.TimeoutExpired:
            self.fail("the process stands still")
        self.assertEqual(len(done.stdout.splitlines()), THREADS * LINES)


if __name__ == "__main__":
    unittest.main()
