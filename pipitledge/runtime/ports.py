"""The ports (interfaces) through which the system's logic reaches the network, disks, clocks and timers.

The logic (replication, membership, configuration, scheduling, agent, ingress) never uses sockets, files, clocks or
threads itself. It receives these ports, and is called back through them. All calls into the logic, callbacks included,
are made one at a time: under a single lock in a real process, and from an event queue in virtual time. The logic must
not block.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

Message = Struct
ReplyHandler = Callable[[Struct | None], None]


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call; has no effect if it has run."""


class Clock(Protocol):
    """Monotonic time, time of day, and timers."""

    def now(self) -> float:
        """Return monotonic time, in seconds."""

    def wall_ms(self) -> int:
        """Return the time of day, in milliseconds since 1970; it may jump."""

    def at(self, when: float, action: Callable[[], None]) -> Timer:
        """Schedule `action` to run once monotonic time reaches `when`."""


class Network(Protocol):
    """Messages between the system's own processes."""

    def call(self, address: str, request: Message, timeout: float, on_reply: ReplyHandler) -> None:
        """Send `request` over TCP; `on_reply` receives the reply, or None after a failure or `timeout` seconds.

        After None, the request may have been carried out, or may still be carried out later.
        """

    def datagram(self, address: str, message: Message) -> None:
        """Send the message once over UDP; it may be lost."""


class Disk(Protocol):
    """The durable storage of a voting member. Callbacks run in call order, once the data would survive a power loss.

    If the disk hangs, callbacks come late. If it refuses a write, no callback comes, and the process ends itself.
    """

    def write_epochs(self, record: bytes, on_durable: Callable[[], None]) -> None:
        """Replace the promise record."""

    def append(self, record: bytes, on_durable: Callable[[], None]) -> None:
        """Append one entry to the log."""

    def replace(self, snapshot: bytes, on_durable: Callable[[], None]) -> None:
        """Atomically replace all state by `snapshot` and empty the log."""

    def wants_snapshot(self) -> bool:
        """Return whether the log is so long that `replace` should be called."""


class WorkerResponse(Struct):
    """A worker's response to an agent's call; `status` 0: no response came, and the order may still be carried out."""

    status: int = 0
    body: bytes = b""
    refused: bool = False  # the connection was refused: no process listens at the worker's address


class WorkerTransport(Protocol):
    """An agent's calls to the worker on its machine."""

    def post(
        self, path: str, body: bytes, instance: str, timeout: float, on_answer: Callable[[WorkerResponse], None]
    ) -> None:
        """POST JSON to the worker; only worker instance `instance` should accept it (empty: any instance)."""
