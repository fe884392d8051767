"""Structured logs: one event a line on standard output, `1764650565123 INFO agent event key=value ...`.

Events carry their step, peer and epoch as fields where there are any. Writing costs processor time, so an event that
repeats is held back beyond a few in a while; the next line of it says how many were left out (`suppressed=N`).
"""

from __future__ import annotations

import atexit
import re
import time
from collections.abc import Callable

import picologging
from msgspec import Struct

from pipitledge.runtime.line_writer import LineSink, LineWriter, standard_output

FLUSH_SECONDS = 1.0  # at the end of the process, for a log that somebody may not read
WINDOW_SECONDS = 10.0
EVENTS_PER_WINDOW = 20
MAX_VALUE_CHARACTERS = 400  # characters; what is longer is cut

_NEEDS_QUOTES = re.compile(r"[\s\"=]|^$")


class _EventWindow(Struct):
    """How often one event came in its window."""

    window_start: float
    written: int = 0
    suppressed: int = 0


class EventLog:
    """Writes the events of one part of the program."""

    def __init__(
        self,
        sink: LineSink,
        name: str,
        now: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Write to `sink` under `name`; `now` is steady time and `wall` time of day, in seconds."""
        self._sink = sink
        self._name = name
        self._now = now
        self._wall = wall
        self._windows: dict[str, _EventWindow] = {}

    def info(self, event: str, **fields: object) -> None:
        """Write an ordinary event."""
        self._write(picologging.INFO, "INFO", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Write an event that operators may want to look at."""
        self._write(picologging.WARNING, "WARNING", event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Write an event that should not have happened."""
        self._write(picologging.ERROR, "ERROR", event, fields)

    def _write(self, level: int, word: str, event: str, fields: dict[str, object]) -> None:
        window = self._admit(event)
        if window is None:
            return
        parts = [str(int(self._wall() * 1000)), word, self._name, event]
        parts += [f"{key}={_format_value(value)}" for key, value in fields.items() if value is not None]
        if window.suppressed:
            parts.append(f"suppressed={window.suppressed}")
            window.suppressed = 0
        self._sink.log(level, " ".join(parts))

    def _admit(self, event: str) -> _EventWindow | None:
        """Count the event; None if it is one too many."""
        now = self._now()
        window = self._windows.get(event)
        if window is None:
            window = self._windows[event] = _EventWindow(now)
        elif now - window.window_start >= WINDOW_SECONDS:
            window.window_start = now
            window.written = 0
        if window.written >= EVENTS_PER_WINDOW:
            window.suppressed += 1
            return None
        window.written += 1
        return window


def get(name: str) -> EventLog:
    """The log of the part `name`; those of one name share their counts."""
    log = _logs.get(name)
    if log is None:
        log = _logs[name] = EventLog(_standard_output(), name)
    return log


def _format_value(value: object) -> str:
    """The value on one line, quoted where it holds spaces."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)[:MAX_VALUE_CHARACTERS]
    if _NEEDS_QUOTES.search(text):
        return '"' + text.replace("\\", "\\\\").replace('"', "'").replace("\n", "\\n").replace("\r", "\\r") + '"'
    return text


def flush() -> None:
    """Wait until all lines so far are written, or for `FLUSH_SECONDS`."""
    if _writer is not None:
        _writer.flush(FLUSH_SECONDS)


def _standard_output() -> LineWriter:
    """The one writer of lines to standard output."""
    global _writer
    if _writer is None:
        _writer = standard_output()
        atexit.register(flush)
    return _writer


_writer: LineWriter | None = None
_logs: dict[str, EventLog] = {}
