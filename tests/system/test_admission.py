"""The four steps of admission control, each tested at its boundary."""

from __future__ import annotations

import unittest
from collections.abc import Mapping

from pipitledge.decision.admission import Decision, QueueUsage, admit

CAPACITY = 10.0


def usages(batch: float = 0.0, web: float = 0.0, limit: float = 8.0) -> Mapping[str, QueueUsage]:
    """Return two queues that share ten slots: three are reserved for each, four are the shared remainder."""
    return {"batch": QueueUsage(batch, limit, 3.0), "web": QueueUsage(web, limit, 3.0)}


class Limit(unittest.TestCase):
    """A queue never exceeds its limit, however many slots are free."""

    def test_over_the_limit_is_refused_although_slots_are_free(self) -> None:
        self.assertIs(admit(2.0, "batch", usages(batch=3.0, limit=4.0), CAPACITY), Decision.OVER_LIMIT)

    def test_exactly_the_limit_is_admitted(self) -> None:
        self.assertIs(admit(1.0, "batch", usages(batch=3.0, limit=4.0), CAPACITY), Decision.FROM_REMAINDER)

    def test_a_limit_below_the_reservation_takes_precedence(self) -> None:
        self.assertIs(admit(1.0, "batch", usages(batch=2.0, limit=2.0), CAPACITY), Decision.OVER_LIMIT)

    def test_only_the_limit_of_the_jobs_own_queue_applies(self) -> None:
        queues = {"batch": QueueUsage(0.0, 8.0, 3.0), "web": QueueUsage(5.0, 4.0, 3.0)}
        self.assertIs(admit(1.0, "batch", queues, CAPACITY), Decision.WITHIN_RESERVATION)


class Reservation(unittest.TestCase):
    """A reservation is available whatever other queues use."""

    def test_exactly_the_reservation_is_admitted(self) -> None:
        self.assertIs(admit(1.0, "batch", usages(batch=2.0), CAPACITY), Decision.WITHIN_RESERVATION)

    def test_it_is_available_when_the_remainder_is_used_up(self) -> None:
        self.assertIs(admit(3.0, "batch", usages(web=7.0), CAPACITY), Decision.WITHIN_RESERVATION)

    def test_it_is_available_without_any_capacity(self) -> None:
        self.assertIs(admit(3.0, "batch", usages(web=7.0), 0.0), Decision.WITHIN_RESERVATION)

    def test_a_job_partly_beyond_the_reservation_borrows_all_its_slots(self) -> None:
        # One of the two slots is still reserved, but the rule compares all of the job with the remainder.
        self.assertIs(admit(2.0, "batch", usages(batch=2.0, web=6.0), CAPACITY), Decision.NO_REMAINDER)
        self.assertIs(admit(2.0, "batch", usages(batch=2.0, web=5.0), CAPACITY), Decision.FROM_REMAINDER)


class Remainder(unittest.TestCase):
    """Capacity without a reservation goes to the first job that requests it."""

    def test_its_last_slot_is_admitted(self) -> None:
        self.assertIs(admit(1.0, "batch", usages(batch=3.0, web=6.0), CAPACITY), Decision.FROM_REMAINDER)

    def test_more_than_the_remainder_is_refused(self) -> None:
        self.assertIs(admit(1.0, "batch", usages(batch=3.0, web=6.5), CAPACITY), Decision.NO_REMAINDER)

    def test_the_queues_own_borrowed_slots_count_too(self) -> None:
        self.assertIs(admit(1.0, "batch", usages(batch=7.0), CAPACITY), Decision.NO_REMAINDER)

    def test_an_unused_reservation_is_not_lent(self) -> None:
        # All ten slots are free, but three of them are kept for the other queue.
        self.assertIs(admit(5.0, "batch", usages(), CAPACITY), Decision.NO_REMAINDER)

    def test_an_unused_reservation_does_not_offset_what_another_borrowed(self) -> None:
        queues = {**usages(web=7.0), "idle": QueueUsage(0.0, 8.0, 0.0)}
        self.assertIs(admit(1.0, "idle", queues, CAPACITY), Decision.NO_REMAINDER)

    def test_reservations_that_exceed_capacity_leave_nothing_to_borrow(self) -> None:
        self.assertIs(admit(1.0, "batch", usages(batch=3.0), 5.0), Decision.NO_REMAINDER)

    def test_without_reservations_all_capacity_is_shared(self) -> None:
        queues = {"batch": QueueUsage(4.0, 10.0, 0.0), "web": QueueUsage(5.0, 10.0, 0.0)}
        self.assertIs(admit(1.0, "batch", queues, CAPACITY), Decision.FROM_REMAINDER)
        self.assertIs(admit(1.5, "batch", queues, CAPACITY), Decision.NO_REMAINDER)


class Outcome(unittest.TestCase):
    """Which decisions admit a job."""

    def test_admitted(self) -> None:
        admitted = {decision for decision in Decision if decision.admitted}
        self.assertEqual(admitted, {Decision.WITHIN_RESERVATION, Decision.FROM_REMAINDER})

    def test_an_unknown_queue_raises_key_error(self) -> None:
        with self.assertRaises(KeyError):
            admit(1.0, "other", usages(), CAPACITY)


if __name__ == "__main__":
    unittest.main()
