"""Fakes of replication, of calls to the primary and of the log, for tests of configuration and ingress."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from msgspec import Struct

from pipitledge.membership.primary_caller import Outcome, OutcomeHandler
from pipitledge.runtime.handlers import Handlers
from pipitledge.runtime.logs import EventLog
from pipitledge.wire.codec import decode, encode
from pipitledge.wire.messages import NotPrimary, OperatorCall, OperatorReply, View, Write
from tests.system.virtual import VirtualClock, World

JsonObject = dict[str, Any]


class RecordingLog(EventLog):
    """A log that records its events."""

    def __init__(self) -> None:
        self.events: list[tuple[str, JsonObject]] = []

    def info(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))

    warning = info
    error = info


def clock_of(world: World) -> VirtualClock:
    """Return the clock of a machine in `world` that runs no program."""
    return world.machine("here").start(lambda process: None).clock


class ManualCommitReplicator:
    """Replicated state whose writes are committed by explicit calls of the test."""

    def __init__(self) -> None:
        self.term = 1
        self.view: View | None = View(epoch=1, term=1, primary="n1")
        self.holds_lease = True
        self.state: dict[str, bytes] = {}
        self.batches: list[list[Write]] = []
        self._queue: list[tuple[list[Write], Callable[[], None] | None]] = []

    def is_primary(self) -> bool:
        return self.holds_lease

    def write(self, writes: list[Write], on_committed: Callable[[], None] | None = None) -> None:
        self.batches.append(writes)
        self._queue.append((writes, on_committed))

    def after_commit(self, action: Callable[[], None]) -> None:
        if self._queue:
            self._queue.append(([], action))
        else:
            action()

    def commit_one(self) -> None:
        """Commit the oldest write, and run the actions that wait only for it."""
        self._run_first()
        while self._queue and not self._queue[0][0]:
            self._run_first()

    def commit(self) -> None:
        """Commit all writes."""
        while self._queue:
            self._run_first()

    def lose_writes(self) -> None:
        """Drop all uncommitted writes, as when another primary takes over without them."""
        self._queue.clear()

    def _run_first(self) -> None:
        writes, action = self._queue.pop(0)
        for write in writes:
            if write.deleted:
                del self.state[write.key]
            else:
                self.state[write.key] = write.value
        if action is not None:
            action()


class ScriptedCaller:
    """Calls to the primary that the test answers, or that `handlers` answer if given."""

    def __init__(self, handlers: Handlers | None = None) -> None:
        self.handlers = handlers
        self.requests: list[Struct] = []
        self.timeouts: list[float] = []
        self.waiting: list[OutcomeHandler] = []

    def call(self, request: Struct, timeout_s: float, on_done: OutcomeHandler) -> None:
        self.requests.append(request)
        self.timeouts.append(timeout_s)
        if self.handlers is None:
            self.waiting.append(on_done)
        else:
            self.handlers.call(decode(encode(request)), lambda reply: on_done(_outcome_of(reply)))

    def answer(self, reply: Struct | None, may_have_run: bool = False) -> None:
        """Answer the oldest call in progress."""
        self.waiting.pop(0)(Outcome(reply, may_have_run))


def _outcome_of(reply: Struct) -> Outcome:
    """Return the outcome that `PrimaryCaller` derives from an answer, after encoding and decoding it."""
    reply = decode(encode(reply))
    return Outcome() if isinstance(reply, NotPrimary) else Outcome(reply)


def route(number: int, **fields: object) -> JsonObject:
    """Return one route as operators write it."""
    defaults = {
        "name": f"r{number}",
        "host": "shop.example",
        "pathPrefix": f"/p{number}/",
        "type": "non_idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 2000,
        "priority": 0,
        "service": "s1",
        "maxAttempts": 2,
        "stretch": 1.5,
    }
    return defaults | fields


def service(name: str = "s1", **fields: object) -> JsonObject:
    """Return one service as operators write it."""
    return {"name": name, "healthPath": "/health", "maxConnections": 64, "tls": False, "preconditions": False} | fields


def full_configuration(version: object, *routes: JsonObject, **fields: object) -> bytes:
    """Return the JSON of a full configuration."""
    defaults: JsonObject = {"version": version, "routes": list(routes), "services": [service()], "limits": {}}
    return json.dumps(defaults | fields).encode()


def change(version: object, **fields: object) -> bytes:
    """Return the JSON of a change."""
    return json.dumps({"version": version} | fields).encode()


class Answers:
    """Sends operators' calls and collects the replies."""

    def __init__(self, send: Callable[[OperatorCall, Callable[[Struct], None]], None]) -> None:
        self._send = send
        self.replies: list[Struct] = []

    def put(self, body: bytes, if_match: str = "") -> Answers:
        self._send(OperatorCall("PUT", if_match, body), self.replies.append)
        return self

    def patch(self, body: bytes, if_match: str = "") -> Answers:
        self._send(OperatorCall("PATCH", if_match, body), self.replies.append)
        return self

    def get(self) -> Answers:
        self._send(OperatorCall("GET"), self.replies.append)
        return self

    @property
    def operator_replies(self) -> list[OperatorReply]:
        """The replies so far that were sent as primary."""
        return [reply for reply in self.replies if isinstance(reply, OperatorReply)]

    @property
    def statuses(self) -> list[int]:
        """The statuses of the replies so far; 0 for `NotPrimary`."""
        return [reply.status if isinstance(reply, OperatorReply) else 0 for reply in self.replies]

    @property
    def last(self) -> JsonObject:
        """The decoded JSON of the last reply."""
        reply = self.replies[-1]
        assert isinstance(reply, OperatorReply), reply
        decoded = json.loads(reply.body)
        assert isinstance(decoded, dict)
        return decoded
