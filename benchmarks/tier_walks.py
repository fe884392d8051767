"""Random schedules of larger tiers in virtual time: no rule broken, none blocked. Prints a table.

python benchmarks/tier_walks.py --schedules 8000 --nodes 5 --lanes 4
"""

from __future__ import annotations

import argparse
import subprocess
import sys
from collections import Counter

from pipitledge.emulator.tier_world import Violation, walk


def lane(first: int, step: int, last: int, nodes: int) -> None:
    """Play every so many-th schedule, without disks and with them in turn; a line each."""
    for seed in range(first, last, step):
        try:
            world = walk([f"n{number}" for number in range(nodes)], seed, disks=seed // step % 2 == 1)
            results = Counter(result for result, _ in world.outcomes.values())
            print(
                f"{seed}\t-\t{world.joint_ms:.0f}\t"
                + "\t".join(str(results[name]) for name in ("in force", "dropped", "lost", "open")),
                flush=True,
            )
        except Violation as violation:
            print(f"{seed}\t{str(violation)[:200]}\t0\t0\t0\t0\t0", flush=True)


def main() -> int:
    """Play all, in lanes of a process each."""
    options = argparse.ArgumentParser()
    for name, default in (("schedules", 1_000), ("lanes", 4), ("nodes", 5), ("lane", -1)):
        options.add_argument(f"--{name}", type=int, default=default)
    told = options.parse_args()
    if told.lane >= 0:
        lane(told.lane, told.lanes, told.schedules, told.nodes)
        return 0
    lanes = [
        subprocess.Popen(
            [sys.executable, __file__, *sys.argv[1:], "--lane", str(number)], stdout=subprocess.PIPE, text=True
        )
        for number in range(told.lanes)
    ]
    rows = [line.rstrip("\n").split("\t") for process in lanes for line in process.communicate()[0].splitlines()]
    broken = [row for row in rows if row[1] != "-"]
    sums = [sum(int(row[column]) for row in rows) for column in range(3, 7)]
    print(f"{len(rows)} schedules of {told.nodes} nodes: {len(broken)} broke a rule or were blocked")
    print("changes in force {}, dropped {}, lost {}, open {}".format(*sums))
    print(
        f"the longest that two policies bound at a node after the newer one was alone elsewhere: "
        f"{max(float(row[2]) for row in rows):.0f} ms (bound 3,131)"
    )
    for row in broken[:20]:
        print("\t".join(row[:2]))
    return 1 if broken or len(rows) < told.schedules else 0


if __name__ == "__main__":
    sys.exit(main())
