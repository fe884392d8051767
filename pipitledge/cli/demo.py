"""The demo and the stand-ins as commands: drivers wired up, a live view, a closing table."""

from __future__ import annotations

import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from typing import IO

import click
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from pipitledge.decision.interface import State
from pipitledge.emulator import site
from pipitledge.emulator.audit import Audit
from pipitledge.emulator.client import Clients
from pipitledge.emulator.discovery import row
from pipitledge.emulator.faults import Fault, Faults
from pipitledge.emulator.servers import DiscoveryServer, LoadClients, WorkerServer
from pipitledge.emulator.worker import Machine, Rack, Worker
from pipitledge.net.scheduler import Scheduler
from pipitledge.net.timers import Clock, Timers
from pipitledge.node.config import ConfigError, address

START_S, END_MS = 10.0, 6_000.0


def make_scheduler(clock: Clock) -> Scheduler:
    """A scheduler whose tasks' exceptions end the command."""

    def crashed(fault: BaseException) -> None:
        raise fault

    return Scheduler(Timers(clock.now), crashed)


def read_address(text: str) -> tuple[str, int]:
    """An address, or a usage error."""
    try:
        return address(text)
    except ConfigError as fault:
        raise click.UsageError(str(fault)) from None


def run_until_stopped(scheduler: Scheduler, what: str) -> None:
    """Say that it is ready, and run until SIGTERM or SIGINT."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    click.echo(what)
    try:
        while True:
            scheduler.turn(200.0)
    except KeyboardInterrupt:
        pass


def serve_worker(
    listen: str, name: str, slots: int, speed: float, rates: tuple[str, ...], cold: bool, seed: int
) -> None:
    """Run one worker until it is stopped."""
    shares = dict[Fault, float]()
    for pair in rates:
        kind, _, share = pair.partition("=")
        try:
            shares[Fault(kind)] = float(share)
        except ValueError:
            known = ", ".join(fault.value for fault in Fault)
            raise click.UsageError(f"--fault {pair}: KIND=SHARE, with a KIND of {known}") from None
    clock, settings = Clock(), site.settings()
    scheduler = make_scheduler(clock)
    model = Worker(Machine(name, slots, speed), Rack(7_500.0), Audit(settings), clock.now() if cold else -1e15)
    try:
        server = WorkerServer(
            scheduler, clock, read_address(listen), model, settings, site.CLASSES, Faults(seed, shares), Counter()
        )
    except (OSError, ValueError) as fault:
        raise click.UsageError(str(fault)) from None
    run_until_stopped(scheduler, "ready worker {} {}:{}".format(name, *server.address))


def serve_discovery(listen: str, rows: tuple[str, ...], lag_ms: float) -> None:
    """Run discovery until it is stopped."""
    clock, audit = Clock(), Audit(site.settings())
    scheduler = make_scheduler(clock)
    try:
        server = DiscoveryServer(scheduler, clock, read_address(listen), lag_ms)
    except (OSError, ValueError) as fault:
        raise click.UsageError(str(fault)) from None
    for pair in rows:
        name, _, where = pair.partition("=")
        server.put(row(Worker(Machine(name), Rack(0.0), audit), read_address(where)), at_once=True)
    run_until_stopped(scheduler, "ready discovery {}:{}".format(*server.address))


class Shop:
    """A node as a process of its own, among stand-ins in this one."""

    def __init__(
        self, folder: pathlib.Path, workers: int, attempts: pathlib.Path | None, faults: float, seed: int, log: IO[str]
    ) -> None:
        """Start everything; the node is ready when this returns."""
        self.clock, self.settings = Clock(), site.settings()
        self.scheduler, self.audit = make_scheduler(self.clock), Audit(self.settings)
        kinds = [fault for fault in Fault if fault is not Fault.NONE]
        drawn = Faults(seed, {kind: faults / len(kinds) for kind in kinds})
        racks, seen = dict[int, Rack](), Counter[str]()
        self.discovery = DiscoveryServer(self.scheduler, self.clock, ("127.0.0.1", 0))
        self.discovery.told = self._told
        self.servers = list[WorkerServer]()
        for machine in site.machines(workers):
            model = Worker(machine, racks.setdefault(machine.cell, Rack(7_500.0)), self.audit)
            server = WorkerServer(
                self.scheduler, self.clock, ("127.0.0.1", 0), model, self.settings, site.CLASSES, drawn, seen
            )
            self.servers.append(server)
            self.discovery.put(row(model, server.address), at_once=True)
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.node = free.getsockname()
        path = folder / "config.json"
        known = list(self.discovery.model.rows.values())
        path.write_text(
            site.config(
                "n0", self.node, self.discovery.address, known, seed, str(attempts.resolve()) if attempts else ""
            )
        )
        self.process = subprocess.Popen(
            [sys.executable, "-m", "pipitledge"],
            stdout=log,
            stderr=subprocess.STDOUT,
            env={**os.environ, "BALANCER_CONFIG": str(path)},
        )
        self._wait_ready()

    def _wait_ready(self) -> None:
        until = time.monotonic() + START_S
        while time.monotonic() < until and self.process.poll() is None:
            try:
                with socket.create_connection(self.node, 1.0) as probe:
                    probe.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    if probe.recv(64).startswith(b"HTTP/1.1 200"):
                        return
            except OSError:
                self.scheduler.turn(20.0)
        self.process.kill()
        raise click.ClickException("the node did not start; see its log with --keep-log FILE")

    def _told(self, name: str, state: State) -> None:
        if state is State.SERVING:
            self.audit.told_back(name)
        else:
            self.audit.told_drain(name, self.clock.now())

    def drain(self, index: int, back_ms: float) -> None:
        """A worker drains, restarts cold, and comes back."""
        server = self.servers[index]
        self.discovery.put(row(server.model, server.address, State.DRAINING))

        def back() -> None:
            server.model.restart(self.clock.now())
            self.discovery.put(row(server.model, server.address))

        self.scheduler.timers.at(self.clock.now() + back_ms, back)

    def stop(self) -> int:
        """End the node in order; its exit code."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                return self.process.wait(10.0)
            except subprocess.TimeoutExpired:
                self.process.kill()
        return self.process.wait()


