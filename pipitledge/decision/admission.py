"""Admission control for one job in four steps: limit, reservation, shared remainder, refusal. No I/O, no dependencies.

Each queue (for example a tenant) has a limit and a reservation for its slots in flight. The capacity that no
reservation covers is the shared remainder. A queue borrows from the remainder for its usage beyond its reservation, so
an unused reservation stays available to its own queue. All quantities are in slots.
"""

from __future__ import annotations

import enum
from collections.abc import Hashable, Mapping
from typing import NamedTuple, TypeVar

Key = TypeVar("Key", bound=Hashable)


class Decision(enum.Enum):
    """The result of admission control, and the step that decided."""

    OVER_LIMIT = "over the queue's limit"
    WITHIN_RESERVATION = "within the queue's reservation"
    FROM_REMAINDER = "borrowed from the shared remainder"
    NO_REMAINDER = "the shared remainder is used up"

    @property
    def admitted(self) -> bool:
        """Whether the job is admitted."""
        return self is Decision.WITHIN_RESERVATION or self is Decision.FROM_REMAINDER


class QueueUsage(NamedTuple):
    """Usage, limit and reservation of one queue, in slots."""

    inflight: float
    limit: float
    reservation: float


def admit(weight: float, queue: Key, usages: Mapping[Key, QueueUsage], capacity: float) -> Decision:
    """Decide on a job of `weight` slots for `queue`; `usages` holds all queues that share `capacity`."""
    own = usages[queue]
    wanted = own.inflight + weight
    if wanted > own.limit:
        return Decision.OVER_LIMIT
    if wanted <= own.reservation:
        return Decision.WITHIN_RESERVATION
    borrowed = reserved = 0.0
    for inflight, _, reservation in usages.values():
        reserved += reservation
        if inflight > reservation:
            borrowed += inflight - reservation
    if borrowed + weight <= capacity - reserved:
        return Decision.FROM_REMAINDER
    return Decision.NO_REMAINDER
