"""Start one node: create its parts, connect them, and run until SIGTERM."""

from __future__ import annotations

import gc
import os
import signal
import sys
import traceback
from typing import TYPE_CHECKING

from pipitledge.decision.policy import Policy
from pipitledge.decision.settings import unknown_settings
from pipitledge.net.scheduler import Scheduler
from pipitledge.net.timers import Clock, Timers
from pipitledge.node import config
from pipitledge.node.budget import budget, max_held_body_bytes
from pipitledge.node.console import Console
from pipitledge.node.counters import Counters, Log, log_writer
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

if TYPE_CHECKING:  # imported at run time only if configured, to save memory
    from pipitledge.ipp.node import PrintSide
    from pipitledge.tier.side import TierSide


def main() -> int:
    """Run one node; returns the exit status, 2 if it can't be started."""
    counters = Counters()
    log = Log(counters)
    try:
        log.write = log_writer(os.environ.get("PIPITLEDGE_LOG_FORMAT", ""))
    except (ValueError, ImportError) as fault:  # structlog is an optional dependency
        log("config", error=f"PIPITLEDGE_LOG_FORMAT: {fault}")
        return 2
    clock = Clock()
    timers = Timers(clock.now)

    def crashed(fault: BaseException) -> None:
        counters.add("fault.task")
        log("fault", where="task", trace="".join(traceback.format_exception(fault)))

    scheduler = Scheduler(timers, crashed)

    def on_signal(number: int) -> None:
        log("signal", name=signal.Signals(number).name)
        if number == signal.SIGUSR1:
            log("counters", open=dispatch.open, counters=counters.text())
        elif number == signal.SIGHUP:
            reload()
        else:
            front.stop()
            if printing is not None:
                printing.stop()
                timers.at(front.duty.exit_by_ms, scheduler.stop)  # the last answers are sent by then

    current: config.Config
    printing: PrintSide | None = None
    tier: TierSide | None = None

    def reload() -> None:
        """Read the configuration again and apply all of it; if it can't be used, the current one is kept."""
        if tier is not None:
            tier.reload(os.environ)
            return
        try:
            new = config.load(os.environ, current)
        except config.ConfigError as fault:
            counters.add("config.kept")
            log("config", kept=current.name, error=fault)
            plans.reload(current, lambda are_valid: None)
            return

        def switch(plans_are_valid: bool) -> None:
            nonlocal current
            settings = new.settings != current.settings or new.names != current.names
            if settings and not plans_are_valid:
                counters.add("config.kept")
                log("config", kept=current.name, error="the file of attempt plans does not fit these settings")
                return
            old, current = current, new
            household.adopt(new)
            log_unknown_settings(unknown_settings(new.raw.get("settings", {})))
            counters.add("config.reloaded")
            log(
                "config",
                discovery="{}:{}".format(*new.discovery),
                moved=new.discovery != old.discovery,
                settings="changed" if settings else "same",
                classes=",".join(map(bytes.decode, new.names.classes)),
                needs_restart=",".join(config.restart_required_keys(started, new)) or "-",
            )

        plans.reload(new, switch)

    # Installed before the configuration is read: signals caught from here on are handled once the loop runs, so that a
    # SIGHUP sent after a change of the file during startup has the file read again.
    signals = Signals(scheduler, (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP), on_signal)
    try:
        started = current = config.load(os.environ)
    except config.ConfigError as fault:
        log("config", error=fault)
        return 2
    logged_unknown: set[str] = set()

    def log_unknown_settings(paths: list[str]) -> None:
        """Log each unknown setting once. It has no effect and is no error, as a later version may define it."""
        if new := [path for path in paths if path not in logged_unknown]:
            logged_unknown.update(new)
            counters.add("config.unknown", len(new))
            log("config", unknown=",".join(new))

    log_unknown_settings(unknown_settings(current.raw.get("settings", {})))
    plans = PlanFile(current, scheduler, clock, counters, log)
    if current.tier is not None:
        from pipitledge.tier import begin

        try:
            store = begin.open_store(current.tier, log)
        except begin.Unusable as fault:
            log("config", error=fault)
            return 2
    if not plans.start():
        return 2
    # From here on the start must not fail: an earlier process of this node stops accepting clients once this one claims
    # its listener.
    succession = Succession(scheduler, clock, counters, log, current.folder, current.listen)
    try:
        console = Console(scheduler, clock, counters, log, current.console) if current.console is not None else None
        claimed = claim(current.folder, current.listen, log) if current.folder else None
        listener = claimed.listener if claimed is not None else listen_at(current.listen)
    except (Busy, OSError) as fault:
        log("config", error=fault)
        return 2
    policy = Policy(current.settings, current.seed)
    dispatch = Dispatch(clock, timers, policy, counters, log)
    clients, links = budget(current.sockets)
    pool = Pool(scheduler, clock, dispatch, counters, log, current.dial_timeout_ms, current.idle_ms, links)
    group = HostGroup(
        scheduler,
        clock,
        dispatch,
        pool,
        counters,
        log,
        current.discovery,
        current.names,
        not current.settings.must_subscribe,
        current.settings.drain_grace_ms,
    )
    dispatch.links, dispatch.watch = pool, group.watch
    scheduler.after_round = dispatch.round
    front = Front(
        scheduler,
        clock,
        dispatch,
        counters,
        log,
        current.names,
        current.settings,
        listener,
        clients,
        max_held_body_bytes(current.memory_mb),
    )
    front.plan_of = plans.plan
    operations = Operations(dispatch, group, front, succession.ask_others)
    if console is not None:
        console.call_handler = operations.answer
    household = Household(succession, front, group, pool, dispatch, operations, current)
    if claimed is not None:
        household.inherit(claimed)
    else:
        group.start(current.known)
    household.start()
    if current.tier is not None:
        try:
            tier = begin.start(
                current,
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
    if current.printers:
        from pipitledge.ipp.node import PrintSide as Side

        try:
            printing = Side(current, scheduler, clock, counters, log)
        except (config.ConfigError, OSError) as fault:
            log("config", error=fault)
            return 2

        prints = printing

        def after_round() -> None:
            dispatch.round()
            prints.dispatch.round()

        def stop_if_both_ended() -> None:
            if front.stopped and prints.front.stopped:
                scheduler.stop()

        scheduler.after_round, front.on_stopped, prints.front.on_stopped = (
            after_round,
            stop_if_both_ended,
            stop_if_both_ended,
        )
        household.reserved = prints.places
        household.share_out()

    log(
        "ready",
        name=current.name,
        listen="{}:{}".format(*current.listen),
        workers=len(group.addresses),
        clients=front.max_links,
        links=pool.max_links,
        claimed=claimed is not None,
    )
    gc.collect()
    gc.freeze()  # the objects created so far live until exit; later collections skip them
    scheduler.run()
    succession.flush()
    del signals
    log("stopped", open=dispatch.open, counters=counters.text())
    return 0


if __name__ == "__main__":
    sys.exit(main())
