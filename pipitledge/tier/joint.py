"""The stricter of two policies, while both bind. No I/O.

Another attempt only if both allow it, a class or tenant only if both have it, a wait only as long as both bear it.
Numbers are those of names: both settings are in the same ones (`settings_file.renumbered`).
"""

from __future__ import annotations

from dataclasses import replace

from pipitledge.decision.interface import UNLIMITED, JobClass, Plan, Repeat, Scope, Settings

_REPEATS = (Repeat.UNSAFE, Repeat.KEYED, Repeat.SAFE)  # stricter first
_SCOPES = (Scope.CELL, Scope.ZONE, Scope.ALL)


def stricter_class(old: JobClass, new: JobClass) -> JobClass:
    """What both allow a class. A keyed one keeps the narrower group and the shorter window."""
    repeat = min(old.repeat, new.repeat, key=_REPEATS.index)
    keyed = [job_class for job_class in (old, new) if job_class.repeat is Repeat.KEYED] or [new]
    return replace(
        new,
        repeat=repeat,
        deadline_ms=min(old.deadline_ms, new.deadline_ms),
        scope=min((job_class.scope for job_class in keyed), key=_SCOPES.index),
        window_ms=min(job_class.window_ms for job_class in keyed),
    )


def stricter(old: Settings, new: Settings) -> Settings:
    """What both allow. Where neither is stricter (worth, shares, the goal) the new one counts."""
    classes = tuple(
        stricter_class(*pair) if number < len(old.classes) else pair[1]
        for number, pair in enumerate(
            (old.classes[min(number, len(old.classes) - 1)], job_class) for number, job_class in enumerate(new.classes)
        )
    )
    return replace(
        new,
        classes=classes,
        max_attempts=min(old.max_attempts, new.max_attempts),
        second_copies=old.second_copies and new.second_copies,
        probes=old.probes and new.probes,
        cancel=old.cancel and new.cancel,
        retry_after=old.retry_after and new.retry_after,
        max_retry_after_ms=min(old.max_retry_after_ms, new.max_retry_after_ms),
        cold_share=min(old.cold_share, new.cold_share),
        cold_ms=max(old.cold_ms, new.cold_ms),
        overload_factor=min(old.overload_factor, new.overload_factor),
        fall_ms=max(old.fall_ms, new.fall_ms),
    )


def stricter_plan(old: Plan, new: Plan) -> Plan:
    """What both plans allow a request's attempts."""
    if old is UNLIMITED or old == new:
        return new
    if new is UNLIMITED:
        return old
    copy_ms = max(old.copy_after_ms(), new.copy_after_ms())
    attempt = [plan.attempt_ms for plan in (old, new) if plan.attempt_ms > 0.0]
    return Plan(
        attempts=min(old.attempts, new.attempts),
        retry_on=old.retry_on & new.retry_on,
        attempt_ms=min(attempt, default=0.0),
        total_ms=min(old.total_ms, new.total_ms),
        hold_ms=min(old.hold_ms, new.hold_ms),
        backoff_ms=(max(old.backoff_ms[0], new.backoff_ms[0]), max(old.backoff_ms[1], new.backoff_ms[1])),
        copy_ms=copy_ms,
        learned=new.learned,
    )
