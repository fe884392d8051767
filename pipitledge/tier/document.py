"""The policy as a document: what of a node's configuration is the tier's, what is the node's own place. No I/O.

A document is canonical JSON: the format, a name, who made it and when, the members with their addresses and those of
the document before, the `settings` without the keys that say where a node stands, and the text of the plans. Its
digest (BLAKE2b, 16 bytes) is its identity; it travels compressed, in pieces.
"""

from __future__ import annotations

import hashlib
import json
import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

FORMAT = 1
PLACE = ("my_number", "n_instances", "zone")  # of `settings`: a node's own, and not the policy's
MOST = 256 * 1024  # bytes of a document; a tier's settings have some thousands
MOST_NAME, MOST_ID = 48, 12
DIGEST = 16


class BadDocument(ValueError):
    """It is no policy document; the text names the place and says why."""


@dataclass(frozen=True, slots=True)
class Document:
    """One policy. `members` and `was` are names with addresses, those before it too."""

    settings: Mapping[str, Any]
    plans: str = ""
    name: str = ""
    by: str = ""
    at_ms: int = 0
    members: Mapping[str, str] = field(default_factory=dict)
    was: Mapping[str, str] = field(default_factory=dict)

    def data(self) -> bytes:
        """The canonical bytes: two documents are the same exactly if these are."""
        return json.dumps(
            {
                "format": FORMAT,
                "name": self.name,
                "by": self.by,
                "at_ms": self.at_ms,
                "members": dict(self.members),
                "was": dict(self.was),
                "settings": self.settings,
                "plans": self.plans,
            },
            sort_keys=True,
            separators=(",", ":"),
            ensure_ascii=False,
        ).encode()

    def digest(self) -> bytes:
        """Its identity."""
        return digest_of(self.data())


def digest_of(data: bytes) -> bytes:
    """The digest of a document's canonical bytes."""
    return hashlib.blake2b(data, digest_size=DIGEST).digest()


def read(data: bytes) -> Document:
    """Read a document's bytes; BadDocument names the place."""
    if len(data) > MOST:
        raise BadDocument(f"{len(data)} bytes; a policy has {MOST} at most")
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError) as fault:
        raise BadDocument(f"no JSON: {fault}") from None
    if not isinstance(raw, dict):
        raise BadDocument("no object")
    if raw.get("format") != FORMAT:
        raise BadDocument(f"format: {raw.get('format')!r}, this program reads {FORMAT}")
    for key, kind in (
        ("settings", dict),
        ("plans", str),
        ("name", str),
        ("by", str),
        ("at_ms", int),
        ("members", dict),
        ("was", dict),
    ):
        if not isinstance(raw.get(key), kind):
            raise BadDocument(f"{key}: missing or of another kind")
    document = Document(raw["settings"], raw["plans"], raw["name"], raw["by"], raw["at_ms"], raw["members"], raw["was"])
    check_members(document.members)
    if not document.settings.get("lanes"):
        raise BadDocument("settings.lanes: missing")
    for key in PLACE:
        if key in document.settings:
            raise BadDocument(f"settings.{key}: a node's own place is no part of the tier's policy")
    return document


def check_members(members: Mapping[str, Any]) -> None:
    """Names that fit into messages, with an address each."""
    for name, address in members.items():
        if not 0 < len(name) <= MOST_ID or not name.isascii() or not name.isprintable() or "~" in name:
            raise BadDocument(f"members.{name}: a name has 1 to {MOST_ID} plain characters, and no ~")
        if not isinstance(address, str):
            raise BadDocument(f"members.{name}: no address")


def shared(settings: Mapping[str, Any]) -> dict[str, Any]:
    """The part of a node's settings that is the tier's."""
    return {key: value for key, value in settings.items() if key not in PLACE}


def placed(document: Document, own: Mapping[str, Any]) -> dict[str, Any]:
    """The settings of one node under this document: the tier's, at the node's own place."""
    return {**document.settings, **{key: own[key] for key in PLACE if key in own}}


def packed(data: bytes) -> bytes:
    """A document as it travels."""
    return zlib.compress(data, 9)


def unpacked(data: bytes, digest: bytes) -> bytes:
    """A document that has come whole; BadDocument if it is another one, or more than one may be."""
    try:
        reader = zlib.decompressobj()
        plain = reader.decompress(data, MOST + 1)
    except zlib.error as fault:
        raise BadDocument(f"damaged: {fault}") from None
    if len(plain) > MOST or digest_of(plain) != digest:
        raise BadDocument("damaged: another digest")
    return plain


def differences(old: Document, new: Document) -> list[tuple[str, str, str]]:
    """What a change changes: place, what it was and what it becomes; lists of named things go by name."""
    found: list[tuple[str, str, str]] = []
    _compare("settings", old.settings, new.settings, found)
    _compare("members", old.members, new.members, found)
    if old.plans != new.plans:
        was, now = old.plans.splitlines(), new.plans.splitlines()
        for number in range(max(len(was), len(now))):
            before = was[number] if number < len(was) else "-"
            after = now[number] if number < len(now) else "-"
            if before != after:
                found.append((f"plans:{number + 1}", before, after))
    return found


def _compare(place: str, old: Any, new: Any, found: list[tuple[str, str, str]]) -> None:
    old, new = _by_name(old), _by_name(new)
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        for key in sorted({*old, *new}, key=str):
            here = f"{place}.{key}"
            if key not in old:
                found.append((here, "-", _shown(new[key])))
            elif key not in new:
                found.append((here, _shown(old[key]), "-"))
            else:
                _compare(here, old[key], new[key], found)
    elif old != new:
        found.append((place, _shown(old), _shown(new)))


def _by_name(value: Any) -> Any:
    if (
        isinstance(value, Sequence)
        and not isinstance(value, str)
        and value
        and all(isinstance(entry, Mapping) and "name" in entry for entry in value)
    ):
        return {entry["name"]: entry for entry in value}
    return value


def _shown(value: Any) -> str:
    text = json.dumps(value, sort_keys=True, ensure_ascii=False)
    return text if len(text) <= 60 else text[:57] + "..."
