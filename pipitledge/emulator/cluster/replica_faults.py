"""What an adversary can do to a group of replicas: faults of machines, disks and links, of one step each."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from random import Random

from pipitledge.emulator.cluster.adversary import AdversarialFabric, Pair, Strike
from pipitledge.emulator.cluster.replica_group import Client, ReplicaGroup
from pipitledge.emulator.cluster.replica_watch import Watch
from pipitledge.emulator.cluster.virtual import World
from pipitledge.replication.quorum import is_in_sync
from pipitledge.wire.messages import View

RESTART_SECONDS = 0.15
STOP_SECONDS = 0.8  # from SIGTERM to the end of a process
PAUSES = (0.003, 0.02, 0.1, 0.3, 0.7, 1.3, 2.5, 4.0)  # between two actions, seconds
SLOW_SYNCS = (0.002, 0.05, 0.3)  # seconds
EVENT_LIMIT = 2_000_000
STRUCK_MESSAGES = (
    "Prepare",
    "Promise",
    *("Propose", "Accepted") * 4,
    "Append",
    "AppendReply",
    "RepairRequest",
    "RepairReply",
    "EpochReply",
    "Heartbeat",
    "HeartbeatReply",
)
FOUNDING_MESSAGES = ("InitialPrepare", "InitialPromise", "InitialPropose", "InitialAccepted")


@dataclass(frozen=True)
class GroupSize:
    """Which group is played."""

    members: int = 3
    tolerated: int = 1
    spares: int = 0
    zones: int = 0  # that may be lost
    value_bytes: int = 0  # of what is written; large values make a repair take several calls


class GroupFaults:
    """A group in virtual time, and faults that are drawn; each method tells whether it found something to do."""

    def __init__(self, seed: int, size: GroupSize, founding: bool = False, printing: bool = False) -> None:
        """The group is set up and nothing runs; with `founding`, messages of the founding are struck at, too."""
        self.random = Random(f"walk {seed}")
        self.size = size
        self.founding = founding
        self.printing = printing
        self.world = World(seed)
        self.world.event_limit = EVENT_LIMIT
        self.fabric = AdversarialFabric(self.world)
        self.world.network = self.fabric
        self.group = ReplicaGroup(size.members, size.tolerated, size.zones, world=self.world, printing=printing)
        self.client = Client(self.group, keys=7, size=size.value_bytes)
        self.watch = Watch(self.group, self.client)
        self._ending = False  # the faults have ended
        self._spares = size.spares
        self._gone: set[str] = set()  # machines replaced for good
        self._stopping: set[str] = set()
        self._lost_disks: set[str] = set()  # that are not known to be made up for

    # ---- choosing

    def _shuffled(self, names: Iterable[str]) -> list[str]:
        listed = sorted(names)
        return self.random.sample(listed, len(listed))

    def _up(self) -> list[str]:
        return [name for name, machine in self.group.machines.items() if machine.process is not None]

    def _frozen(self) -> list[str]:
        return [name for name in self._up() if not self.group.machines[name].running]

    def _down(self) -> list[str]:
        return [name for name, m in self.group.machines.items() if m.process is None and name not in self._gone]

    def _one(self, names: list[str]) -> str | None:
        """One of them; the primary more often than others."""
        if not names:
            return None
        primary = self.group.primary()
        if primary in names and self.random.random() < 0.35:
            return primary
        return self.random.choice(sorted(names))

    def _pairs_of(self, name: str) -> list[Pair]:
        return [(name, other) for other in self.group.machines if other != name]

    # ---- machines

    def _kill(self) -> bool:
        name = self._one(self._up())
        if name is not None:
            self.group.machines[name].kill()
        return name is not None

    def _power(self) -> bool:
        """One machine, or all of them, at the same moment."""
        names = self._up()
        if not names:
            return False
        chosen = names if self.random.random() < 0.2 else [self._one(names) or names[0]]
        for name in chosen:
            self.group.machines[name].power_off()
            self._reset_clock(name)
        return True

    def _wipe(self) -> bool:
        candidates = [name for name in self.group.machines if name not in self._gone and self._may_wipe(name)]
        name = self._one(candidates)
        if name is not None:
            self._lose_disk(name)
        return name is not None

    def _may_wipe(self, name: str) -> bool:
        """Whether no more disks are lost at once than is tolerated; one counts until it was taken in again."""
        view = self.watch.latest()
        if view is None or len(view.members) < 2 * self.size.tolerated + 1:
            return False  # a group that too few have founded bears no loss before it has grown
        self._lost_disks = {lost for lost in self._lost_disks if not self._has_caught_up(view, lost)}
        return len(self._lost_disks - {name}) < self.size.tolerated

    def _has_caught_up(self, view: View, name: str) -> bool:
        """Whether the set holds its new disk, and it has its promises again; or it was replaced."""
        if all(member.name != name for member in [*view.members, *view.previous]):
            return True
        machine, replica = self.group.machines[name], self.group.replicas.get(name)
        if name in self._gone or replica is None or machine.process is None:
            return False
        return is_in_sync(view, name, replica._env.me.disk_id) and not replica._witness.amnesiac

    def _lose_disk(self, name: str) -> None:
        self._lost_disks.add(name)
        self.group.machines[name].wipe()
        self._reset_clock(name)

    def _reset_clock(self, name: str) -> None:
        """Steady time of a machine that was without power begins anew."""
        self.group.machines[name].clock_offset = self.random.uniform(0.0, 1000.0)

    def _restart(self) -> bool:
        name = self._one(self._down())
        if name is not None:
            self._start(name)
        return name is not None

    def _start(self, name: str) -> None:
        self._stopping.discard(name)
        started = name in self.group.descriptors
        self.group.start(name, bootstrap=self.founding and not started)

    def _freeze(self) -> bool:
        name = self._one([name for name in self._up() if self.group.machines[name].running])
        if name is not None:
            self.group.machines[name].freeze()
        return name is not None

    def _thaw(self) -> bool:
        name = self._one(self._frozen())
        if name is not None:
            self.group.machines[name].thaw()
        return name is not None

    def _stop(self) -> bool:
        """SIGTERM: it says that it leaves, and ends a little later, once it is not relied on or time is up."""
        name = self._one(
            [name for name in self._up() if self.group.machines[name].running and name not in self._stopping]
        )
        if name is None:
            return False
        machine = self.group.machines[name]
        process = machine.process
        self._stopping.add(name)
        self.group.replicas[name].step_down()

        def end() -> None:
            if machine.process is process and machine.running:
                machine.kill()
                self.world.after(RESTART_SECONDS, lambda: self._start(name) if machine.process is None else None)

        self.world.after(STOP_SECONDS, end)
        return True

    def _stall(self) -> bool:
        name = self._one(self._up())
        if name is not None:
            self.group.machines[name].disk.stall()
        return name is not None

    def _resume(self) -> bool:
        stalled = [name for name, machine in self.group.machines.items() if machine.disk.stalled]
        for name in stalled:
            self.group.machines[name].disk.resume()
        return bool(stalled)

    def _replace(self) -> bool:
        """A machine is gone for good, and an empty one comes at another address."""
        candidates = [name for name in self.group.machines if name not in self._gone and self._may_wipe(name)]
        name = self._one(candidates)
        if name is None or not self._spares:
            return False
        self._lose_disk(name)
        self._gone.add(name)
        self.group.forget(name)
        self._add_spare()
        return True

    def _add_spare(self) -> None:
        """Start another counted machine, if one is left."""
        if self._spares:
            self._spares -= 1
            spare = f"s{self._spares}"
            self.group.add(spare)
            self.group.start(spare)

    # ---- links

    def _cut_node(self) -> bool:
        name = self._one(list(self.group.machines))
        if name is None:
            return False
        self.fabric.isolate(name)
        return True

    def _cut_parts(self) -> bool:
        names = self._shuffled(self.group.machines)
        size = self.random.randrange(1, len(names))
        for name in names[:size]:
            for other in names[size:]:
                self.fabric.cut(name, other)
        return True

    def _cut_one_way(self) -> bool:
        names = self._shuffled(self.group.machines)
        for other in names[1 : 1 + self.random.randrange(1, len(names))]:
            pair = (names[0], other) if self.random.random() < 0.5 else (other, names[0])
            self.fabric.cut(*pair, both=False)
        return True

    def _heal(self) -> bool:
        if not self.fabric.cuts:
            return False
        if self.random.random() < 0.5:
            self.fabric.join_all()
            return True
        for pair in self.random.sample(sorted(self.fabric.cuts), self.random.randint(1, len(self.fabric.cuts))):
            self.fabric.join(*pair, both=False)
        return True

    def _hold_answers(self) -> bool:
        """All that some machines send to one of them stays on its way, so that it hears no quorum."""
        names = self._shuffled(self.group.machines)
        target = self._one(names) or names[0]
        others = [name for name in names if name != target]
        for other in others[: self.random.randint(1, len(others))]:
            self.fabric.hold((other, target))
        return True

    def _hold_link(self) -> bool:
        name = self._one(list(self.group.machines))
        if name is None:
            return False
        self.fabric.hold(self.random.choice(self._pairs_of(name)))
        return True

    def _release(self) -> bool:
        held = self.fabric.holding()
        for pair in held:
            self.fabric.release(pair, self.random.random() < 0.5)
        return bool(held)

    def _release_some(self) -> bool:
        held = self.fabric.holding()
        if held:
            self.fabric.release(self.random.choice(held), self.random.random() < 0.5)
        return bool(held)

    def _change_luck(self) -> bool:
        self.fabric.repeat_share = self.random.choice((0.0, 0.0, 0.1, 0.4))
        self.fabric.late_share = self.random.choice((0.0, 0.0, 0.05, 0.2))
        self.fabric.loss_share = self.random.choice((0.0, 0.0, 0.05, 0.15))
        return True

    def _cut_link(self) -> bool:
        name = self._one(list(self.group.machines))
        if name is None:
            return False
        self.fabric.cut(*self.random.choice(self._pairs_of(name)))
        return True

    def _other_quorum(self) -> bool:
        """Just a quorum reach each other, another one than before; of the rest some are down, or lose their disks."""
        names = [name for name in self._shuffled(self.group.machines) if name not in self._gone]
        together = set(names[: len(names) // 2 + 1])
        self.fabric.join_all()
        for name in names:
            for other in names:
                if name < other and not (name in together and other in together):
                    self.fabric.cut(name, other)
        for name in names:
            self._change_fortune(name, name in together)
        return True

    def _change_fortune(self, name: str, together: bool) -> None:
        """What happens to a machine as the quorum changes; one of the new quorum is up afterwards."""
        machine = self.group.machines[name]
        draw = self.random.random()
        if draw < 0.2 and self._may_wipe(name):
            self._lose_disk(name)
        elif draw < 0.4 and machine.process is not None:
            machine.kill()
        if together or self.random.random() < 0.5:
            machine.thaw()
            machine.disk.resume()
            if machine.process is None:
                self.world.after(self.random.choice(PAUSES), partial(self._start_if_down, name))

    def _start_if_down(self, name: str) -> None:
        if self.group.machines[name].process is None and name not in self._gone:
            self._start(name)

    def _quick_restart(self) -> bool:
        """One machine, or all, end and are back before a lease has run out."""
        names = self._up()
        if not names:
            return False
        for name in names if self.random.random() < 0.2 else [self.random.choice(sorted(names))]:
            self.group.machines[name].kill()
            delay = self.random.uniform(0.0, RESTART_SECONDS)
            self.world.after(delay, partial(self._start_if_down, name))
        return True

    def _slow_disk(self) -> bool:
        name = self._one(list(self.group.machines))
        if name is not None:
            self.group.machines[name].disk.sync_seconds = self.random.choice(SLOW_SYNCS)
        return name is not None

    def _strike(self) -> bool:
        """The next message of some type is lost, and with it perhaps the link, or a machine's links, from then on."""
        types = STRUCK_MESSAGES + (FOUNDING_MESSAGES * 3 if self.founding else ())
        name = self._one(list(self.group.machines)) or ""
        outward = self._pairs_of(name)
        links = outward if self.random.random() < 0.5 else [(other, own) for own, other in outward]
        chosen = self.random.sample(links, self.random.randint(1, len(links)))
        followers = (self._let_be, self._cut_pair, self._isolate_sender, self._miss_it, self._miss_it, self._miss_more)
        then = self.random.choice(followers)
        self.fabric.strike = Strike(self.random.choice(types), set(chosen), self.random.randint(1, 3), then)
        return True

    def _let_be(self, _pair: Pair) -> None:
        """Only that message is lost."""

    def _cut_pair(self, pair: Pair) -> None:
        self.fabric.cut(*pair)

    def _miss_it(self, pair: Pair) -> None:
        """The receiver, which missed the message, later meets the others without the sender."""
        self._swap(pair[1], pair[0])

    def _miss_more(self, pair: Pair) -> None:
        """A third machine misses all that follows, and later meets the others without the receiver."""
        third = [name for name in self.group.machines if name not in pair and name not in self._gone]
        if third:
            self._swap(self.random.choice(third), pair[1])

    def _swap(self, first: str, second: str) -> None:
        """Cut one machine off now, and another one in its place a little later."""
        self.fabric.isolate(first)

        def swap() -> None:
            if not self._ending:
                self.fabric.join_all()
                self.fabric.isolate(second)

        self.world.after(self.random.uniform(0.3, 2.5), swap)

    def _isolate_sender(self, pair: Pair) -> None:
        self.fabric.isolate(pair[0])
