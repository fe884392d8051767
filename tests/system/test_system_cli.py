"""`pipitledge system`: settings checked, data folders shown, processes asked; and what processes tell of themselves."""

from __future__ import annotations

import ast
import contextlib
import importlib.util
import io
import json
import re
import socket
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast, get_args
from unittest import mock

import msgspec
import urllib3
from msgspec import Struct

from pipitledge.agent.worker_instance import HeartbeatEffect
from pipitledge.cli import data_folder, system, system_status
from pipitledge.cli.data_folder import FolderContent, FolderProblem
from pipitledge.cli.settings_check import check_settings
from pipitledge.cli.system_status import Fault, HttpAnswer, NoAnswerError, StatusProblem, ask
from pipitledge.configuration.data_plane import DataPlane
from pipitledge.configuration.model import Configuration, Route, Service
from pipitledge.ingress.readiness import Readiness
from pipitledge.membership.membership import Membership
from pipitledge.programs import node_status
from pipitledge.programs import status as sections
from pipitledge.replication.records import EpochRecord, Snapshot, encode_entries, encode_epochs, encode_snapshot
from pipitledge.runtime.storage import EPOCHS_NAMES, LOG_NAMES, STATE_NAMES, Store
from pipitledge.wire import codec
from pipitledge.wire.messages import (
    ChangeRecord,
    ConfigurationRecord,
    Entry,
    JobRecord,
    JobState,
    Member,
    NodeDescriptor,
    OrdersReply,
    StatusReply,
    StatusRequest,
    TaskPhase,
    TaskRecord,
    View,
    Write,
)
from tests.system.scheduling_cluster import PLAIN, Cluster, job_id, started

ROOT = Path(__file__).resolve().parents[2]
ADDRESS = "10.4.0.12:7400"

NODE = """
nodeName = "edge-north-2"
role = "node"
serves = ["edge", "control_plane"]
ip = "10.4.0.12"
zone = "north"
internalPortRange = [7400, 7415]
seeds = ["10.5.0.9:8046"]
countsForQuorum = true
dataDir = "/data/node"
[bindAddrs]
frontend = "10.4.0.12:8044"
readiness = "10.4.0.12:8040"
controlPlane = "10.4.0.12:8046"
"""
AGENT = """
nodeName = "side-north-1"
role = "agent"
serves = ["side"]
ip = "10.4.0.31"
zone = "north"
internalPortRange = [7400, 7415]
seeds = ["10.5.0.9:8046"]
app = "10.4.0.31:9000"
service = "render"
[bindAddrs]
controlPlane = "10.4.0.31:8046"
"""


class Outcome(Struct):
    """What a command left."""

    code: int
    output: str
    errors: str


def call(*words: object) -> Outcome:
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        code = system.main([str(word) for word in words])
    return Outcome(code, output.getvalue(), errors.getvalue())


class FolderCase(unittest.TestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name)


