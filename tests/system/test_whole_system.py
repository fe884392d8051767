"""Simulated days of the whole cluster in virtual time: no invariant is violated, and each mutant is detected."""

from __future__ import annotations

import contextlib
import functools
import unittest

from pipitledge.emulator.cluster.auditor import Breach
from pipitledge.emulator.cluster.day import Verdict, play
from tests.system.whole_system_mutants import MUTANTS, Mutant

SEEDS = (*range(28), 67, 128)  # of the simulated days; each mutant must be detected on at least one of them


@functools.cache
def simulate_day(seed: int) -> Verdict:
    """Return the verdict on a simulated day of the unchanged system; cached for each seed."""
    return play(seed)


def simulate_day_with_mutant(mutant: Mutant, seed: int) -> Verdict:
    """Return the verdict on a simulated day of the system with the mutant's patches."""
    with contextlib.ExitStack() as stack:
        for patch in mutant.patches():
            stack.enter_context(patch)
        return play(seed)


class WholeSystemSimulation(unittest.TestCase):
    def test_no_invariant_is_violated(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                day = simulate_day(seed)
                self.assertEqual((), day.breaches, f"\n{day}")
                self.assertGreater(day.starts, day.jobs // 2, "too few runs were started for the day to show anything")

    def test_simulation_is_deterministic_for_a_seed(self) -> None:
        self.assertEqual(simulate_day(1), play(1))


class MutantDetection(unittest.TestCase):
    def test_each_mutant_is_detected(self) -> None:
        for mutant in MUTANTS:
            with self.subTest(mutant=mutant.name):
                self.assertIsNotNone(self.first_breach(mutant), f"{mutant.name}: not detected on any day of {SEEDS}")

    def first_breach(self, mutant: Mutant) -> Breach | None:
        for seed in SEEDS:
            detected = [
                breach for breach in simulate_day_with_mutant(mutant, seed).breaches if mutant.is_detected_by(breach)
            ]
            if detected and not simulate_day(seed).breaches:
                return detected[0]
        return None


if __name__ == "__main__":
    unittest.main()
