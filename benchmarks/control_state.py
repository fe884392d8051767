"""How large replicated state and a catch-up become: changes of the configuration and jobs ended, at several sizes.

    python3 benchmarks/control_state.py

Prints, for each size: keys, bytes of a snapshot, and the processor time to write one, to read one, and to repair an
empty member range by range.
"""

from __future__ import annotations

import json
import time

from pipitledge.configuration.configuration_service import CHANGES_KEPT
from pipitledge.replication.records import Snapshot, decode_snapshot, encode_snapshot
from pipitledge.replication.state_map import StateMap
from pipitledge.wire.codec import encode, encode_record
from pipitledge.wire.messages import ChangeRecord, ConfigurationRecord, RepairReply, Write

SIZES = (10, 100, 1_000, 10_000)
ROUTES = 170
JOB_BYTES = 700  # of a job's and its tasks' records, for one of eight tasks
MAX_REPAIR_BYTES = 1 << 20


def filled(count: int) -> StateMap:
    """The state after so many changes, and so many jobs that can still be asked for."""
    state = StateMap()
    routes = [{"name": f"r{index}", "host": "a.example", "pathPrefix": f"/p{index}/"} for index in range(ROUTES)]
    body = json.dumps({"version": count, "routes": routes, "services": [{"name": "s1"}]}).encode()
    state.apply([Write("config", encode_record(ConfigurationRecord(count, body)))])
    for number in range(max(0, count - CHANGES_KEPT), count):
        record = encode_record(ChangeRecord(number, f"{number:032x}", number))
        state.apply([Write(f"change/{number:012d}", record)])
    for number in range(count):
        state.apply([Write(f"job/{number:016x}", bytes(JOB_BYTES))])
    return state


def repair(source: StateMap) -> tuple[int, int]:
    """Make an empty state equal; calls and bytes."""
    copy = StateMap()
    calls = size = 0
    while differing := source.differing(copy.digests()):
        contents = []
        taken = 0
        for index in differing:
            contents.append(source.content_of(index))
            taken += sum(len(write.key) + len(write.value) for write in contents[-1].writes)
            if taken >= MAX_REPAIR_BYTES:
                break
        size += len(encode(RepairReply(granted=True, contents=contents)))
        calls += 1
        for content in contents:
            copy.replace_range(content)
    return calls, size


def main() -> None:
    """Print a row for each size."""
    columns = ("size", "keys", "snapshot", "write ms", "read ms", "calls", "bytes", "repair ms")
    print("".join(f"{column:>10}" for column in columns))
    for count in SIZES:
        state = filled(count)
        started = time.process_time()
        pairs = list(state.items())
        data = encode_snapshot(Snapshot(1, 1, [key for key, _ in pairs], [value for _, value in pairs]))
        written = time.process_time()
        decoded = decode_snapshot(data)
        StateMap().load(zip(decoded.keys, decoded.values, strict=True))
        read = time.process_time()
        calls, size = repair(state)
        ended = time.process_time()
        write_ms, read_ms, repair_ms = ((1000 * span) for span in (written - started, read - written, ended - read))
        figures = (count, len(state), len(data), f"{write_ms:.1f}", f"{read_ms:.1f}", calls, size, f"{repair_ms:.1f}")
        print("".join(f"{figure:>10}" for figure in figures))


if __name__ == "__main__":
    main()
