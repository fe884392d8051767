"""The site that the stand-ins play: an operator's settings object, in the form in which a node is told it."""

from __future__ import annotations

import json
from typing import Any

from pipitledge.decision.interface import Settings
from pipitledge.decision.settings import settings_from
from pipitledge.emulator.client import Kind
from pipitledge.emulator.worker import Machine
from pipitledge.node.config import Address

CLASSES = ("menu-plan", "slot-book", "order-pay")
BRANDS = {"hverdag": 0.30, "familie": 0.19, "groent": 0.18, "hurtig": 0.13, "studie": 0.11, "festbord": 0.09}


def stated(**changes: Any) -> dict[str, Any]:
    """The settings object; `changes` replace its first-level keys."""

    def lane(name: str, repeat: str, objective: float, stretch: float, worth: float, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "repeat": repeat,
            "objective_ms": objective,
            "aim_stretch": stretch,
            "worth": worth,
            "deadline_ms": 5_000.0,
            "late_share": 0.0,
            "stream": False,
        } | more

    return {
        "lanes": [
            lane("menu-plan", "free", 100.0, 1.75, 1.0),
            lane("slot-book", "single_shot", 100.0, 2.5, 3.0),
            lane("order-pay", "guarded", 100.0, 2.5, 10.0, window_ms=7_500.0, dedup_scope="cell"),
        ],
        "realms": [{"name": name, "share": share, "quota_per_s": 0.0} for name, share in BRANDS.items()],
        "zones": ["aarhus-1"],
        "zone": 0,
        "shapes": ["fast-4", "slow-5"],
        "discovery": "ask",
        "n_instances": 1,
        "my_number": 0,
        "resolution_ms": 4.0,
        "over_share_worth": 0.1,
        "value_by": "request",
        "report": {"fields": ["lat_ms", "q", "x0"], "source": "answers"},
        "permissions": {
            "cancel": True,
            "conn_idle_ms": 15_000.0,
            "dial_timeout_ms": 100.0,
            "max_attempts": 6,
            "max_retry_after_ms": 2_000.0,
            "probes": True,
            "retry_after": True,
            "second_copies": True,
        },
        "rules": {
            "ask_every_ms": 10_000.0,
            "cold_ms": 22_000.0,
            "cold_share": 0.13,
            "fall_ms": 2_000.0,
            "overload_factor": 3.0,
        },
        "specifics": {
            "class_stretch": [1.75, 2.5, 2.5],
            "progress_ms": 2_000.0,
            "report_x0": "free slots",
            "tells_start": True,
        },
    } | changes


def settings() -> Settings:
    """The same as the module takes it."""
    return settings_from(stated())


def kinds() -> list[Kind]:
    """What clients ask for."""
    return [
        Kind(0, "/menu-plan/week", 0.44, 200.0),
        Kind(1, "/slot-book/evening", 0.31, 100.0, two_slots=0.25),
        Kind(2, "/order-pay/card", 0.25, 100.0, two_slots=0.25),
    ]


def machines(count: int) -> list[Machine]:
    """Workers in racks of three: two fast ones, a slow one."""
    return [
        Machine(f"w{n}", 5 if n % 3 == 2 else 4, 0.6 if n % 3 == 2 else 1.6, kind=int(n % 3 == 2), cell=n // 3)
        for n in range(count)
    ]


def config(
    name: str,
    listen: Address,
    discovery: Address,
    targets: list[dict[str, Any]],
    seed: int,
    attempts: str = "",
    memory_mb: int = 192,
    sockets: int = 1_024,
    **changes: Any,
) -> str:
    """A node's configuration, as the text of its file."""
    return json.dumps(
        {
            "name": name,
            "listen": "{}:{}".format(*listen),
            "discovery": "{}:{}".format(*discovery),
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"rev": 1, "all": True, "targets": targets},
            "settings": stated(**changes),
            "attempts": attempts,
        },
        indent=1,
    )
