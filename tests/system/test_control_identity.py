"""Answers count only for the call, the member and the term that they are for."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from msgspec import Struct

from pipitledge.replication.timing import UNREACHABLE_SECONDS
from pipitledge.wire.messages import (
    Accepted,
    AppendReply,
    EpochReply,
    HeartbeatReply,
    Promise,
)
from tests.system.replica_cluster import Client, Cluster

ADDRESS_NOBODY_ELSE_HAS = "n2"


def with_taken_over_address() -> Cluster:
    """Three members of which the third is gone; a machine of another name has its address."""
    cluster = Cluster(3)
    cluster.found()
    cluster.machines["n2"].wipe()
    cluster.add("s1", zone="z2", address=ADDRESS_NOBODY_ELSE_HAS)
    return cluster


class AddressOfAnotherMember(unittest.TestCase):
    def test_no_two_members_of_the_set_are_one_disk(self) -> None:
        cluster = with_taken_over_address()
        client = Client(cluster)
        client.run(0.02)
        cluster.start("s1")
        cluster.world.run_for(UNREACHABLE_SECONDS / 2)
        view = cluster.view()
        disks = [member.disk_id for member in view.members if member.name in view.in_sync]
        self.assertEqual(len(disks), len(set(disks)))
        self.assertNotIn("n2", view.in_sync)

    def test_its_answers_are_no_votes_of_the_member(self) -> None:
        cluster = with_taken_over_address()
        cluster.start("s1")
        cluster.world.run_for(1.8)  # it knows what may have been promised, and is no member yet
        self.assertEqual(["n0", "n1", "n2"], [member.name for member in cluster.view().members])
        survivor = next(name for name in ("n0", "n1") if name != cluster.primary())
        primary = cluster.primary()
        assert primary is not None
        cluster.machines[primary].power_off()
        cluster.world.run_for(6.0)
        view = cluster.replicas[survivor].view
        assert view is not None
        self.assertEqual(primary, view.primary, f"{survivor} had a view decided by its own vote alone")


class ForgedAnswers(unittest.TestCase):
    """Members whose answers are changed on their way."""

    def setUp(self) -> None:
        self.cluster = Cluster(3)
        self.primary = self.cluster.found()
        self.others = [name for name in self.cluster.machines if name != self.primary]

    def _forge(self, name: str, change: Callable[[Struct], None]) -> None:
        """Change what the handlers of that member answer to calls."""
        process = self.cluster.machines[name].process
        assert process is not None
        handle = process.handlers.call

        def call(message: Struct, reply: Callable[[Struct], None]) -> bool:
            def changed(answer: Struct) -> None:
                change(answer)
                reply(answer)

            return handle(message, changed)

        process.handlers.call = call  # type: ignore[method-assign]

    def _rename(self, answer: Struct) -> None:
        if isinstance(answer, Promise | Accepted | AppendReply | EpochReply):
            answer.name = "another"

    def test_entries_are_not_held_by_one_that_answers_in_another_name(self) -> None:
        client = Client(self.cluster)
        self.assertTrue(client.write_and_wait(self.primary))
        for name in self.others:
            self._forge(name, self._rename)
        self.assertFalse(client.write_and_wait(self.primary, limit=3.0))

    def test_nobody_is_elected_by_answers_in_another_name(self) -> None:
        for name in self.others:
            self._forge(name, self._rename)
        self.cluster.machines[self.primary].power_off()
        self.cluster.world.run_for(5.0)
        self.assertEqual([], self.cluster.primaries())


class AnswersOfAnotherTerm(unittest.TestCase):
    def test_an_answer_to_a_heartbeat_of_an_earlier_term_renews_no_lease(self) -> None:
        cluster = Cluster(3)
        cluster.found()
        term = cluster.view().term
        primary = cluster.primary()
        assert primary is not None
        for name in cluster.machines:
            if name != primary:
                cluster.world.network.cut(primary, name)
        process = cluster.machines[primary].process
        assert process is not None
        for _ in range(20):  # answers that a member gave to an earlier life at this address, by whatever clock
            cluster.world.run_for(0.1)
            for name in cluster.machines:
                answer = HeartbeatReply(epoch=term - 1, name=name, sent_at=process.clock.now())
                process.handlers.datagram(answer)
        self.assertNotIn(primary, cluster.primaries())


if __name__ == "__main__":
    unittest.main()
