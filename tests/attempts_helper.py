"""Settings and files for the tests of attempt plans."""

from __future__ import annotations

from dataclasses import replace

from pipitledge.attempts.plans import Loaded, Loader
from pipitledge.conf.parse import finish
from pipitledge.decision.interface import JobClass, Repeat, Settings

NAMES = {"menu-plan": 0, "slot-book": 1, "order-pay": 2}
STANDARD = Settings(
    classes=(
        JobClass(5_000, 100, 1.75, worth=1, repeat=Repeat.SAFE),
        JobClass(5_000, 100, 2.5, worth=3),
        JobClass(5_000, 100, 2.5, worth=10, repeat=Repeat.KEYED, window_ms=7_500),
    ),
    max_attempts=6,
    second_copies=True,
    cancel=True,
    resolution_ms=4,
    retry_after=True,
    max_retry_after_ms=2_000,
    reports_starts=True,
    progress_ms=2_000,
    report_fields=("lat_ms", "q", "x0"),
    reports_with_answers=True,
    free_slots_field="x0",
    cold_share=0.13,
    cold_ms=22_000,
    overload_factor=3,
    fall_ms=2_000,
)


def keyed(**changes: float) -> Settings:
    """The standard settings with another keyed class."""
    return replace(STANDARD, classes=(*STANDARD.classes[:2], replace(STANDARD.classes[2], **changes)))


SETTINGS = {
    "std": STANDARD,
    "long": keyed(deadline_ms=10_000),
    "short": keyed(window_ms=1_000, objective_ms=3_000),
    "plain": replace(STANDARD, max_attempts=2, second_copies=False, cancel=False),
}


def load(text: str | bytes, kind: str = "std") -> Loaded:
    """Read a file called f.conf."""
    data = text.encode() if isinstance(text, str) else text
    return finish(Loader(SETTINGS[kind], NAMES).load("f.conf", data))
