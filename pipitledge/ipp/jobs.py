"""The jobs that an IPP front has taken: states, what proves them, and what a restart makes of them. No I/O.

A record is written down before what it says is acted on: before a byte of a document goes to a printer, the record
says which printer and under which name, so that a node that was killed can ask there, and never sends blindly.

| from | to |
| --- | --- |
| PENDING (taken, not at a printer) | PROCESSING, CANCELED, ABORTED |
| HELD (Create-Job; its document has not come) | PENDING, CANCELED, ABORTED |
| PROCESSING (at a printer) | PENDING (proved unprinted there), COMPLETED, CANCELED, ABORTED |
| CANCELED, ABORTED, COMPLETED | nothing: a job has one final outcome |
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Protocol

from pipitledge.ipp.model import FINISHED, JobState

MOST_ID = 2**31 - 1
MOVES = {
    JobState.PENDING: {JobState.PROCESSING, JobState.CANCELED, JobState.ABORTED},
    JobState.HELD: {JobState.PENDING, JobState.CANCELED, JobState.ABORTED},
    JobState.PROCESSING: {JobState.PENDING, JobState.COMPLETED, JobState.CANCELED, JobState.ABORTED},
}
MAY_HAVE_PRINTED, NEVER_SENT = "job-may-have-printed", "job-never-sent"  # in job-state-reasons, ours


@dataclass(frozen=True, slots=True)
class PrintRecord:
    """One job as it is kept. Times are Unix seconds, 0 where it has not come to that."""

    id: int
    name: str  # job-name as its client gave it
    user: str
    state: JobState = JobState.PENDING
    reason: str = "none"
    message: str = ""
    taken_s: int = 0
    ended_s: int = 0
    printer: str = ""  # where it is, or was last
    there_id: int = 0  # its job-id at that printer; 0 until told
    there_name: str = ""  # the job-name that we set there: ours, and used once
    up_time: int = -1  # the printer's, when it gave the id
    sent: bool = False  # a byte of the document may have gone out

    @property
    def is_over(self) -> bool:
        """Whether it has its final outcome."""
        return self.state in FINISHED


class Store(Protocol):
    """Where records are kept. A record that `put` has returned for outlives a node that is killed, if the store can."""

    def put(self, record: PrintRecord) -> None:
        """Write a record down, in the place of an earlier one of its id."""

    def drop(self, ids: Iterable[int]) -> None:
        """Forget records."""

    def load(self) -> list[PrintRecord]:
        """All records, by id."""

    def highest(self) -> int:
        """The highest id that was ever given; 0 if that is not known."""


class Memory:
    """The store where there is no lasting disk: nothing outlives the process."""

    def __init__(self) -> None:
        """Begin empty."""
        self._records: dict[int, PrintRecord] = {}
        self._highest = 0

    def put(self, record: PrintRecord) -> None:
        """Keep a record."""
        self._records[record.id] = record
        self._highest = max(self._highest, record.id)

    def drop(self, ids: Iterable[int]) -> None:
        """Forget records."""
        for number in ids:
            self._records.pop(number, None)

    def load(self) -> list[PrintRecord]:
        """All records, by id."""
        return sorted(self._records.values(), key=lambda record: record.id)

    def highest(self) -> int:
        """The highest id."""
        return self._highest


class Moved(Exception):
    """A job is not in a state from which it can go there; the text says from where to where."""


class Jobs:
    """The records in use. Each change goes to the store first."""

    def __init__(self, store: Store, now_s: Callable[[], int], most_finished: int = 500) -> None:
        """Take over what the store holds; finished jobs beyond the most are forgotten, the oldest first."""
        self.store, self.now_s, self.most_finished = store, now_s, most_finished
        self.records = {record.id: record for record in store.load()}
        # Without a store that knows, ids go on from the time: a node that starts again gives no id a second time
        # unless it took more than a job a second all the time before.
        self._next = (store.highest() or min(now_s(), MOST_ID // 2 + 10**9)) % MOST_ID + 1
        self._finished = sorted(
            (record for record in self.records.values() if record.is_over),
            key=lambda record: (record.ended_s, record.id),
        )
        self._bound()

    def take(self, name: str, user: str, held: bool = False) -> PrintRecord:
        """Take a new job."""
        state = JobState.HELD if held else JobState.PENDING
        record = PrintRecord(self._next, name, user, state, taken_s=self.now_s())
        self._next = self._next % MOST_ID + 1
        return self._write(record)

    def move(
        self, number: int, state: JobState, reason: str = "none", message: str = "", **changes: object
    ) -> PrintRecord:
        """Bring a job into another state; Moved if it can't go there."""
        record = self.records[number]
        if state not in MOVES.get(record.state, ()):
            raise Moved(f"job {number} is {record.state.name.lower()}, not to be {state.name.lower()}")
        ended = self.now_s() if state in FINISHED else 0
        record = self._write(replace(record, state=state, reason=reason, message=message, ended_s=ended, **changes))  # type: ignore[arg-type]
        if record.is_over:
            self._finished.append(record)
            self._bound()
        return record

    def note(self, number: int, **changes: object) -> PrintRecord:
        """Write down what is known of a job that stays in its state."""
        record = self.records[number]
        if record.is_over:
            raise Moved(f"job {number} is over")
        return self._write(replace(record, **changes))  # type: ignore[arg-type]

    def _write(self, record: PrintRecord) -> PrintRecord:
        self.store.put(record)
        self.records[record.id] = record
        return record

    def _bound(self) -> None:
        over, self._finished = self._finished[: -self.most_finished], self._finished[-self.most_finished :]
        if over:
            self.store.drop(record.id for record in over)
            for record in over:
                del self.records[record.id]

    def recover(self) -> list[PrintRecord]:
        """After a start: end what was never sent, and return what has to be asked for at its printer.

        The documents are gone with the process, so that nothing can be sent again; what is left is to tell the truth.
        """
        to_ask = list[PrintRecord]()
        for record in [record for record in self.records.values() if not record.is_over]:
            if record.sent:
                to_ask.append(record)
            else:
                self.move(record.id, JobState.ABORTED, NEVER_SENT, "the node ended before it was sent to a printer")
        return to_ask
