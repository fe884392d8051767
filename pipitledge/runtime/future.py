"""A future: a thread waits for a result that the logic sets immediately or later."""

from __future__ import annotations

import threading
from typing import Generic, TypeVar

T = TypeVar("T")


class Future(Generic[T]):
    """Holds the first result that is set; later results are dropped."""

    __slots__ = ("_done", "_value")

    def __init__(self) -> None:
        """Create a future without a result."""
        self._done = threading.Lock()
        self._done.acquire()
        self._value: T | None = None

    def set_result(self, value: T) -> None:
        """Set the result. Calls must not run in parallel; they are made under the executor's lock."""
        if self._value is None:
            self._value = value
            self._done.release()

    def wait(self, timeout: float) -> T | None:
        """Return the result, or None if none was set within `timeout` seconds."""
        if self._done.acquire(timeout=timeout):
            self._done.release()
        return self._value
