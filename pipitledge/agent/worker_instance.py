"""The instances of the worker beside this agent: each start of the worker has its own id, sent in heartbeats."""

from __future__ import annotations

import enum

import msgspec
from msgspec import Struct

from pipitledge.agent.response_times import ResponseTimeEstimator
from pipitledge.agent.worker_clock import MS_PER_S, WorkerClock
from pipitledge.agent.worker_messages import HeartbeatBody
from pipitledge.runtime.ports import Clock
from pipitledge.wire.messages import WorkerInfo

NOT_ANNOUNCED = -1
SILENT_AFTER_CALLS = 2  # consecutive calls without an answer; a single call may have been lost


class WorkerInstance:
    """What the agent knows about one worker instance, from the start of the worker to its exit or crash."""

    def __init__(self, instance: str, last_heartbeat_at: float) -> None:
        """Start with the id alone; `info` is None until the first heartbeat of this instance arrives."""
        self.instance = instance
        self.info: WorkerInfo | None = None
        self.last_heartbeat_at = last_heartbeat_at
        self.clock = WorkerClock()
        self.draining = False  # announced that it is draining; no start may be sent any more
        self.leaving = False  # announced its exit, which follows shortly
        self.replaced = False  # another instance answered a call addressed to this one
        self.confirmed = False  # it answered a call itself, so the instances before it have ended
        self.response_times = ResponseTimeEstimator()
        self.unanswered = 0  # consecutive calls without an answer
        self.connection_refused = False  # the connection of the last failed call was refused
        self.silent_since: float | None = None  # when the first of the unanswered calls was sent
        self.answered_at = last_heartbeat_at
        self.latest_deadline = 0.0  # of its task leases, of all that it may have received (agent's clock)

    @property
    def silent(self) -> bool:
        """Whether more consecutive calls are unanswered than the loss of a single message explains."""
        return self.unanswered >= SILENT_AFTER_CALLS

    def silent_ms(self, now: float) -> int:
        """For how long it has not answered; 0 if it is not silent."""
        if not self.silent or self.silent_since is None:
            return 0
        return max(1, int((now - self.silent_since) * MS_PER_S))

    def call_answered(self, now: float) -> None:
        """This instance, or another one in its place, answered a call."""
        self.answered_at = now
        self.unanswered = 0
        self.connection_refused = False
        self.silent_since = None

    def call_unanswered(self, sent_at: float, now: float, refused: bool) -> None:
        """A call timed out or was refused; a call sent before the last answer does not count as silence."""
        self.response_times.unanswered(sent_at, now)
        self.connection_refused = refused
        if self.answered_at > sent_at:
            return
        self.unanswered += 1
        if self.silent_since is None or sent_at < self.silent_since:
            self.silent_since = sent_at


class HeartbeatEffect(enum.Enum):
    """What a heartbeat changed; the values are part of log event names."""

    IGNORED = "ignored"  # late, repeated, or of an instance that has ended
    RENEWED = "renewed"
    DRAINING = "draining"  # the first that announces draining
    CONFIRMED = "confirmed"  # the first of an instance of which only the id was known
    NEW_INSTANCE = "new_life"
    UNCONFIRMED = "unconfirmed"  # of an instance that may replace the current one, or may have ended before it


class BadHeartbeat(Struct, frozen=True):
    """A malformed heartbeat; `reason` names the invalid field."""

    reason: str


