"""What a job is worth to the operator's goal, reckoned from what was asked and served so far. No I/O, no decisions.

The goal mixes the worth served as a whole with that of the worst-served class (`goal` in the settings). One job more
adds its worth to the whole, and to its class where that is the worst one; both as shares of what was asked. Sums fade
with DECAY_MS, as the mix of jobs changes.

    gain(job) = whole * w / sum of all asked worth  +  worst_class * badness(class) * w / asked worth of the class

`badness` is how likely the class ends as the worst one: 1 for the lowest served share, and fading within WORST_SPREAD of it,
all classes together 1. Where no goal is told, the whole is all that counts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from pipitledge.decision.interface import JobArrived, JobClass, Settings

CROSSING_MARGIN = 2.0  # times its price a crossing has to gain: it takes room from those near there, too
DECAY_MS = 20_000.0
DECAY_STEP_MS = 20.0  # between two looks
WORST_SPREAD = 0.15  # of served shares: two classes so near each other are served alike
PRIOR_JOBS = 5.0  # jobs of each class that count as asked and served before anything was


@dataclass(slots=True)
class ObjectiveTracker:
    """Asked and served worth by class, and what one job more would gain."""

    requested: list[float] = field(default_factory=list)
    served: list[float] = field(default_factory=list)
    first_tries: float = 0.0  # first tries, faded like the worth
    now_ms: float = -math.inf
    worst_chances: list[float] = field(default_factory=list)  # by class, all together 1
    settings: Settings = field(init=False, repr=False)

    def apply_settings(self, settings: Settings) -> None:
        """Take settings; classes that are new prior as served."""
        self.settings = settings
        for cls in settings.classes[len(self.requested) :]:
            prior = PRIOR_JOBS * self.value_of(cls, cls.objective_ms)
            self.requested.append(prior)
            self.served.append(prior)
            self.first_tries += PRIOR_JOBS
        self.worst_chances = self._worst_chances()

    def value_of(self, cls: JobClass, size_ms: float) -> float:
        """The worth of one job, in time."""
        return cls.worth * (size_ms if self.settings.value_by_work else 1.0)

    def decay(self, now_ms: float) -> None:
        """Let time pass."""
        if now_ms > self.now_ms + DECAY_STEP_MS:
            keep = math.exp((self.now_ms - now_ms) / DECAY_MS) if self.now_ms > -math.inf else 1.0
            self.now_ms, self.first_tries = now_ms, self.first_tries * keep
            self.requested = [value * keep for value in self.requested]
            self.served = [value * keep for value in self.served]
            self.worst_chances = self._worst_chances()

    def record_arrival(self, event: JobArrived, cls: JobClass, size_ms: float) -> None:
        """A request came; a client's own retry asks for nothing new."""
        if not event.is_retry:
            self.requested[event.job_class] += self.value_of(cls, size_ms)
            self.first_tries += 1.0

    def record_in_time(self, index: int, cls: JobClass, size_ms: float) -> None:
        """A job was served in time."""
        self.served[index] += self.value_of(cls, size_ms)

    def _worst_chances(self) -> list[float]:
        shares = [served / max(asked, 1e-9) for served, asked in zip(self.served, self.requested, strict=True)]
        least = min(shares)
        weights = [math.exp((least - share) / WORST_SPREAD) for share in shares]
        return [weight / sum(weights) for weight in weights]

    def gain(self, index: int, cls: JobClass, size_ms: float, late: bool) -> float:
        """What serving one job more adds to the goal: a share of its whole."""
        objective, worth = self.settings.objective, self.value_of(cls, size_ms) * (cls.late_share if late else 1.0)
        return worth * (
            objective.total / max(sum(self.requested), 1e-9)
            + objective.worst_class * self.worst_chances[index] / max(self.requested[index], 1e-9)
        )

    def pays_for_crossing(self, index: int, cls: JobClass, size_ms: float) -> bool:
        """Whether serving a job in another zone earns more than the crossing costs."""
        price = self.settings.cross_zone_price / max(self.first_tries, 1.0)
        return self.gain(index, cls, size_ms, False) > CROSSING_MARGIN * price
