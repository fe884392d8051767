"""Handles one request: reads it completely, gets the response from the server's exchange, and writes it at once."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, Any

from cheroot import errors, server

from pipitledge.runtime.http_types import HttpRequest, HttpResponse

if TYPE_CHECKING:
    from pipitledge.runtime.http_server import CherootServer

MAX_DISCARD_BYTES = 8 * 1024 * 1024  # bytes read of a body over the limit, so that the caller receives the answer
DISCARD_CHUNK = 64 * 1024
TOO_LARGE = HttpResponse(413, b'{"reason":"body too large"}', {"Connection": "close"})
BAD_BODY = HttpResponse(400, b'{"reason":"malformed body"}', {"Connection": "close"})
FAILED = HttpResponse(500, b'{"reason":"internal error"}')
SHUTTING_DOWN = HttpResponse(
    503, b'{"reason":"this process is about to end"}', {"Connection": "close", "Retry-After": "1"}
)


class Gateway(server.Gateway):
    """Connects cheroot's request handling with the server's exchange."""

    def respond(self) -> None:
        """Read the request and write its response; close the connection if the caller has disconnected."""
        body = self._read_body()
        if body is None:
            self.req.close_connection = True
            self.req.sent_headers = True
            return
        response = body if isinstance(body, HttpResponse) else self._exchange(body)
        self._write(response)

    def _exchange(self, body: bytes) -> HttpResponse:
        """Return the response to the request, or an error response."""
        owner: CherootServer = self.req.server
        if owner.refusing:
            return SHUTTING_DOWN
        try:
            return owner.exchange(self._request(body))
        except Exception as error:
            owner.log.error("exchange_failed", server=owner.options.name, peer=self._peer(), error=repr(error))
            return FAILED

    def _request(self, body: bytes) -> HttpRequest:
        """Return cheroot's request as an `HttpRequest`."""
        req = self.req
        headers = {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in req.inheaders.items()}
        return HttpRequest(
            method=req.method.decode("latin-1"),
            path=req.path.decode("utf-8", "replace"),
            query=req.qs.decode("latin-1"),
            headers=headers,
            body=body,
            peer=self._peer(),
        )

    def _peer(self) -> str:
        """Return the IP address of the caller."""
        return str(self.req.conn.remote_addr or "")

    def _read_body(self) -> bytes | HttpResponse | None:
        """Return the body, an error response if it is unacceptable, or None if the caller has disconnected."""
        if self.req.chunked_read:
            return self._read_chunks()
        length = int(self.req.inheaders.get(b"Content-Length", 0))
        if length < 0:
            return BAD_BODY
        if length > self.req.server.body_limit:
            self._discard(length)
            return TOO_LARGE
        body = self.req.conn.rfile.read(length) if length else b""
        return body if len(body) == length else None

    def _read_chunks(self) -> bytes | HttpResponse:
        """Return a body sent in chunked encoding, or an error response."""
        source: Any = server.ChunkedRFile(self.req.conn.rfile, self.req.server.body_limit)
        try:
            body = bytes(source.read())
            for _ in source.read_trailer_lines():
                pass
        except TimeoutError:
            raise
        except errors.MaxSizeExceeded:
            return TOO_LARGE
        except ValueError:
            return BAD_BODY
        except OSError as error:
            if error.errno is not None:
                raise
            return TOO_LARGE
        return body

    def _discard(self, length: int) -> None:
        """Read and drop a body over the limit.

        Closing a connection with unread bytes would reset it before the caller has read the response.
        """
        left = min(length, MAX_DISCARD_BYTES)
        while left > 0:
            chunk = self.req.conn.rfile.read(min(left, DISCARD_CHUNK))
            if not chunk:
                return
            left -= len(chunk)

    def _write(self, response: HttpResponse) -> None:
        """Write head and body of the response with one call."""
        req = self.req
        req.close_connection = req.close_connection or self._must_close(response)
        req.sent_headers = True
        lines = [f"HTTP/1.1 {response.status} {_phrase(response.status)}"]
        lines += [f"{name}: {value}" for name, value in response.headers.items() if name != "Connection"]
        if response.body and "Content-Type" not in response.headers:
            lines.append("Content-Type: application/json")
        if response.status not in (204, 304):
            lines.append(f"Content-Length: {len(response.body)}")
        if req.close_connection:
            lines.append("Connection: close")
        elif req.response_protocol == "HTTP/1.0":
            lines.append("Connection: Keep-Alive")
        head = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"
        req.conn.wfile.write(head if req.method == b"HEAD" else head + response.body)

    def _must_close(self, response: HttpResponse) -> bool:
        """Return whether the connection is closed after this response."""
        asked: bytes = self.req.inheaders.get(b"Connection", b"")
        owner: CherootServer = self.req.server
        wanted = asked.lower() == b"close" or response.headers.get("Connection") == "close"
        return wanted or owner.draining or not owner.can_add_keepalive_connection


def _phrase(status: int) -> str:
    """Return the reason phrase of a status code."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Other"
