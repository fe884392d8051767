"""Orders under loss, repeats and changes of primary; hundreds of changes past a member that was off."""

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
    """The first day of such a deployment."""
    return next(day for day in map(Day, range(100)) if len(day.deployment.counted) == 3)


class Races(unittest.TestCase):
    """Two orders on one version at two machines, while the primary dies or is cut off."""

    def test_one_of_two_wins_whatever_happens(self) -> None:
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
            self._strike(day, random)
            day.world.run_while(lambda waiting=open_orders: not all(waiting), 25.0)  # type: ignore[misc]
            taken = [order.acknowledged_at < float("inf") for order in orders]
            self.assertLess(sum(taken), 2, f"race {number}: both were acknowledged")
            won["first" if taken[0] else "second" if taken[1] else "neither"] += 1
            reply = operator.send_until_clear("GET", "", b"")
            operations.append(_read_of(json.loads(reply.body), reply))
            day.world.run_for(4.0)
        self.assertEqual([], history.check(operations))
        self.assertGreater(won["first"], RACES // 8)
        self.assertGreater(won["second"], RACES // 8)

    def _order(self, day: Day, base: int, number: int, which: int) -> Order:
        """Both bring the same number, and differ in a route."""
        probes = frozenset([f"p{2 * number + which + 1}"])
        document = day.operators._document(base + 2, probes)
        return Order("PUT", base, base + 2, json.dumps(document).encode(), False, probes, document)

    def _send(self, day: Day, random: Random, order: Order, operations: list[history.Operation]) -> list[Reply]:
        """Send until it is answered clearly; the list then holds that answer."""
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

    def _strike(self, day: Day, random: Random) -> None:
        """Something befalls the primary within some milliseconds."""
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


class Hundreds(unittest.TestCase):
    """Five hundred changes past members that are off."""

    def test_repeats_and_members_that_were_off(self) -> None:
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
        world.machines[last].power_off()  # those that are left got what they hold by catching up
        world.run_for(5.0)
        self.assertIn(site.primary(), (off, wiped))
        self.assertEqual(version, operator.read())
        self._repeat(day, operator, sent)
        self.assertEqual(version, operator.read())

    def _repeat(self, day: Day, operator: Operator, sent: list[tuple[int, bytes]]) -> None:
        """Orders of long ago, sent again to each machine, are acknowledged again and change nothing."""
        for index in (-1, -2, -11, 0):
            built_on, body = sent[index]
            for node in day.deployment.edges:
                if day.world.machines[node].running:
                    reply = operator.send(node, "PUT", str(built_on), body)
                    self.assertEqual(200, reply.status, f"order {index} at {node}: {reply.body!r}")

    def test_the_same_bytes_in_another_order_of_keys_are_another_order(self) -> None:
        day = with_three_members()
        day.operators.stopped = True
        day.outside.lost_answers = 0.0
        day._found()
        operator = Operator(day)
        base = operator.read()
        document = day.operators._document(base + 1, frozenset(["p1"]))
        plain = json.dumps(document).encode()
        turned = json.dumps(dict(reversed(document.items()))).encode()
        self.assertEqual(200, operator.send_until_clear("PUT", str(base), plain).status)
        self.assertEqual(412, operator.send_until_clear("PUT", str(base), turned).status)
        self.assertEqual(200, operator.send_until_clear("PUT", str(base), plain).status)


if __name__ == "__main__":
    unittest.main()
