"""One node as two processes: the upgrade of a running process by the next, its messages and what is told."""
