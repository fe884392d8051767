"""Replication of entries: commit, failover, divergence, repair and disasters, in virtual time."""

from __future__ import annotations

import unittest

from msgspec import Struct, structs

from pipitledge.replication.quorum import Tolerance
from pipitledge.replication.recent_log import Position, RecentLog
from pipitledge.replication.records import Snapshot, decode_entries, decode_snapshot, encode_entries, encode_snapshot
from pipitledge.replication.state_map import StateMap
from pipitledge.runtime.ports import ReplyHandler
from pipitledge.wire.messages import Append, AppendReply, Entry, RepairReply, RepairRequest, Write
from tests.system.replica_cluster import Client, Cluster, Invariants
from tests.system.replica_probe import Probe


def entry(term: int, sequence: int, key: str = "k", value: bytes = b"v") -> Entry:
    return Entry(term=term, sequence=sequence, writes=[Write(key=key, value=value)])


class StateMapTest(unittest.TestCase):
    def test_digests_do_not_depend_on_the_order_or_on_earlier_values(self) -> None:
        one, other = StateMap(), StateMap()
        one.apply([Write(key="a", value=b"1"), Write(key="b", value=b"2"), Write(key="c", value=b"3")])
        other.apply([Write(key="b", value=b"x"), Write(key="d", value=b"4"), Write(key="c", value=b"3")])
        self.assertTrue(one.differing(other.digests()))
        other.apply([Write(key="d", deleted=True), Write(key="b", value=b"2"), Write(key="a", value=b"1")])
        self.assertEqual(one.differing(other.digests()), [])
        self.assertEqual(other.differing(one.digests()), [])
        self.assertEqual(one.as_dict(), {"a": b"1", "b": b"2", "c": b"3"})

    def test_a_fork_becomes_equal_by_replacing_ranges(self) -> None:
        primary_map, backup_map = StateMap(), StateMap()
        primary_map.apply([Write(key=f"key{index}", value=b"new") for index in range(500)])
        backup_map.apply([Write(key=f"key{index}", value=b"old") for index in range(300, 700)])
        copy = backup_map.fork()
        for index in primary_map.differing(copy.digests()):
            copy.replace_range(primary_map.content_of(index))
        self.assertEqual(copy.as_dict(), primary_map.as_dict())
        self.assertEqual(primary_map.differing(copy.digests()), [])
        self.assertEqual(backup_map.get("key600"), b"old")

    def test_a_range_that_is_empty_on_the_primary_differs(self) -> None:
        primary_map, backup_map = StateMap(), StateMap()
        backup_map.apply([Write(key="a", value=b"1")])
        copy = backup_map.fork()
        for index in primary_map.differing(copy.digests()):
            copy.replace_range(primary_map.content_of(index))
        self.assertEqual(len(copy), 0)


class RecordsTest(unittest.TestCase):
    def test_records_round_trip(self) -> None:
        entries = [entry(3, 4), Entry(term=3, sequence=5, writes=[Write(key="k", deleted=True)])]
        self.assertEqual(decode_entries(encode_entries(entries)), entries)
        snapshot = Snapshot(term=3, sequence=5, keys=["a"], values=[b"\0\xff"])
        self.assertEqual(decode_snapshot(encode_snapshot(snapshot)), snapshot)


class RecentLogTest(unittest.TestCase):
    def test_holds_positions_of_its_own_history_only(self) -> None:
        log = RecentLog(Position(1, 10))
        for item in (entry(1, 11), entry(2, 12), entry(2, 13)):
            log.add(item)
        self.assertTrue(log.holds(Position(1, 10)))
        self.assertTrue(log.holds(Position(2, 13)))
        self.assertFalse(log.holds(Position(1, 12)))
        self.assertFalse(log.holds(Position(1, 9)))
        self.assertEqual([item.sequence for item in log.after(Position(1, 11))], [12, 13])

    def test_drops_the_oldest_and_bounds_a_call(self) -> None:
        log = RecentLog(Position(1, 0), limit_bytes=2000)
        for sequence in range(1, 11):
            log.add(entry(1, sequence, value=b"x" * 400))
        self.assertFalse(log.holds(Position(1, 0)))
        self.assertTrue(log.holds(Position(1, 7)))
        self.assertEqual(len(log.after(Position(1, 7), limit_bytes=1000)), 2)
        self.assertEqual(len(log.after(Position(1, 7), limit_bytes=1)), 1)


