"""Candidates for the primary, in the order in which a search asks them."""

from __future__ import annotations

import random
from collections.abc import Iterable

from msgspec import Struct

from pipitledge.membership.membership import Membership
from pipitledge.runtime.ports import Clock
from pipitledge.wire.messages import View

UNRESPONSIVE_RETRY_S = 1.0
"""A node that did not answer is skipped for this long while others answer, as each wait for it delays the search."""


class Candidate(Struct, frozen=True):
    """A node that may be the primary; the name is empty if only its address is known."""

    address: str
    name: str = ""
    relay: str = ""  # address of the relay through which it is called; empty: direct call


def primary_of(view: View | None) -> Candidate | None:
    """Return the primary of a view; None if there is no view or the primary is not among its members."""
    if view is None:
        return None
    addresses = (member.address for member in view.members if member.name == view.primary)
    address = next(addresses, "")
    return Candidate(address, view.primary) if address else None


class SearchRounds:
    """Iterates over the candidates in rounds, each candidate once per round."""

    def __init__(self, clock: Clock, membership: Membership, randomness: random.Random) -> None:
        """Create rounds over the nodes that `membership` knows."""
        self._clock = clock
        self._membership = membership
        self._random = randomness
        self._asked: set[str] = set()  # addresses asked in this round
        self._unresponsive_until: dict[str, float] = {}  # address -> time until which it is skipped

    def start(self, failed: Candidate) -> None:
        """Start a search after `failed`, the presumed primary, did not answer or answered that it isn't the primary."""
        self._asked = {failed.address}

    def next(self) -> Candidate | None:
        """Return the next candidate; None at the end of a round."""
        candidates = self._candidates()
        remaining = [candidate for candidate in candidates if candidate.address not in self._asked]
        if any(candidate.address not in self._unresponsive_until for candidate in candidates):
            remaining = [candidate for candidate in remaining if not self._is_skipped(candidate)]
        if not remaining:
            self._asked.clear()
            return None
        # The sort is stable: the primary stays first.
        remaining.sort(key=lambda candidate: candidate.address in self._unresponsive_until)
        self._asked.add(remaining[0].address)
        return remaining[0]

    def on_newer_view(self) -> None:
        """Make the primary of a newer view the next candidate, even if it was asked in this round."""
        primary = primary_of(self._membership.view)
        if primary is not None:
            self._asked.discard(primary.address)
            self._unresponsive_until.pop(primary.address, None)

    def mark_responsive(self, candidate: Candidate) -> None:
        """Record that a candidate answered, though not as the primary."""
        self._unresponsive_until.pop(candidate.address, None)

    def mark_unresponsive(self, candidate: Candidate) -> None:
        """Record that a candidate did not answer; from now on it is asked last, and skipped for a while."""
        self._unresponsive_until[candidate.address] = self._clock.now() + UNRESPONSIVE_RETRY_S

    def _is_skipped(self, candidate: Candidate) -> bool:
        return (
            candidate.address in self._unresponsive_until
            and self._clock.now() < self._unresponsive_until[candidate.address]
        )

    def _candidates(self) -> list[Candidate]:
        """Return the primary of the newest view, its other members and other voting nodes; the seeds without a view."""
        view = self._membership.view
        primary = primary_of(view)
        members = [] if view is None else [Candidate(member.address, member.name) for member in view.members]
        counted = [Candidate(node.address, node.name) for node in self._membership.counted()]
        seeds = [Candidate(address) for address in self._membership.seed_addresses()] if view is None else []
        groups = [[primary] if primary is not None else [], members, counted, seeds]
        return _deduplicated(candidate for group in groups for candidate in self._shuffled(group))

    def _shuffled(self, candidates: list[Candidate]) -> list[Candidate]:
        return self._random.sample(candidates, len(candidates))


def _deduplicated(candidates: Iterable[Candidate]) -> list[Candidate]:
    first_by_address: dict[str, Candidate] = {}
    for candidate in candidates:
        first_by_address.setdefault(candidate.address, candidate)
    return list(first_by_address.values())
