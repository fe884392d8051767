"""Start and stop orders to agents, resent until a report shows their effect."""

from __future__ import annotations

import math

from msgspec import Struct

from pipitledge.scheduling.context import Context
from pipitledge.scheduling.tasks import Run
from pipitledge.scheduling.workers import Worker
from pipitledge.wire.messages import AgentOrders, AgentReport, OrdersReply, StartOrder, StopOrder

RESEND_AFTER_S = 0.25  # an order is resent if its effect has not been reported by then
SETTLED_GRACE_S = (
    1.5  # the other members of a gang that is done may end by themselves; after this time they are stopped
)
BUSY_POLL_MS = 100  # interval at which agents poll their worker for run ends while tasks wait for resources
IDLE_POLL_MS = 300  # otherwise
PUSH_TIMEOUT_S = 1.0
PUSH_ATTEMPTS = 3  # consecutive failed pushes after which orders are not resent until the agent reports


class OrderSender:
    """Collects the orders for each agent and sends them, pushed or as answers to reports."""

    def __init__(self, context: Context) -> None:
        """Work on the shared state."""
        self._context = context

    def answer(self, worker: Worker, report: AgentReport) -> AgentOrders:
        """Return the answer to a report: all orders that have not taken effect yet, and a new lease grant."""
        orders = self._collect_orders(worker)
        orders.sent_at = report.sent_at
        orders.report_number = report.number
        orders.grant_ms = self._context.timings.grant_ms
        if report.term != orders.term:
            orders.view = self._context.replicator.view
        return orders

    def push(self, worker: Worker) -> None:
        """Send the orders of a worker to its agent at once, if there are any."""
        self._context.workers_to_push.discard(worker)
        if not worker.address or not self._context.replicator.is_primary():
            return
        orders = self._collect_orders(worker)
        if orders.starts or orders.stops:
            self._send(worker, orders)

    def announce(self, address: str) -> None:
        """Notify an agent that this node is primary, and of its term."""
        orders = self._new_orders()
        orders.view = self._context.replicator.view
        self._context.ports.network.call(address, orders, PUSH_TIMEOUT_S, _ignore)

    def _send(self, worker: Worker, orders: AgentOrders) -> None:
        network = self._context.ports.network
        network.call(worker.address, orders, PUSH_TIMEOUT_S, lambda reply: self._on_push_reply(worker, orders, reply))

    def _on_push_reply(self, worker: Worker, orders: AgentOrders, reply: Struct | None) -> None:
        """Handle the answer to pushed orders; None if the call failed, in which case the orders may have arrived."""
        context = self._context
        if isinstance(reply, OrdersReply):
            worker.push_failures = 0
            return
        if not context.active or context.workers.get(worker.node) is not worker:
            return
        worker.push_failures += 1
        worker.unreachable = True
        context.usability_changed(worker)
        context.log.warning("orders_not_taken", peer=worker.node, step="push", failures=worker.push_failures)
        if worker.push_failures < PUSH_ATTEMPTS and orders.term == context.replicator.term:
            self._resend_soon(worker)

    def _resend_soon(self, worker: Worker) -> None:
        for run in worker.runs.values():
            run.start_sent_at = run.stop_sent_at = -math.inf
        self._context.workers_to_push.add(worker)
        self._context.request_pass()

    def _new_orders(self) -> AgentOrders:
        context = self._context
        return AgentOrders(
            term=context.replicator.term, primary=context.identity.name, address=context.identity.address
        )

    def _collect_orders(self, worker: Worker) -> AgentOrders:
        """Return all orders that the worker instance is not known to have carried out, except those sent just now."""
        now = self._context.clock.now()
        orders = self._new_orders()
        orders.report_number = worker.report_number
        orders.poll_interval_ms = self._poll_interval_ms(worker)
        orders.instance = worker.instance or _presumed_instance(worker)
        orders.acknowledged = worker.acknowledged
        if not worker.instance:
            return orders
        for run in worker.runs.values():
            if run.instance == worker.instance:
                self._add_order(run, now, orders)
        for key, sent_at in worker.unexpected_stops_sent_at.items():
            if now - sent_at >= RESEND_AFTER_S:
                worker.unexpected_stops_sent_at[key] = now
                orders.stops.append(StopOrder(task=key[0], run=key[1]))
        return orders

    def _poll_interval_ms(self, worker: Worker) -> int:
        """Return how often the agent should poll its worker; more often while tasks wait for freed resources."""
        queue = self._context.queues.get(worker.service)
        return BUSY_POLL_MS if queue else IDLE_POLL_MS

    def _add_order(self, run: Run, now: float, orders: AgentOrders) -> None:
        """Add the start or stop order that a run needs, if any."""
        if run.settled or run.stop_cause is not None:
            stop_from = run.settled_at + SETTLED_GRACE_S if run.settled else 0.0
            if now >= stop_from and now - run.stop_sent_at >= RESEND_AFTER_S:
                run.stop_sent_at = now
                orders.stops.append(StopOrder(task=run.task.name, run=run.number))
        elif run.committed and not run.listed and run is run.task.run and now - run.start_sent_at >= RESEND_AFTER_S:
            run.start_sent = True
            run.start_sent_at = now
            spec = run.task.task_group.job.submission.spec
            orders.starts.append(StartOrder(task=run.task.name, run=run.number, spec=spec, saved=run.start_checkpoint))


def _presumed_instance(worker: Worker) -> str:
    """Return the instance that the runs of a worker belong to, if the worker has not reported to this primary yet.

    Its agent may renew the task leases of that instance.
    """
    instances = [run.instance for run in worker.runs.values() if run.instance not in worker.dead_instances]
    return instances[-1] if instances else ""


def _ignore(reply: Struct | None) -> None:
    """Ignore the answer to a notification."""
