"""What the two processes of an upgrade say to each other: messages, and what one of them may expect. No sockets.

Elder is the process that has run so far, heir the one that takes its place. Messages are JSON objects, one a
datagram; a descriptor may travel with one.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

FORM = 1  # of these messages; an heir of another form gets nothing and says so
PART = 32 * 1024  # characters of the estate in one message: a datagram has to fit into the socket's buffer
MOST = 256 * 1024


class What(Enum):
    """Kinds of messages."""

    CLAIM = "claim"  # heir: the place is mine
    PART = "part"  # elder: a piece of the estate's text
    YOURS = "yours"  # elder: all is told, and the listener comes along
    REFUSED = "refused"  # elder: why not
    CLIENT = "client"  # elder: a client's connection with nothing under way comes along
    OVER = "over"  # elder: these queries are no longer open here
    CALL = "call"  # either: an operator's call, heard at the other address
    DONE = "done"  # either: what became of it


class BadHandover(Exception):
    """What came is no message, or not one that may come now."""


class Busy(BadHandover):
    """The elder has an heir already: a third process must not start beside them."""


def message(what: What, **fields: Any) -> bytes:
    """Write one message."""
    return json.dumps({"what": what.value, **fields}, separators=(",", ":")).encode()


def read_message(data: bytes) -> tuple[What, dict[str, Any]]:
    """Read one message."""
    try:
        fields = json.loads(data)
        return What(fields.pop("what")), fields
    except (ValueError, KeyError, AttributeError, TypeError) as fault:
        raise BadHandover(f"unreadable message: {type(fault).__name__}: {fault}") from fault


@dataclass(frozen=True, slots=True)
class Estate:
    """All that an heir goes on from."""

    rev: int | None = None
    rows: list[Any] = field(default_factory=list)  # the list in discovery's form
    out: dict[str, float] = field(default_factory=dict)
    cold_from: dict[str, float] = field(default_factory=dict)
    lame_since: float | None = None  # when clients were sent away, if they were
    open: list[str] = field(default_factory=list)  # ids of queries that the elder still has
    learned: dict[str, Any] = field(default_factory=dict)  # by the module
    tier: dict[str, Any] = field(default_factory=dict)  # the node's voice in the tier's policy

    def messages(self) -> Iterator[bytes]:
        """Write it as messages; the one that ends them is not among these."""
        text = json.dumps({name: getattr(self, name) for name in self.__slots__}, separators=(",", ":"))
        for start in range(0, len(text), PART):
            yield message(What.PART, text=text[start : start + PART])


def read_estate(text: str) -> Estate:
    """Read an estate; BadHandover where it is none."""
    try:
        raw = json.loads(text)
        estate = Estate(**raw)
        if not (
            isinstance(estate.rev, int | None)
            and isinstance(estate.rows, list)
            and isinstance(estate.open, list)
            and all(isinstance(part, Mapping) for part in (estate.out, estate.cold_from, estate.learned, estate.tier))
        ):
            raise ValueError("a field of another kind")
        return estate
    except (ValueError, TypeError) as fault:
        raise BadHandover(f"unreadable estate: {fault}") from fault


class ClaimSide:
    """An heir's side until it has the estate: fed messages, it says when all has come."""

    def __init__(self) -> None:
        """Expect the first part."""
        self.parts: list[str] = []

    def receive(self, data: bytes) -> Estate | None:
        """Take one message; the estate once it is whole. BadHandover where it never will be."""
        what, fields = read_message(data)
        if what is What.PART and isinstance(fields.get("text"), str):
            self.parts.append(fields["text"])
            return None
        if what is What.YOURS:
            return read_estate("".join(self.parts))
        if what is What.REFUSED and fields.get("busy"):
            raise Busy(str(fields.get("why")))
        raise BadHandover(str(fields.get("why") if what is What.REFUSED else f"{what.value} out of turn"))
