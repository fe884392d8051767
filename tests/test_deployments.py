"""Deployments unlike each other: the matrix on stand-ins, what must be told, and what nobody knows."""

from __future__ import annotations

import json
import pathlib
import re
import signal
import socket
from typing import Any

import pytest
from allpairspy import AllPairs
from node_helper import ROOT, STATED, Node, told

from pipitledge.decision.settings import KNOWN_KEYS, unknown_settings
from pipitledge.emulator import matrix
from pipitledge.emulator.tier_day import Plain
from pipitledge.node import config

CELLS = [dict(zip(matrix.AXES, row, strict=True)) for row in AllPairs(list(matrix.AXES.values()))]


def test_every_pair_of_values_meets_in_some_cell() -> None:
    axes = list(matrix.AXES)
    wanted = {
        (one, a, two, b)
        for at, one in enumerate(axes)
        for two in axes[at + 1 :]
        for a in matrix.AXES[one]
        for b in matrix.AXES[two]
    }
    met = {(one, cell[one], two, cell[two]) for cell in CELLS for at, one in enumerate(axes) for two in axes[at + 1 :]}
    assert wanted == met


@pytest.mark.parametrize("cell", CELLS, ids=lambda cell: "-".join(map(str, cell.values())))
def test_the_module_keeps_the_rules_and_serves_what_plain_balancers_do(cell: dict[str, Any]) -> None:
    played = matrix.play(cell, seed=2)
    assert not played.broken
    assert played.worth >= matrix.LEAST * max(played.plain.values()), played


def test_the_matrix_can_fail() -> None:
    """A balancer that sends to workers that drain, and one that serves too little, are found."""
    cell = CELLS[0]
    stubborn = Plain.handle

    def deaf(self: Plain, now_ms: float, events: Any) -> Any:
        known = dict(self.rows)
        actions = stubborn(self, now_ms, events)
        self.rows |= known  # what it knew first it goes on believing
        return actions

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Plain, "handle", deaf)
        assert any(line.startswith("drain") for line in matrix.day(cell, "round robin", 1).broken())
    assert not matrix.Played(cell, 0.7, {"random": 0.9}, ()).holds
    assert not matrix.Played(cell, 0.9, {"random": 0.9}, ("a rule",)).holds


# ---- what is told


def test_settings_that_no_page_names_are_found_by_their_place_and_the_others_are_not() -> None:
    assert unknown_settings(matrix.stated(CELLS[0])) == []
    odd = {
        "lanes": [{"name": "a", "colour": 1}, {"name": "b", "colour": 2}],
        "rules": {"newer": 1},
        "discovery": "gossip",
        "weights": "live",
        "further": {"anything": []},
        "report": {"source": "push"},
    }
    assert unknown_settings(odd) == [
        "discovery=gossip",
        "further",
        "lanes[].colour",
        "report.source=push",
        "rules.newer",
    ]


def test_a_node_says_once_what_nobody_knows_and_serves(tmp_path: pathlib.Path) -> None:
    with Node(tmp_path, settings=STATED | {"further": 1, "rules": {"ask_every_ms": 10_000.0, "newer": 2}}) as node:
        assert b" 200 " in node.ready()
        node.signal(signal.SIGHUP)  # the same again is no news
        node.until(" config discovery=")
        node.process.terminate()
        log = node.rest()
    assert "unknown=" not in log
    assert json.loads(re.findall(r"counters=(.*)", log)[-1])["config.unknown"] == 2


def test_a_node_told_push_follows_the_agent_from_its_start_and_again_after_its_end(tmp_path: pathlib.Path) -> None:
    """It opened no connection at all, and lived on the list it had before its start."""
    with socket.create_server(("127.0.0.1", 0)) as agent:
        agent.settimeout(20.0)
        where = "{}:{}".format(*agent.getsockname())
        with Node(tmp_path, settings=STATED | {"discovery": "push"}, discovery=where) as node:
            for _ in range(3):
                watch, _ = agent.accept()
                with watch:
                    watch.settimeout(20.0)
                    assert b"GET /api/targets?follow=1&since=1 " in watch.recv(4_096)
            assert b" 200 " in node.ready()


@pytest.mark.parametrize(
    "change, place",
    [
        ({"lanes": None}, "settings.lanes"),
        ({"lanes": []}, "settings.lanes: no class"),
        ({"lanes": [{"deadline_ms": 300.0}]}, "settings.lanes[0].name: missing"),
    ],
)
def test_what_is_needed_and_missing_refuses_the_start_with_its_place(
    tmp_path: pathlib.Path, change: dict[str, Any], place: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told(settings=STATED | change)))
    with pytest.raises(config.ConfigError, match=re.escape(place)):
        config.load({"BALANCER_CONFIG": str(path)})


def test_the_page_on_deployments_names_every_setting_that_is_known() -> None:
    page = (ROOT / "docs" / "design" / "deployments.md").read_text()
    for place, names in KNOWN_KEYS.items():
        for name in names:
            setting = f"{place}.{name}" if place else name
            assert (
                setting
                in ("clients", "goal", "permissions", "prices", "report", "rules", "specifics", "lanes", "realms")
                or f"`{setting}`" in page
            ), setting
