"""Order of queues, preemption, objectives, retries, and polls."""

from __future__ import annotations

import unittest
from typing import Any

from msgspec import Struct

from pipitledge.scheduling.dispatcher import CAUTION_S, PATIENCE_S
from pipitledge.scheduling.job import Stage, Submission
from pipitledge.scheduling.objectives import MOST_BEYOND_ESTIMATE
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
    """Who goes first."""

    def waiting_step(self, order: int, route: str, latest_start: float = 10.0, drain_s: float = 0.0) -> TaskGroup:
        submission = Submission(spec="", stages=(Stage(count=1),))
        job = Job(job_id(order), route, SERVICE, submission, b"", 0, order, 0.0, PLAIN)
        step = new_task_group(job, 0, 0)
        step.latest_start, step.drain_s = latest_start, drain_s
        step.deadline, step.late_deadline = latest_start + 5.0, latest_start + 50.0
        return step

    def ordered(self, *task_groups: TaskGroup) -> list[int]:
        """Orders of the jobs in the order in which they are served."""
        queue = WorkQueue(lambda step: 0 if step.job.route == "urgent" else 1)
        for step in task_groups:
            queue.add(step, 0.0)
        return [step.job.order for step in queue.in_order()]

    def test_priority_goes_before_all_else(self) -> None:
        plain = self.waiting_step(1, "plain", latest_start=1.0)
        urgent = self.waiting_step(2, "urgent", latest_start=90.0, drain_s=50.0)
        self.assertEqual([2, 1], self.ordered(plain, urgent))

    def test_the_one_that_must_start_sooner_goes_first(self) -> None:
        self.assertEqual([2, 1], self.ordered(self.waiting_step(1, "plain", 12.0), self.waiting_step(2, "plain", 11.0)))

    def test_small_jobs_go_before_large_ones(self) -> None:
        large = self.waiting_step(1, "plain", drain_s=2.0)
        small = self.waiting_step(2, "plain", drain_s=0.1)
        self.assertEqual([2, 1], self.ordered(large, small))

    def test_what_can_only_be_late_goes_last(self) -> None:
        queue = WorkQueue(lambda step: 1)
        late, timely = self.waiting_step(1, "plain", 10.0), self.waiting_step(2, "plain", 90.0)
        queue.add(late, 30.0)
        queue.add(timely, 30.0)
        self.assertEqual([2, 1], [step.job.order for step in queue.in_order()])

    def fill(self) -> None:
        """Let urgent work, which nothing stops, take all workers for a while."""
        self.submit(THIRD, body(stage(4, cpu=WORKER_CPU)), 1.5, URGENT)
        self.wait_for_runs(THIRD, 4)

    def test_an_urgent_job_overtakes_in_the_cluster(self) -> None:
        self.make()
        self.fill()
        self.submit(JOB, body(stage(4, cpu=WORKER_CPU)))
        self.submit(OTHER, body(stage(4, cpu=WORKER_CPU)), route=URGENT)
        self.assert_completes(JOB)
        self.assertLess(
            max(start[0] for start in self.starts_of(OTHER)), min(start[0] for start in self.starts_of(JOB))
        )

    def test_a_small_job_overtakes_a_large_one_with_the_same_latest_start(self) -> None:
        self.make()
        self.fill()
        self.submit(JOB, body(*(stage(4, cpu=WORKER_CPU) for _ in range(4))))
        self.submit(OTHER, body(stage(4, cpu=WORKER_CPU)))
        context = self.primary.scheduler.context
        large, small = context.jobs[JOB].task_groups[0, 0], context.jobs[OTHER].task_groups[0, 0]
        self.assertLess(large.latest_start, small.latest_start, "the large one was first")
        self.assertLess(small.latest_start, large.latest_start + 0.1)
        self.assert_completes(JOB)
        self.assertLess(
            max(start[0] for start in self.starts_of(OTHER)), min(start[0] for start in self.starts_of(JOB))
        )


