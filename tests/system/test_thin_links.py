"""A configuration with many routes, where most nodes have slow links.

Guards against this failure: a change added 1,440 routes. Each non-voting node pulled the full configuration, which its
link can't carry within the timeout of a pull, timed out, and started again from zero forever. The pulls also filled the
link, so that clients' calls over it timed out. No such node applied the version within 75 s (voting nodes, which have
fast links, took half a second), one job in two was refused, accepted jobs got no result, and operators' changes were
not acknowledged for many seconds.
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
ROUTES = 1_440
DEADLINE_MS = 3_000.0
MAX_ACKNOWLEDGE_S = 6.0 + 0.003 * ROUTES  # within which a change has to be acknowledged
MAX_LINK_SHARE = 0.2  # maximum share of a slow link that internal traffic may use
SEED = 4


def many_routes(service: str) -> list[dict[str, object]]:
    """Return routes as operators add them in one change, with random-looking names and paths."""
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
        for number in range(ROUTES)
    ]


class ThinLinksTest(unittest.TestCase):
    """A simulated day without faults; all non-voting nodes have slow links."""

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

    # ---- calls of operators and clients

    def send_change(self, node: str, upserted: list[dict[str, object]]) -> Reply:
        """Send a change through one node, once."""
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
        """Return the status of a client's GET at each of the nodes, for those that answer within the deadline."""
        found: dict[str, int] = {}
        for node in nodes:

            def note(reply: Reply, node: str = node) -> None:
                found[node] = reply.status

            self.day.outside.client(node, "GET", host, path, b"", DEADLINE_MS, note)
        self.world.run_while(lambda: len(found) < len(nodes), DEADLINE_MS / 1_000.0 + 1.0)
        return found

    def statuses_of_new_route(self, nodes: list[str]) -> dict[str, int]:
        """Return the same for a route of the large change."""
        return self.statuses(nodes, str(self.routes[-1]["pathPrefix"]), str(self.routes[-1]["host"]))

    def apply_large_change(self) -> None:
        """Send the large change through a node with a fast link, and wait until nodes have to have applied it."""
        self.assertEqual(self.send_change(self.counted[0], self.routes).status, 200)
        self.world.run_for(self.day.deployment.bounds.config_apply_ms / 1_000.0)

    def assert_new_route_served(self) -> None:
        """Assert that all nodes serve a route of the large change and are ready for clients."""
        self.assertEqual(self.statuses_of_new_route(self.thin), dict.fromkeys(self.thin, 200))
        ready = {name: self.day.site.nodes[name].readiness.ready() for name in self.thin}
        self.assertEqual(ready, dict.fromkeys(self.thin, True))

    # ---- tests

    def test_every_node_applies_a_large_change_in_time(self) -> None:
        self.apply_large_change()
        self.assert_new_route_served()

    def test_clients_are_answered_at_every_node_afterwards(self) -> None:
        self.apply_large_change()
        for _ in range(10):
            self.world.run_for(1.0)
            path = self.day.deployment.queues[0].prefix
            self.assertEqual(self.statuses(self.thin, path), dict.fromkeys(self.thin, 200))

    def test_links_stay_mostly_free_while_jobs_arrive(self) -> None:
        self.day.clients.start()
        self.apply_large_change()
        self.world.run_for(5.0)
        before = {name: self.world.network.links[name].inward.carried for name in self.thin}
        self.world.run_for(10.0)
        for name in self.thin:
            carried = self.world.network.links[name].inward.carried - before[name]
            self.assertLess(carried, 10.0 * MAX_LINK_SHARE * THIN_BYTES_PER_S, name)

    def test_a_large_change_sent_through_a_thin_link_is_acknowledged(self) -> None:
        started_at = self.world.time
        statuses = [self.send_change(node, self.routes).status for node in self.thin[:1]]
        self.assertEqual(statuses, [200])
        self.assertLess(self.world.time - started_at, MAX_ACKNOWLEDGE_S)

    def test_a_large_configuration_can_be_read_at_every_node(self) -> None:
        self.apply_large_change()
        for node in self.thin:
            reply = self.read(node)
            self.assertEqual(reply.status, 200, node)
            self.assertEqual(json.loads(reply.body)["version"], self.version)

    def test_all_nodes_restarted_together_get_the_configuration_again(self) -> None:
        self.apply_large_change()
        for name in self.day.deployment.edges:
            self.world.machines[name].kill()
        for name in self.day.deployment.edges:
            self.day.site.restart(name)
        self.world.run_for(self.day.deployment.bounds.recovery_s / 2)
        self.assert_new_route_served()

    def test_frequent_changes_keep_no_node_from_applying_them(self) -> None:
        self.apply_large_change()
        nodes = cycle(self.counted)
        for number in range(40):
            changed = {**self.routes[number], "timeoutMs": 2_000}
            self.assertEqual(self.send_change(next(nodes), [changed]).status, 200)
        self.world.machines[self.thin[0]].kill()
        self.day.site.restart(self.thin[0])
        for number in range(40):
            changed = {**self.routes[number], "timeoutMs": 1_000}
            self.assertEqual(self.send_change(next(nodes), [changed]).status, 200)
        added = {**self.routes[-1], "name": "last", "pathPrefix": "/last/"}
        self.assertEqual(self.send_change(self.counted[0], [added]).status, 200)
        self.world.run_for(self.day.deployment.bounds.config_apply_ms / 1_000.0)
        host = str(added["host"])
        self.assertEqual(self.statuses(self.thin, "/last/", host), dict.fromkeys(self.thin, 200))


if __name__ == "__main__":
    unittest.main()
