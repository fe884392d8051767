"""Property tests: the policy keeps its rules under any legal settings and any legal sequence of events."""

from __future__ import annotations

from helpers import COLD, SAFE, UNSAFE, Driver, keyed, of_type, settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from pipitledge.decision.interface import (
    NEVER_RAN,
    AttemptEnded,
    AttemptNote,
    ClientGone,
    Fail,
    JobArrived,
    JobClass,
    Listing,
    Refuse,
    Repeat,
    Result,
    Scope,
    Send,
    State,
    Tenant,
    TimerFired,
    Worker,
    WorkersChanged,
)

CLASSES = [SAFE, UNSAFE, keyed(Scope.ALL), keyed(Scope.ZONE), keyed(Scope.CELL)]
STEP = st.tuples(st.sampled_from("jjjjooontlgr"), st.integers(0, 1_000), st.integers(0, 7))


class Checked:
    """Simulates the client and the workers, and checks each action against the rules."""

    def __init__(self, driver: Driver) -> None:
        self.driver = driver
        self.open: dict[str, tuple[int, float]] = {}  # job -> class, deadline
        self.sends: dict[str, list[tuple[str, float, Result | None]]] = {}
        self.states: dict[str, State] = {}

    def handle(self, *events: object, after_ms: float = 0.0) -> None:
        self.check(self.driver.handle(*events, after_ms=after_ms))  # type: ignore[arg-type]

    def check(self, actions: list[object]) -> None:
        now = self.driver.now
        for action in actions:
            if isinstance(action, (Send, Refuse, Fail)):
                assert action.job in self.open, "action on a job that has its answer"
                cls = self.driver.policy.settings.classes[self.open[action.job][0]]
                history = self.sends.setdefault(action.job, [])
                possible = [s for s in history if s[2] not in NEVER_RAN]
            if isinstance(action, Send):
                assert self.states[action.worker] is State.SERVING
                assert len(history) < self.driver.policy.settings.max_attempts
                if possible:
                    assert cls.repeat is not Repeat.UNSAFE
                    if cls.repeat is Repeat.KEYED:
                        first, new = possible[0][0], action.worker
                        assert now < possible[0][1] + cls.window_ms
                        assert cls.scope is Scope.ALL or first[1] == new[1]
                        assert cls.scope is not Scope.CELL or first[1:3] == new[1:3]
                history.append((action.worker, now, None))
            elif isinstance(action, Refuse):
                assert (
                    not possible or cls.repeat is Repeat.SAFE or (cls.repeat is Repeat.KEYED and cls.scope is Scope.ALL)
                )
                del self.open[action.job]
            elif isinstance(action, Fail):
                del self.open[action.job]

    def outstanding(self) -> list[tuple[str, int]]:
        return [
            (job, index) for job, sends in self.sends.items() for index, send in enumerate(sends) if send[2] is None
        ]

    def end(self, pick: int, which: int) -> None:
        waiting = self.outstanding()
        if waiting:
            job, index = waiting[pick % len(waiting)]
            result = list(Result)[which % len(Result)]
            worker, at, _ = self.sends[job][index]
            self.sends[job][index] = (worker, at, result)
            if result is Result.OK:
                self.open.pop(job, None)
            report, closed = {"x0": float(which)}, job not in self.open
            self.handle(AttemptEnded(job, index, worker, result, 1.0, closed, report))

    def overdue(self) -> None:
        """End attempts at the client's deadline; after that, every job must have its answer."""
        for job, (_, deadline) in list(self.open.items()):
            if self.driver.now < deadline:
                continue
            for index, (worker, at, result) in enumerate(self.sends.get(job, [])):
                if result is None:
                    self.sends[job][index] = (worker, at, Result.TIMEOUT)
                    self.handle(AttemptEnded(job, index, worker, Result.TIMEOUT, 1.0, job not in self.open))
            assert job not in self.open, "no answer in time"