class ClusterTest(unittest.TestCase):
    size = 3
    machines = 1

    def setUp(self) -> None:
        self.cluster = Cluster(self.size, self.machines)
        self.world = self.cluster.world
        self.assertEqual(self.cluster.found(), "n0")
        self.client = Client(self.cluster)
        self.invariants = Invariants(self.cluster, self.client)

    def tearDown(self) -> None:
        self.invariants.check()


class LostReply:
    """Loses the reply to one append that was carried out."""

    def __init__(self, cluster: Cluster, primary: str) -> None:
        self.lost = 0
        process = cluster.machines[primary].process
        assert process is not None
        self._call = process.network.call
        process.network.call = self._call_losing_reply  # type: ignore[method-assign]

    def _call_losing_reply(self, address: str, request: Struct, timeout: float, on_reply: ReplyHandler) -> None:
        if self.lost or not isinstance(request, Append) or not request.entries:
            self._call(address, request, timeout, on_reply)
            return
        self.lost += 1
        self._call(address, request, timeout, lambda reply: on_reply(None))


class CommitTest(ClusterTest):
    def test_a_single_write_is_acknowledged_although_the_reply_to_its_append_was_lost(self) -> None:
        lost = LostReply(self.cluster, "n0")
        self.assertTrue(self.client.write_and_wait("n0", 1.0))
        self.assertEqual(lost.lost, 1)

    def test_writes_are_acknowledged_while_a_backups_disk_hangs_for_long(self) -> None:
        self.cluster.machines["n2"].disk.stall()
        self.assertTrue(self.client.write_and_wait("n0", 3.0))
        self.assertNotIn("n2", self.cluster.view().in_sync)
        self.world.run_for(2.5)
        self.assertTrue(self.client.write_and_wait("n0", 2.0))
        self.cluster.machines["n2"].disk.resume()
        self.cluster.await_in_sync({"n0", "n1", "n2"}, 10.0)

    def test_acknowledged_once_durable_on_the_whole_in_sync_set(self) -> None:
        self.assertTrue(self.client.write_and_wait("n0", 0.1))
        for machine in self.cluster.machines.values():
            self.assertIn(b"key/1", b"".join(machine.disk.log))

    def test_not_acknowledged_before_it_is_durable_on_the_slowest_disk(self) -> None:
        self.cluster.machines["n2"].disk.stall()
        self.assertFalse(self.client.write_and_wait("n0", 0.5))
        self.cluster.machines["n2"].disk.resume()
        self.world.run_for(0.1)
        self.assertEqual(len(self.client.acks), 1)

    def test_commit_waits_for_the_own_disk(self) -> None:
        self.cluster.machines["n0"].disk.stall()
        self.assertFalse(self.client.write_and_wait("n0", 0.5))
        self.cluster.machines["n0"].disk.resume()
        self.world.run_for(0.1)
        self.assertEqual(len(self.client.acks), 1)

    def test_acknowledged_in_the_order_of_the_writes(self) -> None:
        order: list[int] = []
        replica = self.cluster.replicas["n0"]
        for number in range(50):
            replica.write([Write(key="k", value=b"%d" % number)], lambda number=number: order.append(number))
        replica.after_commit(lambda: order.append(50))
        self.assertEqual(order, [])
        self.world.run_for(0.1)
        self.assertEqual(order, list(range(51)))
        replica.after_commit(lambda: order.append(51))
        self.assertEqual(order[-1], 51)

    def test_entries_are_batched_while_a_call_is_in_flight(self) -> None:
        calls: list[int] = []
        process = self.cluster.machines["n1"].process
        assert process is not None
        replica = self.cluster.replicas["n1"]

        def count(message: Append, reply: object) -> None:
            calls.append(len(message.entries))
            replica._on_append(message, reply)  # type: ignore[arg-type]

        process.handlers.on_call(Append, count)
        for _ in range(100):
            self.client.write("n0")
        self.world.run_for(0.5)
        self.assertEqual(sum(calls), 100)
        self.assertLessEqual(len(calls), 4)

    def test_write_is_ignored_by_a_node_that_is_not_primary(self) -> None:
        self.client.write("n1")
        self.world.run_for(2.0)
        self.assertEqual(self.client.acks, [])
        self.assertEqual(self.cluster.state("n0"), {})

    def test_service_gets_the_whole_state_after_a_failover(self) -> None:
        for _ in range(30):
            self.client.write("n0")
        self.world.run_for(1.0)
        self.cluster.machines["n0"].kill()
        name = self.cluster.await_primary(2.5)
        service = self.cluster.services[name]
        self.assertEqual(service.terms, [self.cluster.replicas[name].term])
        self.assertEqual(self.client.missing(service.state), [])
        self.assertEqual(len(service.state), 20)

    def test_snapshots_replace_the_log(self) -> None:
        for machine in self.cluster.machines.values():
            machine.disk.snapshot_after = 10
        for _ in range(100):
            self.client.write("n0")
            self.world.run_for(0.02)
        for name, machine in self.cluster.machines.items():
            self.assertIsNotNone(machine.disk.snapshot, name)
            self.assertLess(len(machine.disk.log), 12)
            machine.power_off()
        self.cluster.start_all()
        name = self.cluster.await_primary(4.0)
        self.assertEqual(self.client.missing(self.cluster.state(name)), [])


