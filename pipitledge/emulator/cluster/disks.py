"""A machine's disk in virtual time: what is durable, what is only written, and what a failure leaves of it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pipitledge.emulator.cluster.virtual import Process, World

Action = Callable[[], None]

DEFAULT_SYNC = 0.002  # seconds a sync of the disk takes


@dataclass
class Recovered:
    """What a disk holds when a process starts; the same fields as storage gives."""

    epochs: bytes | None = None
    snapshot: bytes | None = None
    entries: list[bytes] = field(default_factory=list)
    fresh: bool = True


@dataclass
class _Operation:
    """One write to the disk that was asked for and is not known to be durable."""

    kind: str  # "epochs", "append" or "replace"
    record: bytes
    on_durable: Action
    due: float = 0.0


class DiskModel:
    """A machine's disk: what is durable, and what was written and not synced."""

    def __init__(self, world: World) -> None:
        """An empty disk."""
        self.world = world
        self.sync_seconds = DEFAULT_SYNC
        self.snapshot_after = 200  # entries in the log
        self.stalled = False
        self.formatted = False
        self.epochs: bytes | None = None
        self.snapshot: bytes | None = None
        self.log: list[bytes] = []
        self.pending: list[_Operation] = []
        self._last_due = 0.0

    def recover(self) -> Recovered:
        """What a process that starts now reads."""
        fresh = not self.formatted
        self.formatted = True
        return Recovered(self.epochs, self.snapshot, list(self.log), fresh)

    def submit(self, operation: _Operation) -> None:
        """Write, and sync; operations become durable in order."""
        self._last_due = max(self._last_due, self.world.time + self.sync_seconds)
        operation.due = self._last_due
        self.pending.append(operation)
        self.world.at(self._last_due, self._sync)

    def stall(self) -> None:
        """Let nothing become durable until `resume`."""
        self.stalled = True

    def resume(self) -> None:
        """End a stall."""
        self.stalled = False
        self.world.after(self.sync_seconds, self._sync)

    def _sync(self) -> None:
        while self.pending and not self.stalled and self.pending[0].due <= self.world.time:
            operation = self.pending.pop(0)
            self._apply(operation)
            operation.on_durable()

    def process_died(self) -> None:
        """Some first part of what was asked for had been written."""
        self._keep_some()

    def power_lost(self) -> None:
        """Of what was not synced, some first part of each file remains."""
        self._keep_some()

    def wipe(self) -> None:
        """Lose all."""
        self.pending.clear()
        self._last_due = 0.0
        self.formatted = False
        self.stalled = False
        self.epochs = None
        self.snapshot = None
        self.log = []

    def _keep_some(self) -> None:
        chance = self.world.random.choice((0.0, 0.5, 1.0))
        for kinds in (("epochs",), ("append", "replace")):
            for operation in self.pending:
                if operation.kind not in kinds:
                    continue
                if self.world.random.random() >= chance:
                    break
                self._apply(operation)
        self.pending.clear()
        self._last_due = 0.0
        self.stalled = False

    def _apply(self, operation: _Operation) -> None:
        if operation.kind == "epochs":
            self.epochs = operation.record
        elif operation.kind == "append":
            self.log.append(operation.record)
        else:
            self.snapshot = operation.record
            self.log = []


class VirtualDisk:
    """`Disk` of one process."""

    def __init__(self, process: Process) -> None:
        """The disk as `process` uses it."""
        self._process = process
        self._model = process.machine.disk
        self._appended = len(process.recovered.entries)

    def write_epochs(self, record: bytes, on_durable: Action) -> None:
        """Replace the record of promises."""
        self._submit("epochs", record, on_durable)

    def append(self, record: bytes, on_durable: Action) -> None:
        """Add one entry to the log."""
        self._appended += 1
        self._submit("append", record, on_durable)

    def replace(self, snapshot: bytes, on_durable: Action) -> None:
        """Replace all state and empty the log."""
        self._appended = 0
        self._submit("replace", snapshot, on_durable)

    def wants_snapshot(self) -> bool:
        """Whether the log has grown long."""
        return self._appended > self._model.snapshot_after

    def _submit(self, kind: str, record: bytes, on_durable: Action) -> None:
        deliver = self._process.deliver
        self._model.submit(_Operation(kind, record, lambda: deliver(on_durable, ordered=True)))
