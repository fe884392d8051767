"""Clients that keep their connections and use them until the process at the other end is gone."""

from __future__ import annotations

import http.client
import json
import threading
import time
from collections.abc import Mapping
from random import Random

from pipitledge.emulator.cluster.deployment import HOST
from pipitledge.emulator.cluster.jobs import Job, draw_job
from pipitledge.emulator.soak.connection import CallEnd, KeptConnection, Outcome
from pipitledge.emulator.soak.plan import MachinePlan, SoakPlan
from pipitledge.emulator.soak.processes import MachineProcess
from pipitledge.emulator.soak.record import Record
from pipitledge.wire.paths import READY_PATH

READINESS_SECONDS = 1.0  # between two questions whether a node is ready
MISSES = 2  # after which a node gets no new connections
SUBMIT_SHARE, CANCEL_SHARE, COUNT_SHARE = 0.05, 0.01, 0.4  # of the calls; the others ask for a job's state
ANY_NODE_SHARE = 0.1  # of the connections that are made whatever the platform thinks of the node
RETRY_SECONDS = 0.1  # after a node that takes no connection
JOB_ID_BITS = 64


class Platform:
    """Asks each node whether it is ready, and tells clients which ones to connect to."""

    def __init__(self, plan: SoakPlan) -> None:
        """Begin with every node in."""
        self._nodes = plan.nodes
        self._misses = dict.fromkeys((node.name for node in plan.nodes), 0)
        self._stopped = threading.Event()

    def start(self) -> None:
        """Ask from now on."""
        for node in self._nodes:
            threading.Thread(target=self._watch, args=(node,), name=f"ready {node.name}", daemon=True).start()

    def stop(self) -> None:
        """Ask no more."""
        self._stopped.set()

    def ready(self) -> list[MachinePlan]:
        """Nodes that get new connections; all if fewer than half would."""
        ready = [node for node in self._nodes if self._misses[node.name] < MISSES]
        return ready if 2 * len(ready) >= len(self._nodes) else self._nodes

    def unready(self) -> list[str]:
        """Nodes that did not say at the last question that they are ready."""
        return [name for name, misses in self._misses.items() if misses]

    def _watch(self, node: MachinePlan) -> None:
        while not self._stopped.wait(READINESS_SECONDS):
            self._misses[node.name] = 0 if _is_ready(node) else self._misses[node.name] + 1


def _is_ready(node: MachinePlan) -> bool:
    connection = http.client.HTTPConnection(node.readiness, timeout=READINESS_SECONDS)
    try:
        connection.request("GET", READY_PATH)
        return connection.getresponse().status == http.client.OK
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


class Clients:
    """Threads that each keep one connection."""

    def __init__(
        self, plan: SoakPlan, platform: Platform, processes: Mapping[str, MachineProcess], record: Record
    ) -> None:
        """Call the nodes of `plan`."""
        self._plan = plan
        self._platform = platform
        self._processes = processes
        self._record = record
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._use, args=(index,), name=f"client {index}", daemon=True)
            for index in range(plan.load.kept)
        ]

    def start(self) -> None:
        """Begin to call."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End, once the calls under way have ended."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _use(self, index: int) -> None:
        random = Random(f"client {self._plan.seed} {index}")
        while not self._stopped.is_set():
            nodes = self._plan.nodes if random.random() < ANY_NODE_SHARE else self._platform.ready()
            node = random.choice(nodes)
            try:
                connection = KeptConnection(node.frontend)
            except OSError:
                self._stopped.wait(RETRY_SECONDS)
                continue
            self._use_connection(connection, node, random)
            connection.close()

    def _use_connection(self, connection: KeptConnection, node: MachinePlan, random: Random) -> None:
        """Call again and again until the node ends the connection."""
        pause = self._plan.load.kept / self._plan.load.calls_per_s
        while not self._stopped.wait(random.uniform(0.0, 2.0 * pause)):
            method, job, path, body = self._draw_call(random)
            end = connection.call(method, path, HOST, body)
            if end is None:
                return
            process = self._processes[node.name]
            self._record.call_ended(node.name, f"{method} {path}", end, process.terminated_at, process.killed_at)
            if end.outcome is Outcome.SILENT:
                process.ask_for_stacks()
            if job is not None:
                self._record.answered(job, method, end.status)
            if not end.status or end.closes:
                return

    def _draw_call(self, random: Random) -> tuple[str, Job | None, str, bytes]:
        """Method, the job that is meant if any, path and body."""
        share = random.random()
        if share < SUBMIT_SHARE:
            job_id = f"{random.getrandbits(JOB_ID_BITS):016x}"
            job = draw_job(random, self._plan.deployment, job_id, time.time_ns() // 1_000_000)
            self._record.add_job(job)
            return "POST", job, job.path, json.dumps(job.body).encode()
        accepted = [job for job in list(self._record.jobs.values()) if job.accepted_at < time.monotonic()]
        if share < SUBMIT_SHARE + COUNT_SHARE or not accepted:
            return "GET", None, random.choice(self._plan.deployment.queues).prefix, b""
        job = random.choice(accepted)
        if share > 1.0 - CANCEL_SHARE:
            job.cancel_sent_at = min(job.cancel_sent_at, time.monotonic())
            return "DELETE", job, job.path, b""
        return "GET", job, job.path, b""


def call_once(node: MachinePlan, method: str, path: str, host: str) -> CallEnd | None:
    """Make one call on a connection of its own; None if it could not be sent."""
    try:
        connection = KeptConnection(node.frontend)
    except OSError:
        return None
    end = connection.call(method, path, host, b"")
    connection.close()
    return end
