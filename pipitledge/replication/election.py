"""Leader election: when a node of the in-sync set proposes itself as primary, and the view that it proposes."""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

from pipitledge.replication.environment import Environment
from pipitledge.replication.quorum import is_in_sync, member_of
from pipitledge.replication.timing import (
    ELECTION_BACKOFF_LIMIT_SECONDS,
    ELECTION_BACKOFF_SECONDS,
    ELECTION_MARGIN_SECONDS,
    MEMBER_LEASE_SECONDS,
    SUCCESSOR_DELAY_SECONDS,
    VIEW_QUERY_AFTER_SECONDS,
)
from pipitledge.replication.view_discovery import ViewDiscovery
from pipitledge.replication.witness import GRANTED_LEAVING, Witness
from pipitledge.wire.messages import Promise, View

MIN_TIMER_SECONDS = 0.001  # a timer may fire early by a rounding error
MAX_POLL_SECONDS = 0.5  # longest interval between two checks


class Election:
    """Election timer: calls `propose` when the primary's lease has expired and it is this node's turn to take over."""

    def __init__(
        self,
        env: Environment,
        witness: Witness,
        latest: Callable[[], View | None],
        view_discovery: ViewDiscovery,
        propose: Callable[[], None],
    ) -> None:
        """`latest` returns the view of the highest epoch known, decided or not."""
        self._env = env
        self._witness = witness
        self._latest = latest
        self._view_discovery = view_discovery
        self._propose = propose
        self._last_contact_at = env.clock.now()
        self._lease_seconds = MEMBER_LEASE_SECONDS
        self._not_before = 0.0
        self._failures = 0
        self.retired = False

    def start(self) -> None:
        """Start the timer."""
        self._tick()

    def reset_timer(self) -> None:
        """Restart the election timeout; called when there is a sign of a live primary or of a proposer."""
        self._last_contact_at = self._env.clock.now()
        self._lease_seconds = MEMBER_LEASE_SECONDS
        self._failures = 0

    def on_lease_released(self) -> None:
        """The primary gave up its lease: the first successor may propose itself at once."""
        self._last_contact_at = self._env.clock.now()
        self._lease_seconds = 0.0
        self._check()

    def back_off(self, seconds: float) -> None:
        """Do not propose this node for that long, so that others can go first."""
        self._not_before = self._env.clock.now() + seconds

    def on_failed(self) -> None:
        """Back off, as a proposal of this node was not decided."""
        self._failures += 1
        longest = min(ELECTION_BACKOFF_SECONDS * 2**self._failures, ELECTION_BACKOFF_LIMIT_SECONDS)
        self.back_off(self._env.random.uniform(ELECTION_BACKOFF_SECONDS, longest))

    def eligible(self) -> bool:
        """Whether this node may lead, by the latest view it knows or by a later one that another member reported."""
        if self.retired or self._witness.amnesiac:
            return False
        views = (self._latest(), self._view_discovery.discovered)
        return any(is_in_sync(view, self._env.name, self._env.me.disk_id) for view in views)

    def _tick(self) -> None:
        self._check()
        now = self._env.clock.now()
        due = self._election_due_at()
        wait = min(due - now, MAX_POLL_SECONDS) if due > now else ELECTION_BACKOFF_SECONDS
        self._env.clock.at(now + max(wait, MIN_TIMER_SECONDS), self._tick)

    def _check(self) -> None:
        now = self._env.clock.now()
        if not self.eligible():
            if now - self._last_contact_at > VIEW_QUERY_AFTER_SECONDS and not self._witness.amnesiac:
                self._view_discovery.query()
        elif now >= self._election_due_at():
            self._propose()

    def _election_due_at(self) -> float:
        """Return the time at which this node proposes itself unless it hears from a primary before."""
        return max(self._last_contact_at + self._election_timeout(), self._not_before)

    def _election_timeout(self) -> float:
        view = self._latest()
        if view is None or view.primary == self._env.name:
            return 0.0
        margin = ELECTION_MARGIN_SECONDS if self._lease_seconds else 0.0
        return self._lease_seconds + margin + self._succession_rank(view) * SUCCESSOR_DELAY_SECONDS

    def _succession_rank(self, view: View) -> int:
        successors = [
            member.name for member in view.members if member.name in view.in_sync and member.name != view.primary
        ]
        return successors.index(self._env.name) if self._env.name in successors else len(successors)


def takeover_view(env: Environment, epoch: int, base: View | None, promises: dict[str, Promise]) -> View | None:
    """Return the view that makes this node primary, or None if this node is not in the in-sync set of `base`.

    The new in-sync set is a subset of that of `base`: members that made no promise are left out if enough remain.
    """
    if base is None or not is_in_sync(base, env.name, env.me.disk_id):
        return None
    present = {env.name} | {name for name, promise in promises.items() if _remains_in_sync(base, name, promise)}
    members = [env.me if member.name == env.name else member for member in base.members]
    names = present if env.tolerance.satisfied_by(present, members) else set(base.in_sync)
    in_sync = [member.name for member in members if member.name in names]
    return replace(base, epoch=epoch, term=epoch, primary=env.name, members=members, in_sync=in_sync)


def _remains_in_sync(base: View, name: str, promise: Promise) -> bool:
    member = member_of(base, name)
    if member is None or name not in base.in_sync:
        return False
    return promise.reason != GRANTED_LEAVING and promise.disk_id == member.disk_id
