"""Votes and record of one member, the entries that a backup accepts, and one attempt to get a view decided."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from functools import partial
from random import Random

from msgspec import Struct

from pipitledge.replication.election import takeover_view
from pipitledge.replication.environment import Environment
from pipitledge.replication.epochs import FIRST_ORDINARY_EPOCH
from pipitledge.replication.proposal import Proposal, ProposalOutcome
from pipitledge.replication.quorum import Tolerance
from pipitledge.replication.records import EpochRecord, InitialMembersRecord, decode_epochs
from pipitledge.replication.timing import MEMBER_LEASE_SECONDS
from pipitledge.replication.witness import Witness
from pipitledge.wire.messages import (
    Accepted,
    Append,
    AppendReply,
    Entry,
    EpochQuery,
    EpochReply,
    Heartbeat,
    Member,
    Prepare,
    Promise,
    Propose,
    View,
)
from tests.system.replica_cluster import Cluster, FakeMembership, SilentLog
from tests.system.replica_probe import Probe
from tests.system.virtual import Process, World


class WitnessTest(unittest.TestCase):
    """A single replica that gets hand-made messages."""

    def setUp(self) -> None:
        self.cluster = Cluster(1, machines=2, drift=False)  # never bootstraps by itself, as two more nodes are needed
        self.cluster.start("n0", bootstrap=True)
        self.probe = Probe(self.cluster)
        self.member = Member(name="n0", address="n0")
        self.base = 2 * FIRST_ORDINARY_EPOCH

    def view(self, epoch: int, primary: str = "probe") -> View:
        probe = Member(name="probe", address="probe")
        return View(epoch=epoch, term=epoch, primary=primary, in_sync=["n0", "probe"], members=[self.member, probe])

    def test_accepts_no_lower_epoch_than_promised(self) -> None:
        self.assertTrue(self.probe.prepare("n0", self.base + 5).granted)
        refused = self.probe.prepare("n0", self.base + 4)
        self.assertEqual((refused.granted, refused.reason, refused.epoch), (False, "epoch", self.base + 5))
        self.assertFalse(self.probe.propose("n0", self.view(self.base + 4)).granted)
        self.assertTrue(self.probe.propose("n0", self.view(self.base + 5)).granted)

    def test_promises_one_epoch_to_one_proposer(self) -> None:
        self.assertTrue(self.probe.prepare("n0", self.base, "a").granted)
        self.assertEqual(self.probe.prepare("n0", self.base, "b").reason, "epoch")
        self.assertTrue(self.probe.prepare("n0", self.base, "a").granted)

    def test_promises_survive_a_power_loss(self) -> None:
        self.probe.prepare("n0", self.base)
        self.probe.propose("n0", self.view(self.base))
        self.probe.prepare("n0", self.base + 9)
        self.cluster.machines["n0"].power_off()
        self.cluster.start("n0")
        self.cluster.world.run_for(MEMBER_LEASE_SECONDS)
        self.assertEqual(self.probe.prepare("n0", self.base + 8).reason, "epoch")
        promise = self.probe.prepare("n0", self.base + 10)
        assert promise.accepted is not None
        self.assertEqual(promise.accepted.epoch, self.base)

    def test_answers_only_once_the_promise_is_durable(self) -> None:
        disk = self.cluster.machines["n0"].disk
        disk.stall()
        answers: list[object] = []
        request = Prepare(epoch=self.base, proposer="probe")
        self.probe.process.network.call("n0", request, 1.0, answers.append)
        self.cluster.world.run_for(0.5)
        self.assertEqual(answers, [])
        disk.resume()
        self.cluster.world.run_for(0.1)
        self.assertEqual(len(answers), 1)
        assert disk.epochs is not None
        self.assertEqual(decode_epochs(disk.epochs).promised, self.base)

    def _send_heartbeat_of_holder(self, epoch: int) -> None:
        heartbeat = Heartbeat(epoch=epoch, term=epoch, primary="holder", sent_at=1.0, view=self.view(epoch, "holder"))
        self.probe.process.network.datagram("n0", heartbeat)
        self.cluster.world.run_for(0.05)

    def test_lease_excludes_others_until_it_expires(self) -> None:
        self._send_heartbeat_of_holder(self.base)
        self.assertEqual(self.probe.prepare("n0", self.base + 2000).reason, "lease")
        self.cluster.world.run_for(MEMBER_LEASE_SECONDS)
        self.assertTrue(self.probe.prepare("n0", self.base + 2000).granted)

    def test_lease_holder_may_continue(self) -> None:
        self._send_heartbeat_of_holder(self.base)
        promise = self.probe.prepare("n0", self.base + 2000, "holder")
        self.assertEqual((promise.granted, promise.reason), (True, "continue"))

    def test_promises_nothing_for_one_lease_after_a_restart(self) -> None:
        self._send_heartbeat_of_holder(self.base)
        self.cluster.machines["n0"].kill()
        self.cluster.start("n0")
        self.assertEqual(self.probe.prepare("n0", self.base + 2000).reason, "lease")
        self.cluster.world.run_for(MEMBER_LEASE_SECONDS)
        self.assertTrue(self.probe.prepare("n0", self.base + 2000).granted)

    def test_refuses_a_lease_below_its_promise(self) -> None:
        self.probe.prepare("n0", self.base + 7, "other")
        heartbeat = Heartbeat(epoch=self.base, term=self.base, primary="probe", sent_at=1.0, view=self.view(self.base))
        self.probe.process.network.datagram("n0", heartbeat)
        self.cluster.world.run_for(0.05)
        self.assertEqual([reply.epoch for reply in self.probe.replies], [self.base + 7])
        self.assertTrue(self.probe.prepare("n0", self.base + 8, "other").granted)

    def test_accepts_only_one_bootstrap_view(self) -> None:
        self.assertTrue(self.probe.propose("n0", self.view(1024)).granted)
        self.assertFalse(self.probe.propose("n0", self.view(2048)).granted)
        self.assertTrue(self.probe.propose("n0", self.view(self.base)).granted)

    def test_after_a_disk_loss_it_neither_promises_nor_accepts_nor_bootstraps(self) -> None:
        self.cluster.machines["n0"].wipe()
        self.cluster.start("n0")
        self.cluster.world.run_for(3.0)
        self.assertEqual(self.probe.prepare("n0", self.base).reason, "amnesiac")
        self.assertFalse(self.probe.propose("n0", self.view(1024)).granted)
        answer = self.probe.ask("n0", EpochQuery(name="probe"))
        assert isinstance(answer, EpochReply)
        self.assertTrue(answer.amnesiac)


class BackupFenceTest(unittest.TestCase):
    """Which primaries a backup accepts entries from; the same single replica as in `WitnessTest`."""

    def setUp(self) -> None:
        self.cluster = Cluster(1, machines=2, drift=False)
        self.cluster.start("n0", bootstrap=True)
        self.probe = Probe(self.cluster)
        self.base = 2 * FIRST_ORDINARY_EPOCH

    def _append(self, epoch: int, term: int, previous: tuple[int, int] = (0, 0)) -> AppendReply:
        entry = Entry(term=term, sequence=previous[1] + 1)
        message = Append(
            epoch=epoch,
            term=term,
            primary="probe",
            previous_term=previous[0],
            previous_sequence=previous[1],
            entries=[entry],
        )
        answer = self.probe.ask("n0", message)
        assert isinstance(answer, AppendReply)
        return answer

    def test_epoch_below_a_promise_to_another_is_refused(self) -> None:
        self.probe.prepare("n0", self.base + 1, "other")
        answer = self._append(self.base, self.base)
        self.assertEqual((answer.accepted, answer.epoch), (False, self.base + 1))

    def test_epoch_below_a_promise_to_the_same_primary_is_accepted(self) -> None:
        self.probe.prepare("n0", self.base + 1)
        self.assertTrue(self._append(self.base, self.base).accepted)

    def test_earlier_term_of_the_same_primary_is_refused_once_its_next_is_accepted(self) -> None:
        self.probe.prepare("n0", self.base + 1)
        member = Member(name="probe", address="probe")
        term = self.base + 1
        self.probe.propose("n0", View(epoch=term, term=term, primary="probe", in_sync=["probe"], members=[member]))
        self.assertFalse(self._append(self.base, self.base).accepted)
        self.assertTrue(self._append(term, term).accepted)

    def test_term_below_that_of_the_last_entry_is_refused(self) -> None:
        self.assertTrue(self._append(self.base + 1, self.base + 1).accepted)
        self.assertFalse(self._append(self.base + 2, self.base, (self.base + 1, 1)).accepted)
        self.assertTrue(self._append(self.base + 2, self.base + 1, (self.base + 1, 1)).accepted)

    def test_entry_of_a_higher_epoch_counts_as_a_promise(self) -> None:
        self.assertTrue(self._append(self.base + 1, self.base + 1).accepted)
        self.cluster.machines["n0"].power_off()
        self.cluster.start("n0")
        self.cluster.world.run_for(MEMBER_LEASE_SECONDS)
        self.assertEqual(self.probe.prepare("n0", self.base).reason, "epoch")


class ProposalTest(unittest.TestCase):
    """A proposal of `n0`; the other members `a` and `b` give the answers that the test sets."""

    def setUp(self) -> None:
        self._set_up(0)

    def _set_up(self, seed: int) -> None:
        self.world = World(seed)
        self.base = 2 * FIRST_ORDINARY_EPOCH
        self.freeze_on_propose = False  # whether this node is frozen once its view has reached another member
        names = ["n0", "a", "b"]
        self.members = [Member(name=name, address=name, disk_id=index) for index, name in enumerate(names, 1)]
        self.view = View(epoch=self.base, term=self.base, primary="a", in_sync=names, members=self.members)
        self.promises = {name: Promise(granted=True, name=name, disk_id=index) for index, name in ((2, "a"), (3, "b"))}
        for name in self.promises:
            self.world.machine(name).start(self._member)
        self.process = self.world.machine("n0").start(lambda process: None)
        self.outcomes: list[ProposalOutcome] = []

    def _member(self, process: Process) -> None:
        def promise(message: Prepare, reply: Callable[[Struct], None]) -> None:
            answer = self.promises[process.machine.name]
            answer.epoch = message.epoch
            reply(answer)

        def accept(message: Propose, reply: Callable[[Struct], None]) -> None:
            self.process.frozen = self.freeze_on_propose
            reply(Accepted(granted=True, epoch=message.view.epoch, name=process.machine.name))

        process.handlers.on_call(Prepare, promise)
        process.handlers.on_call(Propose, accept)

    def _propose(self) -> None:
        membership = FakeMembership(Cluster(0), self.world.machines["n0"])
        process = self.process
        self.env = Environment(
            process.clock,
            process.network,
            process.disk,
            process.random,
            self.members[0],
            Tolerance(machines=1),
            membership,
            SilentLog(),
        )
        record = EpochRecord(promised=self.base, accepted=self.view, disk_id=1)
        witness = Witness(self.env, record, False)
        derive = partial(takeover_view, self.env, self.base + 1)
        Proposal(self.env, witness, self.base + 1, self.view, derive, self.outcomes.append).run()

    def _decided(self) -> View | None:
        self.world.run_for(3.0)
        self.assertEqual(len(self.outcomes), 1)
        return self.outcomes[0].decided

    def test_all_members_that_answer_are_in_sync(self) -> None:
        self._propose()
        view = self._decided()
        assert view is not None
        self.assertEqual((view.primary, view.term, view.in_sync), ("n0", self.base + 1, ["n0", "a", "b"]))

    def test_failed_member_is_left_out(self) -> None:
        self.world.machines["a"].power_off()
        self._propose()
        view = self._decided()
        assert view is not None
        self.assertEqual(view.in_sync, ["n0", "b"])

    def test_no_quorum(self) -> None:
        for name in ("a", "b"):
            self.world.machines[name].power_off()
        self._propose()
        self.assertIsNone(self._decided())

    def test_continues_from_the_latest_view_that_a_member_reports(self) -> None:
        later = View(epoch=self.base + 1, term=self.base + 1, primary="b", in_sync=["n0", "b"], members=self.members)
        self.promises["b"].accepted = later
        self._propose()
        view = self._decided()
        assert view is not None
        self.assertEqual(view.in_sync, ["n0", "b"])

    def test_is_not_elected_if_a_later_view_left_it_out(self) -> None:
        later = View(epoch=self.base + 1, term=self.base + 1, primary="b", in_sync=["a", "b"], members=self.members)
        self.promises["b"].accepted = later
        self._propose()
        self.assertIsNone(self._decided())

    def test_promise_to_continue_does_not_elect_another_primary(self) -> None:
        for promise in self.promises.values():
            promise.reason = "continue"
        self._propose()
        self.assertIsNone(self._decided())

    def test_promise_to_continue_counts_for_the_primary_of_the_latest_view(self) -> None:
        for promise in self.promises.values():
            promise.reason = "continue"
        self.view.primary = "n0"
        self._propose()
        self.assertIsNotNone(self._decided())

    def test_answers_processed_after_the_deadline_do_not_count(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                self._set_up(seed)
                self.freeze_on_propose = True
                self._propose()
                self.world.run_for(2.0)
                self.assertTrue(self.process.frozen)
                self.process.thaw()
                self.assertIsNone(self._decided())

    def test_lost_disk_does_not_stay_in_sync(self) -> None:
        self.promises["b"].disk_id = 99
        self._propose()
        view = self._decided()
        assert view is not None
        self.assertEqual(view.in_sync, ["n0", "a"])

    def test_in_sync_set_does_not_shrink_below_the_fault_tolerance(self) -> None:
        self.view.in_sync = ["n0", "a"]
        self.world.machines["a"].power_off()
        self._propose()
        view = self._decided()
        assert view is not None
        self.assertEqual(view.in_sync, ["n0", "a"])


class RecordTest(unittest.TestCase):
    def test_first_record_of_a_bootstrap_node_is_persisted(self) -> None:
        cluster = Cluster(1, machines=1)
        cluster.start("n0", bootstrap=True)
        cluster.world.run_for(0.1)
        data = cluster.machines["n0"].disk.epochs
        assert data is not None
        record = decode_epochs(data)
        initial = InitialMembersRecord(takes_part=True, seeds=["n0"])
        self.assertEqual(record, EpochRecord(disk_id=cluster.disk_ids()["n0"], original=True, initial=initial))
        self.assertNotEqual(record.disk_id, Random(0).getrandbits(62))


if __name__ == "__main__":
    unittest.main()
