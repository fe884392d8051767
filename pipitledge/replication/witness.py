"""The member that votes on views: what it promised and accepted, and to whom it promised the lease.

Nothing is answered before the record it rests on is durable.
"""

from __future__ import annotations

from collections.abc import Callable

from pipitledge.replication.environment import Environment
from pipitledge.replication.epochs import is_bootstrap_epoch
from pipitledge.replication.quorum import member_of
from pipitledge.replication.records import EpochRecord, encode_epochs
from pipitledge.replication.timing import MEMBER_LEASE_SECONDS
from pipitledge.wire.messages import Accepted, EpochReply, Prepare, Promise, Propose, View

REASON_EPOCH = "epoch"  # a higher epoch, or this one to another proposer, is promised
REASON_LEASE = "lease"  # another node may hold the lease
REASON_AMNESIAC = "amnesiac"  # promises were lost with the disk
REASON_NOT_NAMED = "not named"  # the view does not name this node with its disk
GRANTED_TO_CONTINUE = "continue"  # granted, but of use only if the proposer is the primary of the view it goes on from
GRANTED_LEAVING = "leaving"  # granted; this node is about to stop and should not be relied on


class Witness:
    """Promises of this node."""

    def __init__(self, env: Environment, record: EpochRecord, restarted: bool) -> None:
        """Go on from `record`; after a restart a lease given before may still run."""
        self._env = env
        self._record = record
        self._restart_lease_until = env.clock.now() + MEMBER_LEASE_SECONDS if restarted else 0.0
        self._lease_holder = ""
        self._lease_until = 0.0
        self.leaving = False

    @property
    def promised(self) -> int:
        """The highest epoch promised."""
        return self._record.promised

    @property
    def accepted(self) -> View | None:
        """The view of the highest epoch accepted."""
        return self._record.accepted

    @property
    def amnesiac(self) -> bool:
        """Whether promises were lost and not recovered yet."""
        return self._record.amnesiac

    @property
    def original(self) -> bool:
        """Whether this node started with the system, and no view has taken it in as a member yet."""
        return self._record.original

    def persist(self, on_durable: Callable[[], None]) -> None:
        """Write the record as it is now."""
        self._env.disk.write_epochs(encode_epochs(self._record), on_durable)

    # ---- votes

    def on_prepare(self, message: Prepare, reply: Callable[[Promise], None]) -> None:
        """First phase: promise to take no lower epoch."""
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
        """Second phase: accept a view, unless a higher epoch is promised."""
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
        """A view that founds the system is taken once, by a node of the first start."""
        return not is_bootstrap_epoch(view.epoch) or (self._record.accepted is None and self._record.original)

    # ---- what is told by others

    def learn(self, view: View) -> None:
        """Take over a view that is known to be decided."""
        accepted = self._record.accepted
        if self._record.amnesiac or view.epoch < self._record.promised:
            return
        if accepted is None or accepted.epoch < view.epoch:
            self._accept(view)
            self.persist(_ignore)

    def promise_to_primary(self, epoch: int, primary: str) -> bool:
        """Promise the epoch of a primary that is obeyed; True if that is to be made durable first."""
        if epoch <= self._record.promised:
            return False
        self._record.promised = epoch
        self._record.promised_to = primary
        return True

    def accepts_primary(self, epoch: int, term: int, primary: str) -> bool:
        """Whether messages of that primary count: it is not known that another has taken its place."""
        record = self._record
        if epoch >= record.promised:
            return True
        if record.promised_to != primary:
            return False
        return record.accepted is None or record.accepted.epoch <= epoch or record.accepted.term == term

    # ---- the lease

    def grant_lease(self, holder: str) -> None:
        """Promise nothing to others for the span of a lease."""
        self._lease_holder = holder
        self._lease_until = self._env.clock.now() + MEMBER_LEASE_SECONDS

    def release_lease(self, holder: str) -> None:
        """The holder gave its lease back."""
        if self._lease_holder == holder:
            self._lease_until = 0.0

    def _bound_by_lease(self) -> bool:
        return self._env.clock.now() < max(self._lease_until, self._restart_lease_until)

    def _possible_lease_holder(self) -> str:
        if self._env.clock.now() < self._lease_until:
            return self._lease_holder
        accepted = self._record.accepted
        return accepted.primary if accepted is not None else ""

    # ---- recovery by hand

    def force(self, view: View, reply: Callable[[str], None]) -> None:
        """Take a view that an operator orders, whatever was lost; `reply` gets why not, or "" once it is durable."""
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
        """Whether a lease given may still run."""
        return self._bound_by_lease()

    # ---- amnesia

    def epoch_reply(self) -> EpochReply:
        """What a member that lost its disk asks for."""
        record = self._record
        return EpochReply(
            name=self._env.name,
            promised=record.promised,
            accepted=record.accepted,
            amnesiac=record.amnesiac,
            disk_id=record.disk_id,
        )

    def recover(self, replies: list[EpochReply], on_durable: Callable[[], None]) -> None:
        """Take the highest of what enough others promised and accepted; votes from then on."""
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
    """Nobody waits."""
