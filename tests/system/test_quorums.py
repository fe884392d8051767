"""Quorums, epochs, the lease, and the target view of a primary, tested as pure functions."""

from __future__ import annotations

import itertools
import unittest
from dataclasses import dataclass

from pipitledge.replication.epochs import FIRST_ORDINARY_EPOCH, is_bootstrap_epoch, next_bootstrap_epoch, next_epoch
from pipitledge.replication.lease import Lease
from pipitledge.replication.quorum import Tolerance, has_quorum, intersects_every_quorum
from pipitledge.replication.target_view import ViewInputs, target_view, wants_learners
from pipitledge.replication.timing import PRIMARY_LEASE_SECONDS
from pipitledge.wire.messages import (
    Member,
    NodeDescriptor,
    View,
)


def members(count: int, start: int = 0) -> list[Member]:
    return [Member(name=f"m{index}", zone=f"z{index % 2}") for index in range(start, start + count)]


class QuorumTest(unittest.TestCase):
    def test_majority_of_an_odd_number_of_members(self) -> None:
        view = View(members=members(5))
        for names in itertools.combinations([member.name for member in view.members], 2):
            self.assertFalse(has_quorum(view, names))
        for names in itertools.combinations([member.name for member in view.members], 3):
            self.assertTrue(has_quorum(view, names))

    def test_of_two_halves_the_one_with_the_first_member_is_a_quorum(self) -> None:
        view = View(members=members(4))
        self.assertTrue(has_quorum(view, {"m0", "m2"}))
        self.assertFalse(has_quorum(view, {"m1", "m3"}))
        self.assertTrue(has_quorum(view, {"m1", "m2", "m3"}))
        self.assertFalse(has_quorum(view, {"m0"}))

    def test_any_two_quorums_share_a_member_and_any_majority_by_count_is_a_quorum(self) -> None:
        for count in range(1, 9):
            view = View(members=members(count))
            names = [member.name for member in view.members]
            groups = [set(group) for size in range(count + 1) for group in itertools.combinations(names, size)]
            quorums = [group for group in groups if has_quorum(view, group)]
            with self.subTest(members=count):
                self.assertTrue(all(first & second for first in quorums for second in quorums))
                self.assertTrue(all(group in quorums for group in groups if 2 * len(group) > count))
                for group in groups:
                    self.assertEqual(intersects_every_quorum(view, group), all(group & quorum for quorum in quorums))

    def test_quorums_of_a_joint_view_share_a_member_with_those_before_and_after(self) -> None:
        for before, after in ((members(4), members(4, start=1)), (members(4), [*members(4)[1:], members(1)[0]])):
            joint, old, new = View(members=after, previous=before), View(members=before), View(members=after)
            names = sorted({member.name for member in before + after})
            groups = [set(group) for size in range(len(names) + 1) for group in itertools.combinations(names, size)]
            quorums = [group for group in groups if has_quorum(joint, group)]
            for view in (old, new):
                others = [group for group in groups if has_quorum(view, group)]
                self.assertTrue(all(first & second for first in quorums for second in others))

    def test_a_joint_view_needs_majorities_of_both_lists(self) -> None:
        view = View(members=members(3, start=1), previous=members(3))  # m0 is replaced by m3
        self.assertFalse(has_quorum(view, {"m0", "m1"}))
        self.assertFalse(has_quorum(view, {"m1", "m3"}))
        self.assertTrue(has_quorum(view, {"m1", "m2"}))

    def test_answers_that_intersect_every_quorum(self) -> None:
        view = View(members=members(5))
        self.assertFalse(intersects_every_quorum(view, {"m0", "m1"}))
        self.assertTrue(intersects_every_quorum(view, {"m0", "m1", "m2"}))

    def test_tolerance_counts_machines_and_zones(self) -> None:
        tolerance = Tolerance(machines=1, zones=1)
        self.assertFalse(tolerance.satisfied_by({"m0"}, members(3)))
        self.assertFalse(tolerance.satisfied_by({"m0", "m2"}, members(3)))
        self.assertTrue(tolerance.satisfied_by({"m0", "m1"}, members(3)))
        self.assertTrue(tolerance.satisfied_by({"m0"}, members(1)))