class CheckTest(FolderCase):
    def file(self, text: str) -> Path:
        path = self.folder / "local.toml"
        path.write_text(text)
        return path

    def test_a_sound_file_of_a_node_is_told_with_what_it_would_start(self) -> None:
        done = call("check", self.file(NODE))
        self.assertEqual((done.code, done.errors), (0, ""))
        self.assertIn("ok, for `pipitledge system run node`", done.output)
        self.assertRegex(done.output, r"planes +membership, replica, ingress, control front\n")
        self.assertRegex(done.output, r"disk +/data/node\n")
        self.assertRegex(done.output, r"internal +10\.4\.0\.12, first free port of 7400 to 7415\n")

    def test_a_node_that_does_not_count_has_no_replica(self) -> None:
        report = check_settings(self.file(NODE.replace("countsForQuorum = true", "countsForQuorum = false")))
        self.assertEqual(report.would_start["planes"], "membership, ingress, control front")
        self.assertNotIn("disk", report.would_start)

    def test_a_sound_file_of_an_agent_names_the_worker(self) -> None:
        report = check_settings(self.file(AGENT))
        self.assertEqual((report.problems, report.warnings, report.program), ([], [], "agent"))
        self.assertEqual(report.would_start["worker"], "10.4.0.31:9000")

    def test_each_problem_is_told_with_its_place(self) -> None:
        broken = NODE.replace('ip = "10.4.0.12"', "ip = 5").replace(":8044", "") + "[limits]\nmemoryMb = -1\n"
        done = call("check", self.file(broken))
        self.assertEqual((done.code, done.output), (1, ""))
        lines = done.errors.splitlines()
        self.assertEqual(len(lines), 3)
        for place in ("ip: ", "bindAddrs.frontend: ", "limits.memoryMb: "):
            with self.subTest(place):
                self.assertEqual(sum(line.startswith(f"{self.folder}/local.toml: {place}") for line in lines), 1)

    def test_what_is_served_needs_its_address(self) -> None:
        cases = (
            (NODE, "frontend"),
            (NODE, "readiness"),
            (NODE, "controlPlane"),
            (AGENT, "controlPlane"),
        )
        for text, key in cases:
            with self.subTest(key, agent=text is AGENT):
                kept = "".join(line for line in text.splitlines(keepends=True) if not line.startswith(key))
                [problem] = check_settings(self.file(kept)).problems
                self.assertTrue(problem.startswith(f"bindAddrs.{key}: is missing"), problem)

    def test_an_agent_needs_its_worker(self) -> None:
        [problem] = check_settings(self.file(AGENT.replace('app = "10.4.0.31:9000"', ""))).problems
        self.assertTrue(problem.startswith("app: is missing"), problem)

    def test_what_is_unusual_is_told_and_allowed(self) -> None:
        done = call("check", self.file(NODE.replace('dataDir = "/data/node"', "").replace('"10.5.0.9:8046"', "")))
        self.assertEqual(done.code, 0)
        self.assertIn("warning: seeds: none", done.errors)
        self.assertIn("warning: dataDir: none", done.errors)

    def test_no_file_and_no_toml(self) -> None:
        missing = call("check", self.folder / "none.toml")
        self.assertEqual(missing.code, 1)
        self.assertIn("cannot be read: No such file", missing.errors)
        broken = call("check", self.file("nodeName = "))
        self.assertEqual(broken.code, 1)
        self.assertIn("is not TOML", broken.errors)

    def test_wrong_usage(self) -> None:
        for words in (("check",), ("nonsense",), ("status", ADDRESS, "nonsense"), ("run", "nonsense")):
            with self.subTest(words):
                done = call(*words)
                self.assertEqual((done.code, done.output), (2, ""))
                self.assertIn("Error", done.errors)


@unittest.skipUnless(importlib.util.find_spec("click"), "the main command needs click")
class MainCommandTest(unittest.TestCase):
    def test_all_words_and_the_exit_code_are_handed_on(self) -> None:
        from click.testing import CliRunner

        from pipitledge.cli.main import main

        for words, code in ((["inspect", "/none", "--keys", "job/", "--json"], 1), (["--help"], 0), ([], 2)):
            with self.subTest(words), mock.patch.object(system, "main", return_value=code) as system_main:
                self.assertEqual(CliRunner().invoke(main, ["system", *words]).exit_code, code)
                system_main.assert_called_once_with(tuple(words))


