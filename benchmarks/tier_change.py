"""From `propose` to in force everywhere, on processes; and how long two policies bind. Prints a table.

python benchmarks/tier_change.py [--changes 40]
"""

from __future__ import annotations

import argparse
import pathlib
import tempfile

from pipitledge.emulator.fleet import Fleet


def percentile(values: list[float], share: float) -> float:
    """A percentile by rank."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(len(ranked) * share))]


def play(count: int, loss: float, down: bool, changes: int) -> tuple[list[float], float]:
    """Times of so many changes in ms, and the longest that a node was joint, by its own log."""
    took: list[float] = []
    with tempfile.TemporaryDirectory() as folder, Fleet(pathlib.Path(folder), count) as fleet:
        fleet.network.loss, fleet.network.delay_ms = loss, (2.0, 26.0)
        names = list(fleet.nodes)
        if down:
            fleet.kill(names[-1])
            names = names[:-1]
            fleet.until(lambda: fleet.status("n0").get("admits") is True, "n0 admits")
        for number in range(changes):
            at = names[number % len(names)]
            began = fleet.clock.now()
            change = fleet.propose(at)
            if change.startswith("-") or fleet.outcome(at, change)[0] != "in force":
                continue
            fleet.in_force_everywhere(fleet.version + 1, names)
            took.append(fleet.clock.now() - began)
            fleet.version += 1
        longest = 0.0
        for name in names:
            since: dict[str, float] = {}
            for line in fleet.nodes[name].lines:
                if " tier stage=" in line:
                    hours, minutes, seconds = line.split(" ")[0].split(":")
                    stamp = (int(hours) * 3_600 + int(minutes) * 60 + float(seconds)) * 1_000.0
                    version = line.split(" version=")[1].split()[0]
                    if "stage=joint" in line:
                        since[version] = stamp
                    elif version in since:
                        longest = max(longest, stamp - since.pop(version))
    return took, longest


def beside(with_changes: bool, seconds: float) -> str:
    """Three nodes under load, with a change about every second or with none: share served in time, latency."""
    with tempfile.TemporaryDirectory() as folder, Fleet(pathlib.Path(folder), 3) as fleet:
        loads = fleet.load(40.0)
        end, made = fleet.clock.now() + seconds * 1_000.0, 0
        while fleet.clock.now() < end:
            due = fleet.clock.now() + 1_000.0
            if with_changes:
                at = f"n{made % 3}"
                if fleet.outcome(at, fleet.propose(at))[0] == "in force":
                    fleet.in_force_everywhere(fleet.version + 1)
                    fleet.version += 1
                    made += 1
            fleet.until(lambda due=due: fleet.clock.now() >= due, "the next second")  # type: ignore[misc]
        fleet.stop_load()
        asked = sum(sum(load.asked.values()) for load in loads)
        in_time = sum(sum(load.in_time.values()) for load in loads)
        took = sorted(value for load in loads for values in load.took.values() for value in values)
        return (
            f"{made:7d}  {asked:6d}  {in_time / asked:8.2%}  {percentile(took, 0.5):9.0f}  "
            f"{percentile(took, 0.99):7.0f}  {len(fleet.audit.breaches()):8d}"
        )


def main() -> None:
    """Print both tables."""
    options = argparse.ArgumentParser()
    options.add_argument("--changes", type=int, default=40)
    changes = options.parse_args().changes
    print("nodes  loss  one down  changes  median ms  99th ms  longest joint ms")
    for count in (3, 5, 9):
        for loss in (0.0, 0.1, 0.3):
            for down in (False, True):
                took, longest = play(count, loss, down, changes)
                print(
                    f"{count:5d}  {loss:4.0%}  {'yes' if down else 'no':8s}  {len(took):7d}  "
                    f"{percentile(took, 0.5):9.0f}  {percentile(took, 0.99):7.0f}  {longest:16.0f}",
                    flush=True,
                )
    print("changes   asked   in time  median ms  99th ms  breaches   (three nodes, 40 jobs a second at each, 10 s)")
    for with_changes in (False, True, False, True):
        print(beside(with_changes, 10.0), flush=True)


if __name__ == "__main__":
    main()
