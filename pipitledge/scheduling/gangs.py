"""Gangs: the tasks of a step that work only jointly share run number, checkpoint and count of failures."""

from __future__ import annotations

from pipitledge.scheduling.tasks import TaskGroup


def next_number(task_group: TaskGroup) -> int:
    """The number of a gang's next run: above that of each member's last."""
    return 1 + max(task.last_run for task in task_group.tasks)


def failures(task_group: TaskGroup) -> int:
    """How many of a gang's runs have failed; members that fail in one run count once."""
    return max(task.failures for task in task_group.tasks)


def level(task_group: TaskGroup) -> None:
    """Let all members of a gang that runs no more know the same."""
    counted = failures(task_group)
    checkpoint = newest_checkpoint(task_group)
    avoided_nodes = set().union(*(task.avoided_nodes for task in task_group.tasks))
    for task in task_group.tasks:
        task.failures = counted
        task.checkpoint = checkpoint
        task.avoided_nodes = set(avoided_nodes)
    task_group.checkpoint_percent = 0.0


def newest_checkpoint(task_group: TaskGroup) -> str:
    """The checkpoint that all members start from: that of the member whose last run is newest."""
    told = [task for task in task_group.tasks if task.checkpoint]
    if not told:
        return ""
    return max(told, key=lambda task: task.last_run).checkpoint
