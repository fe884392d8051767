"""The single thread of a process that writes log lines.

Other threads only queue their lines, for two reasons. `picologging` acquires its lock without releasing the GIL, so a
second thread that writes at the same time deadlocks the process. And when the reader of the log does not read, a write
blocks.
"""

from __future__ import annotations

import os
import queue
import threading
from typing import Protocol

import picologging

MAX_QUEUED_LINES = 10_000  # further lines are dropped and counted
MAX_LINES_PER_WRITE = 200
STANDARD_OUTPUT = 1  # file descriptor


class LineSink(Protocol):
    """Receives formatted lines; implemented by `picologging.Logger`."""

    def log(self, level: int, msg: str, /) -> None:
        """Write one line, or several joined by line breaks."""


class DescriptorStream:
    """An unbuffered stream, so that no output is lost in a buffer when the process ends."""

    def __init__(self, descriptor: int) -> None:
        """Write to the file descriptor `descriptor`."""
        self._descriptor = descriptor

    def write(self, text: str) -> int:
        """Write the whole text; raises OSError on failure."""
        left = memoryview(text.encode("utf-8", "replace"))
        while left:
            left = left[os.write(self._descriptor, left) :]
        return len(text)

    def flush(self) -> None:
        """Do nothing: `write` does not buffer."""


class LineWriter:
    """Accepts lines from any thread without blocking, and writes them on its own thread."""

    def __init__(self, sink: LineSink, max_queued: int = MAX_QUEUED_LINES) -> None:
        """Write to `sink`; new lines are dropped while `max_queued` lines are queued."""
        self._sink = sink
        self._max_queued = max_queued
        self._lines: queue.SimpleQueue[str | threading.Event] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._thread: threading.Thread | None = None
        self._dropped = 0

    def log(self, _level: int, line: str, /) -> None:
        """Queue the line, or drop it if the queue is full."""
        if self._lines.qsize() >= self._max_queued:
            self._dropped += 1
            return
        self._lines.put(line)
        if self._thread is None:
            self._start()

    def flush(self, seconds: float) -> bool:
        """Wait until all lines queued so far are written; return False after `seconds` seconds."""
        if self._thread is None:
            return True
        written = threading.Event()
        self._lines.put(written)
        return written.wait(seconds)

    def _start(self) -> None:
        with self._lock:
            if self._thread is None:
                self._thread = threading.Thread(target=self._serve, name="log", daemon=True)
                self._thread.start()

    def _serve(self) -> None:
        while True:
            batch, flushed = self._take_batch()
            if self._dropped:
                batch.append(f"lines_left_out={self._dropped}")
                self._dropped = 0
            if batch:
                self._write(batch)
            if flushed is not None:
                flushed.set()

    def _take_batch(self) -> tuple[list[str], threading.Event | None]:
        """Wait for lines; return the next batch, and the event of a `flush` call if one follows the batch."""
        batch: list[str] = []
        while not batch or (len(batch) < MAX_LINES_PER_WRITE and not self._lines.empty()):
            item = self._lines.get()
            if isinstance(item, threading.Event):
                return batch, item
            batch.append(item)
        return batch, None

    def _write(self, batch: list[str]) -> None:
        """Write the lines; if that fails, count them as dropped and continue with the next batch."""
        try:
            self._sink.log(picologging.INFO, "\n".join(batch))
        except Exception:
            self._dropped += len(batch)


def standard_output() -> LineWriter:
    """Create a writer to the standard output of this process."""
    handler = picologging.StreamHandler(DescriptorStream(STANDARD_OUTPUT))
    handler.setFormatter(picologging.Formatter("%(message)s"))
    logger = picologging.Logger("pipitledge", picologging.INFO)
    logger.addHandler(handler)
    return LineWriter(logger)
