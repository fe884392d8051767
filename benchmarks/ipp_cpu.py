"""CPU per label of 1 KB beside CPU per HTTP job: two nodes, each under its own load, side by side in pairs."""

from __future__ import annotations

import os
import pathlib
import platform
import statistics
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from attempts_cpu import cpu_s, per_job_us

from pipitledge.emulator.print_shop import PrintShop

PAIRS, LABELS, PER_S, PRINTERS = 5, 800, 100.0, 10


def per_label_us(seed: int) -> tuple[float, float]:
    """One node that prints: its CPU per label, that of its polls and start left out; and that of a second's polls."""
    with tempfile.TemporaryDirectory() as name:
        shop = PrintShop(pathlib.Path(name), PRINTERS, {}, seed, print_ms=20.0)
        shop.random.choice = lambda sizes: 1_024  # type: ignore[method-assign]
        shop.start()
        assert shop.node is not None
        shop.turn(2_000.0)
        start = cpu_s(shop.node.pid)
        shop.turn(4_000.0)
        idle = (cpu_s(shop.node.pid) - start) / 4.0
        before, began = cpu_s(shop.node.pid), shop.clock.now()
        shop.submit(LABELS, PER_S)
        while sum(shop.heard.values()) < LABELS and shop.clock.now() < began + 40_000.0:
            shop.turn(50.0)
        took = cpu_s(shop.node.pid) - before - idle * (shop.clock.now() - began) / 1_000.0
        breaches = shop.breaches(shop.settle())
        assert not breaches and shop.heard == {"completed": LABELS}, (breaches, shop.heard)
        return took / LABELS * 1e6, idle * 1e6


def main() -> None:
    """Run the pairs."""
    print(
        f"python {platform.python_version()}, {os.cpu_count()} cores, {platform.machine()}; {PAIRS} pairs side by "
        f"side; {LABELS} labels of 1 KB at {PER_S:g} a second on {PRINTERS} printers, with the store on disk; HTTP "
        "jobs as in attempts_cpu.py"
    )
    ratios = list[float]()
    with ProcessPoolExecutor(2) as pool:
        for seed in range(1, PAIRS + 1):
            label, job = pool.submit(per_label_us, seed), pool.submit(per_job_us, None, seed)
            (of_label, idle), of_job = label.result(), job.result()
            ratios.append(of_label / of_job)
            print(
                f"pair {seed}: {of_label:.0f} us a label, {of_job:.0f} us an HTTP job, ratio {ratios[-1]:.2f}; polls "
                f"{idle / PRINTERS:.0f} us a printer and second",
                flush=True,
            )
    print(f"ratio: median {statistics.median(ratios):.2f}, from {min(ratios):.2f} to {max(ratios):.2f}")


if __name__ == "__main__":
    main()
