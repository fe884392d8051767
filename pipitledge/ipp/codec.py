"""IPP messages to bytes and back (RFC 8010, section 3), fed bytes as they come; knows no socket and no meaning.

The rules, as the reader follows them:

- A message is version (2 bytes), operation or status (2), request-id (4), groups of attributes, the end tag 0x03, data.
- A tag below 0x10 begins a group. Any other is a value: tag, name length (2), name, value length (2), value.
- A value without a name goes with the attribute before it (1setOf). Between begCollection and endCollection come
  members: a memberAttrName, whose value is the name, then one or more values without a name. Collections nest.
- Out-of-band values (0x10 to 0x1f) have no data. Tags that we do not know keep their bytes.
- The document that follows the end tag is no part of the message: `feed` hands back what is left over, and never holds
  any of it.

Every limit is on what a peer can make us hold: bytes of attributes, attributes with their members, nesting.
"""

from __future__ import annotations

import struct
from collections.abc import Generator, Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, NamedTuple


class Group(IntEnum):
    """Delimiter tags (RFC 8010, 3.5.1)."""

    OPERATION = 0x01
    JOB = 0x02
    END = 0x03
    PRINTER = 0x04
    UNSUPPORTED = 0x05


class Tag(IntEnum):
    """Value tags (RFC 8010, 3.5.2)."""

    UNSUPPORTED = 0x10
    UNKNOWN = 0x12
    NO_VALUE = 0x13
    INTEGER = 0x21
    BOOLEAN = 0x22
    ENUM = 0x23
    OCTETS = 0x30
    DATE_TIME = 0x31
    RESOLUTION = 0x32
    RANGE = 0x33
    COLLECTION = 0x34
    TEXT_LANG = 0x35
    NAME_LANG = 0x36
    END_COLLECTION = 0x37
    TEXT = 0x41
    NAME = 0x42
    KEYWORD = 0x44
    URI = 0x45
    URI_SCHEME = 0x46
    CHARSET = 0x47
    LANGUAGE = 0x48
    MIME = 0x49
    MEMBER_NAME = 0x4A


_STRINGS = {Tag.TEXT, Tag.NAME, Tag.KEYWORD, Tag.URI, Tag.URI_SCHEME, Tag.CHARSET, Tag.LANGUAGE, Tag.MIME}
_FIXED = {Tag.INTEGER: 4, Tag.ENUM: 4, Tag.BOOLEAN: 1, Tag.DATE_TIME: 11, Tag.RESOLUTION: 9, Tag.RANGE: 8}
MOST_NAME = 255  # keywords and names of attributes (RFC 8011, 5.1.4)


@dataclass(frozen=True, slots=True)
class Limits:
    """What a message may make us hold."""

    attribute_bytes: int = 128 * 1024
    attributes: int = 1_000  # members and values after the first included
    depth: int = 8


LIMITS = Limits()


class BadIpp(Exception):
    """What came is no IPP message; `status` is the fitting answer (RFC 8011, appendix B)."""

    def __init__(self, status: int, reason: str) -> None:
        """Name the status and the reason."""
        super().__init__(reason)
        self.status, self.reason = status, reason


BAD_REQUEST, TOO_LARGE = 0x0400, 0x0408


class WithLanguage(NamedTuple):
    """A text or name in a language of its own."""

    language: str
    text: str


class Value(NamedTuple):
    """One value. By tag: int, bool, str, bytes, tuple of ints, WithLanguage, list of Attribute, None (out of band)."""

    tag: int
    data: Any


@dataclass(slots=True)
class Attribute:
    """A name and its values, one or more."""

    name: str
    values: list[Value]


@dataclass(slots=True)
class AttributeGroup:
    """One group, in the order in which it came."""

    tag: int
    attributes: list[Attribute] = field(default_factory=list)

    def get(self, name: str) -> Attribute | None:
        """An attribute by name."""
        return next((attribute for attribute in self.attributes if attribute.name == name), None)


@dataclass(slots=True)
class Message:
    """A request or an answer, without its document."""

    version: tuple[int, int]
    code: int  # operation-id or status-code
    request_id: int
    groups: list[AttributeGroup] = field(default_factory=list)

    def group(self, tag: Group) -> AttributeGroup:
        """The first group of this tag, or an empty one."""
        return next((group for group in self.groups if group.tag == tag), AttributeGroup(tag))

    def first(self, tag: Group, name: str) -> Any:
        """The first value's data of an attribute, None where it is absent."""
        found = self.group(tag).get(name)
        return found.values[0].data if found is not None else None


