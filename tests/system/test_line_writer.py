"""Tests of the thread that writes log lines."""

from __future__ import annotations

import threading
import unittest

from pipitledge.runtime.line_writer import LineWriter

WAIT_SECONDS = 20.0  # a test fails after this time; passing tests never wait for it


class Sink:
    """Collects the written lines; can fail (`refusals`) or block the writer while `open` is cleared."""

    def __init__(self) -> None:
        self.written: list[str] = []
        self.refusals = 0
        self.open = threading.Event()
        self.open.set()
        self.reached = threading.Event()

    def log(self, _level: int, msg: str, /) -> None:
        self.reached.set()
        self.open.wait(WAIT_SECONDS)
        if self.refusals:
            self.refusals -= 1
            raise OSError("no space left on device")
        self.written += msg.split("\n")


class LineWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.sink = Sink()
        self.writer = LineWriter(self.sink, max_queued=3)

    def test_lines_are_written_in_their_order(self) -> None:
        for line in ("first", "second", "third"):
            self.writer.log(0, line)
            self.assertTrue(self.writer.flush(WAIT_SECONDS))
        self.assertEqual(self.sink.written, ["first", "second", "third"])

    def test_lines_dropped_because_the_queue_is_full_are_counted(self) -> None:
        self.sink.open.clear()
        self.writer.log(0, "held up")
        self.assertTrue(self.sink.reached.wait(WAIT_SECONDS))
        for line in ("1", "2", "3", "4", "5"):
            self.writer.log(0, line)
        self.sink.open.set()
        self.assertTrue(self.writer.flush(WAIT_SECONDS))
        self.assertEqual(self.sink.written, ["held up", "1", "2", "3", "lines_left_out=2"])

    def test_lines_after_a_failed_write_are_written(self) -> None:
        self.sink.refusals = 1
        self.writer.log(0, "refused")
        self.assertTrue(self.writer.flush(WAIT_SECONDS))
        self.writer.log(0, "next")
        self.assertTrue(self.writer.flush(WAIT_SECONDS))
        self.assertEqual(self.sink.written, ["lines_left_out=1", "next"])

    def test_a_flush_waits_no_longer_than_its_timeout(self) -> None:
        self.addCleanup(self.sink.open.set)
        self.sink.open.clear()
        self.writer.log(0, "held up")
        self.assertFalse(self.writer.flush(0.01))


if __name__ == "__main__":
    unittest.main()
