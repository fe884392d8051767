"""Follows the settings file: a changed one is loaded, a broken one is logged and the last good settings stay."""

from __future__ import annotations

import os
from collections.abc import Callable

from msgspec import Struct

from pipitledge.runtime import settings as settings_file
from pipitledge.runtime.logs import EventLog
from pipitledge.runtime.settings import Settings, SettingsProblem

Load = Callable[[str], Settings | SettingsProblem]


class _FileStamp(Struct, frozen=True):
    """What tells one state of a file from another."""

    modified_ns: int
    size: int
    inode: int


class SettingsWatcher:
    """The settings in force."""

    def __init__(self, path: str, current: Settings, log: EventLog, load: Load = settings_file.load) -> None:
        """Begin with `current`, which was read from `path`; the first look reads it again, as it may have changed."""
        self._path = path
        self._log = log
        self._load = load
        self._stamp: _FileStamp | None = None
        self._last_read_valid = True  # what was read last
        self.current = current

    def poll(self) -> Settings | None:
        """New settings, if the file has changed since the last look and says something else."""
        stamp = self._file_stamp()
        if stamp == self._stamp:
            return None
        loaded = self.reload()
        if self._last_read_valid:
            self._stamp = stamp  # else it is read again: it may have been unreadable for a moment only
        return loaded

    def reload(self) -> Settings | None:
        """Read the file; new settings if it is sound and says something else."""
        loaded = self._load(self._path)
        if isinstance(loaded, SettingsProblem):
            self._log.error("settings_broken", step="reload", path=loaded.path, reason=loaded.reason)
            self._last_read_valid = False
            return None
        self._last_read_valid = True
        if loaded == self.current:
            return None
        self.current = loaded
        self._log.info("settings_reloaded", path=self._path)
        return loaded

    def _file_stamp(self) -> _FileStamp | None:
        """The file's stamp; None if there is no file."""
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return _FileStamp(found.st_mtime_ns, found.st_size, found.st_ino)
