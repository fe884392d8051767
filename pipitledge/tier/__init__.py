"""Which policy is in force on all nodes of a tier: how they agree on it, and what carries and keeps it."""
