"""The parts of a tier's policy: messages and their seal, documents and pieces, the stricter of two, the disk."""

from __future__ import annotations

import json
import pathlib
import socket
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from net_helper import DERANDOMISED, Rig
from node_helper import Node, node_config

from pipitledge.cli.main import main as cli
from pipitledge.decision.interface import UNLIMITED, JobClass, Plan, Repeat, Result, Scope, Settings
from pipitledge.emulator import site
from pipitledge.emulator.ports import free_address, free_port
from pipitledge.node.config import ConfigError, load
from pipitledge.node.console import MAX_BODY_BYTES, CallParser, InvalidCall, Verb, answer_line
from pipitledge.tier import document, joint
from pipitledge.tier import messages as m
from pipitledge.tier.agreement import Memory
from pipitledge.tier.carrier import Connections, Datagrams
from pipitledge.tier.document import BadDocument, Document
from pipitledge.tier.shelf import AGAIN_MS, Shelf
from pipitledge.tier.store import MOST_LOG, BadStore, Store

MEMBERS = {f"n{number}": f"127.0.0.1:{7000 + number}" for number in range(3)}
POLICY = Document(document.shared(site.stated()), "", "first", "n0", 5, MEMBERS, MEMBERS)
ENTRY = m.genesis(POLICY.digest())
MEMORY = Memory(1, (ENTRY,), True, m.Ballot(3, "n1"), b"", m.NO_BALLOT, m.NO_BALLOT, None)
TOP: dict[str, Any] = {"sender": "n0", "lives": {"n0": 1}, "stand": 1, "line": ENTRY.line[:4]}

# ---- messages


@DERANDOMISED
@given(data=st.one_of(st.binary(max_size=300), st.binary(max_size=80).map(lambda body: b"pt\x01\x00" + body)))
def test_whatever_comes_is_a_message_or_a_counted_reason(data: bytes) -> None:
    try:
        message = m.Seal().unframe(data)
    except m.Unreadable as fault:
        assert str(fault) in ("foreign", "other-form", "sealed", "unreadable")
    else:
        assert isinstance(message, m.Message)


def test_a_sealed_message_is_taken_once_in_any_order_and_nothing_else_is() -> None:
    ours, theirs = m.Seal(b"k" * 16, 7), m.Seal(b"k" * 16, 9)
    frames = [ours.frame(m.Where(**TOP)) for _ in range(200)]
    order = list(range(40))
    Random(1).shuffle(order)
    for number in order:
        assert theirs.unframe(frames[number]).sender == "n0"
    for number in order:
        with pytest.raises(m.Unreadable, match="replayed"):
            theirs.unframe(frames[number])
    theirs.unframe(frames[199])
    with pytest.raises(m.Unreadable, match="replayed"):  # too far behind to know
        theirs.unframe(frames[100])
    newer = m.Seal(b"k" * 16, 8).frame(m.Where(**TOP))
    theirs.unframe(newer)
    with pytest.raises(m.Unreadable, match="replayed"):  # of a session that is over
        theirs.unframe(frames[150])
    for place in range(4, len(newer)):
        with pytest.raises(m.Unreadable, match="forged"):
            theirs.unframe(newer[:place] + bytes([newer[place] ^ 1]) + newer[place + 1 :])
    for seal, frame, why in (
        (m.Seal(), newer, "sealed"),
        (theirs, m.Seal().frame(m.Where(**TOP)), "unsealed"),
        (m.Seal(b"x" * 16), newer, "forged"),
        (m.Seal(), b"pt\x02\x00", "other-form"),
    ):
        with pytest.raises(m.Unreadable, match=why):
            seal.unframe(frame)


