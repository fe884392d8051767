"""The printers that a node's file names. Which of them serve is polled, not written there."""

from __future__ import annotations

import re
from collections.abc import Generator
from dataclasses import dataclass

from pipitledge.conf.parse import parse
from pipitledge.conf.places import Mistake, Place, errors
from pipitledge.node.config import Address, ConfigError, address

_URI = re.compile(r"ipp://([^/]+)(/[!-~]*)?")
IPP_PORT = 631  # RFC 3510


@dataclass(frozen=True, slots=True)
class PrinterEntry:
    """One printer as its section says."""

    name: str
    where: Address
    path: str
    slots: int = 1  # jobs that it takes at a time
    cold_ms: int = 0  # after a start, so long until it has its full capacity


def read_uri(text: str) -> tuple[Address, str]:
    """An ipp URI's address and path; ValueError says what is wrong. Names are not looked up: there is no DNS."""
    found = _URI.fullmatch(text)
    if found is None:
        raise ValueError(f"{text[:60]!r} is no uri such as ipp://127.0.0.1:631/ipp/print")
    host = found[1] if ":" in found[1] else f"{found[1]}:{IPP_PORT}"
    try:
        return address(host), found[2] or "/"
    except ConfigError:
        raise ValueError(f"{host[:60]!r} is no IPv4 address and port; names are not looked up") from None


def load(file: str, data: bytes) -> Generator[None, None, tuple[list[PrinterEntry], list[Mistake]]]:
    """Read a file of printers; without any error, its entries."""
    document = yield from parse(file, data)
    mistakes, entries, known = document.mistakes, list[PrinterEntry](), dict[Address, str]()
    for section in document.sections:
        if section.kind != "printer":
            mistakes.append(
                Mistake(section.place, f"a {section.kind} section among printers; plans stand in a file of their own")
            )
            continue
        settings = section.settings
        for setting in settings.values():
            if setting.override:
                mistakes.append(Mistake(setting.place, "override belongs to a route"))
        if "uri" not in settings:
            mistakes.append(Mistake(section.place, f"printer {section.name} has no uri"))
            continue
        try:
            where, path = read_uri(settings["uri"].value)
        except ValueError as fault:
            mistakes.append(Mistake(settings["uri"].place, str(fault)))
            continue
        if where in known:
            mistakes.append(Mistake(settings["uri"].place, f"printer {known[where]} is at this address already"))
        known[where] = section.name
        entries.append(
            PrinterEntry(
                section.name,
                where,
                path,
                settings["slots"].value if "slots" in settings else 1,
                settings["cold-for"].value if "cold-for" in settings else 0,
            )
        )
    if not document.sections and not mistakes:
        mistakes.append(Mistake(Place(file), "no printer is named"))
    mistakes.sort(key=lambda mistake: (mistake.place.line, mistake.place.column))
    return ([] if errors(mistakes) else entries), mistakes
