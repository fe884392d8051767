"""Schedules of faults for the fleet rig: a file in lines, or a seed. Each fault is tied to an event, none to a time.

    nodes 3                                 how many; also: seed, carrier tcp|datagrams, disks, sealed, loss 10%,
    disks                                   repeat 5%, delay 2ms to 25ms, load 20 (jobs a second at each node)
    when n0 sends accept to n1: kill n0     once, when that message is on its way; `after 2` lets two pass first
    when n2 logs lease=lost: start n1       once, when the node logs a line with these words
    propose n0                              a step, and so are: kill, pause, wake, start, upgrade NODE, cut A B, heal,
    await n1 in force                       hold KIND, release, drop, vouch NODE OTHER, abort NODE
    await all quiet                         no change is under way at those that run
    settle                                  all is healed and started; the tier has to agree, and to change once more

A mistake is told with its line. After the last step the auditor looks at what clients, workers and logs have shown.
"""

from __future__ import annotations

import pathlib
import random
import re
from collections.abc import Callable
from dataclasses import dataclass, field

from pipitledge.conf import units
from pipitledge.conf.places import Mistake, Place
from pipitledge.conf.reader import read_line, split
from pipitledge.emulator.fleet import ANY, Fleet, Report, Rule

KINDS = (
    "ask",
    "grant",
    "prepare",
    "promise",
    "outbid",
    "accept",
    "accepted",
    "drop",
    "joined",
    "fetch",
    "told",
    "pull",
    "piece",
    "recover",
    "recovered",
    "where",
    ANY,
)
_ONE = ("kill", "pause", "wake", "start", "upgrade", "propose", "abort")


@dataclass(slots=True)
class Step:
    """One line: the words of what is done, and when."""

    words: tuple[str, ...]
    place: Place
    sends: tuple[str, str, str, int] | None = None  # sender, kind, to, how many pass before
    logs: tuple[str, str] | None = None  # node, words


@dataclass(slots=True)
class Schedule:
    """What a file says."""

    nodes: int = 3
    seed: int = 1
    datagrams: bool = False
    disks: bool = False
    sealed: bool = False
    loss: float = 0.0
    repeat: float = 0.0
    delay_ms: tuple[float, float] = (0.0, 0.0)
    load: float = 10.0
    steps: list[Step] = field(default_factory=list)

    @property
    def names(self) -> list[str]:
        """The nodes' names."""
        return [f"n{number}" for number in range(self.nodes)]


class _Wrong(Exception):
    """What is wrong with a line."""


def parse(name: str, data: bytes) -> tuple[Schedule, list[Mistake]]:
    """Read a schedule; every mistake with its line."""
    schedule, mistakes = Schedule(), list[Mistake]()
    for number, raw in enumerate(split(data), 1):
        text = read_line(name, number, raw, mistakes).strip()
        if not text:
            continue
        place = Place(name, number, 1)
        try:
            _line(schedule, text, place)
        except _Wrong as fault:
            mistakes.append(Mistake(place, str(fault)))
    if not schedule.steps and not mistakes:
        mistakes.append(Mistake(Place(name), "no step"))
    return schedule, mistakes


def _line(schedule: Schedule, text: str, place: Place) -> None:
    word, *rest = text.split()
    if word == "when":
        condition, colon, action = text.partition(": ")
        if not colon:
            raise _Wrong("when ... is followed by ': ' and a step")
        schedule.steps.append(_when(schedule, condition.split()[1:], action.split(), place))
    elif not _header(schedule, word, rest):
        _check_step(schedule, [word, *rest])
        schedule.steps.append(Step((word, *rest), place))


