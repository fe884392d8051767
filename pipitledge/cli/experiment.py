"""`pipitledge experiment`: runs of the cluster scheduler at size on this machine's loopback, and days in virtual time.

Exit codes: 0 all was run and no rule broken; 1 a run could not be carried out, or a rule was broken; 2 wrong usage.
"""

from __future__ import annotations

import os
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import cyclopts
import msgspec
from cyclopts import Parameter, validators

from pipitledge import __version__

SUCCESS, FAILED, UNUSABLE = 0, 1, 2  # exit codes
DEFAULT_SIZES = (30, 100, 300, 650)
Positive = Annotated[int, Parameter(validator=validators.Number(gt=0))]
PositiveFigure = Annotated[float, Parameter(validator=validators.Number(gt=0))]

NotNegative = Annotated[int, Parameter(validator=validators.Number(gte=0))]

app = cyclopts.App(name="pipitledge experiment", help="Runs at size, and days of trouble.", version=__version__)


@app.command
def scale(
    *,
    workers: Annotated[tuple[int, ...], Parameter(consume_multiple=True)] = DEFAULT_SIZES,
    nodes: Positive = 9,
    counted: Positive = 5,
    starts_per_s: PositiveFigure = 300.0,
    seconds: PositiveFigure = 20.0,
    agents_per_process: Positive = 10,
    out: Path | None = None,
) -> int:
    """Run real nodes with hollow workers, and write what each role costs.

    Parameters
    ----------
    workers:
        Sizes to run, one after the other.
    nodes:
        Real nodes.
    counted:
        How many of them hold replicated state.
    starts_per_s:
        Task starts a second that clients ask for.
    seconds:
        How long they do.
    agents_per_process:
        Agents, with their hollow workers, that share a process.
    out:
        Folder for `scale.json`, `scale.md` and all logs; a new one under the temporary folder, if left out.
    """
    from pipitledge.emulator.scale.experiment import ScaleFailure, ScalePlan, run_all
    from pipitledge.emulator.scale.figures import ScaleResult
    from pipitledge.emulator.scale.layout import ScaleSize
    from pipitledge.emulator.scale.load import LoadPlan
    from pipitledge.emulator.scale.report import render

    if any(count <= 0 for count in workers) or counted > nodes:
        return _fail("--workers has to be above 0, and --counted at most --nodes", UNUSABLE)
    folder = out if out is not None else Path(tempfile.mkdtemp(prefix="pipitledge-scale-"))
    folder.mkdir(parents=True, exist_ok=True)
    tolerated = (counted - 1) // 2
    sizes = [
        ScaleSize(count, nodes, counted, tolerated, agents_per_process=agents_per_process) for count in sorted(workers)
    ]
    plan = ScalePlan(load=LoadPlan(starts_per_s, seconds))
    results: list[ScaleResult] = []
    code = SUCCESS
    try:
        for result in run_all(sizes, plan, folder, lambda text: print(text, flush=True)):
            results.append(result)
    except ScaleFailure as failure:
        code = _fail(f"{failure} (logs in {folder})", FAILED)
    (folder / "scale.json").write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1))
    (folder / "scale.md").write_text(render(results))
    print(f"{len(results)} of {len(sizes)} sizes run; {folder / 'scale.md'}")
    return code


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
