"""Tables for people, from the same plain values that programs get as JSON."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import TextIO

from rich.console import Console
from rich.table import Table

PIPE_WIDTH = 160  # columns, where the output is no terminal


def console_for(stream: TextIO) -> Console:
    """A console that doesn't wrap too early where its output goes to a pipe."""
    return Console(file=stream, width=None if stream.isatty() else PIPE_WIDTH, highlight=False, markup=False)


def show_section(console: Console, title: str, section: Mapping[str, object]) -> None:
    """Single values first, then a table for each list of objects."""
    lists = {key: value for key, value in section.items() if _is_rows(value)}
    single = {key: value for key, value in section.items() if key not in lists}
    if single:
        show_pairs(console, title, single)
    for key, rows in lists.items():
        assert isinstance(rows, list)
        show_rows(console, f"{title}: {key}" if key != title else title, rows)


def show_pairs(console: Console, title: str, pairs: Mapping[str, object]) -> None:
    """One value a line."""
    table = Table(title=title, title_justify="left", show_header=False)
    table.add_column("name")
    table.add_column("value", overflow="fold")
    for name, value in pairs.items():
        table.add_row(name, text_of(value))
    console.print(table)


def show_rows(console: Console, title: str, rows: Sequence[Mapping[str, object]]) -> None:
    """One object a line, its keys as columns."""
    table = Table(title=title, title_justify="left")
    for column in rows[0]:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(text_of(row.get(column)) for column in rows[0]))
    console.print(table)


def text_of(value: object) -> str:
    """A value as people read it."""
    if value is None or value == "" or value == []:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(text_of(one) for one in value)
    return json.dumps(value, ensure_ascii=False) if isinstance(value, dict) else str(value)


def _is_rows(value: object) -> bool:
    return isinstance(value, list) and bool(value) and all(isinstance(row, dict) for row in value)
