"""Operators' changes with lost answers, repeats and fail-overs; hundreds of changes while a member is off."""

from __future__ import annotations

import json
import unittest
from functools import partial
from random import Random

from pipitledge.emulator.cluster import history
from pipitledge.emulator.cluster.callers import Reply
from pipitledge.emulator.cluster.day import Day
from pipitledge.emulator.cluster.operators import Order, _read_of, _try_of
from tests.system.scripted_day import Operator

CHANGES = 500
RACES = 40


def with_three_members() -> Day:
    """Return the first simulated day whose deployment has three voting members."""
    return next(day for day in map(Day, range(100)) if len(day.deployment.counted) == 3)


class ConcurrentChangesTest(unittest.TestCase):
    """Two changes of the same version sent to two machines, while the primary dies or is cut off."""

    def test_at_most_one_of_two_changes_wins_despite_faults(self) -> None:
        random = Random(11)
        day = Day(5)
        day.operators.stopped = True
        day._found()
        operations: list[history.Operation] = []
        operator = Operator(day)
        won = {"first": 0, "second": 0, "neither": 0}
        for number in range(RACES):
            base = operator.read()
            orders = [self._order(day, base, number, which) for which in range(2)]
            open_orders = [self._send(day, random, order, operations) for order in orders]
            self._inject_fault(day, random)
            day.world.run_while(lambda waiting=open_orders: not all(waiting), 25.0)  # type: ignore[misc]
            acknowledged = [order.acknowledged_at < float("inf") for order in orders]
            self.assertLess(sum(acknowledged), 2, f"race {number}: both were acknowledged")
            won["first" if acknowledged[0] else "second" if acknowledged[1] else "neither"] += 1
            reply = operator.send_until_clear("GET", "", b"")
            operations.append(_read_of(json.loads(reply.body), reply))
            day.world.run_for(4.0)
        self.assertEqual([], history.check(operations))
        self.assertGreater(won["first"], RACES // 8)
        self.assertGreater(won["second"], RACES // 8)

    def _order(self, day: Day, base: int, number: int, which: int) -> Order:
        """Return one of two changes with the same version number that differ in a route."""
        probes = frozenset([f"p{2 * number + which + 1}"])
        document = day.operators._document(base + 2, probes)
        return Order("PUT", base, base + 2, json.dumps(document).encode(), False, probes, document)

    def _send(self, day: Day, random: Random, order: Order, operations: list[history.Operation]) -> list[Reply]:
        """Send a change until the answer is definite; that answer is then appended to the returned list."""
        ended: list[Reply] = []

        def answered(reply: Reply) -> None:
            operations.append(_try_of(order, reply))
            if reply.status == 200:
                order.acknowledged_at = min(order.acknowledged_at, reply.at)
            if reply.status in (200, 400, 412):
                ended.append(reply)
            else:
                day.world.after(random.uniform(0.05, 0.3), again)

        def again() -> None:
            node = random.choice(day.deployment.edges)
            day.outside.operator(node, "PUT", str(order.built_on), order.body, answered)

        day.outside.lost_answers = 0.3
        again()
        return ended

    def _inject_fault(self, day: Day, random: Random) -> None:
        """Inject a random fault at the primary within 30 ms."""
        name = day.site.primary()
        assert name is not None
        machine = day.world.machines[name]
        day.world.run_for(random.uniform(0.0, 0.03))
        kind = random.choice(("kill", "power", "cut", "freeze", "nothing"))
        if kind in ("kill", "power"):
            machine.kill() if kind == "kill" else machine.power_off()
            day.world.after(random.uniform(0.2, 2.0), partial(day.site.restart, name))
        elif kind == "cut":
            day.world.network.isolate(name)
            day.world.after(random.uniform(1.0, 5.0), day.world.network.join_all)
        elif kind == "freeze":
            machine.freeze()
            day.world.after(random.uniform(1.0, 5.0), machine.thaw)


class ManyChangesTest(unittest.TestCase):
    """Five hundred changes while voting members are off."""

    def test_repeated_changes_and_members_that_were_off(self) -> None:
        day = with_three_members()
        day.operators.stopped = True
        day.outside.lost_answers = 0.0
        day._found()
        world, site = day.world, day.site
        operator = Operator(day)
        off, wiped = [name for name in day.deployment.counted if name != site.primary()][:2]
        with_disk = world.machines[off]
        with_disk.power_off()
        world.run_for(2.0)
        sent: list[tuple[int, bytes]] = []
        version = operator.read()
        for number in range(CHANGES):
            document = day.operators._document(version + 1, frozenset([f"p{number}"]))
            body = json.dumps(document).encode()
            self.assertEqual(200, operator.send_until_clear("PUT", str(version), body).status)
            sent.append((version, body))
            version += 1
        self._repeat(day, operator, sent)
        site.restart(off)
        world.run_for(5.0)
        world.machines[wiped].wipe()
        world.run_for(0.2)
        site.restart(wiped)
        world.run_for(5.0)
        last = next(name for name in day.deployment.counted if name not in (off, wiped))
        world.machines[last].power_off()  # the remaining members have their state only from catching up
        world.run_for(5.0)
        self.assertIn(site.primary(), (off, wiped))
        self.assertEqual(version, operator.read())
        self._repeat(day, operator, sent)
        self.assertEqual(version, operator.read())

    def _repeat(self, day: Day, operator: Operator, sent: list[tuple[int, bytes]]) -> None:
        """Send old requests again to each machine: they are acknowledged again and change nothing."""
        for index in (-1, -2, -11, 0):
            built_on, body = sent[index]
            for node in day.deployment.edges:
                if day.world.machines[node].running:
                    reply = operator.send(node, "PUT", str(built_on), body)
                    self.assertEqual(200, reply.status, f"request {index} at {node}: {reply.body!r}")

    def test_the_same_document_with_reordered_keys_is_another_request(self) -> None:
        day = with_three_members()
        day.operators.stopped = True
        day.outside.lost_answers = 0.0
        day._found()
        operator = Operator(day)
        base = operator.read()
        document = day.operators._document(base + 1, frozenset(["p1"]))
        plain = json.dumps(document).encode()
        reordered = json.dumps(dict(reversed(document.items()))).encode()
        self.assertEqual(200, operator.send_until_clear("PUT", str(base), plain).status)
        self.assertEqual(412, operator.send_until_clear("PUT", str(base), reordered).status)
        self.assertEqual(200, operator.send_until_clear("PUT", str(base), plain).status)


if __name__ == "__main__":
    unittest.main()
