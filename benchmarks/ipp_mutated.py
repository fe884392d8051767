"""100,000 mutated and random messages into the IPP codec and front: answers, faults, time and memory."""

from __future__ import annotations

import os
import pathlib
import platform
import random
import resource
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from pipitledge.emulator.ipp_mutations import Target, messages, read_pieces, read_whole, request

COUNT, SEED = 100_000, 8


def resident() -> float:
    """Megabytes at the most so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def main() -> int:
    """Run it; the exit code tells whether all led to an answer, an error or a close, and none to a fault."""
    print(
        f"python {platform.python_version()}, {os.cpu_count()} cores, {platform.machine()}; {COUNT} messages, "
        f"seed {SEED}"
    )
    draw, apart, longest, began = random.Random(SEED), 0, 0.0, time.perf_counter()
    for body in messages(SEED, COUNT):
        at = time.perf_counter()
        whole = read_whole(body)
        longest = max(longest, time.perf_counter() - at)
        cut = draw.randrange(len(body) + 1)
        apart += read_pieces([body[:cut], body[cut:]]) != whole
    print(
        f"codec: {time.perf_counter() - began:.0f} s, longest {longest * 1e3:.1f} ms; read otherwise in two pieces: "
        f"{apart}"
    )
    target, draw, longest, began = Target(), random.Random(SEED), 0.0, time.perf_counter()
    first = 0.0
    for number, body in enumerate(messages(SEED, COUNT)):
        at = time.perf_counter()
        target.send(request(draw, body), body)
        longest = max(longest, time.perf_counter() - at)
        if number == COUNT // 10:
            first = resident()
    faults = sum(count for name, count in target.counters.counts.items() if name.startswith("fault."))
    print(
        f"front: {time.perf_counter() - began:.0f} s, longest {longest * 1e3:.1f} ms; resident at the most "
        f"{first:.1f} MB after a tenth, {resident():.1f} MB after all; jobs held {len(target.jobs.records)}"
    )
    for what, count in target.led_to.most_common():
        print(f"  {what:20} {count}")
    print(f"faults {faults}, crashes {len(target.crashes)}, wrong {len(target.wrong)}", *target.wrong[:5])
    return int(bool(faults or target.crashes or target.wrong or apart))


if __name__ == "__main__":
    sys.exit(main())
