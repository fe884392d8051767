"""Admission at an ingress node: the rule of the primary, over the usage last pulled and what was let in here since.

A refusal here is certain by all that this node knows; whatever is doubtful is for the primary, which counts what is in
flight everywhere. The count errs one way alone: a job is added to the usage only where that surely doesn't contain it.
"""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct

from pipitledge.configuration.data_plane import DataPlane
from pipitledge.configuration.datasets import PoolUsage, QueueLoad
from pipitledge.configuration.model import Route
from pipitledge.scheduling.admission_rule import decide
from pipitledge.scheduling.job import Rejection, is_job_id, parse_submission

MAX_USAGE_AGE_SECONDS = 1.0  # usage older than that refuses nothing; it outlasts a pull that failed
JOBS_REMEMBERED = 8_192  # jobs handed to the primary last

UsageRevision = tuple[int, int]


class LocalDecision(Struct, frozen=True):
    """What this node thinks of a submitted job; not refused means that the primary decides."""

    refused: bool = False
    retry_after_ms: int = 0
    queue: str = ""
    weight: float = 0.0
    priority: int = 0
    usage_revision: UsageRevision | None = None  # of the usage by which it was judged; None: by none


LEFT_TO_PRIMARY = LocalDecision()


class LocalAdmission:
    """Judges the jobs that clients submit at this node."""

    def __init__(self, data_plane: DataPlane) -> None:
        """Judge by the usage that `data_plane` pulls."""
        self._data_plane = data_plane
        self._revision = data_plane.usage_revision
        self._admitted_load: dict[str, QueueLoad] = {}  # by queue, since the usage of `_mark`
        self._forwarded_jobs: OrderedDict[str, None] = OrderedDict()  # IDs; any of them may have been accepted

    def evaluate(self, route: Route, job_id: str, body: bytes) -> LocalDecision:
        """Whether a job is refused here; if not, it counts as handed on to the primary."""
        local_decision = self._evaluate(route, job_id, body)
        if not local_decision.refused:
            self._remember(job_id)
        return local_decision

    def accepted(self, local_decision: LocalDecision) -> None:
        """Count a job that the primary has accepted, unless usage that came meanwhile may contain it."""
        self._reset_if_usage_changed()
        if local_decision.usage_revision == self._revision:
            previous = self._admitted_load.get(local_decision.queue, QueueLoad()).inflight
            self._admitted_load[local_decision.queue] = QueueLoad(
                previous + local_decision.weight, local_decision.priority
            )

    def _evaluate(self, route: Route, job_id: str, body: bytes) -> LocalDecision:
        pool = self._pool(route)
        if pool is None or not is_job_id(job_id) or job_id in self._forwarded_jobs:
            return LEFT_TO_PRIMARY
        submission = parse_submission(body)
        if isinstance(submission, Rejection):
            return LEFT_TO_PRIMARY
        verdict = decide(pool, route, submission, self._admitted_load)
        return LocalDecision(
            not verdict.admitted, verdict.retry_after_ms, route.name, verdict.weight, route.priority, self._revision
        )

    def _pool(self, route: Route) -> PoolUsage | None:
        """The pool that the route's queue belongs to, by fresh usage."""
        self._reset_if_usage_changed()
        report = self._data_plane.usage
        if report is None or self._data_plane.usage_age_s() >= MAX_USAGE_AGE_SECONDS:
            return None
        return report.pools.get(route.service)

    def _remember(self, job_id: str) -> None:
        self._forwarded_jobs[job_id] = None
        self._forwarded_jobs.move_to_end(job_id)
        if len(self._forwarded_jobs) > JOBS_REMEMBERED:
            self._forwarded_jobs.popitem(last=False)

    def _reset_if_usage_changed(self) -> None:
        """Newer usage contains what was let in previous it."""
        if self._data_plane.usage_revision != self._revision:
            self._revision = self._data_plane.usage_revision
            self._admitted_load.clear()
