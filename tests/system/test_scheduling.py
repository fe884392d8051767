"""Tests of the scheduler in virtual time; in each of them the judge checks the rules of the whole cluster."""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import msgspec
from msgspec import Struct

from pipitledge.scheduling import job as job_module
from pipitledge.scheduling.lifecycle import RETENTION_FACTOR
from pipitledge.scheduling.records import JOB_PREFIX, job_key, read_state
from pipitledge.wire.codec import decode_record
from pipitledge.wire.messages import (
    CallKind,
    ClientCall,
    ClientReply,
    JobRecord,
    JobState,
)
from tests.system.scheduling_case import (
    ENDLESS_S,
    FIRST_TASK,
    JOB,
    MAX_CLOCK_READINGS,
    OTHER,
    THIRD,
    WORKER_CPU,
    SchedulingCase,
    body,
    first_runs_fail,
    stage,
    state_of,
    status_of,
)
from tests.system.scheduling_cluster import (
    BOUNDS,
    PLAIN,
    URGENT,
)


class ClientCalls(SchedulingCase):
    """Answers to client calls."""

    def test_job_submitted_twice_runs_once(self) -> None:
        self.make()
        self.submit(JOB, body(stage(3)))
        self.submit(JOB, body(stage(3)))
        self.assert_completes(JOB)
        self.submit(JOB, body(stage(3)))
        self.cluster.run(2.0)
        self.assertEqual(
            [f"{JOB}.0.0.{index}" for index in range(3)], sorted(start[1] for start in self.starts_of(JOB))
        )
        self.assertEqual("completed", self.cluster.job_state(JOB))

    def test_submission_is_acknowledged_only_after_its_commit(self) -> None:
        cluster = self.make()
        self.primary.replicator.stalled = True
        replies = cluster.submit(JOB, body(stage()))
        again = cluster.submit(JOB, body(stage()))
        cluster.run(1.0)
        self.assertEqual([], replies + again)
        self.primary.replicator.resume()
        self.assertEqual([200, 200], [status_of(replies), status_of(again)])
        self.assertIn(job_key(JOB), cluster.state)

    def test_unknown_queue_is_not_found(self) -> None:
        cluster = self.make()
        content = json.dumps(body(stage())).encode()
        for kind in CallKind:
            self.assertEqual(404, status_of(cluster.call(kind, "/nowhere/" + JOB, content)), kind)
        replies: list[Struct] = []
        call = ClientCall(kind=CallKind.SUBMIT, host="other.example", path=PLAIN.path_prefix + JOB, body=content)
        self.primary.process.handlers.call(call, replies.append)
        self.assertEqual(404, status_of(replies))
        self.assertEqual([], [key for key in cluster.state if key.startswith(JOB_PREFIX)])

    def test_invalid_body_is_rejected_with_the_path_of_the_wrong_field(self) -> None:
        cluster = self.make()
        cases: list[tuple[str, Any]] = [
            ("body", [1]),
            ("$.stages[0].count", body(stage(cpu=1, count="many"))),  # type: ignore[arg-type]
            ("stages", body()),
            ("spec", body(stage(), spec="x" * 4_001)),
            ("stages[1].count", body(stage(), stage(0))),
            ("stages[0].cpu", body(stage(cpu=-1))),
            ("stages[0].dependsOn", body(stage(dependsOn=[0]))),
            ("stages[1].dependsOn", body(stage(), stage(dependsOn=[2]))),
            ("repeatCount", body(stage(), repeatCount=-1)),
            ("intervalMs", body(stage(), intervalMs=-1)),
            ("startAtMs", body(stage(), startAtMs=-1)),
        ]
        for path, content in cases:
            with self.subTest(path=path):
                replies = cluster.call(CallKind.SUBMIT, PLAIN.path_prefix + JOB, json.dumps(content).encode())
                self.assertEqual(400, status_of(replies))
                assert isinstance(replies[0], ClientReply)
                error = json.loads(replies[0].body)["error"]
                self.assertTrue(error.startswith(path + ":") or (path.startswith("$") and path in error), error)
        replies = cluster.call(CallKind.SUBMIT, PLAIN.path_prefix + "no-id", json.dumps(body(stage())).encode())
        self.assertEqual(400, status_of(replies))
        cluster.route_of[JOB] = PLAIN
        self.assertEqual("410", cluster.job_state(JOB))

    def test_node_without_configuration_answers_unavailable(self) -> None:
        cluster = self.make()
        cluster.configuration = None
        replies = cluster.submit(JOB, body(stage()))
        self.assertEqual(503, status_of(replies))
        assert isinstance(replies[0], ClientReply)
        self.assertGreater(replies[0].retry_after_ms, 0)
        cluster.run(2.0)
        self.assertEqual([], self.starts_of(JOB))

    def test_negative_number_in_a_stage_is_rejected_under_its_json_name(self) -> None:
        cluster = self.make()
        for field in ("cpu", "memoryLimitMb", "gpu", "estimatedMs", "antiAffinity"):
            with self.subTest(field=field):
                content = json.dumps(body({**stage(), field: -1})).encode()
                replies = cluster.call(CallKind.SUBMIT, PLAIN.path_prefix + JOB, content)
                self.assertEqual(400, status_of(replies))
                assert isinstance(replies[0], ClientReply)
                self.assertEqual(f"stages[0].{field}: below 0", json.loads(replies[0].body)["error"])

    def test_a_check_of_a_job_does_not_look_at_the_type_of_each_stage(self) -> None:
        """Guards against LOST of review case 4: a takeover took seconds, most of them to evaluate annotations anew."""
        content = json.dumps(body(stage(), stage(), stage())).encode()
        with mock.patch.object(job_module, "fields", side_effect=AssertionError("the type was looked at")):
            self.assertIsInstance(job_module.parse_submission(content), job_module.Submission)

    def test_a_takeover_does_not_check_again_what_was_accepted(self) -> None:
        """Guards against the same: what a client handed in is checked once, when it is accepted."""
        cluster = self.make()
        self.submit(JOB, body(stage(count=2)), 30.0)
        self.wait_for_runs(JOB)
        with (
            mock.patch.object(job_module, "_check_stages", side_effect=AssertionError("stages were checked")),
            mock.patch.object(job_module, "_check_job", side_effect=AssertionError("the job was checked")),
        ):
            stored = read_state(dict(cluster.state))
        self.assertEqual([JOB], list(stored.jobs))

    def test_unknown_job_is_answered_as_gone(self) -> None:
        cluster = self.make()
        for kind in (CallKind.STATE, CallKind.CANCEL):
            replies = cluster.call(kind, PLAIN.path_prefix + JOB)
            cluster.run(0.05)
            self.assertEqual(410, status_of(replies))

    def test_state_is_pending_then_running_then_completed(self) -> None:
        cluster = self.make(workers=1)
        self.submit(JOB, body(stage(cpu=WORKER_CPU)), 2.0)
        self.submit(OTHER, body(stage(cpu=WORKER_CPU)))
        self.wait_for_runs(JOB)
        self.assertEqual(["running", "pending"], [cluster.job_state(JOB), cluster.job_state(OTHER)])
        count = cluster.call(CallKind.COUNT, PLAIN.path_prefix)
        cluster.run(0.05)
        assert isinstance(count[0], ClientReply)
        self.assertEqual({"pending": 1}, json.loads(count[0].body))
        self.assert_completes(OTHER)

    def test_completed_is_reported_only_after_all_tasks_are_done(self) -> None:
        cluster = self.make()
        self.submit(JOB, body(stage(2, cpu=WORKER_CPU)))
        slow = self.wait_for_runs(JOB, 2)[0][0]
        cluster.worker(slow).set_speed(0.3)
        self.wait_until(lambda: len(self.ends_of(JOB, "done")) == 1, 3.0)
        cluster.run(0.7)
        self.assertEqual("running", cluster.job_state(JOB))
        self.assert_completes(JOB)
        self.assertEqual(2, len(self.ends_of(JOB, "done")))

    def test_completed_is_reported_only_after_its_commit(self) -> None:
        cluster = self.make()
        self.submit(JOB, body(stage()))
        self.wait_for_runs(JOB)
        self.primary.replicator.stalled = True
        self.wait_until(lambda: bool(self.ends_of(JOB, "done")), 3.0)
        cluster.run(0.8)
        asked = cluster.call(CallKind.STATE, PLAIN.path_prefix + JOB)
        cluster.run(0.8)
        self.assertEqual([], asked, "an answer depends on uncommitted state")
        self.primary.replicator.resume()
        cluster.run(0.05)
        self.assertEqual("completed", state_of(asked))
        self.assertEqual(JobState.COMPLETED, decode_record(cluster.state[job_key(JOB)], JobRecord).state)

    def test_state_of_an_ended_job_is_kept_for_its_retention_time(self) -> None:
        bounds = msgspec.structs.replace(BOUNDS, status_s=8.0)
        cluster = self.make(bounds=bounds)
        self.submit(JOB, body(stage()))
        self.assert_completes(JOB)
        ended = cluster.world.time
        cluster.run(bounds.status_s)
        self.assertEqual("completed", cluster.job_state(JOB))
        cluster.promote()
        cluster.run(0.5)
        self.assertEqual("completed", cluster.job_state(JOB))
        self.assertTrue(cluster.wait_for(JOB, "410", 2.0 * RETENTION_FACTOR * bounds.status_s), cluster.job_state(JOB))
        self.assertGreater(cluster.world.time - ended, bounds.status_s)
        cluster.run(0.1)
        self.assertNotIn(job_key(JOB), cluster.state)


