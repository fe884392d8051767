"""The primary's configuration service: accepts, stores and hands out the configuration.

Writes are pipelined: a change request builds on the change written last, committed or not. An answer that depends on a
write is sent only after that write is committed. A refusal is sent only while this node holds the primary's lease,
because another primary may have accepted the same request.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec
from msgspec import Struct

from pipitledge.configuration import checks
from pipitledge.configuration.checks import InvalidConfiguration, ParsedConfiguration
from pipitledge.configuration.datasets import (
    CONFIGURATION_ORIGIN,
    UsageSource,
    held_versions,
    usage_origin,
)
from pipitledge.configuration.model import Configuration
from pipitledge.configuration.transfer import TransferSource
from pipitledge.replication.interface import Replicator
from pipitledge.runtime.handlers import Handlers, Reply
from pipitledge.runtime.logs import EventLog
from pipitledge.wire.codec import decode_record, encode_record
from pipitledge.wire.messages import (
    ChangeRecord,
    ConfigurationRecord,
    NotPrimary,
    OperatorCall,
    OperatorReply,
    PullReply,
    PullRequest,
    Update,
    Write,
)

CONFIGURATION_KEY = "config"
CHANGE_PREFIX = "change/"
ORDER_DIGITS = 12  # in the key of a change record, so that the keys sort by order
# Accepted changes that are recognised if they are repeated; operators retry a request for seconds, not for days.
CHANGES_KEPT = 2_000
DIGEST_BYTES = 16

OK, BAD_REQUEST, NOT_FOUND, METHOD_NOT_ALLOWED = 200, 400, 404, 405
PRECONDITION_FAILED, TOO_LARGE = 412, 413

Listener = Callable[[Configuration], None]


class _Accepted(Struct):
    """JSON body of the answer to an accepted change."""

    version: int


class _Refusal(Struct):
    """JSON body of the answer to a refused request."""

    error: str


@dataclass
class _TermState:
    """The state of the service during one term of its node as primary."""

    written: ParsedConfiguration | None = None  # the configuration of the last write, committed or not
    committed: ParsedConfiguration | None = None
    transfers: TransferSource = field(default_factory=lambda: TransferSource(CONFIGURATION_ORIGIN))  # of `committed`
    changes: OrderedDict[str, ChangeRecord] = field(default_factory=OrderedDict)  # accepted, by digest, oldest first
    next_order: int = 1

    @property
    def version(self) -> int:
        """The version that the next change request has to name in If-Match; 0 if there is no configuration."""
        return self.written.version if self.written else 0


class ConfigurationService:
    """Handles operators' calls and answers pulls while its node is primary."""

    def __init__(self, replicator: Replicator, log: EventLog, usage: UsageSource | None = None) -> None:
        """Store the configuration in `replicator`; `usage` returns the scheduler's queue usage, see `publish_usage`."""
        self._replicator = replicator
        self._log = log
        self._usage = usage
        self._listeners: list[Listener] = []
        self._term_state: _TermState | None = None

    def register(self, handlers: Handlers) -> None:
        """Register the handlers of operators' calls and pulls."""
        handlers.on_call(OperatorCall, self.operator_call)
        handlers.on_call(PullRequest, self.pull)

    def on_change(self, listener: Listener) -> None:
        """Call `listener` with each configuration once it is committed, and with the stored one on activation."""
        self._listeners.append(listener)

    def publish_usage(self, usage: UsageSource) -> None:
        """Hand out the usage that `usage` returns; it is called at each pull, so it should be cheap if unchanged."""
        self._usage = usage

    def current(self) -> Configuration | None:
        """Return the last committed configuration; None if there is none or this node isn't primary."""
        committed = self._term_state.committed if self._term_state else None
        return committed.configuration if committed else None

    # ---- PrimaryService

    def activated(self, term: int, state: Mapping[str, bytes]) -> None:
        """Load the configuration and the accepted changes from the replicated state at the start of a term."""
        term_state = self._term_state = _TermState()
        records = [decode_record(value, ChangeRecord) for key, value in state.items() if key.startswith(CHANGE_PREFIX)]
        for record in sorted(records, key=lambda record: record.order):
            term_state.changes[record.digest] = record
            term_state.next_order = record.order + 1
        body = state.get(CONFIGURATION_KEY)
        if body is not None:
            parsed = checks.parse_accepted(decode_record(body, ConfigurationRecord).body)
            term_state.written = term_state.committed = parsed
            term_state.transfers.publish(parsed.version, parsed.body)
            self._notify_listeners(parsed)
        self._log.info("configuration_taken_over", term=term, version=term_state.version, changes=len(records))

    def deactivated(self) -> None:
        """Drop all state at the end of a term; requests that wait for a commit get no answer from this node."""
        self._term_state = None

    # ---- operators' calls

    def operator_call(self, call: OperatorCall, reply: Reply) -> None:
        """Handle one call of an operator."""
        term_state = self._active_term()
        if term_state is None:
            reply(NotPrimary(self._replicator.view))
        elif call.method == "GET":
            self._read(term_state, reply)
        elif call.method in ("PUT", "PATCH"):
            self._change(term_state, call, reply)
        else:
            reply(_refusal(METHOD_NOT_ALLOWED, f"{call.method} is not one of GET, PUT, PATCH"))

    def _read(self, term_state: _TermState, reply: Reply) -> None:
        written = term_state.written
        if written is None:
            self._reply_after_commit(term_state, reply, _refusal(NOT_FOUND, "there is no configuration yet"))
        else:
            self._reply_after_commit(term_state, reply, OperatorReply(OK, written.body))

    def _change(self, term_state: _TermState, call: OperatorCall, reply: Reply) -> None:
        digest = _digest(call)
        known_change = term_state.changes.get(digest)
        if known_change is not None:
            self._replicator.after_commit(lambda: reply(_acknowledgement(known_change.version)))
            return
        outcome = self._validate(term_state, call)
        if isinstance(outcome, OperatorReply):
            self._log.info("configuration_refused", status=outcome.status, reason=outcome.body.decode())
            self._reply_after_commit(term_state, reply, outcome)
            return
        self._write_change(term_state, call, digest, outcome, reply)

    def _validate(self, term_state: _TermState, call: OperatorCall) -> ParsedConfiguration | OperatorReply:
        """Return the configuration that results from the call, or the refusal."""
        if len(call.body) > checks.MAX_BODY_BYTES:
            return _refusal(TOO_LARGE, f"the body is above {checks.MAX_BODY_BYTES} bytes")
        base_version = checks.read_version(call.if_match)
        if base_version is None:
            return _refusal(BAD_REQUEST, "If-Match: must be a version")
        if base_version != term_state.version:
            return _refusal(PRECONDITION_FAILED, f"If-Match: {base_version} is not current, {term_state.version} is")
        if call.method == "PUT":
            checked = checks.check_full_configuration(call.body, term_state.version)
        else:
            checked = checks.check_change(call.body, term_state.written)
        if isinstance(checked, InvalidConfiguration):
            return _refusal(BAD_REQUEST, str(checked))
        return checked

    def _write_change(
        self, term_state: _TermState, call: OperatorCall, digest: str, parsed: ParsedConfiguration, reply: Reply
    ) -> None:
        """Write the change; once the write is committed, the change is in force and is acknowledged."""
        change = ChangeRecord(parsed.version, digest, term_state.next_order)
        writes = [
            Write(CONFIGURATION_KEY, encode_record(ConfigurationRecord(parsed.version, parsed.body))),
            Write(_change_key(change.order), encode_record(change)),
        ]
        term_state.written = parsed
        term_state.changes[digest] = change
        term_state.next_order += 1
        while len(term_state.changes) > CHANGES_KEPT:
            _, oldest = term_state.changes.popitem(last=False)
            writes.append(Write(_change_key(oldest.order), deleted=True))

        def committed() -> None:
            term_state.committed = parsed
            term_state.transfers.publish(parsed.version, parsed.body, call.body if call.method == "PATCH" else None)
            self._log.info(
                "configuration_committed",
                version=parsed.version,
                routes=len(parsed.configuration.routes),
                bytes=len(parsed.body),
            )
            self._notify_listeners(parsed)
            reply(_acknowledgement(parsed.version))

        self._replicator.write(writes, committed)

    def _reply_after_commit(self, term_state: _TermState, reply: Reply, answer: OperatorReply) -> None:
        """Send an answer once all earlier writes are committed, or `NotPrimary` if this node's term is over by then."""

        def send() -> None:
            primary = self._active_term() is term_state
            reply(answer if primary else NotPrimary(self._replicator.view))

        self._replicator.after_commit(send)

    # ---- pulls

    def pull(self, request: PullRequest, reply: Reply) -> None:
        """Answer a pull with the committed data that the node lacks."""
        term_state = self._active_term()
        if term_state is None:
            reply(NotPrimary(self._replicator.view))
            return
        held = held_versions(request.vector)
        updates = self._configuration_updates(term_state, held.get(CONFIGURATION_ORIGIN, 0), request)
        if self._usage is not None:
            version, payload = self._usage()
            origin = usage_origin(self._replicator.term)
            if version > held.get(origin, -1):
                updates.append(Update(origin, version, payload))
        reply(PullReply(self._replicator.term, updates, self._replicator.view))

    def _configuration_updates(self, term_state: _TermState, held: int, request: PullRequest) -> list[Update]:
        committed = term_state.committed
        if request.takes_pieces or committed is None:
            return term_state.transfers.updates(held, request.partial)
        return [Update(CONFIGURATION_ORIGIN, committed.version, committed.body)] if committed.version > held else []

    # ---- common

    def _active_term(self) -> _TermState | None:
        """Return the state of the current term if this node is the primary and holds its lease; otherwise None."""
        return self._term_state if self._replicator.is_primary() else None

    def _notify_listeners(self, parsed: ParsedConfiguration) -> None:
        for listener in self._listeners:
            listener(parsed.configuration)


def _acknowledgement(version: int) -> OperatorReply:
    return OperatorReply(OK, msgspec.json.encode(_Accepted(version)))


def _refusal(status: int, reason: str) -> OperatorReply:
    return OperatorReply(status, msgspec.json.encode(_Refusal(reason)))


def _change_key(order: int) -> str:
    return f"{CHANGE_PREFIX}{order:0{ORDER_DIGITS}d}"


def _digest(call: OperatorCall) -> str:
    """Return the digest of all parts of a change request, by which a repeated request is recognised."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (call.method.encode(), call.if_match.strip().encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
