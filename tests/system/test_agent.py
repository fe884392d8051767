"""Tests the agent against models of its worker and of the primary, in virtual time."""

from __future__ import annotations

import json
import unittest
from typing import Any

from pipitledge.agent.response_times import SHORTEST_TIMEOUT_S
from pipitledge.wire.messages import AgentOrders, AgentReport, StartOrder
from tests.system.agent_worker import HEARTBEAT_S, LostCall, Sent, Site

TICK = 0.0005
NEVER_EXECUTED = LostCall()


def first_calls(kind: str, count: int, loss: LostCall) -> Any:
    """Lose the first `count` calls of that kind."""
    left = [count]

    def lose_call(sent: Sent) -> LostCall | None:
        if sent.kind != kind or not left[0]:
            return None
        left[0] -= 1
        return loss

    return lose_call


class Heartbeats(unittest.TestCase):
    def setUp(self) -> None:
        self.site = Site()
        self.answers: list[tuple[int, bytes]] = []

    def send_heartbeat(self, instance: str, **fields: object) -> None:
        body = {"service": "s", "state": "ready", "sequence": 100, **fields}
        self.deliver(instance, json.dumps(body).encode())

    def deliver(self, instance: str, body: bytes) -> None:
        assert self.site.agent is not None
        self.site.agent.heartbeat(instance, body, lambda status, answer: self.answers.append((status, answer)))

    def test_all_fields_of_a_heartbeat_are_reported(self) -> None:
        self.site.settle()
        worker = self.site.primary.last.worker
        assert worker is not None
        self.assertEqual(("i-1", "s", 8, "ready"), (worker.instance, worker.service, worker.slots, worker.state))
        self.assertEqual((16000, 32768, 0), (worker.cpu, worker.memory_mb, worker.gpu))
        self.assertEqual((["a", "r1-3"], -1), (worker.labels, worker.remaining_ms))

    def test_a_malformed_heartbeat_is_refused_with_the_path_of_the_field_and_changes_nothing(self) -> None:
        self.site.settle()
        before = self.site.primary.last.worker
        self.send_heartbeat("i-9", capacity={"cpu": "many"})
        self.deliver("i-9", b"{")
        self.site.run(2.0)
        self.assertEqual([400, 400], [status for status, _ in self.answers])
        self.assertIn("$.capacity.cpu", json.loads(self.answers[0][1])["error"])
        after = self.site.primary.last.worker
        assert before is not None and after is not None
        self.assertEqual(before.instance, after.instance)

    def test_a_late_heartbeat_is_acknowledged_and_changes_nothing(self) -> None:
        self.site.settle()
        self.send_heartbeat("i-1", slots=5, sequence=50)
        self.send_heartbeat("i-1", slots=7, sequence=49)
        self.site.run(HEARTBEAT_S)
        self.assertEqual([(200, b"{}")] * 2, self.answers)
        assert self.site.primary.last.worker is not None
        self.assertEqual(5, self.site.primary.last.worker.slots)

    def test_a_new_instance_is_reported_at_once_and_the_end_of_the_old_one_until_a_report_is_answered(self) -> None:
        self.site.settle()
        self.site.primary.reachable = False
        self.site.worker.crash(restart_after=0.2)
        self.site.run(4.0)
        self.site.primary.reachable = True
        self.site.run(2.1)
        ended = [report for report in self.site.primary.reports if report.ended_instances]
        self.assertEqual(["i-1"], ended[0].ended_instances)
        self.assertEqual("i-2", ended[0].worker and ended[0].worker.instance)
        self.assertEqual(1, len(ended))
        self.site.worker.crash(restart_after=0.2)
        self.site.run(0.22)
        self.assertIn(["i-2"], [report.ended_instances for report in self.site.primary.reports])

    def test_a_delayed_heartbeat_of_an_ended_instance_does_not_make_it_current(self) -> None:
        self.site.settle()
        self.site.worker.crash(restart_after=0.2)
        self.site.run(0.5)
        self.send_heartbeat("i-1", sequence=1000)
        self.site.run(3.0)
        self.assertEqual((200, b"{}"), self.answers[-1])
        assert self.site.primary.last.worker is not None
        self.assertEqual("i-2", self.site.primary.last.worker.instance)
        self.assertFalse(any("i-2" in report.ended_instances for report in self.site.primary.reports))

    def test_a_new_instance_gets_the_fencing_token_and_only_its_own_acknowledgements(self) -> None:
        self.site.settle()
        self.site.order_start("a")
        self.site.run(1.0)
        self.site.worker.finish("a")
        self.site.run(1.0)
        self.site.primary.starts.clear()
        self.site.worker.crash(restart_after=0.2)
        self.site.run(1.0)
        hold = self.site.worker.calls_of_kind("hold")[-1]
        self.assertEqual(("i-2", 5, 0), (hold.instance, hold.body["fenceToken"], hold.body["lastSeen"]))

    def test_no_calls_are_sent_to_an_instance_after_another_instance_answered_in_its_place(self) -> None:
        self.site.settle()
        self.site.order_start("running")
        self.site.run(0.5)
        self.site.primary.starts.clear()
        self.site.worker.heartbeats_delivered = False
        self.site.worker.crash(restart_after=0.2)
        self.site.run(3.5)
        self.site.order_start("a")
        self.site.order_start("b")
        self.site.run(1.0)
        self.assertEqual(["running"], [run.task for run in self.site.worker.started_runs])
        gone = {task for task, _, _, outcome in self.site.primary.results() if outcome == "gone"}
        self.assertEqual({"a", "b"}, gone)
        calls = len(self.site.worker.sent)
        self.site.run(3.0)
        self.assertEqual(calls, len(self.site.worker.sent))
        self.assertEqual([], self.site.primary.last.ended_instances)
        self.site.worker.heartbeats_delivered = True
        self.site.run(HEARTBEAT_S + 0.1)
        self.assertTrue(any("i-1" in report.ended_instances for report in self.site.primary.reports))


