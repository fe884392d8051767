"""Days with silent or failing workers, with and without second copies; and an audit of many jobs under all faults.

Virtual time: the result depends on size and seeds alone, not on the machine.
"""

from __future__ import annotations

import pathlib
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from pipitledge.attempts.plans import Loader, Plans
from pipitledge.conf.parse import finish
from pipitledge.emulator import site
from pipitledge.emulator.client import Clients
from pipitledge.emulator.faults import Fault, Faults
from pipitledge.emulator.virtual import Day

SECONDS, SEEDS, WORKERS = 30.0, range(1, 7), 9
FILES = {
    "no file": "",
    "copies p95": "class menu-plan\n second-copy after p95\nclass order-pay\n second-copy after p95\n",
    "copies p90": "class menu-plan\n second-copy after p90\nclass order-pay\n second-copy after p90\n",
    "copies p95, budget 10%": "defaults\n retry-budget 10%\nclass menu-plan\n second-copy after p95\n"
    "class order-pay\n second-copy after p95\n",
}
DAYS = {
    "silent 3 %": Faults(rates={Fault.SILENT: 0.03}),
    "two of nine silent at 25 %": Faults(workers={"w1": {Fault.SILENT: 0.25}, "w4": {Fault.SILENT: 0.25}}),
    "one slow at 30 %": Faults(workers={"w1": {Fault.SLOW: 0.3}}),
    "lost and broken 4 %": Faults(rates={Fault.LOST: 0.02, Fault.BREAK_AMID: 0.02}),
    "calm": Faults(),
}


def plans(text: str) -> tuple[Loader, Plans]:
    """Read a file that is known to be sound."""
    loader = Loader(site.settings(), {name: index for index, name in enumerate(site.CLASSES)})
    loaded = finish(loader.load("day.conf", text.encode()))
    assert loaded.plans is not None, loaded.mistakes
    loader.apply(loaded.plans)
    return loader, loaded.plans


def play(text: str, faults: Faults, seed: int, per_s: float, seconds: float) -> Day:
    """One day."""
    settings = site.settings()
    drawn = Faults(seed, faults.rates, faults.script, faults.workers)
    day = Day(
        settings, site.machines(WORKERS), Clients(settings, site.kinds(), seed, retries=1), plans(text)[1], drawn, seed
    )
    day.arrivals(per_s, seconds * 1_000.0)
    day.run()
    assert not day.audit.breaches(), day.audit.breaches()[:3]
    return day


def measure(day_name: str, file_name: str, seed: int, per_s: float) -> tuple[float, float, float]:
    """Worth served in time over worth asked for; the share of requests served; copies a job."""
    day = play(FILES[file_name], DAYS[day_name], seed, per_s, SECONDS)
    worths = [cls.worth for cls in day.settings.classes]
    worth = sum(w * n for w, n in zip(worths, day.in_time, strict=True)) / sum(
        w * n for w, n in zip(worths, day.asked, strict=True)
    )
    served = sum(map(len, day.latencies.values())) / sum(day.asked)
    return worth, served, day.counters.counts["execution.copy"] / sum(day.asked)


def audited(seed: int) -> tuple[int, int]:
    """A long day under all faults: jobs taken and attempts sent; a breach is an error."""
    every = {fault: 0.02 for fault in Fault if fault is not Fault.NONE}
    day = play(list(FILES.values())[seed % len(FILES)], Faults(rates=every), seed, 110.0, 95.0)
    return day.audit.counts["taken"], day.audit.counts["sent"]


def main() -> None:
    """Print the tables."""
    with ProcessPoolExecutor() as pool:
        for per_s in (80.0, 140.0):
            print(
                f"\n{per_s:g} jobs/s, {WORKERS} workers, {SECONDS:g} s, seeds {list(SEEDS)}: worth in time / share "
                "served / copies a job"
            )
            for day_name in DAYS:
                print(f"  {day_name}")
                for file_name in FILES:
                    runs = list(
                        pool.map(measure, *zip(*((day_name, file_name, seed, per_s) for seed in SEEDS), strict=True))
                    )
                    worths = [run[0] for run in runs]
                    print(
                        f"    {file_name:24} {statistics.mean(worths):.4f} (from {min(worths):.4f}) / "
                        f"{statistics.mean(run[1] for run in runs):.4f} / "
                        f"{statistics.mean(run[2] for run in runs):.3f}",
                        flush=True,
                    )
        began, seeds = time.perf_counter(), range(100, 120)
        days = list(pool.map(audited, seeds))
        jobs, sent = (sum(counts) for counts in zip(*days, strict=True))
        print(
            f"\naudit under all faults, 2 % each, seeds {seeds[0]} to {seeds[-1]}: {jobs} jobs, {sent} attempts, "
            f"no breach ({time.perf_counter() - began:.0f} s)"
        )


if __name__ == "__main__":
    main()
