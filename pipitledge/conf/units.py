"""Numbers with units, read exactly: times, shares, counts, percentiles. A ValueError says what is off."""

from __future__ import annotations

from fractions import Fraction

MOST_MS = 24 * 3_600_000  # a day: far over any deadline, and far from what clocks or floats would round
MOST_COUNT = 1_000
_UNITS = {"ms": 1, "s": 1_000, "m": 60_000}


def _number(digits: str) -> Fraction:
    if len(digits) > 15:  # never converted: a number of a megabyte takes seconds
        raise ValueError(f"{digits[:12]}... is too long a number")
    return Fraction(digits)


def time_ms(text: str) -> int:
    """Read a time such as 300ms, 1.5s or 2m, from 0 to a day."""
    unit = "ms" if text.endswith("ms") else text[-1]
    value = _number(text[: -len(unit)]) * _UNITS[unit]
    if value.denominator != 1:
        raise ValueError(f"{text} is finer than 1ms")
    if value > MOST_MS:
        raise ValueError(f"{text} is over a day")
    return int(value)


def share(text: str) -> float:
    """Read a share such as 10%, from 0 to 100%."""
    value = _number(text[:-1])
    if value > 100:
        raise ValueError(f"{text} is over 100%")
    return float(value / 100)


def count(text: str) -> int:
    """Read a count from 1."""
    value = _number(text)
    if not 1 <= value <= MOST_COUNT:
        raise ValueError(f"{text[:12]} is out of range: 1 to {MOST_COUNT}")
    return int(value)


def percentile(text: str) -> float:
    """Read a percentile such as p95 as a share; over p0 and under p100."""
    value = _number(text[1:])
    if not 0 < value < 100:
        raise ValueError(f"{text[:12]} is out of range: over p0 and under p100")
    return float(value / 100)


def show_ms(value: float) -> str:
    """Write a time as a file would say it, in the largest unit that keeps it whole or short."""
    if value >= 1_000 and value % 100 == 0:
        return f"{value / 1_000:g}s"
    return f"{value:g}ms"
