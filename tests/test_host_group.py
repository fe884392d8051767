"""The worker list and its watch: a model checked against random changes, and each way in which a watch ends."""

from __future__ import annotations

import contextlib
import json

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from net_helper import END, HEAD, NAMES, Rig, chunk, line, read

from pipitledge.decision.interface import Listing, Send, State, Worker, WorkersChanged
from pipitledge.node.host_group import BadRow, read_row
from pipitledge.node.watch_monitor import MAX_RETRY_DELAY_MS, PUSHED_SILENCE_TIMEOUT_MS, STALE_AFTER_MS
from pipitledge.node.watch_monitor import PULLED_SILENCE_TIMEOUT_MS as SILENT_MS

ROW = {
    "uid": "s-1",
    "endpoint": "127.1.0.1:8443",
    "az": "aarhus-1",
    "model": "slow-5",
    "pod_group": 3,
    "state": "in_service",
    "capacity_hint": 1.5,
    "boot_ms": 0,
}
STATES = ["in_service", "terminating", "terminated"]
DERANDOMISED = hypothesis_settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    database=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


def list_object(rev: int, whole: bool, *rows: dict[str, object]) -> bytes:
    return chunk(json.dumps({"rev": rev, "all": whole, "targets": rows}).encode() + b"\n")


def test_a_row_is_translated_to_the_policys_names() -> None:
    worker, where = read_row(ROW | {"boot_ms": 1_790_000_000_000}, NAMES)
    assert worker == Worker("s-1", State.SERVING, 0, 1, 3, 1.5, 1_790_000_000_000.0)
    assert where == ("127.1.0.1", 8443) and read_row(ROW, NAMES)[0].started_ms == 0


@pytest.mark.parametrize(
    "change",
    [{"uid": None, "endpoint": 5}, {"state": "asleep"}, {"endpoint": "nowhere"}, {"boot_ms": "then"}, {"az": []}],
)
def test_an_unreadable_row_is_skipped_and_the_others_are_applied(rig: Rig, change: dict[str, object]) -> None:
    with pytest.raises(BadRow):
        read_row(ROW | change, NAMES)
    rig.group.start({"rev": 1, "all": True, "targets": [ROW | change, ROW, None]})
    rig.settle()
    [changed] = rig.script.of(WorkersChanged)
    assert changed.listing is Listing.CACHED and len(changed.workers) == 1
    assert rig.counters.counts["list.bad-row"] == 2


@DERANDOMISED
@given(
    steps=st.lists(
        st.tuples(st.booleans(), st.lists(st.tuples(st.integers(0, 4), st.sampled_from(STATES)), max_size=4)),
        max_size=12,
    ),
    cut=st.integers(1, 400),
)
def test_the_list_follows_its_model(steps: list[tuple[bool, list[tuple[int, str]]]], cut: int) -> None:
    with pytest.MonkeyPatch.context() as patch:
        rig = Rig(patch)
        rig.group.start({"rev": 7, "all": True, "targets": []})
        rig.group.watch()
        rig.settle()
        assert b"GET /api/targets?follow=1&since=7 HTTP/1.1\r\n" in (read(rig.dialled[0]) or b"")
        rig.dialled[0].send(HEAD)
        model: dict[str, tuple[str, int]] = {}
        for number, (whole, rows) in enumerate(steps):
            if whole:
                model = {}
            for port, state in rows:
                model[f"s-{port}"] = ("127.1.0.1", 9_000 + port)
                if state == "terminated":
                    del model[f"s-{port}"]
            data = list_object(
                number,
                whole,
                *(
                    ROW | {"uid": f"s-{port}", "endpoint": f"127.1.0.1:{9_000 + port}", "state": state}
                    for port, state in rows
                ),
            ) + chunk(b"\n")
            for part in (data[:cut], data[cut:]):  # wherever the bytes are split
                rig.dialled[0].send(part)
                rig.settle()
            assert rig.group.addresses == rig.pool.addresses == model and rig.group.version == number
            assert rig.script.of(WorkersChanged)[-1].listing is (Listing.FULL if whole else Listing.DELTA)
        rig.close()
        assert not rig.crashes


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["out", "back", "full", "delta"]), st.integers(0, 3), st.sampled_from(STATES), st.booleans()
    ),
    max_size=25,
)


