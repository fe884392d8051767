"""Jobs, steps, tasks and runs, as the primary holds them in memory."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from msgspec import Struct

from pipitledge.configuration.model import Route
from pipitledge.scheduling.job import Stage, Submission
from pipitledge.wire.messages import JobState, TaskPhase

MIN_OBSERVATION_S = 0.5  # of progress, before its rate means something


class RunOutcome(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"  # through its own fault or the worker's
    STOPPED = "stopped"
    LAPSED = "lapsed"  # its worker's hold ran out
    GANG_BROKEN = "broken"  # another member of its gang ended
    GANG_INCOMPLETE = "alone"  # the other members of its gang did not come
    INSTANCE_TERMINATED = "life over"  # its worker's life ended
    REFUSED = "refused"  # its worker never started it


_RUN_OUTCOMES = {ending.value: ending for ending in RunOutcome}


def run_outcome_of(how: str) -> RunOutcome:
    """The ending that a worker's list names; one that is not known counts as stopped."""
    return _RUN_OUTCOMES.get(how, RunOutcome.STOPPED)


class StopCause(enum.Enum):
    """Why a run is being stopped."""

    JOB_ENDED = "job ended"
    GANG_BROKEN = "gang broken"
    PREEMPTED = "preempted"
    STALLED = "stalled"
    SLOW = "slow"
    WORKER_LEAVING = "worker leaves"
    REFUSED = "start refused"
    SUPERSEDED = "a copy runs instead"


class ResourceRequest(Struct, frozen=True):
    """What a task needs of its worker while it runs."""

    cpu: int
    memory_mb: int
    gpu: int

    def covers(self, other: ResourceRequest) -> bool:
        """Whether it is at least `other` in everything."""
        return self.cpu >= other.cpu and self.memory_mb >= other.memory_mb and self.gpu >= other.gpu


class TaskName(Struct, frozen=True):
    """The parts of a task's name."""

    job: str
    occurrence: int
    stage: int
    index: int

    def __str__(self) -> str:
        """The name as it is written on the wire."""
        return f"{self.job}.{self.occurrence}.{self.stage}.{self.index}"


