"""Client calls: submit, state, cancel and count. An answer is sent after the state that it depends on is committed."""

from __future__ import annotations

from http import HTTPStatus

import msgspec
from msgspec import Struct

from pipitledge.configuration.model import Configuration, Route
from pipitledge.runtime.handlers import Reply
from pipitledge.scheduling.admission import Admission
from pipitledge.scheduling.context import Context
from pipitledge.scheduling.job import Rejection, Submission, is_job_id, parse_submission
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.tasks import Job
from pipitledge.wire.messages import CallKind, ClientCall, ClientReply, JobState, NotPrimary

UNCONFIGURED_RETRY_MS = 500  # clients retry after this while the node has no configuration
_STATE_NAMES = {JobState.COMPLETED: "completed", JobState.FAILED: "failed", JobState.CANCELLED: "cancelled"}


class Answer(Struct, frozen=True):
    """An answer to a client call, made from the current state."""

    reply: ClientReply
    waits_for_commit: bool = True  # it is sent once all changes made so far are committed
    valid_on_any_primary: bool = False  # once committed it stays true even if another node has become primary


class ClientCallHandler:
    """Answers the calls of clients."""

    def __init__(self, context: Context, lifecycle: Lifecycle, admission: Admission) -> None:
        """Work on the shared state."""
        self._context = context
        self._lifecycle = lifecycle
        self._admission = admission

    def handle(self, call: ClientCall, reply: Reply) -> None:
        """Answer one call, at once or when the state that the answer depends on is committed."""
        context = self._context
        if not context.active or not context.replicator.is_primary():
            reply(NotPrimary(view=context.replicator.view))
            return
        configuration = context.ports.configuration()
        if configuration is None:
            reply(ClientReply(status=HTTPStatus.SERVICE_UNAVAILABLE, retry_after_ms=UNCONFIGURED_RETRY_MS))
            return
        answer = self._answer(call, configuration)
        if answer.waits_for_commit:
            self._when_committed(answer, reply)
        else:
            reply(answer.reply)

    def _answer(self, call: ClientCall, configuration: Configuration) -> Answer:
        """Carry out a call and return its answer."""
        route = configuration.match(call.host, call.path)
        if route is None:
            return Answer(ClientReply(status=HTTPStatus.NOT_FOUND), waits_for_commit=False)
        suffix = call.path[len(route.path_prefix) :]
        if call.kind == CallKind.SUBMIT:
            return self._submit(route, suffix, call.body)
        if call.kind == CallKind.CANCEL:
            return self._cancel(suffix)
        if call.kind == CallKind.COUNT or not suffix:
            return self._count(route)
        return self._state(suffix)

    def _when_committed(self, answer: Answer, reply: Reply) -> None:
        """Send an answer after the commit.

        A submission or cancellation that is committed is acknowledged even by a node that has stepped down; other
        answers are replaced by a referral to the primary in that case.
        """
        replicator = self._context.replicator

        def send() -> None:
            still_valid = answer.valid_on_any_primary or replicator.is_primary()
            reply(answer.reply if still_valid else NotPrimary(view=replicator.view))

        self._context.batch.when_committed(send)

    # ---- the four calls

    def _submit(self, route: Route, job_id: str, body: bytes) -> Answer:
        context = self._context
        if job_id in context.jobs or job_id in context.ended_jobs:
            return Answer(ClientReply(status=HTTPStatus.OK), valid_on_any_primary=True)
        if not is_job_id(job_id):
            return _bad_request("the path does not end with 16 hex digits")
        submission = parse_submission(body)
        if isinstance(submission, Rejection):
            return _bad_request(str(submission))
        verdict = self._admission.decide(route, submission)
        if not verdict.admitted:
            context.log.info("job_refused", route=route.name, weight=verdict.weight)
            refusal = ClientReply(status=HTTPStatus.TOO_MANY_REQUESTS, retry_after_ms=verdict.retry_after_ms)
            return Answer(refusal, waits_for_commit=False)
        self._lifecycle.accept(self._new_job(route, job_id, submission, body, verdict.weight))
        return Answer(ClientReply(status=HTTPStatus.OK), valid_on_any_primary=True)

    def _new_job(self, route: Route, job_id: str, submission: Submission, body: bytes, weight: float) -> Job:
        context = self._context
        order = context.next_order
        context.next_order += 1
        return Job(
            id=job_id,
            route=route.name,
            service=route.service,
            submission=submission,
            body=body,
            accepted_wall_ms=context.ports.wall_ms(),
            order=order,
            accepted_at=context.clock.now(),
            admitted_route=route,
            weight=weight,
        )

    def _cancel(self, job_id: str) -> Answer:
        context = self._context
        job = context.jobs.get(job_id)
        if job is not None and job.open:
            self._lifecycle.cancel(job)
        known = job is not None or job_id in context.ended_jobs
        status = HTTPStatus.OK if known else HTTPStatus.GONE
        return Answer(ClientReply(status=status), valid_on_any_primary=known)

    def _state(self, job_id: str) -> Answer:
        context = self._context
        job = context.jobs.get(job_id)
        if job is not None and job.open:
            state_name = "running" if job.started else "pending"
        else:
            state = job.state if job is not None else context.ended_jobs.get(job_id)
            if state is None:
                return Answer(ClientReply(status=HTTPStatus.GONE))
            state_name = _STATE_NAMES[state]
        return Answer(_json(HTTPStatus.OK, {"state": state_name}))

    def _count(self, route: Route) -> Answer:
        pending = len(self._context.pending.get(route.name, ()))
        return Answer(_json(HTTPStatus.OK, {"pending": pending}))


def _bad_request(reason: str) -> Answer:
    return Answer(_json(HTTPStatus.BAD_REQUEST, {"error": reason}), waits_for_commit=False)


def _json(status: HTTPStatus, content: dict[str, str] | dict[str, int]) -> ClientReply:
    return ClientReply(status=status, body=msgspec.json.encode(content))
