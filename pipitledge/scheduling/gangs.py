"""Gang scheduling: tasks of a stage that only work together share run number, checkpoint and failure count."""

from __future__ import annotations

from pipitledge.scheduling.tasks import TaskGroup


def next_run_number(task_group: TaskGroup) -> int:
    """Return the number of a gang's next run, which is above the last run number of every member."""
    return 1 + max(task.last_run for task in task_group.tasks)


def failure_count(task_group: TaskGroup) -> int:
    """Return how many runs of a gang have failed; several members that fail in one run count once."""
    return max(task.failures for task in task_group.tasks)


def synchronize_members(task_group: TaskGroup) -> None:
    """Give all members of a stopped gang the same failure count, checkpoint and avoided nodes."""
    failed_runs = failure_count(task_group)
    checkpoint = newest_checkpoint(task_group)
    avoided_nodes = set().union(*(task.avoided_nodes for task in task_group.tasks))
    for task in task_group.tasks:
        task.failures = failed_runs
        task.checkpoint = checkpoint
        task.avoided_nodes = set(avoided_nodes)
    task_group.checkpoint_percent = 0.0


def newest_checkpoint(task_group: TaskGroup) -> str:
    """Return the checkpoint that all members resume from: that of the member with the newest run; empty if none."""
    with_checkpoint = [task for task in task_group.tasks if task.checkpoint]
    if not with_checkpoint:
        return ""
    return max(with_checkpoint, key=lambda task: task.last_run).checkpoint
