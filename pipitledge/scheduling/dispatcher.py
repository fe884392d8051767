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
from pipitledge.scheduling.placement import Crowd, Seeker, TaskPlacer, choose_gang
from pipitledge.scheduling.preemption import Preemption
from pipitledge.scheduling.queue_order import WorkQueue
from pipitledge.scheduling.tasks import Demand, Run, Step, Task
from pipitledge.scheduling.workers import Worker

GANGS_AT_ONCE = 3  # tried in a pass that isn't full
FULL_PASS_EVERY_S = 0.25  # waits for near room, pauses and avoidances end unannounced
PATIENCE_S = 1.0  # a task goes back to a worker where it failed if it finds no other for so long
PRESSING_AFTER_S = 1.5  # of waiting, a step is let go anywhere, if most of its service is idle
CAUTION_S = 0.4  # and so long it keeps away from workers where others have just failed


class _Misses:
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
            self._next_full_pass = now + FULL_PASS_EVERY_S
        fresh, context.fresh = context.fresh, set()
        dirty, context.dirty = context.dirty, set()
        for service, queue in context.queues.items():
            if len(queue):
                self._serve(service, queue, fresh, dirty, full, now)
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
        for worker in _by_name(context.unsent):
            self._orders.push(worker)

    def _order(self, placed: list[Run]) -> None:
        """Send the orders for runs whose records are committed now."""
        context = self._context
        workers = {context.workers[run.node] for run in placed if run.task.run is run}
        for worker in _by_name(workers | context.unsent):
            self._orders.push(worker)

    # ---- placing

    def _serve(
        self, service: str, queue: WorkQueue, fresh: set[Step], dirty: set[Worker], full: bool, now: float
    ) -> None:
        """Place what waits for the workers of one service."""
        everyone = self._context.usable_workers(service, now)
        gained = Crowd([worker for worker in everyone.workers if worker in dirty])
        if full:
            queue.reorder(now)
        steps = list(queue.in_order()) if full or gained else queue.sorted(fresh)
        too_large = {True: _Misses(), False: _Misses()}  # of all workers, and of those that gained room
        gangs_tried = 0
        idle = full and everyone.mostly_idle()
        for step in steps:
            whole = full or step in fresh
            if idle and _is_pressing(step, now):
                self._place_anywhere(step, queue, everyone.with_reserve(), now)
                continue
            if step.gang and not whole:
                gangs_tried += 1
                if gangs_tried > GANGS_AT_ONCE:
                    continue
            if too_large[whole].covers(step):
                self._block(step, now)
                continue
            if self._place(step, queue, everyone if whole else gained, everyone, now):
                continue
            self._block(step, now)
            if not _constrained(step):
                too_large[whole].add(step)
        if full or self._urgent_blocked(queue, fresh):
            self._preemption.make_room(queue, everyone.workers, now)

    def _urgent_blocked(self, queue: WorkQueue, fresh: set[Step]) -> bool:
        """Whether one of the new steps is urgent and has found no room."""
        return any(queue.is_urgent(step) and step.blocked_since >= 0.0 for step in fresh)

    def _place(self, step: Step, queue: WorkQueue, candidates: Crowd, everyone: Crowd, now: float) -> bool:
        """Place all tasks of the step that can be; False if one found no room."""
        if step.gang:
            placed = self._place_gang(step, queue, candidates, everyone, now)
        else:
            placed = self._place_tasks(step, queue, candidates, everyone, now)
        self._leave_if_placed(step, queue)
        return placed

    def _place_anywhere(self, step: Step, queue: WorkQueue, everyone: Crowd, now: float) -> None:
        """Place what can be of a step that has waited long, whatever else speaks against a worker with room."""
        rank = queue.rank(step)
        assert rank is not None, "a step is placed while it waits"
        seeker = Seeker(step, rank, now, pressing=True)
        far_x = self._context.figures.bounds.far_x
        if step.gang:
            self._assign_gang(step, seeker, everyone)
        else:
            plain = TaskPlacer(seeker, everyone, everyone, far_x)
            for task in _furthest_behind_first(step):
                barred = _nodes_in_use(task)
                beside = Seeker(step, rank, now, barred=barred, pressing=True)
                placer = TaskPlacer(beside, everyone, everyone, far_x) if barred else plain
                worker = placer.best() if task.not_before <= now else None
                if worker is not None:
                    self._lifecycle.assign(task, worker, task.last_run + 1)
        self._leave_if_placed(step, queue)
        if step.waiting:
            self._block(step, now)

    def _leave_if_placed(self, step: Step, queue: WorkQueue) -> None:
        """A step of which nothing waits any more leaves the queue."""
        if not step.waiting:
            queue.remove(step)
            self._preemption.satisfied(step)

    def _place_tasks(self, step: Step, queue: WorkQueue, candidates: Crowd, everyone: Crowd, now: float) -> bool:
        """Place one task of the step after the other; False if one found no room."""
        rank = queue.rank(step)
        assert rank is not None, "a step is placed while it waits"
        far_x = self._context.figures.bounds.far_x
        plain = TaskPlacer(Seeker(step, rank, now), candidates, everyone, far_x)
        for task in _furthest_behind_first(step):
            if task.not_before > now:
                continue
            avoid, cautious = self._misgivings([task], now)
            barred = _nodes_in_use(task)
            choosy = bool(avoid or barred) or cautious
            seeker = Seeker(step, rank, now, avoid, barred, cautious)
            placer = TaskPlacer(seeker, candidates, everyone, far_x) if choosy else plain
            worker = placer.best()
            if worker is not None:
                self._lifecycle.assign(task, worker, task.last_run + 1)
            elif not choosy:
                return False  # the others need the same
        return not step.waiting

    def _place_gang(self, step: Step, queue: WorkQueue, candidates: Crowd, everyone: Crowd, now: float) -> bool:
        """Place a gang whole, or not at all."""
        rank = queue.rank(step)
        assert rank is not None, "a step is placed while it waits"
        if not candidates:
            return False
        avoid, cautious = self._misgivings(step.tasks, now)
        return self._assign_gang(step, Seeker(step, rank, now, avoid, cautious=cautious), everyone)

    def _assign_gang(self, step: Step, seeker: Seeker, everyone: Crowd) -> bool:
        """Give each member of a gang a worker, if all of them find one."""
        if any(task.not_before > seeker.now for task in step.tasks):
            return False
        workers = choose_gang(seeker, everyone, self._context.figures.bounds.far_x)
        if workers is None:
            return False
        number = gangs.next_number(step)
        for task, worker in zip(step.tasks, workers, strict=True):
            self._lifecycle.assign(task, worker, number)
        return True

    def _misgivings(self, tasks: Sequence[Task], now: float) -> tuple[set[str], bool]:
        """Nodes that tasks had better keep away from, and whether from all suspects: not for ever."""
        first = tasks[0]
        waited = now - max(first.not_before, first.step.queued_at)
        if waited > PATIENCE_S:
            return set(), False
        avoid: set[str] = set()
        for task in tasks:
            avoid |= task.avoided
            if task.refused_by:
                avoid.add(task.refused_by)
        return avoid, waited <= CAUTION_S and any(task.failures > 0 for task in tasks)

    def _block(self, step: Step, now: float) -> None:
        if step.blocked_since < 0.0:
            step.blocked_since = now


def _is_pressing(step: Step, now: float) -> bool:
    """Whether a step has found no room for so long that any worker will do."""
    return step.blocked_since >= 0.0 and now - step.blocked_since >= PRESSING_AFTER_S


def _furthest_behind_first(step: Step) -> list[Task]:
    """The waiting tasks of a step; those that have failed, or are waited for elsewhere, are the furthest behind."""
    return sorted(step.waiting.values(), key=lambda task: -task.failures - len(task.former))


def _nodes_in_use(task: Task) -> frozenset[str]:
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
