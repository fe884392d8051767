"""Calls through relays, in virtual time."""

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
FORWARDING_S = 0.05


class RelayingProcess:
    """One process with relay support; the primary answers clients' calls."""

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
        process.handlers.on_call(StatusRequest, self._answer_status)
        if name == PRIMARY:
            process.handlers.on_call(ClientCall, self._answer)
        self.membership.start()

    def _answer(self, call: Struct, reply: Reply) -> None:
        self.calls += 1
        reply(ClientReply(status=200))

    def _answer_status(self, call: Struct, reply: Reply) -> None:
        reply(StatusReply(self.process.machine.name.encode()))


class RelayedCallsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World(1)
        self.processes: dict[str, RelayingProcess] = {}
        for name in NAMES:
            self.world.machine(name, ADDRESSES[name]).start(self._add)
        self.world.run_for(4.0)  # until all processes know each other
        me = self.processes[CALLER]
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
        self.processes[process.machine.name] = RelayingProcess(process)

    def cut(self, *names: str) -> None:
        """Cut the network between the caller and these processes."""
        for name in names:
            self.world.network.cut(CALLER, name)

    def call(self, timeout_s: float = 3.0) -> float:
        """Call the primary; return how long the call took."""
        started_at, before = self.world.time, len(self.outcomes)
        self.caller.call(ClientCall(path="/x"), timeout_s, self.outcomes.append)
        self.world.run_while(lambda: len(self.outcomes) == before, limit=timeout_s + FORWARDING_S)
        return self.world.time - started_at

    def served(self) -> list[bool]:
        """Return for each call whether it was answered."""
        return [outcome.reply == ClientReply(status=200) for outcome in self.outcomes]

    def test_an_unreachable_primary_is_called_through_a_relay(self) -> None:
        self.call()
        self.cut(PRIMARY)
        self.assertLess(self.call(), ATTEMPT_TIMEOUT_S + FORWARDING_S)
        self.assertLess(self.call(), FORWARDING_S)  # the relay is used again
        self.assertEqual([True] * 3, self.served())

    def test_a_failed_relay_is_replaced_by_another(self) -> None:
        self.cut(PRIMARY)
        self.call()
        for relay in (RELAY, OTHER_RELAY):
            self.cut(relay)
            self.call()
            self.world.network.join(CALLER, relay)
        self.assertEqual([True] * 3, self.served())

    def test_a_primary_that_is_reachable_again_is_called_directly(self) -> None:
        self.cut(PRIMARY)
        self.call()
        self.world.network.join(CALLER, PRIMARY)
        self.world.run_for(PROBE_INTERVAL_S)
        self.call()
        self.world.run_for(FORWARDING_S)
        for relay in (RELAY, OTHER_RELAY):
            self.world.network.isolate(relay)
        self.assertLess(self.call(), FORWARDING_S)
        self.assertEqual([True] * 3, self.served())

    def test_a_primary_that_no_node_reaches_delays_a_search_by_at_most_one_relayed_attempt(self) -> None:
        self.world.network.isolate(PRIMARY)
        self.call(timeout_s=ATTEMPT_TIMEOUT_S + 2 * RELAYED_ATTEMPT_TIMEOUT_S)
        self.assertEqual([False], self.served())

    def test_the_receiver_calls_back_through_the_relay_for_a_while(self) -> None:
        self.cut(PRIMARY)
        self.call()
        self.assertEqual(StatusReply(CALLER.encode()), self.call_back())
        self.world.run_for(ROUTE_VALID_S)
        self.assertIsNone(self.call_back())

    def call_back(self) -> Struct | None:
        """Make the primary call the caller; return the answer."""
        before = len(self.replies)
        relayed_calls = self.processes[PRIMARY].relayed_calls
        relayed_calls.call(ADDRESSES[CALLER], StatusRequest(), 0.5, self.replies.append)
        self.world.run_while(lambda: len(self.replies) == before, limit=1.0)
        return self.replies[-1]

    def test_a_relayed_call_is_not_relayed_again(self) -> None:
        network = self.processes[CALLER].process.network
        passed = Forward(target=ADDRESSES[PRIMARY], origin=ADDRESSES[CALLER], relay="elsewhere", message=b"x")
        network.call(ADDRESSES[RELAY], passed, 0.5, self.replies.append)
        self.world.run_for(0.5)
        self.assertEqual([Forwarded()], self.replies)

    def test_bytes_that_do_not_decode_get_no_answer(self) -> None:
        network = self.processes[CALLER].process.network
        for address in (PRIMARY, RELAY):
            garbage = Forward(target=ADDRESSES[PRIMARY], origin=ADDRESSES[CALLER], timeout_ms=300, message=b"garbage")
            network.call(ADDRESSES[address], garbage, 0.5, self.replies.append)
        self.world.run_for(0.5)
        self.assertEqual([Forwarded(), Forwarded()], self.replies)
        self.assertEqual(0, self.processes[PRIMARY].calls)

    def test_neither_voting_members_nor_agents_are_relays(self) -> None:
        me = self.processes[CALLER]
        known = {node.name for node in me.membership.nodes()}
        self.assertEqual({PRIMARY, RELAY, OTHER_RELAY, AGENT}, known)
        self.assertNotEqual("", me.relayed_calls.choose_relay())
        self.assertEqual("", me.relayed_calls.choose_relay((ADDRESSES[RELAY], ADDRESSES[OTHER_RELAY])))


if __name__ == "__main__":
    unittest.main()
