"""Tests the orders that an agent sends to its worker, its reports, and its estimate of the worker's clock."""

from __future__ import annotations

import itertools
import unittest
from typing import Any

from pipitledge.agent.orders import TIMEOUT_RETRY_DELAY_S
from pipitledge.agent.response_times import SHORTEST_TIMEOUT_S
from pipitledge.agent.worker_clock import WorkerClock
from pipitledge.wire.messages import AgentOrders, OrderResult, StartOrder, StopOrder
from tests.system.agent_worker import LostCall, Sent, Site

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


class Orders(unittest.TestCase):
    def setUp(self) -> None:
        self.site = Site()
        self.site.settle()
        self.worker = self.site.worker
        self.primary = self.site.primary

    def outcome(self, task: str, order: str = "start") -> str:
        (result,) = {outcome for name, _, kind, outcome in self.primary.results() if (name, kind) == (task, order)}
        return result

    def result(self, task: str, order: str) -> OrderResult:
        found = [
            result
            for report in self.primary.reports
            for result in report.results
            if (result.task, result.order) == (task, order)
        ]
        return found[-1]

    def test_a_start_contains_all_fields_of_the_order_and_is_reported_at_once(self) -> None:
        self.site.order_start("a", 3, saved="00ff")
        self.site.run(0.02)
        (start,) = self.worker.calls_of_kind("run-start")
        self.assertEqual("i-1", start.instance)
        self.assertEqual(("a", 3, "text"), (start.body["task"], start.body["runId"], start.body["spec"]))
        self.assertEqual((5, "00ff"), (start.body["fenceToken"], start.body["checkpointed"]))
        self.assertEqual("started", self.outcome("a"))
        self.assertEqual("hold", self.worker.sent[-1].kind)
        self.assertIn("waitMs", self.worker.sent[-1].body)

    def test_a_start_without_an_answer_is_repeated_until_it_is_answered(self) -> None:
        self.worker.lose_call = first_calls("run-start", 3, NEVER_EXECUTED)
        self.site.order_start("a")
        self.site.run(6.0)
        times = [start.at for start in self.worker.calls_of_kind("run-start")]
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        self.assertEqual(4, len(times))
        self.assertAlmostEqual(SHORTEST_TIMEOUT_S + TIMEOUT_RETRY_DELAY_S, gaps[0], places=2)
        self.assertEqual(sorted(gaps), gaps)
        self.assertEqual("started", self.outcome("a"))
        self.assertEqual(1, len(self.worker.started_runs))

    def test_a_start_executed_without_an_answer_is_detected_and_not_executed_twice(self) -> None:
        self.worker.lose_call = first_calls("run-start", 1, LostCall(executed_after_s=0.001))
        self.site.order_start("a")
        self.site.run(2.0)
        self.assertEqual("started", self.outcome("a"))
        self.assertEqual(1, len(self.worker.started_runs))

    def test_a_repeated_order_changes_nothing(self) -> None:
        self.site.order_start("a")
        for _ in range(20):
            self.site.push()
            self.site.run(0.1)
        self.assertEqual(1, len(self.worker.calls_of_kind("run-start")))

    def test_a_start_of_a_running_run_causes_no_call(self) -> None:
        self.site.order_start("a")
        self.site.run(4.0)
        self.site.kill()
        self.site.start()
        self.site.run(2.0)
        self.assertEqual(1, len(self.worker.calls_of_kind("run-start")))
        self.assertEqual("started", self.outcome("a"))

    def test_refusals_are_reported_with_their_reason(self) -> None:
        self.worker.capacity = 1
        self.site.order_start("a", 2)
        self.site.run(0.1)
        self.site.order_start("b")
        self.site.order_start("c", spec="")
        self.site.run(0.1)
        self.assertEqual(("room", "invalid"), (self.outcome("b"), self.outcome("c")))
        self.assertEqual([], self.worker.calls_of_kind("run-stop"))
        self.worker.instance_model.highest_barred_run["d"] = 4
        self.site.order_start("d", 4)
        self.site.run(0.1)
        self.assertEqual("old", self.outcome("d"))
        self.assertGreaterEqual(self.primary.last.hold_number, self.result("d", "start").at_hold)

    def test_a_refusal_after_a_call_without_an_answer_is_made_final_by_a_stop(self) -> None:
        for refusal in ("room", "unhealthy"):
            with self.subTest(refusal):
                site = Site()
                site.settle()
                site.worker.lose_call = first_calls("run-start", 1, LostCall(executed_after_s=3.0))
                if refusal == "room":
                    site.worker.capacity = 0
                site.order_start("a")
                site.run(0.1)
                site.worker.unhealthy = 3 if refusal == "unhealthy" else 0
                site.run(2.2)
                site.worker.capacity = 1000
                site.primary.starts.clear()
                site.run(4.0)
                self.assertEqual([("a", 1, "start", refusal)], site.primary.results())
                self.assertEqual([], site.worker.started_runs)
                at_hold = next(result.at_hold for report in site.primary.reports for result in report.results)
                self.assertGreaterEqual(site.primary.last.hold_number, at_hold)

    def test_starts_on_an_unhealthy_worker_are_tried_a_few_times(self) -> None:
        self.worker.unhealthy = 2
        self.site.order_start("a")
        self.site.run(2.0)
        self.assertEqual("started", self.outcome("a"))
        self.worker.unhealthy = 100
        self.site.order_start("b")
        self.site.run(2.0)
        self.assertEqual("unhealthy", self.outcome("b"))
        self.assertEqual(97, self.worker.unhealthy)

    def test_a_start_that_arrived_after_its_deadline_is_sent_again_with_a_new_deadline(self) -> None:
        refused: list[Sent] = []

        def forced_refusal(sent: Sent) -> str:
            if sent.kind == "run-start" and len(refused) < 2:
                refused.append(sent)
                self.worker.unhealthy = 2 if len(refused) == 2 else 0
                return "late"
            return ""

        self.worker.forced_refusal = forced_refusal
        self.site.order_start("a")
        self.site.run(3.0)
        deadlines = [start.body["deadlineMs"] for start in self.worker.calls_of_kind("run-start")]
        self.assertEqual(5, len(deadlines))
        self.assertEqual(sorted(set(deadlines[:3])), deadlines[:3])
        self.assertEqual("started", self.outcome("a"))

    def test_fenced_orders_wait_for_the_new_primary(self) -> None:
        self.worker.instance_model.fence = 9
        self.site.order_start("a")
        before = len(self.primary.reports)
        self.site.run(0.05)
        self.assertGreater(len(self.primary.reports), before)
        self.site.run(2.0)
        self.assertEqual([], self.primary.results())
        self.primary.term = 9
        self.site.run(2.0)
        self.assertEqual("started", self.outcome("a"))

    def test_orders_of_an_old_term_are_discarded_when_a_new_term_is_known(self) -> None:
        self.worker.lose_call = lambda sent: NEVER_EXECUTED if sent.kind == "run-start" else None
        self.site.order_start("a")
        self.site.run(0.1)
        self.primary.starts.clear()
        self.primary.term = 6
        self.site.push()
        self.worker.lose_call = lambda sent: None
        self.site.run(5.0)
        self.assertEqual([], self.worker.started_runs)

    def test_orders_of_a_lower_term_are_refused(self) -> None:
        orders = AgentOrders(term=4, instance="i-1", acknowledged=7, starts=[StartOrder("a", 1, "text")])
        reply = self.site.push(orders)
        self.site.run(2.0)
        self.assertEqual((False, 5), (reply.accepted, reply.term))
        self.assertEqual([], self.worker.calls_of_kind("run-start"))

    def test_an_answer_of_a_lower_term_does_not_renew_the_grant(self) -> None:
        self.site.order_start("a")
        self.site.run(1.0)
        self.site.push(AgentOrders(term=9, instance="i-1"))
        self.site.run(10.0)
        self.assertEqual([], list(self.worker.instance_model.running))

    def test_pushed_orders_are_answered_before_they_are_executed(self) -> None:
        self.worker.unreachable = True
        self.primary.starts.append(StartOrder("a", 1, "text"))
        reply = self.site.push()
        self.assertEqual((True, 5), (reply.accepted, reply.term))
        self.assertEqual(5, self.site.views.offered[-1].term)

    def test_a_stop_ends_the_repeats_of_its_start_and_makes_it_impossible(self) -> None:
        self.worker.lose_call = first_calls("run-start", 1, LostCall(executed_after_s=2.0))
        self.site.order_start("a")
        self.site.run(0.1)
        self.site.order_stop("a")
        self.site.run(0.1)
        self.assertEqual([("a", 1, "stop", "stopped")], self.primary.results())
        self.assertGreaterEqual(self.primary.last.hold_number, self.result("a", "stop").at_hold)
        self.site.run(5.0)
        self.assertEqual(1, len(self.worker.calls_of_kind("run-start")))
        self.assertEqual([], self.worker.started_runs)

    def test_a_stop_is_completed_though_its_start_is_answered_meanwhile(self) -> None:
        self.site.order_start("a")
        self.site.order_stop("a")
        self.site.run(0.5)
        self.assertEqual([("a", 1, "stop", "stopped")], self.primary.results())
        self.assertEqual(1, len(self.worker.calls_of_kind("run-stop")))
        ends = [(end.task, end.how) for report in self.primary.reports for end in report.finished]
        self.assertIn(("a", "stopped"), ends)

    def test_a_start_with_a_refused_connection_needs_no_stop(self) -> None:
        self.worker.listening = False
        self.site.order_start("a")
        self.site.run(0.3)
        self.worker.listening = True
        self.worker.capacity = 0
        self.site.run(1.0)
        self.assertEqual("room", self.outcome("a"))
        self.assertEqual([], self.worker.calls_of_kind("run-stop"))

    def test_a_start_is_refused_when_the_worker_has_stopped_listening(self) -> None:
        self.worker.listening = False  # the worker was idle, so no other call fails
        self.site.order_start("a")
        self.site.run(3.0)
        self.assertEqual("unhealthy", self.outcome("a"))
        self.assertEqual(0, self.site.agent.status()["openOrders"])

    def test_a_stop_ends_by_lease_expiry_when_the_worker_has_stopped_listening(self) -> None:
        self.worker.listening = False
        self.site.order_stop("a")
        self.site.run(8.0)
        self.assertTrue(any(report.lapsed_instance for report in self.site.primary.reports))

    def test_a_start_possibly_sent_by_an_earlier_process_expires_when_the_worker_has_stopped_listening(self) -> None:
        self.site.kill()
        self.site.start()
        self.site.run(2.0)  # the restarted agent knows the worker, which is idle
        self.worker.listening = False
        self.site.order_start("a")
        self.site.run(20.0)
        self.assertTrue(any(report.lapsed_instance for report in self.site.primary.reports))

    def test_a_start_possibly_sent_by_an_earlier_process_is_stopped_before_it_is_refused(self) -> None:
        self.worker.lose_call = first_calls("run-start", 1, LostCall(executed_after_s=4.0))
        self.site.order_start("a")
        self.site.run(0.1)
        self.site.kill()
        self.worker.capacity = 0
        self.site.start()
        self.site.run(2.0)
        self.assertEqual("room", self.outcome("a"))
        self.worker.capacity = 1000
        self.site.run(5.0)
        self.assertEqual([], self.worker.started_runs)

    def test_the_start_of_a_running_run_is_not_refused_when_the_lists_of_a_draining_worker_arrive(self) -> None:
        self.site.order_start("a")
        self.site.run(1.0)
        self.site.kill()
        self.worker.instance_model.state = "draining"
        self.worker.answer_delay = lambda sent: 0.1
        self.site.start()
        self.site.run(0.01)
        self.worker.heartbeat()
        self.site.run(1.0)
        self.assertEqual("started", self.outcome("a"))

    def test_the_start_of_a_known_running_run_succeeds_though_the_worker_drains(self) -> None:
        self.site.order_start("a")
        self.site.run(3.0)
        self.site.kill()
        self.site.primary.starts.clear()
        self.site.start()
        self.site.run(2.0)
        self.worker.drain()
        self.worker.unreachable = True
        self.site.run(0.1)
        self.site.order_start("a")
        self.site.run(0.02)
        self.assertEqual([("a", 1, "start", "started")], self.primary.results())
        self.assertEqual("started", self.primary.last.results[0].outcome)

    def test_a_stop_is_repeated_until_it_is_answered(self) -> None:
        self.site.order_start("a")
        self.site.run(1.0)
        self.worker.lose_call = first_calls("run-stop", 2, NEVER_EXECUTED)
        self.worker.unhealthy = 2
        self.site.order_stop("a")
        self.site.run(4.0)
        self.assertEqual(5, len(self.worker.calls_of_kind("run-stop")))
        self.assertEqual("stopped", self.outcome("a", "stop"))

    def test_the_end_of_a_stopped_run_is_detected_without_another_hold_call(self) -> None:
        self.site.order_start("a")
        self.site.run(2.5)
        before = len(self.worker.calls_of_kind("hold"))
        self.site.order_stop("a")
        self.site.run(0.25)
        self.assertEqual(before, len(self.worker.calls_of_kind("hold")))
        ends = [(end.task, end.how) for report in self.primary.reports for end in report.finished]
        self.assertIn(("a", "stopped"), ends)

    def test_a_start_after_the_stop_of_the_same_run_is_refused_as_old(self) -> None:
        self.site.order_stop("a")
        self.site.run(0.5)
        self.site.order_start("a")
        self.site.run(0.5)
        self.assertEqual("old", self.outcome("a"))
        self.assertEqual([], self.worker.calls_of_kind("run-start"))

    def test_concurrent_calls_are_limited_and_stops_are_sent_first(self) -> None:
        self.worker.lose_call = lambda sent: NEVER_EXECUTED if sent.kind != "hold" else None
        for number in range(10):
            self.site.order_start(f"t{number}")
        self.site.order_stop("other")
        self.site.run(0.1)
        self.assertEqual(["run-start"] * 4, [sent.kind for sent in self.worker.sent if sent.kind != "hold"])
        self.site.run(0.12)
        kinds = [sent.kind for sent in self.worker.sent if sent.kind != "hold"]
        self.assertEqual("run-stop", kinds[4])

    def test_unanswered_orders_do_not_block_others(self) -> None:
        def lose_call(sent: Sent) -> LostCall | None:
            return NEVER_EXECUTED if sent.body.get("task", "").startswith("stuck") else None

        self.worker.lose_call = lose_call
        for number in range(8):
            self.site.order_start(f"stuck{number}")
        for number in range(8):
            self.site.order_start(f"t{number}")
        self.site.run(4.0)
        self.assertEqual({f"t{number}" for number in range(8)}, {run.task for run in self.worker.started_runs})

    def test_orders_for_an_ended_instance_are_reported_as_gone(self) -> None:
        self.worker.crash(restart_after=0.1)
        self.site.run(0.5)
        orders = AgentOrders(
            term=5,
            instance="i-1",
            report_number=self.primary.last_report_number(),
            starts=[StartOrder("a", 1, "x")],
            stops=[StopOrder("b", 1)],
        )
        self.site.push(orders)
        self.site.run(0.1)
        self.assertEqual(("gone", "gone"), (self.outcome("a"), self.outcome("b", "stop")))
        self.assertEqual([], self.worker.calls_of_kind("run-start") + self.worker.calls_of_kind("run-stop"))

    def test_orders_pending_when_the_worker_crashes_are_reported_as_gone(self) -> None:
        self.worker.lose_call = lambda sent: NEVER_EXECUTED if sent.kind == "run-start" else None
        self.site.order_start("a")
        self.site.run(0.1)
        self.worker.crash(restart_after=0.1)
        self.site.run(0.5)
        self.assertEqual("gone", self.outcome("a"))

    def test_a_result_is_reported_until_a_report_with_it_is_answered(self) -> None:
        self.primary.reachable = False
        self.site.order_start("a")
        self.site.run(3.0)
        self.primary.starts.clear()
        self.primary.reachable = True
        self.site.run(1.0)
        self.assertEqual("started", self.outcome("a"))
        self.site.run(3.0)
        self.assertEqual([], self.primary.last.results)

    def test_the_result_of_a_repeated_order_is_reported_again_with_the_next_regular_report(self) -> None:
        self.site.order_stop("a")
        self.site.run(0.5)
        before = len(self.primary.reports)
        self.site.run(6.0)
        self.assertEqual("stopped", self.primary.last.results[0].outcome)
        self.assertLess(len(self.primary.reports) - before, 6)