class Cancelling(SchedulingCase):
    """Cancelled jobs stop and do not start again."""

    def test_running_tasks_are_stopped_and_no_others_start(self) -> None:
        cluster = self.make()
        self.submit(JOB, body(stage(30, cpu=2_000), stage(2, dependsOn=[0])), 5.0)
        self.wait_for_runs(JOB, 16)
        cluster.cancel(JOB)
        cluster.run(0.1)
        before = len(self.starts_of(JOB))
        cluster.run(BOUNDS.stop_ms / 1_000.0 + 1.0)
        self.assertEqual([], cluster.runs_of(JOB))
        self.assertEqual(16, len(self.ends_of(JOB, "stopped")))
        cluster.run(6.0)
        self.assertEqual(before, len(self.starts_of(JOB)))
        self.assertEqual("cancelled", cluster.job_state(JOB))
        self.assertEqual([], list(self.records()))

    def test_start_order_in_flight_is_cancelled_too(self) -> None:
        cluster = self.make(workers=1)
        worker = cluster.workers[0]
        worker.unanswered = 1.0
        self.submit(JOB, body(stage()), ENDLESS_S)
        cluster.run(1.0)
        cluster.cancel(JOB)
        cluster.run(0.4)
        worker.unanswered = 0.0
        cluster.run(8.0)
        self.assertEqual([], cluster.runs_of(JOB))
        self.assertEqual([], list(self.records()))

    def test_new_primary_stops_the_runs_of_a_cancelled_job(self) -> None:
        cluster = self.make()
        self.submit(JOB, body(stage(4)), ENDLESS_S)
        self.wait_for_runs(JOB, 4)
        replies = cluster.call(CallKind.CANCEL, PLAIN.path_prefix + JOB)
        self.wait_until(lambda: bool(replies), 1.0)
        cluster.promote()
        cluster.run(3.0)
        self.assertEqual([], cluster.runs_of(JOB))
        self.assertEqual("cancelled", cluster.job_state(JOB))


