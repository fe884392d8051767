"""Clients as a model: jobs that arrive by chance, patience, and their own retries as the protocol page has them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

from pipitledge.decision.interface import Repeat, Scope, Settings


@dataclass(frozen=True, slots=True)
class Kind:
    """One class of jobs as clients ask for it."""

    job_class: int
    path: str
    share: float
    work_ms: float = 100.0  # mean, on the yardstick machine
    spread: float = 0.5  # work is drawn from mean times 1 - spread to 1 + spread
    two_slots: float = 0.0  # share of jobs that take 2 slots
    patience_ms: float = 5_000.0


class Wanted(NamedTuple):
    """One request that a client makes. `first` is the id of the first try."""

    id: str
    key: str
    kind: Kind
    tenant: int
    slots: float
    work_ms: float
    born_ms: float
    tries: int = 1
    first: str = ""


class Clients:
    """Draws arrivals and decides on retries; ids and keys count up, so that runs can be told apart."""

    def __init__(
        self, settings: Settings, kinds: list[Kind], seed: int, retries: int = 0, wait_ms: float = 0.0
    ) -> None:
        """Retry so many times, at once or after a wait or the time the node told, whichever is longer."""
        self.settings, self.kinds, self.retries, self.wait_ms = settings, kinds, retries, wait_ms
        self.random = random.Random(seed)
        self._count = 0

    def gap_ms(self, per_s: float) -> float:
        """Time to the next arrival."""
        return self.random.expovariate(per_s / 1_000.0)

    def arrive(self, now: float) -> Wanted:
        """A new request."""
        self._count += 1
        [kind] = self.random.choices(self.kinds, [kind.share for kind in self.kinds])
        slots = 2.0 if self.random.random() < kind.two_slots else 1.0
        work = kind.work_ms * self.random.uniform(1.0 - kind.spread, 1.0 + kind.spread)
        name = f"j{self._count:07d}"
        return Wanted(
            name, f"k-{name}", kind, self.random.randrange(len(self.settings.tenants)), slots, work, now, 1, name
        )

    def again(self, wanted: Wanted, heard: str, retry_after_ms: float, now: float) -> tuple[float, Wanted] | None:
        """What a client does after an answer: nothing, or a new try with a new id after so many ms.

        A `free` request after any failure, a keyed one whose group is all likewise within its window; all others
        only after a refusal or where the node could not be reached ('unreached').
        """
        cls = self.settings.classes[wanted.kind.job_class]
        harmless = cls.repeat is Repeat.SAFE or (
            cls.repeat is Repeat.KEYED and cls.scope is Scope.ALL and now < wanted.born_ms + cls.window_ms
        )
        wait = max(self.wait_ms, retry_after_ms)
        left = wanted.born_ms + wanted.kind.patience_ms - now - wait
        if (
            heard == "served"
            or wanted.tries > self.retries
            or left <= 0.0
            or (heard not in ("refused", "unreached") and not harmless)
        ):
            return None
        tries = wanted.tries + 1
        return wait, wanted._replace(id=f"{wanted.first}.{tries}", tries=tries)
