"""Routes by path: the most specific pattern that matches, and patterns that could match equally.

A pattern is a path whose segments are literal or `*`. In the middle `*` stands for exactly one segment, at the end
for one or more. The longest match wins: the pattern with more literal segments; of two with as many, one without
`*` at its end goes before one with it. The first segment is the class's name and always literal.
Paths are compared as RFC 3986, section 6.2.2 has it: percent-encoded unreserved characters as themselves, so that
no client picks its route by spelling. Query and empty segments at the end do not count.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Generic, TypeVar
from urllib.parse import unquote

T = TypeVar("T")
_UNRESERVED = re.compile(r"%(?:2[DEde]|3[0-9]|4[1-9A-Fa-f]|5[0-9AaFf]|6[1-9A-Fa-f]|7[0-9AaEe])")
_SEGMENT = re.compile(r"(?:[A-Za-z0-9\-._~!$&'()+,;=:@]|%[0-9A-Fa-f]{2})+")
MOST_SEGMENTS = 32


def segments(path: str) -> tuple[str, ...]:
    """A path's segments, normalised: no query, no empty ones at the end."""
    if "?" in path:
        path = path.partition("?")[0]
    if "%" in path:
        path = _UNRESERVED.sub(lambda found: unquote(found[0]), path)
    return tuple(path.rstrip("/").split("/")[1:])


def read_pattern(text: str) -> tuple[str, ...]:
    """A route's pattern; ValueError says what is wrong with it."""
    if "?" in text:
        raise ValueError("a route has no query")
    parts = segments(text)
    if not parts or parts[0] in ("", "*"):
        raise ValueError("a route begins with a class's name, as in /order-pay/express/*")
    if len(parts) > MOST_SEGMENTS:
        raise ValueError(f"over {MOST_SEGMENTS} segments")
    for part in parts:
        if part in (".", ".."):
            raise ValueError(f"{part!r} is no segment; clients' paths are taken as they are")
        if part != "*" and ("*" in part or not _SEGMENT.fullmatch(part)):
            hint = "; * stands for a whole segment" if "*" in part else ""
            raise ValueError(f"{part!r} is no segment of a path{hint}")
    return parts


def rank(pattern: tuple[str, ...]) -> tuple[int, bool]:
    """How specific a pattern is; greater goes first."""
    return sum(part != "*" for part in pattern), pattern[-1] != "*"


def could_meet(one: tuple[str, ...], other: tuple[str, ...]) -> bool:
    """Whether some path matches both patterns."""
    for here, there in zip(one, other, strict=False):
        if here != there and "*" not in (here, there):
            return False
    if len(one) == len(other):
        return True
    return (one if len(one) < len(other) else other)[-1] == "*"


@dataclass(slots=True)
class _Node(Generic[T]):
    below: dict[str, _Node[T]] = field(default_factory=dict)
    exact: tuple[tuple[int, bool], T] | None = None  # a pattern that ends here
    rest: tuple[tuple[int, bool], T] | None = None  # one whose last * begins here


class Routes(Generic[T]):
    """A tree of patterns; looking up costs by the path's length, not by the number of routes."""

    def __init__(self) -> None:
        """Begin without any."""
        self._root: _Node[T] = _Node()
        self.count = 0

    def add(self, pattern: tuple[str, ...], value: T) -> None:
        """Add a route; the caller has seen to it that none matches equally."""
        node, entry = self._root, (rank(pattern), value)
        for part in pattern[:-1]:
            node = node.below.setdefault(part, _Node())
        if pattern[-1] == "*":
            node.rest = entry
        else:
            node.below.setdefault(pattern[-1], _Node()).exact = entry
        self.count += 1

    def find(self, path: str) -> T | None:
        """The value of the most specific route that matches."""
        if not self.count:
            return None
        best: tuple[tuple[int, bool], T] | None = None
        nodes = [self._root]
        for part in segments(path)[: MOST_SEGMENTS + 1]:
            after = list[_Node[T]]()
            for node in nodes:
                if node.rest is not None and (best is None or node.rest[0] > best[0]):
                    best = node.rest
                after += [below for name in (part, "*") if (below := node.below.get(name)) is not None]
            nodes = after
            if not nodes:
                break
        for node in nodes:
            if node.exact is not None and (best is None or node.exact[0] > best[0]):
                best = node.exact
        return best[1] if best is not None else None


@dataclass(slots=True)
class _Seen:
    below: dict[str, _Seen] = field(default_factory=dict)
    index: int | None = None  # of a pattern that ends here


class Equals:
    """Finds, for one pattern after another, an earlier one that some path matches equally.

    A tree for each rank: what is looked at are the patterns that agree so far, so that thousands of routes that have
    nothing to do with each other cost little.
    """

    def __init__(self) -> None:
        """Begin without any pattern."""
        self._ranks: dict[tuple[int, bool], _Seen] = {}
        self._count = 0

    def add(self, pattern: tuple[str, ...]) -> int | None:
        """Take a pattern; the index of an earlier one that it meets, or None."""
        root = self._ranks.setdefault(rank(pattern), _Seen())
        found = self._meets(root, pattern, 0)
        node = root
        for part in pattern:
            node = node.below.setdefault(part, _Seen())
        node.index = self._count if node.index is None else node.index
        self._count += 1
        return found

    def _meets(self, node: _Seen, pattern: tuple[str, ...], depth: int, by: str = "") -> int | None:
        if node.index is not None and (depth == len(pattern) or by == "*"):
            return node.index
        if depth == len(pattern):
            if pattern[-1] != "*":
                return None
            names = list(node.below)  # the last * matches whatever goes on from here
            part = "*"
        else:
            part = pattern[depth]
            names = list(node.below) if part == "*" else [part, "*"]
        for name in names:
            if (below := node.below.get(name)) is not None:
                found = self._meets(below, pattern, min(depth + 1, len(pattern)), name)
                if found is not None:
                    return found
        return None
