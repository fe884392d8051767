"""How a plane reaches the primary, whichever process that is just now."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from pipitledge.membership.primary_caller import OutcomeHandler


class CallsPrimary(Protocol):
    """What planes need of `membership.primary_caller.PrimaryCaller`."""

    def call(self, request: Struct, timeout_s: float, on_done: OutcomeHandler) -> None:
        """Have the primary answer `request`; `on_done` is called once, within `patience_s` seconds."""
