"""Many drawn runs of whole replicas, over the groups that a deployment may have, side by side in several processes."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial

from pipitledge.emulator.cluster.replica_faults import GroupSize
from pipitledge.emulator.cluster.replica_walk import Coverage, Walk
from pipitledge.emulator.cluster.replica_watch import BrokenInvariant

RUNS_AT_ONCE = 2  # that a process is handed
FOUNDING_PART = 2  # a founding is over sooner: it is played with this part of the actions


@dataclass(frozen=True)
class Group:
    """Which group is played, and whether the adversary is there from the first start on."""

    size: GroupSize
    founding: bool = False

    def __str__(self) -> str:
        """The group for a reader."""
        size = self.size
        spares = f" and {size.spares} spare" if size.spares else ""
        zones = f", {size.zones} zones" if size.zones else ""
        values = f", values of {size.value_bytes} bytes" if size.value_bytes else ""
        return f"{size.members} members{spares}, {size.tolerated} lost{zones}{values}{', founding' * self.founding}"


GROUPS = (
    Group(GroupSize(3, 1)),
    Group(GroupSize(3, 1, spares=1)),
    Group(GroupSize(4, 1)),
    Group(GroupSize(4, 0, zones=1)),
    Group(GroupSize(5, 2, spares=1)),
    Group(GroupSize(8, 2, spares=1)),
    Group(GroupSize(3, 1, value_bytes=200_000)),
    Group(GroupSize(5, 1), founding=True),
    Group(GroupSize(7, 1), founding=True),
)


@dataclass(frozen=True)
class Result:
    """What one run came to."""

    seed: int
    actions: int
    finding: str  # what did not hold; empty if everything did


def play(group: Group, steps: int, seed: int, coverage: Coverage | None = None) -> Result:
    """Play one run."""
    walk = Walk(seed, group.size, coverage, group.founding)
    finding = ""
    try:
        walk.play(steps // FOUNDING_PART if group.founding else steps)
    except (BrokenInvariant, AssertionError) as broken:
        finding = f"seed {seed}: {type(broken).__name__} {broken} at {walk.world.time:.3f} s"
    return Result(seed, walk.actions, finding)


def play_all(group: Group, seeds: range, steps: int, jobs: int) -> Iterator[Result]:
    """Play a run for each seed, in the order of the seeds, in so many processes."""
    with ProcessPoolExecutor(jobs) as executor:
        yield from executor.map(partial(play, group, steps), seeds, chunksize=RUNS_AT_ONCE)
