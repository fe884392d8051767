"""The group of whole replicas that tests play with."""

from pipitledge.emulator.cluster.replica_group import (
    Client,
    GroupMembership,
    Invariants,
    PrintingLog,
    RecordingService,
    SilentLog,
)
from pipitledge.emulator.cluster.replica_group import ReplicaGroup as Cluster

FakeMembership = GroupMembership

__all__ = ["Client", "Cluster", "FakeMembership", "Invariants", "PrintingLog", "RecordingService", "SilentLog"]
