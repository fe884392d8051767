"""Redirects to the primary for large answers that this machine's link would take too long to send."""

from __future__ import annotations

from pipitledge.membership.candidates import primary_of
from pipitledge.membership.membership import Membership

MAX_SEND_SECONDS = 0.3  # longest time to send an answer; callers wait for one second in total
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


class LargeAnswerRedirects:
    """Decides which answers are redirected to the primary, and to which URL.

    All nodes of a deployment accept operators' calls on the same port.
    """

    def __init__(self, membership: Membership, my_name: str, control_plane: str, link_mbps: float) -> None:
        """Create the rule of `my_name`, whose address is `control_plane`; with 0 Mbit/s nothing is redirected."""
        self._membership = membership
        self._my_name = my_name
        self._port = control_plane.rpartition(":")[2]
        self._bytes_per_s = link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE

    def location(self, size: int, path: str) -> str:
        """Return the URL to redirect the caller to for an answer of `size` bytes; empty if this node should send it."""
        if self._bytes_per_s <= 0.0 or size / self._bytes_per_s <= MAX_SEND_SECONDS:
            return ""
        primary = primary_of(self._membership.view)
        if primary is None or primary.name == self._my_name:
            return ""
        return f"http://{primary.address.rpartition(':')[0]}:{self._port}{path}"
