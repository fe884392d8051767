"""The command line, and the node with a file of plans: start, reload, refusal, JSON lines, the demo's small twin."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys

import pytest
from click.testing import CliRunner
from node_helper import ROOT, Node, node_config

from pipitledge.cli.main import main
from pipitledge.emulator import site
from pipitledge.emulator.ports import free_address

SOUND = "class menu-plan\n    attempts 2\n"
UNSAFE = "class menu-plan\n    attempts 9\n"


@pytest.fixture
def settings(tmp_path: pathlib.Path) -> str:
    path = tmp_path / "config.json"
    path.write_text(site.config("n0", ("127.0.0.1", 1), ("127.0.0.1", 2), [], 1))
    return str(path)


def call(*words: object) -> tuple[int, str]:
    done = CliRunner().invoke(main, [str(word) for word in words])
    return done.exit_code, done.output


def test_check_tells_sound_mistaken_and_unreadable_apart(tmp_path: pathlib.Path, settings: str) -> None:
    good, bad = tmp_path / "good.conf", tmp_path / "bad.conf"
    good.write_text(SOUND)
    bad.write_text(UNSAFE + "class slot-bok\n")
    assert call("check", good, "--settings", settings) == (0, "")
    code, said = call("check", good, bad, "--settings", settings)
    assert code == 1 and said.splitlines()[0].startswith(f"{bad}:2:5: error: class menu-plan: attempts 9")
    code, said = call("check", bad, "--settings", settings, "--json")
    report = json.loads(said)
    assert code == 1 and not report["sound"] and [one["line"] for one in report["mistakes"]] == [2, 3]
    for words in (
        ["check", tmp_path / "none", "--settings", settings],
        ["check", good],
        ["check", good, "--x"],
        ["check", good, "--settings", good],
        ["check", good, "--settings", tmp_path / "none"],
    ):
        assert call(*words)[0] == 2, words


def test_explain_shows_plan_origin_and_longest_run(
    tmp_path: pathlib.Path, settings: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    path = pathlib.Path("a.conf")
    path.write_text(
        "class order-pay\n attempts 2\n attempt-timeout 1s\n hold-timeout 100ms\n backoff 5ms to 50ms\n"
        "route /order-pay/express/*\n class order-pay\n override attempts 1\n"
    )
    code, said = call("explain", path, "--settings", settings, "--route", "/order-pay/card")
    assert code == 0 and "class order-pay" in said and "a.conf:2:2" in said and "route /" not in said
    assert "attempt 2 goes out by 1150ms" in said and "answer by 5s" in said
    code, said = call("explain", path, "--settings", settings, "--route", "/order-pay/express/now")
    assert code == 0 and "route /order-pay/express/*" in said and "attempt 2 goes" not in said
    assert call("explain", path, "--settings", settings)[1].count("class ") >= 3
    assert call("explain", path, "--settings", settings, "--route", "/none/a")[0] == 2
    path.write_text(UNSAFE)
    assert call("explain", path, "--settings", settings)[0] == 1


@pytest.mark.parametrize(
    "words, said",
    [
        (["--version"], "pipitledge, version"),
        (["completion", "bash"], "_PIPITLEDGE_COMPLETE"),
        (["stand-in", "worker", "--listen", "10.0.0.1:1"], "loopback"),
        (["stand-in", "worker", "--listen", "127.0.0.1:0", "--fault", "silence=1"], "break-after"),
        (["stand-in", "discovery", "--listen", "nowhere", "--worker", "a=b"], "not an address"),
    ],
)
def test_other_commands(words: list[str], said: str) -> None:
    assert said in call(*words)[1]


def test_a_node_without_arguments_imports_none_of_the_tools() -> None:
    code = (
        "import sys, pipitledge.__main__; "
        "print([m for m in ('click', 'rich', 'structlog', 'lark', 'pipitledge.cli', 'pipitledge.emulator', 'json')"
        " if m in sys.modules])"
    )
    said = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert said.stdout.strip() == "['json']"


class Planned(Node):
    """A node with a file of plans beside its configuration."""

    def __init__(self, folder: pathlib.Path, text: str) -> None:
        self.plans = folder / "attempts.conf"
        self.plans.write_text(text)
        super().__init__(folder, attempts=str(self.plans))


def test_a_file_is_read_at_the_start_and_on_sighup_whole_or_not_at_all(tmp_path: pathlib.Path) -> None:
    with Planned(tmp_path, SOUND) as node, node.client() as client:
        for text, line in (
            (UNSAFE, "kept="),
            (SOUND * 2, "kept="),
            ("class menu-plan\n attempts 1\n", "file="),
            ("# nothing\n", "file="),
        ):
            node.plans.write_text(text)
            node.signal(signal.SIGHUP)
            assert line in node.until(" plans ")
        node.plans.unlink()
        node.signal(signal.SIGHUP)
        assert "can't be read: No such file" in node.until("plans-mistake")
        node.signal(signal.SIGHUP)
        node.signal(signal.SIGHUP)  # one while another is read: it is read once more
        assert "kept=" in node.until(" plans ")
        client.sendall(b"POST /menu-plan HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\n\r\n")
        assert client.recv(4_096).startswith(b"HTTP/1.1 503")
        node.signal(signal.SIGTERM)
        rest = node.rest()
        assert node.process.wait() == 0 and '"plans.read":3' in rest


def test_a_node_does_not_start_with_a_file_that_can_not_be_used(tmp_path: pathlib.Path) -> None:
    plans, config = tmp_path / "attempts.conf", tmp_path / "config.json"
    plans.write_text(UNSAFE)
    config.write_text(json.dumps(node_config(attempts=str(plans))))
    for form in ("plain", "json"):
        done = subprocess.run(
            [sys.executable, "-m", "pipitledge.cli", "run", "--config", config, "--log-format", form],
            cwd=ROOT,
            capture_output=True,
            text=True,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
        )
        assert done.returncode == 2, done.stderr
        first, last = done.stdout.splitlines()
        if form == "json":
            said = json.loads(first)
            assert said["event"] == "plans-mistake" and said["at"] == f"{plans}:2:5" and "max_attempts 6" in said["why"]
            assert json.loads(last)["mistakes"] == 1
        else:
            assert f"plans-mistake at={plans}:2:5 why=class menu-plan" in first and "mistakes=1" in last


def test_a_log_format_that_can_not_be_had_is_told() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "pipitledge"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={"PIPITLEDGE_LOG_FORMAT": "xml"},
    )
    assert done.returncode == 2 and "config error=PIPITLEDGE_LOG_FORMAT: log format 'xml': plain or json" in done.stdout


def test_the_demo_runs_and_audits(tmp_path: pathlib.Path) -> None:
    """A node, stand-ins and clients on real sockets; its verdict is the audit's, not a matter of timing."""
    plans, log = tmp_path / "a.conf", tmp_path / "node.log"
    plans.write_text("class menu-plan\n second-copy after 100ms\nclass order-pay\n second-copy after 100ms\n")
    code, said = call(
        "demo", "--seconds", 3, "--rate", 60, "--workers", 6, "--faults", 0.2, "--attempts", plans, "--keep-log", log
    )
    assert code == 0, said + log.read_text()[-2_000:]
    assert "every rule kept" in said and "slot-book" in said
    assert '"execution.copy"' in log.read_text()


