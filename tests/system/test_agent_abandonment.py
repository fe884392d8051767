"""Tests that the agent gives no worker instance up before it has reported that nothing can be running there."""

from __future__ import annotations

import random
import unittest

from pipitledge.agent.worker_clock import MIN_CLOCK_RATE
from pipitledge.wire.messages import AgentOrders, AgentReport
from tests.system.agent_worker import HEARTBEAT_S, InstanceModel, LostCall, Site

HOLD_MAX_S = 6.0
EARLIER_LEASES_S = HOLD_MAX_S / MIN_CLOCK_RATE
MISSED_S = 3 * HEARTBEAT_S + 0.5  # without a heartbeat, until the worker counts as one that sends none
REPORT_S = 2.0  # until a report has certainly been sent


class AbandonmentCase(unittest.TestCase):
    """A worker that runs one task, and a primary whose term can change."""

    def setUp(self) -> None:
        self.site = Site(hold_max_ms=1_000.0 * HOLD_MAX_S)
        self.site.settle()
        self.site.order_start("a")
        self.site.run(1.0)
        self.site.primary.starts.clear()
        self.assertIn("a", self.site.worker.instance_model.running)

    def announce_term(self) -> None:
        """A new primary announces itself, without a grant, before it can be asked."""
        primary = self.site.primary
        primary.term += 1
        self.site.push(AgentOrders(term=primary.term, primary="p", address="p:1", instance="i-1"))

    def assert_expiry_reported(self) -> None:
        reports = self.site.primary.reports
        self.assertEqual("i-1", reports[-1].lapsed_instance if reports else "no report")

    def assert_no_expiry_while_running(self) -> None:
        """Check each report from now on."""

        def check(report: object) -> None:
            if self.site.primary.last.lapsed_instance:
                self.assertEqual({}, self.site.worker.instance_model.running)

        self.site.primary.on_report = check


class AfterAnOutageOfThePrimary(AbandonmentCase):
    """A worker is lost while the primary cannot be reached."""

    def test_a_worker_lost_before_the_first_call_of_a_restarted_agent_is_reported(self) -> None:
        """Guards against LOST of review case 5: after one failed call neither calls nor reports of the worker."""
        self.site.primary.reachable = False
        self.site.kill()
        self.site.run(0.5)
        self.site.start()
        self.site.run(HEARTBEAT_S)
        self.site.worker.end()
        self.site.run(MISSED_S)
        self.announce_term()
        self.site.primary.reachable = True
        self.site.run(EARLIER_LEASES_S + REPORT_S)
        self.assert_expiry_reported()

    def test_an_idle_worker_lost_before_a_change_of_the_term_is_reported_without_a_restart_of_the_agent(self) -> None:
        """Guards against the same dead end in an agent that runs on: its last deadline has passed at the first call."""
        self.site.worker.finish("a")
        self.site.run(1.0)
        self.site.primary.reachable = False
        self.site.worker.end()
        self.site.run(HOLD_MAX_S + MISSED_S)
        self.announce_term()
        self.site.primary.reachable = True
        self.site.run(REPORT_S)
        self.assert_expiry_reported()

    def test_a_worker_that_answers_the_second_call_is_not_abandoned(self) -> None:
        """Guards against giving up a worker for a single lost call while its heartbeats are late."""
        self.site.primary.reachable = False
        self.site.kill()
        self.site.run(0.5)
        self.site.start()
        self.site.run(HEARTBEAT_S)
        self.site.worker.heartbeats_delivered = False
        self.site.run(MISSED_S)
        lost = [LostCall()]
        self.site.worker.lose_call = lambda sent: lost.pop() if lost else None
        self.announce_term()
        self.site.primary.reachable = True
        self.site.run(REPORT_S)
        self.assertEqual(self.site.primary.term, self.site.primary.last.hold_fence)
        self.assertEqual("", self.site.primary.last.lapsed_instance)

    def test_calls_to_a_lost_worker_end_once_its_leases_are_reported_as_expired(self) -> None:
        """Guards against the other extreme: a worker that is gone for good is not called for ever."""
        self.site.worker.end()
        self.site.run(HOLD_MAX_S + MISSED_S)
        self.assert_expiry_reported()
        calls = len(self.site.worker.sent)
        self.site.run(20.0)
        self.assertEqual(calls, len(self.site.worker.sent))
        self.assert_expiry_reported()

    def test_a_worker_that_comes_back_to_the_network_is_called_again(self) -> None:
        """Guards against an abandonment that a heartbeat of the same instance does not end."""
        self.site.worker.unreachable = True
        self.site.worker.heartbeats_delivered = False
        self.site.run(HOLD_MAX_S + MISSED_S + REPORT_S)
        self.assert_expiry_reported()
        self.site.worker.unreachable = False
        self.site.worker.heartbeats_delivered = True
        self.site.run(HEARTBEAT_S + REPORT_S)
        self.assertEqual("", self.site.primary.last.lapsed_instance)
        self.site.order_start("b")
        self.site.run(1.0)
        self.assertIn("b", self.site.worker.instance_model.running)


