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


def main() -> None:
    """Print the table."""
    options = argparse.ArgumentParser()
    options.add_argument("--changes", type=int, default=40)
    changes = options.parse_args().changes
    print("nodes  loss  one down  changes  median ms  99th ms  longest joint ms")
    for count in (3, 5, 9):
        for loss in (0.0, 0.1, 0.3):
            for down in (False, True):
                took, longest = play(count, loss, down, changes)
                print(f"{count:5d}  {loss:4.0%}  {'yes' if down else 'no':8s}  {len(took):7d}  "
                      f"{percentile(took, 0.5):9.0f}  {percentile(took, 0.99):7.0f}  {longest:16.0f}", flush=True)


if __name__ == "__main__":
    main()
