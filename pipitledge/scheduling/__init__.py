"""The job scheduler of the primary: admission, placement, task runs, preemption and agent reports."""
