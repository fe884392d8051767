"""Faults of several steps, each of which aims at one way to keep the answers of two quorums apart.

Which machines they meet, and when, is drawn.
"""

from __future__ import annotations

from functools import partial

from pipitledge.emulator.cluster.adversary import Strike
from pipitledge.emulator.cluster.replica_faults import RESTART_SECONDS, GroupFaults


class PlannedFaults(GroupFaults):
    """Plans; each tells whether it could be carried out."""

    def _settle(self) -> str | None:
        """End most faults and wait until one leads; its name."""
        self.fabric.strike = None
        self.fabric.join_all()
        for pair in self.fabric.holding():
            self.fabric.release(pair)
        for name, machine in self.group.machines.items():
            machine.thaw()
            machine.disk.resume()
            self._start_if_down(name)
        self.world.run_for(self.random.uniform(2.0, 4.0))
        return self.group.primary()

    def _part(self, names: set[str]) -> None:
        """Cut those off from all others, and them alone."""
        self.fabric.join_all()
        for name in names:
            for other in set(self.group.machines) - names:
                self.fabric.cut(name, other)

    def _stale_majority(self) -> bool:
        """Some miss changes; then one that made them loses its disk and meets those, without the others."""
        primary = self._settle()
        if primary is None:
            return False
        others = [name for name in self._shuffled(self._up()) if name != primary]
        stale = set(others[: len(others) // 2])
        self._part(stale)
        self.world.run_for(self.random.uniform(0.9, 2.0))
        wiped = others[-1]
        if wiped in stale or not self._may_wipe(wiped):
            return False
        self._lose_disk(wiped)
        self._part(stale | {wiped})
        self.world.run_for(self.random.uniform(0.05, 0.3))
        self._start_if_down(wiped)
        self.world.run_for(self.random.uniform(2.0, 8.0))
        return True

    def _missed_proposal(self) -> bool:
        """One is gone for long, another misses the change of members that follows; then these two meet."""
        self._add_spare()
        primary = self._settle()
        if primary == "n0" and self.random.random() < 0.7:  # that one may have two votes, and should be gone
            self.group.machines[primary].kill()
            self.world.run_for(2.0)
            primary = self._settle()
        others = [name for name in self._shuffled(self._up()) if name != primary and name.startswith("n")]
        if primary is None or len(others) < 2:
            return False
        others.sort(key=lambda name: name != "n0")
        gone, misses = others[0], self.random.choice(others[1:])
        self._part({gone})
        self.world.run_for(self.random.uniform(1.0, 1.4))  # it is taken out of the set, and still a member
        self.fabric.strike = Strike("Propose", {(primary, misses)}, 1, lambda pair: self.fabric.isolate(pair[1]))
        self.world.run_for(self.random.uniform(2.5, 4.0))
        self.fabric.strike = None
        self._part({gone, misses})
        self.world.run_for(self.random.uniform(1.5, 3.0))
        return True

    def _late_join(self) -> bool:
        """One joins the set by a change whose outcome the primary does not hear, and misses what follows."""
        primary = self._settle()
        others = [name for name in self._shuffled(self._up()) if name != primary]
        if primary is None or len(others) < 2:
            return False
        joins = others[0]
        self._part({joins})
        self.world.run_for(self.random.uniform(1.0, 1.6))
        links = {(other, primary) for other in others}
        self.fabric.strike = Strike("Accepted", links, len(links), lambda _pair: self.fabric.isolate(joins))
        self.fabric.join_all()
        self.world.run_for(self.random.uniform(0.8, 2.5))
        self.fabric.strike = None
        self._part({primary})
        self.world.run_for(self.random.uniform(1.0, 3.0))
        return True

    def _restart_voter(self) -> bool:
        """Some can't hear the primary and seek votes; then one that promised the lease restarts."""
        primary = self._settle()
        others = [name for name in self._shuffled(self._up()) if name != primary]
        if primary is None or len(others) < 2:
            return False
        voter, *candidates = others
        for candidate in candidates[: self.random.randint(1, len(candidates))]:
            self.fabric.cut(primary, candidate)
        self.world.run_for(self.random.uniform(0.9, 2.0))
        self.group.machines[voter].kill()
        if self.random.random() < 0.7:
            self.fabric.isolate(primary)
        self.world.run_for(self.random.uniform(0.0, RESTART_SECONDS))
        self._start_if_down(voter)
        self.world.run_for(1.0)
        return True

    def _reboot(self) -> bool:
        """A machine loses power and is back at once, its clock begun anew; answers to its old life come later."""
        name = self._one(self._up())
        if name is None:
            return False
        links = [(other, own) for own, other in self._pairs_of(name)]
        for link in links:
            self.fabric.hold(link)
        self.world.run_for(self.random.uniform(0.1, 0.3))
        self.group.machines[name].power_off()
        self._reset_clock(name)
        self.world.after(self.random.uniform(0.0, RESTART_SECONDS), lambda: self._start_if_down(name))
        for link in self.random.sample(links, len(links)):
            self.world.after(self.random.uniform(0.1, 1.0), partial(self.fabric.release, link))
        return True
