"""Messages over UDP: one socket, and one thread that receives."""

from __future__ import annotations

import functools
import socket
import threading
from collections.abc import Callable

from msgspec import Struct

from pipitledge.runtime.executor import SerialExecutor
from pipitledge.runtime.logs import EventLog
from pipitledge.wire import codec

MAX_DATAGRAM_BYTES = 65_507  # largest payload of UDP over IPv4


class DatagramSocket:
    """Sends and receives messages; malformed datagrams are dropped and counted."""

    def __init__(self, executor: SerialExecutor, on_message: Callable[[Struct], None], log: EventLog) -> None:
        """Create the socket; each received message is passed to `on_message` under the executor's lock."""
        self._executor = executor
        self._on_message = on_message
        self._log = log
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._thread = threading.Thread(target=self._receive, name="datagrams", daemon=True)
        self._stopped = False
        self.malformed = 0  # received datagrams that could not be decoded
        self.unsent = 0  # datagrams too long, with an invalid address, or refused by the operating system

    def bind(self, ip: str, port: int) -> None:
        """Bind the socket; raises OSError if the address is in use."""
        self._socket.bind((ip, port))

    def start(self) -> None:
        """Start the receiving thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the receiving thread, waking it with an empty datagram, and close the socket."""
        self._stopped = True
        if self._thread.is_alive():
            self._socket.sendto(b"", self._socket.getsockname())
            self._thread.join()
        self._socket.close()

    def send(self, address: str, message: Struct) -> None:
        """Send the message once without blocking; it may be lost."""
        try:
            self._socket.sendto(codec.encode(message), socket.MSG_DONTWAIT, _endpoint(address))
        except (OSError, ValueError) as error:  # ValueError: the address has no valid port
            self.unsent += 1
            self._log.warning("datagram_unsent", peer=address, type=type(message).__name__, error=repr(error))

    def _receive(self) -> None:
        """Receive datagrams until `stop` is called."""
        buffer = bytearray(MAX_DATAGRAM_BYTES)
        view = memoryview(buffer)
        while not self._stopped:
            try:
                length, sender = self._socket.recvfrom_into(buffer)
            except OSError:
                continue
            if not self._stopped:
                self._handle_datagram(bytes(view[:length]), sender[0])

    def _handle_datagram(self, data: bytes, sender: str) -> None:
        """Decode one datagram and pass the message on."""
        try:
            message = codec.decode(data)
        except codec.WireError as error:
            self.malformed += 1
            self._log.warning("malformed_datagram", peer=sender, reason=error)
            return
        self._executor.run(lambda: self._on_message(message), type(message).__name__, sender)


@functools.lru_cache(maxsize=1024)
def _endpoint(address: str) -> tuple[str, int]:
    """Split `ip:port` into the pair that the socket module expects."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
