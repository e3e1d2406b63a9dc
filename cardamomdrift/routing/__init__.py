"""Floors, choice of instances, reads, writes and transactions."""
