"""Tests of the programs: HTTP handlers, the bootstrap gate, the package list and the deploy file."""

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
from pipitledge.programs.http_handlers import client_handler, operator_handler, readiness_handler
from pipitledge.programs.worker_http_handler import worker_handler
from pipitledge.runtime.http_types import HttpHandler, HttpRequest, HttpResponse
from pipitledge.runtime.ports import Clock

ROOT = Path(__file__).resolve().parents[2]


def send_request(handler: HttpHandler, request: HttpRequest) -> HttpResponse:
    responses: list[HttpResponse] = []
    handler(request, responses.append)
    [response] = responses
    return response


class FakeIngress:
    """Records the calls that it receives, and answers each with status 429."""

    def __init__(self, retry_after_ms: int = 0) -> None:
        self.retry_after_ms = retry_after_ms
        self.calls: list[tuple[object, ...]] = []

    def client_call(self, *call: object) -> None:
        *arguments, respond = call
        self.calls.append(tuple(arguments))
        assert callable(respond)
        respond(429, b"{}", self.retry_after_ms)


class ClientHandlerTest(unittest.TestCase):
    def deadline(self, header: str | None) -> object:
        ingress = FakeIngress()
        headers = {"host": "h.example"} | ({} if header is None else {"x-deadline-ms": header})
        send_request(client_handler(cast(Ingress, ingress)), HttpRequest("POST", "/q/1", "", headers, b"body"))
        [(method, host, path, body, deadline)] = ingress.calls
        self.assertEqual((method, host, path, body), ("POST", "h.example", "/q/1", b"body"))
        return deadline

    def test_deadline_header_is_parsed_and_invalid_values_are_ignored(self) -> None:
        self.assertEqual(self.deadline("900"), 900.0)
        for unreadable in (None, "", "soon", "nan", "inf"):
            with self.subTest(unreadable):
                self.assertIsNone(self.deadline(unreadable))

    def test_retry_after_is_rounded_up_to_whole_seconds(self) -> None:
        for milliseconds, header in ((1, "1"), (1000, "1"), (1001, "2")):
            with self.subTest(milliseconds):
                handler = client_handler(cast(Ingress, FakeIngress(milliseconds)))
                response = send_request(handler, HttpRequest("GET", "/q/1"))
                self.assertEqual(response, HttpResponse(429, b"{}", {"Retry-After": header}))

    def test_no_retry_after_header_without_a_delay(self) -> None:
        self.assertEqual(
            send_request(client_handler(cast(Ingress, FakeIngress())), HttpRequest("GET", "/")).headers, {}
        )


class FakeReadiness:
    def __init__(self, ready: bool) -> None:
        self._ready = ready

    def ready(self) -> bool:
        return self._ready


class ReadinessHandlerTest(unittest.TestCase):
    def status(self, ready: bool, method: str = "GET", path: str = "/pipitledge/ready") -> int:
        return send_request(readiness_handler(cast(Readiness, FakeReadiness(ready))), HttpRequest(method, path)).status

    def test_status_code_reflects_readiness(self) -> None:
        self.assertEqual(self.status(True), 200)
        self.assertEqual(self.status(False), 503)

    def test_other_paths_and_methods_are_rejected(self) -> None:
        self.assertEqual(self.status(True, path="/"), 404)
        self.assertEqual(self.status(True, method="POST"), 405)


class PackagesTest(unittest.TestCase):
    def test_all_packages_are_installed(self) -> None:
        listed = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
        folders = (path.parent.relative_to(ROOT) for path in (ROOT / "pipitledge").rglob("__init__.py"))
        self.assertEqual(sorted(listed), sorted(".".join(folder.parts) for folder in folders))


class FoundingGateTest(unittest.TestCase):
    """When a node may start the bootstrap of the cluster; with three seeds, one of them this node, unless stated."""

    def gate(self, known_addresses: list[str], waited_s: float) -> bool:
        clock = SimpleNamespace(now=lambda: 0.0)
        membership = SimpleNamespace(
            nodes=lambda: [SimpleNamespace(address=address) for address in known_addresses],
            seed_addresses=lambda: ["b:1", "c:1"],
        )
        gate = BootstrapGate(cast(Clock, clock), cast(Membership, membership), seeds=3)
        clock.now = lambda: waited_s
        return gate.open()

    def test_opens_immediately_when_all_seeds_are_known(self) -> None:
        self.assertTrue(self.gate(["b:1", "c:1"], 0.0))

    def test_opens_after_a_delay_when_a_majority_of_seeds_is_known(self) -> None:
        self.assertFalse(self.gate(["b:1"], BOOTSTRAP_WAIT_SECONDS - 0.1))
        self.assertTrue(self.gate(["b:1"], BOOTSTRAP_WAIT_SECONDS))

    def test_never_opens_without_a_majority_of_seeds(self) -> None:
        self.assertFalse(self.gate(["d:1"], 1000.0))

    def test_seeds_once_known_are_remembered(self) -> None:
        known_nodes = [SimpleNamespace(address="b:1")]
        membership = SimpleNamespace(nodes=lambda: known_nodes, seed_addresses=lambda: ["b:1", "c:1"])
        clock = SimpleNamespace(now=lambda: 0.0)
        gate = BootstrapGate(cast(Clock, clock), cast(Membership, membership), seeds=3)
        self.assertFalse(gate.open())
        known_nodes[:] = [SimpleNamespace(address="c:1")]
        self.assertTrue(gate.open())

    def test_single_seed_opens_for_itself_and_for_nodes_that_know_it(self) -> None:
        self.assertEqual([self.gate_of(["a:1"], known_addresses) for known_addresses in ([], ["a:1"])], [False, True])
        self.assertTrue(self.gate_of([], []), "the only seed is this node")

    def gate_of(self, other_seeds: list[str], known_addresses: list[str]) -> bool:
        membership = SimpleNamespace(
            nodes=lambda: [SimpleNamespace(address=address) for address in known_addresses],
            seed_addresses=lambda: other_seeds,
        )
        clock = SimpleNamespace(now=lambda: 0.0)
        return BootstrapGate(cast(Clock, clock), cast(Membership, membership), seeds=1).open()


