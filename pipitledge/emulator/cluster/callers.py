"""Calls from outside to a node: they may be refused, cut off, or stay unanswered."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from pipitledge.emulator.cluster.site import NodePlanes, Site
from pipitledge.emulator.cluster.virtual import HEAD_BYTES

WAY_S = 0.003
LONGEST_WAY_S = 0.010
OPERATORS_WAIT_S = 1.0  # for an answer
LARGE_BODY_BYTES_PER_S = 200_000  # operators wait longer where their own body is large
SILENCE, REFUSED = 0, -1  # in place of a status
REDIRECT = 307
MOST_REDIRECTS = 2  # that operators follow


@dataclass(frozen=True)
class Call:
    """One call, and when it was sent."""

    node: str
    method: str
    path: str
    body: bytes
    sent_at: float


@dataclass(frozen=True)
class Reply:
    """What came of it."""

    call: Call
    status: int
    body: bytes
    at: float
    location: str = ""  # with a redirect


Respond = Callable[[int, bytes, str], None]  # status, body, location
Hand = Callable[[NodePlanes, Respond], None]
OnReply = Callable[[Reply], None]


class Outside:
    """Carries calls of clients and operators."""

    def __init__(self, site: Site) -> None:
        """Call the nodes of `site`."""
        self._site = site
        self._world = site.world
        self.lost_answers = 0.0  # share of the operators' answers that get lost

    def client(
        self, node: str, method: str, host: str, path: str, body: bytes, deadline_ms: float, done: OnReply
    ) -> None:
        """Send a client's call."""

        def hand(planes: NodePlanes, respond: Respond) -> None:
            def answer(status: int, content: bytes, retry_after_ms: int) -> None:
                respond(status, content, "")

            planes.ingress.client_call(method, host, path, body, deadline_ms, answer)

        self._send(Call(node, method, path, body, self._world.time), hand, deadline_ms / 1_000.0, done, 0.0)

    def operator(
        self, node: str, method: str, if_match: str, body: bytes, done: OnReply, redirects: int = MOST_REDIRECTS
    ) -> None:
        """Send an operator's call, and follow so many redirects."""

        def hand(planes: NodePlanes, respond: Respond) -> None:
            planes.control.call(method, "/pipitledge/config", if_match, body, respond)

        def ended(reply: Reply) -> None:
            onward = self._site.node_at(reply.location) if reply.status == REDIRECT else ""
            if onward and redirects:
                self.operator(onward, method, if_match, body, done, redirects - 1)
            else:
                done(reply)

        call = Call(node, method, if_match, body, self._world.time)
        self._send(call, hand, self._operators_wait_s(call), ended, self.lost_answers)

    def _operators_wait_s(self, call: Call) -> float:
        """How long an operator waits for the whole answer: longer for a large body, where links are thin."""
        passage_s = len(call.body) / LARGE_BODY_BYTES_PER_S if self._world.network.links else 0.0
        return OPERATORS_WAIT_S + passage_s

    def _way(self) -> float:
        return self._world.random.uniform(WAY_S, LONGEST_WAY_S)

    def _send(self, call: Call, hand: Hand, timeout_s: float, done: OnReply, lost: float) -> None:
        ended: list[bool] = []

        def end(status: int, body: bytes = b"", location: str = "") -> None:
            if not ended:
                ended.append(True)
                done(Reply(call, status, body, self._world.time, location))

        network = self._world.network

        def arrive() -> None:
            network.take_in(call.node, HEAD_BYTES + len(call.body), take)

        def take() -> None:
            machine = self._site.world.machines[call.node]
            if not machine.powered:
                return
            process = machine.process
            if process is None:
                end(REFUSED)
                return

            def respond(status: int, body: bytes, location: str) -> None:
                if process.alive and self._world.random.random() >= lost:
                    left_at = network.left_at(call.node, HEAD_BYTES + len(body))
                    self._world.at(left_at + self._way(), lambda: end(status, body, location))

            planes = self._site.nodes[call.node]
            process.deliver(lambda: hand(planes, respond))

        self._world.after(timeout_s, lambda: end(SILENCE))
        self._world.after(self._way(), arrive)
