"""The scheduling pass: assigns waiting tasks to workers in order of rank and writes all changes as one batch.

A full pass tries all waiting stages on all usable workers. A partial pass, between full ones, considers only changes:
it tries new stages on all usable workers, and older stages on workers that may have gained free resources.
"""

from __future__ import annotations

from collections.abc import Sequence

from pipitledge.scheduling import gangs
from pipitledge.scheduling.context import Context
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.orders import Orders
from pipitledge.scheduling.placement import PlacementRequest, TaskPlacer, WorkerGroup, choose_gang_workers
from pipitledge.scheduling.preemption import Preemption
from pipitledge.scheduling.queue_order import WorkQueue
from pipitledge.scheduling.tasks import Demand, Run, Step, Task
from pipitledge.scheduling.workers import Worker

MAX_GANGS_PER_PARTIAL_PASS = 3  # older gangs that a partial pass tries to place
FULL_PASS_INTERVAL_S = 0.25  # locality waits, retry pauses and avoidances expire without an event
NODE_AVOIDANCE_S = 1.0  # a task that finds no other worker for this long may return to one where it failed
STARVING_AFTER_S = 1.5  # a stage blocked this long may use any worker, if most of its service is idle
SUSPECT_AVOIDANCE_S = 0.4  # a failed task avoids workers where other tasks failed recently for this long


class _UnplaceableRequests:
    """Resource requests that a pass could not place, by node selector."""

    def __init__(self) -> None:
        self._demands: dict[str, list[Demand]] = {}

    def add(self, step: Step) -> None:
        """Record that no worker can take a task of the stage."""
        self._demands.setdefault(step.stage.node_selector, []).append(step.demand)

    def rules_out(self, step: Step) -> bool:
        """Whether the stage cannot be placed, because one that requested no more could not be placed either."""
        demand = step.demand
        selector = step.stage.node_selector
        if any(demand.covers(failed) for failed in self._demands.get("", ())):
            return True
        return bool(selector) and any(demand.covers(failed) for failed in self._demands.get(selector, ()))


