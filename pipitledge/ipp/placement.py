"""One print job at one printer, from Create-Job to the proof of what became of it. No socket, no clock.

A print job that a printer may have started is never sent again. What is known is a matter of three things: whether a
byte of the document went out, what the printer says of the job, and whether it is still the same start of the printer.

| phase | what comes | what is next |
| --- | --- | --- |
| CREATING | not connected, or broken before the request's last byte | never printed: the printer has heard nothing |
| | broken or silent after it | never printed: a job without a document prints nothing; it is called off later |
| | server-error-busy and its like | never printed, turned away |
| | any other error | rejected: the client's to mend, another printer would say the same |
| SENDING | broken or silent before a byte of the document | never printed, as above |
| | the printer has it | WATCHING |
| | broken, silent or an error after a byte of it | LOOKING: it may have begun |
| WATCHING, LOOKING | completed | printed |
| | canceled or aborted, with no impression made | never printed: the printer's own word |
| | canceled or aborted otherwise, or without that count | may have printed |
| | the document has not come whole (job-incoming) | CANCELLING, then look again |
| | unknown, on the same start | may have printed: it was there, and may be out of the printer's history |
| | another job has its id, or the printer started again | may have printed |
| | pending, held or processing | look again after a while |
| | no answer | no proof of anything: look again after a while |
| any | time is up | never printed if no byte of the document went out, else may have printed |
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from pipitledge.ipp.model import TOOK_NOTHING, JobState


class Phase(Enum):
    """Where a placement stands."""

    CREATING = "creating"
    SENDING = "sending"
    WATCHING = "watching"
    LOOKING = "looking"
    CANCELLING = "cancelling"
    OVER = "over"


class Verdict(Enum):
    """What became of it."""

    PRINTED = "printed"
    TURNED_AWAY = "turned-away"  # nothing was taken
    NOT_REACHED = "not-reached"  # nothing was heard
    UNPRINTED = "proved-unprinted"  # taken in part, and proved not to print
    MAY_HAVE_PRINTED = "may-have-printed"
    REJECTED = "rejected"  # an error that is the job's own


class Ask(Enum):
    """What the driver does next."""

    CREATE = "create"
    SEND = "send"
    LOOK = "look"  # Get-Job-Attributes
    CANCEL = "cancel"
    LOOK_LATER = "look-later"
    END = "end"


@dataclass(frozen=True, slots=True)
class Seen:
    """What a printer says of a job; absent values are None."""

    state: JobState
    name: str
    up_time: int  # job-printer-up-time: seconds since the printer's start
    impressions: int | None = None  # job-impressions-completed
    incoming: bool = False  # job-state-reasons holds job-incoming or job-data-insufficient


class Placement:
    """A placement. Each call tells one thing that happened and returns what to do next."""

    def __init__(self, name: str, reconciles: bool = True) -> None:
        """Use this job-name, ours and used once. Without reconciliation a break is not looked into."""
        self.name, self.reconciles = name, reconciles
        self.phase, self.verdict = Phase.CREATING, None if name else Verdict.REJECTED
        self.job_id = 0
        self.up_time = -1  # as last heard: it only grows within one start
        self.sent = False  # a byte of the document went out
        self.status = 0  # the printer's, where it rejected the job

    def begin(self) -> Ask:
        """Ask for the job to be made."""
        return Ask.CREATE

    def _end(self, verdict: Verdict) -> Ask:
        self.phase, self.verdict = Phase.OVER, verdict
        return Ask.END

    def _look(self) -> Ask:
        if not self.reconciles:
            return self._end(Verdict.MAY_HAVE_PRINTED)
        self.phase = Phase.LOOKING
        return Ask.LOOK

    def not_connected(self) -> Ask:
        """The connection was refused, never came up, or broke before the request's last byte."""
        if self.phase is Phase.CREATING:
            return self._end(Verdict.NOT_REACHED)
        return self.broke()

    def broke(self) -> Ask:
        """The connection broke after the request's last byte, or nothing came in time."""
        if self.phase is Phase.CREATING:
            return self._end(Verdict.UNPRINTED)
        if self.phase is Phase.SENDING:
            return self._look() if self.sent else self._end(Verdict.UNPRINTED)
        return Ask.LOOK_LATER

    def created(self, job_id: int, up_time: int) -> Ask:
        """The printer made the job."""
        self.job_id, self.up_time, self.phase = job_id, up_time, Phase.SENDING
        return Ask.SEND

    def refused(self, status: int) -> Ask:
        """An error came in answer to Create-Job or Send-Document."""
        self.status = status
        if self.phase is Phase.CREATING:
            return self._end(Verdict.TURNED_AWAY if status in TOOK_NOTHING else Verdict.REJECTED)
        return self._look() if self.sent else self._end(Verdict.UNPRINTED)

    def document_began(self) -> None:
        """The first byte of the document is about to go out: from here on it may print."""
        self.sent = True

    def taken(self) -> Ask:
        """The printer has the whole document."""
        self.phase = Phase.WATCHING
        return Ask.LOOK_LATER

    def cancelled(self, status: int) -> Ask:
        """An answer to Cancel-Job: whatever it is, the job's own state tells what came of it."""
        self.phase = Phase.LOOKING
        return Ask.LOOK

    def looked(self, seen: Seen | None) -> Ask:
        """The printer says what it knows of the job; None: it knows of none."""
        if self.phase is Phase.OVER:
            return Ask.END
        if seen is None or seen.up_time < self.up_time or seen.name != self.name:
            return self._end(Verdict.MAY_HAVE_PRINTED)
        self.up_time = seen.up_time
        if seen.state is JobState.COMPLETED:
            return self._end(Verdict.PRINTED)
        if seen.state in (JobState.CANCELED, JobState.ABORTED):
            return self._end(Verdict.UNPRINTED if seen.impressions == 0 else Verdict.MAY_HAVE_PRINTED)
        if seen.incoming and self.phase is Phase.LOOKING:
            self.phase = Phase.CANCELLING
            return Ask.CANCEL
        return Ask.LOOK_LATER

    def out_of_time(self) -> Ask:
        """The client's patience ends."""
        if self.phase is Phase.OVER:
            return Ask.END
        return self._end(Verdict.MAY_HAVE_PRINTED if self.sent else Verdict.UNPRINTED)

    @property
    def leaves_orphan(self) -> bool:
        """Whether the printer may hold a job of ours that will never get its document: to be cancelled there."""
        return self.phase is Phase.OVER and not self.sent and self.verdict is Verdict.UNPRINTED
