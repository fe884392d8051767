"""Running estimates about job classes and workers, learned from events and reports. No I/O, no decisions.

Per job class: the mean running time, and its ratio to the client's hint. Per machine kind: the slots of a worker and
its slowness. Per worker: its own slowness, and the slots that other nodes use on it. Each estimate is an exponentially
weighted average with a fixed weight per observation, so it adapts after a fixed number of observations, however long
the jobs run.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from pipitledge.decision.interface import AttemptRecord, JobArrived, JobRecord, Settings, WorkerRecord

# Weight of one job in the means of its class (about the last 20 jobs) and in its worker's slowness (about 10).
CLASS_WEIGHT, SLOWNESS_WEIGHT = 0.05, 0.1
MAX_LOG_SLOWNESS = 3.0  # bound on the slowness taken from one observation, as a natural logarithm
# Attempts younger than SETTLED_MS are ignored: messages that cross on the wire could make them look started or waiting.
# SLOTS_WEIGHT is the weight of one observation that shows fewer slots than estimated.
SETTLED_MS, SLOTS_WEIGHT = 20.0, 0.1
PROMPT_START_SHARE = 0.1  # a start within this share of the class's running time means that a slot was free
# Weight of one observation of the slots that other nodes use, and its typical age on arrival.
OTHERS_WEIGHT, OBSERVATION_AGE_MS = 0.3, 1_000.0
SLOWNESS_DECAY_MS = 8_000.0  # time constant by which the slowness of an idle worker returns to that of its kind
# Slots added per full round of jobs without slowdown, and slots removed per sign that a worker has fewer.
SLOT_GROWTH, SLOT_SHRINKAGE = 1.0, 0.05
# Slowdowns against the baseline, as logarithms: below the first a full worker may have more slots, above the second it
# is overloaded.
UNCONTENDED_SLOWDOWN, CONTENDED_SLOWDOWN = 0.2, 0.35
BASELINE_DOWN, BASELINE_UP = 0.2, 0.002  # weights by which the baseline slowness falls and rises
SLOWNESS_TOLERANCE = 0.5  # slowdown against the kind, as a logarithm, that does not yet reduce a worker's capacity


class Estimates:
    """The estimates of one scheduler, and how each event changes them."""

    def __init__(self) -> None:
        """Start empty; the policy fills the lists when settings name classes and kinds."""
        self.run_ms, self.per_hint = list[float](), list[float]()  # by class: running time, and its ratio to the hint
        self.slots, self.kind_slowness = list[float](), list[float]()  # by kind: slots and slowness of a worker
        self.baseline_slowness: dict[int, float] = {}  # by kind: slowness without contention, where slots are inferred
        self.nominal_weight: dict[int, float] = {}  # by kind: the largest weight seen in the worker list

    def by_index(self) -> tuple[list[float], list[float], list[float], list[float]]:
        """Return the per-class and per-kind lists themselves, not copies."""
        return self.run_ms, self.per_hint, self.slots, self.kind_slowness

    # ---- classes

    def size_ms(self, event: JobArrived) -> float:
        """Return the expected running time of a job at reference speed, from its hint or else from its class."""
        return max(1.0, event.hint_ms * self.per_hint[event.job_class] or self.run_ms[event.job_class])

    def job_record(self, event: JobArrived, now_ms: float, settings: Settings) -> JobRecord:
        """Return the record of a job that arrives now: its expected running time, slack and latest useful start."""
        cls, size = settings.classes[event.job_class], self.size_ms(event)
        # For a client's own retry, the time objective counts from its first request.
        first_request = now_ms - (max(0.0, cls.deadline_ms - event.patience_ms) if event.is_retry else 0.0)
        allowance = max(0.0, cls.stretch - 1.0) * size
        # The factor 1.5 allows for jobs that are longer than expected.
        slack, latest = cls.objective_ms + allowance, first_request + cls.objective_ms + 1.5 * allowance
        end = now_ms + event.time_limit_ms
        latest = min(max(latest, end - 1.5 * size if cls.late_share else 0.0), end - 4.0 * settings.resolution_ms)
        tenant = min(event.tenant, len(settings.tenants) - 1)
        return JobRecord(event, cls, tenant, size, slack, first_request, latest, settings.max_attempts)

    def record_served(self, job: JobRecord, attempt: AttemptRecord, now_ms: float, settings: Settings) -> None:
        """Learn from the running time of a successful attempt."""
        worker, index = attempt.worker, job.event.job_class
        took = max(1.0, now_ms - (attempt.started_ms or attempt.sent_ms))
        slowness = self._update_slowness(worker, took, job.size_ms)
        self.kind_slowness[worker.kind] += CLASS_WEIGHT / 5.0 * (slowness - self.kind_slowness[worker.kind])
        self.run_ms[index] += CLASS_WEIGHT * (took - self.run_ms[index])
        if job.event.hint_ms > 0:
            self.per_hint[index] += CLASS_WEIGHT * (min(took / job.event.hint_ms, 10.0) - self.per_hint[index])
        if not settings.free_slots_field and not settings.reports_starts and worker.warmth == 1.0:
            self._infer_slots(worker, job.event.slots)

    def is_in_time(self, job: JobRecord, attempt: AttemptRecord, now_ms: float) -> bool:
        """Whether a job that ends now meets its objective; its work is known from the hint, or else from its run."""
        ran = (now_ms - (attempt.started_ms or attempt.sent_ms)) * attempt.worker.speed()
        work = job.size_ms if job.event.hint_ms else ran
        return now_ms - job.first_request_ms <= job.cls.objective_ms + job.cls.stretch * work

    # ---- slowness of workers

    def _update_slowness(self, worker: WorkerRecord, took_ms: float, size_ms: float) -> float:
        slowness = max(-MAX_LOG_SLOWNESS, min(MAX_LOG_SLOWNESS, math.log(max(1.0, took_ms) / size_ms)))
        worker.slowness += SLOWNESS_WEIGHT * (slowness - worker.slowness)
        return slowness

    # Where workers report starts, the end of each job gives its worker's slowness exactly. Where they do not, the time
    # a job waited at the worker is included in the measurement. Three rules make up for that: slowness is also taken
    # from progress reports, it decays while nothing updates it, and it reduces a worker's effective slots. Where starts
    # are reported, these rules together cost more than they gained: a score of 0.65 with them and 0.73 without in the
    # scenario "split+mass".

    def record_progress(
        self, job: JobRecord, attempt: AttemptRecord, fraction: float, now_ms: float, settings: Settings
    ) -> None:
        """Record progress: an attempt ran all the time between two reports, which gives its worker's slowness early."""
        if not settings.reports_starts and 0.0 < attempt.progress < fraction and not attempt.overdue:
            self._update_slowness(
                attempt.worker, (now_ms - attempt.last_heard_ms) / (fraction - attempt.progress), job.size_ms
            )
        attempt.last_heard_ms, attempt.progress = now_ms, fraction

    def record_start(self, job: JobRecord, attempt: AttemptRecord, now_ms: float, settings: Settings) -> bool:
        """Record the start of an attempt and return whether it was prompt, so that its worker had a free slot."""
        worker = attempt.worker
        attempt.started_ms, delay = now_ms, now_ms - attempt.sent_ms
        worker.latest_started_send_ms = max(worker.latest_started_send_ms, attempt.sent_ms)
        prompt = delay < PROMPT_START_SHARE * self.run_ms[job.event.job_class]
        self.adjust_slots_on_start(worker, prompt, settings.free_slots_field)
        if attempt.spilled:  # a start is newer evidence of free slots there than any load report
            worker.free = max(1.0, worker.free) + 1.0 if prompt else 0.0
            worker.reported_ms = now_ms
        return prompt

    def advance_time(self, worker: WorkerRecord, now_ms: float, settings: Settings) -> None:
        """Apply elapsed time; a worker without jobs of this node slowly returns to the slowness of its kind."""
        passed, worker.delayed_updated_ms = now_ms - (worker.delayed_updated_ms or now_ms), now_ms
        worker.delayed_slots_in_use += (1.0 - math.exp(-passed / OBSERVATION_AGE_MS)) * (
            worker.slots_in_use - worker.delayed_slots_in_use
        )
        if not worker.slots_in_use and not settings.reports_starts:
            typical = self.kind_slowness[worker.kind]
            worker.slowness += (1.0 - math.exp(-passed / SLOWNESS_DECAY_MS)) * (typical - worker.slowness)

    def effective_slots(self, worker: WorkerRecord, settings: Settings) -> float:
        """Return the slots of a worker, reduced while it is cold or much slower than its kind."""
        slower = (
            0.0 if settings.reports_starts else worker.slowness - self.kind_slowness[worker.kind] - SLOWNESS_TOLERANCE
        )
        return self.slots[worker.kind] * worker.warmth * math.exp(-max(0.0, slower))

    # ---- slots of workers, and their use by other nodes

    def learn_slots(
        self, outstanding: Iterable[tuple[JobRecord, int, AttemptRecord]], now_ms: float, settings: Settings
    ) -> None:
        """Learn slots from the attempts that run and wait at workers, independently of load reports.

        A loaded worker never reports many free slots. It has at least as many as its running jobs use. Where a job
        waits, it has fewer than that job would need in addition, unless other nodes' jobs use them. An attempt that a
        later one has overtaken is not waiting for slots.
        """
        runs, waits = dict[WorkerRecord, float](), dict[WorkerRecord, float]()
        for job, _, attempt in outstanding:
            worker, slots = attempt.worker, job.event.slots
            if attempt.overdue or now_ms - (attempt.started_ms or attempt.sent_ms) < SETTLED_MS:
                continue
            if attempt.started_ms:
                runs[worker] = runs.get(worker, 0.0) + slots
            elif attempt.sent_ms >= worker.latest_started_send_ms:
                waits[worker] = min(slots, waits.get(worker, math.inf))
        for worker, least in runs.items():
            known, most = self.slots[worker.kind], least + waits.get(worker, math.inf) - 1.0
            change = SLOTS_WEIGHT * min(0.0, most - known) if settings.instances == 1 else 0.0
            self.slots[worker.kind] = max(least, known + change)

    def apply_report(
        self, worker: WorkerRecord, report: Mapping[str, float] | None, now_ms: float, settings: Settings
    ) -> None:
        """Apply a load report if it states the number of free slots."""
        if report and (free := report.get(settings.free_slots_field)) is not None:
            worker.free, worker.queued, worker.reported_ms = free, report.get("queued", 0.0), now_ms
            self.apply_free_slots(worker, free, now_ms, settings)

    def apply_free_slots(self, worker: WorkerRecord, free: float, now_ms: float, settings: Settings) -> None:
        """Apply reported free slots: a worker has at least as many, and its other slots are in use.

        With a single node, free slots and the node's own slots in use add up to all slots of the worker. Where workers
        report starts, `learn_slots` estimates them better.
        """
        if settings.instances == 1 and not settings.reports_starts and free > 0.5 and worker.warmth == 1.0:
            self.slots[worker.kind] += SLOTS_WEIGHT * min(
                0.0, max(1.0, free + worker.delayed_slots_in_use) - self.slots[worker.kind]
            )
        slots = self.slots[worker.kind] = max(self.slots[worker.kind], float(round(free * 0.95)))  # reports are noisy
        # A worker without a free slot uses all it has, and more jobs may be waiting there.
        used = slots - free if free > 0.5 else max(slots * worker.warmth, worker.slots_in_use + worker.others)
        self._observe_others(worker, used, now_ms)

    def apply_weight(self, worker: WorkerRecord | None, weight: float, now_ms: float, kind: int = 0) -> None:
        """Apply a weight from the worker list; without a worker it gives the nominal size of a newly listed one.

        A live weight is the nominal size divided by (1 + requests in progress per core), where a core is one slot. It
        shows how many slots are in use. Other weights are set by operators and carry no load information.
        """
        if worker is None:
            self.nominal_weight[kind] = max(weight, self.nominal_weight.get(kind, 0.0))
        elif weight > 0.0:
            nominal = self.nominal_weight[worker.kind] = max(weight, self.nominal_weight.get(worker.kind, 0.0))
            self._observe_others(worker, self.slots[worker.kind] * (nominal / weight - 1.0), now_ms)

    # Where workers report neither free slots nor starts, their slots are inferred from slowdown: a worker that is full
    # by the estimate and no slower has more slots; one that slows down or rejects jobs has fewer. Reported starts show
    # it directly.

    def _infer_slots(self, worker: WorkerRecord, slots: float) -> None:
        kind = worker.kind
        baseline = self.baseline_slowness.setdefault(kind, worker.slowness)
        self.baseline_slowness[kind] += (BASELINE_DOWN if worker.slowness < baseline else BASELINE_UP) * (
            worker.slowness - baseline
        )
        slower = worker.slowness - self.baseline_slowness[kind]
        if slower > CONTENDED_SLOWDOWN:
            self.slots[kind] = max(1.0, self.slots[kind] - SLOT_SHRINKAGE)
        elif slower < UNCONTENDED_SLOWDOWN and self._is_full(worker, slots):
            self.slots[kind] += SLOT_GROWTH / self.slots[kind]

    def _is_full(self, worker: WorkerRecord, more: float) -> bool:
        """Whether `more` slots fill this node's share of a worker; without a share this is unknown, so False."""
        return worker.own_share > 0.0 and worker.slots_in_use + more >= worker.own_share * self.slots[worker.kind] - 1.0

    def adjust_slots_on_start(self, worker: WorkerRecord, prompt: bool, free_slots_field: str) -> None:
        """Adjust slots when a job has started: more after a prompt start on a full worker, fewer after a wait."""
        if not free_slots_field and worker.warmth == 1.0:
            if not prompt:
                self.shrink_slots(worker, free_slots_field)
            elif self._is_full(worker, 0.0):
                self.slots[worker.kind] += SLOT_GROWTH / self.slots[worker.kind]

    def shrink_slots(self, worker: WorkerRecord, free_slots_field: str) -> None:
        """Lower the slots of a worker that rejected a job or made it wait, unless reports state free slots."""
        if not free_slots_field:
            self.slots[worker.kind] = max(1.0, self.slots[worker.kind] - SLOT_SHRINKAGE)

    def _observe_others(self, worker: WorkerRecord, used: float, now_ms: float) -> None:
        worker.seen_ms = now_ms
        worker.others += OTHERS_WEIGHT * (used - worker.delayed_slots_in_use - worker.others)
