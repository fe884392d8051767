"""An upgrade: a second process takes the place of the first, and either may end at any point."""

from __future__ import annotations

import contextlib
import errno
import json
import os
import pathlib
import signal
import socket
import tempfile
import threading
from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st
from net_helper import DERANDOMISED, END, HEAD, Rig, line, read
from node_helper import READY, STATED, Node, exchange, job

from pipitledge.node.counters import Counters, Log
from pipitledge.node.dispatch import Served
from pipitledge.upgrade.handover import PART, BadHandover, Busy, ClaimSide, Estate, What, message, read_message
from pipitledge.upgrade.succession import Succession, claim

ROWS = [
    {
        "uid": f"s-{number}",
        "endpoint": "127.0.0.1:1",
        "az": "aarhus-1",
        "model": "fast-4",
        "pod_group": 0,
        "state": "in_service",
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }
    for number in range(3)
]
# Jobs wait for seconds: no worker is there, as nobody listens where the list says.
PATIENT = STATED | {"lanes": [{"name": "menu-plan", "deadline_ms": 9000.0, "objective_ms": 8000.0, "repeat": "free"}]}


# ---- the messages


@DERANDOMISED
@given(
    estate=st.builds(
        Estate,
        rev=st.none() | st.integers(),
        rows=st.lists(st.just(ROWS[0])),
        out=st.dictionaries(st.text(), st.floats(allow_nan=False)),
        open=st.lists(st.text(max_size=64)),
        lame_since=st.none() | st.floats(0, 1e13),
    )
)
def test_an_estate_arrives_as_it_was_told(estate: Estate) -> None:
    side = ClaimSide()
    parts = [*estate.messages(), message(What.YOURS)]
    assert [side.receive(part) for part in parts[:-1]] == [None] * (len(parts) - 1)
    assert side.receive(parts[-1]) == estate


def test_a_large_estate_travels_in_parts() -> None:
    estate = Estate(open=[f"{number:036}" for number in range(5_000)])
    parts = [*estate.messages()]
    assert len(parts) > 5 and all(len(part) < 2 * PART + 100 for part in parts)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"{}",
        b'{"what":"nonsense"}',
        b'{"what":"part"}',
        b'{"what":"part","text":5}',
        b'{"what":"done"}',
        b'{"what":"yours"}',
        b'{"what":"refused","why":"no"}',
        b"\xff",
        b"null",
        b'{"what":1e999}',
    ],
)
def test_what_is_no_estate_is_told(data: bytes) -> None:
    with pytest.raises(BadHandover):
        ClaimSide().receive(data)


def test_an_elder_that_has_an_heir_is_told_apart_from_one_that_can_not_talk() -> None:
    with pytest.raises(Busy):
        ClaimSide().receive(message(What.REFUSED, busy=True, why="under way"))


# ---- claims against elders that do no good


@pytest.mark.parametrize("elder", ["none", "stale", "file"])
def test_without_an_elder_there_is_nothing_to_claim(elder: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "pipitledge-127.0.0.1-1.sock")
        if elder == "stale":
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as gone:
                gone.bind(path)
        elif elder == "file":
            pathlib.Path(path).write_text("rubbish")
        assert claim(folder, ("127.0.0.1", 1), Log(Counters())) is None


