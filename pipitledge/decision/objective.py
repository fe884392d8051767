"""The gain of a job for the operator's objective, from the value requested and served so far. No I/O, no decisions.

The objective is a weighted mix of the value served in total and the value served in the worst-served class (`goal` in
the settings), each as a share of the value requested. Serving one more job adds its value to the total, and to its
class in case that is the worst one. The sums decay with time constant DECAY_MS, as the mix of jobs changes.

    gain(job) = total * value / requested value of all classes
              + worst_class * worst_chance(class) * value / requested value of the class

`worst_chance` is the probability that a class ends as the worst-served one. It is highest for the class with the lowest
served share, falls exponentially with the distance from that share (scale WORST_SPREAD), and sums to 1 over all
classes. Where the settings state no objective, only the total counts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from pipitledge.decision.interface import JobArrived, JobClass, Settings

# A job crosses zones only if it gains this many times the price, as it also takes capacity from the jobs of that zone.
CROSSING_MARGIN = 2.0
DECAY_MS = 20_000.0
DECAY_STEP_MS = 20.0  # least time between two decay steps
WORST_SPREAD = 0.15  # classes with served shares closer than this count as served about equally
PRIOR_JOBS = 5.0  # jobs per class that count as requested and served at the start


@dataclass(slots=True)
class ObjectiveTracker:
    """Requested and served value by class, and the gain of serving one more job."""

    requested: list[float] = field(default_factory=list)
    served: list[float] = field(default_factory=list)
    first_tries: float = 0.0  # decaying count of requests, without clients' own retries
    now_ms: float = -math.inf
    worst_chances: list[float] = field(
        default_factory=list
    )  # by class: probability of being the worst-served one; sum 1
    settings: Settings = field(init=False, repr=False)

    def apply_settings(self, settings: Settings) -> None:
        """Apply settings; a class that is new starts with a prior of requested and served jobs."""
        self.settings = settings
        for cls in settings.classes[len(self.requested) :]:
            prior = PRIOR_JOBS * self.value_of(cls, cls.objective_ms)
            self.requested.append(prior)
            self.served.append(prior)
            self.first_tries += PRIOR_JOBS
        self.worst_chances = self._worst_chances()

    def value_of(self, cls: JobClass, size_ms: float) -> float:
        """Return the value of one job served in time."""
        return cls.worth * (size_ms if self.settings.value_by_work else 1.0)

    def decay(self, now_ms: float) -> None:
        """Decay the sums up to the present, at most once per DECAY_STEP_MS."""
        if now_ms > self.now_ms + DECAY_STEP_MS:
            keep = math.exp((self.now_ms - now_ms) / DECAY_MS) if self.now_ms > -math.inf else 1.0
            self.now_ms, self.first_tries = now_ms, self.first_tries * keep
            self.requested = [value * keep for value in self.requested]
            self.served = [value * keep for value in self.served]
            self.worst_chances = self._worst_chances()

    def record_arrival(self, event: JobArrived, cls: JobClass, size_ms: float) -> None:
        """Count the value of a request; a client's own retry adds nothing."""
        if not event.is_retry:
            self.requested[event.job_class] += self.value_of(cls, size_ms)
            self.first_tries += 1.0

    def record_in_time(self, index: int, cls: JobClass, size_ms: float) -> None:
        """Count the value of a job served in time."""
        self.served[index] += self.value_of(cls, size_ms)

    def _worst_chances(self) -> list[float]:
        shares = [served / max(requested, 1e-9) for served, requested in zip(self.served, self.requested, strict=True)]
        least = min(shares)
        weights = [math.exp((least - share) / WORST_SPREAD) for share in shares]
        return [weight / sum(weights) for weight in weights]

    def gain(self, index: int, cls: JobClass, size_ms: float, late: bool) -> float:
        """Return what serving one more job adds to the objective, as a share of its maximum."""
        objective, value = self.settings.objective, self.value_of(cls, size_ms) * (cls.late_share if late else 1.0)
        return value * (
            objective.total / max(sum(self.requested), 1e-9)
            + objective.worst_class * self.worst_chances[index] / max(self.requested[index], 1e-9)
        )

    def pays_for_crossing(self, index: int, cls: JobClass, size_ms: float) -> bool:
        """Whether serving a job in another zone gains more than the crossing costs, by CROSSING_MARGIN."""
        price = self.settings.cross_zone_price / max(self.first_tries, 1.0)
        return self.gain(index, cls, size_ms, False) > CROSSING_MARGIN * price
