"""Deployments unlike each other: every pair of values of what a deployment may tell or allow meets in some cell.

A cell is one value for each axis. `play` gives its day to the module and to three plain balancers: same workers, same
requests, same drain and cold return. The module has to keep every rule, lose nothing, and serve at least `LEAST` of the
worth that the best plain balancer serves.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from pipitledge.decision.settings import settings_from
from pipitledge.emulator import site
from pipitledge.emulator.client import Clients, Kind
from pipitledge.emulator.tier_day import Plain, TierDay, numbered
from pipitledge.emulator.worker import Machine

LEAST = 0.8
AXES: dict[str, list[Any]] = {
    "list": ["ask", "push"],
    "load": ["answers", "probe", "none"],
    "starts": [True, False],
    "progress_ms": [2_000.0, 0.0],
    "zones": [1, 3],
    "job_ms": [60.0, 600.0, 6_000.0],
    "retry_after": [True, False],
    "attempts": [6, 1, 2],
    "scope": ["cell", "zone", "all"],
    "peers": [True, False],
    "weights": ["rough", "live"],
    "nodes": [1, 2, 3],
    "copies": [True, False],
}
ARRIVALS, LOAD = 1_500, 0.7  # first tries of a day; of what all workers can do


@dataclass(frozen=True, slots=True)
class Played:
    """One cell's day."""

    cell: dict[str, Any]
    worth: float  # served by the module, of what was asked for
    plain: dict[str, float]
    broken: tuple[str, ...]

    @property
    def holds(self) -> bool:
        """Whether it keeps the rules and serves enough."""
        return not self.broken and self.worth >= LEAST * max(self.plain.values())


def stated(cell: dict[str, Any]) -> dict[str, Any]:
    """The operator's settings object of a cell; workers, rules and classes are this project's own."""
    work = cell["job_ms"]

    def lane(name: str, repeat: str, worth: float, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "repeat": repeat,
            "objective_ms": max(40.0, 0.6 * work),
            "worth": worth,
            "deadline_ms": 10.0 * work + 2_000.0,
            "late_share": 0.0,
            "stream": False,
        } | more

    base = site.stated()
    return base | {
        "lanes": [
            lane("browse", "free", 1.0),
            lane("book", "single_shot", 3.0),
            lane("pay", "guarded", 10.0, window_ms=15.0 * work + 2_000.0, dedup_scope=cell["scope"]),
        ],
        "discovery": cell["list"],
        "zones": [f"site-{n}" for n in range(cell["zones"])],
        "n_instances": cell["nodes"],
        "weights": cell["weights"],
        "report": {"source": cell["load"], "fields": ["lat_ms", "q", "x0"] if cell["load"] != "none" else []},
        "prices": {"cross_zone": 0.1 if cell["zones"] > 1 else 0.0, "probe": 0.002},
        "goal": {"whole": 0.7, "worst_class": 0.3},
        "permissions": base["permissions"]
        | {
            "retry_after": cell["retry_after"],
            "max_attempts": cell["attempts"],
            "peers": cell["peers"],
            "second_copies": cell["copies"],
        },
        "rules": base["rules"] | {"cold_ms": 8_000.0, "cold_share": 0.3},
        "specifics": {
            "class_stretch": [2.5] * 3,
            "tells_start": cell["starts"],
            "progress_ms": cell["progress_ms"],
            "queue_order": "fifo",
        }
        | ({"report_x0": "free slots"} if cell["load"] != "none" else {}),
    }


def machines(zones: int) -> list[Machine]:
    """Six workers of two kinds; where there are zones, three, two and one of them."""
    return [
        Machine(
            f"w{n}",
            6 if n % 2 else 4,
            0.8 if n % 2 else 1.6,
            kind=n % 2,
            cell=n // 2,
            zone=(0, 0, 0, 1, 1, 2)[n] % zones,
            cold_ms=8_000.0,
            cold_share=0.3,
        )
        for n in range(6)
    ]


def day(cell: dict[str, Any], brain: str, seed: int) -> TierDay:
    """Play a cell's day to its end. `brain` is 'module' or the name of a plain balancer."""
    settings = settings_from(stated(cell))
    work = cell["job_ms"]
    kinds = [
        Kind(index, f"/{index}", share, work, patience_ms=10.0 * work + 2_000.0)
        for index, share in enumerate((0.5, 0.3, 0.2))
    ]
    workers = machines(cell["zones"])
    made = TierDay(
        numbered(settings, cell["nodes"], cell["zones"]),
        workers,
        Clients(settings, kinds, seed, 1),
        seed,
        **({} if brain == "module" else {"brain": lambda use, number: Plain(brain, use, number)}),
    )
    per_s = LOAD * sum(machine.slots * machine.speed for machine in workers) / work * 1_000.0
    lasts = ARRIVALS / per_s * 1_000.0
    made.arrivals(per_s, lasts)
    if settings.live_weights:
        made.weigh(made.time + lasts)
    made.at(0.4 * lasts, lambda: made.drain("w3", 8.0 * work))
    made.run()
    return made


def play(cell: dict[str, Any], seed: int = 1) -> Played:
    """The module's day and the plain balancers' on one cell."""
    own = day(cell, "module", seed)
    plain = {kind: day(cell, kind, seed).worth() for kind in Plain.KINDS}
    return Played(cell, own.worth(), plain, tuple(own.broken()))
