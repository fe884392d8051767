"""Job submissions: parsing, validation and duration estimates."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec
from msgspec import Struct
from msgspec.structs import fields

MAX_SPEC_BYTES = 4_000
MAX_STAGES = 1_000
MAX_TASKS = 100_000  # in one occurrence of a job
MAX_OCCURRENCES = 1_000_000
DEFAULT_ESTIMATE_MS = 1_000.0  # duration of a task for which the client gave no estimate
JOB_ID_DIGITS = 16
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


class Stage(Struct, frozen=True, rename="camel"):
    """One stage of a submitted job: `count` identical tasks with the same resource request and placement rules."""

    count: int = 1  # number of tasks
    cpu: int = 0  # millicores
    memory_limit_mb: int = 0
    gpu: int = 0
    estimated_ms: float = 0.0
    depends_on: tuple[int, ...] = ()  # indexes of earlier stages that must be done first
    checkpoints: bool = False  # tasks save checkpoints, from which later runs resume
    gang: bool = False  # all tasks must run at the same time
    same_rack: bool = False  # of a gang: prefer workers of a single rack
    node_selector: str = ""  # label that the worker must have
    affinity: str = ""  # label of the workers near the data, which are preferred
    anti_affinity: int = 0  # most tasks of the stage on one worker; 0: no limit
    speculative: bool = False  # a task may run twice at once, while the worker of the first run is unreachable
    long_running: bool = False  # tasks run until the job is cancelled

    @property
    def estimate_s(self) -> float:
        """Estimated duration of one task, in seconds."""
        return (self.estimated_ms or DEFAULT_ESTIMATE_MS) / 1_000.0


class Submission(Struct, frozen=True, rename="camel"):
    """The JSON body of a submitted job."""

    spec: str = ""
    stages: tuple[Stage, ...] = ()
    start_at_ms: int = 0  # wall-clock time of the first occurrence
    interval_ms: int = 0  # between two occurrences
    repeat_count: int = 0  # number of occurrences; 0: the job runs once, at once

    @property
    def occurrences(self) -> int:
        """How many times the stages of the job run; 1 for a job that does not repeat."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence: int) -> int:
        """Return the wall-clock time from which an occurrence may run; 0 if the job may run at once."""
        return self.start_at_ms + occurrence * self.interval_ms if self.repeat_count else 0

    @property
    def has_long_running_stage(self) -> bool:
        """Whether at least one stage has tasks that run until the job is cancelled."""
        return any(stage.long_running for stage in self.stages)


class Rejection(Struct, frozen=True):
    """Why a submitted body is invalid: the path of the wrong field, and the reason."""

    path: str
    reason: str

    def __str__(self) -> str:
        """Return path and reason on one line, as the client sees them."""
        return f"{self.path}: {self.reason}"


_DECODER = msgspec.json.Decoder(Submission)
_JSON_NAMES = {field.name: field.encode_name for field in fields(Stage)}


def is_job_id(text: str) -> bool:
    """Return whether a text is a valid job ID: 16 hexadecimal digits."""
    return len(text) == JOB_ID_DIGITS and _HEX_DIGITS.issuperset(text)


def parse_submission(body: bytes) -> Submission | Rejection:
    """Parse and validate the body of a job; return what is wrong with it if it is invalid."""
    submission = read_accepted(body)
    if isinstance(submission, Rejection):
        return submission
    return _check_job(submission) or _check_stages(submission.stages) or submission


def read_accepted(body: bytes) -> Submission | Rejection:
    """Parse the body of a job that was validated when it was accepted; return what is wrong if it cannot be read."""
    try:
        return _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Rejection("body", str(error))


def _check_job(submission: Submission) -> Rejection | None:
    """Check the fields and limits of the whole job."""
    if len(submission.spec.encode(errors="replace")) > MAX_SPEC_BYTES:
        return Rejection("spec", f"more than {MAX_SPEC_BYTES} bytes")
    if not submission.stages:
        return Rejection("stages", "a job needs at least one stage")
    if len(submission.stages) > MAX_STAGES:
        return Rejection("stages", f"more than {MAX_STAGES} stages")
    if sum([stage.count for stage in submission.stages if stage.count > 0]) > MAX_TASKS:
        return Rejection("stages", f"more than {MAX_TASKS} tasks")
    if not 0 <= submission.repeat_count <= MAX_OCCURRENCES:
        return Rejection("repeatCount", f"not between 0 and {MAX_OCCURRENCES}")
    if submission.interval_ms < 0 or submission.start_at_ms < 0:
        return Rejection("intervalMs" if submission.interval_ms < 0 else "startAtMs", "below 0")
    return None


def _check_stages(stages: tuple[Stage, ...]) -> Rejection | None:
    """Check the fields of each stage."""
    for index, stage in enumerate(stages):
        if stage.count < 1:
            return Rejection(f"stages[{index}].count", "below 1")
        if min(stage.cpu, stage.memory_limit_mb, stage.gpu, stage.estimated_ms, stage.anti_affinity) < 0:
            return Rejection(f"stages[{index}].{_first_negative_field(stage)}", "below 0")
        if stage.depends_on and not (min(stage.depends_on) >= 0 and max(stage.depends_on) < index):
            return Rejection(f"stages[{index}].dependsOn", "refers to a stage that does not come before this one")
    return None


def _first_negative_field(stage: Stage) -> str:
    """Return the JSON name of the first field with a number below 0."""
    numbers = ((name, getattr(stage, name)) for name in _JSON_NAMES)
    return next(_JSON_NAMES[name] for name, value in numbers if isinstance(value, int | float) and value < 0)


def critical_paths_s(stages: Sequence[Stage], durations: Sequence[float]) -> tuple[float, ...]:
    """Return for each stage the length of the critical path from its start to the end of the job, in seconds.

    `durations` holds the duration of each stage, in seconds.
    """
    path_lengths = [0.0] * len(stages)
    for index in range(len(stages) - 1, -1, -1):
        path_lengths[index] += durations[index]
        for dependency in stages[index].depends_on:
            path_lengths[dependency] = max(path_lengths[dependency], path_lengths[index])
    return tuple(path_lengths)


def estimated_durations_s(stages: Sequence[Stage], waves: Sequence[float]) -> tuple[float, ...]:
    """Return the estimated duration of each stage: the task estimate times the number of waves of the stage."""
    return tuple(stage.estimate_s * max(1.0, wave_total) for stage, wave_total in zip(stages, waves, strict=True))


def wave_count(stage: Stage, worker_fraction: float, workers: int, usable_fraction: float = 0.25) -> float:
    """Return in how many successive waves the tasks of a stage run.

    `worker_fraction` is the part of one worker that a task takes. The stage is assumed to get `usable_fraction` of all
    workers.
    """
    if workers <= 0:
        return 1.0
    return float(max(1, math.ceil(stage.count * worker_fraction / (workers * usable_fraction) - 1e-9)))
