"""Wire the tier's side to a node: its disk, its carrier, its part in an upgrade. Imported where there is a tier."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from pipitledge.net.scheduler import Scheduler
from pipitledge.net.timers import Clock
from pipitledge.node.config import Address, Config, ConfigError, TierConfig
from pipitledge.node.counters import Counters, Log
from pipitledge.node.operations import Operations
from pipitledge.tier.carrier import PLACES, Carrier, Connections, Datagrams
from pipitledge.tier.side import TierSide
from pipitledge.tier.store import BadStore, Store
from pipitledge.upgrade.household import Household


class Unusable(Exception):
    """The node can't start with this tier; the text names the place and the reason."""


def open_store(tier: TierConfig, log: Log) -> Store | None:
    """Open the node's disk, before anything else begins; Unusable where what it holds can't be used."""
    if not tier.state:
        return None
    try:
        store = Store(tier.state, tier.name)
    except (BadStore, OSError) as fault:
        raise Unusable(f"tier.state: {fault}") from fault
    if store.cut:
        log("tier", torn_tail=store.cut, file=store.path)
    return store


def start(
    told: Config,
    scheduler: Scheduler,
    clock: Clock,
    counters: Counters,
    log: Log,
    store: Store | None,
    household: Household,
    operations: Operations,
    handed: Mapping[str, Any],
) -> TierSide:
    """Begin to take part in the tier's policy."""
    assert told.tier is not None
    carrier: Carrier
    if told.tier.listen is not None:
        carrier = Connections(scheduler, clock, counters, log, told.tier.listen)
        household.reserved += 1 + 2 * max(4, len(told.tier.members)) + PLACES // 4
        household.share_out()
    elif household.peers is not None:
        peers = household.peers
        carrier = Datagrams(peers.send, counters)

        def on_other_datagram(said: bytes, sender: Address) -> bool:
            if said[:2] != b"pt":
                return False
            carrier.received(said, sender)
            return True

        peers.on_other_datagram = on_other_datagram
    else:
        raise Unusable("tier.listen: missing, and settings.n_instances is 1: there are no datagrams")
    try:
        side = TierSide(told, scheduler, clock, counters, log, carrier, store, handed)
        side.start(household)
    except (ConfigError, OSError) as fault:
        raise Unusable(f"tier: {fault}") from fault
    operations.policy = side.operate
    household.give_voice, household.take_voice = side.hand_over, side.take_back
    return side
