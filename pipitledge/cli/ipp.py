"""The ipp sub-commands: a small client, and a stand-in printer."""

from __future__ import annotations

import pathlib
from collections import Counter
from collections.abc import Iterable, Iterator

import click
from rich.console import Console
from rich.table import Table

from pipitledge.cli.demo import make_scheduler, read_address, run_until_stopped
from pipitledge.conf.parse import finish
from pipitledge.emulator.faults import Faults
from pipitledge.emulator.ipp_servers import PrinterServer, message, submit
from pipitledge.emulator.printer import Printer
from pipitledge.ipp.codec import Attribute, AttributeGroup, Group, Message, Tag, attribute
from pipitledge.ipp.model import JobState, Op, PrinterState
from pipitledge.ipp.printers import load
from pipitledge.net.timers import Clock
from pipitledge.node.config import Address

CHUNK = 32 * 1024


def call(
    where: Address, op: Op, *more: Attribute, document: Iterable[bytes] = (), until_ms: float = 60_000.0
) -> Message | None:
    """One request, run to its end; None if there was no answer."""
    clock, answers = Clock(), list[Message | None]()
    scheduler = make_scheduler(clock)
    uri = "ipp://{}:{}/ipp/print".format(*where)

    def task() -> None:
        answers.append(submit(scheduler, clock, where, message(op, uri, *more), document, until_ms=until_ms))

    scheduler.spawn(task)
    while not answers:
        scheduler.turn(200.0)
    return answers[0]


def _unreachable(at: str) -> int:
    click.echo(f"{at}: no answer", err=True)
    return 2


def _parts(path: pathlib.Path) -> Iterator[bytes]:
    with path.open("rb") as file:
        while part := file.read(CHUNK):
            yield part


def submit_file(path: pathlib.Path, at: str, name: str, form: str) -> int:
    """Print a file; 0 if it was printed."""
    if not path.is_file():
        click.echo(f"Error: {path}: no such file", err=True)
        return 2
    answer = call(
        read_address(at),
        Op.PRINT_JOB,
        attribute("job-name", Tag.NAME, name[:255]),
        attribute("document-format", Tag.MIME, form),
        document=_parts(path),
    )
    if answer is None:
        return _unreachable(at)
    state, reason = answer.first(Group.JOB, "job-state"), answer.first(Group.JOB, "job-state-reasons")
    text = answer.first(Group.OPERATION, "status-message") or ""
    if state is None:
        click.echo(f"refused: {text} (status 0x{answer.code:04x})")
        return 1
    click.echo(
        f"job {answer.first(Group.JOB, 'job-id')} {JobState(state).name.lower()}"
        + (f", {reason}: {text}" if state != JobState.COMPLETED else "")
    )
    return 0 if state == JobState.COMPLETED else 1


def list_jobs(at: str, completed: bool) -> int:
    """A table of jobs."""
    wanted = ["job-id", "job-name", "job-state", "job-state-reasons", "job-originating-user-name"]
    answer = call(
        read_address(at),
        Op.GET_JOBS,
        attribute("requested-attributes", Tag.KEYWORD, *wanted),
        attribute("which-jobs", Tag.KEYWORD, "completed" if completed else "not-completed"),
        until_ms=5_000.0,
    )
    if answer is None:
        return _unreachable(at)
    table = Table("job", "name", "state", "reason", "user")
    for group in (group for group in answer.groups if group.tag == Group.JOB):
        said = {one.name: one.values[0].data for one in group.attributes}
        table.add_row(
            str(said["job-id"]),
            said["job-name"],
            JobState(said["job-state"]).name.lower(),
            *(said[name] for name in wanted[3:]),
        )
    Console().print(table)
    return 0


def cancel_job(number: int, at: str) -> int:
    """Cancel a job; 0 if it was."""
    answer = call(read_address(at), Op.CANCEL_JOB, attribute("job-id", Tag.INTEGER, number), until_ms=5_000.0)
    if answer is None:
        return _unreachable(at)
    click.echo(
        f"job {number} canceled"
        if answer.code < 0x0400
        else f"not canceled: {answer.first(Group.OPERATION, 'status-message')}"
    )
    return 0 if answer.code < 0x0400 else 1


def ask_printers(path: pathlib.Path) -> int:
    """A table of printers and how they are."""
    try:
        entries, mistakes = finish(load(str(path), path.read_bytes()))
    except OSError as fault:
        click.echo(f"Error: {path}: {fault.strerror}", err=True)
        return 2
    for mistake in mistakes:
        click.echo(str(mistake))
    if not entries:
        return 1
    table, silent = Table("printer", "address", "state", "takes jobs", "queued", "up for s"), 0
    for entry in entries:
        answer = call(entry.where, Op.GET_PRINTER_ATTRIBUTES, until_ms=2_000.0)
        told = answer.group(Group.PRINTER) if answer is not None else AttributeGroup(Group.PRINTER)
        said = {one.name: one.values[0].data for one in told.attributes}
        silent += answer is None
        state = said.get("printer-state")
        table.add_row(
            entry.name,
            "{}:{}".format(*entry.where),
            "no answer"
            if answer is None
            else PrinterState(state).name.lower()
            if state in set(PrinterState)
            else "unknown",
            *(
                str(said.get(name, "-"))
                for name in ("printer-is-accepting-jobs", "queued-job-count", "printer-up-time")
            ),
        )
    Console().print(table)
    return 1 if silent else 0


def serve_printer(listen: str, name: str, print_ms: float) -> None:
    """Run one stand-in printer until it is stopped."""
    clock, ledger = Clock(), Counter[str]()
    scheduler = make_scheduler(clock)
    model = Printer(name, ledger, print_ms, started_ms=clock.now(), now=clock.now())
    try:
        server = PrinterServer(scheduler, clock, model, Faults(), read_address(listen))
    except (OSError, ValueError) as fault:
        raise click.UsageError(str(fault)) from None
    run_until_stopped(scheduler, "ready printer {} {}:{}".format(name, *server.address))
