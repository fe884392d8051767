"""Settings, events and actions of the dispatch policy: everything that crosses its border.

All times are milliseconds on the caller's monotonic clock. Classes, tenants, zones and machine kinds
are named by their index in the settings; workers and jobs by opaque strings.
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
    """How often a job of a class may take effect."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which workers drop the repeats of a keyed job."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt or a probe ended. FULL, CONNECT_FAILED and MOOT prove that it never ran."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


SAVED_BUDGET_SHARE = 0.1  # part of a cold worker's budget of a window that may be saved beyond the next job
FIRST_JOB_TOKEN = 2  # timer tokens from here on are those of Later
NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT})


class State(Enum):
    """What the list says of a worker."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class Listing(Enum):
    """What kind of list event this is."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


# ---------------------------------------------------------------- settings


@dataclass(frozen=True, slots=True)
class JobClass:
    """One class of job. A job is in time within objective + stretch times its own work.

    Its effect (repeat, scope, window) binds a job up to its final answer as it was when the job came, also where the
    settings give the class another one meanwhile: that holds for jobs that come from then on.
    """

    deadline_ms: float = 10_000.0
    objective_ms: float = 1_000.0
    stretch: float = 0.0
    late_share: float = 0.0
    worth: float = 1.0
    repeat: Repeat = Repeat.UNSAFE
    scope: Scope = Scope.CELL
    window_ms: float = 0.0
    kind: int = -1
    priority: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant: its share of the service, and the jobs a second that count as within it (0: unknown)."""

    share: float = 1.0
    quota_per_s: float = 0.0


class ObjectiveWeights(NamedTuple):
    """How the operator mixes the parts of a result: of the whole worth, the worst class, the worst tenant."""

    total: float = 1.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


TOTAL_VALUE_ONLY = ObjectiveWeights()


@dataclass(frozen=True, slots=True)
class Settings:
    """What the operator states at start. Defaults are the careful choice where a key is absent."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = (Tenant(),)
    kinds: int = 1
    zones: int = 1
    zone: int = 0
    instances: int = 1
    number: int = 0
    must_subscribe: bool = False
    probes: bool = False
    cancel: bool = False
    second_copies: bool = False
    max_attempts: int = 1
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    over_share_worth: float = 1.0
    value_by_work: bool = False
    objective: ObjectiveWeights = TOTAL_VALUE_ONLY
    cross_zone_price: float = 0.0  # points of the goal if every first try crossed zones once
    probe_price: float = 0.0  # if every first try cost one probe
    live_weights: bool = False  # weights in the list are sizes divided by 1 + requests held for each core
    report_fields: tuple[str, ...] = ()
    reports_with_answers: bool = False
    free_slots_field: str = ""
    reports_memory: bool = False
    reports_starts: bool = False
    progress_ms: float = 0.0
    starts_in_order: bool = (
        False  # workers start jobs in the order in which they come, and tell; attempts can be called off
    )
    resolution_ms: float = 1.0
    ask_every_ms: float = 10_000.0
    drain_grace_ms: float = 300.0
    cold_share: float = 0.1
    cold_ms: float = 20_000.0
    overload_factor: float = 2.0
    fall_ms: float = 1_000.0

    def __post_init__(self) -> None:
        """Refuse what no deployment can mean, naming the field."""
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
        """The tenants' shares of one whole."""
        whole = sum(tenant.share for tenant in self.tenants) or 1.0
        return [tenant.share / whole for tenant in self.tenants]

    def initial_estimates(self, slots: float) -> tuple[list[float], ...]:
        """Where what is learned or counted by number begins: tokens in flight and running by tenant; running time
        and that over the hint by class; slots of a worker (where starts or free slots are told, these correct
        what begins wrong) and slowness by kind."""
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
        """Whether any class may be repeated freely."""
        return any(job_class.repeat is Repeat.SAFE for job_class in self.classes)

    @property
    def observes_other_load(self) -> bool:
        """Whether what other nodes have at a worker is shown by its weight or by probes, and by nothing better.

        Such sights are seconds old, and of many workers among many nodes there is none: all would fill the same slots.
        Where starts are told, each tells at once whether its worker had room.
        """
        return (self.live_weights or self.needs_probes) and not self.reports_starts

    @property
    def needs_probes(self) -> bool:
        """Whether probes are allowed and the only way to hear of free slots."""
        return self.probes and self.free_slots_field != "" and not self.reports_with_answers


# ---------------------------------------------------------------- plans


