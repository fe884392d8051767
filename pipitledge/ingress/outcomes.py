"""The answer to a client, depending on the outcome of the call to the primary.

429 and 503 tell the client that its request was not executed and never will be, so they are sent only if that is
certain. 504 means that the outcome is unknown: the client retries, and a repeated job ID doesn't create a second job.
"""

from __future__ import annotations

from http import HTTPStatus

import msgspec
from msgspec import Struct

from pipitledge.membership.primary_caller import Outcome
from pipitledge.wire.messages import CallKind, ClientReply

RETRY_AFTER_MS = 500  # about half the time of a fail-over; clients retry at other nodes

REFUSAL_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


class Answer(Struct, frozen=True):
    """An answer to a client or an operator."""

    status: int
    body: bytes = b""
    retry_after_ms: int = 0  # 0: no Retry-After header
    location: str = ""  # target URL of a redirect


class _Error(Struct):
    """JSON body of an error answer."""

    error: str


def error_answer(status: int, reason: str, retry_after_ms: int = 0) -> Answer:
    """Return an error answer with `reason` in its body."""
    return Answer(status, msgspec.json.encode(_Error(reason)), retry_after_ms)


def unavailable(reason: str) -> Answer:
    """Return a 503: certainly not executed, and worth a retry soon."""
    return error_answer(HTTPStatus.SERVICE_UNAVAILABLE, reason, RETRY_AFTER_MS)


def outcome_unknown(reason: str) -> Answer:
    """Return a 504: the request may have been executed, or may still be."""
    return error_answer(HTTPStatus.GATEWAY_TIMEOUT, reason)


def is_success(status: int) -> bool:
    """Return whether the request was executed."""
    return HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES


def client_answer(kind: CallKind, outcome: Outcome) -> Answer:
    """Return the answer to a client's call."""
    changes_state = kind in (CallKind.SUBMIT, CallKind.CANCEL)
    may_have_changed_state = changes_state and outcome.may_have_run
    reply = outcome.reply
    if not isinstance(reply, ClientReply):
        return (
            outcome_unknown("the primary gave no answer")
            if may_have_changed_state
            else unavailable("no primary answers")
        )
    if may_have_changed_state and _reports_not_executed(kind, reply.status):
        return outcome_unknown("refused, but an earlier attempt may have been executed")
    retry_after_ms = reply.retry_after_ms
    if reply.status in REFUSAL_STATUSES and retry_after_ms <= 0:
        retry_after_ms = RETRY_AFTER_MS
    return Answer(reply.status, reply.body, retry_after_ms)


def _reports_not_executed(kind: CallKind, status: int) -> bool:
    """Return whether `status` claims that nothing was executed, which may be wrong if an earlier attempt was."""
    if kind is CallKind.SUBMIT:
        return not is_success(status)
    return status in REFUSAL_STATUSES
