"""Recovery by hand: when it is refused, what it tells, and the states that only it ends."""

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

    def test_it_is_refused_while_a_quorum_can_still_be_had(self) -> None:
        whole = view(["n0", "n1", "n2"])
        two = [state(0, whole, sequence=5), state(1, whole, sequence=5)]
        self.assertIn("quorum", self.refusal(two, ["n0", "n1"], ("n2",)))
        one_forgot = [*two, state(2, amnesiac=True)]
        self.assertIn("quorum", self.refusal(one_forgot, ["n0", "n1", "n2"]))

    def test_it_is_refused_while_a_primary_may_be_there(self) -> None:
        states = [state(0, view(["n0"]), sequence=5), state(1, amnesiac=True), state(2, amnesiac=True)]
        states[0].leads = True
        self.assertIn("n0 leads", self.refusal(states, ["n0"]))
        states[0].leads, states[1].hears_primary = False, True
        self.assertIn("n1 has heard", self.refusal(states, ["n0"]))

    def test_members_have_to_answer_and_all_others_to_be_called_lost(self) -> None:
        states = [state(0, view(["n0", "n1"]), sequence=5), state(1, amnesiac=True)]
        self.assertIn("n2 did not answer, and is not said", self.refusal(states, ["n0", "n1"]))
        self.assertIn("n2 did not answer, so", self.refusal(states, ["n0", "n2"], ("n2",)))
        self.assertIn("n1 answered, so", self.refusal(states, ["n0"], ("n1", "n2")))
        self.assertIn("no new member", self.refusal(states, [], ("n2",)))

    def test_the_one_that_holds_most_leads_above_all_that_was_promised(self) -> None:
        states = [state(0, amnesiac=True), state(1, view(["n0", "n1"]), sequence=5), state(2, amnesiac=True)]
        plan = self.plan(states, ["n0", "n1", "n2"])
        self.assertEqual((plan.view.primary, plan.view.in_sync), ("n1", ["n1"]))
        self.assertEqual([member.disk_id for member in plan.view.members], [100, 2, 102])
        self.assertGreater(plan.view.epoch, EPOCH + 1_000_000)
        self.assertIn("all that was acknowledged in the view", plan.loss)

    def test_what_is_lost_is_told(self) -> None:
        behind = [state(0, view(["n1", "n2"]), sequence=3), state(1, amnesiac=True), state(2, amnesiac=True)]
        self.assertIn("after these is lost", self.plan(behind, ["n0", "n1", "n2"]).loss)
        ahead = [state(0, view(["n2"]), sequence=3), state(1, view(["n2"]), sequence=7)]
        self.assertIn("n1 holds later ones", self.plan(ahead, ["n0"], ("n2",)).loss)
        nothing = [state(index, amnesiac=True) for index in range(3)]
        self.assertIn("all that was ever", self.plan(nothing, ["n0", "n1", "n2"]).loss)
        later = self.plan([state(0, view(["n0", "n1", "n2"]), sequence=3)], ["n0"], ("n1", "n2")).loss
        self.assertIn("unless n1, n2 went on in a later view", later)