class BackupTest(ClusterTest):
    def setUp(self) -> None:
        super().setUp()
        self.client.run(0.01)
        self.world.run_for(1.0)

    def test_silent_backup_leaves_the_in_sync_set_and_rejoins(self) -> None:
        self.cluster.machines["n2"].freeze()
        self.cluster.await_in_sync({"n0", "n1"}, 1.2)
        acks = len(self.client.acks)
        self.world.run_for(1.0)
        self.assertGreater(len(self.client.acks), acks + 50)
        self.cluster.machines["n2"].thaw()
        self.cluster.await_in_sync({"n0", "n1", "n2"}, 3.0)

    def test_killed_backup_leaves_the_set_sooner(self) -> None:
        self.cluster.machines["n2"].kill()
        self.cluster.await_in_sync({"n0", "n1"}, 0.45)

    def test_backup_with_a_hanging_disk_leaves_the_set(self) -> None:
        self.cluster.machines["n2"].disk.stall()
        self.cluster.await_in_sync({"n0", "n1"}, 1.2)
        self.cluster.machines["n2"].disk.resume()
        self.cluster.await_in_sync({"n0", "n1", "n2"}, 4.0)

    def test_last_required_backup_does_not_leave_the_in_sync_set(self) -> None:
        self.cluster.machines["n2"].power_off()
        self.cluster.await_in_sync({"n0", "n1"}, 1.5)
        self.cluster.machines["n1"].disk.stall()
        self.world.run_for(0.1)
        acks = len(self.client.acks)
        self.world.run_for(3.0)
        self.assertEqual(self.cluster.view().in_sync, ["n0", "n1"])
        self.assertEqual(len(self.client.acks), acks)

    def test_caught_up_backup_replaces_a_silent_one(self) -> None:
        self.cluster.machines["n2"].power_off()
        self.cluster.await_in_sync({"n0", "n1"}, 1.5)
        self.cluster.machines["n1"].freeze()
        self.world.run_for(1.0)
        self.cluster.start("n2")
        self.cluster.await_in_sync({"n0", "n2"}, 4.0)

    def test_commits_wait_for_a_slow_backup_that_rejoins(self) -> None:
        """Otherwise commits by the others would always be ahead of it, and it could never rejoin."""
        self.world.network.extra_delay[("n0", "n2")] = 0.05
        self.cluster.machines["n2"].freeze()
        self.cluster.await_in_sync({"n0", "n1"}, 1.2)
        self.cluster.machines["n2"].thaw()
        self.cluster.await_in_sync({"n0", "n1", "n2"}, 4.0)

    def test_backup_far_behind_is_repaired(self) -> None:
        self.cluster.machines["n2"].power_off()
        self.cluster.await_in_sync({"n0", "n1"}, 1.5)
        self.cluster.replicas["n0"]._store.log.reset(self.cluster.replicas["n0"]._store.position)
        self.cluster.start("n2")
        self.cluster.await_in_sync({"n0", "n1", "n2"}, 4.0)
        self.client.stop()
        self.world.run_for(0.5)
        self.assertEqual(self.cluster.state("n2"), self.cluster.state("n0"))

    def test_large_state_is_repaired_in_many_calls(self) -> None:
        replies: list[RepairReply] = []
        process = self.cluster.machines["n0"].process
        assert process is not None
        replica = self.cluster.replicas["n0"]

        def count(message: RepairRequest, reply: object) -> None:
            replica._on_repair_request(message, lambda answer: (replies.append(answer), reply(answer)))  # type: ignore

        process.handlers.on_call(RepairRequest, count)
        for index in range(600):
            replica.write([Write(key=f"big/{index}", value=bytes([index % 256]) * 20_000)])
        self.world.run_for(1.0)
        self.cluster.machines["n2"].wipe()
        self.cluster.await_in_sync({"n0", "n1"}, 1.5)
        self.cluster.start("n2")
        self.cluster.await_in_sync({"n0", "n1", "n2"}, 5.0)
        self.assertGreater(len(replies), 5)
        sizes = [sum(len(w.value) for c in reply.contents for w in c.writes) for reply in replies]
        self.assertLess(max(sizes), 1_300_000)
        self.client.stop()
        self.world.run_for(0.5)
        self.assertEqual(self.cluster.state("n2"), self.cluster.state("n0"))

    def test_state_is_unchanged_until_a_repair_is_complete(self) -> None:
        """After a power loss in the middle of a repair the backup has its state from before."""
        self.cluster.machines["n2"].power_off()
        self.cluster.await_in_sync({"n0", "n1"}, 1.5)
        replica = self.cluster.replicas["n0"]
        for index in range(300):
            replica.write([Write(key=f"big/{index}", value=bytes([index % 256]) * 20_000)])
        self.world.run_for(1.0)
        replica._store.log.reset(replica._store.position)
        self.cluster.start("n2")
        before = self.cluster.state("n2")
        asked: list[int] = []
        process = self.cluster.machines["n0"].process
        assert process is not None

        def count(message: RepairRequest, reply: object) -> None:
            asked.append(1)
            replica._on_repair_request(message, reply)  # type: ignore[arg-type]

        process.handlers.on_call(RepairRequest, count)
        self.assertTrue(self.world.run_while(lambda: len(asked) < 3, 3.0))
        self.assertTrue(self.cluster.replicas["n2"].status()["repairing"])
        self.assertEqual(self.cluster.state("n2"), before)
        self.cluster.machines["n2"].power_off()
        for name in ("n0", "n1"):
            self.world.network.isolate(name)
        self.cluster.start("n2")
        self.assertEqual(self.cluster.state("n2"), before)


