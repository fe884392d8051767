"""`pipitledge system`: run the programs, check settings, look into data folders, ask processes, recover by hand.

Exit codes: 0 all is well; 1 there are problems, or the process asked cannot tell this; 2 wrong usage, or what was named
cannot be reached or read.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Literal

import cyclopts
import msgspec
from cyclopts import Parameter

from pipitledge import __version__
from pipitledge.cli import data_folder, system_recover, system_status
from pipitledge.cli.data_folder import FolderContent, FolderProblem
from pipitledge.cli.settings_check import check_settings
from pipitledge.cli.system_status import Fault, StatusProblem
from pipitledge.cli.tables import console_for, show_pairs, show_rows, show_section
from pipitledge.replication.forced_recovery import RecoveryRefusal
from pipitledge.runtime.settings import CONFIG_VARIABLE, DEFAULT_CONFIG_PATH

SUCCESS, PROBLEM, UNUSABLE = 0, 1, 2  # exit codes
LONGEST_RECORD = 200  # characters of a record in a table; JSON has all

Program = Literal["node", "agent"]
SectionName = Literal["process", "members", "configuration", "queues", "workers", "jobs", "replica", "agent"]
AsJson = Annotated[bool, Parameter(name="--json", negative=())]

app = cyclopts.App(name="pipitledge system", help="The cluster scheduler.", version=__version__)


@app.command
def run(program: Program, /, *, settings: Path | None = None) -> int:
    """Run a program in the foreground until SIGTERM.

    Parameters
    ----------
    program:
        `node` on edge machines, `agent` beside a worker.
    settings:
        The settings file; by default the one that PIPITLEDGE_CONFIG names.
    """
    if settings is not None:
        os.environ[CONFIG_VARIABLE] = str(settings)
    path = Path(os.environ.get(CONFIG_VARIABLE) or DEFAULT_CONFIG_PATH)
    if not path.is_file():
        return _fail(f"{path}: there is no such settings file", UNUSABLE)
    if program == "node":
        from pipitledge.programs.node import main as program_main
    else:
        from pipitledge.programs.agent import main as program_main
    program_main()
    return SUCCESS


@app.command
def check(file: Path, /) -> int:
    """Check a settings file: exit code 0 sound, 1 problems.

    Parameters
    ----------
    file:
        The settings file.
    """
    report = check_settings(file)
    for warning in report.warnings:
        print(f"{file}: warning: {warning}", file=sys.stderr)
    if report.problems:
        for problem in report.problems:
            print(f"{file}: {problem}", file=sys.stderr)
        return PROBLEM
    print(f"{file}: ok, for `pipitledge system run {report.program}`")
    for topic, what in report.would_start.items():
        print(f"  {topic:<10} {what}")
    return SUCCESS


@app.command
def inspect(folder: Path, /, *, keys: str = "", as_json: AsJson = False) -> int:
    """Show what a node keeps in its data folder, and change nothing there: exit code 1 if it is damaged.

    Parameters
    ----------
    folder:
        `dataDir` of the settings, with the node stopped (or a copy of it).
    keys:
        Only records whose keys begin with this, such as `job/`.
    as_json:
        One JSON object, records whole.
    """
    content = data_folder.read_folder(folder)
    if isinstance(content, FolderProblem):
        return _fail_folder(content, as_json)
    records = {
        key: data_folder.readable(key, value) for key, value in sorted(content.state.items()) if key.startswith(keys)
    }
    if as_json:
        _print_json({"damaged": False, **_summary(content), "records": records})
    else:
        _show_folder(content, records)
    return SUCCESS


@app.command
def status(address: str, section: SectionName | None = None, /, *, as_json: AsJson = False) -> int:
    """Ask a running process for its own view of things.

    Parameters
    ----------
    address:
        ip:port of its internal port, the first free one of `internalPortRange`.
    section:
        One section alone; all that the process has, if left out.
    as_json:
        One JSON object.
    """
    sections = system_status.ask(address, section or "")
    if isinstance(sections, StatusProblem):
        return _fail_status(sections)
    if as_json:
        _print_json(sections)
    problem = system_status.not_primary(address, sections[section]) if section else None
    if problem is not None:
        return _fail_status(problem)
    if not as_json:
        console = console_for(sys.stdout)
        for name, content in sections.items():
            show_section(console, name, content)
    return SUCCESS


@app.command
def recover(
    addresses: Annotated[list[str], Parameter(negative=())],
    /,
    *,
    member: Annotated[list[str] | None, Parameter(negative=())] = None,
    lost: Annotated[list[str] | None, Parameter(negative=())] = None,
    as_json: AsJson = False,
) -> int:
    """Make the counted nodes named a group again where no quorum can be had any more: the last resort.

    Without --member it only tells what the nodes know and what would be lost. Exit code 0 done (or a plan exists),
    1 refused, 2 wrong usage or a node cannot be reached.

    Parameters
    ----------
    addresses:
        ip:port of the internal port of every counted node that still runs.
    member:
        Name of a node that is to be a member; once for each.
    lost:
        Name of a member that is gone for good and will not come back; once for each.
    as_json:
        One JSON object.
    """
    states = system_recover.survey(addresses)
    if isinstance(states, StatusProblem):
        return _fail_status(states)
    plan = system_recover.plan_for(states, member or [], lost or [])
    if as_json:
        _print_json({"nodes": msgspec.to_builtins(states), "plan": msgspec.to_builtins(plan)})
    else:
        show_rows(console_for(sys.stdout), "nodes", [system_recover.row(state) for state in states])
    if isinstance(plan, RecoveryRefusal):
        return _fail(f"refused: {plan.reason}", PROBLEM)
    print(f"would be lost: {plan.loss}", file=sys.stderr)
    if not member:
        print("nothing was changed; name each new member with --member to go on", file=sys.stderr)
        return SUCCESS
    problem = system_recover.force(plan, states)
    if problem is not None:
        return _fail(f"refused: {problem}", PROBLEM)
    print(f"the view of epoch {plan.view.epoch} is in force; {plan.view.primary} leads next", file=sys.stderr)
    return SUCCESS


def main(arguments: Sequence[str] | None = None) -> int:
    """Carry out one command; its exit code."""
    tokens = list(sys.argv[1:] if arguments is None else arguments)
    try:
        result = app(tokens, exit_on_error=False, result_action="return_value")
    except cyclopts.CycloptsError:  # told already
        return UNUSABLE
    return result if isinstance(result, int) else SUCCESS


def _summary(content: FolderContent) -> dict[str, object]:
    """All but the records."""
    return {
        "fresh": content.fresh,
        "generation": content.generation,
        "term": content.term,
        "sequence": content.sequence,
        "logRecords": content.log_records,
        "logEntries": content.log_entries,
        "keys": len(content.state),
        "promises": msgspec.to_builtins(content.promises),
    }


def _show_folder(content: FolderContent, records: dict[str, dict[str, object]]) -> None:
    console = console_for(sys.stdout)
    summary = _summary(content)
    del summary["promises"]
    show_pairs(console, "state", summary)
    if content.fresh or content.promises is None:
        console.print("Nothing was promised here yet.")
    else:
        promises = msgspec.to_builtins(content.promises)
        view = promises.pop("accepted")
        show_pairs(console, "promises", promises)
        if view is not None:
            show_section(console, "view", view)
    if records:
        rows = [{"key": key, "record": _cut(record)} for key, record in records.items()]
        show_rows(console, "records", rows)
    else:
        console.print("No records.")


def _cut(record: dict[str, object]) -> str:
    text = msgspec.json.encode(record).decode()
    return text if len(text) <= LONGEST_RECORD else text[: LONGEST_RECORD - 3] + "..."


def _fail_folder(problem: FolderProblem, as_json: bool) -> int:
    if not problem.damaged:
        return _fail(f"{problem.path}: {problem.reason}", UNUSABLE)
    if as_json:
        _print_json({"damaged": True, "reason": problem.reason})
    hint = "a node would treat this as a lost disk (if one writes here just now, stop it or try again)"
    return _fail(f"{problem.path}: damaged: {problem.reason}; {hint}", PROBLEM)


def _fail_status(problem: StatusProblem) -> int:
    code = PROBLEM if problem.fault in (Fault.NO_SECTION, Fault.NOT_PRIMARY) else UNUSABLE
    return _fail(str(problem), code)


def _fail(message: str, code: int) -> int:
    print(message, file=sys.stderr)
    return code


def _print_json(value: object) -> None:
    print(msgspec.json.format(msgspec.json.encode(value), indent=1).decode())


if __name__ == "__main__":
    sys.exit(main())