class FakeControlFront:
    def __init__(self, *answer: object) -> None:
        self.calls: list[tuple[object, ...]] = []
        self.answer = answer

    def call(self, *call: object) -> None:
        *arguments, respond = call
        self.calls.append(tuple(arguments))
        assert callable(respond)
        respond(*self.answer)


class OperatorHandlerTest(unittest.TestCase):
    def test_redirect_has_a_location_header(self) -> None:
        front = operator_handler(cast(ControlPlaneApi, FakeControlFront(307, b"", "http://10.0.0.1:8146/x")))
        response = send_request(front, HttpRequest("GET", "/pipitledge/config", "", {}, b""))
        self.assertEqual(response, HttpResponse(307, b"", {"Location": "http://10.0.0.1:8146/x"}))

    def test_if_match_version_is_passed_on(self) -> None:
        control = FakeControlFront(412, b"{}", "")
        request = HttpRequest("PUT", "/pipitledge/config", "", {"if-match": "5"}, b"body")
        self.assertEqual(
            send_request(operator_handler(cast(ControlPlaneApi, control)), request), HttpResponse(412, b"{}")
        )
        self.assertEqual(control.calls, [("PUT", "/pipitledge/config", "5", b"body")])


class FakeAgent:
    def __init__(self) -> None:
        self.calls: list[tuple[object, ...]] = []

    def heartbeat(self, *call: object) -> None:
        self._take("heartbeat", *call)

    def leave(self, *call: object) -> None:
        self._take("leave", *call)

    def _take(self, *call: object) -> None:
        *arguments, respond = call
        self.calls.append(tuple(arguments))
        assert callable(respond)
        respond(200, b"{}")


class WorkerHandlerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.agent = FakeAgent()

    def status(self, method: str, path: str) -> int:
        return send_request(worker_handler(cast(Agent, self.agent)), HttpRequest(method, path, body=b"body")).status

    def test_heartbeats_and_leave_calls_reach_the_agent(self) -> None:
        self.assertEqual(self.status("PUT", "/pipitledge/instances/i-1"), 200)
        self.assertEqual(self.status("DELETE", "/pipitledge/instances/i-1"), 200)
        self.assertEqual(self.agent.calls, [("heartbeat", "i-1", b"body"), ("leave", "i-1")])

    def test_other_paths_and_methods_are_rejected(self) -> None:
        self.assertEqual(self.status("GET", "/pipitledge/instances/i-1"), 405)
        for path in ("/pipitledge/instances/", "/pipitledge/instances/a/b", "/pipitledge/config"):
            with self.subTest(path):
                self.assertEqual(self.status("PUT", path), 404)
        self.assertEqual(self.agent.calls, [])


class DeployFileTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())

    def test_each_role_runs_an_existing_program_and_serves_distinct_callers(self) -> None:
        served: list[tuple[str, str]] = []
        for name, role in self.deploy["roles"].items():
            with self.subTest(name):
                python, option, module = role["run"].split()
                self.assertEqual((python, option), ("python3", "-m"))
                self.assertIsNotNone(importlib.util.find_spec(module))
                served += [(role["on"], caller) for caller in role["serves"]]
        self.assertEqual(len(served), len(set(served)))
        self.assertEqual({caller for _, caller in served}, {"edge", "control_plane", "side"})

    def test_build_requirements_are_pinned(self) -> None:
        self.assertIn("requirements-system.txt", self.deploy["build"])
        for line in (ROOT / "requirements-system.txt").read_text().splitlines():
            with self.subTest(line):
                self.assertIsNotNone(re.fullmatch(r"[a-z0-9_-]+==[0-9.]+", line))


if __name__ == "__main__":
    unittest.main()
