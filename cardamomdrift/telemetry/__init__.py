"""Logs, metrics and the burn of error budgets."""
