"""Successive losses, members that stop, and even splits: which nodes continue, and where the data is."""

from __future__ import annotations

import itertools
import unittest

from msgspec.structs import replace

from pipitledge.replication.epochs import FIRST_ORDINARY_EPOCH
from tests.system.replica_cluster import Client, Cluster, Invariants
from tests.system.replica_probe import Probe

CATCH_UP_SECONDS = 4.0
CUT_SECONDS = 20.0


class LostProposerTest(unittest.TestCase):
    """The proposer of a view change is lost, and only a member outside the new in-sync set has accepted the view."""

    def test_the_only_possible_primary_learns_of_the_view(self) -> None:
        cluster = Cluster(3)
        self.assertEqual(cluster.found(), "n0")
        cluster.await_in_sync({"n0", "n1", "n2"}, 5.0)
        cluster.machines["n2"].kill()
        cluster.await_in_sync({"n0", "n1"}, 5.0)
        cluster.world.network.cut("n0", "n2")
        cluster.start("n2")
        cluster.world.run_for(4.0)  # n2 learns by gossip that it is out of sync
        decided = cluster.view()
        change = replace(decided, epoch=decided.epoch + FIRST_ORDINARY_EPOCH, in_sync=["n0", "n2"])
        self.assertTrue(Probe(cluster).propose("n1", change).granted)
        cluster.machines["n0"].wipe()
        cluster.world.network.join_all()
        cluster.start("n0")
        self.assertEqual(cluster.await_primary(8.0), "n2")


class EvenSplitTest(unittest.TestCase):
    """The voting nodes are split into two halves; all other nodes reach both."""

    def test_the_half_with_the_casting_vote_continues(self) -> None:
        for primary_inside in (True, False):
            with self.subTest(primary_inside=primary_inside):
                cluster = Cluster(4)
                primary = cluster.found()
                client = Client(cluster)
                client.run(0.02)
                invariants = Invariants(cluster, client)
                first = cluster.view().members[0].name
                if not primary_inside:
                    other = next(name for name in cluster.machines if name != first)
                    self._make_primary(cluster, other)
                    primary = other
                partner = primary if primary != first else next(n for n in cluster.machines if n != first)
                half = {first, partner} if primary_inside else {first, self._third(cluster, first, primary)}
                rest = set(cluster.machines) - half
                self._cut(cluster, half, rest)
                cluster.world.run_for(3.0)
                before = len(client.acks)
                cluster.world.run_for(CUT_SECONDS - 3.0)
                self.assertGreater(len(client.acks), before + 100)
                self.assertIn(cluster.primary(), half)
                cluster.world.network.join_all()
                cluster.await_in_sync(set(cluster.machines), 6.0)
                invariants.check()

    def _make_primary(self, cluster: Cluster, name: str) -> None:
        for _ in range(6):
            if cluster.primary() == name:
                return
            now = cluster.await_primary(5.0)
            cluster.machines[now].kill()
            cluster.await_primary(5.0, other_than=now)
            cluster.start(now)
            cluster.await_in_sync(set(cluster.machines), 8.0)
        self.assertEqual(name, cluster.primary())

    def _third(self, cluster: Cluster, *names: str) -> str:
        return next(name for name in cluster.machines if name not in names)

    def _cut(self, cluster: Cluster, half: set[str], rest: set[str]) -> None:
        for pair in itertools.product(sorted(half), sorted(rest)):
            cluster.world.network.cut(*pair)

    def test_of_three_members_the_larger_part_continues(self) -> None:
        cluster = Cluster(3)
        primary = cluster.found()
        client = Client(cluster)
        client.run(0.02)
        cluster.world.network.isolate(primary)
        cluster.world.run_for(3.0)
        before = len(client.acks)
        cluster.world.run_for(5.0)
        self.assertGreater(len(client.acks), before + 50)
        self.assertNotEqual(primary, cluster.primary())


