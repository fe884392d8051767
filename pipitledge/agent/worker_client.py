"""HTTP calls to the worker: encodes bodies, decodes answers, and updates the state of the worker instance from them."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from msgspec import Struct

from pipitledge.agent.worker_instance import WorkerInstance
from pipitledge.agent.worker_messages import AnswerBody
from pipitledge.runtime.ports import Clock, WorkerResponse, WorkerTransport

NO_ANSWER = 0
OK = 200
BAD_REQUEST = 400
CONFLICT = 409
WRONG_INSTANCE = 421


class WorkerReply(Struct):
    """The result of a call to the worker; after `NO_ANSWER` the worker may still execute it, unless `refused`."""

    status: int
    reason: str = ""
    refused: bool = False  # no connection was established, so the call did not reach the worker
    body: bytes = b""


class WorkerClient:
    """Calls the worker beside this agent."""

    def __init__(self, clock: Clock, calls: WorkerTransport) -> None:
        """`calls` is the port that makes the HTTP requests."""
        self._clock = clock
        self._calls = calls

    def call(
        self,
        worker: WorkerInstance,
        path: str,
        body: Struct,
        timeout: float,
        on_reply: Callable[[WorkerReply], None],
        waits: bool = False,
    ) -> None:
        """Call that worker instance; `on_reply` is called once, within `timeout` seconds.

        `waits` marks a long poll: the worker delays its answer, so its duration is no sample of the response time.
        """
        sent_at = self._clock.now()

        def answered(answer: WorkerResponse) -> None:
            if answer.status != NO_ANSWER and not waits:
                worker.response_times.answered(self._clock.now() - sent_at)
            on_reply(self._handle_answer(worker, sent_at, answer))

        self._calls.post(path, msgspec.json.encode(body), worker.instance, timeout, answered)

    def _handle_answer(self, worker: WorkerInstance, sent_at: float, answer: WorkerResponse) -> WorkerReply:
        now = self._clock.now()
        if answer.status == NO_ANSWER:
            worker.call_unanswered(sent_at, now, answer.refused)
            return WorkerReply(NO_ANSWER, refused=answer.refused)
        worker.call_answered(now)
        if answer.status == WRONG_INSTANCE:
            worker.replaced = True
            return WorkerReply(WRONG_INSTANCE)
        worker.confirmed = True
        common = _read_answer(answer.body)
        if common.clock_ms is not None:
            worker.clock.record_reading(common.clock_ms, now)
        return WorkerReply(answer.status, common.reason, body=answer.body)


def _read_answer(body: bytes) -> AnswerBody:
    """Decode the fields common to all answers; return the defaults if the body is malformed."""
    try:
        return msgspec.json.decode(body, type=AnswerBody)
    except msgspec.DecodeError:
        return AnswerBody()
