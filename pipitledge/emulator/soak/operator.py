"""The operator of a soak run: the first configuration, and changes on top of the newest one."""

from __future__ import annotations

import http.client
import json
import threading
import time
from random import Random
from typing import Any

from pipitledge.emulator.cluster.deployment import Queue
from pipitledge.emulator.soak.plan import MachinePlan, SoakPlan
from pipitledge.emulator.soak.record import Record
from pipitledge.wire.paths import CONFIGURATION_PATH

ANSWER_SECONDS = 1.5
RETRY_SECONDS = 0.2
MOST_TRIES = 60  # of one order, each at another node
LARGE_SHARE = 0.15  # of the changes that bring very many routes as well
LARGE_ROUTES = 1_440
READ_SECONDS = 10.0  # for each node to read the newest configuration back
SUCCESS, CONFLICT = 200, 412


class Operator:
    """Sends one order after the other."""

    def __init__(self, plan: SoakPlan, record: Record) -> None:
        """Send orders to the nodes of `plan`."""
        self._plan = plan
        self._record = record
        self._random = Random(f"operator {plan.seed}")
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._version = 0
        self._probes = 0

    def configure(self) -> bool:
        """Send the first configuration until it is taken."""
        deployment = self._plan.deployment
        document = {
            "version": 1,
            "routes": [queue.document() for queue in deployment.queues],
            "services": [
                {"name": name, "healthPath": "/h", "preconditions": guards}
                for name, guards in deployment.guards.items()
            ],
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 262_144},
        }
        return self._order("PUT", document)

    def change(self) -> None:
        """Add a route, and remove the one before."""
        with self._lock:
            self._probes += 1
            base = self._plan.deployment.queues[0]
            queue = Queue(
                f"p{self._probes}", f"/p{self._probes}/", base.service, 1, base.max_attempts, base.stretch, 1_000
            )
            routes = [queue.document()]
            if self._random.random() < LARGE_SHARE:
                routes += self._many_routes(base)
            document = {
                "version": self._version + 1,
                "upsert": {"routes": routes},
                "remove": {"routes": [f"p{self._probes - 1}"]},
            }
            taken = self._order("PATCH", document)
        self._record.note(f"configuration {document['version']} {'acknowledged' if taken else 'not acknowledged'}")
        if not taken and not self._stopped.is_set():
            self._record.find("CONFIG", f"version {document['version']} was not acknowledged in {MOST_TRIES} tries")

    def _many_routes(self, base: Queue) -> list[dict[str, Any]]:
        """The same names each time, so that the configuration grows once and changes all over later."""
        timeout_ms = 1_000 + self._probes
        return [
            {**base.document(), "name": f"w{number}", "pathPrefix": f"/w{number}/", "timeoutMs": timeout_ms}
            for number in range(LARGE_ROUTES)
        ]

    def read_back(self) -> None:
        """Note a finding for each node that does not answer with the newest configuration acknowledged."""
        for node in self._plan.nodes:
            give_up_at = time.monotonic() + READ_SECONDS
            version = self._read_version(node)
            while version is None and time.monotonic() < give_up_at:
                self._stopped.wait(RETRY_SECONDS)
                version = self._read_version(node)
            if version is None or version < self._version:
                self._record.find("CONFIG", f"{node.name} read back version {version}, acknowledged is {self._version}")

    def _read_version(self, node: MachinePlan) -> int | None:
        """The version that a node answers; None where it gives no clear answer."""
        status, body = self._call(node, "GET", b"")
        return int(json.loads(body)["version"]) if status == SUCCESS else None

    def stop(self) -> None:
        """Give up what is under way."""
        self._stopped.set()

    def _order(self, method: str, document: dict[str, object]) -> bool:
        body = json.dumps(document).encode()
        tries = 0
        while tries < MOST_TRIES:
            tries += time.monotonic() > self._record.outage_until
            status = self._send(self._random.choice(self._plan.nodes), method, body)
            if status == SUCCESS:
                self._version = int(str(document["version"]))
                return True
            if self._stopped.wait(RETRY_SECONDS):
                return False
        return False

    def _send(self, node: MachinePlan, method: str, body: bytes) -> int:
        return self._call(node, method, body)[0]

    def _call(self, node: MachinePlan, method: str, body: bytes) -> tuple[int, bytes]:
        """Status and body of the answer; 0 if there is none."""
        connection = http.client.HTTPConnection(node.control_plane, timeout=ANSWER_SECONDS)
        try:
            connection.request(method, CONFIGURATION_PATH, body, {"If-Match": str(self._version)})
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()
