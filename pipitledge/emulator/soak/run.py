"""One soak run from its start to its verdict, and many of them side by side."""

from __future__ import annotations

import multiprocessing
import os
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random

from msgspec import Struct

from pipitledge.emulator.soak.child import end_with
from pipitledge.emulator.soak.clients import Clients, Platform
from pipitledge.emulator.soak.closing import Closing, wait_until_ready
from pipitledge.emulator.soak.operator import Operator
from pipitledge.emulator.soak.outage import Outage
from pipitledge.emulator.soak.plan import SEEDS, Load, MachinePlan, SoakPlan, draw_plan, settings_text
from pipitledge.emulator.soak.planned_work import PlannedWork
from pipitledge.emulator.soak.processes import MachineProcess
from pipitledge.emulator.soak.record import Finding, Record
from pipitledge.emulator.soak.workers import SocketWorkers
from pipitledge.runtime import logs
from pipitledge.runtime.executor import SerialExecutor

START_SECONDS = 30.0  # for all nodes to be ready for the first time
STOP_SECONDS = 20.0  # for stops under way when the planned work ends


class SoakVerdict(Struct, frozen=True):
    """What came of one run."""

    seed: int
    findings: tuple[Finding, ...]
    calls: dict[str, int]  # by how they ended
    accepted: int  # jobs
    processes: int
    seconds: float

    def __str__(self) -> str:
        """One line, and one more for each finding."""
        kinds = Counter(finding.kind for finding in self.findings)
        told = ", ".join(f"{kind} {times}" for kind, times in sorted(kinds.items())) or "nothing found"
        calls = ", ".join(f"{times} {outcome}" for outcome, times in sorted(self.calls.items()))
        head = f"seed {self.seed}: {told}; calls {calls}; {self.accepted} jobs; {self.processes} processes"
        return "\n".join([f"{head}; {self.seconds:.0f} s", *(f"  {finding}" for finding in self.findings)])


class SoakRun:
    """The parts of one run."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        """Keep settings, data and logs below `folder`."""
        self.plan = plan
        self.folder = folder
        self.record = Record(plan.deployment.bounds.loss_slack_ms)
        self._random = Random(f"run {plan.seed}")
        self._first_seeds = self._draw_seeds()
        self._executor = SerialExecutor(logs.get("soak"))
        self.processes = {machine.name: self._process(machine) for machine in plan.machines}
        self._workers = SocketWorkers(plan, self._executor, self.record)
        self._platform = Platform(plan)
        self._operator = Operator(plan, self.record)

    def play(self) -> SoakVerdict:
        """Play the run, and end all of its processes."""
        try:
            self._start()
            if self._operator.configure() and wait_until_ready(
                self._platform, self.processes, self.record, START_SECONDS
            ):
                self._press()
            else:
                self.record.find("RECOVER", "the nodes were never ready")
        finally:
            for process in self.processes.values():
                process.close()
            self._platform.stop()
            self._operator.stop()
        self._keep()
        return self._verdict()

    def _start(self) -> None:
        self._executor.start()
        self._workers.start()
        for process in self.processes.values():
            process.start(bootstrap=True)
        self._platform.start()

    def _press(self) -> None:
        """Load and planned work at once; then account for all that was accepted."""
        clients = Clients(self.plan, self._platform, self.processes, self.record)
        clients.start()
        outage = Outage(self.plan, self.processes, self._workers, self.record) if self.plan.load.outage else None
        if outage is not None:
            outage.start()
        PlannedWork(self.plan, self.processes, self._workers, self._operator, self.record).run()
        if outage is not None:
            outage.wait()
        self._wait_for_stops()
        self._wait_until_ready(self.plan.deployment.bounds.recovery_s)
        clients.stop()
        Closing(self.plan, self.record).account()
        self._operator.read_back()

    def _wait_until_ready(self, seconds: float) -> bool:
        return wait_until_ready(self._platform, self.processes, self.record, seconds)

    def _wait_for_stops(self) -> None:
        """Wait until no process is told to end any more."""
        give_up_at = time.monotonic() + STOP_SECONDS
        while time.monotonic() < give_up_at:
            if all(process.terminated_at is None for process in self.processes.values()):
                return
            time.sleep(0.1)

    def _process(self, machine: MachinePlan) -> MachineProcess:
        folder = self.folder / machine.name

        def write_settings(bootstrap: bool) -> str:
            seeds = self._first_seeds if bootstrap else self._draw_seeds()
            return settings_text(self.plan, machine, folder, seeds, bootstrap)

        return MachineProcess(machine, folder, write_settings, self.record.process_ended)

    def _draw_seeds(self) -> list[str]:
        return [node.control_plane for node in self._random.sample(self.plan.nodes, SEEDS)]

    def _verdict(self) -> SoakVerdict:
        record = self.record
        accepted = sum(job.accepted_at < time.monotonic() for job in record.jobs.values())
        seconds = time.monotonic() - record.began_at
        return SoakVerdict(
            self.plan.seed, tuple(record.findings), dict(record.calls), accepted, len(self.processes), seconds
        )

    def _keep(self) -> None:
        """Leave a file with what was done and found beside the logs."""
        lines = [*self.record.events, *(str(finding) for finding in self.record.findings)]
        (self.folder / "run.txt").write_text("\n".join(lines) + "\n")


def play_seed(seed: int, load: Load, logs_folder: str) -> SoakVerdict:
    """Play the run of that seed; logs are kept below `logs_folder`, or nowhere if it is empty."""
    plan = draw_plan(seed, load)
    if logs_folder:
        return SoakRun(plan, Path(logs_folder).resolve() / str(seed)).play()
    with tempfile.TemporaryDirectory(prefix="pipitledge-soak-") as folder:
        return SoakRun(plan, Path(folder)).play()


def play_seeds(seeds: range, load: Load, jobs: int, logs_folder: str) -> Iterator[SoakVerdict]:
    """Play runs, `jobs` at a time, each in a process of its own; verdicts come in the order of the seeds."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(
        jobs, mp_context=context, initializer=end_with, initargs=(os.getpid(),), max_tasks_per_child=1
    ) as executor:
        futures = [executor.submit(play_seed, seed, load, logs_folder) for seed in seeds]
        for future in futures:
            yield future.result()
