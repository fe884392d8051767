"""Workers as the primary knows them: their lives, their room, and whether they are in touch."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from pipitledge.scheduling.health import Health
from pipitledge.scheduling.queue_order import Rank
from pipitledge.scheduling.tasks import ResourceRequest, Run, TaskGroup
from pipitledge.wire.messages import AgentReport, WorkerInfo

HEARTBEATS_UNTIL_STALE = 2.5
REPORT_STALE_S = 2.5  # without a report nothing new is placed
LIVES_REMEMBERED = 8
DRAINING = "draining"
NOTHING = ResourceRequest(0, 0, 0)


@dataclass(slots=True, eq=False, repr=False)
class Claim:
    """A worker is kept free for a step; lower-ranked work doesn't start there."""

    task_group: TaskGroup
    rank: Rank
    until: float


@dataclass(slots=True, eq=False, repr=False)
class Worker:
    """The worker beside one agent."""

    node: str
    address: str = ""  # of its agent
    incarnation: int = 0  # of its agent
    candidate: int = 0  # another incarnation that has reported once since: a new one, or the late word of an old one
    candidate_number: int = 0
    report_number: int = 0
    instance: str = ""  # the life it is in, as far as known
    dead_instances: deque[str] = field(default_factory=lambda: deque(maxlen=LIVES_REMEMBERED))
    service: str = ""
    slots: int = 0
    labels: frozenset[str] = frozenset()
    rack: str = ""
    capacity: ResourceRequest = NOTHING
    draining: bool = False
    leaves_at: float = math.inf
    cold_until: float = 0.0
    free_cpu: int = 0
    free_memory_mb: int = 0
    free_gpu: int = 0
    runs: dict[str, Run] = field(default_factory=dict)  # by task; all lives that may still run
    foreign: dict[tuple[str, int], ResourceRequest | None] = field(default_factory=dict)  # shown there and not wanted
    foreign_stops: dict[tuple[str, int], float] = field(default_factory=dict)  # when they were last told to stop
    ends_seen: int = 0
    acknowledged: int = 0
    reported_at: float = -math.inf
    held_until: float = math.inf  # after it everything it runs has lapsed for certain
    heartbeat_at: float = -math.inf
    silent: bool = False
    unreachable: bool = False  # orders could not be handed to its agent since its last report
    hold_number: int = 0
    hold_at: float = -math.inf  # when the call was sent that its lists answered
    hold_current: bool = False  # its lists were told under this primary's fence
    health: Health = field(default_factory=Health)
    claim: Claim | None = None
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

    def newer(self, report: AgentReport) -> bool:
        """Whether a report is newer than all others so far; takes note of it if so."""
        if report.incarnation == self.incarnation or not self.incarnation:
            if report.number <= self.report_number:
                return False
            self.candidate = 0
        elif not self._confirms_candidate(report):
            return False
        self.incarnation = report.incarnation
        self.report_number = report.number
        return True

    def _confirms_candidate(self, report: AgentReport) -> bool:
        """Whether another incarnation reports again before the present one does: then it has taken over.

        A report of a process that is gone may come late, but no other one after it.
        """
        if self.candidate != report.incarnation or report.number <= self.candidate_number:
            self.candidate = report.incarnation
            self.candidate_number = report.number
            return False
        self.candidate = 0
        self.hold_number = 0
        self.hold_current = False
        return True

    def begin_life(self, instance: str) -> None:
        """Its worker has started anew."""
        self.instance = instance
        self.ends_seen = 0
        self.acknowledged = 0
        self.hold_number = 0
        self.hold_current = False
        self.foreign.clear()
        self.foreign_stops.clear()
        self.health = Health()
        self.claim = None
        self.draining = False
        self.leaves_at = math.inf
        self.recount()

    def end_life(self, instance: str) -> None:
        """A life is over for certain."""
        if instance and instance not in self.dead_instances:
            self.dead_instances.append(instance)
        if instance == self.instance:
            self.begin_life("")

    def describe(self, info: WorkerInfo, now: float, age_s: float) -> None:
        """Take over what its newest heartbeat tells."""
        capacity = ResourceRequest(info.cpu, info.memory_mb, info.gpu)
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
            self.recount()

    def add(self, run: Run, resource_request: ResourceRequest) -> None:
        """A run takes room."""
        self.runs[run.task.name] = run
        if run.instance != self.instance:
            return
        self.take(resource_request)
        if self.health.on_trial and not run.task.task_group.stage.long_running:  # such a trial would never end
            self.health.trial_task = run.task.name
            self.health.trial_at = run.placed_at

    def take(self, resource_request: ResourceRequest) -> None:
        """Use some of its room."""
        self.free_cpu -= resource_request.cpu
        self.free_memory_mb -= resource_request.memory_mb
        self.free_gpu -= resource_request.gpu

    def give(self, resource_request: ResourceRequest) -> None:
        """Give room back."""
        self.free_cpu += resource_request.cpu
        self.free_memory_mb += resource_request.memory_mb
        self.free_gpu += resource_request.gpu

    def remove(self, run: Run, resource_request: ResourceRequest) -> bool:
        """A run's room is free again; False if it held none."""
        if self.runs.get(run.task.name) is not run:
            return False
        del self.runs[run.task.name]
        if self.health.trial_task == run.task.name:
            self.health.trial_task = ""
        if run.instance == self.instance:
            self.give(resource_request)
        return True

    def show_foreign(self, foreign: dict[tuple[str, int], ResourceRequest | None]) -> bool:
        """Take note of unwanted runs that its list shows; whether anything changed."""
        if foreign == self.foreign:
            return False
        self.foreign = foreign
        self.foreign_stops = {key: self.foreign_stops[key] for key in foreign if key in self.foreign_stops}
        self.recount()
        return True

    def recount(self) -> None:
        """Reckon its room from nothing."""
        used = [run.task.task_group.resource_request for run in self.runs.values() if run.instance == self.instance]
        for resource_request in self.foreign.values():
            used.append(
                self.capacity if resource_request is None else resource_request
            )  # of unknown size: it may be full
        self.free_cpu = self.capacity.cpu - sum(resource_request.cpu for resource_request in used)
        self.free_memory_mb = self.capacity.memory_mb - sum(resource_request.memory_mb for resource_request in used)
        self.free_gpu = self.capacity.gpu - sum(resource_request.gpu for resource_request in used)

    def fits(self, resource_request: ResourceRequest) -> bool:
        """Whether it has room for one more such task."""
        return (
            self.free_cpu >= resource_request.cpu
            and self.free_memory_mb >= resource_request.memory_mb
            and self.free_gpu >= resource_request.gpu
        )

    def could_fit(self, resource_request: ResourceRequest) -> bool:
        """Whether it would have room if it were empty."""
        capacity = self.capacity
        return (
            capacity.cpu >= resource_request.cpu
            and capacity.memory_mb >= resource_request.memory_mb
            and capacity.gpu >= resource_request.gpu
        )

    def free_share_after(self, resource_request: ResourceRequest) -> float:
        """The scarcest free share of its capacity once such a task is placed."""
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
class ServiceRoom:
    """What the workers of one service have in all, in use or free."""

    workers: int = 0
    slots: int = 0
    capacity: ResourceRequest = NOTHING  # of a mean worker

    def share_of(self, resource_request: ResourceRequest) -> float:
        """The largest share of a mean worker that such a task takes."""
        capacity = self.capacity
        share = 0.0
        if capacity.cpu:
            share = resource_request.cpu / capacity.cpu
        if capacity.memory_mb:
            share = max(share, resource_request.memory_mb / capacity.memory_mb)
        if capacity.gpu:
            share = max(share, resource_request.gpu / capacity.gpu)
        return share


def room_of(workers: list[Worker]) -> ServiceRoom:
    """What some workers have in all."""
    count = len(workers)
    if not count:
        return ServiceRoom()
    mean = ResourceRequest(
        sum(worker.capacity.cpu for worker in workers) // count,
        sum(worker.capacity.memory_mb for worker in workers) // count,
        sum(worker.capacity.gpu for worker in workers) // count,
    )
    return ServiceRoom(count, sum(worker.slots for worker in workers), mean)


def rack_of(labels: list[str]) -> str:
    """The label that names the rack: the one with a number in it, such as `r1-3`."""
    numbered = [label for label in labels if any(character.isdecimal() for character in label)]
    if numbered:
        return numbered[-1]
    return labels[-1] if labels else ""
