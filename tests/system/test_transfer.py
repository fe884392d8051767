"""Transfers of the configuration: in pieces, as changes where possible, and resumed after an interruption."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from pipitledge.configuration import transfer
from pipitledge.configuration.transfer import CompletedTransfer, TransferAssembly, TransferError, TransferSource
from pipitledge.wire.messages import PartialTransfer, Update

ORIGIN = "config"
PIECE = 100


def random_bytes(seed: int, size: int) -> bytes:
    """Return random bytes, which can't be compressed."""
    return random.Random(seed).randbytes(size)


class TransferCase(unittest.TestCase):
    def setUp(self) -> None:
        patched = mock.patch.object(transfer, "PIECE_BYTES", PIECE)
        patched.start()
        self.addCleanup(patched.stop)
        self.source = TransferSource(ORIGIN)
        self.assembly = TransferAssembly()

    def pull(self, held: int = 0) -> list[CompletedTransfer]:
        """Pull once; return the transfers that this completes."""
        received = [self.assembly.add(update) for update in self.source.updates(held, self.assembly.partial)]
        return [one for one in received if one is not None]

    def pull_until_complete(self, held: int = 0) -> tuple[CompletedTransfer, int]:
        """Pull until a transfer is complete; return it and the number of pulls."""
        for pulls in range(1, 1_000):
            received = self.pull(held)
            if received:
                return received[0], pulls
        raise AssertionError("no transfer was completed")


class PiecesTest(TransferCase):
    def test_no_answer_is_longer_than_a_piece(self) -> None:
        payload = random_bytes(1, 1_950)
        self.source.publish(7, payload)
        received, pulls = self.pull_until_complete()
        self.assertEqual(received, CompletedTransfer(0, 7, payload))
        self.assertEqual(pulls, 20)
        self.assertIsNone(self.assembly.partial)

    def test_nothing_is_sent_if_nothing_is_new(self) -> None:
        self.assertEqual(self.source.updates(0, None), [])
        self.source.publish(7, b"seven")
        self.assertEqual(self.source.updates(7, None), [])
        self.assertEqual(self.source.updates(8, None), [])

    def test_a_newer_version_does_not_abort_a_transfer_in_progress(self) -> None:
        first = random_bytes(1, 10 * PIECE)
        self.source.publish(7, first)
        self.pull()
        self.source.publish(8, random_bytes(2, 10 * PIECE))
        received, pulls = self.pull_until_complete()
        self.assertEqual((received, pulls), (CompletedTransfer(0, 7, first), 10))

    def test_a_dropped_version_is_replaced_by_the_newest(self) -> None:
        self.source.publish(7, random_bytes(7, 10 * PIECE))
        self.pull()
        for version in range(8, 8 + transfer.FULL_VERSIONS_KEPT):
            self.source.publish(version, random_bytes(version, 10 * PIECE))
            self.source.updates(0, None)
        received, _ = self.pull_until_complete()
        self.assertEqual(received.version, 7 + transfer.FULL_VERSIONS_KEPT)

    def test_a_new_primary_continues_a_transfer_of_the_old_one(self) -> None:
        payload = random_bytes(1, 10 * PIECE)
        self.source.publish(7, payload)
        self.pull()
        self.source = TransferSource(ORIGIN)
        self.source.publish(7, payload)
        received, pulls = self.pull_until_complete()
        self.assertEqual((received.payload, pulls), (payload, 10))

    def test_a_part_of_another_transfer_is_not_continued(self) -> None:
        payload = random_bytes(1, 5 * PIECE)
        self.source.publish(7, payload)
        for partial in (
            PartialTransfer(ORIGIN, 0, 7, 1, 100),
            PartialTransfer("other", 0, 7, 0, 100),
            PartialTransfer(ORIGIN, 3, 7, 0, 100),
            PartialTransfer(ORIGIN, 0, 7, 0, -1),
            PartialTransfer(ORIGIN, 0, 7, 0, 1 << 40),
        ):
            self.assertEqual(self.source.updates(0, partial)[0].offset, 0)

    def test_duplicate_or_reordered_pieces_are_ignored(self) -> None:
        payload = random_bytes(1, 5 * PIECE)
        self.source.publish(7, payload)
        [first] = self.source.updates(0, None)
        self.assembly.add(first)
        [second] = self.source.updates(0, self.assembly.partial)
        self.assembly.add(second)
        self.assertIsNone(self.assembly.add(second))
        self.assertEqual(self.pull_until_complete()[0].payload, payload)

    def test_corrupt_data_is_dropped(self) -> None:
        self.source.publish(7, b"seven" * 10)
        [update] = self.source.updates(0, None)
        for broken in (
            Update(ORIGIN, 7, update.payload, 0, update.digest + 1, 0, update.total),
            Update(ORIGIN, 7, b"x" * update.total, 0, transfer._digest(b"x" * update.total), 0, update.total),
            Update(ORIGIN, 7, update.payload[:-1], 0, transfer._digest(update.payload[:-1]), 0, update.total - 1),
        ):
            with self.assertRaises(TransferError):
                self.assembly.add(broken)
            self.assertIsNone(self.assembly.partial)
        with mock.patch.object(transfer, "MAX_DATASET_BYTES", 10), self.assertRaises(TransferError):
            self.assembly.add(update)


class ChangesTest(TransferCase):
    def setUp(self) -> None:
        super().setUp()
        self.source.publish(7, random_bytes(7, 10 * PIECE))

    def change(self, version: int, size: int = 20) -> bytes:
        change = random_bytes(100 + version, size)
        self.source.publish(version, random_bytes(version, 10 * PIECE), change)
        return change

    def test_a_node_gets_only_the_changes_that_it_lacks(self) -> None:
        eight, nine = self.change(8), self.change(9)
        self.assertEqual(self.pull(held=7), [CompletedTransfer(7, 8, eight), CompletedTransfer(8, 9, nine)])
        self.assertEqual(self.pull(held=8), [CompletedTransfer(8, 9, nine)])

    def test_long_changes_are_sent_in_pieces_too(self) -> None:
        eight = self.change(8, 4 * PIECE)
        received, pulls = self.pull_until_complete(held=7)
        self.assertEqual((received, pulls), (CompletedTransfer(7, 8, eight), 5))

    def test_changes_longer_in_total_than_the_full_version_are_not_sent(self) -> None:
        self.change(8, 6 * PIECE)
        self.change(9, 6 * PIECE)
        self.assertEqual(self.pull_until_complete(held=7)[0].base, 0)

    def test_a_node_that_is_further_behind_gets_the_full_version(self) -> None:
        with mock.patch.object(transfer, "CHANGES_KEPT", 2):
            self.source = TransferSource(ORIGIN)
        self.source.publish(6, random_bytes(6, 10 * PIECE))
        for version in (7, 8, 9):
            self.change(version)
        self.assertEqual(self.pull_until_complete(held=6)[0].base, 0)
        self.assertEqual([one.version for one in self.pull(held=7)], [8, 9])

    def test_a_full_version_ends_the_chain_of_changes(self) -> None:
        self.change(8)
        self.source.publish(9, random_bytes(9, 10 * PIECE))
        self.assertEqual(self.pull_until_complete(held=8)[0].base, 0)

    def test_the_first_version_is_sent_in_full_even_if_it_was_a_change(self) -> None:
        self.source = TransferSource(ORIGIN)
        self.source.publish(1, b"one", b"change")
        self.assertEqual(self.pull(), [CompletedTransfer(0, 1, b"one")])


if __name__ == "__main__":
    unittest.main()
