"""The scheduling pass: assigns waiting tasks to workers in order of rank and writes all changes as one batch.

A full pass tries all waiting stages on all usable workers. A partial pass, between full ones, considers only changes:
it tries new stages on all usable workers, and older stages on workers that may have gained free resources.
"""

from __future__ import annotations

from collections.abc import Sequence

from pipitledge.scheduling import gangs
from pipitledge.scheduling.context import Context
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.orders import OrderSender
from pipitledge.scheduling.placement import PlacementRequest, TaskPlacer, WorkerGroup, choose_gang_workers
from pipitledge.scheduling.preemption import Preemption
from pipitledge.scheduling.queue_order import WorkQueue
from pipitledge.scheduling.tasks import ResourceRequest, Run, Task, TaskGroup
from pipitledge.scheduling.workers import Worker

MAX_GANGS_PER_PARTIAL_PASS = 3  # older gangs that a partial pass tries to place
FULL_PASS_INTERVAL_S = 0.25  # locality waits, retry pauses and avoidances expire without an event
NODE_AVOIDANCE_S = 1.0  # a task that finds no other worker for this long may return to one where it failed
STARVING_AFTER_S = 1.5  # a stage blocked this long may use any worker, if most of its service is idle
SUSPECT_AVOIDANCE_S = 0.4  # a failed task avoids workers where other tasks failed recently for this long


class _UnplaceableRequests:
    """Resource requests that a pass could not place, by node selector."""

    def __init__(self) -> None:
        self._demands: dict[str, list[ResourceRequest]] = {}

    def add(self, task_group: TaskGroup) -> None:
        """Record that no worker can take a task of the stage."""
        self._demands.setdefault(task_group.stage.node_selector, []).append(task_group.resource_request)

    def rules_out(self, task_group: TaskGroup) -> bool:
        """Whether the stage cannot be placed, because one that requested no more could not be placed either."""
        resource_request = task_group.resource_request
        selector = task_group.stage.node_selector
        if any(resource_request.covers(failed) for failed in self._demands.get("", ())):
            return True
        return bool(selector) and any(resource_request.covers(failed) for failed in self._demands.get(selector, ()))


