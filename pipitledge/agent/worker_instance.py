"""The lives of the worker beside this agent: told by its heartbeats, each under an id of its own."""

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
SILENT_AFTER_CALLS = 2  # unanswered in a row: a single order may be lost on its way


class WorkerInstance:
    """One life of the worker, from its start to its end or crash."""

    def __init__(self, instance: str, last_heartbeat_at: float) -> None:
        """Begin with the id alone; `info` is empty until a heartbeat of this life has come."""
        self.instance = instance
        self.info: WorkerInfo | None = None
        self.last_heartbeat_at = last_heartbeat_at
        self.clock = WorkerClock()
        self.draining = False  # announced its end; no start may leave any more
        self.leaving = False  # said goodbye; ends about now
        self.replaced = False  # a call meant for this life was answered by another one
        self.response_times = ResponseTimeEstimator()
        self.unanswered = 0  # calls in a row
        self.connection_refused = False  # nothing listened at its address when it was called last
        self.silent_since: float | None = None  # when the first of them was sent
        self.answered_at = last_heartbeat_at

    @property
    def silent(self) -> bool:
        """Whether it leaves calls unanswered, and not just one that may have been lost."""
        return self.unanswered >= SILENT_AFTER_CALLS

    def silent_ms(self, now: float) -> int:
        """How long it has been silent; 0 if it is not."""
        if not self.silent or self.silent_since is None:
            return 0
        return max(1, int((now - self.silent_since) * MS_PER_S))

    def call_answered(self, now: float) -> None:
        """It answered a call, or a call to it was answered by another life."""
        self.answered_at = now
        self.unanswered = 0
        self.connection_refused = False
        self.silent_since = None

    def call_unanswered(self, sent_at: float, now: float, refused: bool) -> None:
        """It left a call unanswered; one that was sent before its last answer tells nothing."""
        self.response_times.unanswered(sent_at, now)
        self.connection_refused = refused
        if self.answered_at > sent_at:
            return
        self.unanswered += 1
        if self.silent_since is None or sent_at < self.silent_since:
            self.silent_since = sent_at


class HeartbeatEffect(enum.Enum):
    """What a heartbeat changed."""

    IGNORED = "ignored"  # late, repeated, or of a life that is over
    RENEWED = "renewed"
    DRAINING = "draining"  # announced now
    CONFIRMED = "confirmed"  # of a life that was known by its id alone
    NEW_INSTANCE = "new_life"


class BadHeartbeat(Struct, frozen=True):
    """A heartbeat that can't be read; `reason` names the place."""

    reason: str


class InstanceTracker:
    """The present life of the worker, and those known to be over."""

    def __init__(self, clock: Clock) -> None:
        """Begin with no life known."""
        self._clock = clock
        self._ended: set[str] = set()
        self._unreported: list[str] = []
        self.current: WorkerInstance | None = None

    def heartbeat(self, instance: str, body: bytes) -> HeartbeatEffect | BadHeartbeat:
        """Take a heartbeat; one that can't be read changes nothing."""
        message = _read_heartbeat(body)
        if isinstance(message, BadHeartbeat):
            return message
        if instance in self._ended:
            return HeartbeatEffect.IGNORED
        worker = self.current
        if worker is None or worker.instance != instance:
            return self._begin_instance(instance, message)
        return self._renew(worker, message)

    def assume_current(self, instance: str) -> None:
        """Take `instance` for the present life, as the primary does, until a heartbeat tells."""
        if self.current is None and instance not in self._ended:
            self.current = WorkerInstance(instance, self._clock.now())

    def mark_ended(self, instance: str) -> None:
        """That life is over for certain; it never comes back."""
        if instance not in self._ended:
            self._ended.add(instance)
            self._unreported.append(instance)
        if self.current is not None and self.current.instance == instance:
            self.current = None

    def has_ended(self, instance: str) -> bool:
        """Whether that life is known to be over."""
        return instance in self._ended

    def report_again(self, instance: str) -> None:
        """A primary takes this life for alive: the one that was told of its end may not have kept it."""
        if instance in self._ended and instance not in self._unreported:
            self._unreported.append(instance)

    def unreported_ends(self) -> list[str]:
        """Lives that are over and that no answered report has told of."""
        return list(self._unreported)

    def ends_reported(self, instances: list[str]) -> None:
        """A report that told of these was answered."""
        self._unreported = [instance for instance in self._unreported if instance not in instances]

    def info(self) -> WorkerInfo | None:
        """What the worker last told of itself, with its age."""
        worker = self.current
        if worker is None or worker.info is None:
            return None
        age_ms = int((self._clock.now() - worker.last_heartbeat_at) * MS_PER_S)
        return msgspec.structs.replace(worker.info, heartbeat_age_ms=age_ms)

    def _begin_instance(self, instance: str, message: HeartbeatBody) -> HeartbeatEffect:
        """A life never seen before: the one before it is over."""
        if self.current is not None:
            self.mark_ended(self.current.instance)
        self.current = WorkerInstance(instance, self._clock.now())
        self._renew(self.current, message)
        return HeartbeatEffect.NEW_INSTANCE

    def _renew(self, worker: WorkerInstance, message: HeartbeatBody) -> HeartbeatEffect:
        """A heartbeat of the present life."""
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
        """A heartbeat older than one that was seen: nothing but its announcement of the end counts."""
        if not newly_draining:
            return HeartbeatEffect.IGNORED
        info.state = "draining"
        return HeartbeatEffect.DRAINING


def _read_heartbeat(body: bytes) -> HeartbeatBody | BadHeartbeat:
    try:
        return msgspec.json.decode(body, type=HeartbeatBody)
    except msgspec.DecodeError as error:  # a ValidationError too: its text ends in the place
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
