"""Planned work that comes in series and overlaps: stops, reloads of settings, changes of the configuration."""

from __future__ import annotations

import threading
import time
from collections.abc import Mapping
from random import Random

from pipitledge.emulator.soak.operator import Operator
from pipitledge.emulator.soak.plan import SEEDS, MachinePlan, SoakPlan
from pipitledge.emulator.soak.processes import MachineProcess
from pipitledge.emulator.soak.record import Record
from pipitledge.emulator.soak.workers import SocketWorkers

STARTING_SECONDS = 3.0  # within which most stops leave a new process alone; reloads don't
TERMINATE_EARLY_SHARE = 0.2  # of the stops that come while the process is still starting
SERIES_SHARE = 0.4  # of the pauses that are left out, so that the next piece overlaps
SERVE_ON_SECONDS = (0.5, 9.0)  # from the announced exit of a worker until its end
CATCH_UP_SECONDS = 4.0  # that a counted node may take after its start; only one is out at a time


class PlannedWork:
    """Draws what is done when."""

    def __init__(
        self,
        plan: SoakPlan,
        processes: Mapping[str, MachineProcess],
        workers: SocketWorkers,
        operator: Operator,
        record: Record,
    ) -> None:
        """Work on `processes` and `workers`."""
        self._plan = plan
        self._workers = workers
        self._processes = processes
        self._operator = operator
        self._record = record
        self._random = Random(f"planned work {plan.seed}")
        self._counted_back_at = 0.0

    def run(self) -> None:
        """Go on for the time that the plan says."""
        ends_at = time.monotonic() + self._plan.load.trouble_s
        while time.monotonic() < ends_at:
            self._next()
            if self._random.random() >= SERIES_SHARE:
                time.sleep(min(self._random.expovariate(1.0 / self._plan.load.series_s), self._plan.load.trouble_s))

    def draw_seeds(self, random: Random) -> list[str]:
        """Seeds for a settings file."""
        return [node.control_plane for node in random.sample(self._plan.nodes, SEEDS)]

    def _next(self) -> None:
        pieces = [
            (5, self._stop_node),
            (1, self._stop_agent),
            (1, self._stop_again),
            (3, self._reload),
            (2, self._change),
        ]
        if self._plan.load.late_share > 0.0:
            pieces.append((1, self._worker_leaves))
        weights = [weight for weight, _ in pieces]
        self._random.choices([piece for _, piece in pieces], weights)[0]()

    def _stop_node(self) -> None:
        machine = self._random.choice(self._plan.nodes)
        if not machine.counted or self._all_counted_are_back():
            self._stop(machine)

    def _all_counted_are_back(self) -> bool:
        """Whether one of the counted nodes may be stopped."""
        now = time.monotonic()
        counted = [self._processes[machine.name] for machine in self._plan.machines if machine.counted]
        return all(
            process.is_up and process.terminated_at is None and now - process.started_at >= CATCH_UP_SECONDS
            for process in counted
        )

    def _stop_agent(self) -> None:
        self._stop(self._random.choice(self._plan.agents))

    def _stop(self, machine: MachinePlan) -> None:
        process = self._processes[machine.name]
        if not self._may_be_early(machine) and time.monotonic() - process.started_at < STARTING_SECONDS:
            return
        if process.terminate(self._plan.deployment.bounds.grace_s):
            self._record.note(f"SIGTERM to {machine.name}")

    def _may_be_early(self, machine: MachinePlan) -> bool:
        """Whether a process that is still starting may be told to end."""
        return not machine.counted and self._random.random() < TERMINATE_EARLY_SHARE

    def _stop_again(self) -> None:
        """Send one more SIGTERM to a process that is ending, if there is one."""
        ending = [name for name, process in self._processes.items() if process.terminated_at is not None]
        if ending:
            name = self._random.choice(ending)
            if self._processes[name].terminate_again():
                self._record.note(f"SIGTERM once more to {name}")

    def _reload(self) -> None:
        """Change some machine's settings file and tell its process, which may be new, or about to end."""
        machine = self._random.choice(self._plan.machines)
        process = self._processes[machine.name]
        age_s = time.monotonic() - process.started_at
        state = "ending" if process.terminated_at is not None else f"{age_s:.1f} s old"
        if process.reload():
            self._record.note(f"SIGHUP to {machine.name}, {state}")

    def _worker_leaves(self) -> None:
        """Have a worker announce its exit without draining first, and serve on for a while."""
        node = self._random.choice(self._plan.agents).name
        serves_on_s = self._random.uniform(*SERVE_ON_SECONDS)
        self._workers.leave(node, serves_on_s)
        self._record.note(f"worker {node} announces its exit, serves on for {serves_on_s:.1f} s")

    def _change(self) -> None:
        threading.Thread(target=self._operator.change, name="change", daemon=True).start()
