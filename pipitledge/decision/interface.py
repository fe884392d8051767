"""Interface of the dispatch policy: its settings, events and actions, and the records that it keeps.

All times are milliseconds on the caller's monotonic clock. Job classes, tenants, zones and machine kinds are identified
by their index in the settings, workers and jobs by opaque strings.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import NamedTuple, Protocol


class Repeat(Enum):
    """Whether a job of a class may be repeated once it may have run.

    SAFE: freely. KEYED: within the scope and time window in which workers drop duplicates by the job's key. UNSAFE: not
    at all.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which workers share the deduplication of a keyed job."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt or a probe ended.

    FULL, CONNECT_FAILED and NOT_SENT prove that an attempt never ran. NOT_SENT: the request did not leave this node
    completely, for example because it was withdrawn.
    """

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


SAVED_BUDGET_SHARE = 0.1  # share of a cold worker's budget per window that may be saved up beyond the next job
FIRST_JOB_TOKEN = 2  # timer tokens from here on belong to JobTimers
NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT})


class State(Enum):
    """State of a worker in the worker list."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class Listing(Enum):
    """Kind of an update of the worker list.

    FULL and CACHED replace the whole list, DELTA changes the rows it names, FAILED reports an unsuccessful request.
    """

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


# ---------------------------------------------------------------- settings


@dataclass(frozen=True, slots=True)
class JobClass:
    """One class of jobs. A job is in time if it ends within objective_ms + stretch * its own work.

    The repeat rule (repeat, scope, window_ms) in force when a job arrives applies to it until its final answer, even if
    new settings change the class meanwhile. Changes apply to jobs that arrive later.
    """

    deadline_ms: float = 10_000.0
    objective_ms: float = 1_000.0
    stretch: float = 0.0
    late_share: float = 0.0  # share of its value that a job earns when it is late
    worth: float = 1.0  # value of a job served in time
    repeat: Repeat = Repeat.UNSAFE
    scope: Scope = Scope.CELL
    window_ms: float = 0.0
    kind: int = -1  # machine kind that can run it; -1: any
    priority: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant: its share of the service, and the jobs per second that count as within its quota (0: unknown)."""

    share: float = 1.0
    quota_per_s: float = 0.0


class ObjectiveWeights(NamedTuple):
    """Weights of the operator's objective: total value, worst-served class, worst-served tenant."""

    total: float = 1.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


TOTAL_VALUE_ONLY = ObjectiveWeights()


