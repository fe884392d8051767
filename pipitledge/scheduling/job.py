"""A job as its client submitted it: read, checked, and measured."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec
from msgspec import Struct
from msgspec.structs import fields

MAX_SPEC_BYTES = 4_000
MAX_STAGES = 1_000
MAX_TASKS = 100_000  # of one time of a job
MAX_OCCURRENCES = 1_000_000
DEFAULT_ESTIMATE_MS = 1_000.0  # of a task whose client gave no estimate
JOB_ID_DIGITS = 16
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


NON_NEGATIVE_FIELDS = frozenset(
    ("cpu", "memory_limit_mb", "gpu", "estimated_ms", "anti_affinity")
)  # of a step, none below 0


class Stage(Struct, frozen=True, rename="camel"):
    """One step of a job: so many alike tasks, and what they ask of their workers."""

    count: int = 1
    cpu: int = 0  # thousandths of a core
    memory_limit_mb: int = 0
    gpu: int = 0
    estimated_ms: float = 0.0
    depends_on: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    node_selector: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False

    @property
    def estimate_s(self) -> float:
        """How long a task takes, roughly, in seconds."""
        return (self.estimated_ms or DEFAULT_ESTIMATE_MS) / 1_000.0


class Submission(Struct, frozen=True, rename="camel"):
    """The body of a submitted job."""

    spec: str = ""
    stages: tuple[Stage, ...] = ()
    start_at_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0

    @property
    def occurrences(self) -> int:
        """How many times its steps run."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence: int) -> int:
        """Time of day from which time `time` may run; 0 for a job that may run at once."""
        return self.start_at_ms + occurrence * self.interval_ms if self.repeat_count else 0

    @property
    def has_long_running_stage(self) -> bool:
        """Whether some of its tasks run until it is cancelled."""
        return any(stage.long_running for stage in self.stages)


class Rejection(Struct, frozen=True):
    """Why a body is no job: the place in it, and the reason."""

    path: str
    reason: str

    def __str__(self) -> str:
        """The rejection as one line."""
        return f"{self.path}: {self.reason}"


_DECODER = msgspec.json.Decoder(Submission)


def is_job_id(text: str) -> bool:
    """Whether a text has the form of a job's ID."""
    return len(text) == JOB_ID_DIGITS and _HEX_DIGITS.issuperset(text)


def parse_submission(body: bytes) -> Submission | Rejection:
    """The job in a body, or what is wrong with it."""
    try:
        submission = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Rejection("body", str(error))
    return _check_job(submission) or _check_stages(submission.stages) or submission


def _check_job(submission: Submission) -> Rejection | None:
    """Check what concerns the job as a whole."""
    if len(submission.spec.encode(errors="replace")) > MAX_SPEC_BYTES:
        return Rejection("spec", f"more than {MAX_SPEC_BYTES} bytes")
    if not submission.stages:
        return Rejection("stages", "a job has at least one step")
    if len(submission.stages) > MAX_STAGES:
        return Rejection("stages", f"more than {MAX_STAGES} steps")
    if sum(max(0, stage.count) for stage in submission.stages) > MAX_TASKS:
        return Rejection("stages", f"more than {MAX_TASKS} tasks")
    if not 0 <= submission.repeat_count <= MAX_OCCURRENCES:
        return Rejection("repeatCount", f"not between 0 and {MAX_OCCURRENCES}")
    if submission.interval_ms < 0 or submission.start_at_ms < 0:
        return Rejection("intervalMs" if submission.interval_ms < 0 else "startAtMs", "below 0")
    return None


def _check_stages(stages: tuple[Stage, ...]) -> Rejection | None:
    """Check each step."""
    for index, stage in enumerate(stages):
        path = f"stages[{index}]"
        if stage.count < 1:
            return Rejection(f"{path}.count", "below 1")
        for stage_field in fields(stage):
            if stage_field.name in NON_NEGATIVE_FIELDS and getattr(stage, stage_field.name) < 0:
                return Rejection(f"{path}.{stage_field.encode_name}", "below 0")
        if any(not 0 <= dependency < index for dependency in stage.depends_on):
            return Rejection(f"{path}.dependsOn", "names a step that isn't an earlier one")
    return None


def critical_paths_s(stages: Sequence[Stage], durations: Sequence[float]) -> tuple[float, ...]:
    """For each step, the longest chain of work from its start to the end of the job, in seconds.

    `lengths`: seconds that each step takes.
    """
    path_lengths = [0.0] * len(stages)
    for index in range(len(stages) - 1, -1, -1):
        path_lengths[index] += durations[index]
        for dependency in stages[index].depends_on:
            path_lengths[dependency] = max(path_lengths[dependency], path_lengths[index])
    return tuple(path_lengths)


def estimated_durations_s(stages: Sequence[Stage], waves: Sequence[float]) -> tuple[float, ...]:
    """How long each step takes by its estimate, which passes `waves` times until all tasks have had their turn."""
    return tuple(stage.estimate_s * max(1.0, wave_total) for stage, wave_total in zip(stages, waves, strict=True))


def wave_count(stage: Stage, worker_fraction: float, workers: int, usable_fraction: float = 0.25) -> float:
    """How many waves a step takes if it may use `room_part` of the workers; `share`: of one worker, a task's need."""
    if workers <= 0:
        return 1.0
    return float(max(1, math.ceil(stage.count * worker_fraction / (workers * usable_fraction) - 1e-9)))
