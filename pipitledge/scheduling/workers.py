"""The primary's view of the workers: their instances, free resources and reachability."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from pipitledge.scheduling.health import WorkerHealth
from pipitledge.scheduling.queue_order import Rank
from pipitledge.scheduling.tasks import ResourceRequest, Run, TaskGroup
from pipitledge.wire.messages import AgentReport, WorkerInfo

HEARTBEATS_UNTIL_STALE = 2.5  # heartbeat intervals without a heartbeat until nothing new is placed
REPORT_STALE_S = 2.5  # no new tasks are placed on a worker without a report for this long
MAX_DEAD_INSTANCES = 8  # remembered per worker, to ignore late reports about them
DRAINING = "draining"  # state of a worker that is about to leave, in its heartbeats
NO_RESOURCES = ResourceRequest(0, 0, 0)


@dataclass(slots=True, eq=False, repr=False)
class Reservation:
    """Reserves a worker for a stage: until it expires, stages that come later in the queue are not placed there."""

    task_group: TaskGroup
    rank: Rank
    until: float


@dataclass(slots=True, eq=False, repr=False)
class Worker:
    """The state of one worker, as reported by the agent beside it; times are in seconds of this node's steady clock."""

    node: str
    address: str = ""  # of the agent
    incarnation: int = 0  # of the agent process
    # Another incarnation that has reported once: a newly started agent, or a delayed report of a terminated one.
    candidate_incarnation: int = 0
    candidate_report_number: int = 0
    report_number: int = 0  # of the newest report accepted from the present incarnation
    instance: str = ""  # the present worker instance as last known; empty if none
    dead_instances: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_DEAD_INSTANCES))
    service: str = ""
    slots: int = 0
    labels: frozenset[str] = frozenset()
    rack: str = ""
    capacity: ResourceRequest = NO_RESOURCES
    draining: bool = False
    leaves_at: float = math.inf  # when a draining worker terminates; infinite if not announced
    cold_until: float = 0.0  # until then it is slower than usual, because it was started recently
    free_cpu: int = 0
    free_memory_mb: int = 0
    free_gpu: int = 0
    runs: dict[str, Run] = field(default_factory=dict)  # by task; of all instances that may still be running
    # Runs that the worker reports and the primary did not assign, by task and run number; None: request unknown.
    unexpected_runs: dict[tuple[str, int], ResourceRequest | None] = field(default_factory=dict)
    unexpected_stops_sent_at: dict[tuple[str, int], float] = field(default_factory=dict)  # when a stop was last ordered
    last_end_received: int = 0  # number of the last ended run received from the present instance
    acknowledged: int = 0  # number of the last ended run acknowledged: its outcome is committed
    reported_at: float = -math.inf
    leases_expire_at: float = math.inf  # latest end of its task leases: after it, all of its runs have certainly ended
    heartbeat_at: float = -math.inf
    silent: bool = False  # its agent gets no answers from it
    unreachable: bool = False  # sending orders to its agent has failed since the last report
    hold_number: int = 0  # of the hold call (lease extension by the agent) whose lists of runs were received last
    hold_sent_at: float = -math.inf  # when the agent sent that hold call
    hold_current: bool = False  # that hold call carried the fencing token of this primary
    health: WorkerHealth = field(default_factory=WorkerHealth)
    reservation: Reservation | None = None
    push_failures: int = 0

    def usable(self, now: float, heartbeat_s: float) -> bool:
        """Whether new tasks may be placed on the worker, regardless of free resources."""
        return (
            self.hold_current
            and not self.draining
            and not self.silent
            and not self.unreachable
            and bool(self.instance)
            and now - self.reported_at < REPORT_STALE_S
            and now - self.heartbeat_at < HEARTBEATS_UNTIL_STALE * heartbeat_s
        )

    def accept_report(self, report: AgentReport) -> bool:
        """Whether a report is newer than all earlier ones; if so, record its number and incarnation."""
        if report.incarnation == self.incarnation or not self.incarnation:
            if report.number <= self.report_number:
                return False
            self.candidate_incarnation = 0
        elif not self._confirms_candidate(report):
            return False
        self.incarnation = report.incarnation
        self.report_number = report.number
        return True

    def _confirms_candidate(self, report: AgentReport) -> bool:
        """Whether another incarnation has now reported twice in a row, so that it replaces the present one.

        A single report may be a delayed one of a terminated process.
        """
        if self.candidate_incarnation != report.incarnation or report.number <= self.candidate_report_number:
            self.candidate_incarnation = report.incarnation
            self.candidate_report_number = report.number
            return False
        self.candidate_incarnation = 0
        self.hold_number = 0
        self.hold_current = False
        return True

    def begin_instance(self, instance: str) -> None:
        """Reset the state for a new worker instance; an empty name means that none is known."""
        self.instance = instance
        self.last_end_received = 0
        self.acknowledged = 0
        self.hold_number = 0
        self.hold_current = False
        self.unexpected_runs.clear()
        self.unexpected_stops_sent_at.clear()
        self.health = WorkerHealth()
        self.reservation = None
        self.draining = False
        self.leaves_at = math.inf
        self.recompute_free()

    def end_instance(self, instance: str) -> None:
        """Record that a worker instance is confirmed dead."""
        if instance and instance not in self.dead_instances:
            self.dead_instances.append(instance)
        if instance == self.instance:
            self.begin_instance("")

    def update_from_heartbeat(self, info: WorkerInfo, now: float, age_s: float) -> None:
        """Update the worker from its newest heartbeat, which was `age_s` old at `now`."""
        capacity = ResourceRequest(info.cpu, info.memory_mb, info.gpu)
        self.service = info.service
        self.slots = info.slots
        if len(self.labels) != len(info.labels) or not self.labels.issuperset(info.labels):
            self.labels = frozenset(info.labels)
            self.rack = rack_of(info.labels)
        self.heartbeat_at = max(self.heartbeat_at, now - age_s)
        self.draining = info.state == DRAINING
        announced = self.draining and info.remaining_ms >= 0
        self.leaves_at = now - age_s + info.remaining_ms / 1_000.0 if announced else math.inf
        self.cold_until = now - age_s + info.cold_remaining_ms / 1_000.0
        if capacity != self.capacity:
            self.capacity = capacity
            self.recompute_free()

    def add(self, run: Run, resource_request: ResourceRequest) -> None:
        """Add a run and allocate its resources, if it belongs to the present instance."""
        self.runs[run.task.name] = run
        if run.instance != self.instance:
            return
        self.allocate(resource_request)
        if (
            self.health.on_trial and not run.task.task_group.stage.long_running
        ):  # a trial with a long-running task would never end
            self.health.trial_task = run.task.name
            self.health.trial_at = run.placed_at

    def allocate(self, resource_request: ResourceRequest) -> None:
        """Subtract a resource request from the free resources."""
        self.free_cpu -= resource_request.cpu
        self.free_memory_mb -= resource_request.memory_mb
        self.free_gpu -= resource_request.gpu

    def release(self, resource_request: ResourceRequest) -> None:
        """Add a resource request back to the free resources."""
        self.free_cpu += resource_request.cpu
        self.free_memory_mb += resource_request.memory_mb
        self.free_gpu += resource_request.gpu

    def remove(self, run: Run, resource_request: ResourceRequest) -> bool:
        """Remove a run and release its resources; returns False if the run is not on the worker."""
        if self.runs.get(run.task.name) is not run:
            return False
        del self.runs[run.task.name]
        if self.health.trial_task == run.task.name:
            self.health.trial_task = ""
        if run.instance == self.instance:
            self.release(resource_request)
        return True

    def update_unexpected_runs(self, unexpected_runs: dict[tuple[str, int], ResourceRequest | None]) -> bool:
        """Replace the unexpected runs by those that the worker reports now; returns whether they changed."""
        if unexpected_runs == self.unexpected_runs:
            return False
        self.unexpected_runs = unexpected_runs
        self.unexpected_stops_sent_at = {
            key: self.unexpected_stops_sent_at[key] for key in unexpected_runs if key in self.unexpected_stops_sent_at
        }
        self.recompute_free()
        return True

    def recompute_free(self) -> None:
        """Compute the free resources from the capacity and all runs."""
        used = [run.task.task_group.resource_request for run in self.runs.values() if run.instance == self.instance]
        for resource_request in self.unexpected_runs.values():
            used.append(
                self.capacity if resource_request is None else resource_request
            )  # a run of unknown size may use all of the worker
        self.free_cpu = self.capacity.cpu - sum(resource_request.cpu for resource_request in used)
        self.free_memory_mb = self.capacity.memory_mb - sum(resource_request.memory_mb for resource_request in used)
        self.free_gpu = self.capacity.gpu - sum(resource_request.gpu for resource_request in used)

    def fits(self, resource_request: ResourceRequest) -> bool:
        """Whether the free resources suffice for one more such task."""
        return (
            self.free_cpu >= resource_request.cpu
            and self.free_memory_mb >= resource_request.memory_mb
            and self.free_gpu >= resource_request.gpu
        )

    def fits_when_empty(self, resource_request: ResourceRequest) -> bool:
        """Whether the capacity would suffice for such a task if the worker were empty."""
        capacity = self.capacity
        return (
            capacity.cpu >= resource_request.cpu
            and capacity.memory_mb >= resource_request.memory_mb
            and capacity.gpu >= resource_request.gpu
        )

    def free_share_after(self, resource_request: ResourceRequest) -> float:
        """Return the free share of the scarcest resource after placing such a task."""
        capacity = self.capacity
        share = 1.0
        if capacity.cpu:
            share = (self.free_cpu - resource_request.cpu) / capacity.cpu
        if capacity.memory_mb:
            share = min(share, (self.free_memory_mb - resource_request.memory_mb) / capacity.memory_mb)
        if capacity.gpu and resource_request.gpu:
            share = min(share, (self.free_gpu - resource_request.gpu) / capacity.gpu)
        return share


@dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """The total capacity of the workers of one service, used or free."""

    workers: int = 0
    slots: int = 0
    mean_worker: ResourceRequest = NO_RESOURCES  # average capacity per worker

    def share_of(self, resource_request: ResourceRequest) -> float:
        """Return the share of the mean worker that such a task takes, of its scarcest resource."""
        mean = self.mean_worker
        share = 0.0
        if mean.cpu:
            share = resource_request.cpu / mean.cpu
        if mean.memory_mb:
            share = max(share, resource_request.memory_mb / mean.memory_mb)
        if mean.gpu:
            share = max(share, resource_request.gpu / mean.gpu)
        return share


def total_capacity(workers: list[Worker]) -> ServiceCapacity:
    """Return the total capacity of some workers of one service."""
    count = len(workers)
    if not count:
        return ServiceCapacity()
    mean = ResourceRequest(
        sum(worker.capacity.cpu for worker in workers) // count,
        sum(worker.capacity.memory_mb for worker in workers) // count,
        sum(worker.capacity.gpu for worker in workers) // count,
    )
    return ServiceCapacity(count, sum(worker.slots for worker in workers), mean)


def rack_of(labels: list[str]) -> str:
    """Return the label that names the rack: the last one that contains a digit, such as `r1-3`, else the last one."""
    numbered = [label for label in labels if any(character.isdecimal() for character in label)]
    if numbered:
        return numbered[-1]
    return labels[-1] if labels else ""
