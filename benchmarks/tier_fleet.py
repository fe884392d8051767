"""Seeded schedules of faults on real processes: no violation, no job lost, none twice. Prints a table.

python benchmarks/tier_fleet.py --schedules 200 --lanes 4 --nodes 3
"""

from __future__ import annotations

import argparse
import pathlib
import subprocess
import sys
import tempfile
from collections import Counter

from pipitledge.emulator.schedule import drawn, play


def lane(first: int, step: int, last: int, nodes: int) -> None:
    """Play every so many-th schedule; a line each."""
    for seed in range(first, last, step):
        with tempfile.TemporaryDirectory() as folder:
            try:
                report = play(drawn(seed, nodes), pathlib.Path(folder))
                results = ",".join(sorted({result for result, _ in report.outcomes}))
                print(
                    f"{seed}\t{report.seconds:.1f}\t{report.fired}/{report.armed}\t{results}\t"
                    f"{'; '.join(report.violations[:3]) or '-'}",
                    flush=True,
                )
            except Exception as fault:  # a run that did not come to its end is a failure as well
                print(f"{seed}\t0\t0/0\t-\t{type(fault).__name__}: {str(fault)[:300]}", flush=True)


def main() -> int:
    """Play all, in lanes of a process each."""
    options = argparse.ArgumentParser()
    for name, default in (("schedules", 200), ("lanes", 4), ("nodes", 3), ("lane", -1), ("from-seed", 0)):
        options.add_argument(f"--{name}", type=int, default=default)
    told = options.parse_args()
    first, last = told.from_seed, told.from_seed + told.schedules
    if told.lane >= 0:
        lane(first + told.lane, told.lanes, last, told.nodes)
        return 0
    lanes = [
        subprocess.Popen(
            [sys.executable, __file__, *sys.argv[1:], "--lane", str(number)], stdout=subprocess.PIPE, text=True
        )
        for number in range(told.lanes)
    ]
    rows = [line.rstrip("\n").split("\t") for process in lanes for line in process.communicate()[0].splitlines()]
    broken = [row for row in rows if row[4] != "-"]
    faults = Counter(row[2] for row in rows)
    seconds = sorted(float(row[1]) for row in rows)
    print(f"{len(rows)} schedules of {told.nodes} nodes, seeds {first} to {last - 1}: {len(broken)} with a violation")
    print(f"faults whose message came, of those set: {dict(sorted(faults.items()))}")
    print(f"seconds a schedule: median {seconds[len(seconds) // 2]:.1f}, longest {seconds[-1]:.1f}")
    for row in broken:
        print("\t".join(row))
    return 1 if broken or len(rows) < told.schedules else 0


if __name__ == "__main__":
    sys.exit(main())
