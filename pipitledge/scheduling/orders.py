"""Orders to agents: what should run and what should not, repeated until a report shows it."""

from __future__ import annotations

import math

from msgspec import Struct

from pipitledge.scheduling.context import Context
from pipitledge.scheduling.tasks import Run
from pipitledge.scheduling.workers import Worker
from pipitledge.wire.messages import AgentOrders, AgentReport, OrdersReply, StartOrder, StopOrder

RESEND_AFTER_S = 0.25  # an order is repeated once its effect should have been reported
SETTLED_GRACE_S = 1.5  # members of a gang that is done end by themselves; after that they are stopped
BUSY_POLL_MS = 100  # between looks at a worker's ends, while work waits for room
IDLE_POLL_MS = 300
PUSH_TIMEOUT_S = 1.0
PUSH_ATTEMPTS = 3  # before an agent counts as out of reach until it reports


class OrderSender:
    """Makes agents' orders and sends them."""

    def __init__(self, context: Context) -> None:
        """Work on the shared state."""
        self._context = context

    def answer(self, worker: Worker, report: AgentReport) -> AgentOrders:
        """The answer to a report: everything that it does not show yet."""
        orders = self._collect_orders(worker)
        orders.sent_at = report.sent_at
        orders.report_number = report.number
        orders.grant_ms = self._context.timings.grant_ms
        if report.term != orders.term:
            orders.view = self._context.replicator.view
        return orders

    def push(self, worker: Worker) -> None:
        """Send a worker's orders at once, if there are any."""
        self._context.workers_to_push.discard(worker)
        if not worker.address or not self._context.replicator.is_primary():
            return
        orders = self._collect_orders(worker)
        if orders.starts or orders.stops:
            self._send(worker, orders)

    def announce(self, address: str) -> None:
        """Tell an agent who is primary, and under which term."""
        orders = self._new_orders()
        orders.view = self._context.replicator.view
        self._context.ports.network.call(address, orders, PUSH_TIMEOUT_S, _ignore)

    def _send(self, worker: Worker, orders: AgentOrders) -> None:
        network = self._context.ports.network
        network.call(worker.address, orders, PUSH_TIMEOUT_S, lambda reply: self._on_push_reply(worker, orders, reply))

    def _on_push_reply(self, worker: Worker, orders: AgentOrders, reply: Struct | None) -> None:
        """An agent took the orders, or perhaps did not."""
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
        """Everything that the worker's life should do and isn't known to do, except what was sent just now."""
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
        for key, sent_at in worker.foreign_stops.items():
            if now - sent_at >= RESEND_AFTER_S:
                worker.foreign_stops[key] = now
                orders.stops.append(StopOrder(task=key[0], run=key[1]))
        return orders

    def _poll_interval_ms(self, worker: Worker) -> int:
        """Ends are wanted sooner while work waits for the room that they free."""
        queue = self._context.queues.get(worker.service)
        return BUSY_POLL_MS if queue else IDLE_POLL_MS

    def _add_order(self, run: Run, now: float, orders: AgentOrders) -> None:
        """Add the order that one run needs."""
        if run.settled or run.stop_cause is not None:
            resend_from = run.settled_at + SETTLED_GRACE_S if run.settled else 0.0
            if now >= resend_from and now - run.stop_sent_at >= RESEND_AFTER_S:
                run.stop_sent_at = now
                orders.stops.append(StopOrder(task=run.task.name, run=run.number))
        elif run.committed and not run.listed and run is run.task.run and now - run.start_sent_at >= RESEND_AFTER_S:
            run.start_sent = True
            run.start_sent_at = now
            spec = run.task.task_group.job.submission.spec
            orders.starts.append(StartOrder(task=run.task.name, run=run.number, spec=spec, saved=run.start_checkpoint))


def _presumed_instance(worker: Worker) -> str:
    """The life that runs were ordered for, of a worker that hasn't been heard of: its agent may hold it."""
    lives = [run.instance for run in worker.runs.values() if run.instance not in worker.dead_instances]
    return lives[-1] if lives else ""


def _ignore(reply: Struct | None) -> None:
    """An announcement needs no answer."""
