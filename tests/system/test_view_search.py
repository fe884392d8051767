"""The search over view changes: the shipped code violates no invariant, and injected bugs are found."""

from __future__ import annotations

import contextlib
import unittest

from pipitledge.emulator.cluster.view_model import Group, Violation
from pipitledge.emulator.cluster.view_search import WIDE_BOUNDS, Search, first_violation
from tests.system.view_bugs import BUGS, Bug

STEPS = 160
STATES = 3_000
WALKS = 60
GROUPS = ((3, 1, 0), (3, 1, 1), (4, 1, 0), (5, 2, 1), (8, 2, 1))


def group(members: int, tolerated: int, spares: int) -> Group:
    return Group(members, tolerated, spares, WIDE_BOUNDS)


class ShippedCodeTest(unittest.TestCase):
    def test_exhaustive_search_of_three_members_within_small_bounds(self) -> None:
        search = Search()
        self.assertEqual(STATES, search.run(STATES))
        self.assertGreater(search.recoveries, 50)

    def test_random_walks(self) -> None:
        for members, tolerated, spares in GROUPS:
            with self.subTest(members=members, spares=spares):
                search = Search(lambda size=(members, tolerated, spares): group(*size))  # type: ignore[misc]
                for seed in range(WALKS):
                    search.walk(seed, STEPS)
                self.assertEqual(WALKS, search.recoveries)
                self.assertGreater(search.states, 50 * WALKS)


class InjectedBugsTest(unittest.TestCase):
    def test_each_injected_bug_is_found(self) -> None:
        for bug in BUGS:
            if bug.seed is not None:
                with self.subTest(bug=bug.name):
                    self.assertIsNotNone(self._violation(bug, bug.seed))

    def test_the_same_walks_find_nothing_in_the_shipped_code(self) -> None:
        for bug in BUGS:
            if bug.seed is not None:
                with self.subTest(bug=bug.name):
                    self.assertIsNone(self._walk(bug, bug.seed))

    def _violation(self, bug: Bug, seed: int) -> Violation | None:
        with contextlib.ExitStack() as stack:
            for patch in bug.patches():
                stack.enter_context(patch)
            return self._walk(bug, seed)

    def _walk(self, bug: Bug, seed: int) -> Violation | None:
        return first_violation(lambda: group(bug.members, 1, bug.spares), range(seed, seed + 1), STEPS)


if __name__ == "__main__":
    unittest.main()
