"""Structured logs: one event per line on standard output, `1764650565123 INFO agent event key=value ...`.

Events carry step, peer and epoch as fields where they apply. Writing costs processor time, so repeated events are rate
limited: at most `EVENTS_PER_WINDOW` events of a name are written per `WINDOW_SECONDS`, and the next line written for
the event tells how many were suppressed (`suppressed=N`).
"""

from __future__ import annotations

import atexit
import re
import time
from collections.abc import Callable

import picologging
from msgspec import Struct

from pipitledge.runtime.line_writer import LineSink, LineWriter, standard_output

FLUSH_SECONDS = 1.0  # limit for the flush at process exit, as the reader of the log may have stopped reading
WINDOW_SECONDS = 10.0
EVENTS_PER_WINDOW = 20
MAX_VALUE_CHARACTERS = 400  # longer values are truncated

_NEEDS_QUOTES = re.compile(r"[\s\"=]|^$")


class _EventWindow(Struct):
    """The counts of one event in its current rate limit window."""

    window_start: float
    written: int = 0
    suppressed: int = 0


class EventLog:
    """Writes the events of one component."""

    def __init__(
        self,
        sink: LineSink,
        name: str,
        now: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Write to `sink` under `name`; `now` returns monotonic time and `wall` the time of day, both in seconds."""
        self._sink = sink
        self._name = name
        self._now = now
        self._wall = wall
        self._windows: dict[str, _EventWindow] = {}

    def info(self, event: str, **fields: object) -> None:
        """Log an event of normal operation."""
        self._write(picologging.INFO, "INFO", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that operators may want to investigate."""
        self._write(picologging.WARNING, "WARNING", event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log an event that should not happen."""
        self._write(picologging.ERROR, "ERROR", event, fields)

    def _write(self, level: int, level_name: str, event: str, fields: dict[str, object]) -> None:
        window = self._admit(event)
        if window is None:
            return
        parts = [str(int(self._wall() * 1000)), level_name, self._name, event]
        parts += [f"{key}={_format_value(value)}" for key, value in fields.items() if value is not None]
        if window.suppressed:
            parts.append(f"suppressed={window.suppressed}")
            window.suppressed = 0
        self._sink.log(level, " ".join(parts))

    def _admit(self, event: str) -> _EventWindow | None:
        """Count the event; return None if the rate limit suppresses it."""
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
    """Return the log of the component `name`; all callers with the same name share one log and its rate limits."""
    log = _logs.get(name)
    if log is None:
        log = _logs[name] = EventLog(_standard_output(), name)
    return log


def _format_value(value: object) -> str:
    """Format the value on one line, quoted if it is empty or contains whitespace, quotes or `=`."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)[:MAX_VALUE_CHARACTERS]
    if _NEEDS_QUOTES.search(text):
        return '"' + text.replace("\\", "\\\\").replace('"', "'").replace("\n", "\\n").replace("\r", "\\r") + '"'
    return text


def flush() -> None:
    """Wait until all lines queued so far are written, but at most `FLUSH_SECONDS`."""
    if _writer is not None:
        _writer.flush(FLUSH_SECONDS)


def _standard_output() -> LineWriter:
    """Return the line writer to standard output, which all logs of the process share."""
    global _writer
    if _writer is None:
        _writer = standard_output()
        atexit.register(flush)
    return _writer


_writer: LineWriter | None = None
_logs: dict[str, EventLog] = {}
