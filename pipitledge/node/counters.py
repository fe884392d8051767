"""Event counters, which are printed on SIGUSR1 and at exit, and the log of the node."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping


class Counters:
    """Counts by name, such as `query.taken` or `execution.served`."""

    def __init__(self) -> None:
        """Start without any counts."""
        self.counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Increase a count, which starts at 0."""
        self.counts[name] += by

    def text(self) -> str:
        """Return all counts as one line of JSON, by name."""
        return json.dumps(dict(sorted(self.counts.items())), separators=(",", ":"))


LogWriter = Callable[[float, str, Mapping[str, object]], None]


def write_plain(now: float, event: str, fields: Mapping[str, object]) -> None:
    """Write one line to standard output: UTC time, event, and key=value pairs."""
    stamp = time.strftime("%H:%M:%S", time.gmtime(now)) + f".{int(now * 1000) % 1000:03d}"
    words = [f"{name}={str(value).replace(chr(10), ' | ')}" for name, value in fields.items()]
    print(stamp, event, *words, file=sys.stdout, flush=True)


def log_writer(form: str) -> LogWriter:
    """Return the writer for a log format: `plain` (also if empty), or `json`, which is written by structlog.

    structlog takes 13 MB of resident memory, of the 32 MB that a node may use. It is therefore imported only for
    `json`, and the plain format is written without it.
    """
    if form in ("", "plain"):
        return write_plain
    if form != "json":
        raise ValueError(f"log format {form!r}: plain or json")
    import structlog

    lines = structlog.wrap_logger(
        structlog.PrintLogger(sys.stdout),
        processors=[structlog.processors.add_log_level, structlog.processors.JSONRenderer(default=str)],
    )

    def write(now: float, event: str, fields: Mapping[str, object]) -> None:
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now)) + f".{int(now * 1000) % 1000:03d}Z"
        lines.info(event, time=stamp, **{name if name != "event" else "what": value for name, value in fields.items()})
        sys.stdout.flush()

    return write


class Log:
    """Writes log lines, at most PER_SECOND in a second for each event name."""

    PER_SECOND = 20

    def __init__(self, counters: Counters, write: LogWriter = write_plain) -> None:
        """Set the writer; lines above the limit are counted in `counters` and not written."""
        self.counters, self.write = counters, write
        self._second, self._lines = 0, Counter[str]()

    def __call__(self, event: str, **fields: object) -> None:
        """Write one line, unless the event has reached its limit for this second."""
        now = time.time()
        if int(now) != self._second:
            self._second = int(now)
            self._lines.clear()
        self._lines[event] += 1
        if self._lines[event] > self.PER_SECOND:
            self.counters.add(f"log.left-out.{event}")
            return
        try:
            self.write(now, event, fields)
        except OSError:  # a full disk or a closed pipe must not stop the node
            self.counters.add("log.failed")
