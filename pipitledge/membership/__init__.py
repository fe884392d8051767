"""Gossip membership over UDP (which processes are alive, who is primary) and calls routed to the current primary."""
