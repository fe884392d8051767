"""The scheduling pass: gives waiting tasks to workers in order of rank, and writes all changes as one batch.

Between full passes only what changed is looked at: steps that are new against all workers, older ones against workers
that gained room.
"""

from __future__ import annotations

from collections.abc import Sequence

from pipitledge.scheduling import gangs
from pipitledge.scheduling.context import Context
from pipitledge.scheduling.lifecycle import Lifecycle
from pipitledge.scheduling.orders import OrderSender
from pipitledge.scheduling.placement import Crowd, Seeker, TaskPlacer, choose_gang
from pipitledge.scheduling.preemption import Preemption
from pipitledge.scheduling.queue_order import WorkQueue
from pipitledge.scheduling.tasks import ResourceRequest, Run, Task, TaskGroup
from pipitledge.scheduling.workers import Worker

GANGS_AT_ONCE = 3  # tried in a pass that isn't full
FULL_PASS_EVERY_S = 0.25  # waits for near room, pauses and avoidances end unannounced
PATIENCE_S = 1.0  # a task goes back to a worker where it failed if it finds no other for so long
PRESSING_AFTER_S = 1.5  # of waiting, a step is let go anywhere, if most of its service is idle
CAUTION_S = 0.4  # and so long it keeps away from workers where others have just failed


class _Misses:
    """Demands for which a pass has found no room, by label asked for."""

    def __init__(self) -> None:
        self._demands: dict[str, list[ResourceRequest]] = {}

    def add(self, task_group: TaskGroup) -> None:
        """No room was found for a task of that step."""
        self._demands.setdefault(task_group.stage.node_selector, []).append(task_group.resource_request)

    def covers(self, task_group: TaskGroup) -> bool:
        """Whether a step that asked for no more has found no room."""
        resource_request = task_group.resource_request
        selector = task_group.stage.node_selector
        if any(resource_request.covers(missed) for missed in self._demands.get("", ())):
            return True
        return bool(selector) and any(resource_request.covers(missed) for missed in self._demands.get(selector, ()))


