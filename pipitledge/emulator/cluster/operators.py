"""Operators that change the configuration, and what must hold of it."""

from __future__ import annotations

import hashlib
import json
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from pipitledge.emulator.cluster.auditor import Auditor
from pipitledge.emulator.cluster.callers import REFUSED, SILENCE, Outside, Reply
from pipitledge.emulator.cluster.deployment import HOST
from pipitledge.emulator.cluster.history import Operation, Outcome

UNCLEAR = (SILENCE, REFUSED, 408, 429, 500, 502, 503, 504)
PROBES_KEPT = 2  # routes that are there only to see which version is in force
SHORTEST_RETRY_S = 0.15
LONGEST_RETRY_S = 1.0
COUNT_DEADLINE_MS = 3_000.0


@dataclass
class Order:
    """One change that an operator sends until it is answered clearly."""

    method: str
    built_on: int
    version: int
    body: bytes
    invalid: bool
    probes: frozenset[str] = frozenset()  # of the configuration that it brings about
    whole: dict[str, Any] = field(default_factory=dict)
    sent_at: float = 0.0
    acknowledged_at: float = math.inf
    refused_at: float = math.inf
    unclear: int = 0  # tries without a clear answer

    @property
    def open(self) -> bool:
        """Whether it has no clear answer yet."""
        return self.acknowledged_at == math.inf and self.refused_at == math.inf


