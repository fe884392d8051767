"""Keys and encoding of job and task records in replicated state."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from pipitledge.configuration.model import Route
from pipitledge.scheduling.job import Rejection, Submission, read_accepted
from pipitledge.scheduling.tasks import Job, Task, TaskName, parse_task_name
from pipitledge.wire.codec import WireError, decode_record, encode_record
from pipitledge.wire.messages import JobRecord, JobState, TaskPhase, TaskRecord

JOB_PREFIX = "job/"
TASK_PREFIX = "task/"


def job_key(job_id: str) -> str:
    """Return the key of a job record."""
    return JOB_PREFIX + job_id


def task_key(task: str) -> str:
    """Return the key of a task record, by the name of the task."""
    return TASK_PREFIX + task


def encode_job(job: Job, keep_body: bool) -> bytes:
    """Encode the record of a job; the body is left out for a job that has ended and has no runs left."""
    return encode_record(
        JobRecord(
            id=job.id,
            route=job.route,
            service=job.service,
            body=job.body if keep_body else b"",
            state=int(job.state),
            accepted_wall_ms=job.accepted_wall_ms,
            order=job.order,
            priority=job.admitted_route.priority,
            max_attempts=job.admitted_route.max_attempts,
            stretch=job.admitted_route.stretch,
            target_latency_ms=job.admitted_route.target_latency_ms,
        )
    )


def admitted_route_of(record: JobRecord) -> Route:
    """Return the route of a job as it was at acceptance, without host and path, which are not recorded."""
    return Route(
        name=record.route,
        host="",
        path_prefix="",
        service=record.service,
        priority=record.priority,
        max_attempts=record.max_attempts,
        stretch=record.stretch,
        target_latency_ms=record.target_latency_ms,
    )


def encode_task(task: Task) -> bytes:
    """Encode the record of a task; node and instance are empty while it is not assigned."""
    run = task.run
    assigned = run is not None and task.phase is TaskPhase.ASSIGNED
    return encode_record(
        TaskRecord(
            phase=int(task.phase),
            run=task.last_run,
            node=run.node if run is not None and assigned else "",
            instance=run.instance if run is not None and assigned else "",
            failures=task.failures,
            saved=task.checkpoint,
            stopping=run is not None and assigned and run.stop_cause is not None,
        )
    )


@dataclass(slots=True)
class StoredTask:
    """A task record and the name that its key holds."""

    name: TaskName
    record: TaskRecord


@dataclass(slots=True)
class StoredJob:
    """A job record, its parsed body (None if the record has none), and the records of its tasks."""

    record: JobRecord
    submission: Submission | None
    tasks: list[StoredTask] = field(default_factory=list)

    @property
    def state(self) -> JobState:
        """State of the job according to its record."""
        return JobState(self.record.state)


@dataclass(slots=True)
class StoredState:
    """All jobs in replicated state, and the keys that could not be used."""

    jobs: dict[str, StoredJob] = field(default_factory=dict)
    orphans: list[str] = field(default_factory=list)  # keys of task records that have no job record
    unreadable: list[str] = field(default_factory=list)  # keys of records that could not be decoded


def read_state(state: Mapping[str, bytes]) -> StoredState:
    """Decode all job and task records in replicated state."""
    stored = StoredState()
    for key, value in state.items():
        if key.startswith(JOB_PREFIX):
            _read_job(key, value, stored)
    for key, value in state.items():
        if key.startswith(TASK_PREFIX):
            _read_task(key, value, stored)
    return stored


def _read_job(key: str, value: bytes, stored: StoredState) -> None:
    try:
        record = decode_record(value, JobRecord)
    except WireError:
        stored.unreadable.append(key)
        return
    submission = read_accepted(record.body) if record.body else None
    if isinstance(submission, Rejection):
        stored.unreadable.append(key)
        return
    stored.jobs[record.id] = StoredJob(record, submission)


def _read_task(key: str, value: bytes, stored: StoredState) -> None:
    name = parse_task_name(key.removeprefix(TASK_PREFIX))
    job = stored.jobs.get(name.job) if name is not None else None
    if name is None or job is None:
        stored.orphans.append(key)
        return
    try:
        job.tasks.append(StoredTask(name, decode_record(value, TaskRecord)))
    except WireError:
        stored.unreadable.append(key)