def test_each_message_of_a_tier_of_nine_fits_into_a_datagram() -> None:
    names = [f"node-{number}" for number in range(9)]
    top = {"sender": names[0], "lives": {name: 1_796_000_000 for name in names}, "stand": 2_000, "line": b"...."}
    ballot, entry = m.Ballot(10**6, names[8]), m.Entry(999, 999, b"d" * 16, b"l" * 8)
    left = dict.fromkeys(names[1:6], 3_100)
    seal = m.Seal(b"k" * 32, 1_796_000_000_000)
    for message in (
        m.Ask(number=2**32, answered=ballot, proposed=b"....", refuses=True, **top),
        m.Prepare(ballot=ballot, index=999, digest=b"d" * 16, **top),
        m.Accept(ballot=ballot, entry=entry, **top),
        m.Joined(index=999, left=left, **top),
        m.Told(entry=entry, **top),
        m.Grant(number=2**32, **top),
    ):
        assert len(seal.frame(message)) <= m.LONGEST, type(message)


# ---- documents


def test_a_document_has_one_form_and_a_node_its_own_place() -> None:
    again = document.read(POLICY.data())
    assert again == POLICY and again.digest() == POLICY.digest() and len(POLICY.digest()) == 16
    assert document.unpacked(document.packed(POLICY.data()), POLICY.digest()) == POLICY.data()
    mine = document.placed(POLICY, {"my_number": 2, "n_instances": 3, "zone": 0, "cold": 1})
    assert mine["my_number"] == 2 and "cold" not in mine and mine["lanes"] == POLICY.settings["lanes"]


@pytest.mark.parametrize(
    "data, why",
    [
        (b"{", "no JSON"),
        (b"[]", "no object"),
        (b'{"format":2}', "format: 2"),
        (b"x" * (document.MOST + 1), "at most"),
        (json.dumps(json.loads(POLICY.data()) | {"plans": 3}).encode(), "plans: missing or of another kind"),
        (json.dumps(json.loads(POLICY.data()) | {"settings": {}}).encode(), "settings.lanes: missing"),
        (json.dumps(json.loads(POLICY.data()) | {"settings": {"lanes": [1], "zone": 0}}).encode(), "settings.zone"),
        (json.dumps(json.loads(POLICY.data()) | {"members": {"a~": "x"}}).encode(), "members.a~"),
    ],
)
def test_what_is_no_document_is_refused_with_its_place(data: bytes, why: str) -> None:
    with pytest.raises(BadDocument, match=why.replace("(", r"\(")):
        document.read(data)


def test_differences_go_by_place_and_by_name() -> None:
    lanes = [dict(lane) for lane in POLICY.settings["lanes"]]
    lanes[0]["worth"], gone = 2.0, lanes.pop(1)["name"]
    new = replace(POLICY, settings={**POLICY.settings, "lanes": lanes}, plans="class menu-plan\n    attempts 2\n")
    found = {place: (was, becomes) for place, was, becomes in document.differences(POLICY, new)}
    assert found["settings.lanes.menu-plan.worth"] == ("1.0", "2.0") and found[f"settings.lanes.{gone}"][1] == "-"
    assert found["plans:2"] == ("-", "    attempts 2") and len(found) == 4


@DERANDOMISED
@given(order=st.permutations(range(40)), size=st.integers(40, 400), lost=st.sets(st.integers(0, 39)))
def test_a_document_comes_in_pieces_that_are_lost_or_overtake_each_other(
    order: list[int], size: int, lost: set[int]
) -> None:
    ours, theirs, now, came = Shelf(), Shelf(), 0.0, None
    digest = ours.put(replace(POLICY, plans="# " + "".join(map(chr, Random(size).choices(range(33, 120), k=3_000)))))
    theirs.want(digest, ("n1", "n0"))
    for turn in range(400):
        pieces = []
        for source, wanted, offset in theirs.due(now):
            if (piece := ours.piece(wanted, offset, size)) is not None and source == "n0":
                pieces.append(m.Piece(digest=wanted, offset=offset, size=piece[0], data=piece[1], sender="n0"))
        for number, piece in enumerate(pieces):
            if turn > 30 or (number + turn) % 40 not in lost:
                came = theirs.came(pieces[order[number % len(order)] % len(pieces)], now) or came
                came = theirs.came(piece, now) or came
        now += AGAIN_MS
        if came is not None:
            break
    assert came is not None and came.digest() == digest and theirs.data[digest] == ours.data[digest]


