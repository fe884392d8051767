"""Asks the other members which views they accepted, while no primary is heard and this node may not lead.

A view may be decided, or about to be, that this node never heard of: its proposer is gone, and those that accepted it
are not of its in-sync set. If this node is, nobody else can lead, so it has to learn of that view.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from pipitledge.replication.environment import Environment
from pipitledge.replication.quorum import voters
from pipitledge.replication.timing import VIEW_QUERY_INTERVAL_SECONDS, PROPOSAL_TIMEOUT_SECONDS
from pipitledge.wire.messages import EpochQuery, EpochReply, View


class ViewDiscovery:
    """Remembers the latest view that another member told of, decided or not."""

    def __init__(self, env: Environment, latest: Callable[[], View | None]) -> None:
        """`latest` gives the view of the highest epoch known, whose voters are asked."""
        self._env = env
        self._latest = latest
        self._not_before = 0.0
        self._heard: View | None = None

    @property
    def heard(self) -> View | None:
        """The view of the highest epoch that another member told of."""
        return self._heard

    def note(self, view: View | None) -> None:
        """Another member told that it has accepted this view."""
        if view is not None and (self._heard is None or view.epoch > self._heard.epoch):
            self._heard = view

    def ask(self) -> None:
        """Ask all voters, if they were not asked a short time ago."""
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
            self.note(reply.accepted)