def test_ipp_commands_print_list_and_ask(tmp_path: pathlib.Path) -> None:
    """A stand-in printer and a node as processes, and the sub-commands against them."""
    label, printers, at = tmp_path / "label", tmp_path / "printers.conf", "{}:{}".format(*free_address())
    label.write_bytes(b"^XA" * 400)
    where = "{}:{}".format(*free_address())
    printers.write_text(f"printer hall-1\n    uri ipp://{where}/ipp/print\n")
    assert call("ipp", "printers", printers)[0] == 1  # nobody answers yet
    env = os.environ | {"PYTHONPATH": str(ROOT)}
    stand_in = subprocess.Popen(
        [sys.executable, "-m", "pipitledge.cli", "ipp", "stand-in", "--listen", where, "--print-ms", "20"],
        cwd=ROOT,
        env=env,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert stand_in.stdout is not None and "ready printer" in stand_in.stdout.readline()
        with Node(tmp_path, printers=str(printers), ipp_listen=at) as node:
            node.until(" printer ")
            code, said = call("ipp", "submit", label, "--at", at)
            assert code == 0 and "completed" in said
            number = said.split()[1]
            code, said = call("ipp", "jobs", "--at", at, "--completed")
            assert code == 0 and number in said and "label" in said
            code, said = call("ipp", "cancel", number, "--at", at)
            assert code == 1 and "is over" in said
            code, said = call("ipp", "printers", printers)
            assert code == 0 and "idle" in said and "True" in said
            code, said = call("ipp", "submit", label, "--at", at, "--format", "image/x")
            assert code == 1 and "0x040a" in said
    finally:
        stand_in.kill()
        stand_in.wait()
        assert stand_in.stdout is not None
        stand_in.stdout.close()
    assert call("ipp", "jobs", "--at", at)[0] == 2 and call("ipp", "submit", tmp_path / "no", "--at", at)[0] == 2
    printers.write_text("printer a\n")
    assert call("ipp", "printers", printers) == (1, f"{printers}:1:1: error: printer a has no uri\n")
