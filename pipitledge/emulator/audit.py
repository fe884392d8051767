"""The auditor: counts what workers, discovery and clients saw, and says which rule was broken, with the job's story.

It reads nothing of the node: ids and keys as they came to the workers, answers as they came to the clients.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from pipitledge.decision.interface import Repeat, Scope, Settings

DRAIN_MS, ANSWER_MS = 300.0, 66.0  # after a drain was told; after the client's patience: 16 and the sockets' 50


@dataclass(slots=True)
class Attempt:
    """One send of a job, as its worker saw it."""

    worker: str
    cell: int
    zone: int
    sent_ms: float
    ended_ms: float | None = None  # when the node heard or gave up, where that is known
    never_ran: bool = False  # and the node was told so
    ran: bool = False


@dataclass(slots=True)
class Story:
    """One job: what was taken, where it was sent and ran, what the client heard."""

    job_class: int
    key: str
    taken_ms: float
    patience_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    finals: list[tuple[float, str]] = field(default_factory=list)
    left: bool = False  # the client went away: no answer is owed


class Audit:
    """Stories by id, runs by key, drains by worker; `breaches` says what rule they break."""

    def __init__(self, settings: Settings, slack_ms: float = ANSWER_MS) -> None:
        """Judge by these settings."""
        self.settings, self.slack_ms = settings, slack_ms
        self.jobs: dict[str, Story] = {}
        self.key_runs: Counter[str] = Counter()
        self.drains: dict[str, float] = {}  # by worker: when the node was told
        self.late_sends: list[tuple[str, str, float]] = []
        self.latest_after_drain_ms = 0.0
        self.counts: Counter[str] = Counter()

    def taken(self, job: str, job_class: int, key: str, now: float, patience_ms: float) -> None:
        """A client handed in a job."""
        self.jobs[job] = Story(job_class, key, now, patience_ms)
        self.counts["taken"] += 1

    def sent(self, job: str, worker: str, cell: int, zone: int, now: float) -> Attempt:
        """An attempt came to a worker, or would have."""
        attempt = Attempt(worker, cell, zone, now)
        if job in self.jobs:
            self.jobs[job].attempts.append(attempt)
        self.counts["sent"] += 1
        if worker in self.drains:
            after = now - self.drains[worker]
            self.latest_after_drain_ms = max(self.latest_after_drain_ms, after)
            if after > DRAIN_MS:
                self.late_sends.append((job, worker, after))
        return attempt

    def ran(self, job: str, attempt: Attempt, key: str) -> None:
        """A worker began a job for real: a repeat that it drops is none."""
        attempt.ran = True
        self.counts["ran"] += 1
        story = self.jobs.get(job)
        if story is not None and self.settings.classes[story.job_class].repeat is Repeat.KEYED:
            self.key_runs[key] += 1

    def dropped(self) -> None:
        """A rack knew the key and ran nothing."""
        self.counts["dropped"] += 1

    def told_drain(self, worker: str, now: float) -> None:
        """The node was told that a worker drains; only the first time counts."""
        self.drains.setdefault(worker, now)

    def told_back(self, worker: str) -> None:
        """It was told that the worker serves again."""
        self.drains.pop(worker, None)

    def final(self, job: str, kind: str, now: float) -> None:
        """A client heard: served, refused or failed; or left."""
        story = self.jobs[job]
        if kind == "left":
            story.left = True
        else:
            story.finals.append((now, kind))
        self.counts[kind] += 1

    def breaches(self) -> list[str]:
        """Every rule that was broken, one line each, sorted by kind."""
        found = list[str]()
        for name, story in self.jobs.items():
            found += self._of_job(name, story)
        found += [f"drain: {job} to {worker} {after:.0f} ms after it drained" for job, worker, after in self.late_sends]
        found += [f"key {key} ran {runs} times" for key, runs in self.key_runs.items() if runs > 1]
        return sorted(found)

    def _of_job(self, name: str, story: Story) -> list[str]:
        found, cls = list[str](), self.settings.classes[story.job_class]
        if len(story.finals) != 1 and not (story.left and not story.finals):
            found.append(f"{name}: {len(story.finals)} final answers")
        elif story.finals and story.finals[0][0] > story.taken_ms + story.patience_ms + self.slack_ms:
            found.append(f"{name}: answered {story.finals[0][0] - story.taken_ms:.0f} ms after it came")
        if sum(attempt.ran for attempt in story.attempts) > 1 and cls.repeat is Repeat.UNSAFE:
            found.append(f"{name}: unsafe and ran {sum(a.ran for a in story.attempts)} times")
        if (
            story.finals
            and story.finals[0][1] == "refused"
            and cls.repeat is not Repeat.SAFE
            and any(attempt.ran for attempt in story.attempts)
            and not (cls.repeat is Repeat.KEYED and cls.scope is Scope.ALL)
        ):
            found.append(f"{name}: refused though it ran")
        if len(story.attempts) > self.settings.max_attempts:
            found.append(f"{name}: {len(story.attempts)} attempts")
        for number, attempt in enumerate(story.attempts):
            before = [
                a
                for a in story.attempts[:number]
                if not (a.never_ran and a.ended_ms is not None and a.ended_ms <= attempt.sent_ms)
            ]
            out = [a for a in before if a.ended_ms is None or a.ended_ms > attempt.sent_ms]
            if out and not self.settings.second_copies:
                found.append(f"{name}: attempt {number + 1} beside another")
            if before and cls.repeat is Repeat.UNSAFE:
                found.append(f"{name}: unsafe, sent again after what may have run")
            if before and cls.repeat is Repeat.KEYED:
                first = before[0]
                inside = {
                    Scope.ALL: True,
                    Scope.ZONE: attempt.zone == first.zone,
                    Scope.CELL: attempt.cell == first.cell,
                }[cls.scope]
                if not inside:
                    found.append(f"{name}: keyed, sent outside its group")
                if attempt.sent_ms >= first.sent_ms + cls.window_ms:
                    found.append(f"{name}: keyed, sent {attempt.sent_ms - first.sent_ms:.0f} ms after the first")
        return found