@dataclass(frozen=True, slots=True)
class Settings:
    """The operator's settings. Defaults are the cautious choice for absent keys."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = (Tenant(),)
    kinds: int = 1
    zones: int = 1
    zone: int = 0
    instances: int = 1  # scheduler nodes in all
    number: int = 0  # index of this node among them
    must_subscribe: bool = False  # the worker list comes only on request
    probes: bool = False
    cancel: bool = False
    second_copies: bool = False
    max_attempts: int = 1
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    over_share_worth: float = 1.0
    value_by_work: bool = False
    objective: ObjectiveWeights = TOTAL_VALUE_ONLY
    cross_zone_price: float = 0.0  # loss of the objective if every first try crossed zones once
    probe_price: float = 0.0  # loss of the objective if every first try cost one probe
    live_weights: bool = False  # weights in the list are sizes divided by (1 + requests in progress per core)
    report_fields: tuple[str, ...] = ()
    reports_with_answers: bool = False
    free_slots_field: str = ""  # field of load reports that holds the free slots; empty: none
    reports_memory: bool = False
    reports_starts: bool = False
    progress_ms: float = 0.0  # interval of progress reports; 0: none
    starts_in_order: bool = False  # workers start jobs in order of arrival and report starts; attempts can be cancelled
    resolution_ms: float = 1.0
    ask_every_ms: float = 10_000.0
    drain_grace_ms: float = 300.0
    cold_share: float = 0.1
    cold_ms: float = 20_000.0
    overload_factor: float = 2.0
    fall_ms: float = 1_000.0

    def __post_init__(self) -> None:
        """Reject values that no deployment can have; the error names the field."""
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for name in ("kinds", "zones", "instances", "max_attempts"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be at least 1")
        for name in (
            "cold_share",
            "cold_ms",
            "overload_factor",
            "fall_ms",
            "resolution_ms",
            "progress_ms",
            "max_retry_after_ms",
            "over_share_worth",
            "ask_every_ms",
            "drain_grace_ms",
            "cross_zone_price",
            "probe_price",
        ):
            if not getattr(self, name) >= 0:
                raise ValueError(f"{name}: must not be negative")
        if not 0 <= self.number < self.instances:
            raise ValueError("number: must be from 0 to instances - 1")
        for index, job_class in enumerate(self.classes):
            for name in ("deadline_ms", "objective_ms", "stretch", "late_share", "worth", "window_ms"):
                if not getattr(job_class, name) >= 0:
                    raise ValueError(f"classes[{index}].{name}: must not be negative")
            if job_class.kind >= self.kinds:
                raise ValueError(f"classes[{index}].kind: no such kind")
        for index, tenant in enumerate(self.tenants):
            if not (tenant.share >= 0 and tenant.quota_per_s >= 0):
                raise ValueError(f"tenants[{index}]: share and quota must not be negative")

    def tenant_shares(self) -> list[float]:
        """Return the tenants' shares, normalised to a sum of 1."""
        total = sum(tenant.share for tenant in self.tenants) or 1.0
        return [tenant.share / total for tenant in self.tenants]

    def initial_estimates(self, slots: float) -> tuple[list[float], ...]:
        """Return the initial values of the lists that are kept by index.

        By tenant: tokens in flight and slots running. By class: running time and its ratio to the hint. By kind: slots
        of a worker and slowness. `slots` is used where reported starts or free slots correct a wrong first guess.
        """
        idle, slots = [0.0] * len(self.tenants), slots if self.reports_starts or self.free_slots_field else 1.0
        return (
            idle,
            idle,
            [job_class.objective_ms for job_class in self.classes],
            [1.0] * len(self.classes),
            [slots] * self.kinds,
            [0.0] * self.kinds,
        )

    @property
    def has_safe_class(self) -> bool:
        """Whether any class has Repeat.SAFE."""
        return any(job_class.repeat is Repeat.SAFE for job_class in self.classes)

    @property
    def observes_other_load(self) -> bool:
        """Whether the load from other nodes is known from worker weights or probes, and from nothing better.

        Such observations are seconds old, and with many workers and nodes most workers have none, so that all nodes
        would fill the same slots. Where workers report starts, each start shows at once whether a slot was free.
        """
        return (self.live_weights or self.needs_probes) and not self.reports_starts

    @property
    def needs_probes(self) -> bool:
        """Whether probes are allowed and the only source of free slots."""
        return self.probes and self.free_slots_field != "" and not self.reports_with_answers


# ---------------------------------------------------------------- plans


class AttemptStatistics(Protocol):
    """Statistics of a class that its attempt plan uses: the retry budget and the response times."""

    def arrived(self, now_ms: float) -> None:
        """Count the first attempt of a job."""

    def spend(self, now_ms: float) -> bool:
        """Take one further attempt from the retry budget; False if none is left."""

    def served(self, took_ms: float) -> None:
        """Record the response time of a successful attempt."""

    def percentile_ms(self, share: float) -> float:
        """Return the response time within which this share of attempts succeeded; infinite until enough are known."""


@dataclass(frozen=True, slots=True, eq=False)
class Plan:
    """The operator's limits on the attempts of a request. The default allows all that the class's rules allow."""

    attempts: int = 1 << 30  # most attempts in all, copies included
    retry_on: frozenset[Result] = frozenset(Result)  # a further attempt needs all earlier results to be in here
    attempt_ms: float = 0.0  # timeout of one attempt; 0: none
    total_ms: float = math.inf  # from arrival to the answer
    hold_ms: float = math.inf  # longest time in the pending queue, for each stay
    backoff_ms: tuple[float, float] = (0.0, 0.0)  # range of the delay between the end of an attempt and the next one
    copy_ms: float = math.inf  # an attempt that is outstanding for this long may get a second copy
    copy_share: float = 0.0  # if above 0: use this percentile of the response times instead of copy_ms
    learned: AttemptStatistics | None = None

    def draw_backoff_ms(self, random: Random) -> float:
        """Draw a random delay from the backoff range."""
        least, most = self.backoff_ms
        return random.uniform(least, most) if most > 0.0 else 0.0

    def copy_after_ms(self) -> float:
        """Return how long an attempt is outstanding before it gets a second copy; infinite: never."""
        if self.copy_share and self.learned is not None:
            return self.learned.percentile_ms(self.copy_share)
        return self.copy_ms


UNLIMITED = Plan()


# ---------------------------------------------------------------- events


class Worker(NamedTuple):
    """One row of the worker list."""

    id: str
    state: State = State.SERVING
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_ms: float = 0.0


