"""Tests of the runtime on loopback sockets; they wait for events and never for fixed times."""

from __future__ import annotations

import http.client
import os
import signal
import socket
import tempfile
import threading
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest import mock

from pipitledge.runtime.call_threads import CallLimits, CallOutcome, CallThreadPool, PendingCall
from pipitledge.runtime.exchanges import INTERNAL_PATH
from pipitledge.runtime.executor import SerialExecutor
from pipitledge.runtime.future import Future
from pipitledge.runtime.handlers import Handlers, Reply
from pipitledge.runtime.http_client import CallResult, HttpClient, OutgoingCall
from pipitledge.runtime.ports import WorkerResponse
from pipitledge.runtime.process_signals import SignalLoop
from pipitledge.runtime.settings import Settings, SettingsProblem, parse
from pipitledge.runtime.settings_watcher import SettingsWatcher
from pipitledge.runtime.timers import MAX_CANCELLED, TimerQueue
from pipitledge.runtime.transport import NoFreePortError, Transport
from pipitledge.runtime.worker_transport import HttpWorkerTransport
from pipitledge.wire import codec
from pipitledge.wire.messages import EpochQuery, EpochReply, StatusReply, StatusRequest
from tests.system.runtime_case import LOG, LOOPBACK, WAIT_SECONDS, HttpServerCase, ResultBox, eventually

ANY_PORT = (0, 0)

SETTINGS = """
nodeName = "edge-1"
role = "node"
ip = "10.1.0.35"
internalPortRange = [7660, 7675]
"""


class FakeTime:
    def __init__(self) -> None:
        self.seconds = 100.0

    def __call__(self) -> float:
        return self.seconds


class TimersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.time = FakeTime()
        self.executor = SerialExecutor(LOG, self.time)
        self.ran: list[str] = []

    def at(self, when: float, name: str) -> Callable[[], None]:
        return self.executor.at(when, lambda: self.ran.append(name)).cancel

    def test_due_timers_run_in_order_of_their_due_times(self) -> None:
        self.at(103.0, "third")
        self.at(101.0, "first")
        self.at(101.0, "second")
        self.executor.run_due()
        self.assertEqual(self.ran, [])
        self.time.seconds = 102.0
        self.executor.run_due()
        self.assertEqual(self.ran, ["first", "second"])
        self.time.seconds = 103.0
        self.executor.run_due()
        self.assertEqual(self.ran, ["first", "second", "third"])

    def test_a_cancelled_timer_does_not_run(self) -> None:
        cancel = self.at(101.0, "cancelled")
        self.at(101.0, "kept")
        cancel()
        cancel()
        self.time.seconds = 101.0
        self.executor.run_due()
        self.assertEqual(self.ran, ["kept"])

    def test_a_timer_cancelled_by_another_due_at_the_same_time_does_not_run(self) -> None:
        self.executor.at(101.0, lambda: later.cancel())
        later = self.executor.at(101.0, lambda: self.ran.append("later"))
        self.time.seconds = 101.0
        self.executor.run_due()
        self.assertEqual(self.ran, [])

    def test_cancelled_timers_are_removed_from_the_heap(self) -> None:
        queue = TimerQueue(self.time)
        kept = queue.add(500.0, lambda: None)
        for _ in range(10 * MAX_CANCELLED):
            queue.add(200.0, lambda: None).cancel()
        self.assertLessEqual(len(queue), MAX_CANCELLED + 2)
        self.assertTrue(kept.pending)

    def test_the_timer_thread_notices_a_timer_due_before_the_one_it_waits_for(self) -> None:
        executor = SerialExecutor(LOG)
        executor.start()
        self.addCleanup(executor.stop)
        done = ResultBox[str]()
        executor.at(executor.now() + 3600.0, lambda: done.put("late"))
        executor.at(executor.now(), lambda: done.put("early"))
        self.assertEqual(done.take(), "early")


