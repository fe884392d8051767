"""A configuration of many routes where most nodes have thin links.

What users saw: after a change that added 1,440 routes, jobs that had been accepted were not answered for at the end of
the day, one job in two was refused, and orders of the operator had no acknowledgement for many seconds.

In this order: the change was committed by the counted nodes, whose links are wide. Each of the others pulled the
configuration whole, which its link can not carry within the time of a pull, gave up, and began anew from nothing,
for good. These attempts filled its link, so that clients' calls by the same link came too late as well.

The evidence: none of the uncounted nodes applied that version or a later one in 75 s, and each took in as much as its
link carries from the change on, also when no client called any more; the counted nodes applied it within half a second,
and the primary's processor was half idle.
"""

from __future__ import annotations

import json
import unittest
from itertools import cycle

from pipitledge.emulator.cluster.callers import Reply
from pipitledge.emulator.cluster.day import Day
from pipitledge.emulator.cluster.deployment import HOST
from pipitledge.emulator.cluster.links import Link

THIN_BYTES_PER_S = 250_000  # 2 Mbit/s
MANY = 1_440
DEADLINE_MS = 3_000.0
ACKNOWLEDGED_S = 6.0 + 0.003 * MANY  # in which an order is to be acknowledged
QUIET_SHARE = 0.2  # of a thin link, that the system may use up by itself
SEED = 4


def many_routes(service: str) -> list[dict[str, object]]:
    """Routes as operators add them in one change; names and paths look drawn."""
    return [
        {
            "name": f"r-{number * 7_919 % 99_991:07x}",
            "host": f"{number % 7}.{HOST}",
            "pathPrefix": f"/m{number * 104_729 % 999_983:x}/",
            "type": "non_idempotent",
            "timeoutMs": 3_000,
            "targetLatencyMs": 2_000,
            "priority": number % 3,
            "service": service,
            "maxAttempts": 2,
            "stretch": 1.5,
        }
        for number in range(MANY)
    ]


class ThinLinks(unittest.TestCase):
    """One day without troubles; all nodes but the counted ones have thin links."""

    def setUp(self) -> None:
        self.day = Day(SEED)
        self.world = self.day.world
        self.counted = list(self.day.deployment.counted)
        self.thin = [name for name in self.day.deployment.edges if name not in self.counted]
        for name in self.thin:
            self.world.network.links[name] = Link(THIN_BYTES_PER_S)
        self.day.operators.stopped = True
        self.day._found()
        self.routes = many_routes(self.day.deployment.queues[0].service)
        self.version = 100

    # ---- what operators and clients do

    def order(self, node: str, upserted: list[dict[str, object]]) -> Reply:
        """Send a change by way of one node, once."""
        base = json.loads(self.read(self.counted[0]).body)["version"]
        self.version = base + 1
        body = json.dumps({"version": self.version, "upsert": {"routes": upserted}}).encode()
        return self.operator(node, "PATCH", str(base), body)

    def read(self, node: str) -> Reply:
        return self.operator(node, "GET", "", b"")

    def operator(self, node: str, method: str, if_match: str, body: bytes) -> Reply:
        ended: list[Reply] = []
        self.day.outside.operator(node, method, if_match, body, ended.append)
        self.world.run_while(lambda: not ended, 10.0)
        return ended[0]

    def statuses(self, nodes: list[str], path: str, host: str = HOST) -> dict[str, int]:
        """What a client's GET is answered at each of the nodes, within its deadline."""
        found: dict[str, int] = {}
        for node in nodes:

            def note(reply: Reply, node: str = node) -> None:
                found[node] = reply.status

            self.day.outside.client(node, "GET", host, path, b"", DEADLINE_MS, note)
        self.world.run_while(lambda: len(found) < len(nodes), DEADLINE_MS / 1_000.0 + 1.0)
        return found

    def statuses_of_new(self, nodes: list[str]) -> dict[str, int]:
        """The same for a route of the large change."""
        return self.statuses(nodes, str(self.routes[-1]["pathPrefix"]), str(self.routes[-1]["host"]))

    def grow(self) -> None:
        """Have the large change acknowledged by a node with a wide link, and applied."""
        self.assertEqual(self.order(self.counted[0], self.routes).status, 200)
        self.world.run_for(self.day.deployment.bounds.config_apply_ms / 1_000.0)

    def assert_served(self) -> None:
        """All nodes follow the large change, and are ready for clients."""
        self.assertEqual(self.statuses_of_new(self.thin), dict.fromkeys(self.thin, 200))
        ready = {name: self.day.site.nodes[name].readiness.ready() for name in self.thin}
        self.assertEqual(ready, dict.fromkeys(self.thin, True))

    # ---- what must hold

    def test_every_node_follows_a_large_change_in_time(self) -> None:
        self.grow()
        self.assert_served()

    def test_clients_are_answered_at_every_node_afterwards(self) -> None:
        self.grow()
        for _ in range(10):
            self.world.run_for(1.0)
            path = self.day.deployment.queues[0].prefix
            self.assertEqual(self.statuses(self.thin, path), dict.fromkeys(self.thin, 200))

    def test_links_stay_free_while_jobs_come(self) -> None:
        self.day.clients.start()
        self.grow()
        self.world.run_for(5.0)
        before = {name: self.world.network.links[name].inward.carried for name in self.thin}
        self.world.run_for(10.0)
        for name in self.thin:
            carried = self.world.network.links[name].inward.carried - before[name]
            self.assertLess(carried, 10.0 * QUIET_SHARE * THIN_BYTES_PER_S, name)

    def test_a_large_order_by_way_of_a_thin_link_is_acknowledged(self) -> None:
        began = self.world.time
        statuses = [self.order(node, self.routes).status for node in self.thin[:1]]
        self.assertEqual(statuses, [200])
        self.assertLess(self.world.time - began, ACKNOWLEDGED_S)

    def test_a_large_configuration_is_read_back_at_every_node(self) -> None:
        self.grow()
        for node in self.thin:
            reply = self.read(node)
            self.assertEqual(reply.status, 200, node)
            self.assertEqual(json.loads(reply.body)["version"], self.version)

    def test_nodes_that_all_start_anew_have_it_again(self) -> None:
        self.grow()
        for name in self.day.deployment.edges:
            self.world.machines[name].kill()
        for name in self.day.deployment.edges:
            self.day.site.restart(name)
        self.world.run_for(self.day.deployment.bounds.recovery_s / 2)
        self.assert_served()

    def test_changes_one_upon_the_other_keep_no_node_from_following(self) -> None:
        self.grow()
        nodes = cycle(self.counted)
        for number in range(40):
            changed = {**self.routes[number], "timeoutMs": 2_000}
            self.assertEqual(self.order(next(nodes), [changed]).status, 200)
        self.world.machines[self.thin[0]].kill()
        self.day.site.restart(self.thin[0])
        for number in range(40):
            changed = {**self.routes[number], "timeoutMs": 1_000}
            self.assertEqual(self.order(next(nodes), [changed]).status, 200)
        added = {**self.routes[-1], "name": "last", "pathPrefix": "/last/"}
        self.assertEqual(self.order(self.counted[0], [added]).status, 200)
        self.world.run_for(self.day.deployment.bounds.config_apply_ms / 1_000.0)
        host = str(added["host"])
        self.assertEqual(self.statuses(self.thin, "/last/", host), dict.fromkeys(self.thin, 200))


if __name__ == "__main__":
    unittest.main()
