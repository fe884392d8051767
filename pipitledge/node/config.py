"""What a node is told at its start: BALANCER_CONFIG, or the single variables where a key is missing."""

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
    """The configuration can't be used; the text says why."""


@dataclass(frozen=True, slots=True)
class Names:
    """Names on the sockets, by their index in the settings."""

    classes: Mapping[bytes, int]
    tenants: Mapping[bytes, int]
    zones: Mapping[str, int]
    kinds: Mapping[str, int]
    default_zone: int = 0
    numbers: NameIndexes = NO_INDEXES  # vanished names too


@dataclass(frozen=True, slots=True)
class TierConfig:
    """The block `tier`: the node's part in one policy for the whole tier."""

    name: str  # this node's, among the members
    members: Mapping[str, Address]
    listen: Address | None  # a TCP address of its own; None: datagrams, through the peers' socket
    state: str = ""  # a folder on a disk that outlives the process; empty: there is none
    key_file: str = ""  # messages are sealed with what it holds
    unanimous: bool = False  # a decision takes all members, and a lease its holder alone


@dataclass(frozen=True, slots=True)
class Config:
    """One node's configuration."""

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
    idle_ms: float  # a worker's machine closes an idle connection after this
    console: Address | None = None  # the second address, for operators' calls
    peer_listen: Address | None = None  # where the tier's nodes talk to each other, if the settings let them
    peers: tuple[Address, ...] = ()  # by their numbers in the settings, this one's too
    peers_all: Address | None = None
    folder: str = ""  # where processes of this node find each other; empty: an upgrade is no matter here
    raw: Mapping[str, Any] = field(default_factory=dict)  # the file as it stands, for the check of the next one
    attempts: str = ""  # path of the file of attempt plans; empty: there is none
    printers: str = ""  # path of the file of printers; empty: the node does not print
    ipp_listen: str = ""
    ipp_store: str = ""  # path of the store of print jobs; empty: they are kept in memory
    tier: TierConfig | None = None  # None: this node's policy is its own file's


