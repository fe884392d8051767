"""Start one real node: wire the parts together and run until SIGTERM."""

from __future__ import annotations

import gc
import os
import signal
import sys
import traceback
from typing import TYPE_CHECKING

from pipitledge.decision.policy import Policy
from pipitledge.decision.settings import unknown
from pipitledge.net.scheduler import Scheduler
from pipitledge.net.timers import Clock, Timers
from pipitledge.node import config
from pipitledge.node.budget import budget, max_held_body_bytes
from pipitledge.node.console import Console
from pipitledge.node.counters import Counters, Log, writer
from pipitledge.node.dispatch import Dispatch
from pipitledge.node.front import Front, listen_at
from pipitledge.node.host_group import HostGroup
from pipitledge.node.operations import Operations
from pipitledge.node.plan_file import PlanFile
from pipitledge.node.server_link import Pool
from pipitledge.node.signals import Signals
from pipitledge.upgrade.handover import Busy
from pipitledge.upgrade.household import Household
from pipitledge.upgrade.succession import Succession, claim

if TYPE_CHECKING:  # a node that does not print must not pay for it
    from pipitledge.ipp.node import PrintSide
    from pipitledge.tier.side import TierSide


def main() -> int:
    """Run one node."""
    counters = Counters()
    log = Log(counters)
    try:
        log.write = writer(os.environ.get("PIPITLEDGE_LOG_FORMAT", ""))
    except (ValueError, ImportError) as fault:  # structlog is no part of what a node needs
        log("config", error=f"PIPITLEDGE_LOG_FORMAT: {fault}")
        return 2
    clock = Clock()
    timers = Timers(clock.now)

    def crashed(fault: BaseException) -> None:
        counters.add("fault.task")
        log("fault", where="task", trace="".join(traceback.format_exception(fault)))

    scheduler = Scheduler(timers, crashed)

    def take(number: int) -> None:
        log("signal", name=signal.Signals(number).name)
        if number == signal.SIGUSR1:
            log("counters", open=dispatch.open, counters=counters.text())
        elif number == signal.SIGHUP:
            reload()
        else:
            front.stop()
            if printing is not None:
                printing.stop()
                timers.at(front.duty.gone_by_ms, scheduler.stop)  # what is answered last is out by then

    told: config.Config
    printing: PrintSide | None = None
    tier: TierSide | None = None

    def reload() -> None:
        """Read the configuration again, and put it in force whole; one that can't be used leaves all as it is."""
        if tier is not None:
            tier.reload(os.environ)
            return
        try:
            new = config.load(os.environ, told)
        except config.ConfigError as fault:
            counters.add("config.kept")
            log("config", kept=told.name, error=fault)
            plans.reload(told, lambda fits: None)
            return

        def take(fits: bool) -> None:
            nonlocal told
            settings = new.settings != told.settings or new.names != told.names
            if settings and not fits:
                counters.add("config.kept")
                log("config", kept=told.name, error="the file of attempt plans does not fit these settings")
                return
            old, told = told, new
            household.adopt(new)
            tell_unknown(unknown(new.raw.get("settings", {})))
            counters.add("config.reloaded")
            log(
                "config",
                discovery="{}:{}".format(*new.discovery),
                moved=new.discovery != old.discovery,
                settings="changed" if settings else "same",
                classes=",".join(map(bytes.decode, new.names.classes)),
                needs_restart=",".join(config.changed(started, new)) or "-",
            )

        plans.reload(new, take)

    # Before the configuration is read: what is caught from here on waits until the loop runs, and a file
    # replaced meanwhile is read once more.
    signals = Signals(scheduler, (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP), take)
    try:
        started = told = config.load(os.environ)
    except config.ConfigError as fault:
        log("config", error=fault)
        return 2
    nobody_knows: set[str] = set()

    def tell_unknown(places: list[str]) -> None:
        """Say once of each setting that nothing here knows that it has no effect: a newer kind does no harm."""
        if new := [place for place in places if place not in nobody_knows]:
            nobody_knows.update(new)
            counters.add("config.unknown", len(new))
            log("config", unknown=",".join(new))

    tell_unknown(unknown(told.raw.get("settings", {})))
    plans = PlanFile(told, scheduler, clock, counters, log)
    if told.tier is not None:
        from pipitledge.tier import begin

        try:
            store = begin.open_store(told.tier, log)
        except begin.Unusable as fault:
            log("config", error=fault)
            return 2
    if not plans.start():
        return 2
    # From here on nothing may fail: whoever ran here so far stops to take clients in.
    succession = Succession(scheduler, clock, counters, log, told.folder, told.listen)
    try:
        console = Console(scheduler, clock, counters, log, told.console) if told.console is not None else None
        claimed = claim(told.folder, told.listen, log) if told.folder else None
        listener = claimed.listener if claimed is not None else listen_at(told.listen)
    except (Busy, OSError) as fault:
        log("config", error=fault)
        return 2
    policy = Policy(told.settings, told.seed)
    dispatch = Dispatch(clock, timers, policy, counters, log)
    clients, links = budget(told.sockets)
    pool = Pool(scheduler, clock, dispatch, counters, log, told.dial_timeout_ms, told.idle_ms, links)
    group = HostGroup(
        scheduler,
        clock,
        dispatch,
        pool,
        counters,
        log,
        told.discovery,
        told.names,
        not told.settings.must_ask,
        told.settings.drain_grace_ms,
    )
    dispatch.links, dispatch.watch = pool, group.watch
    scheduler.after_round = dispatch.round
    front = Front(
        scheduler,
        clock,
        dispatch,
        counters,
        log,
        told.names,
        told.settings,
        listener,
        clients,
        max_held_body_bytes(told.memory_mb),
    )
    front.plan_of = plans.plan
    operations = Operations(dispatch, group, front, succession.ask_others)
    if console is not None:
        console.answerer = operations.answer
    household = Household(succession, front, group, pool, dispatch, operations, told)
    if claimed is not None:
        household.inherit(claimed)
    else:
        group.start(told.known)
    household.start()
    if told.tier is not None:
        try:
            tier = begin.start(
                told,
                scheduler,
                clock,
                counters,
                log,
                store,
                household,
                operations,
                claimed.estate.tier if claimed is not None else {},
            )
        except begin.Unusable as fault:
            log("config", error=fault)
            return 2
    succession.offer()
    if told.printers:
        from pipitledge.ipp.node import PrintSide as Side

        try:
            printing = Side(told, scheduler, clock, counters, log)
        except (config.ConfigError, OSError) as fault:
            log("config", error=fault)
            return 2

        prints = printing

        def both() -> None:
            dispatch.round()
            prints.dispatch.round()

        def ended() -> None:
            if front.stopped and prints.front.stopped:
                scheduler.stop()

        scheduler.after_round, front.on_stopped, prints.front.on_stopped = both, ended, ended
        household.reserved = prints.places
        household.share_out()

    log(
        "ready",
        name=told.name,
        listen="{}:{}".format(*told.listen),
        workers=len(group.addresses),
        clients=front.max_links,
        links=pool.max_links,
        claimed=claimed is not None,
    )
    gc.collect()
    gc.freeze()  # what is there by now stays: later collections need not look at it
    scheduler.run()
    succession.flush()
    del signals
    log("stopped", open=dispatch.open, counters=counters.text())
    return 0


if __name__ == "__main__":
    sys.exit(main())
