"""Admission at an ingress node: the rule of the primary, over the usage last pulled and what was let in here since.

A refusal here is certain by all that this node knows; whatever is doubtful is for the primary, which counts what is in
flight everywhere. The count errs one way alone: a job is added to the usage only where that surely doesn't contain it.
"""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct

from pipitledge.configuration.data_plane import DataPlane
from pipitledge.configuration.datasets import PoolFigures, QueueFigures
from pipitledge.configuration.model import Route
from pipitledge.scheduling.admission_rule import decide
from pipitledge.scheduling.job import Rejection, is_job_id, parse_submission

FRESH_SECONDS = 1.0  # usage older than that refuses nothing; it outlasts a pull that failed
JOBS_REMEMBERED = 8_192  # jobs handed to the primary last

Mark = tuple[int, int]


class Judgement(Struct, frozen=True):
    """What this node thinks of a submitted job; not refused means that the primary decides."""

    refused: bool = False
    retry_after_ms: int = 0
    queue: str = ""
    weight: float = 0.0
    priority: int = 0
    mark: Mark | None = None  # of the usage by which it was judged; None: by none


LEFT_TO_PRIMARY = Judgement()


class LocalAdmission:
    """Judges the jobs that clients submit at this node."""

    def __init__(self, data_plane: DataPlane) -> None:
        """Judge by the usage that `data_plane` pulls."""
        self._data_plane = data_plane
        self._mark = data_plane.usage_mark
        self._let_in: dict[str, QueueFigures] = {}  # by queue, since the usage of `_mark`
        self._handed_on: OrderedDict[str, None] = OrderedDict()  # IDs; any of them may have been accepted

    def judge(self, route: Route, job_id: str, body: bytes) -> Judgement:
        """Whether a job is refused here; if not, it counts as handed on to the primary."""
        judgement = self._judge(route, job_id, body)
        if not judgement.refused:
            self._remember(job_id)
        return judgement

    def accepted(self, judgement: Judgement) -> None:
        """Count a job that the primary has accepted, unless usage that came meanwhile may contain it."""
        self._forget_if_counted()
        if judgement.mark == self._mark:
            before = self._let_in.get(judgement.queue, QueueFigures()).inflight
            self._let_in[judgement.queue] = QueueFigures(before + judgement.weight, judgement.priority)

    def _judge(self, route: Route, job_id: str, body: bytes) -> Judgement:
        pool = self._pool(route)
        if pool is None or not is_job_id(job_id) or job_id in self._handed_on:
            return LEFT_TO_PRIMARY
        submission = parse_submission(body)
        if isinstance(submission, Rejection):
            return LEFT_TO_PRIMARY
        verdict = decide(pool, route, submission, self._let_in)
        return Judgement(
            not verdict.admitted, verdict.retry_after_ms, route.name, verdict.weight, route.priority, self._mark
        )

    def _pool(self, route: Route) -> PoolFigures | None:
        """The pool that the route's queue belongs to, by fresh usage."""
        self._forget_if_counted()
        report = self._data_plane.usage
        if report is None or self._data_plane.usage_age_s() >= FRESH_SECONDS:
            return None
        return report.pools.get(route.service)

    def _remember(self, job_id: str) -> None:
        self._handed_on[job_id] = None
        self._handed_on.move_to_end(job_id)
        if len(self._handed_on) > JOBS_REMEMBERED:
            self._handed_on.popitem(last=False)

    def _forget_if_counted(self) -> None:
        """Newer usage contains what was let in before it."""
        if self._data_plane.usage_mark != self._mark:
            self._mark = self._data_plane.usage_mark
            self._let_in.clear()