@DERANDOMISED
@given(steps=STEPS)
def test_workers_taken_out_stay_out_whatever_the_list_says(steps: list[tuple[str, int, str, bool]]) -> None:
    """Compares the last state reported to the policy for each worker with a model of the list and the calls."""
    with pytest.MonkeyPatch.context() as patch:
        rig = Rig(patch)
        listed: dict[str, tuple[str, float]] = {}
        out: dict[str, float] = {}
        cold: dict[str, float] = {}
        module: dict[str, Worker] = {}
        for what, number, state, restarted in steps:
            rig.time += 500.0
            uid = f"s-{number}"
            if what == "out":
                assert rig.group.detach(uid) == (uid in listed or uid in out)
                if uid in listed:
                    out.setdefault(uid, rig.time)
            elif what == "back":
                assert rig.group.attach(uid) == (uid in listed or uid in out)
                if uid in out and (uid not in listed or listed[uid][1] < out[uid]):
                    cold[uid] = rig.time
                out.pop(uid, None)
            else:
                row = ROW | {"uid": uid, "state": state, "boot_ms": rig.time if restarted else 0}
                whole = what == "full"
                rig.group._apply_list({"rev": 1, "targets": [row]}, Listing.FULL if whole else Listing.DELTA)
                listed = ({} if whole else listed) | {uid: (state, rig.time if restarted else 0.0)}
                if state == "terminated":
                    del listed[uid]
            rig.settle()
            changes, rig.script.seen = rig.script.of(WorkersChanged), []
            for change in changes:
                module = {} if change.listing is Listing.FULL else module
                for worker in change.workers:
                    module[worker.id] = worker
            module = {name: worker for name, worker in module.items() if worker.state is not State.GONE}
            assert module.keys() == listed.keys()
            for name, (told, boot) in listed.items():
                serving = told == "in_service" and name not in out
                assert (module[name].state is State.SERVING) == serving
                if serving:  # cold, even if discovery has not listed the restart yet
                    assert module[name].started_ms >= max(boot, cold.get(name, 0.0))
        rig.close()


def test_detaching_a_worker_closes_its_idle_links_and_a_second_call_changes_nothing(rig: Rig) -> None:
    rig.group.start({"rev": 1, "all": True, "targets": [ROW]})
    rig.query("a")
    rig.script.on_event = lambda event: ()
    rig.dispatch._send(Send("a", "s-1"))
    rig.settle()
    rig.dialled[0].send(HEAD + line("done", result="x") + END)
    rig.settle()
    assert rig.pool.idle["s-1"]
    assert rig.group.detach("s-1") and rig.group.detach("s-1")
    rig.settle()
    assert not rig.pool.links and not rig.pool.idle.get("s-1")
    assert [change.workers[0].state for change in rig.script.of(WorkersChanged)] == [State.SERVING, State.DRAINING]
    assert rig.group.attach("s-1") and rig.group.attach("s-1") and not rig.group.detach("s-9")
    rig.settle()
    [*_, back] = rig.script.of(WorkersChanged)
    assert back.workers[0].state is State.SERVING and back.workers[0].started_ms == rig.time


@pytest.mark.parametrize(
    "reply, ending",
    [
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "watch-refused"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "watch-ended"),
        (HEAD + chunk(b"{broken\n"), "watch-broken"),
        (HEAD + chunk(b"[1]\n"), "watch-broken"),
        (b"nonsense\r\n\r\n", "watch-broken"),
        (b"", "watch-ended"),
        (None, "watch-silent"),
    ],
)
def test_a_watch_that_ends_is_reported_as_failed_once(rig: Rig, reply: bytes | None, ending: str) -> None:
    rig.group.watch()
    rig.settle()
    if reply is None:
        rig.dialled[0].send(HEAD + chunk(b"\n"))
        rig.settle(SILENT_MS - 1)
        rig.dialled[0].send(chunk(b"\n"))
        rig.settle()
        assert not rig.script.of(WorkersChanged)
        rig.settle(SILENT_MS + 1)
    else:
        rig.dialled[0].send(reply)
        if not reply:
            rig.dialled[0].close()
        rig.settle()
    assert rig.script.of(WorkersChanged) == [WorkersChanged(Listing.FAILED)]
    assert rig.counters.counts[f"watch.{ending}"] == 1


def test_a_refused_watch_is_reported_as_failed_and_a_running_one_is_not_restarted(rig: Rig) -> None:
    rig.next_refuses = True
    rig.group.watch()
    rig.settle()
    assert rig.script.of(WorkersChanged) == [WorkersChanged(Listing.FAILED)]
    rig.next_refuses = False
    rig.group.watch()
    rig.settle()
    rig.group.watch()
    rig.settle()
    rig.dialled[1].send(HEAD + list_object(9, True, ROW))
    rig.settle()
    assert len(rig.dialled) == 2
    assert [change.listing for change in rig.script.of(WorkersChanged)] == [Listing.FAILED, Listing.FULL]