class WorkersChanged(NamedTuple):
    """An update of the worker list; FAILED carries no rows and leaves the list unchanged."""

    listing: Listing
    workers: tuple[Worker, ...] = ()


class JobArrived(NamedTuple):
    """A job arrived; it needs exactly one final answer within patience_ms."""

    job: str
    job_class: int = 0
    tenant: int = 0
    patience_ms: float = 0.0
    slots: float = 1.0
    memory: float = 0.0
    hint_ms: float = 0.0  # the client's estimate of the running time; 0: none
    key: str = ""
    is_retry: bool = False
    plan: Plan = UNLIMITED

    @property
    def time_limit_ms(self) -> float:
        """How long the job may take: the client's timeout, or less if its plan says so."""
        return min(self.patience_ms, self.plan.total_ms)


class AttemptEnded(NamedTuple):
    """The result of an attempt, reported once; `closed` means that the job has its final answer."""

    job: str
    attempt: int
    worker: str
    result: Result
    elapsed_ms: float = 0.0
    closed: bool = False
    report: Mapping[str, float] | None = None


class AttemptNote(NamedTuple):
    """An attempt has started (fraction 0), or has done this fraction of its work."""

    job: str
    attempt: int
    worker: str
    fraction: float = 0.0


class ClientGone(NamedTuple):
    """The client disconnected; the job needs no answer any more."""

    job: str


class ProbeEnded(NamedTuple):
    """The result of one probe."""

    worker: str
    result: Result
    elapsed_ms: float = 0.0
    report: Mapping[str, float] | None = None


class TimerFired(NamedTuple):
    """A timer set earlier is due."""

    token: int


class SettingsChanged(NamedTuple):
    """New settings apply from now on. Known classes, tenants, zones and kinds keep their index."""

    settings: Settings


class Inherited(NamedTuple):
    """Estimates taken over from another process of this scheduler; the worker list has been received before."""

    by_number: tuple[list[float], list[float], list[float], list[float]]  # run_ms, per_hint, slots, kind_slowness
    figures: tuple[float, float, float]  # spill, fleet_failures, dead
    workers: Mapping[str, Mapping[str, float]]


Event = (
    WorkersChanged
    | JobArrived
    | AttemptEnded
    | AttemptNote
    | ClientGone
    | ProbeEnded
    | TimerFired
    | SettingsChanged
    | Inherited
)


# ---------------------------------------------------------------- actions


class Send(NamedTuple):
    """Start an attempt; the attempts of a job are numbered from 0 in the order in which they are sent."""

    job: str
    worker: str
    timeout_ms: float = 0.0


class Cancel(NamedTuple):
    """Cancel one attempt and stop waiting for it."""

    job: str
    attempt: int


class Withdraw(NamedTuple):
    """Withdraw one attempt if its request has not been sent completely; otherwise no effect."""

    job: str
    attempt: int


class Refuse(NamedTuple):
    """Final answer: the job was not done, and a retry is harmless."""

    job: str
    retry_after_ms: float = 0.0


class Fail(NamedTuple):
    """Final answer: the job failed, and it may or may not have run."""

    job: str


class Probe(NamedTuple):
    """Ask a worker for a load report."""

    worker: str


class Subscribe(NamedTuple):
    """Request the worker list, and its changes from then on."""


class SetTimer(NamedTuple):
    """Request a TimerFired with this token.

    A timer that names a job need not fire once the job is finished or another timer is set for it.
    """

    delay_ms: float
    token: int
    job: str = ""


class Log(NamedTuple):
    """One line for the operators."""

    text: str


Action = Send | Cancel | Withdraw | Refuse | Fail | Probe | Subscribe | SetTimer | Log


# ---------------------------------------------------------------- records of the policy


