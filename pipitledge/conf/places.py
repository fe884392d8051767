"""Where something stands in a file, and what is wrong there."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Severity(Enum):
    """A file with an error is refused as a whole; a warning leaves it in force."""

    ERROR = "error"
    WARNING = "warning"


class Place(NamedTuple):
    """Line and column count from 1; line 0 means the file as a whole."""

    file: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        """FILE:LINE:COLUMN, as editors and compilers write it."""
        return f"{self.file}:{self.line}:{self.column}" if self.line else self.file


class Mistake(NamedTuple):
    """One thing that is wrong: where, how badly, and what would be right."""

    place: Place
    text: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        """One line: FILE:LINE:COLUMN: error: text."""
        return f"{self.place}: {self.severity.value}: {self.text}"


def errors(mistakes: list[Mistake]) -> list[Mistake]:
    """Those that refuse the file."""
    return [mistake for mistake in mistakes if mistake.severity is Severity.ERROR]
