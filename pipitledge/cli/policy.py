"""`pipitledge policy`: what operators say to a node of a tier about its policy, over the node's second address.

Exit codes: 0 done, or as asked; 1 the tier or the node says no (a refusal, a change lost or dropped); 2 usage, a file
that can't be read, or a node that does not answer; 3 not known yet (an outcome still open when the waiting ended).
"""

from __future__ import annotations

import json
import pathlib
import socket
import sys
import time
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from pipitledge.node.config import ConfigError, address
from pipitledge.tier import document
from pipitledge.tier.document import BadDocument, Document

NO, USAGE, OPEN = 1, 2, 3
ANSWER_S, WAIT_S, AGAIN_S = 3.0, 15.0, 0.05


def fail(text: str, code: int) -> None:
    """Say why on standard error, and end."""
    click.echo(text, err=True)
    sys.exit(code)


def call(at: str, line: str, body: bytes = b"") -> Any:
    """One call at a node's second address; what it answers, or an end with the reason."""
    try:
        place = address(at)
    except ConfigError as fault:
        fail(f"--at {at}: {fault}", USAGE)
    try:
        with socket.create_connection(place, ANSWER_S) as sock:
            sock.settimeout(ANSWER_S)
            sock.sendall(line.encode() + b"\n" + body)
            with sock.makefile("rb") as answer:
                text = answer.read().decode().strip()
    except OSError as fault:
        fail(f"{at}: {fault}", USAGE)
    if text.startswith("+OK"):
        return json.loads(text[4:] or "{}")
    fail(f"{at}: {text.removeprefix('-ERR ') or 'no answer'}", NO)
    return None


def read_json(path: pathlib.Path) -> Any:
    """A JSON file; an end with its place where it can't be read."""
    try:
        return json.loads(path.read_text(encoding="utf-8"))
    except OSError as fault:
        fail(f"{path}: {fault.strerror}", USAGE)
    except ValueError as fault:
        where = f":{fault.lineno}:{fault.colno}" if isinstance(fault, json.JSONDecodeError) else ""
        fail(f"{path}{where}: no JSON: {fault}", USAGE)


def settings_of(path: pathlib.Path) -> dict[str, Any]:
    """The settings in a node's configuration, or in a file that holds them alone."""
    raw = read_json(path)
    stated = raw.get("settings", raw) if isinstance(raw, dict) else None
    if not isinstance(stated, dict) or not stated.get("lanes"):
        fail(f"{path}: settings.lanes: missing; a node's configuration or its settings object is wanted", USAGE)
    return document.shared(stated or {})


def show_document(at: str, version: str = "") -> tuple[int, Document]:
    """A version's document, as a node has it."""
    told = call(at, f"POLICY SHOW {version}".strip())
    try:
        return int(told["version"]), document.read(json.dumps(told["document"]).encode())
    except BadDocument as fault:
        fail(f"{at}: {fault}", NO)
        raise


def print_differences(old: Document, new: Document, as_json: bool) -> None:
    """What changes, by place."""
    found = document.differences(old, new)
    if as_json:
        click.echo(json.dumps([{"place": place, "was": was, "becomes": becomes} for place, was, becomes in found]))
        return
    table = Table()
    for head in ("place", "was", "becomes"):
        table.add_column(head, overflow="fold")
    for row in found:
        table.add_row(*row)
    Console(width=None if sys.stdout.isatty() else 110).print(table if found else "nothing changes")


