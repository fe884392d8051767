"""Sends and receives the heartbeat datagrams of the tier's nodes."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Sequence

from pipitledge.net.scheduler import Scheduler, Task, Wake
from pipitledge.net.timers import Clock
from pipitledge.node.config import Address
from pipitledge.node.counters import Counters, Log
from pipitledge.node.peer_membership import HEARTBEAT_MS, NOT_SERVING, SERVING, PeerMembership

MAX_DATAGRAMS_PER_READ, MAX_DATAGRAM_BYTES = 64, 256  # at one wake-up; the longest that is read


class Peers:
    """Announces whether this node serves, receives the other nodes' heartbeats, and reports changes of who serves."""

    def __init__(
        self,
        scheduler: Scheduler,
        clock: Clock,
        counters: Counters,
        log: Log,
        listen: Address,
        peers: Sequence[Address],
        shared_target: Address | None,
        membership: PeerMembership,
    ) -> None:
        """Set the addresses; `start` opens the socket. With a shared target, one datagram to it reaches all peers."""
        self.scheduler, self.clock, self.counters, self.log = scheduler, clock, counters, log
        self.listen, self.membership = listen, membership
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.targets = (
            [shared_target]
            if shared_target is not None
            else [address for address, number in self.numbers.items() if number != membership.number]
        )
        self.serving = membership.serving(clock.now())
        self.serves: Callable[[], bool] = lambda: True
        self.on_change: Callable[[], None] = lambda: None
        # Handles datagrams of peers that are no heartbeats; returns False for one that it does not know.
        self.on_other_datagram: Callable[[bytes, Address], bool] = lambda datagram, sender: False
        self.sock: socket.socket | None = None
        self._task: Task | None = None

    def start(self) -> None:
        """Open the socket and start the task, unless started; if that fails, the node serves without heartbeats."""
        if self.sock is not None:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind(self.listen)
        except OSError as fault:
            self.log("peers", impossible=fault)
            sock.close()
            return
        self.sock = sock
        self._task = self.scheduler.spawn(lambda: self._run(sock), urgent=True)

    def stop(self) -> None:
        """Close the socket: another process of this node takes over its address."""
        sock, self.sock = self.sock, None
        if sock is not None and self._task is not None:
            self.scheduler.forget(sock.fileno())
            sock.close()
            self._task.wake()

    def announce(self) -> None:
        """Send the next heartbeat now, as the node's life cycle stage has changed."""
        if self._task is not None:
            self._task.wake()

    def _run(self, sock: socket.socket) -> None:
        due = self.clock.now()
        while self.sock is sock:
            why = self.scheduler.wait(due, sock.fileno())
            if self.sock is not sock:
                return
            if why is Wake.READY:
                self._receive(sock)
            else:
                self._announce(sock)
                due = self.clock.now() + HEARTBEAT_MS
            serving = self.membership.serving(self.clock.now())
            if serving != self.serving:
                self.serving = serving
                self.log("peers", there=",".join(map(str, serving)), of=self.membership.instances)
                self.on_change()

    def _receive(self, sock: socket.socket) -> None:
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                datagram, sender = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:  # no more datagrams, or a peer's port is closed
                return
            if sender in self.numbers and self.on_other_datagram(datagram, sender):
                continue
            known = self.membership.record(self.numbers.get(sender, -1), datagram, self.clock.now())
            self.counters.add("peer.heard" if known else "peer.ignored")

    def send(self, datagram: bytes, target: Address) -> bool:
        """Send a datagram of another component to a peer; False if the socket is not open."""
        if self.sock is None:
            return False
        with contextlib.suppress(OSError):  # datagrams may be lost in any case
            self.sock.sendto(datagram, target)
        return True

    def _announce(self, sock: socket.socket) -> None:
        heartbeat = SERVING if self.serves() else NOT_SERVING
        for target in self.targets:
            with contextlib.suppress(OSError):  # the next heartbeat replaces a lost one
                sock.sendto(heartbeat, target)
                self.counters.add("peer.said")
