"""Responses of the HTTP handlers to requests with an unknown path or a wrong method."""

from __future__ import annotations

from http import HTTPStatus

from pipitledge.runtime.http_types import HttpResponse

NO_SUCH_PATH = HttpResponse(HTTPStatus.NOT_FOUND, b'{"error":"no such path"}')
WRONG_METHOD = HttpResponse(HTTPStatus.METHOD_NOT_ALLOWED, b'{"error":"method not allowed"}')