@hypothesis_settings(derandomize=True, deadline=None, max_examples=400)
@given(
    steps=st.lists(STEP, max_size=120),
    chosen=st.lists(st.sampled_from(CLASSES), min_size=1, max_size=3),
    workers=st.integers(0, 6),
    tenants=st.integers(1, 4),
    instances=st.integers(1, 60),
    attempts=st.integers(1, 4),
    seed=st.integers(0, 99),
)
def test_rules_and_tokens_hold(
    steps: list[tuple[str, int, int]],
    chosen: list[JobClass],
    workers: int,
    tenants: int,
    instances: int,
    attempts: int,
    seed: int,
) -> None:
    use = settings(
        classes=tuple(chosen),
        tenants=tuple(Tenant(1.0 + i) for i in range(tenants)),
        zones=2,
        instances=instances,
        number=instances // 2,
        max_attempts=attempts,
        reports_starts=True,
        progress_ms=50.0,
        cancel=True,
    )
    checked = Checked(Driver(use, workers=0, seed=seed))
    checked.driver.policy.run_ms[:] = [5.0] * len(chosen)  # short, so that attempts become overdue
    checked.driver.policy.dead = seed / 99.0
    rows = [Worker(f"w{i % 2}{i % 3}{i}", zone=i % 2, cell=10 * (i % 2) + i % 3) for i in range(workers)]
    checked.states = {row.id: State.SERVING for row in rows}
    checked.driver.list(rows, Listing.CACHED)
    for number, (step, a, b) in enumerate(steps):
        now = checked.driver.now
        if step == "j":
            name, timeout = f"j{number}", 50.0 + a
            checked.open[name] = (b % len(chosen), now + timeout)
            checked.handle(JobArrived(name, b % len(chosen), a % tenants, timeout, 1.0 + b % 3))
        elif step == "o":
            checked.end(a, b)
        elif step == "g" and checked.open:
            gone = list(checked.open)[a % len(checked.open)]
            del checked.open[gone]
            checked.handle(ClientGone(gone))
        elif step == "l" and rows:
            row = rows[a % len(rows)]
            state = list(State)[b % 3]
            checked.states[row.id] = state
            checked.handle(WorkersChanged(Listing.DELTA, (row._replace(state=state),)))
        elif step == "n" and checked.outstanding():
            job, index = checked.outstanding()[a % len(checked.outstanding())]
            checked.handle(AttemptNote(job, index, checked.sends[job][index][0], b / 8.0))
        elif step == "r":
            checked.handle(AttemptEnded(f"j{a}", b, "nobody", Result.OK, 1.0, True))  # an unknown job
        for _ in range(a // 20 if step == "t" else 0):
            checked.handle(TimerFired(0), after_ms=1.0)
            checked.overdue()
        policy = checked.driver.policy
        assert min(policy.inflight) >= 0 and min(policy.running) >= 0
        assert sum(policy.inflight) == sum(
            job.event.slots - job.released_slots for job in policy.jobs.values() if job.open
        )
        assert all(worker.slots_in_use >= 0 for worker in policy.workers.values())
        assert {job.event.job for job in policy.jobs.values() if job.open} == set(checked.open)
    while checked.open:
        checked.handle(TimerFired(0), after_ms=1.0)
        checked.overdue()
    policy = checked.driver.policy
    while checked.outstanding():
        checked.end(0, 0)
    assert sum(policy.inflight) == sum(policy.running) == policy.spill_in_use == 0 and not policy.jobs
    assert all(worker.slots_in_use == 0 for worker in policy.workers.values())


@hypothesis_settings(derandomize=True, deadline=None, max_examples=60)
@given(
    gaps=st.lists(st.integers(0, 40), min_size=50, max_size=400),
    warm=st.integers(1, 5),
    slots=st.integers(2, 8),
    instances=st.integers(1, 8),
    seed=st.integers(0, 99),
)
def test_a_cold_worker_never_gets_more_than_its_budget_in_any_window(
    gaps: list[int], warm: int, slots: int, instances: int, seed: int
) -> None:
    """Work sent to a cold worker in any window of fall_ms stays below overload_factor x least capacity x fall_ms.

    This is rule 4 of the simulator's protocol. The least capacity is cold_share of a warm worker's; one node's share of
    the budget is 1/instances. Jobs run for run_ms each, so each attempt brings slots x run_ms of work.
    """
    use = settings(classes=(SAFE,), instances=instances, number=0, **COLD)
    driver = Driver(use, workers=warm, seed=seed)
    driver.learn_slots(float(slots), 5)
    run_ms = driver.policy.run_ms[0]
    driver.list([Worker("cold", started_ms=driver.now)], Listing.DELTA)
    sent, running = list[float](), list[tuple[float, Send]]()
    for number, gap in enumerate(gaps):
        driver.handle(TimerFired(0), after_ms=float(gap))
        for at, send in [(at, send) for at, send in running if at <= driver.now]:
            running.remove((at, send))
            driver.end(send, Result.OK, after_ms=0.0)
        for send in of_type(driver.job(f"j{number}", patience_ms=2_000.0), Send):
            running.append((driver.now + run_ms, send))
            if send.worker == "cold":
                sent.append(driver.now)
    most = COLD["overload_factor"] * COLD["cold_share"] * slots * COLD["fall_ms"] / instances
    for start in sent:
        window = [at for at in sent if start <= at < start + COLD["fall_ms"]]
        assert len(window) * run_ms <= most + run_ms, (len(window), run_ms, most)


@hypothesis_settings(derandomize=True, deadline=None, max_examples=60)
@given(
    scope=st.sampled_from(list(Scope)),
    gaps=st.lists(st.integers(1, 150), min_size=2, max_size=12),
    order=st.permutations(range(6)),
    seed=st.integers(0, 99),
)
def test_a_keyed_job_is_retried_within_its_group_and_window_only(
    scope: Scope, gaps: list[int], order: list[int], seed: int
) -> None:
    """The first attempt is lost after a while; later ones find their workers full, so that only others are left."""
    use = settings(classes=(keyed(scope, 400.0),), zones=2, max_attempts=8, cancel=True)
    checked = Checked(Driver(use, workers=0, seed=seed))
    rows = [Worker(f"w{i % 2}{i // 2}{i}", zone=i % 2, cell=10 * (i % 2) + i // 2) for i in order]
    checked.states = {row.id: State.SERVING for row in rows}
    checked.driver.list(rows, Listing.FULL)
    checked.open["job"] = (0, checked.driver.now + 5_000.0)
    checked.handle(JobArrived("job", 0, 0, 5_000.0))
    for gap in gaps:
        if checked.outstanding():
            index = checked.outstanding()[0][1]
            worker, at, _ = checked.sends["job"][index]
            # The first attempt may have run; later ones are rejected as FULL and so provably never ran.
            result = Result.RESET if index == 0 else Result.FULL
            checked.sends["job"][index] = worker, at, result
            checked.handle(
                AttemptEnded("job", index, worker, result, float(gap), False, {"x0": 0.0}), after_ms=float(gap)
            )
        checked.handle(TimerFired(0), after_ms=float(gap))
