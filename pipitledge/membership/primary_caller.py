"""Client for calls that only the primary answers; it finds the current primary and retries.

While the primary answers, each call goes directly to it. Once it stops answering, a single call (the search call) tries
the candidates one after the other while the other calls wait in a queue, so that a change of primary doesn't multiply
the number of calls.
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
"""Timeout of one attempt at one node; the expected transfer time of a long request is added."""
EXPECTED_UPLOAD_BYTES_PER_S = 500_000
"""Rate at which a node's link is expected to carry a long request, after compression."""
MIN_ATTEMPT_TIMEOUT_S = 0.001
"""Lower bound of an attempt's timeout shortly before the call's deadline; the call still ends at its deadline."""
INITIAL_BACKOFF_S = 0.03
"""Pause after the first round of a search, or before the first retry of a call."""
MAX_BACKOFF_S = 0.25
"""The pause doubles with each round or retry, up to this value."""
RELAYED_ATTEMPT_TIMEOUT_S = 0.4
"""Timeout of one relayed attempt during a search; it is short because the node itself may be the one that is down."""
PROBE_INTERVAL_S = 1.0
"""Time between probes that test whether the primary can be reached without the relay again."""
PROBE_TIMEOUT_S = 0.5
"""Timeout of such a probe."""

LocalHandler = Callable[[Struct, Reply], bool]


class Outcome(Struct):
    """Result of a call to the primary."""

    reply: Struct | None = None  # None: the call timed out
    may_have_run: bool = False  # an attempt got no answer: the request may have been executed, or may still be


OutcomeHandler = Callable[[Outcome], None]


def transfer_time_s(request: Struct) -> float:
    """Return the extra seconds to allow for sending a long request body."""
    return len(request.body) / EXPECTED_UPLOAD_BYTES_PER_S if isinstance(request, OperatorCall) else 0.0


class _Call:
    """One call in progress."""

    def __init__(self, request: Struct, deadline: float, on_done: OutcomeHandler) -> None:
        self.request = request
        self.deadline = deadline
        self.on_done = on_done
        self.may_have_run = False
        self.attempt = 0  # raised when an attempt starts or ends; answers and timers of older numbers are ignored
        self.asked: Candidate | None = None  # the node whose answer is awaited
        self.backoff = INITIAL_BACKOFF_S
        self.expiry: Timer | None = None
        self.done = False


class PrimaryCaller:
    """Sends the calls of one process to the primary, and searches for it when it does not answer."""

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
        """Create the caller of the process `my_name`.

        `local` handles calls in place of the network while this process is itself the candidate. With `relayed_calls`,
        a primary that can't be reached directly is called through a relay.
        """
        self._clock = clock
        self._network = network
        self._membership = membership
        self._local = local
        self._my_name = my_name
        self._rounds = SearchRounds(clock, membership, randomness)
        self._primary = primary_of(membership.view)  # target of all calls; None while a search is running
        self._last_answer_at = clock.now()  # when the primary last answered
        self._search_call: _Call | None = None
        self._search_backoff = INITIAL_BACKOFF_S
        self._waiting: deque[_Call] = deque()
        self._relayed_calls = relayed_calls
        # The primary through a relay, if the search has to try that next.
        self._next_relayed_candidate: Candidate | None = None
        self._probe_at = 0.0
        membership.on_view(self._on_newer_view)

    def call(self, request: Struct, timeout_s: float, on_done: OutcomeHandler) -> None:
        """Send `request` to the primary; `on_done` is called once, within `timeout_s` seconds."""
        call = _Call(request, self._clock.now() + timeout_s, on_done)
        call.expiry = self._clock.at(call.deadline, partial(self._finish, call, None))
        self._dispatch(call)

    # ---- calls to the primary

    def _dispatch(self, call: _Call) -> None:
        """Send a call to the primary; if none is known, start a search with it or queue it behind the running one."""
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
        elif self._last_answer_at > sent_at:
            # It answered another call since: this answer may have been lost, or sent before it became primary.
            self._retry_later(call)
        else:
            self._prepare_search(asked, answered=reply is not None)
            self._dispatch(call)

    def _retry_later(self, call: _Call) -> None:
        self._after(call.backoff, partial(self._dispatch, call))
        call.backoff = min(2 * call.backoff, MAX_BACKOFF_S)

    # ---- search

    def _prepare_search(self, former: Candidate, answered: bool) -> None:
        """Drop the primary that did not answer as such; the call that is dispatched next becomes the search call."""
        self._primary = None
        self._search_backoff = INITIAL_BACKOFF_S
        self._rounds.start(former)
        self._record_answer(former, answered)
        if not answered:
            self._try_relay_next(former)

    def _try_relay_next(self, unreachable: Candidate) -> None:
        """Try an unreachable node through a relay next: only the path from this process to it may be cut."""
        relay = (
            self._relayed_calls.choose_relay((unreachable.address, unreachable.relay))
            if self._relayed_calls is not None
            else ""
        )
        self._next_relayed_candidate = Candidate(unreachable.address, unreachable.name, relay) if relay else None

    def _probe_direct_path(self, primary: Candidate) -> None:
        """While calls go through a relay, probe from time to time whether the primary can be reached directly again."""
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
        """Send the search call to the next candidate; at the end of a round, start the next one after a pause."""
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
        """Start the next round with the primary of the newest view, through another relay."""
        primary = primary_of(self._membership.view)
        if primary is not None:
            self._try_relay_next(primary)

    def _start_next_round(self, search_call: _Call, attempt: int) -> None:
        """Start the next round, unless the search call has changed or has been sent elsewhere since."""
        if search_call is self._search_call and search_call.attempt == attempt:
            self._rotate_search_call()
            self._ask_next_candidate()

    def _rotate_search_call(self) -> None:
        """Make another call the search call: no node may be able to answer the current one."""
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
        # Otherwise the reply brought a newer view, and the primary of that view is being asked already.
        if search_call is self._search_call and search_call.attempt == attempt:
            self._ask_next_candidate()

    def _end_search(self, primary: Candidate) -> None:
        """End the search and send all waiting calls to `primary`."""
        self._set_primary(primary)
        self._search_call = None
        waiting, self._waiting = self._waiting, deque()
        for call in waiting:
            self._dispatch(call)

    def _on_newer_view(self, view: View) -> None:
        """Switch to the primary of a newer view; a running search asks it at once and abandons the current attempt."""
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
        """Send calls to `primary` from now on."""
        if primary != self._primary:
            self._primary = primary
            self._last_answer_at = self._clock.now()

    # ---- one call

    def _send(self, call: _Call, candidate: Candidate, on_reply: ReplyHandler) -> None:
        """Make one attempt; `on_reply` is not called if the attempt is abandoned."""
        call.attempt += 1
        call.asked = candidate
        attempt = call.attempt
        is_search = candidate != self._primary
        attempt_timeout_s = RELAYED_ATTEMPT_TIMEOUT_S if candidate.relay and is_search else ATTEMPT_TIMEOUT_S
        attempt_timeout_s += transfer_time_s(call.request)
        timeout = max(MIN_ATTEMPT_TIMEOUT_S, min(call.deadline - self._clock.now(), attempt_timeout_s))

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
        """Ignore the answer of the current attempt, if there is one."""
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
