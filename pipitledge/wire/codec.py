"""Turns messages and records into bytes and back, in the FlatBuffers format of ``schema.fbs``."""

from __future__ import annotations

import struct
from typing import TypeVar

from msgspec import Struct

from pipitledge.wire import messages
from pipitledge.wire.generated.Message import Message
from pipitledge.wire.plan import FieldKind, FieldPlan, WireError
from pipitledge.wire.reader import Reader, TablePlan, plan_of
from pipitledge.wire.writer import Writer

__all__ = ["WireError", "decode", "decode_record", "encode", "encode_record"]

Record = TypeVar("Record", bound=Struct)


class _Envelope(Struct):
    """Root of a message on the wire."""

    message_type: int
    message: int  # position of its table


_NO_MESSAGE = 0  # of the union
_MESSAGE_TYPES: dict[int, type[Struct]] = {
    number: getattr(messages, name)
    for name, number in vars(Message).items()
    if not name.startswith("_") and number != _NO_MESSAGE
}
_MESSAGE_NUMBERS = {message_type: number for number, message_type in _MESSAGE_TYPES.items()}

_ENVELOPE_PLAN = TablePlan(
    _Envelope,
    (
        FieldPlan("message_type", FieldKind.SCALAR, code="B", required=True),
        FieldPlan("message", FieldKind.POSITION, required=True),
    ),
)
# The envelope is alike for all messages: offset of the root, then the vtable, then the table.
_ENVELOPE = struct.Struct("<I HHHH iIB3x")
_ENVELOPE_VTABLE = 4
_ENVELOPE_TABLE = 12
_ENVELOPE_REFERENCE = 4  # in the table
_ENVELOPE_NUMBER = 8  # in the table
_ENVELOPE_HEADERS = {
    message_type: _ENVELOPE.pack(
        _ENVELOPE_TABLE,
        _ENVELOPE_TABLE - _ENVELOPE_VTABLE,
        _ENVELOPE.size - _ENVELOPE_TABLE,
        _ENVELOPE_NUMBER,
        _ENVELOPE_REFERENCE,
        _ENVELOPE_TABLE - _ENVELOPE_VTABLE,
        0,
        number,
    )
    for message_type, number in _MESSAGE_NUMBERS.items()
}
_RECORD_HEADER = bytes(4)


def encode(message: Struct) -> bytes:
    """A message in its envelope; its type has to be one of the schema's union `Message`."""
    head = _ENVELOPE_HEADERS.get(type(message))
    if head is None:
        raise WireError(f"{type(message).__name__} is not sent by itself")
    return _write(message, head, _ENVELOPE_TABLE + _ENVELOPE_REFERENCE)


def decode(data: bytes) -> Struct:
    """The message in an envelope; WireError for all that is none."""
    reader = Reader(data)
    envelope = reader.table(reader.root(), _ENVELOPE_PLAN)
    assert isinstance(envelope, _Envelope)
    message_type = _MESSAGE_TYPES.get(envelope.message_type)
    if message_type is None:
        raise WireError(f"message of unknown type {envelope.message_type}")
    return reader.table(envelope.message, plan_of(message_type))


def encode_record(record: Struct) -> bytes:
    """A record by itself, of a type that the reader knows."""
    return _write(record, _RECORD_HEADER, 0)


def decode_record(data: bytes, record_type: type[Record]) -> Record:
    """A record of that type; WireError for bytes that hold none."""
    reader = Reader(data)
    record = reader.table(reader.root(), plan_of(record_type))
    assert isinstance(record, record_type)
    return record


def _write(value: Struct, head: bytes, slot: int) -> bytes:
    writer = Writer(head)
    try:
        writer.table(value, slot)
        return writer.finish()
    except (struct.error, UnicodeEncodeError) as error:
        raise WireError(f"{type(value).__name__}: {error}") from error
