"""Threads that answer requests: a pool that grows while requests wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cheroot.workers import threadpool

from pipitledge.runtime.thread_starter import starter

if TYPE_CHECKING:
    from pipitledge.runtime.http_server import CherootServer


class RequestThreads(threadpool.ThreadPool):
    """A pool that adds a thread when there are more calls under way than threads.

    Calls are counted, not idle threads: a thread that has just taken a call does not show it yet. The thread that
    watches the connections grows the pool, and must not wait until the new thread has been started.
    """

    _threads: list[threadpool.WorkerThread]

    def __init__(self, owner: CherootServer, threads: int, max_threads: int) -> None:
        """Begin with `threads`, and have `most` at last."""
        super().__init__(owner, min=threads, max=max_threads)

    def grow(self, amount: int) -> None:
        """Add threads, without waiting until they have begun."""
        for _ in range(min(amount, self.max - len(self._threads))):
            worker = threadpool.WorkerThread(self.server)
            worker.name = f"{self.server.options.name}-{len(self._threads)}"
            worker.daemon = True
            self._threads.append(worker)
            starter.start(worker)

    def grow_if_short(self) -> None:
        """Have a thread added if there are more calls under way than threads."""
        if len(self._threads) < len(self.server.in_flight_calls):
            self.grow(1)
