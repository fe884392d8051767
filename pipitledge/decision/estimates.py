"""What a scheduler believes of workers and classes, learned from what it is told. No I/O, no decisions.

By class: the mean running time, and that over the hint. By kind of machine: slots of a worker, and its pace. By worker:
its own pace, and the slots that others hold there. Each figure moves by a fixed weight towards each new sight, so it
forgets in so many sights, whatever the length of jobs.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from pipitledge.decision.interface import AttemptRecord, JobArrived, JobRecord, Settings, WorkerRecord

CLASS_WEIGHT, SLOWNESS_WEIGHT = 0.05, 0.1  # weight of one job in class means (the last 20), in a worker's slowness (10)
MAX_LOG_SLOWNESS = 3.0  # of one sight, as a logarithm
SETTLED_MS, SLOTS_WEIGHT = 20.0, 0.1  # a start or a wait is no matter of messages crossing; weight of a wait
PROMPT_START_SHARE = 0.1  # part of its class's running time within which a job starts that found room
OTHERS_WEIGHT, OBSERVATION_AGE_MS = (
    0.3,
    1_000.0,
)  # weight of one sight of what others hold; about how old it is when it comes
SLOWNESS_DECAY_MS = 8_000.0  # in which the slowness of an idle worker is forgotten for the most part
SLOT_GROWTH, SLOT_SHRINKAGE = 1.0, 0.05  # slots of a worker at a full round of jobs; a sign that it has fewer
UNCONTENDED_SLOWDOWN, CONTENDED_SLOWDOWN = (
    0.2,
    0.35,
)  # so little slower than at its best a worker may have more slots, so much it is crowded
BASELINE_DOWN, BASELINE_UP = 0.2, 0.002  # how its best moves
SLOWNESS_TOLERANCE = 0.5  # so much slower than its kind, as a logarithm, a worker is before it counts for less


class Estimates:
    """The figures, and how each thing told changes them."""

    def __init__(self) -> None:
        """Know nothing; the lists are filled as settings name classes and kinds."""
        self.run_ms, self.per_hint = list[float](), list[float]()  # by class: running time, that over hint
        self.slots, self.kind_slowness = list[float](), list[float]()  # by kind: slots of a worker, its pace
        self.baseline_slowness: dict[int, float] = {}  # by kind: about the least slowness, where slots have to be felt
        self.nominal_weight: dict[int, float] = {}  # by kind: the largest weight that was told

    def by_index(self) -> tuple[list[float], list[float], list[float], list[float]]:
        """The lists themselves."""
        return self.run_ms, self.per_hint, self.slots, self.kind_slowness

    # ---- classes

    def size_ms(self, event: JobArrived) -> float:
        """How long a job runs at the yardstick's speed, as far as hint and class tell."""
        return max(1.0, event.hint_ms * self.per_hint[event.job_class] or self.run_ms[event.job_class])

    def job_record(self, event: JobArrived, now_ms: float, settings: Settings) -> JobRecord:
        """The record of a job that comes now: how long it runs, may wait, and is of use."""
        cls, size = settings.classes[event.job_class], self.size_ms(event)
        # On a client's own retry the aim runs from its first try.
        born = now_ms - (max(0.0, cls.deadline_ms - event.timeout_ms) if event.is_retry else 0.0)
        grows = max(0.0, cls.stretch - 1.0) * size
        wait, useful = cls.objective_ms + grows, born + cls.objective_ms + 1.5 * grows  # it may be a long one
        end = now_ms + event.time_limit_ms
        useful = min(max(useful, end - 1.5 * size if cls.late_share else 0.0), end - 4.0 * settings.resolution_ms)
        tenant = min(event.tenant, len(settings.tenants) - 1)
        return JobRecord(event, cls, tenant, size, wait, born, useful, settings.max_attempts)

    def record_served(self, job: JobRecord, attempt: AttemptRecord, now_ms: float, settings: Settings) -> None:
        """Learn from how long an attempt took that served."""
        worker, index = attempt.worker, job.event.job_class
        took = max(1.0, now_ms - (attempt.started_ms or attempt.sent_ms))
        pace = self._update_slowness(worker, took, job.size_ms)
        self.kind_slowness[worker.kind] += CLASS_WEIGHT / 5.0 * (pace - self.kind_slowness[worker.kind])
        self.run_ms[index] += CLASS_WEIGHT * (took - self.run_ms[index])
        if job.event.hint_ms > 0:
            self.per_hint[index] += CLASS_WEIGHT * (min(took / job.event.hint_ms, 10.0) - self.per_hint[index])
        if not settings.free_slots_field and not settings.reports_starts and worker.warmth == 1.0:
            self._infer_slots(worker, job.event.slots)

    def is_in_time(self, job: JobRecord, attempt: AttemptRecord, now_ms: float) -> bool:
        """Whether a job that ends now is in time. Its own work is told by the hint, or else by how long it ran."""
        ran = (now_ms - (attempt.started_ms or attempt.sent_ms)) * attempt.worker.speed()
        work = job.size_ms if job.event.hint_ms else ran
        return now_ms - job.first_request_ms <= job.cls.objective_ms + job.cls.stretch * work

    # ---- workers' pace

    def _update_slowness(self, worker: WorkerRecord, took_ms: float, size_ms: float) -> float:
        pace = max(-MAX_LOG_SLOWNESS, min(MAX_LOG_SLOWNESS, math.log(max(1.0, took_ms) / size_ms)))
        worker.slowness += SLOWNESS_WEIGHT * (pace - worker.slowness)
        return pace

    # Where starts are told, each job's end tells its worker's pace exactly. Where they are not, its wait is in the
    # figure, so the pace is taken from progress too, fades while nothing tells it, and lowers what a worker counts for.
    # With starts told the three together cost more than they gained: split+mass 0.65 of G with them, 0.73 without.

    def record_progress(
        self, job: JobRecord, attempt: AttemptRecord, fraction: float, now_ms: float, settings: Settings
    ) -> None:
        """Take an attempt's progress: between two notes it ran all along, and so tells its worker's pace early."""
        if not settings.reports_starts and 0.0 < attempt.progress < fraction and not attempt.overdue:
            self._update_slowness(
                attempt.worker, (now_ms - attempt.last_heard_ms) / (fraction - attempt.progress), job.size_ms
            )
        attempt.last_heard_ms, attempt.progress = now_ms, fraction

    def record_start(self, job: JobRecord, attempt: AttemptRecord, now_ms: float, settings: Settings) -> bool:
        """Take an attempt's start, and tell whether its worker had room as we thought: it started at once."""
        worker = attempt.worker
        attempt.started_ms, delay = now_ms, now_ms - attempt.sent_ms
        worker.latest_started_send_ms = max(worker.latest_started_send_ms, attempt.sent_ms)
        had_room = delay < PROMPT_START_SHARE * self.run_ms[job.event.job_class]
        self.adjust_slots_on_start(worker, had_room, settings.free_slots_field)
        if attempt.spilled:  # it tells more of room there than a report: it is of now
            worker.free = max(1.0, worker.free) + 1.0 if had_room else 0.0
            worker.reported_ms = now_ms
        return had_room

    def advance_time(self, worker: WorkerRecord, now_ms: float, settings: Settings) -> None:
        """Let time pass: a worker without a job of ours tells nothing, and is taken for its kind again, slowly."""
        passed, worker.delayed_updated_ms = now_ms - (worker.delayed_updated_ms or now_ms), now_ms
        worker.delayed_slots_in_use += (1.0 - math.exp(-passed / OBSERVATION_AGE_MS)) * (
            worker.slots_in_use - worker.delayed_slots_in_use
        )
        if not worker.slots_in_use and not settings.reports_starts:
            typical = self.kind_slowness[worker.kind]
            worker.slowness += (1.0 - math.exp(-passed / SLOWNESS_DECAY_MS)) * (typical - worker.slowness)

    def effective_slots(self, worker: WorkerRecord, settings: Settings) -> float:
        """Slots of a worker, less where it is cold or much slower than its kind."""
        slower = (
            0.0 if settings.reports_starts else worker.slowness - self.kind_slowness[worker.kind] - SLOWNESS_TOLERANCE
        )
        return self.slots[worker.kind] * worker.warmth * math.exp(-max(0.0, slower))

    # ---- slots, and what others hold

    def learn_slots(
        self, out: Iterable[tuple[JobRecord, int, AttemptRecord]], now_ms: float, settings: Settings
    ) -> None:
        """Learn slots from what runs and what waits at the workers, whatever their reports show free.

        A worker under load never reports many free. So many as run there it has; where a job waits, it has
        fewer than that needs, but for other nodes' jobs. One that was overtaken waits for no slots.
        """
        runs, waits = dict[WorkerRecord, float](), dict[WorkerRecord, float]()
        for job, _, attempt in out:
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
        """Take a report, where there is one that shows free slots."""
        if report and (free := report.get(settings.free_slots_field)) is not None:
            worker.free, worker.queued, worker.reported_ms = free, report.get("queued", 0.0), now_ms
            self.apply_free_slots(worker, free, now_ms, settings)

    def apply_free_slots(self, worker: WorkerRecord, free: float, now_ms: float, settings: Settings) -> None:
        """Take the free slots that a report shows: so many a worker has at the least, and the rest is held.

        Where we are the only node, what is free and what is ours are all that it has; `look` knows it better.
        """
        if settings.instances == 1 and not settings.reports_starts and free > 0.5 and worker.warmth == 1.0:
            self.slots[worker.kind] += SLOTS_WEIGHT * min(
                0.0, max(1.0, free + worker.delayed_slots_in_use) - self.slots[worker.kind]
            )
        slots = self.slots[worker.kind] = max(self.slots[worker.kind], float(round(free * 0.95)))  # it is noisy
        # One without a free slot holds all that it has, and maybe more that wait there.
        held = slots - free if free > 0.5 else max(slots * worker.warmth, worker.slots_in_use + worker.others)
        self._observe_others(worker, held, now_ms)

    def apply_weight(self, worker: WorkerRecord | None, weight: float, now_ms: float, kind: int = 0) -> None:
        """Take a weight: of a worker that is listed anew the size of its kind, else its size by what it holds.

        A live weight is the size over 1 + requests held for each core; a core is a slot for jobs. Others change
        with the operators' mind or not at all, and tell nothing of what is held.
        """
        if worker is None:
            self.nominal_weight[kind] = max(weight, self.nominal_weight.get(kind, 0.0))
        elif weight > 0.0:
            nominal = self.nominal_weight[worker.kind] = max(weight, self.nominal_weight.get(worker.kind, 0.0))
            self._observe_others(worker, self.slots[worker.kind] * (nominal / weight - 1.0), now_ms)

    # Where neither free slots nor starts are told, a worker's slots are felt: full, it takes jobs and runs them no
    # slower, it has more; it slows down or turns jobs away, it has fewer. With starts, these tell it at once.

    def _infer_slots(self, worker: WorkerRecord, slots: float) -> None:
        kind = worker.kind
        best = self.baseline_slowness.setdefault(kind, worker.slowness)
        self.baseline_slowness[kind] += (BASELINE_DOWN if worker.slowness < best else BASELINE_UP) * (
            worker.slowness - best
        )
        slower = worker.slowness - self.baseline_slowness[kind]
        if slower > CONTENDED_SLOWDOWN:
            self.slots[kind] = max(1.0, self.slots[kind] - SLOT_SHRINKAGE)
        elif slower < UNCONTENDED_SLOWDOWN and self._is_full(worker, slots):
            self.slots[kind] += SLOT_GROWTH / self.slots[kind]

    def _is_full(self, worker: WorkerRecord, more: float) -> bool:
        """Whether it held, with so many more, all that we believe it has; of one that is not ours we can't know."""
        return worker.own_share > 0.0 and worker.slots_in_use + more >= worker.own_share * self.slots[worker.kind] - 1.0

    def adjust_slots_on_start(self, worker: WorkerRecord, at_once: bool, free_slots_field: str) -> None:
        """A job started: at once in a worker that we believe full, or after a wait. `told`: what tells free slots."""
        if not free_slots_field and worker.warmth == 1.0:
            if not at_once:
                self.shrink_slots(worker, free_slots_field)
            elif self._is_full(worker, 0.0):
                self.slots[worker.kind] += SLOT_GROWTH / self.slots[worker.kind]

    def shrink_slots(self, worker: WorkerRecord, free_slots_field: str) -> None:
        """A worker turned a job away, or let it wait: it has no more slots than we believe, where none are told."""
        if not free_slots_field:
            self.slots[worker.kind] = max(1.0, self.slots[worker.kind] - SLOT_SHRINKAGE)

    def _observe_others(self, worker: WorkerRecord, held: float, now_ms: float) -> None:
        worker.seen_ms = now_ms
        worker.others += OTHERS_WEIGHT * (held - worker.delayed_slots_in_use - worker.others)