class DivergenceTest(ClusterTest):
    def test_uncommitted_entries_of_the_old_primary_are_dropped(self) -> None:
        self.assertTrue(self.client.write_and_wait("n0"))
        self.world.network.isolate("n0")
        replica = self.cluster.replicas["n0"]
        acked: list[int] = []
        for _ in range(5):
            replica.write([Write(key="unheard", value=b"1")], lambda: acked.append(1))
        self.assertEqual(self.cluster.await_primary(4.0, other_than="n0"), "n1")
        self.assertTrue(self.client.write_and_wait("n1"))
        self.world.network.join_all()
        self.cluster.await_in_sync({"n0", "n1", "n2"}, 5.0)
        self.assertNotIn("unheard", self.cluster.state("n0"))
        self.assertEqual(self.cluster.state("n0"), self.cluster.state("n1"))
        self.assertEqual(acked, [])

    def test_backup_with_more_entries_than_the_new_primary_is_repaired(self) -> None:
        self.world.network.cut("n0", "n1", both=False)
        self.cluster.replicas["n0"].write([Write(key="half", value=b"1")])
        self.world.run_for(0.05)
        self.assertIn("half", self.cluster.state("n2"))
        self.assertNotIn("half", self.cluster.state("n1"))
        self.cluster.machines["n0"].power_off()
        self.assertEqual(self.cluster.await_primary(2.5), "n1")
        self.assertTrue(self.client.write_and_wait("n1"))
        self.assertNotIn("half", self.cluster.state("n2"))
        self.assertEqual(self.cluster.state("n1"), self.cluster.state("n2"))

    def test_backup_rejects_entries_of_an_old_primary(self) -> None:
        old = self.cluster.view()
        self.cluster.machines["n0"].power_off()
        name = self.cluster.await_primary(4.0)
        self.assertTrue(self.client.write_and_wait(name))
        other = "n2" if name == "n1" else "n1"
        position = self.cluster.replicas[other]._store.position
        answer = Probe(self.cluster).ask(
            other,
            Append(
                epoch=old.epoch,
                term=old.term,
                primary="n0",
                previous_term=position.term,
                previous_sequence=position.sequence,
                entries=[entry(old.term, position.sequence + 1, "late")],
            ),
        )
        assert isinstance(answer, AppendReply)
        self.assertFalse(answer.accepted)
        self.assertGreater(answer.epoch, old.epoch)
        self.assertNotIn("late", self.cluster.state(other))

    def test_only_the_primary_grants_a_repair(self) -> None:
        answer = Probe(self.cluster).ask("n1", RepairRequest(name="probe"))
        assert isinstance(answer, RepairReply)
        self.assertFalse(answer.granted)
        self.assertGreaterEqual(answer.epoch, self.cluster.view().epoch)


