"""Workers as the primary knows them: their lives, their room, and whether they are in touch."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from pipitledge.scheduling.health import WorkerHealth
from pipitledge.scheduling.queue_order import Rank
from pipitledge.scheduling.tasks import Demand, Run, Step
from pipitledge.wire.messages import AgentReport, WorkerInfo

HEARTBEATS_UNTIL_STALE = 2.5
REPORT_STALE_S = 2.5  # without a report nothing new is placed
MAX_DEAD_INSTANCES = 8
DRAINING = "draining"
NO_RESOURCES = Demand(0, 0, 0)


@dataclass(slots=True, eq=False, repr=False)
class Reservation:
    """A worker is kept free for a step; lower-ranked work doesn't start there."""

    step: Step
    rank: Rank
    until: float


@dataclass(slots=True, eq=False, repr=False)
class Worker:
    """The worker beside one agent."""

    node: str
    address: str = ""  # of its agent
    incarnation: int = 0  # of its agent
    candidate_incarnation: int = (
        0  # another incarnation that has reported once since: a new one, or the late word of an old one
    )
    candidate_report_number: int = 0
    report_number: int = 0
    instance: str = ""  # the life it is in, as far as known
    dead_instances: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_DEAD_INSTANCES))
    service: str = ""
    slots: int = 0
    labels: frozenset[str] = frozenset()
    rack: str = ""
    capacity: Demand = NO_RESOURCES
    draining: bool = False
    leaves_at: float = math.inf
    cold_until: float = 0.0
    free_cpu: int = 0
    free_memory_mb: int = 0
    free_gpu: int = 0
    runs: dict[str, Run] = field(default_factory=dict)  # by task; all lives that may still run
    unexpected_runs: dict[tuple[str, int], Demand | None] = field(default_factory=dict)  # shown there and not wanted
    unexpected_stops_sent_at: dict[tuple[str, int], float] = field(
        default_factory=dict
    )  # when they were last told to stop
    last_end_received: int = 0
    acknowledged: int = 0
    reported_at: float = -math.inf
    leases_expire_at: float = math.inf  # after it everything it runs has lapsed for certain
    heartbeat_at: float = -math.inf
    silent: bool = False
    unreachable: bool = False  # orders could not be handed to its agent since its last report
    hold_number: int = 0
    hold_sent_at: float = -math.inf  # when the call was sent that its lists answered
    hold_current: bool = False  # its lists were told under this primary's fence
    health: WorkerHealth = field(default_factory=WorkerHealth)
    reservation: Reservation | None = None
    push_failures: int = 0

    def usable(self, now: float, heartbeat_s: float) -> bool:
        """Whether new tasks may be placed there."""
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
        """Whether a report is newer than all others so far; takes note of it if so."""
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
        """Whether another incarnation reports again before the present one does: then it has taken over.

        A report of a process that is gone may come late, but no other one after it.
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
        """Its worker has started anew."""
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
        """A life is over for certain."""
        if instance and instance not in self.dead_instances:
            self.dead_instances.append(instance)
        if instance == self.instance:
            self.begin_instance("")

    def update_from_heartbeat(self, info: WorkerInfo, now: float, age_s: float) -> None:
        """Take over what its newest heartbeat tells."""
        capacity = Demand(info.cpu, info.memory_mb, info.gpu)
        self.service = info.service
        self.slots = info.slots
        if len(self.labels) != len(info.labels) or not self.labels.issuperset(info.labels):
            self.labels = frozenset(info.labels)
            self.rack = rack_of(info.labels)
        self.heartbeat_at = max(self.heartbeat_at, now - age_s)
        self.draining = info.state == DRAINING
        told = self.draining and info.remaining_ms >= 0
        self.leaves_at = now - age_s + info.remaining_ms / 1_000.0 if told else math.inf
        self.cold_until = now - age_s + info.cold_remaining_ms / 1_000.0
        if capacity != self.capacity:
            self.capacity = capacity
            self.recompute_free()

    def add(self, run: Run, demand: Demand) -> None:
        """A run takes room."""
        self.runs[run.task.name] = run
        if run.instance != self.instance:
            return
        self.allocate(demand)
        if self.health.on_trial and not run.task.step.stage.long_running:  # such a trial would never end
            self.health.trial_task = run.task.name
            self.health.trial_at = run.placed_at

    def allocate(self, demand: Demand) -> None:
        """Use some of its room."""
        self.free_cpu -= demand.cpu
        self.free_memory_mb -= demand.memory_mb
        self.free_gpu -= demand.gpu

    def release(self, demand: Demand) -> None:
        """Give room back."""
        self.free_cpu += demand.cpu
        self.free_memory_mb += demand.memory_mb
        self.free_gpu += demand.gpu

    def remove(self, run: Run, demand: Demand) -> bool:
        """A run's room is free again; False if it held none."""
        if self.runs.get(run.task.name) is not run:
            return False
        del self.runs[run.task.name]
        if self.health.trial_task == run.task.name:
            self.health.trial_task = ""
        if run.instance == self.instance:
            self.release(demand)
        return True

    def update_unexpected_runs(self, unexpected_runs: dict[tuple[str, int], Demand | None]) -> bool:
        """Take note of unwanted runs that its list shows; whether anything changed."""
        if unexpected_runs == self.unexpected_runs:
            return False
        self.unexpected_runs = unexpected_runs
        self.unexpected_stops_sent_at = {
            key: self.unexpected_stops_sent_at[key] for key in unexpected_runs if key in self.unexpected_stops_sent_at
        }
        self.recompute_free()
        return True

    def recompute_free(self) -> None:
        """Reckon its room from nothing."""
        used = [run.task.step.demand for run in self.runs.values() if run.instance == self.instance]
        for demand in self.unexpected_runs.values():
            used.append(self.capacity if demand is None else demand)  # of unknown size: it may be full
        self.free_cpu = self.capacity.cpu - sum(demand.cpu for demand in used)
        self.free_memory_mb = self.capacity.memory_mb - sum(demand.memory_mb for demand in used)
        self.free_gpu = self.capacity.gpu - sum(demand.gpu for demand in used)

    def fits(self, demand: Demand) -> bool:
        """Whether it has room for one more such task."""
        return self.free_cpu >= demand.cpu and self.free_memory_mb >= demand.memory_mb and self.free_gpu >= demand.gpu

    def fits_when_empty(self, demand: Demand) -> bool:
        """Whether it would have room if it were empty."""
        capacity = self.capacity
        return capacity.cpu >= demand.cpu and capacity.memory_mb >= demand.memory_mb and capacity.gpu >= demand.gpu

    def free_share_after(self, demand: Demand) -> float:
        """The scarcest free share of its capacity once such a task is placed."""
        capacity = self.capacity
        share = 1.0
        if capacity.cpu:
            share = (self.free_cpu - demand.cpu) / capacity.cpu
        if capacity.memory_mb:
            share = min(share, (self.free_memory_mb - demand.memory_mb) / capacity.memory_mb)
        if capacity.gpu and demand.gpu:
            share = min(share, (self.free_gpu - demand.gpu) / capacity.gpu)
        return share


@dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """What the workers of one service have in all, in use or free."""

    workers: int = 0
    slots: int = 0
    mean_worker: Demand = NO_RESOURCES  # of a mean worker

    def share_of(self, demand: Demand) -> float:
        """The largest share of a mean worker that such a task takes."""
        mean = self.mean_worker
        share = 0.0
        if mean.cpu:
            share = demand.cpu / mean.cpu
        if mean.memory_mb:
            share = max(share, demand.memory_mb / mean.memory_mb)
        if mean.gpu:
            share = max(share, demand.gpu / mean.gpu)
        return share


def total_capacity(workers: list[Worker]) -> ServiceCapacity:
    """What some workers have in all."""
    count = len(workers)
    if not count:
        return ServiceCapacity()
    mean = Demand(
        sum(worker.capacity.cpu for worker in workers) // count,
        sum(worker.capacity.memory_mb for worker in workers) // count,
        sum(worker.capacity.gpu for worker in workers) // count,
    )
    return ServiceCapacity(count, sum(worker.slots for worker in workers), mean)


def rack_of(labels: list[str]) -> str:
    """The label that names the rack: the one with a number in it, such as `r1-3`."""
    numbered = [label for label in labels if any(character.isdecimal() for character in label)]
    if numbered:
        return numbered[-1]
    return labels[-1] if labels else ""