class RunTest(FolderCase):
    def test_the_program_gets_the_settings_file_that_was_named(self) -> None:
        path = self.folder / "local.toml"
        path.write_text(NODE)
        for program in ("node", "agent"):
            seen: list[str | None] = []
            main = f"pipitledge.programs.{program}.main"
            with (
                self.subTest(program),
                mock.patch.dict("os.environ", {"PIPITLEDGE_CONFIG": "/other"}),
                mock.patch(main, side_effect=lambda seen=seen: seen.append(system.os.environ["PIPITLEDGE_CONFIG"])),
            ):
                self.assertEqual(call("run", program, "--settings", path).code, 0)
                self.assertEqual(seen, [str(path)])

    def test_without_a_settings_file_nothing_is_started(self) -> None:
        with mock.patch("pipitledge.programs.node.main") as main, mock.patch.dict("os.environ"):
            done = call("run", "node", "--settings", self.folder / "none.toml")
        self.assertEqual(done.code, 2)
        self.assertIn("there is no such settings file", done.errors)
        main.assert_not_called()

    def test_programs_do_not_import_the_command_line(self) -> None:
        script = (
            "import sys, pipitledge.programs.node, pipitledge.programs.agent\n"
            "print([name for name in ('cyclopts', 'rich', 'pipitledge.cli') if name in sys.modules])"
        )
        done = subprocess.run([sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True)
        self.assertEqual(done.stdout, "[]\n")


MEMBERS = [Member("n1", "10.0.0.1:7400", "z1", "r", 11), Member("n2", "10.0.0.2:7400", "z2", "r", 12)]
VIEW = View(epoch=9, term=5, primary="n2", in_sync=["n2", "n1"], members=MEMBERS)
JOB_BODY = b'{"stages":[{"count":2}]}'
CHANGE = ChangeRecord(3, "abc", 1)


def entry(sequence: int, *writes: Write) -> Entry:
    return Entry(5, sequence, list(writes))


def written(folder: Path) -> None:
    """What a node may leave: a snapshot, and a log with two records of three entries."""
    job = JobRecord("a1", "q", "s", JOB_BODY, int(JobState.OPEN), 1_000, 1)
    snapshot = Snapshot(
        4,
        20,
        ["config", "change/000000000001", "job/a1"],
        [
            codec.encode_record(ConfigurationRecord(3, b'{"version":3}')),
            codec.encode_record(CHANGE),
            codec.encode_record(job),
        ],
    )
    task = TaskRecord(phase=int(TaskPhase.ASSIGNED), run=2, node="w1", instance="i1")
    store = Store(str(folder))
    store.open()
    store.write_epochs(encode_epochs(EpochRecord(promised=9, promised_to="n2", accepted=VIEW, disk_id=12)))
    store.replace(encode_snapshot(snapshot))
    first = [entry(21, Write("task/a1.0.0.0", codec.encode_record(task))), entry(22, Write("strange", b"\x01"))]
    store.append([encode_entries(first), encode_entries([entry(23, Write("change/000000000001", deleted=True))])])
    store.close()


class InspectTest(FolderCase):
    def setUp(self) -> None:
        super().setUp()
        written(self.folder)

    def content(self) -> FolderContent:
        content = data_folder.read_folder(self.folder)
        assert isinstance(content, FolderContent), content
        return content

    def files(self) -> dict[str, tuple[bytes, int]]:
        return {path.name: (path.read_bytes(), path.stat().st_mtime_ns) for path in self.folder.iterdir()}

    def spoil(self, name: str, at: int) -> None:
        """Turn one byte of a file over."""
        path = self.folder / name
        content = bytearray(path.read_bytes())
        content[at] ^= 0xFF
        path.write_bytes(content)

    def test_the_log_is_carried_out_on_the_snapshot(self) -> None:
        content = self.content()
        self.assertEqual((content.term, content.sequence, content.generation), (5, 23, 1))
        self.assertEqual((content.log_records, content.log_entries), (2, 3))
        self.assertEqual(sorted(content.state), ["config", "job/a1", "strange", "task/a1.0.0.0"])
        assert content.promises is not None
        self.assertEqual(content.promises.accepted, VIEW)

    def test_json_holds_everything_decoded(self) -> None:
        done = call("inspect", self.folder, "--json")
        self.assertEqual((done.code, done.errors), (0, ""))
        told = json.loads(done.output)
        self.assertEqual(told["promises"]["accepted"]["primary"], "n2")
        self.assertEqual((told["damaged"], told["term"], told["sequence"], told["keys"]), (False, 5, 23, 4))
        records = told["records"]
        self.assertEqual(records["config"], {"version": 3, "body": {"version": 3}})
        self.assertEqual((records["job/a1"]["state"], records["job/a1"]["body"]), ("open", json.loads(JOB_BODY)))
        self.assertEqual((records["task/a1.0.0.0"]["phase"], records["task/a1.0.0.0"]["node"]), ("assigned", "w1"))
        self.assertEqual(records["strange"], {"unknownRecord": "01"})

    def test_a_record_that_is_none_is_told_and_the_rest_is_shown(self) -> None:
        self.assertEqual(set(data_folder.readable("job/a1", b"\xff")), {"unreadable", "bytes"})
        self.assertEqual(data_folder.readable("change/1", codec.encode_record(CHANGE))["digest"], "abc")

    def test_keys_are_chosen_by_prefix(self) -> None:
        told = json.loads(call("inspect", self.folder, "--keys", "task/", "--json").output)
        self.assertEqual(list(told["records"]), ["task/a1.0.0.0"])

    def test_tables_for_people(self) -> None:
        output = call("inspect", self.folder).output
        for text in ("sequence", "23", "promised_to", "10.0.0.2:7400", "job/a1", '"phase":"assigned"'):
            with self.subTest(text):
                self.assertIn(text, output)

    def test_nothing_is_written(self) -> None:
        log = self.folder / LOG_NAMES[1]
        log.write_bytes(log.read_bytes() + b"torn")  # a start would cut this off
        before = self.files()
        self.assertEqual(call("inspect", self.folder).code, 0)
        self.assertEqual(self.files(), before)

    def test_a_formatted_folder_is_fresh(self) -> None:
        folder = self.folder / "new"
        store = Store(str(folder))
        store.open()
        store.close()
        done = call("inspect", folder)
        self.assertEqual(done.code, 0)
        self.assertIn("Nothing was promised here yet.", done.output)
        self.assertIn("No records.", done.output)

    def test_damage_is_told_and_left_as_it_is(self) -> None:
        spoilers: dict[str, Callable[[], None]] = {
            "log-1: entry 1 is damaged": lambda: self.spoil_durable_entry(),
            "no valid record of promises": lambda: [self.spoil(name, 0) for name in EPOCHS_NAMES] and None,
            "no valid snapshot": lambda: [self.spoil(name, 0) for name in STATE_NAMES] and None,
        }
        for reason, spoil in spoilers.items():
            with self.subTest(reason):
                for path in self.folder.iterdir():
                    path.unlink()
                written(self.folder)
                spoil()
                before = self.files()
                done = call("inspect", self.folder)
                self.assertEqual((done.code, done.output), (1, ""))
                self.assertIn(f"damaged: {reason}", done.errors)
                told = json.loads(call("inspect", self.folder, "--json").output)
                self.assertEqual(told, {"damaged": True, "reason": reason})
                self.assertEqual(self.files(), before)

    def spoil_durable_entry(self) -> None:
        """Damage an entry that a later one says was on disk."""
        store = Store(str(self.folder))
        store.open()
        store.append([encode_entries([entry(24)])])
        store.close()
        self.spoil(LOG_NAMES[1], 40)

    def test_a_sound_checksum_round_nonsense_is_damage(self) -> None:
        store = Store(str(self.folder))
        store.open()
        store.append([b"nonsense"])
        store.close()
        problem = data_folder.read_folder(self.folder)
        assert isinstance(problem, FolderProblem)
        self.assertTrue(problem.damaged)
        self.assertIn("can't be decoded", problem.reason)

    def test_what_is_no_data_folder(self) -> None:
        other = self.folder / "other"
        other.mkdir()
        file = self.folder / "file"
        file.write_text("")
        for folder, reason in (
            (other, "is no data folder"),
            (file, "is not a folder"),
            (self.folder / "none", "does not exist"),
        ):
            with self.subTest(reason):
                done = call("inspect", folder, "--json")
                self.assertEqual((done.code, done.output), (2, ""))
                self.assertIn(f"{folder}: {reason}", done.errors)

    def test_a_file_that_cannot_be_read(self) -> None:
        (self.folder / LOG_NAMES[0]).unlink()
        (self.folder / LOG_NAMES[0]).mkdir()
        done = call("inspect", self.folder)
        self.assertEqual(done.code, 2)
        self.assertIn("cannot be read", done.errors)


REPLY = {
    "process": {"node": "n1", "failedCallbacks": 0},
    "workers": {"leads": True, "workers": [{"node": "w1", "freeCpu": 500, "state": "draining"}]},
}


def reply_of(told: object) -> HttpAnswer:
    return HttpAnswer(200, codec.encode(StatusReply(msgspec.json.encode(told))))


class StatusTest(unittest.TestCase):
    def answered(self, answer: HttpAnswer | NoAnswerError) -> contextlib.AbstractContextManager[Any]:
        """Have every process answer so."""
        self.requests: list[tuple[str, Struct]] = []

        def post(address: str, body: bytes) -> HttpAnswer:
            self.requests.append((address, codec.decode(body)))
            if isinstance(answer, NoAnswerError):
                raise answer
            return answer

        real = ask
        return mock.patch.object(system_status, "ask", lambda address, section: real(address, section, post))

    def test_all_sections_as_tables(self) -> None:
        with self.answered(reply_of(REPLY)):
            done = call("status", ADDRESS)
        self.assertEqual((done.code, done.errors), (0, ""))
        self.assertEqual(self.requests, [(ADDRESS, StatusRequest(""))])
        for text in ("failedCallbacks", "freeCpu", "w1", "draining", "yes"):
            with self.subTest(text):
                self.assertIn(text, done.output)

    def test_one_section_as_json(self) -> None:
        with self.answered(reply_of({"workers": REPLY["workers"]})):
            done = call("status", ADDRESS, "workers", "--json")
        self.assertEqual((done.code, json.loads(done.output)), (0, {"workers": REPLY["workers"]}))
        self.assertEqual(self.requests, [(ADDRESS, StatusRequest("workers"))])

    def test_a_section_that_the_process_has_not(self) -> None:
        for section, hint in (
            ("jobs", "count for the quorum"),
            ("agent", "only agents"),
            ("configuration", "only nodes"),
        ):
            with self.subTest(section), self.answered(reply_of({})):
                done = call("status", ADDRESS, section)
                self.assertEqual((done.code, done.output), (1, ""))
                self.assertIn(f"{ADDRESS}: no such section: ", done.errors)
                self.assertIn(hint, done.errors)

    def test_one_that_does_not_lead_says_who_does(self) -> None:
        told = {"jobs": {"leads": False, "primary": "n2", "primaryAddress": "10.0.0.2:7400"}}
        with self.answered(reply_of(told)):
            done = call("status", ADDRESS, "jobs")
            as_json = call("status", ADDRESS, "jobs", "--json")
            self.assertEqual(call("status", ADDRESS).code, 0)  # of all sections, some may be another's
        self.assertEqual((done.code, done.output), (1, ""))
        self.assertIn("not the primary: ask n2 at 10.0.0.2:7400", done.errors)
        self.assertEqual((as_json.code, json.loads(as_json.output)), (1, told))

    def test_nobody_leads(self) -> None:
        with self.answered(reply_of({"queues": {"leads": False, "primary": "", "primaryAddress": ""}})):
            done = call("status", ADDRESS, "queues")
        self.assertEqual(done.code, 1)
        self.assertIn("it knows of no primary", done.errors)

    def test_a_process_that_is_not_ours(self) -> None:
        strangers = (
            HttpAnswer(404, b"not found"),
            HttpAnswer(200, b"<html>"),
            HttpAnswer(200, codec.encode(OrdersReply())),
            HttpAnswer(200, codec.encode(StatusReply(b"{"))),
            HttpAnswer(200, codec.encode(StatusReply(b"[]"))),
        )
        for answer in strangers:
            with self.subTest(answer), self.answered(answer):
                done = call("status", ADDRESS)
                self.assertEqual((done.code, done.output), (2, ""))
                self.assertIn(f"{ADDRESS}: not a process of the system: ", done.errors)

    def test_no_answer(self) -> None:
        with self.answered(NoAnswerError("nothing within 5 s")):
            done = call("status", ADDRESS)
        self.assertEqual((done.code, done.errors), (2, f"{ADDRESS}: no answer: nothing within 5 s\n"))

    def test_addresses_that_are_none_are_not_called(self) -> None:
        for address in ("10.4.0.12", "10.4.0.12:", "10.4.0.12:0", "10.4.0.12:70000", ":7400", "http://10.4.0.12:7400"):
            with self.subTest(address), self.answered(reply_of(REPLY)):
                problem = system_status.ask(address, "")
                assert isinstance(problem, StatusProblem)
                self.assertEqual((problem.fault, self.requests), (Fault.BAD_ADDRESS, []))

    def test_a_dead_port_is_told_as_such(self) -> None:
        with socket.socket() as bound:  # bound and not listening: connections are refused
            bound.bind(("127.0.0.1", 0))
            with self.assertRaisesRegex(NoAnswerError, "nothing listens there"):
                system_status.post_message(f"127.0.0.1:{bound.getsockname()[1]}", b"")

    def test_a_silent_process_is_told_as_such(self) -> None:
        silence = urllib3.exceptions.ReadTimeoutError(cast(Any, None), None, "late")
        with (
            mock.patch.object(urllib3.PoolManager, "request", side_effect=silence),
            self.assertRaisesRegex(NoAnswerError, "nothing within 5 s"),
        ):
            system_status.post_message(ADDRESS, b"")


PARTS = (
    "programs",
    "replication",
    "configuration",
    "scheduling",
    "agent",
    "ingress",
    "membership",
    "runtime",
)
LEVELS = ("info", "warning", "error")


def logged_events(source: str) -> set[str]:
    """The events that a module writes; those put together end with what is put in front of all of them."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        if node.func.attr not in LEVELS or not node.args:
            continue
        event = node.args[0]
        if isinstance(event, ast.Constant):
            found.add(str(event.value))
        elif isinstance(event, ast.BinOp) and isinstance(event.left, ast.Constant):
            found.add(str(event.left.value))
    return found


class OperatorsPageTest(unittest.TestCase):
    def setUp(self) -> None:
        page = (ROOT / "docs" / "SYSTEM.md").read_text()
        log = page.partition("## The log")[2].partition("## Machines come and go")[0]
        rows = [line.split("|")[1] for line in log.splitlines() if line.startswith("| `")]
        self.named = set(re.findall(r"`([a-z_]+)`", " ".join(rows)))

    def test_the_page_names_every_event_and_no_other(self) -> None:
        sources = [path.read_text() for part in PARTS for path in (ROOT / "pipitledge" / part).glob("*.py")]
        events = set[str]().union(*map(logged_events, sources))
        self.assertIn("primary_active", events)
        events.remove("worker_")
        told = (HeartbeatEffect.NEW_INSTANCE, HeartbeatEffect.CONFIRMED, HeartbeatEffect.DRAINING)
        events |= {f"worker_{effect.value}" for effect in told}
        self.assertEqual(self.named, events)

    def test_the_page_names_every_section(self) -> None:
        page = (ROOT / "docs" / "SYSTEM.md").read_text()
        for section in get_args(system.SectionName):
            with self.subTest(section):
                self.assertRegex(page, rf"(?m)^\| `{section}` \|")


class FakeMembership:
    """A view, and the processes that are alive."""

    def __init__(self, view: View | None, *nodes: NodeDescriptor) -> None:
        self.view = view
        self._nodes = list(nodes)

    def nodes(self) -> list[NodeDescriptor]:
        return self._nodes


def rows_of(section: dict[str, object], name: str) -> list[dict[str, Any]]:
    rows = section[name]
    assert isinstance(rows, list)
    return rows


def membership(view: View | None, *nodes: NodeDescriptor) -> Membership:
    return cast(Membership, FakeMembership(view, *nodes))


class OwnSectionsTest(unittest.TestCase):
    """What a process tells of itself."""

    def test_members_alive_silent_and_behind(self) -> None:
        members = [*MEMBERS, Member("n3", "10.0.0.3:7400", "z3", "r", 13)]
        view = View(epoch=9, primary="n2", in_sync=["n2", "n1"], members=members)
        me = NodeDescriptor("n1", "10.0.0.1:7400", "z1", counted=True)
        agent = NodeDescriptor("side", "10.0.0.9:7400", "z1", machine_class="side")
        section = sections.members_section(me, membership(view, agent, NodeDescriptor("n2", counted=True)))
        found = {row["name"]: (row["alive"], row["part"]) for row in rows_of(section, "nodes")}
        expected = {"n1": (True, "in sync"), "n2": (True, "primary"), "n3": (False, "behind"), "side": (True, "")}
        self.assertEqual(found, expected)
        self.assertEqual((section["epoch"], section["primary"]), (9, "n2"))

    def test_without_a_view_there_is_no_part(self) -> None:
        [row] = rows_of(sections.members_section(NodeDescriptor("n1"), membership(None)), "nodes")
        self.assertEqual(row["part"], "")

    def test_the_configuration_pulled_with_readiness(self) -> None:
        plane = mock.Mock(configuration=Configuration(4, (Route("q", "a.example", "/q", "s"),), (Service("s"),)))
        plane.age_s.return_value = 0.25
        plane.failures = 3
        data_plane = cast(DataPlane, plane)
        section = node_status.data_plane_section(data_plane, Readiness(data_plane))
        self.assertEqual((section["version"], section["ready"], section["contactAgeSeconds"]), (4, True, 0.25))
        self.assertEqual(section["unansweredPulls"], 3)
        [route] = rows_of(section, "routes")
        self.assertEqual((route["queue"], route["service"]), ("q", "s"))

    def test_before_the_first_contact_the_age_can_still_be_told_as_json(self) -> None:
        plane = mock.Mock(configuration=None)
        plane.age_s.return_value = float("inf")
        plane.failures = 0
        data_plane = cast(DataPlane, plane)
        section = json.loads(msgspec.json.encode(node_status.data_plane_section(data_plane, Readiness(data_plane))))
        self.assertEqual((section["version"], section["ready"], section["contactAgeSeconds"]), (None, False, None))

    def test_one_that_does_not_lead_names_the_primary(self) -> None:
        cluster = Cluster(workers=1)
        context = cluster.promote().scheduler.context
        cluster.demote()
        for section in (node_status.queues_section, node_status.workers_section, node_status.jobs_section):
            with self.subTest(section.__name__):
                told = section(context, membership(VIEW))
                self.assertEqual(told, {"leads": False, "primary": "n2", "primaryAddress": "10.0.0.2:7400"})
                self.assertEqual(section(context, membership(None))["primary"], "")


class PrimarySectionsTest(unittest.TestCase):
    """What the primary tells of work: three tasks of a job on the one worker with room for two."""

    def setUp(self) -> None:
        cluster = started(Cluster(workers=1))
        assert cluster.primary is not None
        self.context = cluster.primary.scheduler.context
        self.membership = membership(VIEW)
        cluster.submit(job_id(1), {"stages": [{"count": 3, "cpu": 4_000, "estimatedMs": 60_000}]})
        cluster.run(0.5)
        self.cluster = cluster

    def test_queues(self) -> None:
        rows = {
            row["queue"]: row for row in rows_of(node_status.queues_section(self.context, self.membership), "queues")
        }
        self.assertEqual(sorted(rows), ["plain", "urgent"])
        plain = rows["plain"]
        self.assertEqual((plain["openJobs"], plain["pendingJobs"]), (1, 0))
        self.assertEqual((plain["waitingTasks"], plain["runs"]), (1, 2))
        self.assertEqual((plain["service"], plain["priority"]), (PLAIN.service, 1))
        self.assertGreater(plain["slotsInFlight"], 0)
        self.assertEqual((rows["urgent"]["openJobs"], rows["urgent"]["runs"]), (0, 0))

    def test_workers(self) -> None:
        [row] = rows_of(node_status.workers_section(self.context, self.membership), "workers")
        self.assertEqual((row["node"], row["state"], row["runs"]), ("w0", "usable", 2))
        self.assertEqual((row["freeCpu"], row["cpu"]), (0, 8_000))

    def test_a_worker_that_is_out_of_touch(self) -> None:
        self.cluster.disconnect_agent("w0", 4.0)
        self.cluster.run(3.0)
        [row] = rows_of(node_status.workers_section(self.context, self.membership), "workers")
        self.assertEqual(row["state"], "out of touch")

    def test_jobs(self) -> None:
        section = node_status.jobs_section(self.context, self.membership)
        self.assertEqual((section["open"], section["completed"]), (1, 0))
        [row] = rows_of(section, "jobs")
        self.assertEqual((row["job"], row["started"], row["waitingTasks"], row["runs"]), (job_id(1), True, 1, 2))

    def test_a_cancelled_job_is_counted_and_no_longer_listed(self) -> None:
        self.cluster.cancel(job_id(1))
        self.cluster.run(2.0)
        section = node_status.jobs_section(self.context, self.membership)
        self.assertEqual((section["open"], section["cancelled"], section["jobs"]), (0, 1, []))

    def test_long_lists_are_cut_and_what_is_left_out_is_counted(self) -> None:
        nodes = [NodeDescriptor(f"n{number:03}") for number in range(sections.MAX_LIST_ENTRIES + 4)]
        section = sections.members_section(NodeDescriptor("me"), membership(None, *nodes))
        self.assertEqual((len(rows_of(section, "nodes")), section["nodesLeftOut"]), (sections.MAX_LIST_ENTRIES, 5))


if __name__ == "__main__":
    unittest.main()
