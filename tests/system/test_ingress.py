from __future__ import annotations

import json
import unittest
from unittest import mock

from msgspec import Struct

from pipitledge.configuration.checks import MAX_BODY_BYTES
from pipitledge.configuration.data_plane import DataPlane
from pipitledge.configuration.datasets import PoolUsage, QueueLoad, QueueUsageReport, usage_origin
from pipitledge.ingress import control_plane_api, ingress
from pipitledge.ingress.control_plane_api import OPERATOR_CALL_TIMEOUT_SECONDS, ControlPlaneApi
from pipitledge.ingress.ingress import Ingress
from pipitledge.ingress.local_admission import LocalAdmission
from pipitledge.ingress.outcomes import RETRY_AFTER_MS
from pipitledge.ingress.readiness import MAX_CONTACT_AGE_SECONDS, Readiness
from pipitledge.ingress.redirect import MAX_SEND_SECONDS, LargeAnswerRedirects
from pipitledge.membership.primary_caller import EXPECTED_UPLOAD_BYTES_PER_S
from pipitledge.runtime.settings import Bounds
from pipitledge.scheduling.admission_rule import MIN_QUEUE_DEPTH, MIN_RETRY_AFTER_MS
from pipitledge.wire.messages import (
    CallKind,
    ClientCall,
    ClientReply,
    Member,
    NotPrimary,
    OperatorCall,
    OperatorReply,
    PullReply,
    Update,
    View,
)
from tests.system.configuration_world import RecordingLog, ScriptedCaller, clock_of, full_configuration, route
from tests.system.virtual import World

HOST = "shop.example"
JOB = "/p1/5c0e7a21d94b36f8"
KINDS = {
    CallKind.SUBMIT: ("POST", JOB),
    CallKind.STATE: ("GET", JOB),
    CallKind.CANCEL: ("DELETE", JOB),
    CallKind.COUNT: ("GET", "/p1/"),
}


class ReceivedAnswer(Struct):
    """The answer that a client received."""

    status: int
    body: bytes
    retry_after_ms: int


