"""Queue order, preemption, deadlines of jobs, retries, and poll intervals of agents."""

from __future__ import annotations

import unittest
from typing import Any

from msgspec import Struct

from pipitledge.scheduling.dispatcher import NODE_AVOIDANCE_S, SUSPECT_AVOIDANCE_S
from pipitledge.scheduling.job import Stage, Submission
from pipitledge.scheduling.objectives import MAX_ESTIMATE_OVERRUN
from pipitledge.scheduling.queue_order import WorkQueue
from pipitledge.scheduling.tasks import Job, TaskGroup, new_task_group
from pipitledge.wire.messages import (
    AgentOrders,
    AgentReport,
)
from tests.system.scheduling_case import (
    JOB,
    OTHER,
    THIRD,
    WORKER_CPU,
    SchedulingCase,
    body,
    first_runs_fail,
    stage,
)
from tests.system.scheduling_cluster import (
    PLAIN,
    SERVICE,
    URGENT,
    job_id,
)


class QueueOrder(SchedulingCase):
    """The order in which waiting stages are placed."""

    def waiting_step(self, order: int, route: str, latest_start: float = 10.0, drain_s: float = 0.0) -> TaskGroup:
        submission = Submission(spec="", stages=(Stage(count=1),))
        job = Job(job_id(order), route, SERVICE, submission, b"", 0, order, 0.0, PLAIN)
        step = new_task_group(job, 0, 0)
        step.latest_start, step.drain_s = latest_start, drain_s
        step.deadline, step.late_deadline = latest_start + 5.0, latest_start + 50.0
        return step

    def ordered(self, *task_groups: TaskGroup) -> list[int]:
        """Return the order numbers of the jobs, as the queue sorts them."""
        queue = WorkQueue(lambda step: 0 if step.job.route == "urgent" else 1)
        for step in task_groups:
            queue.add(step, 0.0)
        return [step.job.order for step in queue.in_order()]

    def test_higher_priority_goes_first(self) -> None:
        plain = self.waiting_step(1, "plain", latest_start=1.0)
        urgent = self.waiting_step(2, "urgent", latest_start=90.0, drain_s=50.0)
        self.assertEqual([2, 1], self.ordered(plain, urgent))

    def test_earlier_latest_start_goes_first(self) -> None:
        self.assertEqual([2, 1], self.ordered(self.waiting_step(1, "plain", 12.0), self.waiting_step(2, "plain", 11.0)))

    def test_small_jobs_go_before_large_ones(self) -> None:
        large = self.waiting_step(1, "plain", drain_s=2.0)
        small = self.waiting_step(2, "plain", drain_s=0.1)
        self.assertEqual([2, 1], self.ordered(large, small))

    def test_stages_that_can_only_be_late_go_last(self) -> None:
        queue = WorkQueue(lambda step: 1)
        late, timely = self.waiting_step(1, "plain", 10.0), self.waiting_step(2, "plain", 90.0)
        queue.add(late, 30.0)
        queue.add(timely, 30.0)
        self.assertEqual([2, 1], [step.job.order for step in queue.in_order()])

    def fill(self) -> None:
        """Fill all workers for a while with urgent runs, which are never preempted."""
        self.submit(THIRD, body(stage(4, cpu=WORKER_CPU)), 1.5, URGENT)
        self.wait_for_runs(THIRD, 4)

    def test_urgent_job_overtakes_plain_job_on_a_full_cluster(self) -> None:
        self.make()
        self.fill()
        self.submit(JOB, body(stage(4, cpu=WORKER_CPU)))
        self.submit(OTHER, body(stage(4, cpu=WORKER_CPU)), route=URGENT)
        self.assert_completes(JOB)
        self.assertLess(
            max(start[0] for start in self.starts_of(OTHER)), min(start[0] for start in self.starts_of(JOB))
        )

    def test_small_job_overtakes_large_one_with_the_same_latest_start(self) -> None:
        self.make()
        self.fill()
        self.submit(JOB, body(*(stage(4, cpu=WORKER_CPU) for _ in range(4))))
        self.submit(OTHER, body(stage(4, cpu=WORKER_CPU)))
        context = self.primary.scheduler.context
        large, small = context.jobs[JOB].task_groups[0, 0], context.jobs[OTHER].task_groups[0, 0]
        self.assertLess(large.latest_start, small.latest_start, "the large one would go first by its latest start")
        self.assertLess(small.latest_start, large.latest_start + 0.1)
        self.assert_completes(JOB)
        self.assertLess(
            max(start[0] for start in self.starts_of(OTHER)), min(start[0] for start in self.starts_of(JOB))
        )


