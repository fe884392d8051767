"""Helpers that drive a Policy in tests."""

from __future__ import annotations

from typing import Any

from pipitledge.decision.interface import (
    Action,
    AttemptEnded,
    Event,
    JobArrived,
    JobClass,
    Listing,
    Repeat,
    Result,
    Scope,
    Send,
    Settings,
    Tenant,
    TimerFired,
    Worker,
    WorkersChanged,
)
from pipitledge.decision.policy import Policy

SAFE = JobClass(deadline_ms=5_000, objective_ms=500, stretch=2.0, worth=1.0, repeat=Repeat.SAFE)
UNSAFE = JobClass(deadline_ms=5_000, objective_ms=500, stretch=2.0, worth=1.0, repeat=Repeat.UNSAFE)


def keyed(scope: Scope, window_ms: float = 2_000) -> JobClass:
    return JobClass(
        deadline_ms=5_000,
        objective_ms=500,
        stretch=2.0,
        late_share=0.5,
        repeat=Repeat.KEYED,
        scope=scope,
        window_ms=window_ms,
    )


COLD = {
    "cold_share": 0.1,
    "cold_ms": 22_000.0,
    "overload_factor": 3.0,
    "fall_ms": 2_000.0,
}  # the cold-start rules of the simulator's protocol


def settings(**changes: Any) -> Settings:
    base: dict[str, Any] = {
        "classes": (SAFE, UNSAFE),
        "tenants": (Tenant(0.6), Tenant(0.4)),
        "max_attempts": 5,
        "report_fields": ("x0",),
        "reports_with_answers": True,
        "free_slots_field": "x0",
    }
    return Settings(**(base | changes))


class Driver:
    """A Policy with a simulated clock; it records all actions."""

    def __init__(self, use: Settings | None = None, workers: int = 4, seed: int = 1, **rows: Any) -> None:
        self.policy = Policy(use or settings(), seed)
        self.now = 1_000.0
        self.attempts: dict[str, int] = {}
        self.all_actions: list[Action] = []
        if workers:
            self.list([Worker(f"w{index}", **rows) for index in range(workers)])

    def list(self, rows: list[Worker], listing: Listing = Listing.FULL) -> list[Action]:
        return self.handle(WorkersChanged(listing, tuple(rows)))

    def handle(self, *events: Event, after_ms: float = 0.0) -> list[Action]:
        self.now += after_ms
        actions = self.policy.handle(self.now, events)
        for action in actions:
            if isinstance(action, Send):
                self.attempts[action.job] = self.attempts.get(action.job, -1) + 1
        self.all_actions += actions
        return actions

    def tick(self, after_ms: float = 0.0) -> list[Action]:
        """Fire the policy's tick timer, whenever it was due."""
        self.policy.next_tick_ms = 0.0
        return self.handle(TimerFired(0), after_ms=after_ms)

    def sends(self, count: int, **fields: Any) -> list[Send]:
        """Submit `count` jobs and return the attempts that are sent at once."""
        return [send for _ in range(count) for send in of_type(self.job(f"s{len(self.all_actions)}", **fields), Send)]

    def job(self, name: str, **fields: Any) -> list[Action]:
        return self.handle(JobArrived(name, **({"patience_ms": 5_000.0} | fields)))

    def end(
        self,
        send: Send,
        result: Result = Result.OK,
        after_ms: float = 100.0,
        closed: bool | None = None,
        attempt: int | None = None,
        free: float | None = None,
    ) -> list[Action]:
        number = self.attempts[send.job] if attempt is None else attempt
        closed = result is Result.OK if closed is None else closed
        report = None if free is None else {"x0": free}
        return self.handle(
            AttemptEnded(send.job, number, send.worker, result, after_ms, closed, report), after_ms=after_ms
        )

    def learn_slots(self, slots: float, rounds: int = 1) -> None:
        """Let jobs end with a load report, so that the slots of their worker's kind are known."""
        for index in range(rounds):
            name = f"learn-{index}-{self.now}"
            for send in of_type(self.job(name), Send):
                self.end(send, free=slots)


def of_type(actions: list[Action], kind: type) -> list[Any]:
    return [action for action in actions if isinstance(action, kind)]
