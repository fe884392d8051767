"""One day, drawn from a seed: a deployment, its traffic, its operators and its faults, and the verdict on it."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from pipitledge.emulator.cluster import deployment as deployments
from pipitledge.emulator.cluster import history
from pipitledge.emulator.cluster.auditor import Auditor, Breach
from pipitledge.emulator.cluster.callers import Outside
from pipitledge.emulator.cluster.clients import Clients
from pipitledge.emulator.cluster.faults import Faults
from pipitledge.emulator.cluster.jobs import Job
from pipitledge.emulator.cluster.operators import Operators
from pipitledge.emulator.cluster.site import Site
from pipitledge.emulator.cluster.troubles import Troubles
from pipitledge.emulator.cluster.virtual import World

FOUNDING_S = 15.0
TROUBLE_S = 20.0
SETTLE_S = 90.0
CALM_S = 20.0  # after the troubles nothing may stand still any more
STILL_S = 4.0
LOOK_S = 0.25
EVENT_LIMIT = 3_000_000


@dataclass(frozen=True)
class Verdict:
    """What a day came to."""

    seed: int
    breaches: tuple[Breach, ...]
    jobs: int
    starts: int
    changes: int
    events: int
    seconds: float

    def __str__(self) -> str:
        """The verdict for a reader: the seed, and the rules that were broken."""
        rules = sorted({breach.rule for breach in self.breaches})
        lines = [f"seed {self.seed}: {', '.join(rules) or 'no rule broken'}"]
        return "\n".join([*lines, *(f"  {breach}" for breach in self.breaches[:6])])


class Day:
    """One day of trouble."""

    def __init__(self, seed: int, printing: bool = False, trouble_s: float = TROUBLE_S) -> None:
        """Draw it all."""
        self.seed = seed
        self.random = Random(f"day {seed}")
        self.trouble_s = trouble_s
        self.world = World(seed)
        self.world.event_limit = EVENT_LIMIT
        self.deployment = deployments.draw(self.random)
        contact_s = self.deployment.bounds.contact_ms / 1_000.0
        self.troubles = Troubles(self.world, self.deployment.counted, contact_s)
        self.auditor = Auditor(self.world, self.deployment, self.troubles)
        self.site = Site(self.world, self.deployment, self.auditor, printing)
        self.auditor.workers = self.site.workers
        self.outside = Outside(self.site)
        self.outside.lost_answers = self.random.choice((0.0, 0.1, 0.3))
        self.clients = Clients(self.random, self.outside, self.auditor, self.random.choice((0.3, 0.6, 1.2)))
        self.operators = Operators(self.random, self.outside, self.auditor, self.random.choice((1.0, 3.0)))
        self.faults = Faults(self.random, self.site, self.troubles, printing)
        self.faults.acknowledged = self._acknowledged
        self.auditor.clocks_jump = self.faults.clocks_jump

    def play(self) -> Verdict:
        """Play it, and judge."""
        self._found()
        self.clients.start()
        self._look()
        self.world.run_for(self.random.uniform(0.5, 3.0))
        self.faults.start()
        self.world.run_for(self.trouble_s)
        self.clients.stopped = self.operators.stopped = self.faults.stopped = True
        if self.random.random() < 0.5:
            self._final_fault()
        self.world.run_for(self.random.uniform(0.5, 4.0))
        self.faults.heal()
        self._recover()
        self._settle()
        for finding in history.check(self.operators.history):
            self.auditor.breach("HISTORY", str(finding))
        return Verdict(
            self.seed,
            tuple(self.auditor.breaches),
            len(self.auditor.jobs),
            self.auditor.starts,
            len(self.operators.orders),
            self.world.events_run,
            self.world.time,
        )

    def _found(self) -> None:
        self.site.start_all()
        self.operators.start()
        if not self.world.run_while(lambda: self.operators.known is None, FOUNDING_S):
            self.auditor.breach("LOST", "the first configuration is not taken")
        self.world.run_for(self.deployment.bounds.config_apply_ms / 1_000.0)

    def _look(self) -> None:
        self.world.after(LOOK_S, self._look)
        self.auditor.look()

    def _final_fault(self) -> None:
        """Right after an acknowledgement all counted machines lose power, and some of them their disks."""
        faults = self.faults
        everyone = self.random.random() < 0.5

        def strike() -> None:
            faults.all_counted(power=True, wipe=self.deployment.tolerated)
            if everyone:
                faults.all_others()

        faults.after_acknowledgement(strike)
        self.world.run_for(5.5)

    def _acknowledged(self) -> int:
        jobs = sum(job.accepted_at <= self.world.time for job in self.auditor.jobs.values())
        return jobs + sum(order.acknowledged_at <= self.world.time for order in self.operators.orders)

    # ---- the end

    def _recover(self) -> None:
        """Once all machines are back, an order is acknowledged within the bound."""
        if self.operators.known is None:
            return
        self.operators.change_now()
        latest = self.operators.orders[-1]
        done = self.world.run_while(lambda: latest.open, self.deployment.bounds.recovery_s)
        if not done:
            self.auditor.breach(
                "RECOVER", f"no answer to an order {self.deployment.bounds.recovery_s} s after all is back"
            )

    def _settle(self) -> None:
        """All that was accepted comes to its end, and all that was acknowledged is there."""
        self._wait(self.world.time + CALM_S, until_over=not any(job.lasts for job in self._open_jobs()))
        self._wait(self.world.time + STILL_S, until_over=False)
        for job in self._open_jobs():
            if job.lasts:
                self.clients.cancel(job)
        self._wait(self.world.time + SETTLE_S, until_over=True)
        if self.auditor.breaches:
            return
        for job in self._open_jobs():
            self.auditor.breach("LOST", f"{job.id} of {job.queue.name} has not ended: {self._state_of(job)}")
        bounds = self.deployment.bounds
        self.world.run_for((2 * bounds.cancel_ms + bounds.stop_ms + bounds.contact_ms) / 1_000.0)
        self._ask_at_end()

    def _wait(self, end: float, until_over: bool) -> None:
        """Ask for all open jobs until then, or until they are over; once it is calm none may stand still."""
        while self.world.time < end and not self.auditor.breaches:
            waiting = self._open_jobs()
            if until_over and not waiting:
                return
            for job in waiting:
                self.clients.ask(job)
            if self.troubles.all_quiet(CALM_S):
                self.auditor.check_idle([job for job in waiting if job.cancel_sent_at > self.world.time])
            self.world.run_for(0.5)

    def _open_jobs(self) -> list[Job]:
        """Accepted jobs that are not known to have ended."""
        return [job for job in self.auditor.jobs.values() if job.accepted_at < math.inf and not job.final_state]

    def _state_of(self, job: Job) -> str:
        running = [
            f"{task} on {worker.node}"
            for worker in self.site.workers.values()
            for task in worker.life.running
            if task.startswith(job.id)
        ]
        return f"runs {running}, poison {job.poison}, lasts {job.lasts}"

    def _ask_at_end(self) -> None:
        """All accepted jobs are known, and the newest configuration is read back."""
        for job in self.auditor.jobs.values():
            if job.accepted_at <= self.world.time:
                self.clients.ask(job)
        read: list[bool] = []
        for _ in range(8):
            self.operators.read_at_end(read.append)
            self.world.run_for(1.1)
        if not any(read):
            self.auditor.breach("CONFIG", "the configuration is not read back")


def play(seed: int, printing: bool = False, trouble_s: float = TROUBLE_S) -> Verdict:
    """Play the day of that seed."""
    return Day(seed, printing, trouble_s).play()