def _table(shop: Shop, load: LoadClients, title: str) -> Table:
    table = Table(title=title, title_justify="left")
    for head in ("class", "asked", "served", "refused", "failed", "in time", "p50 ms", "p95 ms", "p99 ms"):
        table.add_column(head, justify="left" if head == "class" else "right")
    for index, name in load.names.items():
        took, asked = sorted(load.took[index]), load.asked[index]
        marks = [
            f"{took[min(len(took) - 1, int(len(took) * share))]:.0f}" if took else "-" for share in (0.5, 0.95, 0.99)
        ]
        table.add_row(
            name,
            str(asked),
            *(str(load.heard[index, heard]) for heard in ("served", "refused", "failed")),
            f"{100 * load.in_time[index] / asked:.0f} %" if asked else "-",
            *marks,
        )
    return table


def play(
    seconds: float,
    rate: float,
    workers: int,
    attempts: pathlib.Path | None,
    faults: float,
    seed: int,
    keep_log: pathlib.Path | None,
) -> int:
    """Run the demo; 0 if the audit finds every rule kept."""
    console = Console(width=None if sys.stdout.isatty() else 110)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with (keep_log or folder / "node.log").open("w") as log:
            shop = Shop(folder, workers, attempts, faults, seed, log)
            try:
                load = drive(shop, console, seconds, rate, seed, faults > 0.0)
            finally:
                code = shop.stop()
    console.print(
        _table(
            shop,
            load,
            f"{seconds:g} s, {rate:g} jobs/s, {workers} workers, {faults:.0%} of attempts faulty, seed {seed}",
        )
    )
    audit, breaches = shop.audit, shop.audit.breaches()
    console.print(
        f"audit: {audit.counts['taken']} requests taken, {audit.counts['sent']} attempts, "
        f"{audit.counts['ran']} runs, {audit.counts['dropped']} repeats dropped by racks; latest send after "
        f"a drain was told {audit.latest_after_drain_ms:.0f} ms; node ended with {code}",
        highlight=False,
    )
    for line in breaches[:20]:
        console.print(Text("broken: " + line, style="red"))
    console.print(Text("every rule kept", style="green") if not breaches else f"{len(breaches)} breaches")
    return 1 if breaches or code else 0


def drive(shop: Shop, console: Console, seconds: float, rate: float, seed: int, faults: bool = False) -> LoadClients:
    """Let the clients come, show how it goes, and wait until all have heard."""
    clock, scheduler = shop.clock, shop.scheduler
    load = LoadClients(scheduler, clock, Clients(shop.settings, site.kinds(), seed, retries=1), shop.node, shop.audit)
    end = clock.now() + seconds * 1_000.0
    scheduler.spawn(lambda: load.arrivals(rate, end))
    if len(shop.servers) > 2 and seconds >= 4.0:
        scheduler.timers.at(clock.now() + 1_000.0, lambda: shop.drain(0, 1_500.0))
        if faults:  # faults of whole machines: one refuses, one accepts nothing, discovery goes down
            scheduler.timers.at(clock.now() + 1_500.0, lambda: shop.servers[1].refuse(500.0))
            scheduler.timers.at(clock.now() + 2_200.0, lambda: shop.servers[2].hang(500.0))
            scheduler.timers.at(clock.now() + 2_800.0, lambda: shop.discovery.down(600.0))
    with Live(console=console, auto_refresh=False, transient=True) as live:
        shown = 0.0
        while clock.now() < end or (load.open and clock.now() < end + END_MS):
            scheduler.turn(50.0)
            if console.is_terminal and clock.now() > shown + 250.0:
                shown = clock.now()
                queued = sum(len(server.model.queue) + len(server.model.running) for server in shop.servers)
                live.update(
                    Group(
                        _table(shop, load, f"{max(0.0, (end - shown) / 1_000.0):.0f} s to go"),
                        Text(f"open {load.open}, at workers {queued}"),
                    ),
                    refresh=True,
                )
            if shop.process.poll() is not None:
                raise click.ClickException(
                    f"the node ended with {shop.process.returncode}; see its log with --keep-log FILE"
                )
    return load
