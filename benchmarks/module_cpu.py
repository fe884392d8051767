"""CPU and memory of the module's decisions beside those of an earlier checkout, in pairs in one run.

    python benchmarks/module_cpu.py PATH_OF_THE_EARLIER_CHECKOUT [pairs]

The same day of stand-ins in virtual time for both; what the stand-ins cost is in both figures, so the ratio is a lower
bound of the module's own.
"""

from __future__ import annotations

import compileall
import json
import pathlib
import statistics
import subprocess
import sys

HERE = pathlib.Path(__file__).parent.parent
DAY = """
import json, resource, time
from pipitledge.emulator import site
from pipitledge.emulator.client import Clients
from pipitledge.emulator.virtual import Day
settings = site.settings()
day = Day(settings, site.machines(9), Clients(settings, site.kinds(), 1, 1), seed=1)
day.arrivals(200.0, 40_000.0)
began = time.process_time()
day.run()
print(json.dumps([(time.process_time() - began) / day.audit.counts["taken"] * 1e6,
                  resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0, day.audit.counts["served"]]))
"""
START = """
import json, resource, time
began = time.process_time()
import pipitledge.__main__
print(json.dumps([(time.process_time() - began) * 1e3, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0]))
"""


def measured(tree: pathlib.Path, code: str) -> list[float]:
    """Run the code in a process of its own, in that tree."""
    ran = subprocess.run([sys.executable, "-c", code], cwd=tree, capture_output=True, text=True, check=True)
    return list(json.loads(ran.stdout))


def main() -> None:
    """Measure in turn, print medians and ratios."""
    before, pairs = pathlib.Path(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 7
    for tree in (before, HERE):  # or one of them would compile its modules at each start
        compileall.compile_dir(str(tree / "pipitledge"), quiet=1)
    for title, code, names in (
        ("a day", DAY, ("us of CPU a request", "MB at most", "served")),
        ("a start", START, ("ms of CPU", "MB")),
    ):
        both = [(measured(before, code), measured(HERE, code)) for _ in range(pairs)]
        for at, name in enumerate(names):
            old, new = (statistics.median(pair[side][at] for pair in both) for side in (0, 1))
            ratios = [pair[1][at] / pair[0][at] for pair in both]
            print(
                f"{title}, {name}: {old:.1f} before, {new:.1f} now; ratio {statistics.median(ratios):.3f} "
                f"({min(ratios):.3f} to {max(ratios):.3f}, {pairs} pairs)"
            )


if __name__ == "__main__":
    main()
