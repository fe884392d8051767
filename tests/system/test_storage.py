"""Tests of the storage on a model disk that simulates crashes, power losses and I/O errors."""

from __future__ import annotations

import copy
import random
import tempfile
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from pipitledge.runtime import log_file
from pipitledge.runtime.disk_writer import (
    MAX_BACKOFF_SECONDS,
    REPORT_FAILURE_AFTER_SECONDS,
    DiskProblem,
    DiskWriter,
    MemoryDisk,
    open_store,
)
from pipitledge.runtime.storage import EPOCHS_NAMES, LOG_NAMES, STATE_NAMES, RecoveredData, Store, log_limit
from tests.system.disk_model import (
    KeepAll,
    LoseAll,
    LoseNamesOnly,
    ModelDisk,
    PowerLossOutcome,
    ProcessKilled,
    RandomOutcome,
)

FOLDER = "/data"
KIB = 1024
MIB = 1024 * KIB


@dataclass(frozen=True)
class StoreContent:
    """The content a store is expected to have."""

    epochs: bytes | None = None
    snapshot: bytes | None = None
    entries: tuple[bytes, ...] = ()


@dataclass(frozen=True)
class Operation:
    """One call of a `Store` method."""

    kind: str
    data: tuple[bytes, ...]

    def run(self, store: Store) -> None:
        if self.kind == "append":
            store.append(self.data)
        elif self.kind == "replace":
            store.replace(self.data[0])
        else:
            store.write_epochs(self.data[0])

    def after(self, expected: StoreContent) -> StoreContent:
        if self.kind == "append":
            return replace(expected, entries=expected.entries + self.data)
        if self.kind == "replace":
            return replace(expected, snapshot=self.data[0], entries=())
        return replace(expected, epochs=self.data[0])

    def possible_after(self, expected: StoreContent) -> set[StoreContent]:
        """Return all contents that may be found after the call was interrupted."""
        if self.kind != "append":
            return {expected, self.after(expected)}
        counts = range(len(self.data) + 1)
        return {replace(expected, entries=expected.entries + self.data[:count]) for count in counts}


def epochs(text: bytes) -> Operation:
    return Operation("epochs", (text,))


def append(*entries: bytes) -> Operation:
    return Operation("append", entries)


def snapshot(text: bytes) -> Operation:
    return Operation("replace", (text,))


SCRIPT = [
    epochs(b"promise 1"),
    append(b"a" * 700, b"b", b""),
    append(b"c" * 1500),
    snapshot(b"S" * 1800),
    append(b"d"),
    epochs(b"promise 2, which is longer"),
    snapshot(b""),
    append(b"e", b"f" * 600),
    append(b"g"),
    snapshot(b"T" * 900),
    epochs(b""),
    append(b"h" * 40),
]

POWER_LOSS_OUTCOMES: list[Callable[[], PowerLossOutcome]] = [LoseAll, KeepAll, LoseNamesOnly]
POWER_LOSS_OUTCOMES += [lambda seed=seed: RandomOutcome(seed) for seed in range(6)]  # type: ignore[misc]


def random_history(seed: int) -> list[Operation]:
    draw = random.Random(seed)
    history: list[Operation] = []
    for _ in range(draw.randint(5, 14)):
        data = [draw.randbytes(draw.choice((0, 1, 30, 511, 1300))) for _ in range(draw.randint(1, 4))]
        kind = draw.choice(("append", "append", "append", "replace", "epochs"))
        history.append(Operation(kind, tuple(data) if kind == "append" else (data[0],)))
    return history


@dataclass
class ModelMachine:
    """A disk with the content known to be durable (`expected`) and the contents possible after a crash."""

    disk: ModelDisk = field(default_factory=ModelDisk)
    expected: StoreContent = StoreContent()
    possible: set[StoreContent] = field(default_factory=lambda: {StoreContent()})

    def run(self, history: list[Operation]) -> bool:
        """Open the store and run the history; return False if the process was killed before the end."""
        try:
            store = Store(FOLDER, self.disk)
            store.open()
            for operation in history:
                self.possible = operation.possible_after(self.expected)
                operation.run(store)
                self.expected = operation.after(self.expected)
                self.possible = {self.expected}
        except ProcessKilled:
            return False
        return True


