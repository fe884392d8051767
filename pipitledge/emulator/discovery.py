"""Discovery as a model: the list of workers, its revisions, what a watch is told, and being down. No socket.

The forms are those of the platform's protocol page, section Discovery.
"""

from __future__ import annotations

import json
from typing import Any

from pipitledge.decision.interface import State
from pipitledge.emulator.worker import Worker
from pipitledge.node.config import Address

PHASES = {State.SERVING: "in_service", State.DRAINING: "terminating", State.GONE: "terminated"}
STATES = {text: state for state, text in PHASES.items()}
KEPT = 1_000  # changes that a watch may be behind; after more it gets the whole list


def row(worker: Worker, address: Address, state: State = State.SERVING) -> dict[str, Any]:
    """One entry of the list."""
    machine = worker.machine
    return {
        "uid": machine.name,
        "endpoint": "{}:{}".format(*address),
        "az": "aarhus-1",
        "model": ("fast-4", "slow-5")[machine.kind],
        "pod_group": machine.cell,
        "state": PHASES[state],
        "capacity_hint": 1.0,
        "boot_ms": max(0.0, worker.started_ms),
    }


class Discovery:
    """The list and its history; `is_down` refuses calls and ends watches."""

    def __init__(self) -> None:
        """Begin with an empty list at revision 0."""
        self.rows: dict[str, dict[str, Any]] = {}
        self.revision = 0
        self.is_down = False
        self._changes: list[tuple[int, dict[str, Any]]] = []

    def put(self, entry: dict[str, Any]) -> None:
        """Change an entry; one that is terminated leaves the whole list, and appears among changes only."""
        self.revision += 1
        if entry["state"] == PHASES[State.GONE]:
            self.rows.pop(entry["uid"], None)
        else:
            self.rows[entry["uid"]] = entry
        self._changes.append((self.revision, entry))
        del self._changes[:-KEPT]

    def whole(self) -> dict[str, Any]:
        """The object that a plain call gets."""
        return {"rev": self.revision, "all": True, "targets": list(self.rows.values())}

    def news(self, since: int) -> dict[str, Any] | None:
        """What a watch at this revision is told: changes, the whole list after a gap, or nothing."""
        if since == self.revision:
            return None
        oldest = self._changes[0][0] if self._changes else self.revision + 1
        if not oldest - 1 <= since <= self.revision:
            return self.whole()
        return {"rev": self.revision, "all": False, "targets": [e for rev, e in self._changes if rev > since]}


def line(said: dict[str, Any]) -> bytes:
    """One object as the line it travels as."""
    return json.dumps(said).encode()
