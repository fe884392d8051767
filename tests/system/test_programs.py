"""The programs' own parts: requests to planes' calls, and the deploy file."""

from __future__ import annotations

import importlib.util
import re
import tomllib
import unittest
from pathlib import Path
from types import SimpleNamespace
from typing import cast

from pipitledge.agent.agent import Agent
from pipitledge.ingress.control_plane_api import ControlPlaneApi
from pipitledge.ingress.ingress import Ingress
from pipitledge.ingress.readiness import Readiness
from pipitledge.membership.bootstrap_gate import BOOTSTRAP_WAIT_SECONDS, BootstrapGate
from pipitledge.membership.membership import Membership
from pipitledge.programs.fronts import client_front, operator_front, readiness_front
from pipitledge.programs.worker_front import worker_front
from pipitledge.runtime.http_types import HttpHandler, HttpRequest, HttpResponse
from pipitledge.runtime.ports import Clock

ROOT = Path(__file__).resolve().parents[2]


def ask(handler: HttpHandler, request: HttpRequest) -> HttpResponse:
    responses: list[HttpResponse] = []
    handler(request, responses.append)
    [response] = responses
    return response


class FakeIngress:
    """Tells the calls that it was given."""

    def __init__(self, retry_after_ms: int = 0) -> None:
        self.retry_after_ms = retry_after_ms
        self.calls: list[tuple[object, ...]] = []

    def client_call(self, *call: object) -> None:
        *told, respond = call
        self.calls.append(tuple(told))
        assert callable(respond)
        respond(429, b"{}", self.retry_after_ms)


class ClientFrontTest(unittest.TestCase):
    def deadline(self, header: str | None) -> object:
        ingress = FakeIngress()
        headers = {"host": "h.example"} | ({} if header is None else {"x-deadline-ms": header})
        ask(client_front(cast(Ingress, ingress)), HttpRequest("POST", "/q/1", "", headers, b"body"))
        [(method, host, path, body, deadline)] = ingress.calls
        self.assertEqual((method, host, path, body), ("POST", "h.example", "/q/1", b"body"))
        return deadline

    def test_the_deadline_is_read_if_it_can_be(self) -> None:
        self.assertEqual(self.deadline("900"), 900.0)
        for unreadable in (None, "", "soon", "nan", "inf"):
            with self.subTest(unreadable):
                self.assertIsNone(self.deadline(unreadable))

    def test_a_refusal_tells_when_to_come_back_in_whole_seconds(self) -> None:
        for milliseconds, header in ((1, "1"), (1000, "1"), (1001, "2")):
            with self.subTest(milliseconds):
                handler = client_front(cast(Ingress, FakeIngress(milliseconds)))
                response = ask(handler, HttpRequest("GET", "/q/1"))
                self.assertEqual(response, HttpResponse(429, b"{}", {"Retry-After": header}))

    def test_an_answer_without_a_time_has_no_such_header(self) -> None:
        self.assertEqual(ask(client_front(cast(Ingress, FakeIngress())), HttpRequest("GET", "/")).headers, {})


class FakeReadiness:
    def __init__(self, ready: bool) -> None:
        self._ready = ready

    def ready(self) -> bool:
        return self._ready


class ReadinessFrontTest(unittest.TestCase):
    def status(self, ready: bool, method: str = "GET", path: str = "/pipitledge/ready") -> int:
        return ask(readiness_front(cast(Readiness, FakeReadiness(ready))), HttpRequest(method, path)).status

    def test_the_status_tells_whether_the_node_is_ready(self) -> None:
        self.assertEqual(self.status(True), 200)
        self.assertEqual(self.status(False), 503)

    def test_nothing_else_is_answered_there(self) -> None:
        self.assertEqual(self.status(True, path="/"), 404)
        self.assertEqual(self.status(True, method="POST"), 405)


class PackagesTest(unittest.TestCase):
    def test_all_packages_are_installed(self) -> None:
        listed = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
        folders = (path.parent.relative_to(ROOT) for path in (ROOT / "pipitledge").rglob("__init__.py"))
        self.assertEqual(sorted(listed), sorted(".".join(folder.parts) for folder in folders))


