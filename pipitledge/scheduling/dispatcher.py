"""The scheduling pass: gives waiting tasks to workers in order of rank, and writes all changes as one batch.

Between full passes only what changed is looked at: steps that are new against all workers, older ones against workers
that gained room.
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

MAX_GANGS_PER_PARTIAL_PASS = 3  # tried in a pass that isn't full
FULL_PASS_INTERVAL_S = 0.25  # waits for near room, pauses and avoidances end unannounced
NODE_AVOIDANCE_S = 1.0  # a task goes back to a worker where it failed if it finds no other for so long
STARVING_AFTER_S = 1.5  # of waiting, a step is let go anywhere, if most of its service is idle
SUSPECT_AVOIDANCE_S = 0.4  # and so long it keeps away from workers where others have just failed


class _UnplaceableRequests:
    """Demands for which a pass has found no room, by label asked for."""

    def __init__(self) -> None:
        self._demands: dict[str, list[Demand]] = {}

    def add(self, step: Step) -> None:
        """No room was found for a task of that step."""
        self._demands.setdefault(step.stage.node_selector, []).append(step.demand)

    def covers(self, step: Step) -> bool:
        """Whether a step that asked for no more has found no room."""
        demand = step.demand
        selector = step.stage.node_selector
        if any(demand.covers(missed) for missed in self._demands.get("", ())):
            return True
        return bool(selector) and any(demand.covers(missed) for missed in self._demands.get(selector, ()))


class Dispatcher:
    """Starts what waits."""

    def __init__(self, context: Context, lifecycle: Lifecycle, orders: Orders, preemption: Preemption) -> None:
        """Work on the shared state."""
        self._context = context
        self._lifecycle = lifecycle
        self._orders = orders
        self._preemption = preemption
        self._next_full_pass = 0.0

    def clear(self) -> None:
        """Look at everything at the next pass."""
        self._next_full_pass = 0.0

    def run_pass(self) -> None:
        """Place what can be placed, then write and order."""
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

    # ---- writing and ordering

    def _write(self) -> None:
        """Write the batch; orders leave once it is committed."""
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
        """Send the orders for runs whose records are committed now."""
        context = self._context
        workers = {context.workers[run.node] for run in placed if run.task.run is run}
        for worker in _by_name(workers | context.unsent):
            self._orders.push(worker)

    # ---- placing

    def _schedule_service(
        self, service: str, queue: WorkQueue, fresh: set[Step], dirty: set[Worker], full: bool, now: float
    ) -> None:
        """Place what waits for the workers of one service."""
        usable = self._context.usable_workers(service, now)
        gained = WorkerGroup([worker for worker in usable.workers if worker in dirty])
        if full:
            queue.reorder(now)
        steps = list(queue.in_order()) if full or gained else queue.sorted(fresh)
        too_large = {
            True: _UnplaceableRequests(),
            False: _UnplaceableRequests(),
        }  # of all workers, and of those that gained room
        gangs_tried = 0
        idle = full and usable.mostly_idle()
        for step in steps:
            whole = full or step in fresh
            if idle and _is_starving(step, now):
                self._place_starving(step, queue, usable.with_fallback(), now)
                continue
            if step.gang and not whole:
                gangs_tried += 1
                if gangs_tried > MAX_GANGS_PER_PARTIAL_PASS:
                    continue
            if too_large[whole].covers(step):
                self._mark_blocked(step, now)
                continue
            if self._place(step, queue, usable if whole else gained, usable, now):
                continue
            self._mark_blocked(step, now)
            if not _constrained(step):
                too_large[whole].add(step)
        if full or self._urgent_blocked(queue, fresh):
            self._preemption.handle_blocked_steps(queue, usable.workers, now)

    def _urgent_blocked(self, queue: WorkQueue, fresh: set[Step]) -> bool:
        """Whether one of the new steps is urgent and has found no room."""
        return any(queue.is_urgent(step) and step.blocked_since >= 0.0 for step in fresh)

    def _place(self, step: Step, queue: WorkQueue, candidates: WorkerGroup, usable: WorkerGroup, now: float) -> bool:
        """Place all tasks of the step that can be; False if one found no room."""
        if step.gang:
            placed = self._place_gang(step, queue, candidates, usable, now)
        else:
            placed = self._place_tasks(step, queue, candidates, usable, now)
        self._dequeue_if_placed(step, queue)
        return placed

    def _place_starving(self, step: Step, queue: WorkQueue, usable: WorkerGroup, now: float) -> None:
        """Place what can be of a step that has waited long, whatever else speaks against a worker with room."""
        rank = queue.rank(step)
        assert rank is not None, "a step is placed while it waits"
        request = PlacementRequest(step, rank, now, starving=True)
        far_x = self._context.figures.bounds.far_x
        if step.gang:
            self._assign_gang(step, request, usable)
        else:
            plain = TaskPlacer(request, usable, usable, far_x)
            for task in _retries_first(step):
                excluded_nodes = _nodes_with_superseded_runs(task)
                beside = PlacementRequest(step, rank, now, excluded_nodes=excluded_nodes, starving=True)
                placer = TaskPlacer(beside, usable, usable, far_x) if excluded_nodes else plain
                worker = placer.best() if task.not_before <= now else None
                if worker is not None:
                    self._lifecycle.assign(task, worker, task.last_run + 1)
        self._dequeue_if_placed(step, queue)
        if step.waiting:
            self._mark_blocked(step, now)

    def _dequeue_if_placed(self, step: Step, queue: WorkQueue) -> None:
        """A step of which nothing waits any more leaves the queue."""
        if not step.waiting:
            queue.remove(step)
            self._preemption.release_reservations(step)

    def _place_tasks(
        self, step: Step, queue: WorkQueue, candidates: WorkerGroup, usable: WorkerGroup, now: float
    ) -> bool:
        """Place one task of the step after the other; False if one found no room."""
        rank = queue.rank(step)
        assert rank is not None, "a step is placed while it waits"
        far_x = self._context.figures.bounds.far_x
        plain = TaskPlacer(PlacementRequest(step, rank, now), candidates, usable, far_x)
        for task in _retries_first(step):
            if task.not_before > now:
                continue
            avoided_nodes, avoid_suspects = self._nodes_to_avoid([task], now)
            excluded_nodes = _nodes_with_superseded_runs(task)
            choosy = bool(avoided_nodes or excluded_nodes) or avoid_suspects
            request = PlacementRequest(step, rank, now, avoided_nodes, excluded_nodes, avoid_suspects)
            placer = TaskPlacer(request, candidates, usable, far_x) if choosy else plain
            worker = placer.best()
            if worker is not None:
                self._lifecycle.assign(task, worker, task.last_run + 1)
            elif not choosy:
                return False  # the others need the same
        return not step.waiting

    def _place_gang(
        self, step: Step, queue: WorkQueue, candidates: WorkerGroup, usable: WorkerGroup, now: float
    ) -> bool:
        """Place a gang whole, or not at all."""
        rank = queue.rank(step)
        assert rank is not None, "a step is placed while it waits"
        if not candidates:
            return False
        avoided_nodes, avoid_suspects = self._nodes_to_avoid(step.tasks, now)
        return self._assign_gang(
            step, PlacementRequest(step, rank, now, avoided_nodes, avoid_suspects=avoid_suspects), usable
        )

    def _assign_gang(self, step: Step, request: PlacementRequest, usable: WorkerGroup) -> bool:
        """Give each member of a gang a worker, if all of them find one."""
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
        """Nodes that tasks had better keep away from, and whether from all suspects: not for ever."""
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
    """Whether a step has found no room for so long that any worker will do."""
    return step.blocked_since >= 0.0 and now - step.blocked_since >= STARVING_AFTER_S


def _retries_first(step: Step) -> list[Task]:
    """The waiting tasks of a step; those that have failed, or are waited for elsewhere, are the furthest behind."""
    return sorted(step.waiting.values(), key=lambda task: -task.failures - len(task.former))


def _nodes_with_superseded_runs(task: Task) -> frozenset[str]:
    """Nodes where a run of the task still holds room, beside which a copy is wanted."""
    return frozenset(run.node for run in task.former)


def _by_name(workers: set[Worker]) -> list[Worker]:
    return sorted(workers, key=lambda worker: worker.node)


def _mark_committed(placed: list[Run]) -> None:
    for run in placed:
        run.committed = True


def _constrained(step: Step) -> bool:
    """Whether something other than room may keep it from workers."""
    stage = step.stage
    held_back = any(task.avoided or task.refused_by or task.not_before or task.former for task in step.waiting.values())
    return bool(step.gang or stage.affinity or stage.anti_affinity or held_back)
