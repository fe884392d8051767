"""A file's bytes to lines, and what is wrong with them before any grammar."""

from __future__ import annotations

import re

from pipitledge.conf.places import Mistake, Place

MOST_BYTES = 1 << 20
_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f\x80-\x9f\u2028\u2029\ufeff]")


def split(data: bytes) -> list[bytes]:
    """A file's lines as bytes; a byte order mark is taken off."""
    return data.removeprefix(b"\xef\xbb\xbf").split(b"\n")


def read_line(name: str, number: int, raw: bytes, mistakes: list[Mistake]) -> str:
    """One line without its comment and line end (CRLF too); blank where it holds what no line may."""
    try:
        line = raw.removesuffix(b"\r").decode()
    except UnicodeDecodeError as fault:
        column = len(raw[: fault.start].decode()) + 1
        mistakes.append(Mistake(Place(name, number, column), f"byte 0x{raw[fault.start]:02x} is not UTF-8"))
        return ""
    if found := _CONTROL.search(line):
        place = Place(name, number, found.start() + 1)
        mistakes.append(Mistake(place, f"control character U+{ord(found[0]):04X}; remove it"))
        return ""
    return _COMMENT.sub("", line)


_COMMENT = re.compile(r"(?:^|(?<=[ \t]))#.*")
