"""`pipitledge-agent`: the process that runs beside one worker and connects it to the primary."""

from __future__ import annotations

import random

from pipitledge.agent.agent import Agent, AgentIdentity
from pipitledge.membership.primary_caller import PrimaryCaller
from pipitledge.programs.core import Core, prepare_process, wait_for_settings
from pipitledge.programs.worker_http_handler import worker_handler
from pipitledge.runtime import logs
from pipitledge.runtime.http_server import ServerOptions
from pipitledge.runtime.worker_transport import HttpWorkerTransport

CONTROL_BODY_BYTES = 4 * 1024 * 1024
HEARTBEAT_DRAIN_SECONDS = 1.0  # on shutdown, longest wait until worker heartbeats in progress are answered


def main() -> None:
    """Run the agent until SIGTERM."""
    prepare_process()
    core = Core(*wait_for_settings(logs.get("start")))
    agent = build_agent(core)

    def end(_terminated_at: float) -> None:
        core.drain()
        core.executor.run(agent.stop, "stop")
        core.retire()
        core.wait_until_retired(core.executor.now() + HEARTBEAT_DRAIN_SECONDS)

    core.run(agent.start, end)


def build_agent(core: Core) -> Agent:
    """Create the agent, register its message handlers, and serve the worker's heartbeats if an address is set."""
    settings = core.settings
    caller = PrimaryCaller(
        core.executor,
        core.transport,
        core.membership,
        random.Random(),
        my_name=settings.name,
        relayed_calls=core.relayed_calls,
    )
    identity = AgentIdentity(
        name=settings.name,
        address=core.transport.address,
        zone=settings.zone,
        incarnation=core.own_descriptor.incarnation,
        app_address=settings.app,
        service=settings.service,
    )
    agent = Agent(
        core.executor,
        HttpWorkerTransport(core.executor, settings.app),
        caller,
        core.membership,
        settings.bounds,
        identity,
        settings.heartbeat_ms,
        logs.get("agent"),
    )
    agent.register(core.handlers)
    core.add_status("agent", agent.status)
    if settings.bind.control_plane:
        options = ServerOptions("workers", threads=1, max_threads=4, body_limit=CONTROL_BODY_BYTES, connections=64)
        core.serve(settings.bind.control_plane, worker_handler(agent), options)
    return agent


if __name__ == "__main__":
    main()