class Dispatcher:
    """Assigns waiting tasks to workers and sends the start orders."""

    def __init__(self, context: Context, lifecycle: Lifecycle, orders: Orders, preemption: Preemption) -> None:
        """Work on the scheduler's shared state."""
        self._context = context
        self._lifecycle = lifecycle
        self._orders = orders
        self._preemption = preemption
        self._next_full_pass = 0.0

    def clear(self) -> None:
        """Make the next pass a full one."""
        self._next_full_pass = 0.0

    def run_pass(self) -> None:
        """Place what can be placed, write the changes and send the orders."""
        context = self._context
        if not context.replicator.is_primary():
            context.retry_pass()
            return
        now = context.clock.now()
        full = now >= self._next_full_pass
        if full:
            self._next_full_pass = now + FULL_PASS_INTERVAL_S
        fresh, context.fresh = context.fresh, set()
        dirty, context.dirty = context.dirty, set()
        for service, queue in context.queues.items():
            if len(queue):
                self._schedule_service(service, queue, fresh, dirty, full, now)
        self._write()

    # ---- writing and sending orders

    def _write(self) -> None:
        """Write the batch; start orders are sent once it is committed."""
        context = self._context
        placed, context.placed = context.placed, []
        written = context.batch.flush(lambda: _mark_committed(placed), lambda: self._send_orders(placed))
        if not written:
            context.placed = placed + context.placed
            context.retry_pass()
            return
        for worker in _by_name(context.unsent):
            self._orders.push(worker)

    def _send_orders(self, placed: list[Run]) -> None:
        """Send the orders of newly assigned runs after the commit of their records."""
        context = self._context
        workers = {context.workers[run.node] for run in placed if run.task.run is run}
        for worker in _by_name(workers | context.unsent):
            self._orders.push(worker)

    # ---- placing

    def _schedule_service(
        self, service: str, queue: WorkQueue, fresh: set[Step], dirty: set[Worker], full: bool, now: float
    ) -> None:
        """Place the stages that wait for the workers of one service."""
        usable = self._context.usable_workers(service, now)
        freed = WorkerGroup([worker for worker in usable.workers if worker in dirty])
        if full:
            queue.reorder(now)
        steps = list(queue.in_order()) if full or freed else queue.sorted(fresh)
        # By whether all usable workers were tried (True) or only those that may have gained free resources (False).
        unplaceable = {True: _UnplaceableRequests(), False: _UnplaceableRequests()}
        gangs_tried = 0
        idle = full and usable.mostly_idle()
        for step in steps:
            on_all = full or step in fresh
            if idle and _is_starving(step, now):
                self._place_starving(step, queue, usable.with_fallback(), now)
                continue
            if step.gang and not on_all:
                gangs_tried += 1
                if gangs_tried > MAX_GANGS_PER_PARTIAL_PASS:
                    continue
            if unplaceable[on_all].rules_out(step):
                self._mark_blocked(step, now)
                continue
            if self._place(step, queue, usable if on_all else freed, usable, now):
                continue
            self._mark_blocked(step, now)
            if not _constrained(step):
                unplaceable[on_all].add(step)
        if full or self._urgent_blocked(queue, fresh):
            self._preemption.handle_blocked_steps(queue, usable.workers, now)

    def _urgent_blocked(self, queue: WorkQueue, fresh: set[Step]) -> bool:
        """Whether one of the new stages is urgent and could not be placed."""
        return any(queue.is_urgent(step) and step.blocked_since >= 0.0 for step in fresh)

    def _place(self, step: Step, queue: WorkQueue, candidates: WorkerGroup, usable: WorkerGroup, now: float) -> bool:
        """Place as many tasks of the stage as possible; returns False if a task could not be placed."""
        if step.gang:
            placed = self._place_gang(step, queue, candidates, usable, now)
        else:
            placed = self._place_tasks(step, queue, candidates, usable, now)
        self._dequeue_if_placed(step, queue)
        return placed

    def _place_starving(self, step: Step, queue: WorkQueue, usable: WorkerGroup, now: float) -> None:
        """Place tasks of a starving stage on any worker with enough free resources, even an avoided or reserved one."""
        rank = queue.rank(step)
        assert rank is not None, "only a waiting stage is placed"
        request = PlacementRequest(step, rank, now, starving=True)
        far_x = self._context.figures.bounds.far_x
        if step.gang:
            self._assign_gang(step, request, usable)
        else:
            unrestricted = TaskPlacer(request, usable, usable, far_x)
            for task in _retries_first(step):
                excluded_nodes = _nodes_with_superseded_runs(task)
                restricted = PlacementRequest(step, rank, now, excluded_nodes=excluded_nodes, starving=True)
                placer = TaskPlacer(restricted, usable, usable, far_x) if excluded_nodes else unrestricted
                worker = placer.best() if task.not_before <= now else None
                if worker is not None:
                    self._lifecycle.assign(task, worker, task.last_run + 1)
        self._dequeue_if_placed(step, queue)
        if step.waiting:
            self._mark_blocked(step, now)

    def _dequeue_if_placed(self, step: Step, queue: WorkQueue) -> None:
        """Remove the stage from the queue, and release its reservations, if none of its tasks is waiting."""
        if not step.waiting:
            queue.remove(step)
            self._preemption.release_reservations(step)

    def _place_tasks(
        self, step: Step, queue: WorkQueue, candidates: WorkerGroup, usable: WorkerGroup, now: float
    ) -> bool:
        """Place the tasks of the stage one by one; returns False if a task could not be placed."""
        rank = queue.rank(step)
        assert rank is not None, "only a waiting stage is placed"
        far_x = self._context.figures.bounds.far_x
        unrestricted = TaskPlacer(PlacementRequest(step, rank, now), candidates, usable, far_x)
        for task in _retries_first(step):
            if task.not_before > now:
                continue
            avoided_nodes, avoid_suspects = self._nodes_to_avoid([task], now)
            excluded_nodes = _nodes_with_superseded_runs(task)
            restricted = bool(avoided_nodes or excluded_nodes) or avoid_suspects
            request = PlacementRequest(step, rank, now, avoided_nodes, excluded_nodes, avoid_suspects)
            placer = TaskPlacer(request, candidates, usable, far_x) if restricted else unrestricted
            worker = placer.best()
            if worker is not None:
                self._lifecycle.assign(task, worker, task.last_run + 1)
            elif not restricted:
                return False  # the remaining tasks request the same resources
        return not step.waiting

    def _place_gang(
        self, step: Step, queue: WorkQueue, candidates: WorkerGroup, usable: WorkerGroup, now: float
    ) -> bool:
        """Place all members of a gang or none; returns whether they were placed."""
        rank = queue.rank(step)
        assert rank is not None, "only a waiting stage is placed"
        if not candidates:
            return False
        avoided_nodes, avoid_suspects = self._nodes_to_avoid(step.tasks, now)
        return self._assign_gang(
            step, PlacementRequest(step, rank, now, avoided_nodes, avoid_suspects=avoid_suspects), usable
        )

    def _assign_gang(self, step: Step, request: PlacementRequest, usable: WorkerGroup) -> bool:
        """Assign each member of a gang to a worker, if there are enough resources for all of them."""
        if any(task.not_before > request.now for task in step.tasks):
            return False
        workers = choose_gang_workers(request, usable, self._context.figures.bounds.far_x)
        if workers is None:
            return False
        number = gangs.next_run_number(step)
        for task, worker in zip(step.tasks, workers, strict=True):
            self._lifecycle.assign(task, worker, number)
        return True

    def _nodes_to_avoid(self, tasks: Sequence[Task], now: float) -> tuple[set[str], bool]:
        """Return the nodes that the tasks should avoid, and whether to avoid all suspect workers; both expire."""
        first = tasks[0]
        waited = now - max(first.not_before, first.step.queued_at)
        if waited > NODE_AVOIDANCE_S:
            return set(), False
        avoided_nodes: set[str] = set()
        for task in tasks:
            avoided_nodes |= task.avoided
            if task.refused_by:
                avoided_nodes.add(task.refused_by)
        return avoided_nodes, waited <= SUSPECT_AVOIDANCE_S and any(task.failures > 0 for task in tasks)

    def _mark_blocked(self, step: Step, now: float) -> None:
        if step.blocked_since < 0.0:
            step.blocked_since = now


def _is_starving(step: Step, now: float) -> bool:
    """Whether a stage has been blocked for so long that it may use any worker."""
    return step.blocked_since >= 0.0 and now - step.blocked_since >= STARVING_AFTER_S


def _retries_first(step: Step) -> list[Task]:
    """Return the waiting tasks of a stage, the most delayed first: those with the most failed or superseded runs."""
    return sorted(step.waiting.values(), key=lambda task: -task.failures - len(task.former))


def _nodes_with_superseded_runs(task: Task) -> frozenset[str]:
    """Return the nodes where an earlier run of the task still holds resources while a speculative copy is wanted."""
    return frozenset(run.node for run in task.former)


def _by_name(workers: set[Worker]) -> list[Worker]:
    return sorted(workers, key=lambda worker: worker.node)


def _mark_committed(placed: list[Run]) -> None:
    for run in placed:
        run.committed = True


def _constrained(step: Step) -> bool:
    """Whether the stage may have been rejected by workers for another reason than a lack of free resources."""
    stage = step.stage
    restricted = any(
        task.avoided or task.refused_by or task.not_before or task.former for task in step.waiting.values()
    )
    return bool(step.gang or stage.affinity or stage.anti_affinity or restricted)
