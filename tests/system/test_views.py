"""Views: bootstrap, elections, membership changes and lost disks."""

from __future__ import annotations

import unittest

from pipitledge.replication.records import decode_epochs
from pipitledge.replication.timing import MEMBER_LEASE_SECONDS
from pipitledge.wire.messages import (
    HeartbeatReply,
)
from tests.system.replica_cluster import Client, Cluster, Invariants
from tests.system.replica_probe import Probe


class BootstrapTest(unittest.TestCase):
    def test_all_nodes_of_the_first_start_become_members(self) -> None:
        cluster = Cluster(5, machines=2)
        for index, name in enumerate(reversed(list(cluster.machines))):
            cluster.world.after(0.07 * index, lambda name=name: cluster.start(name, bootstrap=True))  # type: ignore[misc]
        cluster.world.run_for(4.0)
        self.assertEqual(cluster.primaries(), ["n0"])
        self.assertEqual(cluster.view().in_sync, ["n0", "n1", "n2", "n3", "n4"])

    def test_next_node_bootstraps_when_the_first_has_failed(self) -> None:
        cluster = Cluster(3)
        cluster.start_all(bootstrap=True)
        cluster.world.run_for(0.5)
        cluster.machines["n0"].power_off()
        cluster.world.run_for(12.0)
        self.assertEqual(cluster.primaries(), ["n1"])

    def test_single_node_does_not_bootstrap(self) -> None:
        cluster = Cluster(1, machines=1)
        cluster.start_all(bootstrap=True)
        cluster.world.run_for(30.0)
        self.assertEqual(cluster.primaries(), [])

    def test_single_node_bootstraps_without_fault_tolerance(self) -> None:
        cluster = Cluster(1, machines=0)
        self.assertEqual(cluster.found(), "n0")

    def test_minority_does_not_bootstrap(self) -> None:
        cluster = Cluster(5, machines=1)
        cluster.seeds = ["n1", "n2", "n3"]
        for name in ("n0", "n1"):
            for other in ("n2", "n3", "n4"):
                cluster.world.network.cut(name, other)
        cluster.start_all(bootstrap=True)
        cluster.world.run_for(20.0)
        self.assertIn(cluster.primary(), ("n2", "n3", "n4"))
        self.assertEqual(len(cluster.primaries()), 1)

    def test_bootstrap_continues_after_a_power_loss(self) -> None:
        for moment in range(1500, 1540, 3):
            with self.subTest(moment=moment):
                cluster = Cluster(3, seed=moment)
                cluster.start_all(bootstrap=True)
                cluster.world.run_until(moment / 1000)
                for machine in cluster.machines.values():
                    machine.power_off()
                cluster.start_all()
                cluster.await_primary(25.0)

    def test_late_node_of_the_first_start_becomes_a_member(self) -> None:
        cluster = Cluster(4, machines=1)
        for name in ("n0", "n1", "n2"):
            cluster.start(name, bootstrap=True)
        cluster.await_primary(5.0)
        cluster.start("n3", bootstrap=True)
        cluster.await_in_sync({"n0", "n1", "n2", "n3"}, 5.0)
        cluster.world.run_for(1.0)
        self.assertEqual(len(cluster.view().members), 4)
        self.assertEqual(cluster.view().previous, [])

    def test_restarted_node_is_added_to_too_few_members(self) -> None:
        cluster = Cluster(3, machines=1)
        for name in ("n0", "n1"):
            cluster.start(name, bootstrap=True)
        cluster.await_primary(25.0)
        cluster.start("n2")
        cluster.await_in_sync({"n0", "n1", "n2"}, 8.0)


class ElectionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster(3)
        self.assertEqual(self.cluster.found(), "n0")
        self.client = Client(self.cluster)
        self.invariants = Invariants(self.cluster, self.client)
        self.client.run(0.01)
        self.cluster.world.run_for(1.0)

    def tearDown(self) -> None:
        self.invariants.check()

    def test_first_successor_takes_over_soon_after_a_kill(self) -> None:
        self.cluster.machines["n0"].kill()
        self.assertEqual(self.cluster.await_primary(2.5), "n1")
        self.assertEqual(self.client.missing(self.cluster.state("n1")), [])

    def test_planned_stop_hands_over_at_once(self) -> None:
        self.cluster.replicas["n0"].step_down()
        self.assertEqual(self.cluster.await_primary(0.7, other_than="n0"), "n1")
        self.cluster.world.run_for(5.0)
        self.assertEqual(self.cluster.primaries(), ["n1"])

    def test_frozen_primary_cannot_acknowledge_after_it_resumes(self) -> None:
        self.client.write("n0")
        self.cluster.machines["n0"].freeze()
        self.cluster.world.run_for(3.0)
        self.assertEqual(self.cluster.primary(), "n1")
        self.cluster.machines["n0"].thaw()
        self.assertFalse(self.cluster.replicas["n0"].is_primary())
        self.cluster.world.run_for(1.0)
        self.assertFalse(self.cluster.services["n0"].active)

    def test_answer_to_a_heartbeat_of_another_clock_does_not_prolong_the_lease(self) -> None:
        probe = Probe(self.cluster)
        view = self.cluster.view()
        for machine in ("n1", "n2"):
            self.cluster.machines[machine].freeze()
        for name in ("n1", "n2"):
            reply = HeartbeatReply(epoch=view.epoch, name=name, sent_at=10.0**6)
            probe.process.network.datagram("n0", reply)
        self.cluster.world.run_for(1.0)
        self.assertEqual(self.cluster.primaries(), [])

    def test_expired_lease_alone_does_not_deactivate_services(self) -> None:
        world = self.cluster.world
        world.network.isolate("n0")
        world.run_while(lambda: self.cluster.replicas["n0"].is_primary(), 2.0)
        self.assertTrue(self.cluster.services["n0"].active)

    def test_primary_keeps_its_term_if_no_other_was_elected(self) -> None:
        term = self.cluster.replicas["n0"].term
        for name in ("n1", "n2"):
            self.cluster.machines[name].kill()
        self.cluster.world.run_for(1.5)
        self.assertEqual(self.cluster.primaries(), [])
        for name in ("n1", "n2"):
            self.cluster.start(name)
        self.assertEqual(self.cluster.await_primary(2.5), "n0")
        self.assertEqual(self.cluster.replicas["n0"].term, term)

    def test_restart_of_the_primary_starts_a_new_term(self) -> None:
        term = self.cluster.replicas["n0"].term
        self.cluster.machines["n0"].kill()
        self.cluster.start("n0")
        self.assertEqual(self.cluster.await_primary(2.0), "n0")
        self.assertGreater(self.cluster.replicas["n0"].term, term)

    def test_one_way_cut_from_the_primary(self) -> None:
        for name in ("n1", "n2"):
            self.cluster.world.network.cut("n0", name, both=False)
        self.assertIn(self.cluster.await_primary(4.0, other_than="n0"), ("n1", "n2"))

    def test_one_way_cut_to_the_primary(self) -> None:
        """The backups still get heartbeats, so another node can lead only after the primary has given up its role."""
        for name in ("n1", "n2"):
            self.cluster.world.network.cut(name, "n0", both=False)
        self.assertIn(self.cluster.await_primary(8.0, other_than="n0"), ("n1", "n2"))

    def test_hanging_disk_of_the_primary_leads_to_a_failover(self) -> None:
        self.cluster.machines["n0"].disk.stall()
        self.assertIn(self.cluster.await_primary(3.5, other_than="n0"), ("n1", "n2"))
        self.assertTrue(self.client.write_and_wait(self.cluster.primary() or "", 2.0))

    def test_all_restart_at_once(self) -> None:
        for machine in self.cluster.machines.values():
            machine.power_off()
        self.cluster.start_all()
        name = self.cluster.await_primary(3.0)
        self.assertEqual(self.client.missing(self.cluster.state(name)), [])


