"""A file's bytes to lines, and what is wrong with them before any grammar."""

from __future__ import annotations

import re

from pipitledge.conf.places import Mistake, Place

MOST_BYTES = 1 << 20
_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f\x80-\x9f\u2028\u2029\ufeff]")


def read_lines(name: str, data: bytes) -> tuple[list[str], list[Mistake]]:
    """Split into lines without comments; a line with a mistake is left blank. A BOM and CRLF are taken."""
    if len(data) > MOST_BYTES:
        return [], [Mistake(Place(name), f"{len(data)} bytes; a file has 1 MiB at most")]
    lines, mistakes = list[str](), list[Mistake]()
    for number, raw in enumerate(data.removeprefix(b"\xef\xbb\xbf").split(b"\n"), 1):
        try:
            line = raw.removesuffix(b"\r").decode()
        except UnicodeDecodeError as fault:
            column = len(raw[:fault.start].decode()) + 1
            text = f"byte 0x{raw[fault.start]:02x} is not UTF-8"
            mistakes.append(Mistake(Place(name, number, column), text))
            lines.append("")
            continue
        if found := _CONTROL.search(line):
            place = Place(name, number, found.start() + 1)
            mistakes.append(Mistake(place, f"control character U+{ord(found[0]):04X}; remove it"))
            line = ""
        lines.append(_COMMENT.sub("", line))
    return lines, mistakes


_COMMENT = re.compile(r"(?:^|(?<=[ \t]))#.*")
