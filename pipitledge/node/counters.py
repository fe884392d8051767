"""What the node took in, sent and answered: printed on SIGUSR1 and at exit. And its log lines."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter


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


class Log:
    """Lines on standard output: time, event, key=value; so many a second of each kind of event."""

    PER_SECOND = 20

    def __init__(self, counters: Counters) -> None:
        """Count what is left out, so that a flood is seen without being written."""
        self.counters = counters
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
        stamp = time.strftime("%H:%M:%S", time.gmtime(now)) + f".{int(now * 1000) % 1000:03d}"
        words = [f"{name}={str(value).replace(chr(10), ' | ')}" for name, value in fields.items()]
        try:
            print(stamp, event, *words, file=sys.stdout, flush=True)
        except OSError:  # a full or closed log must not stop the node
            self.counters.add("log.failed")
