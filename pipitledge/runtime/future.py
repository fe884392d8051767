"""A place where a thread waits for an answer that logic gives now or later."""

from __future__ import annotations

import threading
from typing import Generic, TypeVar

T = TypeVar("T")


class Future(Generic[T]):
    """Holds the first answer that is given; later ones are dropped."""

    __slots__ = ("_done", "_value")

    def __init__(self) -> None:
        """Hold nothing yet."""
        self._done = threading.Lock()
        self._done.acquire()
        self._value: T | None = None

    def set_result(self, value: T) -> None:
        """Give the answer; one call at a time (under the host's lock)."""
        if self._value is None:
            self._value = value
            self._done.release()

    def wait(self, timeout: float) -> T | None:
        """The answer, or None after `timeout` seconds without one."""
        if self._done.acquire(timeout=timeout):
            self._done.release()
        return self._value
