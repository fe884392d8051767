"""The end of a soak run: everything is back, lasting jobs are cancelled, and each accepted job is accounted for."""

from __future__ import annotations

import json
import math
import time
from collections import deque
from collections.abc import Mapping

from pipitledge.emulator.cluster.deployment import HOST
from pipitledge.emulator.cluster.jobs import Job
from pipitledge.emulator.soak.clients import Platform, call_once
from pipitledge.emulator.soak.connection import CallEnd
from pipitledge.emulator.soak.plan import SoakPlan
from pipitledge.emulator.soak.processes import MachineProcess
from pipitledge.emulator.soak.record import Record

LOOK_SECONDS = 0.2
FINISH_SECONDS = 40.0  # for jobs to end once all is back
FINAL_STATES = ("completed", "failed", "cancelled")
GONE = 410


def wait_until_ready(
    platform: Platform, processes: Mapping[str, MachineProcess], record: Record, seconds: float
) -> bool:
    """Wait until every node is ready; note a finding, and ask for the nodes' stacks, if that takes over `seconds`."""
    give_up_at = time.monotonic() + seconds
    while unready := platform.unready():
        if time.monotonic() > give_up_at:
            record.find("RECOVER", f"{', '.join(unready)} not ready {seconds:.0f} s after all were back")
            for name in unready:
                processes[name].ask_for_stacks()
            return False
        time.sleep(LOOK_SECONDS)
    return True


class Closing:
    """Asks for each accepted job until it has ended."""

    def __init__(self, plan: SoakPlan, record: Record) -> None:
        """Account for the jobs of `record`."""
        self._record = record
        self._nodes = deque(plan.nodes)

    def _call(self, method: str, path: str) -> CallEnd | None:
        """Make a call; a node that gives no answer is asked last from then on."""
        for _ in range(len(self._nodes)):
            end = call_once(self._nodes[0], method, path, HOST)
            if end is not None and end.status:
                return end
            self._nodes.rotate(-1)
        return None

    def account(self) -> None:
        """Note a finding for each accepted job that is unknown, has not ended, or ended without all of its tasks."""
        open_jobs = {job.id: job for job in self._record.jobs.values() if job.accepted_at < math.inf}
        give_up_at = time.monotonic() + FINISH_SECONDS
        while open_jobs and time.monotonic() < give_up_at:
            for job in list(open_jobs.values()):
                if time.monotonic() > give_up_at:
                    break
                self._cancel_if_it_lasts(job)
                if self._has_ended(job):
                    del open_jobs[job.id]
            time.sleep(LOOK_SECONDS)
        for job in open_jobs.values():
            self._record.find("LOST", f"job {job.id} has not ended, last shown as {job.final_state or 'nothing'}")

    def _cancel_if_it_lasts(self, job: Job) -> None:
        if job.lasts and job.cancelled_at == math.inf:
            job.cancel_sent_at = min(job.cancel_sent_at, time.monotonic())  # carried out perhaps, whatever is answered
            end = self._call("DELETE", job.path)
            if end is not None:
                self._record.answered(job, "DELETE", end.status)

    def _has_ended(self, job: Job) -> bool:
        end = self._call("GET", job.path)
        if end is None or end.status not in (200, GONE):
            return False
        if end.status == GONE:
            self._record.find("LOST", f"job {job.id} was accepted and is not known")
            return True
        job.final_state = json.loads(end.body)["state"]
        if job.final_state not in FINAL_STATES:
            return False
        self._check_final(job)
        return True

    def _check_final(self, job: Job) -> None:
        """Compare a final state with what workers ran."""
        if job.final_state == "completed":
            missing = [task for task in job.tasks() if not self._is_done(job, task)]
            if missing:
                self._record.find("MIXED", f"job {job.id} is shown as completed, but {missing[0]} has not ended so")
        elif job.final_state == "cancelled" and job.cancel_sent_at == math.inf:
            self._record.find("LOST", f"job {job.id} is shown as cancelled, and nobody cancelled it")

    def _is_done(self, job: Job, task: str) -> bool:
        stage = job.stages[int(task.split(".")[2])]
        family = task.rsplit(".", 1)[0]
        members = [f"{family}.{index}" for index in range(stage["count"])] if stage["gang"] else [task]
        return any(member in self._record.done for member in members)
