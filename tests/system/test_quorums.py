"""Quorums, epochs, the lease, and the view that a primary wants: pure decisions."""

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

    def test_of_two_halves_the_one_with_the_first_member_decides(self) -> None:
        view = View(members=members(4))
        self.assertTrue(has_quorum(view, {"m0", "m2"}))
        self.assertFalse(has_quorum(view, {"m1", "m3"}))
        self.assertTrue(has_quorum(view, {"m1", "m2", "m3"}))
        self.assertFalse(has_quorum(view, {"m0"}))

    def test_any_two_quorums_share_a_member_and_any_majority_by_count_is_one(self) -> None:
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

    def test_quorums_of_a_change_share_a_member_with_those_before_and_after(self) -> None:
        for before, after in ((members(4), members(4, start=1)), (members(4), [*members(4)[1:], members(1)[0]])):
            joint, old, new = View(members=after, previous=before), View(members=before), View(members=after)
            names = sorted({member.name for member in before + after})
            groups = [set(group) for size in range(len(names) + 1) for group in itertools.combinations(names, size)]
            quorums = [group for group in groups if has_quorum(joint, group)]
            for view in (old, new):
                others = [group for group in groups if has_quorum(view, group)]
                self.assertTrue(all(first & second for first in quorums for second in others))

    def test_both_lists_decide_while_members_change(self) -> None:
        view = View(members=members(3, start=1), previous=members(3))  # m0 leaves, m3 comes
        self.assertFalse(has_quorum(view, {"m0", "m1"}))
        self.assertFalse(has_quorum(view, {"m1", "m3"}))
        self.assertTrue(has_quorum(view, {"m1", "m2"}))

    def test_answers_that_meet_every_quorum(self) -> None:
        view = View(members=members(5))
        self.assertFalse(intersects_every_quorum(view, {"m0", "m1"}))
        self.assertTrue(intersects_every_quorum(view, {"m0", "m1", "m2"}))

    def test_tolerance_counts_machines_and_places(self) -> None:
        tolerance = Tolerance(machines=1, zones=1)
        self.assertFalse(tolerance.satisfied_by({"m0"}, members(3)))
        self.assertFalse(tolerance.satisfied_by({"m0", "m2"}, members(3)))
        self.assertTrue(tolerance.satisfied_by({"m0", "m1"}, members(3)))
        self.assertTrue(tolerance.satisfied_by({"m0"}, members(1)))


class EpochTest(unittest.TestCase):
    def test_epochs_rise_and_founding_stays_below(self) -> None:
        first = next_bootstrap_epoch(0, "a")
        second = next_bootstrap_epoch(first, "b")
        later = next_epoch(second, "a")
        self.assertTrue(0 < first < second < FIRST_ORDINARY_EPOCH <= later < next_epoch(later, "b"))
        self.assertTrue(is_bootstrap_epoch(second))
        self.assertFalse(is_bootstrap_epoch(later))


class LeaseTest(unittest.TestCase):
    def test_runs_from_the_sending_that_a_majority_answered(self) -> None:
        lease = Lease(View(members=members(3)))
        lease.answered("m0", 10.0)
        self.assertFalse(lease.held(10.1))
        lease.answered("m1", 9.9)
        self.assertTrue(lease.held(9.9 + PRIMARY_LEASE_SECONDS - 0.01))
        self.assertFalse(lease.held(9.9 + PRIMARY_LEASE_SECONDS))

    def test_needs_both_lists_while_members_change(self) -> None:
        lease = Lease(View(members=members(3, start=2), previous=members(3)))
        lease.answered("m0", 10.0)
        lease.answered("m1", 10.0)
        self.assertFalse(lease.held(10.1))
        lease.answered("m2", 10.0)
        lease.answered("m3", 10.0)
        self.assertTrue(lease.held(10.1))


@dataclass
class FakeBackup:
    """How one backup is, as a test says."""

    disk_id: int
    alive: bool = True
    gone: bool = False
    caught: bool = True
    off: bool = False
    amnesiac: bool = False
    leaving: bool = False

    def responsive(self) -> bool:
        return self.alive

    def unreachable(self) -> bool:
        return self.gone

    def caught_up(self) -> bool:
        return self.caught and self.alive

    def in_rejoin_backoff(self) -> bool:
        return self.off


class TargetViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.members = [Member(name=f"m{index}", zone=f"z{index}", disk_id=index + 1) for index in range(3)]
        names = [member.name for member in self.members]
        self.view = View(epoch=9, term=9, primary="m0", in_sync=names, members=self.members)
        self.backups = {f"m{index}": FakeBackup(index + 1) for index in (1, 2)}
        self.counted: dict[str, NodeDescriptor] = {}
        self.leader = self.members[0]

    def _target(self, decided: bool = True) -> View:
        situation = ViewInputs(self.leader, Tolerance(machines=1), self.backups, self.counted)
        return target_view(situation, self.view, decided)

    def _learner(self, name: str, zone: str = "z9", bootstrap: bool = False) -> None:
        self.counted[name] = NodeDescriptor(name=name, zone=zone, bootstrap=bootstrap)
        self.backups[name] = FakeBackup(50)

    def test_nothing_to_change(self) -> None:
        self.assertEqual(self._target(), self.view)

    def test_silent_backup_leaves(self) -> None:
        self.backups["m2"].alive = False
        self.assertEqual(self._target().in_sync, ["m0", "m1"])

    def test_last_one_needed_stays(self) -> None:
        self.view.in_sync = ["m0", "m1"]
        self.backups["m1"].alive = False
        self.backups["m2"].caught = False
        self.assertEqual(self._target().in_sync, ["m0", "m1"])

    def test_silent_one_is_exchanged_for_one_that_caught_up(self) -> None:
        self.view.in_sync = ["m0", "m1"]
        self.backups["m1"].alive = False
        self.assertEqual(self._target().in_sync, ["m0", "m2"])

    def test_joins_only_when_it_has_caught_up_and_is_not_held_off(self) -> None:
        self.view.in_sync = ["m0", "m1"]
        self.backups["m2"].caught = False
        self.assertEqual(self._target().in_sync, ["m0", "m1"])
        self.backups["m2"].caught = True
        self.backups["m2"].off = True
        self.assertEqual(self._target().in_sync, ["m0", "m1"])
        self.backups["m2"].off = False
        self.assertEqual(self._target().in_sync, ["m0", "m1", "m2"])

    def test_lost_disk_leaves_at_once_and_joins_under_its_new_number(self) -> None:
        self.backups["m2"].disk_id = 77
        self.backups["m2"].caught = False
        target = self._target()
        self.assertEqual((target.in_sync, target.members[2].disk_id), (["m0", "m1"], 3))
        self.backups["m2"].caught = True
        target = self._target()
        self.assertEqual((target.in_sync, target.members[2].disk_id), (["m0", "m1", "m2"], 77))

    def test_learner_takes_a_dead_members_place_in_two_steps(self) -> None:
        self._learner("s1")
        self.backups["m1"].alive = False
        self.backups["m1"].gone = True
        self.view = self._target()
        self.assertEqual([member.name for member in self.view.members], ["m0", "m2", "s1"])
        self.assertEqual(self.view.previous, self.members)
        self.assertEqual(self.view.in_sync, ["m0", "m2", "s1"])
        self.assertEqual(self._target(decided=False).previous, self.members)
        self.assertEqual(self._target().previous, [])

    def test_members_do_not_change_on_top_of_a_view_that_may_not_be_decided(self) -> None:
        self._learner("s1")
        self.backups["m1"].alive = False
        self.backups["m1"].gone = True
        self.assertEqual(self._target(decided=False).members, self.members)

    def test_learner_that_lost_its_promises_waits(self) -> None:
        self._learner("s1")
        self.backups["s1"].amnesiac = True
        self.backups["m1"].gone = True
        self.assertEqual(self._target().members, self.members)

    def test_learner_of_the_same_zone_goes_first(self) -> None:
        self._learner("s1")
        self._learner("s2", zone="z1")
        self.backups["m1"].gone = True
        self.assertEqual(self._target().members[-1].name, "s2")

    def test_original_node_is_added_and_a_later_one_is_not(self) -> None:
        self._learner("s1")
        self.assertEqual(self._target(), self.view)
        self._learner("s2", bootstrap=True)
        target = self._target()
        self.assertEqual([member.name for member in target.members], ["m0", "m1", "m2", "s2"])
        self.assertEqual(target.previous, self.members)

    def test_one_that_stops_is_left_out_while_enough_others_hold_everything(self) -> None:
        self.backups["m2"].leaving = True
        self.assertEqual(self._target().in_sync, ["m0", "m1"])
        self.backups["m1"].caught = False
        self.view.in_sync = ["m0", "m2"]
        self.assertEqual(self._target().in_sync, ["m0", "m2"])

    def test_learner_takes_the_place_of_one_that_stops(self) -> None:
        self._learner("s1")
        self.backups["m1"].leaving = True
        self.assertEqual([member.name for member in self._target().members], ["m0", "m2", "s1"])

    def test_second_vote_moves_to_the_primary_once_its_member_is_gone(self) -> None:
        self._even()
        self.assertEqual(self._target(), self.view)
        self.backups["m0"].alive = False
        self.assertEqual(self._target().members, self.members)
        self.backups["m0"].gone = True
        target = self._target()
        self.assertEqual([member.name for member in target.members], ["m1", "m0", "m2", "m3"])
        self.assertEqual(target.previous, self.members)
        self.assertEqual(target.in_sync, ["m1", "m2", "m3"])

    def test_second_vote_stays_where_a_learner_can_take_the_place(self) -> None:
        self._even()
        self._learner("s1")
        self.backups["m0"].alive, self.backups["m0"].gone = False, True
        self.assertEqual([member.name for member in self._target().members], ["m1", "m2", "m3", "s1"])

    def _even(self) -> None:
        """Four members, led by the second of them."""
        self.members = [Member(name=f"m{index}", zone=f"z{index}", disk_id=index + 1) for index in range(4)]
        names = [member.name for member in self.members]
        self.view = View(epoch=9, term=9, primary="m1", in_sync=names, members=self.members)
        self.backups = {f"m{index}": FakeBackup(index + 1) for index in (0, 2, 3)}
        self.leader = self.members[1]

    def test_wants_learners_only_where_one_could_become_a_member(self) -> None:
        situation = ViewInputs(self.members[0], Tolerance(machines=1), self.backups, self.counted)
        self.assertFalse(wants_learners(situation, self.view))
        self.backups["m1"].gone = True
        self.assertTrue(wants_learners(situation, self.view))


if __name__ == "__main__":
    unittest.main()
