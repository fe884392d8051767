"""The stand-ins under virtual time, round the node's own dispatch and decision module: no socket, no sleep.

A day of many thousand jobs takes seconds and goes the same way each time. In the place of the server links stands
`Links`: a message takes a moment each way, and every fault has the ending that real sockets would give it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from typing import Any

from pipitledge.attempts.plans import Plans
from pipitledge.decision.interface import (
    JobArrived,
    Listing,
    Repeat,
    Settings,
    State,
    WorkersChanged,
)
from pipitledge.decision.interface import Worker as Row
from pipitledge.decision.policy import Policy
from pipitledge.emulator.audit import Attempt, Audit
from pipitledge.emulator.client import Clients, Wanted
from pipitledge.emulator.faults import Fault, Faults
from pipitledge.emulator.worker import Job, Machine, Rack, Said, Worker
from pipitledge.net.timers import Timers
from pipitledge.node.counters import Counters
from pipitledge.node.dispatch import Answer, Dispatch, Execution, Served, Throttle
from pipitledge.node.end_reasons import RESULT_BY_END_REASON, EndReason

WIRE_MS, DIAL_MS, SLOW = 1.0, 100.0, 12.0
ENDS = {
    "done": EndReason.SERVED,
    "failed": EndReason.WORKER_FAILED,
    "lost": EndReason.JOB_LOST,
    "returned": EndReason.HANDED_BACK,
}
NEVER_RAN = {
    ending for ending, result in RESULT_BY_END_REASON.items() if result.value in ("full", "connect_failed", "moot")
}


class Day:
    """One node, its workers, and clients, from the first arrival until everything has ended."""

    def __init__(
        self,
        settings: Settings,
        machines: Iterable[Machine],
        clients: Clients,
        plans: Plans | None = None,
        faults: Faults | None = None,
        seed: int = 1,
        list_lag_ms: float = 200.0,
    ) -> None:
        """Set up; the list comes with the first event. `list_lag_ms` is how late discovery's news reach the node."""
        self.time, self.settings, self.clients = 1_000_000.0, settings, clients
        self.plans, self.faults, self.lag_ms = plans or Plans(), faults or Faults(), list_lag_ms
        self.audit = Audit(settings)
        self.timers = Timers(self.now)
        self.random = random.Random(seed)
        self.counters = Counters()
        self.crashes: list[BaseException] = []
        clock: Any = self
        log: Any = lambda event, **fields: None  # noqa: E731
        self.dispatch = Dispatch(clock, self.timers, Policy(settings, seed), self.counters, log)
        self.dispatch.links = self
        window = max((cls.window_ms for cls in settings.classes), default=0.0)
        racks = dict[int, Rack]()
        self.workers = {
            machine.name: Worker(machine, racks.setdefault(machine.cell, Rack(window)), self.audit)
            for machine in machines
        }
        self.hosts: dict[Job, Execution] = {}
        self.waking: dict[str, float] = {}
        self.latencies: dict[int, list[float]] = {index: [] for index in range(len(settings.classes))}
        self.in_time = [0] * len(settings.classes)
        self.asked = [0] * len(settings.classes)
        self.dispatch.workers_changed(WorkersChanged(Listing.FULL, tuple(self.row(name) for name in self.workers)))

    def now(self) -> float:
        """Virtual milliseconds."""
        return self.time

    def row(self, name: str, state: State = State.SERVING) -> Row:
        """A worker as discovery lists it."""
        worker = self.workers[name]
        started = worker.started_ms if worker.started_ms > 0 else 0.0
        machine = worker.machine
        return Row(name, state, machine.zone, machine.kind, machine.cell, 1.0, started)

    def at(self, after_ms: float, action: Callable[[], None]) -> None:
        """Do something after so long."""
        self.timers.at(self.time + after_ms, action)

    # ---- what happens on a day

    def tell(self, name: str, state: State) -> None:
        """Discovery's news of a worker reach the node."""
        (self.audit.told_back if state is State.SERVING else lambda n: self.audit.told_drain(n, self.time))(name)
        self.dispatch.workers_changed(WorkersChanged(Listing.DELTA, (self.row(name, state),)))

    def drain(self, name: str, back_after_ms: float = math.inf) -> None:
        """A worker drains; then, if it is to, it restarts cold and comes back."""
        self.at(self.lag_ms, lambda: self.tell(name, State.DRAINING))
        if back_after_ms < math.inf:
            self.at(back_after_ms, lambda: self.restart(name))

    def restart(self, name: str) -> None:
        """A worker dies and starts again, cold; what it held breaks."""
        for job in self.workers[name].restart(self.time):
            self.end(job, EndReason.BROKEN_AFTER_SENT)
        self.at(self.lag_ms, lambda: self.tell(name, State.SERVING))

    def arrivals(self, per_s: float, for_ms: float) -> None:
        """Let clients come for so long."""
        until = self.time + for_ms

        def come() -> None:
            self.ask(self.clients.arrive(self.time))
            gap = self.clients.gap_ms(per_s)
            if self.time + gap < until:
                self.at(gap, come)

        self.at(self.clients.gap_ms(per_s), come)

    def ask(self, wanted: Wanted) -> None:
        """A client hands in a request."""
        kind = wanted.kind
        patience = max(1.0, wanted.born_ms + kind.patience_ms - self.time)
        if wanted.tries == 1:
            self.asked[kind.job_class] += 1
        self.audit.taken(wanted.id, kind.job_class, wanted.key, self.time, patience)
        arrival = JobArrived(
            wanted.id,
            kind.job_class,
            wanted.tenant,
            patience,
            wanted.slots,
            plan=self.plans.plan(kind.job_class, kind.path),
        )
        self.dispatch.take(arrival, wanted, lambda answer: self.answered(wanted, answer))

    def answered(self, wanted: Wanted, answer: Answer) -> None:
        """A client hears."""
        kind = "served" if isinstance(answer, Served) else "refused" if isinstance(answer, Throttle) else "failed"
        self.audit.final(wanted.id, kind, self.time)
        if kind == "served":
            took, cls = self.time - wanted.born_ms, self.settings.classes[wanted.kind.job_class]
            self.latencies[wanted.kind.job_class].append(took)
            self.in_time[wanted.kind.job_class] += took <= cls.objective_ms + cls.stretch * wanted.work_ms
        after = answer.retry_after_ms if isinstance(answer, Throttle) else 0.0
        if (again := self.clients.again(wanted, kind, after, self.time)) is not None:
            wait, wanted = again
            self.at(wait, lambda: self.ask(wanted))

    def run(self) -> None:
        """Run until nothing is open and no attempt is out."""
        self.dispatch.round()
        idle_since = None
        while (wait := self.timers.wait_ms()) is not None:
            self.time += wait
            self.timers.run_due(self.crashes.append)
            self.dispatch.round()
            if self.crashes:
                raise self.crashes[0]
            busy = self.dispatch.queries or any(worker.running for worker in self.workers.values())
            idle_since = None if busy else idle_since or self.time
            if idle_since is not None and self.time > idle_since + 10_000.0:
                return

    # ---- in the place of the server links

    def dispatch_of(self, execution: Execution) -> Dispatch:
        """The node that an execution belongs to."""
        return self.dispatch

    def wire_ms(self, execution: Execution) -> float:
        """One way between an execution's node and its worker."""
        return WIRE_MS

    def start(self, execution: Execution) -> None:
        """Carry out an execution: what its fault makes of it."""
        wanted: Wanted = execution.query.passage
        worker = self.workers[execution.worker]
        fault = self.faults.draw(wanted.id, execution.number, execution.worker)
        machine = worker.machine
        attempt = self.audit.sent(wanted.id, machine.name, machine.cell, machine.zone, self.time)
        keyed = self.settings.classes[wanted.kind.job_class].repeat is Repeat.KEYED
        job = Job(
            wanted.id,
            wanted.key,
            wanted.slots,
            wanted.work_ms * (SLOW if fault is Fault.SLOW else 1.0),
            attempt,
            keyed,
            fault in (Fault.SILENT, Fault.BREAK_AFTER),
            {Fault.ERROR: "failed", Fault.LOST: "lost", Fault.RETURNED: "returned"}.get(fault, "done"),
        )
        self.hosts[job] = execution
        execution.wake = lambda: self.called_off(job)
        # The node gives up at the execution's deadline, whatever the worker does.
        self.timers.at(execution.deadline_ms, lambda: self.given_up(job, EndReason.OUT_OF_TIME))
        wire = self.wire_ms(execution)
        early = {
            Fault.REFUSE: (wire, EndReason.DIAL_REFUSED),
            Fault.HANG: (DIAL_MS, EndReason.DIAL_TIMEOUT),
            Fault.BREAK_BEFORE: (wire, EndReason.BROKEN_BEFORE_SENT),
            Fault.FULL: (2 * wire, EndReason.HANDED_BACK),
        }
        if fault in early:
            delay, ending = early[fault]
            self.at(delay, lambda: self.end(job, ending))
            return
        self.at(wire, lambda: self.arrive(worker, job))
        if fault is Fault.BREAK_AFTER:
            self.at(2 * wire, lambda: self.end(job, EndReason.BROKEN_AFTER_SENT))
        elif fault is Fault.BREAK_AMID:
            self.at(wire + wanted.work_ms / 2, lambda: self.end(job, EndReason.BROKEN_AFTER_SENT))

    def arrive(self, worker: Worker, job: Job) -> None:
        """The request's last byte came."""
        if not worker.offer(self.time, job):
            self.at(
                self.wire_ms(self.hosts[job]) if job in self.hosts else 0.0,
                lambda: self.end(job, EndReason.HANDED_BACK),
            )
        self.follow(worker)

    def follow(self, worker: Worker) -> None:
        """Pass on what a worker said, and look again when something is due."""
        for said in worker.take_said():
            wire = self.wire_ms(self.hosts[said.job]) if said.job in self.hosts else WIRE_MS
            self.at(wire, lambda said=said: self.hear(worker, said))  # type: ignore[misc]
        name, due = worker.machine.name, worker.due()
        if due < self.waking.get(name, math.inf):
            self.waking[name] = due

            def look() -> None:
                if self.waking.get(name) == due:
                    del self.waking[name]
                worker.advance_to(self.time)
                self.follow(worker)

            self.timers.at(due, look)

    def hear(self, worker: Worker, said: Said) -> None:
        """A line reaches the node."""
        execution = self.hosts.get(said.job)
        if execution is None:
            return
        if said.state in ENDS:
            self.end(said.job, ENDS[said.state], worker.report(self.time))
        else:
            self.dispatch_of(execution).execution_progressed(execution, said.share if said.state == "running" else 0.0)

    def end(self, job: Job, ending: EndReason, report: dict[str, float] | None = None) -> None:
        """The one ending of an execution."""
        execution = self.hosts.pop(job, None)
        if execution is None:
            return
        job.attempt.ended_ms, job.attempt.never_ran = self.time, ending in NEVER_RAN
        result = job.id.encode() if ending is EndReason.SERVED else b""
        self.dispatch_of(execution).ended(execution, ending, report, result)

    def given_up(self, job: Job, ending: EndReason) -> None:
        """The node stops waiting for an execution; the job may run on."""
        if job in self.hosts:
            execution = self.hosts[job]
            self.end(job, ending)
            self.at(self.wire_ms(execution), lambda: self.workers[execution.worker].cancel(self.time, job))

    def called_off(self, job: Job) -> None:
        """The dispatch woke the link: the module cancelled."""
        self.at(0.0, lambda: self.given_up(job, EndReason.CALLED_OFF))

    def probe(self, worker: str) -> None:
        """Answer a probe."""
        self.at(
            2 * WIRE_MS,
            lambda: self.dispatch.probe_ended(
                worker, EndReason.SERVED, 2 * WIRE_MS, self.workers[worker].report(self.time)
            ),
        )


def attempts_of(audit: Audit, job: str) -> list[Attempt]:
    """What was sent for a job."""
    return audit.jobs[job].attempts
