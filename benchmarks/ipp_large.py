"""20 documents of 32 MB at once through a node: its resident memory, and that each was printed once, whole."""

from __future__ import annotations

import os
import pathlib
import platform
import sys
import tempfile
import time
from collections.abc import Iterator

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from pipitledge.emulator.ipp_servers import message, submit
from pipitledge.emulator.print_shop import URI, PrintShop
from pipitledge.ipp.codec import Group, Message
from pipitledge.ipp.model import JobState, Op

DOCUMENTS, MEGABYTES, PRINTERS = 20, 32, 10
PART = b"\0" * (32 * 1024)


def parts() -> Iterator[bytes]:
    """One document."""
    for _ in range(MEGABYTES * 1024 * 1024 // len(PART)):
        yield PART


def main() -> None:
    """Run it; the exit code tells whether it stayed under 64 MB and all were printed."""
    print(
        f"python {platform.python_version()}, {os.cpu_count()} cores, {platform.machine()}; {DOCUMENTS} documents of "
        f"{MEGABYTES} MB at once, {PRINTERS} printers"
    )
    answers: list[Message | None] = []
    with tempfile.TemporaryDirectory() as name:
        shop = PrintShop(pathlib.Path(name), PRINTERS, {}, 1)
        shop.start()
        shop.turn(2_000.0)
        began = time.monotonic()
        for _ in range(DOCUMENTS):
            shop.scheduler.spawn(
                lambda: answers.append(
                    submit(shop.scheduler, shop.clock, shop.listen, message(Op.PRINT_JOB, URI), parts())
                )
            )
        while len(answers) < DOCUMENTS and time.monotonic() < began + 60.0:
            shop.turn(50.0)
        assert shop.node is not None
        status = pathlib.Path(f"/proc/{shop.node.pid}/status").read_text()
        most = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM")) / 1024
        shop.settle()
        states = [answer.first(Group.JOB, "job-state") if answer is not None else None for answer in answers]
        done = sum(state == JobState.COMPLETED for state in states)
        moved = sum(one.bytes for one in shop.printers) / (1 << 20)
        twice = sum(count > 1 for count in shop.ledger.values())
        print(
            f"printed {done} of {DOCUMENTS}, {moved:.0f} MB came to printers in {time.monotonic() - began:.0f} s; "
            f"the node held {most:.1f} MB resident at the most; printed twice {twice}"
        )
        if done < DOCUMENTS:
            print([JobState(state).name if state else state for state in states])
        sys.exit(0 if most < 64.0 and done == DOCUMENTS else 1)


if __name__ == "__main__":
    main()
