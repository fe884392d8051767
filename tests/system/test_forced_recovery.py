"""Forced recovery by an operator: refusals, reported data loss, and the failures that need it."""

from __future__ import annotations

import contextlib
import io
import unittest
from unittest import mock

from msgspec import Struct

from pipitledge.cli import system, system_recover
from pipitledge.cli.system_status import HttpAnswer, NoAnswerError
from pipitledge.replication.amnesia import AmnesiaRecovery
from pipitledge.replication.forced_recovery import RecoveryPlan, RecoveryRefusal, plan_recovery
from pipitledge.wire import codec
from pipitledge.wire.messages import Member, RecoveryAnswer, RecoveryOrder, RecoveryState, View
from tests.system.replica_cluster import Client, Cluster, Invariants
from tests.system.replica_probe import Probe

EPOCH = 1 << 21


def view(in_sync: list[str], count: int = 3) -> View:
    members = [Member(f"n{index}", f"n{index}", disk_id=index + 1) for index in range(count)]
    return View(EPOCH, EPOCH, "n0", in_sync, members)


def state(index: int, accepted: View | None = None, amnesiac: bool = False, sequence: int = 0) -> RecoveryState:
    disk_id = 100 + index if amnesiac else index + 1
    return RecoveryState(
        name=f"n{index}",
        address=f"n{index}:1",
        disk_id=disk_id,
        promised=accepted.epoch if accepted is not None else 0,
        accepted=accepted,
        amnesiac=amnesiac,
        term=EPOCH if sequence else 0,
        sequence=sequence,
    )


class PlanTest(unittest.TestCase):
    def refusal(self, states: list[RecoveryState], members: list[str], lost: tuple[str, ...] = ()) -> str:
        plan = plan_recovery(states, members, lost)
        assert isinstance(plan, RecoveryRefusal), plan
        return plan.reason

    def plan(self, states: list[RecoveryState], members: list[str], lost: tuple[str, ...] = ()) -> RecoveryPlan:
        plan = plan_recovery(states, members, lost)
        assert isinstance(plan, RecoveryPlan), plan
        return plan

    def test_it_is_refused_while_a_quorum_is_still_possible(self) -> None:
        full_view = view(["n0", "n1", "n2"])
        two = [state(0, full_view, sequence=5), state(1, full_view, sequence=5)]
        self.assertIn("quorum", self.refusal(two, ["n0", "n1"], ("n2",)))
        one_amnesiac = [*two, state(2, amnesiac=True)]
        self.assertIn("quorum", self.refusal(one_amnesiac, ["n0", "n1", "n2"]))

    def test_it_is_refused_while_there_may_be_a_primary(self) -> None:
        states = [state(0, view(["n0"]), sequence=5), state(1, amnesiac=True), state(2, amnesiac=True)]
        states[0].leads = True
        self.assertIn("n0 is primary", self.refusal(states, ["n0"]))
        states[0].leads, states[1].hears_primary = False, True
        self.assertIn("n1 had contact with a primary", self.refusal(states, ["n0"]))

    def test_members_have_to_answer_and_all_others_have_to_be_declared_lost(self) -> None:
        states = [state(0, view(["n0", "n1"]), sequence=5), state(1, amnesiac=True)]
        self.assertIn("n2 did not answer, and is not declared lost", self.refusal(states, ["n0", "n1"]))
        self.assertIn("n2 did not answer, so cannot be a member", self.refusal(states, ["n0", "n2"], ("n2",)))
        self.assertIn("n1 answered, so is not lost", self.refusal(states, ["n0"], ("n1", "n2")))
        self.assertIn("no new member", self.refusal(states, [], ("n2",)))

    def test_the_most_recent_state_becomes_primary_above_every_promised_epoch(self) -> None:
        states = [state(0, amnesiac=True), state(1, view(["n0", "n1"]), sequence=5), state(2, amnesiac=True)]
        plan = self.plan(states, ["n0", "n1", "n2"])
        self.assertEqual((plan.view.primary, plan.view.in_sync), ("n1", ["n1"]))
        self.assertEqual([member.disk_id for member in plan.view.members], [100, 2, 102])
        self.assertGreater(plan.view.epoch, EPOCH + 1_000_000)
        self.assertIn("everything acknowledged in the view", plan.loss)

    def test_the_loss_is_reported(self) -> None:
        behind = [state(0, view(["n1", "n2"]), sequence=3), state(1, amnesiac=True), state(2, amnesiac=True)]
        self.assertIn("after these entries is lost", self.plan(behind, ["n0", "n1", "n2"]).loss)
        ahead = [state(0, view(["n2"]), sequence=3), state(1, view(["n2"]), sequence=7)]
        self.assertIn("n1 holds later entries", self.plan(ahead, ["n0"], ("n2",)).loss)
        all_amnesiac = [state(index, amnesiac=True) for index in range(3)]
        self.assertIn("everything ever acknowledged", self.plan(all_amnesiac, ["n0", "n1", "n2"]).loss)
        later = self.plan([state(0, view(["n0", "n1", "n2"]), sequence=3)], ["n0"], ("n1", "n2")).loss
        self.assertIn("unless n1, n2 continued in a later view", later)