class FoundingGateTest(unittest.TestCase):
    """Three seeds, of which this node is one."""

    def gate(self, heard: list[str], waited_s: float) -> bool:
        clock = SimpleNamespace(now=lambda: 0.0)
        membership = SimpleNamespace(
            nodes=lambda: [SimpleNamespace(address=address) for address in heard],
            seed_addresses=lambda: ["b:1", "c:1"],
        )
        gate = BootstrapGate(cast(Clock, clock), cast(Membership, membership), seeds=3)
        clock.now = lambda: waited_s
        return gate.open()

    def test_it_opens_at_once_when_all_seeds_were_heard_of(self) -> None:
        self.assertTrue(self.gate(["b:1", "c:1"], 0.0))

    def test_with_more_than_half_it_opens_after_a_while(self) -> None:
        self.assertFalse(self.gate(["b:1"], BOOTSTRAP_WAIT_SECONDS - 0.1))
        self.assertTrue(self.gate(["b:1"], BOOTSTRAP_WAIT_SECONDS))

    def test_alone_it_never_opens(self) -> None:
        self.assertFalse(self.gate(["d:1"], 1000.0))

    def test_seeds_heard_of_are_remembered(self) -> None:
        heard = [SimpleNamespace(address="b:1")]
        membership = SimpleNamespace(nodes=lambda: heard, seed_addresses=lambda: ["b:1", "c:1"])
        clock = SimpleNamespace(now=lambda: 0.0)
        gate = BootstrapGate(cast(Clock, clock), cast(Membership, membership), seeds=3)
        self.assertFalse(gate.open())
        heard[:] = [SimpleNamespace(address="c:1")]
        self.assertTrue(gate.open())

    def test_a_single_seed_opens_for_itself_and_for_those_that_hear_of_it(self) -> None:
        self.assertEqual([self.gate_of(["a:1"], heard) for heard in ([], ["a:1"])], [False, True])
        self.assertTrue(self.gate_of([], []), "it is the seed itself")

    def gate_of(self, other_seeds: list[str], heard: list[str]) -> bool:
        membership = SimpleNamespace(
            nodes=lambda: [SimpleNamespace(address=address) for address in heard], seed_addresses=lambda: other_seeds
        )
        clock = SimpleNamespace(now=lambda: 0.0)
        return BootstrapGate(cast(Clock, clock), cast(Membership, membership), seeds=1).open()


class FakeControl:
    def __init__(self, *answer: object) -> None:
        self.calls: list[tuple[object, ...]] = []
        self.answer = answer

    def call(self, *call: object) -> None:
        *told, respond = call
        self.calls.append(tuple(told))
        assert callable(respond)
        respond(*self.answer)


class OperatorFrontTest(unittest.TestCase):
    def test_a_redirect_tells_where_to_call(self) -> None:
        front = operator_front(cast(ControlPlaneApi, FakeControl(307, b"", "http://10.0.0.1:8146/x")))
        response = ask(front, HttpRequest("GET", "/pipitledge/config", "", {}, b""))
        self.assertEqual(response, HttpResponse(307, b"", {"Location": "http://10.0.0.1:8146/x"}))

    def test_the_version_that_an_order_builds_on_is_passed_on(self) -> None:
        control = FakeControl(412, b"{}", "")
        request = HttpRequest("PUT", "/pipitledge/config", "", {"if-match": "5"}, b"body")
        self.assertEqual(ask(operator_front(cast(ControlPlaneApi, control)), request), HttpResponse(412, b"{}"))
        self.assertEqual(control.calls, [("PUT", "/pipitledge/config", "5", b"body")])


class FakeAgent:
    def __init__(self) -> None:
        self.calls: list[tuple[object, ...]] = []

    def heartbeat(self, *call: object) -> None:
        self._take("heartbeat", *call)

    def leave(self, *call: object) -> None:
        self._take("leave", *call)

    def _take(self, *call: object) -> None:
        *told, respond = call
        self.calls.append(tuple(told))
        assert callable(respond)
        respond(200, b"{}")


class WorkerFrontTest(unittest.TestCase):
    def setUp(self) -> None:
        self.agent = FakeAgent()

    def status(self, method: str, path: str) -> int:
        return ask(worker_front(cast(Agent, self.agent)), HttpRequest(method, path, body=b"body")).status

    def test_heartbeats_and_goodbyes_reach_the_agent(self) -> None:
        self.assertEqual(self.status("PUT", "/pipitledge/instances/i-1"), 200)
        self.assertEqual(self.status("DELETE", "/pipitledge/instances/i-1"), 200)
        self.assertEqual(self.agent.calls, [("heartbeat", "i-1", b"body"), ("leave", "i-1")])

    def test_other_calls_are_turned_away(self) -> None:
        self.assertEqual(self.status("GET", "/pipitledge/instances/i-1"), 405)
        for path in ("/pipitledge/instances/", "/pipitledge/instances/a/b", "/pipitledge/config"):
            with self.subTest(path):
                self.assertEqual(self.status("PUT", path), 404)
        self.assertEqual(self.agent.calls, [])


class DeployFileTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())

    def test_each_role_runs_a_program_that_is_there_and_no_two_serve_the_same(self) -> None:
        served: list[tuple[str, str]] = []
        for name, role in self.deploy["roles"].items():
            with self.subTest(name):
                python, option, module = role["run"].split()
                self.assertEqual((python, option), ("python3", "-m"))
                self.assertIsNotNone(importlib.util.find_spec(module))
                served += [(role["on"], caller) for caller in role["serves"]]
        self.assertEqual(len(served), len(set(served)))
        self.assertEqual({caller for _, caller in served}, {"edge", "control_plane", "side"})

    def test_what_the_build_installs_is_pinned(self) -> None:
        self.assertIn("requirements-system.txt", self.deploy["build"])
        for line in (ROOT / "requirements-system.txt").read_text().splitlines():
            with self.subTest(line):
                self.assertIsNotNone(re.fullmatch(r"[a-z0-9_-]+==[0-9.]+", line))


if __name__ == "__main__":
    unittest.main()