def _header(schedule: Schedule, word: str, rest: list[str]) -> bool:
    try:
        if word == "nodes" and len(rest) == 1:
            schedule.nodes = units.count(rest[0])
            if schedule.nodes > 9:
                raise ValueError("nodes: 9 at most")
        elif word == "seed" and len(rest) == 1:
            schedule.seed = int(rest[0])
        elif word == "carrier" and rest in (["tcp"], ["datagrams"]):
            schedule.datagrams = rest == ["datagrams"]
        elif word in ("disks", "sealed") and not rest:
            setattr(schedule, word, True)
        elif word in ("loss", "repeat") and len(rest) == 1:
            if not re.fullmatch(r"[0-9.]+%", rest[0]):
                raise ValueError(f"{word}: a share such as 10%")
            setattr(schedule, word, units.share(rest[0]))
        elif word == "delay" and len(rest) == 3 and rest[1] == "to":
            if not all(re.fullmatch(r"[0-9.]+(ms|s|m)", word) for word in (rest[0], rest[2])):
                raise ValueError("delay: times such as 2ms to 25ms")
            schedule.delay_ms = units.time_ms(rest[0]), units.time_ms(rest[2])
        elif word == "load" and len(rest) == 1:
            schedule.load = float(units.count(rest[0]))
        else:
            if word in ("nodes", "seed", "carrier", "disks", "sealed", "loss", "repeat", "delay", "load"):
                raise ValueError(f"{word}: not as it is written; see the head of emulator/schedule.py")
            return False
    except ValueError as fault:
        raise _Wrong(str(fault)) from None
    return True


def _node(schedule: Schedule, name: str) -> str:
    if name not in schedule.names:
        raise _Wrong(f"no node {name!r}; there are {', '.join(schedule.names)}")
    return name


def _when(schedule: Schedule, condition: list[str], action: list[str], place: Place) -> Step:
    if len(condition) < 3 or condition[1] not in ("sends", "logs"):
        raise _Wrong("when NODE sends KIND [to NODE] [after N], or when NODE logs WORDS")
    if not action:
        raise _Wrong("no step after ': '")
    _check_step(schedule, action)
    node = condition[0] if condition[0] == ANY else _node(schedule, condition[0])
    if condition[1] == "logs":
        return Step(tuple(action), place, logs=(node, " ".join(condition[2:])))
    kind, to, skip, rest = condition[2], ANY, 0, condition[3:]
    if kind not in KINDS:
        raise _Wrong(f"no message {kind!r}; there are {', '.join(KINDS)}")
    while rest:
        if len(rest) < 2 or rest[0] not in ("to", "after"):
            raise _Wrong(f"{rest[0]!r}: to NODE or after N")
        if rest[0] == "to":
            to = _node(schedule, rest[1])
        else:
            skip = int(rest[1]) if rest[1].isdecimal() else 0
        rest = rest[2:]
    return Step(tuple(action), place, sends=(node, kind, to, skip))


def _check_step(schedule: Schedule, words: list[str]) -> None:
    word, *rest = words
    if word in _ONE and len(rest) == 1:
        _node(schedule, rest[0])
    elif word in ("cut", "vouch") and len(rest) == 2:
        for name in rest:
            _node(schedule, name)
    elif word == "hold" and len(rest) == 1:
        if rest[0] not in KINDS:
            raise _Wrong(f"no message {rest[0]!r}; there are {', '.join(KINDS)}")
    elif word == "await" and len(rest) >= 2:
        if rest[0] != "all":
            _node(schedule, rest[0])
        if rest[1:] not in (["in", "force"], ["outcome"], ["quiet"]) and rest[1] != "logs":
            raise _Wrong("await NODE in force, await NODE outcome, await NODE quiet or await NODE logs WORDS")
    elif words not in (["heal"], ["settle"], ["release"], ["drop"]):
        raise _Wrong(f"no step {' '.join(words)!r}; see the head of emulator/schedule.py")


