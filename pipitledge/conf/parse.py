"""Lines to sections and settings, every mistake with its place.

Each line is parsed by itself, with lark's LALR parser: after a mistake the next line is a fresh start, so one
run tells all of them. Lark is imported when the first file is read: a node without one does without its 7 MB.
"""

from __future__ import annotations

import difflib
import functools
import pathlib
import re
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from typing import Any, TypeVar

from pipitledge.conf import units
from pipitledge.conf.places import Mistake, Place
from pipitledge.conf.reader import MOST_BYTES, split
from pipitledge.conf.reader import read_line as read_bytes

MOST_SECTIONS = 10_000
SLICE = 25  # lines between two breaks, in which a node serves on
T = TypeVar("T")
PRINTER_WORDS = {"uri", "slots", "cold-for"}
GRAMMAR = pathlib.Path(__file__).with_name("grammar.lark")

# What a terminal is called in messages; all others are words of the language and stand for themselves.
KINDS = {
    "TIME": "a time such as 300ms, 1.5s or 2m",
    "SHARE": "a share such as 10%",
    "COUNT": "a count such as 3",
    "PERCENTILE": "a percentile such as p95",
    "PATH": "a path such as /order-pay/express/*",
    "IPP_URI": "a uri such as ipp://127.0.0.1:631/ipp/print",
    "WORD": "a name",
}
_NUMBER = re.compile(r"[-+]?(?:\d[\d_]*\.?\d*|\.\d+)(?:[eE][-+]?\d+)?")
_UNIT = re.compile(r"[-+]?\d+(?:\.\d+)?([A-Za-zµ]+|%)")


@dataclass(frozen=True, slots=True)
class Setting:
    """One setting: `value` is of the type that its keyword has, times in whole milliseconds."""

    keyword: str
    value: Any
    place: Place
    override: bool = False


@dataclass(slots=True)
class Section:
    """`defaults`, a class or a route, with its settings by keyword."""

    kind: str
    name: str
    place: Place
    of_class: Setting | None = None  # a route's class
    settings: dict[str, Setting] = field(default_factory=dict)


@dataclass(slots=True)
class Document:
    """A file as read; sections in their order."""

    file: str
    sections: list[Section] = field(default_factory=list)
    mistakes: list[Mistake] = field(default_factory=list)


class Wrong(Exception):
    """A line can't be read; `column` counts from 0."""

    def __init__(self, column: int, text: str) -> None:
        """Say where in the line, and what would be right."""
        super().__init__(text)
        self.column, self.text = column, text


@dataclass(frozen=True, slots=True)
class Line:
    """One parsed line; columns count from 0."""

    kind: str  # defaults, class, route or setting
    keyword: str
    value: Any
    column: int
    value_column: int
    override: bool = False


@functools.cache
def _parser() -> Any:
    import lark

    return lark.Lark(GRAMMAR.read_text(), start="line", parser="lalr", lexer="basic", maybe_placeholders=False)


def _word(terminal: str) -> str:
    return terminal.lower().replace("_", "-")


def _expected(terminals: set[str]) -> str:
    names = [KINDS[name] for name in KINDS if name in terminals]
    if "WORD" in terminals:  # a class's name may be any word, ours too
        return KINDS["WORD"]
    words = sorted(_word(name) for name in terminals - KINDS.keys() - {"$END"})
    if "$END" in terminals:
        words.append("the end of the line")
    if len(words) > 7:
        words = ["a keyword"]
    names += words
    return names[0] if len(names) == 1 else ", ".join(names[:-1]) + " or " + names[-1]