class Reports(unittest.TestCase):
    def test_a_report_goes_out_at_the_start_without_a_worker(self) -> None:
        site = Site()
        site.run(0.1)
        site.start()
        site.run(0.02)
        first = site.primary.reports[0]
        self.assertIsNone(first.worker)
        self.assertEqual(("side-1", "side-1:7660", "z1", 1), (first.node, first.address, first.zone, first.incarnation))

    def test_idle_and_busy_agents_report_often_enough_to_renew_their_grant(self) -> None:
        site = Site()
        site.settle()
        before = len(site.primary.reports)
        site.run(30.0)
        self.assertAlmostEqual(20, len(site.primary.reports) - before, delta=1)
        site.order_start("a")
        site.run(2.0)
        before = len(site.primary.reports)
        site.run(30.0)
        self.assertLess(len(site.primary.reports) - before, 50)
        self.assertGreaterEqual(len(site.primary.reports) - before, 29)

    def test_a_failed_report_is_sent_again_soon_with_the_newest_content(self) -> None:
        site = Site()
        site.settle()
        site.primary.reachable = False
        site.order_start("a")
        site.run(5.0)
        site.primary.reachable = True
        back_at = site.world.time
        before = len(site.primary.reports)
        site.run(2.1)
        self.assertLess(site.primary.report_times[before], back_at + 2.01)
        self.assertEqual(["a"], [entry.task for entry in site.primary.reports[before].running])

    def test_one_report_is_pending_at_a_time_and_simultaneous_changes_share_one(self) -> None:
        site = Site()
        site.settle()
        before = len(site.primary.reports)
        for number in range(4):
            site.order_start(f"t{number}")
        site.run(0.02)
        self.assertEqual(1, len(site.primary.reports) - before)
        self.assertEqual(4, len(site.primary.last.results))
        site.order_start("a")
        site.run(0.007)  # the report of the first start is pending
        site.order_start("b")
        site.run(1.0)
        self.assertEqual(1, site.primary.max_concurrent_reports)

    def test_an_answer_that_is_not_orders_counts_as_failed(self) -> None:
        site = Site()
        site.settle()
        site.push(AgentOrders(term=9, instance="i-1"))
        before = len(site.primary.reports)
        site.run(3.0)
        self.assertGreater(len(site.primary.reports) - before, 5)
        self.assertEqual({9}, {report.term for report in site.primary.reports[before + 1 :]})

    def test_a_stopped_agent_sends_nothing_more(self) -> None:
        site = Site()
        site.settle()
        site.order_start("a")
        site.run(1.0)
        assert site.agent is not None
        site.agent.stop()
        reports, calls = len(site.primary.reports), len(site.worker.sent)
        site.run(5.0)
        self.assertEqual((reports, calls), (len(site.primary.reports), len(site.worker.sent)))

    def test_the_status_shows_worker_term_and_running_tasks(self) -> None:
        site = Site()
        site.settle()
        site.order_start("a")
        site.run(3.0)
        assert site.agent is not None
        status = site.agent.status()
        self.assertEqual(("i-1", "ready", 5, 1), tuple(status[key] for key in ("worker", "state", "term", "running")))


class Clocks(unittest.TestCase):
    def test_a_worker_deadline_is_never_later_than_the_agent_deadline_at_any_clock_rate(self) -> None:
        for rate in (0.98, 0.99, 1.0):
            clock = WorkerClock()
            clock.record_reading(5000.0 + 1000.0 * rate * 10.0, 10.3)  # read at 10.0
            deadline = clock.deadline_ms(16.0)
            assert deadline is not None
            self.assertLessEqual((deadline - 5000.0) / (1000.0 * rate), 16.0)

    def test_the_reading_with_the_highest_lower_bound_is_kept(self) -> None:
        clock = WorkerClock()
        clock.record_reading(1000.0, 10.0)
        clock.record_reading(1100.0, 11.0)  # a delayed message
        self.assertEqual(1980.0, clock.lower_bound_ms(11.0))
        clock.record_reading(1995.0, 11.0)
        self.assertEqual(1995.0, clock.lower_bound_ms(11.0))


if __name__ == "__main__":
    unittest.main()
