"""Search over the shipped agent and a sound worker: orders of events, and what the primary may conclude from reports.

A primary frees a run when a report says that it has ended; then the task may start elsewhere. A schedule is judged by
the one run that it starts: it must not be running once it was freed (TWICE), an end `done` that a leaving worker listed
must be among the reasons (DROPPED), and once all trouble is over it must be freed or running (LOST).
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable, Iterator

from msgspec import Struct

from pipitledge.wire.messages import AgentOrders, AgentReport
from tests.system.agent_worker import InstanceModel, LostCall, Sent, Site

TASK = "a"
LATE_S = 2.5  # until a call without an answer is executed
STEP_S = 0.05  # between two looks at what the worker runs
PAUSES_S = (0.1, 0.8, 6.0)
SETTLE_S = 16.0  # after the last event
MOST_EVENTS = 8


class Finding(Struct, frozen=True):
    """What a schedule broke."""

    kind: str
    events: str
    pause_s: float


class Schedule:
    """One order of events; each character of `events` names one, and they are `pause_s` apart."""

    def __init__(self, events: str, pause_s: float) -> None:
        self.events = events
        self.pause_s = pause_s
        self.site = Site()
        self.site.primary.on_report = self.check_report
        self.site.worker.lose_call = self.choose_loss
        self.losses: list[str] = []  # kinds of calls of which the next one gets no answer
        self.run_instance: InstanceModel | None = None
        self.freed = False
        self.freed_by_done = False
        self.findings: set[str] = set()
        self.actions = {
            "s": self.order_start,
            "L": lambda: self.losses.append("run-start"),
            "H": lambda: self.losses.append("hold"),
            "D": self.announce_exit,
            "G": self.announce_draining,
            "E": lambda: self.site.worker.finish(TASK),
            "B": self.deliver_late_heartbeat,
            "R": self.restart_agent,
            "O": self.lose_primary,
            "P": self.begin_term,
            "C": self.crash_worker,
            "X": self.site.worker.end,
        }

    def play(self) -> list[Finding]:
        """Play the schedule, and return what it broke."""
        self.site.settle()
        for event in self.events:
            self.actions[event]()
            self.run(self.pause_s)
        self.losses.clear()
        if not self.site.primary.reachable:
            self.begin_term()
        self.run(SETTLE_S)
        self.check_lost()
        return [Finding(kind, self.events, self.pause_s) for kind in sorted(self.findings)]

    def run(self, seconds: float) -> None:
        """Let time pass, and look at the worker again and again."""
        until = self.site.world.time + seconds
        while self.site.world.time < until - 1e-9:
            self.site.run(min(STEP_S, until - self.site.world.time))
            self.check_run()

    # ---- events

    def order_start(self) -> None:
        """The primary assigns the run to the instance that it knows."""
        instance = self.site.primary.instance
        self.run_instance = next(m for m in self.site.worker.instance_models if m.instance == instance)
        self.site.order_start(TASK)

    def choose_loss(self, sent: Sent) -> LostCall | None:
        if sent.kind not in self.losses:
            return None
        self.losses.remove(sent.kind)
        return LostCall(LATE_S)

    def announce_exit(self) -> None:
        agent = self.site.running_agent()
        if agent is not None and self.site.worker.listening:
            agent.leave(self.site.worker.instance_model.instance, lambda status, body: None)

    def announce_draining(self) -> None:
        if self.site.worker.listening:
            self.site.worker.drain()

    def deliver_late_heartbeat(self) -> None:
        """A heartbeat of an instance that ended before all others arrives."""
        ended = InstanceModel("i-0", 0.0, sequence=7)
        self.site.worker.deliver(ended, self.site.worker.heartbeat_body(ended))

    def restart_agent(self) -> None:
        self.site.kill()
        self.site.run(0.3)
        self.site.start()

    def lose_primary(self) -> None:
        self.site.primary.reachable = False

    def begin_term(self) -> None:
        """A new primary announces itself, without a grant, and answers from then on."""
        primary = self.site.primary
        primary.term += 1
        primary.reachable = True
        self.site.push(AgentOrders(term=primary.term, primary="p", address="p:1"))

    def crash_worker(self) -> None:
        if self.site.worker.listening:
            self.site.worker.crash(restart_after=0.2)

    # ---- judgement

    def check_report(self, report: AgentReport) -> None:
        """Free the run as the primary does."""
        run = self.run_instance
        if run is None or self.freed:
            return
        ends = [end for end in report.finished if end.task == TASK]
        is_over = run.instance in report.ended_instances or self._has_expired(report, run.instance)
        is_over = is_over or self._is_succeeded(report, run.instance)
        if ends or is_over or self._was_refused(report):
            self.freed = True
            self.freed_by_done = any(end.how == "done" for end in ends)
            self.site.primary.starts.clear()
            self.check_dropped(run)
            self.check_run()
        elif any(entry.task == TASK for entry in report.running):
            self.site.primary.starts.clear()

    def _has_expired(self, report: AgentReport, instance: str) -> bool:
        return report.lapsed_instance == instance and report.term == self.site.primary.term

    def _is_succeeded(self, report: AgentReport, instance: str) -> bool:
        """Whether another instance has answered under this term, which tells the primary that the one before ended."""
        answered = report.hold_number > 0 and report.hold_fence == self.site.primary.term
        return report.worker is not None and report.worker.instance != instance and answered

    def _was_refused(self, report: AgentReport) -> bool:
        """Whether the start was refused for certain."""
        listed = any(entry.task == TASK for entry in report.running)
        if report.worker is None or report.term != self.site.primary.term or listed:
            return False
        return any(
            result.task == TASK and result.outcome != "started" and report.hold_number >= result.at_hold
            for result in report.results
        )

    def check_dropped(self, run: InstanceModel) -> None:
        """An end that a living worker has listed must be among the reasons to free its run."""
        leaves_in_peace = "D" in self.events and not set(self.events) & set("CXHLROP")
        done = any(task == TASK and how == "done" for _, task, _, how, _ in run.ends)
        if leaves_in_peace and done and not self.freed_by_done:
            self.findings.add("DROPPED")

    def check_run(self) -> None:
        worker = self.site.worker
        if self.freed and worker.listening and TASK in worker.instance_model.running:
            self.findings.add("TWICE")

    def check_lost(self) -> None:
        worker = self.site.worker
        runs = worker.listening and TASK in worker.instance_model.running
        if self.run_instance is not None and not self.freed and not runs:
            self.findings.add("LOST")


def all_schedules(length: int, alphabet: str = "DGEBROPCXH") -> Iterator[tuple[str, float]]:
    """Every order of up to `length` different events after a start that is answered or executed late."""
    for count in range(length + 1):
        for events in itertools.permutations(alphabet, count):
            for start, pause_s in itertools.product(("s", "Ls"), PAUSES_S):
                yield start + "".join(events), pause_s


def drawn_schedules(seeds: range, alphabet: str = "DGEBROPCXHL") -> Iterator[tuple[str, float]]:
    """Drawn orders of up to eight events, of which some come more than once."""
    for seed in seeds:
        draw = random.Random(seed)
        events = draw.choices(alphabet, k=draw.randint(3, MOST_EVENTS - 1))
        yield draw.choice(("s", "Ls")) + "".join(events), draw.choice(PAUSES_S)


def search(schedules: Iterable[tuple[str, float]]) -> tuple[int, list[Finding]]:
    """Play schedules; return how many, and all that they broke."""
    played, findings = 0, []
    for events, pause_s in schedules:
        findings += Schedule(events, pause_s).play()
        played += 1
    return played, findings
