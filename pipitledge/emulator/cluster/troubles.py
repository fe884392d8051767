"""When something was wrong with which machine: rules with a time bound bind only what is in touch."""

from __future__ import annotations

import math
from collections import defaultdict

from pipitledge.emulator.cluster.virtual import World

SLACK_S = 0.3


class Troubles:
    """Spans of trouble by name."""

    def __init__(self, world: World, counted: tuple[str, ...], contact_s: float) -> None:
        """A machine is in touch `contact_s` after its last trouble and the core's."""
        self._world = world
        self._counted = counted
        self._contact_s = contact_s
        self._ended: dict[str, float] = defaultdict(lambda: -math.inf)  # last end; infinite while it lasts
        self._open: dict[str, int] = defaultdict(int)

    def begin(self, name: str) -> None:
        """Something is wrong with `name`."""
        self._open[name] += 1
        self._ended[name] = math.inf

    def end(self, name: str) -> None:
        """One thing less is wrong with it."""
        self._open[name] -= 1
        if not self._open[name]:
            self._ended[name] = self._world.time

    def touch(self, name: str) -> None:
        """Something was wrong at this moment."""
        self.begin(name)
        self.end(name)

    def quiet(self, name: str, span_s: float) -> bool:
        """Whether nothing was wrong with it for so long."""
        return self._ended[name] < self._world.time - span_s

    def core_quiet(self, span_s: float) -> bool:
        """Whether nothing was wrong with counted machines for so long."""
        return all(self.quiet(name, span_s) for name in self._counted)

    def all_quiet(self, span_s: float) -> bool:
        """Whether nothing at all was wrong for so long."""
        return all(self.quiet(name, span_s) for name in list(self._ended))

    def in_touch(self, name: str, span_s: float = 0.0) -> bool:
        """Whether a machine has been in touch for the last `span_s` seconds."""
        span_s += self._contact_s + SLACK_S
        return self.quiet(name, span_s) and self.core_quiet(span_s)
