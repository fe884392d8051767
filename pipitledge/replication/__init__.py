"""Primary-backup replication of the control plane's state.

A view names the primary, the members and the in-sync set. Members decide views by a majority vote (Paxos). The primary
leads under a lease, appends entries to its backups, and backups that differ repair their state by range digests.
"""
