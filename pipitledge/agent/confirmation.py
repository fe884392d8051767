"""Confirms a new worker instance by a call before it replaces the one that is known.

A heartbeat may be late: one of an instance that has ended can come when its successor is at work, and a restarted agent
does not remember which instances have ended. So a heartbeat alone ends no instance. The one that it names is called: if
it answers, the one before has ended; if another one answers in its place, it has ended itself.
"""

from __future__ import annotations

from collections.abc import Callable

from pipitledge.agent.worker_client import NO_ANSWER, WorkerClient, WorkerReply
from pipitledge.agent.worker_instance import InstanceTracker, WorkerInstance
from pipitledge.agent.worker_messages import HOLD_PATH, HoldBody
from pipitledge.runtime.ports import Clock


class InstanceConfirmation:
    """Calls the candidate of the instance tracker: once for each of its heartbeats, and again after a time-out."""

    def __init__(
        self, clock: Clock, client: WorkerClient, instances: InstanceTracker, on_change: Callable[[], None]
    ) -> None:
        """`on_change` is called after each answer; it must call `drive` before it returns."""
        self._clock = clock
        self._client = client
        self._instances = instances
        self._on_change = on_change
        self._fence = 0
        self._called: WorkerInstance | None = None  # candidate of the pending call
        self._called_for: tuple[str, float] = ("", 0.0)  # instance, and time of the heartbeat that was followed up
        self._stopped = False

    def set_fence(self, term: int) -> None:
        """Use the term as fencing token from now on."""
        self._fence = term

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True

    def drive(self) -> None:
        """Call the candidate, if there is one and a call is due."""
        candidate = self._instances.candidate
        if candidate is None or candidate is self._called or not self._fence or self._stopped:
            return
        heartbeat = (candidate.instance, candidate.last_heartbeat_at)
        if self._called_for == heartbeat:
            return
        self._called_for = heartbeat
        self._called = candidate
        body = HoldBody(fence_token=self._fence, last_seen=0)
        timeout = candidate.response_times.timeout
        self._client.call(candidate, HOLD_PATH, body, timeout, lambda reply: self._answered(candidate, reply))

    def _answered(self, candidate: WorkerInstance, reply: WorkerReply) -> None:
        if self._called is not candidate or self._stopped:
            return
        self._called = None
        if reply.status == NO_ANSWER and not reply.refused:
            self._called_for = ("", 0.0)
        self._on_change()
