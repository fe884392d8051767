"""From a file's sections to the plan in force for each class and route, every value with the line it came from."""

from __future__ import annotations

import difflib
from collections.abc import Collection, Generator, Mapping
from dataclasses import dataclass, field
from typing import Any

from pipitledge.attempts.check import Numbers, Rules, check, dead_letters
from pipitledge.attempts.learned import Learned
from pipitledge.attempts.routes import Equals, Routes, read_pattern
from pipitledge.conf.parse import Document, Section, parse
from pipitledge.conf.places import Mistake, Place, Severity, errors
from pipitledge.conf.units import show_ms
from pipitledge.decision.interface import UNLIMITED, Plan, Repeat, Result, Settings

OUTCOMES = {
    "connect-failed": Result.CONNECT_FAILED,
    "full": Result.FULL,
    "reset": Result.RESET,
    "timeout": Result.TIMEOUT,
    "error": Result.ERROR,
}
MOST_FOUND = 512  # paths remembered, at about 200 bytes
NEVER_RUN = frozenset({"connect-failed", "full"})


@dataclass(frozen=True, slots=True)
class Value:
    """One value in force, and where it was said; without a place it is what the settings or the rules say."""

    value: Any
    place: Place | None = None
    why: str = ""  # where there is no place


@dataclass(frozen=True, slots=True)
class InForce:
    """The plan for a class or route, as values with their origins and as the module takes it."""

    name: str  # `class order-pay` or `route /order-pay/express/*`
    job_class: int
    values: Mapping[str, Value]
    plan: Plan
    numbers: Numbers


@dataclass(slots=True)
class Plans:
    """What a file says, looked up for each request. Without a file, all have the plan that allows all."""

    classes: tuple[InForce, ...] = ()
    routes: tuple[InForce, ...] = ()
    _tree: Routes[Plan] = field(default_factory=Routes)
    _found: dict[str, Plan] = field(default_factory=dict)  # by path, as clients ask for the same ones over and over

    def plan(self, job_class: int, path: str) -> Plan:
        """The plan for a request of this class at this path."""
        if not self.classes:
            return UNLIMITED
        if not self.routes:
            return self._of_class(job_class)
        plan = self._found.get(path)
        if plan is None:
            if len(self._found) >= MOST_FOUND:  # paths with a client's own number in them
                self._found.clear()
            plan = self._found[path] = self._tree.find(path) or self._of_class(job_class)
        return plan

    def _of_class(self, job_class: int) -> Plan:
        """A class's own plan. Numbers have gaps once a class has vanished from the settings."""
        if job_class < len(self.classes) and self.classes[job_class].job_class == job_class:
            return self.classes[job_class].plan
        return next((entry.plan for entry in self.classes if entry.job_class == job_class), UNLIMITED)


@dataclass(slots=True)
class Loaded:
    """A file as far as it could be read; `plans` only where nothing in it is an error."""

    plans: Plans | None
    mistakes: list[Mistake]


def built_in(rules: Rules) -> dict[str, Value]:
    """What holds where a file says nothing: what the module does by itself."""
    outcomes = NEVER_RUN if rules.repeat is Repeat.UNSAFE else frozenset(OUTCOMES)
    return {
        "attempts": Value(rules.max_attempts, why="max_attempts"),
        "attempt-timeout": Value(None, why="none of its own"),
        "total-timeout": Value(rules.deadline_ms, why="deadline_ms"),
        "hold-timeout": Value(None, why="as long as it is of use"),
        "retry-on": Value(outcomes, why=f"repeat {rules.repeat.value}"),
        "backoff": Value((0, 0), why="none"),
        "second-copy": Value(None, why="none"),
        "retry-budget": Value(None, why="none"),
    }


def numbers_of(values: Mapping[str, Value]) -> Numbers:
    """The values as the checker takes them."""

    def of(keyword: str) -> Any:
        return values[keyword].value

    least, most = of("backoff")
    copy = of("second-copy")
    return Numbers(
        attempts=1 if of("retry-budget") and not of("retry-budget")[0] else of("attempts"),
        retry_on=of("retry-on"),
        attempt_ms=of("attempt-timeout"),
        total_ms=of("total-timeout"),
        hold_ms=of("hold-timeout"),
        backoff_ms=(least, most),
        copy_ms=None if copy is None else int(copy[1]) if copy[0] == "after" else 0,
        copy_learned=copy is not None and copy[0] == "percentile",
    )


