"""Gang scheduling: tasks of a stage that only work together share run number, checkpoint and failure count."""

from __future__ import annotations

from pipitledge.scheduling.tasks import Step


def next_run_number(step: Step) -> int:
    """Return the number of a gang's next run, which is above the last run number of every member."""
    return 1 + max(task.last_run for task in step.tasks)


def failure_count(step: Step) -> int:
    """Return how many runs of a gang have failed; several members that fail in one run count once."""
    return max(task.failures for task in step.tasks)


def synchronize_members(step: Step) -> None:
    """Give all members of a stopped gang the same failure count, checkpoint and avoided nodes."""
    failed_runs = failure_count(step)
    saved = newest_checkpoint(step)
    avoided = set().union(*(task.avoided for task in step.tasks))
    for task in step.tasks:
        task.failures = failed_runs
        task.saved = saved
        task.avoided = set(avoided)
    step.saved_percent = 0.0


def newest_checkpoint(step: Step) -> str:
    """Return the checkpoint that all members resume from: that of the member with the newest run; empty if none."""
    with_checkpoint = [task for task in step.tasks if task.saved]
    if not with_checkpoint:
        return ""
    return max(with_checkpoint, key=lambda task: task.last_run).saved
