"""`pipitledge experiment`: days of trouble in virtual time, soaks of real processes, searches, recorded histories.

Exit codes: 0 all was run and no rule broken; 1 a run could not be carried out, or a rule was broken; 2 wrong usage.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import cyclopts
import msgspec
from cyclopts import Parameter, validators

from pipitledge import __version__

SUCCESS, FAILED, UNUSABLE = 0, 1, 2  # exit codes
Positive = Annotated[int, Parameter(validator=validators.Number(gt=0))]
PositiveFigure = Annotated[float, Parameter(validator=validators.Number(gt=0))]

Share = Annotated[float, Parameter(validator=validators.Number(gte=0, lt=1))]
NotNegative = Annotated[int, Parameter(validator=validators.Number(gte=0))]

app = cyclopts.App(name="pipitledge experiment", help="Days of trouble, and searches.", version=__version__)


@app.command
def days(
    *,
    first: NotNegative = 0,
    count: Positive = 100,
    jobs: Positive | None = None,
    trouble_s: PositiveFigure = 20.0,
    show: NotNegative | None = None,
) -> int:
    """Play days of the whole cluster in virtual time, each drawn from its seed, and tell which rules were broken.

    Parameters
    ----------
    first:
        Seed of the first day.
    count:
        How many days; their seeds follow each other.
    jobs:
        Processes that play them; by default one for each core.
    trouble_s:
        Seconds of trouble in a day.
    show:
        Play the day of this seed alone, and print all that happens.
    """
    from pipitledge.emulator.cluster.day import play
    from pipitledge.emulator.cluster.days import broken_rules, play_all

    if show is not None:
        verdict = play(show, printing=True, trouble_s=trouble_s)
        print(verdict)
        return FAILED if verdict.breaches else SUCCESS
    broken = []
    for verdict in play_all(range(first, first + count), jobs or os.cpu_count() or 1, trouble_s):
        if verdict.breaches:
            broken.append(verdict)
            print(verdict, flush=True)
    rules = ", ".join(f"{rule} on {times}" for rule, times in sorted(broken_rules(broken).items()))
    print(f"{count} days, {len(broken)} with a rule broken{': ' + rules if rules else ''}")
    return FAILED if broken else SUCCESS


@app.command
def views(
    *,
    members: Positive = 3,
    tolerated: NotNegative = 1,
    spares: NotNegative = 0,
    most: NotNegative = 20_000,
    walks: NotNegative = 1_000,
    steps: Positive = 160,
    first: NotNegative = 0,
) -> int:
    """Search the changes of view of a small group for a state that breaks what must hold.

    Parameters
    ----------
    members:
        Members of the group.
    tolerated:
        Disks that may be lost at once.
    spares:
        Counted nodes that may take a member's place.
    most:
        States to look at, breadth first within small bounds.
    walks:
        Drawn runs within wide bounds.
    steps:
        Actions in one drawn run.
    first:
        Seed of the first drawn run.
    """
    from pipitledge.emulator.cluster.view_model import Bounds, Group, Violation
    from pipitledge.emulator.cluster.view_search import WIDE_BOUNDS, Search

    search = Search(lambda: Group(members, tolerated, spares, Bounds()))
    drawn = Search(lambda: Group(members, tolerated, spares, WIDE_BOUNDS))
    try:
        search.run(most)
        for seed in range(first, first + walks):
            drawn.walk(seed, steps)
    except Violation as violation:
        return _fail(str(violation), FAILED)
    print(
        f"{search.states} states{'' if not search.whole else ', all there are'}, {search.deepest} actions deep; "
        f"{walks} walks of {drawn.states} actions; {search.recoveries + drawn.recoveries} recoveries; nothing broken"
    )
    return SUCCESS


@app.command
def replicas(
    *,
    first: NotNegative = 0,
    count: Positive = 40,
    jobs: Positive | None = None,
    steps: Positive = 30,
) -> int:
    """Play whole replicas under an adversary that kills, cuts, holds, doubles, loses and reorders; groups of all sizes.

    Parameters
    ----------
    first:
        Seed of the first run.
    count:
        Runs of each group; their seeds follow each other.
    jobs:
        Processes that play them; by default one for each core.
    steps:
        Actions of the adversary in a run.
    """
    from pipitledge.emulator.cluster.replica_search import GROUPS, play_all

    seeds = range(first, first + count)
    findings = 0
    for group in GROUPS:
        broken = [result for result in play_all(group, seeds, steps, jobs or os.cpu_count() or 1) if result.finding]
        for result in broken:
            print(f"  {result.finding}", flush=True)
        findings += len(broken)
        print(f"{group}: {count} runs, {len(broken)} with something broken", flush=True)
    return FAILED if findings else SUCCESS


@app.command
def soak(
    *,
    first: NotNegative = 0,
    count: Positive = 10,
    jobs: Positive = 2,
    trouble_s: PositiveFigure = 30.0,
    series_s: PositiveFigure = 1.5,
    kept: Positive = 48,
    calls_per_s: PositiveFigure = 100.0,
    workers: Positive = 6,
    outage: bool = True,
    late_share: Share = 0.03,
    logs: str = "",
) -> int:
    """Run the shipped programs as real processes on loopback, under stops, reloads and changes that overlap.

    Parameters
    ----------
    first:
        Seed of the first run.
    count:
        How many runs; their seeds follow each other.
    jobs:
        Runs at a time.
    trouble_s:
        Seconds of planned work in a run.
    series_s:
        Mean pause between two pieces of planned work, seconds.
    kept:
        Connections that clients keep open and use.
    calls_per_s:
        Calls of all clients together.
    workers:
        Workers, each with an agent beside it; with five nodes they make up the processes of a run.
    outage:
        Whether the core is without a quorum for a while, with agents killed and a worker lost meanwhile.
    late_share:
        Part of the workers' heartbeats that come late, and of the calls to them that are executed late, unanswered.
    logs:
        Folder for settings, data and logs of each run; none by default. Runs that it has are not continued.
    """
    from pipitledge.emulator.soak.plan import Load
    from pipitledge.emulator.soak.run import play_seeds

    kept_runs = [seed for seed in range(first, first + count) if logs and (Path(logs) / str(seed)).exists()]
    if kept_runs:
        return _fail(f"{Path(logs) / str(kept_runs[0])}: a run with its data is there already", UNUSABLE)
    load = Load(trouble_s, series_s, kept, calls_per_s, workers, outage, late_share)
    found = 0
    for verdict in play_seeds(range(first, first + count), load, jobs, logs):
        print(verdict, flush=True)
        found += bool(verdict.findings)
    print(f"{count} runs, {found} with something found")
    return FAILED if found else SUCCESS


@app.command
def history(file: Path) -> int:
    """Check a recorded history of orders and reads of the configuration.

    Parameters
    ----------
    file:
        One operation a line, as JSON (`emulator/cluster/history.py`).
    """
    from pipitledge.emulator.cluster.history import check, read_history

    try:
        operations = read_history(file.read_bytes())
    except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
        return _fail(f"{file}: {error}", UNUSABLE)
    findings = check(operations)
    for finding in findings:
        print(finding)
    print(f"{len(operations)} operations, {len(findings)} findings")
    return FAILED if findings else SUCCESS


def main(arguments: Sequence[str] | None = None) -> int:
    """Carry out one command; its exit code."""
    tokens = list(sys.argv[1:] if arguments is None else arguments)
    try:
        result = app(tokens, exit_on_error=False, result_action="return_value")
    except cyclopts.CycloptsError:  # told already
        return UNUSABLE
    return result if isinstance(result, int) else SUCCESS


def _fail(message: str, code: int) -> int:
    print(message, file=sys.stderr)
    return code


if __name__ == "__main__":
    sys.exit(main())