class DependenciesAndDueTimes(SchedulingCase):
    """Dependencies between stages, and due times of occurrences."""

    def test_stage_waits_for_all_its_dependencies(self) -> None:
        self.make()
        self.submit(JOB, body(stage(3), stage(2), stage(2, dependsOn=[0, 1]), stage(1, dependsOn=[2])), 0.5)
        self.assert_completes(JOB)
        begun = {task: time for time, task, *_ in self.starts_of(JOB)}
        ended = {task: time for time, task, *_ in self.ends_of(JOB, "done")}

        def times_of_stages(times: dict[str, float], *stages: int) -> list[float]:
            return [time for task, time in times.items() if int(task.split(".")[2]) in stages]

        self.assertEqual(8, len(begun))
        self.assertGreater(min(times_of_stages(begun, 2)), max(times_of_stages(ended, 0, 1)))
        self.assertGreater(min(times_of_stages(begun, 3)), max(times_of_stages(ended, 2)))

    def test_occurrences_start_when_they_are_due(self) -> None:
        for ahead_ms in (100, 700):
            with self.subTest(ahead_ms=ahead_ms):
                self.check_occurrences(ahead_ms)

    def check_occurrences(self, ahead_ms: int) -> None:
        cluster = self.make()
        start_ms = cluster.wall_ms() + ahead_ms
        content = body(stage(2), startAtMs=start_ms, intervalMs=500, repeatCount=4)
        self.submit(JOB, content, 1.2)  # occurrences overlap
        self.assert_completes(JOB)
        self.assertEqual(8, len(self.starts_of(JOB)))
        for time_s, task, *_ in self.starts_of(JOB):
            late_ms = 1_700_000_000_000 + time_s * 1_000.0 - (start_ms + int(task.split(".")[1]) * 500)
            self.assertGreaterEqual(late_ms, 0.0, task)
            self.assertLess(late_ms, 300.0, task)

    def test_new_primary_starts_no_occurrence_early(self) -> None:
        cluster = self.make()
        start_ms = cluster.wall_ms() + 1_000
        self.submit(JOB, body(stage(), startAtMs=start_ms, intervalMs=1_000, repeatCount=3), 0.3)
        cluster.run(1.5)
        cluster.promote()
        self.assert_completes(JOB)
        self.assertEqual(
            [f"{JOB}.{occurrence}.0.0" for occurrence in range(3)], [start[1] for start in self.starts_of(JOB)]
        )
        for time_s, task, *_ in self.starts_of(JOB):
            due_ms = start_ms + int(task.split(".")[1]) * 1_000
            self.assertGreaterEqual(1_700_000_000_000 + time_s * 1_000.0, due_ms, task)

    def test_single_clock_reading_that_jumps_ahead_starts_nothing_early(self) -> None:
        for reading in range(1, 12):
            with self.subTest(reading=reading):
                cluster = self.make()
                start_ms = cluster.wall_ms() + 600
                self.submit(JOB, body(stage(), startAtMs=start_ms, intervalMs=60_000, repeatCount=2), 0.2)
                context = self.primary.scheduler.context
                wall = JumpingClock(cluster.wall_ms, reading)
                context.ports = msgspec.structs.replace(context.ports, wall_ms=wall)
                cluster.run(1.5)
                self.assertGreater(wall.readings, reading)
                self.assertEqual([f"{JOB}.0.0.0"], [start[1] for start in self.starts_of(JOB)])
                self.assertGreaterEqual(1_700_000_000_000 + self.starts_of(JOB)[0][0] * 1_000.0, start_ms)


