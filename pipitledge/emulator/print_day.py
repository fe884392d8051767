"""Printers under virtual time, round the node's own dispatch and module: every exchange can fail at every point."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from pipitledge.decision.interface import JobArrived, JobClass, Listing, Settings, State, Worker, WorkersChanged
from pipitledge.decision.policy import Policy
from pipitledge.emulator.faults import Fault, Faults
from pipitledge.emulator.printer import Printer, PrintJob
from pipitledge.ipp.endings import ENDINGS
from pipitledge.ipp.model import Status
from pipitledge.ipp.placement import Ask, Phase, Placement, Verdict
from pipitledge.net.timers import Timers
from pipitledge.node.counters import Counters
from pipitledge.node.dispatch import Answer, Dispatch, Execution, Served, Throttle
from pipitledge.node.end_reasons import EndReason

WIRE_MS, DIAL_MS, QUIET_MS, AGAIN_MS = 1.0, 100.0, 500.0, 250.0  # a request's silence; between two looks
SETTINGS = Settings(
    classes=(JobClass(deadline_ms=20_000.0, objective_ms=8_000.0, stretch=2.0),),
    max_attempts=5,
    reports_starts=True,
    cancel=False,
    retry_after=True,
    max_retry_after_ms=2_000.0,
    cold_share=0.13,
    cold_ms=20_000.0,
    overload_factor=3.0,
    fall_ms=2_000.0,
)


class Run:
    """One execution at a printer: carries out what its placement asks for."""

    def __init__(self, day: PrintDay, execution: Execution) -> None:
        """Begin at once; the execution's deadline ends it whatever the printer does."""
        self.day, self.execution, self.printer = day, execution, day.printers[execution.worker]
        self.document = execution.query.arrival.job
        self.placement = Placement(f"{self.document}.{execution.number}", day.reconciles)
        self.job: PrintJob | None = None
        self.turn = 0  # an answer to an earlier request than the last is too late to be heard
        day.timers.at(execution.deadline_ms, lambda: self.do(self.placement.out_of_time()))
        self.do(self.placement.begin())

    def do(self, ask: Ask) -> None:
        """Take the next step."""
        self.turn += 1
        if ask is Ask.END:
            self.day.over(self)
        elif ask is Ask.LOOK_LATER:
            turn = self.turn
            self.day.at(AGAIN_MS, lambda: self.do(Ask.LOOK) if turn == self.turn else None)
        elif self.placement.phase is not Phase.OVER:
            {Ask.CREATE: self.create, Ask.SEND: self.send, Ask.LOOK: self.look, Ask.CANCEL: self.cancel}[ask]()

    def exchange(self, act: Callable[[], Callable[[], Ask]], amid: Callable[[], None] = lambda: None) -> None:
        """One request and its answer. `act` is what the printer does, and gives what its answer leads to."""
        day, turn = self.day, self.turn
        fault = day.faults.draw(self.document, self.execution.number, self.printer.name)
        day.met[self.placement.phase.value, fault.value] += 1

        def then(after_ms: float, told: Callable[[], Ask]) -> None:
            day.at(after_ms, lambda: self.do(told()) if turn == self.turn else None)

        if day.now() < day.quiet.get(self.printer.name, 0.0) or fault is Fault.HANG:
            then(DIAL_MS, self.placement.not_connected)
        elif fault in (Fault.REFUSE, Fault.BREAK_BEFORE):
            then(WIRE_MS, self.placement.not_connected)
        elif fault is Fault.BREAK_AMID:
            amid()
            then(2 * WIRE_MS, self.placement.broke)
        else:
            if fault is Fault.SILENT:  # it accepts, and then stops answering for a while
                day.quiet[self.printer.name] = day.now() + day.random.uniform(500.0, 6_000.0)
            answer = act()
            if fault is Fault.BREAK_AFTER:
                then(WIRE_MS, self.placement.broke)
            elif fault is Fault.SILENT:
                then(QUIET_MS, self.placement.broke)
            elif fault is Fault.SLOW:  # its answer comes when nobody listens any more
                then(QUIET_MS, self.placement.broke)
                then(2 * QUIET_MS, answer)
            else:
                then(2 * WIRE_MS, answer)

    def create(self) -> None:
        """Create-Job."""

        def act() -> Callable[[], Ask]:
            made = self.printer.create(self.day.now(), self.placement.name, self.document)
            if isinstance(made, Status):
                return lambda: self.placement.refused(made)
            self.job, up_time = made, self.printer.up_time
            return lambda: self.placement.created(made.id, up_time)

        self.exchange(act)

    def send(self) -> None:
        """Send-Document with the whole of it; amid: half of it came, and the printer may have begun."""
        job = self.job
        assert job is not None

        def act() -> Callable[[], Ask]:
            self.placement.document_began()
            self.day.dispatch.execution_progressed(self.execution, 0.0)
            if not self.printer.receive(self.day.now(), job, whole=True):
                return lambda: self.placement.refused(Status.NOT_FOUND)
            self.day.follow(self.printer)
            return self.placement.taken

        def amid() -> None:
            self.placement.document_began()
            if self.day.random.random() < 0.5:  # else it was lost on the way
                self.printer.receive(self.day.now(), job, whole=False)
            self.printer.broke_off(self.day.now(), job)

        self.exchange(act, amid)

    def look(self) -> None:
        """Get-Job-Attributes."""

        def act() -> Callable[[], Ask]:
            seen = self.printer.look(self.day.now(), self.placement.job_id)
            return lambda: self.placement.looked(seen)

        self.exchange(act)

    def cancel(self) -> None:
        """Cancel-Job."""

        def act() -> Callable[[], Ask]:
            status = self.printer.cancel(self.day.now(), self.placement.job_id)
            return lambda: self.placement.cancelled(status)

        self.exchange(act)


