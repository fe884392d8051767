"""`pipitledge`: run a node, check and explain its files, play with stand-ins."""

from __future__ import annotations

import importlib
import json
import os
import pathlib
import sys

import click
from click.shell_completion import get_completion_class

from pipitledge import __version__
from pipitledge.attempts.plans import InForce, Loader, show, where
from pipitledge.attempts.worst import timeline
from pipitledge.conf.parse import finish
from pipitledge.conf.places import Mistake, Place, errors
from pipitledge.decision.settings import settings_from

CONTEXT = {"help_option_names": ["-h", "--help"], "max_content_width": 110}
FILE = click.Path(dir_okay=False, path_type=pathlib.Path)


@click.group(context_settings=CONTEXT)
@click.version_option(__version__, prog_name="pipitledge")
def main() -> None:
    """Place jobs on workers: run a node, check and explain its files, play with stand-ins."""


@main.command()
@click.option("--config", type=FILE, envvar="BALANCER_CONFIG", help="The node's configuration (JSON).")
@click.option("--attempts", type=FILE, envvar="PIPITLEDGE_ATTEMPTS", help="A file of attempt plans.")
@click.option(
    "--log-format",
    type=click.Choice(["plain", "json"]),
    default="plain",
    show_default=True,
    envvar="PIPITLEDGE_LOG_FORMAT",
)
def run(config: pathlib.Path | None, attempts: pathlib.Path | None, log_format: str) -> None:
    """Run one node in the foreground until SIGTERM."""
    from pipitledge.__main__ import main as node

    for name, value in (
        ("BALANCER_CONFIG", config),
        ("PIPITLEDGE_ATTEMPTS", attempts),
        ("PIPITLEDGE_LOG_FORMAT", log_format),
    ):
        if value is not None:
            os.environ[name] = str(value)
    sys.exit(node())


class Unreadable(click.ClickException):
    """A file that can't be read: exit code 2, as for wrong usage."""

    exit_code = 2


