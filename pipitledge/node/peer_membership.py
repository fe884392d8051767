"""Which nodes of the tier serve now, by what they say of themselves. No I/O."""

from __future__ import annotations

import math
from dataclasses import replace

from pipitledge.decision.interface import Settings

HEARTBEAT_MS, SILENCE_TIMEOUT_MS = 400.0, 1_600.0  # some of the messages are lost: four in a row are none by chance
SERVING, NOT_SERVING = b"pl1+", b"pl1-"


class PeerMembership:
    """Told what peers say and what time it is, it knows the numbers of those that serve."""

    def __init__(self, number: int, instances: int) -> None:
        """Count everybody as there; who has never been heard may be unable to say so."""
        self.number, self.instances = number, instances
        self._last_heard_ms = [math.inf] * instances  # never: it can't be silent
        self._serves = [True] * instances

    def record(self, number: int, said: bytes, now_ms: float) -> bool:
        """Take a peer's word on itself; False where it is none."""
        if number == self.number or not 0 <= number < self.instances or said not in (SERVING, NOT_SERVING):
            return False
        self._last_heard_ms[number], self._serves[number] = now_ms, said == SERVING
        return True

    def serving(self, now_ms: float) -> tuple[int, ...]:
        """The numbers of those that serve; our own is always one."""
        return tuple(
            number
            for number in range(self.instances)
            if number == self.number
            or (self._serves[number] and now_ms < self._last_heard_ms[number] + SILENCE_TIMEOUT_MS)
        )


def settings_for_members(settings: Settings, serving: tuple[int, ...]) -> Settings:
    """The settings of one of those that serve. The cold budget stays what it was: all may believe to be alone."""
    if len(serving) == settings.instances or settings.number not in serving:
        return settings
    return replace(
        settings,
        instances=len(serving),
        number=serving.index(settings.number),
        overload_factor=settings.overload_factor * len(serving) / settings.instances,
    )
