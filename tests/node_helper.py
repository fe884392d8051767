"""Runs a node as a process of its own, on free ports."""

from __future__ import annotations

import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
from typing import Any

from pipitledge.emulator.ports import free_port

ROOT = pathlib.Path(__file__).parent.parent
STATED = {
    "lanes": [{"name": "menu-plan", "deadline_ms": 300.0, "objective_ms": 100.0, "repeat": "free"}],
    "realms": [{"name": "hverdag", "share": 1.0}],
    "shapes": ["fast-4"],
    "zones": ["aarhus-1"],
    "discovery": "ask",
    "resolution_ms": 4.0,
    "permissions": {
        "max_attempts": 6,
        "retry_after": True,
        "max_retry_after_ms": 2000.0,
        "dial_timeout_ms": 100.0,
        "conn_idle_ms": 15000.0,
    },
    "rules": {"ask_every_ms": 10000.0},
}


def node_config(**changes: object) -> dict[str, object]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 1, "all": True, "targets": []},
        "settings": STATED,
    } | changes


def print_config(folder: pathlib.Path) -> dict[str, object]:
    """The configuration keys of the print service, with one printer that does not exist."""
    printers = folder / "printers.conf"
    printers.write_text("printer label\n    uri ipp://127.0.0.1:9/ipp/print\n")
    return {"printers": str(printers), "ipp_listen": f"127.0.0.1:{free_port()}"}


class Node:
    """One process of a node. With `predecessor`, it takes over from that process of the same node."""

    def __init__(self, folder: pathlib.Path, predecessor: Node | None = None, **changes: Any) -> None:
        self.port = predecessor.port if predecessor is not None else free_port()
        # $TMPDIR belongs to the node and outlives the process. It is made in the system's folder for temporary files,
        # because the path of pytest's folder may be too long for a Unix socket.
        self.tmp = (
            predecessor.tmp if predecessor is not None else tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
        )
        self.console_port = free_port()
        self.path = folder / f"config-{self.console_port}.json"
        self.write(**changes)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "pipitledge"],
            cwd=ROOT,
            text=True,
            stdout=subprocess.PIPE,
            env={
                "BALANCER_CONFIG": str(self.path),
                "TMPDIR": self.tmp.name,
                "BALANCER_CONSOLE": f"127.0.0.1:{self.console_port}",
            },
        )
        self.first = self.until(" ready ", " config error=")

    def write(self, **changes: object) -> None:
        self.path.write_text(json.dumps(node_config(listen=f"127.0.0.1:{self.port}", **changes)))

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    def until(self, *words: str) -> str:
        """Return the next log line that contains one of the words."""
        assert self.process.stdout is not None
        for line in self.process.stdout:
            if any(word in line for word in words):
                return line
        raise AssertionError(f"the node ended before it logged any of {words}")

    def rest(self) -> str:
        assert self.process.stdout is not None
        return self.process.stdout.read()

    def client(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.port), 10.0)

    def ready(self) -> bytes:
        """Return the answer to /-/ready on a new connection."""
        with self.client() as sock:
            return exchange(sock, READY)

    def handover_socket(self) -> socket.socket:
        """Connect to the Unix socket by which another process takes over from this one."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.connect(f"{self.tmp.name}/pipitledge-127.0.0.1-{self.port}.sock")
        return sock

    def call(self, line: str) -> str:
        """Send an operator's call to the console and return the answer."""
        with socket.create_connection(("127.0.0.1", self.console_port), 10.0) as sock:
            sock.sendall(line.encode() + b"\n")
            with sock.makefile("rb") as answer:
                return answer.read().decode().strip()

    def __enter__(self) -> Node:
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait()
        assert self.process.stdout is not None
        self.process.stdout.close()


READY = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"


def job(name: str) -> bytes:
    return b"POST /menu-plan HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\n\r\n" % name.encode()


def exchange(sock: socket.socket, request: bytes) -> bytes:
    sock.sendall(request)
    return sock.recv(4_096)
