"""The settings of a process: read from TOML, validated by `trafaret`, and returned as a frozen struct.

Unknown keys are ignored at any depth, and keys with an empty value count as absent. An invalid file never raises an
exception: `load` returns a `SettingsProblem` that names each invalid key by its path.
"""

from __future__ import annotations

import math
import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
import trafaret as t
from msgspec import Struct

CONFIG_VARIABLE = "PIPITLEDGE_CONFIG"
DEFAULT_CONFIG_PATH = "/etc/pipitledge/local.toml"
MAX_PORT = 65535


class SettingsProblem(Struct, frozen=True):
    """Why settings could not be loaded; `reason` lists key paths, such as `limits.memoryMb: value is not int`."""

    path: str
    reason: str

    def __str__(self) -> str:
        """Return the problem on one line."""
        return f"{self.path}: {self.reason}"


class BindAddresses(Struct, frozen=True):
    """Addresses (`ip:port`) to listen on for external calls; empty if the role doesn't serve them."""

    frontend: str = ""
    readiness: str = ""
    control_plane: str = ""


class Limits(Struct, frozen=True):
    """The resources of the machine that are available to this process."""

    cpu_share: float = 1.0
    cores: int = 1
    memory_mb: int = 256
    max_fds: int = 1024
    link_mbps: float = 1000.0
    disk_mb: int = 64


class FaultTolerance(Struct, frozen=True):
    """How many voting machines, zones or regions may fail at the same time."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


class Bounds(Struct, frozen=True):
    """Parameters of the deployment's rules; the name ends with the unit (`far_x` is a factor)."""

    seed_lag_s: float = 3.0
    reuse_after_s: float = 2.0
    contact_ms: float = 3000.0
    ack_ms: float = 4000.0
    catch_up_s: float = 4.0
    drain_ms: float = 2000.0
    grace_s: float = 6.0
    loss_slack_ms: float = 200.0
    config_apply_ms: float = 2000.0
    rollback_slack_ms: float = 250.0
    max_stretch_ms: float = 5000.0
    recovery_s: float = 12.0
    hold_max_ms: float = 10000.0
    stop_ms: float = 200.0
    gang_ms: float = 3000.0
    cancel_ms: float = 3000.0
    visible_ms: float = 3000.0
    early_ms: float = 250.0
    finish_s: float = 14.0
    status_s: float = 120.0
    far_x: float = 1.5
    save_s: float = 2.0
    restore_ms: float = 250.0


class Settings(Struct, frozen=True):
    """The settings of one process and of its deployment."""

    name: str
    role: str
    ip: str
    internal_ports: tuple[int, int]  # first and last port of the range, inclusive
    machine_class: str = ""
    serves: tuple[str, ...] = ()
    zone: str = ""
    region: str = ""
    seeds: tuple[str, ...] = ()  # control plane addresses of machines; may include this one
    bootstrap: bool = False
    counted: bool = False  # voting member of the quorum
    data_dir: str = ""  # empty: no disk
    discovery: str = ""
    entry: str = ""
    heartbeat_ms: float = 1500.0
    contracts: tuple[str, ...] = ()
    commands: str = ""
    app: str = ""
    service: str = ""
    zones: dict[str, str] = {}  # maps each zone to its region
    bind: BindAddresses = BindAddresses()
    limits: Limits = Limits()
    tolerance: FaultTolerance = FaultTolerance()
    bounds: Bounds = Bounds()


def config_path(environment: Mapping[str, str] | None = None) -> str:
    """Return the path of the settings file: `PIPITLEDGE_CONFIG`, or the default path if that is not set."""
    variables = os.environ if environment is None else environment
    return variables.get(CONFIG_VARIABLE) or DEFAULT_CONFIG_PATH


def load(path: str | Path) -> Settings | SettingsProblem:
    """Load the settings file at `path`."""
    location = str(path)
    try:
        text = Path(path).read_bytes().decode()
    except OSError as error:
        return SettingsProblem(location, f"cannot be read: {error.strerror or error}")
    except UnicodeDecodeError as error:
        return SettingsProblem(location, f"is not UTF-8: {error.reason} at byte {error.start}")
    return parse(text, location)


def parse(text: str, path: str = "settings") -> Settings | SettingsProblem:
    """Parse settings from TOML text; `path` is only used in the `SettingsProblem`."""
    try:
        document = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return SettingsProblem(path, f"is not TOML: {error}")
    try:
        checked = _SETTINGS.check(_without_empty(document))
    except t.DataError as error:
        return SettingsProblem(path, "; ".join(_reasons(error.as_dict())))
    return msgspec.convert(checked, Settings)


