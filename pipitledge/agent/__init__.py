"""The agent process beside a worker: renews task leases, executes orders of the primary and sends it reports."""
