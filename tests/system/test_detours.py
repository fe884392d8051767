"""Calls by way of relays, in virtual time."""

from __future__ import annotations

import random
import unittest

from msgspec import Struct

from pipitledge.membership.membership import Membership
from pipitledge.membership.partial_view import AGENT_MACHINE_CLASS
from pipitledge.membership.primary_caller import (
    ATTEMPT_TIMEOUT_S,
    PROBE_INTERVAL_S,
    RELAYED_ATTEMPT_TIMEOUT_S,
    Outcome,
    PrimaryCaller,
)
from pipitledge.membership.relayed_calls import ROUTE_VALID_S, RelayedCalls
from pipitledge.runtime.handlers import Reply
from pipitledge.wire.messages import (
    ClientCall,
    ClientReply,
    Forward,
    Forwarded,
    Member,
    NodeDescriptor,
    StatusReply,
    StatusRequest,
    View,
)
from tests.system.virtual import Process, World

PORT = 7660
PRIMARY, RELAY, OTHER_RELAY, CALLER = "primary", "relay", "other-relay", "caller"
AGENT = "agent"
NAMES = (PRIMARY, RELAY, OTHER_RELAY, CALLER, AGENT)
ADDRESSES = {name: f"10.0.0.{index}:{PORT}" for index, name in enumerate(NAMES, 1)}
VIEW = View(epoch=3, term=3, primary=PRIMARY, members=[Member(name=PRIMARY, address=ADDRESSES[PRIMARY])])
HANDOVER_S = 0.05


class Part:
    """One process with its detours; the primary answers calls of clients."""

    def __init__(self, process: Process) -> None:
        self.process = process
        name = process.machine.name
        me = NodeDescriptor(
            name=name,
            address=ADDRESSES[name],
            machine_class=AGENT_MACHINE_CLASS if name == AGENT else "edge",
            counted=name == PRIMARY,
            incarnation=1,
        )
        seeds = [ADDRESSES[RELAY], ADDRESSES[OTHER_RELAY], ADDRESSES[PRIMARY]]
        self.membership = Membership(process.clock, process.network, random.Random(1), me, seeds, PORT)
        self.membership.register(process.handlers)
        self.membership.offer_view(VIEW)
        self.relayed_calls = RelayedCalls(
            process.clock, process.network, self.membership, process.handlers, random.Random(1)
        )
        self.relayed_calls.register()
        self.calls = 0
        process.handlers.on_call(StatusRequest, self._tell)
        if name == PRIMARY:
            process.handlers.on_call(ClientCall, self._answer)
        self.membership.start()

    def _answer(self, call: Struct, reply: Reply) -> None:
        self.calls += 1
        reply(ClientReply(status=200))

    def _tell(self, call: Struct, reply: Reply) -> None:
        reply(StatusReply(self.process.machine.name.encode()))


