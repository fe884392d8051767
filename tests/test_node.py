"""The program as it is started: configuration, readiness, a query refused, and an orderly end."""

from __future__ import annotations

import json
import pathlib
import signal
import socket
import subprocess
import sys

import pytest

from pipitledge.node import config

ROOT = pathlib.Path(__file__).parent.parent
STATED = {
    "lanes": [{"name": "menu-plan", "deadline_ms": 300.0, "objective_ms": 100.0, "repeat": "free"}],
    "realms": [{"name": "hverdag", "share": 1.0}], "shapes": ["fast-4"], "zones": ["aarhus-1"],
    "discovery": "ask", "resolution_ms": 4.0,
    "permissions": {"max_attempts": 6, "retry_after": True, "max_retry_after_ms": 2000.0,
                    "dial_timeout_ms": 100.0, "conn_idle_ms": 15000.0},
    "rules": {"ask_every_ms": 10000.0},
}


def told(**changes: object) -> dict[str, object]:
    return {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 1, "all": True, "targets": []}, "settings": STATED} | changes


def test_the_configuration_is_read(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told()))
    read = config.load({"BALANCER_CONFIG": str(path)})
    assert read.names.classes == {b"menu-plan": 0} and read.names.kinds == {"fast-4": 0}
    assert (read.seed, read.sockets, read.dial_timeout_ms) == (0x8C1F30D27A5BE964, 1024, 100.0)


@pytest.mark.parametrize("changes, word", [
    ({"listen": "nowhere"}, "nowhere"), ({"settings": {}}, "classes"), ({"name": ""}, "name"),
    ({"seed": "xyz"}, "xyz"), ({"discovery": "h:99999"}, "99999"),
])
def test_a_bad_configuration_says_what_is_wrong(
        tmp_path: pathlib.Path, changes: dict[str, object], word: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told(**changes)))
    with pytest.raises(config.ConfigError, match=word):
        config.load({"BALANCER_CONFIG": str(path)})


def test_a_node_starts_answers_and_ends_on_sigterm(tmp_path: pathlib.Path) -> None:
    with socket.socket() as free:  # a port that nobody has just now
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told(listen=f"127.0.0.1:{port}")))
    node = subprocess.Popen([sys.executable, "-m", "pipitledge"], cwd=ROOT, stdout=subprocess.PIPE, text=True,
                            env={"BALANCER_CONFIG": str(path)})
    assert node.stdout is not None
    try:
        while " ready " not in (line := node.stdout.readline()):
            assert line, "the node ended before it was ready"
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            assert client.recv(4_096).startswith(b"HTTP/1.1 200 OK")
            client.sendall(b"POST /menu-plan HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\n\r\n")
            node.send_signal(signal.SIGTERM)
            answer = client.recv(4_096)  # held without a worker until it can't be in time: then refused
            assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After: 2.000\r\n" in answer
            assert b"Connection: close\r\n" in answer and client.recv(4_096) == b""
        rest = node.stdout.read()
        assert node.wait() == 0 and "stopped open=0" in rest and '"answer.throttle":1' in rest
    finally:
        node.kill()
        node.wait()
        node.stdout.close()
