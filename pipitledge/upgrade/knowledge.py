"""What a module has learned, by name: written for the process that takes its place, whose numbers may differ."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from pipitledge.decision.interface import Inherited, WorkerRecord
from pipitledge.decision.policy import Policy
from pipitledge.node.settings_file import NameIndexes

BY_CLASS, BY_KIND = ("run_ms", "per_hint"), ("slots", "kind_slowness")
FIGURES = ("spill", "fleet_failures", "dead")


def learned_by(policy: Policy, numbers: NameIndexes) -> dict[str, Any]:
    """Tell what the module has learned."""
    by_name = {
        what: {name: getattr(policy, what)[number] for name, number in names.items()}
        for whats, names in ((BY_CLASS, numbers.classes), (BY_KIND, numbers.kinds))
        for what in whats
    }
    workers = {
        name: {what: getattr(worker, what) for what in WorkerRecord.LEARNED_FIELDS}
        for name, worker in policy.workers.items()
    }
    return by_name | {what: getattr(policy, what) for what in FIGURES} | {"workers": workers}


def inherited(raw: Mapping[str, Any], numbers: NameIndexes, policy: Policy) -> Inherited | None:
    """Read it for a module that has learned nothing yet; None where it can't be read: then it begins anew."""
    try:
        by_number = []
        for whats, names in ((BY_CLASS, numbers.classes), (BY_KIND, numbers.kinds)):
            for what in whats:
                values = list(getattr(policy, what))
                for name, number in names.items():
                    values[number] = float(raw[what].get(name, values[number]))
                by_number.append(values)
        run_ms, per_hint, slots, slowness = by_number
        spill, failures, dead = (float(raw[what]) for what in FIGURES)
        workers = {
            str(name): {what: float(value) for what, value in told.items() if what in WorkerRecord.LEARNED_FIELDS}
            for name, told in raw["workers"].items()
        }
    except (KeyError, TypeError, ValueError, AttributeError, IndexError):
        return None
    return Inherited((run_ms, per_hint, slots, slowness), (spill, failures, dead), workers)