class Play:
    """Plays a schedule on a fleet."""

    def __init__(self, fleet: Fleet, schedule: Schedule) -> None:
        """Set the network's faults; `run` plays the steps."""
        self.fleet, self.schedule = fleet, schedule
        network = fleet.network
        network.loss, network.repeat, network.delay_ms = schedule.loss, schedule.repeat, schedule.delay_ms
        self.changes: list[tuple[str, str]] = []  # node and id
        self.later: list[Step] = []  # steps that an event has asked for, and that wait themselves
        self.report = Report(schedule.seed)
        self.rules: list[Rule] = []

    def run(self) -> Report:
        """Play all steps, and say what was found."""
        fleet, began = self.fleet, self.fleet.clock.now()
        fleet.watch()
        if self.schedule.load:
            fleet.load(self.schedule.load)
        for step in self.schedule.steps:
            if step.sends is not None:
                sender, kind, to, skip = step.sends
                self.rules.append(
                    fleet.when_sent(sender, kind, self._action(step), to, drops=step.words == ("drop",), skip=skip)
                )
            elif step.logs is not None:
                fleet.when_logged(*step.logs, self._action(step))
            else:
                self._do(step)
            while self.later:
                self._do(self.later.pop(0))
        if self.schedule.load:
            fleet.stop_load()
        self.report.armed, self.report.fired = len(self.rules), sum(rule.fired > 0 for rule in self.rules)
        self.report.violations = fleet.violations() + self._lost()
        self.report.seconds = (fleet.clock.now() - began) / 1_000.0
        return self.report

    def _lost(self) -> list[str]:
        """What the audit of jobs has found, less what died with a process."""
        killed = self.fleet.killed_jobs
        return [
            breach
            for breach in self.fleet.audit.breaches()
            if not (breach.split(":")[0] in killed and "0 final answers" in breach)
        ]

    def _action(self, step: Step) -> Callable[[], None]:
        def act() -> None:
            if step.words[0] in ("propose", "abort", "vouch"):  # these wait, and a relay must not
                self.later.append(step)
            elif step.words != ("drop",):
                self._do(step)

        return act

    def _do(self, step: Step) -> None:
        fleet, (word, *rest) = self.fleet, step.words
        if word == "kill":
            fleet.kill(rest[0])
        elif word == "pause":
            fleet.nodes[rest[0]].pause()
        elif word == "wake":
            fleet.nodes[rest[0]].wake()
        elif word == "start":
            if not fleet.nodes[rest[0]].runs:
                fleet.nodes[rest[0]].start()
        elif word == "upgrade":
            fleet.upgrade(rest[0])
        elif word == "cut":
            fleet.network.cuts.add((rest[0], rest[1]))
        elif word == "heal":  # a fault whose message has not come is withdrawn, so that two never add up
            fleet.network.cuts.clear()
            fleet.network.rules.clear()
        elif word == "hold":
            kind = rest[0]
            fleet.network.hold = lambda sender, what, to: kind in (ANY, what)
        elif word == "release":
            fleet.network.release()
        elif word == "propose":
            self._propose(rest[0])
        elif word == "abort":
            fleet.call(rest[0], "POLICY ABORT")
        elif word == "vouch":
            fleet.call(rest[0], f"POLICY VOUCH {rest[1]}")
        elif word == "await":
            self._await(rest)
        elif word == "settle":
            self._settle()

    def _propose(self, name: str) -> None:
        change = self.fleet.propose(name)
        if change.startswith("-"):
            self.report.outcomes.append(("not taken up", change[5:]))
        else:
            self.changes.append((name, change))

    def _await(self, words: list[str]) -> None:
        fleet = self.fleet
        names = [name for name, node in fleet.nodes.items() if node.runs] if words[0] == "all" else [words[0]]
        if words[1] == "outcome":
            for name, change in [pair for pair in self.changes if pair[0] in names]:
                self.changes.remove((name, change))
                self.report.outcomes.append(fleet.outcome(name, change))
            self._follow()
        elif words[1] == "quiet":
            fleet.until(
                lambda: self._is_quiet([name for name in names if fleet.nodes[name].runs]),
                f"no change under way at {names}",
            )
            self._follow()
        elif words[1] == "logs":
            wanted = " ".join(words[2:])
            fleet.until(lambda: all(any(wanted in line for line in fleet.nodes[name].lines) for name in names), wanted)
        else:
            fleet.until(
                lambda: (
                    len({fleet.stands(name) for name in names}) == 1
                    and fleet.stands(names[0])[1] == "in force"
                    and fleet.stands(names[0])[0] > fleet.version
                ),
                f"a newer version than {fleet.version} in force at {names}",
            )
            self._follow()

    def _is_quiet(self, names: list[str]) -> bool:
        while self.later:
            self._do(self.later.pop(0))
        under_way = [
            "under way" in self.fleet.call(name, f"POLICY OUTCOME {change}")
            for name, change in self.changes
            if name in names
        ]
        states = [self.fleet.status(name) for name in names if self.fleet.nodes[name].runs]
        return not any(under_way) and all(
            state and state["change"] is None and state["stage"] == "in force" for state in states
        )

    def _follow(self) -> None:
        """The newest version that any node has logged is the one that the next change is made from."""
        self.fleet.version = max(self.fleet.version, *(self.fleet.stands(name)[0] for name in self.fleet.nodes))

    def _settle(self) -> None:
        """Heal all and start all: the tier has to agree, to take up a change, and to have it in force everywhere."""
        fleet = self.fleet
        fleet.network.cuts.clear()
        fleet.network.rules.clear()
        fleet.network.release()
        for node in fleet.nodes.values():
            node.wake()
            if not node.runs:
                node.start()
        fleet.until(lambda: all(fleet.admits(name) for name in fleet.nodes), "all admit again")
        states: list[dict[str, object]] = []

        def agreed() -> bool:
            states[:] = [fleet.status(name) for name in fleet.nodes]
            return (
                all(states)
                and len({state["digest"] for state in states}) == 1
                and all(
                    state["admits"] and state["stage"] == "in force" and state["change"] is None for state in states
                )
            )

        fleet.until(agreed, "all agree")
        self._follow()
        known = {change for _, change in self.changes}
        for name, change in self.changes:
            answer = fleet.call(name, f"POLICY OUTCOME {change}")
            self.report.outcomes.append(("told", answer))
        self.changes.clear()
        fleet.version = int(str(states[0]["version"]))
        change = fleet.propose(next(iter(fleet.nodes)))
        if change.startswith("-"):
            fleet.faults.append(f"not settled: {change}")
            return
        result = fleet.outcome(next(iter(fleet.nodes)), change)
        if result[0] != "in force" or change in known:
            fleet.faults.append(f"not settled: {result}")
            return
        fleet.in_force_everywhere(fleet.version + 1)
        fleet.version += 1


