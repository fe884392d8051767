"""Decides when a worker instance that announced its exit has ended.

It may serve on for seconds, or end at once. Its end is reported only when nothing can be running there any more, and
when the primary has acknowledged all that it has told.
"""

from __future__ import annotations

from pipitledge.agent.lease_manager import LeaseManager
from pipitledge.agent.orders import OrderDispatcher
from pipitledge.agent.worker_instance import WorkerInstance


def has_left(worker: WorkerInstance, leases: LeaseManager, dispatcher: OrderDispatcher) -> bool:
    """Whether a worker that announced its exit has ended: its process is gone, or nothing can be running in it."""
    if not worker.leaving or worker.replaced or leases.finished():
        return False
    is_over = leases.worker_has_exited() or leases.unanswered_leases_expired()
    return is_over or (leases.is_idle() and dispatcher.open_orders() == 0)
