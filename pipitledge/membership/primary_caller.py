"""Calls that only the primary answers, sent to whoever it is by now.

While the primary answers, each call goes straight to it. Once it does not, one call (the scout) goes round the
candidates, and the others wait for what it finds: a change of primary must not multiply the calls.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from functools import partial

from msgspec import Struct

from pipitledge.membership.candidates import Candidate, SearchRounds, primary_of
from pipitledge.membership.detours import Detours
from pipitledge.membership.membership import Membership
from pipitledge.runtime.handlers import Reply
from pipitledge.runtime.ports import Clock, Network, ReplyHandler, Timer
from pipitledge.wire.messages import NotPrimary, OperatorCall, View

ATTEMPT_S = 0.8
"""Longest wait for one node, but for what a long request takes on its way."""
LONG_BODY_BYTES_PER_S = 500_000
"""At which a long request is expected to pass the link of a node, packed."""
SHORTEST_ATTEMPT_S = 0.001
"""Where patience is all but over; its end does not wait for the attempt's."""
FIRST_PAUSE_S = 0.03
"""Pause after the first round of a search, or the first repetition of a call."""
LONGEST_PAUSE_S = 0.25
"""Pauses double up to this."""
RELAYED_ATTEMPT_S = 0.4
"""Longest wait for one node by way of a relay, during a search: it may be the node that does not answer."""
PROBE_INTERVAL_S = 1.0
"""Between looks whether the primary can be reached without the relay again."""
PROBE_TIMEOUT_S = 0.5

LocalHandler = Callable[[Struct, Reply], bool]


class Outcome(Struct):
    """How a call ended."""

    reply: Struct | None = None  # None: patience was over first
    may_have_run: bool = False  # an attempt went unanswered: the request may have been carried out, or yet be


OutcomeHandler = Callable[[Outcome], None]


def passage_s(request: Struct) -> float:
    """Seconds that a request may be on its way for its length, beside the time that any request may take."""
    return len(request.body) / LONG_BODY_BYTES_PER_S if isinstance(request, OperatorCall) else 0.0


class _Call:
    """One call under way."""

    def __init__(self, request: Struct, deadline: float, on_done: OutcomeHandler) -> None:
        self.request = request
        self.deadline = deadline
        self.on_done = on_done
        self.may_have_run = False
        self.attempt = 0  # rises with whatever happens to the call; what belongs to a former number comes too late
        self.asked: Candidate | None = None  # whose answer is due
        self.pause = FIRST_PAUSE_S
        self.expiry: Timer | None = None
        self.done = False


