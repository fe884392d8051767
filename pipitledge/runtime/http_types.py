"""HTTP requests and responses as passed between the servers and the logic."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct


class HttpRequest(Struct, frozen=True):
    """One request with its complete body."""

    method: str
    path: str  # percent-decoded, without the query
    query: str = ""
    headers: dict[str, str] = {}  # names in lower case
    body: bytes = b""
    peer: str = ""  # IP address of the caller


class HttpResponse(Struct, frozen=True):
    """One response; the server adds the `Content-Length` header."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}


Respond = Callable[[HttpResponse], None]
HttpHandler = Callable[[HttpRequest, Respond], None]  # calls respond once, immediately or later
