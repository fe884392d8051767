"""The node as a process: configuration, readiness, reload, refused queries, and orderly shutdown."""

from __future__ import annotations

import contextlib
import json
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tomllib

import pytest
from net_helper import END, HEAD, line, readable
from node_helper import READY, ROOT, STATED, Node, job, node_config, print_config

from pipitledge.node import config
from pipitledge.node.budget import RESERVED_DESCRIPTORS, budget, max_held_body_bytes
from pipitledge.node.front import ACCEPTS_PER_ROUND, OVERFLOW_LINKS


def test_the_configuration_is_loaded(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(node_config()))
    read = config.load({"BALANCER_CONFIG": str(path)})
    assert read.names.classes == {b"menu-plan": 0} and read.names.kinds == {"fast-4": 0}
    assert (read.seed, read.sockets, read.dial_timeout_ms) == (0x8C1F30D27A5BE964, 1024, 100.0)


@pytest.mark.parametrize(
    "changes, message",
    [
        ({"listen": "nowhere"}, "nowhere"),
        ({"settings": {}}, "settings.lanes"),
        ({"name": ""}, "name"),
        ({"seed": "xyz"}, "xyz"),
        ({"discovery": "h:99999"}, "99999"),
    ],
)
def test_a_bad_configuration_is_an_error_that_names_the_value(
    tmp_path: pathlib.Path, changes: dict[str, object], message: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(node_config(**changes)))
    with pytest.raises(config.ConfigError, match=message):
        config.load({"BALANCER_CONFIG": str(path)})


@pytest.mark.parametrize("sockets", [256, 384, 1_024])
def test_descriptors_suffice_at_every_limit(sockets: int) -> None:
    """Clients get at least a third of the descriptors; links suffice for the largest list, 13 workers of 5 slots."""
    clients, links = budget(sockets)
    assert clients >= sockets / 3 and links >= 13 * 5
    assert (
        RESERVED_DESCRIPTORS + OVERFLOW_LINKS + clients + links <= sockets
        and RESERVED_DESCRIPTORS - ACCEPTS_PER_ROUND >= 10
    )


def test_the_limit_for_bodies_fits_the_available_memory() -> None:
    assert 2 << 20 <= max_held_body_bytes(32) <= 12 << 20 and 64 << 20 < max_held_body_bytes(192) < 172 << 20


def test_a_node_starts_answers_and_ends_on_sigterm(tmp_path: pathlib.Path) -> None:
    with Node(tmp_path) as node, node.client() as client:
        client.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert client.recv(4_096).startswith(b"HTTP/1.1 200 OK")
        client.sendall(b"POST /menu-plan HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\n\r\n")
        node.signal(signal.SIGTERM)
        answer = client.recv(4_096)  # queued, as there is no worker, and refused once the deadline can't be met
        assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After: 2.000\r\n" in answer
        assert client.recv(4_096) == b""  # the connection is idle when the closing stage starts
        rest = node.rest()
        assert node.process.wait() == 0 and "stopped open=0" in rest and '"answer.throttle":1' in rest


def test_sighup_changes_discovery_keeps_queries_and_ignores_bad_files(tmp_path: pathlib.Path) -> None:
    """SIGHUP must not end the process, and a file that can't be used must change nothing."""
    with Node(tmp_path) as node, node.client() as client, socket.create_server(("127.0.0.1", 0)) as discovery:
        client.sendall(b"POST /menu-plan HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\n\r\n")
        whole = node.path.read_text()
        for bad in (
            "",
            whole[: len(whole) // 2],
            "[]",
            '{"discovery": 1e999}',
            "[" * 100_000,
            whole.replace('"127.0.0.1:9"', '"discovery.local:9"'),
        ):
            node.path.write_text(bad)
            node.signal(signal.SIGHUP)
            assert "kept=n0 error=" in node.until("config")
        node.path.unlink()
        node.signal(signal.SIGHUP)
        assert "FileNotFoundError" in node.until("config")
        node.write(
            discovery=f"127.0.0.1:{discovery.getsockname()[1]}",
            seed="1",
            limits={"cores": 1.0, "memory_mb": 64, "sockets": 1024},
        )
        node.signal(signal.SIGHUP)
        assert "moved=True settings=same classes=menu-plan needs_restart=seed\n" in node.until("config")
        watch, _ = discovery.accept()
        with watch:
            assert watch.recv(4_096).startswith(b"GET /api/targets?follow=1 HTTP/1.1\r\n")
            node.signal(signal.SIGHUP)
            assert "moved=False" in node.until("config")
            node.signal(signal.SIGHUP)
            node.signal(signal.SIGTERM)
            assert client.recv(4_096).startswith(b"HTTP/1.1 503")  # the query that was open during all reloads
            rest = node.rest()
        assert node.process.wait() == 0 and '"config.kept":7' in rest and '"watch.watch-refused"' not in rest


def test_a_node_that_prints_divides_its_descriptors_and_exits_when_both_services_have_stopped(
    tmp_path: pathlib.Path,
) -> None:
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 256}
    with Node(tmp_path, limits=limits, **print_config(tmp_path)) as node, node.client() as client:
        # the print service has 65 of 256 descriptors: 32 for clients, 32 for printers, 1 for the poll
        assert "clients={} links={}".format(*budget(256 - 65)) in node.first
        client.sendall(READY)
        assert client.recv(4_096).startswith(b"HTTP/1.1 200 OK")
        node.signal(signal.SIGTERM)
        rest = node.rest()
        assert node.process.wait() == 0 and "printing stopping=True open=0" in rest and "stopped open=0" in rest


