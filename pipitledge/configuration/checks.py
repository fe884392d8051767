"""Validation of the operators' JSON: a full configuration, or a change that is merged into the current one.

A check never raises: it returns a `ParsedConfiguration`, or an `InvalidConfiguration` with the location of each wrong
field. Fields that this version doesn't know are kept as sent. An item in a change replaces the whole item of that name.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec
import trafaret as t
from msgspec import Struct

from pipitledge.configuration.model import Configuration, Limits, Route, Service

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_VERSION = 2**63 - 1  # stored records hold versions as signed 64-bit numbers
MAX_PROBLEMS = 20  # listed in one answer
WHOLE_DOCUMENT = "(whole)"  # location of a problem that belongs to no single field

JsonObject = dict[str, Any]


class Problem(Struct, frozen=True):
    """One error in a configuration, such as `routes[1].timeoutMs: must be above 0`."""

    location: str
    reason: str

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        return f"{self.location}: {self.reason}"


class InvalidConfiguration(Struct, frozen=True):
    """The reasons why a configuration is refused."""

    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        """Return the first `MAX_PROBLEMS` problems on one line, and the number of the others."""
        listed = "; ".join(str(problem) for problem in self.problems[:MAX_PROBLEMS])
        more = len(self.problems) - MAX_PROBLEMS
        return f"{listed}; and {more} more" if more > 0 else listed


class ParsedConfiguration(Struct, frozen=True):
    """A configuration that passed all checks."""

    raw: JsonObject  # as the operators sent it, with later changes merged in
    body: bytes  # `raw` as JSON
    configuration: Configuration

    @property
    def version(self) -> int:
        """The version number that the operator gave it."""
        return self.configuration.version


Checked = ParsedConfiguration | InvalidConfiguration


def check_full_configuration(body: bytes, current_version: int) -> Checked:
    """Check a full configuration (PUT) that would replace `current_version`."""
    document = _read(body)
    if isinstance(document, InvalidConfiguration):
        return document
    return _check_document(document, body, current_version)


def check_change(body: bytes, current: ParsedConfiguration | None) -> Checked:
    """Check a change (PATCH): merge it into `current` and check the result as a full configuration.

    `remove` is applied before `upsert`; removing an unknown name changes nothing. Any other field of the change, such
    as `limits`, replaces the field of that name.
    """
    sent = _read(body)
    if isinstance(sent, InvalidConfiguration):
        return sent
    change = _without_null(sent)
    problems = tuple(_problems_of(_CHANGE, change))
    if problems:
        return InvalidConfiguration(problems)
    merged = _merge(change, current.raw if current else {"routes": [], "services": []})
    return _check_document(merged, msgspec.json.encode(merged), current.version if current else 0)


def parse_accepted(body: bytes) -> ParsedConfiguration:
    """Parse a configuration that was checked when it was accepted; raise `ValueError` if it can't be parsed.

    It is not checked again: with thousands of routes, a check would hold the node's lock for a tenth of a second.
    """
    return _accepted(_read(body), body)


def merge_accepted(body: bytes, current: ParsedConfiguration) -> ParsedConfiguration:
    """Merge a change that was checked when it was accepted into its base version; raise `ValueError` as above."""
    change = _read(body)
    if isinstance(change, InvalidConfiguration):
        raise ValueError(f"an accepted change cannot be read: {change}")
    merged = _merge(_without_null(change), current.raw)
    return _accepted(merged, msgspec.json.encode(merged))


def _accepted(document: JsonObject | InvalidConfiguration, body: bytes) -> ParsedConfiguration:
    if isinstance(document, InvalidConfiguration):
        raise ValueError(f"an accepted configuration cannot be read: {document}")
    try:
        return ParsedConfiguration(document, body, _typed(document))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"an accepted configuration cannot be read: {error!r}") from error


VERSION_DIGITS = 19  # maximum number of decimal digits of a signed 64-bit number


def read_version(text: str) -> int | None:
    """Return the version in an `If-Match` header: 0 if it is empty, None if it is not a version."""
    bare = text.strip().removeprefix("W/").strip('"')
    if not bare:
        return 0
    plain = bare.isascii() and bare.isdigit() and len(bare) <= VERSION_DIGITS
    return int(bare) if plain else None


# ---- checks of single fields


def _integer(value: object) -> object:
    return value if type(value) is int else t.DataError("must be a whole number")


def _number(value: object) -> object:
    if type(value) is float and math.isfinite(value):
        return value
    return value if type(value) is int else t.DataError("must be a number")


def _boolean(value: object) -> object:
    return value if type(value) is bool else t.DataError("must be true or false")


def _string(value: object) -> object:
    return value if type(value) is str else t.DataError("must be a string")


def _non_empty_string(value: object) -> object:
    return value if type(value) is str and value else t.DataError("must be a string that is not empty")


def _path(value: object) -> object:
    return value if type(value) is str and value.startswith("/") else t.DataError("must be a path that begins with /")


def _non_negative(value: Any) -> object:
    return value if value >= 0 else t.DataError("must not be negative")


def _positive(value: Any) -> object:
    return value if value > 0 else t.DataError("must be above 0")


def _fits_version(value: int) -> object:
    return value if value <= MAX_VERSION else t.DataError(f"must be at most {MAX_VERSION}")


def _optional(name: str) -> t.Key:
    return t.Key(name, optional=True)


# ---- document schemas

_VERSION = t.Call(_integer) & _positive & _fits_version
_COUNT = t.Call(_integer) & _non_negative
_AMOUNT = t.Call(_number) & _non_negative

_ROUTE = t.Dict(
    {
        t.Key("name"): _non_empty_string,
        t.Key("host"): _non_empty_string,
        t.Key("pathPrefix"): _path,
        t.Key("service"): _non_empty_string,
        t.Key("timeoutMs"): t.Call(_number) & _positive,
        _optional("priority"): _COUNT,
        _optional("maxAttempts"): _COUNT,
        _optional("stretch"): _AMOUNT,
        _optional("targetLatencyMs"): _AMOUNT,
    }
).allow_extra("*")

_SERVICE = t.Dict(
    {
        t.Key("name"): _non_empty_string,
        _optional("healthPath"): _string,
        _optional("maxConnections"): _COUNT,
        _optional("preconditions"): _boolean,
    }
).allow_extra("*")

_LIMITS = t.Dict(
    {
        _optional("maxHeaderBytes"): _AMOUNT,
        _optional("maxBodyBytes"): _AMOUNT,
        _optional("headerTimeoutMs"): _AMOUNT,
        _optional("idleTimeoutMs"): _AMOUNT,
    }
).allow_extra("*")

_DOCUMENT = t.Dict(
    {
        t.Key("version"): _VERSION,
        t.Key("routes"): t.List(_ROUTE),
        t.Key("services"): t.List(_SERVICE),
        _optional("limits"): _LIMITS,
    }
).allow_extra("*")


_USED_TWICE = t.DataError({"name": t.DataError("is used twice")})


def _distinct_items(items: list[JsonObject]) -> object:
    """Refuse a list of items to upsert in which a name is repeated: one item would silently replace the other."""
    repeated = _repeated_names(items)
    return t.DataError(dict.fromkeys(repeated, _USED_TWICE)) if repeated else items


def _by_collection(rule: t.Trafaret) -> Callable[[object], object]:
    """Return a check of an object whose keys are collection names and whose values must pass `rule`."""

    def check(value: object) -> object:
        if not isinstance(value, dict):
            return t.DataError("must be an object")
        errors = dict[str, t.DataError]()
        for name, part in value.items():
            try:
                rule.check(part)
            except t.DataError as error:
                errors[name] = error
        return t.DataError(errors) if errors else value

    return check


def _only_in_full_configuration(_: object) -> object:
    return t.DataError("belongs in a full configuration; a change has upsert and remove")


_CHANGE_FIELDS = ("upsert", "remove")  # fields of a change that name items
_ITEM = t.Dict({t.Key("name"): _non_empty_string}).allow_extra("*")
_CHANGE = t.Dict(
    {
        t.Key("version"): _VERSION,
        _optional("upsert"): _by_collection(t.List(_ITEM) & _distinct_items),
        _optional("remove"): _by_collection(t.List(t.Call(_non_empty_string))),
        _optional("routes"): _only_in_full_configuration,
        _optional("services"): _only_in_full_configuration,
    }
).allow_extra("*")


# ---- reading, merging and consistency checks


def _read(body: bytes) -> JsonObject | InvalidConfiguration:
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        return _invalid(WHOLE_DOCUMENT, f"cannot be read as JSON: {error}")
    if not isinstance(document, dict):
        return _invalid(WHOLE_DOCUMENT, "must be a JSON object")
    return document


def _without_null(change: JsonObject) -> JsonObject:
    """Return the change without lists that are null, which is how some encoders write an empty list."""
    cleaned = {name: value for name, value in change.items() if name not in _CHANGE_FIELDS or value is not None}
    for part in _CHANGE_FIELDS:
        if isinstance(cleaned.get(part), dict):
            cleaned[part] = {name: items for name, items in cleaned[part].items() if items is not None}
    return cleaned


def _merge(change: JsonObject, current: JsonObject) -> JsonObject:
    merged = current | {name: value for name, value in change.items() if name not in _CHANGE_FIELDS}
    for collection, names in change.get("remove", {}).items():
        merged[collection] = _without_named(_items(merged, collection), names)
    for collection, items in change.get("upsert", {}).items():
        merged[collection] = _upserted_into(_items(merged, collection), items)
    return merged


def _items(document: JsonObject, collection: str) -> list[JsonObject]:
    """Return the items of `collection`; none if it is missing or not a list."""
    found = document.get(collection)
    return [item for item in found if isinstance(item, dict)] if isinstance(found, list) else []


def _without_named(items: list[JsonObject], names: list[str]) -> list[JsonObject]:
    return [item for item in items if item.get("name") not in names]


def _upserted_into(items: list[JsonObject], upserted: list[JsonObject]) -> list[JsonObject]:
    """Return `items` with items of the same name replaced in place by those of `upserted`, and new ones appended."""
    by_name = {item["name"]: item for item in upserted}
    replaced = [by_name.pop(item.get("name"), item) for item in items]
    return replaced + list(by_name.values())


def _check_document(document: JsonObject, body: bytes, current_version: int) -> Checked:
    problems = tuple(_problems_of(_DOCUMENT, document)) or tuple(_consistency_problems(document, current_version))
    if problems:
        return InvalidConfiguration(problems)
    return ParsedConfiguration(document, body, _typed(document))


def _consistency_problems(document: JsonObject, current_version: int) -> Iterator[Problem]:
    """Find errors between fields that are each valid on their own."""
    if document["version"] <= current_version:
        yield Problem("version", f"must be above the current one, {current_version}")
    for collection in ("routes", "services"):
        for index in _repeated_names(document[collection]):
            yield Problem(f"{collection}[{index}].name", "is used twice")
    yield from _unknown_services(document)
    yield from _shared_prefixes(document["routes"])


def _unknown_services(document: JsonObject) -> Iterator[Problem]:
    known = {service["name"] for service in document["services"]}
    for index, route in enumerate(document["routes"]):
        if route["service"] not in known:
            yield Problem(f"routes[{index}].service", f"no service is named {route['service']!r}")


def _shared_prefixes(routes: list[JsonObject]) -> Iterator[Problem]:
    first_by_prefix: dict[tuple[str, str], str] = {}
    for index, route in enumerate(routes):
        host_and_prefix = route["host"].lower(), route["pathPrefix"]
        first = first_by_prefix.setdefault(host_and_prefix, route["name"])
        if first != route["name"]:
            yield Problem(f"routes[{index}].pathPrefix", f"host and prefix are those of route {first!r}")


def _repeated_names(items: Iterable[JsonObject]) -> list[int]:
    """Return the indices of items whose name occurs earlier in the list."""
    seen = set[str]()
    repeated = list[int]()
    for index, item in enumerate(items):
        if item["name"] in seen:
            repeated.append(index)
        seen.add(item["name"])
    return repeated


def _invalid(location: str, reason: str) -> InvalidConfiguration:
    return InvalidConfiguration((Problem(location, reason),))


def _problems_of(rule: t.Trafaret, document: JsonObject) -> Iterator[Problem]:
    try:
        rule.check(document)
    except t.DataError as error:
        yield from _flatten(error.as_dict(), "")


def _flatten(error: object, location: str) -> Iterator[Problem]:
    """Turn trafaret's tree of errors into a list of problems with their locations."""
    if not isinstance(error, dict):
        yield Problem(location or WHOLE_DOCUMENT, str(error))
        return
    for key, inner in error.items():
        joined = f"{location}[{key}]" if isinstance(key, int) else f"{location}.{key}".lstrip(".")
        yield from _flatten(inner, joined)


