"""The primary's lease, computed from the heartbeats that members have answered."""

from __future__ import annotations

from pipitledge.replication.quorum import latest_quorum_time
from pipitledge.replication.timing import PRIMARY_LEASE_SECONDS
from pipitledge.wire.messages import View


class Lease:
    """Valid while a quorum of the members has answered heartbeats sent within `PRIMARY_LEASE_SECONDS`."""

    def __init__(self, view: View) -> None:
        """No member has answered yet, so the lease is not held."""
        self._view = view
        self._answered: dict[str, float] = {}  # member name -> sending time of the last heartbeat it answered
        self._until = 0.0

    def change_view(self, view: View) -> None:
        """Use the members of another view; answers received so far still count."""
        self._view = view
        self._update_expiry()

    def answered(self, name: str, sent_at: float) -> None:
        """Record that a member answered the heartbeat sent at that time."""
        if sent_at > self._answered.get(name, 0.0):
            self._answered[name] = sent_at
            self._update_expiry()

    def held(self, now: float) -> bool:
        """Whether the lease is valid, so that no other node can have become primary."""
        return now < self._until

    @property
    def until(self) -> float:
        """Time at which the lease expires unless more answers arrive."""
        return self._until

    def _update_expiry(self) -> None:
        self._until = (
            latest_quorum_time(self._view, self._answered, never=-PRIMARY_LEASE_SECONDS) + PRIMARY_LEASE_SECONDS
        )
