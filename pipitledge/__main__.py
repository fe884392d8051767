"""Start one real node: wire the parts together and run until SIGTERM."""

from __future__ import annotations

import gc
import os
import signal
import sys
import traceback

from pipitledge.net.scheduler import Scheduler
from pipitledge.net.timers import Clock, Timers
from pipitledge.node import config
from pipitledge.node.console import PLACES, Console
from pipitledge.node.counters import Counters, Log, writer
from pipitledge.node.dispatch import Dispatch
from pipitledge.node.front import SPARE, Front
from pipitledge.node.host_group import HostGroup
from pipitledge.node.operations import Operations
from pipitledge.node.plan_file import PlanFile
from pipitledge.node.server_link import Pool
from pipitledge.node.signals import Signals
from pipitledge.policy import Policy

# Descriptors: standard streams, signals, listeners, watch and its successor, and some that libraries open; callers
# at the second address.
BASE = 24 + PLACES
# Of the rest, for server links: clients need a third of all for requests, and the widest list of workers
# takes a connection for each of its slots.
LINK_SHARE = 0.4


OURS_MB, BODIES_SHARE = 24, 0.5  # the program with all its connections; of the rest, for clients' bodies


def budget(sockets: int) -> tuple[int, int]:
    """Share out the descriptors: those for clients and those for server links."""
    spare = max(16, sockets - BASE - SPARE)
    links = max(4, int(spare * LINK_SHARE))
    return spare - links, links


def bodies(memory_mb: int) -> int:
    """Bytes of clients' bodies that may be held at one time."""
    return max(2 << 20, int((memory_mb - OURS_MB) * BODIES_SHARE) << 20)


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

    def reload() -> None:
        """Read the configuration again; one that can't be used leaves everything as it is. The plans go apart."""
        plans.reload()
        try:
            new = config.load(os.environ)
        except config.ConfigError as fault:
            counters.add("config.kept")
            log("config", kept=told.name, error=fault)
            return
        counters.add("config.reloaded")
        log("config", discovery="{}:{}".format(*new.discovery), moved=new.discovery != group.discovery,
            needs_restart=",".join(config.changed(told, new)) or "-")
        group.move(new.discovery)

    # Before the configuration is read: what is caught from here on waits until the loop runs, and a file
    # replaced meanwhile is read once more.
    signals = Signals(scheduler, (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP), take)
    try:
        told = config.load(os.environ)
    except config.ConfigError as fault:
        log("config", error=fault)
        return 2
    plans = PlanFile(told, scheduler, clock, counters, log)
    if not plans.start():
        return 2
    policy = Policy(told.settings, told.seed)
    dispatch = Dispatch(clock, timers, policy, counters, log)
    clients, links = budget(told.sockets)
    pool = Pool(scheduler, clock, dispatch, counters, log, told.dial_timeout_ms, told.idle_ms, links)
    group = HostGroup(scheduler, clock, dispatch, pool, counters, log, told.discovery, told.names)
    dispatch.links, dispatch.watch = pool, group.watch
    scheduler.after_round = dispatch.round
    group.start(told.known)
    front = Front(scheduler, clock, dispatch, counters, log, told.names, told.settings, told.listen, clients,
                  bodies(told.memory_mb))
    front.plan_of = plans.plan
    if told.console is not None:
        Console(scheduler, clock, counters, log, told.console, Operations(dispatch, group, front).answer)
    if told.printers:
        from pipitledge.ipp.node import PrintSide
        try:
            printing = PrintSide(told, scheduler, clock, counters, log)
        except (config.ConfigError, OSError) as fault:
            log("config", error=fault)
            return 2

        def both() -> None:
            dispatch.round()
            printing.dispatch.round()

        scheduler.after_round = both

    log("ready", name=told.name, listen="{}:{}".format(*told.listen), workers=len(group.addresses),
        clients=front.most, links=links)
    gc.collect()
    gc.freeze()  # what is there by now stays: later collections need not look at it
    scheduler.run()
    del signals
    log("stopped", open=dispatch.open, counters=counters.text())
    return 0


if __name__ == "__main__":
    sys.exit(main())