class PrintDay:
    """A node in front of printers, and clients that hand in labels."""

    def __init__(
        self,
        printers: int,
        rates: dict[Fault, float],
        seed: int,
        reconciles: bool = True,
        trusts: bool = False,
        restarts_s: float = 0.0,
    ) -> None:
        """Faults are drawn for each exchange. `trusts`: what may have printed is taken for unprinted (for tests)."""
        self.time, self.random = 1_000_000.0, random.Random(seed)
        self.faults, self.reconciles = Faults(seed, rates), reconciles
        self.endings = ENDINGS | ({Verdict.MAY_HAVE_PRINTED: EndReason.PROVED_UNPRINTED} if trusts else {})
        self.timers, self.counters, self.ledger = Timers(self.now), Counters(), Counter[str]()
        self.crashes: list[BaseException] = []
        clock: Any = self
        log: Any = lambda event, **fields: None  # noqa: E731
        self.dispatch = Dispatch(clock, self.timers, Policy(SETTINGS, seed), self.counters, log)
        self.dispatch.links = self
        self.printers = {
            f"p{n}": Printer(f"p{n}", self.ledger, started_ms=self.time - 1e6, now=self.time) for n in range(printers)
        }
        self.quiet: dict[str, float] = {}
        self.met, self.verdicts = Counter[tuple[str, str]](), Counter[str]()
        self.answers: dict[str, list[str]] = {}
        self.expected = 0
        self.placed: dict[str, list[Verdict]] = {}
        self.drained: dict[str, float] = {}
        self.latest_after_drain_ms = 0.0
        self.dispatch.workers_changed(WorkersChanged(Listing.FULL, tuple(Worker(name) for name in self.printers)))
        if restarts_s:
            for name in self.printers:
                first_ms = self.random.uniform(0.5, 1.5) * restarts_s * 1_000.0
                self.at(first_ms, lambda name=name: self.restart(name, restarts_s))  # type: ignore[misc]

    def now(self) -> float:
        """Virtual milliseconds."""
        return self.time

    def at(self, after_ms: float, action: Callable[[], None]) -> None:
        """Do something after so long."""
        self.timers.at(self.time + after_ms, action)

    def restart(self, name: str, every_s: float) -> None:
        """Power a printer off and on: ids begin again, jobs are gone, it is cold."""
        self.printers[name].restart(self.time)
        self.dispatch.workers_changed(WorkersChanged(Listing.DELTA, (Worker(name, started_ms=self.time),)))
        if len(self.answers) < self.expected or self.dispatch.queries:
            self.at(every_s * 1_000.0, lambda: self.restart(name, every_s))

    def drain(self, name: str) -> None:
        """printer-is-accepting-jobs turns false, and the node hears of it."""
        self.printers[name].accepting = False
        self.drained[name] = self.time
        self.dispatch.workers_changed(WorkersChanged(Listing.DELTA, (Worker(name, State.DRAINING),)))

    def submit(self, name: str) -> None:
        """A client hands in a label."""
        self.answers[name] = []

        def heard(answer: Answer) -> None:
            self.answers[name].append(
                "served" if isinstance(answer, Served) else "refused" if isinstance(answer, Throttle) else "failed"
            )

        self.dispatch.take(JobArrived(name, patience_ms=20_000.0), None, heard)

    def submissions(self, count: int, per_s: float) -> None:
        """So many, at random times."""
        at = 0.0
        self.expected += count
        for number in range(count):
            at += self.random.expovariate(per_s / 1_000.0)
            self.at(at, lambda number=number: self.submit(f"d{number:06d}"))  # type: ignore[misc]

    def follow(self, printer: Printer) -> None:
        """Let a printer finish what it prints when it is due."""

        def look() -> None:
            printer.advance(self.time)
            self.follow(printer)

        if printer.due() < float("inf"):
            self.timers.at(printer.due(), look)

    def start(self, execution: Execution) -> None:
        """In the place of the server links."""
        if execution.worker in self.drained:
            self.latest_after_drain_ms = max(self.latest_after_drain_ms, self.time - self.drained[execution.worker])
        Run(self, execution)

    def probe(self, worker: str) -> None:
        """No probes here."""

    def over(self, run: Run) -> None:
        """An execution has its verdict; a job left at the printer without its document is called off there."""
        verdict = run.placement.verdict
        assert verdict is not None
        if run.execution.ended:
            return
        self.verdicts[verdict.value] += 1
        self.placed.setdefault(run.document, []).append(verdict)
        if run.placement.leaves_orphan and run.job is not None:
            printer, number, name = run.printer, run.job.id, run.placement.name

            def call_off() -> None:
                seen = printer.look(self.time, number)
                if seen is not None and seen.name == name:  # a restarted printer gives its ids again
                    printer.cancel(self.time, number)

            self.at(AGAIN_MS, call_off)
        self.dispatch.ended(run.execution, self.endings[verdict], None, b"printed")

    def run(self) -> None:
        """Run until all have heard and nothing is out."""
        self.dispatch.round()
        while (wait := self.timers.wait_ms()) is not None:
            self.time += wait
            self.timers.run_due(self.crashes.append)
            self.dispatch.round()
            if self.crashes:
                raise self.crashes[0]
            if len(self.answers) == self.expected and not self.dispatch.queries:
                break
        for printer in self.printers.values():  # what they still hold may yet come out
            printer.advance(self.time + 600_000.0)

    def breaches(self) -> list[str]:
        """Documents printed twice, jobs without exactly one answer, answers that the ledger belies."""
        found = [f"{name} printed {count} times" for name, count in self.ledger.items() if count > 1]
        for name, heard in self.answers.items():
            if len(heard) != 1:
                found.append(f"{name}: {len(heard)} answers")
            elif heard[0] == "served" and self.ledger[name] != 1:
                found.append(f"{name}: served and printed {self.ledger[name]} times")
            elif heard[0] == "refused" and self.ledger[name]:
                found.append(f"{name}: refused and printed")
        return sorted(found)
