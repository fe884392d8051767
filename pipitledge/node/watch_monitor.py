"""Timeouts and retries of the watch on the worker list, and detection of a stale list. No I/O.

A deployment declares how its worker list arrives. Where it is *pulled*, one discovery service answers all nodes, so the
policy decides about every call: it asks for a watch and is notified when the watch ends. Where it is *pushed*, an agent
on the node's own machine serves the list, and the node counts as informed of all that the agent has. So a watch must
run from the start, and again at once after each end.

    states of a pushed list       leaves the state by
    watched, list fresh           the end of the watch, or its silence timeout -> between watches
    between watches               expiry of retry_delay_ms -> dialling, which ends in a watch or in another delay
    stale (in any of the above)   a line of any watch -> fresh

Invariants: with a pushed list, either a watch is running or a timer that starts one is set. However the list arrives,
`becomes_stale` returns true exactly once after STALE_AFTER_MS without a line, and `line_received` ends the stale state.
"""

from __future__ import annotations

# Discovery sends an object or an empty line every 2 s, and a node counts as informed of a change 6 s after its watch
# fell silent. Other bytes don't count as a sign of life: a watch that only trickles parts of a line is dead.
PULLED_DIAL_TIMEOUT_MS = 1_000.0
PULLED_SILENCE_TIMEOUT_MS = 3_500.0  # leaves time to ask again within those 6 s
PUSHED_SILENCE_TIMEOUT_MS = 2_400.0  # shorter: a change binds from when the agent has it, and a new call is cheap
# An agent answers at once. One that was silent may have dropped the calls it received meanwhile, and the node still
# counts as informed of the agent's changes. So the answer timeout and the retry delay together leave a tenth of a
# drain's grace.
PUSHED_ANSWER_TIMEOUT_MS, PUSHED_ANSWER_GRACE_SHARE = 200.0, 0.65
STALE_AFTER_MS = 6_000.0
RETRY_DELAY_MS, MAX_RETRY_DELAY_MS, RETRY_GRACE_SHARE = 20.0, 80.0, 0.25


class WatchMonitor:
    """Computes the timeouts and retry delays of watches from their lines and ends, and whether the list is stale."""

    def __init__(self, pushed: bool, now_ms: float, grace_ms: float) -> None:
        """Treat the list as fresh at `now_ms`; `grace_ms`: time that a drain leaves to take effect."""
        self.pushed, self.last_line_ms, self.stale, self.grace_ms = pushed, now_ms, False, grace_ms
        self._failed_watches = 0  # since the last object or empty line

    def line_received(self, now_ms: float) -> float | None:
        """Record a line of a watch. Return how long none came, in ms, if the list was stale; else None."""
        silent = now_ms - self.last_line_ms if self.stale else None
        self.last_line_ms, self.stale = now_ms, False
        return silent

    def reset_backoff(self) -> None:
        """Reset the retry backoff; called with each object or empty line of a watch."""
        self._failed_watches = 0

    def retry_delay_ms(self) -> float:
        """Count a watch that ended, and return the delay before the next watch of a pushed list."""
        self._failed_watches += 1
        most = min(MAX_RETRY_DELAY_MS, RETRY_GRACE_SHARE * self.grace_ms)
        return float(min(most, RETRY_DELAY_MS * 2.0 ** min(self._failed_watches - 1, 8)))

    def dial_timeout_ms(self) -> float:
        """Return the connect timeout: shorter for an agent, which is on the node's own machine."""
        return self._answer_timeout_ms() if self.pushed else PULLED_DIAL_TIMEOUT_MS

    def _answer_timeout_ms(self) -> float:
        return min(PUSHED_ANSWER_TIMEOUT_MS, PUSHED_ANSWER_GRACE_SHARE * self.grace_ms)

    def silence_timeout_ms(self, answered: bool) -> float:
        """Return the time without an object or an empty line after which a watch is dead.

        `answered`: whether the head of the HTTP answer has been received.
        """
        if not self.pushed:
            return PULLED_SILENCE_TIMEOUT_MS
        return PUSHED_SILENCE_TIMEOUT_MS if answered else self._answer_timeout_ms()

    def becomes_stale(self, now_ms: float) -> bool:
        """Return whether the list has just become stale; true once until the next line."""
        if self.stale or now_ms < self.last_line_ms + STALE_AFTER_MS:
            return False
        self.stale = True
        return True
