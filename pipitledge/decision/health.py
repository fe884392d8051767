"""Health rules for workers and attempts: failure rates, overdue attempts, missing signs of life. No I/O, no decisions.

A connection may go silent while it stays open, with its job dead. A long-running job looks the same. So an attempt
first becomes overdue, and it is cancelled only if signs of life that the settings promise are missing.
"""

from __future__ import annotations

import math

from pipitledge.decision.interface import AttemptRecord, JobRecord, Repeat, Result, Settings, WorkerRecord

# Weight of one outcome in the failure rate of its worker, and of the fleet (about the last 50 outcomes).
OUTCOME_WEIGHT, FLEET_WEIGHT = 0.3, 0.02
UNREACHABLE_WEIGHT = 0.35  # of an outcome that shows an unreachable worker; two in a row eject it
RESET_WEIGHT = 0.15  # of a broken connection: its worker may be healthy, and a dead one breaks all its connections
OVERDUE_WEIGHT = 0.1  # of the end of one overdue attempt in the probability that overdue attempts are dead
# Results that are not listed have UNREACHABLE_WEIGHT.
OUTCOME_WEIGHTS = {Result.OK: OUTCOME_WEIGHT, Result.ERROR: OUTCOME_WEIGHT, Result.RESET: RESET_WEIGHT}
# An attempt is overdue after this many times its expected running time plus the margin.
OVERDUE_FACTOR, OVERDUE_MARGIN_MS = 4.0, 100.0
# An attempt is dead after this many progress intervals plus the margin without a sign of life. It is overtaken when one
# sent more than OVERTAKEN_MARGIN_MS later has started.
SILENCE_FACTOR, SILENCE_MARGIN_MS, OVERTAKEN_MARGIN_MS = 1.1, 200.0, 100.0
# A worker is ejected above this many times the failure rate of the fleet, and never below the minimum.
EJECTION_FACTOR, MIN_EJECTION_FAILURES = 4.0, 0.55
EJECTION_MS, MAX_EJECTION_MS = 1_000.0, 8_000.0  # first and longest time without jobs


def ejection_threshold(fleet: float) -> float:
    """Return the failure rate above which a worker is ejected; bounded, as much of the fleet may be dead at once."""
    return max(MIN_EJECTION_FAILURES, min(EJECTION_FACTOR * fleet, (1.0 + fleet) / 2.0))


def ejection_ms(worker: WorkerRecord) -> float:
    """Return how long an ejected worker gets no jobs: twice as long after each failed trial."""
    return min(MAX_EJECTION_MS, EJECTION_MS * 2.0**worker.trials_failed)


def was_overtaken(attempt: AttemptRecord, settings: Settings) -> bool:
    """Whether an attempt sent later has started although jobs start in order; then the earlier attempt is dead.

    The margin is longer than it takes to connect.
    """
    return (
        settings.starts_in_order
        and attempt.last_heard_ms == attempt.sent_ms < attempt.worker.latest_started_send_ms - OVERTAKEN_MARGIN_MS
    )


def is_overdue(job: JobRecord, attempt: AttemptRecord, now_ms: float) -> bool:
    """Whether an attempt has been outstanding for so long that it may be dead."""
    expected = OVERDUE_FACTOR * job.size_ms * math.exp(attempt.worker.slowness)
    return now_ms - (attempt.started_ms or attempt.sent_ms) > OVERDUE_MARGIN_MS + expected


def is_silent(job: JobRecord, attempt: AttemptRecord, overtaken: bool, settings: Settings, now_ms: float) -> bool:
    """Whether a sign of life is missing: progress of a running attempt, or the start of an overtaken one."""
    interval_ms = settings.progress_ms or math.inf
    paced = (
        SILENCE_FACTOR * interval_ms if settings.cancel and (settings.reports_starts or attempt.progress) else math.inf
    )
    limit_ms = 0.0 if overtaken and job.cls.repeat is not Repeat.UNSAFE else paced
    return now_ms - attempt.last_heard_ms > limit_ms + SILENCE_MARGIN_MS
