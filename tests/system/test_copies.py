"""Speculative copies of tasks whose worker has become unreachable."""

from __future__ import annotations

import unittest

from pipitledge.wire.messages import TaskPhase
from tests.system.scheduling_case import FIRST_TASK, JOB, LEASE_EXPIRY_S, SchedulingCase, body, stage
from tests.system.scheduling_cluster import BOUNDS

COPY_STARTS_WITHIN_S = 2.5  # a copy starts within this time, far sooner than the leases of an unreachable worker expire
WORK_S = 1.0


class SpeculativeCopies(SchedulingCase):
    def begin(self, **kind: bool) -> str:
        """Run one task, and return its node."""
        self.make()
        self.submit(JOB, body(stage(**kind)), work_s=WORK_S)
        [(node, _)] = self.wait_for_runs(JOB)
        return node

    def test_copy_completes_the_job_of_an_unreachable_worker(self) -> None:
        node = self.begin(speculative=True)
        self.cluster.disconnect_agent(node, LEASE_EXPIRY_S)
        self.assert_completes(JOB, COPY_STARTS_WITHIN_S + WORK_S)
        self.assertEqual(2, len({start[3] for start in self.starts_of(JOB)}))

    def test_task_that_is_not_speculative_waits_until_its_run_has_certainly_ended(self) -> None:
        node = self.begin(speculative=False)
        self.cluster.disconnect_agent(node, LEASE_EXPIRY_S + 5.0)
        self.cluster.run(COPY_STARTS_WITHIN_S + WORK_S)
        self.assertEqual([1], [start[2] for start in self.starts_of(JOB)])

    def test_copy_is_started_when_the_worker_does_not_answer_its_agent(self) -> None:
        node = self.begin(speculative=True)
        self.cluster.worker(node).dark = True
        self.assert_completes(JOB, COPY_STARTS_WITHIN_S + WORK_S)

    def test_first_run_is_kept_if_it_is_reported_again_before_a_copy_has_started(self) -> None:
        self.make(workers=1)
        self.submit(JOB, body(stage(speculative=True)), work_s=3.0)
        [(node, _)] = self.wait_for_runs(JOB)
        self.cluster.disconnect_agent(node, 2.0)
        self.cluster.run(1.9)
        [(_, record)] = self.records()
        self.assertEqual(TaskPhase.WAITING, record.phase)  # waiting for a copy
        self.wait_until(lambda: next(self.records())[1].phase == TaskPhase.ASSIGNED, 0.9)
        self.assert_completes(JOB, 8.0)
        self.assertEqual([1], [start[2] for start in self.starts_of(JOB)])

    def test_first_run_that_is_done_counts_and_the_other_is_stopped(self) -> None:
        node = self.begin(speculative=True)
        self.cluster.worker(node).set_speed(0.2)
        self.cluster.disconnect_agent(node, 2.0)
        self.assert_completes(JOB, COPY_STARTS_WITHIN_S + WORK_S)
        self.cluster.run(2.0)
        self.assertEqual([], self.cluster.runs_of(JOB))
        self.assertEqual(["stopped"], [end[3] for end in self.cluster.judge.ends if end[4] == node])

    def test_replaced_run_is_stopped_while_its_job_continues(self) -> None:
        self.make()
        job = body(stage(speculative=True), stage(dependsOn=[0]))
        self.submit(JOB, job, work_s=4.0)
        [(node, _)] = self.wait_for_runs(JOB)
        self.cluster.worker(node).set_speed(0.1)
        self.cluster.disconnect_agent(node, 2.0)
        self.wait_until(lambda: any(start[1] == f"{JOB}.0.1.0" for start in self.starts_of(JOB)), 10.0)
        self.cluster.run(1.0)
        self.assertEqual([f"{JOB}.0.1.0"], [live.task for _, live in self.cluster.runs_of(JOB)])

    def test_both_runs_occupy_resources_until_their_ends_are_known(self) -> None:
        node = self.begin(speculative=True)
        self.cluster.disconnect_agent(node, 4.0)
        self.cluster.run(2.0)
        self.assertIn(FIRST_TASK, self.primary.scheduler.context.workers[node].runs)
        self.cluster.run(4.0)
        self.assertEqual({}, self.primary.scheduler.context.workers[node].runs)

    def test_new_primary_accepts_the_success_of_a_run_that_its_state_does_not_assign(self) -> None:
        node = self.begin(speculative=True)
        self.cluster.disconnect_agent(node, 3.0)
        self.wait_until(lambda: len(self.starts_of(JOB)) == 2, COPY_STARTS_WITHIN_S)
        for worker in self.cluster.workers:
            if worker.node != node:
                worker.set_speed(0.01)  # the copy alone would take longer than this test waits
        self.cluster.promote()
        self.assert_completes(JOB, 10.0)
        self.cluster.run(BOUNDS.cancel_ms / 1_000.0)
        self.assertEqual([], self.cluster.runs_of(JOB))

    def test_failures_of_both_runs_count_as_attempts(self) -> None:
        self.make()
        self.submit(JOB, body(stage(speculative=True)), work_s=WORK_S, fails=lambda task, run, node: True)
        [(node, _)] = self.wait_for_runs(JOB)
        self.cluster.disconnect_agent(node, 2.5)
        self.assertTrue(self.cluster.wait_for(JOB, "failed", 20.0))


if __name__ == "__main__":
    unittest.main()
