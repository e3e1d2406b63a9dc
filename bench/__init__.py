"""Measurements on stand-ins."""
