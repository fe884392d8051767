"""Two processes that are one node: what is told at an upgrade, and what each may use while both run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from pipitledge.decision.interface import SettingsChanged
from pipitledge.node.budget import budget, max_held_body_bytes
from pipitledge.node.config import Config
from pipitledge.node.console import Call
from pipitledge.node.dispatch import Dispatch
from pipitledge.node.front import Front
from pipitledge.node.host_group import HostGroup
from pipitledge.node.operations import Operations
from pipitledge.node.server_link import Pool
from pipitledge.upgrade.handover import Estate
from pipitledge.upgrade.knowledge import inherited, learned_by
from pipitledge.upgrade.succession import Claim, Partner, Succession

if TYPE_CHECKING:  # a node that talks to no other one must not pay for it
    from pipitledge.node.peer_membership import PeerMembership
    from pipitledge.node.peers import Peers


class Household:
    """Ties the succession to the parts of the node that it concerns."""

    def __init__(
        self,
        succession: Succession,
        front: Front,
        group: HostGroup,
        pool: Pool,
        dispatch: Dispatch,
        operations: Operations,
        told: Config,
    ) -> None:
        """Be told of each step of an upgrade from now on."""
        self.succession, self.front, self.group, self.pool, self.dispatch = succession, front, group, pool, dispatch
        self.operations, self.told = operations, told
        self.reserved = 0  # descriptors of the print side
        self.peers: Peers | None = None
        # What hands the node's voice in its tier over to an heir, and takes it up again where that is gone.
        self.give_voice: Callable[[], dict[str, Any]] = dict
        self.take_voice: Callable[[], None] = lambda: None
        if told.peer_listen is not None and told.settings.instances > 1:
            from pipitledge.node.peers import Peers

            self.peers = Peers(
                front.scheduler,
                front.clock,
                front.counters,
                front.log,
                told.peer_listen,
                told.peers,
                told.peers_all,
                self._membership(),
            )
            self.peers.on_change, self.peers.serves, front.on_stage_change = (
                self._put_in_force,
                self._serves,
                self.peers.announce,
            )
        succession.hand_over, succession.take_back = self._hand_over, self._take_back
        succession.alone, succession.over = self._alone, dispatch.open_in_predecessor.difference_update
        succession.adopt, succession.do = front.adopt, self._do

    def adopt(self, told: Config) -> None:
        """Put another configuration in force, in one step: no query sees half of it."""
        tier = self.told.settings.instances, self.told.settings.number
        self.told, names = told, told.names
        if self.peers is not None and tier != (told.settings.instances, told.settings.number):
            self.peers.membership = self._membership()
        self._put_in_force()
        self.front.names, self.front.settings = names, told.settings
        self.group.adopt(names, not told.settings.must_subscribe, told.settings.drain_grace_ms)
        self.pool.set_timeouts(told.dial_timeout_ms, told.idle_ms)
        self.share_out()
        self.group.move(told.discovery)

    def _membership(self) -> PeerMembership:
        from pipitledge.node.peer_membership import PeerMembership

        return PeerMembership(self.told.settings.number, self.told.settings.instances)

    def _serves(self) -> bool:
        """What the other nodes are told: clients may use their connections on for a while."""
        duty = self.front.duty
        return duty.is_ready or (not duty.is_shedding and self.dispatch.open > 0)

    def _put_in_force(self) -> None:
        """Tell the module its settings: those told, among the nodes that are there."""
        settings = self.told.settings
        if self.peers is not None:
            from pipitledge.node.peer_membership import settings_for_members

            settings = settings_for_members(settings, self.peers.serving)
        if self.succession.heir is not None:  # cold workers' budgets are the heir's from now on
            settings = replace(settings, overload_factor=0.0)
        self.dispatch.events.append(SettingsChanged(settings))
        self.dispatch.round()

    def start(self) -> None:
        """Begin to talk to the other nodes."""
        if self.peers is not None:
            self.peers.start()

    def inherit(self, claimed: Claim) -> None:
        """Go on from what the elder told."""
        estate, group = claimed.estate, self.group
        group.out.update(estate.out)
        group.cold_from.update(estate.cold_from)
        group.start({"rev": estate.rev, "all": True, "targets": estate.rows})
        if (learned := inherited(estate.learned, self.told.names.numbers, self.dispatch.policy)) is not None:
            self.dispatch.events.append(learned)
        group.watch()  # at once: the module would ask within seconds, and news is owed sooner
        self.dispatch.open_in_predecessor.update(estate.open)
        if estate.lame_since is not None:
            self.front.lame_duck(estate.lame_since)
        self.succession.follow(claimed.sock)
        self.share_out()

    def share_out(self) -> None:
        """Use all of the limits alone, and half of them while another process of this node runs."""
        parts = 2 if self.succession.is_shared else 1
        self.front.max_links, links = budget((self.told.sockets - self.reserved) // parts)
        self.front.max_held_bytes = max_held_body_bytes(self.told.memory_mb // parts)
        self.pool.set_max_links(links)

    def _hand_over(self) -> tuple[Estate, int]:
        self.share_out()
        self.front.hand_over(self.succession.pass_on)
        self.dispatch.over = self.succession.tell_over
        group, duty = self.group, self.front.duty
        learned = learned_by(self.dispatch.policy, self.told.names.numbers)
        self._put_in_force()
        if self.peers is not None:
            self.peers.stop()
        return Estate(
            group.version,
            list(group.raw.values()),
            group.out,
            group.cold_from,
            duty.draining_since_ms,
            list(self.dispatch.queries),
            learned,
            self.give_voice(),
        ), self.front.listener.fileno()

    def _take_back(self) -> None:
        self.dispatch.over = lambda ids: None
        self._put_in_force()
        self.start()
        self.take_voice()
        self.front.take_back()
        self.share_out()

    def _alone(self) -> None:
        self.dispatch.open_in_predecessor.clear()  # what the elder had is answered, or lost with it
        self.share_out()

    def _do(self, call: Call, source: Partner) -> str | None:
        self.operations.apply_relayed(call)
        return self.succession.ask_others(call, source)
