"""HTTP calls of clients and operators at a node, and the node's readiness."""
