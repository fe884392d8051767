"""The `Disk` of a counted node: a thread of its own writes to the store, so that logic never waits for the disk.

Calls are queued. The thread takes all that is queued at a time, and writes appends that follow each other with one
sync (group commit). Order is kept. What the disk refuses is tried again until it succeeds; callbacks wait for that, so
nothing is acknowledged falsely.
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
    """A disk that has refused for long."""

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
    """Operations carried out as one; all but appends stand alone."""

    step: _OperationKind
    operations: list[_Operation]


class DiskWriter:
    """Queues what is to be kept, and writes it on its own thread."""

    def __init__(
        self,
        store: Store,
        deliver: DeliverCallback,
        on_refused: Callable[[DiskProblem], None],
        disk_mb: int = 0,
        pause: Callable[[float], None] = time.sleep,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Write to `store`, which is open.

        `deliver` is handed what is to be called; it may be called from any thread. `on_refused` is delivered once each
        time that the disk refuses for REFUSED_AFTER_SECONDS; the writer goes on trying.
        """
        self._store = store
        self._deliver = deliver
        self._on_refused = on_refused
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
        """Start the thread."""
        self._thread.start()

    def close(self, timeout: float) -> None:
        """Let the thread write what is queued, and end; wait for that no longer than `timeout` seconds."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        if self._thread.is_alive():
            self._thread.join(timeout)

    def write_epochs(self, record: bytes, on_durable: DurableCallback) -> None:
        """Replace the small record of promises."""
        self._enqueue(_Operation(_OperationKind.EPOCHS, record, on_durable))

    def append(self, record: bytes, on_durable: DurableCallback) -> None:
        """Add one entry to the log."""
        self._log_bytes += ENTRY_HEADER_BYTES + len(record)
        self._enqueue(_Operation(_OperationKind.APPEND, record, on_durable))

    def replace(self, snapshot: bytes, on_durable: DurableCallback) -> None:
        """Replace all state and empty the log, atomically."""
        self._log_bytes = 0
        self._enqueue(_Operation(_OperationKind.REPLACE, snapshot, on_durable))

    def wants_snapshot(self) -> bool:
        """Whether the log, with what is queued for it, has grown beyond its limit."""
        return self._log_bytes > self._log_limit

    def drain(self) -> None:
        """Write all that is queued, on the calling thread."""
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
        """Wait until something is queued; False if nothing is, and nothing will be."""
        with self._changed:
            while not self._queue and not self._closing:
                self._changed.wait()
            return bool(self._queue)

    def _write_until_durable(self, batch: _Batch) -> None:
        pause = INITIAL_BACKOFF_SECONDS
        refused_since: float | None = None
        reported = False
        while (problem := self._try_write(batch)) is not None:
            if refused_since is None:
                refused_since = self._now()
                self._log.error("disk_refuses", step=problem.step, reason=problem.reason)
            if not reported and self._now() - refused_since >= REPORT_FAILURE_AFTER_SECONDS:
                reported = True
                self._deliver(_FailureReport(self._on_refused, problem))
            self._pause(pause)
            pause = min(2 * pause, MAX_BACKOFF_SECONDS)
        if refused_since is not None:
            self._log.info("disk_accepts", step=batch.step.value, seconds=self._now() - refused_since)

    def _try_write(self, batch: _Batch) -> DiskProblem | None:
        """Carry the group out; why not, if the disk refuses."""
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
    """Stands in for the disk of a counted node that has none: everything is lost with the process."""

    def __init__(self, deliver: DeliverCallback) -> None:
        """Hand all callbacks to `deliver`."""
        self._deliver = deliver

    def write_epochs(self, record: bytes, on_durable: DurableCallback) -> None:
        """Keep nothing."""
        self._deliver(on_durable)

    def append(self, record: bytes, on_durable: DurableCallback) -> None:
        """Keep nothing."""
        self._deliver(on_durable)

    def replace(self, snapshot: bytes, on_durable: DurableCallback) -> None:
        """Keep nothing."""
        self._deliver(on_durable)

    def wants_snapshot(self) -> bool:
        """Never: there is no log."""
        return False


def open_store(
    store: Store,
    timeout: float,
    pause: Callable[[float], None] = time.sleep,
    now: Callable[[], float] = time.monotonic,
) -> RecoveredData | DiskProblem:
    """Open a store whose disk may refuse for a while; a problem after `patience` seconds of that."""
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
    """Tells of a disk that refuses."""

    def __init__(self, on_refused: Callable[[DiskProblem], None], problem: DiskProblem) -> None:
        self._on_refused = on_refused
        self._problem = problem

    def __call__(self) -> None:
        self._on_refused(self._problem)


def _batches(operations: list[_Operation]) -> list[_Batch]:
    """The operations in their order, appends that follow each other together."""
    batches: list[_Batch] = []
    for operation in operations:
        if batches and operation.step is _OperationKind.APPEND and batches[-1].step is _OperationKind.APPEND:
            batches[-1].operations.append(operation)
        else:
            batches.append(_Batch(operation.step, [operation]))
    return batches
