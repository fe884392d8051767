"""Checks whether a running node can load a configuration file, and keeps the indexes of names stable. No I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from pipitledge.decision.interface import JobClass, Settings, Tenant


class InvalidSettingsFile(ValueError):
    """The file can't be used; the text names the key and the reason."""


def check(raw: object) -> None:
    """Check the rules for every file: finite numbers, at least one class, positive deadlines, attempts and limits."""
    if not isinstance(raw, Mapping):
        raise InvalidSettingsFile("the file is not an object")
    _check_finite(raw, "")
    settings = raw.get("settings")
    if not isinstance(settings, Mapping):
        raise InvalidSettingsFile("settings: not an object")
    lanes = settings.get("lanes")
    if not isinstance(lanes, list) or not lanes:  # a node without classes can't serve any request
        raise InvalidSettingsFile(
            "settings.lanes: " + ("missing" if lanes is None else "no class" if lanes == [] else "not a list")
        )
    for index, lane in enumerate(lanes):
        if not isinstance(lane, Mapping):
            raise InvalidSettingsFile(f"settings.lanes[{index}]: not an object")
        if not lane.get("name"):
            raise InvalidSettingsFile(f"settings.lanes[{index}].name: missing")
        if "deadline_ms" in lane:
            _check_positive(lane["deadline_ms"], f"settings.lanes[{index}].deadline_ms")
    permissions, limits = settings.get("permissions"), raw.get("limits")
    if isinstance(permissions, Mapping) and "max_attempts" in permissions:
        _check_positive(permissions["max_attempts"], "settings.permissions.max_attempts", integer=True)
    for name, value in limits.items() if isinstance(limits, Mapping) else ():
        _check_positive(value, f"limits.{name}")


def check_against(old: Mapping[str, Any], new: object) -> None:
    """Check a file against the current one: it has all keys of that one, with values of the same types."""
    check(new)
    assert isinstance(new, Mapping)
    for key, value in old.items():
        if key == "known":
            continue  # the initial list of workers: not read at a reload, as discovery provides the list by then
        if key not in new:
            raise InvalidSettingsFile(f"{key}: missing")
        _check_same_shape(value, new[key], key)
    lanes = new["settings"].get("lanes") or []
    names = [lane.get("name") for lane in lanes if isinstance(lane, Mapping)]
    if not names:
        raise InvalidSettingsFile("settings.lanes: no class")
    if len({*names}) < len(names):
        raise InvalidSettingsFile("settings.lanes: a class is named twice")
    old_count = len(old["settings"].get("lanes") or [])
    for key, value in (new["settings"].get("specifics") or {}).items():
        known = (old["settings"].get("specifics") or {}).get(key)
        if (
            key.startswith("class_")
            and isinstance(known, list)
            and len(known) == old_count
            and len(value) != len(lanes)
        ):
            raise InvalidSettingsFile(f"settings.specifics.{key}: {len(value)} values for {len(lanes)} classes")


def _check_same_shape(old: Any, new: Any, path: str) -> None:
    """Compare types recursively; each entry of a list must have the keys that all entries of the current list have."""
    if isinstance(old, Mapping):
        if not isinstance(new, Mapping):
            raise InvalidSettingsFile(f"{path}: not an object")
        for key, value in old.items():
            if key not in new:
                raise InvalidSettingsFile(f"{path}.{key}: missing")
            _check_same_shape(value, new[key], f"{path}.{key}")
    elif isinstance(old, list):
        if not isinstance(new, list):
            raise InvalidSettingsFile(f"{path}: not a list")
        entries = [entry for entry in old if isinstance(entry, Mapping)]
        if entries and len(entries) == len(old):
            common = {key: entries[0][key] for key in entries[0] if all(key in entry for entry in entries)}
            for index, entry in enumerate(new):
                _check_same_shape(common, entry, f"{path}[{index}]")
        elif old:
            for index, entry in enumerate(new):
                _check_same_shape(old[0], entry, f"{path}[{index}]")
    elif _type_name(old) != _type_name(new) and old is not None:
        raise InvalidSettingsFile(f"{path}: {str(new)[:40]!r} is no {_type_name(old)}")


def _type_name(value: Any) -> str:
    if isinstance(value, bool):
        return "true or false"
    return "number" if isinstance(value, int | float) else "text" if isinstance(value, str) else type(value).__name__


def _check_finite(value: Any, path: str) -> None:
    if isinstance(value, float) and not math.isfinite(value):
        raise InvalidSettingsFile(f"{path}: {value} is not a finite number")
    parts = value.items() if isinstance(value, Mapping) else enumerate(value) if isinstance(value, list) else ()
    for key, part in parts:
        _check_finite(part, (f"{path}.{key}" if path else str(key)) if isinstance(key, str) else f"{path}[{key}]")


def _check_positive(value: Any, path: str, integer: bool = False) -> None:
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not value > 0 or (integer and value != int(value)):
        raise InvalidSettingsFile(f"{path}: {str(value)[:40]!r} is not a positive {'whole ' if integer else ''}number")


# ---- stable indexes of names


@dataclass(frozen=True, slots=True)
class NameIndexes:
    """All names since the start of the process, including removed ones, with the index of each in the module."""

    classes: Mapping[str, int]
    tenants: Mapping[str, int]
    zones: Mapping[str, int]
    kinds: Mapping[str, int]

    def with_names(
        self, classes: Sequence[str], tenants: Sequence[str], zones: Sequence[str], kinds: Sequence[str]
    ) -> NameIndexes:
        """Return these indexes with new names added at the end."""
        return NameIndexes(
            _extended(self.classes, classes),
            _extended(self.tenants, tenants),
            _extended(self.zones, zones),
            _extended(self.kinds, kinds),
        )


NO_INDEXES = NameIndexes({}, {}, {}, {})


def _extended(known: Mapping[str, int], names: Sequence[str]) -> Mapping[str, int]:
    extended = dict(known)
    for name in names:
        extended.setdefault(name, len(extended))
    return extended


def renumbered(settings: Settings, in_file: NameIndexes, numbers: NameIndexes, old: Settings) -> Settings:
    """Convert settings from the file's indexes to the stable ones; removed classes keep their index and values."""
    kinds = {index: numbers.kinds[name] for name, index in in_file.kinds.items()}
    classes: list[JobClass] = [*old.classes, *settings.classes][: len(numbers.classes)]
    for name, index in in_file.classes.items():
        job_class = settings.classes[index]
        classes[numbers.classes[name]] = replace(job_class, kind=kinds.get(job_class.kind, job_class.kind))
    tenants = settings.tenants
    if numbers.tenants:
        reordered = [Tenant(0.0, 0.0)] * len(numbers.tenants)  # a removed tenant has no share
        for name, index in in_file.tenants.items():
            reordered[numbers.tenants[name]] = settings.tenants[index]
        tenants = tuple(reordered)
    zones = {index: numbers.zones[name] for name, index in in_file.zones.items()}
    return replace(
        settings,
        classes=tuple(classes),
        tenants=tenants,
        kinds=max(1, len(numbers.kinds)),
        zones=max(1, len(numbers.zones)),
        zone=zones.get(settings.zone, settings.zone),
    )
