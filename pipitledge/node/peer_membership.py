"""Which nodes of the tier serve now, according to their own heartbeats. Does no I/O."""

from __future__ import annotations

import math
from dataclasses import replace

from pipitledge.decision.interface import Settings

HEARTBEAT_MS, SILENCE_TIMEOUT_MS = 400.0, 1_600.0  # single datagrams may be lost; four in a row count as a failure
SERVING, NOT_SERVING = b"pl1+", b"pl1-"  # content of a heartbeat


class PeerMembership:
    """Records heartbeats of peers, and derives from them and the time which node numbers serve."""

    def __init__(self, number: int, instances: int) -> None:
        """Count every node as serving; one that has never sent a heartbeat may be unable to send datagrams."""
        self.number, self.instances = number, instances
        self._last_heard_ms = [math.inf] * instances  # infinite: no heartbeat so far, so no timeout
        self._serves = [True] * instances

    def record(self, number: int, message: bytes, now_ms: float) -> bool:
        """Record the heartbeat of a peer; False if the sender or the content is not valid."""
        if number == self.number or not 0 <= number < self.instances or message not in (SERVING, NOT_SERVING):
            return False
        self._last_heard_ms[number], self._serves[number] = now_ms, message == SERVING
        return True

    def serving(self, now_ms: float) -> tuple[int, ...]:
        """Return the numbers of the nodes that serve, always including this node's."""
        return tuple(
            number
            for number in range(self.instances)
            if number == self.number
            or (self._serves[number] and now_ms < self._last_heard_ms[number] + SILENCE_TIMEOUT_MS)
        )


def settings_for_members(settings: Settings, serving: tuple[int, ...]) -> Settings:
    """Return the settings of this node, with `instances` and `number` counted among the nodes that serve.

    The overload factor shrinks in proportion, so that this node's share of the cold budget stays the configured one:
    several nodes may each believe to be the only one that serves, and together must stay within the budget.
    """
    if len(serving) == settings.instances or settings.number not in serving:
        return settings
    return replace(
        settings,
        instances=len(serving),
        number=serving.index(settings.number),
        overload_factor=settings.overload_factor * len(serving) / settings.instances,
    )
