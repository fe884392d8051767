"""cindertiller: the decisions of a dispatcher that pushes jobs to workers."""

from cindertiller.interface import Settings
from cindertiller.policy import Policy

__all__ = ["Policy", "Settings"]
