"""The world in virtual time that tests of the system use."""

from pipitledge.emulator.cluster.disks import DiskModel, Recovered, VirtualDisk
from pipitledge.emulator.cluster.virtual import (
    Fabric,
    Machine,
    Process,
    VirtualClock,
    VirtualNetwork,
    VirtualTimer,
    World,
    copied,
)

__all__ = [
    "DiskModel",
    "Fabric",
    "Machine",
    "Process",
    "Recovered",
    "VirtualClock",
    "VirtualDisk",
    "VirtualNetwork",
    "VirtualTimer",
    "World",
    "copied",
]