class ReplacedInstance(AbandonmentCase):
    """Another instance has answered a call in the place of the one that the agent knows."""

    def test_a_worker_lost_after_one_answer_of_its_next_instance_is_reported(self) -> None:
        """Guards against a worker that restarts, answers one call and is gone before its first heartbeat."""
        self.site.worker.heartbeats_delivered = False
        self.site.worker.crash(restart_after=0.02)
        self.site.run(3.0)
        self.site.worker.end()
        self.site.run(HOLD_MAX_S + REPORT_S)
        self.assert_expiry_reported()

    def test_nothing_is_reported_as_expired_while_leases_of_the_replaced_instance_may_last(self) -> None:
        """The answer says that the instance has ended; the report still waits for the last deadline it was given."""
        self.site.worker.heartbeats_delivered = False
        self.site.worker.crash(restart_after=0.02)
        self.site.run(3.0)
        self.assertEqual("", self.site.primary.last.lapsed_instance)


class LeavingInstance(AbandonmentCase):
    """A worker announces its exit while leases of an earlier process of its agent may last."""

    def test_a_leaving_worker_has_not_ended_while_leases_of_an_earlier_process_may_last(self) -> None:
        """Guards against TWICE of review case 6: the task runs on under a lease of the process before."""
        self.site.run(0.2)  # so that the next heartbeat comes after the exit was announced
        self.site.kill()
        self.site.worker.lose_call = lambda sent: LostCall()
        self.site.start()
        self.site.run(0.3)
        agent = self.site.agent
        assert agent is not None
        agent.leave("i-1", lambda status, body: None)
        self.site.run(2.0)
        self.assertIn("a", self.site.worker.instance_model.running)
        self.assertNotIn("i-1", [name for report in self.site.primary.reports for name in report.ended_instances])
        self.site.run(EARLIER_LEASES_S + REPORT_S)
        self.assertEqual({}, self.site.worker.instance_model.running)
        self.assertIn("i-1", [name for report in self.site.primary.reports for name in report.ended_instances])

    def test_a_leaving_worker_has_not_ended_while_a_start_of_an_earlier_process_may_be_executed_late(self) -> None:
        """Guards against TWICE by a start that the process before sent, unanswered: no lists show it yet."""
        self.site.worker.finish("a")
        self.site.run(1.0)
        self.site.worker.lose_call = lambda sent: LostCall(2.0) if sent.kind == "run-start" else None
        self.site.order_start("b")
        self.site.run(0.1)
        self.site.kill()
        self.site.primary.starts.clear()
        self.site.start()
        self.site.run(0.3)
        agent = self.site.agent
        assert agent is not None
        agent.leave("i-1", lambda status, body: None)
        self.site.run(2.5)
        self.assertIn("b", self.site.worker.instance_model.running)
        self.assertNotIn("i-1", [name for report in self.site.primary.reports for name in report.ended_instances])
        self.site.worker.finish("b")
        self.site.run(EARLIER_LEASES_S + REPORT_S)
        self.assertIn("i-1", [name for report in self.site.primary.reports for name in report.ended_instances])


