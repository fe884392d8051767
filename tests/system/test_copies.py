"""Copies of `speculative` tasks beside runs of which nothing is heard."""

from __future__ import annotations

import unittest

from pipitledge.wire.messages import TaskPhase
from tests.system.scheduling_case import FIRST_TASK, JOB, LEASE_EXPIRY_S, SchedulingCase, body, stage
from tests.system.scheduling_cluster import BOUNDS

COPY_STARTS_WITHIN_S = 2.5  # far less than until the runs of a worker out of touch have lapsed
WORK_S = 1.0


class Copies(SchedulingCase):
    def begin(self, **kind: bool) -> str:
        """One task runs; the node where it does."""
        self.make()
        self.submit(JOB, body(stage(**kind)), work_s=WORK_S)
        [(node, _)] = self.wait_for_runs(JOB)
        return node

    def test_a_copy_ends_a_job_whose_worker_is_out_of_touch(self) -> None:
        node = self.begin(speculative=True)
        self.cluster.disconnect_agent(node, LEASE_EXPIRY_S)
        self.assert_completes(JOB, COPY_STARTS_WITHIN_S + WORK_S)
        self.assertEqual(2, len({start[3] for start in self.starts_of(JOB)}))

    def test_without_leave_a_task_waits_until_its_run_has_ended_for_certain(self) -> None:
        node = self.begin(speculative=False)
        self.cluster.disconnect_agent(node, LEASE_EXPIRY_S + 5.0)
        self.cluster.run(COPY_STARTS_WITHIN_S + WORK_S)
        self.assertEqual([1], [start[2] for start in self.starts_of(JOB)])

    def test_a_copy_is_wanted_when_the_worker_leaves_calls_unanswered(self) -> None:
        node = self.begin(speculative=True)
        self.cluster.worker(node).dark = True
        self.assert_completes(JOB, COPY_STARTS_WITHIN_S + WORK_S)

    def test_the_first_run_counts_if_it_is_heard_of_again_before_a_copy_has_started(self) -> None:
        self.make(workers=1)
        self.submit(JOB, body(stage(speculative=True)), work_s=3.0)
        [(node, _)] = self.wait_for_runs(JOB)
        self.cluster.disconnect_agent(node, 2.0)
        self.cluster.run(1.9)
        [(_, record)] = self.records()
        self.assertEqual(TaskPhase.WAITING, record.phase)  # a copy is wanted
        self.wait_until(lambda: next(self.records())[1].phase == TaskPhase.ASSIGNED, 0.9)
        self.assert_completes(JOB, 8.0)
        self.assertEqual([1], [start[2] for start in self.starts_of(JOB)])

    def test_whichever_run_ends_well_first_counts_and_the_other_is_stopped(self) -> None:
        node = self.begin(speculative=True)
        self.cluster.worker(node).set_speed(0.2)
        self.cluster.disconnect_agent(node, 2.0)
        self.assert_completes(JOB, COPY_STARTS_WITHIN_S + WORK_S)
        self.cluster.run(2.0)
        self.assertEqual([], self.cluster.runs_of(JOB))
        self.assertEqual(["stopped"], [end[3] for end in self.cluster.judge.ends if end[4] == node])

    def test_the_former_run_is_stopped_while_its_job_goes_on(self) -> None:
        self.make()
        job = body(stage(speculative=True), stage(dependsOn=[0]))
        self.submit(JOB, job, work_s=4.0)
        [(node, _)] = self.wait_for_runs(JOB)
        self.cluster.worker(node).set_speed(0.1)
        self.cluster.disconnect_agent(node, 2.0)
        self.wait_until(lambda: any(start[1] == f"{JOB}.0.1.0" for start in self.starts_of(JOB)), 10.0)
        self.cluster.run(1.0)
        self.assertEqual([f"{JOB}.0.1.0"], [live.task for _, live in self.cluster.runs_of(JOB)])

    def test_both_runs_hold_their_room_until_their_ends_are_known(self) -> None:
        node = self.begin(speculative=True)
        self.cluster.disconnect_agent(node, 4.0)
        self.cluster.run(2.0)
        self.assertIn(FIRST_TASK, self.primary.scheduler.context.workers[node].runs)
        self.cluster.run(4.0)
        self.assertEqual({}, self.primary.scheduler.context.workers[node].runs)

    def test_a_new_primary_takes_the_end_of_a_run_that_it_does_not_know(self) -> None:
        node = self.begin(speculative=True)
        self.cluster.disconnect_agent(node, 3.0)
        self.wait_until(lambda: len(self.starts_of(JOB)) == 2, COPY_STARTS_WITHIN_S)
        for worker in self.cluster.workers:
            if worker.node != node:
                worker.set_speed(0.01)  # the copy alone would take far longer than this test waits
        self.cluster.promote()
        self.assert_completes(JOB, 10.0)
        self.cluster.run(BOUNDS.cancel_ms / 1_000.0)
        self.assertEqual([], self.cluster.runs_of(JOB))

    def test_failures_of_both_runs_count(self) -> None:
        self.make()
        self.submit(JOB, body(stage(speculative=True)), work_s=WORK_S, fails=lambda task, run, node: True)
        [(node, _)] = self.wait_for_runs(JOB)
        self.cluster.disconnect_agent(node, 2.5)
        self.assertTrue(self.cluster.wait_for(JOB, "failed", 20.0))


if __name__ == "__main__":
    unittest.main()
