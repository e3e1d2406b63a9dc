"""Logs, metrics and service-level burn."""
