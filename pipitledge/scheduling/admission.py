"""Admission at the primary: the figures of each service's pool, by replicated state, and the shared rule over them.

The same figures are published, so that ingress nodes decide likewise.
"""

from __future__ import annotations

from collections import Counter

from pipitledge.configuration.datasets import PoolUsage, QueueLoad, QueueUsageReport
from pipitledge.configuration.model import Configuration, Route
from pipitledge.scheduling.admission_rule import Verdict, decide, job_weight
from pipitledge.scheduling.context import Context
from pipitledge.scheduling.job import Submission
from pipitledge.scheduling.objectives import LATE_FACTOR
from pipitledge.scheduling.workers import ServiceRoom

RESERVED_PART = 0.5  # of capacity, divided among the queues of a service
LIMIT_PART = 1.0  # of capacity, that one queue may use up
SETTLING_S = 3.0  # a new primary has heard of all workers by then
SLOT_DIGITS = 3  # after the point, of slots in the figures
NO_QUEUES = Counter[int]()


class Admission:
    """Decides on submitted jobs."""

    def __init__(self, context: Context) -> None:
        """Work on the shared state."""
        self._context = context
        self._counted_of: Configuration | None = None
        self._counted = ServiceQueues(None)

    def decide(self, route: Route, submission: Submission) -> Verdict:
        """Whether a job of that queue is taken in now."""
        room = self._context.room(route.service)
        self._weigh_old_jobs()
        if self._unknown(room):
            return Verdict(True, self.weigh(route.service, submission))
        return decide(self._pool(route.service, room), route, submission)

    def weigh(self, service: str, submission: Submission) -> float:
        """The slots that a job counts for; 0 while no worker is known."""
        return job_weight(submission, self._pool(service, self._context.room(service)))

    def usage(self) -> QueueUsageReport:
        """What all queues use and may use; pools whose workers aren't known yet are left out."""
        self._weigh_old_jobs()
        pools = dict[str, PoolUsage]()
        for service in self._queues().by_service:
            room = self._context.room(service)
            if not self._unknown(room):
                pools[service] = self._pool(service, room)
        return QueueUsageReport(pools, self._context.next_order)

    def _weigh_old_jobs(self) -> None:
        """Count jobs that came before their workers were known."""
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

    def _unknown(self, room: ServiceRoom) -> bool:
        """Whether it isn't known yet what workers there are."""
        context = self._context
        active_s = context.clock.now() - context.activated_at
        return active_s < SETTLING_S or (not room.slots and active_s < context.figures.lapse_s)

    def _queues(self) -> ServiceQueues:
        """The queues by the service whose workers they share; counted once for each configuration."""
        configuration = self._context.ports.configuration()
        if configuration is not self._counted_of:
            self._counted_of = configuration
            self._counted = ServiceQueues(configuration)
        return self._counted

    def _pool(self, service: str, room: ServiceRoom) -> PoolUsage:
        """What the queues of a service use and may use, and what there is."""
        queues = self._queues()
        idle = Counter(queues.by_service.get(service, NO_QUEUES))
        count = idle.total()
        busy = dict[str, QueueLoad]()
        for name, inflight in self._context.inflight.items():
            route = queues.busy_route(name, service)
            slots = round(inflight, SLOT_DIGITS)
            if route is not None and slots > 0.0:
                busy[name] = QueueLoad(slots, route.priority)
                idle[route.priority] -= 1
        return PoolUsage(
            capacity=float(room.slots),
            queue_limit=round(LIMIT_PART * room.slots, SLOT_DIGITS),
            queue_reservation=RESERVED_PART * room.slots / max(1, count),
            busy=busy,
            idle=dict(idle),
            workers=room.workers,
            cpu=room.capacity.cpu,
            memory_mb=room.capacity.memory_mb,
            gpu=room.capacity.gpu,
            late_factor=LATE_FACTOR,
        )


class ServiceQueues:
    """The queues of one configuration, counted by service and priority."""

    def __init__(self, configuration: Configuration | None) -> None:
        """Count them."""
        routes = configuration.routes if configuration is not None else ()
        self._routes = {route.name: route for route in routes}
        self.by_service: dict[str, Counter[int]] = {}  # how many queues of each priority
        for route in routes:
            self.by_service.setdefault(route.service, Counter())[route.priority] += 1

    def busy_route(self, name: str, service: str) -> Route | None:
        """The route of that name, if it is one of the service's."""
        route = self._routes.get(name)
        return route if route is not None and route.service == service else None
