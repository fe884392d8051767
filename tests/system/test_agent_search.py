"""Searches the shipped agent beside a sound worker for orders of events that break a rule."""

from __future__ import annotations

import unittest

from tests.system.agent_search import Schedule, all_schedules, drawn_schedules, search


class SearchTest(unittest.TestCase):
    """Longer ones: `search` of `agent_search.py` with other bounds."""

    def test_no_order_of_a_start_and_two_events_breaks_a_rule(self) -> None:
        """Guards against review cases 1 to 3, and a worker lost before its first heartbeat: each is such an order."""
        played, findings = search(all_schedules(2))
        self.assertEqual([], findings)
        self.assertGreater(played, 600)

    def test_orders_that_once_broke_a_rule(self) -> None:
        """Guards against review cases 1, 2, 3, 5 and 6, and what this search found itself."""
        for case, events, pause_s in (
            ("1", "sB", 0.8),
            ("2", "LsD", 0.1),
            ("3", "sDE", 0.8),
            ("5", "sORXP", 6.0),
            ("6", "sHRD", 0.1),
            ("first heartbeat", "LsRX", 0.1),
            ("lists of an earlier term", "LsLDP", 0.1),
        ):
            with self.subTest(case=case):
                self.assertEqual([], Schedule(events, pause_s).play())

    def test_no_drawn_order_of_up_to_eight_events_breaks_a_rule(self) -> None:
        """Guards against orders that are too many to be played all."""
        played, findings = search(drawn_schedules(range(1_000)))
        self.assertEqual([], findings)
        self.assertEqual(1_000, played)


if __name__ == "__main__":
    unittest.main()
