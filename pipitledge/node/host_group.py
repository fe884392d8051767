"""The host group: the worker list from discovery, kept up to date by a watch whenever the policy asks for one."""

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
    """An entry of the worker list can't be read."""


def read_row(raw: Any, names: Names) -> tuple[Worker, Address]:
    """Read one entry. An unknown zone counts as the default one and an unknown kind as 0, as the worker does run."""
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
    """The last known worker list, and the watch that keeps it up to date."""

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
        """Create the group with an empty list; `start` provides the list of the last run.

        A pushed list is watched from `start` on; after the end of a watch the next one starts within `grace_ms`, the
        time that a drain leaves.
        """
        self.scheduler, self.clock, self.dispatch, self.pool = scheduler, clock, dispatch, pool
        self.counters, self.log, self.discovery, self.names = counters, log, discovery, names
        self.version: int | None = None
        self.addresses: dict[str, Address] = {}
        self.raw: dict[str, Any] = {}  # rows as received from discovery, passed on to a new process
        self.out: dict[str, float] = {}  # workers that operators detached, and when
        self.cold_from: dict[str, float] = {}  # attached workers, and the latest restart time possible
        self._watch_count = 0  # watches started so far; only the newest one is valid
        self._watch_task: Task | None = None
        self.watch_monitor = WatchMonitor(pushed, clock.now(), grace_ms)

    def start(self, known: Mapping[str, Any]) -> None:
        """Report the list stored before the start, watch a pushed list, and begin the checks for a stale list."""
        self._apply_list(known, Listing.CACHED)
        self.watch_monitor.line_received(self.clock.now())
        if self.watch_monitor.pushed:
            self.watch()
        self._check_stale()

    def adopt(self, names: Names, pushed: bool, grace_ms: float) -> None:
        """Apply reloaded settings; a change between pulled and pushed starts a watch."""
        self.names, self.watch_monitor.grace_ms = names, grace_ms
        if pushed != self.watch_monitor.pushed:
            self.watch_monitor.pushed = pushed
            self.watch()

    def _check_stale(self) -> None:
        """Log once when the list has become stale, whatever the cause, and schedule the next check."""
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
        """Start a watch unless one is running.

        After a move the policy may still ask because of the previous watch. A second call would only load discovery,
        which accepts a few calls a second from all nodes together.
        """
        if self._watch_task is None:
            self._start_watch()

    def move(self, discovery: Address) -> None:
        """Switch to another discovery address: a new watch starts at once, and the list is kept.

        List versions of one address mean nothing at another, so the full list is requested. The watch on the old
        address is ended without a report to the policy, which would wait before it asked for the next watch.
        """
        if discovery == self.discovery:
            return
        self.discovery, self.version = discovery, None
        replaced = self._watch_task
        self._start_watch()
        if replaced is not None:
            replaced.wake()

    # ---- operators' overrides of the list

    def detach(self, worker: str, sure: bool = False) -> bool:
        """Take a worker out of use: the policy sees it as draining, whatever the list says. False if its id is unknown.

        `sure`: another process of this node knows the worker, which may not have reached this process's list yet.
        """
        if worker not in self.raw and worker not in self.out and not sure:
            return False
        if worker not in self.out:
            self.out[worker] = self.clock.now()
            self.cold_from.pop(worker, None)
            self._publish_worker(worker)
            self.pool.retire(worker)  # the worker is going to be restarted, which breaks its links
        return True

    def attach(self, worker: str) -> bool:
        """Use a detached worker again, as a cold one: it was restarted meanwhile. False if its id is unknown."""
        if worker not in self.raw and worker not in self.out:
            return False
        if (since := self.out.pop(worker, None)) is not None:
            row = self._listed_row(worker)
            if row is None or row.started_ms < since:  # the restart is not listed yet: assume that it is just now
                self.cold_from[worker] = self.clock.now()
            self._publish_worker(worker)
        return True

    def _publish_worker(self, worker: str) -> None:
        """Report a worker's current state to the policy; nothing if it is no longer listed."""
        if (row := self._listed_row(worker)) is not None:
            self.dispatch.workers_changed(WorkersChanged(Listing.DELTA, (self._with_overrides(row),)))

    def _listed_row(self, worker: str) -> Worker | None:
        """Return the worker's row in the list, without operators' overrides, under the current names; None if none."""
        try:
            return read_row(self.raw[worker], self.names)[0] if worker in self.raw else None
        except BadRow:  # the row is not valid under the current settings
            return None

    def _with_overrides(self, row: Worker) -> Worker:
        """Return a row of the list with operators' overrides, which no list update undoes."""
        if row.id in self.out and row.state is State.SERVING:
            return row._replace(state=State.DRAINING)
        return row._replace(started_ms=max(row.started_ms, self.cold_from.get(row.id, 0.0)))

    def _start_watch(self) -> None:
        self._watch_count += 1
        number = self._watch_count
        self._watch_task = self.scheduler.spawn(lambda: self._run_watch(number))

    def _apply_list(self, message: Mapping[str, Any], listing: Listing) -> None:
        """Apply one list object; entries that can't be read are logged and skipped."""
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
        end_reason = EndReason.OUR_FAULT
        stream: Stream | None = None
        try:
            if number != self._watch_count:  # replaced before its task ran
                return
            end_reason = EndReason.WATCH_REFUSED
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
                    end_reason = EndReason.WATCH_ENDED
            if stream is not None and end_reason is EndReason.WATCH_ENDED:
                end_reason = self._read_watch(number, stream)
        except OSError:
            end_reason = EndReason.WATCH_ENDED
        except (BadMessage, OverflowError, ValueError) as fault:
            self.log("bad-list", why=fault)
            end_reason = EndReason.WATCH_BROKEN
        except Exception:
            self.counters.add("fault.host-group")
            self.log("fault", where="host-group", trace=traceback.format_exc())
        finally:
            if stream is not None:
                stream.close()
            # Once another watch has started, this one counts as replaced, however it ended.
            if number != self._watch_count:
                end_reason = EndReason.WATCH_REPLACED
            self.counters.add(f"watch.{end_reason.value}")
            self.log("watch", ending=end_reason.value, rev=self.version)
            if end_reason is not EndReason.WATCH_REPLACED:
                self._watch_task = None
                if self.watch_monitor.pushed:  # changes bind the node even without a watch, and calls are cheap
                    self.scheduler.timers.at(self.clock.now() + self.watch_monitor.retry_delay_ms(), self._retry_watch)
                else:
                    self.dispatch.workers_changed(WorkersChanged(Listing.FAILED))

    def _retry_watch(self) -> None:
        if self.watch_monitor.pushed:
            self.watch()
        elif self._watch_task is None:  # the list is pulled now: the policy decides when to ask again
            self.dispatch.workers_changed(WorkersChanged(Listing.FAILED))

    def _read_watch(self, number: int, stream: Stream) -> EndReason:
        since = b"" if self.version is None else b"&since=%d" % self.version
        host = "{}:{}".format(*self.discovery).encode()
        request = request_parts(b"GET", b"/api/targets?follow=1" + since, host, [], b"")
        if not stream.write(request, self.clock.now() + self.watch_monitor.silence_timeout_ms(False)):
            return EndReason.WATCH_SILENT
        side, objects = WorkerSide(1 << 60, 0), Objects(MAX_OBJECT_BYTES)
        last_line_ms, answered = self.clock.now(), False
        while side.is_open:
            until = last_line_ms + self.watch_monitor.silence_timeout_ms(answered)
            if self.clock.now() >= until:  # also if bytes keep coming without one complete object
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
                last_line_ms, answered = self.clock.now(), True
            for message in objects.receive(data):  # an empty line is a heartbeat
                last_line_ms = self.clock.now()
                self.watch_monitor.reset_backoff()
                self._line_received()
                if message is not None:
                    # A full list without entries would drop every worker.
                    if not isinstance(message.get("targets"), list):
                        raise ValueError("not a list object")
                    self._apply_list(message, Listing.FULL if message.get("all") else Listing.DELTA)
        return EndReason.WATCH_ENDED
