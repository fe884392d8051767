"""The simulator's line protocol: parsed events, written actions, and one-line errors for malformed input."""

from __future__ import annotations

import io
import json
import pathlib
import subprocess
import sys

import pytest

from pipitledge import adapter
from pipitledge.decision.interface import Repeat, Scope
from pipitledge.decision.policy import Policy
from pipitledge.decision.settings import parse_settings

ROOT = pathlib.Path(__file__).parent.parent
OPTIONS = {
    "lanes": [
        {
            "deadline_ms": 5000.0,
            "objective_ms": 150.0,
            "repeat": "guarded",
            "dedup_scope": "zone",
            "window_ms": 7500.0,
            "worth": 2.0,
            "late_share": 0.25,
            "unheard_of": 1,
        }
    ],
    "permissions": {"max_attempts": 5, "probes": True},
    "report": {"fields": ["x0", "rif"], "source": "answers"},
    "specifics": {"report_x0": "free slots", "class_stretch": [2.0]},
    "n_instances": 2,
    "my_number": 1,
    "discovery": "push",
    "strange": {"new": "key"},
}
SPAWN = f"instance\ti=1\nspawn\trandom_seed=5\toptions={json.dumps(OPTIONS)}\n"
ROW = "worker\tsite=0\tphase=in_service\tworker=10.0.0.1:1\n"
LIST = "backends_changed\thow=cached\tversion=1\trows_in=1\n" + ROW
JOB = "accept\tticket=a\tcategory=0\tpatience_left_ms=5000.0\n"


def play(text: str) -> tuple[int, str]:
    out = io.StringIO()
    return adapter.Adapter(iter(text.splitlines(keepends=True)), out).run(), out.getvalue()


def batch(body: str, number: int = 1) -> str:
    return f"clock\tts_ms=100.5\tround={number}\n{body}eob\n"


def test_an_empty_batch_is_answered() -> None:
    assert play(batch("")) == (0, "eor\tround=1\n")


def test_a_job_is_sent() -> None:
    code, out = play(batch(SPAWN + LIST + JOB) + batch("instance\ti=1\nnews_of_the_day\tx=1\n", 2))
    assert code == 0
    assert "speaking\ti=1\ntransmit\tticket=a\tworker=10.0.0.1:1" in out
    assert out.endswith("eor\tround=2\n")


def test_settings_are_read_and_unknown_keys_ignored() -> None:
    settings = parse_settings(json.dumps(OPTIONS))
    assert settings.classes[0].repeat is Repeat.KEYED and settings.classes[0].scope is Scope.ZONE
    assert settings.classes[0].stretch == 2.0 and settings.classes[0].window_ms == 7500.0
    assert settings.report_fields == ("x0", "inflight") and settings.free_slots_field == "x0"
    assert (settings.instances, settings.number, settings.max_attempts) == (2, 1, 5)


def test_shutdown_drops_the_instance_and_its_events() -> None:
    body = SPAWN + LIST + JOB + "shutdown\n"
    code, out = play(batch(body))
    assert code == 0 and "transmit" not in out


@pytest.mark.parametrize(
    "text, word",
    [
        ("clack\tts_ms=1\n", "clock"),
        ("clock\tts_ms=one\tround=1\neob\n", "one"),
        ("clock\tts_ms=1.0\tround=1\n", "inside a batch"),
        (batch("instance\ti=7\n" + JOB), "unknown instance"),
        (batch("instance\ti=1\nspawn\trandom_seed=5\toptions={\n"), "options"),
        (batch(SPAWN + LIST + "accept\tticket=a\tcategory=x\n"), "line 6"),
        (batch(SPAWN + "tick_due\tnonce\n"), "name=value"),
    ],
)
def test_malformed_input_gives_a_one_line_error(text: str, word: str, capsys: pytest.CaptureFixture[str]) -> None:
    code, _ = play(text)
    message = capsys.readouterr().err
    assert code != 0 and word in message and message.startswith("line ") and message.count("\n") == 1


def test_an_exception_in_the_policy_ends_the_simulation_with_its_reason(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def broken(*_: object) -> None:
        raise RuntimeError("no such luck")

    monkeypatch.setattr(Policy, "handle", broken)
    code, out = play(batch(SPAWN + LIST))
    assert code == 0 and "bail_out\ttext=RuntimeError: no such luck" in out
    assert "Traceback" in capsys.readouterr().err


def test_output_does_not_depend_on_the_hash_seed() -> None:
    rows = "".join(f"worker\tsite=0\tphase=in_service\tworker=10.0.0.{n}:1\n" for n in range(40))
    subset = "".join(f"worker\tsite=0\tphase=in_service\tworker=10.0.0.{n}:1\n" for n in range(0, 40, 3))
    jobs = "".join(f"accept\tticket=a{n}\tcategory=0\tpatience_left_ms=5000.0\n" for n in range(60))
    more = jobs.replace("ticket=a", "ticket=b")
    text = batch(SPAWN + "backends_changed\thow=full\tversion=1\trows_in=40\n" + rows + jobs) + batch(
        "instance\ti=1\nbackends_changed\thow=full\tversion=2\trows_in=14\n" + subset + more, 2
    )
    replies = set()
    for seed in ("1", "2", "3"):
        ran = subprocess.run(
            [sys.executable, "-m", "pipitledge.adapter"],
            input=text,
            capture_output=True,
            text=True,
            check=True,
            cwd=ROOT,
            env={"PYTHONHASHSEED": seed},
        )
        replies.add(ran.stdout)
    assert len(replies) == 1 and "transmit" in replies.pop()