class Relays(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World(1)
        self.parts: dict[str, Part] = {}
        for name in NAMES:
            self.world.machine(name, ADDRESSES[name]).start(self._add)
        self.world.run_for(4.0)  # until all know each other
        me = self.parts[CALLER]
        self.caller = PrimaryCaller(
            me.process.clock,
            me.process.network,
            me.membership,
            random.Random(1),
            my_name=CALLER,
            relayed_calls=me.relayed_calls,
        )
        self.outcomes: list[Outcome] = []
        self.replies: list[Struct | None] = []

    def _add(self, process: Process) -> None:
        self.parts[process.machine.name] = Part(process)

    def cut(self, *names: str) -> None:
        """Nothing passes between the caller and these."""
        for name in names:
            self.world.network.cut(CALLER, name)

    def call(self, timeout_s: float = 3.0) -> float:
        """Have the primary called; how long that took."""
        begun, before = self.world.time, len(self.outcomes)
        self.caller.call(ClientCall(path="/x"), timeout_s, self.outcomes.append)
        self.world.run_while(lambda: len(self.outcomes) == before, limit=timeout_s + HANDOVER_S)
        return self.world.time - begun

    def served(self) -> list[bool]:
        """Which calls were answered."""
        return [outcome.reply == ClientReply(status=200) for outcome in self.outcomes]

    def test_a_primary_that_cannot_be_reached_is_called_by_a_relay(self) -> None:
        self.call()
        self.cut(PRIMARY)
        self.assertLess(self.call(), ATTEMPT_TIMEOUT_S + HANDOVER_S)
        self.assertLess(self.call(), HANDOVER_S)  # the relay is kept
        self.assertEqual([True] * 3, self.served())

    def test_a_relay_that_fails_gives_way_to_another(self) -> None:
        self.cut(PRIMARY)
        self.call()
        for relay in (RELAY, OTHER_RELAY):
            self.cut(relay)
            self.call()
            self.world.network.join(CALLER, relay)
        self.assertEqual([True] * 3, self.served())

    def test_once_the_primary_can_be_reached_again_no_relay_is_asked(self) -> None:
        self.cut(PRIMARY)
        self.call()
        self.world.network.join(CALLER, PRIMARY)
        self.world.run_for(PROBE_INTERVAL_S)
        self.call()
        self.world.run_for(HANDOVER_S)
        for relay in (RELAY, OTHER_RELAY):
            self.world.network.isolate(relay)
        self.assertLess(self.call(), HANDOVER_S)
        self.assertEqual([True] * 3, self.served())

    def test_a_primary_that_nobody_reaches_holds_a_search_up_for_no_longer_than_a_relayed_attempt(self) -> None:
        self.world.network.isolate(PRIMARY)
        self.call(timeout_s=ATTEMPT_TIMEOUT_S + 2 * RELAYED_ATTEMPT_TIMEOUT_S)
        self.assertEqual([False], self.served())

    def test_the_receiver_calls_back_by_the_relay_for_a_while(self) -> None:
        self.cut(PRIMARY)
        self.call()
        self.assertEqual(StatusReply(CALLER.encode()), self.call_back())
        self.world.run_for(ROUTE_VALID_S)
        self.assertIsNone(self.call_back())

    def call_back(self) -> Struct | None:
        """Have the primary call the caller."""
        before = len(self.replies)
        relayed_calls = self.parts[PRIMARY].relayed_calls
        relayed_calls.call(ADDRESSES[CALLER], StatusRequest(), 0.5, self.replies.append)
        self.world.run_while(lambda: len(self.replies) == before, limit=1.0)
        return self.replies[-1]

    def test_a_relay_passes_nothing_on_twice(self) -> None:
        network = self.parts[CALLER].process.network
        passed = Forward(target=ADDRESSES[PRIMARY], origin=ADDRESSES[CALLER], relay="elsewhere", message=b"x")
        network.call(ADDRESSES[RELAY], passed, 0.5, self.replies.append)
        self.world.run_for(0.5)
        self.assertEqual([Forwarded()], self.replies)

    def test_bytes_that_are_no_message_get_no_answer(self) -> None:
        network = self.parts[CALLER].process.network
        for address in (PRIMARY, RELAY):
            garbage = Forward(target=ADDRESSES[PRIMARY], origin=ADDRESSES[CALLER], timeout_ms=300, message=b"garbage")
            network.call(ADDRESSES[address], garbage, 0.5, self.replies.append)
        self.world.run_for(0.5)
        self.assertEqual([Forwarded(), Forwarded()], self.replies)
        self.assertEqual(0, self.parts[PRIMARY].calls)

    def test_neither_members_nor_agents_are_relays(self) -> None:
        me = self.parts[CALLER]
        known = {node.name for node in me.membership.nodes()}
        self.assertEqual({PRIMARY, RELAY, OTHER_RELAY, AGENT}, known)
        self.assertNotEqual("", me.relayed_calls.choose_relay())
        self.assertEqual("", me.relayed_calls.choose_relay((ADDRESSES[RELAY], ADDRESSES[OTHER_RELAY])))


if __name__ == "__main__":
    unittest.main()