def parse_task_name(text: str) -> TaskName | None:
    """The parts of a task's name, or None if it is none."""
    parts = text.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskName(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


@dataclass(slots=True, eq=False, repr=False)
class Run:
    """One run of a task that may exist on one life of one worker, and holds room there."""

    task: Task
    number: int
    node: str
    instance: str
    placed_at: float
    committed: bool = False  # its record is in replicated state
    start_sent: bool = False  # a start order may have left
    start_sent_at: float = -math.inf
    listed: bool = False  # in the worker's newest list of running tasks
    ever_listed: bool = False  # was in such a list at some time
    refused_at: float = -1.0  # when its worker was first told to have refused it, while that isn't certain
    stop_cause: StopCause | None = None
    stop_sent_at: float = -math.inf
    start_checkpoint: str = ""  # the checkpoint that its start brings
    checkpoint: str = ""  # the checkpoint it told last
    checkpoint_at: float = 0.0  # when that was renewed, or its start
    percent: float = 0.0
    percent_at: float = -math.inf  # its percent was told by lists made at that time or later
    percent_hold_number: int = 0  # number of the hold call that told it
    progressed_at: float = 0.0  # it had come this far by then
    first_percent: float = 0.0
    first_percent_at: float = -1.0  # when its progress was first known; -1: not yet
    settled: bool = False  # its task is decided without it, only the end of its room is awaited
    settled_at: float = 0.0
    settled_hold_number: int = 0  # lists up to this hold call may not show its end

    @property
    def observed_s(self) -> float:
        """For how long its progress has been known, at least."""
        return self.percent_at - self.first_percent_at if self.first_percent_at >= 0.0 else 0.0

    @property
    def rate(self) -> float:
        """Its progress in parts of its work per second, at most; 0 if not known."""
        if self.observed_s < MIN_OBSERVATION_S:
            return 0.0
        return (self.percent - self.first_percent) / 100.0 / self.observed_s

    def remaining_s(self, now: float) -> float:
        """How much longer it takes, roughly."""
        rate = self.rate
        if rate > 0.0:
            return max(0.0, (1.0 - self.percent / 100.0) / rate - (now - self.percent_at))
        estimate = self.task.task_group.stage.estimate_s
        return max(0.0, estimate - (now - self.placed_at), estimate * (1.0 - self.percent / 100.0))


@dataclass(slots=True, eq=False, repr=False)
class Task:
    """One task of a step at one of the job's times."""

    task_group: TaskGroup
    index: int
    name: str
    phase: TaskPhase = TaskPhase.WAITING
    last_run: int = 0
    failures: int = 0
    checkpoint: str = ""
    run: Run | None = None
    previous_runs: list[Run] = field(default_factory=list)  # that hold room still, beside a copy
    has_record: bool = False  # a record of it exists
    not_before: float = 0.0
    avoided_nodes: set[str] = field(default_factory=set)  # nodes where it failed
    refused_by: str = ""  # node that would not start it last
    short_runs: int = 0  # of a lasting task: runs in a row that ended soon
    preempted_at: float = -math.inf
    moves: int = 0
    worked_s: float = 0.0  # that its runs took which ended by themselves

    def live_runs(self) -> list[Run]:
        """Its runs that hold room."""
        return [*self.previous_runs, self.run] if self.run is not None else list(self.previous_runs)


@dataclass(slots=True, eq=False, repr=False)
class TaskGroup:
    """One step of a job at one of its times: the unit that waits in the queue."""

    job: Job
    occurrence: int
    index: int
    stage: Stage
    resource_request: ResourceRequest
    tasks: list[Task] = field(default_factory=list)
    waiting: dict[int, Task] = field(default_factory=dict)  # by index, in the order in which they wait
    runs_per_node: dict[str, int] = field(default_factory=dict)  # tasks that hold room, by node
    unfinished_tasks: int = 0
    unmet_dependencies: int = 0  # steps it depends on that are not done
    ready: bool = False
    queued_at: float = 0.0  # since when some of its tasks wait
    blocked_since: float = -1.0  # no room was found since then; -1: not blocked
    requested_at: float = 0.0  # when the work of its time was asked for
    measured_tasks: int = 0  # tasks whose ends told how long they take
    measured_total_s: float = 0.0  # the sum of that
    measured_max_s: float = 0.0  # the longest of that, failed tries included
    latest_start: float = 0.0
    drain_s: float = 0.0  # for how long the whole time would keep all workers of the service busy
    deadline: float = 0.0  # of the whole time, to meet the objective
    late_deadline: float = 0.0  # after it nothing is earned
    checkpoint_percent: float = 0.0  # of a gang: progress at which its common checkpoint was told
    next_preemption: float = 0.0
    no_reservation_before: float = 0.0

    @property
    def done(self) -> bool:
        """Whether all of its tasks have ended `done`."""
        return self.unfinished_tasks == 0

    @property
    def gang(self) -> bool:
        """Whether its tasks work only jointly."""
        return self.stage.gang

    def runs(self) -> Iterator[Run]:
        """All runs of its tasks that hold room."""
        return (task.run for task in self.tasks if task.run is not None)

    @property
    def key(self) -> tuple[str, int, int]:
        """What identifies it."""
        return (self.job.id, self.occurrence, self.index)


@dataclass(slots=True, eq=False, repr=False)
class Job:
    """An accepted job that is open, or has runs left."""

    id: str
    route: str
    service: str
    submission: Submission
    body: bytes
    accepted_wall_ms: int
    order: int
    accepted_at: float
    admitted_route: Route  # its route as it was at acceptance
    state: JobState = JobState.OPEN
    task_groups: dict[tuple[int, int], TaskGroup] = field(default_factory=dict)  # by (time, step)
    next_occurrence: int = 0  # the first time that has not come due
    completed_occurrences: int = 0
    unfinished_task_groups: dict[int, int] = field(default_factory=dict)  # by time
    started: bool = False
    weight: float = 0.0
    failed_nodes: set[str] = field(default_factory=set)

    @property
    def open(self) -> bool:
        """Whether it is neither completed, nor failed, nor cancelled."""
        return self.state is JobState.OPEN

    def tasks(self) -> Iterator[Task]:
        """All tasks of the times that have come due."""
        for task_group in self.task_groups.values():
            yield from task_group.tasks

    def live_runs(self) -> list[Run]:
        """All runs of its tasks that hold room."""
        return [run for task in self.tasks() for run in task.live_runs()]


def resource_request_of(stage: Stage) -> ResourceRequest:
    """What each task of a step needs."""
    return ResourceRequest(stage.cpu, stage.memory_limit_mb, stage.gpu)


def new_task_group(job: Job, occurrence: int, index: int) -> TaskGroup:
    """A step at one time, with its tasks, all waiting."""
    stage = job.submission.stages[index]
    task_group = TaskGroup(
        job,
        occurrence,
        index,
        stage,
        resource_request_of(stage),
        unfinished_tasks=stage.count,
        unmet_dependencies=len(set(stage.depends_on)),
    )
    task_group.tasks = [
        Task(task_group, number, f"{job.id}.{occurrence}.{index}.{number}") for number in range(stage.count)
    ]
    return task_group
