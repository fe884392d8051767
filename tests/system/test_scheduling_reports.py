"""Agent reports that are late, from replaced processes, or with refusals to be confirmed; the agent is scripted."""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable

from msgspec import Struct

from pipitledge.configuration.model import Configuration, Service
from pipitledge.runtime.handlers import Handlers
from pipitledge.scheduling.context import NodeIdentity, Ports, SchedulerTimings
from pipitledge.scheduling.job import Submission, parse_submission
from pipitledge.scheduling.placement import PlacementRequest, WorkerRanking
from pipitledge.scheduling.scheduler import Scheduler
from pipitledge.scheduling.tasks import Job, ResourceRequest, Run, TaskGroup, new_task_group
from pipitledge.scheduling.workers import Worker
from pipitledge.wire.codec import decode_record, encode_record
from pipitledge.wire.messages import (
    AgentOrders,
    AgentReport,
    CallKind,
    ClientCall,
    ClientReply,
    FinishedTask,
    JobRecord,
    JobState,
    NotPrimary,
    OrderResult,
    OrdersReply,
    RunningTask,
    TaskPhase,
    TaskRecord,
    View,
    WorkerInfo,
    Write,
)
from tests.system.scheduling_cluster import BOUNDS, HEARTBEAT_S, HOST, PLAIN, ROUTES, SERVICE, EventRecorder, job_id
from tests.system.virtual import World

TERM = 3
JOB = job_id(7)
TASK = f"{JOB}.0.0.0"
CPU = 4_000


class ImmediateReplicator:
    """Replicated state that commits each batch at once."""

    def __init__(self) -> None:
        self.term = TERM
        self.state: dict[str, bytes] = {}
        self.leads = True

    @property
    def view(self) -> View | None:
        return View(epoch=TERM, term=TERM, primary="p")

    def is_primary(self) -> bool:
        return self.leads

    def write(self, writes: list[Write], on_committed: Callable[[], None] | None = None) -> None:
        for write in writes:
            if write.deleted:
                self.state.pop(write.key, None)
            else:
                self.state[write.key] = write.value
        if on_committed is not None:
            on_committed()

    def after_commit(self, action: Callable[[], None]) -> None:
        action()


class ScriptedAgents(unittest.TestCase):
    """A test case with a primary; the test plays the agent."""

    def setUp(self) -> None:
        self.world = World(1)
        machine = self.world.machine("p")
        self.handlers = Handlers()
        self.replicator = ImmediateReplicator()
        self.sent_orders: list[AgentOrders] = []  # pushed orders, and answers to reports
        machine.start(lambda process: None)
        assert machine.process is not None
        agent = self.world.machine("w")
        agent.start(lambda process: process.handlers.on_call(AgentOrders, self.record_push))
        self.configuration = Configuration(1, ROUTES, (Service(SERVICE),))
        ports = Ports(
            machine.process.clock,
            machine.process.network,
            self.replicator,
            lambda: self.configuration,
            machine.process.clock.wall_ms,
            EventRecorder(),
        )
        self.ports = ports
        self.numbers: dict[int, int] = {}
        self.lead({})

    def lead(self, state: dict[str, bytes]) -> None:
        """Activate a new scheduler on replicated state."""
        self.scheduler = Scheduler(self.ports, SchedulerTimings(BOUNDS, HEARTBEAT_S), NodeIdentity("p", "p"))
        self.scheduler.register(self.handlers)
        self.scheduler.activated(self.replicator.term, state)

    def fail_over(self) -> None:
        """Another node becomes primary, under a higher term."""
        self.scheduler.deactivated()
        self.replicator.term += 1
        self.lead(dict(self.replicator.state))

    def record_push(self, orders: AgentOrders, reply: Callable[[Struct], None]) -> None:
        self.sent_orders.append(orders)
        reply(OrdersReply(True, TERM))

    def report(
        self,
        incarnation: int = 1,
        instance: str = "i-1",
        hold: int = 1,
        running: tuple[RunningTask, ...] = (),
        finished: tuple[FinishedTask, ...] = (),
        results: tuple[OrderResult, ...] = (),
        ended_instances: tuple[str, ...] = (),
        fence: int = TERM,
        term: int = 0,
        lapsed_instance: str = "",
    ) -> None:
        """Send one agent report; `term` is the term that the agent follows, that of this primary if 0."""
        self.numbers[incarnation] = self.numbers.get(incarnation, 0) + 1
        info = WorkerInfo(
            instance=instance, service=SERVICE, slots=4, state="ready", cpu=CPU, memory_mb=1_000, labels=["a", "r1-0"]
        )
        report = AgentReport(
            node="w",
            address="w",
            incarnation=incarnation,
            number=self.numbers[incarnation],
            term=term or self.replicator.term,
            sent_at=self.world.time,
            worker=info,
            hold_number=hold,
            hold_fence=fence,
            hold_age_ms=0,
            running=list(running),
            finished=list(finished),
            results=list(results),
            ended_instances=list(ended_instances),
            lapsed_instance=lapsed_instance,
        )
        answers: list[Struct] = []
        self.handlers.call(report, answers.append)
        self.world.run_for(0.05)
        (answer,) = answers
        if isinstance(answer, AgentOrders):
            self.sent_orders.append(answer)
        self.answer = answer

    def submit(self, cpu: int = 1_000) -> None:
        body = json.dumps({"spec": "s", "stages": [{"cpu": cpu, "estimatedMs": 1_000}]}).encode()
        call = ClientCall(kind=int(CallKind.SUBMIT), host=HOST, path=PLAIN.path_prefix + JOB, body=body)
        self.handlers.call(call, lambda reply: None)
        self.world.run_for(0.05)

    def started(self) -> list[tuple[str, int]]:
        """Return the runs with a start order, each once."""
        orders = [(start.task, start.run) for orders in self.sent_orders for start in orders.starts]
        return list(dict.fromkeys(orders))

    def stopped(self) -> list[tuple[str, int]]:
        """Return the runs with a stop order, each once."""
        orders = [(stop.task, stop.run) for orders in self.sent_orders for stop in orders.stops]
        return list(dict.fromkeys(orders))

    def phase(self) -> TaskPhase:
        """Return the phase of the task in replicated state."""
        return TaskPhase(decode_record(self.replicator.state[f"task/{TASK}"], TaskRecord).phase)

    def wait(self, seconds: float = 0.4) -> None:
        self.world.run_for(seconds)


