"""The `Disk` of a voting member: a dedicated thread writes to the store, so that the logic never waits for the disk.

Operations are queued. The thread takes the whole queue at once and writes consecutive appends with a single sync
(group commit). Operations keep their order. A failed write is retried until it succeeds, and its callback is only
called then, so that no data is acknowledged before it is durable.
"""

from __future__ import annotations

import enum
import threading
import time
from collections.abc import Callable

from msgspec import Struct

from pipitledge.runtime import logs
from pipitledge.runtime.log_file import ENTRY_HEADER_BYTES
from pipitledge.runtime.storage import RecoveredData, Store, log_limit

INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.5
REPORT_FAILURE_AFTER_SECONDS = 5.0

DeliverCallback = Callable[[Callable[[], None]], None]
DurableCallback = Callable[[], None]


class DiskProblem(Struct, frozen=True):
    """A disk operation that fails: the name of the operation and the error."""

    step: str
    reason: str


class _OperationKind(enum.Enum):
    EPOCHS = "write_epochs"
    APPEND = "append"
    REPLACE = "replace"


class _Operation(Struct, frozen=True):
    step: _OperationKind
    data: bytes
    on_durable: DurableCallback


class _Batch(Struct, frozen=True):
    """Operations written together; only consecutive appends share a batch."""

    step: _OperationKind
    operations: list[_Operation]


