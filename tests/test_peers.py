"""Heartbeats between nodes: the peer membership against a model, and the datagrams."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest
from helpers import Driver, of_type
from helpers import settings as module_settings
from hypothesis import given
from hypothesis import strategies as st
from net_helper import DERANDOMISED, Rig

from pipitledge.decision.interface import Send, SettingsChanged
from pipitledge.emulator.ports import free_address
from pipitledge.node.peer_membership import (
    HEARTBEAT_MS,
    NOT_SERVING,
    SERVING,
    SILENCE_TIMEOUT_MS,
    PeerMembership,
    settings_for_members,
)
from pipitledge.node.peers import Peers


@DERANDOMISED
@given(
    steps=st.lists(
        st.tuples(st.integers(-1, 4), st.sampled_from([SERVING, NOT_SERVING, b"", b"pl9+"]), st.integers(0, 2_000)),
        max_size=20,
    )
)
def test_the_nodes_that_serve_match_the_model(steps: list[tuple[int, bytes, int]]) -> None:
    membership, now = PeerMembership(1, 4), 1_000
    last: dict[int, tuple[bytes, int]] = {}
    for number, datagram, wait in steps:
        now += wait
        valid = number in (0, 2, 3) and datagram in (SERVING, NOT_SERVING)
        assert membership.record(number, datagram, now) == valid
        if valid:
            last[number] = datagram, now
        serving = [
            number
            for number in range(4)
            if number == 1
            or number not in last
            or (last[number][0] == SERVING and now < last[number][1] + SILENCE_TIMEOUT_MS)
        ]
        assert membership.serving(now) == tuple(serving)


@pytest.mark.parametrize("serving, number", [((0, 1, 2), 2), ((1, 2), 1), ((2,), 0)])
def test_settings_for_the_serving_nodes_keep_the_cold_budget_of_the_tier(serving: tuple[int, ...], number: int) -> None:
    rules = module_settings(instances=3, number=2, overload_factor=3.0)
    among = settings_for_members(rules, serving)
    assert (among.instances, among.number) == (len(serving), number)
    # Three nodes that each believe to be the only one must together stay within the budget of the tier.
    assert sum(among.overload_factor / among.instances for _ in range(3)) == pytest.approx(3.0)


def test_the_only_node_left_uses_the_whole_fleet_at_once() -> None:
    rules = module_settings(instances=2, number=0, reports_starts=True)
    half, alone = (Driver(rules, workers=8) for _ in range(2))
    alone.handle(SettingsChanged(settings_for_members(rules, (0,))))
    sent = [
        len(of_type([action for number in range(64) for action in driver.job(f"j{number}")], Send))
        for driver in (half, alone)
    ]
    assert sent == [16 + 8, 32]  # its half of the slots plus trials on other workers; all slots


class Pair:
    """The `Peers` of two nodes on loopback; `changes` counts the changes that each reports."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.serves, self.changes = rig, [True, True], [0, 0]
        addresses = [free_address() for _ in range(2)]
        self.peers = [
            Peers(
                rig.scheduler,
                rig,
                rig.counters,
                rig.log,
                addresses[number],
                addresses,
                None,
                PeerMembership(number, 2),
            )
            for number in range(2)
        ]
        for number, peers in enumerate(self.peers):
            peers.serves = lambda number=number: self.serves[number]  # type: ignore[misc]
            peers.on_change = lambda number=number: self.change(number)  # type: ignore[misc]
            peers.start()
            peers.start()
        rig.settle()

    def change(self, number: int) -> None:
        self.changes[number] += 1


@pytest.fixture
def pair(rig: Rig) -> Iterator[Pair]:
    made = Pair(rig)
    yield made
    for peers in made.peers:
        peers.stop()
    rig.settle()


def test_a_node_announces_at_once_that_it_stops_serving_and_a_silent_node_times_out(rig: Rig, pair: Pair) -> None:
    zero, one = pair.peers
    assert zero.serving == one.serving == (0, 1) and rig.counters.counts["peer.heard"] == 2
    pair.serves[1] = False
    one.announce()
    rig.settle()
    assert zero.serving == (0,) and one.serving == (0, 1) and pair.changes == [1, 0]
    pair.serves[1] = True
    rig.settle(HEARTBEAT_MS)
    assert zero.serving == (0, 1)
    one.stop()
    rig.settle()
    for _ in range(int(SILENCE_TIMEOUT_MS / HEARTBEAT_MS)):
        rig.settle(HEARTBEAT_MS)
    assert zero.serving == (0,)
    one.start()  # started again
    rig.settle()
    assert zero.serving == (0, 1) and pair.changes[0] == 4


def test_datagrams_of_unknown_senders_are_ignored(rig: Rig, pair: Pair) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        for datagram in (NOT_SERVING, b"", b"x" * 60_000):
            stranger.sendto(datagram, pair.peers[0].listen)
    rig.settle()
    assert pair.peers[0].serving == (0, 1) and rig.counters.counts["peer.ignored"] == 3


def test_a_node_that_can_not_open_its_socket_counts_all_nodes_as_serving(rig: Rig, pair: Pair) -> None:
    other = Peers(
        rig.scheduler,
        rig,
        rig.counters,
        rig.log,
        pair.peers[0].listen,  # type: ignore[arg-type]
        [],
        None,
        PeerMembership(0, 2),
    )
    other.start()
    assert other.sock is None and other.serving == (0, 1) and rig.logged[-1][0] == "peers"
