"""The host group: discovery's list of workers, followed by a watch whenever the module asks for one."""

from __future__ import annotations

import contextlib
import socket
import traceback
from collections.abc import Mapping
from typing import Any

from pipitledge.decision.interface import Listing, State, Worker, WorkersChanged
from pipitledge.decision.settings import STATES
from pipitledge.http1.heads import BadMessage
from pipitledge.http1.objects import Objects
from pipitledge.http1.worker_side import WorkerSide, request_parts
from pipitledge.net.scheduler import Scheduler, Task, Wake
from pipitledge.net.stream import ReceiveBuffer, Stream
from pipitledge.net.timers import Clock
from pipitledge.node.config import Address, ConfigError, Names, address
from pipitledge.node.counters import Counters, Log
from pipitledge.node.dispatch import Dispatch
from pipitledge.node.end_reasons import EndReason
from pipitledge.node.server_link import Pool
from pipitledge.node.watch_monitor import STALE_AFTER_MS, WatchMonitor

MAX_OBJECT_BYTES = 4 * 1024 * 1024


class BadRow(Exception):
    """An entry of the list can't be read."""


def read_row(raw: Any, names: Names) -> tuple[Worker, Address]:
    """Read one entry. A zone or kind we have no name for counts as the first, as its worker does run."""
    try:
        worker = Worker(
            str(raw["uid"]),
            STATES[raw.get("state", "in_service")],
            names.zones.get(raw.get("az", ""), names.default_zone),
            names.kinds.get(raw.get("model", ""), 0),
            int(raw.get("pod_group", 0)),
            float(raw.get("capacity_hint", 1.0)),
            float(raw.get("boot_ms", 0.0)),
        )
        gone = worker.state is State.GONE and not raw.get("endpoint")
        where = ("", 0) if gone else address(raw["endpoint"])
    except (KeyError, TypeError, ValueError, AttributeError, ConfigError) as fault:
        raise BadRow(f"{type(fault).__name__}: {fault}") from fault
    return worker, where