class PrimaryCaller:
    """Finds the primary for the calls of one process."""

    def __init__(
        self,
        clock: Clock,
        network: Network,
        membership: Membership,
        randomness: random.Random,
        local: LocalHandler | None = None,
        my_name: str = "",
        detours: Detours | None = None,
    ) -> None:
        """A caller in the process `my_name`; `local` answers in place of the network where that is the one to ask.

        With `detours`, a primary that can't be reached is called by way of a relay.
        """
        self._clock = clock
        self._network = network
        self._membership = membership
        self._local = local
        self._my_name = my_name
        self._rounds = SearchRounds(clock, membership, randomness)
        self._primary = primary_of(membership.view)  # whom calls go to; None: it is being searched for
        self._answered_at = clock.now()  # when the primary last did
        self._scout: _Call | None = None
        self._scout_pause = FIRST_PAUSE_S
        self._waiting: deque[_Call] = deque()
        self._detours = detours
        self._relayed: Candidate | None = None  # the primary by way of a relay, where that is to be tried next
        self._probe_at = 0.0
        membership.on_view(self._learn_view)

    def call(self, request: Struct, patience_s: float, on_done: OutcomeHandler) -> None:
        """Have the primary answer `request`; `on_done` is called once, within `patience_s` seconds."""
        call = _Call(request, self._clock.now() + patience_s, on_done)
        call.expiry = self._clock.at(call.deadline, partial(self._finish, call, None))
        self._dispatch(call)

    # ---- calls to the primary

    def _dispatch(self, call: _Call) -> None:
        """Send a call to the primary, or let it wait for, or go on, the search."""
        if call.done:
            return
        if self._primary is not None:
            self._send(call, self._primary, partial(self._take_reply, call, self._primary, self._clock.now()))
        elif self._scout is None:
            self._scout = call
            self._ask_next()
        else:
            self._waiting.append(call)

    def _take_reply(self, call: _Call, asked: Candidate, sent_at: float, reply: Struct | None) -> None:
        if reply is not None and not isinstance(reply, NotPrimary):
            if asked == self._primary:
                self._answered_at = self._clock.now()
                self._probe_if_relayed(asked)
            self._finish(call, reply)
            return
        self._offer_view(reply)
        if asked != self._primary:
            self._dispatch(call)
        elif self._answered_at > sent_at:  # it answers others: this answer may have been lost, or was given early
            self._repeat_later(call)
        else:
            self._doubt(asked, answered=reply is not None)
            self._dispatch(call)

    def _repeat_later(self, call: _Call) -> None:
        self._after(call.pause, partial(self._dispatch, call))
        call.pause = min(2 * call.pause, LONGEST_PAUSE_S)

    # ---- search

    def _doubt(self, former: Candidate, answered: bool) -> None:
        """The primary is not known any longer: the next call to be dispatched is the scout."""
        self._primary = None
        self._scout_pause = FIRST_PAUSE_S
        self._rounds.start(former)
        self._note_answer(former, answered)
        if not answered:
            self._plan_relay(former)

    def _plan_relay(self, unreached: Candidate) -> None:
        """Try a node that did not answer by way of a relay: this process may be cut off from it, and others not."""
        relay = self._detours.relay((unreached.address, unreached.relay)) if self._detours is not None else ""
        self._relayed = Candidate(unreached.address, unreached.name, relay) if relay else None

    def _probe_if_relayed(self, primary: Candidate) -> None:
        """Now and then see whether the primary can be reached straight again."""
        now = self._clock.now()
        if self._detours is None or not primary.relay or now < self._probe_at:
            return
        self._probe_at = now + PROBE_INTERVAL_S

        def probed(reply: Struct | None) -> None:
            if reply is not None and self._primary == primary:
                self._go_to(Candidate(primary.address, primary.name))

        self._detours.probe(primary.address, PROBE_TIMEOUT_S, probed)

    def _note_answer(self, candidate: Candidate, answered: bool) -> None:
        if answered:
            self._rounds.answered(candidate)
        else:
            self._rounds.unanswered(candidate)

    def _ask_next(self) -> None:
        """Let the scout ask the next candidate, after a pause where a round is over."""
        scout = self._scout
        if scout is None:
            return
        candidate, self._relayed = self._relayed or self._rounds.next(), None
        if candidate is None:
            scout.attempt += 1
            self._plan_relay_to_primary()
            self._after(self._scout_pause, partial(self._go_on, scout, scout.attempt))
            self._scout_pause = min(2 * self._scout_pause, LONGEST_PAUSE_S)
            return
        self._send(scout, candidate, partial(self._take_scouts_reply, scout, candidate))

    def _plan_relay_to_primary(self) -> None:
        """A round is over: begin the next one with the primary of the newest view, by way of another relay."""
        primary = primary_of(self._membership.view)
        if primary is not None:
            self._plan_relay(primary)

    def _go_on(self, scout: _Call, attempt: int) -> None:
        """Begin the next round, unless something else has happened."""
        if scout is self._scout and scout.attempt == attempt:
            self._take_turns()
            self._ask_next()

    def _take_turns(self) -> None:
        """Let another call be the scout: the one that was may itself be what nobody answers."""
        if self._scout is not None:
            self._waiting.append(self._scout)
        self._scout = self._next_waiting()

    def _next_waiting(self) -> _Call | None:
        while self._waiting:
            call = self._waiting.popleft()
            if not call.done:
                return call
        return None

    def _take_scouts_reply(self, scout: _Call, asked: Candidate, reply: Struct | None) -> None:
        if not asked.relay:
            self._note_answer(asked, answered=reply is not None)
        if reply is not None and not isinstance(reply, NotPrimary):
            self._found(asked)
            self._finish(scout, reply)
            return
        attempt = scout.attempt
        self._offer_view(reply)
        if scout is self._scout and scout.attempt == attempt:  # else the view was news, and its primary is being asked
            self._ask_next()

    def _found(self, primary: Candidate) -> None:
        """The search is over: all that waited go there."""
        self._go_to(primary)
        self._scout = None
        waiting, self._waiting = self._waiting, deque()
        for call in waiting:
            self._dispatch(call)

    def _learn_view(self, view: View) -> None:
        """Turn to the primary of a newer view; in a search it is asked at once, also if an answer is still due."""
        self._rounds.learned_view()
        primary = primary_of(view)
        scout = self._scout
        if primary is None:
            return
        if scout is None:
            self._go_to(primary)
        elif scout.asked != primary:
            self._abandon_attempt(scout)
            self._ask_next()

    def _go_to(self, primary: Candidate) -> None:
        """Send calls there from now on."""
        if primary != self._primary:
            self._primary = primary
            self._answered_at = self._clock.now()

    # ---- one call

    def _send(self, call: _Call, candidate: Candidate, on_reply: ReplyHandler) -> None:
        """Make one attempt; `on_reply` is not called if it is abandoned."""
        call.attempt += 1
        call.asked = candidate
        attempt = call.attempt
        searches = candidate != self._primary
        longest_s = RELAYED_ATTEMPT_S if candidate.relay and searches else ATTEMPT_S
        longest_s += passage_s(call.request)
        timeout = max(SHORTEST_ATTEMPT_S, min(call.deadline - self._clock.now(), longest_s))

        def take(reply: Struct | None) -> None:
            if call.done or call.attempt != attempt:
                return
            call.attempt += 1
            call.asked = None
            call.may_have_run = call.may_have_run or reply is None
            on_reply(reply)

        if self._local is not None and candidate.name and candidate.name == self._my_name:
            self._after(timeout, partial(take, None))
            if not self._local(call.request, take):
                take(NotPrimary())
        elif candidate.relay and self._detours is not None:
            self._detours.call_by(candidate.relay, candidate.address, call.request, timeout, take)
        else:
            self._network.call(candidate.address, call.request, timeout, take)

    def _abandon_attempt(self, call: _Call) -> None:
        """Wait no longer for the answer that is due, if one is."""
        call.attempt += 1
        call.may_have_run = call.may_have_run or call.asked is not None
        call.asked = None

    def _finish(self, call: _Call, reply: Struct | None) -> None:
        if call.done:
            return
        call.done = True
        if call.expiry is not None:
            call.expiry.cancel()
        self._abandon_attempt(call)
        if call is self._scout:
            self._scout = self._next_waiting()
            self._ask_next()
        call.on_done(Outcome(reply, call.may_have_run))

    def _offer_view(self, reply: Struct | None) -> None:
        if isinstance(reply, NotPrimary):
            self._membership.offer_view(reply.view)

    def _after(self, delay: float, action: Callable[[], None]) -> None:
        self._clock.at(self._clock.now() + delay, action)
