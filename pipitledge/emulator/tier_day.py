"""Several nodes of a tier on one virtual day: the list pushed or asked, loads told or not, zones apart.

Each node is the node's own dispatch round a module, or round one of three plain balancers to compare with. Nodes share
the workers and nothing else, as real ones do. What the settings don't promise is not told: no starts where they say
`tells_start` false, no report in answers where reports come by probes, no weights but the nominal ones.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from typing import Any

from pipitledge.decision import interface as api
from pipitledge.decision.interface import NEVER_RAN, Listing, Settings, State, WorkersChanged
from pipitledge.decision.policy import Policy
from pipitledge.emulator.client import Clients, Wanted
from pipitledge.emulator.virtual import ENDS, Day
from pipitledge.emulator.worker import Job, Machine, Rack, Said, Worker
from pipitledge.node.dispatch import Dispatch, Execution
from pipitledge.node.end_reasons import EndReason

SAME_MS, CROSS_MS, ASKED_MS, WEIGHTS_MS = 0.5, 8.0, 5.0, 1_000.0


class Plain:
    """A plain balancer in the module's place: round robin, least of its own open, or random; it refuses nothing."""

    KINDS = ("round robin", "least open", "random")

    def __init__(self, kind: str, settings: Settings, seed: int) -> None:
        """Know nobody yet."""
        self.kind, self.settings, self.now = kind, settings, 0.0
        self.actions: list[api.Action] = []
        self.random = random.Random(seed)
        self.rows: dict[str, State] = {}
        self.open: dict[str, int] = {}
        self.jobs: dict[str, list[str]] = {}  # by job: the workers it was sent to
        self.turn, self.asked = 0, False

    def _send(self, job: str) -> None:
        serving = [name for name, state in sorted(self.rows.items()) if state is State.SERVING]
        if not serving:
            self.actions.append(api.Refuse(job))
            return
        self.turn += 1
        worker = {
            "round robin": lambda: serving[self.turn % len(serving)],
            "least open": lambda: min(serving, key=lambda name: self.open.get(name, 0)),
            "random": lambda: self.random.choice(serving),
        }[self.kind]()
        self.jobs[job].append(worker)
        self.open[worker] = self.open.get(worker, 0) + 1
        self.actions.append(api.Send(job, worker))

    def handle(self, now_ms: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Send what comes; send again only what never ran."""
        self.now, self.actions = now_ms, []
        if self.settings.must_subscribe and not self.asked:
            self.asked = True
            self.actions.append(api.Subscribe())
        for event in events:
            if isinstance(event, WorkersChanged):
                self.rows = {} if event.listing is not Listing.DELTA else self.rows
                self.rows |= {row.id: row.state for row in event.workers}
            elif isinstance(event, api.JobArrived):
                self.jobs[event.job] = []
                self._send(event.job)
            elif isinstance(event, api.AttemptEnded):
                self.open[event.worker] -= 1
                if event.closed:
                    self.jobs.pop(event.job, None)
                elif event.result in NEVER_RAN and len(self.jobs[event.job]) < self.settings.max_attempts:
                    self._send(event.job)
                else:
                    self.actions.append(api.Refuse(event.job) if event.result in NEVER_RAN else api.Fail(event.job))
        return self.actions


class Side:
    """One node: its dispatch, and its end of the wires."""

    def __init__(self, day: TierDay, settings: Settings, brain: Policy | Plain) -> None:
        """Follow a pushed list at once, an asked one when the brain asks."""
        self.day, self.settings = day, settings
        clock: Any = day
        log: Any = lambda event, **fields: None  # noqa: E731
        self.dispatch = Dispatch(clock, day.timers, brain, day.counters, log)  # type: ignore[arg-type]
        self.dispatch.links = self
        self.follows = not settings.must_subscribe
        self.dispatch.watch = lambda: day.at(ASKED_MS, self._answered)

    def _answered(self) -> None:
        if not self.follows:
            self.follows = True
            self.dispatch.workers_changed(WorkersChanged(Listing.FULL, self.day.rows()))
            self.day.told_all()

    def start(self, execution: Execution) -> None:
        """Carry an execution out."""
        self.day.sides_of[execution] = self
        self.day.start(execution)

    def probe(self, worker: str) -> None:
        """Answer a probe, with a report where the deployment has any."""
        wire = 2 * self.day.between(self, worker)
        report = self.day.workers[worker].report(self.day.time) if self.settings.report_fields else None
        self.day.at(wire, lambda: self.dispatch.probe_ended(worker, EndReason.SERVED, wire, report))


class TierDay(Day):
    """A day of several nodes."""

    def __init__(
        self,
        settings: Sequence[Settings],
        machines: Iterable[Machine],
        clients: Clients,
        seed: int = 1,
        brain: Callable[[Settings, int], Policy | Plain] = Policy,
    ) -> None:
        """One settings object for each node; clients come to the nodes in turn, by their weight in `traffic`."""
        self.sides: list[Side] = []
        self.states: dict[str, State] = {}  # as discovery has them
        self.sides_of: dict[Execution, Side] = {}
        super().__init__(settings[0], machines, clients, seed=seed)

        def group(machine: Machine) -> int:
            return 0 if scope is api.Scope.ALL else machine.zone if scope is api.Scope.ZONE else machine.cell

        scope = next((cls.scope for cls in settings[0].classes if cls.repeat is api.Repeat.KEYED), api.Scope.CELL)
        groups: dict[int, Rack] = {}
        for worker in self.workers.values():  # those that drop each other's repeats
            worker.rack = groups.setdefault(group(worker.machine), worker.rack)
        self.brains = [brain(use, seed + number) for number, use in enumerate(settings)]
        self.sides = [Side(self, use, made) for use, made in zip(settings, self.brains, strict=True)]
        self.dispatch = self.sides[0].dispatch
        self.traffic = [1.0 + number for number in range(len(self.sides))]  # unlike, as sites are
        for side in self.sides:
            listing = Listing.FULL if side.follows else Listing.CACHED
            side.dispatch.workers_changed(WorkersChanged(listing, self.rows()))

    def rows(self) -> tuple[api.Worker, ...]:
        """The whole list as it is now."""
        return tuple(self.row(name, self.states.get(name, State.SERVING)) for name in self.workers)

    def row(self, name: str, state: State = State.SERVING) -> api.Worker:
        """A worker as the list has it, with its weight of now where weights move."""
        worker = self.workers[name]
        size = worker.machine.slots * worker.machine.speed
        held = len(worker.running) + len(worker.queue)
        weight = size / (1.0 + held / worker.machine.slots) if self.settings.live_weights else size
        return super().row(name, state)._replace(weight=weight)

    def tell(self, name: str, state: State) -> None:
        """Discovery's news of a worker reach those who follow."""
        self.states[name] = state
        if state is State.SERVING:
            self.audit.told_back(name)
        for side in self.sides:
            if side.follows:
                side.dispatch.workers_changed(WorkersChanged(Listing.DELTA, (self.row(name, state),)))
        self.told_all()

    def told_all(self) -> None:
        """Count drains as told once every node follows the list: until then some don't know."""
        if all(side.follows for side in self.sides):
            for name, state in self.states.items():
                if state is not State.SERVING:
                    self.audit.told_drain(name, self.time)

    def weigh(self, until_ms: float) -> None:
        """Renew live weights until that time."""
        for side in self.sides:
            if side.follows:
                side.dispatch.workers_changed(WorkersChanged(Listing.DELTA, self.rows()))
        if self.time < until_ms:
            self.at(WEIGHTS_MS, lambda: self.weigh(until_ms))

    def ask(self, wanted: Wanted) -> None:
        """A client comes to one of the nodes."""
        [side] = self.random.choices(self.sides, self.traffic)
        self.dispatch = side.dispatch
        super().ask(wanted)

    def dispatch_of(self, execution: Execution) -> Dispatch:
        """The node that an execution belongs to."""
        return self.sides_of[execution].dispatch

    def between(self, side: Side, worker: str) -> float:
        """One way between a node and a worker."""
        return SAME_MS if self.workers[worker].machine.zone == side.settings.zone else CROSS_MS

    def wire_ms(self, execution: Execution) -> float:
        """One way between an execution's node and its worker."""
        return self.between(self.sides_of[execution], execution.worker)

    def hear(self, worker: Worker, said: Said) -> None:
        """A line reaches the node, if the settings promise it."""
        told = {"started": self.settings.reports_starts, "running": self.settings.progress_ms > 0.0}
        if told.get(said.state, said.state in ENDS):
            super().hear(worker, said)

    def end(self, job: Job, ending: EndReason, report: dict[str, float] | None = None) -> None:
        """The one ending of an execution; reports only where answers carry them."""
        super().end(job, ending, report if self.settings.reports_with_answers else None)

    def run(self) -> None:
        """Run until no node has anything open."""
        idle_since = None
        while True:
            for side in self.sides:
                side.dispatch.round()
            if self.crashes:
                raise self.crashes[0]
            if (wait := self.timers.wait_ms()) is None:
                return
            self.time += wait
            self.timers.run_due(self.crashes.append)
            busy = any(side.dispatch.queries for side in self.sides) or any(
                worker.running for worker in self.workers.values()
            )
            idle_since = None if busy else idle_since or self.time
            if idle_since is not None and self.time > idle_since + 10_000.0:
                return

    def worth(self) -> float:
        """The worth served in time over the worth asked for."""
        worths = [cls.worth for cls in self.settings.classes]
        asked = sum(worth * count for worth, count in zip(worths, self.asked, strict=True))
        return sum(worth * count for worth, count in zip(worths, self.in_time, strict=True)) / max(asked, 1e-9)

    def broken(self) -> list[str]:
        """Every rule that was broken, cold workers' bound and module faults too."""
        found = self.audit.breaches()
        bound = self.settings.overload_factor
        found += [
            f"cold: {name} was offered {worker.worst_cold:.1f} times what it could do"
            for name, worker in self.workers.items()
            if worker.worst_cold > bound
        ]
        found += [
            f"{name}: {count}"
            for name, count in self.counters.counts.items()
            if name.startswith("fault") or name == "query.overdue"
        ]
        return found


def numbered(settings: Settings, nodes: int, zones: int) -> list[Settings]:
    """The same settings for each node of a tier, with its number and zone."""
    return [replace(settings, instances=nodes, number=number, zone=number % zones) for number in range(nodes)]