class Dispatcher:
    """Starts what waits."""

    def __init__(self, context: Context, lifecycle: Lifecycle, orders: OrderSender, preemption: Preemption) -> None:
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
            self._next_full_pass = now + FULL_PASS_EVERY_S
        dirty_task_groups, context.dirty_task_groups = context.dirty_task_groups, set()
        dirty_workers, context.dirty_workers = context.dirty_workers, set()
        for service, queue in context.queues.items():
            if len(queue):
                self._serve(service, queue, dirty_task_groups, dirty_workers, full, now)
        self._write()

    # ---- writing and ordering

    def _write(self) -> None:
        """Write the batch; orders leave once it is committed."""
        context = self._context
        placed, context.placed = context.placed, []
        written = context.batch.flush(lambda: _mark_committed(placed), lambda: self._order(placed))
        if not written:
            context.placed = placed + context.placed
            context.retry_pass()
            return
        for worker in _by_name(context.workers_to_push):
            self._orders.push(worker)

    def _order(self, placed: list[Run]) -> None:
        """Send the orders for runs whose records are committed now."""
        context = self._context
        workers = {context.workers[run.node] for run in placed if run.task.run is run}
        for worker in _by_name(workers | context.workers_to_push):
            self._orders.push(worker)

    # ---- placing

    def _serve(
        self,
        service: str,
        queue: WorkQueue,
        dirty_task_groups: set[TaskGroup],
        dirty_workers: set[Worker],
        full: bool,
        now: float,
    ) -> None:
        """Place what waits for the workers of one service."""
        everyone = self._context.usable_workers(service, now)
        gained = Crowd([worker for worker in everyone.workers if worker in dirty_workers])
        if full:
            queue.reorder(now)
        task_groups = list(queue.in_order()) if full or gained else queue.sorted(dirty_task_groups)
        too_large = {True: _Misses(), False: _Misses()}  # of all workers, and of those that gained room
        gangs_tried = 0
        idle = full and everyone.mostly_idle()
        for task_group in task_groups:
            whole = full or task_group in dirty_task_groups
            if idle and _is_pressing(task_group, now):
                self._place_anywhere(task_group, queue, everyone.with_reserve(), now)
                continue
            if task_group.gang and not whole:
                gangs_tried += 1
                if gangs_tried > GANGS_AT_ONCE:
                    continue
            if too_large[whole].covers(task_group):
                self._block(task_group, now)
                continue
            if self._place(task_group, queue, everyone if whole else gained, everyone, now):
                continue
            self._block(task_group, now)
            if not _constrained(task_group):
                too_large[whole].add(task_group)
        if full or self._urgent_blocked(queue, dirty_task_groups):
            self._preemption.make_room(queue, everyone.workers, now)

    def _urgent_blocked(self, queue: WorkQueue, dirty_task_groups: set[TaskGroup]) -> bool:
        """Whether one of the new steps is urgent and has found no room."""
        return any(queue.is_urgent(task_group) and task_group.blocked_since >= 0.0 for task_group in dirty_task_groups)

    def _place(self, task_group: TaskGroup, queue: WorkQueue, candidates: Crowd, everyone: Crowd, now: float) -> bool:
        """Place all tasks of the step that can be; False if one found no room."""
        if task_group.gang:
            placed = self._place_gang(task_group, queue, candidates, everyone, now)
        else:
            placed = self._place_tasks(task_group, queue, candidates, everyone, now)
        self._leave_if_placed(task_group, queue)
        return placed

    def _place_anywhere(self, task_group: TaskGroup, queue: WorkQueue, everyone: Crowd, now: float) -> None:
        """Place what can be of a step that has waited long, whatever else speaks against a worker with room."""
        rank = queue.rank(task_group)
        assert rank is not None, "a step is placed while it waits"
        seeker = Seeker(task_group, rank, now, pressing=True)
        far_x = self._context.timings.bounds.far_x
        if task_group.gang:
            self._assign_gang(task_group, seeker, everyone)
        else:
            plain = TaskPlacer(seeker, everyone, everyone, far_x)
            for task in _furthest_behind_first(task_group):
                barred = _nodes_in_use(task)
                beside = Seeker(task_group, rank, now, barred=barred, pressing=True)
                placer = TaskPlacer(beside, everyone, everyone, far_x) if barred else plain
                worker = placer.best() if task.not_before <= now else None
                if worker is not None:
                    self._lifecycle.assign(task, worker, task.last_run + 1)
        self._leave_if_placed(task_group, queue)
        if task_group.waiting:
            self._block(task_group, now)

    def _leave_if_placed(self, task_group: TaskGroup, queue: WorkQueue) -> None:
        """A step of which nothing waits any more leaves the queue."""
        if not task_group.waiting:
            queue.remove(task_group)
            self._preemption.satisfied(task_group)

    def _place_tasks(
        self, task_group: TaskGroup, queue: WorkQueue, candidates: Crowd, everyone: Crowd, now: float
    ) -> bool:
        """Place one task of the step after the other; False if one found no room."""
        rank = queue.rank(task_group)
        assert rank is not None, "a step is placed while it waits"
        far_x = self._context.timings.bounds.far_x
        plain = TaskPlacer(Seeker(task_group, rank, now), candidates, everyone, far_x)
        for task in _furthest_behind_first(task_group):
            if task.not_before > now:
                continue
            avoid, cautious = self._misgivings([task], now)
            barred = _nodes_in_use(task)
            choosy = bool(avoid or barred) or cautious
            seeker = Seeker(task_group, rank, now, avoid, barred, cautious)
            placer = TaskPlacer(seeker, candidates, everyone, far_x) if choosy else plain
            worker = placer.best()
            if worker is not None:
                self._lifecycle.assign(task, worker, task.last_run + 1)
            elif not choosy:
                return False  # the others need the same
        return not task_group.waiting

    def _place_gang(
        self, task_group: TaskGroup, queue: WorkQueue, candidates: Crowd, everyone: Crowd, now: float
    ) -> bool:
        """Place a gang whole, or not at all."""
        rank = queue.rank(task_group)
        assert rank is not None, "a step is placed while it waits"
        if not candidates:
            return False
        avoid, cautious = self._misgivings(task_group.tasks, now)
        return self._assign_gang(task_group, Seeker(task_group, rank, now, avoid, cautious=cautious), everyone)

    def _assign_gang(self, task_group: TaskGroup, seeker: Seeker, everyone: Crowd) -> bool:
        """Give each member of a gang a worker, if all of them find one."""
        if any(task.not_before > seeker.now for task in task_group.tasks):
            return False
        workers = choose_gang(seeker, everyone, self._context.timings.bounds.far_x)
        if workers is None:
            return False
        number = gangs.next_number(task_group)
        for task, worker in zip(task_group.tasks, workers, strict=True):
            self._lifecycle.assign(task, worker, number)
        return True

    def _misgivings(self, tasks: Sequence[Task], now: float) -> tuple[set[str], bool]:
        """Nodes that tasks had better keep away from, and whether from all suspects: not for ever."""
        first = tasks[0]
        waited = now - max(first.not_before, first.task_group.queued_at)
        if waited > PATIENCE_S:
            return set(), False
        avoid: set[str] = set()
        for task in tasks:
            avoid |= task.avoided_nodes
            if task.refused_by:
                avoid.add(task.refused_by)
        return avoid, waited <= CAUTION_S and any(task.failures > 0 for task in tasks)

    def _block(self, task_group: TaskGroup, now: float) -> None:
        if task_group.blocked_since < 0.0:
            task_group.blocked_since = now


def _is_pressing(task_group: TaskGroup, now: float) -> bool:
    """Whether a step has found no room for so long that any worker will do."""
    return task_group.blocked_since >= 0.0 and now - task_group.blocked_since >= PRESSING_AFTER_S


def _furthest_behind_first(task_group: TaskGroup) -> list[Task]:
    """The waiting tasks of a step; those that have failed, or are waited for elsewhere, are the furthest behind."""
    return sorted(task_group.waiting.values(), key=lambda task: -task.failures - len(task.previous_runs))


def _nodes_in_use(task: Task) -> frozenset[str]:
    """Nodes where a run of the task still holds room, beside which a copy is wanted."""
    return frozenset(run.node for run in task.previous_runs)


def _by_name(workers: set[Worker]) -> list[Worker]:
    return sorted(workers, key=lambda worker: worker.node)


def _mark_committed(placed: list[Run]) -> None:
    for run in placed:
        run.committed = True


def _constrained(task_group: TaskGroup) -> bool:
    """Whether something other than room may keep it from workers."""
    stage = task_group.stage
    held_back = any(
        task.avoided_nodes or task.refused_by or task.not_before or task.previous_runs
        for task in task_group.waiting.values()
    )
    return bool(task_group.gang or stage.affinity or stage.anti_affinity or held_back)
