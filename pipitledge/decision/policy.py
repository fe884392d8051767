"""All decisions of the dispatcher. Its settings, events, actions and records are in interface.py.

In reading order: admission, pending queue, placement, cold workers, attempts, health, worker list, timers.
A node's own share is the part of the workers that assign_shares gives it; jobs sent elsewhere are its spill.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from typing import Any

from pipitledge.decision import free_slots, health
from pipitledge.decision.admission import QueueUsage, admit
from pipitledge.decision.estimates import Estimates
from pipitledge.decision.interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    AttemptNote,
    AttemptRecord,
    Cancel,
    ClientGone,
    Event,
    Fail,
    Inherited,
    JobArrived,
    JobRecord,
    Jobs,
    JobTimers,
    Listing,
    Log,
    PendingJobs,
    Pool,
    Probe,
    ProbeEnded,
    Refuse,
    Repeat,
    Result,
    Scope,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    State,
    Subscribe,
    TimerFired,
    WorkerRecord,
    WorkersChanged,
)
from pipitledge.decision.objective import ObjectiveTracker
from pipitledge.decision.shares import assign_shares

SAMPLE_SIZE = 6  # workers compared per job: enough to find free slots, whatever the size of the fleet
# Placement score (in log speed) that a worker loses at a failure rate of 1, by what a failed attempt costs.
FAILURE_PENALTY = {Repeat.SAFE: 0.5, Repeat.KEYED: 1.0, Repeat.UNSAFE: 4.0}
EJECTABLE = 0.5  # largest share of the fleet that may be ejected at one time
COLD_FIRST_SHARE = 0.25  # share of the cold budget for a worker's first job, as its size is an estimate
BUSY_TICK_MS, IDLE_TICK_MS, REASSIGN_MS = 40.0, 200.0, 500.0  # tick with, without pending jobs; share updates
# Share of the objective that probes may cost; most probes earned per job, and in one burst.
PROBE_BUDGET, MAX_PROBES_PER_JOB, PROBE_BURST = 0.0015, 0.6, 4.0
QUEUED_SHARE = 0.35  # share of a job's slack planned as mean wait, as single waits are longer
ZONE_PENALTY = 0.1  # how much emptier or faster (as a logarithm) a worker of another zone must be
INITIAL_SLOTS, INITIAL_SPILL = 4.0, 8.0  # slots per worker, and spill of a node, before anything is known
# Longest delay before the worker list is requested again: for a small tier, and per node of a large one.
MAX_LIST_RETRY_MS, LIST_RETRY_PER_NODE_MS = 1_500.0, 400.0
TICK_TOKEN, LIST_TOKEN = 0, 1  # timer tokens
# Whether (a retry, a refusal) is harmless once an attempt may have run; KEYED retries in its group only.
HARMLESS = {Repeat.SAFE: (True, True), Repeat.KEYED: (True, False), Repeat.UNSAFE: (False, False)}


class Policy:
    """Decisions of one scheduler node: give it events in order and carry out the actions that it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start with initial estimates and no worker list."""
        self.random, self.now, self.actions = random.Random(seed), 0.0, list[Action]()
        self.jobs, self.pending, self.job_timers = Jobs(), PendingJobs(), JobTimers()
        # By tenant: tokens (slots of admitted jobs, pending or sent); slots of sent jobs.
        self.inflight, self.running = list[float](), list[float]()
        self.estimates = Estimates()
        self.run_ms, self.per_hint, self.slots, self.kind_slowness = self.estimates.by_index()
        self.workers, self.ejected = dict[str, WorkerRecord](), dict[str, WorkerRecord]()
        # Serving workers by id, the same on every node; those of the own share; of these, with free slots.
        self.ring, self.own_workers, self.own_available = list[WorkerRecord](), list[WorkerRecord](), Pool()
        self.own_slots, self.shares_assigned_ms = 1.0, 0.0  # slots of the own share; time of its assignment
        self.spill, self.spill_in_use = INITIAL_SPILL, 0.0  # slots outside the own share: available, used
        self.objective, self.fleet_failures, self.probe_credit = ObjectiveTracker(), 0.0, PROBE_BURST
        self.dead = 0.0  # probability that an overdue attempt is dead (its connection went silent, say)
        self.next_tick_ms, self.expiry_ms = math.inf, math.inf  # next tick; first expiry of a pending job
        self.list_requested, self.list_failures = not settings.must_subscribe, 0
        self.handlers: dict[type, Callable[[Any], None]] = {
            JobArrived: self._arrived,
            AttemptEnded: self._ended,
            AttemptNote: self._progressed,
            ClientGone: self._client_gone,
            ProbeEnded: self._probed,
            WorkersChanged: self._workers_changed,
            TimerFired: self._timer_fired,
            SettingsChanged: self._apply_settings,
            Inherited: self._restore,
        }
        self._apply_settings(SettingsChanged(settings))

    def _apply_settings(self, event: SettingsChanged) -> None:
        """Apply first or changed settings; indices keep their meaning and their learned estimates."""
        self.settings, self.tenant_shares = event.settings, event.settings.tenant_shares()
        self.probes_per_job = min(MAX_PROBES_PER_JOB, PROBE_BUDGET / max(self.settings.probe_price, 1e-9))
        lists = self.inflight, self.running, self.run_ms, self.per_hint, self.slots, self.kind_slowness
        for known, initial in zip(lists, self.settings.initial_estimates(INITIAL_SLOTS), strict=True):
            known.extend(initial[len(known) :])
        self.objective.apply_settings(self.settings)
        self._assign_shares()

    def _restore(self, event: Inherited) -> None:
        """Continue from the estimates of another process of this node."""
        for known, restored in zip(self.estimates.by_index(), event.by_number, strict=True):
            known[:] = restored
        self.spill, self.fleet_failures, self.dead = event.figures
        for name in event.workers.keys() & self.workers.keys():
            self.workers[name].restore(event.workers[name])
        self._assign_shares()

    def handle(self, now_ms: float, events: Sequence[Event]) -> list[Action]:
        """Process the events of one moment in order, and return the actions to carry out."""
        self.now, self.actions = now_ms, []
        self.objective.decay(now_ms)
        if not self.list_requested:  # jitter, so that not all nodes call discovery at the same time
            self.list_requested = True
            self.actions.append(SetTimer(self.random.random() * 0.3 * self.settings.ask_every_ms, LIST_TOKEN))
        for event in events:
            self.handlers[type(event)](event)
        self._dispatch()
        wanted = min(self.expiry_ms, now_ms + BUSY_TICK_MS) if self.pending else now_ms + IDLE_TICK_MS
        wanted = max(wanted, now_ms + self.settings.resolution_ms)  # an earlier tick that is set is kept
        if wanted < self.next_tick_ms:
            self.next_tick_ms = wanted
            self.actions.append(SetTimer(self.next_tick_ms - now_ms, TICK_TOKEN))
        return self.actions

    # ---- admission: tokens and capacity

    def _admit(self, job: JobRecord) -> bool:
        """Apply the four steps of admission: limit, reservation, shared remainder, refusal."""
        capacity, slots = self._admission_capacity(job), job.event.slots
        if self.inflight[job.tenant] + slots <= slots:
            return True  # a small tenant's share may be below one slot: an idle tenant gets one job
        usages = {
            tenant: QueueUsage(used, capacity, self._reserved_slots(tenant, capacity))
            for tenant, used in enumerate(self.inflight)
        }
        return admit(slots, job.tenant, usages, capacity).admitted

    def _displace(self, job: JobRecord) -> bool:
        """Without free tokens, finish a never-sent pending job of lower rank (say, late) for its tokens."""
        slots, tenant = job.event.slots, job.tenant
        capped = self.inflight[tenant] + slots > self._admission_capacity(job)
        heads = [queue[0] for queue in self.pending.values() if not capped or queue[0].tenant == tenant]
        unsent = [pending for pending in heads if not pending.attempts and pending.event.slots >= slots]
        lowest = min(unsent, key=self._rank, default=job)
        if displaced := self._rank(lowest) < self._rank(job):
            self._finish_unserved(lowest)
        return displaced

    def _reserved_slots(self, tenant: int, capacity: float) -> float:
        """Return a tenant's share less one standard deviation; a small share kept free would mostly idle."""
        return max(0.0, (share := self.tenant_shares[tenant] * capacity) - math.sqrt(share))

    def _admission_capacity(self, job: JobRecord) -> float:
        """Return the slots that can run, plus those that can wait (Little's law) within the job's slack."""
        mean = sum(self.run_ms) / len(self.run_ms)
        return max(job.event.slots, self.own_slots + self.spill) * (1.0 + QUEUED_SHARE * job.slack_ms / mean)

    def _refuse(self, job: str) -> None:
        """Refuse a job, with the longest retry delay that clients follow, as overloads last for seconds."""
        self.actions.append(Refuse(job, self.settings.max_retry_after_ms * self.settings.retry_after))

    def _arrived(self, event: JobArrived) -> None:
        if event.job in self.jobs:
            return  # a repeated event must not take tokens twice
        job = self.estimates.job_record(event, self.now, self.settings)
        self.objective.record_arrival(event, job.cls, job.size_ms)
        if self.now > job.latest_start_ms or not (self._admit(job) or self._displace(job)):
            self._refuse(event.job)
            return
        self.jobs[event.job] = job
        self.inflight[job.tenant] += event.slots
        self.probe_credit = min(PROBE_BURST, self.probe_credit + self.probes_per_job)
        self._place_or_queue(job)

    def _close(self, job: JobRecord) -> None:
        """Return the job's tokens, once; its record stays until its last attempt has ended."""
        job.open = False
        self.inflight[job.tenant] -= job.event.slots - job.released_slots
        self.pending.remove(job)
        if not job.outstanding:
            del self.jobs[job.event.job]

    # ---- pending queue

    def _place_or_queue(self, job: JobRecord) -> None:
        """Send the job at once or queue it; a job that was sent before goes to the head of its queue."""
        if self.pending or not self._place(job):
            self.expiry_ms = min(self.expiry_ms, self.pending.enqueue(job, bool(job.attempts), self.now))

    def _dispatch(self) -> None:
        """Send pending jobs while slots are free: tenants within their reservation first, then by value."""
        blocked = dict[tuple[int, bool], float]()  # by machine kind and spill: fewest slots not found
        heads = list(self.pending)
        while heads:
            best = max(heads, key=lambda key: self._rank(self.pending[key][0]))
            job = self.pending[best][0]
            slots, targets = job.event.slots, (job.cls.kind, self._may_spill(job))
            if slots < blocked.get(targets, math.inf) and self._place(job):
                self.pending.remove(job)
                if best not in self.pending:
                    heads.remove(best)
                continue
            if not job.attempts:  # a retry bound to a group of workers says nothing about the others
                blocked[targets] = min(slots, blocked.get(targets, math.inf))
            heads.remove(best)

    def _rank(self, job: JobRecord) -> tuple[bool, float]:
        slots, late = job.event.slots, self.now - job.first_request_ms > job.slack_ms
        value = self.objective.gain(job.event.job_class, job.cls, job.size_ms, late)
        value /= job.size_ms * max(1.0, slots)
        reserved = max(self._reserved_slots(job.tenant, self.own_slots + self.spill), slots)
        return self.running[job.tenant] + slots <= reserved, value

    def _expire_pending(self) -> None:
        """Finish pending jobs that can gain nothing more, while the answer is still in time."""
        for job in [job for job in self.pending.jobs() if self.now >= job.pending_until]:
            self._finish_unserved(job)
        self.expiry_ms = min([job.pending_until for job in self.pending.jobs()], default=math.inf)

    # ---- placement, cold workers

    def _place(self, job: JobRecord) -> bool:
        """Send the job to a worker with free slots, in the own share first; return whether one was found."""
        worker, slots = self._new_worker(job) or self._best_worker(job, own=True), job.event.slots
        spilled = worker is None or not worker.own_share
        if worker is None and self._may_spill(job):
            within = not self.spill_in_use or self.spill_in_use + slots <= self.spill
            worker = self._best_worker(job, own=False) if within else None
        if worker is None:  # late, on a cold worker of the own share
            worker, spilled = self._best_worker(job, own=True, strict=False), False
        if worker is None:
            return False
        job.attempts.append(AttemptRecord(worker, self.now, spilled, self.now))
        job.outstanding += 1
        self.spill_in_use += slots * spilled
        self.running[job.tenant] += slots
        worker.add_usage(slots, job.event.memory)
        worker.cold_tokens -= slots * job.size_ms
        self.actions.append(Send(job.event.job, worker.row.id, job.event.plan.attempt_ms))
        if job.outstanding == 1 and (wait := job.event.plan.copy_after_ms()) < math.inf:
            self.actions.append(self.job_timers.schedule(job, wait))
        self._update_available(worker)
        return True

    def _may_spill(self, job: JobRecord) -> bool:
        """Whether the job may leave the own share: where that crosses zones, only if its gain pays for it."""
        return not self.zoned or self.objective.pays_for_crossing(job.event.job_class, job.cls, job.size_ms)

    def _new_worker(self, job: JobRecord) -> WorkerRecord | None:
        """Return a newly started worker for one safe job, even a late one; it is too cold for others."""
        if job.cls.repeat is not Repeat.SAFE:
            return None
        cost, rules = job.event.slots * job.size_ms * self.settings.instances, self.settings
        bound = COLD_FIRST_SHARE * rules.overload_factor * rules.fall_ms
        for new in self.ring:
            small = not new.tried and new.warmth < 1.0 and cost <= bound * self.slots[new.kind] * new.warmth
            if small and job.cls.kind in (-1, new.kind) and (new.own_share or not self.zoned):
                return new
        return None

    def _best_worker(self, job: JobRecord, own: bool, strict: bool = True) -> WorkerRecord | None:
        """Return the emptiest, fastest worker of a random sample, as all nodes see the same late reports."""
        best, best_score, pool = None, -math.inf, self.own_available if own else self.ring
        for worker in self.random.sample(pool, min(SAMPLE_SIZE, len(pool))):
            free, far = self._free_slots(worker, own), ZONE_PENALTY * (worker.zone != self.settings.zone)
            score = min(1.0, free / self.slots[worker.kind]) - worker.slowness + math.log(worker.warmth) - far
            score -= FAILURE_PENALTY[job.cls.repeat] * worker.failures  # only a penalty: errors beat refusals
            # A job larger than any own share must not wait forever: an idle worker of the own share takes it.
            free = math.inf if free > 0 and not worker.slots_in_use and own else free
            if free >= job.event.slots and score > best_score and self._is_eligible(job, worker, strict):
                best, best_score = worker, score
        return best

    def _free_slots(self, worker: WorkerRecord, own: bool) -> float:
        """Return the estimated free slots, by own bookkeeping in the own share and by reports elsewhere."""
        if not worker.serving or self.now < worker.full_until or self.now < worker.ejected_until:
            return 0.0
        slots = self.slots[worker.kind] * worker.warmth
        if worker.trial:  # one job at a time shows whether it is healthy again
            return 0.0 if worker.slots_in_use > 0 else slots
        if own:
            return free_slots.in_own_share(worker, slots, self.settings)
        return free_slots.elsewhere(worker, slots, self.settings, self.now)

    def _is_eligible(self, job: JobRecord, worker: WorkerRecord, strict: bool) -> bool:
        """Whether the worker may run the job: kind, memory, trial, repeat rule, objective, cold budget."""
        cls, event = job.cls, job.event
        if cls.kind >= 0 and worker.kind != cls.kind:
            return False
        if worker.slots_in_use and worker.memory_in_use + event.memory > self.slots[worker.kind]:
            return False
        if worker.trial and cls.repeat is Repeat.UNSAFE and self.settings.has_safe_class:
            return False
        if job.attempts and (job.runs_on(worker) or not self._in_group(job, job.possible_run(), worker)):
            return False
        fits = job.size_ms <= worker.warmth * worker.speed() * (cls.objective_ms + cls.stretch * job.size_ms)
        cost = event.slots * job.size_ms
        late = not strict and worker.warmth < 1.0  # better late than not at all, and it warms the worker
        return (fits or late) and (worker.warmth == 1.0 or self._cold_tokens(worker, cost) >= cost)

    def _update_available(self, worker: WorkerRecord) -> None:
        """Update the pool of own workers with free slots, in constant time whatever the size of the fleet."""
        available = worker.own_share > 0 and self._free_slots(worker, True) >= 1.0
        (self.own_available.add if available else self.own_available.discard)(worker)

    def _cold_tokens(self, cold: WorkerRecord, cost: float) -> float:
        """Return the slot-ms that may be sent to a cold worker now; see free_slots.cold_tokens."""
        return free_slots.cold_tokens(cold, self.slots[cold.kind], cost, self.settings, self.random, self.now)

    # ---- attempts

    def _in_group(self, job: JobRecord, first: AttemptRecord | None, worker: WorkerRecord) -> bool:
        """Whether another attempt on this worker keeps the class's repeat rule."""
        cls = job.cls
        if first is None or cls.repeat is not Repeat.KEYED:
            return first is None or HARMLESS[cls.repeat][0]
        if self.now >= first.sent_ms + cls.window_ms - 2.0 * self.settings.resolution_ms:
            return False  # the workers may have dropped its key
        if cls.scope is Scope.ZONE:
            return worker.zone == first.worker.zone
        return cls.scope is Scope.ALL or worker.row.cell == first.worker.row.cell

    def _finish_unserved(self, job: JobRecord) -> None:
        """Give the final answer: a refusal if a retry is provably harmless, else a failure."""
        cls, name = job.cls, job.event.job
        harmless = HARMLESS[cls.repeat][1] or (cls.repeat is Repeat.KEYED and cls.scope is Scope.ALL)
        if harmless or job.possible_run() is None:
            self._refuse(name)
        else:
            self.actions.append(Fail(name))
        self._close(job)

    def _ended(self, event: AttemptEnded) -> None:
        """Record the end of an attempt, learn from it, and decide what happens to its job."""
        if not (found := self.jobs.find_attempt(event)):
            return
        job, attempt = found
        worker = attempt.worker
        attempt.result, job.outstanding = event.result, job.outstanding - 1
        self._release(job, attempt, 1.0 - attempt.released)
        if attempt.overdue:
            died = float(event.result not in (Result.OK, Result.ERROR, *NEVER_RAN))
            self.dead += health.OVERDUE_WEIGHT * (died - self.dead)
        self.estimates.apply_report(worker, event.report, self.now, self.settings)
        self._learn(job, attempt, event.result)
        self._update_available(worker)
        if not job.open:
            if not job.outstanding:  # it was answered before, or its client disconnected
                del self.jobs[event.job]
        elif event.closed:
            if event.result is Result.OK and self.estimates.is_in_time(job, attempt, self.now):
                self.objective.record_in_time(job.event.job_class, job.cls, job.size_ms)
            self._close(job)
            if self.settings.cancel:  # cancel other copies: it may free their slots sooner
                self.actions += [Cancel(event.job, n) for n, a in enumerate(job.attempts) if not a.result]
        elif not job.outstanding:
            again = HARMLESS[job.cls.repeat][0] or job.possible_run() is None
            wait = job.event.plan.draw_backoff_ms(self.random)
            if not again or not job.may_send(self.settings.max_attempts, self.now + wait):
                self._finish_unserved(job)
            elif wait:
                self.actions.append(self.job_timers.schedule(job, wait))
            else:
                self._place_or_queue(job)

    def _release(self, job: JobRecord, attempt: AttemptRecord, share: float) -> None:
        slots = job.event.slots * share
        attempt.worker.add_usage(-slots, -job.event.memory * share)
        self.running[job.tenant] -= slots
        self.spill_in_use -= slots * attempt.spilled

    def _check_overdue(self) -> None:
        """Mark attempts as overdue, and cancel those that owe a sign of life.

        An overdue attempt frees its slots and tokens in proportion to the probability that it is dead, in
        eighths so that sums stay exact. An overtaken attempt is dead and frees all of them.
        """
        for job, number, attempt in self.jobs.outstanding():
            worker, overtaken = attempt.worker, health.was_overtaken(attempt, self.settings)
            if not attempt.overdue and (overtaken or health.is_overdue(job, attempt, self.now)):
                attempt.overdue, attempt.released = True, 1.0 if overtaken else round(self.dead * 8.0) / 8.0
                self._release(job, attempt, attempt.released)
                if job.open and not job.released_slots:
                    job.released_slots = job.event.slots * attempt.released
                    self.inflight[job.tenant] -= job.released_slots
                if attempt.released and not overtaken:  # early evidence of an unreachable worker
                    self._record_outcome(worker, 1.0, health.OUTCOME_WEIGHT * self.dead)
                self._update_available(worker)
            if health.is_silent(job, attempt, overtaken, self.settings, self.now) and not attempt.cancelled:
                attempt.cancelled = True
                self.actions.append(Cancel(job.event.job, number))

    def _client_gone(self, event: ClientGone) -> None:
        if (job := self.jobs.get(event.job)) and job.open:
            self._close(job)

    # ---- health

    def _progressed(self, event: AttemptNote) -> None:
        """Record progress; a start shows whether the worker had a free slot as estimated."""
        if not (found := self.jobs.find_attempt(event)):
            return
        job, attempt = found
        self.estimates.record_progress(job, attempt, event.fraction, self.now, self.settings)
        if event.fraction > 0 or attempt.started_ms or attempt.overdue:
            return
        self._adjust_spill(job, attempt, self.estimates.record_start(job, attempt, self.now, self.settings))

    def _adjust_spill(self, job: JobRecord, attempt: AttemptRecord, prompt: bool) -> None:
        """Raise the spill after a prompt start outside the own share; lower it after a wait or rejection."""
        change = (1.0 if prompt else -1.0) * job.event.slots * attempt.spilled
        self.spill = min(max(0.0, self.spill + change), max(self.slots) * len(self.ring))

    def _learn(self, job: JobRecord, attempt: AttemptRecord, result: Result) -> None:
        """Update class means, the worker's slowness, its failure rate and the spill from one result."""
        worker = attempt.worker
        if result is Result.FULL:
            worker.full_until = self.now + max(self.run_ms) / max(1.0, self.slots[worker.kind])
            self.estimates.shrink_slots(worker, self.settings.free_slots_field)
            self._adjust_spill(job, attempt, False)
        if result in (Result.FULL, Result.CANCELLED, Result.NOT_SENT):
            return
        failed = float(result is not Result.OK)
        self._record_outcome(worker, failed, health.OUTCOME_WEIGHTS.get(result, health.UNREACHABLE_WEIGHT))
        if failed:
            return
        worker.trial = worker.trial and worker.failures > health.MIN_EJECTION_FAILURES / 2.0
        worker.trials_failed *= worker.trial
        self.estimates.record_served(job, attempt, self.now, self.settings)
        if not self.settings.reports_starts:
            self._adjust_spill(job, attempt, worker.queued < 1.0)

    def _record_outcome(self, worker: WorkerRecord, failed: float, weight: float) -> None:
        self.fleet_failures += health.FLEET_WEIGHT * (failed - self.fleet_failures)
        worker.failures += weight * (failed - worker.failures)
        if failed:
            self._eject(worker)

    def _eject(self, worker: WorkerRecord) -> None:
        """Eject a worker that fails more than the fleet: no jobs for some time, then trial jobs."""
        name, most = worker.row.id, health.ejection_threshold(self.fleet_failures)
        if worker.failures <= most or name in self.ejected or len(self.ejected) >= EJECTABLE * len(self.ring):
            return
        worker.ejected_until = self.now + health.ejection_ms(worker)
        worker.trial, worker.trials_failed = True, worker.trials_failed + 1
        self.ejected[name] = worker
        self.actions.append(Log(f"ejected {name}: failure rate {worker.failures:.2f}, limit {most:.2f}"))

    def _probed(self, event: ProbeEnded) -> None:
        if event.worker in self.workers:
            self.estimates.apply_report(self.workers[event.worker], event.report, self.now, self.settings)

    # ---- worker list and timers

    def _workers_changed(self, event: WorkersChanged) -> None:
        """Apply an update of the worker list; a draining or gone worker gets no jobs from now on."""
        if event.listing is Listing.FAILED:  # retry with backoff and jitter; slower for a tier of many nodes
            self.list_failures += 1
            most = max(MAX_LIST_RETRY_MS, LIST_RETRY_PER_NODE_MS * self.settings.instances)
            wait = min(self.settings.ask_every_ms, most, 250.0 * 2.0**self.list_failures)
            self.actions.append(SetTimer(wait * (0.5 + self.random.random()), LIST_TOKEN))
            return
        self.list_failures, changed = 0, False
        if event.listing is not Listing.DELTA:
            for name in sorted(self.workers.keys() - {row.id for row in event.workers}):
                changed = self._remove_worker(name)
        for row in event.workers:
            worker, serving = self.workers.get(row.id), row.state is State.SERVING
            kind = min(row.kind, len(self.slots) - 1)
            if worker is not None and worker.serving == serving and worker.row.started_ms == row.started_ms:
                if self.settings.live_weights:
                    self.estimates.apply_weight(worker, row.weight, self.now)
                continue  # only its weight may have changed
            changed = self._remove_worker(row.id)
            self.estimates.apply_weight(None, row.weight, self.now, kind)
            if row.state is not State.GONE:
                self.workers[row.id] = WorkerRecord(row, kind, row.zone, serving, self.kind_slowness[kind])
        if changed:
            self.ring = [self.workers[name] for name in sorted(self.workers) if self.workers[name].serving]
            self.actions += self.jobs.withdrawals()
            self._assign_shares()

    def _remove_worker(self, name: str) -> bool:
        self.ejected.pop(name, None)
        if worker := self.workers.pop(name, None):
            worker.serving, worker.own_share = False, 0.0
            self._update_available(worker)
        return True

    def _assign_shares(self) -> None:
        """Reassign the own shares of workers; a cold worker counts by its present warmth."""
        before, self.shares_assigned_ms = self.own_workers, self.now
        self.own_workers = assign_shares(self.ring, self.settings, self.now)
        self.zoned = self.settings.cross_zone_price > 0.0 and len({worker.zone for worker in self.ring}) > 1
        for worker in before:
            self._update_available(worker)
        self._refresh()

    def _refresh(self) -> None:
        """Update what changes with time alone: workers that are no longer full, ejected or cold."""
        self.ejected = {name: w for name, w in self.ejected.items() if self.now < w.ejected_until}
        self.own_slots, free = 0.0, 0.0
        for worker in self.ring if self.settings.observes_other_load else self.own_workers:
            self.estimates.advance_time(worker, self.now, self.settings)
            if worker.own_share:
                self._update_available(worker)
                if self.now >= worker.ejected_until:
                    self.own_slots += worker.own_share * self.estimates.effective_slots(worker, self.settings)
            else:
                free += min(max(0.0, self._free_slots(worker, False)), self.slots[worker.kind])
        if self.settings.observes_other_load:
            self.spill = self.spill_in_use + free / max(1, self.settings.instances - 1)

    def _timer_fired(self, event: TimerFired) -> None:
        """Handle a timer: list request, tick or job timer. A tick replaced by an earlier one is ignored."""
        if event.token == LIST_TOKEN:
            self.actions.append(Subscribe())
        elif event.token == TICK_TOKEN and self.now >= self.next_tick_ms - 0.01:
            self.next_tick_ms = math.inf
            self._expire_pending()
            self._check_overdue()
            if self.settings.reports_starts:
                self.estimates.learn_slots(self.jobs.outstanding(), self.now, self.settings)
            (self._assign_shares if self.now > self.shares_assigned_ms + REASSIGN_MS else self._refresh)()
            while self.settings.needs_probes and self.probe_credit >= 1.0 and self.ring:
                self.probe_credit -= 1.0
                sample = self.random.sample(self.ring, min(SAMPLE_SIZE, len(self.ring)))
                worker = min(sample, key=lambda other: other.probed_ms)
                worker.probed_ms = self.now
                self.actions.append(Probe(worker.row.id))
        elif job := self.job_timers.take(event.token):
            if not job.outstanding:  # the end of its backoff
                self._place_or_queue(job)
            elif HARMLESS[job.cls.repeat][0] and job.may_copy(self.settings, self.now):
                self._place(job)