def _without_empty(table: Mapping[str, Any]) -> dict[str, Any]:
    """Return the table without empty strings, lists and tables, at any depth."""
    result: dict[str, Any] = {}
    for key, value in table.items():
        if isinstance(value, dict):
            value = _without_empty(value)
        if value not in ("", [], {}):
            result[key] = value
    return result


def _reasons(errors: Any, path: str = "") -> list[str]:
    """Return one `key.path: reason` per invalid key."""
    if not isinstance(errors, Mapping):
        return [f"{path}: {errors}" if path else str(errors)]
    reasons: list[str] = []
    for key, nested in errors.items():
        reasons += _reasons(nested, f"{path}.{key}" if path else str(key))
    return reasons


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def _number(value: Any) -> Any:
    """Accept an integer or float that is not negative."""
    if not _is_number(value):
        return t.DataError("value is not a number")
    if value < 0:
        return t.DataError("value is below 0")
    return float(value)


def _integer(value: Any) -> Any:
    """Accept an integer that is not negative; it may be written as `3.0`."""
    if not _is_number(value) or value != int(value):
        return t.DataError("value is not int")
    if value < 0:
        return t.DataError("value is below 0")
    return int(value)


def _optional_number(value: Any) -> Any:
    """Accept a number; a boolean counts as absent."""
    return None if isinstance(value, bool) else _number(value)


def _port(value: Any) -> Any:
    """Accept a port number."""
    port = _integer(value)
    if isinstance(port, int) and not 0 < port <= MAX_PORT:
        return t.DataError("value is not a port")
    return port


def _address(value: Any) -> Any:
    """Accept `ip:port`."""
    if not isinstance(value, str):
        return t.DataError("value is not a string")
    host, _, port = value.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        return t.DataError("value is not ip:port")
    return value


def _ascending(ports: tuple[int, int]) -> Any:
    """Accept a port range whose first port is not above the last."""
    return ports if ports[0] <= ports[1] else t.DataError("the first port is above the last")


def _without_none(table: dict[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in table.items() if value is not None}


def _camel(name: str) -> str:
    """Convert snake case to the camel case of the file: `memory_mb` to `memoryMb`."""
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def _key(name: str, field: str = "", optional: bool = True) -> t.Key:
    """Map the key `name` of the file to the struct field `field` (default: the same name)."""
    return t.Key(name, to_name=field or name, optional=optional)


def _table(checks: Mapping[str, Any]) -> t.Trafaret:
    """Return a validator for a table whose keys are the field names in camel case; other keys are ignored."""
    return t.Dict({_key(_camel(field), field): check for field, check in checks.items()}, ignore_extra="*")


def _bounds_table() -> t.Trafaret:
    """Return the validator for the bounds, whose keys may be in snake case or camel case."""
    keys: dict[t.Key, Any] = {}
    for field in Bounds.__struct_fields__:
        keys[_key(field)] = _optional_number
        keys[_key(_camel(field), field)] = _optional_number
    return t.Dict(keys, ignore_extra="*") & _without_none


_STRING = t.String()
_STRINGS = t.List(_STRING)
_BIND = _table({field: _address for field in BindAddresses.__struct_fields__})
_TOLERANCE = _table({field: _integer for field in FaultTolerance.__struct_fields__})
_LIMITS = _table(
    {
        "cpu_share": _number,
        "cores": _integer,
        "memory_mb": _integer,
        "max_fds": _integer,
        "link_mbps": _number,
        "disk_mb": _integer,
    }
)
_SETTINGS = t.Dict(
    {
        _key("nodeName", "name", optional=False): _STRING,
        _key("role", optional=False): _STRING,
        _key("machineClass", "machine_class"): _STRING,
        _key("ip", optional=False): _STRING,
        _key("internalPortRange", "internal_ports", optional=False): t.Tuple(_port, _port) & _ascending,
        _key("serves"): _STRINGS,
        _key("zone"): _STRING,
        _key("region"): _STRING,
        _key("seeds"): t.List(_address),
        _key("bootstrap"): t.Bool(),
        _key("countsForQuorum", "counted"): t.Bool(),
        _key("dataDir", "data_dir"): _STRING,
        _key("discovery"): _STRING,
        _key("entry"): _STRING,
        _key("heartbeatMs", "heartbeat_ms"): _number,
        _key("contracts"): _STRINGS,
        _key("commands"): _STRING,
        _key("app"): _STRING,
        _key("service"): _STRING,
        _key("zones"): t.Mapping(_STRING, _STRING),
        _key("bindAddrs", "bind"): _BIND,
        _key("limits"): _LIMITS,
        _key("faultTolerance", "tolerance"): _TOLERANCE,
        _key("bounds"): _bounds_table(),
    },
    ignore_extra="*",
)
