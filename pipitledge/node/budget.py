"""How the limits told are shared out: descriptors and memory, by one process or by two of the same node."""

from __future__ import annotations

from pipitledge.node.console import PLACES
from pipitledge.node.front import OVERFLOW_LINKS

# Descriptors: standard streams, signals, listeners, watch and its successor, those of an upgrade, and some that
# libraries open; callers at the second address.
RESERVED_DESCRIPTORS = 24 + PLACES
# Of the rest, for server links: clients need a third of all for requests, and the widest list of workers
# takes a connection for each of its slots.
SERVER_LINK_SHARE = 0.4
PROGRAM_MB, BODY_MEMORY_SHARE = 24, 0.5  # the program with all its connections; of the rest, for clients' bodies


def budget(sockets: int) -> tuple[int, int]:
    """Share out the descriptors: those for clients and those for server links."""
    spare = max(16, sockets - RESERVED_DESCRIPTORS - OVERFLOW_LINKS)
    links = max(4, int(spare * SERVER_LINK_SHARE))
    return spare - links, links


def max_held_body_bytes(memory_mb: int) -> int:
    """Bytes of clients' bodies that may be held at one time."""
    return max(2 << 20, int((memory_mb - PROGRAM_MB) * BODY_MEMORY_SHARE) << 20)
