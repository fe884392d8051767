"""The interface through which other modules call the primary."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from pipitledge.membership.primary_caller import OutcomeHandler


class CallsPrimary(Protocol):
    """The part of `membership.primary_caller.PrimaryCaller` that ingress and the data plane use."""

    def call(self, request: Struct, timeout_s: float, on_done: OutcomeHandler) -> None:
        """Send `request` to the current primary; `on_done` is called once, within `timeout_s` seconds."""
