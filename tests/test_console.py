"""The console: calls that arrive in pieces, slow or invalid callers, and the connection limit; the life cycle."""

from __future__ import annotations

import itertools
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st
from net_helper import DERANDOMISED, Rig, read

from pipitledge.node import lifecycle as times
from pipitledge.node.console import (
    LINE_TIMEOUT_MS,
    MAX_CONNECTIONS,
    MAX_LINE_BYTES,
    Call,
    CallParser,
    Console,
    InvalidCall,
    Verb,
    read_call,
)
from pipitledge.node.lifecycle import DRAIN_MS, DRAIN_STAGES, SHED_DELAY_MS, STOP_STAGES, NodeLifecycle, Stage


def parse(parser: CallParser, parts: list[bytes]) -> Call | str | None:
    try:
        for part in parts:
            if (call := parser.receive(part)) is not None:
                return call
        parser.end()
    except InvalidCall as fault:
        return str(fault)
    return None


@DERANDOMISED
@given(
    line=st.one_of(st.binary(max_size=300), st.sampled_from([b"PING\r\n", b"DETACH s-1\n", b"LAMEDUCK\nPING\n"])),
    cuts=st.lists(st.integers(0, 300), max_size=4),
)
def test_a_call_does_not_depend_on_how_its_bytes_are_split(line: bytes, cuts: list[int]) -> None:
    at = [0, *sorted(cuts), len(line)]
    pieces = [line[start:end] for start, end in itertools.pairwise(at)]
    whole = parse(CallParser(), [line])
    assert parse(CallParser(), pieces) == whole
    head, end, _ = line.partition(b"\n")
    if not end or len(head) >= MAX_LINE_BYTES:
        assert whole in ("half a call", "line too long")


@pytest.mark.parametrize(
    "line, call",
    [
        (b"PING", Call(Verb.PING)),
        (b"PING\r", Call(Verb.PING)),
        (b"DETACH s-1 ", Call(Verb.DETACH, "s-1")),
        (b"ATTACH s-1", Call(Verb.ATTACH, "s-1")),
        (b"LAMEDUCK", Call(Verb.LAMEDUCK)),
        (b"REJOIN", Call(Verb.REJOIN)),
    ],
)
def test_valid_calls_are_parsed(line: bytes, call: Call) -> None:
    assert read_call(line) == call


@pytest.mark.parametrize(
    "line",
    [b"", b" ", b"ping", b"PONG", b"PING PING", b"DETACH", b"DETACH a b", b"ATTACH \xff", b"DETACH " + b"x" * 129],
)
def test_invalid_calls_are_rejected(line: bytes) -> None:
    with pytest.raises(InvalidCall):
        read_call(line)


