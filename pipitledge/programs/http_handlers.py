"""HTTP handlers of a node: they translate requests into calls of its components, and the results into responses."""

from __future__ import annotations

import math
from http import HTTPStatus

from pipitledge.ingress.control_plane_api import ControlPlaneApi
from pipitledge.ingress.ingress import Ingress
from pipitledge.ingress.readiness import Readiness
from pipitledge.programs.rejections import NO_SUCH_PATH, WRONG_METHOD
from pipitledge.runtime.http_types import HttpHandler, HttpRequest, HttpResponse, Respond
from pipitledge.wire.paths import READY_PATH

MS_PER_SECOND = 1000
READY = HttpResponse(HTTPStatus.OK, b'{"ready":true}')
NOT_READY = HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, b'{"ready":false}')


def client_handler(ingress: Ingress) -> HttpHandler:
    """Return the handler of clients' calls, served at the `frontend` address."""

    def handle(request: HttpRequest, respond: Respond) -> None:
        def answer(status: int, body: bytes, retry_after_ms: int) -> None:
            respond(HttpResponse(status, body, _retry_after(retry_after_ms)))

        host = request.headers.get("host", "")
        ingress.client_call(request.method, host, request.path, request.body, _deadline_ms(request), answer)

    return handle


def readiness_handler(readiness: Readiness) -> HttpHandler:
    """Return the handler of the platform's readiness probe, served at the `readiness` address."""

    def handle(request: HttpRequest, respond: Respond) -> None:
        if request.path != READY_PATH:
            respond(NO_SUCH_PATH)
        elif request.method not in ("GET", "HEAD"):
            respond(WRONG_METHOD)
        else:
            respond(READY if readiness.ready() else NOT_READY)

    return handle


def operator_handler(control: ControlPlaneApi) -> HttpHandler:
    """Return the handler of the operator's calls, served at a node's `controlPlane` address."""

    def handle(request: HttpRequest, respond: Respond) -> None:
        def answer(status: int, body: bytes, location: str) -> None:
            respond(HttpResponse(status, body, {"Location": location} if location else {}))

        control.call(request.method, request.path, request.headers.get("if-match", ""), request.body, answer)

    return handle


def _deadline_ms(request: HttpRequest) -> float | None:
    """Return the `x-deadline-ms` header's value, or None if it is missing or not a finite number."""
    try:
        deadline = float(request.headers.get("x-deadline-ms", ""))
    except ValueError:
        return None
    return deadline if math.isfinite(deadline) else None


def _retry_after(milliseconds: int) -> dict[str, str]:
    """Return the Retry-After header, rounded up as HTTP has whole seconds; no header without a delay."""
    return {"Retry-After": str(math.ceil(milliseconds / MS_PER_SECOND))} if milliseconds > 0 else {}
