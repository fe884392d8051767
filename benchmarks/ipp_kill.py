"""10,000 print jobs on sockets with forced disconnects, the node killed with SIGKILL on the way; seeds fixed."""

from __future__ import annotations

import os
import pathlib
import platform
import sys
import tempfile
import time
from collections import Counter

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from pipitledge.emulator.faults import Fault
from pipitledge.emulator.print_shop import PrintShop
from pipitledge.ipp.jobs import MAY_HAVE_PRINTED
from pipitledge.ipp.model import JobState

JOBS, KILLS, PRINTERS, PER_S, SEED = 10_000, 20, 10, 110.0, 1
RATES = {Fault.BREAK_BEFORE: 0.01, Fault.BREAK_AFTER: 0.01, Fault.BREAK_AMID: 0.01, Fault.SILENT: 0.001}


def main() -> None:
    """Run it; the exit code tells whether the ledger agrees."""
    print(
        f"python {platform.python_version()}, {os.cpu_count()} cores, {platform.machine()}; {JOBS} submissions, "
        f"{PER_S:g} a second, {PRINTERS} printers, {KILLS} kills, seed {SEED}; of exchanges "
        + ", ".join(f"{fault.value} {share:.1%}" for fault, share in RATES.items())
    )
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as name:
        shop = PrintShop(pathlib.Path(name), PRINTERS, RATES, SEED, print_ms=20.0)
        for count in range(KILLS + 1):
            shop.start()
            shop.turn(600.0)
            shop.submit(JOBS // (KILLS + 1) + (JOBS % (KILLS + 1) if count == KILLS else 0), PER_S)
            if count < KILLS:
                shop.kill()
        records = shop.settle()
        breaches = shop.breaches(records)
        met = sum((one.met for one in shop.printers), Counter[str]())
        print(f"clients heard: {dict(sorted(shop.heard.items()))} (unheard: the node was killed or not there)")
        print(
            f"documents printed {len(shop.ledger)}, twice {sum(n > 1 for n in shop.ledger.values())}; exchanges "
            f"broken by force {sum(n for what, n in met.items() if not what.endswith(' none'))}"
        )
        ends = Counter(
            "may have printed" if record.reason == MAY_HAVE_PRINTED else JobState(record.state).name.lower()
            for record in records
        )
        print(
            f"the last {len(records)} records (older finished ones are forgotten): {dict(ends)}; recovered by the "
            f"log: {shop.log.read_text().count(' recovered ')}; breaches {len(breaches)} "
            f"({time.monotonic() - began:.0f} s)"
        )
        for line in breaches[:10]:
            print("broken:", line)
        sys.exit(bool(breaches))


if __name__ == "__main__":
    main()
