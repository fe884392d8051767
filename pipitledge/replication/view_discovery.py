"""Queries the other members for the views they accepted, while this node hears no primary and may not lead itself.

A view may be decided, or about to be decided, that this node does not know: its proposer has failed, and the members
that accepted it are not in the view's in-sync set. If this node is in that set, no other node can lead, so this node
has to learn of the view.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from pipitledge.replication.environment import Environment
from pipitledge.replication.quorum import voters
from pipitledge.replication.timing import PROPOSAL_TIMEOUT_SECONDS, VIEW_QUERY_INTERVAL_SECONDS
from pipitledge.wire.messages import EpochQuery, EpochReply, View


class ViewDiscovery:
    """Keeps the view of the highest epoch that another member reported, decided or not."""

    def __init__(self, env: Environment, latest: Callable[[], View | None]) -> None:
        """`latest` returns the view of the highest epoch known; its voters are queried."""
        self._env = env
        self._latest = latest
        self._not_before = 0.0
        self._discovered: View | None = None

    @property
    def discovered(self) -> View | None:
        """The view of the highest epoch that another member reported; None before the first report."""
        return self._discovered

    def record_view(self, view: View | None) -> None:
        """Record a view that another member has accepted."""
        if view is not None and (self._discovered is None or view.epoch > self._discovered.epoch):
            self._discovered = view

    def query(self) -> None:
        """Query all voters, at most once every `VIEW_QUERY_INTERVAL_SECONDS`."""
        now = self._env.clock.now()
        view = self._latest()
        if view is None or now < self._not_before:
            return
        self._not_before = now + VIEW_QUERY_INTERVAL_SECONDS
        for member in voters(view):
            if member.name != self._env.name:
                address = self._env.address_of(member.name, view)
                self._env.network.call(address, EpochQuery(self._env.name), PROPOSAL_TIMEOUT_SECONDS, self._on_reply)

    def _on_reply(self, reply: Struct | None) -> None:
        if isinstance(reply, EpochReply) and not reply.amnesiac:
            self.record_view(reply.accepted)