@dataclass(slots=True, eq=False)
class WorkerRecord:
    """State that one scheduler keeps about one worker."""

    row: Worker
    kind: int
    zone: int
    serving: bool
    slowness: float = 0.0  # natural logarithm of actual over expected running time
    warmth: float = 1.0  # least share of its full capacity that it has by now
    own_share: float = 0.0  # share of the worker that this node owns
    pool_index: int = -1  # its index in the Pool of workers with free slots in the own share; -1: not in it
    slots_in_use: float = 0.0  # slots and memory used by this node's attempts
    memory_in_use: float = 0.0
    latest_started_send_ms: float = -math.inf  # latest send time of the attempts that have started there
    others: float = 0.0  # slots that other nodes use there, estimated from weights or reports
    seen_ms: float = -math.inf  # when `others` was last observed
    delayed_slots_in_use: float = 0.0  # slots_in_use at about the time that an observation arriving now describes
    delayed_updated_ms: float = 0.0  # when delayed_slots_in_use was last updated; 0: never
    probed_ms: float = -math.inf  # when the last probe was sent
    free: float = 0.0  # free slots in the last report, less slots sent since
    queued: float = 0.0  # jobs waiting there in the last report
    reported_ms: float = -math.inf
    full_until: float = -math.inf
    ejected_until: float = -math.inf
    failures: float = 0.0  # recent failure rate, from 0 to 1
    trial: bool = False  # on probation after an ejection: one job at a time
    trials_failed: int = 0
    cold_tokens: float = 0.0  # slot-ms that may be sent while it is cold
    cold_ms: float = -math.inf  # when cold_tokens was last updated
    tried: bool = False  # whether a job was sent to it since it started

    LEARNED_FIELDS = (
        "slowness",
        "free",
        "queued",
        "reported_ms",
        "full_until",
        "failures",
        "cold_tokens",
        "cold_ms",
        "tried",
        "others",
        "seen_ms",
    )

    def speed(self) -> float:
        """Return the speed relative to the expected running times: below 1 for a slow worker."""
        return math.exp(-self.slowness)

    def restore(self, learned: Mapping[str, float]) -> None:
        """Apply the estimates that another process has learned about this worker since it started."""
        for name in self.LEARNED_FIELDS:
            if name in learned:
                setattr(self, name, type(getattr(self, name))(learned[name]))
        self.delayed_updated_ms = 0.0  # the estimates decay from now on

    def accrue_cold_tokens(self, rate: float, window_ms: float, cost: float, random: Random, now_ms: float) -> float:
        """Accrue the cold budget up to now, at `rate` slot-ms per millisecond, and return it."""
        if self.cold_ms < 0.0:  # a random start: nodes that accrue in step would all send at the same moment
            self.cold_tokens, self.cold_ms = -random.random() * cost, self.row.started_ms
        self.cold_tokens += rate * (now_ms - self.cold_ms)
        self.cold_ms = now_ms
        # Unlimited savings would allow a burst.
        self.cold_tokens = min(self.cold_tokens, cost + SAVED_BUDGET_SHARE * rate * window_ms)
        return self.cold_tokens

    def add_usage(self, slots: float, memory: float) -> None:
        """Add the slots and memory of an attempt, or remove them with negative values."""
        self.tried |= slots > 0
        self.slots_in_use += slots
        self.memory_in_use += memory
        self.free -= max(0.0, slots)  # slots of ended attempts show in the next report


class Pool(list[WorkerRecord]):
    """A set of workers kept as a list, with sampling, insertion and removal in constant time."""

    def add(self, worker: WorkerRecord) -> None:
        """Add a worker; no effect if it is in already."""
        if worker.pool_index < 0:
            worker.pool_index = len(self)
            self.append(worker)

    def discard(self, worker: WorkerRecord) -> None:
        """Remove a worker if it is in; the last one moves to its index."""
        if worker.pool_index >= 0:
            last = self.pop()
            if last is not worker:
                self[worker.pool_index], last.pool_index = last, worker.pool_index
            worker.pool_index = -1


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """One attempt of a job: sent once to one worker."""

    worker: WorkerRecord
    sent_ms: float
    spilled: bool  # sent outside the own share
    last_heard_ms: float  # time of the last sign of life
    started_ms: float = 0.0
    progress: float = 0.0  # fraction done by the last progress report
    overdue: bool = False
    released: float = 0.0  # share of its slots that counts as free, as it is overdue and may be dead
    cancelled: bool = False
    result: Result | None = None


