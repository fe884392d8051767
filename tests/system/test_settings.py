"""Tests of the settings file and of the event log."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import picologging
from msgspec import Struct

from pipitledge.runtime import logs, settings
from pipitledge.runtime.settings import Bounds, Limits, Settings, SettingsProblem, config_path, load, parse

FULL_SETTINGS = """
nodeName = "edge-north-2"
role = "node"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "10.4.0.12"
zone = "north"
region = "upper"
internalPortRange = [7400, 7415]
seeds = ["10.4.0.12:8046", "10.5.0.9:8046"]
bootstrap = true
countsForQuorum = true
dataDir = "/data/node"
discovery = "local"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "sched"]
commands = "rpc"
[zones]
north = "upper"
south = "lower"
[bindAddrs]
frontend = "10.4.0.12:8044"
readiness = "10.4.0.12:8040"
controlPlane = "10.4.0.12:8046"
[limits]
cpuShare = 0.5
cores = 2
memoryMb = 256
maxFds = 4000
linkMbps = 500.0
diskMb = 96
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 4
reuseAfterS = 1
contactMs = 2500
ackMs = 3500
catchUpS = 5
drainMs = 1500
graceS = 7
lossSlackMs = 150
configApplyMs = 1800
rollbackSlackMs = 200
maxStretchMs = 4000
recoveryS = 10
holdMaxMs = 9000
stop_ms = 250
gang_ms = 2900
cancel_ms = 2800
visible_ms = 2700
early_ms = 300
finish_s = 15
status_s = 100
far_x = 1.25
save_s = 3
restore_ms = 350
"""

MINIMAL_SETTINGS = """
nodeName = "side-1"
role = "agent"
ip = "10.4.0.80"
internalPortRange = [7400, 7415]
"""


class SettingsCase(unittest.TestCase):
    def settings(self, text: str) -> Settings:
        parsed = parse(text)
        self.assertIsInstance(parsed, Settings, str(parsed))
        assert isinstance(parsed, Settings)
        return parsed

    def problem(self, text: str) -> str:
        parsed = parse(text)
        self.assertIsInstance(parsed, SettingsProblem)
        assert isinstance(parsed, SettingsProblem)
        return parsed.reason


class SettingsReadTest(SettingsCase):
    def test_a_file_with_all_keys(self) -> None:
        expected = Settings(
            name="edge-north-2",
            role="node",
            machine_class="edge",
            serves=("edge", "control_plane"),
            ip="10.4.0.12",
            zone="north",
            region="upper",
            internal_ports=(7400, 7415),
            seeds=("10.4.0.12:8046", "10.5.0.9:8046"),
            bootstrap=True,
            counted=True,
            data_dir="/data/node",
            discovery="local",
            entry="vip",
            heartbeat_ms=1200.0,
            contracts=("base", "sched"),
            commands="rpc",
            zones={"north": "upper", "south": "lower"},
            bind=settings.BindAddresses("10.4.0.12:8044", "10.4.0.12:8040", "10.4.0.12:8046"),
            limits=Limits(cpu_share=0.5, cores=2, memory_mb=256, max_fds=4000, link_mbps=500.0, disk_mb=96),
            tolerance=settings.FaultTolerance(machines=2, zones=1, regions=0),
            bounds=Bounds(
                seed_lag_s=4,
                reuse_after_s=1,
                contact_ms=2500,
                ack_ms=3500,
                catch_up_s=5,
                drain_ms=1500,
                grace_s=7,
                loss_slack_ms=150,
                config_apply_ms=1800,
                rollback_slack_ms=200,
                max_stretch_ms=4000,
                recovery_s=10,
                hold_max_ms=9000,
                stop_ms=250,
                gang_ms=2900,
                cancel_ms=2800,
                visible_ms=2700,
                early_ms=300,
                finish_s=15,
                status_s=100,
                far_x=1.25,
                save_s=3,
                restore_ms=350,
            ),
        )
        self.assertEqual(self.settings(FULL_SETTINGS), expected)

    def test_a_file_with_only_the_required_keys(self) -> None:
        shortest = self.settings(MINIMAL_SETTINGS)
        self.assertEqual((shortest.name, shortest.data_dir, shortest.seeds), ("side-1", "", ()))
        self.assertEqual((shortest.bounds, shortest.bind.control_plane), (Bounds(), ""))
        self.assertFalse(shortest.bootstrap or shortest.counted)

    def test_unknown_keys_are_ignored_at_any_depth(self) -> None:
        extended = FULL_SETTINGS.replace("[bounds]", "[bounds]\nsomething_new = [1]").replace(
            "[limits]", "[limits]\nx = true"
        )
        extended = 'unheardOf = "x"\n' + extended + "\n[a.b.c]\nd = 1\n"
        self.assertEqual(self.settings(extended), self.settings(FULL_SETTINGS))

    def test_empty_keys_count_as_absent(self) -> None:
        empty = (
            'machineClass = ""\nserves = []\nzone = ""\nregion = ""\nseeds = ""\ncountsForQuorum = ""\nzones = ""\n'
            'dataDir = ""\ndiscovery = ""\nheartbeatMs = ""\ncontracts = ""\ncommands = ""\nlimits = ""\nbounds = ""\n'
            '[bindAddrs]\nfrontend = ""\n[faultTolerance]\n'
        )
        self.assertEqual(self.settings(MINIMAL_SETTINGS + empty), self.settings(MINIMAL_SETTINGS))

    def test_integers_and_floats_are_interchangeable(self) -> None:
        changed = FULL_SETTINGS.replace("memoryMb = 256", "memoryMb = 256.0").replace("cpuShare = 0.5", "cpuShare = 1")
        changed = changed.replace("stop_ms = 250", "stop_ms = 250.5").replace("machines = 2", "machines = 2.0")
        read = self.settings(changed)
        self.assertEqual((read.limits.memory_mb, read.limits.cpu_share), (256, 1.0))
        self.assertEqual((read.bounds.stop_ms, read.tolerance.machines), (250.5, 2))
        self.assertIsInstance(read.limits.memory_mb, int)

    def test_a_bound_in_snake_case_or_camel_case(self) -> None:
        changed = FULL_SETTINGS.replace("graceS = 7", "grace_s = 8").replace("stop_ms = 250", "stopMs = 260")
        read = self.settings(changed)
        self.assertEqual((read.bounds.grace_s, read.bounds.stop_ms), (8.0, 260.0))

    def test_a_boolean_bound_leaves_the_default(self) -> None:
        read = self.settings(FULL_SETTINGS.replace("graceS = 7", "graceS = true"))
        self.assertEqual(read.bounds.grace_s, Bounds().grace_s)

    def test_settings_cannot_be_changed(self) -> None:
        read = self.settings(FULL_SETTINGS)
        parts: list[Struct] = [read, read.bounds, read.limits, read.tolerance, read.bind]
        for part in parts:
            with self.assertRaises(AttributeError):
                setattr(part, part.__struct_fields__[0], None)


class SettingsProblemTest(SettingsCase):
    def test_invalid_keys_are_reported_with_their_path(self) -> None:
        wrong = {
            ("memoryMb = 256", 'memoryMb = "much"'): "limits.memoryMb: value is not int",
            ("cores = 2", "cores = 1.5"): "limits.cores: value is not int",
            ("maxFds = 4000", "maxFds = true"): "limits.maxFds: value is not int",
            ("ackMs = 3500", 'ackMs = "soon"'): "bounds.ackMs: value is not a number",
            ("stop_ms = 250", "stop_ms = -1"): "bounds.stop_ms: value is below 0",
            ("graceS = 7", "graceS = nan"): "bounds.graceS: value is not a number",
            ("far_x = 1.25", "far_x = inf"): "bounds.far_x: value is not a number",
            ("machines = 2", "machines = inf"): "faultTolerance.machines: value is not int",
            ('frontend = "10.4.0.12:8044"', 'frontend = "10.4.0.12"'): "bindAddrs.frontend: value is not ip:port",
            ('"10.5.0.9:8046"', '"10.5.0.9:99999"'): "seeds.1: value is not ip:port",
            ("[7400, 7415]", "[7415, 7400]"): "internalPortRange: the first port is above the last",
            ("[7400, 7415]", "[7400]"): "internalPortRange: value must contain 2 items",
            ("[7400, 7415]", "[0, 7415]"): "internalPortRange.0: value is not a port",
            ("bootstrap = true", 'bootstrap = "yes"'): "bootstrap: value should be True or False",
            ('ip = "10.4.0.12"', "ip = 10"): "ip: value is not a string",
            ('south = "lower"', "south = 3"): "zones.south.value: value is not a string",
            ('nodeName = "edge-north-2"', ""): "nodeName: is required",
            ('role = "node"', 'role = ""'): "role: is required",
        }
        for (right, instead), reason in wrong.items():
            with self.subTest(reason=reason, instead=instead):
                self.assertIn(right, FULL_SETTINGS)
                self.assertEqual(self.problem(FULL_SETTINGS.replace(right, instead, 1)), reason)

    def test_all_invalid_keys_are_reported_together(self) -> None:
        reason = self.problem(FULL_SETTINGS.replace("cores = 2", "cores = 1.5").replace("graceS = 7", 'graceS = "x"'))
        self.assertEqual(reason, "limits.cores: value is not int; bounds.graceS: value is not a number")

    def test_a_key_that_must_be_a_table_but_is_not(self) -> None:
        self.assertIn("limits: ", self.problem(MINIMAL_SETTINGS + "limits = 3\n"))
        self.assertIn("bounds: ", self.problem(MINIMAL_SETTINGS + "bounds = [1]\n"))

    def test_no_truncated_file_raises_an_exception(self) -> None:
        problems = 0
        for length in range(len(FULL_SETTINGS)):
            problems += isinstance(parse(FULL_SETTINGS[:length]), SettingsProblem)
        self.assertGreater(problems, 100)

    def test_a_truncated_file_is_reported_as_invalid_toml(self) -> None:
        self.assertIn("is not TOML", self.problem(FULL_SETTINGS[: FULL_SETTINGS.index("8044") + 2]))


class SettingsFileTest(unittest.TestCase):
    def test_a_file_is_read(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "local.toml"
            path.write_text(FULL_SETTINGS)
            self.assertEqual(load(path), parse(FULL_SETTINGS))

    def test_a_missing_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = str(Path(folder) / "local.toml")
            self.assertEqual(load(path), SettingsProblem(path, "cannot be read: No such file or directory"))

    def test_a_file_that_is_not_utf_8(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "local.toml"
            path.write_bytes(b'nodeName = "\xff"')
            problem = load(path)
            self.assertIsInstance(problem, SettingsProblem)
            self.assertIn("is not UTF-8", str(problem))
            self.assertIn(str(path), str(problem))

    def test_path_of_the_settings_file(self) -> None:
        self.assertEqual(config_path({"PIPITLEDGE_CONFIG": "/x/y.toml"}), "/x/y.toml")
        self.assertEqual(config_path({}), settings.DEFAULT_CONFIG_PATH)


class CollectingHandler(picologging.Handler):
    """Collects the log lines."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: picologging.LogRecord) -> None:
        self.lines.append(record.getMessage())


class EventLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.time = 100.0
        self.collected = CollectingHandler()
        logger = picologging.Logger("test", picologging.INFO)
        logger.addHandler(self.collected)
        self.log = logs.EventLog(logger, "agent", now=lambda: self.time, wall=lambda: 1700000000.25)

    def test_a_line_of_each_level(self) -> None:
        self.log.info("started", step="open", peer="10.0.0.1:70", epoch=3)
        self.log.warning("slow", seconds=0.1 + 0.2)
        self.log.error("refused")
        self.assertEqual(
            self.collected.lines,
            [
                "1700000000250 INFO agent started step=open peer=10.0.0.1:70 epoch=3",
                "1700000000250 WARNING agent slow seconds=0.3",
                "1700000000250 ERROR agent refused",
            ],
        )

    def test_values_stay_on_one_line(self) -> None:
        self.log.info("event", a="two words", b='say "x"\nnow', c="", d=None, e="100%s", f="k=v")
        self.assertEqual(
            self.collected.lines,
            ['1700000000250 INFO agent event a="two words" b="say \'x\'\\nnow" c="" e=100%s f="k=v"'],
        )

    def test_repeated_events_are_suppressed_and_counted(self) -> None:
        for _ in range(logs.EVENTS_PER_WINDOW + 7):
            self.log.info("often")
        self.log.info("seldom")
        self.assertEqual(len(self.collected.lines), logs.EVENTS_PER_WINDOW + 1)
        self.time += logs.WINDOW_SECONDS
        self.log.info("often")
        self.log.info("often")
        self.assertTrue(self.collected.lines[-2].endswith("often suppressed=7"))
        self.assertTrue(self.collected.lines[-1].endswith("often"))

    def test_callers_with_the_same_name_share_a_log(self) -> None:
        self.assertIs(logs.get("some part"), logs.get("some part"))
        self.assertIsNot(logs.get("some part"), logs.get("another part"))


if __name__ == "__main__":
    unittest.main()