class DiskWriter:
    """Queues disk operations and carries them out on its own thread."""

    def __init__(
        self,
        store: Store,
        deliver: DeliverCallback,
        on_failing: Callable[[DiskProblem], None],
        disk_mb: int = 0,
        pause: Callable[[float], None] = time.sleep,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Write to `store`, which must be open.

        `deliver` runs a callback and may be called from any thread. `on_failing` is delivered once for each series of
        failures that lasts REPORT_FAILURE_AFTER_SECONDS; the writer keeps retrying. `disk_mb` is the size of the disk
        (0: unknown).
        """
        self._store = store
        self._deliver = deliver
        self._on_failing = on_failing
        self._log_limit = log_limit(disk_mb)
        self._log_bytes = store.log_bytes
        self._pause = pause
        self._now = now
        self._log = logs.get("disk")
        self._changed = threading.Condition()
        self._queue: list[_Operation] = []
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)

    def start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    def close(self, timeout: float) -> None:
        """Let the thread write the queued operations and end; wait at most `timeout` seconds for that."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        if self._thread.is_alive():
            self._thread.join(timeout)

    def write_epochs(self, record: bytes, on_durable: DurableCallback) -> None:
        """Queue a replacement of the promise record."""
        self._enqueue(_Operation(_OperationKind.EPOCHS, record, on_durable))

    def append(self, record: bytes, on_durable: DurableCallback) -> None:
        """Queue one log entry."""
        self._log_bytes += ENTRY_HEADER_BYTES + len(record)
        self._enqueue(_Operation(_OperationKind.APPEND, record, on_durable))

    def replace(self, snapshot: bytes, on_durable: DurableCallback) -> None:
        """Queue an atomic replacement of all state by `snapshot`, which empties the log."""
        self._log_bytes = 0
        self._enqueue(_Operation(_OperationKind.REPLACE, snapshot, on_durable))

    def wants_snapshot(self) -> bool:
        """Return whether the log, including queued entries, has grown beyond its limit."""
        return self._log_bytes > self._log_limit

    def drain(self) -> None:
        """Carry out all queued operations on the calling thread."""
        for batch in _batches(self._take_queued()):
            self._write_until_durable(batch)
            for operation in batch.operations:
                self._deliver(operation.on_durable)

    def _enqueue(self, operation: _Operation) -> None:
        with self._changed:
            self._queue.append(operation)
            if len(self._queue) == 1:
                self._changed.notify()

    def _take_queued(self) -> list[_Operation]:
        with self._changed:
            taken = self._queue
            self._queue = []
            return taken

    def _run(self) -> None:
        while self._wait_for_work():
            self.drain()

    def _wait_for_work(self) -> bool:
        """Wait until an operation is queued; return False once the writer is closing and the queue is empty."""
        with self._changed:
            while not self._queue and not self._closing:
                self._changed.wait()
            return bool(self._queue)

    def _write_until_durable(self, batch: _Batch) -> None:
        pause = INITIAL_BACKOFF_SECONDS
        failing_since: float | None = None
        reported = False
        while (problem := self._try_write(batch)) is not None:
            if failing_since is None:
                failing_since = self._now()
                self._log.error("disk_refuses", step=problem.step, reason=problem.reason)
            if not reported and self._now() - failing_since >= REPORT_FAILURE_AFTER_SECONDS:
                reported = True
                self._deliver(_FailureReport(self._on_failing, problem))
            self._pause(pause)
            pause = min(2 * pause, MAX_BACKOFF_SECONDS)
        if failing_since is not None:
            self._log.info("disk_accepts", step=batch.step.value, seconds=self._now() - failing_since)

    def _try_write(self, batch: _Batch) -> DiskProblem | None:
        """Write the batch; return the problem if the disk reports an error."""
        try:
            self._write(batch)
        except OSError as error:
            return DiskProblem(batch.step.value, str(error))
        return None

    def _write(self, batch: _Batch) -> None:
        if batch.step is _OperationKind.APPEND:
            self._store.append([operation.data for operation in batch.operations])
        elif batch.step is _OperationKind.REPLACE:
            self._store.replace(batch.operations[0].data)
        else:
            self._store.write_epochs(batch.operations[0].data)


class MemoryDisk:
    """The `Disk` of a voting member without a data folder: all data is lost when the process ends."""

    def __init__(self, deliver: DeliverCallback) -> None:
        """Pass every callback to `deliver`, as if the data were durable."""
        self._deliver = deliver

    def write_epochs(self, record: bytes, on_durable: DurableCallback) -> None:
        """Discard the record and report it as durable."""
        self._deliver(on_durable)

    def append(self, record: bytes, on_durable: DurableCallback) -> None:
        """Discard the entry and report it as durable."""
        self._deliver(on_durable)

    def replace(self, snapshot: bytes, on_durable: DurableCallback) -> None:
        """Discard the snapshot and report it as durable."""
        self._deliver(on_durable)

    def wants_snapshot(self) -> bool:
        """Return False: there is no log."""
        return False


def open_store(
    store: Store,
    timeout: float,
    pause: Callable[[float], None] = time.sleep,
    now: Callable[[], float] = time.monotonic,
) -> RecoveredData | DiskProblem:
    """Open the store, retrying while the disk reports errors; return the problem after `timeout` seconds."""
    started = now()
    reported = False
    while True:
        try:
            return store.open()
        except OSError as error:
            problem = DiskProblem("open", str(error))
        if not reported:
            logs.get("disk").error("disk_refuses", step=problem.step, reason=problem.reason)
            reported = True
        if now() - started >= timeout:
            return problem
        pause(MAX_BACKOFF_SECONDS)


class _FailureReport:
    """A callback that reports a disk problem to `on_failing`."""

    def __init__(self, on_failing: Callable[[DiskProblem], None], problem: DiskProblem) -> None:
        self._on_failing = on_failing
        self._problem = problem

    def __call__(self) -> None:
        self._on_failing(self._problem)


def _batches(operations: list[_Operation]) -> list[_Batch]:
    """Split the operations into batches, in order; consecutive appends share a batch."""
    batches: list[_Batch] = []
    for operation in operations:
        if batches and operation.step is _OperationKind.APPEND and batches[-1].step is _OperationKind.APPEND:
            batches[-1].operations.append(operation)
        else:
            batches.append(_Batch(operation.step, [operation]))
    return batches
