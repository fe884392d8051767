"""The initial members are decided once: votes of the seeds, and bootstraps during cuts, losses and late starts."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from unittest import mock

from msgspec import Struct

from pipitledge.replication import initial_members
from pipitledge.replication.initial_members import InitialMembersAcceptor, InitialMembersProposal
from pipitledge.replication.records import InitialMembersRecord
from pipitledge.runtime.handlers import Handlers
from pipitledge.wire.messages import (
    InitialAccepted,
    InitialPrepare,
    InitialPromise,
    InitialPropose,
    Member,
    NodeDescriptor,
    View,
)
from tests.system.initial_members_search import Bounds, ConflictingDecisions, search
from tests.system.replica_cluster import Cluster

FIRST_LIST = [Member("a", "a"), Member("b", "b")]
OTHER_LIST = [Member("c", "c")]


class AcceptorTest(unittest.TestCase):
    """A single seed that gets hand-made calls."""

    def setUp(self) -> None:
        self.durable: list[Callable[[], None]] = []
        self.record = InitialMembersRecord(takes_part=True)
        self.acceptor = self.acceptor_of(self.record)

    def acceptor_of(self, record: InitialMembersRecord) -> InitialMembersAcceptor:
        return InitialMembersAcceptor("s1", record, self.durable.append, lambda: FIRST_LIST)

    def prepare(self, ballot: int, proposer: str = "a") -> InitialPromise:
        answers: list[InitialPromise] = []
        self.acceptor.on_prepare(InitialPrepare(ballot, proposer), answers.append)
        self.sync()
        return answers[0]

    def propose(self, ballot: int, members: list[Member], proposer: str = "a") -> InitialAccepted:
        answers: list[InitialAccepted] = []
        self.acceptor.on_propose(InitialPropose(ballot, proposer, members), answers.append)
        self.sync()
        return answers[0]

    def sync(self) -> None:
        while self.durable:
            self.durable.pop()()

    def test_a_promise_reports_known_nodes_and_the_accepted_list(self) -> None:
        first = self.prepare(5)
        self.assertEqual((first.granted, first.accepted, first.members, first.known), (True, 0, [], FIRST_LIST))
        self.assertTrue(self.propose(5, OTHER_LIST).granted)
        second = self.prepare(6, "b")
        self.assertEqual((second.accepted, second.members), (5, OTHER_LIST))

    def test_it_accepts_no_lower_ballot_and_one_ballot_from_one_proposer_only(self) -> None:
        self.assertTrue(self.prepare(5).granted)
        self.assertEqual([self.prepare(4).granted, self.prepare(5, "b").granted], [False, False])
        self.assertEqual([self.propose(4, OTHER_LIST).granted, self.propose(5, OTHER_LIST, "b").granted], [False] * 2)
        self.assertTrue(self.propose(5, FIRST_LIST).granted)

    def test_it_answers_only_once_its_record_is_durable(self) -> None:
        answers: list[Struct] = []
        self.acceptor.on_prepare(InitialPrepare(5, "a"), answers.append)
        self.acceptor.on_propose(InitialPropose(5, "a", FIRST_LIST), answers.append)
        self.assertEqual(answers, [])
        self.sync()
        self.assertEqual(len(answers), 2)

    def test_a_seed_that_may_have_lost_its_record_does_not_vote(self) -> None:
        self.acceptor = self.acceptor_of(InitialMembersRecord(takes_part=False))
        self.assertFalse(self.prepare(5).granted)
        self.assertFalse(self.propose(5, FIRST_LIST).granted)

    def test_a_seed_without_a_disk_votes_only_in_the_first_start(self) -> None:
        for bootstrap in (True, False):
            with self.subTest(bootstrap=bootstrap):
                handlers = Handlers()
                initial_members.register_diskless_seed(handlers, "s1", bootstrap, FakeMembership())
                answers: list[Struct] = []
                handlers.call(InitialPrepare(5, "a"), answers.append)
                [promise] = answers
                assert isinstance(promise, InitialPromise)
                self.assertEqual(promise.granted, bootstrap)
                self.assertEqual(promise.known, [Member("a", "a")] if bootstrap else [])


class VotesSearchTest(unittest.TestCase):
    """Exhaustive search over the runs of two proposers and three seeds."""

    MAX_STATES = 20_000

    def test_at_most_one_list_is_decided(self) -> None:
        states, complete = search(Bounds(restarts=0), self.MAX_STATES)
        self.assertTrue(complete)
        self.assertGreater(states, 1_000)

    def test_two_lists_are_decided_without_the_majority_rule(self) -> None:
        with (
            mock.patch.object(initial_members, "is_majority_of_seeds", lambda answers, _seeds: bool(answers)),
            self.assertRaises(ConflictingDecisions),
        ):
            search(Bounds(restarts=0), self.MAX_STATES)

    def test_two_lists_are_decided_if_a_later_ballot_ignores_the_accepted_list(self) -> None:
        def own_list(proposal: InitialMembersProposal) -> list[Member]:
            return proposal._members

        with (
            mock.patch.object(InitialMembersProposal, "_list_to_propose", own_list),
            self.assertRaises(ConflictingDecisions),
        ):
            search(Bounds(restarts=0), self.MAX_STATES)


class FakeMembership:
    """Membership that knows one node of the first start and one that started later."""

    view: View | None = None

    def counted(self) -> list[NodeDescriptor]:
        return [NodeDescriptor("a", "a", bootstrap=True, counted=True), NodeDescriptor("b", "b", counted=True)]

    def offer_view(self, view: View) -> None:
        raise AssertionError("not used")


class BootstrapByGroupsTest(unittest.TestCase):
    """Two groups that do not know each other, and a seed that both reach until it is isolated.

    The seeds are n0 (of the first group), n1 (of the second) and n2 (in neither).
    """

    GROUPS = ({"n0", "n3", "n4"}, {"n1", "n5", "n6"})

    def cluster(self, seed: int) -> Cluster:
        cluster = Cluster(7, machines=1, seed=seed)
        for group, others in (self.GROUPS, self.GROUPS[::-1]):
            for name in group:
                cluster.groups[name] = group
                for other in others:
                    cluster.world.network.cut(name, other)
        cluster.groups["n2"] = {"n2"}
        return cluster

    def bootstrapped_lists(self, cluster: Cluster) -> set[tuple[str, ...]]:
        """Return the member lists of all views that are known to be decided."""
        views = [replica.view for replica in cluster.replicas.values()]
        return {tuple(member.name for member in view.members) for view in views if view is not None}

    def play(self, silent_after: float, seed: int, heal: bool = True) -> tuple[set[tuple[str, ...]], Cluster]:
        """Start all nodes, isolate n2 after `silent_after` seconds, and end the cuts later."""
        cluster = self.cluster(seed)
        cluster.start_all(bootstrap=True)
        cluster.world.run_for(silent_after)
        cluster.world.network.isolate("n2")
        cluster.world.run_for(25.0)
        bootstrapped_lists = self.bootstrapped_lists(cluster)
        cluster.groups.clear()
        cluster.world.network.join_all()
        if heal:
            cluster.await_primary(30.0)
            cluster.world.run_for(6.0)
        return bootstrapped_lists, cluster

    def moments(self) -> list[float]:
        """Return moments before, during (every few milliseconds) and after the first attempt."""
        return [1.0, 1.5, *(1.6 + step / 500 for step in range(0, 200, 4)), 2.2, 3.0, 9.0]

    def test_at_most_one_group_bootstraps_whenever_the_shared_seed_is_isolated(self) -> None:
        seen_lists = set[tuple[str, ...]]()
        for seed, moment in enumerate(self.moments()):
            with self.subTest(moment=moment):
                bootstrapped_lists, cluster = self.play(moment, seed)
                self.assertLessEqual(len(bootstrapped_lists), 1)
                seen_lists |= bootstrapped_lists
                self.assertEqual(len(cluster.primaries()), 1)
                self.assertEqual(len(self.bootstrapped_lists(cluster)), 1)
        self.assertEqual(len(seen_lists), 2, "each group should bootstrap at some moment")

    def test_without_the_majority_rule_both_groups_bootstrap(self) -> None:
        with mock.patch.object(initial_members, "is_majority_of_seeds", lambda answers, _seeds: bool(answers)):
            bootstrapped_lists, _ = self.play(1.0, 0, heal=False)
        self.assertEqual(len(bootstrapped_lists), 2)

    def test_a_seed_that_votes_again_after_a_disk_loss_allows_two_bootstraps(self) -> None:
        """This is why a seed that lost its disk must not vote: here it votes again, as if it had never voted."""
        for remembers, groups in ((True, 1), (False, 2)):
            with self.subTest(remembers=remembers):
                cluster = self.cluster(3)
                for name in self.GROUPS[1]:
                    cluster.world.network.isolate(name)
                cluster.start_all(bootstrap=True)
                cluster.await_primary(25.0)
                for name in self.GROUPS[0]:
                    cluster.world.network.isolate(name)
                for name in self.GROUPS[1]:
                    for other in (*self.GROUPS[1], "n2"):
                        cluster.world.network.join(name, other)
                cluster.machines["n2"].wipe()
                cluster.start("n2", bootstrap=not remembers)
                cluster.world.run_for(30.0)
                self.assertEqual(len(self.bootstrapped_lists(cluster)), groups)


class FirstStartTest(unittest.TestCase):
    """Seeds that start late, are down, or are not voting nodes."""

    def test_bootstrap_succeeds_with_two_of_three_seeds(self) -> None:
        cluster = Cluster(5, machines=1)
        for name in ("n0", "n2", "n3", "n4"):
            cluster.start(name, bootstrap=True)
        cluster.await_primary(5.0)
        self.assertEqual(len(cluster.view().members), 4)

    def test_bootstrap_waits_until_a_majority_of_the_seeds_has_started(self) -> None:
        cluster = Cluster(5, machines=1)
        for name in ("n0", "n3", "n4"):
            cluster.start(name, bootstrap=True)
        cluster.world.run_for(30.0)
        self.assertEqual(cluster.primaries(), [])
        cluster.start("n1", bootstrap=True)
        cluster.await_primary(3.0)

    def test_a_seed_reports_a_node_that_the_proposer_does_not_know(self) -> None:
        cluster = Cluster(4, machines=1)
        for name in ("n0", "n1", "n3"):
            cluster.groups[name] = {"n0", "n1", "n3"}
        cluster.start_all(bootstrap=True)
        cluster.await_primary(5.0)
        self.assertEqual([member.name for member in cluster.view().members], ["n0", "n1", "n2", "n3"])

    def test_power_loss_of_all_machines_at_any_moment_of_the_bootstrap(self) -> None:
        for step in range(0, 60, 3):
            with self.subTest(step=step):
                cluster = Cluster(3, seed=step)
                cluster.start_all(bootstrap=True)
                cluster.world.run_until(1.5 + step / 100)
                for machine in cluster.machines.values():
                    machine.power_off()
                cluster.seeds = ["n1"]  # the seeds of the first start still count, not those of later settings
                cluster.start_all()
                cluster.await_primary(25.0)

    def test_a_node_left_out_of_the_list_does_not_delay_the_others(self) -> None:
        cluster = Cluster(4, machines=1)
        cluster.seeds = ["n1", "n2", "n3"]
        cluster.groups = {name: {"n1", "n2", "n3"} for name in cluster.seeds}
        cluster.world.network.isolate("n0")
        cluster.start_all(bootstrap=True)
        decided = [cluster.replicas[name]._acceptor._record for name in cluster.seeds]
        cluster.world.run_while(lambda: not all(record.accepted for record in decided), 5.0)
        cluster.machines["n1"].power_off()  # before it has proposed a view
        cluster.groups.clear()
        cluster.world.network.join_all()
        cluster.await_primary(20.0)
        self.assertEqual({member.name for member in cluster.view().members} & {"n1", "n2", "n3"}, {"n1", "n2", "n3"})

    def test_the_proposer_is_lost_for_good_once_one_member_accepted_its_view(self) -> None:
        """That member is not in sync, so another one has to continue from a view that it did not accept itself."""
        cluster = Cluster(3, machines=1)
        network, replicas = cluster.world.network, cluster.replicas
        network.cut("n2", "n0", both=False)  # n0 gets no promise of n2, so n2 is not in sync
        cluster.start_all(bootstrap=True)
        cluster.world.run_while(lambda: replicas["n1"]._witness.promised == 0, 5.0)
        cluster.world.run_for(0.1)  # the promise of n1 arrives; n0 waits for that of n2
        network.cut("n0", "n1")
        cluster.world.run_while(lambda: replicas["n2"]._witness.accepted is None, 1.0)
        cluster.machines["n0"].wipe()
        self.assertEqual([replicas[name]._witness.accepted is None for name in ("n1", "n2")], [True, False])
        cluster.forget("n0")
        self.assertEqual(cluster.await_primary(25.0), "n1")


if __name__ == "__main__":
    unittest.main()
