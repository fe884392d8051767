"""What the parts of the scheduler share: its ports, and all that it knows while this node is primary."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from pipitledge.configuration.model import Configuration, Route
from pipitledge.replication.interface import Replicator
from pipitledge.runtime.ports import Clock, Network, Timer
from pipitledge.runtime.settings import Bounds
from pipitledge.scheduling.batch import Batch
from pipitledge.scheduling.placement import Crowd
from pipitledge.scheduling.queue_order import WorkQueue
from pipitledge.scheduling.tasks import Job, Run, TaskGroup
from pipitledge.scheduling.workers import ServiceRoom, Worker, room_of
from pipitledge.wire.messages import JobState

PASS_DELAY_S = 0.002  # events of this time share one pass and one write
PASS_RETRY_S = 0.05  # while the node may not write
TOLERATED_OUTAGE_S = 13.0
"""Agents hold tasks so long without a primary: all counted machines may be without power for ten seconds."""
MAX_CLOCK_DRIFT = 1.03  # clocks that measure a grant differ by less
GRANT_SLACK_S = 0.3  # and the last kill takes less
USABLE_WORKERS_VALID_S = 0.1  # the list of usable workers is made anew after that, or at a change
CAPACITY_VALID_S = 0.5
CAPACITY_RETENTION_S = 30.0  # a worker that fell silent still counts as capacity for so long
LOWEST_PRIORITY = 9  # of a route that is not known any more


class EventLog(Protocol):
    """Takes events, one a line."""

    def info(self, event: str, **fields: object) -> None:
        """Write an ordinary event."""

    def warning(self, event: str, **fields: object) -> None:
        """Write an event that operators may want to look at."""


class NodeIdentity(Struct, frozen=True):
    """This process, as others reach it."""

    name: str
    address: str  # ip:port of its internal server


class Ports(Struct, frozen=True):
    """What the scheduler is given to act through."""

    clock: Clock
    network: Network
    replicator: Replicator
    configuration: Callable[[], Configuration | None]
    wall_ms: Callable[[], int]
    log: EventLog


class SchedulerTimings(Struct, frozen=True):
    """Times that follow from the deployment's bounds."""

    bounds: Bounds
    heartbeat_s: float

    @property
    def grant_ms(self) -> int:
        """How long an agent may hold tasks after the report that was answered."""
        return int(max(self.bounds.hold_max_ms, TOLERATED_OUTAGE_S * 1_000.0))

    @property
    def lease_expiry_s(self) -> float:
        """After so long without an answered report, all that a worker ran has lapsed for certain."""
        return self.grant_ms / 1_000.0 * MAX_CLOCK_DRIFT + GRANT_SLACK_S

    @property
    def stop_s(self) -> float:
        """The longest that a stop takes."""
        return self.bounds.stop_ms / 1_000.0


class _CachedWorkers(Struct):
    """Workers that could be used, for a while."""

    until: float
    crowd: Crowd


class _CachedCapacity(Struct):
    """Room of a service, for a while."""

    until: float
    service_capacity: ServiceRoom


