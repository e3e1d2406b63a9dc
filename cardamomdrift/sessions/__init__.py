"""Statements, request options and session tokens."""
