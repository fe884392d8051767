"""Tests of the internal protocol: Structs, schema and generated code agree, and malformed bytes are decoded safely."""

from __future__ import annotations

import importlib
import inspect
import random
import re
import struct
import typing
import unittest
from pathlib import Path
from typing import Any

import flatbuffers
import msgspec
from msgspec import Struct

from pipitledge.wire import messages
from pipitledge.wire.codec import WireError, decode, decode_record, encode, encode_record
from pipitledge.wire.generated.Message import Message
from pipitledge.wire.plan import UNSIGNED_FIELDS, FieldKind, FieldPlan, fields_of

SEED = 20
SAMPLES_PER_TYPE = 30
MUTATIONS_PER_MESSAGE = 300
SCHEMA = Path(messages.__file__).with_name("schema.fbs").read_text()
STRUCTS: list[type[Struct]] = [
    value for _, value in inspect.getmembers(messages, inspect.isclass) if issubclass(value, Struct) and value != Struct
]
UNION_TYPES = [value for value in STRUCTS if hasattr(Message, value.__name__)]
TEXTS = ["", "a", "x-4711.0.1.2", "Århus", "日本", "🖨" * 40]


def camel_case(name: str) -> str:
    return "".join(part.capitalize() for part in name.split("_"))


def generated(message_type: type[Struct]) -> Any:
    module = importlib.import_module(f"pipitledge.wire.generated.{message_type.__name__}")
    return getattr(module, message_type.__name__)


