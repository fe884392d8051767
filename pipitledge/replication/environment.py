"""The dependencies that all parts of replication share: the ports, and the description of this node."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Protocol

from pipitledge.replication.quorum import Tolerance, voters
from pipitledge.runtime.ports import Clock, Disk, Network
from pipitledge.wire.messages import Member, NodeDescriptor, View


class MembershipSource(Protocol):
    """The part of cluster membership that replication uses."""

    def counted(self) -> list[NodeDescriptor]:
        """The known nodes that vote and hold replicated state (`countsForQuorum`)."""

    @property
    def view(self) -> View | None:
        """The decided view of the highest epoch that gossip has delivered."""

    def offer_view(self, view: View) -> None:
        """Pass on a decided view."""


class EventLog(Protocol):
    """Log of structured events."""

    def info(self, event: str, **fields: object) -> None:
        """Log an event of normal operation."""

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that an operator may have to look at."""


class NodeInfo(Protocol):
    """This node as its settings describe it."""

    @property
    def name(self) -> str:
        """Name, unique in the system."""

    @property
    def address(self) -> str:
        """`ip:port` at which the other nodes reach this one."""

    @property
    def zone(self) -> str:
        """Zone (failure domain) of the machine."""

    @property
    def region(self) -> str:
        """Region of that zone."""


@dataclass(frozen=True)
class Environment:
    """The ports, and this node as a member."""

    clock: Clock
    network: Network
    disk: Disk
    random: Random
    me: Member
    tolerance: Tolerance
    membership: MembershipSource
    log: EventLog

    @property
    def name(self) -> str:
        """This node's name."""
        return self.me.name

    def address_of(self, name: str, view: View | None) -> str:
        """Return a node's address from membership, else from `view`; empty if it is unknown."""
        for descriptor in self.membership.counted():
            if descriptor.name == name:
                return descriptor.address
        members = voters(view) if view is not None else []
        return next((member.address for member in members if member.name == name), "")
