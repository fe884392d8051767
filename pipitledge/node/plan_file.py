"""The file of attempt plans: read at startup and again on SIGHUP, and applied only if all of it is valid."""

from __future__ import annotations

import pathlib
from collections.abc import Callable, Generator

from pipitledge.attempts.plans import Loaded, Loader, Plans
from pipitledge.conf.parse import finish
from pipitledge.conf.places import Mistake, Place, Severity, errors
from pipitledge.conf.reader import MOST_BYTES
from pipitledge.decision.interface import UNLIMITED, Plan
from pipitledge.net.scheduler import Scheduler
from pipitledge.net.timers import Clock
from pipitledge.node.config import Config
from pipitledge.node.counters import Counters, Log


class PlanFile:
    """Holds the current plans. An open query keeps the plan it started with, which is stored in the query."""

    def __init__(self, config: Config, scheduler: Scheduler, clock: Clock, counters: Counters, log: Log) -> None:
        """Set the path of the file; if it is empty, there is no file and every plan is unlimited."""
        self.path, self.scheduler, self.clock = config.attempts, scheduler, clock
        self.counters, self.log = counters, log
        self.loader = self._loader_for(config)
        self.plans = Plans()
        self._reading = False
        self._pending: tuple[Config, Callable[[bool], None]] | None = None

    def _loader_for(self, config: Config) -> Loader:
        return Loader(config.settings, dict(config.names.numbers.classes))

    def plan(self, job_class: int, target: bytes) -> Plan:
        """Return the plan for a request of this class with this request target."""
        return self.plans.plan(job_class, target.decode("latin-1")) if self.plans.classes else UNLIMITED

    def start(self) -> bool:
        """Read the file before the node serves; False if it can't be used, and the node must not start."""
        return not self.path or self._apply(finish(self._load(self.loader)), self.loader)

    def reload(self, config: Config, then: Callable[[bool], None]) -> None:
        """Read the file again and check it against these settings, in slices between which the node serves.

        `then` is called with whether the plans are valid, in the same scheduler step in which they are applied. If
        several reloads are requested while one runs, only the last of them is carried out after it.
        """
        if not self.path:
            then(True)
            return
        self._pending = config, then
        if not self._reading:
            self._reading = True
            self.scheduler.spawn(self._reload)

    def _reload(self) -> None:
        try:
            while self._pending is not None:
                (config, then), self._pending = self._pending, None
                loader = self._loader_for(config)
                loader.learned[: len(self.loader.learned)] = self.loader.learned
                steps = self._load(loader)
                while True:
                    try:
                        next(steps)
                        self._pause()
                    except StopIteration as end:
                        then(self._apply(end.value, loader))
                        break
        finally:
            self._reading = False

    def _pause(self) -> None:
        self.scheduler.wait(self.clock.now())

    def _load(self, loader: Loader) -> Generator[None, None, Loaded]:
        try:
            with pathlib.Path(self.path).open("rb") as file:
                data = file.read(MOST_BYTES + 1)
        except OSError as fault:
            return Loaded(None, [Mistake(Place(self.path), f"can't be read: {fault.strerror or fault}")])
        return (yield from loader.load(self.path, data))

    def _apply(self, loaded: Loaded, loader: Loader) -> bool:
        """Apply the plans, or keep the current ones if the file has errors; each error and warning is logged."""
        for mistake in loaded.mistakes:
            what = "plans-mistake" if mistake.severity is Severity.ERROR else "plans-warning"
            self.log(what, at=str(mistake.place), why=mistake.text)
        if loaded.plans is None:
            self.counters.add("plans.kept")
            self.log("plans", kept=self.path, mistakes=len(errors(loaded.mistakes)))
            return False
        self.plans, self.loader = loaded.plans, loader
        loader.apply(loaded.plans)
        self.counters.add("plans.read")
        self.log(
            "plans",
            file=self.path,
            classes=len(loaded.plans.classes),
            routes=len(loaded.plans.routes),
            warnings=len(loaded.mistakes),
        )
        return True


PlanOf = Callable[[int, bytes], Plan]


def unlimited(job_class: int, target: bytes) -> Plan:
    """Return the plan of a node that has no file of plans."""
    return UNLIMITED