class Context:
    """The scheduler's shared state."""

    def __init__(self, ports: Ports, timings: SchedulerTimings, identity: NodeIdentity) -> None:
        """Start with nothing known."""
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
        self._routes_of: Configuration | None = None
        self.clear()

    def clear(self) -> None:
        """Forget everything."""
        self.jobs: dict[str, Job] = {}  # open ones, and those that have runs left
        self.ended_jobs: dict[str, JobState] = {}
        self.pending: dict[str, set[str]] = {}  # by route, jobs none of whose tasks has been started
        self.inflight: dict[str, float] = {}  # by route, slots of open jobs
        self.unweighed: list[Job] = []  # jobs that came before any worker was known
        self.workers: dict[str, Worker] = {}
        self.queues: dict[str, WorkQueue] = {}  # by service
        self.dirty_task_groups: set[TaskGroup] = set()  # steps to be looked at by the next pass
        self.dirty_workers: set[Worker] = set()  # workers that may have gained room
        self.placed: list[Run] = []  # runs whose records are in the batch
        self.workers_to_push: set[Worker] = set()  # workers that orders should be pushed to
        self.last_progress_at: dict[str, dict[str, float]] = {}  # by service and node, when work was last seen to go on
        self._usable_cache: dict[str, _CachedWorkers] = {}
        self._capacity_cache: dict[str, _CachedCapacity] = {}
        self.activated_at = 0.0
        self.next_order = 1

    def request_pass(self) -> None:
        """See to it that a scheduling pass comes soon."""
        if self._pass_timer is None and self.active:
            self._pass_timer = self.clock.at(self.clock.now() + PASS_DELAY_S, self._run_pass)

    def cancel_pass(self) -> None:
        """Drop the pass that was asked for."""
        if self._pass_timer is not None:
            self._pass_timer.cancel()
            self._pass_timer = None

    def _run_pass(self) -> None:
        self._pass_timer = None
        if self.active:
            self.on_pass()

    def retry_pass(self) -> None:
        """Have another pass later: this node may not write just now."""
        if self._pass_timer is None and self.active:
            self._pass_timer = self.clock.at(self.clock.now() + PASS_RETRY_S, self._run_pass)

    def route(self, name: str) -> Route | None:
        """The route of that name as it is in force, or as it was last; None if this node never knew it."""
        configuration = self.ports.configuration()
        if configuration is not self._routes_of and configuration is not None:
            self._routes_of = configuration
            self._routes.update({route.name: route for route in configuration.routes})
        return self._routes.get(name)

    def remember_route(self, admitted_route: Route) -> None:
        """A job was accepted on these terms; they count where the configuration has no such route any more."""
        configuration = self.ports.configuration()
        if configuration is None or configuration.route_by_name(admitted_route.name) is None:
            self._routes[admitted_route.name] = admitted_route

    def priority_of(self, task_group: TaskGroup) -> int:
        """Priority of a step's queue."""
        route = self.route(task_group.job.route)
        return LOWEST_PRIORITY if route is None else route.priority

    def queue(self, service: str) -> WorkQueue:
        """The steps that wait for workers of a service."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = WorkQueue(self.priority_of)
        return queue

    def worker(self, node: str) -> Worker:
        """The worker beside the agent of that name."""
        worker = self.workers.get(node)
        if worker is None:
            held_until = self.activated_at + self.timings.lease_expiry_s
            worker = self.workers[node] = Worker(node, held_until=held_until)
        return worker

    def usable_workers(self, service: str, now: float) -> Crowd:
        """Workers of a service that may get new tasks, room apart; avoided ones only if there are no others."""
        cached = self._usable_cache.get(service)
        if cached is not None and now < cached.until:
            return cached.crowd
        heartbeat_s = self.timings.heartbeat_s
        usable = [
            worker for worker in self.workers.values() if worker.service == service and worker.usable(now, heartbeat_s)
        ]
        healthy = [worker for worker in usable if not worker.health.avoided(now) and not worker.health.slow(now)]
        self._usable_cache[service] = cached = _CachedWorkers(
            now + USABLE_WORKERS_VALID_S, Crowd(healthy or usable, usable)
        )
        return cached.crowd

    def usability_changed(self, worker: Worker) -> None:
        """A worker may have become usable, or no longer be."""
        self._usable_cache.pop(worker.service, None)
        self.dirty_workers.add(worker)

    def service_capacity(self, service: str) -> ServiceRoom:
        """What the workers of a service that were heard of lately have in all."""
        now = self.clock.now()
        cached = self._capacity_cache.get(service)
        if cached is not None and now < cached.until:
            return cached.service_capacity
        recent = [
            worker
            for worker in self.workers.values()
            if worker.service == service and worker.instance and now - worker.reported_at < CAPACITY_RETENTION_S
        ]
        self._capacity_cache[service] = cached = _CachedCapacity(now + CAPACITY_VALID_S, room_of(recent))
        return cached.service_capacity
