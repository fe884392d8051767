"""The print side of a node: its own dispatch and module, printers polled, jobs recovered after a restart.

Separate from the HTTP side down to the dispatch, with the same module: print jobs and printers are the classes and
workers of a second `Policy`. Imported only where a file of printers is set.
"""

from __future__ import annotations

import pathlib
import traceback

from pipitledge.conf.parse import finish
from pipitledge.decision.interface import JobClass, Listing, Settings, State, Worker, WorkersChanged
from pipitledge.decision.policy import Policy
from pipitledge.ipp.codec import Group, Message
from pipitledge.ipp.document import Document
from pipitledge.ipp.front import MOST_LINKS, IppFront
from pipitledge.ipp.jobs import MAY_HAVE_PRINTED, Jobs, Memory, PrintRecord, Store
from pipitledge.ipp.model import JobState, Op, PrinterState
from pipitledge.ipp.placement import Verdict
from pipitledge.ipp.printer_link import ANSWER_MS, Broke, NotConnected, PrinterLinks, PrinterRun, PrintPassage
from pipitledge.ipp.printers import PrinterEntry, load
from pipitledge.ipp.service import Service
from pipitledge.ipp.store import BadStore, Disk
from pipitledge.net.scheduler import Scheduler
from pipitledge.net.timers import Clock
from pipitledge.node.config import Address, Config, ConfigError, address
from pipitledge.node.counters import Counters, Log
from pipitledge.node.dispatch import Dispatch

POLL_MS, PATIENCE_MS, LOST_AFTER = 1_000.0, 20_000.0, 3  # polls without an answer until a printer counts as gone


def settings(entries: list[PrinterEntry]) -> Settings:
    """What the module is told of printing: one class that must not be repeated, printers of one kind for each size."""
    cold_ms = float(max((entry.cold_ms for entry in entries), default=0)) or 1.0
    return Settings(
        classes=(JobClass(deadline_ms=PATIENCE_MS, objective_ms=PATIENCE_MS * 0.4, stretch=2.0),),
        max_attempts=5,
        reports_starts=True,
        retry_after=True,
        max_retry_after_ms=2_000.0,
        cold_ms=cold_ms,
    )


class Printers:
    """What polling tells of the printers, as news for the module. The polls themselves are the driver's."""

    def __init__(self, names: list[str]) -> None:
        """Know none of them yet: one that never answered gets nothing."""
        self.states = dict.fromkeys(names, State.GONE)
        self.up_time = dict.fromkeys(names, -1)
        self.started_ms = dict.fromkeys(names, 0.0)
        self.missed = dict.fromkeys(names, 0)

    def answered(self, name: str, accepting: bool, stopped: bool, up_time: int, now_ms: float) -> Worker | None:
        """News after an answer, or None. Not accepting or stopped is a drain; an up-time that went back a restart."""
        self.missed[name] = 0
        if 0 <= up_time < self.up_time[name]:
            self.started_ms[name] = now_ms
        restarted = 0 <= up_time < self.up_time[name]
        self.up_time[name] = up_time
        return self._news(name, State.SERVING if accepting and not stopped else State.DRAINING, restarted)

    def silent(self, name: str) -> Worker | None:
        """News after a poll without an answer: one may be lost, several mean that it is away."""
        self.missed[name] += 1
        return self._news(name, State.GONE, False) if self.missed[name] >= LOST_AFTER else None

    def _news(self, name: str, state: State, restarted: bool) -> Worker | None:
        if state is self.states[name] and not restarted:
            return None
        self.states[name] = state
        return Worker(name, state, started_ms=self.started_ms[name])


