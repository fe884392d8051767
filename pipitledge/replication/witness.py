"""The voting part of a member (Paxos acceptor): its promises, its accepted view, and the lease it has granted.

Every answer is sent only after the record that it depends on is durable.
"""

from __future__ import annotations

from collections.abc import Callable

from pipitledge.replication.environment import Environment
from pipitledge.replication.epochs import is_bootstrap_epoch
from pipitledge.replication.quorum import member_of
from pipitledge.replication.records import EpochRecord, encode_epochs
from pipitledge.replication.timing import MEMBER_LEASE_SECONDS
from pipitledge.wire.messages import Accepted, EpochReply, Prepare, Promise, Propose, View

REASON_EPOCH = "epoch"  # a higher epoch is promised, or this epoch to another proposer
REASON_LEASE = "lease"  # another node may hold the lease
REASON_AMNESIAC = "amnesiac"  # promises were lost with the disk
REASON_NOT_NAMED = "not named"  # the view does not contain this node with its current disk
GRANTED_TO_CONTINUE = "continue"  # granted, but counts only if the proposer is the primary of its base view
GRANTED_LEAVING = "leaving"  # granted, but this node is about to stop and should not be in sync


class Witness:
    """Votes and granted lease of this node."""

    def __init__(self, env: Environment, record: EpochRecord, restarted: bool) -> None:
        """Continue from `record`; if `restarted`, a lease granted by the previous process may still be valid."""
        self._env = env
        self._record = record
        self._restart_lease_until = env.clock.now() + MEMBER_LEASE_SECONDS if restarted else 0.0
        self._lease_holder = ""
        self._lease_until = 0.0
        self.leaving = False

    @property
    def promised(self) -> int:
        """Highest epoch promised."""
        return self._record.promised

    @property
    def accepted(self) -> View | None:
        """Accepted view of the highest epoch; None if none was accepted."""
        return self._record.accepted

    @property
    def amnesiac(self) -> bool:
        """Whether promises were lost with a disk and are not recovered yet."""
        return self._record.amnesiac

    @property
    def original(self) -> bool:
        """Whether this node took part in the first start and has not been a member of any view yet."""
        return self._record.original

    def persist(self, on_durable: Callable[[], None]) -> None:
        """Write the current record to disk; `on_durable` is called once it is durable."""
        self._env.disk.write_epochs(encode_epochs(self._record), on_durable)

    # ---- votes

    def on_prepare(self, message: Prepare, reply: Callable[[Promise], None]) -> None:
        """First phase: promise to accept no lower epoch."""
        reason = self._refusal(message)
        if reason:
            reply(self._promise(False, reason))
            return
        granted = self._grant_reason(message.proposer)
        self._record.promised = message.epoch
        self._record.promised_to = message.proposer
        answer = self._promise(True, granted)
        self.persist(lambda: reply(answer))

    def _refusal(self, message: Prepare) -> str:
        record = self._record
        if record.amnesiac:
            return REASON_AMNESIAC
        if message.epoch < record.promised:
            return REASON_EPOCH
        if message.epoch == record.promised and message.proposer != record.promised_to:
            return REASON_EPOCH
        if self._bound_by_lease() and message.proposer != self._possible_lease_holder():
            return REASON_LEASE
        return ""

    def _grant_reason(self, proposer: str) -> str:
        if self._bound_by_lease():
            return GRANTED_TO_CONTINUE
        return GRANTED_LEAVING if self.leaving else ""

    def _promise(self, granted: bool, reason: str) -> Promise:
        record = self._record
        return Promise(
            granted=granted,
            epoch=record.promised,
            accepted=record.accepted,
            disk_id=record.disk_id,
            name=self._env.name,
            reason=reason,
        )

    def on_propose(self, message: Propose, reply: Callable[[Accepted], None]) -> None:
        """Second phase: accept a view unless a higher epoch has been promised."""
        view = message.view
        if self._record.amnesiac or view.epoch < self._record.promised or not self._may_accept_bootstrap(view):
            reply(Accepted(granted=False, epoch=self._record.promised, name=self._env.name))
            return
        self._accept(view)
        self.grant_lease(view.primary)
        self.persist(lambda: reply(Accepted(granted=True, epoch=view.epoch, name=self._env.name)))

    def _accept(self, view: View) -> None:
        self._record.promised = view.epoch
        self._record.promised_to = view.primary
        self._record.accepted = view
        if member_of(view, self._env.name) is not None:
            self._record.original = False

    def _may_accept_bootstrap(self, view: View) -> bool:
        """Refuse a first view unless this node took part in the first start and has accepted no view yet."""
        return not is_bootstrap_epoch(view.epoch) or (self._record.accepted is None and self._record.original)

    # ---- views and primaries

    def learn(self, view: View) -> None:
        """Record a view that is known to be decided."""
        accepted = self._record.accepted
        if self._record.amnesiac or view.epoch < self._record.promised:
            return
        if accepted is None or accepted.epoch < view.epoch:
            self._accept(view)
            self.persist(_ignore)

    def promise_to_primary(self, epoch: int, primary: str) -> bool:
        """Promise the epoch of an accepted primary; True if the record has to be made durable before an answer."""
        if epoch <= self._record.promised:
            return False
        self._record.promised = epoch
        self._record.promised_to = primary
        return True

    def accepts_primary(self, epoch: int, term: int, primary: str) -> bool:
        """Whether to follow that primary: no promise or accepted view of this node shows that it was replaced."""
        record = self._record
        if epoch >= record.promised:
            return True
        if record.promised_to != primary:
            return False
        return record.accepted is None or record.accepted.epoch <= epoch or record.accepted.term == term

    # ---- the lease

    def grant_lease(self, holder: str) -> None:
        """Grant `holder` a lease: make no promise to another node for `MEMBER_LEASE_SECONDS`."""
        self._lease_holder = holder
        self._lease_until = self._env.clock.now() + MEMBER_LEASE_SECONDS

    def release_lease(self, holder: str) -> None:
        """End the lease early, as its holder gave it up."""
        if self._lease_holder == holder:
            self._lease_until = 0.0

    def _bound_by_lease(self) -> bool:
        return self._env.clock.now() < max(self._lease_until, self._restart_lease_until)

    def _possible_lease_holder(self) -> str:
        if self._env.clock.now() < self._lease_until:
            return self._lease_holder
        accepted = self._record.accepted
        return accepted.primary if accepted is not None else ""

    # ---- recovery by an operator

    def force(self, view: View, reply: Callable[[str], None]) -> None:
        """Accept a view forced by an operator, even after a disk loss.

        `reply` gets "" once the view is durable, or the reason for a refusal.
        """
        reason = self._force_refusal(view)
        if reason:
            reply(reason)
            return
        self._record.amnesiac = False
        self._accept(view)
        self.persist(lambda: reply(""))

    def _force_refusal(self, view: View) -> str:
        member = member_of(view, self._env.name)
        if member is None or member.disk_id != self._env.me.disk_id:
            return REASON_NOT_NAMED
        if self._bound_by_lease():
            return REASON_LEASE
        return REASON_EPOCH if view.epoch <= self._record.promised else ""

    def hears_primary(self) -> bool:
        """Whether a lease that this node granted may still be valid."""
        return self._bound_by_lease()

    # ---- disk loss

    def epoch_reply(self) -> EpochReply:
        """Return the answer to the query of a member that lost its disk."""
        record = self._record
        return EpochReply(
            name=self._env.name,
            promised=record.promised,
            accepted=record.accepted,
            amnesiac=record.amnesiac,
            disk_id=record.disk_id,
        )

    def recover(self, replies: list[EpochReply], on_durable: Callable[[], None]) -> None:
        """Adopt the highest promise and accepted view of enough other members; this node votes again from then on."""
        record = self._record
        for answer in replies:
            if answer.promised > record.promised:
                record.promised = answer.promised
                record.promised_to = ""
            accepted = answer.accepted
            if accepted is not None and (record.accepted is None or accepted.epoch > record.accepted.epoch):
                record.accepted = accepted
        record.amnesiac = False
        self.persist(on_durable)


def _ignore() -> None:
    """Do nothing; no answer depends on this write."""
