"""CPU per job of a node with a file of plans over that without: pairs that run side by side."""

from __future__ import annotations

import os
import pathlib
import platform
import statistics
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from rich.console import Console

from pipitledge.cli.demo import Shop, drive

ROUNDS, SECONDS, RATE, WORKERS, ROUTES = 10, 8.0, 150.0, 9, 200
PLANS = """class menu-plan
    attempts 4
    backoff 5ms to 20ms
    retry-budget 20%
class order-pay
    attempts 4
    attempt-timeout 2s
    second-copy after 2s
    retry-budget 20%
class slot-book
    attempts 4
    hold-timeout 2s
""" + "".join(f"route /order-pay/card{n}/*\n class order-pay\n override attempts 2\n" for n in range(ROUTES))


def cpu_s(pid: int) -> float:
    """CPU time that a process has taken, user and system."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def per_job_us(plans: pathlib.Path | None, seed: int) -> float:
    """One node under load: its CPU per job that was asked for."""
    with tempfile.TemporaryDirectory() as name, (pathlib.Path(name) / "log").open("w") as log:
        shop = Shop(pathlib.Path(name), WORKERS, plans, 0.0, seed, log)
        try:
            before = cpu_s(shop.process.pid)
            load = drive(shop, Console(quiet=True), SECONDS, RATE, seed)
            took = cpu_s(shop.process.pid) - before
        finally:
            shop.stop()
        assert not shop.audit.breaches()
        return took / sum(load.asked.values()) * 1e6


def main() -> None:
    """Run the pairs: both nodes at the same time, so that what slows the machine slows both."""
    print(
        f"python {platform.python_version()}, {os.cpu_count()} cores, {platform.machine()}; {ROUNDS} pairs side by "
        f"side of {SECONDS:g} s, {RATE:g} jobs/s each, {WORKERS} workers, {ROUTES} routes, seeds 1 to {ROUNDS}"
    )
    with tempfile.TemporaryDirectory() as name, ProcessPoolExecutor(2) as pool:
        path = pathlib.Path(name) / "attempts.conf"
        path.write_text(PLANS)
        ratios = list[float]()
        for seed in range(1, ROUNDS + 1):
            sides = [pool.submit(per_job_us, plans, seed) for plans in (None, path)]
            without, with_file = (side.result() for side in sides)
            ratios.append(with_file / without)
            print(
                f"pair {seed}: without {without:.0f} us a job, with a file {with_file:.0f} us, ratio {ratios[-1]:.3f}",
                flush=True,
            )
    print(
        f"ratio: median {statistics.median(ratios):.3f}, from {min(ratios):.3f} to {max(ratios):.3f}, mean "
        f"{statistics.mean(ratios):.3f}"
    )


if __name__ == "__main__":
    main()
