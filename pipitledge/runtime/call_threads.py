"""Threads for calls that block, so bounded that a peer which does not answer can't hold up calls to others."""

from __future__ import annotations

import enum
import threading
from collections import deque
from collections.abc import Callable

from msgspec import Struct

from pipitledge.runtime.thread_starter import starter

IDLE_SECONDS = 30.0  # after which a thread without work ends


class CallOutcome(enum.Enum):
    """What a call tells of its peer."""

    REACHED = "reached"  # a connection was made, or refused at once: the peer's machine is there
    UNREACHABLE = "unreachable"  # no connection came about in time


class CallLimits(Struct, frozen=True):
    """How many calls may be under way."""

    threads: int = 40
    per_address: int = 12
    per_suspect: int = 3  # at an address that was unreachable at the last call
    total_suspect: int = 12  # at such addresses together
    waiting: int = 256  # more than `per_address`, kept back for an address


class PendingCall(Struct, eq=False):
    """A call to be made; `perform` blocks, `wanted` tells whether anybody still waits for it."""

    address: str
    perform: Callable[[], CallOutcome]
    is_awaited: Callable[[], bool]


class _PeerState:
    """What is under way at one address."""

    __slots__ = ("running", "suspect", "waiting")

    def __init__(self) -> None:
        self.running = 0
        self.suspect = False
        self.waiting: deque[PendingCall] = deque()


class CallThreadPool:
    """Runs calls in the order of their arrival at each address, on daemon threads started as needed."""

    def __init__(self, name: str, limits: CallLimits) -> None:
        """Name the threads `name`."""
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
        """Have the call made; False if its address has too many under way, and it never will be."""
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
        """How many calls are under way."""
        with self._changed:
            return sum(peer.running for peer in self._peers.values())

    def is_suspect(self, address: str) -> bool:
        """Whether `address` was unreachable at the last call."""
        with self._changed:
            peer = self._peers.get(address)
            return peer is not None and peer.suspect

    def close(self) -> None:
        """Let idle threads end."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def _may_run(self, peer: _PeerState) -> bool:
        """Whether one more call may be under way at that address."""
        if not peer.suspect:
            return peer.running < self._limits.per_address
        return peer.running < self._limits.per_suspect and self._suspect_running < self._limits.total_suspect

    def _dispatch(self, peer: _PeerState, call: PendingCall) -> None:
        """Count the call as under way, and see to it that a thread takes it."""
        peer.running += 1
        self._suspect_running += peer.suspect
        self._ready.append(call)
        if self._idle >= len(self._ready):
            self._changed.notify()
        elif self._threads < self._limits.threads:
            self._threads += 1
            thread = threading.Thread(target=self._run_calls, name=f"{self._name}-{self._threads}", daemon=True)
            starter.start(thread)  # callers hold the lock of all logic

    def _run_calls(self) -> None:
        """Make calls until none comes for a while."""
        while (call := self._next_call()) is not None:
            outcome = CallOutcome.REACHED
            try:
                if call.is_awaited():
                    outcome = call.perform()
            finally:
                self._on_finished(call, outcome)

    def _next_call(self) -> PendingCall | None:
        """The next call; None if the thread should end."""
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
        """Take the call off the counts, and let the next one at that address go."""
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
        """Note whether the peer is suspected of being unreachable."""
        if suspect == peer.suspect:
            return
        peer.suspect = suspect
        self._suspect_running += peer.running if suspect else -peer.running
