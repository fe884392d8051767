"""One attempt to get a view decided (Paxos): promises of a quorum, a view derived from the latest one, its votes."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from msgspec import Struct

from pipitledge.replication.environment import Environment
from pipitledge.replication.quorum import has_quorum, voters
from pipitledge.replication.timing import PROMISE_GRACE_SECONDS, PROPOSAL_TIMEOUT_SECONDS
from pipitledge.replication.witness import GRANTED_TO_CONTINUE, Witness
from pipitledge.runtime.ports import Timer
from pipitledge.wire.messages import Accepted, Prepare, Promise, Propose, View

DeriveView = Callable[[View | None, dict[str, Promise]], View | None]


class ProposalOutcome(Struct):
    """Result of one attempt."""

    decided: View | None = None
    reason: str = ""  # "decided", or why no view was decided
    highest_epoch: int = 0  # highest epoch that any node reported
    latest: View | None = None  # accepted view of the highest epoch that any node reported


class Proposal:
    """Asks the voters of `start`, and those of any later view that they report.

    Answers count only within `PROPOSAL_TIMEOUT_SECONDS`, which the recovery of a member that lost its disk relies on.
    An answer counts only if it names the member that was asked: the address may belong to another machine by now, and
    that machine must not vote twice.
    """

    def __init__(
        self,
        env: Environment,
        witness: Witness,
        epoch: int,
        start: View,
        derive: DeriveView,
        on_done: Callable[[ProposalOutcome], None],
        grace: float = PROMISE_GRACE_SECONDS,
    ) -> None:
        """The voters of `start` are asked first; `derive` returns the new view, or None to abandon the attempt."""
        self._env = env
        self._witness = witness
        self._epoch = epoch
        self._start = start
        self._derive = derive
        self._on_done = on_done
        self._grace = grace
        self._deadline = env.clock.now() + PROPOSAL_TIMEOUT_SECONDS
        self._asked: set[str] = set()
        self._answered: set[str] = set()
        self._promises: dict[str, Promise] = {}
        self._accepted: set[str] = set()
        self._view: View | None = None
        self._grace_over = False
        self._grace_started = False
        self._own_promise_asked = False
        self._ended = False
        self._outcome = ProposalOutcome()
        self._timers: list[Timer] = []

    def run(self) -> None:
        """Start the first phase."""
        self._timers.append(self._env.clock.at(self._deadline, self._expire))
        self._send_prepares(self._start)
        self._advance_first_phase()

    def _expire(self) -> None:
        self._finish("timeout")

    def _has_ended(self) -> bool:
        """Whether the attempt has ended; a reply after the deadline ends it even if the timer has not run yet."""
        if not self._ended and self._env.clock.now() >= self._deadline:
            self._expire()
        return self._ended

    def _finish(self, reason: str, decided: View | None = None) -> None:
        if self._ended:
            return
        self._ended = True
        for timer in self._timers:
            timer.cancel()
        self._outcome.reason = reason
        self._outcome.decided = decided
        self._on_done(self._outcome)

    # ---- first phase

    def _send_prepares(self, view: View) -> None:
        for member in voters(view):
            if member.name in self._asked:
                continue
            self._asked.add(member.name)
            if member.name == self._env.name:
                continue
            address = self._env.address_of(member.name, view)
            request = Prepare(epoch=self._epoch, proposer=self._env.name)
            self._env.network.call(address, request, PROPOSAL_TIMEOUT_SECONDS, partial(self._on_promise, member.name))

    def _on_promise(self, name: str, message: Struct | None) -> None:
        if self._has_ended():
            return
        self._answered.add(name)
        if isinstance(message, Promise) and message.name == name:
            self._record_report(message)
            if message.granted:
                self._promises[name] = message
        self._advance_first_phase()

    def _record_report(self, promise: Promise) -> None:
        self._outcome.highest_epoch = max(self._outcome.highest_epoch, promise.epoch)
        reported = promise.accepted
        if reported is not None and (self._outcome.latest is None or reported.epoch > self._outcome.latest.epoch):
            self._outcome.latest = reported

    def _base(self) -> View | None:
        """Return the accepted view of the highest epoch among the promises and this node's own record."""
        reported = [promise.accepted for promise in self._promises.values()] + [self._witness.accepted]
        return max((view for view in reported if view is not None), key=lambda view: view.epoch, default=None)

    def _usable_promises(self, base: View | None) -> set[str]:
        """Return the members with a promise that counts: some count only if this node is the primary of `base`."""
        continues = base is not None and base.primary == self._env.name
        return {name for name, promise in self._promises.items() if continues or promise.reason != GRANTED_TO_CONTINUE}

    def _advance_first_phase(self) -> None:
        """Go on once enough members have promised.

        This node promises last: a promise that leads to no decision would make it refuse the primary's lease.
        """
        if self._ended or self._view is not None:
            return
        base = self._base()
        scope = base or self._start
        self._send_prepares(scope)
        names = self._usable_promises(base)
        if not has_quorum(scope, names | {self._env.name}):
            if self._all_answered():
                self._finish("no quorum")
            return
        if not self._grace_over and not self._all_answered():
            self._start_grace()
            return
        if self._env.name not in self._promises:
            self._request_own_promise()
            return
        if has_quorum(scope, names):
            self._propose(base)
        elif self._all_answered():
            self._finish("no quorum")

    def _all_answered(self) -> bool:
        return self._asked - {self._env.name} <= self._answered

    def _start_grace(self) -> None:
        if not self._grace_started:
            self._grace_started = True
            self._timers.append(self._env.clock.at(self._env.clock.now() + self._grace, self._end_grace))

    def _end_grace(self) -> None:
        self._grace_over = True
        self._advance_first_phase()

    def _request_own_promise(self) -> None:
        if self._own_promise_asked:
            return
        self._own_promise_asked = True
        request = Prepare(epoch=self._epoch, proposer=self._env.name)
        self._witness.on_prepare(request, self._on_own_promise)

    def _on_own_promise(self, promise: Promise) -> None:
        if self._has_ended():
            return
        self._record_report(promise)
        if not promise.granted:
            self._finish("own promise: " + promise.reason)
            return
        self._promises[self._env.name] = promise
        self._advance_first_phase()

    # ---- second phase

    def _propose(self, base: View | None) -> None:
        view = self._derive(base, {name: self._promises[name] for name in self._usable_promises(base)})
        if view is None:
            self._finish("this node may not be the primary")
            return
        self._view = view
        self._witness.on_propose(Propose(view=view), partial(self._on_accepted, self._env.name))
        for member in voters(view):
            if member.name != self._env.name:
                address = self._env.address_of(member.name, view)
                request = Propose(view=view)
                self._env.network.call(
                    address, request, PROPOSAL_TIMEOUT_SECONDS, partial(self._on_accepted, member.name)
                )

    def _on_accepted(self, name: str, message: Struct | None) -> None:
        if self._has_ended() or self._view is None or not isinstance(message, Accepted) or message.name != name:
            return
        self._outcome.highest_epoch = max(self._outcome.highest_epoch, message.epoch)
        if message.granted:
            self._accepted.add(name)
        if has_quorum(self._view, self._accepted):
            self._finish("decided", self._view)