class Operators:
    """All operators of a day, sharing what they know."""

    def __init__(self, random: Random, outside: Outside, auditor: Auditor, interval_s: float) -> None:
        """Change something every `interval_s` seconds or so."""
        self._random = random
        self._outside = outside
        self._auditor = auditor
        self._world = auditor.world
        self._deployment = auditor.deployment
        self._interval_s = interval_s
        self.orders: list[Order] = []
        self.known: Order | None = None  # the newest acknowledged
        self.first_at = math.inf  # when the first configuration was acknowledged
        self.stopped = False
        self.history: list[Operation] = []  # every try and every read
        self._changes = 0
        self._reading = False

    def start(self) -> None:
        """Send the first configuration until it is taken, and go on from there."""
        self._send(self._whole(0, frozenset()))
        self._next()
        self._probe()
        self._read_now_and_then()

    def _read_now_and_then(self) -> None:
        """Ask any node for the configuration in force; one that can't be sure of it says 503."""
        if not self.stopped:
            self._world.after(self._random.uniform(0.2, 1.0), self._read_now_and_then)
            node = self._random.choice(self._deployment.edges)
            self._outside.operator(node, "GET", "", b"", self._was_read)

    # ---- documents

    def _document(self, version: int, probes: frozenset[str]) -> dict[str, Any]:
        queues = self._deployment.queues
        routes = [queue.document() for queue in queues]
        routes += [{**queues[0].document(), "name": name, "pathPrefix": f"/{name}/"} for name in sorted(probes)]
        guards = self._deployment.guards
        services = [{"name": name, "healthPath": "/h", "preconditions": guard} for name, guard in guards.items()]
        limits = {"maxHeaderBytes": 16_384, "maxBodyBytes": 262_144}
        return {"version": version, "routes": routes, "services": services, "limits": limits}

    def _next_version(self, built_on: int) -> int:
        """Two operators may well choose the same number."""
        return built_on + self._random.randint(1, 3)

    def _whole(self, built_on: int, probes: frozenset[str]) -> Order:
        version = self._next_version(built_on)
        document = self._document(version, probes)
        return Order("PUT", built_on, version, json.dumps(document).encode(), False, probes, document)

    def _change(self, base: Order) -> Order:
        """A change on top of an acknowledged version: one probe comes, an old one goes."""
        self._changes += 1
        new = f"p{self._changes}"
        kept = sorted(base.probes, key=lambda name: int(name[1:]))[-(PROBES_KEPT - 1) :]
        probes = frozenset([*kept, new])
        if self._random.random() < 0.5:
            return self._whole(base.version, probes)
        version = self._next_version(base.version)
        document = self._document(version, probes)
        added = [route for route in document["routes"] if route["name"] in probes - base.probes]
        patch = {"version": version, "upsert": {"routes": added}, "remove": {"routes": sorted(base.probes - probes)}}
        return Order("PATCH", base.version, version, json.dumps(patch).encode(), False, probes, document)

    def _broken(self, base: Order) -> Order:
        """A change that must not be taken."""
        order = self._whole(base.version, base.probes)
        document = json.loads(order.body)
        spoil: list[Callable[[], None]] = [
            lambda: document["routes"][0].update(service="nowhere"),
            lambda: document["routes"][0].update(timeoutMs=0),
            lambda: document["routes"][1].update(pathPrefix=document["routes"][0]["pathPrefix"]),
            lambda: document.update(version=base.version),
        ]
        self._random.choice(spoil)()
        body = json.dumps(document).encode()
        if self._random.random() < 0.2:
            body = body[: len(body) // 2]
        return Order("PUT", base.version, order.version, body, True)

    # ---- sending

    def _next(self) -> None:
        if self.stopped:
            return
        self._world.after(self._random.expovariate(1.0 / self._interval_s), self._next)
        base = self.known
        if base is None:
            return
        chance = self._random.random()
        if chance < 0.2:
            self._send(self._broken(base))
            return
        self._send(self._change(base))
        if chance < 0.45:  # another operator builds on the same version
            self._send(self._change(base))

    def change_now(self) -> None:
        """Send one more change."""
        assert self.known is not None
        self._send(self._change(self.known))

    def _send(self, order: Order) -> None:
        self.orders.append(order)
        order.sent_at = self._world.time
        self._try(order)

    def _try(self, order: Order) -> None:
        node = self._random.choice(self._deployment.edges)
        done = partial(self._answered, order)
        self._outside.operator(node, order.method, str(order.built_on), order.body, done)

    def _answered(self, order: Order, reply: Reply) -> None:
        self.history.append(_try_of(order, reply))
        acknowledged_before = order.acknowledged_at < math.inf
        if reply.status in UNCLEAR:
            order.unclear += 1
            if not acknowledged_before:
                pause = min(LONGEST_RETRY_S, SHORTEST_RETRY_S * 1.5**order.unclear)
                self._world.after(pause * self._random.uniform(0.7, 1.3), partial(self._try, order))
        elif reply.status == 200:
            self._acknowledged(order, reply)
        elif acknowledged_before:
            self._auditor.breach("CONFIG", f"{order.version} was acknowledged, and refused when sent again: {reply}")
        else:
            order.refused_at = reply.at
            self._read_again(order, reply)

    def _acknowledged(self, order: Order, reply: Reply) -> None:
        if order.invalid:
            self._auditor.breach("CONFIG", f"invalid version {order.version} was acknowledged: {order.body!r}")
            return
        first = order.acknowledged_at == math.inf
        order.acknowledged_at = min(order.acknowledged_at, reply.at)
        rivals = [
            other
            for other in self.orders
            if other is not order and other.built_on == order.built_on and other.acknowledged_at < math.inf
        ]
        if first and rivals:
            self._auditor.breach("CONFIG", f"two changes on {order.built_on} were acknowledged: {order.version}")
        self.first_at = min(self.first_at, reply.at)
        if self.known is None or order.version > self.known.version:
            self.known = order
        if first and self._random.random() < 0.3:
            self._world.after(self._random.uniform(0.0, 3.0), partial(self._try, order))

    def _read_again(self, order: Order, reply: Reply) -> None:
        """Another version is current: an unclear order may have been taken."""
        if reply.status == 412 and not self._reading:
            self._reading = True
            node = self._random.choice(self._deployment.edges)
            self._outside.operator(node, "GET", "", b"", self._was_read)

    def _was_read(self, reply: Reply) -> None:
        self._reading = False
        if reply.status == 200:
            self.check_read(reply, final=False)

    # ---- what is in force

    def check_read(self, reply: Reply, final: bool) -> None:
        """Judge a configuration that was read back."""
        document = json.loads(reply.body)
        version = document["version"]
        self.history.append(_read_of(document, reply))
        orders = [order for order in self.orders if order.version == version and not order.invalid]
        if not any(_same(order.whole, document) for order in orders):
            self._auditor.breach("CONFIG", f"{version} was read back, and is not what was sent")
            return
        if any(_same(order.whole, document) and order.refused_at < math.inf for order in orders) and not any(
            _same(order.whole, document) and order.refused_at == math.inf for order in orders
        ):
            self._auditor.breach("CONFIG", f"{version} was refused, and is in force")
        newest = max(
            (order.version for order in self.orders if order.acknowledged_at < reply.call.sent_at),
            default=0,
        )
        if version < newest:
            self._auditor.breach("CONFIG", f"{version} was read back, {newest} had been acknowledged")
        for order in orders:
            if _same(order.whole, document) and (self.known is None or version > self.known.version):
                self.known = order

    def read_at_end(self, done: Callable[[bool], None]) -> None:
        """Ask some node for the configuration in force."""
        node = self._random.choice(self._deployment.edges)

        def answered(reply: Reply) -> None:
            if reply.status == 200:
                self.check_read(reply, final=True)
            done(reply.status == 200)

        self._outside.operator(node, "GET", "", b"", answered)

    # ---- counts

    def _probe(self) -> None:
        """Ask a node for the count of a route that is there in some versions only."""
        self._world.after(self._random.uniform(0.1, 0.5), self._probe)
        if self.known is None:
            return
        names = [f"p{number}" for number in range(max(1, self._changes - 3), self._changes + 1)]
        names.append("q0")
        name = self._random.choice(names)
        node = self._random.choice(self._deployment.edges)
        done = partial(self._counted, name)
        self._outside.client(node, "GET", HOST, f"/{name}/", b"", COUNT_DEADLINE_MS, done)

    def _counted(self, name: str, reply: Reply) -> None:
        if reply.status not in (200, 404):
            return
        shown = reply.status == 200
        apply_s = self._auditor.bounds.config_apply_ms / 1_000.0
        in_touch = self._auditor.troubles.in_touch(reply.call.node, apply_s + reply.at - reply.call.sent_at)
        settled = [
            order for order in self.orders if order.acknowledged_at < reply.call.sent_at - apply_s and not order.invalid
        ]
        oldest = max((order.version for order in settled), default=0)
        possible = [
            order
            for order in self.orders
            if not order.invalid
            and order.sent_at <= reply.at
            and order.refused_at == math.inf
            and (order.version >= oldest or not in_touch)
        ]
        if not settled or any((name in order.probes or name.startswith("q")) == shown for order in possible):
            return
        self._auditor.breach("CONFIG", f"count of {name} at {reply.call.node}: {reply.status}, in force is {oldest}")


def _try_of(order: Order, reply: Reply) -> Operation:
    """A try of an order, for the history."""
    if reply.status in UNCLEAR:
        outcome = Outcome.UNCLEAR
    elif reply.status == 200:
        outcome = Outcome.ACKNOWLEDGED
    else:
        outcome = Outcome.REFUSED if reply.status == 412 else Outcome.INVALID
    return Operation(
        outcome,
        reply.call.sent_at,
        reply.at,
        reply.call.node,
        hashlib.sha256(b"%d " % order.built_on + order.body).hexdigest(),
        order.built_on,
        order.version,
        _content(order.whole),
        not order.invalid,
    )


def _read_of(document: dict[str, Any], reply: Reply) -> Operation:
    """A read, for the history."""
    sent_at, node = reply.call.sent_at, reply.call.node
    content = _content(document)
    return Operation(Outcome.READ, sent_at, reply.at, node, version=document["version"], content=content)


def _content(document: dict[str, Any]) -> str:
    """A digest of a configuration; the order of routes is of no account."""
    routes = sorted(document.get("routes", []), key=lambda route: str(route["name"]))
    return hashlib.sha256(json.dumps({**document, "routes": routes}, sort_keys=True).encode()).hexdigest()


def _same(sent: dict[str, Any], read: dict[str, Any]) -> bool:
    """Whether two configurations say the same; the order of routes is of no account."""

    def sorted_routes(document: dict[str, Any]) -> list[Any]:
        return sorted(document.get("routes", []), key=lambda route: str(route["name"]))

    rest = {key: value for key, value in sent.items() if key != "routes"}
    return sorted_routes(sent) == sorted_routes(read) and all(read.get(key) == value for key, value in rest.items())