class EndsByHandTest(unittest.TestCase):
    """The states that do not end by themselves, ended by the command over a group in virtual time."""

    def setUp(self) -> None:
        self.cluster = Cluster(3)
        self.cluster.found()
        self.client = Client(self.cluster)
        self.invariants = Invariants(self.cluster, self.client)
        self.assertTrue(self.client.write_and_wait("n0"))
        self.cluster.world.run_for(1.0)
        self.probe = Probe(self.cluster)

    def post(self, address: str, body: bytes) -> HttpAnswer:
        """What the command would get over HTTP."""
        answer = self.probe.ask(address, codec.decode(body))
        if answer is None:
            raise NoAnswerError("nothing listens there")
        assert isinstance(answer, Struct)
        return HttpAnswer(200, codec.encode(answer))

    def command(self, *arguments: str) -> tuple[int, str]:
        told = io.StringIO()
        with (
            mock.patch.object(system_recover.exchange, "__defaults__", (self.post,)),
            mock.patch.object(system_recover.survey, "__defaults__", (self.post,)),
            mock.patch.object(system_recover.force, "__defaults__", (self.post,)),
            mock.patch("pipitledge.cli.system_status._is_address", lambda _text: True),
            contextlib.redirect_stdout(told),
            contextlib.redirect_stderr(told),
        ):
            code = system.main(["recover", *arguments])
        return code, told.getvalue()

    def lose_promises_in_turn(self) -> None:
        """n1 loses its disk while n2 is cut off, n2 loses its own before anybody has told it of n1's new one."""
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

    def test_two_members_without_promises_that_no_view_names(self) -> None:
        self.lose_promises_in_turn()
        self.assertEqual(self.cluster.primaries(), [])
        status = self.cluster.replicas["n1"].status()
        self.assertEqual((status["amnesiac"], status["alsoAmnesiac"]), (True, ["n2"]))
        self.assertGreater(int(str(status["recoveryRounds"])), 10)
        code, told = self.command("n0", "n1", "n2")
        self.assertEqual(code, 0)
        self.assertIn("all that was acknowledged in the view", told)
        self.cluster.world.run_for(3.0)
        self.assertEqual(self.cluster.primaries(), [], "without --member it only tells")
        arguments = [word for name in ("n0", "n1", "n2") for word in ("--member", name)]
        code, told = self.command("n0", "n1", "n2", *arguments)
        self.assertEqual(code, 0, told)
        self.assertEqual(self.cluster.await_primary(5.0), "n0")
        self.assertEqual(self.client.missing(self.cluster.state("n0")), [])
        self.assertTrue(self.client.write_and_wait("n0"))
        self.cluster.await_in_sync({"n0", "n1", "n2"}, 10.0)
        self.invariants.check()

    def test_it_is_refused_where_a_primary_leads(self) -> None:
        code, told = self.command("n0", "n1", "n2", "--member", "n1")
        self.assertEqual((code, "n0 leads" in told), (1, True))

    def test_two_of_three_machines_gone_for_good(self) -> None:
        for name in ("n0", "n1"):
            self.cluster.machines[name].wipe()
            self.cluster.forget(name)
        self.cluster.world.run_for(10.0)
        self.assertEqual(self.cluster.primaries(), [])
        self.assertEqual(self.command("n2", "--member", "n2")[0], 1)
        code, told = self.command("n2", "--member", "n2", "--lost", "n0", "--lost", "n1")
        self.assertEqual(code, 0, told)
        self.assertEqual(self.cluster.await_primary(5.0), "n2")
        self.assertEqual(self.client.missing(self.cluster.state("n2")), [])
        self.cluster.add("n3")
        self.cluster.start("n3")
        self.cluster.await_in_sync({"n2", "n3"}, 10.0)

    def test_all_disks_gone_at_one_start(self) -> None:
        for machine in self.cluster.machines.values():
            machine.wipe()
        for membership in self.cluster.memberships.values():
            membership.view = None
        self.cluster.start_all()
        self.cluster.world.run_for(30.0)
        self.assertEqual(self.cluster.primaries(), [])
        arguments = [word for name in ("n0", "n1", "n2") for word in ("--member", name)]
        code, told = self.command("n0", "n1", "n2", *arguments)
        self.assertEqual((code, "all that was ever acknowledged" in told), (0, True))
        self.client.acknowledged.clear()  # told to be lost
        self.cluster.await_primary(5.0)

    def test_a_node_takes_no_order_from_a_plan_that_time_has_passed(self) -> None:
        """A primary was elected between the look and the order: each node sees to it by itself."""
        order = RecoveryOrder(view(["n1"]))
        order.view.members = [self.cluster.replicas["n1"]._env.me]
        order.view.epoch = 1 << 40
        for reason, name in (("it leads", "n0"), ("lease", "n1"), ("not named", "n2")):
            answer = self.probe.ask(name, order)
            assert isinstance(answer, RecoveryAnswer)
            self.assertEqual((answer.granted, answer.reason), (False, reason))

    def test_a_round_of_questions_in_vain_is_told_now_and_then(self) -> None:
        with mock.patch.object(AmnesiaRecovery, "_warn", autospec=True) as warn:
            self.lose_promises_in_turn()
        self.assertIn(warn.call_count, range(2, 20))


if __name__ == "__main__":
    unittest.main()
