"""Connections to instances: pools, probes and loans."""