class Dispatcher:
    """Assigns waiting tasks to workers and sends the start orders."""

    def __init__(self, context: Context, lifecycle: Lifecycle, orders: OrderSender, preemption: Preemption) -> None:
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
        dirty_task_groups, context.dirty_task_groups = context.dirty_task_groups, set()
        dirty_workers, context.dirty_workers = context.dirty_workers, set()
        for service, queue in context.queues.items():
            if len(queue):
                self._schedule_service(service, queue, dirty_task_groups, dirty_workers, full, now)
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
        for worker in _by_name(context.workers_to_push):
            self._orders.push(worker)

    def _send_orders(self, placed: list[Run]) -> None:
        """Send the orders of newly assigned runs after the commit of their records."""
        context = self._context
        workers = {context.workers[run.node] for run in placed if run.task.run is run}
        for worker in _by_name(workers | context.workers_to_push):
            self._orders.push(worker)

    # ---- placing

    def _schedule_service(
        self,
        service: str,
        queue: WorkQueue,
        dirty_task_groups: set[TaskGroup],
        dirty_workers: set[Worker],
        full: bool,
        now: float,
    ) -> None:
        """Place the stages that wait for the workers of one service."""
        usable = self._context.usable_workers(service, now)
        freed = WorkerGroup([worker for worker in usable.workers if worker in dirty_workers])
        if full:
            queue.reorder(now)
        task_groups = list(queue.in_order()) if full or freed else queue.sorted(dirty_task_groups)
        # By whether all usable workers were tried (True) or only those that may have gained free resources (False).
        unplaceable = {True: _UnplaceableRequests(), False: _UnplaceableRequests()}
        gangs_tried = 0
        idle = full and usable.mostly_idle()
        for task_group in task_groups:
            on_all = full or task_group in dirty_task_groups
            if idle and _is_starving(task_group, now):
                self._place_starving(task_group, queue, usable.with_fallback(), now)
                continue
            if task_group.gang and not on_all:
                gangs_tried += 1
                if gangs_tried > MAX_GANGS_PER_PARTIAL_PASS:
                    continue
            if unplaceable[on_all].rules_out(task_group):
                self._mark_blocked(task_group, now)
                continue
            if self._place(task_group, queue, usable if on_all else freed, usable, now):
                continue
            self._mark_blocked(task_group, now)
            if not _constrained(task_group):
                unplaceable[on_all].add(task_group)
        if full or self._urgent_blocked(queue, dirty_task_groups):
            self._preemption.handle_blocked_steps(queue, usable.workers, now)

    def _urgent_blocked(self, queue: WorkQueue, dirty_task_groups: set[TaskGroup]) -> bool:
        """Whether one of the new stages is urgent and could not be placed."""
        return any(queue.is_urgent(task_group) and task_group.blocked_since >= 0.0 for task_group in dirty_task_groups)

    def _place(
        self, task_group: TaskGroup, queue: WorkQueue, candidates: WorkerGroup, usable: WorkerGroup, now: float
    ) -> bool:
        """Place as many tasks of the stage as possible; returns False if a task could not be placed."""
        if task_group.gang:
            placed = self._place_gang(task_group, queue, candidates, usable, now)
        else:
            placed = self._place_tasks(task_group, queue, candidates, usable, now)
        self._dequeue_if_placed(task_group, queue)
        return placed

    def _place_starving(self, task_group: TaskGroup, queue: WorkQueue, usable: WorkerGroup, now: float) -> None:
        """Place tasks of a starving stage on any worker with enough free resources, even an avoided or reserved one."""
        rank = queue.rank(task_group)
        assert rank is not None, "only a waiting stage is placed"
        request = PlacementRequest(task_group, rank, now, starving=True)
        far_x = self._context.timings.bounds.far_x
        if task_group.gang:
            self._assign_gang(task_group, request, usable)
        else:
            unrestricted = TaskPlacer(request, usable, usable, far_x)
            for task in _retries_first(task_group):
                excluded_nodes = _nodes_with_superseded_runs(task)
                restricted = PlacementRequest(task_group, rank, now, excluded_nodes=excluded_nodes, starving=True)
                placer = TaskPlacer(restricted, usable, usable, far_x) if excluded_nodes else unrestricted
                worker = placer.best() if task.not_before <= now else None
                if worker is not None:
                    self._lifecycle.assign(task, worker, task.last_run + 1)
        self._dequeue_if_placed(task_group, queue)
        if task_group.waiting:
            self._mark_blocked(task_group, now)

    def _dequeue_if_placed(self, task_group: TaskGroup, queue: WorkQueue) -> None:
        """Remove the stage from the queue, and release its reservations, if none of its tasks is waiting."""
        if not task_group.waiting:
            queue.remove(task_group)
            self._preemption.release_reservations(task_group)

    def _place_tasks(
        self, task_group: TaskGroup, queue: WorkQueue, candidates: WorkerGroup, usable: WorkerGroup, now: float
    ) -> bool:
        """Place the tasks of the stage one by one; returns False if a task could not be placed."""
        rank = queue.rank(task_group)
        assert rank is not None, "only a waiting stage is placed"
        far_x = self._context.timings.bounds.far_x
        unrestricted = TaskPlacer(PlacementRequest(task_group, rank, now), candidates, usable, far_x)
        for task in _retries_first(task_group):
            if task.not_before > now:
                continue
            avoided_nodes, avoid_suspects = self._nodes_to_avoid([task], now)
            excluded_nodes = _nodes_with_superseded_runs(task)
            restricted = bool(avoided_nodes or excluded_nodes) or avoid_suspects
            request = PlacementRequest(task_group, rank, now, avoided_nodes, excluded_nodes, avoid_suspects)
            placer = TaskPlacer(request, candidates, usable, far_x) if restricted else unrestricted
            worker = placer.best()
            if worker is not None:
                self._lifecycle.assign(task, worker, task.last_run + 1)
            elif not restricted:
                return False  # the remaining tasks request the same resources
        return not task_group.waiting

    def _place_gang(
        self, task_group: TaskGroup, queue: WorkQueue, candidates: WorkerGroup, usable: WorkerGroup, now: float
    ) -> bool:
        """Place all members of a gang or none; returns whether they were placed."""
        rank = queue.rank(task_group)
        assert rank is not None, "only a waiting stage is placed"
        if not candidates:
            return False
        avoided_nodes, avoid_suspects = self._nodes_to_avoid(task_group.tasks, now)
        return self._assign_gang(
            task_group, PlacementRequest(task_group, rank, now, avoided_nodes, avoid_suspects=avoid_suspects), usable
        )

    def _assign_gang(self, task_group: TaskGroup, request: PlacementRequest, usable: WorkerGroup) -> bool:
        """Assign each member of a gang to a worker, if there are enough resources for all of them."""
        if any(task.not_before > request.now for task in task_group.tasks):
            return False
        workers = choose_gang_workers(request, usable, self._context.timings.bounds.far_x)
        if workers is None:
            return False
        number = gangs.next_run_number(task_group)
        for task, worker in zip(task_group.tasks, workers, strict=True):
            self._lifecycle.assign(task, worker, number)
        return True

    def _nodes_to_avoid(self, tasks: Sequence[Task], now: float) -> tuple[set[str], bool]:
        """Return the nodes that the tasks should avoid, and whether to avoid all suspect workers; both expire."""
        first = tasks[0]
        waited = now - max(first.not_before, first.task_group.queued_at)
        if waited > NODE_AVOIDANCE_S:
            return set(), False
        avoided_nodes: set[str] = set()
        for task in tasks:
            avoided_nodes |= task.avoided_nodes
            if task.refused_by:
                avoided_nodes.add(task.refused_by)
        return avoided_nodes, waited <= SUSPECT_AVOIDANCE_S and any(task.failures > 0 for task in tasks)

    def _mark_blocked(self, task_group: TaskGroup, now: float) -> None:
        if task_group.blocked_since < 0.0:
            task_group.blocked_since = now


def _is_starving(task_group: TaskGroup, now: float) -> bool:
    """Whether a stage has been blocked for so long that it may use any worker."""
    return task_group.blocked_since >= 0.0 and now - task_group.blocked_since >= STARVING_AFTER_S


def _retries_first(task_group: TaskGroup) -> list[Task]:
    """Return the waiting tasks of a stage, the most delayed first: those with the most failed or superseded runs."""
    return sorted(task_group.waiting.values(), key=lambda task: -task.failures - len(task.previous_runs))


def _nodes_with_superseded_runs(task: Task) -> frozenset[str]:
    """Return the nodes where an earlier run of the task still holds resources while a speculative copy is wanted."""
    return frozenset(run.node for run in task.previous_runs)


def _by_name(workers: set[Worker]) -> list[Worker]:
    return sorted(workers, key=lambda worker: worker.node)


def _mark_committed(placed: list[Run]) -> None:
    for run in placed:
        run.committed = True


def _constrained(task_group: TaskGroup) -> bool:
    """Whether the stage may have been rejected by workers for another reason than a lack of free resources."""
    stage = task_group.stage
    restricted = any(
        task.avoided_nodes or task.refused_by or task.not_before or task.previous_runs
        for task in task_group.waiting.values()
    )
    return bool(task_group.gang or stage.affinity or stage.anti_affinity or restricted)
