"""Measurements against stand-ins for the instances and the platform."""
