"""The load balancer process: serves clients, calls workers, follows discovery, and runs the decision module."""
