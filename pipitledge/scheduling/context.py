"""State shared by the parts of the scheduler: its ports, and everything that it keeps while this node is primary."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from pipitledge.configuration.model import Configuration, Route
from pipitledge.replication.interface import Replicator
from pipitledge.runtime.ports import Clock, Network, Timer
from pipitledge.runtime.settings import Bounds
from pipitledge.scheduling.batch import Batch
from pipitledge.scheduling.placement import WorkerGroup
from pipitledge.scheduling.queue_order import WorkQueue
from pipitledge.scheduling.tasks import Job, Run, TaskGroup
from pipitledge.scheduling.workers import ServiceCapacity, Worker, total_capacity
from pipitledge.wire.messages import JobState

PASS_DELAY_S = 0.002  # events within this time share one pass and one write
PASS_RETRY_S = 0.05  # before the next pass if the node may not write
TOLERATED_OUTAGE_S = 13.0
"""Agents keep tasks running this long without a primary: all voting members may lose power for ten seconds."""
MAX_CLOCK_DRIFT = 1.03  # upper bound of the rate difference between the clocks that measure a lease grant
GRANT_SLACK_S = 0.3  # upper bound of the time that killing the last expired task takes
USABLE_WORKERS_VALID_S = 0.1  # the list of usable workers is rebuilt after this time, or at a change
CAPACITY_VALID_S = 0.5  # the capacity of a service is computed again after this time
CAPACITY_RETENTION_S = 30.0  # a worker counts towards the capacity of its service this long after its last report
LOWEST_PRIORITY = 9  # used for a route that is not known any more


class EventLog(Protocol):
    """A log of events, one per line."""

    def info(self, event: str, **fields: object) -> None:
        """Write an ordinary event."""

    def warning(self, event: str, **fields: object) -> None:
        """Write an event that may need the attention of an operator."""


class NodeIdentity(Struct, frozen=True):
    """Name and address of this process, as agents reach it."""

    name: str
    address: str  # ip:port of its internal server


class Ports(Struct, frozen=True):
    """Interfaces to the outside that the scheduler is given."""

    clock: Clock
    network: Network
    replicator: Replicator
    configuration: Callable[[], Configuration | None]  # None: not known yet
    wall_ms: Callable[[], int]  # wall clock
    log: EventLog


class SchedulerTimings(Struct, frozen=True):
    """Durations derived from the bounds of the deployment."""

    bounds: Bounds
    heartbeat_s: float

    @property
    def grant_ms(self) -> int:
        """Length of a lease grant: how long after an answered report the agent may keep tasks running."""
        return int(max(self.bounds.hold_max_ms, TOLERATED_OUTAGE_S * 1_000.0))

    @property
    def lease_expiry_s(self) -> float:
        """Time since the last report of a worker after which all its task leases have certainly expired."""
        return self.grant_ms / 1_000.0 * MAX_CLOCK_DRIFT + GRANT_SLACK_S

    @property
    def stop_s(self) -> float:
        """The longest time that stopping a run takes."""
        return self.bounds.stop_ms / 1_000.0


class _CachedWorkers(Struct):
    """The usable workers of a service, cached until a time."""

    until: float
    workers: WorkerGroup


class _CachedCapacity(Struct):
    """The total capacity of a service, cached until a time."""

    until: float
    capacity: ServiceCapacity


class Context:
    """The shared state of the scheduler."""

    def __init__(self, ports: Ports, timings: SchedulerTimings, identity: NodeIdentity) -> None:
        """Start inactive, with empty state."""
        self.ports = ports
        self.clock = ports.clock
        self.replicator = ports.replicator
        self.log = ports.log
        self.timings = timings
        self.identity = identity
        self.active = False
        self.batch = Batch(ports.replicator, self.request_pass)
        self.on_pass: Callable[[], None] = lambda: None
        self._pass_timer: Timer | None = None
        self._routes: dict[str, Route] = {}
        self._routes_source: Configuration | None = None
        self.clear()

    def clear(self) -> None:
        """Drop all state; called when this node gains or loses the primary role."""
        self.jobs: dict[str, Job] = {}  # open jobs, and ended ones that still have runs
        self.ended_jobs: dict[str, JobState] = {}  # final states that clients may still ask for
        self.pending: dict[str, set[str]] = {}  # by route, open jobs without any assigned task yet
        self.inflight: dict[str, float] = {}  # by route, total weight of its open jobs, in slots
        self.unweighed: list[Job] = []  # jobs accepted before the workers of their service were known
        self.workers: dict[str, Worker] = {}  # by node
        self.queues: dict[str, WorkQueue] = {}  # by service
        self.dirty_task_groups: set[TaskGroup] = set()  # task groups that the next pass has to consider
        self.dirty_workers: set[Worker] = set()  # workers that may have more free resources or be usable again
        self.placed: list[Run] = []  # new runs with records in the unwritten batch
        self.workers_to_push: set[Worker] = set()  # workers with orders to send
        self.last_progress_at: dict[str, dict[str, float]] = {}  # by service and node: last progress of any run
        self._usable_cache: dict[str, _CachedWorkers] = {}
        self._capacity_cache: dict[str, _CachedCapacity] = {}
        self.activated_at = 0.0
        self.next_order = 1  # acceptance order of the next job

    def request_pass(self) -> None:
        """Schedule a pass soon, if none is scheduled."""
        if self._pass_timer is None and self.active:
            self._pass_timer = self.clock.at(self.clock.now() + PASS_DELAY_S, self._run_pass)

    def cancel_pass(self) -> None:
        """Cancel the scheduled pass."""
        if self._pass_timer is not None:
            self._pass_timer.cancel()
            self._pass_timer = None

    def _run_pass(self) -> None:
        self._pass_timer = None
        if self.active:
            self.on_pass()

    def retry_pass(self) -> None:
        """Schedule another pass later, because this node may not write at present."""
        if self._pass_timer is None and self.active:
            self._pass_timer = self.clock.at(self.clock.now() + PASS_RETRY_S, self._run_pass)

    def route(self, name: str) -> Route | None:
        """Return a route by name, from the current configuration or the last one that had it; None if never known."""
        configuration = self.ports.configuration()
        if configuration is not self._routes_source and configuration is not None:
            self._routes_source = configuration
            self._routes.update({route.name: route for route in configuration.routes})
        return self._routes.get(name)

    def remember_route(self, admitted_route: Route) -> None:
        """Keep the admitted route of a job, to be used if the configuration no longer has a route of that name."""
        configuration = self.ports.configuration()
        if configuration is None or configuration.route_by_name(admitted_route.name) is None:
            self._routes[admitted_route.name] = admitted_route

    def priority_of(self, task_group: TaskGroup) -> int:
        """Return the priority of the route of a task group; 0 is the most urgent."""
        route = self.route(task_group.job.route)
        return LOWEST_PRIORITY if route is None else route.priority

    def queue(self, service: str) -> WorkQueue:
        """Return the queue of the task groups that wait for workers of a service."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = WorkQueue(self.priority_of)
        return queue

    def worker(self, node: str) -> Worker:
        """Return the worker of an agent, by node name; it is created if it is not known yet."""
        worker = self.workers.get(node)
        if worker is None:
            leases_expire_at = self.activated_at + self.timings.lease_expiry_s
            worker = self.workers[node] = Worker(node, leases_expire_at=leases_expire_at)
        return worker

    def usable_workers(self, service: str, now: float) -> WorkerGroup:
        """Return the workers of a service on which tasks may be placed, whether or not they have free resources.

        Avoided and slow workers are only a reserve, or are used if there are no others.
        """
        cached = self._usable_cache.get(service)
        if cached is not None and now < cached.until:
            return cached.workers
        heartbeat_s = self.timings.heartbeat_s
        usable = [
            worker for worker in self.workers.values() if worker.service == service and worker.usable(now, heartbeat_s)
        ]
        healthy = [worker for worker in usable if not worker.health.avoided(now) and not worker.health.slow(now)]
        self._usable_cache[service] = cached = _CachedWorkers(
            now + USABLE_WORKERS_VALID_S, WorkerGroup(healthy or usable, usable)
        )
        return cached.workers

    def usability_changed(self, worker: Worker) -> None:
        """Drop the cached list of usable workers: a worker may have become usable or unusable."""
        self._usable_cache.pop(worker.service, None)
        self.dirty_workers.add(worker)

    def service_capacity(self, service: str) -> ServiceCapacity:
        """Return the total capacity of the workers of a service that have reported recently."""
        now = self.clock.now()
        cached = self._capacity_cache.get(service)
        if cached is not None and now < cached.until:
            return cached.capacity
        recent = [
            worker
            for worker in self.workers.values()
            if worker.service == service and worker.instance and now - worker.reported_at < CAPACITY_RETENTION_S
        ]
        self._capacity_cache[service] = cached = _CachedCapacity(now + CAPACITY_VALID_S, total_capacity(recent))
        return cached.capacity