class RandomMessageGenerator:
    """Generates messages with random field values, reproducible from a seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)

    def message(self, message_type: type[Struct]) -> Any:
        return message_type(**{field.name: self.field(field) for field in fields_of(message_type)})

    def field(self, field: FieldPlan) -> Any:
        if field.kind is FieldKind.SCALAR:
            return self.scalar(field.code)
        if field.kind is FieldKind.STRING:
            return self.random.choice(TEXTS)
        if field.kind is FieldKind.BYTES:
            return self.random.randbytes(self.random.choice([0, 1, 3, 4, 100]))
        if field.kind is FieldKind.STRINGS:
            return [self.random.choice(TEXTS) for _ in range(self.random.randrange(4))]
        assert field.table is not None
        if field.kind is FieldKind.TABLES:
            return [self.message(field.table) for _ in range(self.random.randrange(4))]
        return self.message(field.table) if field.required or self.random.random() < 0.7 else None

    def scalar(self, code: str) -> bool | int | float:
        if code == "?":
            return self.random.random() < 0.5
        if code == "d":
            return self.random.choice([0.0, -1.5, 1e300, self.random.random()])
        lowest, highest = (0, 2**64 - 1) if code == "Q" else (-(2**63), 2**63 - 1)
        return self.random.choice([0, 1, lowest, highest, self.random.randint(lowest, highest)])


def random_messages(types: list[type[Struct]], count: int = SAMPLES_PER_TYPE) -> list[Any]:
    generator = RandomMessageGenerator(SEED)
    return [generator.message(message_type) for message_type in types for _ in range(count)]


class SchemaAgreement(unittest.TestCase):
    def schema_type(self, name: str, annotation: Any) -> str:
        plain = {bool: "bool", float: "double", str: "string", bytes: "[ubyte]"}
        if annotation is int:
            return "ulong" if name in UNSIGNED_FIELDS else "long"
        if annotation in plain:
            return plain[annotation]
        if typing.get_origin(annotation) is list:
            return f"[{self.schema_type(name, typing.get_args(annotation)[0])}]"
        if typing.get_args(annotation):
            annotation = typing.get_args(annotation)[0]
        return str(annotation.__name__)

    def test_each_schema_table_matches_its_struct(self) -> None:
        tables = dict(re.findall(r"^table (\w+) \{\n(.*?)^\}", SCHEMA, re.MULTILINE | re.DOTALL))
        del tables["Envelope"]
        self.assertEqual(sorted(tables), sorted(value.__name__ for value in STRUCTS))
        for value in STRUCTS:
            expected = [
                (field.name, self.schema_type(field.name, field.type)) for field in msgspec.structs.fields(value)
            ]
            self.assertEqual(re.findall(r"^  (\w+):(\S+?)[; ]", tables[value.__name__], re.MULTILINE), expected)

    def test_generated_union_matches_the_schema(self) -> None:
        union = re.search(r"^union Message \{(.*?)\}", SCHEMA, re.MULTILINE | re.DOTALL)
        assert union is not None
        names = re.findall(r"\w+", union.group(1))
        self.assertEqual([getattr(Message, name) for name in names], list(range(1, len(names) + 1)))
        self.assertEqual(sorted(names), sorted(value.__name__ for value in UNION_TYPES))

    def test_generated_code_reads_what_the_codec_wrote(self) -> None:
        for value in random_messages(STRUCTS):
            table = generated(type(value)).GetRootAs(encode_record(value))
            self.assert_same(value, table)

    def test_generated_code_has_the_same_defaults(self) -> None:
        for value in STRUCTS:
            builder = flatbuffers.Builder(0)
            builder.StartObject(0)
            builder.Finish(builder.EndObject())
            table = generated(value).GetRootAs(bytes(builder.Output()))
            for field in fields_of(value):
                if field.kind is FieldKind.SCALAR:
                    self.assertEqual(getattr(table, camel_case(field.name))(), field.default, (value, field.name))

    def test_numbers_lie_at_multiples_of_their_size(self) -> None:
        for value in random_messages([messages.View, messages.AgentReport]):
            data = encode_record(value)
            (position,) = struct.unpack_from("<I", data)
            self.assertEqual(position % 8, 4, "numbers start 4 bytes after the table's position, at a multiple of 8")

    def assert_same(self, value: Any, table: Any) -> None:
        for field in fields_of(type(value)):
            expected = getattr(value, field.name)
            accessor = camel_case(field.name)
            read = getattr(table, accessor)
            if field.kind is FieldKind.SCALAR:
                self.assertEqual(read(), expected)
            elif field.kind is FieldKind.STRING:
                self.assertEqual((read() or b"").decode(), expected)
            elif field.kind is FieldKind.TABLE:
                self.assertEqual(read() is None, expected is None)
                if expected is not None:
                    self.assert_same(expected, read())
            else:
                self.assertEqual(getattr(table, accessor + "Length")(), len(expected))
                self.assert_same_elements(field, expected, [read(index) for index in range(len(expected))])

    def assert_same_elements(self, field: FieldPlan, expected: Any, elements: list[Any]) -> None:
        if field.kind is FieldKind.BYTES:
            self.assertEqual(bytes(elements), expected)
        elif field.kind is FieldKind.STRINGS:
            self.assertEqual([element.decode() for element in elements], expected)
        else:
            for value, element in zip(expected, elements, strict=True):
                self.assert_same(value, element)


class RoundTrip(unittest.TestCase):
    def test_every_message_type(self) -> None:
        for value in random_messages(UNION_TYPES):
            self.assertEqual(decode(encode(value)), value)

    def test_every_struct_as_a_record(self) -> None:
        for value in random_messages(STRUCTS):
            self.assertEqual(decode_record(encode_record(value), type(value)), value)

    def test_bool_and_int_keep_their_types(self) -> None:
        read = decode(encode(messages.HeartbeatReply(amnesiac=True, sequence=1)))
        assert isinstance(read, messages.HeartbeatReply)
        self.assertIs(read.amnesiac, True)
        self.assertIs(type(read.sequence), int)

    def test_defaults_survive_a_round_trip(self) -> None:
        for value in UNION_TYPES:
            if not any(field.required for field in fields_of(value)):
                self.assertEqual(decode(encode(value())), value())
        report = decode(encode(messages.AgentReport(worker=messages.WorkerInfo())))
        assert isinstance(report, messages.AgentReport) and report.worker is not None
        self.assertEqual((report.hold_age_ms, report.worker.remaining_ms), (-1, -1))

    def test_absent_lists_are_not_shared(self) -> None:
        data = encode(messages.AgentOrders())
        first, second = decode(data), decode(data)
        assert isinstance(first, messages.AgentOrders) and isinstance(second, messages.AgentOrders)
        first.starts.append(messages.StartOrder())
        self.assertEqual(second.starts, [])

    def test_tables_written_by_the_flatbuffers_builder_are_read(self) -> None:
        """The builder omits defaults and writes back to front, so its layouts differ from those of the codec."""
        member = importlib.import_module("pipitledge.wire.generated.Member")
        builder = flatbuffers.Builder(0)
        name = builder.CreateString("edge-1")
        member.Start(builder)
        member.AddDiskId(builder, 2**64 - 1)
        member.AddName(builder, name)
        builder.Finish(member.End(builder))
        read = decode_record(bytes(builder.Output()), messages.Member)
        self.assertEqual(read, messages.Member(name="edge-1", disk_id=2**64 - 1))

    def test_message_of_four_megabytes(self) -> None:
        writes = [messages.Write(key=f"job/{index}", value=bytes([index % 256]) * 4096) for index in range(1024)]
        append = messages.Append(entries=[messages.Entry(term=1, sequence=2, writes=writes)])
        self.assertEqual(decode(encode(append)), append)

    def test_equal_strings_are_written_once(self) -> None:
        zone = "a-zone-with-a-long-name"
        nodes = [messages.NodeDescriptor(name=str(index), zone=zone) for index in range(8)]
        data = encode(messages.Shuffle(sender=nodes[0], sample=nodes))
        self.assertEqual(data.count(zone.encode()), 1)


class Malformed(unittest.TestCase):
    def test_truncated_messages(self) -> None:
        for value in random_messages(UNION_TYPES, count=3):
            data = encode(value)
            for length in range(len(data)):
                self.assert_read_safely(data[:length], value)

    def test_buffers_too_short_or_without_a_table(self) -> None:
        for data in (b"", b"\0", b"\0\0\0\0", b"\xff" * 4, b"\xff" * 64):
            with self.assertRaises(WireError):
                decode(data)

    def test_messages_with_random_byte_changes(self) -> None:
        generator = random.Random(SEED)
        for value in random_messages(UNION_TYPES, count=2):
            data = bytearray(encode(value))
            for _ in range(MUTATIONS_PER_MESSAGE):
                fuzzed = data.copy()
                for _ in range(generator.randrange(1, 4)):
                    fuzzed[generator.randrange(len(fuzzed))] = generator.choice([0, 1, 4, 0x7F, 0x80, 0xFF])
                self.assert_read_safely(bytes(fuzzed), value)

    def test_unknown_message_type(self) -> None:
        data = bytearray(encode(messages.Prepare(epoch=1)))
        data[20] = 255
        with self.assertRaisesRegex(WireError, "unknown type 255"):
            decode(bytes(data))

    def test_records_cannot_be_encoded_as_messages(self) -> None:
        with self.assertRaisesRegex(WireError, "TaskRecord"):
            encode(messages.TaskRecord())

    def test_missing_required_table(self) -> None:
        with self.assertRaisesRegex(WireError, "view: missing"):
            decode_record(encode_record(messages.EpochQuery()), messages.Propose)

    def test_vtable_before_the_buffer(self) -> None:
        with self.assertRaisesRegex(WireError, "vtable lies outside"):
            decode_record(struct.pack("<Ii", 4, 1000), messages.View)

    def test_invalid_utf8(self) -> None:
        data = encode(messages.Prepare(proposer="edge-1")).replace(b"edge-1", b"edge-\xff")
        with self.assertRaisesRegex(WireError, "string"):
            decode(data)

    def test_number_beyond_64_bits(self) -> None:
        with self.assertRaisesRegex(WireError, "Prepare"):
            encode(messages.Prepare(epoch=2**63))

    def test_vector_longer_than_the_buffer(self) -> None:
        data = bytearray(encode_record(messages.ClientReply(body=b"x" * 7)))
        at = data.index(b"x") - 4
        struct.pack_into("<I", data, at, 2**32 - 1)
        with self.assertRaisesRegex(WireError, "longer than the buffer"):
            decode_record(bytes(data), messages.ClientReply)

    def test_overlapping_tables(self) -> None:
        """A small buffer must not expand into a large message: here all elements of a vector refer to one table."""
        count = 1000
        writes = [messages.Write(value=b"x" * 10_000)] + [messages.Write()] * (count - 1)
        data = bytearray(encode_record(messages.Entry(writes=writes)))
        vector = data.index(struct.pack("<I", count))
        first = vector + 4
        (target,) = struct.unpack_from("<I", data, first)
        for index in range(count):
            struct.pack_into("<I", data, first + 4 * index, target - 4 * index)
        with self.assertRaisesRegex(WireError, "overlap"):
            decode_record(bytes(data), messages.Entry)

    def assert_read_safely(self, data: bytes, value: Struct) -> None:
        """Check that decoding raises WireError or returns a message of a size in proportion to the data."""
        try:
            read = decode(data)
        except WireError as error:
            self.assertTrue(error.reason)
        else:
            self.assertIsInstance(read, Struct)
            self.assertLess(len(msgspec.msgpack.encode(read)), 100 * len(data) + 1000, value)


if __name__ == "__main__":
    unittest.main()
