"""A thread pool for blocking calls, with limits per peer so that an unresponsive peer can't block calls to others."""

from __future__ import annotations

import enum
import threading
from collections import deque
from collections.abc import Callable

from msgspec import Struct

from pipitledge.runtime.thread_starter import starter

IDLE_SECONDS = 30.0  # a thread that gets no call for this long ends


class CallOutcome(enum.Enum):
    """Whether a call reached the machine of its peer."""

    REACHED = "reached"  # a connection was accepted or actively refused, so the peer's machine is up
    UNREACHABLE = "unreachable"  # the connection attempt timed out


class CallLimits(Struct, frozen=True):
    """Limits on the number of calls in progress and waiting."""

    threads: int = 40
    per_address: int = 12
    per_suspect: int = 3  # for an address that was unreachable at the last call
    total_suspect: int = 12  # for all unreachable addresses together
    waiting: int = 256  # calls queued per address beyond `per_address`


class PendingCall(Struct, eq=False):
    """A call to make. `perform` blocks; the call is skipped if `is_awaited` returns False when its turn comes."""

    address: str
    perform: Callable[[], CallOutcome]
    is_awaited: Callable[[], bool]


class _PeerState:
    """The calls in progress and waiting for one address."""

    __slots__ = ("running", "suspect", "waiting")

    def __init__(self) -> None:
        self.running = 0
        self.suspect = False
        self.waiting: deque[PendingCall] = deque()


class CallThreadPool:
    """Runs calls on daemon threads that are started as needed; calls to one address start in order of submission."""

    def __init__(self, name: str, limits: CallLimits) -> None:
        """Create the pool without threads; `name` is the prefix of the thread names."""
        self._name = name
        self._limits = limits
        self._changed = threading.Condition(threading.Lock())
        self._ready: deque[PendingCall] = deque()
        self._peers: dict[str, _PeerState] = {}
        self._threads = 0
        self._idle = 0
        self._suspect_running = 0
        self._closed = False

    def submit(self, call: PendingCall) -> bool:
        """Accept a call for execution; return False if it is rejected because its address has too many calls."""
        with self._changed:
            peer = self._peers.setdefault(call.address, _PeerState())
            if self._may_run(peer):
                self._dispatch(peer, call)
                return True
            if peer.suspect or len(peer.waiting) >= self._limits.waiting:
                return False
            peer.waiting.append(call)
            return True

    def busy(self) -> int:
        """Return the number of calls that run or wait for a thread; calls waiting for their address are not counted."""
        with self._changed:
            return sum(peer.running for peer in self._peers.values())

    def is_suspect(self, address: str) -> bool:
        """Return whether `address` was unreachable at the last call."""
        with self._changed:
            peer = self._peers.get(address)
            return peer is not None and peer.suspect

    def close(self) -> None:
        """Make idle threads end; calls in progress are not interrupted."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def _may_run(self, peer: _PeerState) -> bool:
        """Return whether the limits allow one more call to this peer."""
        if not peer.suspect:
            return peer.running < self._limits.per_address
        return peer.running < self._limits.per_suspect and self._suspect_running < self._limits.total_suspect

    def _dispatch(self, peer: _PeerState, call: PendingCall) -> None:
        """Count the call as running, and wake or start a thread for it."""
        peer.running += 1
        self._suspect_running += peer.suspect
        self._ready.append(call)
        if self._idle >= len(self._ready):
            self._changed.notify()
        elif self._threads < self._limits.threads:
            self._threads += 1
            thread = threading.Thread(target=self._run_calls, name=f"{self._name}-{self._threads}", daemon=True)
            starter.start(thread)  # not thread.start(), which may block: callers hold the executor's lock

    def _run_calls(self) -> None:
        """Run calls until none arrives for `IDLE_SECONDS`; the main loop of each thread."""
        while (call := self._next_call()) is not None:
            outcome = CallOutcome.REACHED
            try:
                if call.is_awaited():
                    outcome = call.perform()
            finally:
                self._on_finished(call, outcome)

    def _next_call(self) -> PendingCall | None:
        """Wait for the next call; return None if the thread should end."""
        with self._changed:
            self._idle += 1
            woken = True
            while not self._ready and woken and not self._closed:
                woken = self._changed.wait(IDLE_SECONDS)
            self._idle -= 1
            if self._ready:
                return self._ready.popleft()
            self._threads -= 1
            return None

    def _on_finished(self, call: PendingCall, outcome: CallOutcome) -> None:
        """Update the counts after a call, and dispatch calls that wait for the same address."""
        with self._changed:
            peer = self._peers[call.address]
            peer.running -= 1
            self._suspect_running -= peer.suspect
            self._set_suspect(peer, outcome is CallOutcome.UNREACHABLE)
            while peer.waiting and self._may_run(peer):
                self._dispatch(peer, peer.waiting.popleft())
            if not peer.running and not peer.waiting and not peer.suspect:
                del self._peers[call.address]

    def _set_suspect(self, peer: _PeerState, suspect: bool) -> None:
        """Record whether the peer is suspected to be unreachable."""
        if suspect == peer.suspect:
            return
        peer.suspect = suspect
        self._suspect_running += peer.running if suspect else -peer.running
