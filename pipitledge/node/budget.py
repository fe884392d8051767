"""How the limits told are shared out: descriptors and memory, by one process or by two of the same node."""

from __future__ import annotations

from pipitledge.node.console import MAX_CONNECTIONS
from pipitledge.node.front import SPARE

# Descriptors: standard streams, signals, listeners, watch and its successor, those of an upgrade, and some that
# libraries open; callers at the second address.
BASE = 24 + MAX_CONNECTIONS
# Of the rest, for server links: clients need a third of all for requests, and the widest list of workers
# takes a connection for each of its slots.
LINK_SHARE = 0.4
OURS_MB, BODIES_SHARE = 24, 0.5  # the program with all its connections; of the rest, for clients' bodies


def budget(sockets: int) -> tuple[int, int]:
    """Share out the descriptors: those for clients and those for server links."""
    spare = max(16, sockets - BASE - SPARE)
    links = max(4, int(spare * LINK_SHARE))
    return spare - links, links


def bodies(memory_mb: int) -> int:
    """Bytes of clients' bodies that may be held at one time."""
    return max(2 << 20, int((memory_mb - OURS_MB) * BODIES_SHARE) << 20)
