"""The primary's side of the lease: which members answered which heartbeat."""

from __future__ import annotations

from pipitledge.replication.quorum import latest_quorum_time
from pipitledge.replication.timing import PRIMARY_LEASE_SECONDS
from pipitledge.wire.messages import View


class Lease:
    """Runs while a quorum of the members answered heartbeats that were sent a short time ago."""

    def __init__(self, view: View) -> None:
        """Nobody has answered."""
        self._view = view
        self._answered: dict[str, float] = {}  # name -> when the heartbeat was sent that it answered last
        self._until = 0.0

    def change_view(self, view: View) -> None:
        """Count the members of another view; what they answered remains."""
        self._view = view
        self._count()

    def answered(self, name: str, sent_at: float) -> None:
        """A member answered the heartbeat sent then."""
        if sent_at > self._answered.get(name, 0.0):
            self._answered[name] = sent_at
            self._count()

    def held(self, now: float) -> bool:
        """Whether no other node can have become primary."""
        return now < self._until

    @property
    def until(self) -> float:
        """When it runs out unless more answers come."""
        return self._until

    def _count(self) -> None:
        self._until = latest_quorum_time(self._view, self._answered, never=-PRIMARY_LEASE_SECONDS) + PRIMARY_LEASE_SECONDS