class EpochTest(unittest.TestCase):
    def test_epochs_increase_and_bootstrap_epochs_are_lowest(self) -> None:
        first = next_bootstrap_epoch(0, "a")
        second = next_bootstrap_epoch(first, "b")
        later = next_epoch(second, "a")
        self.assertTrue(0 < first < second < FIRST_ORDINARY_EPOCH <= later < next_epoch(later, "b"))
        self.assertTrue(is_bootstrap_epoch(second))
        self.assertFalse(is_bootstrap_epoch(later))


class LeaseTest(unittest.TestCase):
    def test_lease_runs_from_the_sending_of_the_heartbeat_that_a_majority_answered(self) -> None:
        lease = Lease(View(members=members(3)))
        lease.answered("m0", 10.0)
        self.assertFalse(lease.held(10.1))
        lease.answered("m1", 9.9)
        self.assertTrue(lease.held(9.9 + PRIMARY_LEASE_SECONDS - 0.01))
        self.assertFalse(lease.held(9.9 + PRIMARY_LEASE_SECONDS))

    def test_lease_of_a_joint_view_needs_majorities_of_both_lists(self) -> None:
        lease = Lease(View(members=members(3, start=2), previous=members(3)))
        lease.answered("m0", 10.0)
        lease.answered("m1", 10.0)
        self.assertFalse(lease.held(10.1))
        lease.answered("m2", 10.0)
        lease.answered("m3", 10.0)
        self.assertTrue(lease.held(10.1))


@dataclass
class FakeBackup:
    """State of one backup, set by the test."""

    disk_id: int
    is_responsive: bool = True
    is_unreachable: bool = False
    has_all_entries: bool = True
    backing_off: bool = False
    amnesiac: bool = False
    leaving: bool = False

    def responsive(self) -> bool:
        return self.is_responsive

    def unreachable(self) -> bool:
        return self.is_unreachable

    def caught_up(self) -> bool:
        return self.has_all_entries and self.is_responsive

    def in_rejoin_backoff(self) -> bool:
        return self.backing_off


class TargetViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.members = [Member(name=f"m{index}", zone=f"z{index}", disk_id=index + 1) for index in range(3)]
        names = [member.name for member in self.members]
        self.view = View(epoch=9, term=9, primary="m0", in_sync=names, members=self.members)
        self.backups = {f"m{index}": FakeBackup(index + 1) for index in (1, 2)}
        self.counted: dict[str, NodeDescriptor] = {}
        self.primary_member = self.members[0]

    def _target(self, decided: bool = True) -> View:
        inputs = ViewInputs(self.primary_member, Tolerance(machines=1), self.backups, self.counted)
        return target_view(inputs, self.view, decided)

    def _learner(self, name: str, zone: str = "z9", bootstrap: bool = False) -> None:
        self.counted[name] = NodeDescriptor(name=name, zone=zone, bootstrap=bootstrap)
        self.backups[name] = FakeBackup(50)

    def test_nothing_to_change(self) -> None:
        self.assertEqual(self._target(), self.view)

    def test_silent_backup_leaves_the_in_sync_set(self) -> None:
        self.backups["m2"].is_responsive = False
        self.assertEqual(self._target().in_sync, ["m0", "m1"])

    def test_last_required_backup_stays_in_sync(self) -> None:
        self.view.in_sync = ["m0", "m1"]
        self.backups["m1"].is_responsive = False
        self.backups["m2"].has_all_entries = False
        self.assertEqual(self._target().in_sync, ["m0", "m1"])

    def test_silent_backup_is_replaced_in_sync_by_one_that_caught_up(self) -> None:
        self.view.in_sync = ["m0", "m1"]
        self.backups["m1"].is_responsive = False
        self.assertEqual(self._target().in_sync, ["m0", "m2"])

    def test_joins_only_when_it_has_caught_up_and_its_backoff_is_over(self) -> None:
        self.view.in_sync = ["m0", "m1"]
        self.backups["m2"].has_all_entries = False
        self.assertEqual(self._target().in_sync, ["m0", "m1"])
        self.backups["m2"].has_all_entries = True
        self.backups["m2"].backing_off = True
        self.assertEqual(self._target().in_sync, ["m0", "m1"])
        self.backups["m2"].backing_off = False
        self.assertEqual(self._target().in_sync, ["m0", "m1", "m2"])

    def test_lost_disk_leaves_at_once_and_joins_under_its_new_id(self) -> None:
        self.backups["m2"].disk_id = 77
        self.backups["m2"].has_all_entries = False
        target = self._target()
        self.assertEqual((target.in_sync, target.members[2].disk_id), (["m0", "m1"], 3))
        self.backups["m2"].has_all_entries = True
        target = self._target()
        self.assertEqual((target.in_sync, target.members[2].disk_id), (["m0", "m1", "m2"], 77))

    def test_learner_replaces_a_dead_member_through_a_joint_view(self) -> None:
        self._learner("s1")
        self.backups["m1"].is_responsive = False
        self.backups["m1"].is_unreachable = True
        self.view = self._target()
        self.assertEqual([member.name for member in self.view.members], ["m0", "m2", "s1"])
        self.assertEqual(self.view.previous, self.members)
        self.assertEqual(self.view.in_sync, ["m0", "m2", "s1"])
        self.assertEqual(self._target(decided=False).previous, self.members)
        self.assertEqual(self._target().previous, [])

    def test_members_do_not_change_while_the_base_view_may_be_undecided(self) -> None:
        self._learner("s1")
        self.backups["m1"].is_responsive = False
        self.backups["m1"].is_unreachable = True
        self.assertEqual(self._target(decided=False).members, self.members)

    def test_learner_that_lost_its_promises_is_not_added(self) -> None:
        self._learner("s1")
        self.backups["s1"].amnesiac = True
        self.backups["m1"].is_unreachable = True
        self.assertEqual(self._target().members, self.members)

    def test_learner_of_the_same_zone_is_preferred(self) -> None:
        self._learner("s1")
        self._learner("s2", zone="z1")
        self.backups["m1"].is_unreachable = True
        self.assertEqual(self._target().members[-1].name, "s2")

    def test_node_of_the_first_start_is_added_and_a_later_one_is_not(self) -> None:
        self._learner("s1")
        self.assertEqual(self._target(), self.view)
        self._learner("s2", bootstrap=True)
        target = self._target()
        self.assertEqual([member.name for member in target.members], ["m0", "m1", "m2", "s2"])
        self.assertEqual(target.previous, self.members)

    def test_leaving_backup_is_left_out_while_enough_others_are_in_sync(self) -> None:
        self.backups["m2"].leaving = True
        self.assertEqual(self._target().in_sync, ["m0", "m1"])
        self.backups["m1"].has_all_entries = False
        self.view.in_sync = ["m0", "m2"]
        self.assertEqual(self._target().in_sync, ["m0", "m2"])

    def test_learner_replaces_a_leaving_member(self) -> None:
        self._learner("s1")
        self.backups["m1"].leaving = True
        self.assertEqual([member.name for member in self._target().members], ["m0", "m2", "s1"])

    def test_casting_vote_moves_to_the_primary_once_its_member_is_unreachable(self) -> None:
        self._set_up_four_members()
        self.assertEqual(self._target(), self.view)
        self.backups["m0"].is_responsive = False
        self.assertEqual(self._target().members, self.members)
        self.backups["m0"].is_unreachable = True
        target = self._target()
        self.assertEqual([member.name for member in target.members], ["m1", "m0", "m2", "m3"])
        self.assertEqual(target.previous, self.members)
        self.assertEqual(target.in_sync, ["m1", "m2", "m3"])

    def test_casting_vote_does_not_move_if_a_learner_can_replace_its_member(self) -> None:
        self._set_up_four_members()
        self._learner("s1")
        self.backups["m0"].is_responsive, self.backups["m0"].is_unreachable = False, True
        self.assertEqual([member.name for member in self._target().members], ["m1", "m2", "m3", "s1"])

    def _set_up_four_members(self) -> None:
        """Use four members, with the second one as primary."""
        self.members = [Member(name=f"m{index}", zone=f"z{index}", disk_id=index + 1) for index in range(4)]
        names = [member.name for member in self.members]
        self.view = View(epoch=9, term=9, primary="m1", in_sync=names, members=self.members)
        self.backups = {f"m{index}": FakeBackup(index + 1) for index in (0, 2, 3)}
        self.primary_member = self.members[1]

    def test_wants_learners_only_if_one_could_become_a_member(self) -> None:
        inputs = ViewInputs(self.members[0], Tolerance(machines=1), self.backups, self.counted)
        self.assertFalse(wants_learners(inputs, self.view))
        self.backups["m1"].is_unreachable = True
        self.assertTrue(wants_learners(inputs, self.view))


if __name__ == "__main__":
    unittest.main()
