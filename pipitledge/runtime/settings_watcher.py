"""Reloads the settings file when it changes; an invalid file is logged, and the last valid settings stay in force."""

from __future__ import annotations

import os
from collections.abc import Callable

from msgspec import Struct

from pipitledge.runtime import settings as settings_file
from pipitledge.runtime.logs import EventLog
from pipitledge.runtime.settings import Settings, SettingsProblem

Load = Callable[[str], Settings | SettingsProblem]


class _FileStamp(Struct, frozen=True):
    """File metadata that changes when the file is modified or replaced."""

    modified_ns: int
    size: int
    inode: int


class SettingsWatcher:
    """Holds the settings in force (`current`) and reloads them from the file."""

    def __init__(self, path: str, current: Settings, log: EventLog, load: Load = settings_file.load) -> None:
        """Start with `current`, which was read from `path`; the first `poll` always reads the file again."""
        self._path = path
        self._log = log
        self._load = load
        self._stamp: _FileStamp | None = None
        self._last_read_valid = True
        self.current = current

    def poll(self) -> Settings | None:
        """Reload the file if it changed since the last poll; return the settings if they differ from `current`."""
        stamp = self._file_stamp()
        if stamp == self._stamp:
            return None
        loaded = self.reload()
        if self._last_read_valid:
            self._stamp = stamp  # otherwise the next poll retries: the file may only be unreadable for a moment
        return loaded

    def reload(self) -> Settings | None:
        """Read the file; return the settings if they are valid and differ from `current`."""
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
        """Return the metadata of the file; None if it can't be read."""
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return _FileStamp(found.st_mtime_ns, found.st_size, found.st_ino)
