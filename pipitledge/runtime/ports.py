"""The boundary between the system's logic and the world.

Logic (replication, membership, configuration, scheduling, agent, ingress) never touches sockets, files, clocks
or threads. It is given these ports, and is called back through them. All calls into logic, and all callbacks,
are made one at a time, under one lock of the process in service, and by a queue of events in virtual time.
Logic must not block.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

Message = Struct
ReplyHandler = Callable[[Struct | None], None]


class Timer(Protocol):
    """A call that is due at some time."""

    def cancel(self) -> None:
        """Drop it; nothing happens if it has run."""


class Clock(Protocol):
    """Time and timers."""

    def now(self) -> float:
        """Steady time, seconds."""

    def wall_ms(self) -> int:
        """Time of day, milliseconds since 1970; may jump."""

    def at(self, when: float, action: Callable[[], None]) -> Timer:
        """Call `action` once steady time reaches `when`."""


class Network(Protocol):
    """Messages between the system's own processes."""

    def call(self, address: str, request: Message, timeout: float, on_reply: ReplyHandler) -> None:
        """Send `request` over TCP; `on_reply` gets the answer, or None after a failure or `timeout` seconds.

        After None the request may have been carried out, or may be carried out later.
        """

    def datagram(self, address: str, message: Message) -> None:
        """Send once over UDP; may be lost."""


class Disk(Protocol):
    """What a counted node keeps. Callbacks come in the order of the calls, once the data would survive a power loss.

    A disk that hangs calls back late; one that refuses a write calls nothing back, and the process ends itself.
    """

    def write_epochs(self, record: bytes, on_durable: Callable[[], None]) -> None:
        """Replace the small record of promises."""

    def append(self, record: bytes, on_durable: Callable[[], None]) -> None:
        """Add one entry to the log."""

    def replace(self, snapshot: bytes, on_durable: Callable[[], None]) -> None:
        """Replace all state and empty the log, atomically."""

    def wants_snapshot(self) -> bool:
        """Whether the log has grown so long that `replace` should be called."""


class WorkerResponse(Struct):
    """A worker's answer to an agent's call; `status` 0: there was none (the order may still be carried out)."""

    status: int = 0
    body: bytes = b""
    refused: bool = False  # nothing listens at the worker's address: no connection was made


class WorkerClient(Protocol):
    """An agent's calls to the worker on its machine."""

    def post(
        self, path: str, body: bytes, instance: str, timeout: float, on_answer: Callable[[WorkerResponse], None]
    ) -> None:
        """POST JSON to the worker, meant for its life `instance` (empty: any)."""
