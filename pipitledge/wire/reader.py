"""Decodes tables in the FlatBuffers format from untrusted bytes.

Each offset is checked against the size of the buffer. Each byte may be decoded only once, except for strings, which may
be shared. This keeps the memory taken by a decoded message in proportion to the length of the buffer.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from functools import cache
from typing import Any

from msgspec import Struct

from pipitledge.wire.plan import FieldKind, FieldPlan, WireError, fields_of

_UINT = struct.Struct("<I")
_TABLE_HEADER = struct.Struct("<i")
_VTABLE_HEADER = struct.Struct("<HH")
_REFERENCE_SIZE = 4
_MAX_CACHED_LAYOUTS = 256  # for each type; more than a correct peer uses, and a limit for a faulty one

_Convert = Callable[["Reader", int], Any]


@dataclass(frozen=True, slots=True)
class _Layout:
    """The positions of the fields in all tables with the same vtable."""

    size: int
    unpack_from: Callable[[bytes, int], tuple[Any, ...]]
    # (index of the argument, offset in the table, conversion), in the order of unpacking
    fields: tuple[tuple[int, int, _Convert | None], ...]
    absent_lists: tuple[int, ...]  # indices of the arguments that get a new empty list


class TablePlan:
    """Describes how tables of one type are decoded, and caches their layouts."""

    def __init__(self, message_type: type[Struct], fields: tuple[FieldPlan, ...]) -> None:
        """Prepare to decode tables with the given fields into instances of `message_type`."""
        self.message_type = message_type
        self.fields = fields
        self.defaults = [field.default for field in fields]
        self.conversions = [_conversion(field) for field in fields]
        self._layouts: dict[bytes, _Layout] = {}

    def layout(self, vtable: bytes, table_size: int) -> _Layout:
        """Return the layout that a vtable describes; raises WireError if it is invalid."""
        found = self._layouts.get(vtable)
        if found is None:
            found = self._make_layout(vtable, table_size)
            if len(self._layouts) < _MAX_CACHED_LAYOUTS:
                self._layouts[vtable] = found
        return found

    def _make_layout(self, vtable: bytes, table_size: int) -> _Layout:
        slots = struct.unpack(f"<{len(vtable) // 2}H", vtable)[2:]
        offsets = {index: offset for index, offset in enumerate(slots[: len(self.fields)]) if offset}
        self._check_required(offsets)
        code = "<"
        end = 0
        located = []
        for index, offset in sorted(offsets.items(), key=lambda item: item[1]):
            field = self.fields[index]
            if offset < max(end, _REFERENCE_SIZE):
                raise WireError(f"{self.name}.{field.name}: fields overlap")
            code += f"{offset - end}x{field.code}"
            end = offset + field.size
            located.append((index, offset, self.conversions[index]))
        if end > table_size:
            raise WireError(f"{self.name}: a field lies outside of its table")
        absent_lists = [index for index in range(len(self.fields)) if self._is_list(index) and index not in offsets]
        return _Layout(table_size, struct.Struct(code).unpack_from, tuple(located), tuple(absent_lists))

    def _check_required(self, offsets: dict[int, int]) -> None:
        for index, field in enumerate(self.fields):
            if field.required and index not in offsets:
                raise WireError(f"{self.name}.{field.name}: missing")

    def _is_list(self, index: int) -> bool:
        return self.fields[index].kind in (FieldKind.STRINGS, FieldKind.TABLES)

    @property
    def name(self) -> str:
        """Name of the message type, for error messages."""
        return self.message_type.__name__


@cache
def plan_of(message_type: type[Struct]) -> TablePlan:
    """Return the plan that decodes a message type; there is one for each type."""
    return TablePlan(message_type, fields_of(message_type))


class Reader:
    """Decodes the tables, strings and vectors of one buffer. Positions are offsets from its start."""

    def __init__(self, data: bytes) -> None:
        """Start with no bytes of `data` decoded."""
        self._data = data
        self._size = len(data)
        self._unread_bytes = len(data)  # counts down as tables and vectors are decoded; below 0, some of them overlap
        self._strings: dict[int, str] = {}

    def root(self) -> int:
        """Return the position of the root table."""
        if self._size < _REFERENCE_SIZE:
            raise WireError("too short")
        (position,) = _UINT.unpack_from(self._data)
        return int(position)

    def table(self, position: int, plan: TablePlan) -> Struct:
        """Decode the table at a position."""
        layout = self._layout(position, plan)
        self._consume(layout.size)
        values = layout.unpack_from(self._data, position)
        arguments = plan.defaults.copy()
        for (argument, offset, convert), value in zip(layout.fields, values, strict=True):
            arguments[argument] = value if convert is None else convert(self, position + offset + value)
        for argument in layout.absent_lists:
            arguments[argument] = []
        return plan.message_type(*arguments)

    def string(self, position: int) -> str:
        """Decode the string at a position; a shared string is decoded once."""
        known = self._strings.get(position)
        if known is not None:
            return known
        try:
            text = str(self.byte_vector(position), "utf-8")
        except UnicodeDecodeError as error:
            raise WireError(f"string at {position}: {error.reason}") from None
        self._strings[position] = text
        return text

    def byte_vector(self, position: int) -> bytes:
        """Decode the vector of bytes at a position."""
        first, end = self._vector(position, 1)
        return self._data[first:end]

    def string_vector(self, position: int) -> list[str]:
        """Decode the vector of strings at a position."""
        return [self.string(target) for target in self._targets(position)]

    def table_vector(self, position: int, plan: TablePlan) -> list[Struct]:
        """Decode the vector of tables at a position."""
        return [self.table(target, plan) for target in self._targets(position)]

    def _layout(self, position: int, plan: TablePlan) -> _Layout:
        data = self._data
        if position + _REFERENCE_SIZE > self._size:
            raise WireError(f"{plan.name}: the table lies outside of the buffer")
        vtable = position - _TABLE_HEADER.unpack_from(data, position)[0]
        if not 0 <= vtable <= self._size - _VTABLE_HEADER.size:
            raise WireError(f"{plan.name}: its vtable lies outside of the buffer")
        vtable_size, table_size = _VTABLE_HEADER.unpack_from(data, vtable)
        if vtable_size < _VTABLE_HEADER.size or vtable_size % 2 or vtable + vtable_size > self._size:
            raise WireError(f"{plan.name}: its vtable has an impossible size")
        if table_size < _REFERENCE_SIZE or position + table_size > self._size:
            raise WireError(f"{plan.name}: the table has an impossible size")
        return plan.layout(data[vtable : vtable + vtable_size], table_size)

    def _targets(self, position: int) -> list[int]:
        """Return the positions that the references of a vector point to."""
        first, end = self._vector(position, _REFERENCE_SIZE)
        count = (end - first) // _REFERENCE_SIZE
        references = struct.unpack_from(f"<{count}I", self._data, first)
        return [first + _REFERENCE_SIZE * index + reference for index, reference in enumerate(references)]

    def _vector(self, position: int, element_size: int) -> tuple[int, int]:
        """Return the start and the end position (exclusive) of a vector's elements."""
        first = position + _REFERENCE_SIZE
        if first > self._size:
            raise WireError(f"vector at {position}: lies outside of the buffer")
        end = first + _UINT.unpack_from(self._data, position)[0] * element_size
        if end > self._size:
            raise WireError(f"vector at {position}: is longer than the buffer")
        self._consume(end - position)
        return first, end

    def _consume(self, size: int) -> None:
        self._unread_bytes -= size
        if self._unread_bytes < 0:
            raise WireError("tables or vectors overlap")


def _conversion(field: FieldPlan) -> _Convert | None:
    """Return the function that decodes a field's value from its position; None if the value is inline in the table."""
    if field.kind is FieldKind.SCALAR:
        return None
    if field.kind is FieldKind.STRING:
        return Reader.string
    if field.kind is FieldKind.BYTES:
        return Reader.byte_vector
    if field.kind is FieldKind.STRINGS:
        return Reader.string_vector
    if field.kind is FieldKind.POSITION:
        return lambda reader, position: position
    assert field.table is not None
    plan = plan_of(field.table)
    if field.kind is FieldKind.TABLE:
        return lambda reader, position: reader.table(position, plan)
    return lambda reader, position: reader.table_vector(position, plan)
