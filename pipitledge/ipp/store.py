"""The store on a disk: sqlite3 in write-ahead mode. What `put` has returned for outlives a node that is killed.

A torn tail of the log is sqlite's to cut off. `synchronous=NORMAL` loses nothing to SIGKILL; a power cut can lose the
last records, and `FULL`, which would not, costs a disk flush for each step of each job.
"""

from __future__ import annotations

import pathlib
import sqlite3
from collections.abc import Iterable
from dataclasses import fields

from pipitledge.ipp.jobs import PrintRecord
from pipitledge.ipp.model import JobState

_NAMES = [field.name for field in fields(PrintRecord)]
_VERSION = 1


class BadStore(Exception):
    """The file is no store of ours; the text says why."""


class Disk:
    """Records in one sqlite file."""

    def __init__(self, path: pathlib.Path) -> None:
        """Open the file or make it. A file of another make or a later version is refused, not changed."""
        self._base = sqlite3.connect(path, isolation_level=None)
        try:
            if self._one("PRAGMA user_version") == 0 and not self._one("SELECT count(*) FROM sqlite_master"):
                self._base.execute("PRAGMA journal_mode=WAL")
                self._base.executescript(
                    f"CREATE TABLE jobs ({', '.join(_NAMES)}, PRIMARY KEY (id)) WITHOUT ROWID;"
                    "CREATE TABLE highest (id INTEGER); INSERT INTO highest VALUES (0);"
                    f"PRAGMA user_version={_VERSION};"
                )
            if (version := self._one("PRAGMA user_version")) != _VERSION:
                raise BadStore(f"{path}: version {version}, this program's is {_VERSION}")
            self._base.execute("PRAGMA synchronous=NORMAL")
            self._base.execute("PRAGMA journal_size_limit=1048576")
        except sqlite3.DatabaseError as fault:
            raise BadStore(f"{path}: {fault}") from None

    def _one(self, query: str) -> int:
        return int(self._base.execute(query).fetchone()[0])

    def put(self, record: PrintRecord) -> None:
        """Write a record down; new ids raise the highest in the same transaction."""
        values = [getattr(record, name) for name in _NAMES]
        marks = ", ".join("?" * len(values))
        self._base.execute("BEGIN")
        self._base.execute(f"INSERT OR REPLACE INTO jobs VALUES ({marks})", values)
        self._base.execute("UPDATE highest SET id = max(id, ?)", (record.id,))
        self._base.execute("COMMIT")

    def drop(self, ids: Iterable[int]) -> None:
        """Forget records."""
        self._base.execute("BEGIN")
        self._base.executemany("DELETE FROM jobs WHERE id = ?", [(number,) for number in ids])
        self._base.execute("COMMIT")

    def load(self) -> list[PrintRecord]:
        """All records, by id."""
        rows = self._base.execute(f"SELECT {', '.join(_NAMES)} FROM jobs ORDER BY id")
        found = list[PrintRecord]()
        for row in rows:
            values = dict(zip(_NAMES, row, strict=True))
            values["state"], values["sent"] = JobState(values["state"]), bool(values["sent"])
            found.append(PrintRecord(**values))
        return found

    def highest(self) -> int:
        """The highest id that was ever given."""
        return self._one("SELECT id FROM highest")

    def close(self) -> None:
        """Close the file."""
        self._base.close()