class JumpingClock:
    """A wall clock with one reading that is far ahead."""

    def __init__(self, wall_ms: Callable[[], int], reading: int) -> None:
        self._wall_ms = wall_ms
        self._reading = reading
        self.readings = 0

    def __call__(self) -> int:
        """Return the next reading."""
        self.readings += 1
        if self.readings > MAX_CLOCK_READINGS:
            raise AssertionError("the clock is read in an endless loop")
        return self._wall_ms() + (10_000 if self.readings == self._reading else 0)


class Placement(SchedulingCase):
    """Placement constraints and preferences."""

    def nodes_of(self, job: str) -> list[str]:
        return sorted(start[3] for start in self.starts_of(job))

    def test_node_selector_is_respected(self) -> None:
        cluster = self.make()
        self.submit(JOB, body(stage(6, cpu=4_000, nodeSelector="a")))
        self.submit(OTHER, body(stage(nodeSelector="nobody")))
        self.assert_completes(JOB)
        self.assertEqual({"w1", "w3"}, set(self.nodes_of(JOB)))
        self.assertEqual("pending", cluster.job_state(OTHER))
        self.assertEqual([], self.starts_of(OTHER))

    def test_node_selector_goes_before_affinity(self) -> None:
        self.make()
        self.submit(JOB, body(stage(2, nodeSelector="a", affinity="r1-0")))  # no worker has both labels
        self.assert_completes(JOB)
        self.assertLessEqual(set(self.nodes_of(JOB)), {"w1", "w3"})

    def test_anti_affinity_limits_the_tasks_of_a_stage_on_one_worker(self) -> None:
        self.make(workers=3)
        self.submit(JOB, body(stage(7, cpu=100, antiAffinity=2)), 1.5)
        self.wait_for_runs(JOB, 6)
        self.cluster.run(0.7)
        self.assertEqual(["w0", "w0", "w1", "w1", "w2", "w2"], sorted(node for node, _ in self.cluster.runs_of(JOB)))
        self.assert_completes(JOB)

    def test_affinity_is_preferred_while_resources_are_free_there(self) -> None:
        self.make()
        self.submit(JOB, body(stage(4, cpu=3_000, affinity="r1-1")))
        self.assert_completes(JOB)
        self.assertEqual(["w1", "w1", "w3", "w3"], self.nodes_of(JOB))

    def test_task_goes_elsewhere_if_no_resources_are_free_near_its_data(self) -> None:
        self.make()
        self.submit(OTHER, body(stage(2, cpu=WORKER_CPU, nodeSelector="r1-1")), ENDLESS_S)
        self.wait_for_runs(OTHER, 2)
        self.submit(JOB, body(stage(affinity="r1-1")))
        self.wait_for_runs(JOB, limit=1.5)
        self.assertIn(self.nodes_of(JOB)[0], ("w0", "w2"))

    def test_same_rack_gang_runs_on_one_rack(self) -> None:
        self.make()
        self.submit(JOB, body(stage(4, cpu=3_000, gang=True)))
        self.assert_completes(JOB)
        self.submit(OTHER, body(stage(4, cpu=3_000, gang=True, sameRack=True)))
        self.assert_completes(OTHER)
        self.assertEqual(
            ["w0", "w1", "w2", "w3"], self.nodes_of(JOB), "without sameRack the gang is expected to use all workers"
        )
        self.assertIn(set(self.nodes_of(OTHER)), ({"w0", "w2"}, {"w1", "w3"}))


