"""How well a worker does what it is given: failures, trials after them, and its pace.

Each first failure of a task counts against its worker and each success for it, so that the few failures that any
worker has don't add up. One that fails clearly more than it succeeds is avoided for a while and then tried with one
task at a time. A job whose tasks fail on several workers is to blame itself, and those workers are pardoned.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

FAILURES_BEFORE_AVOIDANCE = 3  # different tasks, at their first failure, beyond the successes since
MIN_AVOIDANCE_S = 2.0
MAX_AVOIDANCE_S = 16.0
TRIAL_TIMEOUT_S = 1.0  # another task is tried after that, though the outcome of the one before isn't known
UNHEALTHY_AVOIDANCE_S = 0.7  # after it refused a start as unhealthy
SPEED_SAMPLE_WEIGHT = 0.3  # of one sample
SLOW_SPEED = 0.4  # below it a worker counts as slow
SPEED_SAMPLE_RANGE = (0.05, 2.0)  # of one sample: estimates are rough
MIN_SPEED_SAMPLES = 3  # before its pace is believed
SPEED_VALID_S = 4.0  # after its last sample


@dataclass(slots=True)
class WorkerHealth:
    """What is known of one life of a worker."""

    failures_by_job: dict[str, int] = field(default_factory=dict)  # failures by job, less the successes since
    avoid_until: float = 0.0
    avoidances: int = 0
    on_trial: bool = False
    trial_task: str = ""  # that is under way
    trial_at: float = -math.inf  # when it was placed
    failed_at: float = -math.inf
    average_speed: float = 1.0  # work done per time, against the estimates
    samples: int = 0
    sampled_at: float = -math.inf
    stalled: bool = False

    def avoided(self, now: float) -> bool:
        """Whether it should get nothing now."""
        return now < self.avoid_until

    @property
    def suspect(self) -> bool:
        """Whether more failed there lately than went well."""
        return bool(self.failures_by_job) or self.on_trial

    def trial_pending(self, now: float) -> bool:
        """Whether it is on trial and the outcome of the present one has to be waited for."""
        return self.on_trial and bool(self.trial_task) and now - self.trial_at < TRIAL_TIMEOUT_S

    def slow(self, now: float) -> bool:
        """Whether it is known to work far slower than the estimates."""
        known = self.samples >= MIN_SPEED_SAMPLES and now - self.sampled_at < SPEED_VALID_S
        return known and self.average_speed < SLOW_SPEED

    @property
    def speed(self) -> float:
        """Its pace as far as it is believed."""
        return self.average_speed if self.samples >= MIN_SPEED_SAMPLES else 1.0

    def record_failure(self, job: str, now: float) -> bool:
        """A task failed there for its first time; whether the worker is avoided from now on."""
        self.failed_at = now
        self.failures_by_job[job] = self.failures_by_job.get(job, 0) + 1
        if self.avoided(now):
            return False
        if not self.on_trial and self._failure_count() < FAILURES_BEFORE_AVOIDANCE:
            return False
        self.avoid(now)
        return True

    def avoid(self, now: float) -> None:
        """Give it nothing for a while, longer each time."""
        self.avoid_until = now + min(MAX_AVOIDANCE_S, MIN_AVOIDANCE_S * 2.0**self.avoidances)
        self.avoidances += 1
        self.on_trial = True

    def record_unhealthy(self, now: float) -> None:
        """It called itself unhealthy: leave it alone for a moment."""
        self.avoid_until = max(self.avoid_until, now + UNHEALTHY_AVOIDANCE_S)
        self.on_trial = True

    def record_success(self, placed_at: float) -> None:
        """A task that was placed there at that time ended well."""
        if placed_at >= self.failed_at:  # else it may have turned bad since
            self.failures_by_job.clear()
            self.avoidances = max(0, self.avoidances - 1)
            self.on_trial = False
            self.stalled = False
        elif not self.on_trial:
            self._offset_failure()

    def discard_failures(self, job: str) -> None:
        """The failures of that job turned out to be its own."""
        if self.failures_by_job.pop(job, None) is None or self.stalled:
            return
        if self._failure_count() < FAILURES_BEFORE_AVOIDANCE:
            self.avoid_until = 0.0
            self.on_trial = False
            self.avoidances = max(0, self.avoidances - 1)

    def record_speed(self, sample: float, now: float) -> None:
        """Some work was done at that pace."""
        low, high = SPEED_SAMPLE_RANGE
        if now - self.sampled_at >= SPEED_VALID_S:
            self.average_speed, self.samples = 1.0, 0  # what was known is old
        self.sampled_at = now
        self.average_speed += SPEED_SAMPLE_WEIGHT * (min(high, max(low, sample)) - self.average_speed)
        self.samples += 1

    def _failure_count(self) -> int:
        return sum(self.failures_by_job.values())

    def _offset_failure(self) -> None:
        """Let a success make up for one failure."""
        job = next(iter(self.failures_by_job), None)
        if job is None:
            return
        self.failures_by_job[job] -= 1
        if not self.failures_by_job[job]:
            del self.failures_by_job[job]
