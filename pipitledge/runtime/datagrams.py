"""Messages by UDP: one socket, one thread that receives."""

from __future__ import annotations

import functools
import socket
import threading
from collections.abc import Callable

from msgspec import Struct

from pipitledge.runtime.executor import SerialExecutor
from pipitledge.runtime.logs import EventLog
from pipitledge.wire import codec

MAX_DATAGRAM_BYTES = 65_507  # bytes of payload that UDP over IPv4 carries


class DatagramSocket:
    """Sends and receives messages; what is malformed is dropped and counted."""

    def __init__(self, executor: SerialExecutor, on_message: Callable[[Struct], None], log: EventLog) -> None:
        """Hand what arrives to `take`, under the host's lock."""
        self._executor = executor
        self._on_message = on_message
        self._log = log
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._thread = threading.Thread(target=self._receive, name="datagrams", daemon=True)
        self._stopped = False
        self.malformed = 0  # received and dropped
        self.unsent = 0  # refused by this machine's network, or too long

    def bind(self, ip: str, port: int) -> None:
        """Take the address; raises OSError if it is taken."""
        self._socket.bind((ip, port))

    def start(self) -> None:
        """Begin to receive."""
        self._thread.start()

    def stop(self) -> None:
        """Receive no more."""
        self._stopped = True
        if self._thread.is_alive():
            self._socket.sendto(b"", self._socket.getsockname())
            self._thread.join()
        self._socket.close()

    def send(self, address: str, message: Struct) -> None:
        """Send once, without waiting; may be lost."""
        try:
            self._socket.sendto(codec.encode(message), socket.MSG_DONTWAIT, _endpoint(address))
        except (OSError, ValueError) as error:  # an address that is none can't be reached either
            self.unsent += 1
            self._log.warning("datagram_unsent", peer=address, type=type(message).__name__, error=repr(error))

    def _receive(self) -> None:
        """Take datagrams until stopped."""
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
        """Decode one datagram and hand it over."""
        try:
            message = codec.decode(data)
        except codec.WireError as error:
            self.malformed += 1
            self._log.warning("malformed_datagram", peer=sender, reason=error)
            return
        self._executor.run(lambda: self._on_message(message), type(message).__name__, sender)


@functools.lru_cache(maxsize=1024)
def _endpoint(address: str) -> tuple[str, int]:
    """Split `ip:port`."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
