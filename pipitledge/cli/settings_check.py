"""Checks a settings file as a program would read it, and tells what it would start."""

from __future__ import annotations

from pathlib import Path

from msgspec import Struct

from pipitledge.runtime import settings as settings_file
from pipitledge.runtime.settings import Settings, SettingsProblem

EDGE, CONTROL_PLANE, SIDE = "edge", "control_plane", "side"  # in `serves`
NODE_PROGRAM, AGENT_PROGRAM = "node", "agent"
REASON_SEPARATOR = "; "  # between the reasons of a `SettingsProblem`
MISSING = "is missing"


class SettingsReport(Struct, frozen=True):
    """What became of a check; it is sound if there are no problems."""

    problems: list[str]  # each begins with the place of its key
    warnings: list[str] = []
    program: str = ""  # which program the settings are for
    would_start: dict[str, str] = {}  # what it would do, by topic


def check_settings(path: Path) -> SettingsReport:
    """Check the file at `path`."""
    loaded = settings_file.load(path)
    if isinstance(loaded, SettingsProblem):
        return SettingsReport(loaded.reason.split(REASON_SEPARATOR))
    program = AGENT_PROGRAM if SIDE in loaded.serves or loaded.app else NODE_PROGRAM
    problems = _agent_problems(loaded) if program == AGENT_PROGRAM else _node_problems(loaded)
    started = _agent_starts(loaded) if program == AGENT_PROGRAM else _node_starts(loaded)
    return SettingsReport(problems, _warnings(loaded, program), program, started)


def _node_problems(settings: Settings) -> list[str]:
    """What a node can't do without, given what it is to serve."""
    problems: list[str] = []
    if EDGE in settings.serves:
        problems += _missing_address("frontend", settings.bind.frontend, EDGE)
        problems += _missing_address("readiness", settings.bind.readiness, EDGE)
    if CONTROL_PLANE in settings.serves:
        problems += _missing_address("controlPlane", settings.bind.control_plane, CONTROL_PLANE)
    return problems


def _agent_problems(settings: Settings) -> list[str]:
    """What an agent can't do without."""
    problems = _missing_address("controlPlane", settings.bind.control_plane, SIDE)
    if not settings.app:
        problems.append(f"app: {MISSING}, the address of the worker")
    return problems


def _missing_address(key: str, address: str, served: str) -> list[str]:
    return [] if address else [f"bindAddrs.{key}: {MISSING}, and serves names {served}"]


def _warnings(settings: Settings, program: str) -> list[str]:
    """What is allowed and still unusual."""
    warnings: list[str] = []
    if not settings.seeds:
        warnings.append("seeds: none, so this process finds no others unless they find it")
    if program == NODE_PROGRAM and settings.counted and not settings.data_dir:
        warnings.append("dataDir: none, so replicated state is lost with the process")
    if program == NODE_PROGRAM and not settings.serves and not settings.counted:
        warnings.append("serves: empty, and countsForQuorum is false: the process would do nothing")
    return warnings


def _node_starts(settings: Settings) -> dict[str, str]:
    planes = ["membership"]
    started = _everyone_starts(settings)
    if settings.counted:
        planes.append("replica")
        started["disk"] = settings.data_dir or "none, state in memory"
    if EDGE in settings.serves:
        planes.append("ingress")
        started["clients"] = settings.bind.frontend
        started["readiness"] = settings.bind.readiness
    if CONTROL_PLANE in settings.serves:
        planes.append("control front")
        started["operator"] = settings.bind.control_plane
    return {"planes": ", ".join(planes), **started}


def _agent_starts(settings: Settings) -> dict[str, str]:
    started = {"planes": "membership, agent", **_everyone_starts(settings)}
    started["heartbeats"] = settings.bind.control_plane
    started["worker"] = settings.app
    started["service"] = settings.service
    return started


def _everyone_starts(settings: Settings) -> dict[str, str]:
    first, last = settings.internal_ports
    return {
        "node": f"{settings.name}, role {settings.role}, zone {settings.zone or '-'}",
        "internal": f"{settings.ip}, first free port of {first} to {last}",
        "seeds": ", ".join(settings.seeds) or "none",
    }