class Preempting(SchedulingCase):
    """Urgent work takes room from others, within bounds."""

    def fill(self, **rest: Any) -> None:
        """Let plain work take all workers."""
        self.submit(JOB, body(stage(4, cpu=WORKER_CPU, **rest)), 20.0)
        self.wait_for_runs(JOB, 4)

    def test_an_urgent_task_takes_the_room_of_a_lower_one(self) -> None:
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

    def test_room_is_made_in_the_pass_that_finds_none(self) -> None:
        cluster = self.make()
        self.fill(checkpoints=True)
        self.submit(OTHER, body(stage(cpu=WORKER_CPU)))  # what waits has passes made, only some of them full
        filling = self.primary.scheduler.context.jobs[JOB]
        for number in range(4):
            cluster.run(0.07)
            self.submit(job_id(10 + number), body(stage(cpu=WORKER_CPU)), 20.0, URGENT)  # 0.05 s pass
            stopping = [run for step in filling.task_groups.values() for run in step.runs() if run.stop_cause]
            stopped = self.ends_of(JOB, "stopped")
            self.assertEqual(number + 1, len(stopping) + len(stopped))

    def test_others_wait_for_their_turn(self) -> None:
        cluster = self.make()
        self.fill(checkpoints=True)
        self.submit(OTHER, body(stage(cpu=WORKER_CPU)))
        cluster.run(4.0)
        self.assertEqual([], self.ends_of(JOB, "stopped"))
        self.assertEqual("pending", cluster.job_state(OTHER))

    def test_urgent_work_is_not_stopped_for_urgent_work(self) -> None:
        cluster = self.make()
        self.submit(JOB, body(stage(4, cpu=WORKER_CPU, checkpoints=True)), 20.0, URGENT)
        self.wait_for_runs(JOB, 4)
        self.submit(OTHER, body(stage(cpu=WORKER_CPU)), 1.0, URGENT)
        cluster.run(4.0)
        self.assertEqual([], self.ends_of(JOB, "stopped"))
        self.assertEqual([], self.starts_of(OTHER))

    def test_much_work_is_not_thrown_away_for_little(self) -> None:
        cluster = self.make()
        self.fill()
        cluster.run(6.0)
        self.submit(OTHER, body(stage(cpu=WORKER_CPU)), 1.0, URGENT)
        cluster.run(3.0)
        self.assertEqual([], self.ends_of(JOB, "stopped"))


