"""The lives of the worker beside this agent: told by its heartbeats, each under an id of its own."""

from __future__ import annotations

import enum

import msgspec
from msgspec import Struct

from pipitledge.agent.answer_times import AnswerTimes
from pipitledge.agent.worker_clock import MS_PER_S, WorkerClock
from pipitledge.agent.worker_messages import HeartbeatBody
from pipitledge.runtime.ports import Clock
from pipitledge.wire.messages import WorkerInfo

NOT_TOLD = -1
SILENT_AFTER_CALLS = 2  # unanswered in a row: a single order may be lost on its way


class Life:
    """One life of the worker, from its start to its end or crash."""

    def __init__(self, instance: str, heard_at: float) -> None:
        """Begin with the id alone; `info` is empty until a heartbeat of this life has come."""
        self.instance = instance
        self.info: WorkerInfo | None = None
        self.heard_at = heard_at
        self.clock = WorkerClock()
        self.draining = False  # announced its end; no start may leave any more
        self.leaving = False  # said goodbye; ends about now
        self.denied = False  # a call meant for this life was answered by another one
        self.answer_times = AnswerTimes()
        self.unanswered = 0  # calls in a row
        self.refuses = False  # nothing listened at its address when it was called last
        self.silent_since: float | None = None  # when the first of them was sent
        self.answered_at = heard_at

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
        self.refuses = False
        self.silent_since = None

    def call_unanswered(self, sent_at: float, now: float, refused: bool) -> None:
        """It left a call unanswered; one that was sent before its last answer tells nothing."""
        self.answer_times.unanswered(sent_at, now)
        self.refuses = refused
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
    NEW_LIFE = "new_life"


class BadHeartbeat(Struct, frozen=True):
    """A heartbeat that can't be read; `reason` names the place."""

    reason: str


class Lives:
    """The present life of the worker, and those known to be over."""

    def __init__(self, clock: Clock) -> None:
        """Begin with no life known."""
        self._clock = clock
        self._over: set[str] = set()
        self._unreported: list[str] = []
        self.current: Life | None = None

    def heartbeat(self, instance: str, body: bytes) -> HeartbeatEffect | BadHeartbeat:
        """Take a heartbeat; one that can't be read changes nothing."""
        told = _read_heartbeat(body)
        if isinstance(told, BadHeartbeat):
            return told
        if instance in self._over:
            return HeartbeatEffect.IGNORED
        life = self.current
        if life is None or life.instance != instance:
            return self._begin(instance, told)
        return self._renew(life, told)

    def presume(self, instance: str) -> None:
        """Take `instance` for the present life, as the primary does, until a heartbeat tells."""
        if self.current is None and instance not in self._over:
            self.current = Life(instance, self._clock.now())

    def end(self, instance: str) -> None:
        """That life is over for certain; it never comes back."""
        if instance not in self._over:
            self._over.add(instance)
            self._unreported.append(instance)
        if self.current is not None and self.current.instance == instance:
            self.current = None

    def is_over(self, instance: str) -> bool:
        """Whether that life is known to be over."""
        return instance in self._over

    def tell_again(self, instance: str) -> None:
        """A primary takes this life for alive: the one that was told of its end may not have kept it."""
        if instance in self._over and instance not in self._unreported:
            self._unreported.append(instance)

    def unreported_ends(self) -> list[str]:
        """Lives that are over and that no answered report has told of."""
        return list(self._unreported)

    def ends_reported(self, instances: list[str]) -> None:
        """A report that told of these was answered."""
        self._unreported = [instance for instance in self._unreported if instance not in instances]

    def info(self) -> WorkerInfo | None:
        """What the worker last told of itself, with its age."""
        life = self.current
        if life is None or life.info is None:
            return None
        age_ms = int((self._clock.now() - life.heard_at) * MS_PER_S)
        return msgspec.structs.replace(life.info, heartbeat_age_ms=age_ms)

    def _begin(self, instance: str, told: HeartbeatBody) -> HeartbeatEffect:
        """A life never seen before: the one before it is over."""
        if self.current is not None:
            self.end(self.current.instance)
        self.current = Life(instance, self._clock.now())
        self._renew(self.current, told)
        return HeartbeatEffect.NEW_LIFE

    def _renew(self, life: Life, told: HeartbeatBody) -> HeartbeatEffect:
        """A heartbeat of the present life."""
        now = self._clock.now()
        if told.clock_ms is not None:
            life.clock.note(told.clock_ms, now)
        drains_now = told.state == "draining" and not life.draining
        life.draining = life.draining or drains_now
        if life.info is not None and told.sequence <= life.info.sequence:
            return self._late(life.info, drains_now)
        confirmed = life.info is None
        life.info = _worker_info(life, told)
        life.heard_at = now
        life.denied = False
        if confirmed:
            return HeartbeatEffect.CONFIRMED
        return HeartbeatEffect.DRAINING if drains_now else HeartbeatEffect.RENEWED

    def _late(self, info: WorkerInfo, drains_now: bool) -> HeartbeatEffect:
        """A heartbeat older than one that was seen: nothing but its announcement of the end counts."""
        if not drains_now:
            return HeartbeatEffect.IGNORED
        info.state = "draining"
        return HeartbeatEffect.DRAINING


def _read_heartbeat(body: bytes) -> HeartbeatBody | BadHeartbeat:
    try:
        return msgspec.json.decode(body, type=HeartbeatBody)
    except msgspec.DecodeError as error:  # a ValidationError too: its text ends in the place
        return BadHeartbeat(str(error))


def _worker_info(life: Life, told: HeartbeatBody) -> WorkerInfo:
    return WorkerInfo(
        instance=life.instance,
        service=told.service,
        address=told.address,
        zone=told.zone,
        version=told.version,
        slots=told.slots,
        state="draining" if life.draining else told.state,
        cold_remaining_ms=int(told.cold_remaining_ms),
        cpu=told.capacity.cpu,
        memory_mb=told.capacity.memory_limit_mb,
        gpu=told.capacity.gpu,
        labels=told.labels,
        remaining_ms=NOT_TOLD if told.remaining_ms is None else int(told.remaining_ms),
        sequence=told.sequence,
    )
