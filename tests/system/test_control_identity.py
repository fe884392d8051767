"""An answer counts only for the call, the member and the term that it belongs to."""

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

LOST_MEMBER_ADDRESS = "n2"


def with_taken_over_address() -> Cluster:
    """Three members, of which the third is lost; a machine with another name has taken over its address."""
    cluster = Cluster(3)
    cluster.found()
    cluster.machines["n2"].wipe()
    cluster.add("s1", zone="z2", address=LOST_MEMBER_ADDRESS)
    return cluster


class TakenOverAddressTest(unittest.TestCase):
    def test_no_two_in_sync_members_have_the_same_disk(self) -> None:
        cluster = with_taken_over_address()
        client = Client(cluster)
        client.run(0.02)
        cluster.start("s1")
        cluster.world.run_for(UNREACHABLE_SECONDS / 2)
        view = cluster.view()
        disks = [member.disk_id for member in view.members if member.name in view.in_sync]
        self.assertEqual(len(disks), len(set(disks)))
        self.assertNotIn("n2", view.in_sync)

    def test_its_answers_do_not_count_as_votes_of_the_lost_member(self) -> None:
        cluster = with_taken_over_address()
        cluster.start("s1")
        cluster.world.run_for(1.8)  # by now it has recovered promises, but is no member yet
        self.assertEqual(["n0", "n1", "n2"], [member.name for member in cluster.view().members])
        survivor = next(name for name in ("n0", "n1") if name != cluster.primary())
        primary = cluster.primary()
        assert primary is not None
        cluster.machines[primary].power_off()
        cluster.world.run_for(6.0)
        view = cluster.replicas[survivor].view
        assert view is not None
        self.assertEqual(primary, view.primary, f"{survivor} had a view decided by its own vote alone")


class ForgedAnswersTest(unittest.TestCase):
    """The answers of members are modified in transit."""

    def setUp(self) -> None:
        self.cluster = Cluster(3)
        self.primary = self.cluster.found()
        self.others = [name for name in self.cluster.machines if name != self.primary]

    def _forge(self, name: str, change: Callable[[Struct], None]) -> None:
        """Modify each answer of that member to a call."""
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

    def test_an_append_reply_with_another_name_does_not_confirm_entries(self) -> None:
        client = Client(self.cluster)
        self.assertTrue(client.write_and_wait(self.primary))
        for name in self.others:
            self._forge(name, self._rename)
        self.assertFalse(client.write_and_wait(self.primary, limit=3.0))

    def test_no_primary_is_elected_by_answers_with_another_name(self) -> None:
        for name in self.others:
            self._forge(name, self._rename)
        self.cluster.machines[self.primary].power_off()
        self.cluster.world.run_for(5.0)
        self.assertEqual([], self.cluster.primaries())


class AnswersOfAnotherTermTest(unittest.TestCase):
    def test_a_reply_to_a_heartbeat_of_an_earlier_term_does_not_renew_the_lease(self) -> None:
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
        for _ in range(20):  # replies to an earlier process at this address
            cluster.world.run_for(0.1)
            for name in cluster.machines:
                answer = HeartbeatReply(epoch=term - 1, name=name, sent_at=process.clock.now())
                process.handlers.datagram(answer)
        self.assertNotIn(primary, cluster.primaries())


if __name__ == "__main__":
    unittest.main()