class HostGroup:
    """The list as this node last had it, and the watch that keeps it up to date."""

    def __init__(
        self,
        scheduler: Scheduler,
        clock: Clock,
        dispatch: Dispatch,
        pool: Pool,
        counters: Counters,
        log: Log,
        discovery: Address,
        names: Names,
        pushed: bool = False,
        grace_ms: float = 300.0,
    ) -> None:
        """Begin without a list; `start` brings the one known from before. A pushed list is followed from then on, and
        within a drain's grace again after each end."""
        self.scheduler, self.clock, self.dispatch, self.pool = scheduler, clock, dispatch, pool
        self.counters, self.log, self.discovery, self.names = counters, log, discovery, names
        self.version: int | None = None
        self.addresses: dict[str, Address] = {}
        self.raw: dict[
            str, Any
        ] = {}  # the list as discovery entries it, in its form: for a process that takes our place
        self.out: dict[str, float] = {}  # workers that operators took out, and when
        self.cold_from: dict[str, float] = {}  # workers back in use: the latest that they can have been restarted
        self._watch_count = 0  # begun so far; the newest is the one that counts
        self._watch_task: Task | None = None
        self.watch_monitor = WatchMonitor(pushed, clock.now(), grace_ms)

    def start(self, known: Mapping[str, Any]) -> None:
        """Tell the list that this node held before its start, and see to it that somebody keeps it up."""
        self._apply_list(known, Listing.CACHED)
        self.watch_monitor.line_received(self.clock.now())
        if self.watch_monitor.pushed:
            self.watch()
        self._check_stale()

    def adopt(self, names: Names, pushed: bool, grace_ms: float) -> None:
        """Read rows by other names from now on; where the list comes another way than before, a watch must run."""
        self.names, self.watch_monitor.grace_ms = names, grace_ms
        if pushed != self.watch_monitor.pushed:
            self.watch_monitor.pushed = pushed
            self.watch()

    def _check_stale(self) -> None:
        """Tell the operators once when nobody has kept the list up for so long, whatever the reason."""
        now = self.clock.now()
        if self.watch_monitor.becomes_stale(now):
            self.counters.add("list.stale")
            self.log(
                "list",
                stale=f"nothing heard for {now - self.watch_monitor.last_line_ms:.0f} ms",
                rev=self.version,
                known=len(self.addresses),
                pushed=self.watch_monitor.pushed,
            )
        self.scheduler.timers.at(
            max(self.watch_monitor.last_line_ms, now - STALE_AFTER_MS / 2.0) + STALE_AFTER_MS, self._check_stale
        )

    def _line_received(self) -> None:
        now = self.clock.now()
        if (silent := self.watch_monitor.line_received(now)) is not None:
            self.log("list", fresh=f"heard again after {silent:.0f} ms", rev=self.version, known=len(self.addresses))

    def watch(self) -> None:
        """Begin a watch, unless one runs: it will tell what there is to tell, or its end will.

        After a move the module may still ask because of the watch before: a second call would only cost
        discovery, which takes a few a second from all nodes together.
        """
        if self._watch_task is None:
            self._start_watch()

    def move(self, discovery: Address) -> None:
        """Follow discovery to another address: the new watch begins at once, the list stays as it is.

        The version belongs to the address that entries it, so the is_full list is asked for. The watch on the old
        address ends here; the module does not hear of it, as it would wait before it asks again.
        """
        if discovery == self.discovery:
            return
        self.discovery, self.version = discovery, None
        replaced = self._watch_task
        self._start_watch()
        if replaced is not None:
            replaced.wake()

    # ---- what operators lay over the list

    def detach(self, worker: str, sure: bool = False) -> bool:
        """Take a worker out: whatever the list says, for the module it drains. False if nobody has this id.

        Another process of this node may be sure of one that this one has not been entries of yet.
        """
        if worker not in self.raw and worker not in self.out and not sure:
            return False
        if worker not in self.out:
            self.out[worker] = self.clock.now()
            self.cold_from.pop(worker, None)
            self._publish_worker(worker)
            self.pool.retire(worker)  # it is going to be restarted, which breaks them
        return True

    def attach(self, worker: str) -> bool:
        """Use a worker again. It was restarted meanwhile, so it is cold; False if nobody has this id."""
        if worker not in self.raw and worker not in self.out:
            return False
        if (since := self.out.pop(worker, None)) is not None:
            row = self._listed_row(worker)
            if row is None or row.started_ms < since:  # discovery is late with it, and it may be as cold as can be
                self.cold_from[worker] = self.clock.now()
            self._publish_worker(worker)
        return True

    def _publish_worker(self, worker: str) -> None:
        """Tell the module what a worker is by now; one that the list has dropped it has dropped too."""
        if (row := self._listed_row(worker)) is not None:
            self.dispatch.workers_changed(WorkersChanged(Listing.DELTA, (self._with_overrides(row),)))

    def _listed_row(self, worker: str) -> Worker | None:
        """The row that discovery entries of a worker, without what operators laid over it, by today's names."""
        try:
            return read_row(self.raw[worker], self.names)[0] if worker in self.raw else None
        except BadRow:  # its kind or zone is named no more
            return None

    def _with_overrides(self, row: Worker) -> Worker:
        """A row of the list as the module is to have it: no news undoes what operators message."""
        if row.id in self.out and row.state is State.SERVING:
            return row._replace(state=State.DRAINING)
        return row._replace(started_ms=max(row.started_ms, self.cold_from.get(row.id, 0.0)))

    def _start_watch(self) -> None:
        self._watch_count += 1
        number = self._watch_count
        self._watch_task = self.scheduler.spawn(lambda: self._run_watch(number))

    def _apply_list(self, message: Mapping[str, Any], listing: Listing) -> None:
        """Take one object of the list. A broken entry is left out; the others count."""
        rows = []
        is_full = listing is not Listing.DELTA
        addresses = {} if is_full else dict(self.addresses)
        if is_full:
            self.raw = {}
        entries = message.get("targets")
        for raw in entries if isinstance(entries, list) else []:
            try:
                worker, where = read_row(raw, self.names)
            except BadRow as fault:
                self.counters.add("list.bad-row")
                self.log("bad-row", why=fault, row=str(raw)[:120])
                continue
            rows.append(self._with_overrides(worker))
            if worker.state is State.GONE:
                addresses.pop(worker.id, None)
                self.raw.pop(worker.id, None)
            else:
                addresses[worker.id] = where
                self.raw[worker.id] = raw
        if isinstance(message.get("rev"), int):
            self.version = message["rev"]
        self.addresses = addresses
        self.pool.set_addresses(addresses)
        self.log("list", kind=listing.value, rev=self.version, rows=len(rows), known=len(addresses))
        self.dispatch.workers_changed(WorkersChanged(listing, tuple(rows)))

    def _run_watch(self, number: int) -> None:
        ending = EndReason.OUR_FAULT
        stream: Stream | None = None
        try:
            if number != self._watch_count:  # replaced before it ran
                return
            ending = EndReason.WATCH_REFUSED
            with contextlib.suppress(OSError):
                stream = Stream(
                    self.scheduler,
                    socket.socket(socket.AF_INET, socket.SOCK_STREAM),
                    ReceiveBuffer(16 * 1024, 256 * 1024),
                )
                if stream.dial(
                    self.discovery,
                    self.clock.now() + self.watch_monitor.dial_timeout_ms(),
                    lambda: number != self._watch_count,
                ):
                    ending = EndReason.WATCH_ENDED
            if stream is not None and ending is EndReason.WATCH_ENDED:
                ending = self._read_watch(number, stream)
        except OSError:
            ending = EndReason.WATCH_ENDED
        except (BadMessage, OverflowError, ValueError) as fault:
            self.log("bad-list", why=fault)
            ending = EndReason.WATCH_BROKEN
        except Exception:
            self.counters.add("fault.host-group")
            self.log("fault", where="host-group", trace=traceback.format_exc())
        finally:
            if stream is not None:
                stream.close()
            # However it ended, while dialling too: once another one has begun it was replaced.
            if number != self._watch_count:
                ending = EndReason.WATCH_REPLACED
            self.counters.add(f"watch.{ending.value}")
            self.log("watch", ending=ending.value, rev=self.version)
            if ending is not EndReason.WATCH_REPLACED:
                self._watch_task = None
                if (
                    self.watch_monitor.pushed
                ):  # its news count as entries whether we listen or not, and asking costs nobody
                    self.scheduler.timers.at(self.clock.now() + self.watch_monitor.retry_delay_ms(), self._retry_watch)
                else:
                    self.dispatch.workers_changed(WorkersChanged(Listing.FAILED))

    def _retry_watch(self) -> None:
        if self.watch_monitor.pushed:
            self.watch()
        elif self._watch_task is None:  # by now the list is asked for, and that is the module's to decide
            self.dispatch.workers_changed(WorkersChanged(Listing.FAILED))

    def _read_watch(self, number: int, stream: Stream) -> EndReason:
        since = b"" if self.version is None else b"&since=%d" % self.version
        host = "{}:{}".format(*self.discovery).encode()
        request = request_parts(b"GET", b"/api/targets?follow=1" + since, host, [], b"")
        if not stream.write(request, self.clock.now() + self.watch_monitor.silence_timeout_ms(False)):
            return EndReason.WATCH_SILENT
        side, objects = WorkerSide(1 << 60, 0), Objects(MAX_OBJECT_BYTES)
        heard_ms, answered = self.clock.now(), False
        while side.is_open:
            until = heard_ms + self.watch_monitor.silence_timeout_ms(answered)
            if self.clock.now() >= until:  # also where it goes on and on without one is_full object
                return EndReason.WATCH_SILENT
            why = stream.readable(until)
            if number != self._watch_count:
                return EndReason.WATCH_REPLACED
            if why is not Wake.READY:
                continue
            size = stream.read()
            data = side.take(stream.buffer) if size > 0 else b""
            if not size:
                side.end()
            if side.status not in (0, 200):
                return EndReason.WATCH_REFUSED
            if side.status and not answered:
                heard_ms, answered = self.clock.now(), True
            for message in objects.receive(data):  # an empty line, too, says that there is no news
                heard_ms = self.clock.now()
                self.watch_monitor.reset_backoff()
                self._line_received()
                if message is not None:
                    # A is_full list without its entries would drop every worker.
                    if not isinstance(message.get("targets"), list):
                        raise ValueError("not a list object")
                    self._apply_list(message, Listing.FULL if message.get("all") else Listing.DELTA)
        return EndReason.WATCH_ENDED
