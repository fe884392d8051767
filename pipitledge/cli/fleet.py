"""`pipitledge fleet`: several nodes as processes, faults between them, and an audit."""

from __future__ import annotations

import json
import pathlib
import sys
import tempfile
from collections import Counter

import click
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from pipitledge.conf.places import errors
from pipitledge.emulator.fleet import Fleet, Report
from pipitledge.emulator.schedule import Play, Schedule, drawn, parse

FILE = click.Path(dir_okay=False, exists=True, path_type=pathlib.Path)


@click.group()
def fleet() -> None:
    """Several nodes as processes of their own, among stand-ins, with faults between them."""


def _tell(report: Report, as_json: bool) -> None:
    if as_json:
        click.echo(
            json.dumps(
                {
                    "seed": report.seed,
                    "seconds": round(report.seconds, 2),
                    "faults_set": report.armed,
                    "faults_that_came": report.fired,
                    "outcomes": report.outcomes,
                    "violations": report.violations,
                }
            )
        )
    else:
        for result, why in report.outcomes:
            click.echo(f"change: {result} {why}")
        click.echo(f"{report.seconds:.1f} s, {report.fired} of {report.armed} faults came")
        click.echo("\n".join("broken: " + line for line in report.violations) or "every rule kept")
    sys.exit(1 if report.violations else 0)


def _run(schedule: Schedule, keep: pathlib.Path | None, as_json: bool) -> None:
    key = b"a key of the rig's own" if schedule.sealed else b""
    with (
        tempfile.TemporaryDirectory() as name,
        Fleet(
            pathlib.Path(name),
            schedule.nodes,
            schedule.seed,
            datagrams=schedule.datagrams,
            disks=schedule.disks,
            key=key,
        ) as made,
    ):
        try:
            report = Play(made, schedule).run()
        except TimeoutError as fault:
            report = Report(schedule.seed, violations=[str(fault)])
        if keep is not None:
            keep.write_text("".join(f"{node.name} {line}\n" for node in made.nodes.values() for line in node.lines))
    _tell(report, as_json)


KEEP = click.option(
    "--keep-log", "keep", type=click.Path(dir_okay=False, path_type=pathlib.Path), help="Write all nodes' logs there."
)
JSON = click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")


@fleet.command("run")
@click.argument("file", type=FILE, required=False)
@click.option("--seed", type=int, help="Draw a schedule in place of FILE; the same seed draws the same one.")
@click.option("--nodes", default=3, show_default=True, type=click.IntRange(1, 9), help="Of a drawn schedule.")
@KEEP
@JSON
def run_command(
    file: pathlib.Path | None, seed: int | None, nodes: int, keep: pathlib.Path | None, as_json: bool
) -> None:
    """Play a schedule of faults: exit code 0 every rule kept, 1 not, 2 a file that is none."""
    if (file is None) == (seed is None):
        raise click.UsageError("FILE or --seed, one of them")
    if file is None:
        assert seed is not None
        _run(drawn(seed, nodes), keep, as_json)
        return
    schedule, mistakes = parse(str(file), file.read_bytes())
    for mistake in mistakes:
        click.echo(str(mistake), err=True)
    if errors(mistakes):
        sys.exit(2)
    _run(schedule, keep, as_json)


@fleet.command("demo")
@click.option("--nodes", default=3, show_default=True, type=click.IntRange(2, 5))
@click.option(
    "--rate", default=20.0, show_default=True, type=click.FloatRange(1.0, 100.0), help="Jobs a second at each node."
)
def demo_command(nodes: int, rate: float) -> None:
    """Change a tier's policy while one node is paused and another is killed, and look on. Under a minute."""
    console = Console(width=None if sys.stdout.isatty() else 110)
    with (
        tempfile.TemporaryDirectory() as name,
        Fleet(pathlib.Path(name), nodes) as made,
        Live(console=console, auto_refresh=False, transient=True) as live,
    ):
        said: list[str] = []
        shown = [0.0]

        def view() -> None:
            if made.clock.now() > shown[0] + 200.0:
                shown[0] = made.clock.now()
                live.update(Group(_table(made), *[Text(line) for line in said[-8:]]), refresh=True)

        def step(text: str) -> None:
            said.append(text)
            if not console.is_terminal:
                console.print(text, highlight=False)

        made.scheduler.after_round = view
        made.watch()
        made.load(rate)
        last = f"n{nodes - 1}"
        step(f"{nodes} nodes, version 1 in force on all; one change, with all up")
        change = made.propose("n0")
        made.outcome("n0", change)
        took = made.in_force_everywhere(2)
        made.version = 2
        step(f"version 2 in force everywhere, {took:.0f} ms after the answer")
        step(f"{last} is paused; a change is proposed")
        made.nodes[last].pause()
        rest = [name for name in made.nodes if name != last]
        if nodes > 2:
            made.outcome("n0", made.propose("n0"))
            took = made.in_force_everywhere(3, rest)
            made.version = 3
            step(f"version 3 in force on the others once {last}'s lease had ended, {took:.0f} ms")
        made.nodes[last].wake()
        took = made.in_force_everywhere(made.version)
        step(f"{last} woke, admitted nothing under version 2, and has caught up in {took:.0f} ms")
        made.when_sent("n1", "accepted", lambda: made.kill("n0"))
        step("n0 proposes, and is killed as n1 accepts")
        made.propose("n0")
        if nodes > 2:
            made.until(
                lambda: all(made.status(name).get("change", 0) is None for name in made.nodes if name != "n0"),
                "the others have finished or dropped the change",
            )
            step(f"the others: version {made.stands('n1')[0]} in force on them")
        made.nodes["n0"].start()
        made.until(
            lambda: len({made.stands(name) for name in made.nodes}) == 1 and all(map(made.admits, made.nodes)),
            "all agree",
        )
        step(f"n0 is back, and learned version {made.stands('n0')[0]} before it was ready")
        made.scheduler.after_round = lambda: None
        made.stop_load()
        found = made.violations() + [
            line for line in made.audit.breaches() if line.split(":")[0] not in made.killed_jobs
        ]
        proofs = Counter("served" if seen.status == 200 else str(seen.status) for seen in made.seen)
        table = _table(made)
    console.print(table)
    counts = made.audit.counts
    console.print(
        f"{counts['taken']} jobs taken, {counts['served']} served; asked for the classes that tell versions "
        f"apart: {dict(sorted(proofs.items()))}",
        highlight=False,
    )
    for line in found:
        console.print(Text("broken: " + line, style="red"))
    console.print(Text("not every rule kept" if found else "every rule kept", style="red" if found else "green"))
    sys.exit(1 if found else 0)


def _table(made: Fleet) -> Table:
    table = Table(title="nodes", title_justify="left")
    for head in ("node", "process", "version", "stage", "admits"):
        table.add_column(head)
    for name, node in made.nodes.items():
        version, stage = made.stands(name)
        table.add_row(
            name,
            "paused" if node.paused else "runs" if node.runs else "killed",
            str(version or "-"),
            stage or "-",
            "yes" if made.admits(name) else "no",
        )
    return table
