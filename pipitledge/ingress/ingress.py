"""Clients' calls: each is forwarded to the primary with a timeout, and answered according to the outcome."""

from __future__ import annotations

import re
from collections.abc import Callable
from http import HTTPStatus

from msgspec import Struct

from pipitledge.configuration.data_plane import DataPlane
from pipitledge.configuration.model import Configuration, Route
from pipitledge.configuration.primary import CallsPrimary
from pipitledge.ingress.local_admission import LocalAdmission, LocalDecision
from pipitledge.ingress.outcomes import Answer, client_answer, error_answer, is_success, unavailable
from pipitledge.ingress.readiness import Readiness
from pipitledge.membership.primary_caller import Outcome
from pipitledge.runtime.logs import EventLog
from pipitledge.wire.messages import CallKind, ClientCall

MAX_CALLS_IN_PROGRESS = 200  # with more, calls would wait longer than their clients do
DEFAULT_DEADLINE_MS = 3_000.0  # for clients that send no X-Deadline-Ms header

# A fail-over takes about 1.2 s, so a call with the longest timeout outlasts one. The timeout is only about a third of
# the client's deadline: after a timeout the client is answered at once and has time for two retries at other nodes.
PRIMARY_TIMEOUT_SHARE = 0.35
MAX_PRIMARY_TIMEOUT_SECONDS = 1.2

_JOB_ID = re.compile(r"[0-9a-fA-F]{16}")

Respond = Callable[[int, bytes, int], None]  # status, body, Retry-After in milliseconds (0: no header)


class _Call(Struct):
    """A client's call in progress."""

    kind: CallKind
    route: Route | None
    body: bytes
    respond: Respond
    local_decision: LocalDecision | None = None  # only of a job submission


class Ingress:
    """Handles clients' calls at this node."""

    def __init__(
        self,
        primary_caller: CallsPrimary,
        data_plane: DataPlane,
        admission: LocalAdmission,
        readiness: Readiness,
        my_name: str,
        log: EventLog,
    ) -> None:
        """Forward calls to `primary_caller` on behalf of the node `my_name`."""
        self._primary_caller = primary_caller
        self._data_plane = data_plane
        self._admission = admission
        self._readiness = readiness
        self._my_name = my_name
        self._log = log
        self._in_progress = 0
        self._on_finished: Callable[[], None] | None = None

    @property
    def in_progress(self) -> int:
        """Number of calls that wait for the primary."""
        return self._in_progress

    def stop(self, on_finished: Callable[[], None] | None = None) -> None:
        """Become unready; `on_finished` is called once no call is in progress. Calls that still arrive are served."""
        self._readiness.stop()
        self._on_finished = on_finished
        self._finish_if_idle()

    def client_call(
        self, method: str, host: str, path: str, body: bytes, deadline_ms: float | None, respond: Respond
    ) -> None:
        """Answer a client's call through `respond`, now or later; `deadline_ms` is the `X-Deadline-Ms` header."""
        path = path.partition("?")[0]
        kind = _kind(method, path)
        if isinstance(kind, Answer):
            _send(respond, kind)
            return
        configuration = self._data_plane.configuration
        if configuration is None:
            _send(respond, unavailable("this node is not configured yet"))
            return
        call = _Call(kind, configuration.match(host, path), body, respond)
        refusal = self._early_refusal(call, configuration) or self._local_refusal(call, path)
        if refusal is not None:
            _send(respond, refusal)
            return
        self._forward(call, host, path, _primary_timeout(deadline_ms))

    def _early_refusal(self, call: _Call, configuration: Configuration) -> Answer | None:
        """Return the refusal of a call that needn't be forwarded to the primary; None if it has to be."""
        if self._in_progress >= MAX_CALLS_IN_PROGRESS:
            self._log.warning("call_refused", reason="too many calls in progress", calls=self._in_progress)
            return unavailable("too many calls in progress")
        max_body_bytes = configuration.limits.max_body_bytes
        if 0 < max_body_bytes < len(call.body):
            return error_answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"the body is above {max_body_bytes} bytes")
        return None

    def _local_refusal(self, call: _Call, path: str) -> Answer | None:
        """Return the refusal of a submitted job that is certain not to be admitted; None for all other calls."""
        if call.kind is not CallKind.SUBMIT or call.route is None:
            return None
        call.local_decision = self._admission.evaluate(call.route, path[len(call.route.path_prefix) :], call.body)
        if not call.local_decision.refused:
            return None
        self._log.info("job_refused", route=call.route.name, weight=call.local_decision.weight)
        reason = "the queue may use no more slots"
        return error_answer(HTTPStatus.TOO_MANY_REQUESTS, reason, call.local_decision.retry_after_ms)

    def _forward(self, call: _Call, host: str, path: str, timeout: float) -> None:
        self._in_progress += 1
        request = ClientCall(call.kind, host, path, call.body, int(timeout * 1000), self._my_name)
        self._primary_caller.call(request, timeout, lambda outcome: self._on_outcome(call, outcome))

    def _on_outcome(self, call: _Call, outcome: Outcome) -> None:
        answer = client_answer(call.kind, outcome)
        if call.local_decision is not None and is_success(answer.status):
            self._admission.accepted(call.local_decision)
        self._in_progress -= 1
        _send(call.respond, answer)
        self._finish_if_idle()

    def _finish_if_idle(self) -> None:
        if self._readiness.stopping and self._in_progress == 0 and self._on_finished is not None:
            on_finished, self._on_finished = self._on_finished, None
            on_finished()


def _kind(method: str, path: str) -> CallKind | Answer:
    """Return the kind of a call, by its method and whether its path ends with a job ID, or the answer to a bad call."""
    has_job_id = _JOB_ID.fullmatch(path.rpartition("/")[2]) is not None
    if method == "GET":
        return CallKind.STATE if has_job_id else CallKind.COUNT
    if method not in ("POST", "DELETE"):
        return error_answer(HTTPStatus.METHOD_NOT_ALLOWED, f"{method} is not one of GET, POST, DELETE")
    if not has_job_id:
        return error_answer(HTTPStatus.BAD_REQUEST, "the path has to end with an ID of 16 hex digits")
    return CallKind.SUBMIT if method == "POST" else CallKind.CANCEL


def _primary_timeout(deadline_ms: float | None) -> float:
    """Return the timeout in seconds of the call to the primary."""
    deadline = deadline_ms if deadline_ms is not None and deadline_ms > 0 else DEFAULT_DEADLINE_MS
    return min(PRIMARY_TIMEOUT_SHARE * deadline / 1000.0, MAX_PRIMARY_TIMEOUT_SECONDS)


def _send(respond: Respond, answer: Answer) -> None:
    respond(answer.status, answer.body, answer.retry_after_ms)