class Objective(SchedulingCase):
    """By when a job has to be done is corrected by what its runs turn out to take."""

    STRETCH = PLAIN.stretch
    TARGET_S = PLAIN.target_latency_ms / 1_000.0

    def objective_s(self, step: int = 0) -> float:
        """From its acceptance to the deadline of the job."""
        job = self.primary.scheduler.context.jobs[JOB]
        return job.task_groups[0, step].deadline - job.accepted_at

    def test_it_begins_with_the_estimates(self) -> None:
        self.make()
        self.submit(JOB, body(stage(estimatedMs=2_000), stage(dependsOn=[0], estimatedMs=500)), 2.0)
        self.assertAlmostEqual(self.STRETCH * 2.5 + self.TARGET_S, self.objective_s(1), places=3)

    def test_work_that_takes_longer_moves_the_deadline_of_all_steps(self) -> None:
        self.make()
        self.submit(JOB, body(stage(2, estimatedMs=1_000), stage(dependsOn=[0], estimatedMs=1_000)), 2.0)
        self.wait_for_runs(f"{JOB}.0.1")
        later_s = self.STRETCH * 1.0
        expected_s = self.STRETCH * 2.0 + self.TARGET_S + later_s
        self.assertAlmostEqual(expected_s, self.objective_s(0), delta=0.4 * self.STRETCH)
        self.assertEqual(self.objective_s(0), self.objective_s(1))
        step = self.primary.scheduler.context.jobs[JOB].task_groups[0, 1]
        self.assertAlmostEqual(1.0, step.deadline - step.latest_start, places=3)

    def test_work_that_takes_less_brings_it_forward(self) -> None:
        self.make()
        self.submit(JOB, body(stage(2, estimatedMs=4_000), stage(dependsOn=[0], estimatedMs=1_000)), 1.0)
        before_s = self.objective_s(1)
        self.wait_for_runs(f"{JOB}.0.1")
        self.assertLess(self.objective_s(1), before_s - self.STRETCH * 2.5)

    def test_a_try_that_failed_by_itself_counts(self) -> None:
        self.make()
        self.submit(JOB, body(stage(), stage(dependsOn=[0])), 1.0, fails=first_runs_fail(1))
        before_s = self.objective_s(1)
        self.wait_for_runs(f"{JOB}.0.1")
        self.assertGreater(self.objective_s(1), before_s + 0.2 * self.STRETCH)

    def test_a_run_that_a_stalled_worker_drags_out_counts_no_more_than_thrice(self) -> None:
        cluster = self.make(workers=1)
        self.submit(JOB, body(stage(estimatedMs=200), stage(dependsOn=[0], estimatedMs=200)), 0.2)
        cluster.workers[0].set_speed(0.02)
        self.wait_for_runs(f"{JOB}.0.1", limit=30.0)
        self.assertLess(self.objective_s(1), self.STRETCH * 0.2 * (MOST_BEYOND_ESTIMATE + 1.0) + self.TARGET_S + 0.01)

    def test_what_is_left_to_do_shrinks_with_the_job(self) -> None:
        self.make()
        self.submit(JOB, body(stage(4, cpu=4_000), stage(4, cpu=4_000, dependsOn=[0])), 1.0)
        step = self.primary.scheduler.context.jobs[JOB].task_groups[0, 1]
        before_s = step.drain_s
        self.wait_for_runs(f"{JOB}.0.1")
        self.assertAlmostEqual(0.5 * before_s, step.drain_s, delta=0.2 * before_s)


class Retries(SchedulingCase):
    """A task that failed is the furthest behind of its step."""

    def test_it_goes_before_the_others_of_its_step(self) -> None:
        self.make(workers=2)
        first = f"{JOB}.0.0.0"
        self.submit(JOB, body(stage(8, cpu=WORKER_CPU)), 1.0, fails=lambda task, run, node: task == first and run == 1)
        self.wait_until(lambda: bool(self.ends_of(JOB, "done")), 10.0)
        self.wait_until(lambda: len(self.starts_of(first)) == 2, 10.0)
        self.assertLessEqual(len({start[1] for start in self.starts_of(JOB)}), 5, "others of its step went first")

    def test_caution_lasts_no_longer_than_it_must(self) -> None:
        cluster = self.make(workers=2)
        self.submit(JOB, body(stage(cpu=WORKER_CPU)), 0.3, fails=first_runs_fail(1))
        failed_on = self.wait_for_runs(JOB)[0][0]
        other = next(worker.node for worker in cluster.workers if worker.node != failed_on)
        context = self.primary.scheduler.context
        context.workers[other].health.note_failure(OTHER, context.clock.now())
        self.wait_until(lambda: len(self.starts_of(JOB)) == 2, 3.0)
        self.assertEqual(other, self.starts_of(JOB)[1][3])
        waited_s = self.starts_of(JOB)[1][0] - self.ends_of(JOB, "failed")[0][0]
        self.assertLess(waited_s, 0.5 * (CAUTION_S + PATIENCE_S))


class Polls(SchedulingCase):
    """How closely agents are to look at their workers."""

    def poll_interval_ms(self, node: str) -> int:
        """What an agent is told, as an answer to a report that brings nothing new."""
        known = self.primary.scheduler.context.workers[node]
        replies: list[Struct] = []
        report = AgentReport(node=node, incarnation=known.incarnation, number=known.report_number)
        self.primary.process.handlers.call(report, replies.append)
        self.wait_until(lambda: bool(replies), 1.0)
        assert isinstance(replies[0], AgentOrders)
        return replies[0].poll_interval_ms

    def test_agents_look_sooner_while_work_waits_for_room(self) -> None:
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