def plan_of(values: Mapping[str, Value], learned: Learned) -> Plan:
    """The values as the module takes them."""
    inf = float("inf")

    def of(keyword: str, default: float) -> float:
        return values[keyword].value or default

    copy, results = values["second-copy"].value, {OUTCOMES[name] for name in values["retry-on"].value}
    if Result.TIMEOUT in results:  # given up by us, whether for its time or for its silence
        results.add(Result.CANCELLED)
    return Plan(
        attempts=values["attempts"].value,
        retry_on=frozenset(results),
        attempt_ms=of("attempt-timeout", 0.0),
        total_ms=of("total-timeout", inf),
        hold_ms=of("hold-timeout", inf),
        backoff_ms=values["backoff"].value,
        copy_ms=float(copy[1]) if copy and copy[0] == "after" else inf,
        copy_share=copy[1] if copy and copy[0] == "percentile" else 0.0,
        learned=learned,
    )


class Loader:
    """Reads files against one set of settings; what classes learn is kept from one file to the next."""

    def __init__(self, settings: Settings, names: Mapping[str, int], dial_timeout_ms: float = 0.0) -> None:
        """Take the operator's settings and the classes' names by index."""
        self.settings, self.names = settings, names
        self.rules = [Rules.of(settings, index) for index in range(len(settings.classes))]
        self.learned = [Learned() for _ in settings.classes]

    def load(self, file: str, data: bytes) -> Generator[None, None, Loaded]:
        """Read and check a file in slices; a file with any error gives no plans."""
        document = yield from parse(file, data)
        mistakes = document.mistakes
        mistakes += self._names(document)
        defaults: dict[str, Value] = {}
        by_class = dict[int, Section]()
        for section in document.sections:
            if section.kind == "defaults":
                defaults = self._values(section, mistakes)
            elif section.kind == "class" and section.name in self.names:
                by_class[self.names[section.name]] = section
        classes = list[InForce]()
        for name, index in sorted(self.names.items(), key=lambda item: item[1]):
            section_of = by_class.get(index)
            own = self._values(section_of, mistakes) if section_of else {}
            classes.append(self._in_force(f"class {name}", index, built_in(self.rules[index]) | defaults | own))
            mistakes += self._check(classes[-1], section_of.place if section_of else None, defaults | own)
        yield
        routes, tree = list[InForce](), Routes[Plan]()
        taken, patterns = list[Section](), list[tuple[str, ...]]()
        for count, section in enumerate(document.sections):
            if count % 10 == 9:
                yield
            if section.kind != "route" or (pattern := self._pattern(section, mistakes)) is None:
                continue
            taken.append(section)
            patterns.append(pattern)
            above = classes[self.names[pattern[0]]]
            own = self._overrides(section, above, mistakes)
            routes.append(self._in_force(f"route {section.name}", above.job_class, {**above.values, **own}))
            if own:  # a route without a value of its own is as sound as its class
                mistakes += self._check(routes[-1], section.place, own)
            tree.add(pattern, routes[-1].plan)
        seen = Equals()
        for second, pattern in enumerate(patterns):
            if second % 50 == 49:
                yield
            if (first := seen.add(pattern)) is not None:
                text = (
                    f"route {taken[second].name} and route {taken[first].name} (line {taken[first].place.line}) "
                    "match equally; make one of them longer"
                )
                mistakes.append(Mistake(taken[second].place, text))
        yield
        mistakes.sort(key=lambda mistake: (mistake.place.line, mistake.place.column))
        if errors(mistakes):
            return Loaded(None, mistakes)
        return Loaded(Plans(tuple(classes), tuple(routes), tree), mistakes)

    def apply(self, plans: Plans) -> None:
        """Put the classes' budgets in force; queries under way share them."""
        for entry in plans.classes:
            budget = entry.values["retry-budget"].value
            self.learned[entry.job_class].limit(*(budget or (float("inf"), 10_000)))

    def _in_force(self, name: str, index: int, values: Mapping[str, Value]) -> InForce:
        return InForce(name, index, values, plan_of(values, self.learned[index]), numbers_of(values))

    def _unknown(self, name: str) -> str:
        near = difflib.get_close_matches(name, self.names, 1, 0.6)
        hint = f"did you mean {near[0]!r}?" if near else f"the settings have {', '.join(self.names)}"
        return f"the settings have no class {name!r}; {hint}"

    def _names(self, document: Document) -> list[Mistake]:
        found = [
            Mistake(section.place, self._unknown(section.name))
            for section in document.sections
            if section.kind == "class" and section.name not in self.names
        ]
        return found + [
            Mistake(section.place, "printers stand in a file of their own, not among attempt plans")
            for section in document.sections
            if section.kind == "printer"
        ]

    def _values(self, section: Section, mistakes: list[Mistake]) -> dict[str, Value]:
        for setting in section.settings.values():
            if setting.override:
                mistakes.append(
                    Mistake(
                        setting.place,
                        "override belongs to a route; a class's value stands before the defaults' without it",
                    )
                )
        return {name: Value(setting.value, setting.place) for name, setting in section.settings.items()}

    def _pattern(self, section: Section, mistakes: list[Mistake]) -> tuple[str, ...] | None:
        """A route's pattern, whose first segment is the class that it says."""
        try:
            pattern = read_pattern(section.name)
        except ValueError as fault:
            mistakes.append(Mistake(section.place, f"route {section.name[:60]}: {fault}"))
            return None
        stated = section.of_class
        if stated is None:
            return None  # said when it was read
        if stated.value not in self.names:
            mistakes.append(Mistake(stated.place, self._unknown(stated.value)))
            return None
        if pattern[0] != stated.value:
            what = f"belong to class {pattern[0]}" if pattern[0] in self.names else "belong to no class"
            mistakes.append(
                Mistake(
                    stated.place,
                    f"requests to /{pattern[0]}/ {what}, not to {stated.value}: a path's first part is its class",
                )
            )
            return None
        return pattern

    def _overrides(self, section: Section, above: InForce, mistakes: list[Mistake]) -> dict[str, Value]:
        """A route's own values; one that changes its class's must say so, one that loosens it is named."""
        own = dict[str, Value]()
        for keyword, setting in section.settings.items():
            known, origin = above.values[keyword], f"class {section.of_class.value}" if section.of_class else ""
            said = f"{origin} has {show(keyword, known.value)} ({where(known)})"
            if setting.value == known.value:
                if setting.override:
                    mistakes.append(
                        Mistake(setting.place, f"override {keyword} changes nothing: {said}", Severity.WARNING)
                    )
                continue
            if keyword == "retry-budget":
                mistakes.append(Mistake(setting.place, "retry-budget is a class's: its routes share it"))
                continue
            own[keyword] = Value(setting.value, setting.place)
            if not setting.override:
                mistakes.append(
                    Mistake(
                        setting.place,
                        f"{keyword} {show(keyword, setting.value)} changes what "
                        f"{said}; write 'override {keyword} ...' if that is meant",
                    )
                )
            elif looser(keyword, known.value, setting.value):
                mistakes.append(
                    Mistake(
                        setting.place,
                        f"override {keyword} {show(keyword, setting.value)} is looser: {said}",
                        Severity.WARNING,
                    )
                )
        return own

    def _check(self, entry: InForce, place: Place | None, own: Collection[str]) -> list[Mistake]:
        """What the rules say against a plan, at the value that is to blame; `own` are those said right there."""
        rules, found = self.rules[entry.job_class], list[Mistake]()
        said = {word: value.place for word, value in entry.values.items() if value.place is not None}
        if not said:
            return found  # not of the file's making: the module alone bounds such a class, as without a file
        for breach in check(entry.numbers, rules):
            blamed = [said[word] for word in breach.keywords if word in said]
            found.append(Mistake([*blamed, place or next(iter(said.values()))][0], f"{entry.name}: {breach.text}"))
        for keyword, text in dead_letters(entry.numbers, rules) if not found else ():
            if keyword in said and keyword in own:
                found.append(Mistake(said[keyword], f"{entry.name}: {text}", Severity.WARNING))
        return found