class ForcedRecoveryTest(unittest.TestCase):
    """Failures that the system cannot recover from by itself, and the command that ends them, in virtual time."""

    def setUp(self) -> None:
        self.cluster = Cluster(3)
        self.cluster.found()
        self.client = Client(self.cluster)
        self.invariants = Invariants(self.cluster, self.client)
        self.assertTrue(self.client.write_and_wait("n0"))
        self.cluster.world.run_for(1.0)
        self.probe = Probe(self.cluster)

    def post(self, address: str, body: bytes) -> HttpAnswer:
        """Answer the command as a node would over HTTP."""
        answer = self.probe.ask(address, codec.decode(body))
        if answer is None:
            raise NoAnswerError("nothing listens at this address")
        assert isinstance(answer, Struct)
        return HttpAnswer(200, codec.encode(answer))

    def command(self, *arguments: str) -> tuple[int, str]:
        output = io.StringIO()
        with (
            mock.patch.object(system_recover.exchange, "__defaults__", (self.post,)),
            mock.patch.object(system_recover.survey, "__defaults__", (self.post,)),
            mock.patch.object(system_recover.force, "__defaults__", (self.post,)),
            mock.patch("pipitledge.cli.system_status._is_address", lambda _text: True),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            code = system.main(["recover", *arguments])
        return code, output.getvalue()

    def lose_promises_in_turn(self) -> None:
        """n1 loses its disk while n2 is cut off; n2 loses its own before it has learned of n1's new disk."""
        network = self.cluster.world.network
        network.isolate("n2")
        self.cluster.world.run_for(0.3)
        for name in ("n1", "n2"):
            self.cluster.machines[name].wipe()
        network.isolate("n1")
        self.cluster.start("n1")
        self.cluster.start("n2")
        self.cluster.world.run_for(4.0)
        network.join_all()
        self.cluster.world.run_for(20.0)

    def test_two_members_lost_their_promises_and_no_view_names_their_disks(self) -> None:
        self.lose_promises_in_turn()
        self.assertEqual(self.cluster.primaries(), [])
        status = self.cluster.replicas["n1"].status()
        self.assertEqual((status["amnesiac"], status["alsoAmnesiac"]), (True, ["n2"]))
        self.assertGreater(int(str(status["recoveryRounds"])), 10)
        code, output = self.command("n0", "n1", "n2")
        self.assertEqual(code, 0)
        self.assertIn("everything acknowledged in the view", output)
        self.cluster.world.run_for(3.0)
        self.assertEqual(self.cluster.primaries(), [], "without --member nothing is forced")
        arguments = [word for name in ("n0", "n1", "n2") for word in ("--member", name)]
        code, output = self.command("n0", "n1", "n2", *arguments)
        self.assertEqual(code, 0, output)
        self.assertEqual(self.cluster.await_primary(5.0), "n0")
        self.assertEqual(self.client.missing(self.cluster.state("n0")), [])
        self.assertTrue(self.client.write_and_wait("n0"))
        self.cluster.await_in_sync({"n0", "n1", "n2"}, 10.0)
        self.invariants.check()

    def test_it_is_refused_while_there_is_a_primary(self) -> None:
        code, output = self.command("n0", "n1", "n2", "--member", "n1")
        self.assertEqual((code, "n0 is primary" in output), (1, True))

    def test_two_of_three_machines_are_lost_for_good(self) -> None:
        for name in ("n0", "n1"):
            self.cluster.machines[name].wipe()
            self.cluster.forget(name)
        self.cluster.world.run_for(10.0)
        self.assertEqual(self.cluster.primaries(), [])
        self.assertEqual(self.command("n2", "--member", "n2")[0], 1)
        code, output = self.command("n2", "--member", "n2", "--lost", "n0", "--lost", "n1")
        self.assertEqual(code, 0, output)
        self.assertEqual(self.cluster.await_primary(5.0), "n2")
        self.assertEqual(self.client.missing(self.cluster.state("n2")), [])
        self.cluster.add("n3")
        self.cluster.start("n3")
        self.cluster.await_in_sync({"n2", "n3"}, 10.0)

    def test_all_disks_are_lost_before_a_restart(self) -> None:
        for machine in self.cluster.machines.values():
            machine.wipe()
        for membership in self.cluster.memberships.values():
            membership.view = None
        self.cluster.start_all()
        self.cluster.world.run_for(30.0)
        self.assertEqual(self.cluster.primaries(), [])
        arguments = [word for name in ("n0", "n1", "n2") for word in ("--member", name)]
        code, output = self.command("n0", "n1", "n2", *arguments)
        self.assertEqual((code, "everything ever acknowledged" in output), (0, True))
        self.client.acknowledged.clear()  # the command reported the loss
        self.cluster.await_primary(5.0)

    def test_a_node_refuses_an_order_from_an_outdated_plan(self) -> None:
        """A primary was elected between the survey and the order: each node checks this by itself."""
        order = RecoveryOrder(view(["n1"]))
        order.view.members = [self.cluster.replicas["n1"]._env.me]
        order.view.epoch = 1 << 40
        for reason, name in (("it is the primary", "n0"), ("lease", "n1"), ("not named", "n2")):
            answer = self.probe.ask(name, order)
            assert isinstance(answer, RecoveryAnswer)
            self.assertEqual((answer.granted, answer.reason), (False, reason))

    def test_failed_rounds_of_recovery_are_logged_from_time_to_time(self) -> None:
        with mock.patch.object(AmnesiaRecovery, "_warn", autospec=True) as warn:
            self.lose_promises_in_turn()
        self.assertIn(warn.call_count, range(2, 20))


if __name__ == "__main__":
    unittest.main()
