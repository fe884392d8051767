"""Names of IPP's operations, status codes and states (RFC 8011, sections 4, 5.3, 5.4 and appendix B)."""

from __future__ import annotations

from enum import IntEnum


class Op(IntEnum):
    """Operations (RFC 8011, 5.4.15)."""

    PRINT_JOB = 0x0002
    VALIDATE_JOB = 0x0004
    CREATE_JOB = 0x0005
    SEND_DOCUMENT = 0x0006
    CANCEL_JOB = 0x0008
    GET_JOB_ATTRIBUTES = 0x0009
    GET_JOBS = 0x000A
    GET_PRINTER_ATTRIBUTES = 0x000B


class Status(IntEnum):
    """Status codes (RFC 8011, appendix B)."""

    OK = 0x0000
    BAD_REQUEST = 0x0400
    NOT_POSSIBLE = 0x0404
    NOT_FOUND = 0x0406
    FORMAT_NOT_SUPPORTED = 0x040A
    INTERNAL_ERROR = 0x0500
    SERVICE_UNAVAILABLE = 0x0502
    TEMPORARY_ERROR = 0x0505
    NOT_ACCEPTING = 0x0506
    BUSY = 0x0507


# Said in answer to Create-Job or Print-Job, these mean that the printer took nothing: another may be asked.
TOOK_NOTHING = {Status.SERVICE_UNAVAILABLE, Status.TEMPORARY_ERROR, Status.NOT_ACCEPTING, Status.BUSY}


class JobState(IntEnum):
    """job-state (RFC 8011, 5.3.7)."""

    PENDING = 3
    HELD = 4
    PROCESSING = 5
    STOPPED = 6
    CANCELED = 7
    ABORTED = 8
    COMPLETED = 9


FINISHED = {JobState.CANCELED, JobState.ABORTED, JobState.COMPLETED}


class PrinterState(IntEnum):
    """printer-state (RFC 8011, 5.4.11)."""

    IDLE = 3
    PROCESSING = 4
    STOPPED = 5