def _unexpected(text: str, kind: str, terminals: set[str]) -> str:
    """Say what is wrong with a word, as exactly as its form allows."""
    shown = text if len(text) <= 40 else text[:37] + "..."
    wants_number = terminals & {"TIME", "SHARE", "COUNT"}
    if wants_number and text.lower().lstrip("+-") in ("nan", "inf", "infinity"):
        return f"{shown!r} is no number; {_expected(terminals)} is wanted"
    if wants_number and text[:1] in "+-" and text[1:2].isdigit():
        return f"{shown!r} has a sign; write it without"
    if "TIME" in terminals and kind == "COUNT":
        return f"{shown!r} has no unit; write {shown}ms, {shown}s or {shown}m"
    if "SHARE" in terminals and kind == "COUNT":
        return f"{shown!r} has no unit; write {shown}%"
    if wants_number and (found := _UNIT.fullmatch(text)) and kind == "WORD":
        return f"unknown unit {found[1]!r} in {shown!r}; {_expected(terminals)} is wanted"
    if wants_number and _NUMBER.match(text) and kind == "WORD":
        return f"{shown!r} is no plain number; {_expected(terminals)} is wanted"
    words = {_word(name) for name in terminals - KINDS.keys() - {"$END"}}
    if kind == "WORD" and (near := difflib.get_close_matches(text.lower(), words, 1, 0.6)):
        what = "keyword" if len(words) > 7 else "word"
        return f"unknown {what} {shown!r}; did you mean {near[0]!r}?"
    if terminals == {"$END"}:
        return f"{shown!r} is one word too many; the line ends before it"
    if len(words) > 7:
        what = "unknown keyword" if kind == "WORD" else "no line goes on or begins with"
        return f"{what} {shown!r}; lines begin with defaults, class, route, printer or a setting's keyword"
    return f"{shown!r} is not {_expected(terminals)}"


@functools.lru_cache(4_096)  # files with many routes say the same lines over and over
def read_line(text: str) -> Line:
    """Parse one line that is not blank; Wrong says what is off."""
    from lark.exceptions import UnexpectedToken

    try:
        tree = _parser().parse(text)
    except UnexpectedToken as fault:
        terminals, token = set(fault.accepts or fault.expected), fault.token
        if token.type == "$END":
            raise Wrong(len(text.rstrip()), f"the line ends where {_expected(terminals)} is wanted") from None
        raise Wrong(token.column - 1, _unexpected(str(token), token.type, terminals)) from None
    if tree.data != "setting":
        tokens = list(tree.scan_values(lambda _: True))
        value = str(tokens[-1]) if len(tokens) > 1 else ""
        return Line(_word(tokens[0].type), _word(tokens[0].type), value, tokens[0].column - 1, tokens[-1].column - 1)
    override = len(tree.children) > 1
    keyword, *words = tree.children[-1].scan_values(lambda _: True)
    try:
        value = _VALUES[keyword.type](words)
    except ValueError as fault:
        wrong = fault.args[1] if len(fault.args) > 1 else words[0]
        raise Wrong(wrong.column - 1, str(fault.args[0])) from None
    return Line(
        "setting",
        _word(keyword.type),
        value,
        tree.children[0].column - 1 if override else keyword.column - 1,
        words[0].column - 1,
        override,
    )


def _of(read: Callable[[str], Any], word: Any) -> Any:
    try:
        return read(str(word))
    except ValueError as fault:
        raise ValueError(str(fault), word) from None


def _positive(word: Any) -> int:
    value: int = _of(units.time_ms, word)
    if not value:
        raise ValueError(f"{word} is no time to wait; at least 1ms", word)
    return value


def _outcomes(words: list[Any]) -> frozenset[str]:
    for index, word in enumerate(words):
        if word in words[:index]:
            raise ValueError(f"{str(word)!r} is named twice", word)
    return frozenset(str(word) for word in words if word.type != "NEVER")


def _range(words: list[Any]) -> tuple[int, int]:
    least, most = _of(units.time_ms, words[0]), _of(units.time_ms, words[2])
    if least > most:
        raise ValueError(f"the range runs backwards; write {words[2]} to {words[0]}", words[0])
    return least, most