class Draining(unittest.TestCase):
    def setUp(self) -> None:
        self.site = Site()
        self.site.settle()

    def test_no_start_is_sent_after_draining_is_acknowledged(self) -> None:
        self.site.worker.drain()
        self.site.run(0.01)
        self.assertIsNotNone(self.site.worker.instance_model.draining_acknowledged_at)
        self.site.order_start("a")
        self.site.run(1.0)
        self.assertEqual([], self.site.worker.calls_of_kind("run-start"))
        self.assertEqual([("a", 1, "start", "draining")], self.site.primary.results())
        self.assertEqual("draining", self.site.primary.last.worker and self.site.primary.last.worker.state)
        self.assertEqual(2000, self.site.primary.last.worker and self.site.primary.last.worker.remaining_ms)

    def test_draining_is_reported_at_once(self) -> None:
        self.site.worker.drain()
        self.site.run(0.02)
        self.assertEqual("draining", self.site.primary.last.worker and self.site.primary.last.worker.state)

    def test_queued_starts_are_refused_when_the_worker_drains(self) -> None:
        self.site.worker.lose_call = lambda sent: NEVER_EXECUTED if sent.kind == "run-start" else None
        for task in "abcdef":
            self.site.order_start(task)
        self.site.run(0.1)
        self.site.worker.drain()
        self.site.run(0.05)
        refused = {task for task, _, order, outcome in self.site.primary.results() if outcome == "draining"}
        self.assertEqual({"e", "f"}, refused)

    def test_a_start_that_may_still_be_executed_is_stopped_before_it_is_refused(self) -> None:
        self.site.worker.lose_call = first_calls("run-start", 1, LostCall(executed_after_s=4.0))
        self.site.order_start("a")
        self.site.run(0.1)
        self.site.worker.drain()
        self.site.run(6.0)
        self.assertEqual([("a", 1, "start", "draining")], self.site.primary.results())
        self.assertEqual(1, len(self.site.worker.calls_of_kind("run-start")))
        self.assertEqual(1, len(self.site.worker.calls_of_kind("run-stop")))
        self.assertEqual([], self.site.worker.started_runs)

    def test_task_leases_of_a_draining_worker_are_renewed(self) -> None:
        self.site.order_start("a")
        self.site.run(0.5)
        self.site.worker.drain()
        self.site.run(9.0)
        self.assertIn("a", self.site.worker.instance_model.running)

    def test_an_instance_that_announced_its_exit_has_ended_when_connections_are_refused(self) -> None:
        self.site.order_start("a")
        self.site.run(0.5)
        self.site.worker.drain()
        self.site.run(1.0)
        self.site.worker.leave()
        self.site.run(0.04)
        self.assertEqual([], [report for report in self.site.primary.reports if report.ended_instances])
        self.site.run(4.0)
        ended = [report for report in self.site.primary.reports if report.ended_instances]
        self.assertEqual(["i-1"], ended[0].ended_instances)
        self.assertIsNone(ended[0].worker)

    def test_an_idle_instance_that_announced_its_exit_has_ended_at_once(self) -> None:
        self.site.worker.leave()
        self.site.run(0.02)
        self.assertEqual(["i-1"], self.site.primary.last.ended_instances)

    def test_an_unreachable_instance_that_announced_its_exit_has_ended_when_its_leases_have_expired(self) -> None:
        self.site.order_start("a")
        self.site.run(0.5)
        self.site.worker.unreachable = True
        assert self.site.agent is not None
        self.site.agent.leave("i-1", lambda status, body: None)
        self.site.run(3.0)
        self.assertFalse(any(report.ended_instances for report in self.site.primary.reports))
        self.site.primary.reachable = False
        self.site.run(12.0)
        self.site.primary.reachable = True
        self.site.run(2.1)
        self.assertTrue(any(report.ended_instances == ["i-1"] for report in self.site.primary.reports))


