"""How a member that lost its disk learns again what it may have promised.

Proposals that its old disk took part in are over after `AMNESIA_SECONDS`. From then on there are two ways back:

- Any quorum that one of them reached has a node among others that meet every quorum, so what these promised and
  accepted covers all that mattered of this node's own promises.
- A decided view that names the new disk was decided without this node, so by a quorum of others; it rests on all that
  was decided before. So two members that lost their disks in turn never wait for each other for good.
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
    """Asks in rounds until enough members have answered one of them."""

    def __init__(
        self,
        env: Environment,
        witness: Witness,
        latest: Callable[[], View | None],
        decided: Callable[[], View | None],
    ) -> None:
        """`latest` gives the view of the highest epoch known, `decided` that of those known to be decided."""
        self._env = env
        self._witness = witness
        self._latest = latest
        self._decided = decided
        self._heard: View | None = None  # a later view that an answer told of
        self._round = 0
        self._view: View | None = None  # whose members are asked in this round
        self._replies: dict[str, EpochReply] = {}
        self._also_amnesiac: set[str] = set()  # members that answered this round without promises of their own

    @property
    def rounds(self) -> int:
        """Rounds of questions so far."""
        return self._round

    def also_amnesiac(self) -> list[str]:
        """Members without promises, by the last round; empty once this one has its own back."""
        return sorted(self._also_amnesiac) if self._witness.amnesiac else []

    def start(self) -> None:
        """Wait until the proposals of before are over, then ask."""
        self._env.clock.at(self._env.clock.now() + AMNESIA_WAIT_SECONDS, self._ask)

    def _ask(self) -> None:
        if not self._witness.amnesiac or self._recover_from_view():
            return
        self._env.clock.at(self._env.clock.now() + AMNESIA_RETRY_SECONDS + PROPOSAL_TIMEOUT_SECONDS, self._ask)
        views = [view for view in (self._latest(), self._heard) if view is not None]
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
                self._ask_one(member.name, self._round)

    def _warn(self) -> None:
        """Tell of what does not end by itself where too few members have kept their promises."""
        self._env.log.warning(
            "promises_not_recovered",
            step="ask",
            rounds=self._round,
            answered=",".join(sorted(self._replies)),
            also_amnesiac=",".join(sorted(self._also_amnesiac)),
        )

    def _recover_from_view(self) -> bool:
        """Vote again if a decided view names this disk."""
        view = self._decided()
        member = member_of(view, self._env.name)
        if view is None or member is None or member.disk_id != self._env.me.disk_id:
            return False
        self._witness.recover([EpochReply(promised=view.epoch, accepted=view)], self._recovered)
        return True

    def _ask_one(self, name: str, number: int) -> None:
        address = self._env.address_of(name, self._view)
        request = EpochQuery(name=self._env.name)
        self._env.network.call(address, request, PROPOSAL_TIMEOUT_SECONDS, lambda reply: self._on_reply(name, number, reply))

    def _on_reply(self, name: str, number: int, reply: Struct | None) -> None:
        if number != self._round or not isinstance(reply, EpochReply) or not self._witness.amnesiac:
            return
        if reply.name != name:  # the address belongs to another machine by now
            return
        if reply.amnesiac:
            self._also_amnesiac.add(name)
            return
        self._replies[name] = reply
        self._note(reply.accepted)
        view = self._view
        if view is None or (self._heard is not None and self._heard.epoch > view.epoch):
            return  # the next round asks the members of the later view
        if intersects_every_quorum(view, self._replies):
            self._witness.recover(list(self._replies.values()), self._recovered)

    def _note(self, view: View | None) -> None:
        if view is not None and (self._heard is None or view.epoch > self._heard.epoch):
            self._heard = view

    def _recovered(self) -> None:
        self._env.log.info("promises_recovered", promised=self._witness.promised)
