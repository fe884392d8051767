"""JSON messages between a worker and its agent; they are specified in the operators' PROTOCOL.md."""

from __future__ import annotations

from typing import Literal

from msgspec import Struct

from pipitledge.wire.messages import FinishedTask, RunningTask

START_PATH = "/pipitledge/run-start"
STOP_PATH = "/pipitledge/run-stop"
HOLD_PATH = "/pipitledge/hold"
MAX_ENDS_PER_ANSWER = 500  # a worker lists at most this many ended runs in one answer


class Capacity(Struct, rename="camel", frozen=True):
    """Resource capacity of a worker for tasks."""

    cpu: int = 0
    memory_limit_mb: int = 0
    gpu: int = 0


class HeartbeatBody(Struct, rename="camel"):
    """Heartbeat of a worker; fields that are 0, false or empty may be omitted."""

    service: str
    state: Literal["ready", "draining"]
    address: str = ""
    zone: str = ""
    version: str = ""
    slots: int = 0
    cold_remaining_ms: float = 0.0
    capacity: Capacity = Capacity()
    labels: list[str] = []
    remaining_ms: float | None = None
    clock_ms: float | None = None
    sequence: int = 0


class StartBody(Struct, rename="camel", omit_defaults=True):
    """Order to start one run of a task."""

    task: str
    run_id: int
    spec: str
    deadline_ms: int
    fence_token: int
    checkpointed: str = ""


class StopBody(Struct, rename="camel"):
    """Order to stop one run of a task; if it has not started, the worker must never start it."""

    task: str
    run_id: int
    fence_token: int


class HoldBody(Struct, rename="camel", omit_defaults=True):
    """Extend the leases of all runs until `deadline_ms` on the worker's clock, and request the lists of runs.

    `last_seen` acknowledges ended runs up to that number. With `wait_ms` the worker answers when the next run ends.
    """

    fence_token: int
    last_seen: int
    deadline_ms: int | None = None
    wait_ms: int = 0


class AnswerBody(Struct, rename="camel"):
    """Fields common to all answers of a worker."""

    clock_ms: float | None = None
    reason: str = ""


class RunningEntry(Struct, array_like=True):
    """One running run in the answer to a hold call."""

    task: str
    run: int
    saved: str = ""
    percent: float = 0.0

    def to_message(self) -> RunningTask:
        """Convert to the message type of agent reports."""
        return RunningTask(self.task, self.run, self.saved, self.percent)


class FinishedEntry(Struct, array_like=True):
    """One ended run in the answer to a hold call."""

    number: int
    task: str
    run: int
    how: str
    saved: str = ""

    def to_message(self) -> FinishedTask:
        """Convert to the message type of agent reports."""
        return FinishedTask(self.number, self.task, self.run, self.how, self.saved)


class HoldAnswer(Struct, rename="camel"):
    """Answer to a hold call."""

    running: list[RunningEntry] = []
    finished: list[FinishedEntry] = []