def test_a_process_refused_unix_sockets_serves_on_without_upgrades(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    """Where a process may open TCP and UDP alone, the door for an heir was opened outside the guard: a crash."""

    def refused(*_: object) -> socket.socket:
        raise OSError(errno.ENOSYS, "no Unix sockets here")

    monkeypatch.setattr(socket, "socket", refused)
    with tempfile.TemporaryDirectory() as folder:
        assert claim(folder, ("127.0.0.1", 1), rig.log) is None  # type: ignore[arg-type]
        succession = Succession(rig.scheduler, rig, rig.counters, rig.log, folder, ("127.0.0.1", 1))  # type: ignore
        succession.offer()
        assert succession._door is None and rig.logged[-1][0] == "upgrade" and "impossible" in rig.logged[-1][1]


# ---- two processes


@pytest.fixture
def elder(tmp_path: pathlib.Path) -> Iterator[Node]:
    with Node(tmp_path, settings=PATIENT, known={"rev": 3, "all": True, "targets": ROWS}) as node:
        yield node


@contextlib.contextmanager
def elder_with_a_worker(tmp_path: pathlib.Path) -> Iterator[tuple[Node, socket.socket]]:
    """A node whose one worker the test plays, and that worker's listener."""
    with socket.create_server(("127.0.0.1", 0)) as worker:
        worker.settimeout(10.0)
        row = ROWS[0] | {"endpoint": f"127.0.0.1:{worker.getsockname()[1]}"}
        with Node(tmp_path, settings=PATIENT, known={"rev": 3, "all": True, "targets": [row]}) as elder:
            yield elder, worker


def heir_of(elder: Node, tmp_path: pathlib.Path, **changes: object) -> Node:
    return Node(tmp_path, predecessor=elder, **{"settings": PATIENT, **changes})


def test_an_heir_takes_listener_and_idle_connections_and_the_elder_answers_what_it_has(tmp_path: pathlib.Path) -> None:
    with (
        elder_with_a_worker(tmp_path) as (elder, worker),
        elder.client() as idle,
        elder.client() as busy,
        elder.client() as fresh,
    ):
        assert b" 200 " in exchange(idle, READY)
        busy.sendall(job("held"))
        link, _ = worker.accept()
        with link, heir_of(elder, tmp_path) as heir:
            assert "workers=1" in heir.first and "claimed=True" in heir.first  # the elder's list, not `known`
            assert heir.call("PING") == elder.call("PING") == "+OK"
            assert b" 409 " in exchange(fresh, job("held"))  # still the elder's
            elder.signal(signal.SIGTERM)
            elder.until("stage=closing")
            assert b" 200 " in exchange(idle, READY)  # on the connection that the elder accepted
            assert b" 200 " in heir.ready()
            link.sendall(HEAD + line("done", "held", result="planned") + END)
            assert busy.recv(4_096).endswith(b"planned")
            assert elder.process.wait(10) == 0 and '"client.passed-on":' in elder.rest()
            assert b" 200 " in exchange(busy, READY)  # passed on after its answer
            heir.until("ended=elder")
            busy.sendall(job("held"))  # its id is free again
            heir_link, _ = worker.accept()
            heir_link.close()


def test_calls_at_either_address_hold_in_both_processes_and_over_upgrades(elder: Node, tmp_path: pathlib.Path) -> None:
    assert elder.call("DETACH s-0") == "+OK" and elder.call("DETACH s-9").startswith("-ERR no worker")
    with heir_of(elder, tmp_path) as heir:
        assert heir.call("ATTACH s-0") == "+OK" and heir.call("DETACH s-1") == "+OK"
        assert elder.call("DETACH s-2") == "+OK" and elder.call("LAMEDUCK") == "+OK"
        assert b" 503 " in heir.ready()
        assert heir.call("REJOIN") == "+OK"
        assert b" 200 " in heir.ready()
        assert heir.call("LAMEDUCK") == "+OK"
        elder.signal(signal.SIGTERM)
        assert elder.process.wait(10) == 0
        heir.until("ended=elder")
        with Node(tmp_path, predecessor=heir, settings=PATIENT) as third:  # an upgrade after an upgrade
            assert b" 503 " in third.ready()
            assert third.call("REJOIN") == "+OK"
            heir.process.kill()
            third.until("ended=elder")
            assert b" 200 " in third.ready()
            assert third.call("ATTACH s-1") == third.call("ATTACH s-2") == "+OK"


def test_an_elder_takes_its_clients_back_from_an_heir_that_dies_and_can_be_upgraded_again(
    elder: Node, tmp_path: pathlib.Path
) -> None:
    with heir_of(elder, tmp_path) as heir, heir.client() as client:
        assert b" 200 " in exchange(client, READY)
        with elder.client() as waiting:
            heir.process.kill()
            elder.until("ended=heir")
            assert b" 200 " in exchange(waiting, READY) or not waiting.recv(1)
        assert b" 200 " in elder.ready()
    with heir_of(elder, tmp_path) as heir:
        elder.signal(signal.SIGTERM)
        assert elder.process.wait(10) == 0
        assert b" 200 " in heir.ready()


@pytest.mark.parametrize("step", ["claimed", "first part read", "all read"])
def test_an_elder_whose_heir_dies_at_any_step_serves_on_and_can_be_upgraded_again(
    tmp_path: pathlib.Path, step: str
) -> None:
    with elder_with_a_worker(tmp_path) as (elder, worker), elder.client() as idle, elder.client() as busy:
        assert b" 200 " in exchange(idle, READY)
        busy.sendall(job("held"))
        link, _ = worker.accept()
        with link, elder.handover_socket() as heir:
            heir.send(message(What.CLAIM, form=1, pid=1))
            elder.until("heir=1")
            while step != "claimed":
                said, fds, _, _ = socket.recv_fds(heir, 1 << 18, 4)
                for fd in fds:  # the listener, and clients' connections behind it: they end with this process
                    os.close(fd)
                if step == "first part read" or read_message(said)[0] is What.CLIENT:
                    break
            heir.close()
            elder.until("ended=heir")
            assert b" 200 " in elder.ready()
            with elder.client() as second:
                assert b" 409 " in exchange(second, job("held"))  # what was under way is here still
            with heir_of(elder, tmp_path) as next_one:
                assert "claimed=True" in next_one.first
                elder.signal(signal.SIGTERM)
                elder.until("stage=closing")
                link.sendall(HEAD + line("done", "held", result="planned") + END)
                assert busy.recv(4_096).endswith(b"planned")
                assert elder.process.wait(10) == 0
                assert b" 200 " in next_one.ready()


@pytest.mark.parametrize(
    "said",
    [
        None,
        [],
        [b"rubbish"],
        [*Estate(rev=3, rows=ROWS).messages()],
        [*Estate(rev=3, rows=ROWS).messages(), message(What.YOURS)],
    ],
)
def test_an_heir_whose_elder_dies_at_any_step_of_the_claim_starts_from_nothing(said: list[bytes] | None) -> None:
    """Before it reads the claim, after it, amid its estate, and with the estate told and no listener along."""
    logged: list[dict[str, object]] = []
    with (
        tempfile.TemporaryDirectory() as folder,
        socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as handover_socket,
    ):
        handover_socket.bind(os.path.join(folder, "pipitledge-127.0.0.1-1.sock"))
        handover_socket.listen()

        def die() -> None:
            heir, _ = handover_socket.accept()
            handover_socket.close()  # nobody else answers, as the process is gone
            with heir:
                if said is not None:
                    assert read_message(heir.recv(1 << 16))[0] is What.CLAIM
                    for part in said:
                        heir.send(part)

        elder = threading.Thread(target=die)
        elder.start()
        assert claim(folder, ("127.0.0.1", 1), lambda event, **fields: logged.append(fields)) is None  # type: ignore
        elder.join()
    assert "refused" in logged[0]


@pytest.mark.parametrize("is_read", [False, True])
def test_a_request_that_comes_as_its_connection_is_passed_on_is_served_once(rig: Rig, is_read: bool) -> None:
    """What has come and is not read goes along; what has been read is served here, and the connection follows."""
    passed: list[socket.socket] = []
    far, _ = rig.client()
    far.send(READY)
    rig.settle()
    assert b" 200 " in (read(far) or b"")
    half = len(job("a")) // 2
    far.send(job("a")[:half])
    if is_read:
        rig.settle()
    rig.front.accepting = rig.scheduler.spawn(lambda: None)
    rig.front.hand_over(lambda sock, used: passed.append(sock.dup()))
    rig.settle()
    far.send(job("a")[half:])
    rig.settle()
    if is_read:
        assert not passed
        rig.dispatch._answer(rig.dispatch.queries["a"], Served(b"cakes"))
        rig.settle()
        assert (read(far) or b"").endswith(b"cakes")
    [heirs] = passed
    with heirs:
        assert read(heirs) == (b"" if is_read else job("a")) and rig.counters.counts["query.taken"] == is_read


def test_a_third_process_is_refused_while_the_second_takes_over(elder: Node, tmp_path: pathlib.Path) -> None:
    with elder.handover_socket() as slow:  # an heir that has claimed and does not go on
        slow.send(message(What.CLAIM, form=1, pid=1))
        elder.until("heir=1")
        with heir_of(elder, tmp_path) as third:
            assert "an upgrade is under way" in third.first and third.process.wait(10) == 2
    elder.until("ended=heir")
    assert b" 200 " in elder.ready()


@pytest.mark.parametrize("said", [b"rubbish", json.dumps({"what": "claim", "form": 99}).encode(), None])
def test_who_is_no_heir_gets_nothing(elder: Node, said: bytes | None) -> None:
    with elder.handover_socket() as nobody:
        if said is None:
            nobody.close()
        else:
            nobody.send(said)
            assert read_message(nobody.recv(4_096))[0] is What.REFUSED
        elder.until("turned_away=")
    assert b" 200 " in elder.ready()


@pytest.mark.parametrize("ends", [signal.SIGKILL, signal.SIGSTOP])
def test_beside_a_dead_or_hanging_elder_a_process_starts_from_nothing_and_serves(
    elder: Node, tmp_path: pathlib.Path, ends: signal.Signals
) -> None:
    elder.call("DETACH s-0")
    elder.signal(ends)
    if ends is signal.SIGKILL:
        elder.process.wait()
    with heir_of(elder, tmp_path, known={"rev": 1, "all": True, "targets": ROWS[:1]}) as next_one:
        assert "claimed=False" in next_one.first and "workers=1" in next_one.first
        elder.process.kill()
        elder.process.wait()
        assert b" 200 " in next_one.ready()