def propose(at: str, body: dict[str, Any], made_from: str, wait: bool, as_json: bool) -> None:
    """Propose, and say what became of it."""
    data = json.dumps(body).encode()
    change = str(call(at, f"POLICY PROPOSE {len(data)} {made_from}", data)["id"])
    until = time.monotonic() + WAIT_S
    told: dict[str, Any] = {"result": "under way", "why": ""}
    while wait and told["result"] == "under way" and time.monotonic() < until:
        time.sleep(AGAIN_S)
        told = call(at, f"POLICY OUTCOME {change}")
    if wait and told["result"] == "in force":  # here; now all others that are heard
        behind = ["?"]
        while behind and time.monotonic() < until:
            status = call(at, "POLICY STATUS")
            behind = [
                name
                for name, member in status["members"].items()
                if member["heard_ms"] is not None
                and member["heard_ms"] < 4_000
                and (member["version"] != status["version"] or member["stage"] != "in force")
            ]
            time.sleep(AGAIN_S if behind else 0.0)
        told["everywhere"] = not behind
    if as_json:
        click.echo(json.dumps({"id": change, **told}))
    else:
        everywhere = "" if "everywhere" not in told else f",{'' if told['everywhere'] else ' not yet'} on all heard"
        click.echo(f"{change[:8]}: {told['result']}{everywhere}" + (f" ({told['why']})" if told["why"] else ""))
    sys.exit({"in force": 0, "under way": OPEN if wait else 0, "open": OPEN}.get(told["result"], NO))


def print_status(status: dict[str, Any]) -> None:
    """A table of the members, and what is under way."""
    console = Console(width=None if sys.stdout.isatty() else 110)
    lease = "its own word" if status["lease_ms"] is None else f"{status['lease_ms']} ms"
    console.print(
        f"{status['node']}: version {status['version']} ({status['name']}), {status['stage']}, "
        f"{'admits' if status['admits'] else 'admits nothing'}, lease {lease}; a decision takes "
        f"{status['needs']['decision']} of {len(status['members'])}, a lease {status['needs']['lease']}",
        highlight=False,
    )
    table = Table()
    for head in ("node", "address", "version", "stage", "last heard"):
        table.add_column(head)
    for name, member in status["members"].items():
        heard = member["heard_ms"]
        table.add_row(
            name + (" (vouched: gone)" if member["vouched"] else ""),
            member["address"],
            str(member["version"] or "?"),
            member["stage"] or "?",
            "never" if heard is None else f"{heard / 1_000:.1f} s ago" if heard >= 1_000 else "now",
        )
    console.print(table)
    if status["change"]:
        console.print(f"under way: {status['change']['name'] or 'a change'} of {status['change']['proposer']}")
    if status["broken"]:
        console.print("its disk failed: it takes part in nothing until it is started again")
    for change, told in status["outcomes"].items():
        console.print(f"proposed here: {change[:8]} {told['result']} ({told['why']})", highlight=False)


def print_history(rows: list[dict[str, Any]]) -> None:
    """Which version was in force when, at this node."""
    table = Table()
    for head in ("from (UTC)", "version", "stage", "name", "proposed at"):
        table.add_column(head)
    for entry in rows:
        stamp = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry["at"])) + f".{int(entry['at'] * 1000) % 1000:03d}"
        table.add_row(stamp, str(entry["version"]), entry["stage"], entry["name"], entry["by"] or "-")
    Console(width=None if sys.stdout.isatty() else 110).print(table)


AT = click.option(
    "--at",
    required=True,
    envvar="PIPITLEDGE_CONSOLE",
    metavar="ADDRESS:PORT",
    help="A node's second address (`console` in its configuration).",
)
JSON = click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")
WAIT = click.option("--wait/--no-wait", default=True, show_default=True, help="Wait for what becomes of it.")
FROM = click.option(
    "--from",
    "made_from",
    default="-",
    metavar="VERSION",
    help="The version that the change was made from; refused if another is in force.",
)
FILE = click.Path(dir_okay=False, path_type=pathlib.Path)


@click.group()
def policy() -> None:
    """One policy for the whole tier: propose a change, see where each node stands."""