def found(recovered: RecoveredData) -> StoreContent:
    return StoreContent(recovered.epochs, recovered.snapshot, tuple(recovered.entries))


def operations_of(history: list[Operation]) -> int:
    machine = ModelMachine()
    machine.run(history)
    return machine.disk.operations


class CrashTest(unittest.TestCase):
    def check_recovery(self, machine: ModelMachine, where: str) -> Store:
        """Open the store, check the recovered content, and expect exactly that content from now on."""
        store = Store(FOLDER, machine.disk)
        recovered = store.open()
        self.assertEqual(recovered.corrupt, "", where)
        self.assertIn(found(recovered), machine.possible, where)
        self.assertEqual(recovered.fresh, found(recovered) == StoreContent(), where)
        machine.expected = found(recovered)
        machine.possible = {machine.expected}
        return store

    def check_later_writes(self, machine: ModelMachine, store: Store, where: str) -> None:
        """Check that data written after a recovery survives the next power loss."""
        for operation in (append(b"later", b"x" * 600), epochs(b"later promise"), append(b"latest")):
            operation.run(store)
            machine.expected = operation.after(machine.expected)
        machine.possible = {machine.expected}
        machine.disk.lose_power(LoseAll())
        self.check_recovery(machine, f"{where}, after later writes")

    def check_all_crashes(self, history: list[Operation], name: str) -> None:
        for kill_at in range(operations_of(history)):
            machine = ModelMachine()
            machine.disk.kill_at = kill_at
            self.assertFalse(machine.run(history), "the process was not killed")
            machine.disk.kill_at = -1
            for number, power_loss in enumerate(POWER_LOSS_OUTCOMES):
                where = f"{name}: operation {kill_at}, fate {number}"
                crashed = copy.deepcopy(machine)
                crashed.disk.lose_power(power_loss())
                store = self.check_recovery(crashed, where)
                self.check_later_writes(crashed, store, where)

    def test_every_crash_of_a_script(self) -> None:
        self.check_all_crashes(SCRIPT, "script")

    def test_every_crash_of_random_histories(self) -> None:
        for seed in range(12):
            self.check_all_crashes(random_history(seed), f"history {seed}")

    def test_a_killed_process_and_a_later_loss_of_power(self) -> None:
        """Content returned by a recovery is durable, even if the killed process had not synced it."""
        for kill_at in range(operations_of(SCRIPT)):
            machine = ModelMachine()
            machine.disk.kill_at = kill_at
            machine.run(SCRIPT)
            machine.disk.kill_at = -1
            self.check_recovery(machine, f"killed at {kill_at}")
            machine.disk.lose_power(LoseAll())
            store = self.check_recovery(machine, f"killed at {kill_at}, then without power")
            self.check_later_writes(machine, store, f"killed at {kill_at}")

    def test_a_second_crash_during_recovery(self) -> None:
        second_crashes = 0
        for kill_at in range(0, operations_of(SCRIPT), 3):
            first = ModelMachine()
            first.disk.kill_at = kill_at
            first.run(SCRIPT)
            for seed in range(3):
                again_at = 0
                ended = True
                while ended:
                    machine = copy.deepcopy(first)
                    machine.disk.lose_power(RandomOutcome(seed))
                    machine.disk.operations = 0
                    machine.disk.kill_at = again_at
                    ended = not machine.run([])
                    machine.disk.kill_at = -1
                    machine.disk.lose_power(RandomOutcome(seed + again_at))
                    where = f"operation {kill_at}, seed {seed}, again at {again_at}"
                    store = self.check_recovery(machine, where)
                    self.check_later_writes(machine, store, where)
                    again_at += 1
                    second_crashes += ended
        self.assertGreater(second_crashes, 100)

    def test_failed_calls_succeed_when_repeated(self) -> None:
        """A call that fails at any of its operations and is repeated stores its data."""
        for failing_at in range(1, 60):
            for failing_operations in (1, 3):
                machine = ModelMachine()
                store = Store(FOLDER, machine.disk)
                store.open()
                start = machine.disk.operations
                for operation in SCRIPT:
                    self.run_with_failures(operation, store, machine.disk, start + failing_at, failing_operations)
                    machine.expected = operation.after(machine.expected)
                machine.possible = {machine.expected}
                for power_loss in POWER_LOSS_OUTCOMES:
                    crashed = copy.deepcopy(machine)
                    crashed.disk.lose_power(power_loss())
                    self.check_recovery(crashed, f"failing at {failing_at}")

    def run_with_failures(
        self, operation: Operation, store: Store, disk: ModelDisk, failing_at: int, failing_operations: int
    ) -> None:
        original = disk._count_or_fail

        def step() -> None:
            if disk.operations + 1 == failing_at:
                disk.failing_operations = failing_operations
            original()

        disk._count_or_fail = step  # type: ignore[method-assign]
        for _ in range(failing_operations + 1):
            try:
                operation.run(store)
                break
            except OSError:
                continue
        else:
            self.fail("the call failed more often than the disk was set to fail")
        disk._count_or_fail = original  # type: ignore[method-assign]


