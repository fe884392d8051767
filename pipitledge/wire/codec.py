"""Encodes and decodes messages and records in the FlatBuffers format of ``schema.fbs``."""

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
    """Root table of a message on the wire: the message's type and the position of its table."""

    message_type: int
    message: int  # position of the message's table in the buffer


_NO_MESSAGE = 0  # number that FlatBuffers reserves for an empty union
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
# The envelope has the same layout for all messages: offset of the root table, then its vtable, then the table.
# The following numbers are offsets in bytes.
_ENVELOPE = struct.Struct("<I HHHH iIB3x")
_ENVELOPE_VTABLE = 4
_ENVELOPE_TABLE = 12
_ENVELOPE_REFERENCE = 4  # of the reference to the message, in the table
_ENVELOPE_NUMBER = 8  # of the message type's number, in the table
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
    """Return the message encoded in an envelope; its type must be in the schema's union `Message`."""
    header = _ENVELOPE_HEADERS.get(type(message))
    if header is None:
        raise WireError(f"{type(message).__name__} is not in the union Message, so it can't be sent on its own")
    return _write(message, header, _ENVELOPE_TABLE + _ENVELOPE_REFERENCE)


def decode(data: bytes) -> Struct:
    """Return the message in an envelope; raises WireError if the data is malformed or the type unknown."""
    reader = Reader(data)
    envelope = reader.table(reader.root(), _ENVELOPE_PLAN)
    assert isinstance(envelope, _Envelope)
    message_type = _MESSAGE_TYPES.get(envelope.message_type)
    if message_type is None:
        raise WireError(f"message of unknown type {envelope.message_type}")
    return reader.table(envelope.message, plan_of(message_type))


def encode_record(record: Struct) -> bytes:
    """Return the record encoded without an envelope; the reader must know its type."""
    return _write(record, _RECORD_HEADER, 0)


def decode_record(data: bytes, record_type: type[Record]) -> Record:
    """Return the record of the given type; raises WireError if the data is malformed."""
    reader = Reader(data)
    record = reader.table(reader.root(), plan_of(record_type))
    assert isinstance(record, record_type)
    return record


def _write(value: Struct, header: bytes, slot: int) -> bytes:
    writer = Writer(header)
    try:
        writer.table(value, slot)
        return writer.finish()
    except (struct.error, UnicodeEncodeError) as error:
        raise WireError(f"{type(value).__name__}: {error}") from error