@policy.command("propose")
@click.argument("file", type=FILE, required=False)
@click.option("--plans", type=FILE, help="A file of attempt plans to go with it; without, those in force stay.")
@click.option("--name", default="", help="What the change is called in logs and tables.")
@click.option("--member", "members", multiple=True, metavar="NAME=ADDRESS:PORT", help="Take a node into the tier.")
@click.option("--remove", multiple=True, metavar="NAME", help="Take a node out of the tier.")
@AT
@FROM
@WAIT
@JSON
def propose_command(
    file: pathlib.Path | None,
    plans: pathlib.Path | None,
    name: str,
    members: tuple[str, ...],
    remove: tuple[str, ...],
    at: str,
    made_from: str,
    wait: bool,
    as_json: bool,
) -> None:
    """Propose the settings in FILE (a node's configuration, or its settings object) to the whole tier."""
    body: dict[str, Any] = {"name": name}
    if file is not None:
        body["settings"] = settings_of(file)
    if plans is not None:
        try:
            body["plans"] = plans.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as fault:
            fail(f"{plans}: {fault}", USAGE)
    if members or remove:
        listed = {**show_document(at)[1].members}
        for pair in members:
            who, _, where = pair.partition("=")
            try:
                listed[who] = "{}:{}".format(*address(where))
            except ConfigError as fault:
                fail(f"--member {pair}: {fault}", USAGE)
        for who in remove:
            if listed.pop(who, None) is None:
                fail(f"--remove {who}: no member has this name", USAGE)
        body["members"] = listed
    if len(body) == 1:
        fail("nothing is proposed: FILE, --plans, --member or --remove", USAGE)
    propose(at, body, made_from, wait, as_json)


@policy.command("status")
@AT
@JSON
def status_command(at: str, as_json: bool) -> None:
    """Where each node stands: version, phase, when it was last heard, this one's lease."""
    told = call(at, "POLICY STATUS")
    click.echo(json.dumps(told)) if as_json else print_status(told)


@policy.command("show")
@click.argument("version", default="")
@AT
def show_command(version: str, at: str) -> None:
    """Print a version's document as JSON; without VERSION the one in force."""
    click.echo(json.dumps(call(at, f"POLICY SHOW {version}".strip()), indent=1))


@policy.command("diff")
@click.argument("old")
@click.argument("new", default="")
@AT
@JSON
def diff_command(old: str, new: str, at: str, as_json: bool) -> None:
    """What changes between two versions, or between the one in force and a file of settings."""
    if pathlib.Path(old).exists():
        _, in_force = show_document(at)
        print_differences(
            in_force,
            Document(
                settings_of(pathlib.Path(old)),
                in_force.plans,
                in_force.name,
                in_force.by,
                in_force.at_ms,
                in_force.members,
                in_force.was,
            ),
            as_json,
        )
    else:
        print_differences(show_document(at, old)[1], show_document(at, new)[1], as_json)


@policy.command("abort")
@AT
def abort_command(at: str) -> None:
    """Drop the change that was proposed at this node, if it can't have been decided yet."""
    call(at, "POLICY ABORT")
    click.echo("dropped")


@policy.command("rollback")
@click.argument("version", type=click.IntRange(1))
@AT
@WAIT
@JSON
def rollback_command(version: int, at: str, wait: bool, as_json: bool) -> None:
    """Propose the settings and plans of an earlier version once more. Members stay as they are."""
    _, old = show_document(at, str(version))
    propose(
        at, {"settings": dict(old.settings), "plans": old.plans, "name": f"rollback to {version}"}, "-", wait, as_json
    )


@policy.command("history")
@AT
@JSON
def history_command(at: str, as_json: bool) -> None:
    """Which version was in force at this node, and from when."""
    told = call(at, "POLICY HISTORY")
    click.echo(json.dumps(told)) if as_json else print_history(told)


@policy.command("vouch")
@click.argument("name")
@AT
@click.confirmation_option(prompt="Is this node stopped, and will it not come back by itself?")
def vouch_command(name: str, at: str) -> None:
    """Tell a node that another one is stopped for good, so that it can decide or start without it.

    If that node runs on behind a cut, the tier has two policies: nobody but you can know.
    """
    call(at, f"POLICY VOUCH {name}")
    click.echo(f"{name} counts as gone at {at} until it is heard")