MOVED = ("127.0.0.1", 2)


@pytest.mark.parametrize("old", ["running", "dialling", "ready to read", "not begun"])
def test_a_move_starts_a_new_watch_and_does_not_report_the_end_of_the_old_one(rig: Rig, old: str) -> None:
    """SIGHUP with another discovery address keeps the list and reports no failure to the policy."""
    rig.group.start({"rev": 7, "all": True, "targets": [ROW]})
    rig.next_hangs = old == "dialling"
    if old != "not begun":
        rig.group.watch()
        rig.settle()
    rig.next_hangs = False
    if old == "ready to read":
        rig.dialled[0].send(HEAD + list_object(8, True))
    rig.group.move(MOVED)
    rig.group.move(MOVED)  # the same address again changes nothing
    rig.settle()
    new = rig.dialled[-1]
    assert len(rig.dialled) == (1 if old == "not begun" else 2) and rig.group.addresses
    request = read(new) or b""
    # Without a version: those of another address mean nothing here.
    assert b"Host: 127.0.0.1:2\r\n" in request and b"since" not in request
    if old != "not begun":
        rig.dialled[0].setblocking(False)
        while read(rig.dialled[0]):
            pass
        assert read(rig.dialled[0]) is None and rig.counters.counts["watch.watch-replaced"] == 1
    new.send(HEAD + list_object(1, True, ROW))
    rig.settle(2_000.0)
    rig.group.watch()  # asked for before the move: a watch is already running
    rig.settle()
    assert [change.listing for change in rig.script.of(WorkersChanged)] == [Listing.CACHED, Listing.FULL]
    assert rig.group.version == 1 and len(rig.dialled) == (1 if old == "not begun" else 2)
    new.close()
    rig.settle()
    assert rig.script.of(WorkersChanged)[-1].listing is Listing.FAILED  # the end of the new watch is reported


def test_several_moves_in_a_row_leave_one_watch(rig: Rig) -> None:
    rig.group.watch()
    rig.settle()
    for port in (2, 3, 4):
        rig.group.move(("127.0.0.1", port))
    rig.settle()
    assert b":4\r\n" in (read(rig.dialled[-1]) or b"") and len(rig.dialled) == 2
    assert rig.counters.counts["watch.watch-replaced"] == 3 and not rig.script.of(WorkersChanged)


def test_a_full_list_without_a_targets_field_drops_no_worker(rig: Rig) -> None:
    rig.group.start({"rev": 7, "all": True, "targets": [ROW]})
    rig.group.watch()
    rig.settle()
    rig.dialled[0].send(HEAD + chunk(b'{"rev":8,"all":true}\n'))
    rig.settle()
    assert rig.script.of(WorkersChanged)[-1].listing is Listing.FAILED and rig.pool.addresses


# ---- a list that is pushed

GRACES_MS = (300.0, 120.0)  # the usual drain grace, and a shorter one


@pytest.fixture(params=GRACES_MS)
def pushed(rig: Rig, request: pytest.FixtureRequest) -> Rig:
    """A node with a pushed list, started with the list of its last run."""
    rig.group.watch_monitor.pushed, rig.group.watch_monitor.grace_ms = True, request.param
    rig.group.start({"rev": 7, "all": True, "targets": [ROW]})
    rig.settle()
    return rig


def test_a_pushed_list_is_watched_from_the_start_without_a_request_of_the_policy(pushed: Rig) -> None:
    assert b"GET /api/targets?follow=1&since=7 HTTP/1.1\r\n" in (read(pushed.dialled[0]) or b"")
    pushed.dialled[0].send(HEAD + list_object(8, False, ROW | {"state": "terminating"}))
    pushed.settle()
    [_, drains] = pushed.script.of(WorkersChanged)
    assert drains.listing is Listing.DELTA and drains.workers[0].state is State.DRAINING


