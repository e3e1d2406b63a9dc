"""Logs, metrics and burn of service-level objectives."""
