"""A node as a process of its own among stand-in printers and clients on sockets, to be killed and started again."""

from __future__ import annotations

import json
import os
import pathlib
import random
import signal
import subprocess
import sys
from collections import Counter

from pipitledge.emulator import site
from pipitledge.emulator.faults import Fault, Faults
from pipitledge.emulator.ipp_servers import PrinterServer, message, submit
from pipitledge.emulator.ports import free_address
from pipitledge.emulator.printer import Printer
from pipitledge.ipp.codec import Group, Tag, attribute
from pipitledge.ipp.jobs import MAY_HAVE_PRINTED, PrintRecord
from pipitledge.ipp.model import JobState, Op
from pipitledge.ipp.store import Disk
from pipitledge.net.scheduler import Scheduler
from pipitledge.net.timers import Clock, Timers

URI = "ipp://127.0.0.1/ipp/print"


class PrintShop:
    """Printers in this process, a node in another, a ledger that outlives it."""

    def __init__(
        self, folder: pathlib.Path, printers: int, rates: dict[Fault, float], seed: int, print_ms: float = 15.0
    ) -> None:
        """Set up; `start` starts a node."""
        self.clock, self.folder, self.random = Clock(), folder, random.Random(seed)
        self.faults: list[BaseException] = []
        self.scheduler = Scheduler(Timers(self.clock.now), self.faults.append)
        self.ledger, self.heard, self.kills = Counter[str](), Counter[str](), 0
        self.served: list[int] = []  # ids of jobs whose clients heard that they were printed
        self.printers = [
            PrinterServer(
                self.scheduler,
                self.clock,
                Printer(f"p{n}", self.ledger, print_ms, started_ms=self.clock.now() - 1e6, now=self.clock.now()),
                Faults(seed + n, rates),
            )
            for n in range(printers)
        ]
        self.listen, self.store, self.log = free_address(), folder / "jobs.sqlite", folder / "node.log"
        (folder / "printers.conf").write_text(
            "".join(
                f"printer {one.model.name}\n    uri ipp://{one.address[0]}:{one.address[1]}/ipp/print\n"
                for one in self.printers
            )
        )
        raw = json.loads(site.config("n0", free_address(), ("127.0.0.1", 9), [], seed))
        raw |= {
            "printers": str(folder / "printers.conf"),
            "ipp_listen": "{}:{}".format(*self.listen),
            "ipp_store": str(self.store),
        }
        (folder / "config.json").write_text(json.dumps(raw))
        self.node: subprocess.Popen[str] | None = None

    def start(self) -> None:
        """Start a node on the store that the last one left."""
        with self.log.open("a") as log:
            self.node = subprocess.Popen(
                [sys.executable, "-m", "pipitledge"],
                stdout=log,
                stderr=log,
                text=True,
                env={**os.environ, "BALANCER_CONFIG": str(self.folder / "config.json")},
            )

    def kill(self) -> None:
        """SIGKILL, at once."""
        assert self.node is not None
        self.node.send_signal(signal.SIGKILL)
        self.node.wait()
        self.kills += 1

    def turn(self, ms: float) -> None:
        """Let the stand-ins run for so long."""
        until = self.clock.now() + ms
        while (left := until - self.clock.now()) > 0.0:
            self.scheduler.turn(min(left, 20.0))
            if self.faults:
                raise self.faults[0]

    def client(self) -> None:
        """Submit one label; what is heard is counted."""
        name = attribute("job-name", Tag.NAME, "label")
        size = self.random.choice([300, 900, 3_000])
        answer = submit(
            self.scheduler, self.clock, self.listen, message(Op.PRINT_JOB, URI, name), [b"^" * size], until_ms=25_000.0
        )
        state = answer.first(Group.JOB, "job-state") if answer is not None else None
        self.heard["unheard" if state is None else JobState(state).name.lower()] += 1
        if state == JobState.COMPLETED and answer is not None:
            self.served.append(answer.first(Group.JOB, "job-id"))

    def submit(self, count: int, per_s: float) -> None:
        """So many clients at random times; it returns once the last has come."""
        for _ in range(count):
            self.scheduler.spawn(self.client)
            self.turn(self.random.expovariate(per_s / 1_000.0))

    def settle(self, most_ms: float = 40_000.0) -> list[PrintRecord]:
        """Wait until the store holds no open job; its records, the node stopped."""
        until = self.clock.now() + most_ms
        while self.clock.now() < until:
            self.turn(250.0)
            store = Disk(self.store)
            records = store.load()
            store.close()
            if all(record.is_over for record in records):
                break
        assert self.node is not None
        self.node.kill()
        self.node.wait()
        return records

    def breaches(self, records: list[PrintRecord]) -> list[str]:
        """What the ledger belies: printed twice, told as printed and not, told as not printed and it was."""
        found = [f"{name} printed {count} times" for name, count in self.ledger.items() if count > 1]
        found += [f"{number} served and not printed" for number in self.served if self.ledger[str(number)] != 1]
        for record in records:
            printed = self.ledger[str(record.id)]
            if not record.is_over:
                found.append(f"{record.id} has no final outcome")
            elif record.state is JobState.COMPLETED and printed != 1:
                found.append(f"{record.id} completed and printed {printed} times")
            elif record.state is JobState.ABORTED and record.reason != MAY_HAVE_PRINTED and printed:
                found.append(f"{record.id} is told as not printed ({record.message}), and was")
        return found
