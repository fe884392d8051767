"""Whether the node serves, sends clients away or stops: one machine for LAMEDUCK, REJOIN and SIGTERM, without I/O."""

from __future__ import annotations

import math
from enum import Enum

# LAMEDUCK: 4 s after it no connection may be idle or hold a job of the last 2 s. A tier may have one node only:
# who is closed early is served by nobody, so connections are used for as long as that allows.
SHED_DELAY_MS, DRAIN_MS = 1_600.0, 3_600.0
# SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as 3 s at most, plus 0.7 s. Until
# LAST_MS before that we serve as ever, and SPARE_MS before it every query taken since SIGTERM has its answer.
KILL_DEADLINE_CAP_MS, KILL_MARGIN_MS, CLOSING_MS, ANSWER_MARGIN_MS = 3_000.0, 700.0, 900.0, 200.0
MIN_STOPPING_MS = 500.0  # at the least: connections still come for 0.2 to 0.4 s


class Stage(Enum):
    """How far the node is on duty."""

    SERVING = "serving"
    DRAINING = "draining"  # not ready, serves as ever
    SHEDDING = "shedding"  # not ready; idle connections close, busy ones after their answer; who comes is served
    STOPPING = "stopping"  # after SIGTERM: not ready, serves as ever
    CLOSING = "closing"  # takes nobody in, and ends once nothing is held


DRAIN_STAGES = frozenset({Stage.DRAINING, Stage.SHEDDING})
STOP_STAGES = frozenset({Stage.STOPPING, Stage.CLOSING})


class NodeLifecycle:
    """Told of calls and of time, it says which stage holds. Any order and any repeat of calls is harmless."""

    def __init__(self) -> None:
        """Begin to serve."""
        self.stage = Stage.SERVING
        self.next_stage_ms = math.inf  # when the next stage comes by itself
        self.end_by_ms = math.inf  # what is taken from now on has its answer by then; of a node that stops, all it has
        self.exit_by_ms = math.inf  # a node that stops has ended by then, whoever does not take its answer
        self.draining_since_ms: float | None = None
        self.is_handed_over = False  # another process takes clients in our place; calls and time go on to count
        self._was_draining = False  # before it was told to stop: its time to shed goes on

    @property
    def is_ready(self) -> bool:
        """Whether clients should be sent here."""
        return self.stage is Stage.SERVING

    @property
    def is_shedding(self) -> bool:
        """Whether connections end as soon as nothing is under way on them."""
        return self.stage in (Stage.SHEDDING, Stage.CLOSING) or self._was_draining

    @property
    def is_closing(self) -> bool:
        """Whether nobody is taken in any more."""
        return self.stage is Stage.CLOSING

    def lame_duck(self, now_ms: float) -> bool:
        """Send clients away; True if that is news. A node that stops does so already."""
        if self.stage is not Stage.SERVING:
            return False
        self.stage, self.next_stage_ms, self.draining_since_ms = Stage.DRAINING, now_ms + SHED_DELAY_MS, now_ms
        return True

    def rejoin(self) -> bool:
        """End the drain; False if the node stops, from which there is no way back."""
        if self.stage in STOP_STAGES:
            return False
        self.stage, self.next_stage_ms, self.end_by_ms = Stage.SERVING, math.inf, math.inf
        self.draining_since_ms = None
        return True

    def stop(self, now_ms: float, longest_ms: float) -> bool:
        """SIGTERM: serve while there is time, then answer all that is held and close; True if that is news."""
        if self.stage in STOP_STAGES:
            return False
        self._was_draining = self.stage in DRAIN_STAGES
        killed = min(longest_ms, KILL_DEADLINE_CAP_MS) + KILL_MARGIN_MS
        serves_ms = 0.0 if self.is_handed_over else max(MIN_STOPPING_MS, killed - CLOSING_MS)
        self.stage, self.next_stage_ms = Stage.STOPPING, now_ms + serves_ms
        self.end_by_ms, self.exit_by_ms = now_ms + killed - ANSWER_MARGIN_MS, now_ms + killed - ANSWER_MARGIN_MS / 4.0
        return True

    def hand_over(self, now_ms: float) -> None:
        """Another process takes clients in from now on; a node that stops has nothing more to wait for."""
        self.is_handed_over = True
        if self.stage is Stage.STOPPING:
            self.next_stage_ms = now_ms

    def take_back(self) -> None:
        """That process is gone: clients are ours again, unless the end has come."""
        self.is_handed_over = False

    def tick(self, now_ms: float) -> bool:
        """Let time pass; True if another stage holds now."""
        if now_ms < self.next_stage_ms:
            return False
        if self.stage is Stage.DRAINING:
            self.stage, self.end_by_ms = Stage.SHEDDING, self.next_stage_ms + DRAIN_MS - SHED_DELAY_MS
        elif self.stage is Stage.STOPPING:
            self.stage = Stage.CLOSING
        self.next_stage_ms = math.inf
        return True