def drawn(seed: int, nodes: int = 3) -> Schedule:
    """A schedule by chance: two changes with a fault at some message of each, then all heals."""
    draw = random.Random(seed)
    schedule = Schedule(
        nodes,
        seed,
        datagrams=draw.random() < 0.3,
        disks=draw.random() < 0.5,
        sealed=draw.random() < 0.3,
        loss=draw.choice([0.0, 0.0, 0.1, 0.3]),
        repeat=draw.choice([0.0, 0.2]),
        delay_ms=draw.choice([(0.0, 0.0), (1.0, 25.0)]),
    )
    names, place = schedule.names, Place(f"seed {seed}")

    def step(*words: str, sends: tuple[str, str, str, int] | None = None) -> None:
        schedule.steps.append(Step(words, place, sends=sends))

    for _ in range(2):
        proposer, victim = draw.choice(names), draw.choice(names)
        kind = draw.choice(["prepare", "promise", "accept", "accepted", "joined", "where"])
        others = [name for name in names if name != proposer]
        sender = proposer if kind in ("prepare", "accept") else draw.choice(others)
        trigger = (sender, kind, ANY, draw.choice([0, 0, 0, 1]))
        fault = draw.choice(["kill", "pause", "cut", "drop", "upgrade", "propose"])
        if fault == "cut":
            step("cut", victim, draw.choice([name for name in names if name != victim]), sends=trigger)
        elif fault == "drop":
            step("drop", sends=trigger)
        elif fault == "propose":
            step("propose", draw.choice([name for name in names if name != proposer]), sends=trigger)
        else:
            step(fault, victim, sends=trigger)
        step("propose", proposer)
        step("await", "all", "quiet")
        step("heal")
        if fault in ("kill", "pause"):
            step("start" if fault == "kill" else "wake", victim)
            step("await", "all", "quiet")
    step("settle")
    return schedule


def play(schedule: Schedule, folder: pathlib.Path) -> Report:
    """Start a fleet, play a schedule, and end all."""
    with Fleet(
        folder,
        schedule.nodes,
        schedule.seed,
        datagrams=schedule.datagrams,
        disks=schedule.disks,
        key=b"a key of the rig's own" if schedule.sealed else b"",
    ) as fleet:
        return Play(fleet, schedule).run()