class OpenTest(unittest.TestCase):
    def test_a_new_folder_is_fresh_until_data_is_written(self) -> None:
        machine = ModelMachine()
        self.assertTrue(Store(FOLDER, machine.disk).open().fresh)
        store = Store(FOLDER, machine.disk)
        self.assertTrue(store.open().fresh)
        store.write_epochs(b"p")
        recovered = Store(FOLDER, machine.disk).open()
        self.assertFalse(recovered.fresh)
        self.assertEqual(recovered.epochs, b"p")

    def test_a_wiped_folder_is_fresh(self) -> None:
        machine = ModelMachine()
        machine.run(SCRIPT)
        machine.disk.wipe()
        self.assertEqual(Store(FOLDER, machine.disk).open(), RecoveredData(fresh=True))

    def test_an_empty_record_differs_from_a_missing_one(self) -> None:
        machine = ModelMachine()
        machine.run([epochs(b""), snapshot(b"")])
        recovered = Store(FOLDER, machine.disk).open()
        self.assertEqual((recovered.epochs, recovered.snapshot, recovered.fresh), (b"", b"", False))

    def test_a_torn_tail_does_not_hide_the_next_entry(self) -> None:
        machine = ModelMachine()
        machine.run([append(b"whole")])
        log = machine.disk.inodes[LOG_NAMES[0]]
        log.durable += log.durable[-20:]
        store = Store(FOLDER, machine.disk)
        self.assertEqual(store.open().entries, [b"whole"])
        store.append([b"next"])
        machine.disk.lose_power(LoseAll())
        self.assertEqual(Store(FOLDER, machine.disk).open().entries, [b"whole", b"next"])

    def test_entries_after_a_torn_one_are_never_read(self) -> None:
        """The rest of an unacknowledged batch must not be read after an entry that overwrites its torn start."""
        machine = ModelMachine()
        machine.run([append(b"torn", b"rest")])
        log = machine.disk.inodes[LOG_NAMES[0]]
        log.durable = log.durable.replace(b"torn", b"t\0\0\0")
        store = Store(FOLDER, machine.disk)
        self.assertEqual(store.open(), RecoveredData(fresh=True))
        store.append([b"next"])
        self.assertEqual(Store(FOLDER, machine.disk).open().entries, [b"next"])

    def test_an_entry_out_of_sequence_ends_the_log(self) -> None:
        entries = [log_file.encode_entry(7, number, 0, b"x") for number in (1, 3)]
        content = log_file.decode(log_file.encode_header(7) + b"".join(entries))
        self.assertEqual(content, log_file.LogContent(7, [b"x"], log_file.HEADER_BYTES + len(entries[0]), False))

    def test_entries_of_an_older_log_in_the_same_file_are_never_read(self) -> None:
        machine = ModelMachine()
        machine.run([append(b"old 1"), append(b"old 2")])
        old_tail = machine.disk.inodes[LOG_NAMES[0]].durable
        machine.run([snapshot(b"1"), snapshot(b"2")])
        log = machine.disk.inodes[LOG_NAMES[0]]
        log.durable += old_tail[len(log.durable) :]  # as if the truncation had been lost
        recovered = Store(FOLDER, machine.disk).open()
        self.assertEqual((recovered.snapshot, recovered.entries, recovered.corrupt), (b"2", [], ""))

    def test_one_sync_for_many_entries(self) -> None:
        disk = ModelDisk()
        store = Store(FOLDER, disk)
        store.open()
        before = disk.syncs
        store.append([b"1", b"2", b"3"])
        self.assertEqual(disk.syncs - before, 1)