class FailOver(ScriptedAgents):
    """Reports to a new primary that refer to an earlier one."""

    def test_lease_expiry_reported_under_an_earlier_term_ends_no_run(self) -> None:
        self.report()
        self.submit()
        self.fail_over()
        self.report(term=TERM, fence=TERM, lapsed_instance="i-1")
        self.assertEqual(TaskPhase.ASSIGNED, self.phase())
        self.report(hold=2, fence=TERM + 1, lapsed_instance="i-1")
        self.assertEqual(TaskPhase.WAITING, self.phase())

    def test_order_results_of_an_earlier_primary_end_no_run(self) -> None:
        self.report()
        self.submit()
        self.fail_over()
        refused = OrderResult(task=TASK, run=1, order="start", outcome="room")
        self.report(term=TERM, fence=TERM, results=(refused,))
        self.assertEqual(TaskPhase.ASSIGNED, self.phase())

    def test_job_of_a_removed_route_keeps_its_max_attempts(self) -> None:
        self.report()
        self.submit()
        self.configuration = Configuration(2, (), (Service(SERVICE),))
        self.fail_over()
        self.report(hold=2, fence=TERM + 1, finished=(FinishedTask(1, TASK, 1, "failed", ""),))
        job = decode_record(self.replicator.state[f"job/{JOB}"], JobRecord)
        self.assertEqual((JobState.OPEN, PLAIN.max_attempts), (JobState(job.state), job.max_attempts))
        self.assertEqual(1, decode_record(self.replicator.state[f"task/{TASK}"], TaskRecord).failures)


class StepDown(ScriptedAgents):
    """Answers to calls that are committed after the node has stopped acting as primary."""

    def answer_to(self, kind: CallKind, job: str) -> Struct:
        """Make a call, commit it only after the node has stepped down, and return the answer."""
        waiting: list[Callable[[], None]] = []
        answers: list[Struct] = []
        self.replicator.after_commit = waiting.append  # type: ignore[method-assign]
        write = self.replicator.write

        def write_and_wait(writes: list[Write], on_committed: Callable[[], None] | None = None) -> None:
            write(writes)
            waiting.append(on_committed or _nothing)

        self.replicator.write = write_and_wait  # type: ignore[method-assign]
        body = json.dumps({"spec": "s", "stages": [{"cpu": 1_000}]}).encode()
        call = ClientCall(kind=int(kind), host=HOST, path=PLAIN.path_prefix + job, body=body)
        self.handlers.call(call, answers.append)
        self.world.run_for(0.05)
        self.assertEqual([], answers)
        self.replicator.leads = False
        while waiting:
            waiting.pop(0)()
        (answer,) = answers
        return answer

    def test_committed_submission_is_acknowledged(self) -> None:
        self.report()
        self.assertEqual(ClientReply(status=200), self.answer_to(CallKind.SUBMIT, JOB))

    def test_committed_cancellation_is_acknowledged(self) -> None:
        self.report()
        self.submit()
        self.assertEqual(ClientReply(status=200), self.answer_to(CallKind.CANCEL, JOB))

    def test_query_of_an_unknown_job_is_referred_to_the_next_primary(self) -> None:
        self.report()
        self.assertIsInstance(self.answer_to(CallKind.STATE, JOB), NotPrimary)


