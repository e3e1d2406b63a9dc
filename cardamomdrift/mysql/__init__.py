"""Callers and upstream instances that speak the MySQL protocol."""
