"""Tests how the agent tells which instance of its worker lives, and when a leaving one has ended."""

from __future__ import annotations

import unittest

from pipitledge.wire.messages import AgentReport
from tests.system.agent_worker import HEARTBEAT_S, InstanceModel, LostCall, Sent, Site

REPORT_S = 2.0  # until a report has certainly been sent
SETTLE_S = 12.0  # until leases and late calls of an earlier process are over


class InstanceCase(unittest.TestCase):
    """A worker and its agent, some time after the agent's start."""

    def setUp(self) -> None:
        self.site = Site()
        self.site.settle()
        self.ended_while_running: list[str] = []
        self.site.primary.on_report = self.check_report

    def check_report(self, report: AgentReport) -> None:
        """Note tasks that run on an instance that is reported as ended or as having no leases."""
        live = self.site.worker.instance_model
        over = {*report.ended_instances, report.lapsed_instance}
        if self.site.worker.listening and live.instance in over:
            self.ended_while_running += live.running

    def assert_no_end_was_reported_too_early(self) -> None:
        self.assertEqual([], self.ended_while_running)

    def start(self, task: str) -> None:
        """Start a task, which the primary orders once."""
        self.site.order_start(task)
        self.site.run(0.5)
        self.site.primary.starts.clear()
        self.assertIn(task, self.site.worker.instance_model.running)

    def leave(self) -> None:
        """Announce the exit; the worker serves on."""
        assert self.site.agent is not None
        self.site.agent.leave(self.site.worker.instance_model.instance, lambda status, body: None)

    def ended(self) -> list[str]:
        """All instances reported as ended."""
        return [name for report in self.site.primary.reports for name in report.ended_instances]

    def first_report(self, instance: str) -> int:
        """The number of the first report that tells the end of that instance."""
        return next(r.number for r in self.site.primary.reports if instance in r.ended_instances)


class LateHeartbeat(InstanceCase):
    """A heartbeat of an ended instance that comes when the next one is at work (review case 1)."""

    def restart_worker(self) -> InstanceModel:
        """Have the worker start, send one heartbeat that is under way for long, crash, and start again."""
        worker = self.site.worker
        worker.heartbeats_delivered = False
        worker.crash(restart_after=0.2)
        self.site.run(0.5)
        unseen = worker.instance_model
        worker.heartbeats_delivered = True
        worker.crash(restart_after=0.2)
        self.site.run(1.0)
        self.assertEqual("i-3", worker.instance_model.instance)
        return unseen

    def deliver_late(self, unseen: InstanceModel) -> None:
        unseen.sequence += 1
        self.site.worker.deliver(unseen, self.site.worker.heartbeat_body(unseen))

    def assert_serves(self, instance: str) -> None:
        """The worker is reported as that instance, and gets work."""
        last = self.site.primary.last
        self.assertEqual(instance, last.worker and last.worker.instance)
        self.start("later")

    def test_it_does_not_end_the_living_instance(self) -> None:
        """Guards against TWICE of review case 1: the living instance was reported as ended for good."""
        unseen = self.restart_worker()
        self.start("a")
        self.deliver_late(unseen)
        self.site.run(2 * HEARTBEAT_S)
        self.assert_no_end_was_reported_too_early()
        self.assertIn("a", self.site.worker.instance_model.running)
        self.assertNotIn("i-3", self.ended())
        self.assert_serves("i-3")

    def test_it_does_not_end_the_living_instance_after_a_restart_of_the_agent(self) -> None:
        """Guards against the same after the agent has forgotten which instances have ended."""
        unseen = self.restart_worker()
        self.start("a")
        self.site.kill()
        self.site.start()
        self.site.run(HEARTBEAT_S + 0.1)
        self.deliver_late(unseen)
        self.site.run(2 * HEARTBEAT_S)
        self.assert_no_end_was_reported_too_early()
        self.assertNotIn("i-3", self.ended())
        self.assert_serves("i-3")

    def test_it_may_be_the_first_that_a_restarted_agent_gets(self) -> None:
        """Guards against ending the instance that the primary names, for a heartbeat that nothing confirms."""
        unseen = self.restart_worker()
        self.start("a")
        self.site.kill()
        self.site.start()
        self.deliver_late(unseen)
        self.site.run(2 * HEARTBEAT_S)
        self.assert_no_end_was_reported_too_early()
        self.assertNotIn("i-3", self.ended())
        self.assert_serves("i-3")

    def test_the_living_instance_is_reported_when_it_is_lost_after_it(self) -> None:
        """Guards against LOST: a restarted agent knows the late instance alone, and asks for no other."""
        unseen = self.restart_worker()
        self.start("a")
        self.site.kill()
        self.site.worker.end()
        self.site.start()
        self.deliver_late(unseen)
        self.site.run(SETTLE_S)
        told = {report.lapsed_instance for report in self.site.primary.reports} | set(self.ended())
        self.assertIn("i-3", told)

    def test_a_new_instance_whose_first_call_is_lost_is_called_again(self) -> None:
        """Guards against a new instance that is never confirmed, and so never gets work."""
        lost = [LostCall(), LostCall()]

        def lose(sent: Sent) -> LostCall | None:
            return lost.pop() if sent.instance == "i-2" and lost else None

        self.site.worker.lose_call = lose
        self.site.worker.crash(restart_after=0.2)
        self.site.run(4 * HEARTBEAT_S)
        self.assertEqual([], lost)
        self.assertIn("i-1", self.ended())
        self.assert_serves("i-2")

    def test_a_new_instance_that_leaves_before_it_was_confirmed_gets_no_start(self) -> None:
        """Guards against work for a worker whose exit was announced and acknowledged."""
        self.site.worker.lose_call = lambda sent: LostCall() if sent.instance == "i-2" else None
        self.site.worker.crash(restart_after=0.2)
        self.site.run(0.3)
        self.leave()
        self.site.worker.lose_call = lambda sent: None
        self.site.run(2 * HEARTBEAT_S)
        self.site.primary.instance = "i-2"
        self.site.order_start("b")
        self.site.run(REPORT_S)
        self.assertEqual([], [run.task for run in self.site.worker.started_runs])