@pytest.mark.parametrize("end", ["closed", "refused", "broken", "silent", "never answers", "silent from the start"])
def test_the_watch_of_a_pushed_list_is_restarted_within_the_drain_grace_without_a_reported_failure(
    pushed: Rig, end: str
) -> None:
    agent = pushed.dialled[0]
    if end == "refused":
        agent.send(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
    elif end != "silent from the start":
        agent.send(HEAD + list_object(8, False, ROW))
    if end == "broken":
        agent.send(chunk(b"{broken\n"))
    elif end == "closed":
        agent.close()
    elif end == "never answers":  # silent, and it drops the calls that it gets meanwhile
        for _ in range(8):
            pushed.settle(PUSHED_SILENCE_TIMEOUT_MS)
            pushed.settle(MAX_RETRY_DELAY_MS)
    pushed.settle()
    dialled, grace_ms = len(pushed.dialled), pushed.group.watch_monitor.grace_ms
    if end == "silent":
        pushed.settle(PUSHED_SILENCE_TIMEOUT_MS)
        pushed.settle(MAX_RETRY_DELAY_MS)
    else:  # the dropped call times out and the next one follows within the grace
        for _ in range(int(0.95 * grace_ms)):
            if len(pushed.dialled) == dialled:
                pushed.settle(1.0)
    assert len(pushed.dialled) > dialled
    request = read(pushed.dialled[-1]) or b""
    assert (b"since=7" if end in ("refused", "silent from the start") else b"since=8") in request
    pushed.dialled[-1].send(HEAD + list_object(9, False, ROW | {"state": "terminated"}))
    pushed.settle()
    assert Listing.FAILED not in [change.listing for change in pushed.script.of(WorkersChanged)]
    assert not pushed.group.addresses


@pytest.mark.parametrize("is_pushed", [True, False])
def test_a_stale_list_is_logged_once_and_so_is_its_recovery(rig: Rig, is_pushed: bool) -> None:
    rig.group.watch_monitor.pushed, rig.next_refuses = is_pushed, True
    rig.group.start({"rev": 7, "all": True, "targets": [ROW]})
    logged = lambda word: [fields for event, fields in rig.logged if event == "list" and word in fields]  # noqa: E731
    rig.settle(STALE_AFTER_MS - 1.0)
    assert not logged("stale")
    for _ in range(20):
        rig.settle(1_000.0)
    assert len(logged("stale")) == rig.counters.counts["list.stale"] == 1 and not logged("fresh")
    rig.next_refuses = False
    rig.group.watch()
    rig.settle(MAX_RETRY_DELAY_MS)
    rig.dialled[-1].send(HEAD + chunk(b"\n"))
    rig.settle()
    assert len(logged("fresh")) == 1
    for _ in range(20):
        rig.settle(1_000.0)
        rig.dialled[-1].send(chunk(b"\n"))
        rig.settle()
    assert rig.counters.counts["list.stale"] == 1


@DERANDOMISED
@given(
    steps=st.lists(st.tuples(st.sampled_from(["line", "end", "wait", "refuse"]), st.floats(1.0, 3_000.0)), max_size=30)
)
def test_a_pushed_list_always_has_a_watch_or_a_timer_that_starts_one(steps: list[tuple[str, float]]) -> None:
    with pytest.MonkeyPatch.context() as patch:
        rig = Rig(patch)
        rig.group.watch_monitor.pushed = True
        rig.group.start({"rev": 7, "all": True, "targets": []})
        for what, after in steps:
            rig.next_refuses = what == "refuse"
            if what == "line" and rig.dialled:
                with contextlib.suppress(OSError):
                    rig.dialled[-1].send(HEAD + chunk(b"\n"))
            elif what == "end" and rig.dialled:
                rig.dialled[-1].close()
            rig.settle(after)
            assert rig.group._watch_task is not None or (rig.timers.wait_ms() or 0.0) <= MAX_RETRY_DELAY_MS
        rig.next_refuses = False
        rig.settle(MAX_RETRY_DELAY_MS)
        before = len(rig.dialled)
        assert rig.group._watch_task is not None
        rig.settle(PUSHED_SILENCE_TIMEOUT_MS)  # without a byte from the agent that watch has ended
        rig.settle(MAX_RETRY_DELAY_MS)
        assert len(rig.dialled) > before and rig.group._watch_task is not None
        rig.close()
        assert not rig.crashes


def test_a_reload_to_a_pushed_list_starts_a_watch_and_a_reload_back_reports_its_end_to_the_policy(rig: Rig) -> None:
    rig.group.start({"rev": 7, "all": True, "targets": [ROW]})
    rig.settle(1_000.0)
    assert not rig.dialled
    rig.group.adopt(NAMES, True, 300.0)
    rig.settle()
    assert len(rig.dialled) == 1
    rig.group.adopt(NAMES, False, 300.0)
    rig.dialled[0].close()
    rig.settle()
    assert rig.script.of(WorkersChanged)[-1].listing is Listing.FAILED