def _text(data: bytes) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError:
        raise BadIpp(BAD_REQUEST, "a string is not UTF-8") from None


def _with_language(data: bytes) -> WithLanguage:
    """Two lengths and two strings (RFC 8010, 3.9), which must fill the value."""
    if len(data) >= 4:
        size = int.from_bytes(data[:2], "big")
        rest = data[2 + size :]
        if len(rest) >= 2 and len(rest) - 2 == int.from_bytes(rest[:2], "big"):
            return WithLanguage(_text(data[2 : 2 + size]), _text(rest[2:]))
    raise BadIpp(BAD_REQUEST, "lengths within a value with language do not add up")


def read_value(tag: int, data: bytes) -> Any:
    """A value's data; the form that its tag wants, or BadIpp."""
    if 0x10 <= tag <= 0x1F:
        if data:
            raise BadIpp(BAD_REQUEST, "an out-of-band value has data")
        return None
    if (size := _FIXED.get(tag)) is not None and len(data) != size:  # type: ignore[call-overload]
        raise BadIpp(BAD_REQUEST, f"a value of tag 0x{tag:02x} has {len(data)} bytes")
    if tag in (Tag.INTEGER, Tag.ENUM):
        return int.from_bytes(data, "big", signed=True)
    if tag == Tag.BOOLEAN:
        if data not in (b"\0", b"\1"):
            raise BadIpp(BAD_REQUEST, "a boolean is neither 0 nor 1")
        return data == b"\1"
    if tag == Tag.RESOLUTION:
        return struct.unpack(">iib", data)
    if tag == Tag.RANGE:
        return struct.unpack(">ii", data)
    if tag in (Tag.TEXT_LANG, Tag.NAME_LANG):
        return _with_language(data)
    return _text(data) if tag in _STRINGS else data


Steps = Generator[int, bytes, Any]


class _Counted:
    """What was read so far, against the limits."""

    def __init__(self, limits: Limits) -> None:
        self.limits, self.bytes, self.attributes = limits, 0, 0

    def add(self, size: int) -> None:
        self.bytes += size
        if self.bytes > self.limits.attribute_bytes:
            raise BadIpp(TOO_LARGE, f"over {self.limits.attribute_bytes} bytes of attributes")

    def one_more(self) -> None:
        self.attributes += 1
        if self.attributes > self.limits.attributes:
            raise BadIpp(TOO_LARGE, f"over {self.limits.attributes} attributes")


def _sized(counted: _Counted) -> Steps:
    """A length and so many bytes. The length is counted before any is waited for: one that lies is found at once."""
    size = int.from_bytes((yield 2), "big")
    counted.add(2 + size)
    return (yield size) if size else b""


def _item(counted: _Counted) -> Steps:
    """Name and raw value after a tag."""
    counted.one_more()
    counted.add(1)
    name = yield from _sized(counted)
    if len(name) > MOST_NAME:
        raise BadIpp(BAD_REQUEST, f"an attribute's name has {len(name)} bytes")
    value = yield from _sized(counted)
    return _text(name), value


def _collection(counted: _Counted, depth: int) -> Steps:
    """Members up to the end of the collection (RFC 8010, 3.1.6)."""
    if depth > counted.limits.depth:
        raise BadIpp(TOO_LARGE, f"collections nest over {counted.limits.depth} deep")
    members = list[Attribute]()
    while True:
        tag = (yield 1)[0]
        if tag < 0x10:
            raise BadIpp(BAD_REQUEST, "a group begins within a collection")
        name, data = yield from _item(counted)
        if name:
            raise BadIpp(BAD_REQUEST, "a named value within a collection")
        if tag == Tag.END_COLLECTION:
            if data:
                raise BadIpp(BAD_REQUEST, "the end of a collection has data")
            if members and not members[-1].values:
                raise BadIpp(BAD_REQUEST, f"member {members[-1].name!r} has no value")
            return members
        if tag == Tag.MEMBER_NAME:
            if members and not members[-1].values:
                raise BadIpp(BAD_REQUEST, f"member {members[-1].name!r} has no value")
            if not data:
                raise BadIpp(BAD_REQUEST, "a member without a name")
            members.append(Attribute(_text(data), []))
        elif not members:
            raise BadIpp(BAD_REQUEST, "a value before any member's name")
        else:
            members[-1].values.append((yield from _value(counted, tag, data, depth)))