def looser(keyword: str, old: Any, new: Any) -> bool:
    """Whether a value allows more: more attempts, longer, more outcomes, more or earlier copies."""
    if keyword == "attempts":
        return bool(new > old)
    if keyword in ("attempt-timeout", "total-timeout", "hold-timeout"):
        return old is not None and new > old
    if keyword == "retry-on":
        return bool(new - old)
    if keyword == "backoff":
        return bool(new[0] < old[0])
    if keyword == "second-copy":
        return new is not None and (old is None or old[0] != new[0] or new[1] < old[1])
    raise KeyError(keyword)


def show(keyword: str, value: Any) -> str:
    """A value as a file would say it."""
    if value is None:
        return "never" if keyword == "second-copy" else "none"
    if keyword == "attempts":
        return str(value)
    if keyword == "retry-on":
        return " ".join(name for name in OUTCOMES if name in value) or "never"
    if keyword == "backoff":
        return f"{show_ms(value[0])} to {show_ms(value[1])}"
    if keyword == "second-copy":
        return f"after {show_ms(value[1])}" if value[0] == "after" else f"after p{value[1] * 100:g}"
    if keyword == "retry-budget":
        return f"{value[0] * 100:g}% over {show_ms(value[1])}"
    return show_ms(value)


def where(value: Value) -> str:
    """Where a value was said."""
    return str(value.place) if value.place is not None else f"settings: {value.why}"
