"""Admission control at the primary.

Computes the usage and the limits of each service's queues from replicated state and applies the shared admission rule.
The same values are published, so that ingress nodes reach the same decisions.
"""

from __future__ import annotations

from collections import Counter

from pipitledge.configuration.datasets import PoolUsage, QueueLoad, QueueUsageReport
from pipitledge.configuration.model import Configuration, Route
from pipitledge.scheduling.admission_rule import AdmissionDecision, decide, job_weight
from pipitledge.scheduling.context import Context
from pipitledge.scheduling.job import Submission
from pipitledge.scheduling.objectives import LATE_FACTOR
from pipitledge.scheduling.workers import ServiceCapacity

RESERVED_FRACTION = 0.5  # fraction of the capacity that is reserved, split evenly among the queues of a service
QUEUE_LIMIT_FRACTION = 1.0  # fraction of the capacity that a single queue may use
WORKER_DISCOVERY_S = 3.0  # a new primary has received reports about all workers by then
SLOT_DECIMALS = 3  # decimal places of published slot counts
NO_QUEUES = Counter[int]()


class Admission:
    """Decides which submitted jobs are admitted, and reports the usage of all queues."""

    def __init__(self, context: Context) -> None:
        """Work on the scheduler's shared state."""
        self._context = context
        self._counted_configuration: Configuration | None = None
        self._service_queues = ServiceQueues(None)

    def decide(self, route: Route, submission: Submission) -> AdmissionDecision:
        """Decide whether a job submitted to that route's queue is admitted now.

        While the workers are not known yet, every job is admitted.
        """
        capacity = self._context.service_capacity(route.service)
        self._assign_missing_weights()
        if self._workers_unknown(capacity):
            return AdmissionDecision(True, self.weigh(route.service, submission))
        return decide(self._pool(route.service, capacity), route, submission)

    def weigh(self, service: str, submission: Submission) -> float:
        """Return the weight of a job in slots; 0 while no worker of the service is known."""
        return job_weight(submission, self._pool(service, self._context.service_capacity(service)))

    def usage(self) -> QueueUsageReport:
        """Return the usage and the limits of all queues, without services whose workers are not known yet."""
        self._assign_missing_weights()
        pools = dict[str, PoolUsage]()
        for service in self._queues().by_service:
            capacity = self._context.service_capacity(service)
            if not self._workers_unknown(capacity):
                pools[service] = self._pool(service, capacity)
        return QueueUsageReport(pools, self._context.next_order)

    def _assign_missing_weights(self) -> None:
        """Compute the weights of jobs that were accepted before any worker of their service was known."""
        context = self._context
        unweighed, context.unweighed = context.unweighed, []
        for job in unweighed:
            if not job.open:
                continue
            job.weight = self.weigh(job.service, job.submission)
            if job.weight > 0.0:
                context.inflight[job.route] = context.inflight.get(job.route, 0.0) + job.weight
            else:
                context.unweighed.append(job)

    def _workers_unknown(self, capacity: ServiceCapacity) -> bool:
        """Whether this primary has been active too briefly to know the workers of the service."""
        context = self._context
        active_s = context.clock.now() - context.activated_at
        return active_s < WORKER_DISCOVERY_S or (not capacity.slots and active_s < context.timings.lease_expiry_s)

    def _queues(self) -> ServiceQueues:
        """Return the queues by service; recomputed only when the configuration changes."""
        configuration = self._context.ports.configuration()
        if configuration is not self._counted_configuration:
            self._counted_configuration = configuration
            self._service_queues = ServiceQueues(configuration)
        return self._service_queues

    def _pool(self, service: str, capacity: ServiceCapacity) -> PoolUsage:
        """Return the usage and the limits of a service's queues, and the capacity of its workers."""
        queues = self._queues()
        idle = Counter(queues.by_service.get(service, NO_QUEUES))
        count = idle.total()
        busy = dict[str, QueueLoad]()
        for name, inflight in self._context.inflight.items():
            route = queues.route_of_service(name, service)
            slots = round(inflight, SLOT_DECIMALS)
            if route is not None and slots > 0.0:
                busy[name] = QueueLoad(slots, route.priority)
                idle[route.priority] -= 1
        return PoolUsage(
            capacity=float(capacity.slots),
            queue_limit=round(QUEUE_LIMIT_FRACTION * capacity.slots, SLOT_DECIMALS),
            queue_reservation=RESERVED_FRACTION * capacity.slots / max(1, count),
            busy=busy,
            idle=dict(idle),
            workers=capacity.workers,
            cpu=capacity.mean_worker.cpu,
            memory_mb=capacity.mean_worker.memory_mb,
            gpu=capacity.mean_worker.gpu,
            late_factor=LATE_FACTOR,
        )


class ServiceQueues:
    """The number of queues of one configuration, by service and priority."""

    def __init__(self, configuration: Configuration | None) -> None:
        """Count the queues of a configuration; None stands for a configuration without routes."""
        routes = configuration.routes if configuration is not None else ()
        self._routes = {route.name: route for route in routes}
        self.by_service: dict[str, Counter[int]] = {}  # by service: number of queues of each priority
        for route in routes:
            self.by_service.setdefault(route.service, Counter())[route.priority] += 1

    def route_of_service(self, name: str, service: str) -> Route | None:
        """Return the route of that name, or None if it does not belong to the service."""
        route = self._routes.get(name)
        return route if route is not None and route.service == service else None
