"""Health of a worker instance: failures of its tasks, avoidance and trial, and its speed.

The first failure of each task counts against the worker, and each success offsets one failure, so that the occasional
failures of any worker do not add up. A worker that fails clearly more often than it succeeds is avoided for a while and
then on trial: it gets one task at a time until one succeeds. If tasks of a job fail on several workers, the job is at
fault, and its failures no longer count against them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

FAILURES_BEFORE_AVOIDANCE = 3  # first failures of different tasks, less the later successes
MIN_AVOIDANCE_S = 2.0  # doubled with each avoidance in a row
MAX_AVOIDANCE_S = 16.0
TRIAL_TIMEOUT_S = 1.0  # on trial, the next task may start after this time even if the last one has not ended
UNHEALTHY_AVOIDANCE_S = 0.7  # after the worker refused a start because it is unhealthy
SPEED_SAMPLE_WEIGHT = 0.3  # weight of a new sample in the moving average
SLOW_SPEED = 0.4  # a worker below this relative speed counts as slow
SPEED_SAMPLE_RANGE = (0.05, 2.0)  # samples are clamped to it, because estimates are rough
MIN_SPEED_SAMPLES = 3  # samples before the average is used
SPEED_VALID_S = 4.0  # the average is discarded this long after the last sample


@dataclass(slots=True)
class WorkerHealth:
    """The health of one worker instance; times are in seconds of the steady clock."""

    failures_by_job: dict[str, int] = field(default_factory=dict)  # less the later successes
    avoid_until: float = 0.0
    avoidances: int = 0  # avoidances in a row, less the later successes
    on_trial: bool = False  # gets one task at a time until one succeeds
    trial_task: str = ""  # name of the task that runs as a trial; empty if none
    trial_at: float = -math.inf  # when the trial task was placed
    failed_at: float = -math.inf  # time of the last failure
    average_speed: float = 1.0  # relative speed: 1.0 means that tasks take as long as estimated
    samples: int = 0  # of the speed
    sampled_at: float = -math.inf
    stalled: bool = False  # avoided because a run made no progress

    def avoided(self, now: float) -> bool:
        """Whether the worker should get no tasks now."""
        return now < self.avoid_until

    @property
    def suspect(self) -> bool:
        """Whether the worker has failures that no success has offset yet."""
        return bool(self.failures_by_job) or self.on_trial

    def trial_pending(self, now: float) -> bool:
        """Whether the worker is on trial and the outcome of its trial task is awaited."""
        return self.on_trial and bool(self.trial_task) and now - self.trial_at < TRIAL_TIMEOUT_S

    def slow(self, now: float) -> bool:
        """Whether recent samples show that the worker is far slower than the estimates."""
        known = self.samples >= MIN_SPEED_SAMPLES and now - self.sampled_at < SPEED_VALID_S
        return known and self.average_speed < SLOW_SPEED

    @property
    def speed(self) -> float:
        """The average relative speed; 1.0 while there are too few samples."""
        return self.average_speed if self.samples >= MIN_SPEED_SAMPLES else 1.0

    def record_failure(self, job: str, now: float) -> bool:
        """Record the first failure of a task of a job; returns whether the worker is avoided from now on."""
        self.failed_at = now
        self.failures_by_job[job] = self.failures_by_job.get(job, 0) + 1
        if self.avoided(now):
            return False
        if not self.on_trial and self._failure_count() < FAILURES_BEFORE_AVOIDANCE:
            return False
        self.avoid(now)
        return True

    def avoid(self, now: float) -> None:
        """Avoid the worker for a while, twice as long each time, then put it on trial."""
        self.avoid_until = now + min(MAX_AVOIDANCE_S, MIN_AVOIDANCE_S * 2.0**self.avoidances)
        self.avoidances += 1
        self.on_trial = True

    def record_unhealthy(self, now: float) -> None:
        """Record that the worker reported itself unhealthy: avoid it briefly, then put it on trial."""
        self.avoid_until = max(self.avoid_until, now + UNHEALTHY_AVOIDANCE_S)
        self.on_trial = True

    def record_success(self, placed_at: float) -> None:
        """Record the success of a task that was placed on the worker at that time."""
        if placed_at >= self.failed_at:  # a task placed earlier does not show that the worker has recovered
            self.failures_by_job.clear()
            self.avoidances = max(0, self.avoidances - 1)
            self.on_trial = False
            self.stalled = False
        elif not self.on_trial:
            self._offset_failure()

    def discard_failures(self, job: str) -> None:
        """Discard the failures of a job that turned out to be at fault itself."""
        if self.failures_by_job.pop(job, None) is None or self.stalled:
            return
        if self._failure_count() < FAILURES_BEFORE_AVOIDANCE:
            self.avoid_until = 0.0
            self.on_trial = False
            self.avoidances = max(0, self.avoidances - 1)

    def record_speed(self, sample: float, now: float) -> None:
        """Add a sample of the worker's relative speed to the moving average."""
        low, high = SPEED_SAMPLE_RANGE
        if now - self.sampled_at >= SPEED_VALID_S:
            self.average_speed, self.samples = 1.0, 0  # the old average is outdated
        self.sampled_at = now
        self.average_speed += SPEED_SAMPLE_WEIGHT * (min(high, max(low, sample)) - self.average_speed)
        self.samples += 1

    def _failure_count(self) -> int:
        return sum(self.failures_by_job.values())

    def _offset_failure(self) -> None:
        """Remove one failure, offset by a success."""
        job = next(iter(self.failures_by_job), None)
        if job is None:
            return
        self.failures_by_job[job] -= 1
        if not self.failures_by_job[job]:
            del self.failures_by_job[job]