def _copy(words: list[Any]) -> tuple[str, float] | None:
    if words[0].type == "NEVER":
        return None
    if words[1].type == "TIME":
        return "after", _positive(words[1])
    return "percentile", _of(units.percentile, words[1])


def _budget(words: list[Any]) -> tuple[float, int]:
    return _of(units.share, words[0]), _positive(words[2]) if len(words) > 2 else 10_000


_VALUES: dict[str, Callable[[list[Any]], Any]] = {
    "ATTEMPTS": lambda words: _of(units.count, words[0]),
    "ATTEMPT_TIMEOUT": lambda words: _positive(words[0]),
    "TOTAL_TIMEOUT": lambda words: _positive(words[0]),
    "HOLD_TIMEOUT": lambda words: _positive(words[0]),
    "URI": lambda words: str(words[0]),
    "SLOTS": lambda words: _of(units.count, words[0]),
    "COLD_FOR": lambda words: _of(units.time_ms, words[0]),
    "RETRY_ON": _outcomes,
    "BACKOFF": _range,
    "SECOND_COPY": _copy,
    "RETRY_BUDGET": _budget,
}


def parse(name: str, data: bytes) -> Generator[None, None, Document]:
    """Read a file in slices, with breaks between; the document with all its mistakes is the result."""
    mistakes = list[Mistake]()
    document = Document(name, mistakes=mistakes)
    if len(data) > MOST_BYTES:
        mistakes.append(Mistake(Place(name), f"{len(data)} bytes; a file has 1 MiB at most"))
        return document
    first = dict[tuple[str, str], Section]()
    section: Section | None = None  # None also while the lines of a section that can't be are read over
    lost = False
    wants_class: Section | None = None
    for number, raw in enumerate(split(data), 1):
        if number % SLICE == 0:
            yield
        text = read_bytes(name, number, raw, mistakes)
        if not text or text.isspace():
            continue
        try:
            line = read_line(text)
        except Wrong as fault:
            mistakes.append(Mistake(Place(name, number, fault.column + 1), fault.text))
            wants_class = None
            continue
        place = Place(name, number, line.column + 1)
        if wants_class is not None:
            route, wants_class = wants_class, None
            if line.kind == "class":
                route.of_class = Setting("class", line.value, Place(name, number, line.value_column + 1))
                continue
            mistakes.append(Mistake(route.place, f"route {route.name} has no class; 'class NAME' comes next"))
        if line.kind == "setting":
            setting = Setting(line.keyword, line.value, place, line.override)
            if section is not None and (setting.keyword in PRINTER_WORDS) != (section.kind == "printer"):
                mistakes.append(Mistake(place, f"{line.keyword} does not belong in a {section.kind} section"))
            elif section is None:
                if not lost:
                    mistakes.append(
                        Mistake(
                            place,
                            f"{line.keyword} stands before any section; begin with "
                            "'defaults', 'class NAME' or 'route PATH'",
                        )
                    )
            elif known := section.settings.get(line.keyword):
                mistakes.append(Mistake(place, f"{line.keyword} is set twice here; first at line {known.place.line}"))
            else:
                section.settings[line.keyword] = setting
            continue
        section, lost = Section(line.kind, line.value, place), False
        key = (line.kind, line.value)
        if key in first:
            mistakes.append(
                Mistake(place, f"section '{' '.join(key).strip()}' is repeated; first at line {first[key].place.line}")
            )
        elif len(first) == MOST_SECTIONS:
            mistakes.append(Mistake(place, f"over {MOST_SECTIONS} sections"))
            break
        else:
            first[key] = section
            document.sections.append(section)
        if line.kind == "route":
            wants_class = section
    if wants_class is not None:
        mistakes.append(Mistake(wants_class.place, f"route {wants_class.name} has no class; 'class NAME' comes next"))
    return document


def finish(steps: Generator[None, None, T]) -> T:
    """Run a sliced reading to its end without breaks."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: T = end.value
            return result