class LostDiskTest(unittest.TestCase):
    def test_lost_disk_is_out_of_sync_and_rejoins(self) -> None:
        cluster = Cluster(3)
        cluster.found()
        client = Client(cluster)
        client.run(0.01)
        cluster.world.run_for(1.0)
        old = cluster.disk_ids()["n2"]
        cluster.machines["n2"].wipe()
        cluster.start("n2")
        cluster.world.run_for(0.3)
        self.assertNotIn(
            ("n2", old), [(m.name, m.disk_id) for m in cluster.view().members if m.name in _in_sync(cluster)]
        )
        cluster.await_in_sync({"n0", "n1", "n2"}, 4.0)
        member = next(member for member in cluster.view().members if member.name == "n2")
        self.assertEqual(member.disk_id, cluster.disk_ids()["n2"])
        self.assertNotEqual(member.disk_id, old)

    def test_does_not_vote_before_proposals_with_its_old_disk_have_ended(self) -> None:
        cluster = Cluster(3)
        cluster.found()
        cluster.machines["n2"].wipe()
        cluster.start("n2")
        probe = Probe(cluster)
        cluster.world.run_for(1.0)
        self.assertEqual(probe.prepare("n2", 10**8).reason, "amnesiac")
        cluster.world.run_for(1.0)
        self.assertNotEqual(probe.prepare("n2", 10**8).reason, "amnesiac")

    def test_recovers_the_highest_epoch_that_others_promised(self) -> None:
        cluster = Cluster(3)
        cluster.found()
        probe = Probe(cluster)
        cluster.machines["n0"].power_off()
        cluster.machines["n2"].wipe()
        cluster.world.run_for(MEMBER_LEASE_SECONDS)
        epoch = 10**8
        self.assertTrue(probe.prepare("n1", epoch).granted)
        cluster.start("n0")
        cluster.start("n2")
        cluster.world.run_for(1.6)
        record = cluster.machines["n2"].disk.epochs
        assert record is not None
        self.assertGreaterEqual(decode_epochs(record).promised, epoch)

    def test_needs_answers_that_intersect_every_quorum(self) -> None:
        cluster = Cluster(3)
        cluster.found()
        cluster.machines["n0"].power_off()
        cluster.machines["n2"].wipe()
        cluster.start("n2")
        cluster.world.run_for(5.0)
        record = cluster.machines["n2"].disk.epochs
        assert record is not None
        self.assertTrue(decode_epochs(record).amnesiac)
        self.assertEqual(cluster.primaries(), [])
        cluster.start("n0")
        cluster.await_in_sync({"n0", "n1", "n2"}, 8.0)

    def test_lost_disk_of_the_primary_leads_to_a_failover(self) -> None:
        cluster = Cluster(3)
        cluster.found()
        client = Client(cluster)
        self.assertTrue(client.write_and_wait("n0"))
        cluster.machines["n0"].wipe()
        cluster.start("n0")
        name = cluster.await_primary(2.5)
        self.assertIn(name, ("n1", "n2"))
        self.assertEqual(client.missing(cluster.state(name)), [])

    def test_member_that_lost_its_promises_grants_no_lease(self) -> None:
        cluster = Cluster(3)
        cluster.found()
        cluster.machines["n1"].power_off()
        cluster.machines["n2"].wipe()
        cluster.start("n2")
        cluster.world.run_for(1.1)
        self.assertEqual(cluster.primaries(), [])

    def test_entry_on_a_new_disk_counts_only_once_the_view_names_that_disk(self) -> None:
        cluster = Cluster(3)
        cluster.found()
        client = Client(cluster)
        cluster.machines["n1"].power_off()
        cluster.await_in_sync({"n0", "n2"}, 2.0)
        cluster.machines["n2"].wipe()
        cluster.start("n2")
        replica = cluster.replicas["n0"]
        cluster.world.run_for(0.1)
        client.write("n0")
        position = replica._store.position
        held = cluster.world.run_while(lambda: cluster.replicas["n2"]._store.position != position, 0.7)
        self.assertTrue(held and replica.is_primary())
        cluster.world.run_for(0.1)
        self.assertEqual(client.acks, [])


class ReplacementTest(unittest.TestCase):
    def test_machine_at_another_address_replaces_a_dead_member(self) -> None:
        cluster = Cluster(3)
        cluster.found()
        client = Client(cluster)
        client.run(0.02)
        cluster.machines["n1"].wipe()
        cluster.world.run_for(1.0)
        cluster.add("s1", zone="z1")
        cluster.start("s1")
        cluster.await_in_sync({"n0", "n2", "s1"}, 6.0)
        cluster.world.run_for(1.0)
        self.assertEqual({member.name for member in cluster.view().members}, {"n0", "n2", "s1"})
        self.assertEqual(cluster.view().previous, [])
        cluster.machines["n0"].power_off()
        cluster.await_primary(3.0)

    def test_learner_is_not_added_while_all_members_are_up(self) -> None:
        cluster = Cluster(3)
        cluster.found()
        cluster.add("s1")
        cluster.start("s1")
        cluster.world.run_for(8.0)
        self.assertEqual({member.name for member in cluster.view().members}, {"n0", "n1", "n2"})

    def test_same_zone_is_preferred(self) -> None:
        cluster = Cluster(3)
        cluster.found()
        for name, zone in (("s1", "z0"), ("s2", "z1")):
            cluster.add(name, zone=zone)
            cluster.start(name)
        cluster.world.run_for(3.0)
        cluster.machines["n1"].power_off()
        cluster.await_in_sync({"n0", "n2", "s2"}, 6.0)

    def test_new_address_under_the_same_name(self) -> None:
        cluster = Cluster(3)
        cluster.found()
        machine = cluster.machines["n2"]
        machine.kill()
        machine.address = "n2-moved"
        cluster.world.network.by_address["n2-moved"] = machine
        del cluster.world.network.by_address["n2"]
        cluster.start("n2")
        cluster.world.run_for(6.0)
        addresses = {member.name: member.address for member in cluster.view().members}
        self.assertEqual(addresses["n2"], "n2-moved")
        self.assertIn("n2", cluster.view().in_sync)


class DisklessTest(unittest.TestCase):
    def test_restart_counts_as_a_lost_disk(self) -> None:
        cluster = Cluster(3)
        for machine in cluster.machines.values():
            machine.diskless = True
        cluster.found()
        client = Client(cluster)
        for _ in range(3):
            primary = cluster.await_primary(5.0)
            self.assertTrue(client.write_and_wait(primary))
            cluster.machines[primary].kill()
            cluster.start(primary)
            name = cluster.await_primary(4.0, other_than=primary)
            self.assertEqual(client.missing(cluster.state(name)), [])
            cluster.world.run_for(4.0)  # until then its disk counts as lost
            cluster.await_in_sync({"n0", "n1", "n2"}, 1.0)


def _in_sync(cluster: Cluster) -> list[str]:
    return cluster.view().in_sync


if __name__ == "__main__":
    unittest.main()
