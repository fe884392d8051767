"""What the node took in, sent and answered: printed on SIGUSR1 and at exit. And its log lines."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping


class Counters:
    """Counts by name, such as `query.taken` or `execution.served`."""

    def __init__(self) -> None:
        """Start at nothing."""
        self.counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Count something."""
        self.counts[name] += by

    def text(self) -> str:
        """Return all counts as one line of JSON, by name."""
        return json.dumps(dict(sorted(self.counts.items())), separators=(",", ":"))


LogWriter = Callable[[float, str, Mapping[str, object]], None]


def write_plain(now: float, event: str, fields: Mapping[str, object]) -> None:
    """Write time, event and key=value."""
    stamp = time.strftime("%H:%M:%S", time.gmtime(now)) + f".{int(now * 1000) % 1000:03d}"
    words = [f"{name}={str(value).replace(chr(10), ' | ')}" for name, value in fields.items()]
    print(stamp, event, *words, file=sys.stdout, flush=True)


def log_writer(form: str) -> LogWriter:
    """The writer for a log format: empty or `plain`, or `json`, which is structlog's and imported only then.

    structlog takes 13 MB resident, of 32 that a node may have; that is why the plain lines are written here.
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
    """Lines on standard output, so many a second of each kind of event."""

    PER_SECOND = 20

    def __init__(self, counters: Counters, write: LogWriter = write_plain) -> None:
        """Count what is left out, so that a flood is seen without being written."""
        self.counters, self.write = counters, write
        self._second, self._lines = 0, Counter[str]()

    def __call__(self, event: str, **fields: object) -> None:
        """Write one line."""
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
        except OSError:  # a full or closed log must not stop the node
            self.counters.add("log.failed")
