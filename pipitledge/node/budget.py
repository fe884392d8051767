"""Division of the node's descriptors and memory, for one process or for the two of an upgrade."""

from __future__ import annotations

from pipitledge.node.console import MAX_CONNECTIONS
from pipitledge.node.front import OVERFLOW_LINKS

# Descriptors for: standard streams, signals, listeners, the discovery watch and its replacement, the sockets of an
# upgrade, files that libraries open, and callers of the console address.
RESERVED_DESCRIPTORS = 24 + MAX_CONNECTIONS
# Share of the remaining descriptors for server links: clients need a third of all descriptors for their requests, and
# the widest worker list takes one connection for each of its slots.
SERVER_LINK_SHARE = 0.4
# Memory of the program with all its connections, and the share of the rest that clients' request bodies may take.
PROGRAM_MB, BODY_MEMORY_SHARE = 24, 0.5


def budget(sockets: int) -> tuple[int, int]:
    """Split the descriptors into the number for client connections and the number for server links."""
    spare = max(16, sockets - RESERVED_DESCRIPTORS - OVERFLOW_LINKS)
    links = max(4, int(spare * SERVER_LINK_SHARE))
    return spare - links, links


def max_held_body_bytes(memory_mb: int) -> int:
    """Return the most bytes of request bodies that the process may hold in memory at one time."""
    return max(2 << 20, int((memory_mb - PROGRAM_MB) * BODY_MEMORY_SHARE) << 20)
