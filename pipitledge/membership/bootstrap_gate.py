"""Decides when a node that takes part in the first start may try to bootstrap the system.

It waits until enough seeds are known. This only avoids attempts that can't succeed and gives late starters time;
the seeds' agreement on the initial members (`replication/initial_members.py`) ensures that the system is bootstrapped
only once.
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
        undiscovered = set(self._membership.seed_addresses()) - self._discovered  # without this node
        if not undiscovered:
            return True
        if 2 * len(undiscovered) >= self._seeds:
            return False  # no majority of the seeds is known: an attempt would fail
        return self._clock.now() >= self._opens_at