class Gangs(SchedulingCase):
    """Gangs: tasks that run together or not at all."""

    def test_all_members_start_together_under_one_run_number(self) -> None:
        cluster = self.make()
        self.submit(OTHER, body(stage(cpu=WORKER_CPU)), 2.0)
        self.wait_for_runs(OTHER)
        self.submit(JOB, body(stage(4, cpu=WORKER_CPU, gang=True)))
        cluster.run(1.0)
        self.assertEqual([], self.starts_of(JOB), "only part of the gang started")
        self.assert_completes(JOB)
        times = [start[0] for start in self.starts_of(JOB)]
        self.assertLess(max(times) - min(times), 0.1)
        self.assertEqual([1] * 4, [start[2] for start in self.starts_of(JOB)])
        self.assertGreater(min(times), self.ends_of(OTHER, "done")[0][0])

    def test_gang_that_never_fits_does_not_start(self) -> None:
        cluster = self.make()
        self.submit(JOB, body(stage(5, cpu=WORKER_CPU, gang=True)))
        cluster.run(3.0)
        self.assertEqual([], self.starts_of(JOB))
        self.assertEqual("pending", cluster.job_state(JOB))

    def test_all_members_resume_from_one_checkpoint(self) -> None:
        self.make()
        self.submit(
            JOB,
            body(stage(3, gang=True, checkpoints=True)),
            2.0,
            fails=lambda task, run, node: run == 1 and task == f"{JOB}.0.0.1",
        )
        self.assert_completes(JOB)
        again = [start for start in self.starts_of(JOB) if start[2] == 2]
        self.assertEqual(3, len(again))
        self.assertEqual(6, len(self.starts_of(JOB)))
        self.assertEqual(1, len({start[4] for start in again}))
        self.assertTrue(again[0][4])

    def test_one_member_done_completes_the_gang(self) -> None:
        cluster = self.make()
        self.submit(JOB, body(stage(3, cpu=WORKER_CPU, gang=True), stage(1, dependsOn=[0])), 1.5)
        node = self.wait_for_runs(JOB, 3)[0][0]
        cluster.run(0.4)
        cluster.disconnect_agent(node, 6.0)
        self.assert_completes(JOB, 5.0)
        self.assertLess(cluster.world.time, cluster.disconnected_until[node])
        self.assertEqual(4, len(self.starts_of(JOB)))
        cluster.run(9.0)
        self.assertEqual(4, len(self.starts_of(JOB)))

    def test_settled_member_occupies_resources_until_its_end_is_known(self) -> None:
        cluster = self.make()
        self.submit(JOB, body(stage(3, cpu=WORKER_CPU, gang=True)), 1.5)
        node = self.wait_for_runs(JOB, 3)[0][0]
        cluster.run(0.4)
        cluster.disconnect_agent(node, 6.0)
        self.assert_completes(JOB, 5.0)
        known = self.primary.scheduler.context.workers[node]
        self.assertEqual(0, known.free_cpu)
        cluster.run(9.0)
        self.assertEqual(WORKER_CPU, known.free_cpu)

    def test_gang_restarts_only_when_all_its_runs_have_ended(self) -> None:
        cluster = self.make()
        self.submit(
            JOB,
            body(stage(3, cpu=2_000, gang=True)),
            3.0,
            fails=lambda task, run, node: run == 1 and task == FIRST_TASK,
        )
        runs = self.wait_for_runs(JOB, 3)
        node = next(node for node, live in runs if live.task != FIRST_TASK)
        cluster.run(0.4)
        cluster.disconnect_agent(node, 4.0)
        reconnected_at = cluster.disconnected_until[node]
        self.assert_completes(JOB)
        again = [start for start in self.starts_of(JOB) if start[2] == 2]
        self.assertEqual(3, len(again))
        self.assertEqual(6, len(self.starts_of(JOB)))
        self.assertLess(self.ends_of(JOB, "failed")[0][0], reconnected_at - 2.0)
        self.assertGreater(min(start[0] for start in again), reconnected_at)

    def test_failures_of_members_in_one_run_count_as_one_attempt(self) -> None:
        cluster = self.make()
        self.submit(JOB, body(stage(3, gang=True)), 0.5, fails=lambda task, run, node: True)
        self.assertTrue(cluster.wait_for(JOB, "failed", 20.0), cluster.job_state(JOB))
        self.assertEqual({1, 2, 3}, {start[2] for start in self.starts_of(JOB)})
        self.assertEqual(9, len(self.starts_of(JOB)))


