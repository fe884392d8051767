"""Calls that only the primary answers, sent to whoever it is by now.

While the primary answers, each call goes straight to it. Once it does not, one call (the search_call) goes round the
candidates, and the others wait for what it finds: a change of primary must not multiply the calls.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from functools import partial

from msgspec import Struct

from pipitledge.membership.candidates import Candidate, SearchRounds, primary_of
from pipitledge.membership.membership import Membership
from pipitledge.membership.relayed_calls import RelayedCalls
from pipitledge.runtime.handlers import Reply
from pipitledge.runtime.ports import Clock, Network, ReplyHandler, Timer
from pipitledge.wire.messages import NotPrimary, OperatorCall, View

ATTEMPT_TIMEOUT_S = 0.8
"""Longest wait for one node, but for what a long request takes on its way."""
EXPECTED_UPLOAD_BYTES_PER_S = 500_000
"""At which a long request is expected to pass the link of a node, packed."""
MIN_ATTEMPT_TIMEOUT_S = 0.001
"""Where patience is all but over; its end does not wait for the attempt's."""
INITIAL_BACKOFF_S = 0.03
"""Pause after the first round of a search, or the first repetition of a call."""
MAX_BACKOFF_S = 0.25
"""Pauses double up to this."""
RELAYED_ATTEMPT_TIMEOUT_S = 0.4
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


def transfer_time_s(request: Struct) -> float:
    """Seconds that a request may be on its way for its length, beside the time that any request may take."""
    return len(request.body) / EXPECTED_UPLOAD_BYTES_PER_S if isinstance(request, OperatorCall) else 0.0