class DisasterTest(unittest.TestCase):
    """Right after an acknowledgement the tolerated number of disks is lost, and all other machines lose power."""

    def _play(self, size: int, machines: int, seed: int, first_wiped: int) -> None:
        cluster = Cluster(size, machines, seed=seed)
        cluster.found()
        client = Client(cluster)
        client.run(0.005)
        cluster.world.run_for(1.0)
        before = len(client.acks)
        cluster.world.run_while(lambda: len(client.acks) == before, 1.0)
        names = list(cluster.machines)
        wiped = [names[(first_wiped + offset) % size] for offset in range(machines)]
        for name, machine in cluster.machines.items():
            if name in wiped:
                machine.wipe()
            else:
                machine.power_off()
        client.stop()
        cluster.start_all()
        name = cluster.await_primary(6.0)
        self.assertNotIn(name, wiped)
        self.assertEqual(client.missing(cluster.state(name)), [])
        self.assertTrue(client.write_and_wait(name))
        cluster.await_in_sync(set(names), 8.0)

    def test_nothing_acknowledged_is_lost(self) -> None:
        for size, machines in ((3, 1), (4, 1), (5, 2), (8, 2)):
            for first_wiped in range(size):
                with self.subTest(size=size, machines=machines, first_wiped=first_wiped):
                    self._play(size, machines, 7 * size + first_wiped, first_wiped)

    def test_nothing_is_acknowledged_without_the_last_required_backup(self) -> None:
        """With two members lost, the last required backup stays in the in-sync set although its disk hangs."""
        cluster = Cluster(5, machines=2)
        cluster.found()
        client = Client(cluster)
        for name in ("n3", "n4"):
            cluster.machines[name].power_off()
        cluster.await_in_sync({"n0", "n1", "n2"}, 3.0)
        cluster.machines["n2"].disk.stall()
        self.assertFalse(client.write_and_wait("n0", 3.0))
        self.assertEqual(cluster.view().in_sync, ["n0", "n1", "n2"])

    def test_in_sync_set_too_small_for_new_settings_acknowledges_nothing(self) -> None:
        cluster = Cluster(3, machines=1)
        cluster.found()
        cluster.machines["n2"].power_off()
        cluster.await_in_sync({"n0", "n1"}, 3.0)
        cluster.tolerance = Tolerance(machines=2)
        for name in ("n0", "n1"):
            cluster.start(name)
        cluster.world.run_for(5.0)
        self.assertEqual(cluster.primaries(), [])
        cluster.start("n2")
        self.assertTrue(Client(cluster).write_and_wait(cluster.await_primary(5.0)))

    def test_commits_wait_for_a_node_that_may_be_in_sync(self) -> None:
        """If the outcome of a view change is unknown, the node that it adds may be primary already."""
        cluster = Cluster(3)
        cluster.found()
        client = Client(cluster)
        cluster.machines["n2"].power_off()
        cluster.await_in_sync({"n0", "n1"}, 3.0)
        primary = cluster.replicas["n0"]._primary
        assert primary is not None
        view = cluster.view()
        primary._proposed.append(structs.replace(view, epoch=view.epoch + 1, in_sync=["n0", "n1", "n2"]))
        primary._update_commit_members()
        self.assertFalse(client.write_and_wait("n0", 1.0))
        cluster.start("n2")
        cluster.await_in_sync({"n0", "n1", "n2"}, 4.0)
        self.assertEqual(len(client.acks), 1)

    def test_nothing_is_acknowledged_within_a_single_zone(self) -> None:
        cluster = Cluster(4, machines=1, zones=1)  # n0 and n3 are in the same zone
        cluster.found()
        for name in ("n1", "n2"):
            cluster.machines[name].disk.stall()
        cluster.world.run_for(3.0)
        self.assertEqual(Client(cluster).write_and_wait("n0", 2.0), False)


if __name__ == "__main__":
    unittest.main()
