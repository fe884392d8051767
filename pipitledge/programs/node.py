"""`pipitledge-node`: serves clients and operators, and on voting nodes holds the replicated state."""

from __future__ import annotations

import random
import time

from pipitledge.configuration.checks import MAX_BODY_BYTES
from pipitledge.configuration.data_plane import DataPlane
from pipitledge.configuration.model import Configuration
from pipitledge.ingress.control_plane_api import ControlPlaneApi
from pipitledge.ingress.ingress import MAX_PRIMARY_TIMEOUT_SECONDS, Ingress
from pipitledge.ingress.local_admission import LocalAdmission
from pipitledge.ingress.readiness import Readiness
from pipitledge.ingress.redirect import LargeAnswerRedirects
from pipitledge.membership.primary_caller import PrimaryCaller
from pipitledge.programs.control import ControlState, build_control_state
from pipitledge.programs.core import Core, prepare_process, wait_for_settings
from pipitledge.programs.http_handlers import client_handler, operator_handler, readiness_handler
from pipitledge.programs.node_status import data_plane_section
from pipitledge.replication.initial_members import register_diskless_seed
from pipitledge.runtime import logs
from pipitledge.runtime.http_server import HttpServer, ServerOptions

EDGE, CONTROL_PLANE = "edge", "control_plane"  # values of the setting `serves`
CLIENT_BODY_BYTES = 256 * 1024  # limit unless the configuration sets another one
ACCEPTING_FRACTION = 0.5  # part of the shutdown grace period during which new connections are still accepted
DISK_CLOSE_SECONDS = 1.0  # end of the shutdown grace period, reserved for writing to the disk
MAX_CALL_SECONDS = MAX_PRIMARY_TIMEOUT_SECONDS + 0.2  # longest time until a call is answered


class Node:
    """The components of one node, and their startup and shutdown."""

    def __init__(self, core: Core) -> None:
        """Create the components for the roles that the settings give to this node."""
        self._core = core
        settings = core.settings
        self._control: ControlState | None = build_control_state(core) if settings.counted else None
        if self._control is None:
            register_diskless_seed(core.handlers, core.own_descriptor.address, settings.bootstrap, core.membership)
        self._caller = PrimaryCaller(
            core.executor,
            core.transport,
            core.membership,
            random.Random(),
            core.handlers.call if settings.counted else None,
            settings.name,
            None if settings.counted else core.relayed_calls,
        )
        self._data_plane: DataPlane | None = None
        self._ingress: Ingress | None = None
        if EDGE in settings.serves:
            self._serve_clients()
        if CONTROL_PLANE in settings.serves:
            self._serve_operator()

    def start(self) -> None:
        """Start the replica and the data plane; called under the lock."""
        if self._control is not None:
            self._control.replica.start()
        if self._data_plane is not None:
            self._data_plane.start()

    def end(self, terminated_at: float) -> None:
        """Shut down without losing a call: hand over to a backup, then answer all calls within the grace period.

        The platform keeps sending new connections for a while after SIGTERM, so they are accepted during the first
        part of the grace period. After that, new connections are refused, and open ones close with their next answer.
        Requests that arrive too late to be served in time are refused immediately, so that no call is in progress when
        the process exits.
        """
        core = self._core
        shutdown_deadline = terminated_at + core.settings.bounds.grace_s - DISK_CLOSE_SECONDS
        core.drain()
        core.executor.run(self._hand_over, "termination")
        accept_until = terminated_at + core.settings.bounds.grace_s * ACCEPTING_FRACTION
        time.sleep(max(0.0, accept_until - core.executor.now()))
        core.retire()
        if not core.wait_until_retired(shutdown_deadline - MAX_CALL_SECONDS, self._needed_by_backups):
            core.refuse()
            core.wait_until_retired(shutdown_deadline, self._needed_by_backups)
        if self._control is not None:
            self._control.close_disk(DISK_CLOSE_SECONDS / 2)

    def _hand_over(self) -> None:
        """Report this node as not ready, and let a backup take over as primary."""
        if self._ingress is not None:
            self._ingress.stop()
        if self._control is not None:
            self._control.replica.step_down()

    def _needed_by_backups(self) -> bool:
        """Whether this node is still in the in-sync set, so that no backup may have all of its data yet."""
        control = self._control
        if control is None:
            return False
        answers = list[bool]()
        self._core.executor.run(lambda: answers.append(control.replica.is_in_sync_member()), "termination")
        return any(answers)

    def _serve_clients(self) -> None:
        """Serve clients' calls at the frontend address, and the readiness probe of the platform."""
        core, bind = self._core, self._core.settings.bind
        self._data_plane = DataPlane(
            core.executor, self._caller, core.settings.name, logs.get("data_plane"), core.settings.bounds
        )
        data_plane = self._data_plane
        readiness = Readiness(data_plane)
        core.add_status("configuration", lambda: data_plane_section(data_plane, readiness))
        admission = LocalAdmission(self._data_plane)
        self._ingress = Ingress(
            self._caller, self._data_plane, admission, readiness, core.settings.name, logs.get("ingress")
        )
        options = ServerOptions(
            "frontend", threads=4, max_threads=64, body_limit=CLIENT_BODY_BYTES, connections=core.connections
        )
        frontend = core.serve(bind.frontend, client_handler(self._ingress), options)
        self._data_plane.on_change(lambda configuration: _apply_limits(frontend, configuration))
        options = ServerOptions("readiness", threads=1, max_threads=2, connections=64)
        core.serve(bind.readiness, readiness_handler(readiness), options)

    def _serve_operator(self) -> None:
        """Serve the operator's calls at the control plane address."""
        core, settings = self._core, self._core.settings
        large_answer_redirects = LargeAnswerRedirects(
            core.membership, settings.name, settings.bind.control_plane, settings.limits.link_mbps
        )
        front = ControlPlaneApi(core.executor, self._caller, logs.get("control"), large_answer_redirects)
        options = ServerOptions("control", threads=1, max_threads=24, body_limit=MAX_BODY_BYTES, connections=256)
        core.serve(settings.bind.control_plane, operator_handler(front), options)


def main() -> None:
    """Run the node until SIGTERM."""
    prepare_process()
    core = Core(*wait_for_settings(logs.get("start")))
    node = Node(core)
    core.run(node.start, node.end)


def _apply_limits(frontend: HttpServer, configuration: Configuration) -> None:
    """Set the largest request body that the configuration allows."""
    frontend.body_limit = configuration.limits.max_body_bytes or CLIENT_BODY_BYTES


if __name__ == "__main__":
    main()