class _Call:
    """One call under way."""

    def __init__(self, request: Struct, deadline: float, on_done: OutcomeHandler) -> None:
        self.request = request
        self.deadline = deadline
        self.on_done = on_done
        self.may_have_run = False
        self.attempt = 0  # rises with whatever happens to the call; what belongs to a former number comes too late
        self.asked: Candidate | None = None  # whose answer is due
        self.backoff = INITIAL_BACKOFF_S
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
        relayed_calls: RelayedCalls | None = None,
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
        self._last_answer_at = clock.now()  # when the primary last did
        self._search_call: _Call | None = None
        self._search_backoff = INITIAL_BACKOFF_S
        self._waiting: deque[_Call] = deque()
        self._relayed_calls = relayed_calls
        self._next_relayed_candidate: Candidate | None = (
            None  # the primary by way of a relay, where that is to be tried next
        )
        self._probe_at = 0.0
        membership.on_view(self._on_newer_view)

    def call(self, request: Struct, timeout_s: float, on_done: OutcomeHandler) -> None:
        """Have the primary answer `request`; `on_done` is called once, within `patience_s` seconds."""
        call = _Call(request, self._clock.now() + timeout_s, on_done)
        call.expiry = self._clock.at(call.deadline, partial(self._finish, call, None))
        self._dispatch(call)

    # ---- calls to the primary

    def _dispatch(self, call: _Call) -> None:
        """Send a call to the primary, or let it wait for, or go on, the search."""
        if call.done:
            return
        if self._primary is not None:
            self._send(call, self._primary, partial(self._on_reply, call, self._primary, self._clock.now()))
        elif self._search_call is None:
            self._search_call = call
            self._ask_next_candidate()
        else:
            self._waiting.append(call)

    def _on_reply(self, call: _Call, asked: Candidate, sent_at: float, reply: Struct | None) -> None:
        if reply is not None and not isinstance(reply, NotPrimary):
            if asked == self._primary:
                self._last_answer_at = self._clock.now()
                self._probe_direct_path(asked)
            self._finish(call, reply)
            return
        self._offer_view(reply)
        if asked != self._primary:
            self._dispatch(call)
        elif self._last_answer_at > sent_at:  # it answers others: this answer may have been lost, or was given early
            self._retry_later(call)
        else:
            self._start_search(asked, answered=reply is not None)
            self._dispatch(call)

    def _retry_later(self, call: _Call) -> None:
        self._after(call.backoff, partial(self._dispatch, call))
        call.backoff = min(2 * call.backoff, MAX_BACKOFF_S)

    # ---- search

    def _start_search(self, former: Candidate, answered: bool) -> None:
        """The primary is not known any longer: the next call to be dispatched is the search_call."""
        self._primary = None
        self._search_backoff = INITIAL_BACKOFF_S
        self._rounds.start(former)
        self._record_answer(former, answered)
        if not answered:
            self._try_relay_next(former)

    def _try_relay_next(self, unreachable: Candidate) -> None:
        """Try a node that did not answer by way of a relay: this process may be cut off from it, and others not."""
        relay = (
            self._relayed_calls.choose_relay((unreachable.address, unreachable.relay))
            if self._relayed_calls is not None
            else ""
        )
        self._next_relayed_candidate = Candidate(unreachable.address, unreachable.name, relay) if relay else None

    def _probe_direct_path(self, primary: Candidate) -> None:
        """Now and then see whether the primary can be reached straight again."""
        now = self._clock.now()
        if self._relayed_calls is None or not primary.relay or now < self._probe_at:
            return
        self._probe_at = now + PROBE_INTERVAL_S

        def probed(reply: Struct | None) -> None:
            if reply is not None and self._primary == primary:
                self._set_primary(Candidate(primary.address, primary.name))

        self._relayed_calls.probe(primary.address, PROBE_TIMEOUT_S, probed)

    def _record_answer(self, candidate: Candidate, answered: bool) -> None:
        if answered:
            self._rounds.mark_responsive(candidate)
        else:
            self._rounds.mark_unresponsive(candidate)

    def _ask_next_candidate(self) -> None:
        """Let the search_call ask the next candidate, after a backoff where a round is over."""
        search_call = self._search_call
        if search_call is None:
            return
        candidate, self._next_relayed_candidate = self._next_relayed_candidate or self._rounds.next(), None
        if candidate is None:
            search_call.attempt += 1
            self._try_relay_to_primary_next()
            self._after(self._search_backoff, partial(self._start_next_round, search_call, search_call.attempt))
            self._search_backoff = min(2 * self._search_backoff, MAX_BACKOFF_S)
            return
        self._send(search_call, candidate, partial(self._on_search_reply, search_call, candidate))

    def _try_relay_to_primary_next(self) -> None:
        """A round is over: begin the next one with the primary of the newest view, by way of another relay."""
        primary = primary_of(self._membership.view)
        if primary is not None:
            self._try_relay_next(primary)

    def _start_next_round(self, search_call: _Call, attempt: int) -> None:
        """Begin the next round, unless something else has happened."""
        if search_call is self._search_call and search_call.attempt == attempt:
            self._rotate_search_call()
            self._ask_next_candidate()

    def _rotate_search_call(self) -> None:
        """Let another call be the search_call: the one that was may itself be what nobody answers."""
        if self._search_call is not None:
            self._waiting.append(self._search_call)
        self._search_call = self._pop_waiting()

    def _pop_waiting(self) -> _Call | None:
        while self._waiting:
            call = self._waiting.popleft()
            if not call.done:
                return call
        return None

    def _on_search_reply(self, search_call: _Call, asked: Candidate, reply: Struct | None) -> None:
        if not asked.relay:
            self._record_answer(asked, answered=reply is not None)
        if reply is not None and not isinstance(reply, NotPrimary):
            self._end_search(asked)
            self._finish(search_call, reply)
            return
        attempt = search_call.attempt
        self._offer_view(reply)
        if (
            search_call is self._search_call and search_call.attempt == attempt
        ):  # else the view was news, and its primary is being asked
            self._ask_next_candidate()

    def _end_search(self, primary: Candidate) -> None:
        """The search is over: all that waited go there."""
        self._set_primary(primary)
        self._search_call = None
        waiting, self._waiting = self._waiting, deque()
        for call in waiting:
            self._dispatch(call)

    def _on_newer_view(self, view: View) -> None:
        """Turn to the primary of a newer view; in a search it is asked at once, also if an answer is still due."""
        self._rounds.on_newer_view()
        primary = primary_of(view)
        search_call = self._search_call
        if primary is None:
            return
        if search_call is None:
            self._set_primary(primary)
        elif search_call.asked != primary:
            self._abandon_attempt(search_call)
            self._ask_next_candidate()

    def _set_primary(self, primary: Candidate) -> None:
        """Send calls there from now on."""
        if primary != self._primary:
            self._primary = primary
            self._last_answer_at = self._clock.now()

    # ---- one call

    def _send(self, call: _Call, candidate: Candidate, on_reply: ReplyHandler) -> None:
        """Make one attempt; `on_reply` is not called if it is abandoned."""
        call.attempt += 1
        call.asked = candidate
        attempt = call.attempt
        is_search = candidate != self._primary
        longest_timeout_s = RELAYED_ATTEMPT_TIMEOUT_S if candidate.relay and is_search else ATTEMPT_TIMEOUT_S
        longest_timeout_s += transfer_time_s(call.request)
        timeout = max(MIN_ATTEMPT_TIMEOUT_S, min(call.deadline - self._clock.now(), longest_timeout_s))

        def on_answer(reply: Struct | None) -> None:
            if call.done or call.attempt != attempt:
                return
            call.attempt += 1
            call.asked = None
            call.may_have_run = call.may_have_run or reply is None
            on_reply(reply)

        if self._local is not None and candidate.name and candidate.name == self._my_name:
            self._after(timeout, partial(on_answer, None))
            if not self._local(call.request, on_answer):
                on_answer(NotPrimary())
        elif candidate.relay and self._relayed_calls is not None:
            self._relayed_calls.call_via(candidate.relay, candidate.address, call.request, timeout, on_answer)
        else:
            self._network.call(candidate.address, call.request, timeout, on_answer)

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
        if call is self._search_call:
            self._search_call = self._pop_waiting()
            self._ask_next_candidate()
        call.on_done(Outcome(reply, call.may_have_run))

    def _offer_view(self, reply: Struct | None) -> None:
        if isinstance(reply, NotPrimary):
            self._membership.offer_view(reply.view)

    def _after(self, delay: float, action: Callable[[], None]) -> None:
        self._clock.at(self._clock.now() + delay, action)