class InstanceTracker:
    """Tracks the current instance of the worker and the instances known to have ended.

    An instance ends for certain when it leaves, when another one answers in its place, or when one that came after it
    answers. A heartbeat of an unknown instance only makes it the candidate for the current one.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a known instance."""
        self._clock = clock
        self._ended: set[str] = set()
        self._unreported: list[str] = []
        self.current: WorkerInstance | None = None
        self.candidate: WorkerInstance | None = None  # sent a heartbeat; it is not known whether it is the later one

    def heartbeat(self, instance: str, body: bytes) -> HeartbeatEffect | BadHeartbeat:
        """Process a heartbeat; a malformed one changes nothing."""
        message = _read_heartbeat(body)
        if isinstance(message, BadHeartbeat):
            return message
        if instance in self._ended:
            return HeartbeatEffect.IGNORED
        worker = self.current
        if worker is None or (worker.replaced and worker.instance != instance):
            self._begin_instance(WorkerInstance(instance, self._clock.now()), message)
            return HeartbeatEffect.NEW_INSTANCE
        if worker.instance != instance:
            return self._renew_candidate(instance, message)
        return self._renew(worker, message)

    def find(self, instance: str) -> WorkerInstance | None:
        """The current instance or the candidate, if it has that id."""
        known = (self.current, self.candidate)
        return next((worker for worker in known if worker is not None and worker.instance == instance), None)

    def settle_candidate(self) -> WorkerInstance | None:
        """Make the candidate the current instance, or drop it, once that is certain. Return a new current instance."""
        candidate = self.candidate
        if candidate is None:
            return None
        if candidate.replaced:
            self.mark_ended(candidate.instance)
            return None
        if not (candidate.confirmed or self.current is None or self.current.replaced):
            return None
        if self.current is not None:
            self.mark_ended(self.current.instance)
        self.current, self.candidate = candidate, None
        return candidate

    def prefer(self, instance: str) -> None:
        """The primary knows `instance`; an unconfirmed current one becomes the candidate until it answers."""
        current, candidate = self.current, self.candidate
        self.candidate = current
        if candidate is not None and candidate.instance == instance:
            self.current = candidate
        else:
            self.current = WorkerInstance(instance, self._clock.now())

    def assume_current(self, instance: str) -> None:
        """Assume that `instance` is the current one, as the primary does, until a heartbeat arrives."""
        if self.current is None and instance not in self._ended:
            self.current = WorkerInstance(instance, self._clock.now())

    def mark_ended(self, instance: str) -> None:
        """That instance has certainly ended; its id is never used again."""
        if instance not in self._ended:
            self._ended.add(instance)
            self._unreported.append(instance)
        if self.current is not None and self.current.instance == instance:
            self.current = None
        if self.candidate is not None and self.candidate.instance == instance:
            self.candidate = None

    def has_ended(self, instance: str) -> bool:
        """Whether that instance is known to have ended."""
        return instance in self._ended

    def report_again(self, instance: str) -> None:
        """Report the end of an instance again: the primary believes it alive.

        An earlier primary received the report, but may have failed before it replicated the information.
        """
        if instance in self._ended and instance not in self._unreported:
            self._unreported.append(instance)

    def unreported_ends(self) -> list[str]:
        """Ended instances that no answered report has contained."""
        return list(self._unreported)

    def ends_reported(self, instances: list[str]) -> None:
        """A report that contained these was answered."""
        self._unreported = [instance for instance in self._unreported if instance not in instances]

    def info(self) -> WorkerInfo | None:
        """The content of the latest heartbeat, with its age; None before the first one of the current instance."""
        worker = self.current
        if worker is None or worker.info is None:
            return None
        age_ms = int((self._clock.now() - worker.last_heartbeat_at) * MS_PER_S)
        return msgspec.structs.replace(worker.info, heartbeat_age_ms=age_ms)

    def _begin_instance(self, worker: WorkerInstance, message: HeartbeatBody) -> None:
        """Switch to a new instance; the previous one, if any, has ended."""
        if self.current is not None:
            self.mark_ended(self.current.instance)
        self.current = worker
        self._renew(worker, message)

    def _renew_candidate(self, instance: str, message: HeartbeatBody) -> HeartbeatEffect:
        """Process a heartbeat of an instance that is not the current one; the one heard last is the candidate."""
        if self.candidate is None or self.candidate.instance != instance:
            self.candidate = WorkerInstance(instance, self._clock.now())
        self._renew(self.candidate, message)
        return HeartbeatEffect.UNCONFIRMED

    def _renew(self, worker: WorkerInstance, message: HeartbeatBody) -> HeartbeatEffect:
        """Process a heartbeat of the current instance."""
        now = self._clock.now()
        if message.clock_ms is not None:
            worker.clock.record_reading(message.clock_ms, now)
        newly_draining = message.state == "draining" and not worker.draining
        worker.draining = worker.draining or newly_draining
        if worker.info is not None and message.sequence <= worker.info.sequence:
            return self._apply_late_heartbeat(worker.info, newly_draining)
        confirmed = worker.info is None
        worker.info = _worker_info(worker, message)
        worker.last_heartbeat_at = now
        worker.replaced = False
        if confirmed:
            return HeartbeatEffect.CONFIRMED
        return HeartbeatEffect.DRAINING if newly_draining else HeartbeatEffect.RENEWED

    def _apply_late_heartbeat(self, info: WorkerInfo, newly_draining: bool) -> HeartbeatEffect:
        """Process a heartbeat older than the latest one: it only counts if it announces draining."""
        if not newly_draining:
            return HeartbeatEffect.IGNORED
        info.state = "draining"
        return HeartbeatEffect.DRAINING


def _read_heartbeat(body: bytes) -> HeartbeatBody | BadHeartbeat:
    try:
        return msgspec.json.decode(body, type=HeartbeatBody)
    except msgspec.DecodeError as error:  # or ValidationError; its text ends in the path of the field
        return BadHeartbeat(str(error))


def _worker_info(worker: WorkerInstance, message: HeartbeatBody) -> WorkerInfo:
    return WorkerInfo(
        instance=worker.instance,
        service=message.service,
        address=message.address,
        zone=message.zone,
        version=message.version,
        slots=message.slots,
        state="draining" if worker.draining else message.state,
        cold_remaining_ms=int(message.cold_remaining_ms),
        cpu=message.capacity.cpu,
        memory_mb=message.capacity.memory_limit_mb,
        gpu=message.capacity.gpu,
        labels=message.labels,
        remaining_ms=NOT_ANNOUNCED if message.remaining_ms is None else int(message.remaining_ms),
        sequence=message.sequence,
    )
