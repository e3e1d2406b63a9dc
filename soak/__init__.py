"""Soak test: daemons in separate processes under random faults."""
