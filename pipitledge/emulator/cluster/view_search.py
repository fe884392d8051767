"""Search of views and members: every run of a small group within bounds, and drawn walks of larger ones.

A state is reached by replaying its actions on a new `Group`, as the shipped objects can't be copied. From some states
the faults are ended, and the group has to come to a primary that commits.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from pipitledge.emulator.cluster.view_model import Action, Bounds, Group, Violation

RECOVERY_ROUNDS = 60  # of time passing, until a group without faults has to commit

ONWARD_SHARE = 0.7  # of the steps of a walk

WIDE_BOUNDS = Bounds(
    takeovers=8,
    changes=8,
    stops=4,
    wipes=4,
    passes=16,
    writes=10,
    heartbeats=16,
    retirements=6,
    cuts=1,
    repeats=4,
)

MakeGroup = Callable[[], Group]


@dataclass
class Search:
    """A search, and what it has counted."""

    make: MakeGroup = Group
    recover_every: int = 50  # from each so-many-th state the faults are ended
    states: int = 0
    deepest: int = 0
    recoveries: int = 0
    whole: bool = False  # whether there is no state left within the bounds
    _seen: set[int] = field(default_factory=set)

    def run(self, most: int) -> int:
        """Look at states, breadth first, until there are no new ones or so many; Violation at a bad one."""
        queue: deque[tuple[Action, ...]] = deque([()])
        while queue:
            path = queue.popleft()
            for action in replayed(self.make, path).actions():
                if self.states >= most:
                    return self.states
                longer = (*path, action)
                group = replayed(self.make, longer)
                key = group.key()
                if key not in self._seen:
                    self._seen.add(key)
                    self.states += 1
                    self.deepest = max(self.deepest, len(longer))
                    queue.append(longer)
                    self._recover(group, longer)
        self.whole = True
        return self.states

    def walk(self, seed: int, steps: int) -> None:
        """One drawn run."""
        random = Random(seed)
        group = self.make()
        path: tuple[Action, ...] = ()
        for _ in range(steps):
            actions = group.actions()
            if not actions:
                break
            action = _drawn(random, actions)
            path = (*path, action)
            act(group, action, path)
            self.states += 1
        self.deepest = max(self.deepest, len(path))
        self.recoveries += 1
        recover(group, path)

    def _recover(self, group: Group, path: tuple[Action, ...]) -> None:
        if self.recover_every and self.states % self.recover_every == 0:
            self.recoveries += 1
            recover(group, path)


def _drawn(random: Random, actions: list[Action]) -> Action:
    """An action: mostly one that brings proposals on, else any kind as likely as another."""
    onward = [action for action in actions if action[0] in ("deliver", "timer")]
    if onward and random.random() < ONWARD_SHARE:
        return random.choice(onward)
    kind = random.choice(sorted({action[0] for action in actions}))
    return random.choice([action for action in actions if action[0] == kind])


def first_violation(make: MakeGroup, seeds: range, steps: int) -> Violation | None:
    """What the first of these walks that finds something has found."""
    for seed in seeds:
        try:
            Search(make).walk(seed, steps)
        except Violation as violation:
            return violation
    return None


def act(group: Group, action: Action, path: tuple[Action, ...]) -> None:
    """Carry out an action; a violation tells how it was come to."""
    try:
        group.act(action)
    except Violation as violation:
        raise Violation(f"{violation}, after {list(path)}") from violation


def replayed(make: MakeGroup, path: tuple[Action, ...]) -> Group:
    """A new group after these actions."""
    group = make()
    for number, action in enumerate(path, 1):
        act(group, action, path[:number])
    return group


def recover(group: Group, path: tuple[Action, ...]) -> None:
    """End all faults, let things take their course, and demand a commit; Violation if none comes."""
    group.cut = frozenset()
    endless = 10**9
    group.bounds = Bounds(
        takeovers=endless,
        changes=endless,
        passes=endless,
        writes=endless,
        heartbeats=endless,
        retirements=endless,
    )
    acknowledged = len(group.acknowledged)
    try:
        for name in [name for name, node in group.nodes.items() if node.life is None]:
            group.act(("start", name, 0))
        for turn in range(RECOVERY_ROUNDS):
            _calm_round(group, turn)
            if len(group.acknowledged) > acknowledged:
                return
    except Violation as violation:
        raise Violation(f"{violation}, as faults had ended after {list(path)}") from violation
    raise Violation(f"nothing is committed any more after {list(path)}")


def _calm_round(group: Group, turn: int) -> None:
    """Heartbeats of who leads, one try of one other, and all messages delivered."""
    names = list(group.nodes)
    for what in ("heartbeat", "retire", "change"):
        for name in names:
            _act_if_possible(group, (what, name, 0))
        _deliver_all(group)
    _act_if_possible(group, ("takeover", names[turn % len(names)], 0))
    _deliver_all(group)
    for name in names:
        life = group.nodes[name].life
        if life is not None and life.lease is not None and life.lease.held(group.time):
            _act_if_possible(group, ("write", name, 0))
    group.act(("pass", "", 0))


def _act_if_possible(group: Group, action: Action) -> None:
    if action in group.actions():
        group.act(action)


def _deliver_all(group: Group) -> None:
    """Deliver all messages, and let short timers run."""
    while group.flying or ("timer", "", 0) in group.actions():
        group.act(("deliver", "", 0) if group.flying else ("timer", "", 0))
