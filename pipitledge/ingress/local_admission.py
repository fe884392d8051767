"""Admission at an ingress node: the primary's rule, applied to the usage last pulled and to jobs accepted here since.

A job is refused here only if the data of this node leaves no doubt; otherwise the primary decides, which knows the load
of all nodes. The local count can only be too low: a job is added to the usage only if that can't contain it already.
"""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct

from pipitledge.configuration.data_plane import DataPlane
from pipitledge.configuration.datasets import PoolUsage, QueueLoad
from pipitledge.configuration.model import Route
from pipitledge.scheduling.admission_rule import decide
from pipitledge.scheduling.job import Rejection, is_job_id, parse_submission

MAX_USAGE_AGE_SECONDS = 1.0  # with older usage no job is refused; long enough to survive one failed pull
JOBS_REMEMBERED = 8_192  # most recent jobs forwarded to the primary

UsageRevision = tuple[int, int]


class LocalDecision(Struct, frozen=True):
    """This node's decision on a submitted job; if it is not refused, the primary decides."""

    refused: bool = False
    retry_after_ms: int = 0
    queue: str = ""
    weight: float = 0.0
    priority: int = 0
    usage_revision: UsageRevision | None = None  # of the usage that the decision is based on; None: of none


LEFT_TO_PRIMARY = LocalDecision()


class LocalAdmission:
    """Decides on jobs that clients submit at this node."""

    def __init__(self, data_plane: DataPlane) -> None:
        """Decide by the usage that `data_plane` pulls."""
        self._data_plane = data_plane
        self._revision = data_plane.usage_revision
        self._admitted_load: dict[str, QueueLoad] = {}  # by queue, accepted since the usage of `_revision`
        self._forwarded_jobs: OrderedDict[str, None] = OrderedDict()  # IDs of jobs that the primary may have accepted

    def evaluate(self, route: Route, job_id: str, body: bytes) -> LocalDecision:
        """Decide whether a job is refused here; if not, record it as forwarded to the primary."""
        local_decision = self._evaluate(route, job_id, body)
        if not local_decision.refused:
            self._remember(job_id)
        return local_decision

    def accepted(self, local_decision: LocalDecision) -> None:
        """Add a job that the primary accepted to the load, unless usage pulled meanwhile may already contain it."""
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
        """Return the pool of the route's queue; None if the usage is too old or doesn't contain it."""
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
        """Reset the load accepted here once newer usage is pulled, which contains it."""
        if self._data_plane.usage_revision != self._revision:
            self._revision = self._data_plane.usage_revision
            self._admitted_load.clear()
