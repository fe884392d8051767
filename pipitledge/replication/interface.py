"""The interface between replication and the services that run on the primary (configuration, scheduling)."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from pipitledge.wire.messages import View, Write


class Replicator(Protocol):
    """The replicated state, as services on the primary use it."""

    @property
    def term(self) -> int:
        """Term of the view in force; used as the fencing token while this node is primary."""

    @property
    def view(self) -> View | None:
        """The newest view known to be decided."""

    def is_primary(self) -> bool:
        """Whether this node is the primary, has activated its services and holds its lease now."""

    def write(self, writes: list[Write], on_committed: Callable[[], None] | None = None) -> None:
        """Append a batch; only while primary. `on_committed` is never called if the role is lost before the commit."""

    def after_commit(self, action: Callable[[], None]) -> None:
        """Run `action` once everything written so far is committed (at once if it already is)."""


class PrimaryService(Protocol):
    """A service that runs only on the primary."""

    def activated(self, term: int, state: Mapping[str, bytes]) -> None:
        """Called when this node has become primary; `state` is the whole replicated state."""

    def deactivated(self) -> None:
        """Called when this node is no longer primary: drop all state and answer no more calls."""
