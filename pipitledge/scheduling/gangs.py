"""Gangs: the tasks of a step that work only jointly share run number, checkpoint and count of failures."""

from __future__ import annotations

from pipitledge.scheduling.tasks import Step


def next_run_number(step: Step) -> int:
    """The number of a gang's next run: above that of each member's last."""
    return 1 + max(task.last_run for task in step.tasks)


def failure_count(step: Step) -> int:
    """How many of a gang's runs have failed; members that fail in one run count once."""
    return max(task.failures for task in step.tasks)


def synchronize_members(step: Step) -> None:
    """Let all members of a gang that runs no more know the same."""
    counted = failure_count(step)
    saved = newest_checkpoint(step)
    avoided = set().union(*(task.avoided for task in step.tasks))
    for task in step.tasks:
        task.failures = counted
        task.saved = saved
        task.avoided = set(avoided)
    step.saved_percent = 0.0


def newest_checkpoint(step: Step) -> str:
    """The checkpoint that all members start from: that of the member whose last run is newest."""
    told = [task for task in step.tasks if task.saved]
    if not told:
        return ""
    return max(told, key=lambda task: task.last_run).saved
