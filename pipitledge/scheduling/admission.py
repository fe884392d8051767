"""Admission at the primary: the figures of each service's pool, by replicated state, and the shared rule over them.

The same figures are published, so that ingress nodes decide likewise.
"""

from __future__ import annotations

from pipitledge.configuration.datasets import PoolFigures, QueueFigures, QueueUsageReport
from pipitledge.configuration.model import Route
from pipitledge.scheduling.admission_rule import Verdict, decide, job_weight
from pipitledge.scheduling.context import LOWEST_PRIORITY, Context
from pipitledge.scheduling.job import Submission
from pipitledge.scheduling.objectives import LATE_FACTOR
from pipitledge.scheduling.workers import ServiceRoom

RESERVED_PART = 0.5  # of capacity, divided among the queues of a service
LIMIT_PART = 1.0  # of capacity, that one queue may use up
SETTLING_S = 3.0  # a new primary has heard of all workers by then
SLOT_DIGITS = 3  # after the point, of slots in the figures


class Admission:
    """Decides on submitted jobs."""

    def __init__(self, context: Context) -> None:
        """Work on the shared state."""
        self._context = context

    def decide(self, route: Route, submission: Submission) -> Verdict:
        """Whether a job of that queue is taken in now."""
        room = self._context.room(route.service)
        self._weigh_old_jobs()
        if self._unknown(room):
            return Verdict(True, self.weigh(route.service, submission))
        return decide(self._pool(room, self._queues_of(route)), route, submission, {})

    def weigh(self, service: str, submission: Submission) -> float:
        """The slots that a job counts for; 0 while no worker is known."""
        return job_weight(submission, self._pool(self._context.room(service), []))

    def usage(self) -> QueueUsageReport:
        """What all queues use and may use; pools whose workers aren't known yet are left out."""
        self._weigh_old_jobs()
        pools = dict[str, PoolFigures]()
        for service, queues in self._queues_by_service().items():
            room = self._context.room(service)
            if not self._unknown(room):
                pools[service] = self._pool(room, queues)
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

    def _queues_by_service(self) -> dict[str, list[str]]:
        """The queues that share the workers of each service."""
        configuration = self._context.ports.configuration()
        queues = dict[str, list[str]]()
        for route in configuration.routes if configuration is not None else ():
            queues.setdefault(route.service, []).append(route.name)
        return queues

    def _queues_of(self, route: Route) -> list[str]:
        """The queues that share the workers of the route's service."""
        queues = self._queues_by_service().get(route.service, [])
        return queues if route.name in queues else [*queues, route.name]

    def _priority_of(self, queue: str) -> int:
        """Priority of a queue, 0 going first."""
        route = self._context.route(queue)
        return LOWEST_PRIORITY if route is None else route.priority

    def _pool(self, room: ServiceRoom, queues: list[str]) -> PoolFigures:
        """What each queue of a service uses and may use, and what there is."""
        inflight = self._context.inflight
        limit = round(LIMIT_PART * room.slots, SLOT_DIGITS)
        reservation = round(RESERVED_PART * room.slots / max(1, len(queues)), SLOT_DIGITS)
        return PoolFigures(
            capacity=float(room.slots),
            queues={
                queue: QueueFigures(
                    round(inflight.get(queue, 0.0), SLOT_DIGITS), limit, reservation, self._priority_of(queue)
                )
                for queue in queues
            },
            workers=room.workers,
            cpu=room.capacity.cpu,
            memory_mb=room.capacity.memory_mb,
            gpu=room.capacity.gpu,
            late_factor=LATE_FACTOR,
        )
