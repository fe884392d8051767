"""Replicated state of a voting node: its disk, its replica, and the services that are active on the primary."""

from __future__ import annotations

import random
import sys

from pipitledge.configuration.configuration_service import ConfigurationService
from pipitledge.membership.bootstrap_gate import BootstrapGate
from pipitledge.membership.membership import internal_addresses
from pipitledge.programs.core import Core
from pipitledge.programs.node_status import jobs_section, keeper_section, queues_section, workers_section
from pipitledge.replication.interface import PrimaryService
from pipitledge.replication.quorum import Tolerance
from pipitledge.replication.replica import Replica
from pipitledge.runtime import logs
from pipitledge.runtime.disk_writer import DiskProblem, DiskWriter, MemoryDisk, open_store
from pipitledge.runtime.logs import EventLog
from pipitledge.runtime.ports import Disk
from pipitledge.runtime.storage import RecoveredData, Store
from pipitledge.scheduling.context import NodeIdentity, Ports, SchedulerTimings
from pipitledge.scheduling.scheduler import Scheduler
from pipitledge.wire.messages import View

DISK_OPEN_TIMEOUT_SECONDS = 30.0  # how long reads are retried at startup before the process exits
AGENT_MACHINE_CLASS = "side"  # machine class of the agents' processes, which run beside workers
MS_PER_SECOND = 1000.0
DISK_FAILED = 3  # exit status when the disk can't be opened


class OpenDisk:
    """The disk of a voting node, with the state recovered from it."""

    def __init__(self, core: Core, log: EventLog) -> None:
        """Open the data folder named in the settings; without one, state is kept in memory only."""
        folder = core.settings.data_dir
        self.recovered = RecoveredData(fresh=True)
        self.lost = False  # the stored state was corrupt and has been discarded
        self._writer: DiskWriter | None = None
        if not folder:
            log.warning("no_disk", node=core.settings.name)
            self.port: Disk = MemoryDisk(core.executor.soon)
            return
        store = Store(folder)
        self._recover(store, log)
        self._writer = DiskWriter(
            store, core.executor.deliver, lambda problem: _log_disk_refusal(log, problem), core.settings.limits.disk_mb
        )
        self.port = self._writer

    def start(self) -> None:
        """Start the thread that writes to the disk."""
        if self._writer is not None:
            self._writer.start()

    def close(self, timeout: float) -> None:
        """Write the queued data; stop waiting after `timeout` seconds."""
        if self._writer is not None:
            self._writer.close(timeout)

    def _recover(self, store: Store, log: EventLog) -> None:
        """Read the stored state; a corrupt store is formatted and counts as lost, an unusable disk ends the process."""
        recovered = open_store(store, DISK_OPEN_TIMEOUT_SECONDS)
        if isinstance(recovered, RecoveredData) and recovered.corrupt:
            log.error("disk_corrupt", step="open", reason=recovered.corrupt)
            self.lost = True
            store.format()
            recovered = open_store(store, DISK_OPEN_TIMEOUT_SECONDS)
        if isinstance(recovered, DiskProblem):
            log.error("disk_unusable", step=recovered.step, reason=recovered.reason)
            sys.exit(DISK_FAILED)
        self.recovered = recovered


class ControlState:
    """The replica of a voting node and the disk that it writes to."""

    def __init__(self, replica: Replica, disk: OpenDisk) -> None:
        """Keep the replica, and the disk to close on shutdown."""
        self.replica = replica
        self._disk = disk

    def close_disk(self, timeout: float) -> None:
        """Write the queued data; stop waiting after `timeout` seconds."""
        self._disk.close(timeout)


def build_control_state(core: Core) -> ControlState:
    """Create the replica, configuration keeper and scheduler of a voting node, and start its disk."""
    settings = core.settings
    disk = OpenDisk(core, logs.get("disk"))
    services: list[PrimaryService] = []
    replica = Replica(
        core.executor,
        core.transport,
        disk.port,
        disk.recovered,
        random.Random(),
        core.own_descriptor,
        settings.bootstrap and not disk.lost,
        Tolerance(settings.tolerance.machines, settings.tolerance.zones, settings.tolerance.regions),
        core.membership,
        services,
        logs.get("replica"),
        internal_addresses(list(settings.seeds), settings.internal_ports[0]),
        BootstrapGate(core.executor, core.membership, len(settings.seeds)).open,
    )
    configuration_service = ConfigurationService(replica, logs.get("keeper"))
    ports = Ports(
        core.executor,
        core.relayed_calls,
        replica,
        configuration_service.current,
        core.executor.wall_ms,
        logs.get("scheduler"),
    )
    timings = SchedulerTimings(settings.bounds, settings.heartbeat_ms / MS_PER_SECOND)
    scheduler = Scheduler(
        ports, timings, NodeIdentity(settings.name, core.transport.address), lambda: _agent_addresses(core)
    )
    configuration_service.publish_usage(scheduler.usage)
    services += [
        configuration_service,
        scheduler,
    ]  # in this order: the scheduler reads the configuration that the keeper has loaded
    for component in (replica, configuration_service, scheduler):
        component.register(core.handlers)
    core.add_status("replica", replica.status)
    # On nodes with a data plane, its section replaces this one.
    core.add_status("configuration", lambda: keeper_section(configuration_service))
    core.add_status("queues", lambda: queues_section(scheduler.context, core.membership))
    core.add_status("workers", lambda: workers_section(scheduler.context, core.membership))
    core.add_status("jobs", lambda: jobs_section(scheduler.context, core.membership))
    _track_bootstrap_state(core, replica)
    disk.start()
    return ControlState(replica, disk)


def _track_bootstrap_state(core: Core, replica: Replica) -> None:
    """Keep the `bootstrap` flag of this node's descriptor up to date: true until the cluster has been bootstrapped."""

    def describe(_view: View | None = None) -> None:
        _ = replica.view  # reading it adopts a newer view that membership has received
        core.own_descriptor.bootstrap = replica.awaits_bootstrap

    core.membership.on_view(describe)
    describe()


def _agent_addresses(core: Core) -> list[str]:
    """Return the addresses of the agents in this node's membership view."""
    return [node.address for node in core.membership.nodes() if node.machine_class == AGENT_MACHINE_CLASS]


def _log_disk_refusal(log: EventLog, problem: DiskProblem) -> None:
    """Log that the disk has been rejecting writes for long; the replica steps down without this call."""
    log.error("disk_refuses_for_long", step=problem.step, reason=problem.reason)
