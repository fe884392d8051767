"""After an outage of the core an agent asks a worker that is gone once, and never says that its runs have ended."""

from __future__ import annotations

import asyncio
import re
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from small_system import BROKEN, HELD, TROUBLE, CaseNotRunError, Record, System, main

JOB = "5a00000000000001"
TASK = f"{JOB}.0.0.0"
TASK_S = 7.0
OUTAGE_S = 9.9
RESTART_S = 2.0  # of the agent
CRASH_AFTER_S = 4.0  # of the worker
RECOVERY_S, FINISH_S = 12.0, 14.0


def leader(system: System) -> int:
    """Return the number of the node that leads, by the logs."""
    for number, node in enumerate(system.nodes):
        lines = (node.folder / "log.txt").read_text().splitlines()
        states = [line for line in lines if re.search(r" primary_(active|ended) ", line)]
        if states and " primary_active " in states[-1]:
            return number
    raise CaseNotRunError("no node leads")


async def case(record: Record) -> int:
    """One task runs on the second worker; two nodes and its agent are killed, and the worker is lost for good."""
    system = System(record)
    second, agent = system.workers[1], system.agents[1]
    try:
        await system.start()
        others = [number for number in range(3) if number != leader(system)]
        stages = [{"count": 1, "cpu": 1000, "memoryLimitMb": 256, "estimatedMs": 7000, "affinity": second.rack}]
        await system.submit(JOB, {"spec": str(TASK_S), "stages": stages})
        await asyncio.sleep(1.0)
        started_at = time.monotonic()
        if TROUBLE:
            record.line(f"killed: nodes {others[0] + 1} and {others[1] + 1}, the agent of w2")
            await asyncio.gather(*(system.nodes[number].kill() for number in others), agent.kill())
            await asyncio.sleep(RESTART_S)
            await agent.start()
            record.line("started: the agent of w2")
            await asyncio.sleep(CRASH_AFTER_S - RESTART_S)
            second.crash("is lost for good")
            if second.server is not None:
                second.server.close()
            await asyncio.sleep(max(0.0, started_at + OUTAGE_S - time.monotonic()))
            await asyncio.gather(*(system.nodes[number].start() for number in others))
            record.line("started: both nodes; all but w2 is back")
        until = time.monotonic() + RECOVERY_S + FINISH_S
        state = b""
        while time.monotonic() < until and b"completed" not in state:
            await asyncio.sleep(2.0)
            _, state = await system.client(0, "GET", JOB)
        last_run = max([began for worker in system.workers for task, _, began in worker.begun if task == TASK])
        if b"completed" in state:
            return HELD
        waited_s = time.monotonic() - last_run
        record.line(f"BROKEN LOST: {TASK} has not run for {waited_s:.1f} s, though six idle workers have room for it")
        return BROKEN
    finally:
        await system.close()


if __name__ == "__main__":
    main(Path(__file__).resolve().with_name("record.txt"), case)
