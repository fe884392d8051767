"""Random runs of complete replicas: the shipped code violates no invariant, and each injected bug is found."""

from __future__ import annotations

import contextlib
import unittest

from pipitledge.emulator.cluster.replica_search import GROUPS, Group, play
from pipitledge.emulator.cluster.replica_walk import Coverage
from tests.system.replica_bugs import BUGS, Bug

STEPS = 10
SEEDS = range(1)


def finding(bug: Bug, seed: int, injected: bool) -> str:
    """Return what the bug's run finds, with the bug injected or in the shipped code; empty for nothing."""
    with contextlib.ExitStack() as stack:
        for patch in bug.patches() if injected else []:
            stack.enter_context(patch)
        return play(Group(bug.size, bug.founding), bug.steps, seed).finding


class ShippedCodeTest(unittest.TestCase):
    def test_random_runs_of_each_group(self) -> None:
        for group in GROUPS:
            with self.subTest(str(group)):
                coverage = Coverage()
                for seed in SEEDS:
                    result = play(group, STEPS, seed, coverage)
                    self.assertEqual("", result.finding)
                    self.assertGreater(result.actions, STEPS // 4)

    def test_rare_pairs_of_actions_get_more_weight(self) -> None:
        coverage = Coverage()
        coverage.pairs["kill", "heal"] = 9
        self.assertEqual([0.1, 1.0], [coverage.weight("kill", "heal"), coverage.weight("heal", "kill")])


class InjectedBugsTest(unittest.TestCase):
    def test_each_injected_bug_is_found(self) -> None:
        for bug in BUGS:
            with self.subTest(bug.name):
                self.assertIsNotNone(bug.seed)
                self.assertNotEqual("", finding(bug, bug.seed or 0, injected=True))

    def test_the_same_runs_find_nothing_in_the_shipped_code(self) -> None:
        for bug in BUGS:
            with self.subTest(bug.name):
                self.assertEqual("", finding(bug, bug.seed or 0, injected=False))


if __name__ == "__main__":
    unittest.main()
