"""The one thread of a process that writes log lines.

Threads that have something to log never write: `picologging` takes its lock without letting the interpreter go on, so
that a second thread that writes meanwhile stops the process for good; and a log that nobody reads holds up whoever
writes.
"""

from __future__ import annotations

import os
import queue
import threading
from typing import Protocol

import picologging

MAX_QUEUED_LINES = 10_000  # lines; more are left out, and counted
MAX_LINES_PER_WRITE = 200  # lines in one write
STANDARD_OUTPUT = 1  # descriptor


class LineSink(Protocol):
    """Takes finished lines; `picologging.Logger` is one."""

    def log(self, level: int, msg: str, /) -> None:
        """Take one line."""


class DescriptorStream:
    """A stream without a buffer of its own, so that nothing is left to write when the process ends."""

    def __init__(self, descriptor: int) -> None:
        """Write to that descriptor."""
        self._descriptor = descriptor

    def write(self, text: str) -> int:
        """Write all of it; raises OSError if that can't be."""
        left = memoryview(text.encode("utf-8", "replace"))
        while left:
            left = left[os.write(self._descriptor, left) :]
        return len(text)

    def flush(self) -> None:
        """Do nothing: all is written."""


class LineWriter:
    """Takes lines from any thread without making it wait, and writes them on a thread of its own."""

    def __init__(self, sink: LineSink, max_queued: int = MAX_QUEUED_LINES) -> None:
        """Write to `sink`; beyond `most_waiting` lines that wait, new ones are left out."""
        self._sink = sink
        self._max_queued = max_queued
        self._lines: queue.SimpleQueue[str | threading.Event] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._thread: threading.Thread | None = None
        self._dropped = 0

    def log(self, _level: int, line: str, /) -> None:
        """Have the line written, in its turn."""
        if self._lines.qsize() >= self._max_queued:
            self._dropped += 1
            return
        self._lines.put(line)
        if self._thread is None:
            self._start()

    def flush(self, seconds: float) -> bool:
        """Wait until all lines so far are written; False if that takes over `seconds`."""
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
        """The lines to write next, and who waits for them if somebody does."""
        batch: list[str] = []
        while not batch or (len(batch) < MAX_LINES_PER_WRITE and not self._lines.empty()):
            item = self._lines.get()
            if isinstance(item, threading.Event):
                return batch, item
            batch.append(item)
        return batch, None

    def _write(self, batch: list[str]) -> None:
        """Write the lines; those that can't be written are counted, and the next are tried."""
        try:
            self._sink.log(picologging.INFO, "\n".join(batch))
        except Exception:
            self._dropped += len(batch)


def standard_output() -> LineWriter:
    """A writer to this process's standard output."""
    handler = picologging.StreamHandler(DescriptorStream(STANDARD_OUTPUT))
    handler.setFormatter(picologging.Formatter("%(message)s"))
    logger = picologging.Logger("pipitledge", picologging.INFO)
    logger.addHandler(handler)
    return LineWriter(logger)