def _bytes(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as fault:
        raise Unreadable(f"{path}: {fault.strerror}") from None


def _loader(path: pathlib.Path) -> Loader:
    """A loader by the settings in a node's configuration, or in a file that holds the settings alone."""
    try:
        raw = json.loads(_bytes(path))
        stated = raw.get("settings", raw)
        names = {lane["name"]: index for index, lane in enumerate(stated["lanes"])}
        return Loader(settings_from(stated), names)
    except (ValueError, KeyError, TypeError, AttributeError) as fault:
        raise Unreadable(f"{path}: no settings: {type(fault).__name__}: {fault}") from None


SETTINGS = click.option(
    "--settings", required=True, type=FILE, help="The node's configuration, or the operator's settings object (JSON)."
)


@main.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
@SETTINGS
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def check(files: tuple[pathlib.Path, ...], settings: pathlib.Path, as_json: bool) -> None:
    """Check files of attempt plans: exit code 0 sound, 1 mistakes, 2 usage or unreadable."""
    loader, found = _loader(settings), list[Mistake]()
    for path in files:
        found += finish(loader.load(str(path), _bytes(path))).mistakes
    if as_json:

        def as_object(mistake: Mistake) -> dict[str, object]:
            place: Place = mistake.place
            return {
                "file": place.file,
                "line": place.line,
                "column": place.column,
                "severity": mistake.severity.value,
                "text": mistake.text,
            }

        click.echo(json.dumps({"sound": not errors(found), "mistakes": [as_object(one) for one in found]}, indent=1))
    else:
        for mistake in found:
            click.echo(str(mistake))
    sys.exit(1 if errors(found) else 0)


@main.command()
@click.argument("file", type=FILE)
@SETTINGS
@click.option("--route", metavar="PATH", help="The plan for requests to this path alone.")
def explain(file: pathlib.Path, settings: pathlib.Path, route: str | None) -> None:
    """Show the plans in force, where each value was said, and the longest run that each allows."""
    from rich.console import Console
    from rich.table import Table

    loader = _loader(settings)
    loaded = finish(loader.load(str(file), _bytes(file)))
    for mistake in loaded.mistakes:
        click.echo(str(mistake), err=True)
    if loaded.plans is None:
        sys.exit(1)
    entries: list[InForce] = [*loaded.plans.classes, *loaded.plans.routes]
    if route is not None:
        name = route.split("?")[0].split("/")[1] if route.startswith("/") else ""
        if name not in loader.names:
            raise click.UsageError(f"{route}: a path's first part is its class, one of {', '.join(loader.names)}")
        plan = loaded.plans.plan(loader.names[name], route)
        entries = [entry for entry in entries if entry.plan is plan]
    console = Console(width=None if sys.stdout.isatty() else 110)
    for entry in entries:
        table = Table(title=entry.name, title_justify="left")
        for head in ("setting", "value", "from"):
            table.add_column(head)
        for keyword, value in entry.values.items():
            table.add_row(keyword, show(keyword, value.value), where(value))
        console.print(table)
        for line in timeline(entry.numbers):
            console.print("  " + line, highlight=False)
        console.print()


@main.command()
@click.option("--seconds", default=10.0, show_default=True, type=click.FloatRange(0.5, 600.0))
@click.option("--rate", default=80.0, show_default=True, type=click.FloatRange(1.0, 400.0), help="Jobs a second.")
@click.option("--workers", default=6, show_default=True, type=click.IntRange(1, 40))
@click.option("--attempts", type=FILE, help="A file of attempt plans for the node.")
@click.option(
    "--faults",
    default=0.05,
    show_default=True,
    type=click.FloatRange(0.0, 0.9),
    help="Share of attempts that go wrong, of all kinds alike.",
)
@click.option("--seed", default=1, show_default=True, type=int)
@click.option("--keep-log", type=FILE, help="Write the node's log there.")
def demo(
    seconds: float,
    rate: float,
    workers: int,
    attempts: pathlib.Path | None,
    faults: float,
    seed: int,
    keep_log: pathlib.Path | None,
) -> None:
    """Run a node among stand-in workers and clients for some seconds, and audit what happened."""
    from pipitledge.cli.demo import play

    sys.exit(play(seconds, rate, workers, attempts, faults, seed, keep_log))


@main.group("stand-in")
def stand_in() -> None:
    """Run one stand-in by itself, on a loopback address."""


@stand_in.command()
@click.option("--listen", required=True, metavar="ADDRESS:PORT")
@click.option("--name", default="w0", show_default=True)
@click.option("--slots", default=4, show_default=True, type=click.IntRange(1, 1_024))
@click.option("--speed", default=1.0, show_default=True, type=click.FloatRange(0.01, 100.0))
@click.option(
    "--fault",
    "rates",
    multiple=True,
    metavar="KIND=SHARE",
    help="A fault of attempts and its share, as silent=0.05; may be given more than once.",
)
@click.option("--cold", is_flag=True, help="It has just started.")
@click.option("--seed", default=1, show_default=True, type=int)
def worker(listen: str, name: str, slots: int, speed: float, rates: tuple[str, ...], cold: bool, seed: int) -> None:
    """A worker: takes jobs and answers in lines."""
    from pipitledge.cli.demo import serve_worker

    serve_worker(listen, name, slots, speed, rates, cold, seed)


@stand_in.command()
@click.option("--listen", required=True, metavar="ADDRESS:PORT")
@click.option("--worker", "rows", multiple=True, required=True, metavar="NAME=ADDRESS:PORT")
@click.option("--lag-ms", default=200.0, show_default=True, type=click.FloatRange(0.0))
def discovery(listen: str, rows: tuple[str, ...], lag_ms: float) -> None:
    """Discovery: the list of workers, and the watch on it."""
    from pipitledge.cli.demo import serve_discovery

    serve_discovery(listen, rows, lag_ms)


@main.group()
def ipp() -> None:
    """Print jobs: submit, list and cancel at a node; check printers; run a stand-in printer."""


AT = click.option("--at", required=True, metavar="ADDRESS:PORT", help="Where the node speaks IPP.")


@ipp.command("submit")
@click.argument("file", type=FILE)
@AT
@click.option("--name", help="The job's name; the file's, if left out.")
@click.option("--format", "form", default="application/octet-stream", show_default=True)
def ipp_submit(file: pathlib.Path, at: str, name: str | None, form: str) -> None:
    """Print a file, and wait for what became of it: exit code 0 printed, 1 not or not surely, 2 unreachable."""
    from pipitledge.cli.ipp import submit_file

    sys.exit(submit_file(file, at, name or file.name, form))


@ipp.command("jobs")
@AT
@click.option("--completed", is_flag=True, help="Those that are over.")
def ipp_jobs(at: str, completed: bool) -> None:
    """List jobs."""
    from pipitledge.cli.ipp import list_jobs

    sys.exit(list_jobs(at, completed))


@ipp.command("cancel")
@click.argument("number", type=click.IntRange(1))
@AT
def ipp_cancel(number: int, at: str) -> None:
    """Cancel a job that no printer has yet."""
    from pipitledge.cli.ipp import cancel_job

    sys.exit(cancel_job(number, at))


@ipp.command("printers")
@click.argument("file", type=FILE)
def ipp_printers(file: pathlib.Path) -> None:
    """Check a file of printers and ask each how it is: exit code 1 for mistakes or one that does not answer."""
    from pipitledge.cli.ipp import ask_printers

    sys.exit(ask_printers(file))


@ipp.command("stand-in")
@click.option("--listen", required=True, metavar="ADDRESS:PORT")
@click.option("--name", default="p0", show_default=True)
@click.option("--print-ms", default=500.0, show_default=True, type=click.FloatRange(1.0))
def ipp_stand_in(listen: str, name: str, print_ms: float) -> None:
    """Run a stand-in printer on a loopback address."""
    from pipitledge.cli.ipp import serve_printer

    serve_printer(listen, name, print_ms)


class Later(click.Group):
    """A group whose commands are imported when one of them is asked for: most calls need none of them."""

    def __init__(self, module: str, attribute: str, **told: object) -> None:
        """Know where the group is."""
        super().__init__(**told)  # type: ignore[arg-type]
        self.module, self.attribute = module, attribute

    def _group(self) -> click.Group:
        group: click.Group = getattr(importlib.import_module(self.module), self.attribute)
        return group

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of its commands."""
        return self._group().list_commands(ctx)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """One of its commands."""
        return self._group().get_command(ctx, cmd_name)


main.add_command(
    Later(
        "pipitledge.cli.policy",
        "policy",
        name="policy",
        help="One policy for the whole tier: propose a change, see where each node stands.",
    )
)
main.add_command(
    Later(
        "pipitledge.cli.fleet",
        "fleet",
        name="fleet",
        help="Several nodes as processes, faults between them, and an audit.",
    )
)


@main.command("experiment", add_help_option=False, context_settings={"ignore_unknown_options": True})
@click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
def experiment(arguments: tuple[str, ...]) -> None:
    """Runs of the cluster scheduler at size."""
    sys.exit(_system_command("pipitledge.cli.experiment", arguments))


@main.command("system", add_help_option=False, context_settings={"ignore_unknown_options": True})
@click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
def system(arguments: tuple[str, ...]) -> None:
    """The cluster scheduler: run its programs, check settings, look into data folders, ask processes."""
    sys.exit(_system_command("pipitledge.cli.system", arguments))


def _system_command(module: str, arguments: tuple[str, ...]) -> int:
    """Carry out a command of the cluster scheduler, whose libraries a machine may lack; its exit code."""
    try:
        commands = importlib.import_module(module)
    except ModuleNotFoundError as missing:
        raise Unreadable(f"{missing}; the cluster scheduler's libraries are in requirements-system.txt") from None
    return int(commands.main(arguments))


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script for a shell, to be sourced."""
    found = get_completion_class(shell)
    assert found is not None
    click.echo(found(main, {}, "pipitledge", "_PIPITLEDGE_COMPLETE").source())
