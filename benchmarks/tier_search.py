"""Every run of three nodes: how many states, and whether one breaks a rule. Prints a line for each world.

PYTHONHASHSEED=0 python benchmarks/tier_search.py --most 400000
"""

from __future__ import annotations

import argparse
import sys
import time
from typing import Any

from pipitledge.emulator.tier_search import Search
from pipitledge.emulator.tier_world import Violation

WORLDS: tuple[dict[str, Any], ...] = (
    {"crashes": 0, "passes": 0},
    {"crashes": 1, "passes": 0},
    {"crashes": 1, "passes": 0, "disks": False},
    {"proposers": ("n0",), "crashes": 1, "passes": 1},
    {"crashes": 0, "passes": 1},
)


def main() -> int:
    """Search each; 0 if none has a violation."""
    options = argparse.ArgumentParser()
    options.add_argument("--most", type=int, default=400_000)
    most, broken = options.parse_args().most, 0
    for told in WORLDS:
        search, began, found = Search(**told), time.monotonic(), "no violation"
        try:
            search.run(most)
        except Violation as violation:
            found, broken = str(violation), broken + 1
        print(
            f"{told}: {search.states} states, {search.deepest} steps deep, "
            f"{'all' if search.is_whole(most) else 'not all'}, {time.monotonic() - began:.0f} s: {found}",
            flush=True,
        )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
