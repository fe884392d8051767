"""A node's configuration: the file named by BALANCER_CONFIG, and BALANCER_ variables for keys that it lacks."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from ipaddress import IPv4Address
from typing import Any

from pipitledge.decision.interface import Settings
from pipitledge.decision.settings import settings_from
from pipitledge.node.settings_file import NO_INDEXES, InvalidSettingsFile, NameIndexes, check, check_against, renumbered

Address = tuple[str, int]


class ConfigError(Exception):
    """The configuration can't be used; the text is the reason."""


@dataclass(frozen=True, slots=True)
class Names:
    """The names used in requests and worker lists, with the index of each in the settings."""

    classes: Mapping[bytes, int]
    tenants: Mapping[bytes, int]
    zones: Mapping[str, int]
    kinds: Mapping[str, int]
    default_zone: int = 0
    numbers: NameIndexes = NO_INDEXES  # also of names that earlier configurations had


@dataclass(frozen=True, slots=True)
class TierConfig:
    """The block `tier`: present if the nodes of the tier agree on one policy."""

    name: str  # of this node in `members`
    members: Mapping[str, Address]
    listen: Address | None  # TCP address for the tier's messages; None: datagrams through the socket of the peers
    state: str = ""  # folder on a disk that outlives the process; empty: no state is stored
    key_file: str = ""  # path of the file with the key that authenticates messages
    unanimous: bool = False  # a decision needs all members instead of a majority; a lease needs its holder only


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one node."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: int
    known: Mapping[str, Any]
    settings: Settings
    names: Names
    dial_timeout_ms: float
    idle_ms: float  # time after which a worker closes an idle connection
    console: Address | None = None  # address for operators' calls; None: no console
    peer_listen: Address | None = None  # for datagrams between the tier's nodes; None: not permitted by the settings
    peers: tuple[Address, ...] = ()  # by node number, including this node's
    peers_all: Address | None = None  # one address that reaches all peers; None: a datagram is sent to each
    folder: str = ""  # holds the Unix socket of the handover between processes at an upgrade; empty: no upgrade
    raw: Mapping[str, Any] = field(
        default_factory=dict
    )  # content of the file without `known`, to check the next one against
    attempts: str = ""  # path of the file of attempt plans; empty: no plans
    printers: str = ""  # path of the file of printers; empty: the node does not serve print jobs
    ipp_listen: str = ""
    ipp_store: str = ""  # path of the store of print jobs; empty: print jobs are kept in memory
    tier: TierConfig | None = None  # None: the policy is the one in this node's configuration file


def address(text: str) -> Address:
    """Parse host:port; the host must be an IPv4 address."""
    host, colon, port = text.rpartition(":")
    try:  # host names are refused: there is no DNS, and a look-up would block the node
        if colon and port.isdecimal() and int(port) <= 65535:
            return str(IPv4Address(host)), int(port)
    except ValueError:
        pass
    raise ConfigError(f"not an address: {text!r}")


def _names(raw: Any) -> dict[str, int]:
    named = (entry.get("name", "") if isinstance(entry, dict) else str(entry) for entry in raw or [])
    return {name: index for index, name in enumerate(named)}


def _bytes(names: Mapping[str, int]) -> dict[bytes, int]:
    return {name.encode(): index for name, index in names.items()}


def load(environ: Mapping[str, str], in_force: Config | None = None) -> Config:
    """Read the configuration; raises ConfigError with the reason if it can't be used.

    On a reload, `in_force` is the current configuration: the new one is checked against it, and names that both have
    keep their indexes.
    """
    raw: Any = {}
    try:
        if path := environ.get("BALANCER_CONFIG"):
            with open(path, encoding="utf-8") as file:
                raw = json.load(file)
            (check(raw) if in_force is None else check_against(in_force.raw, raw))
        config = _config(raw, environ)
        return config if in_force is None else _with_stable_indexes(config, in_force)
    except ConfigError:
        raise
    except InvalidSettingsFile as fault:
        raise ConfigError(str(fault)) from fault
    except Exception as fault:  # no content of the file may end a node that reloads it
        raise ConfigError(f"{type(fault).__name__}: {fault}") from fault


def with_settings(
    base: Config, settings: Mapping[str, Any], environ: Mapping[str, str], in_force: Config, check_change: bool
) -> Config:
    """Return the configuration `base` with other settings; names keep the indexes that they have in `in_force`.

    Raises ConfigError if the settings can't be used, or, with `check_change`, if they may not replace those in force.
    """
    raw = {**base.raw, "settings": settings}
    try:
        check_against(in_force.raw, raw) if check_change else check(raw)
        return replace(_with_stable_indexes(_config(raw, environ), in_force), known=base.known)
    except ConfigError:
        raise
    except InvalidSettingsFile as fault:
        raise ConfigError(str(fault)) from fault
    except Exception as fault:  # the settings come from a document that may hold anything
        raise ConfigError(f"{type(fault).__name__}: {fault}") from fault


def restart_required_keys(old: Config, new: Config) -> list[str]:
    """Return the keys that differ and take effect only after a restart."""
    return [
        key
        for key in (
            "name",
            "listen",
            "seed",
            "console",
            "attempts",
            "peer_listen",
            "peers",
            "peers_all",
            "printers",
            "ipp_listen",
            "ipp_store",
            "tier",
        )
        if getattr(old, key) != getattr(new, key)
    ]


