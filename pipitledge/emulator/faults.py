"""What goes wrong with an attempt, by script or by seed; the points are those at which a connection can fail."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Fault(Enum):
    """One fault of one attempt, named by what the node meets."""

    NONE = "none"
    REFUSE = "refuse"  # the connection is refused
    HANG = "hang"  # it never comes up
    BREAK_BEFORE = "break-before"  # it breaks before the request's last byte
    BREAK_AFTER = "break-after"  # after it: the job runs, nobody hears of it
    BREAK_AMID = "break-amid"  # amid the answer, when the job has started
    SILENT = "silent"  # the job is accepted and runs; nothing is ever said
    ERROR = "error"  # 'failed', at its end
    LOST = "lost"  # 'lost', amid its run
    FULL = "full"  # turned away unstarted
    RETURNED = "returned"  # taken, then handed back unstarted
    SLOW = "slow"  # takes many times as long


RUNS = frozenset(Fault) - {Fault.REFUSE, Fault.HANG, Fault.BREAK_BEFORE, Fault.FULL, Fault.RETURNED}


@dataclass(slots=True)
class Faults:
    """Draws a fault for each attempt. A script names them by worker, or by job and attempt; it goes first."""

    seed: int = 0
    rates: Mapping[Fault, float] = field(default_factory=dict)  # share of attempts; what is left has none
    script: Mapping[tuple[str, int], Fault] = field(default_factory=dict)  # by job and attempt
    workers: Mapping[str, Mapping[Fault, float]] = field(default_factory=dict)  # rates of single workers
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Refuse rates that are none."""
        for rates in (self.rates, *self.workers.values()):
            if sum(rates.values()) > 1.0 + 1e-9 or min(rates.values(), default=0.0) < 0.0:
                raise ValueError("rates of faults must be from 0 to 1, together too")
        self._random = random.Random(self.seed)

    def draw(self, job: str, attempt: int, worker: str) -> Fault:
        """The fault of this attempt."""
        at = self._random.random()  # drawn always: a script must not shift what follows
        if (job, attempt) in self.script:
            return self.script[job, attempt]
        for fault, rate in self.workers.get(worker, self.rates).items():
            at -= rate
            if at < 0.0:
                return fault
        return Fault.NONE
