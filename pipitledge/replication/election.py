"""When a node of the in-sync set proposes itself, and the view that it proposes."""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

from pipitledge.replication.environment import Environment
from pipitledge.replication.inquiry import ViewInquiry
from pipitledge.replication.quorum import holds_state, member_of
from pipitledge.replication.timing import (
    ELECTION_MARGIN_SECONDS,
    LEASE_PROMISED_SECONDS,
    RETRY_LIMIT_SECONDS,
    RETRY_SECONDS,
    SUCCESSION_STEP_SECONDS,
    UNHEARD_SECONDS,
)
from pipitledge.replication.witness import GRANTED_LEAVING, Witness
from pipitledge.wire.messages import Promise, View

LEAST_WAIT_SECONDS = 0.001  # a timer may fire a rounding error early
POLL_SECONDS = 0.5  # between two looks of a node that may not lead


class Election:
    """Watches for the primary, and calls `propose` when it is this node's turn to take its place."""

    def __init__(
        self,
        env: Environment,
        witness: Witness,
        latest: Callable[[], View | None],
        inquiry: ViewInquiry,
        propose: Callable[[], None],
    ) -> None:
        """`latest` gives the view of the highest epoch known, decided or not."""
        self._env = env
        self._witness = witness
        self._latest = latest
        self._inquiry = inquiry
        self._propose = propose
        self._heard_at = env.clock.now()
        self._lease_seconds = LEASE_PROMISED_SECONDS
        self._not_before = 0.0
        self._failures = 0
        self.retired = False

    def start(self) -> None:
        """Begin to watch."""
        self._tick()

    def heard(self) -> None:
        """The primary is alive."""
        self._heard_at = self._env.clock.now()
        self._lease_seconds = LEASE_PROMISED_SECONDS
        self._failures = 0

    def released(self) -> None:
        """The primary gave its lease back: the first successor may go at once."""
        self._heard_at = self._env.clock.now()
        self._lease_seconds = 0.0
        self._tick_once()

    def hold_off(self, seconds: float) -> None:
        """Let others go first for that long."""
        self._not_before = self._env.clock.now() + seconds

    def failed(self) -> None:
        """A proposal of this node was not decided."""
        self._failures += 1
        longest = min(RETRY_SECONDS * 2**self._failures, RETRY_LIMIT_SECONDS)
        self.hold_off(self._env.random.uniform(RETRY_SECONDS, longest))

    def eligible(self) -> bool:
        """Whether this node may lead, so far as it knows, or by a later view that another member told of."""
        if self.retired or self._witness.amnesiac:
            return False
        views = (self._latest(), self._inquiry.heard)
        return any(holds_state(view, self._env.name, self._env.me.disk_id) for view in views)

    def _tick(self) -> None:
        self._tick_once()
        now = self._env.clock.now()
        due = self._due()
        wait = min(due - now, POLL_SECONDS) if due > now else RETRY_SECONDS
        self._env.clock.at(now + max(wait, LEAST_WAIT_SECONDS), self._tick)

    def _tick_once(self) -> None:
        now = self._env.clock.now()
        if not self.eligible():
            if now - self._heard_at > UNHEARD_SECONDS and not self._witness.amnesiac:
                self._inquiry.ask()
        elif now >= self._due():
            self._propose()

    def _due(self) -> float:
        """When this node proposes itself, if nothing is heard."""
        return max(self._heard_at + self._wait(), self._not_before)

    def _wait(self) -> float:
        view = self._latest()
        if view is None or view.primary == self._env.name:
            return 0.0
        margin = ELECTION_MARGIN_SECONDS if self._lease_seconds else 0.0
        return self._lease_seconds + margin + self._rank(view) * SUCCESSION_STEP_SECONDS

    def _rank(self, view: View) -> int:
        successors = [
            member.name for member in view.members if member.name in view.in_sync and member.name != view.primary
        ]
        return successors.index(self._env.name) if self._env.name in successors else len(successors)


def takeover_view(env: Environment, epoch: int, base: View | None, promises: dict[str, Promise]) -> View | None:
    """The view that makes this node primary, or None if `base` does not allow it.

    The in-sync set comes out of that of `base`. Those that did not answer are left out, if enough remain.
    """
    if base is None or not holds_state(base, env.name, env.me.disk_id):
        return None
    present = {env.name} | {name for name, promise in promises.items() if _stays(base, name, promise)}
    members = [env.me if member.name == env.name else member for member in base.members]
    names = present if env.tolerance.suffices(present, members) else set(base.in_sync)
    in_sync = [member.name for member in members if member.name in names]
    return replace(base, epoch=epoch, term=epoch, primary=env.name, members=members, in_sync=in_sync)


def _stays(base: View, name: str, promise: Promise) -> bool:
    member = member_of(base, name)
    if member is None or name not in base.in_sync:
        return False
    return promise.reason != GRANTED_LEAVING and promise.disk_id == member.disk_id
