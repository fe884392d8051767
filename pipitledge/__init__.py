"""pipitledge: the decisions of a dispatcher that pushes jobs to workers."""

from pipitledge.interface import Settings
from pipitledge.policy import Policy

__all__ = ["Policy", "Settings", "__version__"]
__version__ = "0.3.0"
