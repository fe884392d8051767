"""Decides when a node that takes part in the first start may try to bootstrap the system.

It waits until enough seeds are known. That only avoids attempts that can't succeed and gives late starters time; that
the system is not bootstrapped twice is ensured by the seeds' agreement on the initial members
(`replication/initial_members.py`).
"""

from __future__ import annotations

from pipitledge.membership.membership import Membership
from pipitledge.runtime.ports import Clock

BOOTSTRAP_WAIT_SECONDS = 6.0  # after this, more than half of the seeds are enough


class BootstrapGate:
    """Delays bootstrap until all seeds are known or, after `BOOTSTRAP_WAIT_SECONDS`, more than half of them."""

    def __init__(self, clock: Clock, membership: Membership, seeds: int) -> None:
        """Create the gate; `seeds` is the number of seeds in the settings, this node included if it is one."""
        self._clock = clock
        self._membership = membership
        self._seeds = seeds
        self._discovered = set[str]()  # addresses seen so far; membership may forget them again in a large cluster
        self._opens_at = clock.now() + BOOTSTRAP_WAIT_SECONDS

    def open(self) -> bool:
        """Return whether bootstrap may be tried now."""
        self._discovered |= {node.address for node in self._membership.nodes()}
        # `seed_addresses` leaves out this node.
        undiscovered = set(self._membership.seed_addresses()) - self._discovered
        if not undiscovered:
            return True
        if 2 * len(undiscovered) >= self._seeds:
            return False  # no majority is known: an attempt can't succeed
        return self._clock.now() >= self._opens_at