class AttemptStatistics(Protocol):
    """What a class's plan draws on that changes as jobs run: its retry budget and its times to an answer."""

    def arrived(self, now_ms: float) -> None:
        """Count a first try."""

    def spend(self, now_ms: float) -> bool:
        """Take one further attempt from the retry budget; False if none is left."""

    def served(self, took_ms: float) -> None:
        """Note how long an attempt took that served."""

    def percentile_ms(self, share: float) -> float:
        """The time in which this share of attempts served; infinite until enough are known."""


@dataclass(frozen=True, slots=True, eq=False)
class Plan:
    """What an operator allows for a request's attempts. The default allows all that the class's rules do."""

    attempts: int = 1 << 30  # sends in all, copies included
    retry_on: frozenset[Result] = frozenset(Result)  # it goes on while all that ended did so in one of these
    attempt_ms: float = 0.0  # time-out of an attempt; 0: none of its own
    total_ms: float = math.inf  # from arrival to the answer
    hold_ms: float = math.inf  # longest wait for room, each time it waits
    backoff_ms: tuple[float, float] = (0.0, 0.0)  # from one's end to the next; a range
    copy_ms: float = math.inf  # an attempt out for so long may get a second copy
    copy_share: float = 0.0  # the same, at the time in which this share of attempts served; 0: not by it
    learned: AttemptStatistics | None = None

    def draw_backoff_ms(self, random: Random) -> float:
        """Draw a back-off."""
        least, most = self.backoff_ms
        return random.uniform(least, most) if most > 0.0 else 0.0

    def copy_after_ms(self) -> float:
        """How long an attempt is out before its copy; infinite: it gets none."""
        if self.copy_share and self.learned is not None:
            return self.learned.percentile_ms(self.copy_share)
        return self.copy_ms


UNLIMITED = Plan()


# ---------------------------------------------------------------- events


class Worker(NamedTuple):
    """One row of the list."""

    id: str
    state: State = State.SERVING
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_ms: float = 0.0


class WorkersChanged(NamedTuple):
    """News of the list; FAILED carries no rows and leaves the list as it was."""

    listing: Listing
    workers: tuple[Worker, ...] = ()


class JobArrived(NamedTuple):
    """A job that now needs exactly one final answer within patience_ms."""

    job: str
    job_class: int = 0
    tenant: int = 0
    timeout_ms: float = 0.0
    slots: float = 1.0
    memory: float = 0.0
    hint_ms: float = 0.0
    key: str = ""
    is_retry: bool = False
    plan: Plan = UNLIMITED

    @property
    def time_limit_ms(self) -> float:
        """How long it may take: the client's patience, or less where its plan says so."""
        return min(self.timeout_ms, self.plan.total_ms)


class AttemptEnded(NamedTuple):
    """The one outcome of an attempt; closed tells that the job has its final answer."""

    job: str
    attempt: int
    worker: str
    result: Result
    elapsed_ms: float = 0.0
    closed: bool = False
    report: Mapping[str, float] | None = None


class AttemptProgress(NamedTuple):
    """An attempt started (fraction 0) or came so far."""

    job: str
    attempt: int
    worker: str
    fraction: float = 0.0


class ClientGone(NamedTuple):
    """The client left: no answer is owed any more."""

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
    """Other settings from now on. Classes, tenants, zones and kinds that were there keep their numbers."""

    settings: Settings


class EstimatesRestored(NamedTuple):
    """What another process of this scheduler has learned; the list has been told before."""

    by_index: tuple[list[float], list[float], list[float], list[float]]  # run_ms, per_hint, slots, kind_slowness
    scalars: tuple[float, float, float]  # spill, fleet_failures, dead
    workers: Mapping[str, Mapping[str, float]]


Event = (
    WorkersChanged
    | JobArrived
    | AttemptEnded
    | AttemptProgress
    | ClientGone
    | ProbeEnded
    | TimerFired
    | SettingsChanged
    | EstimatesRestored
)


# ---------------------------------------------------------------- actions


class Send(NamedTuple):
    """Start an attempt; attempts of a job are numbered from 0 in the order of their sends."""

    job: str
    worker: str
    timeout_ms: float = 0.0


class Cancel(NamedTuple):
    """Stop waiting for one attempt."""

    job: str
    attempt: int


class Withdraw(NamedTuple):
    """Take one attempt back if its request has not gone out whole; nothing happens where it has."""

    job: str
    attempt: int


class Refuse(NamedTuple):
    """Final answer: not done, trying again is harmless."""

    job: str
    retry_after_ms: float = 0.0


class Fail(NamedTuple):
    """Final answer: failed, with no promise about its effect."""

    job: str


class Probe(NamedTuple):
    """Ask a worker how it is."""

    worker: str


class Subscribe(NamedTuple):
    """Ask for changes of the list from now on."""


