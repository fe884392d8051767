"""Sends reports to the primary: at once after a change, otherwise often enough that the lease grant does not expire."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from pipitledge.runtime.ports import Clock, Timer
from pipitledge.wire.messages import AgentOrders, AgentReport

COALESCE_S = 0.005  # changes within this time share a report
REPORT_TIMEOUT_S = 1.5
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.5
RETRY_GROWTH_FACTOR = 2.0


class CallOutcome(Protocol):
    """The result of a call to the primary."""

    @property
    def reply(self) -> Struct | None:
        """The primary's answer; None if there was none in time."""


class PrimaryCalls(Protocol):
    """Calls to the current primary, wherever it is."""

    def call(self, request: Struct, timeout_s: float, on_done: Callable[[CallOutcome], None]) -> None:
        """Send to whichever node is primary; `on_done` is called once, within about `patience_s` seconds."""


class Reporter:
    """Schedules and sends reports, one at a time."""

    def __init__(
        self,
        clock: Clock,
        primary: PrimaryCalls,
        build: Callable[[], AgentReport],
        on_answer: Callable[[AgentReport, AgentOrders], bool],
        interval: Callable[[], float],
    ) -> None:
        """`build` makes the next report, `interval` returns the longest time in seconds between two reports.

        `on_answer` returns whether it accepted the answer; otherwise a new report is sent, as after a failed call.
        """
        self._clock = clock
        self._primary = primary
        self._build = build
        self._on_answer = on_answer
        self._interval = interval
        self._timer: Timer | None = None
        self._due_at: float | None = None
        self._not_before = 0.0
        self._report_pending = False
        self._report_requested = False  # since the pending report was built
        self._failures = 0
        self._stopped = False

    def request_report(self) -> None:
        """Request a report without delay because something has changed."""
        if self._report_pending:
            self._report_requested = True
        elif not self._failures or self._due_at is None:
            self._schedule(self._clock.now() + COALESCE_S)

    def postpone(self, seconds: float) -> None:
        """Send no report for that time, unless `release` is called earlier."""
        self._not_before = self._clock.now() + seconds
        if not self._report_pending and self._due_at is not None:
            due_at, self._due_at = self._due_at, None
            self._schedule(due_at)

    def release(self) -> None:
        """End the delay set by `postpone`: the next report can be sent."""
        if self._clock.now() < self._not_before:
            self._not_before = 0.0
            self.request_report()

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True
        self._cancel()

    def _schedule(self, when: float) -> None:
        """Send a report at `when`, unless an earlier one is scheduled already."""
        when = max(when, self._not_before)
        if self._stopped or (self._due_at is not None and self._due_at <= when):
            return
        self._cancel()
        self._due_at = when
        self._timer = self._clock.at(when, self._send)

    def _cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        self._due_at = None

    def _send(self) -> None:
        self._cancel()
        self._report_pending = True
        self._report_requested = False
        report = self._build()
        self._primary.call(report, REPORT_TIMEOUT_S, lambda outcome: self._done(report, outcome))

    def _done(self, report: AgentReport, outcome: CallOutcome) -> None:
        if self._stopped:
            return
        self._report_pending = False
        orders = outcome.reply
        if isinstance(orders, AgentOrders) and self._on_answer(report, orders):
            self._failures = 0
            self._schedule_next(report)
        else:
            self._failures += 1
            pause = min(MAX_RETRY_DELAY_S, INITIAL_RETRY_DELAY_S * RETRY_GROWTH_FACTOR ** (self._failures - 1))
            self._schedule(self._clock.now() + pause)

    def _schedule_next(self, report: AgentReport) -> None:
        now = self._clock.now()
        if self._report_requested:
            self._schedule(now + COALESCE_S)
        self._schedule(max(now + COALESCE_S, report.sent_at + self._interval()))