class OpenOrders(InstanceCase):
    """A worker that leaves with orders unanswered (review case 2)."""

    def test_a_start_that_is_executed_late_is_stopped_before_the_end_is_reported(self) -> None:
        """Guards against TWICE of review case 2: the start was reported as gone, and the run began seconds later."""
        self.site.worker.lose_call = lambda sent: LostCall(2.5) if sent.kind == "run-start" else None
        self.site.order_start("a")
        self.site.run(0.1)
        self.leave()
        self.site.run(5.0)
        self.assert_no_end_was_reported_too_early()
        self.assertEqual([], [run.task for run in self.site.worker.started_runs])
        self.assertIn("i-1", self.ended())
        self.assertIn("draining", [outcome for _, _, _, outcome in self.site.primary.results()])

    def test_a_start_that_has_begun_before_it_is_stopped_is_waited_for(self) -> None:
        """Guards against the same where the late start comes before the stop."""
        self.site.worker.lose_call = lambda sent: LostCall(0.3) if sent.kind == "run-start" else None
        self.site.order_start("a")
        self.site.run(0.1)
        self.leave()
        self.site.run(SETTLE_S)
        self.assert_no_end_was_reported_too_early()
        self.assertIn("i-1", self.ended())

    def test_a_leaving_worker_that_answers_nothing_ends_with_its_leases(self) -> None:
        """Guards against waiting for ever for the answer to a stop."""
        self.site.worker.lose_call = lambda sent: LostCall(1.0) if sent.kind == "run-start" else LostCall()
        self.site.order_start("a")
        self.site.run(0.1)
        self.leave()
        self.site.run(SETTLE_S)
        self.assert_no_end_was_reported_too_early()
        self.assertIn("i-1", self.ended())


class LastEnds(InstanceCase):
    """Ended runs that a leaving worker lists (review case 3)."""

    def check_end_came_first(self) -> None:
        end = next(r.number for r in self.site.primary.reports if any(e.task == "a" for e in r.finished))
        self.assertLess(end, self.first_report("i-1"))

    def test_the_last_end_is_reported_and_acknowledged_before_the_end_of_the_instance(self) -> None:
        """Guards against TWICE of review case 3: the end was dropped, and the finished task started again."""
        self.start("a")
        self.leave()
        self.site.run(3.0)
        self.site.worker.finish("a")
        self.site.run(REPORT_S)
        self.check_end_came_first()
        self.assertEqual(1, self.site.worker.calls_of_kind("hold")[-1].body["lastSeen"])
        calls = len(self.site.worker.sent)
        self.site.run(5.0)
        self.assertEqual(calls, len(self.site.worker.sent))

    def test_the_last_end_is_reported_although_the_worker_has_gone_meanwhile(self) -> None:
        """Guards against losing an end that was listed while the primary could not be reached."""
        self.start("a")
        self.leave()
        self.site.primary.reachable = False
        self.site.worker.finish("a")
        self.site.run(0.5)
        self.site.worker.end()
        self.site.run(2.0)
        self.site.primary.reachable = True
        self.site.run(2 * REPORT_S)
        self.check_end_came_first()

    def test_a_worker_without_ends_that_has_gone_is_reported_at_once(self) -> None:
        """Guards against a wait for acknowledgements where there is nothing to acknowledge."""
        self.start("a")
        self.leave()
        self.site.worker.end()
        self.site.run(REPORT_S)
        self.assertIn("i-1", self.ended())


if __name__ == "__main__":
    unittest.main()