class IngressCase(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World()
        self.pulls = ScriptedCaller()
        self.caller = ScriptedCaller()
        self.plane = DataPlane(clock_of(self.world), self.pulls, "n5", RecordingLog(), Bounds())
        self.readiness = Readiness(self.plane)
        admission = LocalAdmission(self.plane)
        self.ingress = Ingress(self.caller, self.plane, admission, self.readiness, "n5", RecordingLog())
        self.received: list[ReceivedAnswer] = []
        self.plane.start()

    def configure(self, body: bytes = b"") -> None:
        """Answer the pending pull with a configuration."""
        self.pulls.answer(PullReply(1, [Update("config", 7, body or full_configuration(7, route(1), route(2)))]))

    def call(self, method: str, path: str, body: bytes = b"", deadline_ms: float | None = 3000.0) -> None:
        self.ingress.client_call(
            method, HOST, path, body, deadline_ms, lambda *answer: self.received.append(ReceivedAnswer(*answer))
        )

    def answer_to(self, kind: CallKind, reply: Struct | None, may_have_run: bool = False) -> ReceivedAnswer:
        """Return the answer to a client when the call to the primary has this outcome."""
        self.call(*KINDS[kind])
        self.caller.answer(reply, may_have_run)
        return self.received[-1]

    def statuses(self) -> list[int]:
        return [answer.status for answer in self.received]


class ForwardTest(IngressCase):
    def setUp(self) -> None:
        super().setUp()
        self.configure()

    def test_calls_are_forwarded_with_their_kind(self) -> None:
        for kind, (method, path) in KINDS.items():
            self.call(method, path, b"body")
            self.assertEqual(self.caller.requests[-1], ClientCall(kind, HOST, path, b"body", 1050, "n5"))

    def test_calls_to_unknown_queues_are_forwarded_too(self) -> None:
        self.call("GET", "/never/")
        self.caller.answer(ClientReply(404))
        self.assertEqual(self.statuses(), [404])

    def test_a_query_string_is_not_part_of_the_path(self) -> None:
        self.call("GET", JOB + "?x=/y")
        self.assertEqual(self.caller.requests, [ClientCall(CallKind.STATE, HOST, JOB, b"", 1050, "n5")])

    def test_wrong_methods_and_paths(self) -> None:
        self.call("PUT", JOB)
        self.call("HEAD", JOB)
        self.call("POST", "/p1/")
        self.call("POST", "/p1/5c0e7a21d94b36f")
        self.call("DELETE", "/p1/5c0e7a21d94b36fg")
        self.assertEqual(self.statuses(), [405, 405, 400, 400, 400])
        self.assertEqual(self.caller.requests, [])

    def test_the_timeout_is_a_share_of_the_deadline(self) -> None:
        for deadline_ms in (1000.0, 3000.0, 60_000.0, None, 0.0):
            self.call("GET", JOB, deadline_ms=deadline_ms)
        self.assertEqual([round(timeout, 3) for timeout in self.caller.timeouts], [0.35, 1.05, 1.2, 1.05, 1.05])

    def test_answers_are_returned_unchanged(self) -> None:
        received = self.answer_to(CallKind.STATE, ClientReply(200, b'{"state":"running"}'))
        self.assertEqual(received, ReceivedAnswer(200, b'{"state":"running"}', 0))
        self.assertEqual(self.answer_to(CallKind.SUBMIT, ClientReply(429, b"", 700)), ReceivedAnswer(429, b"", 700))

    def test_refusals_always_have_a_retry_after(self) -> None:
        for status in (429, 503):
            self.assertEqual(self.answer_to(CallKind.SUBMIT, ClientReply(status)).retry_after_ms, RETRY_AFTER_MS)
        self.assertEqual(self.answer_to(CallKind.STATE, ClientReply(410)).retry_after_ms, 0)

    def test_a_too_large_body_is_refused(self) -> None:
        self.world.run_for(0.5)
        self.pulls.answer(
            PullReply(1, [Update("config", 9, full_configuration(9, route(1), limits={"maxBodyBytes": 10}))])
        )
        self.call("POST", JOB, b"x" * 11)
        self.call("POST", JOB, b"x" * 10)
        self.assertEqual(self.statuses(), [413])
        self.assertEqual(len(self.caller.requests), 1)


class OutcomeTest(IngressCase):
    def setUp(self) -> None:
        super().setUp()
        self.configure()

    def test_no_answer_to_a_call_that_may_have_run(self) -> None:
        statuses = {kind: self.answer_to(kind, None, may_have_run=True).status for kind in KINDS}
        expected = {CallKind.SUBMIT: 504, CallKind.CANCEL: 504, CallKind.STATE: 503, CallKind.COUNT: 503}
        self.assertEqual(statuses, expected)

    def test_no_answer_to_a_call_that_certainly_did_not_run(self) -> None:
        for kind in KINDS:
            received = self.answer_to(kind, None)
            self.assertEqual((received.status, received.retry_after_ms), (503, RETRY_AFTER_MS))

    def test_an_answer_of_the_wrong_type_counts_as_no_answer(self) -> None:
        self.assertEqual(self.answer_to(CallKind.SUBMIT, NotPrimary(), may_have_run=True).status, 504)

    def test_a_submit_refused_after_an_attempt_that_may_have_run(self) -> None:
        for status in (400, 404, 429, 503):
            received = self.answer_to(CallKind.SUBMIT, ClientReply(status, b"", 700), may_have_run=True)
            self.assertEqual((received.status, received.retry_after_ms), (504, 0))

    def test_a_submit_accepted_after_an_attempt_that_may_have_run(self) -> None:
        self.assertEqual(self.answer_to(CallKind.SUBMIT, ClientReply(200), may_have_run=True).status, 200)

    def test_a_cancel_after_an_attempt_that_may_have_run(self) -> None:
        answers = {200: 200, 410: 410, 404: 404, 429: 504, 503: 504}
        for status, expected_status in answers.items():
            received = self.answer_to(CallKind.CANCEL, ClientReply(status), may_have_run=True)
            self.assertEqual(received.status, expected_status)

    def test_a_read_is_answered_whatever_ran_before(self) -> None:
        for status in (200, 410, 503):
            self.assertEqual(self.answer_to(CallKind.STATE, ClientReply(status), may_have_run=True).status, status)


class CallLimitTest(IngressCase):
    def test_a_node_without_configuration_refuses_calls(self) -> None:
        for method, path in KINDS.values():
            self.call(method, path)
        self.assertEqual(self.statuses(), [503] * 4)
        self.assertTrue(all(answer.retry_after_ms == RETRY_AFTER_MS for answer in self.received))
        self.assertEqual(self.caller.requests, [])

    def test_calls_above_the_limit_are_refused(self) -> None:
        self.configure()
        with mock.patch.object(ingress, "MAX_CALLS_IN_PROGRESS", 3):
            for _ in range(4):
                self.call("GET", JOB)
            self.assertEqual(self.statuses(), [503])
            self.assertEqual(self.received[0].retry_after_ms, RETRY_AFTER_MS)
            self.caller.answer(ClientReply(200))
            self.call("GET", JOB)
        self.assertEqual(self.statuses(), [503, 200])
        self.assertEqual(self.ingress.in_progress, 3)

    def test_stopping_finishes_calls_in_progress(self) -> None:
        self.configure()
        finished = list[str]()
        self.call("GET", JOB)
        self.ingress.stop(lambda: finished.append("finished"))
        self.assertFalse(self.readiness.ready())
        self.call("POST", JOB)
        self.caller.answer(ClientReply(200))
        self.assertEqual(finished, [])
        self.caller.answer(ClientReply(200))
        self.assertEqual((self.statuses(), finished), ([200, 200], ["finished"]))

    def test_stopping_while_idle_finishes_at_once(self) -> None:
        finished = list[str]()
        self.ingress.stop(lambda: finished.append("finished"))
        self.assertEqual(finished, ["finished"])


class LocalAdmissionTest(IngressCase):
    """The effect of local admission on clients; its decisions are tested in test_local_admission.py."""

    def configure_usage(self, inflight: float) -> None:
        """Answer the pending pull with the usage of queue r1, whose limit is ten slots; r2 is idle."""
        busy = {"r1": QueueLoad(inflight)}
        pool = PoolUsage(20.0, 10.0 / MIN_QUEUE_DEPTH, 0.5, busy, {0: 1}, workers=4, cpu=5_000)
        report = QueueUsageReport({"s1": pool}).encode()
        updates = [Update("config", 7, full_configuration(7, route(1), route(2))), Update(usage_origin(1), 1, report)]
        self.pulls.answer(PullReply(1, updates))

    def submit(self, number: int, path: str = "/p1/", tasks: int = 1) -> bool:
        """Submit a job of `tasks` slots; return whether it is forwarded to the primary."""
        before = len(self.caller.requests)
        body = json.dumps({"stages": [{"count": tasks, "cpu": 1_000}]}).encode()
        self.call("POST", f"{path}{number:016x}", body)
        return len(self.caller.requests) > before

    def test_a_queue_at_its_limit_is_refused_at_once(self) -> None:
        self.configure_usage(10.0)
        self.assertFalse(self.submit(1))
        self.assertEqual(self.received[0].status, 429)
        self.assertGreaterEqual(self.received[0].retry_after_ms, MIN_RETRY_AFTER_MS)

    def test_other_queues_and_calls_are_not_refused(self) -> None:
        self.configure_usage(10.0)
        self.assertTrue(self.submit(1, path="/p2/"))
        for kind in (CallKind.STATE, CallKind.CANCEL, CallKind.COUNT):
            self.call(*KINDS[kind])
        self.assertEqual(self.statuses(), [])

    def test_jobs_accepted_through_this_node_count(self) -> None:
        self.configure_usage(8.0)
        self.assertTrue(self.submit(1, tasks=2))
        self.assertTrue(self.submit(2, tasks=2))  # the first one is not accepted yet
        self.caller.answer(ClientReply(200))
        self.assertFalse(self.submit(3))

    def test_jobs_refused_by_the_primary_do_not_count(self) -> None:
        self.configure_usage(8.0)
        self.submit(1, tasks=2)
        self.caller.answer(ClientReply(429))
        self.assertTrue(self.submit(2, tasks=2))

    def test_a_repeated_submission_is_forwarded(self) -> None:
        self.configure_usage(8.0)
        self.submit(1, tasks=2)
        self.caller.answer(ClientReply(200))
        self.assertFalse(self.submit(2))
        self.assertTrue(self.submit(1, tasks=2))

    def test_a_path_deeper_than_the_prefix_is_forwarded(self) -> None:
        self.configure_usage(10.0)
        self.assertTrue(self.submit(1, path="/p1/deeper/"))


class ReadinessTest(IngressCase):
    def test_a_node_is_ready_once_configured(self) -> None:
        self.assertFalse(self.readiness.ready())
        self.configure()
        self.assertTrue(self.readiness.ready())

    def test_contact_without_a_configuration_is_not_enough(self) -> None:
        self.pulls.answer(PullReply(1))
        self.assertFalse(self.readiness.ready())

    def test_a_fail_over_does_not_make_a_node_unready(self) -> None:
        self.configure()
        self.world.run_for(MAX_CONTACT_AGE_SECONDS - 0.1)
        self.assertTrue(self.readiness.ready())
        self.world.run_for(1.0)
        self.assertFalse(self.readiness.ready())
        self.pulls.answer(PullReply(2))  # sent long ago, so it does not count as recent contact
        self.assertFalse(self.readiness.ready())
        self.world.run_for(0.5)
        self.pulls.answer(PullReply(2))
        self.assertTrue(self.readiness.ready())

    def test_a_stopping_node_is_unready(self) -> None:
        self.configure()
        self.readiness.stop()
        self.assertFalse(self.readiness.ready())


class LargeAnswerRedirectsTest(unittest.TestCase):
    """Reads whose answer a slow link would carry too slowly are redirected to the primary."""

    WIDE, THIN = 1_000.0, 2.0  # Mbit/s

    def setUp(self) -> None:
        self.membership = mock.Mock(view=View(epoch=1, primary="n1", members=[Member("n1", "10.0.0.1:7660")]))
        self.received: list[tuple[int, bytes, str]] = []

    def ask(self, size: int, link_mbps: float = THIN, me: str = "n5", method: str = "GET") -> tuple[int, str]:
        """Return status and location of the answer to a call that the primary answers with `size` bytes."""
        caller = ScriptedCaller()
        answers = LargeAnswerRedirects(self.membership, me, "10.0.0.5:8146", link_mbps)
        api = ControlPlaneApi(clock_of(World()), caller, RecordingLog(), answers)
        api.call(method, "/pipitledge/config", "", b"{}", lambda *answer: self.received.append(answer))
        caller.answer(OperatorReply(200, bytes(size)))
        status, body, location = self.received[-1]
        self.assertEqual(len(body), 0 if location else size)
        return status, location

    def test_a_large_answer_is_redirected_to_the_primary(self) -> None:
        self.assertEqual(self.ask(280_000), (307, "http://10.0.0.1:8146/pipitledge/config"))

    def test_an_answer_that_the_link_carries_quickly_is_not_redirected(self) -> None:
        bound = int(MAX_SEND_SECONDS * self.THIN * 125_000)
        self.assertEqual(self.ask(bound), (200, ""))
        self.assertEqual(self.ask(bound + 1)[0], 307)
        self.assertEqual(self.ask(280_000, self.WIDE), (200, ""))

    def test_the_primary_and_a_node_that_knows_no_primary_do_not_redirect(self) -> None:
        self.assertEqual(self.ask(280_000, me="n1"), (200, ""))
        self.assertEqual(self.ask(280_000, link_mbps=0.0), (200, ""))
        self.membership.view = None
        self.assertEqual(self.ask(280_000), (200, ""))

    def test_changes_are_not_redirected(self) -> None:
        for method in ("PUT", "PATCH"):
            self.assertEqual(self.ask(280_000, method=method), (200, ""))


class ControlPlaneApiTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World()
        self.caller = ScriptedCaller()
        self.log = RecordingLog()
        self.api = ControlPlaneApi(clock_of(self.world), self.caller, self.log)
        self.received: list[tuple[int, bytes]] = []

    def call(self, method: str, body: bytes = b"", path: str = "/pipitledge/config") -> None:
        self.api.call(
            method, path, "5", body, lambda status, content, _location: self.received.append((status, content))
        )

    def answer_to(self, method: str, reply: Struct | None, may_have_run: bool = False) -> int:
        """Return the status for the operator when the call to the primary has this outcome."""
        self.call(method)
        self.caller.answer(reply, may_have_run)
        return self.received[-1][0]

    def test_calls_are_forwarded_with_a_timeout_below_one_second(self) -> None:
        for method in ("PUT", "PATCH", "GET"):
            self.call(method, b"{}")
            self.assertEqual(self.caller.requests[-1], OperatorCall(method, "5", b"{}"))
        self.assertLess(max(self.caller.timeouts), 1.0)

    def test_a_long_request_has_a_longer_timeout(self) -> None:
        self.call("PUT", b" " * (2 * EXPECTED_UPLOAD_BYTES_PER_S))
        self.assertAlmostEqual(self.caller.timeouts[-1], OPERATOR_CALL_TIMEOUT_SECONDS + 2.0)

    def test_sizes_and_duration_are_logged(self) -> None:
        self.call("PUT", b"{}")
        self.world.run_for(0.25)
        self.caller.answer(OperatorReply(200, b"four"))
        event, fields = self.log.events[-1]
        self.assertEqual((event, fields["bytes_in"], fields["bytes_out"]), ("operator_call", 2, 4))
        self.assertAlmostEqual(fields["took_s"], 0.25)

    def test_answers_of_the_primary_are_returned_unchanged(self) -> None:
        for status in (200, 400, 404, 412, 413):
            self.call("PUT")
            self.caller.answer(OperatorReply(status, b"{}"), may_have_run=True)
            self.assertEqual(self.received[-1], (status, b"{}"))

    def test_no_answer(self) -> None:
        self.assertEqual(self.answer_to("PUT", None, may_have_run=True), 504)
        self.assertEqual(self.answer_to("PATCH", None, may_have_run=True), 504)
        self.assertEqual(self.answer_to("PUT", None), 503)
        self.assertEqual(self.answer_to("PUT", NotPrimary()), 503)
        self.assertEqual(self.answer_to("GET", None, may_have_run=True), 503)

    def test_calls_that_any_node_can_refuse(self) -> None:
        self.call("DELETE")
        self.call("PUT", b" " * (MAX_BODY_BYTES + 1))
        self.call("GET", path="/pipitledge/other")
        self.assertEqual([status for status, _ in self.received], [405, 413, 404])
        self.assertEqual(self.caller.requests, [])

    def test_calls_of_workers_are_refused(self) -> None:
        self.call("PUT", b"{}", "/pipitledge/instances/i-7f3a91c2")
        self.call("DELETE", b"", "/pipitledge/instances/i-7f3a91c2")
        self.assertEqual([status for status, _ in self.received], [503, 503])
        self.assertIn("machine", json.loads(self.received[0][1])["error"])

    def test_calls_above_the_limit_are_refused(self) -> None:
        with mock.patch.object(control_plane_api, "MAX_CALLS_IN_PROGRESS", 2):
            for _ in range(3):
                self.call("PUT")
            self.assertEqual([status for status, _ in self.received], [503])
            self.caller.answer(OperatorReply(200))
            self.call("PUT")
        self.assertEqual([status for status, _ in self.received], [503, 200])


if __name__ == "__main__":
    unittest.main()