@pytest.mark.parametrize("prints", [False, True])
def test_a_query_with_a_long_timeout_is_answered_between_sigterm_and_sigkill(
    tmp_path: pathlib.Path, prints: bool
) -> None:
    """With deadlines of 0.3 s, SIGKILL may follow after 1 s; the query's own timeout is 60 s, and its worker hangs."""
    with socket.create_server(("127.0.0.1", 0)) as worker:
        row = {
            "uid": "w0",
            "endpoint": f"127.0.0.1:{worker.getsockname()[1]}",
            "az": "aarhus-1",
            "model": "fast-4",
            "pod_group": 0,
            "state": "in_service",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        more = print_config(tmp_path) if prints else {}
        with Node(tmp_path, known={"rev": 1, "all": True, "targets": [row]}, **more) as node, node.client() as client:
            client.sendall(job("a").replace(b"Host: x\r\n", b"Host: x\r\nRequest-Timeout-Ms: 60000\r\n"))
            link, _ = worker.accept()
            with link:
                assert b"Request-Id: a\r\n" in link.recv(4_096)
                node.signal(signal.SIGTERM)
                node.signal(signal.SIGTERM)  # a second one has no effect
                answer = client.recv(4_096)
                assert answer.startswith(b"HTTP/1.1 502") and answer.endswith(b"stopping")
                assert node.process.wait(10) == 0 and '"query.cut-short":1' in node.rest()


def test_the_build_compiles_all_modules_that_a_start_needs(tmp_path: pathlib.Path) -> None:
    """Where a node can't write byte code, each start compiled all modules: 0.95 s of CPU time instead of 0.26 s."""
    shutil.copytree(ROOT / "pipitledge", tmp_path / "pipitledge", ignore=shutil.ignore_patterns("__pycache__"))
    (tmp_path / ".venv").symlink_to(sys.prefix)
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    subprocess.run(["/bin/sh", "-c", build], cwd=tmp_path, check=True, timeout=300)
    started = subprocess.run(
        [sys.executable, "-v", "-m", "pipitledge"], cwd=tmp_path, env={}, capture_output=True, text=True, timeout=60
    )
    assert "config error=" in started.stdout  # logged after all modules are imported
    own = [line for line in started.stderr.splitlines() if "pipitledge" in line and line.startswith("# ")]
    assert [line for line in own if "code object from" in line or " matches " in line]
    assert not [line for line in own if "wrote " in line or ("code object from" in line and ".pyc" not in line)]


@pytest.mark.parametrize("before", ["nothing", "lame duck", "longer deadlines", "shorter deadlines"])
def test_all_accepted_queries_are_answered_at_shutdown_though_clients_send_on(
    tmp_path: pathlib.Path, before: str
) -> None:
    """SIGTERM with open requests on all connections; every second job hangs, and each answer causes a new request."""

    def lanes(deadline_ms: float) -> dict[str, object]:
        return STATED | {"lanes": [STATED["lanes"][0] | {"deadline_ms": deadline_ms, "objective_ms": deadline_ms}]}

    with socket.create_server(("127.0.0.1", 0)) as worker, contextlib.ExitStack() as opened:
        row = {
            "uid": "w0",
            "endpoint": f"127.0.0.1:{worker.getsockname()[1]}",
            "az": "aarhus-1",
            "model": "fast-4",
            "pod_group": 0,
            "state": "in_service",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        node = opened.enter_context(
            Node(tmp_path, settings=lanes(600.0), known={"rev": 1, "all": True, "targets": [row]})
        )
        clients = [opened.enter_context(node.client()) for _ in range(12)]
        links, asked, answered, sigterm_sent = list[socket.socket](), 0, 0, False

        def ask(client: socket.socket) -> None:
            nonlocal asked
            asked += 1
            headers = b"Host: x\r\nRequest-Timeout-Ms: 60000\r\n" if asked % 3 else b"Host: x\r\n"
            client.sendall(job(f"q{asked}").replace(b"Host: x\r\n", headers))

        for client in clients:
            ask(client)
        while clients:
            if answered >= 30 and not sigterm_sent:
                sigterm_sent = True
                if before == "lame duck":
                    assert node.call("LAMEDUCK") == "+OK"
                elif before != "nothing":
                    node.write(settings=lanes(1_500.0 if before == "longer deadlines" else 300.0))
                    node.signal(signal.SIGHUP)
                    node.until("settings=changed")
                for _ in range(2):
                    node.signal(signal.SIGTERM)
            for sock in readable([worker, *links, *clients], 10_000.0):
                if sock is worker:
                    links.append(opened.enter_context(worker.accept()[0]))
                    continue
                with contextlib.suppress(ConnectionError):
                    if not (data := sock.recv(65_536)):
                        (links if sock in links else clients).remove(sock)
                    elif sock in clients:
                        assert data.startswith(b"HTTP/1.1 ") and b"\r\n\r\n" in data
                        answered += 1
                        ask(sock)
                    else:
                        name = data.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode()
                        if not sigterm_sent or int(name[1:]) % 2:  # after SIGTERM every second job hangs
                            sock.sendall(HEAD + line("done", name, result="x") + END)
                    continue
                with contextlib.suppress(ValueError):
                    clients.remove(sock)  # connection reset: its last request was not read
        rest = node.rest()
        assert node.process.wait(10) == 0 and answered >= 30
        assert json.loads(rest.split("counters=")[-1].splitlines()[0])["query.taken"] == answered
