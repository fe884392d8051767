"""Bootstrap of the system: the first view, proposed by the first of the nodes that take part in the first start.

Its members have been decided by the seeds before (`initial_members.py`), so that no second group of nodes can
bootstrap a system of its own.
"""

from __future__ import annotations

from collections.abc import Callable

from pipitledge.replication.environment import Environment
from pipitledge.replication.initial_members import as_member
from pipitledge.replication.quorum import has_quorum, is_in_sync
from pipitledge.replication.timing import (
    BOOTSTRAP_MIN_WAIT_SECONDS,
    BOOTSTRAP_POLL_SECONDS,
    BOOTSTRAP_QUIET_SECONDS,
    BOOTSTRAP_REDUCED_SIZE_AFTER_SECONDS,
    BOOTSTRAP_TURN_SECONDS,
)
from pipitledge.wire.messages import Member, NodeDescriptor, Promise, View


class Bootstrap:
    """Collects the nodes of the first start; calls `propose` with them when it is this node's turn to bootstrap."""

    def __init__(
        self,
        env: Environment,
        bootstrapped: Callable[[], bool],
        may_bootstrap: Callable[[], bool],
        propose: Callable[[list[Member]], None],
    ) -> None:
        """`bootstrapped` returns whether a view is known; `may_bootstrap` whether enough of the network was reached."""
        self._env = env
        self._bootstrapped = bootstrapped
        self._may_bootstrap = may_bootstrap
        self._propose = propose
        self._started_at = env.clock.now()
        self._bootstrap_nodes: dict[str, NodeDescriptor] = {}
        self._known_names: list[str] = []
        self._changed_at = self._started_at
        self._not_before = 0.0

    def start(self) -> None:
        """Start to poll membership for the other nodes."""
        self._tick()

    def wait_for_other(self) -> None:
        """Let another node, which has just asked for a promise, finish its bootstrap attempt."""
        self._not_before = self._env.clock.now() + BOOTSTRAP_TURN_SECONDS

    def on_failed(self) -> None:
        """Wait for a random time, as an attempt of this node was not decided."""
        self._not_before = self._env.clock.now() + self._env.random.uniform(0.2, 1.0)

    def _tick(self) -> None:
        if self._bootstrapped():
            return
        self._env.clock.at(self._env.clock.now() + BOOTSTRAP_POLL_SECONDS, self._tick)
        members = self._members()
        self._record_names([member.name for member in members])
        if self._is_my_turn(members):
            self._propose(members)

    def known_members(self) -> list[Member]:
        """Return all known nodes of the first start, sorted by name."""
        return self._members()

    def _collect_nodes(self) -> None:
        for node in self._env.membership.counted():
            if node.bootstrap and node.name != self._env.name:
                self._bootstrap_nodes[node.name] = node

    def _members(self) -> list[Member]:
        """Return this node and all known others of the first start, sorted by name."""
        self._collect_nodes()
        members = [as_member(node) for node in self._bootstrap_nodes.values()]
        return sorted([*members, self._env.me], key=lambda member: member.name)

    def _record_names(self, names: list[str]) -> None:
        if names != self._known_names:
            self._known_names = names
            self._changed_at = self._env.clock.now()

    def _is_my_turn(self, members: list[Member]) -> bool:
        now = self._env.clock.now()
        ready_at = max(self._started_at + BOOTSTRAP_MIN_WAIT_SECONDS, self._changed_at + BOOTSTRAP_QUIET_SECONDS)
        turn = self._known_names.index(self._env.name)
        if now < max(ready_at + turn * BOOTSTRAP_TURN_SECONDS, self._not_before):
            return False
        return self._enough_nodes(members, now - self._started_at)

    def _enough_nodes(self, members: list[Member], waited: float) -> bool:
        """Whether enough nodes are known to keep a majority after the tolerated losses, or later just to start."""
        machines = self._env.tolerance.machines
        least = 2 * machines + 1 if waited < BOOTSTRAP_REDUCED_SIZE_AFTER_SECONDS else machines + 1
        return len(members) >= least and self._may_bootstrap()


def bootstrap_view(
    env: Environment, epoch: int, start: View, base: View | None, promises: dict[str, Promise]
) -> View | None:
    """Return the first view; all members that promised are in sync, as there is no state yet. None if one exists."""
    if base is not None:
        return None
    members = [_with_disk(env, member, promises.get(member.name)) for member in start.members]
    in_sync = [member.name for member in members if member.name in promises]
    view = View(epoch=epoch, term=epoch, primary=env.name, in_sync=in_sync, members=members)
    majority = 2 * len(in_sync) > len(members)  # by count: the casting vote does not help to bootstrap
    if not majority or not has_quorum(view, in_sync) or not env.tolerance.satisfied_by(in_sync, members):
        return None
    return view if is_in_sync(view, env.name, env.me.disk_id) else None


def _with_disk(env: Environment, member: Member, promise: Promise | None) -> Member:
    if member.name == env.name:
        return env.me
    disk_id = promise.disk_id if promise is not None else 0
    return Member(member.name, member.address, member.zone, member.region, disk_id)