class Preempting(SchedulingCase):
    """Urgent tasks preempt runs of a lower priority, within bounds."""

    def fill(self, **rest: Any) -> None:
        """Fill all workers with runs of plain priority."""
        self.submit(JOB, body(stage(4, cpu=WORKER_CPU, **rest)), 20.0)
        self.wait_for_runs(JOB, 4)

    def test_urgent_task_preempts_a_plain_run(self) -> None:
        cluster = self.make()
        self.fill(checkpoints=True)
        self.submit(OTHER, body(stage(cpu=WORKER_CPU)), 1.0, URGENT)
        self.wait_for_runs(OTHER, limit=2.0)
        stopped = self.ends_of(JOB, "stopped")
        self.assertEqual(1, len(stopped))
        self.assertEqual(stopped[0][4], self.starts_of(OTHER)[0][3])
        self.assert_completes(OTHER)
        self.wait_until(lambda: len(cluster.runs_of(JOB)) == 4, 5.0)
        self.assertEqual("running", cluster.job_state(JOB))

    def test_partial_pass_preempts_for_an_unplaced_urgent_task(self) -> None:
        cluster = self.make()
        self.fill(checkpoints=True)
        self.submit(OTHER, body(stage(cpu=WORKER_CPU)))  # a waiting task causes passes, only some of them full
        filling = self.primary.scheduler.context.jobs[JOB]
        for number in range(4):
            cluster.run(0.07)
            self.submit(job_id(10 + number), body(stage(cpu=WORKER_CPU)), 20.0, URGENT)  # submit takes 0.05 s
            stopping = [run for step in filling.task_groups.values() for run in step.runs() if run.stop_cause]
            stopped = self.ends_of(JOB, "stopped")
            self.assertEqual(number + 1, len(stopping) + len(stopped))

    def test_plain_tasks_do_not_preempt(self) -> None:
        cluster = self.make()
        self.fill(checkpoints=True)
        self.submit(OTHER, body(stage(cpu=WORKER_CPU)))
        cluster.run(4.0)
        self.assertEqual([], self.ends_of(JOB, "stopped"))
        self.assertEqual("pending", cluster.job_state(OTHER))

    def test_urgent_runs_are_not_preempted(self) -> None:
        cluster = self.make()
        self.submit(JOB, body(stage(4, cpu=WORKER_CPU, checkpoints=True)), 20.0, URGENT)
        self.wait_for_runs(JOB, 4)
        self.submit(OTHER, body(stage(cpu=WORKER_CPU)), 1.0, URGENT)
        cluster.run(4.0)
        self.assertEqual([], self.ends_of(JOB, "stopped"))
        self.assertEqual([], self.starts_of(OTHER))

    def test_no_preemption_when_too_much_work_would_be_lost(self) -> None:
        cluster = self.make()
        self.fill()
        cluster.run(6.0)
        self.submit(OTHER, body(stage(cpu=WORKER_CPU)), 1.0, URGENT)
        cluster.run(3.0)
        self.assertEqual([], self.ends_of(JOB, "stopped"))


