"""Ports for processes that are yet to be started."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from pipitledge.emulator import ports

ROOT = Path(__file__).resolve().parents[1]
TAKE = "from pipitledge.emulator.ports import free_port; print(*(free_port() for _ in range(20)), flush=True); input()"


def test_the_kernel_hands_none_of_them_to_a_connection() -> None:
    taken = [ports.free_port() for _ in range(20)]
    assert len(set(taken)) == 20
    assert all(ports.FIRST_PORT <= port < ports.first_ephemeral() for port in taken)


def test_another_process_gets_others(monkeypatch: pytest.MonkeyPatch) -> None:
    other = subprocess.Popen(
        [sys.executable, "-c", TAKE], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert other.stdin is not None and other.stdout is not None
    with other:
        theirs = [int(port) for port in other.stdout.readline().split()]
        others = [port for port in range(10_001, 10_101) if port not in theirs]  # any may be held by another test
        offered = iter([*theirs, *others])
        mine = ports.Ports()
        monkeypatch.setattr(mine._random, "randint", lambda first, last: next(offered))
        assert mine.take() in others
        other.stdin.close()


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_that_somebody_uses_is_not_taken(kind: socket.SocketKind, monkeypatch: pytest.MonkeyPatch) -> None:
    with socket.socket(socket.AF_INET, kind) as user:
        user.bind((ports.LOOPBACK, ports.free_port()))
        used, other = user.getsockname()[1], ports.free_port()
        mine = ports.Ports()
        offered = iter([used] + [other + step for step in range(1, 50)])
        monkeypatch.setattr(mine._random, "randint", lambda first, last: next(offered))
        assert mine.take() != used


def test_without_a_free_port_it_says_so(monkeypatch: pytest.MonkeyPatch) -> None:
    mine = ports.Ports()
    monkeypatch.setattr(mine, "_reserve", lambda port: False)
    with pytest.raises(ports.NoFreePortError, match="no free port from 10000"):
        mine.take()
