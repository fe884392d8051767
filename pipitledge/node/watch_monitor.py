"""Who keeps the list up, and when nobody does. No I/O.

A deployment tells how its list comes. Where it is *asked* for, one service answers all nodes, so every call is the
module's to decide: it asks for a watch and hears of its end. Where it is *pushed*, an agent on the node's own machine
has what the node counts as told, so a watch must run from the start, and again at once after each end.

    states of a pushed list       leaves by
    watched, list fresh           the watch's end, or its silence -> between watches
    between watches               retry_delay_ms later -> dialling, which ends in a watch or in another wait
    stale (any of the above)      a line of any watch -> fresh

Always true: with a pushed list either a watch's task runs or a timer that begins one is set. Whichever way the list
comes, `becomes_stale` is true exactly once after STALE_AFTER_MS without a line, and `line_received` ends that.
"""

from __future__ import annotations

# An object or an empty line comes every 2 s, and what discovery has to tell counts as told 6 s after a watch fell
# silent. Bytes that are neither say nothing: a watch that only dribbles is as dead as one that is silent.
PULLED_DIAL_TIMEOUT_MS = 1_000.0
PULLED_SILENCE_TIMEOUT_MS = (
    3_500.0  # an asked list's watch must be found dead early enough to ask again within that time
)
PUSHED_SILENCE_TIMEOUT_MS = 2_400.0  # an agent's news bind from when it had them, and a new call costs nothing
# An agent answers at once; one that was silent may have dropped the calls it got meanwhile, and what it has then counts
# as told. So the wait for its answer, and that from an end to the next call, leave a tenth of a drain's grace.
PUSHED_ANSWER_TIMEOUT_MS, PUSHED_ANSWER_GRACE_SHARE = 200.0, 0.65
STALE_AFTER_MS = 6_000.0
RETRY_DELAY_MS, MAX_RETRY_DELAY_MS, RETRY_GRACE_SHARE = 20.0, 80.0, 0.25


class WatchMonitor:
    """Told of lines, answers and ends, it knows how long to wait, and whether the list is stale."""

    def __init__(self, pushed: bool, now_ms: float, grace_ms: float) -> None:
        """Begin with a list that was line_received just now, and so long a time after news of a drain."""
        self.pushed, self.last_line_ms, self.stale, self.grace_ms = pushed, now_ms, False, grace_ms
        self._failed_watches = 0  # in a row, without an answer between them

    def line_received(self, now_ms: float) -> float | None:
        """Take a line. Where the list was stale, the ms that nothing was line_received; else None."""
        silent = now_ms - self.last_line_ms if self.stale else None
        self.last_line_ms, self.stale = now_ms, False
        return silent

    def reset_backoff(self) -> None:
        """A watch has told something: the next one after its end comes at once."""
        self._failed_watches = 0

    def retry_delay_ms(self) -> float:
        """How long to wait from the end of a pushed list's watch to the next one."""
        self._failed_watches += 1
        most = min(MAX_RETRY_DELAY_MS, RETRY_GRACE_SHARE * self.grace_ms)
        return float(min(most, RETRY_DELAY_MS * 2.0 ** min(self._failed_watches - 1, 8)))

    def dial_timeout_ms(self) -> float:
        """How long a connection may take to come up: an agent is on the node's own machine."""
        return self._answer_timeout_ms() if self.pushed else PULLED_DIAL_TIMEOUT_MS

    def _answer_timeout_ms(self) -> float:
        return min(PUSHED_ANSWER_TIMEOUT_MS, PUSHED_ANSWER_GRACE_SHARE * self.grace_ms)

    def silence_timeout_ms(self, answered: bool) -> float:
        """After how long without an object or an empty line a watch is dead, before and after its answer's head."""
        if not self.pushed:
            return PULLED_SILENCE_TIMEOUT_MS
        return PUSHED_SILENCE_TIMEOUT_MS if answered else self._answer_timeout_ms()

    def becomes_stale(self, now_ms: float) -> bool:
        """Whether the list is stale from now on; true once."""
        if self.stale or now_ms < self.last_line_ms + STALE_AFTER_MS:
            return False
        self.stale = True
        return True
