"""When a node of the in-sync set proposes itself, and the view that it proposes."""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

from pipitledge.replication.environment import Environment
from pipitledge.replication.view_discovery import ViewDiscovery
from pipitledge.replication.quorum import is_in_sync, member_of
from pipitledge.replication.timing import (
    ELECTION_MARGIN_SECONDS,
    MEMBER_LEASE_SECONDS,
    ELECTION_BACKOFF_LIMIT_SECONDS,
    ELECTION_BACKOFF_SECONDS,
    SUCCESSOR_DELAY_SECONDS,
    VIEW_QUERY_AFTER_SECONDS,
)
from pipitledge.replication.witness import GRANTED_LEAVING, Witness
from pipitledge.wire.messages import Promise, View

MIN_TIMER_SECONDS = 0.001  # a timer may fire a rounding error early
INELIGIBLE_POLL_SECONDS = 0.5  # between two looks of a node that may not lead


class Election:
    """Watches for the primary, and calls `propose` when it is this node's turn to take its place."""

    def __init__(
        self,
        env: Environment,
        witness: Witness,
        latest: Callable[[], View | None],
        inquiry: ViewDiscovery,
        propose: Callable[[], None],
    ) -> None:
        """`latest` gives the view of the highest epoch known, decided or not."""
        self._env = env
        self._witness = witness
        self._latest = latest
        self._view_discovery = inquiry
        self._propose = propose
        self._last_contact_at = env.clock.now()
        self._lease_seconds = MEMBER_LEASE_SECONDS
        self._not_before = 0.0
        self._failures = 0
        self.retired = False

    def start(self) -> None:
        """Begin to watch."""
        self._tick()

    def heard(self) -> None:
        """The primary is alive."""
        self._last_contact_at = self._env.clock.now()
        self._lease_seconds = MEMBER_LEASE_SECONDS
        self._failures = 0

    def released(self) -> None:
        """The primary gave its lease back: the first successor may go at once."""
        self._last_contact_at = self._env.clock.now()
        self._lease_seconds = 0.0
        self._tick_once()

    def hold_off(self, seconds: float) -> None:
        """Let others go first for that long."""
        self._not_before = self._env.clock.now() + seconds

    def failed(self) -> None:
        """A proposal of this node was not decided."""
        self._failures += 1
        longest = min(ELECTION_BACKOFF_SECONDS * 2**self._failures, ELECTION_BACKOFF_LIMIT_SECONDS)
        self.hold_off(self._env.random.uniform(ELECTION_BACKOFF_SECONDS, longest))

    def eligible(self) -> bool:
        """Whether this node may lead, so far as it knows, or by a later view that another member told of."""
        if self.retired or self._witness.amnesiac:
            return False
        views = (self._latest(), self._view_discovery.heard)
        return any(is_in_sync(view, self._env.name, self._env.me.disk_id) for view in views)

    def _tick(self) -> None:
        self._tick_once()
        now = self._env.clock.now()
        due = self._election_due_at()
        wait = min(due - now, INELIGIBLE_POLL_SECONDS) if due > now else ELECTION_BACKOFF_SECONDS
        self._env.clock.at(now + max(wait, MIN_TIMER_SECONDS), self._tick)

    def _tick_once(self) -> None:
        now = self._env.clock.now()
        if not self.eligible():
            if now - self._last_contact_at > VIEW_QUERY_AFTER_SECONDS and not self._witness.amnesiac:
                self._view_discovery.ask()
        elif now >= self._election_due_at():
            self._propose()

    def _election_due_at(self) -> float:
        """When this node proposes itself, if nothing is heard."""
        return max(self._last_contact_at + self._wait(), self._not_before)

    def _wait(self) -> float:
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
    """The view that makes this node primary, or None if `base` does not allow it.

    The in-sync set comes out of that of `base`. Those that did not answer are left out, if enough remain.
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