class PrintSide:
    """Everything of a node that prints."""

    def __init__(self, told: Config, scheduler: Scheduler, clock: Clock, counters: Counters, log: Log) -> None:
        """Read the printers, open store and listener, and begin to poll and to recover; ConfigError says why not."""
        self.scheduler, self.clock, self.counters, self.log = scheduler, clock, counters, log
        entries = self._entries(told.printers)
        self.entries = {entry.name: entry for entry in entries}
        try:
            store: Store = Disk(pathlib.Path(told.ipp_store)) if told.ipp_store else Memory()
        except BadStore as fault:
            raise ConfigError(str(fault)) from None
        self.jobs = Jobs(store, lambda: int(clock.now() / 1_000.0))
        self.dispatch = Dispatch(clock, scheduler.timers, Policy(settings(entries), told.seed), counters, log)
        self.links = PrinterLinks(scheduler, clock, self.dispatch, self.jobs, counters, log, self.entries)
        self.dispatch.links = self.links
        self.printers = Printers(list(self.entries))
        listen: Address = address(told.ipp_listen)
        uri = "ipp://{}:{}/ipp/print".format(*listen)
        service = Service(uri, self.jobs, lambda: int(clock.now() / 1_000.0), self._accepting)
        for record in self.jobs.recover():
            scheduler.spawn(lambda record=record: self._recover(record))  # type: ignore[misc]
        most_links = min(MOST_LINKS, told.sockets // 8)
        self.places = 2 * most_links + len(entries)  # clients, links to printers, polls
        self.front = IppFront(
            scheduler, clock, self.dispatch, service, self.jobs, counters, log, listen, PATIENCE_MS, most_links
        )
        for name in self.entries:
            scheduler.spawn(lambda name=name: self._poll(name))  # type: ignore[misc]
        log(
            "printing",
            listen=told.ipp_listen,
            printers=len(entries),
            jobs=len(self.jobs.records),
            store=told.ipp_store or "memory",
        )

    def _entries(self, path: str) -> list[PrinterEntry]:
        try:
            data = pathlib.Path(path).read_bytes()
        except OSError as fault:
            raise ConfigError(f"{path}: {fault.strerror}") from None
        entries, mistakes = finish(load(path, data))
        for mistake in mistakes:
            self.log("printers-mistake", at=str(mistake.place), why=mistake.text)
        if not entries:
            raise ConfigError(f"{path}: {len(mistakes)} mistakes")
        return entries

    def _accepting(self) -> bool:
        return State.SERVING in self.printers.states.values() and not self.front.stopping

    def stop(self) -> None:
        """SIGTERM: take no job more, and answer those that are under way."""
        self.log("printing", stopping=True, open=self.dispatch.open, clients=self.front.links)
        self.front.stop()

    def _poll(self, name: str) -> None:
        """Ask one printer how it is, for good."""
        passage = PrintPassage(0, Document(), "", "")
        while True:
            try:
                run = PrinterRun(self.links, self.entries[name], passage, None)
                told: Message = run.exchange(Op.GET_PRINTER_ATTRIBUTES, self.clock.now() + ANSWER_MS)
                up_time = told.first(Group.PRINTER, "printer-up-time")
                news = self.printers.answered(
                    name,
                    told.first(Group.PRINTER, "printer-is-accepting-jobs") is not False,
                    told.first(Group.PRINTER, "printer-state") == PrinterState.STOPPED,
                    up_time if isinstance(up_time, int) else -1,
                    self.clock.now(),
                )
            except (NotConnected, Broke):
                news = self.printers.silent(name)
            except Exception:
                self.counters.add("fault.printer-poll")
                self.log("fault", where="printer-poll", trace=traceback.format_exc())
                news = self.printers.silent(name)
            if news is not None:
                self.log("printer", name=name, state=news.state.value, up_time=self.printers.up_time[name])
                self.dispatch.workers_changed(WorkersChanged(Listing.DELTA, (news,)))
            self.scheduler.wait(self.clock.now() + POLL_MS)

    def _recover(self, record: PrintRecord) -> None:
        """Find out what became of a job that was at a printer when the node before this one ended."""
        entry = self.entries.get(record.printer)
        verdict = Verdict.MAY_HAVE_PRINTED
        if entry is not None and record.there_id:
            passage = PrintPassage(record.id, Document(), "", record.user)
            run = PrinterRun(self.links, entry, passage, None, self.clock.now() + PATIENCE_MS)
            verdict = run.search(record)
        self.counters.add(f"recovered.{verdict.value}")
        self.log("recovered", job=record.id, printer=record.printer, verdict=verdict.value)
        if verdict is Verdict.PRINTED:
            self.jobs.move(record.id, JobState.COMPLETED)
        elif verdict is Verdict.MAY_HAVE_PRINTED:
            self.jobs.move(
                record.id,
                JobState.ABORTED,
                MAY_HAVE_PRINTED,
                "the node ended while a printer had it: it may have printed",
            )
        else:
            self.jobs.move(record.id, JobState.ABORTED, "aborted-by-system", "the node ended; it was not printed")