class SetTimer(NamedTuple):
    """Ask for a TimerFired with this token. One that names a job need not fire once that job is over, or once
    another timer was set for it."""

    delay_ms: float
    token: int
    job: str = ""


class Log(NamedTuple):
    """One line for the operators."""

    text: str


Action = Send | Cancel | Withdraw | Refuse | Fail | Probe | Subscribe | SetTimer | Log


# ---------------------------------------------------------------- the policy's records, without behaviour


@dataclass(slots=True, eq=False)
class WorkerRecord:
    """What one scheduler knows of one worker."""

    row: Worker
    kind: int
    zone: int
    serving: bool
    slowness: float = 0.0  # log of running time over what such jobs take
    warmth: float = 1.0  # part of its full capacity that it has by now at the least
    own_share: float = 0.0  # our part of it
    pool_index: int = -1  # its index among the workers with room in our part
    slots_in_use: float = 0.0  # slots and memory of our attempts
    memory_in_use: float = 0.0
    latest_started_send_ms: float = -math.inf  # when the last sent of those that have started there was sent
    others: float = 0.0  # slots that others hold there, as far as weights or reports show
    seen_ms: float = -math.inf  # when that was shown last
    delayed_slots_in_use: float = 0.0  # slots_out as it was about when what is shown now was so
    delayed_updated_ms: float = 0.0  # when that was reckoned; 0: not yet
    probed_ms: float = -math.inf  # when it was last asked how it is
    free: float = 0.0  # free slots by the last report, less what we sent since
    queued: float = 0.0  # jobs waiting there by the last report
    reported_ms: float = -math.inf
    full_until: float = -math.inf
    ejected_until: float = -math.inf
    failures: float = 0.0  # recent share of outcomes that are failures
    trial: bool = False
    trials_failed: int = 0
    cold_tokens: float = 0.0  # slot-ms we may send while it is cold
    cold_ms: float = -math.inf  # when these were counted
    tried: bool = False  # a job was sent to it since it started

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
        """How much faster than jobs are expected to run: under 1 where it is slow."""
        return math.exp(-self.slowness)

    def restore(self, learned: Mapping[str, float]) -> None:
        """Take what another process has learned of this worker since it started."""
        for name in self.LEARNED_FIELDS:
            if name in learned:
                setattr(self, name, type(getattr(self, name))(learned[name]))
        self.delayed_updated_ms = 0.0  # what was learned fades from now on

    def accrue_cold_tokens(self, rate: float, window_ms: float, cost: float, random: Random, now_ms: float) -> float:
        """Count the cold budget on to now and return it: slot-ms, at `rate` a millisecond."""
        if self.cold_ms < 0.0:  # slivers that accrue in step would all send at one moment
            self.cold_tokens, self.cold_ms = -random.random() * cost, self.row.started_ms
        self.cold_tokens += rate * (now_ms - self.cold_ms)
        self.cold_ms = now_ms
        self.cold_tokens = min(
            self.cold_tokens, cost + SAVED_BUDGET_SHARE * rate * window_ms
        )  # saved up it would be a burst
        return self.cold_tokens

    def add_usage(self, slots: float, memory: float) -> None:
        """Count an attempt's slots and memory, or take them off again where negative."""
        self.tried |= slots > 0
        self.slots_in_use += slots
        self.memory_in_use += memory
        self.free -= max(0.0, slots)  # a report to come tells of those that ended


class Pool(list[WorkerRecord]):
    """Workers in a list that can be sampled, entered and left at constant cost."""

    def add(self, worker: WorkerRecord) -> None:
        """Add a worker that may be in already."""
        if worker.pool_index < 0:
            worker.pool_index = len(self)
            self.append(worker)

    def discard(self, worker: WorkerRecord) -> None:
        """Take out a worker that may be out already; the last one takes its place."""
        if worker.pool_index >= 0:
            last = self.pop()
            if last is not worker:
                self[worker.pool_index], last.pool_index = last, worker.pool_index
            worker.pool_index = -1


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """One send of a job."""

    worker: WorkerRecord
    sent_ms: float
    spilled: bool  # went beyond our own part
    last_heard_ms: float  # its last sign of life
    started_ms: float = 0.0
    progress: float = 0.0  # done by its last note
    overdue: bool = False
    released: float = 0.0  # part of its slots that counts as free, as it is overdue and may be dead
    cancelled: bool = False
    result: Result | None = None


