"""Replication under random faults within the fault tolerance."""

from __future__ import annotations

import os
import unittest

from tests.system.fault_schedule import FaultSchedule

SEEDS = int(os.environ.get("REPLICATION_SEEDS", "200"))


class RandomFaultsTest(unittest.TestCase):
    def test_random_schedules(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                FaultSchedule(seed, seconds=10.0).run()


if __name__ == "__main__":
    unittest.main()