class DamageTest(unittest.TestCase):
    def history_states(self) -> set[StoreContent]:
        expected = StoreContent()
        states = {expected}
        for operation in SCRIPT:
            states |= operation.possible_after(expected)
            expected = operation.after(expected)
        return states

    def test_a_damaged_byte_is_never_returned(self) -> None:
        """After damage to any one byte the store reports corruption or returns content that existed at some time."""
        machine = ModelMachine()
        machine.run(SCRIPT)
        parts = {(state.snapshot, state.entries) for state in self.history_states()}
        promises = {state.epochs for state in self.history_states()}
        corrupt_count = 0
        for name, inode in machine.disk.inodes.items():
            for offset in range(len(inode.durable)):
                damaged = copy.deepcopy(machine.disk)
                content = bytearray(inode.durable)
                content[offset] ^= 0x41
                damaged.inodes[name].durable = bytes(content)
                recovered = Store(FOLDER, damaged).open()
                corrupt_count += bool(recovered.corrupt)
                self.assertFalse(recovered.fresh, f"{name} {offset}")
                if not recovered.corrupt:
                    self.assertIn((recovered.snapshot, tuple(recovered.entries)), parts, f"{name} {offset}")
                    self.assertIn(recovered.epochs, promises, f"{name} {offset}")
        self.assertGreater(corrupt_count, 0)

    def damage(self, history: list[Operation], *locations: tuple[str, int]) -> RecoveredData:
        machine = ModelMachine()
        machine.run(history)
        for name, offset in locations:
            inode = machine.disk.inodes[name]
            content = bytearray(inode.durable)
            content[offset] ^= 0xFF
            inode.durable = bytes(content)
        return Store(FOLDER, machine.disk).open()

    def test_damage_of_an_entry_before_others(self) -> None:
        recovered = self.damage([append(b"first"), append(b"second"), append(b"third")], (LOG_NAMES[0], 46))
        self.assertEqual(recovered.corrupt, "log-0: entry 1 is damaged")
        self.assertEqual(recovered.entries, [])

    def test_damage_of_the_log_header(self) -> None:
        self.assertIn("log-1", self.damage([snapshot(b"s"), append(b"x")], (LOG_NAMES[1], 5)).corrupt)

    def test_damage_of_the_snapshot_before_the_log(self) -> None:
        history = [snapshot(b"one"), append(b"x"), snapshot(b"two"), append(b"y")]
        self.assertIn("state-0", self.damage(history, (STATE_NAMES[0], 25)).corrupt)

    def test_damage_of_the_newest_snapshot_after_a_newer_one_was_begun(self) -> None:
        machine = ModelMachine()
        machine.run([snapshot(b"one"), snapshot(b"two")])
        store = Store(FOLDER, machine.disk)
        store.open()
        machine.disk.kill_at = machine.disk.operations + 3  # the log is reset, but the snapshot is not written
        with self.assertRaises(ProcessKilled):
            store.replace(b"three")
        machine.disk.kill_at = -1
        machine.disk.lose_power(LoseAll())
        self.assertEqual(Store(FOLDER, machine.disk).open().snapshot, b"two")
        machine.disk.inodes[STATE_NAMES[0]].durable = b"nothing"
        self.assertEqual(Store(FOLDER, machine.disk).open(), RecoveredData(corrupt="log-1: no valid header"))

    def test_damage_of_both_snapshots(self) -> None:
        history = [snapshot(b"one"), snapshot(b"two")]
        locations = [(name, 25) for name in STATE_NAMES]
        self.assertEqual(self.damage(history, *locations).corrupt, "no valid snapshot")

    def test_damage_of_both_promise_records(self) -> None:
        history = [epochs(b"one"), epochs(b"two"), append(b"x")]
        locations = [(name, 25) for name in EPOCHS_NAMES]
        recovered = self.damage(history, *locations)
        self.assertEqual((recovered.corrupt, recovered.fresh), ("no valid record of promises", False))

    def test_a_damaged_folder_can_be_formatted(self) -> None:
        """After a crash during `format` the store is still corrupt, or fresh; afterwards it stores data again."""
        history = [snapshot(b"one"), append(b"x"), epochs(b"p"), append(b"y")]
        base = ModelMachine()
        base.run(history)
        base.disk.inodes[LOG_NAMES[1]].durable = b"nothing"
        crashes = 0
        ended = True
        while ended:
            machine = copy.deepcopy(base)
            store = Store(FOLDER, machine.disk)
            self.assertNotEqual(store.open().corrupt, "")
            machine.disk.kill_at = machine.disk.operations + crashes
            try:
                store.format()
                ended = False
            except ProcessKilled:
                crashes += 1
            machine.disk.kill_at = -1
            machine.disk.lose_power(RandomOutcome(crashes))
            store = Store(FOLDER, machine.disk)
            recovered = store.open()
            self.assertTrue(recovered.corrupt or recovered.fresh)
            self.assertTrue(ended or recovered.fresh)
        store.append([b"new"])
        machine.disk.lose_power(LoseAll())
        self.assertEqual(Store(FOLDER, machine.disk).open(), RecoveredData(entries=[b"new"]))
        self.assertGreater(crashes, 8)


class DiskWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.disk = ModelDisk()
        self.store = Store(FOLDER, self.disk)
        self.store.open()
        self.calls: list[str] = []
        self.problems: list[DiskProblem] = []
        self.time = 0.0
        self.recovers_at = 0.0
        self.writer = DiskWriter(
            self.store,
            deliver=lambda action: action(),
            on_failing=self.problems.append,
            pause=self.pause,
            now=lambda: self.time,
        )

    def pause(self, seconds: float) -> None:
        self.assertEqual(self.calls, [], "nothing may be acknowledged while the disk reports errors")
        self.time += seconds
        if self.time >= self.recovers_at:
            self.disk.failing_operations = 0

    def note(self, name: str) -> Callable[[], None]:
        return lambda: self.calls.append(name)

    def test_nothing_is_acknowledged_before_it_is_written(self) -> None:
        self.writer.append(b"1", self.note("one"))
        self.assertEqual(self.calls, [])
        self.writer.drain()
        self.assertEqual(self.calls, ["one"])
        self.disk.lose_power(LoseAll())
        self.assertEqual(Store(FOLDER, self.disk).open().entries, [b"1"])

    def test_queued_appends_share_a_sync(self) -> None:
        before = self.disk.syncs
        for number in range(20):
            self.writer.append(b"entry", self.note(str(number)))
        self.writer.drain()
        self.assertEqual(self.disk.syncs - before, 1)
        self.assertEqual(self.calls, [str(number) for number in range(20)])

    def test_order_is_kept_across_kinds_of_operations(self) -> None:
        self.writer.append(b"1", self.note("append 1"))
        self.writer.write_epochs(b"p", self.note("epochs"))
        self.writer.append(b"2", self.note("append 2"))
        self.writer.replace(b"s", self.note("replace"))
        self.writer.append(b"3", self.note("append 3"))
        self.writer.drain()
        self.assertEqual(self.calls, ["append 1", "epochs", "append 2", "replace", "append 3"])
        self.disk.lose_power(LoseAll())
        self.assertEqual(Store(FOLDER, self.disk).open(), RecoveredData(b"p", b"s", [b"3"]))

    def test_the_last_of_several_records_is_stored(self) -> None:
        for number in (b"1", b"2"):
            self.writer.write_epochs(number, self.note("epochs"))
        for number in (b"3", b"4"):
            self.writer.replace(number, self.note("replace"))
        self.writer.drain()
        self.assertEqual(self.calls, ["epochs", "epochs", "replace", "replace"])
        self.assertEqual(Store(FOLDER, self.disk).open(), RecoveredData(b"2", b"4"))

    def test_a_disk_that_fails_briefly_is_not_reported(self) -> None:
        self.recovers_at = REPORT_FAILURE_AFTER_SECONDS / 2
        self.disk.failing_operations = 1_000_000
        self.writer.append(b"1", self.note("one"))
        self.writer.drain()
        self.assertEqual((self.calls, self.problems), (["one"], []))
        self.disk.lose_power(LoseAll())
        self.assertEqual(Store(FOLDER, self.disk).open().entries, [b"1"])

    def test_a_disk_that_fails_for_long_is_reported_once(self) -> None:
        self.recovers_at = REPORT_FAILURE_AFTER_SECONDS * 4
        self.disk.failing_operations = 1_000_000
        self.writer.write_epochs(b"p", self.note("epochs"))
        self.writer.drain()
        self.assertEqual([problem.step for problem in self.problems], ["write_epochs"])
        self.assertIn("Input/output error", self.problems[0].reason)
        self.assertEqual(self.calls, ["epochs"])

    def test_a_snapshot_is_wanted_once_the_log_is_long(self) -> None:
        self.writer.append(bytes(MIB - 100), self.note("long"))
        self.assertFalse(self.writer.wants_snapshot())
        self.writer.append(bytes(100), self.note("more"))
        self.assertTrue(self.writer.wants_snapshot())
        self.writer.replace(b"s", self.note("replace"))
        self.assertFalse(self.writer.wants_snapshot(), "the snapshot is queued already")

    def test_a_long_recovered_log_wants_a_snapshot(self) -> None:
        self.store.append([bytes(MIB)])
        again = Store(FOLDER, self.disk)
        again.open()
        self.assertTrue(DiskWriter(again, lambda action: action(), self.problems.append).wants_snapshot())

    def test_logs_are_shorter_on_small_disks(self) -> None:
        self.assertEqual(log_limit(128), MIB)
        self.assertEqual(log_limit(0), MIB)
        self.assertEqual(log_limit(4), MIB // 4)
        self.assertLessEqual(2 * log_limit(1), MIB // 2)

    def test_a_callback_that_raises_does_not_prevent_others_of_its_batch(self) -> None:
        failures: list[Exception] = []

        def deliver(action: Callable[[], None]) -> None:
            try:
                action()
            except ValueError as error:
                failures.append(error)

        def fail() -> None:
            raise ValueError("a callback")

        writer = DiskWriter(self.store, deliver, self.problems.append)
        writer.append(b"1", self.note("first"))
        writer.append(b"2", fail)
        writer.append(b"3", self.note("third"))
        writer.drain()
        self.assertEqual((self.calls, len(failures)), (["first", "third"], 1))

    def test_the_thread_writes_real_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            store = Store(f"{folder}/not/there/yet")
            self.assertTrue(store.open().fresh)
            writer = DiskWriter(store, lambda action: action(), self.problems.append)
            writer.start()
            writer.append(b"1" * 5000, self.note("append"))
            writer.write_epochs(b"p", self.note("epochs"))
            writer.replace(b"s", self.note("replace"))
            writer.append(b"2", self.note("last"))
            writer.close(timeout=60)
            store.close()
            self.assertEqual(self.calls, ["append", "epochs", "replace", "last"])
            again = Store(f"{folder}/not/there/yet")
            self.assertEqual(again.open(), RecoveredData(b"p", b"s", [b"2"]))
            again.close()

    def test_opening_retries_while_the_disk_fails(self) -> None:
        self.store.append([b"1"])
        self.disk.failing_operations = 1_000_000
        self.recovers_at = 2.0
        recovered = open_store(Store(FOLDER, self.disk), 10.0, self.pause, lambda: self.time)
        self.assertEqual(recovered, RecoveredData(entries=[b"1"]))

    def test_opening_fails_after_its_timeout(self) -> None:
        self.disk.failing_operations = 1_000_000
        self.recovers_at = 100.0
        problem = open_store(Store(FOLDER, self.disk), 3.0, self.pause, lambda: self.time)
        self.assertIsInstance(problem, DiskProblem)
        self.assertLessEqual(self.time, 3.0 + MAX_BACKOFF_SECONDS)

    def test_memory_disk_acknowledges_without_storing(self) -> None:
        disk = MemoryDisk(lambda action: action())
        disk.append(b"1", self.note("append"))
        disk.write_epochs(b"p", self.note("epochs"))
        disk.replace(b"s", self.note("replace"))
        self.assertEqual(self.calls, ["append", "epochs", "replace"])
        self.assertFalse(disk.wants_snapshot())


if __name__ == "__main__":
    unittest.main()