def _with_stable_indexes(new: Config, old: Config) -> Config:
    in_file, known = new.names.numbers, old.names.numbers
    numbers = known.with_names(*map(list, (in_file.classes, in_file.tenants, in_file.zones, in_file.kinds)))
    names = Names(
        classes={name.encode(): numbers.classes[name] for name in in_file.classes},
        tenants={name.encode(): numbers.tenants[name] for name in in_file.tenants},
        zones={name: numbers.zones[name] for name in in_file.zones},
        kinds={name: numbers.kinds[name] for name in in_file.kinds},
        default_zone=next(
            (numbers.zones[name] for name, index in in_file.zones.items() if index == new.names.default_zone), 0
        ),
        numbers=numbers,
    )
    return replace(new, names=names, settings=renumbered(new.settings, in_file, numbers, old.settings))


def _peers(raw: Mapping[str, Any]) -> dict[str, Any]:
    shared = raw.get("peers_all")
    return {
        "peer_listen": address(str(raw["peer_listen"])),
        "peers": tuple(address(str(peer)) for peer in raw.get("peers") or []),
        "peers_all": address(str(shared)) if shared else None,
    }


def _tier(raw: Mapping[str, Any]) -> TierConfig | None:
    block = raw.get("tier")
    if not block:
        return None
    if not isinstance(block, Mapping):
        raise ConfigError("tier: no object")
    if unknown := set(block) - {"name", "members", "listen", "state", "key_file", "changes_need"}:
        raise ConfigError(f"tier.{min(unknown)}: not known")
    members, name, changes_need = (
        block.get("members"),
        str(block.get("name", "")),
        block.get("changes_need", "majority"),
    )
    if not isinstance(members, Mapping) or not members:
        raise ConfigError("tier.members: must map names to addresses")
    if name not in members:
        raise ConfigError(f"tier.name: {name!r} is not in tier.members")
    if changes_need not in ("majority", "all"):
        raise ConfigError(f"tier.changes_need: {changes_need!r}; majority or all")
    for member in members:
        if not 0 < len(member) <= 12 or not member.isascii() or not member.isprintable() or "~" in member:
            raise ConfigError(f"tier.members.{member}: a name has 1 to 12 printable ASCII characters, without ~")
    addresses = {str(member): address(str(where)) for member, where in members.items()}
    listen = address(str(block["listen"])) if block.get("listen") else None
    if listen is None:
        peers = [address(str(peer)) for peer in raw.get("peers") or []]
        if not raw.get("peer_listen") or not ((raw.get("settings") or {}).get("permissions") or {}).get("peers"):
            raise ConfigError(
                "tier.listen: missing; without it the tier uses datagrams, which need peer_listen and "
                "settings.permissions.peers"
            )
        for member, where in addresses.items():
            if where not in peers:
                raise ConfigError(f"tier.members.{member}: its address is not in peers")
    return TierConfig(
        name, addresses, listen, str(block.get("state") or ""), str(block.get("key_file") or ""), changes_need == "all"
    )


def _config(raw: Mapping[str, Any], environ: Mapping[str, str]) -> Config:
    def required(key: str) -> str:
        value = raw.get(key) or environ.get("BALANCER_" + key.upper())
        if not value:
            raise ConfigError(f"{key} is missing")
        return str(value)

    raw_settings, limits = raw.get("settings") or {}, raw.get("limits") or {}
    permissions, known = raw_settings.get("permissions") or {}, raw.get("known")
    console = raw.get("console") or environ.get("BALANCER_CONSOLE")
    names = Names(
        classes=_bytes(_names(raw_settings.get("lanes"))),
        tenants=_bytes(_names(raw_settings.get("realms"))),
        zones=_names(raw_settings.get("zones")),
        kinds=_names(raw_settings.get("shapes")),
        default_zone=int(raw_settings.get("zone", 0)),
        numbers=NameIndexes(*(_names(raw_settings.get(key)) for key in ("lanes", "realms", "zones", "shapes"))),
    )
    return Config(
        name=required("name"),
        listen=address(required("listen")),
        discovery=address(required("discovery")),
        seed=int(str(raw.get("seed", "0")), 16),
        sockets=int(limits.get("sockets", 1024)),
        memory_mb=int(limits.get("memory_mb", 192)),
        known=known if isinstance(known, dict) else {},
        settings=settings_from(raw_settings),
        names=names,
        dial_timeout_ms=float(permissions.get("dial_timeout_ms", 1_000.0)),
        idle_ms=float(permissions.get("conn_idle_ms", 15_000.0)),
        console=address(str(console)) if console else None,
        **(_peers(raw) if permissions.get("peers") and raw.get("peer_listen") else {}),
        raw={key: value for key, value in raw.items() if key != "known"},
        folder=environ.get("TMPDIR", ""),
        attempts=str(raw.get("attempts") or environ.get("PIPITLEDGE_ATTEMPTS", "")),
        printers=str(raw.get("printers") or ""),
        ipp_listen=str(raw.get("ipp_listen") or ""),
        ipp_store=str(raw.get("ipp_store") or ""),
        tier=_tier(raw),
    )
