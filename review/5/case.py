"""A late heartbeat of a life that has ended reaches a restarted agent, which says that the present life has ended."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from small_system import BROKEN, HELD, TROUBLE, Record, RunWatch, System, main

JOB, SELECTIVE_JOB = "5a00000000000001", "5a00000000000002"
TASK_S = 6.0
LATE_S = 4.0  # the heartbeat


async def case(record: Record) -> int:
    """One task runs in a worker's second life; its agent is killed and started; a heartbeat of the first life comes."""
    system = System(record)
    watch = RunWatch(system)
    late: asyncio.Task[None] | None = None
    second = system.workers[1]
    try:
        await system.start()

        async def deliver(instance: str, body: bytes) -> None:
            await asyncio.sleep(LATE_S)
            await second.send_heartbeat(instance, body, f", {LATE_S} s late")

        if TROUBLE:
            record.line(f"worker {second.name}: sends a heartbeat of {second.instance}, which will be late")
            late = asyncio.create_task(deliver(second.instance, second.heartbeat_body()))
            await asyncio.sleep(0.2)
            second.crash()
            await asyncio.sleep(0.5)
            await second.restart()
            await asyncio.sleep(0.8)
        stages = [{"count": 1, "cpu": 1000, "memoryLimitMb": 256, "estimatedMs": 6000, "affinity": second.rack}]
        await system.submit(JOB, {"spec": str(TASK_S), "stages": stages})
        watching = asyncio.create_task(watch.watch(16.0, f"{JOB}.0.0.0"))
        await asyncio.sleep(0.7)
        if TROUBLE:
            record.line("agent of the second worker: killed")
            await system.agents[1].kill()
            await asyncio.sleep(0.3)
            await system.agents[1].start()
            record.line("agent of the second worker: started")
        await watching
        await system.client(0, "GET", JOB)
        # Beside the rule that this case is for: whether the worker is used again.
        stages = [{"count": 1, "cpu": 1000, "memoryLimitMb": 256, "estimatedMs": 1000, "nodeSelector": second.name}]
        await system.submit(SELECTIVE_JOB, {"spec": "1", "stages": stages})
        await asyncio.sleep(12.0)
        await system.client(0, "GET", SELECTIVE_JOB)
        if not any(task.startswith(SELECTIVE_JOB) for task, _, _ in second.begun):
            record.line(f"also: {SELECTIVE_JOB}, which needs the idle worker {second.name}, has not begun in 12 s")
    finally:
        if late is not None:
            late.cancel()
        await system.close()
    return BROKEN if watch.overlaps else HELD


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