def _value(counted: _Counted, tag: int, data: bytes, depth: int) -> Steps:
    if tag == Tag.COLLECTION:
        if data:
            raise BadIpp(BAD_REQUEST, "the begin of a collection has data")
        return Value(tag, (yield from _collection(counted, depth + 1)))
    if tag in (Tag.END_COLLECTION, Tag.MEMBER_NAME):
        raise BadIpp(BAD_REQUEST, "a member outside any collection")
    return Value(tag, read_value(tag, data))


def _message(limits: Limits) -> Steps:
    """A whole message; yields how many bytes it wants next."""
    head = yield 8
    counted = _Counted(limits)
    message = Message(
        (head[0], head[1]), int.from_bytes(head[2:4], "big"), int.from_bytes(head[4:8], "big", signed=True)
    )
    while True:
        tag = (yield 1)[0]
        counted.add(1)
        if tag == Group.END:
            return message
        if tag == 0x00:
            raise BadIpp(BAD_REQUEST, "the reserved group tag 0")
        if tag < 0x10:
            message.groups.append(AttributeGroup(tag))
            continue
        if not message.groups:
            raise BadIpp(BAD_REQUEST, "a value before any group")
        name, data = yield from _item(counted)
        attributes = message.groups[-1].attributes
        value = yield from _value(counted, tag, data, 0)
        if name:
            attributes.append(Attribute(name, [value]))
        elif attributes:
            attributes[-1].values.append(value)
        else:
            raise BadIpp(BAD_REQUEST, "a value without a name begins a group")


class Reader:
    """Reads one message. `message` is set once it is whole."""

    def __init__(self, limits: Limits = LIMITS) -> None:
        """Begin before the first byte."""
        self.message: Message | None = None
        self._steps = _message(limits)
        self._need: int = next(self._steps)
        self._buffer = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Take bytes; what lies behind the message is returned, and is the document's. BadIpp ends the reading."""
        if self.message is not None:
            return data
        buffer, at = self._buffer, 0
        buffer += data
        try:
            while len(buffer) - at >= self._need:
                part = bytes(buffer[at : at + self._need])
                at += self._need
                self._need = self._steps.send(part)
        except StopIteration as end:
            self.message = end.value
            rest = bytes(buffer[at:])
            buffer.clear()
            return rest
        del buffer[:at]
        return b""


# ---------------------------------------------------------------- writing


def _data(value: Value) -> bytes:
    tag, data = value
    if data is None:
        return b""
    if tag in (Tag.INTEGER, Tag.ENUM):
        return int(data).to_bytes(4, "big", signed=True)
    if tag == Tag.BOOLEAN:
        return b"\1" if data else b"\0"
    if tag == Tag.RESOLUTION:
        return struct.pack(">iib", *data)
    if tag == Tag.RANGE:
        return struct.pack(">ii", *data)
    if isinstance(data, WithLanguage):
        return b"".join(_length(part.encode()) for part in data)
    return data.encode() if isinstance(data, str) else bytes(data)


def _length(data: bytes) -> bytes:
    if len(data) > 0x7FFF:
        raise ValueError(f"{len(data)} bytes are more than a value can hold")
    return len(data).to_bytes(2, "big") + data


def _items(name: bytes, values: Iterable[Value]) -> Iterator[bytes]:
    for value in values:
        yield bytes([value.tag]) + _length(name)
        if value.tag == Tag.COLLECTION:
            yield _length(b"")
            for member in value.data:
                yield bytes([Tag.MEMBER_NAME]) + _length(b"") + _length(member.name.encode())
                yield from _items(b"", member.values)
            yield bytes([Tag.END_COLLECTION]) + _length(b"") + _length(b"")
        else:
            yield _length(_data(value))
        name = b""  # the values after the first have none


def encode(message: Message) -> bytes:
    """A message's bytes, up to its end tag."""
    parts = [
        bytes(message.version),
        message.code.to_bytes(2, "big"),
        message.request_id.to_bytes(4, "big", signed=True),
    ]
    for group in message.groups:
        parts.append(bytes([group.tag]))
        for attribute in group.attributes:
            parts += _items(attribute.name.encode(), attribute.values)
    return b"".join([*parts, bytes([Group.END])])


def attribute(name: str, tag: int, *data: Any) -> Attribute:
    """An attribute of values of one tag."""
    return Attribute(name, [Value(tag, one) for one in data])
