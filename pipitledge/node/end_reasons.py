"""Every way in which a connection, or an execution on one, can end; and what the module is told of it."""

from __future__ import annotations

from enum import Enum

from pipitledge.decision.interface import Result


class EndReason(Enum):
    """One value for each way to end; the text is what logs and counters say."""

    # executions at a worker
    SERVED = "served"
    WORKER_FAILED = "worker-failed"  # a line 'failed', a 500, or any status we don't know
    HANDED_BACK = "handed-back"  # a line 'returned', or 503 or 504 with Not-Started
    JOB_LOST = "job-lost"  # a line 'lost'
    NO_ADDRESS = "no-address"
    NO_SOCKET = "no-socket"  # no descriptor left for it
    DIAL_REFUSED = "dial-refused"
    DIAL_TIMEOUT = "dial-timeout"
    BROKEN_BEFORE_SENT = "broken-before-sent"  # before the request's last byte was written
    BROKEN_AFTER_SENT = "broken-after-sent"
    BROKEN_ANSWER = "broken-answer"  # not HTTP, not JSON, or ended without a last line
    OUT_OF_TIME = "out-of-time"
    CALLED_OFF = "called-off"
    NEVER_SENT = "never-sent"  # its query was over or had no attempt left
    TAKEN_BACK = "taken-back"  # before its last byte was written: its query or its time was over, or the module said so
    OUR_FAULT = "our-fault"  # an exception of ours
    PROVED_UNPRINTED = "proved-unprinted"  # a printer took part of a job, and is known not to print it
    MAY_HAVE_PRINTED = "may-have-printed"  # a printer has it, or part of it, and there is no proof
    # idle links, probes
    IDLE_CLOSED = "idle-closed"
    STALE = "stale"
    # clients
    CLIENT_LEFT = "client-left"
    CLIENT_ASKED = "client-asked"  # Connection: close
    CLIENT_SLOW = "client-slow"
    BAD_REQUEST = "bad-request"
    SHED = "shed"
    STOPPING = "stopping"
    PASSED_ON = "passed-on"  # to the process that takes our place, with nothing under way
    # the watch on discovery
    WATCH_REFUSED = "watch-refused"
    WATCH_ENDED = "watch-ended"
    WATCH_SILENT = "watch-silent"
    WATCH_BROKEN = "watch-broken"
    WATCH_REPLACED = "watch-replaced"


# The one place where an execution's ending becomes the module's outcome. FULL, CONNECT_FAILED and MOOT
# promise that the job never ran, so only endings before the request's last byte may map to them, or those for
# which the worker itself has given the proof since.
RESULT_BY_END_REASON = {
    EndReason.SERVED: Result.OK,
    EndReason.WORKER_FAILED: Result.ERROR,
    EndReason.HANDED_BACK: Result.FULL,
    EndReason.JOB_LOST: Result.RESET,
    EndReason.NO_ADDRESS: Result.CONNECT_FAILED,
    EndReason.NO_SOCKET: Result.FULL,  # ours to run out of, and no failure of the worker
    EndReason.DIAL_REFUSED: Result.CONNECT_FAILED,
    EndReason.DIAL_TIMEOUT: Result.CONNECT_FAILED,
    EndReason.BROKEN_BEFORE_SENT: Result.CONNECT_FAILED,
    EndReason.BROKEN_AFTER_SENT: Result.RESET,
    EndReason.BROKEN_ANSWER: Result.RESET,
    EndReason.OUT_OF_TIME: Result.TIMEOUT,
    EndReason.CALLED_OFF: Result.CANCELLED,
    EndReason.NEVER_SENT: Result.MOOT,
    EndReason.TAKEN_BACK: Result.MOOT,
    EndReason.OUR_FAULT: Result.RESET,
    EndReason.PROVED_UNPRINTED: Result.CONNECT_FAILED,
    EndReason.MAY_HAVE_PRINTED: Result.RESET,
}
