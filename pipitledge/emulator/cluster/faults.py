"""Drawn faults of machines, links, disks, clocks and workers, within what the deployment tolerates."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

from pipitledge.emulator.cluster.site import Site
from pipitledge.emulator.cluster.troubles import Troubles
from pipitledge.emulator.cluster.virtual import Machine
from pipitledge.emulator.cluster.worker import ModelWorker

LONGEST_OUTAGE_S = 8.0  # of all counted machines at once
LONGEST_JUMP_MS = 4_000
LONGEST_HALVES_S = 20.0
BEYOND_SHARE = 0.2  # of the faults for which as many machines as tolerated are lost already
ACKNOWLEDGEMENT_LOOK_S = 0.0005

Mend = Callable[[], None]


class Faults:
    """Plays faults until it is told to stop."""

    def __init__(self, random: Random, site: Site, troubles: Troubles, printing: bool = False) -> None:
        """Draw from `random`; how often and of which kinds is drawn too."""
        self._random = random
        self._site = site
        self._world = site.world
        self._deployment = site.deployment
        self._troubles = troubles
        self._printing = printing
        self._lost: set[str] = set()  # counted machines that are lost, or not yet caught up
        self._busy: set[str] = set()  # other machines with a fault
        self._disks_lost: set[str] = set()  # counted machines whose disks are lost, or not yet caught up
        self._halved = False  # whether the counted machines are cut into halves
        self._mends: dict[int, Mend] = {}
        self._next_mend = 0
        self._beyond = False  # whether the fault being drawn goes beyond what is tolerated
        self._gone_dark: set[str] = set()
        self.acknowledged: Callable[[], int] = lambda: 0  # acknowledgements that clients and operators have seen
        self.clocks_jump = random.random() < 0.3
        self.stopped = False
        self._interval_s = random.choice((1.0, 2.0, 4.0))
        self._machines_share = random.choice((0.3, 0.5, 0.8))
        network = self._world.network
        network.datagram_loss = random.choice((0.0, 0.02))
        network.delay, network.jitter = random.choice(((0.001, 0.001), (0.002, 0.002), (0.005, 0.02)))
        self._sync_s = random.choice((0.002, 0.002, 0.010))
        for name in self._deployment.counted:
            self._world.machines[name].disk.sync_seconds = self._sync_s
        self.played: list[str] = []

    def start(self) -> None:
        """Begin."""
        self._next()

    def _next(self) -> None:
        if self.stopped:
            return
        self._world.after(self._random.expovariate(1.0 / self._interval_s), self._next)
        if self._random.random() < 0.06:
            self._herd()
        elif self._random.random() < 0.06:
            self._halves()
        elif self._random.random() < self._machines_share:
            self._fault_of_machine()
        else:
            self._fault_of_worker()

    def _note(self, what: str) -> None:
        self.played.append(f"{self._world.time:.3f} {what}")
        if self._printing:
            print(f"{self._world.time:8.3f} ---- {what}")

    # ---- mending

    def _until(self, name: str, seconds: float, mend: Mend) -> None:
        """Mend it later, or at the end of the troubles."""
        self._troubles.begin(name)
        self._next_mend += 1
        number = self._next_mend

        def act() -> None:
            if self._mends.pop(number, None) is not None:
                self._note(f"mended {name}")
                mend()
                self._troubles.end(name)

        self._mends[number] = act
        self._world.after(seconds, act)

    def heal(self) -> None:
        """Mend all that can be mended."""
        self.stopped = True
        for mend in list(self._mends.values()):
            mend()
        self._world.network.join_all()
        for name in self._world.machines:
            self._site.restart(name)

    def _span(self) -> float:
        return self._random.choice((0.1, 0.5, 1.0, 2.0, 4.0, 8.0)) * self._random.uniform(0.5, 1.5)

    def _long_span(self) -> float:
        """Of machines that hold no state: now and then longer than any hold lasts."""
        return self._random.uniform(14.0, 25.0) if self._random.random() < 0.4 else self._span()

    # ---- machines

    def _fault_of_machine(self) -> None:
        name = self._draw_machine()
        if name is None:
            return
        machine = self._world.machines[name]
        faults: list[Callable[[Machine], Mend]] = [
            self._kill,
            self._power,
            self._freeze,
            self._cut,
            self._cut_one_way,
            self._slow_link,
        ]
        if name in self._deployment.counted:
            faults += [self._stall, self._slow_disk, self._step_down]
            if not self._beyond and len(self._disks_lost) < self._deployment.tolerated:
                faults.append(self._wipe)  # losses may overlap beyond what is tolerated, but those of disks
        if name in self._site.workers:
            faults += [self._cut, self._cut]  # workers that are cut off run on
        if self.clocks_jump and name in self._deployment.edges:
            faults.append(self._jump)
        fault = self._random.choice(faults)
        held = self._lost if name in self._deployment.counted else self._busy
        held.add(name)
        self._note(f"{fault.__name__} {name}")
        mend = fault(machine)

        def back() -> None:
            mend()
            self._world.after(self._deployment.bounds.catch_up_s, lambda: held.discard(name))

        self._until(name, self._span() if name in self._deployment.counted else self._long_span(), back)

    def _draw_machine(self) -> str | None:
        """A machine that may have a fault now: often the primary."""
        sound = [name for name in self._deployment.counted if name not in self._lost]
        others = [name for name in self._world.machines if name not in self._deployment.counted]
        others = [name for name in others if name not in self._busy]
        primary = self._site.primary()
        tolerated = self._deployment.tolerated
        self._beyond = len(self._lost) >= tolerated and self._random.random() < BEYOND_SHARE
        may_lose = len(self._lost) < tolerated or self._beyond
        chance = self._random.random()
        if may_lose and primary in sound and chance < 0.3:
            return primary
        if may_lose and sound and chance < 0.6:
            return self._random.choice(sound)
        return self._random.choice(others) if others else None

    def _restart(self, name: str) -> Mend:
        return lambda: self._site.restart(name)

    def _kill(self, machine: Machine) -> Mend:
        machine.kill()
        return self._restart(machine.name)

    def _power(self, machine: Machine) -> Mend:
        machine.power_off()
        worker = self._site.workers.get(machine.name)
        if worker is not None and worker.up:
            worker.crash(self._random.uniform(0.5, 4.0))
        return self._restart(machine.name)

    def _wipe(self, machine: Machine) -> Mend:
        machine.wipe()
        self._disks_lost.add(machine.name)

        def mend() -> None:
            self._site.restart(machine.name)
            self._count_disk_later(machine.name)

        return mend

    def _count_disk_later(self, name: str) -> None:
        """The disk counts as lost until its machine has been there, and not cut off, for the time to catch up."""

        def caught_up() -> None:
            if self._halved or self._world.machines[name].process is None:
                self._count_disk_later(name)
            else:
                self._disks_lost.discard(name)

        self._world.after(self._deployment.bounds.catch_up_s, caught_up)

    def _freeze(self, machine: Machine) -> Mend:
        machine.freeze()
        return machine.thaw

    def _cut(self, machine: Machine) -> Mend:
        self._world.network.isolate(machine.name)
        return lambda: self._join(machine.name)

    def _cut_one_way(self, machine: Machine) -> Mend:
        others = [other for other in self._world.machines if other != machine.name]
        inward = self._random.random() < 0.5
        for other in self._random.sample(others, self._random.randint(1, len(others))):
            pair = (other, machine.name) if inward else (machine.name, other)
            self._world.network.cut(*pair, both=False)
            self._troubles.touch(other)
        return lambda: self._join(machine.name)

    def _join(self, name: str) -> None:
        for other in self._world.machines:
            if other != name:
                self._world.network.join(name, other)

    def _slow_link(self, machine: Machine) -> Mend:
        delays = self._world.network.extra_delay
        others = [other for other in self._world.machines if other != machine.name]
        pairs = [pair for other in others for pair in ((machine.name, other), (other, machine.name))]
        for pair in pairs:
            delays[pair] = self._random.uniform(0.0, 0.5)

        def mend() -> None:
            for pair in pairs:
                delays.pop(pair, None)

        return mend

    def _stall(self, machine: Machine) -> Mend:
        machine.disk.stall()
        return machine.disk.resume

    def _slow_disk(self, machine: Machine) -> Mend:
        disk = machine.disk
        disk.sync_seconds = self._random.choice((0.05, 0.3, 1.0))

        def mend() -> None:
            disk.sync_seconds = self._sync_s

        return mend

    def _step_down(self, machine: Machine) -> Mend:
        planes, process = self._site.nodes[machine.name], machine.process
        if planes.replica is not None and machine.running:
            planes.ingress.stop()
            planes.replica.step_down()

        def end() -> None:
            if machine.process is process:
                machine.kill()

        self._world.after(1.0, end)

        def back() -> None:
            end()
            self._site.restart(machine.name)

        return back

    def _jump(self, machine: Machine) -> Mend:
        machine.wall_offset_ms = self._random.randint(-LONGEST_JUMP_MS, LONGEST_JUMP_MS)

        def mend() -> None:
            machine.wall_offset_ms = 0

        return mend

    # ---- all counted machines

    def _halves(self) -> None:
        """The counted machines are cut into two halves; all others reach both."""
        if self._halved:
            return
        names = list(self._deployment.counted)
        self._random.shuffle(names)
        half, rest = names[: len(names) // 2], names[len(names) // 2 :]
        pairs = [(one, other) for one in half for other in rest]
        self._note(f"cut into {half} and {rest}")
        for pair in pairs:
            self._world.network.cut(*pair)

        def mend() -> None:
            self._halved = False
            for pair in pairs:
                self._world.network.join(*pair)

        self._halved = True
        for name in names[1:]:
            self._until(name, LONGEST_HALVES_S, _nothing)
        self._until(names[0], self._random.uniform(1.0, LONGEST_HALVES_S), mend)

    def _herd(self) -> None:
        """All counted machines go at once: some time after a disk hung, or right after an acknowledgement."""
        power = self._random.random() < 0.6
        if self._lost or self._random.random() < 0.4:
            self.all_counted(power)
        elif self._random.random() < 0.5:
            self._stall_some()
            self._world.after(self._random.uniform(0.05, 0.6), lambda: self.all_counted(power))
        else:
            self.after_acknowledgement(lambda: self.all_counted(True, self._deployment.tolerated))

    def _stall_some(self) -> None:
        """The disk of one counted machine hangs for a moment, or those of all do."""
        one = (self._random.choice(self._deployment.counted),)
        for name in self._random.choice((one, self._deployment.counted)):
            disk = self._world.machines[name].disk
            disk.stall()
            self._until(name, 2.0, disk.resume)

    def after_acknowledgement(self, fault: Mend, limit_s: float = 5.0) -> None:
        """Play a fault at the moment at which the next acknowledgement is seen."""
        before, end = self.acknowledged(), self._world.time + limit_s

        def look() -> None:
            if self.acknowledged() != before or self._world.time > end:
                fault()
            else:
                self._world.after(ACKNOWLEDGEMENT_LOOK_S, look)

        look()

    def all_others(self) -> None:
        """All machines that don't count lose power, with the workers on them."""
        for name, machine in self._world.machines.items():
            if name not in self._deployment.counted and machine.process is not None and name not in self._busy:
                self._busy.add(name)
                mend = self._power(machine)
                self._until(name, self._random.uniform(0.1, LONGEST_OUTAGE_S), partial(self._return, name, mend))

    def _return(self, name: str, mend: Mend) -> None:
        mend()
        self._busy.discard(name)

    def all_counted(self, power: bool, wipe: int = 0) -> None:
        """All are killed, or lose power, at the same moment; so many of them lose their disks."""
        wiped = self._draw_wiped(0 if self._lost else wipe - len(self._disks_lost))
        self._disks_lost.update(wiped)
        self._note(f"all counted machines {'lose power' if power else 'are killed'}, {wiped} their disks")
        longest = self._random.choice((0.5, 2.0, LONGEST_OUTAGE_S))
        for name in self._deployment.counted:
            machine = self._world.machines[name]
            if machine.process is None:
                continue
            if name in wiped:
                machine.wipe()
            elif power:
                machine.power_off()
            else:
                machine.kill()
            self._lost.add(name)
            self._until(name, self._random.uniform(0.1, longest), self._back(name))
            if name in wiped:
                self._count_disk_later(name)

    def _back(self, name: str) -> Mend:
        def back() -> None:
            self._site.restart(name)
            self._world.after(self._deployment.bounds.catch_up_s, lambda: self._lost.discard(name))

        return back

    def _draw_wiped(self, count: int) -> list[str]:
        """So many machines, often the primary among them."""
        primary = self._site.primary()
        names = list(self._deployment.counted)
        self._random.shuffle(names)
        if primary is not None and self._random.random() < 0.7:
            names.remove(primary)
            names.insert(0, primary)
        return names[: max(0, count)]

    # ---- workers

    def _fault_of_worker(self) -> None:
        workers = list(self._site.workers.values())
        worker = self._random.choice(workers)
        if not worker.up or worker.dark:
            return
        faults: list[Callable[[ModelWorker], None]] = [
            self._crash,
            self._drain,
            self._late,
            self._fail_all,
            self._stand_still,
            self._slow,
            self._unhealthy,
            self._dark,
        ]
        fault = self._random.choice(faults)
        self._note(f"{fault.__name__} {worker.node}")
        self._troubles.touch("worker " + worker.node)
        fault(worker)

    def _for_a_while(self, worker: ModelWorker, seconds: float, mend: Mend) -> None:
        self._until("worker " + worker.node, seconds, mend)

    def _crash(self, worker: ModelWorker) -> None:
        worker.crash(None)
        self._for_a_while(worker, self._random.uniform(0.2, 6.0), worker.come_back)

    def _drain(self, worker: ModelWorker) -> None:
        if worker.life.draining:
            return
        stays_s = self._deployment.bounds.drain_ms / 1_000.0 + self._random.uniform(0.2, 4.0)
        worker.drain(stays_s)
        self._for_a_while(worker, stays_s + 2.0, lambda: None)

    def _late(self, worker: ModelWorker) -> None:
        worker.unanswered = self._random.choice((0.2, 0.5, 0.9))

        def mend() -> None:
            worker.unanswered = 0.0

        self._for_a_while(worker, self._random.uniform(1.0, 6.0), mend)

    def _fail_all(self, worker: ModelWorker) -> None:
        worker.fails_all = True

        def mend() -> None:
            worker.fails_all = False

        self._for_a_while(worker, self._random.uniform(0.5, 2.0), mend)

    def _stand_still(self, worker: ModelWorker) -> None:
        worker.set_speed(0.0)
        self._for_a_while(worker, self._random.uniform(2.0, 8.0), lambda: worker.set_speed(1.0))

    def _slow(self, worker: ModelWorker) -> None:
        worker.set_speed(0.2)
        self._for_a_while(worker, self._random.uniform(2.0, 8.0), lambda: worker.set_speed(1.0))

    def _unhealthy(self, worker: ModelWorker) -> None:
        worker.unhealthy = True

        def mend() -> None:
            worker.unhealthy = False

        self._for_a_while(worker, self._random.uniform(0.5, 3.0), mend)

    def _dark(self, worker: ModelWorker) -> None:
        """It runs on and hears nothing any more; for good, unless its service needs it."""
        worker.dark = True
        if self._may_go_for_good(worker) and self._random.random() < 0.6:
            self._gone_dark.add(worker.node)
            return

        def mend() -> None:
            worker.dark = False

        self._for_a_while(worker, self._random.uniform(0.5, 12.0), mend)

    def _may_go_for_good(self, worker: ModelWorker) -> bool:
        plans = self._deployment.of_service(worker.plan.service)
        return worker.node != plans[0].node


def _nothing() -> None:
    """Mend nothing: the machine was whole, only its links were cut."""
