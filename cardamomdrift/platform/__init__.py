"""Adapters to the users' platform; routing and failover are decided elsewhere."""