class SuccessiveLossesTest(unittest.TestCase):
    def test_disks_are_lost_one_after_another_with_time_to_catch_up(self) -> None:
        for size, tolerated in ((3, 1), (4, 1), (5, 2), (8, 2)):
            with self.subTest(size=size):
                cluster = Cluster(size, tolerated, seed=size)
                cluster.found()
                client = Client(cluster)
                client.run(0.02)
                invariants = Invariants(cluster, client)
                for name in [*cluster.machines, *cluster.machines]:
                    cluster.machines[name].wipe()
                    cluster.world.run_for(0.3)
                    cluster.start(name)
                    cluster.world.run_for(CATCH_UP_SECONDS)
                before = len(client.acks)
                cluster.world.run_for(2.0)
                self.assertGreater(len(client.acks), before)
                invariants.check()

    def test_tolerated_disks_are_lost_while_all_others_lose_power(self) -> None:
        for size, tolerated in ((3, 1), (4, 1), (5, 2), (8, 2)):
            for wiped in itertools.combinations([f"n{index}" for index in range(size)], tolerated):
                with self.subTest(size=size, wiped=wiped):
                    cluster = Cluster(size, tolerated, seed=size)
                    primary = cluster.found()
                    client = Client(cluster)
                    self.assertTrue(client.write_and_wait(primary))
                    for name, machine in cluster.machines.items():
                        machine.wipe() if name in wiped else machine.power_off()
                    cluster.world.run_for(0.5)
                    for name in cluster.machines:
                        cluster.start(name)
                    primary = cluster.await_primary(12.0)
                    self.assertEqual([], client.missing(cluster.state(primary)))

    def test_of_four_members_a_second_may_fail_once_the_casting_vote_has_moved(self) -> None:
        cluster = Cluster(4)
        cluster.found()
        client = Client(cluster)
        client.run(0.02)
        cluster.machines[cluster.view().members[0].name].power_off()
        cluster.world.run_for(CATCH_UP_SECONDS)
        first, *others = [m.name for m in cluster.view().members if cluster.machines[m.name].running]
        self.assertEqual(first, cluster.view().members[0].name)
        cluster.machines[others[0]].power_off()
        cluster.world.run_for(CATCH_UP_SECONDS)
        before = len(client.acks)
        cluster.world.run_for(2.0)
        self.assertGreater(len(client.acks), before + 20)

    def test_two_members_that_lost_their_disks_in_turn_do_not_wait_for_each_other(self) -> None:
        cluster = Cluster(3)
        primary = cluster.found()
        client = Client(cluster)
        first, second = [name for name in cluster.machines if name != primary]
        cluster.machines[first].wipe()
        cluster.start(first)
        cluster.await_in_sync(set(cluster.machines), 1.1)
        self.assertTrue(
            cluster.replicas[first].status()["amnesiac"],
            "the member has already recovered its promises, so the test proves nothing",
        )
        self.assertTrue(client.write_and_wait(primary))
        cluster.machines[second].power_off()
        cluster.world.run_for(CATCH_UP_SECONDS + 1.0)
        cluster.machines[second].wipe()
        cluster.start(second)
        leader = cluster.await_primary(12.0)
        cluster.await_in_sync(set(cluster.machines), 6.0)
        self.assertEqual([], client.missing(cluster.state(leader)))

    def test_second_loss_at_each_moment_of_a_replacement(self) -> None:
        for delay in (0.0, 0.5, 1.3, 1.9, 2.1, 2.2, 2.3, 2.4, 2.6, 3.0, 4.0):
            with self.subTest(delay=delay):
                cluster = Cluster(3, seed=7)
                cluster.found()
                client = Client(cluster)
                client.run(0.02)
                invariants = Invariants(cluster, client)
                cluster.machines["n2"].wipe()
                cluster.forget("n2")
                cluster.add("s1", zone="z2")
                cluster.start("s1")
                cluster.world.run_for(delay)
                self._power_cycle_all(cluster, {"n2"})
                self.assertTrue(self._write_succeeds(cluster, client), "no write is acknowledged any more")
                cluster.world.run_for(CATCH_UP_SECONDS)
                victim = next(name for name in ("n0", "n1") if name != cluster.primary())
                cluster.machines[victim].wipe()
                cluster.world.run_for(0.2)
                cluster.start(victim)
                before = len(client.acks)
                cluster.world.run_for(CATCH_UP_SECONDS)
                self.assertGreater(len(client.acks), before)
                invariants.check()

    def _write_succeeds(self, cluster: Cluster, client: Client, limit: float = 12.0) -> bool:
        """Whether any write is acknowledged within `limit` seconds."""
        before = len(client.acks)
        return cluster.world.run_while(lambda: len(client.acks) == before, limit)

    def _power_cycle_all(self, cluster: Cluster, lost: set[str]) -> None:
        """All machines except the lost ones lose power, and start again."""
        names = [name for name in cluster.machines if name not in lost]
        for name in names:
            cluster.machines[name].power_off()
        cluster.world.run_for(0.5)
        for name in names:
            cluster.start(name)


class PlannedStopTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster(3)
        self.primary = self.cluster.found()
        self.client = Client(self.cluster)
        self.client.run(0.02)
        self.cluster.world.run_for(0.5)
        self.backup = next(name for name in self.cluster.machines if name != self.primary)
        self.third = next(name for name in self.cluster.machines if name not in (self.primary, self.backup))

    def test_a_backup_leaves_the_in_sync_set_before_it_stops(self) -> None:
        self.cluster.replicas[self.backup].step_down()
        self.cluster.world.run_for(0.6)
        self.assertNotIn(self.backup, self.cluster.view().in_sync)
        self.assertFalse(self.cluster.replicas[self.backup].is_in_sync_member())
        before = len(self.client.acks)
        self.cluster.machines[self.backup].kill()
        self.cluster.world.run_for(0.15)
        self.assertGreater(len(self.client.acks), before + 3, "writes wait for a backup that announced its stop")

    def test_a_backup_with_one_of_two_copies_is_needed_until_another_has_caught_up(self) -> None:
        self.cluster.machines[self.third].power_off()
        self.cluster.await_in_sync({self.primary, self.backup}, 3.0)
        self.cluster.replicas[self.backup].step_down()
        self.cluster.world.run_for(1.0)
        self.assertTrue(self.cluster.replicas[self.backup].is_in_sync_member())
        self.cluster.start(self.third)
        self.cluster.await_in_sync({self.primary, self.third}, 5.0)
        self.cluster.world.run_for(0.5)
        self.assertFalse(self.cluster.replicas[self.backup].is_in_sync_member())

    def test_a_primary_with_one_of_two_copies_hands_over(self) -> None:
        self.cluster.machines[self.third].power_off()
        self.cluster.await_in_sync({self.primary, self.backup}, 3.0)
        self.cluster.start(self.third)
        self.cluster.replicas[self.primary].step_down()
        self.cluster.await_in_sync({self.backup, self.third}, 6.0)
        self.cluster.world.run_for(0.5)
        self.assertFalse(self.cluster.replicas[self.primary].is_in_sync_member())
        self.assertEqual([], self.client.missing(self.cluster.state(self.backup)))

    def test_a_learner_replaces_a_member_before_it_stops(self) -> None:
        self.cluster.add("s1", zone="z2")
        self.cluster.start("s1")
        self.cluster.world.run_for(1.0)
        self.cluster.replicas[self.backup].step_down()
        self.cluster.world.run_for(2.0)
        names = [member.name for member in self.cluster.view().members]
        self.assertEqual({self.primary, self.third, "s1"}, set(names))
        self.assertIn("s1", self.cluster.view().in_sync)


if __name__ == "__main__":
    unittest.main()