class Restarts(ScriptedAgents):
    def test_late_report_of_a_replaced_agent_does_not_block_the_current_one(self) -> None:
        self.report(incarnation=2)
        self.report(incarnation=1)
        self.report(incarnation=2)
        self.submit()
        self.assertEqual([(TASK, 1)], self.started())
        self.report(incarnation=2, hold=2, finished=(FinishedTask(1, TASK, 1, "done", ""),))
        self.assertNotIn(f"task/{TASK}", self.replicator.state)

    def test_late_report_of_an_earlier_worker_instance_ends_no_newer_run(self) -> None:
        self.report(incarnation=2, instance="i-2")
        self.submit()
        self.report(incarnation=1, instance="i-1")
        self.wait()
        self.assertEqual([(TASK, 1)], self.started())

    def test_new_agent_process_is_accepted_at_its_second_report(self) -> None:
        self.report(incarnation=1)
        self.submit()
        end = FinishedTask(1, TASK, 1, "stopped", "")
        self.report(incarnation=2, hold=1, finished=(end,))
        self.assertEqual([(TASK, 1)], self.started())
        self.report(incarnation=2, hold=2, finished=(end,))
        self.wait()
        self.assertEqual([(TASK, 1), (TASK, 2)], self.started())

    def test_terminated_worker_instance_is_accepted_at_once(self) -> None:
        self.report(incarnation=1)
        self.submit()
        self.report(incarnation=2, instance="i-2", hold=0, ended_instances=("i-1",))
        self.report(incarnation=2, instance="i-2", hold=1)
        self.wait()
        self.assertEqual([(TASK, 1), (TASK, 2)], self.started())

    def test_new_worker_instance_is_accepted_once_it_has_answered(self) -> None:
        self.report()
        self.submit()
        self.report(instance="i-2", hold=0)
        self.assertEqual(TaskPhase.ASSIGNED, self.phase())
        self.report(instance="i-2", hold=1, fence=TERM - 1)
        self.assertEqual(TaskPhase.ASSIGNED, self.phase())
        self.report(instance="i-2", hold=1)
        self.wait()
        self.assertEqual([(TASK, 1), (TASK, 2)], self.started())

    def test_no_task_is_placed_while_the_lists_are_of_an_older_term(self) -> None:
        self.report(fence=TERM - 1)
        self.submit()
        self.wait()
        self.assertEqual([], self.started())
        self.report(hold=2)
        self.wait()
        self.assertEqual([(TASK, 1)], self.started())

    def test_agent_gets_no_grant_from_a_node_that_is_not_primary(self) -> None:
        self.report()
        self.assertIsInstance(self.answer, AgentOrders)
        self.replicator.leads = False
        self.report(hold=2)
        self.assertIsInstance(self.answer, NotPrimary)


class RunEnds(ScriptedAgents):
    def setUp(self) -> None:
        super().setUp()
        self.report()
        self.submit()
        self.assertEqual([(TASK, 1)], self.started())

    def test_end_of_an_earlier_run_does_not_end_the_current_one(self) -> None:
        stopped = FinishedTask(1, TASK, 1, "stopped", "")
        self.report(hold=2, finished=(stopped,))
        self.assertEqual([(TASK, 1), (TASK, 2)], self.started())
        self.report(hold=3, finished=(stopped, FinishedTask(2, TASK, 1, "done", "")))
        self.assertEqual(TaskPhase.ASSIGNED, self.phase())

    def test_answered_stop_frees_resources_once_later_lists_do_not_show_the_run(self) -> None:
        self.report(hold=2, running=(RunningTask(TASK, 1),))
        call = ClientCall(kind=int(CallKind.CANCEL), host=HOST, path=PLAIN.path_prefix + JOB)
        self.handlers.call(call, lambda reply: None)
        self.wait()
        self.assertEqual([(TASK, 1)], self.stopped())
        stop = OrderResult(TASK, 1, "stop", "stopped", at_hold=4)
        self.report(hold=3, results=(stop,))
        self.assertIn(f"task/{TASK}", self.replicator.state)
        self.report(hold=4, results=(stop,))
        self.assertNotIn(f"task/{TASK}", self.replicator.state)