class TaskLeases(unittest.TestCase):
    def holds(self, site: Site) -> list[Sent]:
        return site.worker.calls_of_kind("hold")

    def test_an_idle_worker_gets_a_single_hold_call(self) -> None:
        site = Site()
        site.settle()
        site.run(30.0)
        self.assertEqual(1, len(site.worker.sent))

    def test_tasks_are_kept_running_with_few_hold_calls(self) -> None:
        for rate in (0.98, 1.0):
            for hold_max_ms, most_holds in ((3000.0, 90), (6000.0, 38), (10000.0, 33)):
                with self.subTest(rate=rate, hold_max_ms=hold_max_ms):
                    site = Site(rate=rate, hold_max_ms=hold_max_ms, grant_ms=int(hold_max_ms))
                    site.settle()
                    site.order_start("a")
                    site.run(60.0)
                    self.assertIn("a", site.worker.instance_model.running)
                    self.assertLess(len(self.holds(site)), most_holds)

    def test_a_task_keeps_running_though_a_poll_gets_no_answer(self) -> None:
        site = Site(rate=1.0)
        site.settle()
        site.order_start("a")
        lost = [0]

        def lose_call(sent: Sent) -> LostCall | None:
            if sent.kind == "hold" and sent.body.get("waitMs", 0):
                lost[0] += 1
                return NEVER_EXECUTED if lost[0] % 2 else None
            return None

        site.worker.lose_call = lose_call
        site.run(40.0)
        self.assertGreater(lost[0], 8)
        self.assertIn("a", site.worker.instance_model.running)

    def test_a_new_grant_renews_a_short_deadline_beside_the_poll(self) -> None:
        site = Site(rate=1.0)
        site.settle()
        site.order_start("a")
        site.primary.grant_ms = 0
        site.run(5.0)  # meanwhile no deadline can be extended
        site.primary.grant_ms = 6000
        site.run(3.0)
        self.assertIn("a", site.worker.instance_model.running)

    def test_without_the_primary_task_leases_expire_by_the_end_of_the_grant(self) -> None:
        site = Site()
        site.settle()
        site.order_start("a")
        site.run(3.0)
        site.primary.reachable = False
        site.run(20.0)
        self.assertEqual([], list(site.worker.instance_model.running))
        agent_clock = site.machine.clock_offset
        instance_model = site.worker.instance_model
        for hold in site.worker.sent:
            if "deadlineMs" in hold.body:
                until = site.worker.time_of(instance_model, hold.body["deadlineMs"]) + agent_clock
                self.assertLessEqual(until, site.primary.granted_until + 0.001)
        site.primary.reachable = True
        site.run(3.0)
        ends = [(end.task, end.how) for report in site.primary.reports for end in report.finished]
        self.assertIn(("a", "lapsed"), ends)

    def test_without_the_primary_unacknowledged_ended_runs_cause_few_hold_calls(self) -> None:
        site = Site()
        site.settle()
        site.order_start("a")
        site.order_start("b")
        site.run(1.0)
        site.primary.reachable = False
        site.worker.finish("a")
        before = len(self.holds(site))
        site.run(10.0)
        self.assertLess(len(self.holds(site)) - before, 12)

    def test_an_ended_run_is_reported_at_once_and_until_it_is_acknowledged(self) -> None:
        site = Site()
        site.settle()
        site.order_start("a")
        site.order_start("b")
        site.run(1.0)
        site.primary.acknowledges = False
        site.worker.finish("a")
        site.run(0.02)
        self.assertEqual([(1, "a", "done")], [(end.number, end.task, end.how) for end in site.primary.last.finished])
        site.run(3.0)
        self.assertEqual([1], [end.number for end in site.primary.last.finished])
        self.assertEqual({0}, {hold.body["lastSeen"] for hold in self.holds(site)})
        site.primary.acknowledges = True
        site.run(4.0)
        self.assertEqual([], site.primary.last.finished)
        self.assertEqual(1, self.holds(site)[-1].body["lastSeen"])

    def test_an_ended_run_is_no_longer_reported_as_running(self) -> None:
        site = Site()
        site.settle()
        site.order_start("a")
        site.order_start("b")
        site.run(2.5)
        site.worker.finish("a")
        site.run(1.0)
        for report in site.primary.reports:
            ended = {(end.task, end.run) for end in report.finished}
            self.assertFalse(ended & {(entry.task, entry.run) for entry in report.running})
        self.assertEqual(["b"], [entry.task for entry in site.primary.last.running])

    def test_more_ended_runs_than_fit_in_one_answer_are_all_fetched(self) -> None:
        site = Site()
        site.settle()
        instance_model = site.worker.instance_model
        instance_model.ends = [(number, f"t{number}", 1, "done", "") for number in range(1, 1201)]
        instance_model.next_end = 1201
        site.primary.term = 6
        site.run(5.0)
        reported = {end.number for report in site.primary.reports for end in report.finished}
        self.assertEqual(1200, len(reported))

    def test_the_worker_gets_the_fencing_token_of_a_new_term_before_the_first_report_of_the_term(self) -> None:
        site = Site()
        site.settle()
        site.order_start("a")
        site.run(1.0)
        site.worker.answer_delay = lambda sent: 0.05
        site.primary.term = 8
        site.push()
        site.run(0.1)
        fenced = [hold for hold in self.holds(site) if hold.body["fenceToken"] == 8]
        self.assertEqual(1, len(fenced))
        self.assertNotIn("waitMs", fenced[0].body)
        of_term = [report for report in site.primary.reports if report.term == 8]
        self.assertEqual(8, of_term[0].hold_fence)
        self.assertEqual(8, site.worker.instance_model.fence)

    def test_the_first_report_of_a_term_does_not_wait_long_for_a_silent_worker(self) -> None:
        site = Site()
        site.settle()
        site.worker.unreachable = True
        site.primary.term = 8
        site.push()
        site.run(0.4)
        of_term = [report for report in site.primary.reports if report.term == 8]
        self.assertEqual([5], [report.hold_fence for report in of_term])

    def test_lists_of_an_earlier_call_do_not_replace_newer_ones_but_their_ended_runs_count(self) -> None:
        site = Site()
        site.settle()
        site.order_start("a")
        site.order_start("b")
        site.run(0.1)
        polled = self.holds(site)[-1]
        self.assertIn("waitMs", polled.body)
        site.worker.answer_delay = lambda sent: 0.5 if sent is polled else 0.001
        site.worker.finish("a")  # makes the worker answer the poll, but the answer is delayed
        site.primary.term = 8
        site.worker.instance_model.running["c"] = site.worker.instance_model.running["b"].__class__("c", 1)
        site.push()
        site.run(0.2)
        newer = site.primary.last
        self.assertEqual(["b", "c"], [entry.task for entry in newer.running])
        site.run(1.4)
        self.assertEqual(["b", "c"], [entry.task for entry in site.primary.last.running])
        numbers = [report.hold_number for report in site.primary.reports]
        self.assertEqual(sorted(numbers), numbers)
        self.assertTrue(any(end.task == "a" for report in site.primary.reports for end in report.finished))

    def test_a_silent_worker_is_reported_and_called_at_a_bounded_rate(self) -> None:
        site = Site()
        site.settle()
        site.order_start("a")
        site.run(1.0)
        site.worker.unreachable = True
        before = len(site.worker.sent)
        site.run(20.0)
        self.assertGreater(site.primary.last.silent_ms, 14000)
        self.assertLess(len(site.worker.sent) - before, 16)
        site.worker.unreachable = False
        site.run(4.0)
        self.assertEqual(0, site.primary.last.silent_ms)

    def test_silence_is_reported_when_it_begins(self) -> None:
        site = Site()
        site.settle()
        site.worker.unreachable = True
        site.order_start("a")
        site.run(0.65)
        reported_at = next(
            when
            for when, report in zip(site.primary.report_times, site.primary.reports, strict=True)
            if report.silent_ms >= int(SHORTEST_TIMEOUT_S * 1_000)
        )
        self.assertLess(reported_at, site.world.time - 0.15)

    def test_a_poll_that_fails_after_a_later_call_was_answered_does_not_delay_other_calls(self) -> None:
        site = Site()
        site.settle()
        site.worker.lose_call = lambda sent: NEVER_EXECUTED if sent.body.get("waitMs", 0) else None
        site.order_start("a")
        site.run(0.5)
        site.worker.finish("a")
        site.order_stop("absent")  # causes a refresh, which shows that nothing is running
        site.run(4.0)
        site.order_start("b")
        site.run(0.1)
        self.assertIn("b", site.worker.instance_model.running)

    def test_a_silent_worker_gets_no_new_deadlines_so_that_its_leases_certainly_expire(self) -> None:
        for dies in (False, True):
            with self.subTest(dies=dies):
                site = Site(rate=1.0)
                running_counts: list[int] = []

                def check(report: AgentReport, site: Site = site, counts: list[int] = running_counts) -> None:
                    if report.lapsed_instance:
                        counts.append(len(site.worker.instance_model.running))

                site.primary.on_report = check
                site.settle()
                site.order_start("a")
                site.run(3.0)
                if dies:
                    site.worker.end()
                else:
                    site.worker.unreachable = True
                silent_at = site.world.time
                site.order_start("b")
                site.run(12.0)
                reports = [
                    (when, report)
                    for when, report in zip(site.primary.report_times, site.primary.reports, strict=True)
                    if report.lapsed_instance
                ]
                self.assertEqual("i-1", reports[0][1].lapsed_instance)
                self.assertLess(reports[0][0], silent_at + 9.0)
                self.assertEqual({0}, set(running_counts))
                site.worker.unreachable = False
                site.run(3.0)
                self.assertEqual("i-1" if dies else "", site.primary.last.lapsed_instance)

    def test_orders_sent_before_expired_leases_were_reported_start_nothing_afterwards(self) -> None:
        site = Site()
        site.settle()
        site.order_start("a")
        site.run(0.5)
        site.worker.unreachable = True
        site.run(4.0)
        site.order_start("b")
        site.run(8.0)
        site.primary.starts.clear()
        site.run(1.5)
        site.worker.unreachable = False
        site.run(3.0)
        expiry_report = max(report.number for report in site.primary.reports if report.lapsed_instance)
        late = [StartOrder("c", 1, "text")]
        site.push(AgentOrders(term=5, instance="i-1", report_number=expiry_report - 1, starts=late))
        site.run(1.0)
        self.assertEqual(["a"], [run.task for run in site.worker.started_runs])
        site.push(AgentOrders(term=5, instance="i-1", report_number=expiry_report, starts=late))
        site.run(1.0)
        self.assertEqual(["a", "c"], [run.task for run in site.worker.started_runs])

    def test_the_end_of_an_instance_is_reported_again_to_a_primary_that_believes_it_alive(self) -> None:
        site = Site()
        site.settle()
        site.worker.end()
        site.agent.leave("i-1", lambda status, body: None)
        site.run(6.0)
        self.assertTrue(any("i-1" in report.ended_instances for report in site.primary.reports))
        received = len(site.primary.reports)
        site.push(AgentOrders(term=6, instance="i-1", report_number=site.primary.last_report_number()))
        site.primary.term = 6
        site.run(3.0)
        self.assertTrue(any("i-1" in report.ended_instances for report in site.primary.reports[received:]))

    def test_orders_delayed_by_a_partition_longer_than_the_grant_start_nothing_afterwards(self) -> None:
        site = Site()
        site.settle()
        site.primary.reachable = False
        delayed = site.primary.orders()
        delayed.starts = [StartOrder("c", 1, "text")]
        site.run(site.primary.grant_ms / 1000.0 + 1.0)
        site.push(delayed)
        site.primary.reachable = True
        site.run(3.0)
        self.assertEqual([], [run.task for run in site.worker.started_runs])

    def test_orders_queued_in_an_agent_start_nothing_after_its_grant_has_expired(self) -> None:
        site = Site()
        site.settle()
        site.worker.lose_call = lambda sent: NEVER_EXECUTED if sent.kind == "run-start" else None
        site.order_start("c")
        site.primary.reachable = False
        site.primary.starts.clear()
        site.run(site.primary.grant_ms / 1000.0 + 1.0)
        site.worker.lose_call = lambda sent: None
        site.primary.reachable = True
        site.run(3.0)
        self.assertEqual([], [run.task for run in site.worker.started_runs])

    def test_a_worker_without_answers_and_heartbeats_is_not_called_until_it_sends_a_heartbeat(self) -> None:
        site = Site()
        site.settle()
        site.order_start("a")
        site.order_start("b")
        site.run(1.0)
        site.worker.unreachable = True
        site.worker.heartbeats_delivered = False
        site.order_stop("b")
        site.primary.reachable = False
        site.run(30.0)
        before = len(site.worker.sent)
        site.run(30.0)
        self.assertEqual(before, len(site.worker.sent))
        site.primary.reachable = True
        site.worker.unreachable = False
        site.worker.heartbeats_delivered = True
        site.run(3.0)
        self.assertEqual(0, site.primary.last.silent_ms)
        self.assertIn(("b", 1, "stop", "stopped"), site.primary.results())

    def test_refused_hold_calls_are_retried_with_a_backoff(self) -> None:
        site = Site()
        site.settle()
        site.worker.instance_model.fence = 99
        site.order_start("a")
        site.run(0.5)
        site.primary.term = 6
        before = len(self.holds(site))
        site.run(10.0)
        self.assertLess(len(self.holds(site)) - before, 9)
        self.assertEqual([], site.worker.started_runs)


