"""The queue usage that the primary publishes: rebuilt periodically, with a version that rises at each change."""

from __future__ import annotations

from collections.abc import Callable

from pipitledge.configuration.datasets import QueueUsageReport
from pipitledge.scheduling.context import Context

USAGE_VALID_S = 0.25  # every pull of a node reads the report; it is rebuilt at most this often


class UsagePublisher:
    """Caches the encoded usage report."""

    def __init__(self, context: Context, report: Callable[[], QueueUsageReport]) -> None:
        """`report` computes the usage; while this node is not primary, an empty report is published."""
        self._context = context
        self._report = report
        self._term = -1
        self._version = 0
        self._payload = b""
        self._built_at = 0.0

    def current(self) -> tuple[int, bytes]:
        """Return the version of the report and the encoded report."""
        now = self._context.clock.now()
        term = self._context.replicator.term
        if term != self._term or now - self._built_at >= USAGE_VALID_S:
            self._rebuild(term, now)
        return self._version, self._payload

    def _rebuild(self, term: int, now: float) -> None:
        report = self._report() if self._context.active else QueueUsageReport()
        payload = report.encode()
        if term != self._term or payload != self._payload:
            self._version += 1
        self._term, self._payload, self._built_at = term, payload, now