def address(text: str) -> Address:
    """Read host:port."""
    host, colon, port = text.rpartition(":")
    try:  # a name would be looked up, which blocks the whole node; there is no DNS here
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
    """Read the configuration; a ConfigError names what is wrong with it.

    One that is to follow another is checked against it, and its names get the numbers that they had there.
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
    except Exception as fault:  # a reload must outlive whatever a file may hold
        raise ConfigError(f"{type(fault).__name__}: {fault}") from fault


def with_settings(
    told: Config, settings: Mapping[str, Any], environ: Mapping[str, str], in_force: Config, against: bool
) -> Config:
    """The same configuration with other settings, in the numbers of the one in force.

    ConfigError names what is wrong with them; `against`: also where they are none that may follow those in force.
    """
    raw = {**told.raw, "settings": settings}
    try:
        check_against(in_force.raw, raw) if against else check(raw)
        return replace(_with_stable_indexes(_config(raw, environ), in_force), known=told.known)
    except ConfigError:
        raise
    except InvalidSettingsFile as fault:
        raise ConfigError(str(fault)) from fault
    except Exception as fault:  # whatever a document may hold
        raise ConfigError(f"{type(fault).__name__}: {fault}") from fault


def restart_required_keys(old: Config, new: Config) -> list[str]:
    """Keys that differ and that only a restart takes over."""
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
    stated, known = new.names.numbers, old.names.numbers
    numbers = known.with_names(*map(list, (stated.classes, stated.tenants, stated.zones, stated.kinds)))
    names = Names(
        classes={name.encode(): numbers.classes[name] for name in stated.classes},
        tenants={name.encode(): numbers.tenants[name] for name in stated.tenants},
        zones={name: numbers.zones[name] for name in stated.zones},
        kinds={name: numbers.kinds[name] for name in stated.kinds},
        default_zone=next(
            (numbers.zones[name] for name, index in stated.zones.items() if index == new.names.default_zone), 0
        ),
        numbers=numbers,
    )
    return replace(new, names=names, settings=renumbered(new.settings, stated, numbers, old.settings))


def _peers(raw: Mapping[str, Any]) -> dict[str, Any]:
    everybody = raw.get("peers_all")
    return {
        "peer_listen": address(str(raw["peer_listen"])),
        "peers": tuple(address(str(peer)) for peer in raw.get("peers") or []),
        "peers_all": address(str(everybody)) if everybody else None,
    }


def _tier(raw: Mapping[str, Any]) -> TierConfig | None:
    stated = raw.get("tier")
    if not stated:
        return None
    if not isinstance(stated, Mapping):
        raise ConfigError("tier: no object")
    if unknown := set(stated) - {"name", "members", "listen", "state", "key_file", "changes_need"}:
        raise ConfigError(f"tier.{min(unknown)}: not known")
    members, name, needs = stated.get("members"), str(stated.get("name", "")), stated.get("changes_need", "majority")
    if not isinstance(members, Mapping) or not members:
        raise ConfigError("tier.members: names with addresses are needed")
    if name not in members:
        raise ConfigError(f"tier.name: {name!r} is none of tier.members")
    if needs not in ("majority", "all"):
        raise ConfigError(f"tier.changes_need: {needs!r}; majority or all")
    for member in members:
        if not 0 < len(member) <= 12 or not member.isascii() or not member.isprintable() or "~" in member:
            raise ConfigError(f"tier.members.{member}: a name has 1 to 12 plain characters, and no ~")
    found = {str(member): address(str(where)) for member, where in members.items()}
    listen = address(str(stated["listen"])) if stated.get("listen") else None
    if listen is None:
        peers = [address(str(peer)) for peer in raw.get("peers") or []]
        if not raw.get("peer_listen") or not ((raw.get("settings") or {}).get("permissions") or {}).get("peers"):
            raise ConfigError(
                "tier.listen: missing; without it datagrams are used, and peer_listen with "
                "settings.permissions.peers allows none"
            )
        for member, where in found.items():
            if where not in peers:
                raise ConfigError(f"tier.members.{member}: its address is none of peers")
    return TierConfig(
        name, found, listen, str(stated.get("state") or ""), str(stated.get("key_file") or ""), needs == "all"
    )


def _config(raw: Mapping[str, Any], environ: Mapping[str, str]) -> Config:
    def told(key: str) -> str:
        value = raw.get(key) or environ.get("BALANCER_" + key.upper())
        if not value:
            raise ConfigError(f"{key} is missing")
        return str(value)

    stated, limits = raw.get("settings") or {}, raw.get("limits") or {}
    allow, known = stated.get("permissions") or {}, raw.get("known")
    console = raw.get("console") or environ.get("BALANCER_CONSOLE")
    names = Names(
        classes=_bytes(_names(stated.get("lanes"))),
        tenants=_bytes(_names(stated.get("realms"))),
        zones=_names(stated.get("zones")),
        kinds=_names(stated.get("shapes")),
        default_zone=int(stated.get("zone", 0)),
        numbers=NameIndexes(*(_names(stated.get(key)) for key in ("lanes", "realms", "zones", "shapes"))),
    )
    return Config(
        name=told("name"),
        listen=address(told("listen")),
        discovery=address(told("discovery")),
        seed=int(str(raw.get("seed", "0")), 16),
        sockets=int(limits.get("sockets", 1024)),
        memory_mb=int(limits.get("memory_mb", 192)),
        known=known if isinstance(known, dict) else {},
        settings=settings_from(stated),
        names=names,
        dial_timeout_ms=float(allow.get("dial_timeout_ms", 1_000.0)),
        idle_ms=float(allow.get("conn_idle_ms", 15_000.0)),
        console=address(str(console)) if console else None,
        **(_peers(raw) if allow.get("peers") and raw.get("peer_listen") else {}),
        raw={key: value for key, value in raw.items() if key != "known"},
        folder=environ.get("TMPDIR", ""),
        attempts=str(raw.get("attempts") or environ.get("PIPITLEDGE_ATTEMPTS", "")),
        printers=str(raw.get("printers") or ""),
        ipp_listen=str(raw.get("ipp_listen") or ""),
        ipp_store=str(raw.get("ipp_store") or ""),
        tier=_tier(raw),
    )
