"""Starts threads from a dedicated thread.

`Thread.start` blocks until the new thread runs for the first time, which takes seconds on an overloaded machine.
Threads that must not block, such as the event thread of a server or a thread that holds the executor's lock, start
new threads through this module.
"""

from __future__ import annotations

import queue
import threading
import time

RETRY_SECONDS = 0.05  # pause after a thread could not be started


class ThreadStarter:
    """Starts threads in the order in which they are submitted; a thread that fails to start is retried last."""

    def __init__(self) -> None:
        """Create the starter; its own thread is started by `prepare` or by the first call of `start`."""
        self._waiting: queue.SimpleQueue[threading.Thread] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._thread: threading.Thread | None = None

    def prepare(self) -> None:
        """Start the starter's own thread and wait for it, so that later calls of `start` don't block."""
        with self._lock:
            if self._thread is None:
                self._thread = threading.Thread(target=self._serve, name="starter", daemon=True)
                self._thread.start()

    def start(self, thread: threading.Thread) -> None:
        """Queue `thread` to be started; does not wait until it runs."""
        if self._thread is None:
            self.prepare()
        self._waiting.put(thread)

    def _serve(self) -> None:
        while True:
            thread = self._waiting.get()
            try:
                thread.start()
            except RuntimeError:  # the system can't create another thread at the moment
                self._waiting.put(thread)
                time.sleep(RETRY_SECONDS)


starter = ThreadStarter()  # shared by the whole process
