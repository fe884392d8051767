"""Calls to a node's `controlPlane` address: operators' calls are forwarded to the primary, others are refused."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from pipitledge.configuration.checks import MAX_BODY_BYTES
from pipitledge.configuration.primary import CallsPrimary
from pipitledge.ingress.outcomes import Answer, error_answer, outcome_unknown, unavailable
from pipitledge.ingress.redirect import LargeAnswerRedirects
from pipitledge.membership.primary_caller import Outcome, transfer_time_s
from pipitledge.runtime.logs import EventLog
from pipitledge.runtime.ports import Clock
from pipitledge.wire.messages import OperatorCall, OperatorReply
from pipitledge.wire.paths import CONFIGURATION_PATH, INSTANCES_PREFIX

METHODS = ("GET", "PUT", "PATCH")
# Callers give up after one second without an answer (later if they sent a long body); the answer has to come earlier.
OPERATOR_CALL_TIMEOUT_SECONDS = 0.85
MAX_CALLS_IN_PROGRESS = 32  # operators have at most eight calls in progress

Respond = Callable[[int, bytes, str], None]  # status, body, Location of a redirect ("": no redirect)


class ControlPlaneApi:
    """Handles operators' calls at this node.

    A 4xx status makes the sender give up its request, so it is sent only by the primary, or if the call is invalid on
    any node. All other failures are 503 or 504, after which the sender retries.
    """

    def __init__(
        self,
        clock: Clock,
        primary_caller: CallsPrimary,
        log: EventLog,
        large_answer_redirects: LargeAnswerRedirects | None = None,
    ) -> None:
        """Forward calls to `primary_caller`; `large_answer_redirects` decides which reads are redirected to it."""
        self._clock = clock
        self._large_answer_redirects = large_answer_redirects
        self._primary_caller = primary_caller
        self._log = log
        self._in_progress = 0

    def call(self, method: str, path: str, if_match: str, body: bytes, respond: Respond) -> None:
        """Answer any call to the `controlPlane` address."""
        path_only = path.partition("?")[0]
        if path_only == CONFIGURATION_PATH:
            self.operator_call(method, if_match, body, respond)
        elif path_only.startswith(INSTANCES_PREFIX):
            _send(respond, unavailable("a worker's heartbeats are taken on its own machine only"))
        else:
            _send(respond, error_answer(HTTPStatus.NOT_FOUND, f"nothing is at {path_only}"))

    def operator_call(self, method: str, if_match: str, body: bytes, respond: Respond) -> None:
        """Answer one call of an operator through `respond`, immediately or later."""
        refusal = self._early_refusal(method, body)
        if refusal is not None:
            _send(respond, refusal)
            return
        self._in_progress += 1
        request = OperatorCall(method, if_match, body)
        sent_at = self._clock.now()
        timeout = OPERATOR_CALL_TIMEOUT_SECONDS + transfer_time_s(request)
        self._primary_caller.call(
            request, timeout, lambda outcome: self._on_outcome(request, sent_at, outcome, respond)
        )

    def _early_refusal(self, method: str, body: bytes) -> Answer | None:
        if method not in METHODS:
            return error_answer(HTTPStatus.METHOD_NOT_ALLOWED, f"{method} is not one of {', '.join(METHODS)}")
        if len(body) > MAX_BODY_BYTES:
            return error_answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"the body is above {MAX_BODY_BYTES} bytes")
        if self._in_progress >= MAX_CALLS_IN_PROGRESS:
            return unavailable("too many calls in progress")
        return None

    def _on_outcome(self, request: OperatorCall, sent_at: float, outcome: Outcome, respond: Respond) -> None:
        self._in_progress -= 1
        reply = outcome.reply
        if isinstance(reply, OperatorReply):
            answer = self._redirect_if_large(request, Answer(reply.status, reply.body))
        elif outcome.may_have_run and request.method != "GET":
            answer = outcome_unknown("the primary gave no answer")
        else:
            answer = unavailable("no primary answers")
        self._log.info(
            "operator_call",
            method=request.method,
            status=answer.status,
            bytes_in=len(request.body),
            bytes_out=len(answer.body),
            took_s=self._clock.now() - sent_at,
        )
        _send(respond, answer)

    def _redirect_if_large(self, request: OperatorCall, answer: Answer) -> Answer:
        """Return the answer, or a redirect to the primary if this machine's link would take too long to send it.

        Only reads are redirected: a change request has been executed by then, and its answer is short.
        """
        if self._large_answer_redirects is None or request.method != "GET":
            return answer
        location = self._large_answer_redirects.location(len(answer.body), CONFIGURATION_PATH)
        return Answer(HTTPStatus.TEMPORARY_REDIRECT, location=location) if location else answer


def _send(respond: Respond, answer: Answer) -> None:
    respond(answer.status, answer.body, answer.location)
