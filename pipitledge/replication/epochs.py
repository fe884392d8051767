"""Epoch numbers: a round and a mark of the proposer, so that two proposers seldom choose the same.

Where they do, a member promises one epoch to one proposer only, so at most one of them gets a quorum.
The first rounds are those of founding; any view that follows one founds nothing and has a later round.
"""

from __future__ import annotations

import zlib

EPOCHS_PER_ROUND = 1024
FIRST_ORDINARY_ROUND = 1024
FIRST_ORDINARY_EPOCH = FIRST_ORDINARY_ROUND * EPOCHS_PER_ROUND


def _epoch(round_number: int, proposer: str) -> int:
    return round_number * EPOCHS_PER_ROUND + zlib.crc32(proposer.encode()) % EPOCHS_PER_ROUND


def next_bootstrap_epoch(highest: int, proposer: str) -> int:
    """An epoch above `highest` for a view that founds the system."""
    return _epoch(highest // EPOCHS_PER_ROUND + 1, proposer)


def next_epoch(highest: int, proposer: str) -> int:
    """An epoch above `highest` for any later view."""
    return _epoch(max(highest // EPOCHS_PER_ROUND + 1, FIRST_ORDINARY_ROUND), proposer)


def is_bootstrap_epoch(epoch: int) -> bool:
    """Whether a view of that epoch founds the system."""
    return 0 < epoch < FIRST_ORDINARY_EPOCH
