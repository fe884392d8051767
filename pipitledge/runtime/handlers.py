"""A registry of message handlers: components register by message type, and the transport dispatches to them."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

Reply = Callable[[Struct], None]
CallHandler = Callable[..., None]  # (message, reply): calls reply once, immediately or later
DatagramHandler = Callable[..., None]  # (message)


class Handlers:
    """Maps each message type to its handler."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._calls: dict[type[Struct], CallHandler] = {}
        self._datagrams: dict[type[Struct], DatagramHandler] = {}

    def on_call(self, message_type: type[Struct], handler: CallHandler) -> None:
        """Register `handler(message, reply)` for calls of this type."""
        self._calls[message_type] = handler

    def on_datagram(self, message_type: type[Struct], handler: DatagramHandler) -> None:
        """Register `handler(message)` for datagrams of this type."""
        self._datagrams[message_type] = handler

    def call(self, message: Struct, reply: Reply) -> bool:
        """Dispatch a call; return False if no handler is registered for its type."""
        handler = self._calls.get(type(message))
        if handler is not None:
            handler(message, reply)
        return handler is not None

    def datagram(self, message: Struct) -> None:
        """Dispatch a datagram; it is dropped if no handler is registered for its type."""
        handler = self._datagrams.get(type(message))
        if handler is not None:
            handler(message)
