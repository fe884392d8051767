"""Checks what operators saw of the configuration: one register that is changed by compare-and-set.

A history is a list of operations with the times at which each was sent and ended. The checks need nothing of the system
itself, so they serve for days in virtual time and for histories that were recorded elsewhere.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator
from itertools import pairwise

import msgspec
from msgspec import Struct


class Outcome(enum.Enum):
    """How a try ended."""

    ACKNOWLEDGED = "acknowledged"  # an order: 200
    REFUSED = "refused"  # an order: another version is current (412)
    INVALID = "invalid"  # an order: 400, or another status that says that it is wrong
    UNCLEAR = "unclear"  # no answer, or one that leaves it open
    READ = "read"  # a read: 200


class Operation(Struct, frozen=True):
    """One try of an order, or one read."""

    outcome: Outcome
    sent_at: float  # seconds, on one clock
    ended_at: float
    node: str = ""  # that was asked
    order: str = ""  # names an order by all that it says; equal for all its tries; empty for a read
    built_on: int = 0  # version in If-Match
    version: int = 0  # that the order brings, or that was read
    content: str = ""  # digest of the whole configuration that the order brings, or that was read
    valid: bool = True  # whether the order may be taken at all


class Finding(Struct, frozen=True):
    """Something that no register with compare-and-set shows."""

    what: str
    operations: tuple[Operation, ...]

    def __str__(self) -> str:
        """The finding as one line."""
        return f"{self.what}: {'; '.join(_told(operation) for operation in self.operations)}"


def read_history(data: bytes) -> list[Operation]:
    """The operations in lines of JSON; raises `msgspec.DecodeError` for anything else."""
    decoder = msgspec.json.Decoder(Operation)
    return decoder.decode_lines(data)


def check(operations: Iterable[Operation]) -> list[Finding]:
    """All that is wrong with a history."""
    history = list(operations)
    return [
        *_acknowledged_against_the_rules(history),
        *_refused_and_acknowledged(history),
        *_one_line_of_versions(history),
        *_reads_of_what_was_sent(history),
        *_reads_not_older(history),
        *_refusals_with_a_cause(history),
    ]


def _told(operation: Operation) -> str:
    what = f"order {operation.order[:8]} on {operation.built_on}" if operation.order else "read"
    span = f"[{operation.sent_at:.3f}, {operation.ended_at:.3f}]"
    return f"{what} {operation.outcome.value} {operation.version} at {operation.node} {span}"


def _with(history: list[Operation], outcome: Outcome) -> list[Operation]:
    return [operation for operation in history if operation.outcome is outcome]


def _acknowledged_against_the_rules(history: list[Operation]) -> Iterator[Finding]:
    for operation in _with(history, Outcome.ACKNOWLEDGED):
        if not operation.valid or operation.version <= operation.built_on:
            yield Finding("an order that may not be taken was acknowledged", (operation,))


def _refused_and_acknowledged(history: list[Operation]) -> Iterator[Finding]:
    acknowledged = {operation.order: operation for operation in _with(history, Outcome.ACKNOWLEDGED)}
    for operation in _with(history, Outcome.REFUSED):
        if operation.order in acknowledged:
            yield Finding("one order was acknowledged and refused", (acknowledged[operation.order], operation))


def _one_line_of_versions(history: list[Operation]) -> Iterator[Finding]:
    """Each acknowledged order builds on the one before it, or on something later."""
    firsts: dict[str, Operation] = {}
    for operation in _with(history, Outcome.ACKNOWLEDGED):
        firsts.setdefault(operation.order, operation)
    line = sorted(firsts.values(), key=lambda operation: operation.version)
    for earlier, later in pairwise(line):
        if earlier.version == later.version:
            yield Finding("two orders were acknowledged under one number", (earlier, later))
        elif later.built_on < earlier.version:
            yield Finding("an order was acknowledged on a version that was no longer current", (earlier, later))


def _reads_of_what_was_sent(history: list[Operation]) -> Iterator[Finding]:
    for read in _with(history, Outcome.READ):
        sent = [
            operation
            for operation in history
            if operation.order and operation.content == read.content and operation.sent_at < read.ended_at
        ]
        if not any(operation.valid and operation.version == read.version for operation in sent):
            yield Finding("something was read that nobody had sent", (read,))
        elif all(_never_taken(history, operation.order) for operation in sent):
            yield Finding("an order that was refused is in force", (read, sent[0]))


def _never_taken(history: list[Operation], order: str) -> bool:
    tries = [operation for operation in history if operation.order == order]
    return any(one.outcome in (Outcome.REFUSED, Outcome.INVALID) for one in tries)


def _reads_not_older(history: list[Operation]) -> Iterator[Finding]:
    """A read gives nothing older than what was acknowledged, or read, before it was sent."""
    known = sorted(
        (operation for operation in history if operation.outcome in (Outcome.ACKNOWLEDGED, Outcome.READ)),
        key=lambda operation: operation.ended_at,
    )
    newest: Operation | None = None
    position = 0
    for read in sorted(_with(history, Outcome.READ), key=lambda operation: operation.sent_at):
        while position < len(known) and known[position].ended_at < read.sent_at:
            if newest is None or known[position].version > newest.version:
                newest = known[position]
            position += 1
        if newest is not None and read.version < newest.version:
            yield Finding("an older version was read", (newest, read))


def _refusals_with_a_cause(history: list[Operation]) -> Iterator[Finding]:
    """Once an order was refused, the version on which it builds is current no more."""
    reads = _with(history, Outcome.READ)
    for refused in _with(history, Outcome.REFUSED):
        later = next((read for read in reads if read.sent_at > refused.ended_at), None)
        if refused.valid and later is not None and later.version == refused.built_on:
            yield Finding("an order on the current version was refused", (refused, later))
