"""Parts that every process has: settings, lock, transport, membership, HTTP servers and graceful shutdown."""

from __future__ import annotations

import faulthandler
import gc
import os
import random
import signal
import sys
import threading
import time
from collections.abc import Callable

import msgspec

from pipitledge.membership.membership import Membership
from pipitledge.membership.relayed_calls import RelayedCalls
from pipitledge.programs.status import members_section
from pipitledge.runtime import logs
from pipitledge.runtime import settings as settings_file
from pipitledge.runtime.exchanges import HandlerExchange
from pipitledge.runtime.executor import SerialExecutor
from pipitledge.runtime.handlers import Handlers, Reply
from pipitledge.runtime.http_server import HttpServer, ServerOptions
from pipitledge.runtime.http_types import HttpHandler
from pipitledge.runtime.logs import EventLog
from pipitledge.runtime.process_signals import SignalLoop
from pipitledge.runtime.settings import Settings, SettingsProblem
from pipitledge.runtime.settings_watcher import SettingsWatcher
from pipitledge.runtime.transport import Transport
from pipitledge.wire.messages import NodeDescriptor, StatusReply, StatusRequest

CALL_TIMEOUT_SECONDS = 10.0  # after which an external HTTP call without an answer fails
SETTINGS_RETRY_SECONDS = 0.5  # between attempts to read an invalid settings file at startup
THREAD_STACK_BYTES = 512 * 1024  # stack size of each thread
THREAD_SWITCH_SECONDS = 0.002  # after which a busy thread releases the interpreter lock to another thread
GC_YOUNG_THRESHOLD = 20_000  # net allocations that trigger a garbage collection of the youngest generation
INCARNATION_BITS = 48
RESERVED_FILE_DESCRIPTORS = 300  # not available to HTTP servers: kept for files, datagrams and outgoing calls
RETIRE_POLL_SECONDS = 0.02  # during shutdown, between checks whether the last call has been answered

StatusProvider = Callable[[], dict[str, object]]


