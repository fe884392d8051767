"""Epoch numbers: a round and a hash of the proposer's name, so that two proposers rarely choose the same epoch.

If they do, a member promises an epoch to one proposer only, so at most one of them gets a quorum.
The lowest rounds are reserved for the first view, which bootstraps the system; all later views have higher rounds.
"""

from __future__ import annotations

import zlib

EPOCHS_PER_ROUND = 1024
FIRST_ORDINARY_ROUND = 1024
FIRST_ORDINARY_EPOCH = FIRST_ORDINARY_ROUND * EPOCHS_PER_ROUND


def _epoch(round_number: int, proposer: str) -> int:
    return round_number * EPOCHS_PER_ROUND + zlib.crc32(proposer.encode()) % EPOCHS_PER_ROUND


def next_bootstrap_epoch(highest: int, proposer: str) -> int:
    """Return an epoch above `highest` for a first view, which bootstraps the system."""
    return _epoch(highest // EPOCHS_PER_ROUND + 1, proposer)


def next_epoch(highest: int, proposer: str) -> int:
    """Return an epoch above `highest` for any later view."""
    return _epoch(max(highest // EPOCHS_PER_ROUND + 1, FIRST_ORDINARY_ROUND), proposer)


def is_bootstrap_epoch(epoch: int) -> bool:
    """Whether a view of this epoch bootstraps the system."""
    return 0 < epoch < FIRST_ORDINARY_EPOCH
