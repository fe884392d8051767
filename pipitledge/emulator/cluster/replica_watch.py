"""What must hold of a group of replicas at every moment, looked at all the time."""

from __future__ import annotations

from pipitledge.emulator.cluster.replica_group import Client, ReplicaGroup
from pipitledge.emulator.cluster.virtual import Machine
from pipitledge.replication.quorum import is_in_sync
from pipitledge.replication.replica import Replica
from pipitledge.wire.messages import View

LOOK_SECONDS = 0.01


class BrokenInvariant(Exception):
    """Something that must always hold did not."""


class Watch:
    """Looks at a group all the time; the first thing that does not hold is raised."""

    def __init__(self, group: ReplicaGroup, client: Client) -> None:
        """Begin to look."""
        self._group = group
        self._client = client
        self._views: dict[int, View] = {}  # decided, by epoch
        self._primaries: dict[int, str] = {}  # by term
        self._look()

    def _look(self) -> None:
        self._group.world.after(LOOK_SECONDS, self._look)
        self.check()

    def check(self) -> None:
        """Raise where something does not hold now."""
        self._check_views()
        self._check_leases()
        self._check_entries()
        self._check_order()

    def latest(self) -> View | None:
        """The decided view of the highest epoch that any node has heard of."""
        return self._views[max(self._views)] if self._views else None

    def _check_views(self) -> None:
        for name, replica in self._running():
            view = replica._view
            if view is None:
                continue
            if self._views.setdefault(view.epoch, view) != view:
                raise BrokenInvariant(f"OneView: {name} knows another view of epoch {view.epoch}")
            if self._primaries.setdefault(view.term, view.primary) != view.primary:
                raise BrokenInvariant(f"OneView: another primary of term {view.term} at {name}")

    def _running(self) -> list[tuple[str, Replica]]:
        return [
            (name, self._group.replicas[name])
            for name, machine in self._group.machines.items()
            if machine.process is not None and name in self._group.replicas
        ]

    def _check_leases(self) -> None:
        holders = [name for name, machine in self._group.machines.items() if self._holds_lease(name, machine)]
        if len(holders) > 1:
            raise BrokenInvariant(f"OneLease: {holders}")

    def _holds_lease(self, name: str, machine: Machine) -> bool:
        replica = self._group.replicas.get(name)
        if machine.process is None or replica is None or replica._primary is None:
            return False
        return replica._primary._lease.held(machine.process.clock.now())

    def _check_entries(self) -> None:
        """Who leads, and who is in the set of the newest view, holds everything that was acknowledged."""
        for name in self._group.primaries():
            self._demand_entries(name, "leads")
        view = self.latest()
        if view is None:
            return
        for name, machine in self._group.machines.items():
            replica = self._group.replicas.get(name)
            if machine.process is None or replica is None:
                continue
            if is_in_sync(view, name, replica._env.me.disk_id):
                self._demand_entries(name, "is in the set")

    def _demand_entries(self, name: str, part: str) -> None:
        missing = self._client.missing(self._group.state(name))
        if missing:
            raise BrokenInvariant(f"HeldByAll: {name} {part} and lacks {missing[:3]}")

    def _check_order(self) -> None:
        acks = self._client.acks
        if len(acks) > 1 and acks[-1][1] < acks[-2][1]:
            raise BrokenInvariant(f"OneLease: term {acks[-1][1]} acknowledged after term {acks[-2][1]}")