class Restart(unittest.TestCase):
    def test_nothing_is_sent_to_the_worker_before_a_report_was_answered(self) -> None:
        site = Site()
        site.primary.reachable = False
        site.settle()
        site.run(5.0)
        self.assertEqual([], site.worker.sent)

    def test_orders_pushed_before_the_first_answered_report_start_nothing(self) -> None:
        site = Site()
        site.primary.reachable = False
        site.settle()
        site.primary.instance = "i-1"
        site.order_start("a")
        site.run(3.0)
        self.assertEqual(["hold"], [sent.kind for sent in site.worker.sent])
        self.assertNotIn("deadlineMs", site.worker.sent[0].body)
        site.primary.reachable = True
        site.run(1.0)
        self.assertEqual(["a"], [run.task for run in site.worker.started_runs])

    def test_tasks_survive_a_restart_of_the_agent_without_heartbeats(self) -> None:
        site = Site(rate=1.0)
        site.settle()
        site.order_start("a")
        site.run(5.0)
        site.primary.starts.clear()
        site.kill()
        site.run(1.0)
        site.worker.heartbeats_delivered = False
        restarted_at = len(site.primary.reports)
        site.start()
        site.run(15.0)
        self.assertIn("a", site.worker.instance_model.running)
        self.assertIsNone(site.primary.last.worker)
        self.assertEqual((0, []), (site.primary.last.hold_number, site.primary.last.running))
        self.assertIsNone(site.primary.reports[restarted_at].worker)
        site.worker.heartbeats_delivered = True
        site.run(2.0)
        self.assertEqual(["a"], [entry.task for entry in site.primary.last.running])
        self.assertEqual(1, len(site.worker.started_runs))

    def test_the_first_hold_call_has_no_deadline_if_the_clock_of_the_worker_is_unknown(self) -> None:
        site = Site()
        site.settle()
        site.order_start("a")
        site.run(0.9)
        site.kill()
        site.worker.heartbeats_delivered = False
        before = len(site.worker.sent)
        site.start()
        site.run(0.1)
        first, second = site.worker.sent[before : before + 2]
        self.assertNotIn("deadlineMs", first.body)
        self.assertIn("deadlineMs", second.body)
        self.assertNotIn("waitMs", second.body)

    def test_starts_wait_for_the_first_heartbeat_of_an_instance_known_by_its_id_alone(self) -> None:
        site = Site()
        site.settle()
        site.kill()
        site.worker.heartbeats_delivered = False
        site.start()
        site.order_start("a")
        site.run(3.0)
        self.assertEqual([], site.worker.calls_of_kind("run-start"))
        site.worker.heartbeats_delivered = True
        site.run(2.0)
        self.assertEqual(1, len(site.worker.started_runs))

    def test_an_instance_known_only_to_the_primary_has_ended_once_a_newer_one_is_known(self) -> None:
        site = Site()
        site.settle()
        site.kill()
        site.worker.crash(restart_after=0.1)
        site.run(0.2)
        site.start()
        site.worker.heartbeat()
        site.run(0.0011)  # before the first report is answered
        site.primary.on_report = lambda report: setattr(site.primary, "instance", "i-1")
        site.primary.starts.append(StartOrder("a", 1, "text"))
        site.run(0.1)
        self.assertIn(("a", 1, "start", "gone"), site.primary.results())
        self.assertTrue(any(report.ended_instances == ["i-1"] for report in site.primary.reports))


if __name__ == "__main__":
    unittest.main()
