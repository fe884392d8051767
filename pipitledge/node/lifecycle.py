"""State machine of a node that serves, drains or stops, driven by LAMEDUCK, REJOIN and SIGTERM. Does no I/O."""

from __future__ import annotations

import math
from enum import Enum

# The protocol requires that 4 s after LAMEDUCK no connection is idle or carries a job that arrived in the last 2 s.
# In a tier with a single node, a client whose connection is closed early has no other node to go to, so connections
# stay in use for as long as this limit allows. Both times count from LAMEDUCK: when shedding starts, and the end.
SHED_DELAY_MS, DRAIN_MS = 1_600.0, 3_600.0
# After SIGTERM, SIGKILL follows no sooner than the longest deadline (capped at KILL_DEADLINE_CAP_MS) plus
# KILL_MARGIN_MS. The node serves normally until CLOSING_MS before that time, and every query accepted since SIGTERM
# is answered ANSWER_MARGIN_MS before it.
KILL_DEADLINE_CAP_MS, KILL_MARGIN_MS, CLOSING_MS, ANSWER_MARGIN_MS = 3_000.0, 700.0, 900.0, 200.0
MIN_STOPPING_MS = 500.0  # minimum: new connections still arrive for 0.2 to 0.4 s after SIGTERM


class Stage(Enum):
    """Stages of the life cycle; the values are written to the log."""

    SERVING = "serving"
    DRAINING = "draining"  # reports not ready, but serves normally
    # Reports not ready; closes idle connections at once and busy ones after their answer; serves new connections.
    SHEDDING = "shedding"
    STOPPING = "stopping"  # after SIGTERM: reports not ready, but serves normally
    CLOSING = "closing"  # accepts no connections, and the process exits when no query is open


DRAIN_STAGES = frozenset({Stage.DRAINING, Stage.SHEDDING})
STOP_STAGES = frozenset({Stage.STOPPING, Stage.CLOSING})


class NodeLifecycle:
    """Derives the current stage from calls and from time. Calls may come in any order and may be repeated."""

    def __init__(self) -> None:
        """Start in the stage SERVING."""
        self.stage = Stage.SERVING
        self.next_stage_ms = math.inf  # when `tick` moves to the next stage; infinite: it does not
        # Queries accepted from now on are answered by this time; once the node stops, this holds for all open queries.
        self.end_by_ms = math.inf
        self.exit_by_ms = math.inf  # a node that stops exits by this time, even if clients have not read their answers
        self.draining_since_ms: float | None = None
        self.is_handed_over = False  # another process accepts clients; the stages go on here
        self._was_draining = False  # the node was draining when it was ordered to stop: it goes on shedding

    @property
    def is_ready(self) -> bool:
        """Whether the readiness check tells clients to use this node."""
        return self.stage is Stage.SERVING

    @property
    def is_shedding(self) -> bool:
        """Whether a connection is closed as soon as it has no open query."""
        return self.stage in (Stage.SHEDDING, Stage.CLOSING) or self._was_draining

    @property
    def is_closing(self) -> bool:
        """Whether new connections are no longer accepted."""
        return self.stage is Stage.CLOSING

    def lame_duck(self, now_ms: float) -> bool:
        """Start to drain; True if the node was serving. Has no effect on a node that drains or stops already."""
        if self.stage is not Stage.SERVING:
            return False
        self.stage, self.next_stage_ms, self.draining_since_ms = Stage.DRAINING, now_ms + SHED_DELAY_MS, now_ms
        return True

    def rejoin(self) -> bool:
        """End the drain and serve again; False if the node is stopping, which can't be reverted."""
        if self.stage in STOP_STAGES:
            return False
        self.stage, self.next_stage_ms, self.end_by_ms = Stage.SERVING, math.inf, math.inf
        self.draining_since_ms = None
        return True

    def stop(self, now_ms: float, longest_ms: float) -> bool:
        """Handle SIGTERM: serve while time allows, answer the open queries, and close; False if already stopping."""
        if self.stage in STOP_STAGES:
            return False
        self._was_draining = self.stage in DRAIN_STAGES
        killed = min(longest_ms, KILL_DEADLINE_CAP_MS) + KILL_MARGIN_MS
        serves_ms = 0.0 if self.is_handed_over else max(MIN_STOPPING_MS, killed - CLOSING_MS)
        self.stage, self.next_stage_ms = Stage.STOPPING, now_ms + serves_ms
        self.end_by_ms, self.exit_by_ms = now_ms + killed - ANSWER_MARGIN_MS, now_ms + killed - ANSWER_MARGIN_MS / 4.0
        return True

    def hand_over(self, now_ms: float) -> None:
        """Record that another process accepts clients from now on; a node that is stopping then closes at once."""
        self.is_handed_over = True
        if self.stage is Stage.STOPPING:
            self.next_stage_ms = now_ms

    def take_back(self) -> None:
        """Record that the other process has ended: this one accepts clients again, unless it is closing."""
        self.is_handed_over = False

    def tick(self, now_ms: float) -> bool:
        """Move to the next stage if its time has come; True if the stage changed."""
        if now_ms < self.next_stage_ms:
            return False
        if self.stage is Stage.DRAINING:
            self.stage, self.end_by_ms = Stage.SHEDDING, self.next_stage_ms + DRAIN_MS - SHED_DELAY_MS
        elif self.stage is Stage.STOPPING:
            self.stage = Stage.CLOSING
        self.next_stage_ms = math.inf
        return True