class Runs(SchedulingCase):
    """Outcomes of runs, retries and checkpoints."""

    def test_long_running_task_is_restarted_until_it_is_cancelled(self) -> None:
        cluster = self.make()
        self.submit(JOB, body(stage(longRunning=True)), 1.0, fails=first_runs_fail(PLAIN.max_attempts + 1))
        self.wait_until(lambda: len(self.starts_of(JOB)) == PLAIN.max_attempts + 2, 20.0)
        for how in ("failed", "lapsed", "stopped"):
            before = len(self.starts_of(JOB))
            cluster.run(4.0)
            self.finish(JOB, how)
            self.wait_until(lambda before=before: len(self.starts_of(JOB)) == before + 1, 6.0)  # type: ignore[misc]
            self.assertEqual("running", cluster.job_state(JOB))
        cluster.cancel(JOB)
        cluster.run(1.0)
        before = len(self.starts_of(JOB))
        cluster.run(8.0)
        self.assertEqual([], cluster.runs_of(JOB))
        self.assertEqual(before, len(self.starts_of(JOB)))
        self.assertEqual("cancelled", cluster.job_state(JOB))

    def test_task_without_attempts_left_fails_its_job(self) -> None:
        cluster = self.make()
        self.submit(JOB, body(stage(), stage(dependsOn=[0])), 0.5, fails=lambda task, run, node: True)
        self.assertTrue(cluster.wait_for(JOB, "failed", 20.0), cluster.job_state(JOB))
        cluster.run(5.0)
        self.assertEqual([1, 2, 3], [start[2] for start in self.starts_of(JOB)])
        self.assertEqual(PLAIN.max_attempts, len(self.ends_of(JOB, "failed")))

    def test_task_that_succeeds_on_its_last_attempt_completes_its_job(self) -> None:
        self.make()
        self.submit(JOB, body(stage()), 0.5, fails=first_runs_fail(PLAIN.max_attempts - 1))
        self.assert_completes(JOB)
        self.assertEqual(PLAIN.max_attempts, len(self.starts_of(JOB)))

    def test_lapsed_and_stopped_runs_count_as_no_attempt(self) -> None:
        for how in ("lapsed", "stopped"):
            with self.subTest(how=how):
                self.make()
                self.submit(JOB, body(stage()), 1.0)
                for _ in range(PLAIN.max_attempts + 1):
                    self.finish(JOB, how)
                    self.cluster.run(0.5)
                self.assert_completes(JOB)
                self.assertEqual(PLAIN.max_attempts + 2, len(self.starts_of(JOB)))

    def test_start_order_is_sent_only_after_the_commit(self) -> None:
        cluster = self.make()
        self.primary.replicator.stalled = True
        cluster.submit(JOB, body(stage(3)))
        cluster.run(3.0)  # reports are answered in the meantime
        self.assertEqual([], self.starts_of(JOB))
        self.assertEqual({}, cluster.state)
        self.primary.replicator.resume()
        self.assert_completes(JOB)
        self.assertEqual(3, len(self.starts_of(JOB)))

    def test_checkpoint_is_passed_to_the_next_run(self) -> None:
        cluster = self.make()
        self.submit(JOB, body(stage(checkpoints=True)), 2.0)
        self.submit(OTHER, body(stage()), 2.0)
        self.wait_for_runs(JOB)
        cluster.run(1.2)
        saved = self.finish(JOB, "lapsed").saved
        self.finish(OTHER, "lapsed")
        self.assertTrue(saved)
        self.assert_completes(JOB)
        self.assert_completes(OTHER)
        self.assertEqual(["", saved], [start[4] for start in self.starts_of(JOB)])
        self.assertEqual(["", ""], [start[4] for start in self.starts_of(OTHER)])

    def test_checkpoint_survives_a_change_of_primary(self) -> None:
        cluster = self.make(workers=1)
        self.submit(OTHER, body(stage(cpu=1_000)), ENDLESS_S)
        self.submit(JOB, body(stage(cpu=7_000, checkpoints=True)), 2.0)
        self.wait_for_runs(JOB)
        cluster.run(1.2)
        node, live = cluster.runs_of(JOB)[0]
        self.submit(THIRD, body(stage(cpu=7_000)), 1.0, URGENT)  # it is placed first
        cluster.worker(node).finish(live, "lapsed")
        self.wait_for_runs(THIRD)
        cluster.promote()
        self.assert_completes(JOB)
        self.assertTrue(live.saved)
        self.assertEqual(["", live.saved], [start[4] for start in self.starts_of(JOB)])

    def test_run_ends_are_acknowledged_only_after_their_commit(self) -> None:
        cluster = self.make(workers=1)
        worker = cluster.workers[0]
        self.submit(OTHER, body(stage()), ENDLESS_S)  # so that the agent keeps asking for the lists of the worker
        self.submit(JOB, body(stage()))
        self.wait_for_runs(JOB)
        self.primary.replicator.stalled = True
        self.wait_until(lambda: bool(self.ends_of(JOB, "done")), 3.0)
        cluster.run(3.0)
        self.assertEqual([FIRST_TASK], [end.task for end in worker.life.ends])
        self.assertNotIn(FIRST_TASK, cluster.judge.acknowledged_done)
        self.assertEqual(1, len(cluster.runs_of(OTHER)), "lease grants must be renewed in the meantime")
        self.primary.replicator.resume()
        cluster.run(3.0)
        self.assertEqual([], worker.life.ends)
        self.assertIn(FIRST_TASK, cluster.judge.acknowledged_done)


if __name__ == "__main__":
    unittest.main()