def test_a_damaged_document_is_asked_for_again_elsewhere() -> None:
    ours, theirs = Shelf(), Shelf()
    digest = ours.put(POLICY)
    theirs.want(digest, ("n0", "n1"))
    [(source, _, offset)] = theirs.due(0.0)
    size, data = ours.piece(digest, offset, 100_000)  # type: ignore[misc]
    assert theirs.came(m.Piece(digest=digest, offset=0, size=size, data=b"x" * size, sender=source), 1.0) is None
    assert theirs.damaged == 1
    [(other, _, _)] = theirs.due(AGAIN_MS)
    assert other != source
    assert theirs.came(m.Piece(digest=digest, offset=0, size=size, data=data, sender=other), 2.0) == POLICY


# ---- the stricter of two


def test_while_two_bind_the_stricter_counts() -> None:
    old = Settings(classes=(JobClass(repeat=Repeat.SAFE, deadline_ms=300.0),), max_attempts=4, second_copies=True)
    new = replace(
        old,
        classes=(JobClass(repeat=Repeat.KEYED, scope=Scope.ZONE, window_ms=50.0, deadline_ms=500.0), JobClass()),
        max_attempts=2,
        cold_share=0.5,
        retry_after=True,
    )
    for pair in ((old, new), (replace(new, classes=new.classes[:1]), replace(old, classes=(*old.classes, JobClass())))):
        both = joint.stricter(*pair)
        assert (both.max_attempts, both.second_copies, both.retry_after, both.cold_share) == (2, True, False, 0.1)
        assert both.classes[0].repeat is Repeat.KEYED and both.classes[0].deadline_ms == 300.0
        assert both.classes[0].window_ms == 50.0 and both.classes[0].scope is Scope.ZONE and len(both.classes) == 2
    one = Plan(attempts=3, retry_on=frozenset({Result.FULL, Result.RESET}), attempt_ms=200.0, backoff_ms=(1.0, 9.0))
    two = Plan(attempts=2, retry_on=frozenset({Result.FULL}), total_ms=900.0, backoff_ms=(4.0, 5.0), copy_ms=80.0)
    for plans in ((one, two), (two, one)):
        both_plans = joint.stricter_plan(*plans)
        assert (both_plans.attempts, both_plans.attempt_ms, both_plans.total_ms) == (2, 200.0, 900.0)
        assert both_plans.retry_on == {Result.FULL} and both_plans.backoff_ms == (4.0, 9.0)
        assert both_plans.copy_ms == float("inf")
    assert joint.stricter_plan(UNLIMITED, one) is one is joint.stricter_plan(one, UNLIMITED)


# ---- the disk


def test_what_was_written_last_is_read_and_a_torn_tail_is_cut_at_any_byte(tmp_path: pathlib.Path) -> None:
    store = Store(str(tmp_path), "n0")
    store.put(POLICY, POLICY.digest())
    for round_ in range(1, 4):
        store.write(MEMORY._replace(promised=m.Ballot(round_, "n1")))
    store.close()
    whole = store.path.read_bytes()
    assert Store(str(tmp_path), "n0").memory == MEMORY._replace(promised=m.Ballot(3, "n1"))
    last = len(whole)
    store.path.write_bytes(whole)
    record = (len(whole) - 0) and len(m.msgspec.msgpack.encode(MEMORY)) + 8
    for cut in range(last - record + 1, last):
        store.path.write_bytes(whole[:cut])
        read = Store(str(tmp_path), "n0")
        assert read.cut > 0 and read.memory == MEMORY._replace(promised=m.Ballot(2, "n1"))
        assert store.path.read_bytes() == whole[: last - record]


def test_a_log_is_written_anew_before_it_outgrows_its_bound(tmp_path: pathlib.Path) -> None:
    store = Store(str(tmp_path), "n0")
    store.put(POLICY, POLICY.digest())
    memory = MEMORY._replace(entries=(ENTRY,) * 64)
    for round_ in range(200):
        store.write(memory._replace(promised=m.Ballot(round_, "n1")))
    assert store.path.stat().st_size < MOST_LOG + 8_192
    assert Store(str(tmp_path), "n0").memory == memory._replace(promised=m.Ballot(199, "n1"))


