"""What a node pays for the tier: CPU, bytes a second, resident memory, start; beside the version before, in one run.

git worktree add /tmp/before REVISION
python benchmarks/tier_cost.py --before /tmp/before [--seconds 10]
"""

from __future__ import annotations

import argparse
import os
import pathlib
import tempfile

from pipitledge.emulator.fleet import Fleet

TICK = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Seconds of CPU that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def resident_mb(pid: int) -> float:
    """Resident memory in MB."""
    line = next(line for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines() if "VmRSS" in line)
    return int(line.split()[1]) / 1024


def sent_bytes(fleet: Fleet) -> int:
    """Bytes that n0 has sent to the others, by its own counters."""
    node = fleet.nodes["n0"]
    before = len(node.lines)
    assert node.process is not None
    node.process.send_signal(10)  # SIGUSR1
    fleet.until(lambda: any(" counters " in line for line in node.lines[before:]), "counters")
    line = next(line for line in node.lines[before:] if " counters " in line)
    return int(line.split('"tier.sent-bytes":')[1].split(",")[0].split("}")[0]) if "tier.sent-bytes" in line else 0


def window(fleet: Fleet, seconds: float) -> tuple[float, float]:
    """CPU of n0 and its bytes, both for a second."""
    node = fleet.nodes["n0"]
    assert node.process is not None
    pid, bytes_before = node.process.pid, sent_bytes(fleet)
    used, began = cpu_s(pid), fleet.clock.now()
    fleet.until(lambda: fleet.clock.now() > began + seconds * 1_000.0, "the window", seconds * 1_000.0 + 5_000.0)
    took = (fleet.clock.now() - began) / 1_000.0
    return (cpu_s(pid) - used) / took, (sent_bytes(fleet) - bytes_before) / took


def measure(program: pathlib.Path, tier: bool, seconds: float, nodes: int = 3) -> str:
    """One row."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(pathlib.Path(folder), nodes, tier=tier, program=program) as fleet,
    ):
        assert fleet.nodes["n0"].process is not None
        pid = fleet.nodes["n0"].process.pid
        started = cpu_s(pid)
        idle, idle_bytes = window(fleet, seconds)
        memory = resident_mb(pid)
        fleet.load(60.0)
        window(fleet, 1.0)
        served = fleet.audit.counts["served"]
        loaded, loaded_bytes = window(fleet, seconds)
        jobs = (fleet.audit.counts["served"] - served) / nodes / seconds
        fleet.stop_load()
        return "  ".join(
            [
                f"{started:7.2f}",
                f"{memory:7.1f}",
                f"{resident_mb(pid):9.1f}",
                f"{1_000 * idle:7.1f}",
                f"{1_000 * loaded:9.1f}",
                f"{jobs:6.1f}",
                f"{1_000 * loaded / max(jobs, 0.1):8.2f}",
                f"{idle_bytes:8.0f}",
                f"{loaded_bytes:10.0f}",
            ]
        )


def main() -> None:
    """Print the table; each row twice, in turn."""
    options = argparse.ArgumentParser()
    options.add_argument("--before", type=pathlib.Path, required=True)
    options.add_argument("--seconds", type=float, default=8.0)
    told = options.parse_args()
    here = pathlib.Path(__file__).parents[1]
    print("three nodes, n0's figures: CPU in ms a second and ms a job, memory in MB, bytes a second to the others")
    print("program             start s  idle MB  loaded MB  idle ms  loaded ms  jobs/s  ms a job  idle B/s  loaded B/s")
    for _ in range(2):
        for name, program, tier in (
            ("before", told.before, False),
            ("now, no tier", here, False),
            ("now, tier", here, True),
        ):
            print(f"{name:18s}  {measure(program, tier, told.seconds)}", flush=True)


if __name__ == "__main__":
    main()