class Core:
    """The components that node and agent share; each program adds its own components to them."""

    def __init__(self, path: str, settings: Settings) -> None:
        """Create the components and bind the internal port; no thread is started before `run`."""
        self._signals = SignalLoop(self._reload, self._poll_settings)
        self._signals.install()
        self.settings = settings
        self.log = logs.get(settings.role)
        self.executor = SerialExecutor(logs.get("host"))
        self.handlers = Handlers()
        # Limit of connections for each server with much traffic.
        self.connections = max(64, (settings.limits.max_fds - RESERVED_FILE_DESCRIPTORS) // 3)
        self.transport = Transport(self.executor, self.handlers, logs.get("transport"), self.connections)
        self.transport.bind(settings.ip, settings.internal_ports)
        self.own_descriptor = _descriptor(settings, self.transport.address)
        self.membership = Membership(
            self.executor,
            self.transport,
            random.Random(),
            self.own_descriptor,
            list(settings.seeds),
            settings.internal_ports[0],
        )
        self.membership.register(self.handlers)
        self.relayed_calls = RelayedCalls(
            self.executor, self.transport, self.membership, self.handlers, random.Random()
        )
        self.relayed_calls.register()
        self.handlers.on_call(StatusRequest, self._answer_status)
        self._watch = SettingsWatcher(path, settings, self.log)
        self._servers: list[HttpServer] = []
        self._sections: dict[str, StatusProvider] = {
            "process": self._process_status,
            "members": lambda: members_section(self.own_descriptor, self.membership),
        }
        self._started_at = self.executor.now()

    def serve(self, address: str, handler: HttpHandler, options: ServerOptions) -> HttpServer:
        """Bind an HTTP server for external callers to `address` ("ip:port"); it starts to answer in `run`."""
        ip, _, port = address.rpartition(":")
        exchange = HandlerExchange(self.executor, handler, CALL_TIMEOUT_SECONDS, options.name)
        server = HttpServer(ip, int(port), exchange, options, logs.get("http"))
        server.bind()
        self._servers.append(server)
        return server

    def add_status(self, section: str, status: StatusProvider) -> None:
        """Register the function that returns a section of the status; it is called under the lock for each request."""
        self._sections[section] = status

    def run(self, start: Callable[[], None], end: Callable[[float], None]) -> None:
        """Run until SIGTERM, then shut down and exit the process.

        `start` is called under the lock. `end` is called on the main thread with the monotonic time at which SIGTERM
        arrived. The grace period counts from that time, as the signal may arrive while the process is still starting.
        """
        self.executor.start()
        self.transport.start()
        for server in self._servers:
            server.start()
        self.executor.run(self.membership.start, "start of membership")
        self.executor.run(start, "start")
        gc.freeze()
        self.log.info("started", node=self.settings.name, address=self.transport.address, serves=self.settings.serves)
        terminated_at = self._signals.run_until_terminated()
        late_s = self.executor.now() - terminated_at
        self.log.info("terminating", node=self.settings.name, busy=self.busy(), late_s=late_s)
        end(terminated_at)
        took_s = self.executor.now() - terminated_at
        self.log.info("ended", node=self.settings.name, busy=self.busy(), took_s=took_s)
        logs.flush()
        os._exit(0)  # without joining the other threads: none of them holds state that must be saved

    def drain(self) -> None:
        """Close each connection after its next answer, so that callers move to other nodes."""
        for server in self._servers:
            server.drain()

    def busy(self) -> int:
        """Return the number of external calls in progress."""
        return sum(server.busy() for server in self._servers)

    def retire(self) -> None:
        """Refuse new connections, and answer requests that still arrive on open ones."""
        for server in self._servers:
            server.retire()

    def refuse(self) -> None:
        """Answer every further request immediately with 503, as the remaining time is too short to serve it."""
        for server in self._servers:
            server.refuse()

    def wait_until_retired(self, deadline: float, needed: Callable[[], bool] = lambda: False) -> bool:
        """Wait until no call is open and `needed` is false; return False if the monotonic `deadline` passes first."""
        while needed() or not all(server.finished() for server in self._servers):
            if self.executor.now() >= deadline:
                return False
            time.sleep(RETIRE_POLL_SECONDS)
        return True

    def _reload(self) -> None:
        """Reload the settings file on SIGHUP."""
        self._apply(self._watch.reload())

    def _poll_settings(self) -> None:
        """Reload the settings file if it has changed since it was last read."""
        self._apply(self._watch.poll())

    def _apply(self, changed: Settings | None) -> None:
        """Apply changed seeds and the changed shutdown grace period; other settings need a restart."""
        if changed is not None:
            self.settings = changed
            self.executor.run(lambda: self.membership.update_seeds(list(changed.seeds)), "new settings")

    def _answer_status(self, request: StatusRequest, reply: Reply) -> None:
        """Answer a status request of an operator's tool with the section that it names, or with all sections."""
        sections = {name: status() for name, status in self._sections.items() if request.what in ("", name)}
        reply(StatusReply(msgspec.json.encode(sections)))

    def _process_status(self) -> dict[str, object]:
        """Return the `process` section: identity, uptime, error counts and the current view."""
        view = self.membership.view
        return {
            "node": self.settings.name,
            "role": self.settings.role,
            "zone": self.settings.zone,
            "address": self.transport.address,
            "uptimeS": round(self.executor.now() - self._started_at, 1),
            "threads": threading.active_count(),
            "failedCallbacks": self.executor.failures,
            "malformedDatagrams": self.transport.datagrams.malformed,
            "nodesAlive": len(self.membership.nodes()),
            "epoch": view.epoch if view else 0,
            "primary": view.primary if view else "",
        }


def prepare_process() -> None:
    """Set process-wide options of the interpreter; must be called before threads are started.

    SIGUSR2 writes the stacks of all threads to standard error, even if the process hangs.
    """
    faulthandler.register(signal.SIGUSR2, all_threads=True)
    threading.stack_size(THREAD_STACK_BYTES)
    sys.setswitchinterval(THREAD_SWITCH_SECONDS)
    gc.set_threshold(GC_YOUNG_THRESHOLD, 20, 50)


def wait_for_settings(log: EventLog) -> tuple[str, Settings]:
    """Return the path and content of the settings file; an invalid file is logged and read again until it is valid."""
    path = settings_file.config_path()
    loaded = settings_file.load(path)
    while isinstance(loaded, SettingsProblem):
        log.error("settings_broken", step="start", path=loaded.path, reason=loaded.reason)
        time.sleep(SETTINGS_RETRY_SECONDS)
        loaded = settings_file.load(path)
    return path, loaded


def _descriptor(settings: Settings, address: str) -> NodeDescriptor:
    """Return the descriptor by which other processes know this one, with a new random incarnation."""
    return NodeDescriptor(
        name=settings.name,
        address=address,
        zone=settings.zone,
        region=settings.region,
        machine_class=settings.machine_class,
        counted=settings.counted,
        bootstrap=settings.bootstrap,
        incarnation=random.SystemRandom().getrandbits(INCARNATION_BITS) | 1,
    )
