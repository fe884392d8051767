"""10,000 submissions to printers that fail at every point of every exchange, in virtual time; seeds fixed."""

from __future__ import annotations

import pathlib
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from pipitledge.emulator.faults import Fault
from pipitledge.emulator.print_day import PrintDay
from pipitledge.ipp.placement import Verdict

JOBS, DAYS, PRINTERS, PER_S, SHARE = 10_000, 5, 8, 12.0, 0.02
FAULTS = {
    fault: SHARE
    for fault in (
        Fault.REFUSE,
        Fault.HANG,
        Fault.BREAK_BEFORE,
        Fault.BREAK_AFTER,
        Fault.BREAK_AMID,
        Fault.SILENT,
        Fault.SLOW,
    )
}
WAYS = {
    "as it is": {},
    "printers restart every 20 s": {"restarts_s": 20.0},
    "without reconciliation": {"reconciles": False},
    "without the guard": {"trusts": True},
}


def play(way: str, seed: int) -> tuple[Counter[str], int, int, int]:
    """One day: answers, jobs proved unprinted and then printed elsewhere, breaches, documents printed twice."""
    day = PrintDay(PRINTERS, FAULTS, seed, **WAYS[way])  # type: ignore[arg-type]
    day.submissions(JOBS // DAYS, PER_S)
    day.run()
    heard = Counter(answers[0] if answers else "none" for answers in day.answers.values())
    moved = sum(Verdict.UNPRINTED in verdicts and verdicts[-1] is Verdict.PRINTED for verdicts in day.placed.values())
    return heard, moved, len(day.breaches()), sum(count > 1 for count in day.ledger.values())


def main() -> None:
    """Print one line for each way."""
    print(
        f"{JOBS} submissions in {DAYS} days, seeds 1 to {DAYS}, {PRINTERS} printers, {PER_S:g} a second, {SHARE:.0%} "
        f"of exchanges each: {', '.join(fault.value for fault in FAULTS)}"
    )
    with ProcessPoolExecutor() as pool:
        for way in WAYS:
            began = time.perf_counter()
            days = list(pool.map(play, [way] * DAYS, range(1, DAYS + 1)))
            heard = sum((day[0] for day in days), Counter())
            moved, breaches, twice = (sum(day[index] for day in days) for index in (1, 2, 3))
            print(
                f"  {way}: {', '.join(f'{name} {count}' for name, count in sorted(heard.items()))}; proved unprinted "
                f"and then printed elsewhere {moved}; printed twice {twice}; breaches {breaches} "
                f"({time.perf_counter() - began:.0f} s)",
                flush=True,
            )


if __name__ == "__main__":
    main()
