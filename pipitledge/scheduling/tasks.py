"""Jobs, task groups, tasks and runs, as the primary holds them in memory."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from msgspec import Struct

from pipitledge.configuration.model import Route
from pipitledge.scheduling.job import Stage, Submission
from pipitledge.wire.messages import JobState, TaskPhase

MIN_OBSERVATION_S = 0.5  # progress must be observed this long before its rate is used


class RunOutcome(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"  # because of the task itself or of its worker
    STOPPED = "stopped"
    LAPSED = "lapsed"  # the task lease on its worker expired
    GANG_BROKEN = "broken"  # another member of its gang ended
    GANG_INCOMPLETE = "alone"  # the other members of its gang did not start in time
    INSTANCE_TERMINATED = "life over"  # its worker instance terminated
    REFUSED = "refused"  # its worker refused the start order


_RUN_OUTCOMES = {outcome.value: outcome for outcome in RunOutcome}


def run_outcome_of(how: str) -> RunOutcome:
    """Return the outcome for the `how` of a finished run; an unknown text counts as stopped."""
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
    SUPERSEDED = "a copy runs instead"  # another run of the task is used


class ResourceRequest(Struct, frozen=True):
    """Resources that a task occupies on its worker while it runs; also used for the capacity of workers."""

    cpu: int  # millicores
    memory_mb: int
    gpu: int

    def covers(self, other: ResourceRequest) -> bool:
        """Return whether every resource is at least that of `other`."""
        return self.cpu >= other.cpu and self.memory_mb >= other.memory_mb and self.gpu >= other.gpu


class TaskName(Struct, frozen=True):
    """The parts of a task name; occurrence, stage and index count from 0."""

    job: str
    occurrence: int
    stage: int
    index: int

    def __str__(self) -> str:
        """Return the name as sent on the wire, such as `0123456789abcdef.0.2.15`."""
        return f"{self.job}.{self.occurrence}.{self.stage}.{self.index}"


def parse_task_name(text: str) -> TaskName | None:
    """Split a task name into its parts; None if it is malformed."""
    parts = text.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskName(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


@dataclass(slots=True, eq=False, repr=False)
class Run:
    """One run of a task on a worker instance; it occupies resources there until its end is known."""

    task: Task
    number: int
    node: str
    instance: str
    placed_at: float
    committed: bool = False  # whether the task record that assigns it is committed
    start_sent: bool = False  # a start order may have been sent
    start_sent_at: float = -math.inf
    listed: bool = False  # in the worker's latest list of running tasks
    ever_listed: bool = False  # has been in such a list at least once
    refused_at: float = -1.0  # when a refusal that is not confirmed yet was first reported; -1: never
    stop_cause: StopCause | None = None
    stop_sent_at: float = -math.inf
    start_checkpoint: str = ""  # sent with the start order; the run resumes from it
    checkpoint: str = ""  # latest one that the run reported
    checkpoint_at: float = 0.0  # when the checkpoint changed last; initially the time of placement
    percent: float = 0.0  # latest reported progress
    percent_at: float = -math.inf  # `percent` is from lists made at this time or later
    percent_hold_number: int = 0  # number of the lease call that returned `percent`
    progressed_at: float = 0.0  # when `percent` last increased, by this node's clock
    first_percent: float = 0.0
    first_percent_at: float = -1.0  # when progress was first known; -1: not yet
    settled: bool = False  # its gang is done; the run only occupies resources until its end is known
    settled_at: float = 0.0
    settled_hold_number: int = 0  # lists of lease calls up to this number may still lack its end

    @property
    def observed_s(self) -> float:
        """For how long the progress of the run has been observed, as a lower bound."""
        return self.percent_at - self.first_percent_at if self.first_percent_at >= 0.0 else 0.0

    @property
    def rate(self) -> float:
        """Fraction of the work done per second, as an upper bound; 0 if not observed for long enough."""
        if self.observed_s < MIN_OBSERVATION_S:
            return 0.0
        return (self.percent - self.first_percent) / 100.0 / self.observed_s

    def remaining_s(self, now: float) -> float:
        """Estimate how much longer the run takes, by its rate or, if that is unknown, by the estimate of its stage."""
        rate = self.rate
        if rate > 0.0:
            return max(0.0, (1.0 - self.percent / 100.0) / rate - (now - self.percent_at))
        estimate = self.task.task_group.stage.estimate_s
        return max(0.0, estimate - (now - self.placed_at), estimate * (1.0 - self.percent / 100.0))


@dataclass(slots=True, eq=False, repr=False)
class Task:
    """One task of a task group; it is retried in a new run until one ends well or too many have failed."""

    task_group: TaskGroup
    index: int
    name: str
    phase: TaskPhase = TaskPhase.WAITING
    last_run: int = 0  # number of its newest run; 0: none yet
    failures: int = 0
    checkpoint: str = ""
    run: Run | None = None
    previous_runs: list[Run] = field(default_factory=list)  # still occupy resources beside a speculative copy
    has_record: bool = False  # whether replicated state has a record of it
    not_before: float = 0.0  # not placed before this time: backoff after a failure or refusal
    avoided_nodes: set[str] = field(default_factory=set)  # nodes where it failed
    refused_by: str = ""  # node that refused the last start
    short_runs: int = 0  # of a long-running task: consecutive runs that ended early
    preempted_at: float = -math.inf
    moves: int = 0  # how often it was moved off a slow worker
    worked_s: float = 0.0  # total work of the runs that ended by themselves, done or failed

    def live_runs(self) -> list[Run]:
        """Return the runs of the task that occupy resources."""
        return [*self.previous_runs, self.run] if self.run is not None else list(self.previous_runs)


@dataclass(slots=True, eq=False, repr=False)
class TaskGroup:
    """The tasks of one stage in one occurrence of a job; the unit that waits in the queue."""

    job: Job
    occurrence: int
    index: int  # of the stage
    stage: Stage
    resource_request: ResourceRequest
    tasks: list[Task] = field(default_factory=list)
    waiting: dict[int, Task] = field(default_factory=dict)  # tasks to place, by index
    runs_per_node: dict[str, int] = field(default_factory=dict)  # runs that occupy resources, by node
    unfinished_tasks: int = 0  # tasks that are not done
    unmet_dependencies: int = 0  # stages it depends on that are not done
    ready: bool = False  # whether all dependencies are met, so that its tasks may be queued
    queued_at: float = 0.0  # since when at least one of its tasks has been waiting
    blocked_since: float = -1.0  # since when no worker has had enough free resources; -1: not blocked
    requested_at: float = 0.0  # when the occurrence came due, or the job was accepted
    measured_tasks: int = 0  # tasks with a known duration
    measured_total_s: float = 0.0  # their total duration
    measured_max_s: float = 0.0  # the longest duration, failed attempts included
    latest_start: float = 0.0  # must start by then to meet the deadline
    drain_s: float = 0.0  # time for which the rest of the occurrence would keep all workers of the service busy
    deadline: float = 0.0  # of the occurrence, to meet the latency objective
    late_deadline: float = 0.0  # a job that ends later has no value any more
    checkpoint_percent: float = 0.0  # of a gang: progress at which its shared checkpoint was reported
    next_preemption: float = 0.0  # preempts no runs before this time
    no_reservation_before: float = 0.0  # reserves no workers before this time

    @property
    def done(self) -> bool:
        """Whether all tasks are done."""
        return self.unfinished_tasks == 0

    @property
    def gang(self) -> bool:
        """Whether the tasks must all run at the same time."""
        return self.stage.gang

    def runs(self) -> Iterator[Run]:
        """Yield the current run of each task that has one."""
        return (task.run for task in self.tasks if task.run is not None)

    @property
    def key(self) -> tuple[str, int, int]:
        """Unique key: job ID, occurrence and stage index."""
        return (self.job.id, self.occurrence, self.index)


@dataclass(slots=True, eq=False, repr=False)
class Job:
    """An accepted job that is open, or has ended but still has runs."""

    id: str
    route: str
    service: str
    submission: Submission
    body: bytes  # as the client sent it
    accepted_wall_ms: int
    order: int  # rises in the order of acceptance
    accepted_at: float
    admitted_route: Route  # the route as it was when the job was accepted
    state: JobState = JobState.OPEN
    task_groups: dict[tuple[int, int], TaskGroup] = field(default_factory=dict)  # by (occurrence, stage index)
    next_occurrence: int = 0  # the first occurrence that has not come due
    completed_occurrences: int = 0
    unfinished_task_groups: dict[int, int] = field(default_factory=dict)  # count by occurrence
    started: bool = False  # whether any of its tasks has been assigned to a worker
    weight: float = 0.0  # slots that it counts for in admission; 0: not known yet
    failed_nodes: set[str] = field(default_factory=set)  # nodes on which tasks of it failed

    @property
    def open(self) -> bool:
        """Whether the job is neither completed nor failed nor cancelled."""
        return self.state is JobState.OPEN

    def tasks(self) -> Iterator[Task]:
        """Yield all tasks of the occurrences that have come due."""
        for task_group in self.task_groups.values():
            yield from task_group.tasks

    def live_runs(self) -> list[Run]:
        """Return all runs of the job that occupy resources."""
        return [run for task in self.tasks() for run in task.live_runs()]


def resource_request_of(stage: Stage) -> ResourceRequest:
    """Return the resource request of each task of a stage."""
    return ResourceRequest(stage.cpu, stage.memory_limit_mb, stage.gpu)


def new_task_group(job: Job, occurrence: int, index: int) -> TaskGroup:
    """Create the task group of one stage in one occurrence; all its tasks are waiting."""
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
