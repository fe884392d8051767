"""The matrix of deployments at length: every pair of values on several seeds, and cells drawn at random.

PYTHONPATH=. python benchmarks/deployments.py [seeds] > benchmarks/results/deployments.txt
"""

from __future__ import annotations

import random
import sys
from concurrent.futures import ProcessPoolExecutor

from allpairspy import AllPairs

from pipitledge.emulator import matrix


def main() -> None:
    """Play and print: one line for each set, then each day that fell short."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    pairs = [dict(zip(matrix.AXES, row, strict=True)) for row in AllPairs(list(matrix.AXES.values()))]
    draw = random.Random(1)
    drawn = [{axis: draw.choice(values) for axis, values in matrix.AXES.items()} for _ in range(20 * seeds)]
    with ProcessPoolExecutor() as pool:
        for title, wanted in (
            ("every pair", [(cell, seed) for cell in pairs for seed in range(1, seeds + 1)]),
            ("drawn cells", [(cell, seed) for seed, cell in enumerate(drawn)]),
        ):
            played = list(pool.map(matrix.play, *zip(*wanted, strict=True)))
            short = [(one, seed) for one, (_, seed) in zip(played, wanted, strict=True) if not one.holds]
            shares = sorted(one.worth / max(one.plain.values()) for one in played)
            print(
                f"{title}: {len(played)} days, {len(short)} fell short, {sum(bool(p.broken) for p in played)} broke "
                f"a rule; worth over the best plain one's: least {shares[0]:.3f}, "
                f"median {shares[len(shares) // 2]:.3f}"
            )
            for one, seed in short:
                print(f"  seed {seed} {one.worth:.3f} of {max(one.plain.values()):.3f} {one.broken[:1]} {one.cell}")


if __name__ == "__main__":
    main()
