"""Calls to the worker: typed bodies out, typed answers in, and what every answer tells of the worker's life."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from msgspec import Struct

from pipitledge.agent.life import Life
from pipitledge.agent.worker_messages import AnswerBody
from pipitledge.runtime.ports import Clock, WorkerResponse, WorkerTransport

NO_ANSWER = 0
OK = 200
BAD_REQUEST = 400
CONFLICT = 409
OTHER_LIFE = 421


class WorkerReply(Struct):
    """How a call to the worker ended; after `NO_ANSWER` it may still be carried out, unless `refused`."""

    status: int
    reason: str = ""
    refused: bool = False  # no connection was made
    body: bytes = b""


class WorkerLine:
    """The way to the worker."""

    def __init__(self, clock: Clock, calls: WorkerTransport) -> None:
        """Call through the port `calls`."""
        self._clock = clock
        self._calls = calls

    def call(
        self,
        life: Life,
        path: str,
        body: Struct,
        timeout: float,
        on_reply: Callable[[WorkerReply], None],
        waits: bool = False,
    ) -> None:
        """Call that life of the worker; `on_reply` comes once, within `timeout` seconds.

        A call that `waits` is answered when something happens, and so tells nothing of how fast the worker answers.
        """
        sent_at = self._clock.now()

        def answered(answer: WorkerResponse) -> None:
            if answer.status != NO_ANSWER and not waits:
                life.answer_times.answered(self._clock.now() - sent_at)
            on_reply(self._take(life, sent_at, answer))

        self._calls.post(path, msgspec.json.encode(body), life.instance, timeout, answered)

    def _take(self, life: Life, sent_at: float, answer: WorkerResponse) -> WorkerReply:
        now = self._clock.now()
        if answer.status == NO_ANSWER:
            life.call_unanswered(sent_at, now, answer.refused)
            return WorkerReply(NO_ANSWER, refused=answer.refused)
        life.call_answered(now)
        if answer.status == OTHER_LIFE:
            life.denied = True
            return WorkerReply(OTHER_LIFE)
        told = _read_answer(answer.body)
        if told.clock_ms is not None:
            life.clock.note(told.clock_ms, now)
        return WorkerReply(answer.status, told.reason, body=answer.body)


def _read_answer(body: bytes) -> AnswerBody:
    """What every answer carries; nothing, if it can't be read."""
    try:
        return msgspec.json.decode(body, type=AnswerBody)
    except msgspec.DecodeError:
        return AnswerBody()