@pytest.mark.parametrize(
    "spoil, why",
    [
        (lambda data: b"#!/bin/sh\n", "no file of this program"),
        (lambda data: data[:20] + b"\x00" + data[21:], "no file of this"),
        (lambda data: data[:70] + bytes([data[70] ^ 1]) + data[71:], "damaged"),
        (lambda data: data.replace(b"\xa2n0", b"\xa2n7", 1), "no file of this"),
    ],
)
def test_a_spoilt_disk_refuses_the_start_and_is_left_as_it_is(tmp_path: pathlib.Path, spoil: Any, why: str) -> None:
    store = Store(str(tmp_path), "n0")
    store.put(POLICY, POLICY.digest())
    for _ in range(3):
        store.write(MEMORY)
    store.close()
    spoilt = spoil(store.path.read_bytes())
    store.path.write_bytes(spoilt)
    with pytest.raises(BadStore, match=why):
        Store(str(tmp_path), "n0")
    assert store.path.read_bytes() == spoilt


def test_another_nodes_disk_a_newer_form_and_a_missing_document_are_refused(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = Store(str(tmp_path), "n0")
    store.write(MEMORY)
    with pytest.raises(BadStore, match="it is node n0's, this one is n1"):
        Store(str(tmp_path), "n1")
    with pytest.raises(BadStore, match=r"policy-[0-9a-f]{32}.json: missing"):
        Store(str(tmp_path), "n0")
    store.put(POLICY, POLICY.digest())
    Store(str(tmp_path), "n0")
    path = tmp_path / f"policy-{POLICY.digest().hex()}.json"
    path.write_bytes(path.read_bytes() + b" ")
    with pytest.raises(BadStore, match="its digest is another"):
        Store(str(tmp_path), "n0")
    monkeypatch.setattr("pipitledge.tier.store.FORM", 0)
    with pytest.raises(BadStore, match="form 1, this program reads 0"):
        Store(str(tmp_path), "n0")


# ---- carriers


def test_frames_come_over_connections_and_a_member_that_is_gone_costs_nothing(rig: Rig) -> None:
    clock: Any = rig
    heard: list[bytes] = []
    sides = [Connections(rig.scheduler, clock, rig.counters, rig.log, free_address()) for _ in range(2)]
    one, two = sides
    two.received = lambda frame, sender: heard.append(frame)
    two.start()
    one.start()
    one.meet({"two": two.listen, "gone": ("127.0.0.1", 9)})
    for number in range(100):
        one.send("two", b"%d" % number)
        one.send("gone", b"x")
        rig.settle(1.0)
    assert heard == [b"%d" % number for number in range(100)]
    with socket.create_connection(two.listen) as stranger:
        stranger.sendall(b"\xff\xff\xff\xff")
        rig.settle()
        assert rig.counters.counts["tier.ignored.too-long"] == 1
    two.stop()
    rig.settle(10.0)
    one.send("two", b"late")
    rig.settle(2_000.0)
    one.stop()
    rig.settle(2_000.0)
    assert len(heard) == 100


def test_a_datagram_over_the_platforms_limit_is_never_sent(rig: Rig) -> None:
    sent: list[bytes] = []
    carrier = Datagrams(lambda frame, address: bool(sent.append(frame)) or True, rig.counters)
    carrier.meet({"n1": ("127.0.0.1", 1)})
    for frame in (b"x" * 256, b"x" * 257):
        carrier.send("n1", frame)
    assert sent == [b"x" * 256] and rig.counters.counts["tier.too-long"] == 1


# ---- configuration, calls, commands


@pytest.mark.parametrize(
    "tier, why",
    [
        ({"name": "n0"}, "tier.members"),
        ({"name": "n9", "members": MEMBERS, "listen": "127.0.0.1:1"}, "tier.name: 'n9'"),
        ({"name": "n0", "members": MEMBERS}, "tier.listen: missing"),
        ([1], "tier: no object"),
        ({"name": "n0", "members": MEMBERS, "listen": "127.0.0.1:1", "state_dir": "x"}, "tier.state_dir: not known"),
        ({"name": "n0", "members": MEMBERS, "listen": "127.0.0.1:1", "changes_need": "some"}, "majority or all"),
        (
            {"name": "a-long-long-name", "members": {"a-long-long-name": "127.0.0.1:1"}, "listen": "127.0.0.1:1"},
            "1 to 12",
        ),
    ],
)
def test_a_wrong_tier_block_refuses_the_start_with_its_place(tmp_path: pathlib.Path, tier: Any, why: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(node_config(listen="127.0.0.1:1", tier=tier)))
    with pytest.raises(ConfigError, match=why):
        load({"BALANCER_CONFIG": str(path)})


def test_a_call_brings_a_document_in_any_pieces() -> None:
    side = CallParser()
    for part in (b"POLICY PROP", b"OSE 5 -\nab", b"c"):
        assert side.receive(part) is None
    call = side.receive(b"de and more")
    assert call is not None and call.verb is Verb.POLICY
    assert call.words == ("PROPOSE", "5", "-") and call.body == b"abcde"
    for line in (
        b"POLICY\n",
        b"POLICY PROPOSE\n",
        b"POLICY PROPOSE x -\n",
        b"POLICY PROPOSE %d -\n" % (MAX_BODY_BYTES + 1),
    ):
        with pytest.raises(InvalidCall):
            CallParser().receive(line)
    assert answer_line("two\nlines") == b"-ERR two lines\n"


def test_a_node_without_a_tier_imports_nothing_of_it_and_says_so(tmp_path: pathlib.Path) -> None:
    with Node(tmp_path) as node:
        assert "policy is its own file's" in node.call("POLICY STATUS")
        maps = pathlib.Path(f"/proc/{node.process.pid}/maps").read_text()
        assert "msgspec" not in maps and "greenlet" in maps


def test_commands_on_a_tier_of_one(tmp_path: pathlib.Path) -> None:
    listen = f"127.0.0.1:{free_port()}"
    tier = {"name": "n0", "members": {"n0": listen}, "listen": listen, "state": str(tmp_path / "state")}
    with Node(tmp_path, tier=tier) as node:
        at = f"127.0.0.1:{node.console_port}"

        def run(*words: str) -> tuple[int, str]:
            result = CliRunner().invoke(cli, ["policy", *words, "--at", at])
            return result.exit_code, result.output

        settings = json.loads(node.path.read_text())["settings"]
        settings["permissions"]["max_attempts"] = 2
        new = tmp_path / "new.json"
        new.write_text(json.dumps({"settings": settings}))
        code, output = run("diff", str(new))
        assert code == 0 and "max_attempts" in output
        code, output = run("propose", str(new), "--from", "7")
        assert code == 1 and "made from version 7, in force is 1" in output
        code, output = run("propose", str(new), "--name", "two attempts", "--from", "1", "--json")
        assert code == 0 and json.loads(output)["result"] == "in force"
        code, output = run("status")
        assert code == 0 and "version 2 (two attempts), in force, admits" in output
        assert run("propose", str(new))[0] == 1  # it changes nothing
        settings["lanes"][0]["deadline_ms"] = -1
        new.write_text(json.dumps(settings))
        code, output = run("propose", str(new))
        assert code == 1 and "settings.lanes[0].deadline_ms" in output
        new.write_text("{")
        code, output = run("propose", str(new))
        assert code == 2 and "new.json:1:2" in output
        assert run("rollback", "1")[0] == 0 and run("rollback", "9")[0] == 1
        code, output = run("history", "--json")
        assert [entry["version"] for entry in json.loads(output)] == [1, 2, 3]  # alone, it is never joint
        code, output = run("show", "2")
        assert code == 0 and json.loads(output)["document"]["name"] == "two attempts"
        code, output = run("diff", "2", "3", "--json")
        assert [row["place"] for row in json.loads(output)] == ["settings.permissions.max_attempts"]
        assert run("abort")[0] == 1 and run("vouch", "n9", "--yes")[0] == 1
    with Node(tmp_path, predecessor=node, tier=tier) as again:  # from its disk: not the file's
        assert json.loads(again.call("POLICY STATUS")[4:])["version"] == 3
    assert CliRunner().invoke(cli, ["policy", "status", "--at", at]).exit_code == 2
