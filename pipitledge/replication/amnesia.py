"""Recovery of the promises of a member that lost its disk.

Without its promises the member must not vote. Every proposal that its old disk took part in has ended after
`AMNESIA_WAIT_SECONDS`. From then on there are two ways to recover:

- The member queries the others. If those that answer intersect every quorum, then every quorum that one of the old
  proposals reached contains one of them. Their promises and accepted views therefore cover all of this member's lost
  promises that still matter.
- A decided view that names the new disk was decided without this member, so by a quorum of other members, and it
  follows from everything decided before. Therefore two members that lost their disks one after the other never wait
  for each other forever.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from pipitledge.replication.environment import Environment
from pipitledge.replication.quorum import intersects_every_quorum, member_of, voters
from pipitledge.replication.timing import AMNESIA_RETRY_SECONDS, AMNESIA_WAIT_SECONDS, PROPOSAL_TIMEOUT_SECONDS
from pipitledge.replication.witness import Witness
from pipitledge.wire.messages import EpochQuery, EpochReply, View

ROUNDS_BETWEEN_WARNINGS = 10


class AmnesiaRecovery:
    """Queries the other members in rounds until enough of them have answered in one round."""

    def __init__(
        self,
        env: Environment,
        witness: Witness,
        latest: Callable[[], View | None],
        decided: Callable[[], View | None],
    ) -> None:
        """`latest` returns the view of the highest epoch known, `decided` the newest one known to be decided."""
        self._env = env
        self._witness = witness
        self._latest = latest
        self._decided = decided
        self._later_view: View | None = None  # the latest view that an answer reported
        self._round = 0
        self._view: View | None = None  # its members are queried in this round
        self._replies: dict[str, EpochReply] = {}
        self._also_amnesiac: set[str] = set()  # members that answered this round but have lost their promises too

    @property
    def rounds(self) -> int:
        """Number of rounds of queries so far."""
        return self._round

    def also_amnesiac(self) -> list[str]:
        """Return the members that have lost their promises too, by the last round; empty after recovery."""
        return sorted(self._also_amnesiac) if self._witness.amnesiac else []

    def start(self) -> None:
        """Start the first round once every proposal that involved the lost disk has ended."""
        self._env.clock.at(self._env.clock.now() + AMNESIA_WAIT_SECONDS, self._start_round)

    def _start_round(self) -> None:
        if not self._witness.amnesiac or self._recover_from_view():
            return
        self._env.clock.at(self._env.clock.now() + AMNESIA_RETRY_SECONDS + PROPOSAL_TIMEOUT_SECONDS, self._start_round)
        views = [view for view in (self._latest(), self._later_view) if view is not None]
        self._view = max(views, key=lambda view: view.epoch, default=None)
        if self._round and self._round % ROUNDS_BETWEEN_WARNINGS == 0:
            self._warn()
        self._round += 1
        self._replies = {}
        self._also_amnesiac = set()
        if self._view is None:
            return
        for member in voters(self._view):
            if member.name != self._env.name:
                self._query_member(member.name, self._round)

    def _warn(self) -> None:
        """Log that recovery makes no progress; if too many members lost their promises, an operator has to act."""
        self._env.log.warning(
            "promises_not_recovered",
            step="ask",
            rounds=self._round,
            answered=",".join(sorted(self._replies)),
            also_amnesiac=",".join(sorted(self._also_amnesiac)),
        )

    def _recover_from_view(self) -> bool:
        """Recover if a decided view names this member with its new disk; return whether it does."""
        view = self._decided()
        member = member_of(view, self._env.name)
        if view is None or member is None or member.disk_id != self._env.me.disk_id:
            return False
        self._witness.recover([EpochReply(promised=view.epoch, accepted=view)], self._recovered)
        return True

    def _query_member(self, name: str, number: int) -> None:
        address = self._env.address_of(name, self._view)
        request = EpochQuery(name=self._env.name)
        self._env.network.call(
            address, request, PROPOSAL_TIMEOUT_SECONDS, lambda reply: self._on_reply(name, number, reply)
        )

    def _on_reply(self, name: str, number: int, reply: Struct | None) -> None:
        if number != self._round or not isinstance(reply, EpochReply) or not self._witness.amnesiac:
            return
        if reply.name != name:  # the address now belongs to another machine
            return
        if reply.amnesiac:
            self._also_amnesiac.add(name)
            return
        self._replies[name] = reply
        self._record_view(reply.accepted)
        view = self._view
        if view is None or (self._later_view is not None and self._later_view.epoch > view.epoch):
            return  # the next round queries the members of the later view
        if intersects_every_quorum(view, self._replies):
            self._witness.recover(list(self._replies.values()), self._recovered)

    def _record_view(self, view: View | None) -> None:
        if view is not None and (self._later_view is None or view.epoch > self._later_view.epoch):
            self._later_view = view

    def _recovered(self) -> None:
        self._env.log.info("promises_recovered", promised=self._witness.promised)
