"""HTTP handler of an agent for its worker's heartbeats.

Kept apart from `http_handlers`, so that agents need not import the components of nodes.
"""

from __future__ import annotations

from pipitledge.agent.agent import Agent
from pipitledge.programs.rejections import NO_SUCH_PATH, WRONG_METHOD
from pipitledge.runtime.http_types import HttpHandler, HttpRequest, HttpResponse, Respond
from pipitledge.wire.paths import INSTANCES_PREFIX


def worker_handler(agent: Agent) -> HttpHandler:
    """Return the handler of the worker's heartbeat and leave calls, served at an agent's `controlPlane` address."""

    def handle(request: HttpRequest, respond: Respond) -> None:
        def answer(status: int, body: bytes) -> None:
            respond(HttpResponse(status, body))

        instance = request.path.removeprefix(INSTANCES_PREFIX)
        if instance == request.path or not instance or "/" in instance:
            respond(NO_SUCH_PATH)
        elif request.method == "PUT":
            agent.heartbeat(instance, request.body, answer)
        elif request.method == "DELETE":
            agent.leave(instance, answer)
        else:
            respond(WRONG_METHOD)

    return handle