class Operators:
    """A console with a handler that succeeds unless `failures` holds a reason, and callers on loopback."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.calls, self.failures = rig, list[Call](), dict[Verb, str]()
        self.console = Console(
            rig.scheduler,
            rig,
            rig.counters,
            rig.log,
            ("127.0.0.1", 0),  # type: ignore[arg-type]
            self.answer,
        )
        rig.settle()

    def answer(self, call: Call) -> str | None:
        self.calls.append(call)
        return self.failures.get(call.verb)

    def caller(self, data: bytes = b"", settle: bool = True) -> socket.socket:
        sock = socket.create_connection(self.console.listener.getsockname())
        self.rig.open.append(sock)
        sock.send(data)
        if settle:
            sock.setblocking(False)
            self.rig.settle()
        return sock


def test_an_answer_is_one_line_and_the_connection_closes(rig: Rig) -> None:
    operators = Operators(rig)
    operators.failures[Verb.DETACH] = "no such worker"
    for data, answer in (
        (b"PING\n", b"+OK\n"),
        (b"DETACH s-9\n", b"-ERR no such worker\n"),
        (b"nonsense\n", b"-ERR unknown call\n"),
        (b"x" * 400, b"-ERR line too long\n"),
    ):
        caller = operators.caller(data)
        assert read(caller) == answer and read(caller) is None
    assert operators.calls == [Call(Verb.PING), Call(Verb.DETACH, "s-9")] and not operators.console.connections


def test_slow_incomplete_and_silent_callers_do_not_block_others(rig: Rig) -> None:
    operators = Operators(rig)
    half = operators.caller(b"DETACH s-")
    half.shutdown(socket.SHUT_WR)
    rig.settle()
    assert read(half) == b"-ERR half a call\n"
    slow = [operators.caller(b"PI" if number % 2 else b"") for number in range(MAX_CONNECTIONS + 3)]
    assert read(operators.caller(b"PING\n")) == b"+OK\n"
    assert [read(sock) for sock in slow[:4]] == [None] * 4 and read(slow[-1]) == b""  # the oldest were evicted
    rig.settle(LINE_TIMEOUT_MS)
    assert read(slow[-1]) == b"-ERR too slow\n" and not operators.console.connections


def test_more_callers_than_the_limit_are_all_served(rig: Rig) -> None:
    operators = Operators(rig)
    callers = [operators.caller(b"PING\n", settle=False) for _ in range(40)]
    rig.settle()
    rig.settle()
    assert [sock.recv(64) for sock in callers] == [b"+OK\n"] * 40


def test_a_call_runs_before_client_tasks_that_are_ready(rig: Rig) -> None:
    operators, order = Operators(rig), list[str]()
    sock = operators.caller(settle=False)
    rig.settle()
    for _ in range(100):
        rig.scheduler.spawn(lambda: order.append("client"))
    sock.send(b"PING\n")
    operators.console.call_handler = lambda _: order.append("call")
    rig.scheduler._poll_once(0.0)
    rig.settle()
    assert order[0] == "call" and len(order) == 101


def test_an_internal_error_is_answered_and_the_next_call_is_served(rig: Rig) -> None:
    operators = Operators(rig)
    operators.console.call_handler = lambda call: str(1 // 0)
    assert read(operators.caller(b"PING\n")) == b"-ERR internal error\n"
    assert [type(fault) for fault in rig.crashes] == [ZeroDivisionError]
    rig.crashes.clear()
    operators.console.call_handler = operators.answer
    assert read(operators.caller(b"PING\n")) == b"+OK\n"


# ---- the life cycle


@DERANDOMISED
@given(
    steps=st.lists(st.tuples(st.sampled_from(["lame", "rejoin", "stop", "wait"]), st.integers(0, 3_000)), max_size=12)
)
def test_any_order_of_calls_and_signals_matches_the_model(steps: list[tuple[str, int]]) -> None:
    lifecycle, now = NodeLifecycle(), 1_000.0
    kill = min(5_000.0, times.KILL_DEADLINE_CAP_MS) + times.KILL_MARGIN_MS  # the earliest SIGKILL, by the protocol
    drain_at: float | None = None
    stop_at: float | None = None
    for step, wait in steps:
        now += wait
        lifecycle.tick(now)
        if step == "lame":
            changed = lifecycle.lame_duck(now)
            assert changed == (drain_at is None and stop_at is None)
            drain_at = now if changed else drain_at
        elif step == "rejoin":
            assert lifecycle.rejoin() == (stop_at is None)
            drain_at = None if stop_at is None else drain_at
        elif step == "stop":
            changed = lifecycle.stop(now, 5_000.0)
            assert changed == (stop_at is None)
            stop_at = now if changed else stop_at
        assert lifecycle.is_ready == (lifecycle.stage is Stage.SERVING) == (drain_at is None and stop_at is None)
        assert (lifecycle.stage in STOP_STAGES) == (stop_at is not None)
        assert lifecycle.is_closing == (stop_at is not None and now >= stop_at + kill - times.CLOSING_MS)
        if stop_at is not None:
            assert lifecycle.end_by_ms == stop_at + kill - times.ANSWER_MARGIN_MS
            assert lifecycle.is_shedding == (lifecycle.is_closing or drain_at is not None)
        elif drain_at is not None:
            assert lifecycle.stage in DRAIN_STAGES and lifecycle.is_shedding == (now >= drain_at + SHED_DELAY_MS)
            assert not lifecycle.is_shedding or lifecycle.end_by_ms == drain_at + DRAIN_MS
        else:
            assert not lifecycle.is_shedding and lifecycle.end_by_ms == lifecycle.next_stage_ms == float("inf")
