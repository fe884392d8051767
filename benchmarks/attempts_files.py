"""Checking many routes, the stall of a reload, memory, and the cost of a log line."""

from __future__ import annotations

import gc
import io
import os
import pathlib
import platform
import statistics
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from pipitledge.attempts.plans import Loader
from pipitledge.conf.parse import finish
from pipitledge.emulator import site
from pipitledge.node.counters import Counters, Log, log_writer, write_plain

ROUTES = 1_000


def routes(count: int, differ: bool) -> bytes:
    """A file with so many routes; `differ`: no line but the class is said twice, so no parsed line is used again."""
    lines = ["class order-pay", "attempts 3", "attempt-timeout 1500ms", "hold-timeout 100ms"]
    for number in range(count):
        timeout = 100 + number if differ else 900
        lines += [
            f"route /order-pay/r{number}/*/card",
            "class order-pay",
            "override attempts 2",
            f"override attempt-timeout {timeout}ms",
            f"override backoff 1ms to {timeout}ms",
        ]
    return "\n".join(lines).encode()


def check_and_stall() -> None:
    """Check a file with many routes; reload it in slices, as a node does, and time each."""
    loader = Loader(site.settings(), {name: index for index, name in enumerate(site.CLASSES)})
    began = time.perf_counter()
    finish(loader.load("warm.conf", b"class order-pay\nattempts 3\n"))
    print(f"first file, lark's import and grammar included: {(time.perf_counter() - began) * 1e3:.0f} ms")
    for differ in (False, True):
        data = routes(ROUTES, differ)
        began = time.perf_counter()
        loaded = finish(loader.load("f.conf", data))
        whole = time.perf_counter() - began
        assert loaded.plans is not None and len(loaded.plans.routes) == ROUTES
        stalls, steps = [], loader.load("f.conf", routes(ROUTES, differ).replace(b"card", b"cash"))
        gc.collect()
        gc.freeze()  # as a node does once it is ready
        try:
            while True:
                began = time.perf_counter()
                next(steps)
                stalls.append(time.perf_counter() - began)
        except StopIteration:
            stalls.append(time.perf_counter() - began)
        kind = "every line different" if differ else "lines alike"
        print(
            f"{ROUTES} routes, {data.count(10) + 1} lines, {kind}: check {whole * 1e3:.0f} ms; a sliced reload of "
            f"{len(stalls)} slices stalls {max(stalls) * 1e3:.1f} ms at the longest, "
            f"{statistics.median(stalls) * 1e3:.2f} ms in the middle"
        )


def memory() -> None:
    """Resident memory of a node's modules, alone and with what a file or the tools add."""

    def rss(code: str) -> int:
        tail = "; print(int(open('/proc/self/statm').read().split()[1]) * 4)"
        return int(
            subprocess.run(
                [sys.executable, "-c", "import pipitledge.__main__" + code + tail],
                capture_output=True,
                text=True,
                check=True,
            ).stdout
        )

    base = rss("")
    for name, code in (
        ("lark and the grammar", "; import pipitledge.conf.parse as p; p.read_line('attempts 3')"),
        ("structlog (JSON lines)", "; import structlog"),
        ("click", "; import click"),
        ("rich", "; import rich.table, rich.live"),
    ):
        print(f"resident: node's modules {base / 1024:.1f} MB, with {name} {(rss(code) - base) / 1024:+.1f} MB")


def log_lines() -> None:
    """CPU time of one log line in both formats, the best of five rounds that take turns."""
    took = {}
    real, sys.stdout = sys.stdout, io.StringIO()
    try:
        writers = {"plain": write_plain, "json": log_writer("json")}
        for _ in range(5):
            for name, write in writers.items():
                log = Log(Counters(), write)
                log.PER_SECOND = 1 << 30
                began = time.process_time()
                for number in range(5_000):
                    log("execution", ending="out-of-time", worker="w1", query=f"q{number}", number=0)
                took.setdefault(name, []).append((time.process_time() - began) / 5_000 * 1e6)
    finally:
        sys.stdout = real
    best = {name: min(values) for name, values in took.items()}
    print(
        f"a log line: plain {best['plain']:.1f} us, json by structlog {best['json']:.1f} us, "
        f"ratio {best['json'] / best['plain']:.1f}"
    )


if __name__ == "__main__":
    print(f"python {platform.python_version()}, {os.cpu_count()} cores, {platform.machine()}")
    check_and_stall()
    memory()
    log_lines()
