"""The job scheduler: a service that runs on the primary, assembled from the other modules of this package."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from pipitledge.runtime.handlers import Handlers
from pipitledge.runtime.ports import Timer
from pipitledge.scheduling.admission import Admission
from pipitledge.scheduling.calls import ClientCallHandler
from pipitledge.scheduling.context import Context, NodeIdentity, Ports, SchedulerTimings
from pipitledge.scheduling.copies import SpeculativeCopies
from pipitledge.scheduling.dispatcher import Dispatcher
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.orders import OrderSender
from pipitledge.scheduling.preemption import Preemption
from pipitledge.scheduling.reports import ReportHandler
from pipitledge.scheduling.restore import StateRestorer
from pipitledge.scheduling.run_monitor import RunMonitor
from pipitledge.scheduling.usage import UsagePublisher
from pipitledge.wire.messages import AgentReport, ClientCall

TICK_S = 0.1
MIN_TICK_S = 0.005  # when an occurrence of a job comes due sooner than TICK_S


def _no_agents() -> Sequence[str]:
    return ()


class Scheduler:
    """Runs jobs on workers while this node is primary."""

    def __init__(
        self,
        ports: Ports,
        timings: SchedulerTimings,
        identity: NodeIdentity,
        agents: Callable[[], Sequence[str]] = _no_agents,
    ) -> None:
        """Act through `ports`; `agents` returns the addresses of the agents to notify of each new term."""
        self._context = Context(ports, timings, identity)
        self._agents = agents
        self._lifecycle = Lifecycle(self._context)
        self._orders = OrderSender(self._context)
        self._admission = Admission(self._context)
        self._usage = UsagePublisher(self._context, self._admission.usage)
        self._preemption = Preemption(self._context, self._lifecycle)
        self._dispatcher = Dispatcher(self._context, self._lifecycle, self._orders, self._preemption)
        self._reports = ReportHandler(self._context, self._lifecycle, self._orders)
        self._calls = ClientCallHandler(self._context, self._lifecycle, self._admission)
        self._run_monitor = RunMonitor(self._context, self._lifecycle)
        self._copies = SpeculativeCopies(self._context, self._lifecycle)
        self._timer: Timer | None = None
        self._context.on_pass = self._dispatcher.run_pass

    @property
    def context(self) -> Context:
        """The state of the scheduler while this node is primary; read-only, for status."""
        return self._context

    def register(self, handlers: Handlers) -> None:
        """Register the handlers of client calls and agent reports."""
        handlers.on_call(ClientCall, self._calls.handle)
        handlers.on_call(AgentReport, self._reports.handle)

    def usage(self) -> tuple[int, bytes]:
        """Return the published usage of the queues: a version, which rises within a term, and a `QueueUsageReport`."""
        return self._usage.current()

    # ---- primary role

    def activated(self, term: int, state: Mapping[str, bytes]) -> None:
        """Take over after this node has become primary; `state` is the complete replicated state."""
        self._reset()
        context = self._context
        context.active = True
        context.activated_at = context.clock.now()
        StateRestorer(context, self._lifecycle, self._admission).restore(state)
        context.log.info("scheduler_active", epoch=term, jobs=len(context.jobs), ended=len(context.ended_jobs))
        for address in self._agents():
            self._orders.announce(address)
        context.request_pass()
        self._tick()

    def deactivated(self) -> None:
        """Drop all state and timers: this node is no longer primary."""
        if self._context.active:
            self._context.log.info("scheduler_inactive")
        self._reset()

    def _reset(self) -> None:
        self._context.active = False
        self._context.cancel_pass()
        self._context.batch.drop()
        self._context.clear()
        for part in (self._lifecycle, self._preemption, self._dispatcher, self._reports, self._run_monitor):
            part.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # ---- periodic work

    def _tick(self) -> None:
        """Do the periodic work, and schedule the next tick."""
        context = self._context
        if not context.active:
            return
        if context.replicator.is_primary():
            self._run_monitor.tick()
            self._copies.tick()
            self._lifecycle.start_due_jobs()
            self._lifecycle.delete_expired_jobs()
            self._reports.answer_overdue()
            if any(len(queue) for queue in context.queues.values()):
                context.request_pass()
        self._timer = context.clock.at(context.clock.now() + self._next_tick_s(), self._tick)

    def _next_tick_s(self) -> float:
        due_s = self._lifecycle.next_due_s()
        if due_s is None:
            return TICK_S
        return min(TICK_S, max(MIN_TICK_S, due_s))