class LossAmidTrouble:
    """One drawn order of a restart of the agent, an outage of the primary, a new term and the loss of the worker."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.site = Site(seed, hold_max_ms=1_000.0 * HOLD_MAX_S)
        self.site.worker.lose_call = lambda sent: LostCall() if self.random.random() < self.loss_rate else None
        self.loss_rate = 0.0

    def play(self) -> None:
        """Play all events once, in any order and at any distance, and then end all trouble but the loss."""
        self.site.settle()
        self.site.order_start("a")
        self.site.run(1.0)
        self.loss_rate = self.random.choice((0.0, 0.3))
        events = [self.lose_primary, self.restart_agent, self.lose_worker, self.begin_term]
        if self.random.random() < 0.4:
            events.append(self.announce_exit)
        if self.random.random() < 0.4:
            events.append(lambda: self.site.worker.finish("a"))
        if self.random.random() < 0.4:
            events.append(self.deliver_late_heartbeat)
        self.random.shuffle(events)
        for event in events:
            event()
            self.site.run(self.random.choice((0.01, 0.5, 2.0, MISSED_S, 2 * HOLD_MAX_S)))
        self.site.primary.reachable = True
        self.loss_rate = 0.0
        self.site.run(2 * EARLIER_LEASES_S)

    def lose_primary(self) -> None:
        self.site.primary.reachable = False

    def restart_agent(self) -> None:
        self.site.kill()
        self.site.run(self.random.uniform(0.1, 2.0))
        self.site.start()
        if self.random.random() < 0.8:
            self.site.run(self.random.uniform(0.0, HEARTBEAT_S))

    def lose_worker(self) -> None:
        self.site.worker.end()

    def announce_exit(self) -> None:
        if self.site.agent is not None and self.site.worker.listening:
            self.site.agent.leave("i-1", lambda status, body: None)

    def deliver_late_heartbeat(self) -> None:
        """Deliver the heartbeat of an instance that had ended before the agent started."""
        ended = InstanceModel("i-0", 0.0, sequence=7)
        self.site.worker.deliver(ended, self.site.worker.heartbeat_body(ended))

    def begin_term(self) -> None:
        primary = self.site.primary
        primary.term += 1
        if self.random.random() < 0.7:
            self.site.push(AgentOrders(term=primary.term, primary="p", address="p:1", instance=primary.instance))

    def told(self) -> bool:
        """Whether the primary knows that nothing runs on the worker any more."""
        primary, last = self.site.primary, self.site.primary.last
        ended = [instance for report in primary.reports for instance in report.ended_instances]
        return last.lapsed_instance == "i-1" or "i-1" in ended or self._told_by_lists(last)

    def _told_by_lists(self, last: AgentReport) -> bool:
        """Whether lists of this term show no run, and the start that the primary repeats was refused or has ended."""
        if last.hold_fence != self.site.primary.term or last.running:
            return False
        refused = ("a", 1, "start", "unhealthy") in self.site.primary.results()
        return refused or any(end.task == "a" for report in self.site.primary.reports for end in report.finished)


class DrawnOrders(unittest.TestCase):
    """The same events in drawn orders."""

    def test_a_lost_worker_is_reported_whatever_happened_around_its_loss(self) -> None:
        """Guards against any state of the agent in which it neither calls a lost worker nor reports it."""
        untold = []
        for seed in range(300):
            loss = LossAmidTrouble(seed)
            loss.play()
            if not loss.told():
                untold.append(seed)
        self.assertEqual([], untold)


if __name__ == "__main__":
    unittest.main()
