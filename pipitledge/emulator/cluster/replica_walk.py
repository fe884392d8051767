"""Drawn runs of whole replicas under an adversary.

Everything is the shipped code: votes, appends, repair, heartbeats, leaves, changes of members, the founding. The
adversary kills, wipes, freezes and stops machines, cuts and heals links, holds messages on their way and lets them
through later, and doubles, loses and reorders them. What it does next is drawn with a bias to pairs of actions that
this run has seldom played one after the other.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from pipitledge.emulator.cluster.replica_faults import PAUSES, SLOW_SYNCS, GroupSize
from pipitledge.emulator.cluster.replica_plans import PlannedFaults
from pipitledge.emulator.cluster.replica_watch import BrokenInvariant

WRITE_SECONDS = 0.02
LARGE_WRITE_SECONDS = 0.2
RECOVERY_SECONDS = 14.0  # after the faults, until something is committed again
SETTLE_SECONDS = 5.0
FOUNDING_PATIENCE_SECONDS = 45.0
ATTEMPTS_TO_ACT = 12
PLANS = ("stale majority", "missed proposal", "late join", "restart of a voter")  # several steps each
OFTEN = {
    "other quorum": 8.0,
    "strike": 4.0,
    "quick restart": 2.0,
    "cut link": 2.0,
    "reboot": 2.0,
    **dict.fromkeys(PLANS, 3.0),
}  # weights above 1


@dataclass
class Coverage:
    """How often each pair of actions was played one after the other; shared by the runs of a search."""

    pairs: Counter[tuple[str, str]] = field(default_factory=Counter)

    def weight(self, last: str, action: str) -> float:
        """The more seldom a pair was played, the likelier it is next."""
        return 1.0 / (1 + self.pairs[last, action])


class Walk(PlannedFaults):
    """One drawn run."""

    def __init__(
        self,
        seed: int,
        size: GroupSize,
        coverage: Coverage | None = None,
        founding: bool = False,
        printing: bool = False,
    ) -> None:
        """With `founding`, the adversary is there from the first start on."""
        super().__init__(seed, size, founding, printing)
        self.coverage = coverage or Coverage()
        self.actions = 0
        self._last = ""
        self._kinds: dict[str, Callable[[], bool]] = {
            "kill": self._kill,
            "power": self._power,
            "wipe": self._wipe,
            "restart": self._restart,
            "freeze": self._freeze,
            "thaw": self._thaw,
            "cut node": self._cut_node,
            "cut parts": self._cut_parts,
            "cut one way": self._cut_one_way,
            "heal": self._heal,
            "hold answers": self._hold_answers,
            "hold link": self._hold_link,
            "release": self._release,
            "release some": self._release_some,
            "stop": self._stop,
            "stall": self._stall,
            "resume": self._resume,
            "replace": self._replace,
            "change luck": self._change_luck,
            "other quorum": self._other_quorum,
            "cut link": self._cut_link,
            "quick restart": self._quick_restart,
            "slow disk": self._slow_disk,
            "strike": self._strike,
            "restart of a voter": self._restart_voter,
            "reboot": self._reboot,
            "stale majority": self._stale_majority,
            "missed proposal": self._missed_proposal,
            "late join": self._late_join,
        }

    def play(self, steps: int) -> None:
        """Play so many actions, end all faults, and demand a commit; BrokenInvariant where something does not hold."""
        self._begin()
        for _ in range(steps):
            self._act()
            self.world.run_for(self.random.choice(PAUSES) * self.random.uniform(0.5, 1.5))
        self._recover()

    def _begin(self) -> None:
        if self.founding:
            self._draw_partial_knowledge()
            for name in self.group.machines:
                self.world.after(self.random.uniform(0.0, 0.3), partial(self._start_first, name))
            self.world.run_for(self.random.uniform(0.5, 1.7))
        else:
            self.group.found()
            self.world.run_for(self.random.uniform(0.0, 1.5))
        self.client.run(LARGE_WRITE_SECONDS if self.size.value_bytes else WRITE_SECONDS)

    def _start_first(self, name: str) -> None:
        self.group.start(name, bootstrap=True)

    def _draw_partial_knowledge(self) -> None:
        """Two parts that have not heard of each other, and cannot."""
        names = self._shuffled(self.group.machines)
        seeds = self._shuffled(self.group.seeds)
        shared = seeds[0]
        rest = [name for name in names if name != shared]
        parts = [set(rest[::2]), set(rest[1::2])]
        for part, other in (parts, parts[::-1]):
            for name in part:
                self.group.groups[name] = part
                for stranger in other:
                    self.fabric.cut(name, stranger)
        self.group.groups[shared] = {shared}

    def _act(self) -> None:
        for _ in range(ATTEMPTS_TO_ACT):
            kinds = sorted(self._kinds)
            weights = [OFTEN.get(kind, 1.0) * self.coverage.weight(self._last, kind) for kind in kinds]
            kind = self.random.choices(kinds, weights)[0]
            if self._kinds[kind]():
                if self.printing:
                    print(f"{self.world.time:8.3f} ---- {kind}")
                self.coverage.pairs[self._last, kind] += 1
                self._last = kind
                self.actions += 1
                return

    # ---- the end

    def _recover(self) -> None:
        """End all faults; something has to be committed soon."""
        self._ending = True
        fabric = self.fabric
        fabric.strike = None
        fabric.repeat_share = fabric.late_share = fabric.loss_share = 0.0
        fabric.join_all()
        for pair in fabric.holding():
            fabric.release(pair)
        self.group.groups.clear()
        for name, machine in self.group.machines.items():
            machine.disk.sync_seconds = SLOW_SYNCS[0]
            machine.disk.resume()
            machine.thaw()
            if machine.process is None and name not in self._gone:
                self._start(name)
        for name in sorted(self._stopping):
            self.group.machines[name].kill()
            self._start(name)
        before = len(self.client.acks)
        patience = FOUNDING_PATIENCE_SECONDS if self.founding else RECOVERY_SECONDS
        if not self.world.run_while(lambda: len(self.client.acks) == before, patience):
            raise BrokenInvariant(f"Progress: nothing is committed within {patience:g} s of the last fault")
        self.world.run_for(SETTLE_SECONDS)
        self.watch.check()
