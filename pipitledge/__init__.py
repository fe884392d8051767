"""pipitledge: a cluster scheduler for jobs, and the decision policy of a dispatcher that pushes jobs to workers.

`Policy` and `Settings` are imported on first access, because the scheduler's programs need neither.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pipitledge.decision.interface import Settings
    from pipitledge.decision.policy import Policy

__all__ = ["Policy", "Settings", "__version__"]
__version__ = "0.3.0"


def __getattr__(name: str) -> object:
    """Import `Policy` or `Settings` on first access."""
    if name == "Policy":
        from pipitledge.decision.policy import Policy

        return Policy
    if name == "Settings":
        from pipitledge.decision.interface import Settings

        return Settings
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