@dataclass(slots=True, eq=False)
class JobRecord:
    """One job from its arrival until its last attempt has ended."""

    event: JobArrived
    cls: JobClass
    tenant: int
    size_ms: float  # expected running time
    slack_ms: float  # time it may wait and still be in time
    first_request_ms: float  # when the client first asked
    latest_start_ms: float  # from here on starting it earns nothing
    attempt_limit: int = 1 << 30  # sends that the settings allowed when it came
    attempts: list[AttemptRecord] = field(default_factory=list)
    outstanding: int = 0  # attempts without an outcome
    released_slots: float = 0.0  # tokens given back early, as an attempt of it is overdue
    open: bool = True  # its final answer is still owed
    pending: bool = False
    pending_until: float = math.inf  # where it is held: given up if it was not sent by then

    def may_send(self, most: int, at_ms: float) -> bool:
        """Whether its plan lets it be sent once more at that time, and that can still earn something."""
        plan = self.event.plan
        return (
            len(self.attempts) < min(most, self.attempt_limit, plan.attempts)
            and at_ms < self.latest_start_ms
            and all(a.result in (None, Result.NOT_SENT) or a.result in plan.retry_on for a in self.attempts)
            and (plan.learned is None or not self.attempts or plan.learned.spend(at_ms))
        )

    def may_copy(self, settings: Settings, at_ms: float) -> bool:
        """Whether settings and plan let a second copy go out beside what is out."""
        return settings.second_copies and self.may_send(settings.max_attempts, at_ms)

    def runs_on(self, worker: WorkerRecord) -> bool:
        """Whether an attempt of it is out at this worker: a copy belongs elsewhere."""
        return self.outstanding > 0 and any(a.worker is worker and a.result is None for a in self.attempts)

    def possible_run(self) -> AttemptRecord | None:
        """The first attempt that is still out or may have run."""
        return next((attempt for attempt in self.attempts if attempt.result not in NEVER_RAN), None)


class Jobs(dict[str, JobRecord]):
    """The jobs that are open or still have attempts out, by id."""

    def find_attempt(self, event: AttemptEnded | AttemptProgress) -> tuple[JobRecord, AttemptRecord] | None:
        """The records an event names; none where it comes late, twice or for nothing of ours."""
        job = self.get(event.job)
        if job is None or not 0 <= event.attempt < len(job.attempts):
            return None
        attempt = job.attempts[event.attempt]
        return None if attempt.result is not None else (job, attempt)

    def withdrawals(self) -> list[Withdraw]:
        """Attempts out at workers that must get nothing new: what has not gone out yet is to be taken back."""
        return [
            Withdraw(job.event.job, number) for job, number, attempt in self.outstanding() if not attempt.worker.serving
        ]

    def outstanding(self) -> Iterator[tuple[JobRecord, int, AttemptRecord]]:
        """All attempts without an outcome, with their jobs and numbers."""
        for job in self.values():
            for number, attempt in enumerate(job.attempts if job.outstanding else ()):
                if attempt.result is None:
                    yield job, number, attempt


class JobTimers(dict[int, tuple[JobRecord, tuple[int, int]]]):
    """Jobs that a timer is to bring up again: a back-off that ends, or an attempt due a second copy.

    A timer can't be taken back. One counts only if since then nothing was sent for its job and nothing of it
    ended: a copy's timer must neither end the back-off that came after it nor copy the attempt after that.
    """

    def schedule(self, job: JobRecord, delay_ms: float) -> SetTimer:
        """Bring a job up again after so long."""
        token = FIRST_JOB_TOKEN + self.count
        self.count += 1
        if not self.count % 256:  # timers of jobs that are over need not fire
            for over in [known for known, (of_job, _) in self.items() if not of_job.open]:
                del self[over]
        self[token] = job, (len(job.attempts), job.outstanding)
        return SetTimer(delay_ms, token, job.event.job)

    def take(self, token: int) -> JobRecord | None:
        """The job whose timer this is, if it is still open and as it was."""
        job, state = self.pop(token, (None, (0, 0)))
        return job if job is not None and job.open and (len(job.attempts), job.outstanding) == state else None

    count = 0


class PendingJobs(dict[tuple[int, int], deque[JobRecord]]):
    """Waiting jobs: a queue for each tenant and class that has any."""

    def enqueue(self, job: JobRecord, first: bool, now_ms: float) -> float:
        """Let a job wait, at the head or the end of its queue; until when it may is returned."""
        job.pending_until = min(job.latest_start_ms, now_ms + job.event.plan.hold_ms)
        queue = self.setdefault((job.tenant, job.event.job_class), deque())
        (queue.appendleft if first else queue.append)(job)
        job.pending = True
        return job.pending_until

    def remove(self, job: JobRecord) -> None:
        """Take a job out, if it waits."""
        if job.pending:
            key = (job.tenant, job.event.job_class)
            self[key].remove(job)
            job.pending = False
            if not self[key]:
                del self[key]

    def jobs(self) -> list[JobRecord]:
        """All that wait."""
        return [job for queue in self.values() for job in queue]
