"""Different deployments: a matrix of settings in emulation, required settings, and unknown settings."""

from __future__ import annotations

import json
import pathlib
import re
import signal
import socket
from typing import Any

import pytest
from allpairspy import AllPairs
from node_helper import ROOT, STATED, Node, node_config

from pipitledge.decision.settings import KNOWN_KEYS, unknown_settings
from pipitledge.emulator import matrix
from pipitledge.emulator.tier_day import Plain
from pipitledge.node import config

CELLS = [dict(zip(matrix.AXES, row, strict=True)) for row in AllPairs(list(matrix.AXES.values()))]


def test_every_pair_of_values_occurs_in_some_cell() -> None:
    axes = list(matrix.AXES)
    expected = {
        (one, a, two, b)
        for at, one in enumerate(axes)
        for two in axes[at + 1 :]
        for a in matrix.AXES[one]
        for b in matrix.AXES[two]
    }
    found = {
        (one, cell[one], two, cell[two]) for cell in CELLS for at, one in enumerate(axes) for two in axes[at + 1 :]
    }
    assert expected == found


@pytest.mark.parametrize("cell", CELLS, ids=lambda cell: "-".join(map(str, cell.values())))
def test_the_module_keeps_the_rules_and_is_as_good_as_simple_balancers(cell: dict[str, Any]) -> None:
    played = matrix.play(cell, seed=2)
    assert not played.broken
    assert played.worth >= matrix.LEAST * max(played.plain.values()), played


def test_the_matrix_detects_faulty_balancers() -> None:
    """It detects a balancer that sends jobs to draining workers, and one that yields too little value."""
    cell = CELLS[0]
    handle = Plain.handle

    def ignore_updates(self: Plain, now_ms: float, events: Any) -> Any:
        known = dict(self.rows)
        actions = handle(self, now_ms, events)
        self.rows |= known  # it keeps its first data of each worker
        return actions

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Plain, "handle", ignore_updates)
        assert any(line.startswith("drain") for line in matrix.day(cell, "round robin", 1).broken())
    assert not matrix.Played(cell, 0.7, {"random": 0.9}, ()).holds
    assert not matrix.Played(cell, 0.9, {"random": 0.9}, ("a rule",)).holds


# ---- required and unknown settings


def test_only_unknown_settings_are_reported_with_their_path() -> None:
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


def test_a_node_logs_unknown_settings_once_and_serves(tmp_path: pathlib.Path) -> None:
    with Node(tmp_path, settings=STATED | {"further": 1, "rules": {"ask_every_ms": 10_000.0, "newer": 2}}) as node:
        assert b" 200 " in node.ready()
        node.signal(signal.SIGHUP)  # the same settings are not logged again
        node.until(" config discovery=")
        node.process.terminate()
        log = node.rest()
    assert "unknown=" not in log
    assert json.loads(re.findall(r"counters=(.*)", log)[-1])["config.unknown"] == 2


def test_with_push_discovery_a_node_watches_the_agent_from_startup_and_again_after_each_end(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a node that opened no connection to the agent, and kept the list from its configuration."""
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
    "change, path_in_file",
    [
        ({"lanes": None}, "settings.lanes"),
        ({"lanes": []}, "settings.lanes: no class"),
        ({"lanes": [{"deadline_ms": 300.0}]}, "settings.lanes[0].name: missing"),
    ],
)
def test_a_missing_required_setting_is_an_error_that_names_its_path(
    tmp_path: pathlib.Path, change: dict[str, Any], path_in_file: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(node_config(settings=STATED | change)))
    with pytest.raises(config.ConfigError, match=re.escape(path_in_file)):
        config.load({"BALANCER_CONFIG": str(path)})


def test_the_deployments_page_documents_every_known_setting() -> None:
    page = (ROOT / "docs" / "design" / "deployments.md").read_text()
    for place, names in KNOWN_KEYS.items():
        for name in names:
            setting = f"{place}.{name}" if place else name
            assert (
                setting
                in ("clients", "goal", "permissions", "prices", "report", "rules", "specifics", "lanes", "realms")
                or f"`{setting}`" in page
            ), setting
