"""What a client is told, by how the call to the primary ended.

429 and 503 tell the client that its order was not carried out and never will be, so they are given only where that is
certain. 504 leaves it open: the client asks again, and the same ID stays one job.
"""

from __future__ import annotations

from http import HTTPStatus

import msgspec
from msgspec import Struct

from pipitledge.membership.primary_caller import Outcome
from pipitledge.wire.messages import CallKind, ClientReply

RETRY_AFTER_MS = 500  # a fail-over takes about twice that; a client's other tries reach other nodes

REFUSAL_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


class Answer(Struct, frozen=True):
    """An answer to a client or an operator."""

    status: int
    body: bytes = b""
    retry_after_ms: int = 0  # 0: not told
    location: str = ""  # with a redirect: where to call instead


class _Error(Struct):
    """The body of an answer that is no success."""

    error: str


def error_answer(status: int, reason: str, retry_after_ms: int = 0) -> Answer:
    """An answer that tells what is wrong."""
    return Answer(status, msgspec.json.encode(_Error(reason)), retry_after_ms)


def unavailable(reason: str) -> Answer:
    """503: not carried out for certain, worth another try soon."""
    return error_answer(HTTPStatus.SERVICE_UNAVAILABLE, reason, RETRY_AFTER_MS)


def outcome_unknown(reason: str) -> Answer:
    """504: it may have been carried out, or may be later."""
    return error_answer(HTTPStatus.GATEWAY_TIMEOUT, reason)


def is_success(status: int) -> bool:
    """Whether the order was carried out."""
    return HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES


def client_answer(kind: CallKind, outcome: Outcome) -> Answer:
    """The answer to a client's call."""
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
        return outcome_unknown("refused, but an earlier attempt may have been carried out")
    retry_after_ms = reply.retry_after_ms
    if reply.status in REFUSAL_STATUSES and retry_after_ms <= 0:
        retry_after_ms = RETRY_AFTER_MS
    return Answer(reply.status, reply.body, retry_after_ms)


def _reports_not_executed(kind: CallKind, status: int) -> bool:
    """Whether that status says that nothing was done, which an earlier attempt may belie."""
    if kind is CallKind.SUBMIT:
        return not is_success(status)
    return status in REFUSAL_STATUSES
