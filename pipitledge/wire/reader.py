"""Reads tables in the FlatBuffers format, from bytes that nobody vouches for.

Each offset is checked against the buffer. Each byte may be used once only (strings excepted, which may be shared),
so what is made of a buffer is never out of proportion to its length.
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
_MAX_CACHED_LAYOUTS = 256  # of each type; more than a sound peer makes use of

_Convert = Callable[["Reader", int], Any]


@dataclass(frozen=True, slots=True)
class _Layout:
    """Where the fields stand in tables that share a vtable."""

    size: int
    unpack_from: Callable[[bytes, int], tuple[Any, ...]]
    fields: tuple[tuple[int, int, _Convert | None], ...]  # (argument, offset, conversion), in the order unpacked
    absent_lists: tuple[int, ...]  # arguments


class TablePlan:
    """How one type is read."""

    def __init__(self, message_type: type[Struct], fields: tuple[FieldPlan, ...]) -> None:
        """A plan to read tables with those fields as that type."""
        self.message_type = message_type
        self.fields = fields
        self.defaults = [field.default for field in fields]
        self.conversions = [_conversion(field) for field in fields]
        self._layouts: dict[bytes, _Layout] = {}

    def layout(self, vtable: bytes, table_size: int) -> _Layout:
        """The layout that a vtable describes."""
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
        placed = []
        for index, offset in sorted(offsets.items(), key=lambda item: item[1]):
            field = self.fields[index]
            if offset < max(end, _REFERENCE_SIZE):
                raise WireError(f"{self.name}.{field.name}: fields overlap")
            code += f"{offset - end}x{field.code}"
            end = offset + field.size
            placed.append((index, offset, self.conversions[index]))
        if end > table_size:
            raise WireError(f"{self.name}: a field lies outside of its table")
        absent_lists = [index for index in range(len(self.fields)) if self._is_list(index) and index not in offsets]
        return _Layout(table_size, struct.Struct(code).unpack_from, tuple(placed), tuple(absent_lists))

    def _check_required(self, offsets: dict[int, int]) -> None:
        for index, field in enumerate(self.fields):
            if field.required and index not in offsets:
                raise WireError(f"{self.name}.{field.name}: missing")

    def _is_list(self, index: int) -> bool:
        return self.fields[index].kind in (FieldKind.STRINGS, FieldKind.TABLES)

    @property
    def name(self) -> str:
        """The type's name, for errors."""
        return self.message_type.__name__


@cache
def plan_of(message_type: type[Struct]) -> TablePlan:
    """How that type is read."""
    return TablePlan(message_type, fields_of(message_type))


class Reader:
    """One buffer being read."""

    def __init__(self, data: bytes) -> None:
        """A reader of that buffer."""
        self._data = data
        self._size = len(data)
        self._unread_bytes = len(data)  # bytes that may still be used
        self._strings: dict[int, str] = {}

    def root(self) -> int:
        """Position of the first table."""
        if self._size < _REFERENCE_SIZE:
            raise WireError("too short")
        (position,) = _UINT.unpack_from(self._data)
        return int(position)

    def table(self, position: int, plan: TablePlan) -> Struct:
        """The table at that position."""
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
        """The string at that position."""
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
        """The vector of bytes at that position."""
        first, end = self._vector(position, 1)
        return self._data[first:end]

    def string_vector(self, position: int) -> list[str]:
        """The vector of strings at that position."""
        return [self.string(target) for target in self._targets(position)]

    def table_vector(self, position: int, plan: TablePlan) -> list[Struct]:
        """The vector of tables at that position."""
        return [self.table(target, plan) for target in self._targets(position)]

    def _layout(self, position: int, plan: TablePlan) -> _Layout:
        data = self._data
        if position + _REFERENCE_SIZE > self._size:
            raise WireError(f"{plan.name}: lies outside of the buffer")
        vtable = position - _TABLE_HEADER.unpack_from(data, position)[0]
        if not 0 <= vtable <= self._size - _VTABLE_HEADER.size:
            raise WireError(f"{plan.name}: its vtable lies outside of the buffer")
        vtable_size, table_size = _VTABLE_HEADER.unpack_from(data, vtable)
        if vtable_size < _VTABLE_HEADER.size or vtable_size % 2 or vtable + vtable_size > self._size:
            raise WireError(f"{plan.name}: its vtable has an impossible size")
        if table_size < _REFERENCE_SIZE or position + table_size > self._size:
            raise WireError(f"{plan.name}: it has an impossible size")
        return plan.layout(data[vtable : vtable + vtable_size], table_size)

    def _targets(self, position: int) -> list[int]:
        """Where the references of a vector point."""
        first, end = self._vector(position, _REFERENCE_SIZE)
        count = (end - first) // _REFERENCE_SIZE
        references = struct.unpack_from(f"<{count}I", self._data, first)
        return [first + _REFERENCE_SIZE * index + reference for index, reference in enumerate(references)]

    def _vector(self, position: int, element_size: int) -> tuple[int, int]:
        """First and last position of a vector's elements."""
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
    """How the position that a reference points to becomes a field's value; None: the value stands in the table."""
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
