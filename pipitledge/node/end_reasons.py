"""Reasons for which connections and executions end, and the result that the policy receives for each."""

from __future__ import annotations

from enum import Enum

from pipitledge.decision.interface import Result


class EndReason(Enum):
    """Why a connection, an execution, a probe or a watch ended; the value is the word in logs and counters."""

    # executions on a worker
    SERVED = "served"
    WORKER_FAILED = "worker-failed"  # the worker reported 'failed', or answered with 500 or an unknown status
    HANDED_BACK = "handed-back"  # the worker reported 'returned', or answered with 503 or 504 and Not-Started
    JOB_LOST = "job-lost"  # the worker reported 'lost'
    NO_ADDRESS = "no-address"
    NO_SOCKET = "no-socket"  # no free descriptor for a connection
    DIAL_REFUSED = "dial-refused"
    DIAL_TIMEOUT = "dial-timeout"
    BROKEN_BEFORE_SENT = "broken-before-sent"  # before the request's last byte was written
    BROKEN_AFTER_SENT = "broken-after-sent"
    BROKEN_ANSWER = "broken-answer"  # not HTTP, not JSON, or no final state before the end
    OUT_OF_TIME = "out-of-time"
    CALLED_OFF = "called-off"
    NEVER_SENT = "never-sent"  # the query had ended, or had used all its attempts
    TAKEN_BACK = "taken-back"  # ended before the last byte of the request was written: cancelled, or out of time
    OUR_FAULT = "our-fault"  # an exception in this process
    PROVED_UNPRINTED = "proved-unprinted"  # a printer took part of the job, and is known not to print it
    MAY_HAVE_PRINTED = (
        "may-have-printed"  # a printer has all or part of the job, and nothing proves that it is not printed
    )
    # idle links, probes
    IDLE_CLOSED = "idle-closed"
    STALE = "stale"
    # client connections
    CLIENT_LEFT = "client-left"
    CLIENT_ASKED = "client-asked"  # the request had Connection: close
    CLIENT_SLOW = "client-slow"
    BAD_REQUEST = "bad-request"
    SHED = "shed"
    STOPPING = "stopping"
    PASSED_ON = "passed-on"  # handed over to this node's new process, with no request in progress
    # the watch on the worker list of discovery
    WATCH_REFUSED = "watch-refused"
    WATCH_ENDED = "watch-ended"
    WATCH_SILENT = "watch-silent"
    WATCH_BROKEN = "watch-broken"
    WATCH_REPLACED = "watch-replaced"


# Result that the policy receives for each reason; nothing else maps reasons to results. FULL, CONNECT_FAILED and
# NOT_SENT promise that the job never ran. So only reasons that apply before the request's last byte was written may map
# to them, or reasons for which the worker itself has proved that the job did not run.
RESULT_BY_END_REASON = {
    EndReason.SERVED: Result.OK,
    EndReason.WORKER_FAILED: Result.ERROR,
    EndReason.HANDED_BACK: Result.FULL,
    EndReason.JOB_LOST: Result.RESET,
    EndReason.NO_ADDRESS: Result.CONNECT_FAILED,
    EndReason.NO_SOCKET: Result.FULL,  # this process lacks descriptors; the worker has not failed
    EndReason.DIAL_REFUSED: Result.CONNECT_FAILED,
    EndReason.DIAL_TIMEOUT: Result.CONNECT_FAILED,
    EndReason.BROKEN_BEFORE_SENT: Result.CONNECT_FAILED,
    EndReason.BROKEN_AFTER_SENT: Result.RESET,
    EndReason.BROKEN_ANSWER: Result.RESET,
    EndReason.OUT_OF_TIME: Result.TIMEOUT,
    EndReason.CALLED_OFF: Result.CANCELLED,
    EndReason.NEVER_SENT: Result.NOT_SENT,
    EndReason.TAKEN_BACK: Result.NOT_SENT,
    EndReason.OUR_FAULT: Result.RESET,
    EndReason.PROVED_UNPRINTED: Result.CONNECT_FAILED,
    EndReason.MAY_HAVE_PRINTED: Result.RESET,
}
