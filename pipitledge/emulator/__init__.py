"""Stand-ins for workers, discovery and clients: models without I/O, driven by sockets or by virtual time.

Written from the platform's protocol pages. They show the node's own behaviour under faults; they are no measure of
real machines.
"""
