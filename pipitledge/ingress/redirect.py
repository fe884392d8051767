"""Where callers get a large answer that this machine's link would take too long to carry: from the primary itself."""

from __future__ import annotations

from pipitledge.membership.candidates import primary_of
from pipitledge.membership.membership import Membership

MAX_SEND_SECONDS = 0.3  # of an answer; callers wait for a second in all
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


class LargeAnswerRedirects:
    """Tells which answers had better come from the primary, and where it takes operators' calls.

    All nodes of a deployment take operators' calls at the same port, each at its own address.
    """

    def __init__(self, membership: Membership, my_name: str, control_plane: str, link_mbps: float) -> None:
        """For the node `my_name`, which takes operators' calls at `control_plane` ("ip:port") over its own link."""
        self._membership = membership
        self._my_name = my_name
        self._port = control_plane.rpartition(":")[2]
        self._bytes_per_s = link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE

    def location(self, size: int, path: str) -> str:
        """The address to send the caller to for an answer of so many bytes; empty where this node should send it."""
        if self._bytes_per_s <= 0.0 or size / self._bytes_per_s <= MAX_SEND_SECONDS:
            return ""
        primary = primary_of(self._membership.view)
        if primary is None or primary.name == self._my_name:
            return ""
        return f"http://{primary.address.rpartition(':')[0]}:{self._port}{path}"
