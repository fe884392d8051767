"""Describes how each message type is encoded: its fields, and how FlatBuffers represents them."""

from __future__ import annotations

import enum
import struct
import types
import typing
from dataclasses import dataclass
from functools import cache

import msgspec
from msgspec import Struct

UNSIGNED_FIELDS = frozenset({"disk_id", "digest", "incarnation"})
"""Names of integer fields with random or hashed values of 64 bits: `ulong` in the schema, other integers are `long`."""

REFERENCE_CODE = "I"
"""Format (as in `struct`) of the offset by which a table refers to a string, a vector or another table."""


class WireError(Exception):
    """Raised for bytes that can't be decoded and for messages that can't be encoded; `reason` says why."""

    def __init__(self, reason: str) -> None:
        """Keep the reason, a sentence for logs and error messages."""
        super().__init__(reason)
        self.reason = reason


class FieldKind(enum.Enum):
    """How FlatBuffers represents a field."""

    SCALAR = enum.auto()
    STRING = enum.auto()
    BYTES = enum.auto()
    TABLE = enum.auto()
    STRINGS = enum.auto()
    TABLES = enum.auto()
    POSITION = enum.auto()  # a table whose type is not known yet; decoded to its position in the buffer


@dataclass(frozen=True, slots=True)
class FieldPlan:
    """The encoding of one field of a table."""

    name: str
    kind: FieldKind
    code: str = REFERENCE_CODE  # format, as in `struct`, of the field's inline part: the scalar itself or an offset
    table: type[Struct] | None = None  # type of the nested table, or of the elements of a vector of tables
    default: object = None
    required: bool = False

    @property
    def size(self) -> int:
        """Bytes of the field's inline part."""
        return struct.calcsize("<" + self.code)


@cache
def fields_of(message_type: type[Struct]) -> tuple[FieldPlan, ...]:
    """Return the encoding of a message type's fields, in the order of the schema."""
    return tuple(_plan_field(message_type, field) for field in msgspec.structs.fields(message_type))


def _plan_field(message_type: type[Struct], field: msgspec.structs.FieldInfo) -> FieldPlan:
    kind, code, table = _representation(field.name, field.type)
    default = None if field.default is msgspec.NODEFAULT else field.default
    if kind is not FieldKind.SCALAR and default:
        raise TypeError(
            f"{message_type.__name__}.{field.name}: only scalars may have a default other than empty or None"
        )
    return FieldPlan(field.name, kind, code, table, default, field.required)


def _representation(name: str, annotation: typing.Any) -> tuple[FieldKind, str, type[Struct] | None]:
    if annotation is bool:
        return FieldKind.SCALAR, "?", None
    if annotation is int:
        return FieldKind.SCALAR, "Q" if name in UNSIGNED_FIELDS else "q", None
    if annotation is float:
        return FieldKind.SCALAR, "d", None
    if annotation is str:
        return FieldKind.STRING, REFERENCE_CODE, None
    if annotation is bytes:
        return FieldKind.BYTES, REFERENCE_CODE, None
    if typing.get_origin(annotation) is list:
        element = typing.get_args(annotation)[0]
        if element is str:
            return FieldKind.STRINGS, REFERENCE_CODE, None
        return FieldKind.TABLES, REFERENCE_CODE, element
    return FieldKind.TABLE, REFERENCE_CODE, _table_type(annotation)


def _table_type(annotation: typing.Any) -> type[Struct]:
    choices = typing.get_args(annotation) if isinstance(annotation, types.UnionType) else (annotation,)
    (table,) = [choice for choice in choices if choice is not type(None)]
    if not issubclass(table, Struct):
        raise TypeError(f"no encoding for fields of type {annotation}")
    return typing.cast("type[Struct]", table)