class Takeover(ScriptedAgents):
    def test_remaining_runs_of_an_incomplete_gang_are_stopped(self) -> None:
        body = json.dumps({"spec": "s", "stages": [{"count": 2, "cpu": 500, "gang": True}]}).encode()
        job = JobRecord(id=JOB, route=PLAIN.name, service=SERVICE, body=body, order=1)
        left = TaskRecord(phase=int(TaskPhase.WAITING), run=1)
        there = TaskRecord(phase=int(TaskPhase.ASSIGNED), run=1, node="w", instance="i-1")
        state = {f"job/{JOB}": job, f"task/{TASK}": left, f"task/{JOB}.0.0.1": there}
        self.scheduler.activated(TERM, {key: encode_record(record) for key, record in state.items()})
        running = (RunningTask(f"{JOB}.0.0.1", 1),)
        self.report(running=running)
        self.assertEqual([(f"{JOB}.0.0.1", 1)], self.stopped())
        self.assertEqual([], self.started())
        self.report(hold=2, finished=(FinishedTask(1, f"{JOB}.0.0.1", 1, "stopped", ""),))
        self.wait()
        self.assertEqual([(TASK, 2), (f"{JOB}.0.0.1", 2)], self.started())


class Refusals(ScriptedAgents):
    def setUp(self) -> None:
        super().setUp()
        self.report()
        self.submit()
        self.assertEqual([(TASK, 1)], self.started())

    def test_certain_refusal_frees_the_task_at_once(self) -> None:
        self.report(results=(OrderResult(TASK, 1, "start", "room"),))
        self.wait(1.5)
        self.report(hold=2)
        self.wait()
        self.assertIn((TASK, 2), self.started())

    def test_refusal_after_a_stop_waits_for_lists_made_after_it(self) -> None:
        refusal = OrderResult(TASK, 1, "start", "draining", at_hold=2)
        self.report(hold=1, results=(refusal,))
        self.wait(1.5)
        self.assertEqual([(TASK, 1)], self.started(), "the refused run may have started late")
        self.report(hold=2, running=(RunningTask(TASK, 1),), results=(refusal,))
        self.wait(1.5)
        self.assertEqual([(TASK, 1)], self.started(), "the refused run is being stopped")
        self.report(hold=3, finished=(FinishedTask(1, TASK, 1, "stopped", ""),))
        self.wait(1.5)
        self.report(hold=4)
        self.wait()
        self.assertIn((TASK, 2), self.started())

    def test_refusal_that_no_lists_confirm_is_followed_by_a_stop(self) -> None:
        refusal = OrderResult(TASK, 1, "start", "room", at_hold=2)
        self.report(hold=1, results=(refusal,))
        self.wait(0.6)
        self.report(hold=1, results=(refusal,))
        self.assertEqual([(TASK, 1)], self.stopped())

    def test_successful_start_is_not_treated_as_a_refusal(self) -> None:
        started = OrderResult(TASK, 1, "start", "started", at_hold=2)
        self.report(hold=1, results=(started,))
        self.wait(0.6)
        self.report(hold=1, results=(started,))
        self.assertEqual([], self.stopped())

    def test_run_reported_as_old_ends_only_by_lists_made_after_the_answer(self) -> None:
        old = OrderResult(TASK, 1, "start", "old", at_hold=2)
        self.report(hold=1, results=(old,))
        self.wait(1.5)
        self.assertEqual([(TASK, 1)], self.started())
        self.report(hold=2, results=(old,))
        self.wait()
        self.assertIn((TASK, 2), self.started())


class FreeResources(ScriptedAgents):
    def test_unexpected_runs_on_a_worker_occupy_resources_and_are_stopped(self) -> None:
        self.report(running=(RunningTask(f"{job_id(99)}.0.0.0", 1),))
        self.submit(cpu=CPU)
        self.assertEqual([], self.started())
        self.assertEqual([(f"{job_id(99)}.0.0.0", 1)], self.stopped())
        self.report(hold=2, running=(RunningTask(f"{job_id(99)}.0.0.0", 1),))
        self.assertEqual([], self.started())
        self.report(hold=3)
        self.wait()
        self.assertEqual([(TASK, 1)], self.started())

    def test_ranking_sees_resources_that_were_taken_after_it_was_built(self) -> None:
        submission = {"spec": "s", "stages": [{"count": 2, "cpu": 3_000}]}
        task_group = _task_group(json.dumps(submission).encode())
        worker = Worker("w", capacity=ResourceRequest(CPU, 1_000, 0))
        worker.instance = "i-1"
        worker.recompute_free()
        ranking = WorkerRanking(PlacementRequest(task_group, (0, 0, 0.0, 0, 0, 0), 0.0), [worker])
        self.assertIs(worker, ranking.best())
        run = Run(task_group.tasks[0], 1, "w", "i-1", 0.0)
        worker.add(run, task_group.resource_request)
        self.assertIsNone(ranking.best())


def _nothing() -> None:
    """Ignore a commit without a callback."""


def _task_group(body: bytes) -> TaskGroup:
    submission = parse_submission(body)
    assert isinstance(submission, Submission)
    job = Job(JOB, "plain", SERVICE, submission, body, 0, 1, 0.0, PLAIN)
    return new_task_group(job, 0, 0)


if __name__ == "__main__":
    unittest.main()
