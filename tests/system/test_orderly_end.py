"""Graceful shutdown of a node on SIGTERM: every call that it has accepted is answered.

Guards against calls on open connections that end without an answer when a node is restarted. A node used to accept
calls on open and new connections until it exited, while it waited for a moment without any call; under steady load
there is none, so it cut the calls in progress. In this test a node shuts down while calls of 0.5 s and more are open.
"""

from __future__ import annotations

import dataclasses
import tempfile
import threading
import unittest
from pathlib import Path

import msgspec

from pipitledge.emulator.soak.connection import CallEnd, KeptConnection, Outcome
from pipitledge.emulator.soak.plan import Load, MachinePlan, draw_plan, settings_text
from pipitledge.emulator.soak.processes import MachineProcess, ProcessEnd
from pipitledge.runtime.settings import Bounds
from pipitledge.wire.paths import CONFIGURATION_PATH

GRACE_S = 3.0
LOSS_SLACK_S = 0.2
CALLERS = 8
TIMEOUT_SECONDS = 60.0  # reached only if the test fails


class NodeShutdownTest(unittest.TestCase):
    """The node finds no primary, so each call for the configuration takes 0.85 s."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        plan = draw_plan(0, Load())
        deployment = dataclasses.replace(plan.deployment, bounds=Bounds(grace_s=GRACE_S))
        plan = msgspec.structs.replace(plan, deployment=deployment)
        self.machine: MachinePlan = plan.nodes[-1]
        seeds = [node.control_plane for node in plan.nodes[:3]]
        self.ends: list[ProcessEnd] = []
        self.ended = threading.Event()
        self.process = MachineProcess(
            self.machine,
            Path(folder.name),
            lambda bootstrap: settings_text(plan, self.machine, Path(folder.name), seeds, bootstrap),
            self.record_end,
        )
        self.calls: list[CallEnd] = []
        self.answered = threading.Event()

    def record_end(self, end: ProcessEnd) -> None:
        self.ends.append(end)
        self.ended.set()

    def call_until_node_exits(self) -> None:
        """Make calls on one connection after another, until the node has exited or refuses new connections."""
        while not self.ended.is_set():
            try:
                connection = KeptConnection(self.machine.control_plane)
            except OSError:
                if self.answered.is_set():
                    return
                continue
            end: CallEnd | None = None
            while (end is None or not end.closes) and not self.ended.is_set():
                end = connection.call("GET", CONFIGURATION_PATH, "node.example", b"")
                if end is None:
                    break
                self.calls.append(end)
                self.answered.set()
                if end.outcome is not Outcome.ANSWERED:
                    break
            connection.close()

    def test_all_calls_are_answered_and_the_process_exits_in_time(self) -> None:
        self.process.start(bootstrap=False)
        self.addCleanup(self.process.close)
        callers = [threading.Thread(target=self.call_until_node_exits) for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
        self.assertTrue(self.answered.wait(TIMEOUT_SECONDS))
        self.process.terminate(GRACE_S)
        self.assertTrue(self.ended.wait(TIMEOUT_SECONDS))
        self.process.close()
        for caller in callers:
            caller.join(TIMEOUT_SECONDS)
        lost = [end for end in self.calls if end.outcome is not Outcome.ANSWERED and end.seconds > LOSS_SLACK_S]
        self.assertEqual(lost, [])
        self.assertEqual([(end.exit_code, end.killed) for end in self.ends], [(0, False)])


if __name__ == "__main__":
    unittest.main()
