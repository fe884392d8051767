"""JSON objects one after another, as a list's watch has them, read by where they end. Fed bytes; no I/O.

However they are cut by lines, chunks and reads: an object may be indented over many lines, share one with the next, or
come a byte at a time.

    states            leaves by
    between objects   a '{' -> in an object
    in an object      the bracket that closes its first one -> between objects; the end of what came -> cut string, if
                      amid one
    in a cut string   its closing quote -> in an object

Always true: what is kept is the open object from its first byte on, and at most `most` bytes of it once all that came
has been looked at. No byte is looked at twice but a backslash at the very end and a string cut within one read.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

# A whole string at once, as brackets in it mean nothing; a bracket; the quote of a string that has not come whole; and
# what no JSON has outside strings. Numbers, words, commas and blanks are passed over: json looks at those.
_TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[{}\[\]"]|[^][{}" \t\r\n:,0-9.E+\-truefalsn]', re.DOTALL)
_STRING = re.compile(rb'[^"\\]*+(?:\\.[^"\\]*+)*+', re.DOTALL)  # up to its quote, or to what has come
_BLANK = re.compile(rb"[ \t\r\n]*")
_CHANGES = {b"{": 1, b"[": 1, b"}": -1, b"]": -1}


class Objects:
    """Gives each object once it is whole."""

    def __init__(self, most: int) -> None:
        """Take objects of up to so many bytes."""
        self.most = most
        self._text, self._at, self._depth, self._in_string = b"", 0, 0, False

    def receive(self, data: bytes) -> Iterator[dict[str, Any] | None]:
        """Take what has come: each object that is whole now, and None where a line ended between two.

        ValueError: something that is no object, or one that is too large; those before it have been given.
        """
        self._text += data
        while True:
            if not self._depth:
                blank = _BLANK.match(self._text)
                assert blank is not None
                self._text, self._at = self._text[blank.end() :], 0
                if b"\n" in blank.group():
                    yield None
                if not self._text:
                    return
                if not self._text.startswith(b"{"):
                    raise ValueError("not a list object")
                if (said := self._line()) is not None:
                    yield said
                    continue
            end = self._look()
            if not end and len(self._text) > self.most:
                raise ValueError("object too large")
            if not end:
                return
            whole, self._text = self._text[:end], self._text[end:]
            yield json.loads(whole)

    def _line(self) -> dict[str, Any] | None:
        """Take the object if it has come whole on a line of its own, as most do, which costs a fifth; else None."""
        end = self._text.find(b"\n")
        if end <= 0 or self._text[end - 1 : end] != b"}":
            return None
        try:
            said: dict[str, Any] = json.loads(self._text[:end])
        except ValueError:
            return None
        self._text = self._text[end:]
        return said

    def _look(self) -> int:
        """Look for the end of the open object; 0 if it has not come."""
        if self._in_string:
            string = _STRING.match(self._text, self._at)
            assert string is not None
            self._at = string.end()
            if self._text[self._at : self._at + 1] != b'"':
                return 0
            self._at, self._in_string = self._at + 1, False
        for token in _TOKEN.finditer(self._text, self._at):
            if (change := _CHANGES.get(token.group())) is not None:
                self._depth += change
                if not self._depth:
                    return token.end()
            elif token.end() - token.start() == 1:
                if token.group() != b'"':
                    raise ValueError(f"not JSON: {token.group()!r}")
                self._at, self._in_string = token.end(), True
                return self._look()
        self._at = len(self._text)
        return 0