@dataclass(slots=True, eq=False)
class JobRecord:
    """One job, from its arrival until its last attempt has ended."""

    event: JobArrived
    cls: JobClass
    tenant: int
    size_ms: float  # expected running time
    slack_ms: float  # time it may wait and still be in time
    first_request_ms: float  # when the client first sent it
    latest_start_ms: float  # a later start gains nothing
    attempt_limit: int = 1 << 30  # attempts that the settings allowed when it arrived
    attempts: list[AttemptRecord] = field(default_factory=list)
    outstanding: int = 0  # attempts without a result
    released_slots: float = 0.0  # tokens returned early, as an attempt is overdue
    open: bool = True  # it has no final answer yet
    pending: bool = False  # it is in the pending queue
    pending_until: float = math.inf  # when it leaves the pending queue unserved

    def may_send(self, max_attempts: int, at_ms: float) -> bool:
        """Whether its plan allows one more attempt at that time, and that can still gain something.

        If so, an attempt after the first is taken from the class's retry budget.
        """
        plan = self.event.plan
        return (
            len(self.attempts) < min(max_attempts, self.attempt_limit, plan.attempts)
            and at_ms < self.latest_start_ms
            and all(a.result in (None, Result.NOT_SENT) or a.result in plan.retry_on for a in self.attempts)
            and (plan.learned is None or not self.attempts or plan.learned.spend(at_ms))
        )

    def may_copy(self, settings: Settings, at_ms: float) -> bool:
        """Whether settings and plan allow a second copy beside the outstanding attempt."""
        return settings.second_copies and self.may_send(settings.max_attempts, at_ms)

    def runs_on(self, worker: WorkerRecord) -> bool:
        """Whether an attempt is outstanding at this worker; a second copy must go to another one."""
        return self.outstanding > 0 and any(a.worker is worker and a.result is None for a in self.attempts)

    def possible_run(self) -> AttemptRecord | None:
        """Return the first attempt that may have run or is still outstanding."""
        return next((attempt for attempt in self.attempts if attempt.result not in NEVER_RAN), None)


class Jobs(dict[str, JobRecord]):
    """The jobs that are open or still have outstanding attempts, by id."""

    def find_attempt(self, event: AttemptEnded | AttemptNote) -> tuple[JobRecord, AttemptRecord] | None:
        """Return the records that an event names; None if it is late, repeated or for an unknown job."""
        job = self.get(event.job)
        if job is None or not 0 <= event.attempt < len(job.attempts):
            return None
        attempt = job.attempts[event.attempt]
        return None if attempt.result is not None else (job, attempt)

    def withdrawals(self) -> list[Withdraw]:
        """Return Withdraw actions for attempts at workers that no longer serve; those sent completely go on."""
        return [
            Withdraw(job.event.job, number) for job, number, attempt in self.outstanding() if not attempt.worker.serving
        ]

    def outstanding(self) -> Iterator[tuple[JobRecord, int, AttemptRecord]]:
        """Yield all attempts without a result, with their jobs and numbers."""
        for job in self.values():
            for number, attempt in enumerate(job.attempts if job.outstanding else ()):
                if attempt.result is None:
                    yield job, number, attempt


class JobTimers(dict[int, tuple[JobRecord, tuple[int, int]]]):
    """Jobs with a timer: for the end of a backoff, or for the second copy of an attempt.

    Timers can't be cancelled. A timer is valid only if since it was set no attempt of its job was sent or ended.
    Otherwise the timer of a copy could end a later backoff early, or copy a later attempt.
    """

    def schedule(self, job: JobRecord, delay_ms: float) -> SetTimer:
        """Set a timer for a job and return the action that requests it."""
        token = FIRST_JOB_TOKEN + self.count
        self.count += 1
        if not self.count % 256:  # timers of finished jobs need not fire
            for stale in [known for known, (of_job, _) in self.items() if not of_job.open]:
                del self[stale]
        self[token] = job, (len(job.attempts), job.outstanding)
        return SetTimer(delay_ms, token, job.event.job)

    def take(self, token: int) -> JobRecord | None:
        """Remove a timer and return its job; None if the job is finished or an attempt was sent or ended since."""
        job, state = self.pop(token, (None, (0, 0)))
        return job if job is not None and job.open and (len(job.attempts), job.outstanding) == state else None

    count = 0


class PendingJobs(dict[tuple[int, int], deque[JobRecord]]):
    """Jobs that wait for free slots: one queue for each tenant and class with pending jobs."""

    def enqueue(self, job: JobRecord, at_head: bool, now_ms: float) -> float:
        """Add a job at the head or the end of its queue, and return when it leaves the queue unserved."""
        job.pending_until = min(job.latest_start_ms, now_ms + job.event.plan.hold_ms)
        queue = self.setdefault((job.tenant, job.event.job_class), deque())
        (queue.appendleft if at_head else queue.append)(job)
        job.pending = True
        return job.pending_until

    def remove(self, job: JobRecord) -> None:
        """Remove a job if it is pending."""
        if job.pending:
            key = (job.tenant, job.event.job_class)
            self[key].remove(job)
            job.pending = False
            if not self[key]:
                del self[key]

    def jobs(self) -> list[JobRecord]:
        """Return all pending jobs."""
        return [job for queue in self.values() for job in queue]