# ---- conversion from JSON to typed objects


def _typed(document: JsonObject) -> Configuration:
    return Configuration(
        version=document["version"],
        routes=tuple(_typed_route(route) for route in document["routes"]),
        services=tuple(_typed_service(service) for service in document["services"]),
        limits=_typed_limits(document.get("limits", {})),
    )


def _typed_route(route: JsonObject) -> Route:
    return Route(
        name=route["name"],
        host=route["host"],
        path_prefix=route["pathPrefix"],
        service=route["service"],
        priority=route.get("priority", 0),
        max_attempts=max(1, route.get("maxAttempts", 1)),
        stretch=float(route.get("stretch", 1.0)),
        target_latency_ms=int(route.get("targetLatencyMs", 0)),
        timeout_ms=max(1, int(route["timeoutMs"])),
    )


def _typed_service(service: JsonObject) -> Service:
    return Service(
        name=service["name"],
        health_path=service.get("healthPath", ""),
        max_connections=service.get("maxConnections", 0),
        preconditions=service.get("preconditions", False),
    )


def _typed_limits(limits: JsonObject) -> Limits:
    return Limits(
        max_header_bytes=int(limits.get("maxHeaderBytes", 0)),
        max_body_bytes=int(limits.get("maxBodyBytes", 0)),
        header_timeout_ms=int(limits.get("headerTimeoutMs", 0)),
        idle_timeout_ms=int(limits.get("idleTimeoutMs", 0)),
    )
