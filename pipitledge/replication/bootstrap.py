"""The first view: found by the first of the nodes that started with the system.

Its members are decided before, by the seeds (`initial_members.py`), so that no second group can found another.
"""

from __future__ import annotations

from collections.abc import Callable

from pipitledge.replication.environment import Environment
from pipitledge.replication.initial_members import as_member
from pipitledge.replication.quorum import has_quorum, is_in_sync
from pipitledge.replication.timing import (
    BOOTSTRAP_REDUCED_SIZE_AFTER_SECONDS,
    BOOTSTRAP_QUIET_SECONDS,
    BOOTSTRAP_MIN_WAIT_SECONDS,
    BOOTSTRAP_POLL_SECONDS,
    BOOTSTRAP_TURN_SECONDS,
)
from pipitledge.wire.messages import Member, NodeDescriptor, Promise, View


class Bootstrap:
    """Gathers the nodes of the first start; calls `propose` with those known when it is this node's turn to found."""

    def __init__(
        self,
        env: Environment,
        founded: Callable[[], bool],
        may_bootstrap: Callable[[], bool],
        propose: Callable[[list[Member]], None],
    ) -> None:
        """`founded` tells whether a view is known; `may_found` whether enough of the network has been reached."""
        self._env = env
        self._founded = founded
        self._may_accept_bootstrap = may_bootstrap
        self._propose = propose
        self._started_at = env.clock.now()
        self._bootstrap_nodes: dict[str, NodeDescriptor] = {}
        self._known: list[str] = []
        self._changed_at = self._started_at
        self._not_before = 0.0

    def start(self) -> None:
        """Begin to look for others."""
        self._tick()

    def wait_for_other(self) -> None:
        """Another node is founding: it has its turn."""
        self._not_before = self._env.clock.now() + BOOTSTRAP_TURN_SECONDS

    def failed(self) -> None:
        """An attempt of this node was not decided."""
        self._not_before = self._env.clock.now() + self._env.random.uniform(0.2, 1.0)

    def _tick(self) -> None:
        if self._founded():
            return
        self._env.clock.at(self._env.clock.now() + BOOTSTRAP_POLL_SECONDS, self._tick)
        members = self._members()
        self._note([member.name for member in members])
        if self._is_time(members):
            self._propose(members)

    def known(self) -> list[Member]:
        """All nodes that started with the system, so far as is known, in the order of their names."""
        return self._members()

    def _look(self) -> None:
        for node in self._env.membership.counted():
            if node.bootstrap and node.name != self._env.name:
                self._bootstrap_nodes[node.name] = node

    def _members(self) -> list[Member]:
        """This node and all others that started with the system, in the order of their names."""
        self._look()
        members = [as_member(node) for node in self._bootstrap_nodes.values()]
        return sorted([*members, self._env.me], key=lambda member: member.name)

    def _note(self, names: list[str]) -> None:
        if names != self._known:
            self._known = names
            self._changed_at = self._env.clock.now()

    def _is_time(self, members: list[Member]) -> bool:
        now = self._env.clock.now()
        ready_at = max(self._started_at + BOOTSTRAP_MIN_WAIT_SECONDS, self._changed_at + BOOTSTRAP_QUIET_SECONDS)
        turn = self._known.index(self._env.name)
        if now < max(ready_at + turn * BOOTSTRAP_TURN_SECONDS, self._not_before):
            return False
        return self._enough(members, now - self._started_at)

    def _enough(self, members: list[Member], waited: float) -> bool:
        """Whether the nodes known bear the faults to be tolerated; much later, whether they can start at all."""
        machines = self._env.tolerance.machines
        least = 2 * machines + 1 if waited < BOOTSTRAP_REDUCED_SIZE_AFTER_SECONDS else machines + 1
        return len(members) >= least and self._may_accept_bootstrap()


def bootstrap_view(
    env: Environment, epoch: int, start: View, base: View | None, promises: dict[str, Promise]
) -> View | None:
    """The first view: all that answered hold everything, as there is nothing yet. None if others were faster."""
    if base is not None:
        return None
    members = [_with_disk(env, member, promises.get(member.name)) for member in start.members]
    in_sync = [member.name for member in members if member.name in promises]
    view = View(epoch=epoch, term=epoch, primary=env.name, in_sync=in_sync, members=members)
    most = 2 * len(in_sync) > len(members)  # nothing is founded by the second vote of one member
    if not most or not has_quorum(view, in_sync) or not env.tolerance.satisfied_by(in_sync, members):
        return None
    return view if is_in_sync(view, env.name, env.me.disk_id) else None


def _with_disk(env: Environment, member: Member, promise: Promise | None) -> Member:
    if member.name == env.name:
        return env.me
    disk_id = promise.disk_id if promise is not None else 0
    return Member(member.name, member.address, member.zone, member.region, disk_id)