class SerialExecutorTest(unittest.TestCase):
    def test_an_exception_is_counted_and_the_next_callback_runs(self) -> None:
        executor = SerialExecutor(LOG)
        ran: list[str] = []
        self.assertFalse(executor.run(lambda: ran.remove("absent"), "broken step"))
        self.assertTrue(executor.run(lambda: ran.append("next"), "sound step"))
        self.assertEqual(executor.failures, 1)
        self.assertEqual(ran, ["next"])

    def test_a_future_keeps_only_the_first_result(self) -> None:
        future = Future[str]()
        future.set_result("first")
        future.set_result("second")
        self.assertEqual(future.wait(WAIT_SECONDS), "first")


class TransportCase(unittest.TestCase):
    """Transports of two processes, connected over loopback."""

    def setUp(self) -> None:
        self.executor = SerialExecutor(LOG)
        self.executor.start()
        self.addCleanup(self.executor.stop)
        self.handlers = Handlers()
        self.server = self.started(self.handlers)
        self.client = self.started(Handlers())

    def started(self, handlers: Handlers) -> Transport:
        transport = Transport(self.executor, handlers, LOG)
        transport.bind(LOOPBACK, ANY_PORT)
        transport.start()
        self.addCleanup(transport.stop)
        return transport

    def call(self, address: str, request: EpochQuery | StatusRequest) -> object:
        box = ResultBox[object]()
        self.client.call(address, request, WAIT_SECONDS, box.put)
        return box.take()

    def post(self, body: bytes, method: str = "POST", path: str = INTERNAL_PATH) -> int:
        connection = http.client.HTTPConnection(self.server.address, timeout=WAIT_SECONDS)
        self.addCleanup(connection.close)
        connection.request(method, path, body)
        return connection.getresponse().status


