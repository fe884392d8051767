"""The checker of histories: sound ones pass, and each kind of wrong one is told apart."""

from __future__ import annotations

import unittest

import msgspec

from pipitledge.emulator.cluster.history import Operation, Outcome, check, read_history

ACKNOWLEDGED, REFUSED, UNCLEAR, READ = Outcome.ACKNOWLEDGED, Outcome.REFUSED, Outcome.UNCLEAR, Outcome.READ


def order(outcome: Outcome, sent: float, built_on: int, version: int, name: str = "", valid: bool = True) -> Operation:
    """A try of an order that ends 0.1 s after it is sent."""
    name = name or f"o{version}"
    return Operation(outcome, sent, sent + 0.1, "n1", name, built_on, version, f"content of {name}", valid)


def read(sent: float, version: int, name: str = "") -> Operation:
    return Operation(READ, sent, sent + 0.1, "n2", version=version, content=f"content of {name or f'o{version}'}")


SOUND = [
    order(UNCLEAR, 1.0, 0, 3),
    order(ACKNOWLEDGED, 2.0, 0, 3),
    order(ACKNOWLEDGED, 2.5, 0, 3),
    read(3.0, 3),
    order(UNCLEAR, 4.0, 3, 5),
    order(REFUSED, 4.0, 3, 7, name="rival"),
    read(5.0, 5),
    order(ACKNOWLEDGED, 6.0, 5, 9),
    read(7.0, 9),
]


class Histories(unittest.TestCase):
    def found(self, *more: Operation) -> list[str]:
        return sorted({finding.what for finding in check([*SOUND, *more])})

    def test_a_sound_one(self) -> None:
        self.assertEqual([], check(SOUND))

    def test_two_orders_under_one_number(self) -> None:
        self.assertIn(
            "two orders were acknowledged under one number",
            self.found(order(ACKNOWLEDGED, 6.0, 5, 9, name="another")),
        )

    def test_two_orders_on_one_version(self) -> None:
        what = "an order was acknowledged on a version that was no longer current"
        self.assertIn(what, self.found(order(ACKNOWLEDGED, 6.5, 5, 10)))

    def test_an_acknowledged_order_that_is_refused_when_sent_again(self) -> None:
        self.assertIn("one order was acknowledged and refused", self.found(order(REFUSED, 7.5, 0, 3)))

    def test_a_read_of_something_older(self) -> None:
        self.assertEqual(["an older version was read"], self.found(read(6.5, 5)))

    def test_a_read_that_was_under_way_may_be_older(self) -> None:
        self.assertEqual([], self.found(read(6.05, 5)))

    def test_reads_that_go_back(self) -> None:
        self.assertEqual(["an older version was read"], self.found(read(5.5, 3)))

    def test_something_that_nobody_sent(self) -> None:
        self.assertEqual(["something was read that nobody had sent"], self.found(read(8.0, 9, name="o5")))

    def test_a_refused_order_in_force(self) -> None:
        self.assertIn("an order that was refused is in force", self.found(read(8.0, 7, name="rival")))

    def test_an_invalid_order_that_is_acknowledged(self) -> None:
        self.assertIn(
            "an order that may not be taken was acknowledged",
            self.found(order(ACKNOWLEDGED, 8.0, 9, 11, valid=False)),
        )

    def test_a_refusal_caused_by_a_winner_that_was_lost(self) -> None:
        self.assertEqual(
            ["an order on the current version was refused"], self.found(order(REFUSED, 7.5, 9, 12), read(8, 9))
        )

    def test_lines_of_json(self) -> None:
        lines = b"\n".join(msgspec.json.encode(operation) for operation in SOUND)
        self.assertEqual(SOUND, read_history(lines))


if __name__ == "__main__":
    unittest.main()
