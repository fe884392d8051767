"""When a node of the first start tries to found the system: not before it has heard of enough of the seeds.

That only saves vain attempts and waits for late starters; that nobody founds twice rests on the seeds' decision on the
first members (`replication/initial_members.py`).
"""

from __future__ import annotations

from pipitledge.membership.membership import Membership
from pipitledge.runtime.ports import Clock

BOOTSTRAP_WAIT_SECONDS = 6.0  # after which the system is founded though not all seeds were heard of


class BootstrapGate:
    """Holds the founding of the system up until all seeds, or after some time more than half, were heard of."""

    def __init__(self, clock: Clock, membership: Membership, seeds: int) -> None:
        """Watch what `membership` hears of the seeds, of which the settings name so many."""
        self._clock = clock
        self._membership = membership
        self._seeds = seeds
        self._discovered = set[str]()  # seeds; membership may forget them again in a large cluster
        self._opens_at = clock.now() + BOOTSTRAP_WAIT_SECONDS

    def open(self) -> bool:
        """Whether the system may be founded."""
        self._discovered |= {node.address for node in self._membership.nodes()}
        undiscovered = set(self._membership.seed_addresses()) - self._discovered  # this node is not among them
        if not undiscovered:
            return True
        if 2 * len(undiscovered) >= self._seeds:
            return False  # an attempt would be in vain
        return self._clock.now() >= self._opens_at
