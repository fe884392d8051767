"""Days of the whole cluster in virtual time: no rule is broken, and each guard that is taken out shows."""

from __future__ import annotations

import contextlib
import functools
import unittest

from pipitledge.emulator.cluster.auditor import Breach
from pipitledge.emulator.cluster.day import Verdict, play
from tests.system.whole_system_mutants import MUTANTS, Mutant

SEEDS = (*range(28), 67, 128)  # a mutant has to show on one of these days too


@functools.cache
def verdict(seed: int) -> Verdict:
    """The verdict on a day of the system as it is."""
    return play(seed)


def verdict_without(mutant: Mutant, seed: int) -> Verdict:
    """The verdict on a day without that guard."""
    with contextlib.ExitStack() as stack:
        for patch in mutant.patches():
            stack.enter_context(patch)
        return play(seed)


class WholeSystem(unittest.TestCase):
    def test_no_rule_is_broken(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                day = verdict(seed)
                self.assertEqual((), day.breaches, f"\n{day}")
                self.assertGreater(day.starts, day.jobs // 2, "hardly anything ran")

    def test_a_seed_has_one_verdict(self) -> None:
        self.assertEqual(verdict(1), play(1))


class MissingGuards(unittest.TestCase):
    def test_each_shows(self) -> None:
        for mutant in MUTANTS:
            with self.subTest(mutant=mutant.name):
                self.assertIsNotNone(self.first_breach(mutant), f"{mutant.name}: no day of {SEEDS} shows it")

    def first_breach(self, mutant: Mutant) -> Breach | None:
        for seed in SEEDS:
            shown = [breach for breach in verdict_without(mutant, seed).breaches if mutant.is_detected_by(breach)]
            if shown and not verdict(seed).breaches:
                return shown[0]
        return None


if __name__ == "__main__":
    unittest.main()
