"""Signs that a worker or an attempt is not well: failures, being overdue, silence. No I/O, no decisions.

A connection may fall silent and stay open, its job dead. A long job looks the same, so an attempt is overdue first, and
given up only where signs of life that it owes are missing.
"""

from __future__ import annotations

import math

from pipitledge.decision.interface import AttemptRecord, JobRecord, Repeat, Result, Settings, WorkerRecord

OUTCOME_WEIGHT, FLEET_WEIGHT = 0.3, 0.02  # weight of one outcome in a worker's failures, in the fleet's (50)
UNREACHABLE_WEIGHT = 0.35  # of one that shows a worker is not there; it takes two, as it does of plain errors
RESET_WEIGHT = 0.15  # of a broken connection: its worker may be well, and one that is gone breaks all of them
OVERDUE_WEIGHT = 0.1  # of one overdue attempt's end in the chance that such ones are dead
OUTCOME_WEIGHTS = {
    Result.OK: OUTCOME_WEIGHT,
    Result.ERROR: OUTCOME_WEIGHT,
    Result.RESET: RESET_WEIGHT,
}  # of others UNREACHABLE_WEIGHT
OVERDUE_FACTOR, OVERDUE_MARGIN_MS = 4.0, 100.0  # times its expected running time, and this much more
SILENCE_FACTOR, SILENCE_MARGIN_MS, OVERTAKEN_MARGIN_MS = (
    1.1,
    200.0,
    100.0,
)  # times the pace of notes, and this much more: it is dead
EJECTION_FACTOR, MIN_EJECTION_FAILURES = (
    4.0,
    0.55,
)  # set aside at so many times the fleet's failures, and so many at least
EJECTION_MS, MAX_EJECTION_MS = 1_000.0, 8_000.0  # first, longest time aside


def ejection_threshold(fleet: float) -> float:
    """Failures up to which a worker is taken for well, by those of the fleet: many may be dead."""
    return max(MIN_EJECTION_FAILURES, min(EJECTION_FACTOR * fleet, (1.0 + fleet) / 2.0))


def ejection_ms(worker: WorkerRecord) -> float:
    """How long a worker gets no jobs: longer after each trial that failed."""
    return min(MAX_EJECTION_MS, EJECTION_MS * 2.0**worker.trials_failed)


def was_overtaken(attempt: AttemptRecord, settings: Settings) -> bool:
    """Whether later sends overtaken it where jobs start in order: then it is dead, as to connect takes less."""
    return (
        settings.starts_in_order
        and attempt.last_heard_ms == attempt.sent_ms < attempt.worker.latest_started_send_ms - OVERTAKEN_MARGIN_MS
    )


def is_overdue(job: JobRecord, attempt: AttemptRecord, now_ms: float) -> bool:
    """Whether it has been out for so long that it may be dead."""
    expected = OVERDUE_FACTOR * job.size_ms * math.exp(attempt.worker.slowness)
    return now_ms - (attempt.started_ms or attempt.sent_ms) > OVERDUE_MARGIN_MS + expected


def is_silent(job: JobRecord, attempt: AttemptRecord, overtaken: bool, settings: Settings, now_ms: float) -> bool:
    """Whether signs of life that it owes are missing: those of a job that runs, or the start of one overtaken by."""
    notes = settings.progress_ms or math.inf
    paced = SILENCE_FACTOR * notes if settings.cancel and (settings.reports_starts or attempt.progress) else math.inf
    silent = 0.0 if overtaken and job.cls.repeat is not Repeat.UNSAFE else paced
    return now_ms - attempt.last_heard_ms > silent + SILENCE_MARGIN_MS
