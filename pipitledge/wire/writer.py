"""Encodes tables in the FlatBuffers format.

Buffers are written front to back: a table, then the tables and vectors that it refers to, and at the end the strings,
each of them once. All scalars of a table are packed in one step. This makes the writer many times faster than the
builder of the `flatbuffers` package, which writes each field separately.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from functools import cache
from operator import attrgetter
from typing import Any

from msgspec import Struct

from pipitledge.wire.plan import FieldKind, FieldPlan, fields_of

_UINT = struct.Struct("<I")
_PADDING = tuple(bytes(count) for count in range(8))
_REFERENCE_SIZE = 4
_VTABLE_HEADER_SIZE = 4
# Size of numbers in bytes. Tables start 4 bytes before a multiple of this size: the numbers follow the 4 bytes of the
# vtable's offset, so they are aligned.
_NUMBER_SIZE = 8


@dataclass(frozen=True, slots=True)
class _Layout:
    """The positions of the fields in tables of one type in which the same reference fields are present."""

    vtable: bytes
    pack: Callable[..., bytes]  # arguments: offset of the vtable, *scalars
    references: tuple[int, ...]  # offsets in the table of the references that are present


class _TablePlan:
    """Describes how tables of one type are encoded, and caches their layouts."""

    def __init__(self, message_type: type[Struct]) -> None:
        self.fields = fields_of(message_type)
        self.numbers = [field for field in self.fields if field.kind is FieldKind.SCALAR and field.size > 1]
        self.flags = [field for field in self.fields if field.kind is FieldKind.SCALAR and field.size == 1]
        self.references = [field for field in self.fields if field.kind is not FieldKind.SCALAR]
        self.scalars = _values_getter([field.name for field in self.numbers + self.flags])
        self.writers = [(1 << bit, field.name, _writer(field)) for bit, field in enumerate(self.references)]
        self._layouts: dict[int, _Layout] = {}

    def layout(self, present: int) -> _Layout:
        """Return the layout of tables in which the references in the bit mask `present` are set."""
        found = self._layouts.get(present)
        if found is None:
            found = self._layouts[present] = self._make_layout(present)
        return found

    def _make_layout(self, present: int) -> _Layout:
        references = [field for bit, field in enumerate(self.references) if present & (1 << bit)]
        offsets: dict[str, int] = {}
        size = _REFERENCE_SIZE  # the table begins with the offset of its vtable
        for field in [*self.numbers, *references, *self.flags]:
            offsets[field.name] = size
            size += field.size
        slots = [offsets.get(field.name, 0) for field in self.fields]
        vtable = struct.pack(f"<{len(slots) + 2}H", _VTABLE_HEADER_SIZE + 2 * len(slots), size, *slots)
        numbers = "".join(field.code for field in self.numbers)
        flags = "".join(field.code for field in self.flags)
        packer = struct.Struct(f"<i{numbers}{_REFERENCE_SIZE * len(references)}x{flags}")
        return _Layout(vtable, packer.pack, tuple(offsets[field.name] for field in references))


@cache
def _plan(message_type: type[Struct]) -> _TablePlan:
    return _TablePlan(message_type)


def _values_getter(names: list[str]) -> Callable[[Struct], tuple[Any, ...]]:
    if not names:
        return lambda value: ()
    if len(names) == 1:
        return lambda value: (getattr(value, names[0]),)
    return attrgetter(*names)


class Writer:
    """Writes one buffer. A `slot` is the position of a reference, which is filled in when its target is written."""

    def __init__(self, header: bytes) -> None:
        """Start the buffer with the bytes of `header`."""
        self._out = bytearray(header)
        self._vtables: dict[bytes, int] = {}
        self._string_slots: dict[str, list[int]] = {}

    def finish(self) -> bytes:
        """Write the strings and return the buffer."""
        out = self._out
        for text, slots in self._string_slots.items():
            position = self._align()
            content = text.encode()
            out += _UINT.pack(len(content))
            out += content
            out += b"\0"
            for slot in slots:
                _UINT.pack_into(out, slot, position - slot)
        return bytes(out)

    def table(self, value: Struct, slot: int) -> None:
        """Write a table, and let the reference at `slot` point to it."""
        plan = _plan(type(value))
        present = 0
        contents = []
        for bit, name, write in plan.writers:
            content = getattr(value, name)
            if content:  # a Struct is always true; None and empty values are left out
                present |= bit
                contents.append((write, content))
        layout = plan.layout(present)
        vtable = self._vtable(layout.vtable)
        out = self._out
        out += _PADDING[(_REFERENCE_SIZE - len(out)) % _NUMBER_SIZE]
        position = len(out)
        out += layout.pack(position - vtable, *plan.scalars(value))
        _UINT.pack_into(out, slot, position - slot)
        for (write, content), offset in zip(contents, layout.references, strict=True):
            write(self, content, position + offset)

    def string(self, text: str, slot: int) -> None:
        """Record a reference to a string; `finish` writes each string once for all its references."""
        self._string_slots.setdefault(text, []).append(slot)

    def byte_vector(self, content: bytes, slot: int) -> None:
        """Write a vector of bytes."""
        _UINT.pack_into(self._out, slot, self._align() - slot)
        self._out += _UINT.pack(len(content))
        self._out += content

    def string_vector(self, texts: list[str], slot: int) -> None:
        """Write a vector of strings."""
        first = self._reference_vector(len(texts), slot)
        for index, text in enumerate(texts):
            self.string(text, first + _REFERENCE_SIZE * index)

    def table_vector(self, values: list[Struct], slot: int) -> None:
        """Write a vector of tables."""
        first = self._reference_vector(len(values), slot)
        for index, value in enumerate(values):
            self.table(value, first + _REFERENCE_SIZE * index)

    def _reference_vector(self, length: int, slot: int) -> int:
        """Write a vector of references that are filled in later; return the position of the first one."""
        position = self._align()
        _UINT.pack_into(self._out, slot, position - slot)
        self._out += _UINT.pack(length)
        self._out += bytes(_REFERENCE_SIZE * length)
        return position + _REFERENCE_SIZE

    def _vtable(self, vtable: bytes) -> int:
        position = self._vtables.get(vtable)
        if position is None:
            position = self._vtables[vtable] = self._align()
            self._out += vtable
        return position

    def _align(self) -> int:
        """Pad the buffer to the next multiple of 4 bytes; return its new length."""
        out = self._out
        out += _PADDING[-len(out) % _REFERENCE_SIZE]
        return len(out)


_ReferenceWriter = Callable[[Writer, Any, int], None]

_WRITERS: dict[FieldKind, _ReferenceWriter] = {
    FieldKind.STRING: Writer.string,
    FieldKind.BYTES: Writer.byte_vector,
    FieldKind.TABLE: Writer.table,
    FieldKind.STRINGS: Writer.string_vector,
    FieldKind.TABLES: Writer.table_vector,
}


def _writer(field: FieldPlan) -> _ReferenceWriter:
    return _WRITERS[field.kind]