class CallTest(TransportCase):
    def test_a_call_is_answered(self) -> None:
        self.handlers.on_call(EpochQuery, lambda query, reply: reply(EpochReply(query.name, promised=7)))
        self.assertEqual(self.call(self.server.address, EpochQuery("a")), EpochReply("a", promised=7))

    def test_a_handler_may_reply_later(self) -> None:
        waiting = ResultBox[Reply]()
        self.handlers.on_call(EpochQuery, lambda query, reply: waiting.put(reply))
        box = ResultBox[object]()
        self.client.call(self.server.address, EpochQuery("a"), WAIT_SECONDS, box.put)
        reply = waiting.take()
        self.assertTrue(box.empty())
        self.executor.run(lambda: reply(EpochReply("b")), "test")
        self.assertEqual(box.take(), EpochReply("b"))

    def test_a_call_to_a_port_without_listener_returns_none(self) -> None:
        with socket.socket() as unused:
            unused.bind((LOOPBACK, 0))
            address = f"{LOOPBACK}:{unused.getsockname()[1]}"
        self.assertIsNone(self.call(address, EpochQuery("a")))

    def test_a_call_of_a_type_without_handler_returns_none(self) -> None:
        self.assertIsNone(self.call(self.server.address, StatusRequest()))

    def test_a_call_whose_handler_raises_returns_none_at_once(self) -> None:
        self.handlers.on_call(EpochQuery, lambda query, reply: [][0])
        self.assertIsNone(self.call(self.server.address, EpochQuery("a")))
        self.assertEqual(self.executor.failures, 1)

    def test_invalid_requests_get_specific_statuses(self) -> None:
        self.assertEqual(self.post(b"not a message"), 400)
        self.assertEqual(self.post(codec.encode(StatusRequest())), 404)
        self.assertEqual(self.post(b"", method="GET"), 405)
        self.assertEqual(self.post(b"", path="/elsewhere"), 404)

    def test_a_long_message_arrives_completely(self) -> None:
        body = bytes(range(256)) * 20_000
        self.handlers.on_call(StatusRequest, lambda request, reply: reply(StatusReply(body)))
        self.assertEqual(self.call(self.server.address, StatusRequest()), StatusReply(body))

    def test_the_next_port_of_the_range_is_taken_if_the_first_is_in_use(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind((LOOPBACK, 0))
            port = other.getsockname()[1]
            transport = Transport(self.executor, Handlers(), LOG)
            with self.assertRaises(NoFreePortError):
                transport.bind(LOOPBACK, (port, port))


class DatagramTest(TransportCase):
    def test_a_malformed_datagram_is_dropped_and_counted(self) -> None:
        box = ResultBox[object]()
        self.handlers.on_datagram(EpochQuery, box.put)
        ip, _, port = self.server.address.rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in (b"", b"garbage", codec.encode(EpochQuery("a"))):
                sender.sendto(data, (ip, int(port)))
        self.assertEqual(box.take(), EpochQuery("a"))
        self.assertEqual(self.server.datagrams.malformed, 2)

    def test_a_datagram_to_an_invalid_address_is_counted_and_raises_nothing(self) -> None:
        self.client.datagram("255.255.255.255:9", EpochQuery("a"))
        self.client.datagram("", EpochQuery("a"))
        self.assertEqual(self.client.datagrams.unsent, 2)


class CallThreadsTest(unittest.TestCase):
    def setUp(self) -> None:
        limits = CallLimits(threads=3, per_address=2, per_suspect=1, total_suspect=1, waiting=1)
        self.threads = CallThreadPool("test", limits)
        self.addCleanup(self.threads.close)
        self.release = threading.Event()
        self.addCleanup(self.release.set)

    def submit(self, address: str, perform: Callable[[], CallOutcome], is_awaited: bool = True) -> bool:
        return self.threads.submit(PendingCall(address, perform, lambda: is_awaited))

    def stuck(self, outcome: CallOutcome = CallOutcome.UNREACHABLE) -> Callable[[], CallOutcome]:
        def perform() -> CallOutcome:
            self.release.wait(WAIT_SECONDS)
            return outcome

        return perform

    def marking(self, box: ResultBox[str], outcome: CallOutcome = CallOutcome.REACHED) -> Callable[[], CallOutcome]:
        def perform() -> CallOutcome:
            box.put("made")
            return outcome

        return perform

    def test_a_stuck_peer_does_not_block_calls_to_others(self) -> None:
        self.assertEqual([self.submit("stuck", self.stuck()) for _ in range(4)], [True, True, True, False])
        box = ResultBox[str]()
        self.assertTrue(self.submit("sound", self.marking(box)))
        self.assertEqual(box.take(), "made")

    def test_submit_does_not_wait_for_a_thread_start(self) -> None:
        """Calls are submitted under the executor's lock, and a thread start takes seconds on an overloaded machine."""
        starting, start_finished = threading.Event(), list[bool]()
        start = threading.Thread.start

        def start_slowly(thread: threading.Thread) -> None:
            if thread.name.startswith("test"):
                starting.set()
                start_finished.append(self.release.wait(WAIT_SECONDS))
            start(thread)

        box = ResultBox[str]()
        with mock.patch.object(threading.Thread, "start", start_slowly):
            self.submit("sound", self.marking(box))
            self.assertTrue(starting.wait(WAIT_SECONDS))
            self.assertEqual(start_finished, [], "the slow start must still be in progress")
            self.release.set()
            self.assertEqual(box.take(), "made")

    def test_waiting_calls_run_once_others_have_finished(self) -> None:
        box = ResultBox[str]()
        for _ in range(2):
            self.submit("slow", self.stuck(CallOutcome.REACHED))
        self.assertTrue(self.submit("slow", self.marking(box)))
        self.assertTrue(box.empty())
        self.release.set()
        self.assertEqual(box.take(), "made")

    def suspect(self, address: str) -> None:
        """Make a call that finds `address` unreachable, and wait until that is recorded."""
        self.submit(address, lambda: CallOutcome.UNREACHABLE)
        eventually(lambda: self.threads.is_suspect(address))

    def test_an_unreachable_peer_gets_one_call_at_a_time_and_none_is_queued(self) -> None:
        self.suspect("silent")
        self.assertTrue(self.submit("silent", self.stuck()))
        self.assertFalse(self.submit("silent", self.stuck()))
        self.call_to_another_suspect_is_rejected()

    def call_to_another_suspect_is_rejected(self) -> None:
        """Check that a call to a second suspect is rejected while the limit for all suspects is reached."""
        self.release.set()
        eventually(lambda: not self.threads.busy())
        self.release.clear()
        self.suspect("other")
        self.assertTrue(self.submit("silent", self.stuck()))
        self.assertFalse(self.submit("other", self.stuck()))

    def test_a_peer_that_is_reached_again_is_no_longer_suspected(self) -> None:
        self.suspect("silent")
        box = ResultBox[str]()
        self.submit("silent", self.marking(box))
        box.take()
        eventually(lambda: not self.threads.is_suspect("silent"))
        self.assertTrue(self.submit("silent", self.stuck()))
        self.assertTrue(self.submit("silent", self.stuck()))

    def test_a_call_that_is_no_longer_awaited_is_skipped(self) -> None:
        box = ResultBox[str]()
        after = ResultBox[str]()
        self.submit("peer", self.marking(box), is_awaited=False)
        eventually(lambda: not self.threads.busy())
        self.submit("peer", self.marking(after))
        after.take()
        self.assertTrue(box.empty())


class HttpClientCase(unittest.TestCase):
    def setUp(self) -> None:
        self.time = FakeTime()
        self.executor = SerialExecutor(LOG, self.time)
        self.calls = HttpClient(self.executor, "test")
        self.addCleanup(self.calls.close)
        self.listener = socket.create_server((LOOPBACK, 0))
        self.listener.settimeout(WAIT_SECONDS)
        self.addCleanup(self.listener.close)
        self.address = f"{LOOPBACK}:{self.listener.getsockname()[1]}"


class HttpClientTest(HttpClientCase):
    def post(self, timeout: float) -> ResultBox[CallResult]:
        box = ResultBox[CallResult]()
        self.calls.post(OutgoingCall(self.address, "/", b"", timeout), box.put)
        return box

    def test_a_call_to_a_peer_that_never_answers_times_out(self) -> None:
        box = self.post(timeout=5.0)
        connection, _ = self.listener.accept()
        self.time.seconds += 4.9
        self.executor.run_due()
        self.assertTrue(box.empty())
        self.time.seconds += 0.1
        self.executor.run_due()
        self.assertEqual(box.take(), CallResult(reason="timeout"))
        connection.close()

    def test_a_broken_connection_is_reported_and_the_call_not_retried(self) -> None:
        box = self.post(timeout=5.0)
        connection, _ = self.listener.accept()
        connection.recv(1)
        connection.close()
        self.assertEqual((box.take().status, box.take().refused), (0, False))
        self.listener.setblocking(False)
        with self.assertRaises(BlockingIOError):
            self.listener.accept()


class CallIdTest(HttpClientCase):
    """Calls with a call id, which their answers must repeat."""

    def post_with_id(self, call_id: str) -> ResultBox[CallResult]:
        box = ResultBox[CallResult]()
        self.calls.post(OutgoingCall(self.address, "/", b"", WAIT_SECONDS, call_id=call_id), box.put)
        return box

    def answer(self, connection: socket.socket, call_id: str) -> None:
        """Read one request, and answer it with the given call id (empty: without one)."""
        connection.recv(4096)
        name = f"X-Call-Id: {call_id}\r\n" if call_id else ""
        connection.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n{name}\r\nhi".encode())

    def test_an_answer_with_the_right_call_id_is_accepted_and_its_connection_reused(self) -> None:
        box = self.post_with_id("a-1")
        connection, _ = self.listener.accept()
        self.answer(connection, "a-1")
        self.assertEqual(CallResult(200, b"hi"), box.take())
        box = self.post_with_id("a-2")
        self.answer(connection, "a-2")
        self.assertEqual(CallResult(200, b"hi"), box.take())

    def test_a_late_answer_is_not_taken_for_the_answer_to_the_next_call(self) -> None:
        box = self.post_with_id("a-1")
        connection, _ = self.listener.accept()
        self.answer(connection, "a-1")
        box.take()
        box = self.post_with_id("a-2")
        self.answer(connection, "a-1")  # repeats the previous answer
        self.assertEqual(0, box.take().status)
        box = self.post_with_id("a-3")
        fresh, _ = self.listener.accept()  # the connection with the wrong answer is not reused
        self.answer(fresh, "a-3")
        self.assertEqual(CallResult(200, b"hi"), box.take())

    def test_an_answer_without_a_call_id_is_rejected(self) -> None:
        box = self.post_with_id("a-1")
        connection, _ = self.listener.accept()
        self.answer(connection, "")
        self.assertEqual(0, box.take().status)


class WorkerClientTest(HttpServerCase):
    def post(self, address: str, instance: str) -> WorkerResponse:
        calls = HttpWorkerTransport(self.executor, address)
        self.addCleanup(calls.close)
        box = ResultBox[WorkerResponse]()
        calls.post("/pipitledge/hold", b"{}", instance, WAIT_SECONDS, box.put)
        return box.take()

    def test_the_request_names_the_worker_instance_and_the_response_is_returned(self) -> None:
        answer = self.post(f"{LOOPBACK}:{self.server.port}", "i-1")
        self.assertEqual(answer, WorkerResponse(200, b"}{"))
        self.assertEqual(self.requests[0].headers["x-expect-instance"], "i-1")
        self.assertEqual(self.requests[0].headers["content-type"], "application/json")

    def test_an_empty_instance_sends_no_instance_header(self) -> None:
        self.post(f"{LOOPBACK}:{self.server.port}", "")
        self.assertNotIn("x-expect-instance", self.requests[0].headers)

    def test_a_refused_connection_to_the_worker_is_reported_as_refused(self) -> None:
        with socket.socket() as unused:
            unused.bind((LOOPBACK, 0))
            port = unused.getsockname()[1]
        self.assertEqual(self.post(f"{LOOPBACK}:{port}", "i-1"), WorkerResponse(0, b"", refused=True))


class SettingsWatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "local.toml"
        self.path.write_text(SETTINGS)
        self.good = self.settings(SETTINGS)
        self.watcher = SettingsWatcher(str(self.path), self.good, LOG)

    def settings(self, text: str) -> Settings:
        loaded = parse(text)
        assert not isinstance(loaded, SettingsProblem), loaded
        return loaded

    def test_an_unchanged_file_returns_no_settings(self) -> None:
        self.assertIsNone(self.watcher.poll())

    def test_an_invalid_file_keeps_the_last_valid_settings(self) -> None:
        self.path.write_text("nodeName = [broken")
        self.assertIsNone(self.watcher.poll())
        self.assertEqual(self.watcher.current, self.good)

    def test_a_missing_file_keeps_the_last_valid_settings(self) -> None:
        self.path.unlink()
        self.assertIsNone(self.watcher.poll())
        self.assertEqual(self.watcher.current, self.good)

    def test_a_file_that_could_not_be_read_is_read_again_although_it_is_unchanged(self) -> None:
        changed = self.settings(SETTINGS.replace("edge-1", "edge-2"))
        answers: list[Settings | SettingsProblem] = [SettingsProblem(str(self.path), "too many open files"), changed]
        watcher = SettingsWatcher(str(self.path), self.good, LOG, lambda path: answers.pop(0))
        self.assertIsNone(watcher.poll())
        self.assertEqual(watcher.poll(), changed)
        self.assertIsNone(watcher.poll())

    def test_a_file_repaired_after_an_error_is_loaded(self) -> None:
        self.path.write_text("nodeName = [broken")
        self.watcher.poll()
        changed = SETTINGS + 'seeds = ["10.9.0.1:8146"]\n'
        self.path.write_text(changed)
        self.assertEqual(self.watcher.poll(), self.settings(changed))
        self.assertEqual(self.watcher.current.seeds, ("10.9.0.1:8146",))

    def test_a_change_that_leaves_the_settings_equal_returns_no_settings(self) -> None:
        self.path.write_text(SETTINGS + "# a remark\n")
        self.assertIsNone(self.watcher.poll())


class SignalLoopTest(unittest.TestCase):
    def test_sighup_reloads_and_sigterm_ends_the_loop(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.addCleanup(signal.set_wakeup_fd, -1)
        reloads: list[str] = []
        loop = SignalLoop(lambda: reloads.append("reload"), lambda: None)
        loop.install()
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)
        loop.run_until_terminated()
        self.assertEqual(reloads, ["reload"])


if __name__ == "__main__":
    unittest.main()