class Objective(SchedulingCase):
    """The deadline of a job is corrected by the actual durations of its runs."""

    STRETCH = PLAIN.stretch
    TARGET_S = PLAIN.target_latency_ms / 1_000.0

    def objective_s(self, step: int = 0) -> float:
        """Seconds from the acceptance of the job to its deadline."""
        job = self.primary.scheduler.context.jobs[JOB]
        return job.task_groups[0, step].deadline - job.accepted_at

    def test_initial_deadline_follows_the_estimates(self) -> None:
        self.make()
        self.submit(JOB, body(stage(estimatedMs=2_000), stage(dependsOn=[0], estimatedMs=500)), 2.0)
        self.assertAlmostEqual(self.STRETCH * 2.5 + self.TARGET_S, self.objective_s(1), places=3)

    def test_longer_runs_postpone_the_deadline_of_all_stages(self) -> None:
        self.make()
        self.submit(JOB, body(stage(2, estimatedMs=1_000), stage(dependsOn=[0], estimatedMs=1_000)), 2.0)
        self.wait_for_runs(f"{JOB}.0.1")
        later_s = self.STRETCH * 1.0
        expected_s = self.STRETCH * 2.0 + self.TARGET_S + later_s
        self.assertAlmostEqual(expected_s, self.objective_s(0), delta=0.4 * self.STRETCH)
        self.assertEqual(self.objective_s(0), self.objective_s(1))
        step = self.primary.scheduler.context.jobs[JOB].task_groups[0, 1]
        self.assertAlmostEqual(1.0, step.deadline - step.latest_start, places=3)

    def test_shorter_runs_bring_the_deadline_forward(self) -> None:
        self.make()
        self.submit(JOB, body(stage(2, estimatedMs=4_000), stage(dependsOn=[0], estimatedMs=1_000)), 1.0)
        before_s = self.objective_s(1)
        self.wait_for_runs(f"{JOB}.0.1")
        self.assertLess(self.objective_s(1), before_s - self.STRETCH * 2.5)

    def test_duration_of_a_failed_run_counts(self) -> None:
        self.make()
        self.submit(JOB, body(stage(), stage(dependsOn=[0])), 1.0, fails=first_runs_fail(1))
        before_s = self.objective_s(1)
        self.wait_for_runs(f"{JOB}.0.1")
        self.assertGreater(self.objective_s(1), before_s + 0.2 * self.STRETCH)

    def test_run_on_a_stalled_worker_counts_at_most_three_times_its_estimate(self) -> None:
        cluster = self.make(workers=1)
        self.submit(JOB, body(stage(estimatedMs=200), stage(dependsOn=[0], estimatedMs=200)), 0.2)
        cluster.workers[0].set_speed(0.02)
        self.wait_for_runs(f"{JOB}.0.1", limit=30.0)
        self.assertLess(self.objective_s(1), self.STRETCH * 0.2 * (MAX_ESTIMATE_OVERRUN + 1.0) + self.TARGET_S + 0.01)

    def test_drain_time_shrinks_as_stages_complete(self) -> None:
        self.make()
        self.submit(JOB, body(stage(4, cpu=4_000), stage(4, cpu=4_000, dependsOn=[0])), 1.0)
        step = self.primary.scheduler.context.jobs[JOB].task_groups[0, 1]
        before_s = step.drain_s
        self.wait_for_runs(f"{JOB}.0.1")
        self.assertAlmostEqual(0.5 * before_s, step.drain_s, delta=0.2 * before_s)


class Retries(SchedulingCase):
    """A failed task is retried before the other waiting tasks of its stage."""

    def test_failed_task_goes_before_the_others_of_its_stage(self) -> None:
        self.make(workers=2)
        first = f"{JOB}.0.0.0"
        self.submit(JOB, body(stage(8, cpu=WORKER_CPU)), 1.0, fails=lambda task, run, node: task == first and run == 1)
        self.wait_until(lambda: bool(self.ends_of(JOB, "done")), 10.0)
        self.wait_until(lambda: len(self.starts_of(first)) == 2, 10.0)
        self.assertLessEqual(len({start[1] for start in self.starts_of(JOB)}), 5, "other tasks of its stage went first")

    def test_suspect_workers_are_avoided_only_briefly(self) -> None:
        cluster = self.make(workers=2)
        self.submit(JOB, body(stage(cpu=WORKER_CPU)), 0.3, fails=first_runs_fail(1))
        failed_on = self.wait_for_runs(JOB)[0][0]
        other = next(worker.node for worker in cluster.workers if worker.node != failed_on)
        context = self.primary.scheduler.context
        context.workers[other].health.record_failure(OTHER, context.clock.now())
        self.wait_until(lambda: len(self.starts_of(JOB)) == 2, 3.0)
        self.assertEqual(other, self.starts_of(JOB)[1][3])
        waited_s = self.starts_of(JOB)[1][0] - self.ends_of(JOB, "failed")[0][0]
        self.assertLess(waited_s, 0.5 * (SUSPECT_AVOIDANCE_S + NODE_AVOIDANCE_S))


class Polls(SchedulingCase):
    """The interval at which agents are told to poll their workers."""

    def poll_interval_ms(self, node: str) -> int:
        """Return the poll interval in the answer to a report that contains nothing new."""
        known = self.primary.scheduler.context.workers[node]
        replies: list[Struct] = []
        report = AgentReport(node=node, incarnation=known.incarnation, number=known.report_number)
        self.primary.process.handlers.call(report, replies.append)
        self.wait_until(lambda: bool(replies), 1.0)
        assert isinstance(replies[0], AgentOrders)
        return replies[0].poll_interval_ms

    def test_agents_poll_faster_while_tasks_wait_for_resources(self) -> None:
        cluster = self.make(workers=1)
        self.assertEqual(300, self.poll_interval_ms("w0"))
        self.submit(JOB, body(stage(cpu=WORKER_CPU)), 2.0)
        self.wait_for_runs(JOB)
        self.assertEqual(300, self.poll_interval_ms("w0"))
        self.submit(OTHER, body(stage(cpu=WORKER_CPU)), 2.0)
        cluster.run(0.2)
        self.assertEqual(100, self.poll_interval_ms("w0"))
        self.wait_for_runs(OTHER)
        self.assertEqual(300, self.poll_interval_ms("w0"))


if __name__ == "__main__":
    unittest.main()
