"""Status sections of nodes for operators' tools: configuration, and on the primary queues, workers and jobs.

Kept apart from `status`, so that agents need not import the packages that these sections report on.
"""

from __future__ import annotations

from collections import Counter

from pipitledge.configuration.configuration_service import ConfigurationService
from pipitledge.configuration.data_plane import DataPlane
from pipitledge.configuration.model import Configuration, Route
from pipitledge.ingress.readiness import Readiness
from pipitledge.membership.membership import Membership
from pipitledge.programs.status import MAX_LIST_ENTRIES, NO_VIEW, Section, limited_list
from pipitledge.scheduling.context import Context
from pipitledge.scheduling.tasks import Job
from pipitledge.scheduling.workers import Worker


def data_plane_section(data_plane: DataPlane, readiness: Readiness) -> Section:
    """Return the configuration that this node's data plane uses, and whether the node is ready for clients."""
    return {
        **_configuration(data_plane.configuration),
        "ready": readiness.ready(),
        "contactAgeSeconds": round(data_plane.age_s(), 3),  # JSON has null for "never"
        "unansweredPulls": data_plane.failures,
    }


def keeper_section(configuration_service: ConfigurationService) -> Section:
    """Return the committed configuration; its version is None unless this node is the primary."""
    return _configuration(configuration_service.current())


def queues_section(context: Context, membership: Membership) -> Section:
    """Return the number of jobs, waiting tasks and runs of each queue."""
    if not context.active:
        return _not_primary(membership)
    jobs: dict[str, list[Job]] = {}
    for job in context.jobs.values():
        jobs.setdefault(job.route, []).append(job)
    configuration = context.ports.configuration()
    routes = {route.name: route for route in configuration.routes} if configuration else {}
    names = sorted({*routes, *jobs})
    rows = [_queue_row(context, name, routes.get(name), jobs.get(name, [])) for name in names]
    return {"leads": True, **limited_list("queues", rows)}


def workers_section(context: Context, membership: Membership) -> Section:
    """Return each worker with its free resources, and the number of workers in each state."""
    if not context.active:
        return _not_primary(membership)
    workers = sorted(context.workers.values(), key=lambda worker: (worker.service, worker.node))
    rows = [_worker_row(context, worker) for worker in workers]
    states = dict(Counter(str(row["state"]) for row in rows))
    return {"leads": True, "states": states, **limited_list("workers", rows)}


def jobs_section(context: Context, membership: Membership) -> Section:
    """Return the number of jobs in each state, and the open jobs, oldest first."""
    if not context.active:
        return _not_primary(membership)
    counts = Counter(state.name.lower() for state in context.ended_jobs.values())
    still_open = sorted((job for job in context.jobs.values() if job.open), key=lambda job: job.order)
    ended_jobs: Section = {state: counts[state] for state in ("completed", "failed", "cancelled")}
    now = context.clock.now()
    rows = [_job_row(job, now) for job in still_open[:MAX_LIST_ENTRIES]]
    return {"leads": True, "open": len(still_open), **ended_jobs, "jobs": rows}


def _configuration(configuration: Configuration | None) -> Section:
    if configuration is None:
        return {"version": None, "routes": [], "services": []}
    routes: list[Section] = [
        {"queue": route.name, "host": route.host, "path": route.path_prefix, "service": route.service}
        for route in configuration.routes
    ]
    return {
        "version": configuration.version,
        **limited_list("routes", routes),
        "services": [service.name for service in configuration.services],
    }


def _not_primary(membership: Membership) -> Section:
    """Return the section of a node that is not the primary: where to find the primary, which has the data."""
    view = membership.view or NO_VIEW
    addresses = {member.name: member.address for member in view.members}
    return {"leads": False, "primary": view.primary, "primaryAddress": addresses.get(view.primary, "")}


def _queue_row(context: Context, name: str, route: Route | None, jobs: list[Job]) -> Section:
    still_open = [job for job in jobs if job.open]
    return {
        "queue": name,
        "service": route.service if route else "",
        "priority": route.priority if route else None,
        "openJobs": len(still_open),
        "pendingJobs": len(context.pending.get(name, ())),
        "waitingTasks": sum(_waiting_tasks(job) for job in still_open),
        "runs": sum(_runs(job) for job in jobs),
        "slotsInFlight": round(context.inflight.get(name, 0.0), 3),
    }


def _worker_row(context: Context, worker: Worker) -> Section:
    now = context.clock.now()
    return {
        "node": worker.node,
        "service": worker.service,
        "instance": worker.instance,
        "state": _worker_state(context, worker, now),
        "runs": len(worker.runs),
        "freeCpu": worker.free_cpu,
        "cpu": worker.capacity.cpu,
        "freeMemoryMb": worker.free_memory_mb,
        "memoryMb": worker.capacity.memory_mb,
        "freeGpu": worker.free_gpu,
        "gpu": worker.capacity.gpu,
    }


def _worker_state(context: Context, worker: Worker, now: float) -> str:
    if not worker.instance:
        return "gone"
    if worker.draining:
        return "draining"
    if worker.silent:
        return "silent"
    if not worker.usable(now, context.timings.heartbeat_s):
        return "out of touch"
    return "avoided" if worker.health.avoided(now) else "usable"


def _job_row(job: Job, now: float) -> Section:
    return {
        "job": job.id,
        "queue": job.route,
        "started": job.started,
        "ageSeconds": round(now - job.accepted_at, 1),
        "waitingTasks": _waiting_tasks(job),
        "runs": _runs(job),
    }


def _waiting_tasks(job: Job) -> int:
    """Return the number of tasks that are ready to run and wait for free resources."""
    return sum(len(task_group.waiting) for task_group in job.task_groups.values())


def _runs(job: Job) -> int:
    """Return the number of runs that occupy resources on a worker."""
    return sum(1 for task in job.tasks() if task.run is not None)
