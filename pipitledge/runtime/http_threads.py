"""The thread pool that answers requests; it grows while requests wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cheroot.workers import threadpool

from pipitledge.runtime.thread_starter import starter

if TYPE_CHECKING:
    from pipitledge.runtime.http_server import CherootServer


class RequestThreads(threadpool.ThreadPool):
    """A pool that adds a thread when more requests are in progress than there are threads.

    The decision counts requests instead of idle threads, because a thread that has just taken a request still appears
    idle. The event thread grows the pool, and must not block until the new thread has started.
    """

    _threads: list[threadpool.WorkerThread]

    def __init__(self, owner: CherootServer, threads: int, max_threads: int) -> None:
        """Create a pool of `threads` threads that grows to at most `max_threads`."""
        super().__init__(owner, min=threads, max=max_threads)

    def grow(self, amount: int) -> None:
        """Add up to `amount` threads, without waiting until they run."""
        for _ in range(min(amount, self.max - len(self._threads))):
            worker = threadpool.WorkerThread(self.server)
            worker.name = f"{self.server.options.name}-{len(self._threads)}"
            worker.daemon = True
            self._threads.append(worker)
            starter.start(worker)

    def grow_if_short(self) -> None:
        """Add a thread if more requests are in progress than there are threads."""
        if len(self._threads) < len(self.server.in_flight_calls):
            self.grow(1)
