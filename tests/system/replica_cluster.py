"""The emulator's group of complete replicas, under the names that the tests use."""

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
