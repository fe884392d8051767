"""Ports for processes that are yet to be started, which nobody else takes meanwhile.

A port that was looked up by binding to port 0 and let go may be handed to any connection of any process before the one
that it is meant for has bound it. These lie below the ports that the kernel hands out by itself; and each is kept from
other users of this module, in whatever process, by a socket on an address that nothing else uses.
"""

from __future__ import annotations

import errno
import random
import socket
from pathlib import Path

LOOPBACK = "127.0.0.1"
RESERVATIONS_IP = "127.255.255.254"
FIRST_PORT = 10_000
DEFAULT_FIRST_EPHEMERAL = 32_768
EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
MOST_TRIES = 1_000

Address = tuple[str, int]


class NoFreePortError(RuntimeError):
    """No port was found in `MOST_TRIES` tries."""


class Ports:
    """Hands out ports; each stays ours until this process ends."""

    def __init__(self) -> None:
        """Hold none yet."""
        self._held: list[socket.socket] = []
        self._random = random.Random()

    def take(self) -> int:
        """A port on 127.0.0.1 that is free for TCP and UDP, and stays so for whoever it is meant for."""
        last = first_ephemeral() - 1
        for _ in range(MOST_TRIES):
            port = self._random.randint(FIRST_PORT, last)
            if self._reserve(port):
                return port
        raise NoFreePortError(f"no free port from {FIRST_PORT} to {last}")

    def _reserve(self, port: int) -> bool:
        """Keep the port from others; False if somebody has it."""
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        if not _binds(reservation, (RESERVATIONS_IP, port)):
            reservation.close()
            return False
        self._held.append(reservation)
        return all(_is_free(kind, port) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM))


def first_ephemeral() -> int:
    """The first of the ports that the kernel hands out by itself."""
    try:
        return int(EPHEMERAL_RANGE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return DEFAULT_FIRST_EPHEMERAL


def _is_free(kind: socket.SocketKind, port: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        return _binds(probe, (LOOPBACK, port))


def _binds(sock: socket.socket, address: Address) -> bool:
    try:
        sock.bind(address)
    except OSError as error:
        if error.errno != errno.EADDRINUSE:
            raise
        return False
    return True


_ports = Ports()


def free_port() -> int:
    """A port on 127.0.0.1 for a process that is yet to be started."""
    return _ports.take()


def free_address() -> Address:
    """The same, with its address."""
    return LOOPBACK, free_port()
