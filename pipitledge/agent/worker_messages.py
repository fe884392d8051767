"""What a worker and its agent say to each other in JSON; PROTOCOL.md of the operators lays it down."""

from __future__ import annotations

from typing import Literal

from msgspec import Struct

from pipitledge.wire.messages import FinishedTask, RunningTask

START_PATH = "/pipitledge/run-start"
STOP_PATH = "/pipitledge/run-stop"
HOLD_PATH = "/pipitledge/hold"
MAX_ENDS_PER_ANSWER = 500  # a worker sends at most this many ends in one answer


class Capacity(Struct, rename="camel", frozen=True):
    """What a worker has for tasks."""

    cpu: int = 0
    memory_limit_mb: int = 0
    gpu: int = 0


class HeartbeatBody(Struct, rename="camel"):
    """A worker's account of itself; what is 0, false or empty may be left out."""

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
    """Order to stop one run of a task, or to make its start impossible."""

    task: str
    run_id: int
    fence_token: int


class HoldBody(Struct, rename="camel", omit_defaults=True):
    """Keep what runs until `deadline_ms` on the worker's clock, and tell what runs and what ended."""

    fence_token: int
    last_seen: int
    deadline_ms: int | None = None
    wait_ms: int = 0


class AnswerBody(Struct, rename="camel"):
    """What every answer of a worker carries."""

    clock_ms: float | None = None
    reason: str = ""


class RunningEntry(Struct, array_like=True):
    """One run that is there."""

    task: str
    run: int
    saved: str = ""
    percent: float = 0.0

    def typed(self) -> RunningTask:
        """The entry as agents report it."""
        return RunningTask(self.task, self.run, self.saved, self.percent)


class FinishedEntry(Struct, array_like=True):
    """One run that has ended."""

    number: int
    task: str
    run: int
    how: str
    saved: str = ""

    def typed(self) -> FinishedTask:
        """The entry as agents report it."""
        return FinishedTask(self.number, self.task, self.run, self.how, self.saved)


class HoldAnswer(Struct, rename="camel"):
    """Answer to a hold."""

    running: list[RunningEntry] = []
    finished: list[FinishedEntry] = []
